// Package callerconn bounds what the clients of a process's listeners may use: connections, bytes and fields of headers, bodies,
// and time without progress. Unlike the timeouts of net/http, which are fixed when the server starts, the times for a header
// and for idle connections may change while connections are open.
package callerconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"clementinetray/server/clock"
	"clementinetray/server/connlimit"
)

// Limits holds the timeouts of connections. Both must be positive.
type Limits struct {
	// HeaderTimeout is the maximum time from the first byte of a request to the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a connection may be open without a request.
	IdleTimeout time.Duration
}

const (
	// freeHeaderBytes is the part of each header that is not taken from the budget, so that ordinary requests are read while
	// large headers take all of it. It is the size of the read buffer of net/http.
	freeHeaderBytes = 4 << 10
	// headerCopies is the memory that a header takes in relation to its size: the line buffer and the fields' text.
	headerCopies = 2
	// freeHeaderFields is the number of fields of each header that is not taken from the budget: more than ordinary clients send.
	freeHeaderFields = 48
	// fieldMemory is the memory of one field: its entry in the map, its value's slice and their allocations.
	fieldMemory = 256
	// writePiece is the number of bytes that a client must accept within the time for progress.
	writePiece = 16 << 10
	// slowWrite is how long a write may block before the connection counts as waiting for its client.
	slowWrite = time.Second
	// refusalGrace is how long the rest of a body is read after the answer to its request, so that the client reads the answer
	// before a reset.
	refusalGrace = time.Second
)

// listener wraps each connection that it accepts in a conn.
type listener struct {
	net.Listener
	guard  *Guard
	name   string
	limits func() Limits
}

// Protect makes the server keep to the guard's limits and to the given timeouts, and returns the listener to pass to Serve.
// limits is called whenever a connection starts to wait for a request or for the rest of a header. The server must not have
// its own timeouts for the header and for idle connections. Its ConnState and ConnContext hooks and its MaxHeaderBytes are
// replaced, and its handler is wrapped.
func (g *Guard) Protect(server *http.Server, l net.Listener, name string, limits func() Limits) net.Listener {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if bounded, ok := c.(*conn); ok {
			bounded.updateState(state)
		}
	}
	server.ConnContext = withConn
	server.MaxHeaderBytes = g.config.MaxHeaderBytes
	server.Handler = g.boundBodies(name, server.Handler)
	return &listener{Listener: l, guard: g, name: name, limits: limits}
}

// Listen returns a listener that bounds the number of connections, for a protocol other than HTTP. A connection counts as
// waiting until its method Established is called.
func (g *Guard) Listen(l net.Listener, name string) net.Listener {
	return &listener{Listener: l, guard: g, name: name}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, guard: l.guard, listener: l.name, limits: l.limits}
		if l.guard.config.Stalls != nil && l.name != CallerListener {
			c.tracksAge, c.unansweredSince = true, l.guard.config.Stalls.EarliestArrival()
		}
		if l.guard.add(c) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// phase is what a connection waits for.
type phase int

const (
	// phaseIdle lasts until the first byte of a request, phaseHeader to the end of its header, phaseBody to the end of its body.
	phaseIdle phase = iota
	phaseHeader
	phaseBody
	// phaseServed is that of a complete request, and of a connection without HTTP.
	phaseServed
)

// conn is a connection with limits. It sets its read deadline before each read, because net/http resets the deadline between
// reads.
type conn struct {
	net.Conn
	guard    *Guard
	listener string
	limits   func() Limits // nil without HTTP
	entry    *connlimit.Conn
	// tracksAge is set if unansweredSince is kept, which takes a system call for each request.
	tracksAge bool

	mu    sync.Mutex // guards the fields below
	phase phase
	// unansweredSince is the earliest time, on the clock of clock.Elapsed, at which the client can have sent the request that is being
	// read or served.
	unansweredSince time.Duration
	// deadline is the read deadline of phaseIdle and phaseHeader; readDeadline and writeDeadline are those that were set from outside.
	deadline                    time.Time
	readDeadline, writeDeadline time.Time
	// headerBytes and headerFields count what was read of the header, lineEmpty is true at the start of a line. headerEnded
	// is set at the empty line; bytes after it belong to the body.
	headerBytes, headerFields int
	lineEmpty, headerEnded    bool
	// reserved is the number of bytes taken from the budget of headers.
	reserved int
	// bodyStart is when the first byte of the body was waited for, zero before; bodyBytes counts those that were read.
	bodyStart time.Time
	bodyBytes int64
	// tooSlow is set once the body was given up or is not needed any more.
	tooSlow bool
	// refused is set once a header was refused: nothing more is read.
	refused bool
	closed  bool
}

// updateState is called with the new state, which net/http reports before it waits for the next byte.
func (c *conn) updateState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		if state == http.StateIdle && c.tracksAge {
			c.unansweredSince = clock.Elapsed()
		}
		c.phase, c.deadline = phaseIdle, time.Now().Add(c.limits().IdleTimeout)
		c.readDeadline = time.Time{}
		c.releaseHeader()
		c.guard.setIdle(c, state == http.StateIdle)
	case http.StateActive:
		// net/http reports this state once it has read the header. beginBody follows if the request has a body.
		c.phase, c.deadline = phaseServed, time.Time{}
		// If this fails, the next read returns the error.
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.guard.setWaiting(c, false)
	}
}

// Established marks a connection without HTTP as one of a client that is known.
func (c *conn) Established() { c.guard.setWaiting(c, false) }

func (c *conn) releaseHeader() {
	c.guard.headers.release(c.reserved)
	c.headerBytes, c.headerFields, c.reserved = 0, 0, 0
	c.lineEmpty, c.headerEnded = true, false
}

