// Package link is a stand-in for the network between two processes: a TCP forwarder that can hold back either direction
// without an error at either end, delay and reset connections, and stop forwarding on open connections without closing them.
package link

import (
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("link")

// Link forwards connections to one target.
type Link struct {
	target     string
	listener   net.Listener
	toTarget   gate
	fromTarget gate
	// delay is added to each read of either direction, in nanoseconds.
	delay atomic.Int64
	// closed is closed by the first call of Close.
	closed    chan struct{}
	closeOnce sync.Once

	mu          sync.Mutex // guards connections
	connections map[*connection]struct{}
}

// connection is one forwarded connection.
type connection struct {
	client, server net.Conn
	// dropping is closed by Link.DropData; nothing is forwarded afterwards.
	dropping chan struct{}
	dropOnce sync.Once
}

// close closes the connections to both ends, with a TCP reset instead of an orderly close if reset is true.
func (conn *connection) close(reset bool) {
	for _, c := range []net.Conn{conn.client, conn.server} {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// gate blocks one direction while it is shut.
type gate struct {
	mu sync.Mutex // guards opened
	// opened is a channel that is closed while the gate is open; waitOpen receives from it.
	opened chan struct{}
}

// Start forwards a free loopback port to target, a host:port.
func Start(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	link := &Link{target: target, listener: l, closed: make(chan struct{}), connections: map[*connection]struct{}{}}
	link.toTarget.setOpen(true)
	link.fromTarget.setOpen(true)
	go link.acceptLoop()
	return link, nil
}

// Address returns host:port of the forwarder.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut holds back the bytes of both directions until Heal.
func (l *Link) Cut() { l.toTarget.setOpen(false); l.fromTarget.setOpen(false) }

// CutToTarget holds back the bytes to the target until Heal. New connections wait as well.
func (l *Link) CutToTarget() { l.toTarget.setOpen(false) }

// CutFromTarget holds back the bytes from the target until Heal.
func (l *Link) CutFromTarget() { l.fromTarget.setOpen(false) }

// Heal ends all cuts. Bytes that were held back are delivered.
func (l *Link) Heal() { l.toTarget.setOpen(true); l.fromTarget.setOpen(true) }

// SetDelay delays each read of either direction by d; 0: no delay.
func (l *Link) SetDelay(d time.Duration) { l.delay.Store(int64(d)) }

// Reset resets all open connections.
func (l *Link) Reset() {
	for _, conn := range l.openConnections() {
		conn.close(true)
	}
}

// DropData stops forwarding on all open connections without closing them, so that neither end sees an error. Later
// connections work.
func (l *Link) DropData() {
	for _, conn := range l.openConnections() {
		conn.dropOnce.Do(func() { close(conn.dropping) })
	}
}

func (l *Link) openConnections() []*connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.connections))
}

// Close closes the listener and all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Heal()
	l.closeOnce.Do(func() { close(l.closed) })
	for _, conn := range l.openConnections() {
		conn.close(false)
	}
}

func (l *Link) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *Link) forward(client net.Conn) {
	l.toTarget.waitOpen()
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &connection{client: client, server: server, dropping: make(chan struct{})}
	l.mu.Lock()
	l.connections[conn] = struct{}{}
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.copyBytes(conn, server, client, &l.toTarget) })
	copies.Go(func() { l.copyBytes(conn, client, server, &l.fromTarget) })
	copies.Wait()
	l.mu.Lock()
	delete(l.connections, conn)
	l.mu.Unlock()
}

func (l *Link) copyBytes(conn *connection, to, from net.Conn, g *gate) {
	defer conn.close(false)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.waitOpen()
		if d := l.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		select {
		case <-conn.dropping:
			// Drops the bytes that were read and keeps the connection open until Close, even if the other end closed it.
			<-l.closed
			return
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (g *gate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.opened == nil:
		g.opened = make(chan struct{})
		close(g.opened)
	case open && !g.isOpen():
		close(g.opened)
	case !open && g.isOpen():
		g.opened = make(chan struct{})
	}
}

func (g *gate) isOpen() bool {
	select {
	case <-g.opened:
		return true
	default:
		return false
	}
}

func (g *gate) waitOpen() {
	g.mu.Lock()
	open := g.opened
	g.mu.Unlock()
	<-open
}
