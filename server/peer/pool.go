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

// Pool keeps one RPC connection per address and replaces broken ones. It is safe for concurrent use.
type Pool struct {
	secret []byte
	dial   DialFunc

	mu      sync.Mutex // guards clients
	clients map[string]*rpc.Client
}

// NewPool returns a pool without connections. dialTimeout limits the time to open a TCP connection.
func NewPool(secret []byte, dialTimeout time.Duration) *Pool {
	return NewPoolWithDial(secret, func(ctx context.Context, address string) (net.Conn, error) {
		return Dial(ctx, net.Dialer{Control: SetTCPUserTimeout}, address, dialTimeout)
	})
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewPoolWithDial returns a pool without connections that opens them with dial. Tests use it to inject network faults.
func NewPoolWithDial(secret []byte, dial DialFunc) *Pool {
	return &Pool{secret: secret, dial: dial, clients: map[string]*rpc.Client{}}
}

// Call invokes method at address and waits until the reply arrives or ctx ends. A connection on which a call timed out is
// closed, because one that drops packets silently would block later calls. An error that the remote method returned is an
// rpc.ServerError wrapped in Error; any other error means that the outcome is unknown.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.connectedClient(ctx, address)
	if err != nil {
		return err
	}
	// A reply that arrives after Call has returned must not be written to memory that the caller may use again.
	callerReply := reflect.ValueOf(reply).Elem()
	ownReply := reflect.New(callerReply.Type())
	call := client.Go(method, args, ownReply.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.Canceled) {
			p.closeClient(address, client)
		}
		return Error.Wrap(ctx.Err())
	case <-call.Done:
	}
	var serverErr rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &serverErr) {
		p.closeClient(address, client)
	}
	if call.Error == nil {
		callerReply.Set(ownReply.Elem())
	}
	return Error.Wrap(call.Error)
}

func (p *Pool) connectedClient(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.clients[address]
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = authenticate(conn, p.secret, 'c')
	if !stopClosing() {
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
	client = rpc.NewClient(&watchedConn{Conn: conn, ended: func() { p.forget(address, client) }})
	p.clients[address] = client
	return client, nil
}

// watchedConn calls ended when a read fails, as it does when the other process has closed the connection.
type watchedConn struct {
	net.Conn
	ended func()
}

func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.ended()
	}
	return n, err
}

// forget removes a client whose connection has ended, so that the next call dials again. net/rpc fails all further calls of such a
// client without sending them.
func (p *Pool) forget(address string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
}

func (p *Pool) closeClient(address string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	_ = client.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.clients {
		_ = client.Close()
		delete(p.clients, address)
	}
}
