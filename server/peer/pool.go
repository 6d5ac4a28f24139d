package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"
)

// Pool keeps one connection to each address and replaces broken ones.
type Pool struct {
	secret      []byte
	dialTimeout time.Duration

	mu      sync.Mutex // guards clients
	clients map[string]*rpc.Client
}

// NewPool returns an empty pool.
func NewPool(secret []byte, dialTimeout time.Duration) *Pool {
	return &Pool{secret: secret, dialTimeout: dialTimeout, clients: map[string]*rpc.Client{}}
}

// Call invokes method at address and waits for the reply or for ctx. A connection whose call timed out is dropped, as
// a silently cut connection would otherwise block later calls. Errors that the remote method returned come back as
// rpc.ServerError inside Error; each other error means that the outcome is unknown.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return err
	}
	// A reply that comes after the end of the wait must not be written to what the caller may use again.
	target := reflect.ValueOf(reply).Elem()
	own := reflect.New(target.Type())
	call := client.Go(method, args, own.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.Canceled) {
			p.drop(address, client)
		}
		return Error.Wrap(ctx.Err())
	case <-call.Done:
	}
	var remote rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &remote) {
		p.drop(address, client)
	}
	if call.Error == nil {
		target.Set(own.Elem())
	}
	return Error.Wrap(call.Error)
}

func (p *Pool) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.clients[address]
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := Dial(ctx, net.Dialer{Control: LimitSilence}, address, p.dialTimeout)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = prove(conn, p.secret, 'c')
	if !stop() {
		return nil, Error.Wrap(ctx.Err())
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing := p.clients[address]; existing != nil {
		_ = conn.Close()
		return existing, nil
	}
	client = rpc.NewClient(conn)
	p.clients[address] = client
	return client, nil
}

func (p *Pool) drop(address string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	_ = client.Close()
}

// Close closes each connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.clients {
		_ = client.Close()
		delete(p.clients, address)
	}
}
