// Package callerconn limits how long callers may take to send the header of a request and how long they may leave a
// connection idle. Unlike the timeouts of net/http, which are fixed when the server starts, these limits may change while
// connections are open.
package callerconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits holds the timeouts of caller connections. Both must be positive.
type Limits struct {
	// HeaderTimeout is the maximum time from the first byte of a request to the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a connection may be open without a request.
	IdleTimeout time.Duration
}

// listener wraps each connection that it accepts in a conn.
type listener struct {
	net.Listener
	limits func() Limits
}

// ApplyLimits makes the server close connections that exceed the limits, and returns the listener to pass to Serve.
// limits is called whenever a connection starts to wait for a request or for the rest of a header. The server must not
// have its own timeouts for the header and for idle connections. Its ConnState hook is replaced.
func ApplyLimits(server *http.Server, l net.Listener, limits func() Limits) net.Listener {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if bounded, ok := c.(*conn); ok {
			bounded.updateDeadline(state)
		}
	}
	return &listener{Listener: l, limits: limits}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits}, nil
}

// conn sets its read deadline before each read outside a request, because net/http resets the deadline between reads.
type conn struct {
	net.Conn
	limits func() Limits

	mu sync.Mutex // guards the fields below
	// idle is true until the first byte of a request arrives. deadline is the read deadline, zero while a request is served.
	idle     bool
	deadline time.Time
}

// updateDeadline updates the deadline for the new state, which net/http reports before it waits for the next byte.
func (c *conn) updateDeadline(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.idle, c.deadline = true, time.Now().Add(c.limits().IdleTimeout)
	case http.StateActive:
		// net/http reports this state once it has read the header.
		c.idle, c.deadline = false, time.Time{}
		// If this fails, the next read returns the error.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if !c.deadline.IsZero() {
		if err := c.SetReadDeadline(c.deadline); err != nil {
			c.mu.Unlock()
			return 0, err
		}
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if c.idle {
			c.idle, c.deadline = false, time.Now().Add(c.limits().HeaderTimeout)
		}
		c.mu.Unlock()
	}
	return n, err
}
