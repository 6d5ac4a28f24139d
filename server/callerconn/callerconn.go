// Package callerconn bounds the time that callers may take to send the header of a request and to leave a connection
// unused. net/http fixes both when its server starts; here they may change while connections are open.
package callerconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits are the times in force. Both must be positive.
type Limits struct {
	// Header is the longest time from the first byte of a request to the end of its header.
	Header time.Duration
	// Idle is how long a connection may be open without a request.
	Idle time.Duration
}

// listener wraps each connection that it accepts.
type listener struct {
	net.Listener
	limits func() Limits
}

// Bound makes the server close connections that exceed the limits, which are read again at the start of each wait. The
// server must have no timeouts of its own for the header and for idle connections. It returns the listener to serve.
func Bound(server *http.Server, l net.Listener, limits func() Limits) net.Listener {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if bounded, ok := c.(*conn); ok {
			bounded.enter(state)
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

// conn sets its read deadline before each read outside a request, because net/http resets it between the reads.
type conn struct {
	net.Conn
	limits func() Limits

	mu sync.Mutex // guards the fields below
	// idle is true until the first byte of a request; until is the end of the wait, zero while a request is served.
	idle  bool
	until time.Time
}

// enter takes a change of state, which net/http reports before it waits for the next byte.
func (c *conn) enter(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.idle, c.until = true, time.Now().Add(c.limits().Idle)
	case http.StateActive:
		// Reported once the header is read.
		c.idle, c.until = false, time.Time{}
		// An error shows at the next read.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if !c.until.IsZero() {
		if err := c.SetReadDeadline(c.until); err != nil {
			c.mu.Unlock()
			return 0, err
		}
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if c.idle {
			c.idle, c.until = false, time.Now().Add(c.limits().Header)
		}
		c.mu.Unlock()
	}
	return n, err
}
