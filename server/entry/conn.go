package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/server/peer"
)

// errSealed is returned by writes to a connection after its attempt was given up.
var errSealed = errs.Class("connection sealed")

// sealableConn counts writes, so that it can be told whether a request reached the network. After seal no byte can be
// written any more, also not by a goroutine of the transport that is still busy with a cancelled request.
type sealableConn struct {
	net.Conn
	mu     sync.Mutex // guards writes and sealed
	writes int
	sealed bool
}

// Write counts the call before it is made: a write that was begun counts as written.
func (c *sealableConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed.New("%s", c.RemoteAddr())
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *sealableConn) written() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection and returns the number of writes begun on it.
func (c *sealableConn) seal() int {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Conn.Close()
	return writes
}

// connTrace records the connections that one attempt used.
type connTrace struct {
	mu   sync.Mutex
	used []usedConn
	// opaque says that a connection of another type was used, so that nothing is known of its writes.
	opaque bool
	reused bool
	sealed bool
}

type usedConn struct {
	conn   *sealableConn
	before int
}

func (t *connTrace) with(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reused = info.Reused
	conn, ok := info.Conn.(*sealableConn)
	if !ok {
		t.opaque = true
		return
	}
	if t.sealed {
		conn.seal()
		return
	}
	t.used = append(t.used, usedConn{conn: conn, before: conn.written()})
}

// seal closes each connection of the attempt and reports whether a byte of its request may have been written.
func (t *connTrace) seal() (written bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
	written = t.opaque
	for _, u := range t.used {
		if u.conn.seal() > u.before {
			written = true
		}
	}
	return written
}

func (t *connTrace) connected() (got, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opaque || len(t.used) > 0, t.reused
}

const (
	// dialTimeout leaves room for two lost opening packets, and for another backend server within the time that callers want.
	dialTimeout = 700 * time.Millisecond
	// idleTimeout is short because an idle connection that its server closes costs an attempt.
	idleTimeout    = 15 * time.Second
	maxIdlePerHost = 64
	// A backend server that went dark is noticed within keepAliveIdle plus peer.SilenceLimit, also while it should answer.
	keepAliveIdle   = time.Second
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
)

// newTransport returns a transport to backend servers. fresh makes it use each connection once, which non-idempotent calls
// need: a reset of a kept connection can't be told from a lost answer.
func newTransport(fresh bool) *http.Transport {
	dialer := net.Dialer{Control: peer.LimitSilence, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveCount,
	}}
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := peer.Dial(ctx, dialer, address, dialTimeout)
			if err != nil {
				return nil, err
			}
			return &sealableConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
	}
}
