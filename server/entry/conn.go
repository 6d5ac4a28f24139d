package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/server/peer"
	"clementinetray/server/relay"
	"clementinetray/server/tcpend"
)

// errSealed is returned by writes to a connection after its attempt was abandoned.
var errSealed = errs.Class("connection sealed")

// sealableConn counts writes, which shows whether any byte of a request may have reached the network. After seal every write
// fails, also that of a transport goroutine that still works on a cancelled request, so that the count is final.
type sealableConn struct {
	net.Conn
	// opened is when the connection was opened.
	opened time.Time
	// relayed is the connection through a relay, nil if the connection is direct.
	relayed *relay.Conn
	// paths notes when a direct connection delivers bytes; onDelivery, if it isn't nil, is called then, once in deliveryInterval at most.
	paths      *pathWatch
	onDelivery func()
	// lastDelivery is when onDelivery was last called. Only Read uses it, which one goroutine at a time calls.
	lastDelivery time.Time
	// isStray is set for a relayed connection that is kept for direct use.
	isStray bool
	// onClose is called at the first Close, if it isn't nil.
	onClose func()
	// ends tells how a direct connection ended.
	ends   tcpend.Watch
	mu     sync.Mutex // guards writes and sealed
	writes int
	sealed bool
}

// deliveryInterval is short beside the 120 ms after which a dial that fails casts doubt on the paths.
const deliveryInterval = 50 * time.Millisecond

// path returns the kind of the connection as a value of runningAttempt.path.
func (c *sealableConn) path() int32 {
	switch {
	case c.isStray:
		return pathStray
	case c.relayed != nil:
		return pathRelayed
	}
	return pathDirect
}

// Read notes that a direct connection delivers bytes. Its error is io.EOF only after an orderly end, as that ends an answer without a
// length. A relay tells by itself how the connection to the backend server ended.
func (c *sealableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.relayed == nil {
		err = c.ends.End(c.Conn)
	}
	if n > 0 && c.paths != nil {
		c.paths.noteRead()
		if now := time.Now(); c.onDelivery != nil && now.Sub(c.lastDelivery) >= deliveryInterval {
			c.lastDelivery = now
			c.onDelivery()
		}
	}
	return n, err
}

// Write counts the call before it writes, so that a write in progress counts too.
func (c *sealableConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed.New("%s", c.RemoteAddr())
	}
	c.writes++
	c.mu.Unlock()
	return c.ends.Write(c.Conn, p)
}

// Close closes the connection. A request that was not delivered is dropped.
func (c *sealableConn) Close() error {
	c.mu.Lock()
	onClose := c.onClose
	c.onClose = nil
	c.mu.Unlock()
	if onClose != nil {
		onClose()
	}
	return tcpend.Close(c.Conn)
}

// writeCount returns the number of writes that were started.
func (c *sealableConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection for good and returns the number of writes that were started on it.
func (c *sealableConn) seal() int {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}

// connTrace records the connections that one attempt used.
type connTrace struct {
	mu   sync.Mutex
	used []usedConn
	// hasUncountedConn is set when the attempt used a connection that is no sealableConn, so that its writes aren't counted.
	hasUncountedConn bool
	// reused is set when an earlier attempt had used the last connection.
	reused bool
	sealed bool
	// running is told which connection the attempt got; it may be nil.
	running *runningAttempt
}

// lastRelayed returns the attempt's last connection if it goes through a relay, else nil.
func (t *connTrace) lastRelayed() *relay.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.used) == 0 {
		return nil
	}
	return t.used[len(t.used)-1].conn.relayed
}

// linkState returns the state of the attempt's last connection.
func (t *connTrace) linkState() linkState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.used) == 0 {
		return linkUnknown
	}
	return readLinkState(t.used[len(t.used)-1].conn.Conn)
}

type usedConn struct {
	conn *sealableConn
	// writesBefore is the number of writes on the connection when the attempt got it.
	writesBefore int
}

func (t *connTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reused = info.Reused
	conn, ok := info.Conn.(*sealableConn)
	if !ok {
		t.hasUncountedConn = true
		return
	}
	if t.sealed {
		conn.seal()
		return
	}
	t.used = append(t.used, usedConn{conn: conn, writesBefore: conn.writeCount()})
	if t.running != nil {
		t.running.path.Store(conn.path())
		t.running.opened.Store(&conn.opened)
	}
}

// seal closes all connections of the attempt and reports whether a byte of its request may have been written.
func (t *connTrace) seal() (written bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
	written = t.hasUncountedConn
	for _, u := range t.used {
		if u.conn.seal() > u.writesBefore {
			written = true
		}
	}
	return written
}

// connectionState reports whether the attempt got a connection, and whether an earlier attempt had used the last one.
func (t *connTrace) connectionState() (connected, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasUncountedConn || len(t.used) > 0, t.reused
}

const (
	// dialTimeout allows for two lost SYN packets, and leaves time to try another backend server within the time that callers
	// accept.
	dialTimeout = 700 * time.Millisecond
	// idleTimeout is short because a request that is sent while the server closes the idle connection costs an attempt.
	idleTimeout    = 15 * time.Second
	maxIdlePerHost = 64
	// A backend server whose machine stopped responding is detected within 3 s, also while the caller waits for its answer: on
	// Linux, with a user timeout, a connection ends at the first keep-alive timer at which a probe is outstanding and the user
	// timeout has passed since the last packet. userTimeout is above keepAliveIdle plus keepAlivePeriod, so that this takes two
	// lost probes: at 2 s, one lost packet ended the connection of a sound server. keepAliveCount has the same effect where no
	// user timeout is in force.
	keepAliveIdle   = time.Second
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
	userTimeout     = 2200 * time.Millisecond
	// maxAnswerHeaderBytes bounds the header of a backend server's answer, which a faulty one may send without end.
	maxAnswerHeaderBytes = 64 << 10
)

// dialTCP opens a TCP connection to a backend server or another instance.
func dialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Control: peer.UserTimeout(userTimeout), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveCount,
	}}
	return peer.Dial(ctx, dialer, address, timeout)
}

// newTransport returns a transport whose connections dial opens. Calls that aren't idempotent need one with disableKeepAlives, which
// opens a connection for each request: on a reused connection it can't be decided whether a reset came before the call ran
// or after.
func newTransport(dial relay.DialFunc, disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address, dialTimeout)
		},
		DisableCompression:     true,
		DisableKeepAlives:      disableKeepAlives,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		WriteBufferSize:        4 << 10,
		ReadBufferSize:         4 << 10,
	}
}
