// Package link is a stand-in for the network between two processes: a TCP forwarder whose directions can be cut
// silently, so that neither end sees an error, and whose connections can be delayed, reset or silenced for good.
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
	target   string
	listener net.Listener
	forth    gate
	back     gate
	// delay is added to each read of either direction, in nanoseconds.
	delay atomic.Int64
	// closed is closed by the first Close.
	closed  chan struct{}
	closing sync.Once

	mu    sync.Mutex // guards flows
	flows map[*flow]struct{}
}

// flow is one forwarded connection.
type flow struct {
	near, far net.Conn
	// silent is closed when no byte shall pass any more.
	silent  chan struct{}
	silence sync.Once
}

// close ends both connections; reset makes the ends see a reset and not an orderly end.
func (f *flow) close(reset bool) {
	for _, c := range []net.Conn{f.near, f.far} {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// gate holds bytes back while it is shut.
type gate struct {
	mu   sync.Mutex // guards open
	open chan struct{}
}

// Start forwards a free loopback port to target.
func Start(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	link := &Link{target: target, listener: l, closed: make(chan struct{}), flows: map[*flow]struct{}{}}
	link.forth.set(true)
	link.back.set(true)
	go link.accept()
	return link, nil
}

// Address returns host:port of the forwarder.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut holds back everything in both directions until Heal.
func (l *Link) Cut() { l.forth.set(false); l.back.set(false) }

// CutForth holds back only what goes to the target.
func (l *Link) CutForth() { l.forth.set(false) }

// CutBack holds back only what the target answers.
func (l *Link) CutBack() { l.back.set(false) }

// Heal lets both directions pass again. Bytes that were held back arrive late.
func (l *Link) Heal() { l.forth.set(true); l.back.set(true) }

// SetDelay holds each read of either direction back by d; 0 ends that.
func (l *Link) SetDelay(d time.Duration) { l.delay.Store(int64(d)) }

// Reset resets the connections that are open now.
func (l *Link) Reset() {
	for _, f := range l.open() {
		f.close(true)
	}
}

// Silence lets no byte pass any more on the connections that are open now; new ones work.
func (l *Link) Silence() {
	for _, f := range l.open() {
		f.silence.Do(func() { close(f.silent) })
	}
}

func (l *Link) open() []*flow {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.flows))
}

// Close ends the forwarder and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Heal()
	l.closing.Do(func() { close(l.closed) })
	for _, f := range l.open() {
		f.close(false)
	}
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *Link) forward(near net.Conn) {
	l.forth.wait()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	f := &flow{near: near, far: far, silent: make(chan struct{})}
	l.mu.Lock()
	l.flows[f] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copyThrough(f, far, near, &l.forth) })
	both.Go(func() { l.copyThrough(f, near, far, &l.back) })
	both.Wait()
	l.mu.Lock()
	delete(l.flows, f)
	l.mu.Unlock()
}

func (l *Link) copyThrough(f *flow, to, from net.Conn, g *gate) {
	defer f.close(false)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.wait()
		if d := l.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		select {
		case <-f.silent:
			// The bytes are lost, and so is the end of the connection.
			<-l.closed
			return
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.open == nil:
		g.open = make(chan struct{})
		close(g.open)
	case open && !g.isOpen():
		close(g.open)
	case !open && g.isOpen():
		g.open = make(chan struct{})
	}
}

func (g *gate) isOpen() bool {
	select {
	case <-g.open:
		return true
	default:
		return false
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}