// beginBody is called before a request with a body is served.
func (c *conn) beginBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.bodyStart, c.bodyBytes, c.tooSlow = phaseBody, time.Time{}, 0, false
	c.guard.setWaiting(c, true)
}

// endBody is called when the body was read to its end.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseBody {
		return
	}
	c.phase = phaseServed
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	c.guard.setWaiting(c, false)
}

// abandonBody bounds the time in which net/http reads the rest of a body after the answer.
func (c *conn) abandonBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tooSlow = true
	c.readDeadline = time.Now().Add(refusalGrace)
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// bodyDeadline returns the read deadline while a body is read.
func (c *conn) bodyDeadline() time.Time {
	if c.bodyStart.IsZero() {
		c.bodyStart = time.Now()
	}
	if c.guard.config.BodyProgress == 0 {
		return c.readDeadline
	}
	steady := time.Duration(float64(c.bodyBytes) / float64(c.guard.config.MinBodyRate) * float64(time.Second))
	return earlier(c.readDeadline, c.bodyStart.Add(c.guard.config.BodyProgress+steady))
}

// earlier returns the earlier of two times, of which a zero one stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.phase == phaseBody {
		t = c.bodyDeadline()
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	size, err := c.beforeRead(len(p))
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p[:size])
	return n, c.afterRead(p[:n], err)
}

// beforeRead sets the read deadline and, in a header, reserves the memory for what is read next. It returns how much may be
// read.
func (c *conn) beforeRead(size int) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.refused:
		return 0, io.EOF
	case c.limits == nil || c.phase == phaseServed:
		return size, nil
	case c.phase == phaseBody:
		return size, c.Conn.SetReadDeadline(c.bodyDeadline())
	case c.headerBytes < freeHeaderBytes:
		size = min(size, freeHeaderBytes-c.headerBytes)
	default:
		if !c.reserveHeader(c.headerBytes + size) {
			return 0, io.EOF
		}
	}
	if c.deadline.IsZero() {
		return size, nil
	}
	return size, c.Conn.SetReadDeadline(c.deadline)
}

// reserveHeader takes the memory for a header of the given size with the fields that were counted, or refuses the request.
func (c *conn) reserveHeader(size int) bool {
	needed := max(0, size-freeHeaderBytes)*headerCopies + max(0, c.headerFields-freeHeaderFields)*fieldMemory
	missing := needed - c.reserved
	if missing <= 0 {
		return true
	}
	if !c.guard.headers.take(missing) {
		c.refuse("header_budget", http.StatusServiceUnavailable)
		return false
	}
	c.reserved += missing
	return true
}

func (c *conn) afterRead(p []byte, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits == nil {
		return err
	}
	if c.phase == phaseBody {
		c.bodyBytes += int64(len(p))
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.tooSlow {
			c.tooSlow = true
			c.guard.count(c.listener, "slow_body")
		}
		return err
	}
	if len(p) == 0 || c.phase == phaseServed {
		return err
	}
	if c.phase == phaseIdle {
		c.phase, c.deadline = phaseHeader, time.Now().Add(c.limits().HeaderTimeout)
		c.lineEmpty = true
	}
	c.headerBytes += len(p)
	c.countFields(p)
	if most := c.guard.config.MaxHeaderFields; most > 0 && c.headerFields > most {
		c.refuse("header_fields", http.StatusRequestHeaderFieldsTooLarge)
		return io.EOF
	}
	if !c.reserveHeader(c.headerBytes) {
		return io.EOF
	}
	return err
}

// countFields counts the lines of the header in p, up to the empty line at its end.
func (c *conn) countFields(p []byte) {
	for len(p) > 0 && !c.headerEnded {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end]
		}
		if len(bytes.TrimSuffix(line, []byte("\r"))) > 0 {
			c.lineEmpty = false
		}
		if end < 0 {
			return
		}
		if c.lineEmpty {
			c.headerEnded = c.headerFields > 0
		} else {
			c.headerFields++
		}
		c.lineEmpty = true
		p = p[end+1:]
	}
}

// refuse answers a request whose header is not read to its end. The caller returns io.EOF to net/http, which then closes the
// connection without an answer of its own.
func (c *conn) refuse(reason string, status int) {
	c.refused = true
	c.guard.count(c.listener, reason)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(slowWrite))
	_, _ = io.WriteString(c.Conn, refusalText(status))
}

// Write implements net.Conn. A client must accept writePiece bytes within the time for progress.
func (c *conn) Write(p []byte) (int, error) {
	if c.limits == nil || c.guard.config.WriteProgress == 0 {
		return c.Conn.Write(p)
	}
	written := 0
	for written < len(p) {
		n, err := c.writeSteadily(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeSteadily writes one piece. While it is blocked, the connection counts as one that waits for its client.
func (c *conn) writeSteadily(p []byte) (int, error) {
	n, err := c.writeUntil(p, time.Now().Add(slowWrite))
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.writeDeadlinePassed() {
		return n, err
	}
	c.guard.setWaiting(c, true)
	more, err := c.writeUntil(p[n:], time.Now().Add(c.guard.config.WriteProgress))
	if err == nil {
		c.guard.setWaiting(c, false)
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.count(c.listener, "slow_reader")
	}
	return n + more, err
}

func (c *conn) writeUntil(p []byte, deadline time.Time) (int, error) {
	c.mu.Lock()
	err := c.Conn.SetWriteDeadline(earlier(c.writeDeadline, deadline))
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *conn) writeDeadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.remove(c)
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.guard.headers.release(c.reserved)
		c.reserved = 0
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets net/http end the answer before it closes the connection, so that the client reads the answer first.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}
