package callerconn

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/server/clock"
	"clementinetray/server/connlimit"
)

// Config holds the limits of a Guard. A limit of 0 is not applied.
type Config struct {
	Connections connlimit.Limits
	// MaxHeaderBytes and MaxHeaderFields bound one header, HeaderMemory what all headers take beyond the first 4 KiB of each.
	MaxHeaderBytes, MaxHeaderFields int
	HeaderMemory                    int64
	// BodyMemory bounds the request bodies of all listeners that don't bound them otherwise.
	BodyMemory int64
	// BodyProgress is how long a body may make no progress; a body that makes MinBodyRate bytes per second is never too slow.
	BodyProgress time.Duration
	MinBodyRate  int
	// WriteProgress is how long a client may accept less than 16 KiB of an answer.
	WriteProgress time.Duration
	// SocketBuffer is the size in bytes of the kernel's buffers for each direction of a connection.
	SocketBuffer int
	// Stalls tells how old a new connection may be. Without it the age of requests is not known. Nor is that of requests of callers.
	Stalls     *clock.Stalls
	Registerer prometheus.Registerer
	Log        *slog.Logger
}

// Guard applies limits to the connections of all listeners of a process. It is safe for concurrent use.
type Guard struct {
	config  Config
	headers memoryBudget
	bodies  memoryBudget
	// limited counts what the limits closed or refused, by listener and reason; open is the number of connections.
	limited *prometheus.CounterVec
	open    *prometheus.GaugeVec

	mu    sync.Mutex // guards table
	table *connlimit.Table

	logMu sync.Mutex // guards the fields below
	// unlogged counts by listener and reason since the last log line, which was written at lastLog.
	unlogged map[string]int
	lastLog  time.Time
}

// logInterval is the shortest time between two log lines about limits.
const logInterval = 5 * time.Second

// NewGuard returns a guard without connections.
func NewGuard(config Config) *Guard {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	g := &Guard{
		config: config, table: connlimit.NewTable(config.Connections), unlogged: map[string]int{},
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinetray_client_limits_total", Help: "Connections and requests that a limit of clients closed or refused, by listener and reason.",
		}, []string{"listener", "reason"}),
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "clementinetray_connections", Help: "Open connections by listener.",
		}, []string{"listener"}),
	}
	g.headers.limit, g.bodies.limit = config.HeaderMemory, config.BodyMemory
	if config.Registerer != nil {
		config.Registerer.MustRegister(g.limited, g.open)
	}
	return g
}

// add registers a new connection and closes another one if there are too many. It returns false if the new one must be closed.
func (g *Guard) add(c *conn) bool {
	source, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		source = c.RemoteAddr().String()
	}
	g.mu.Lock()
	entry, victim, ok := g.table.Add(c.listener, source, time.Now())
	if ok {
		entry.Owner, c.entry = c, entry
	}
	g.mu.Unlock()
	if !ok {
		g.count(c.listener, "too_many_connections")
		return false
	}
	g.open.WithLabelValues(c.listener).Inc()
	if victim != nil {
		g.evict(victim)
	}
	if g.config.SocketBuffer > 0 {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(g.config.SocketBuffer)
			_ = tcp.SetWriteBuffer(g.config.SocketBuffer)
		}
	}
	return true
}

// evict closes a connection that the table has removed.
func (g *Guard) evict(victim *connlimit.Conn) {
	old, ok := victim.Owner.(*conn)
	if !ok {
		return
	}
	g.open.WithLabelValues(old.listener).Dec()
	g.count(old.listener, "evicted")
	_ = old.Conn.Close()
}

func (g *Guard) setWaiting(c *conn, waiting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetWaiting(c.entry, waiting, time.Now())
}

// setIdle records that the connection waits for a request; answered is true after the answer to another one.
func (g *Guard) setIdle(c *conn, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if answered {
		g.table.SetWaiting(c.entry, false, now)
		g.table.SetAnswered(c.entry)
	}
	g.table.SetWaiting(c.entry, true, now)
}

// remove takes a connection out of the table unless it was evicted or removed before.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	removed := g.table.Remove(c.entry)
	g.mu.Unlock()
	if removed {
		g.open.WithLabelValues(c.listener).Dec()
	}
}

// count counts something that a limit closed or refused, and writes a log line at most every logInterval.
func (g *Guard) count(listener, reason string) {
	g.limited.WithLabelValues(listener, reason).Inc()
	g.logMu.Lock()
	defer g.logMu.Unlock()
	g.unlogged[listener+"."+reason]++
	now := time.Now()
	if now.Sub(g.lastLog) < logInterval {
		return
	}
	fields := make([]any, 0, 2*len(g.unlogged))
	for name, count := range g.unlogged {
		fields = append(fields, name, count)
	}
	g.config.Log.Warn("client_limits", fields...)
	g.lastLog = now
	clear(g.unlogged)
}

// memoryBudget bounds the bytes that are reserved at the same time. A limit of 0 means that there is none.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *memoryBudget) take(size int) bool {
	if b.used.Add(int64(size)) > b.limit && b.limit > 0 {
		b.used.Add(-int64(size))
		return false
	}
	return true
}

func (b *memoryBudget) release(size int) { b.used.Add(-int64(size)) }

// refusalText returns a whole answer without a body, after which the connection is closed.
func refusalText(status int) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: 1\r\n"
	}
	return text + "\r\n"
}
