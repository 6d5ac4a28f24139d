package entry

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/control"
	"clementinetray/server/relay"
)

const (
	// pathTick is how often attempts on direct connections are looked at.
	pathTick = 200 * time.Millisecond
	// silentPath is how long no direct connection may deliver a byte while attempts wait on some before the paths are checked. Most first
	// events take less.
	silentPath = 400 * time.Millisecond
	// checkInterval is the time between checks while the paths work. Each opens a connection to a backend server.
	checkInterval = 1500 * time.Millisecond
	// unansweredAfter is how long an attempt must have been silent before its connection is looked at. The kernel sends data again after
	// 200 ms at the earliest.
	unansweredAfter = 300 * time.Millisecond
	// maxServerChecks bounds the servers that are dialled at a time because they acknowledge nothing.
	maxServerChecks = 3
	// strayInterval is how often idle connections are closed while idle relayed ones are among those that are kept for direct use.
	strayInterval = time.Second
	// deadPath is how long no direct connection has delivered a byte when the attempts on them are given up, once the instance is cut.
	deadPath = 500 * time.Millisecond
)

// errPathCut is the cancellation cause of an attempt on a direct connection that delivers nothing while the instance has no path to the
// backend servers.
var errPathCut = errs.Class("no path to the backend servers")

// pathWatch is what the handler notes of its direct connections.
type pathWatch struct {
	// lastDirectRead is when a direct connection last delivered bytes, since start.
	lastDirectRead atomic.Int64
	start          time.Time
	checking       atomic.Bool
	// stray is the number of relayed connections that keepAliveTransport holds.
	stray atomic.Int64
	// lastCheck is when the paths were last checked, lastClose when idle connections were last closed for stray ones. Only watchPaths
	// uses them.
	lastCheck, lastClose time.Time
	// serverChecks is when servers that acknowledge nothing were last dialled. Only watchPaths uses it.
	serverChecks map[string]time.Time
}

func (w *pathWatch) noteRead() { w.lastDirectRead.Store(int64(time.Since(w.start))) }

func (w *pathWatch) lastRead() time.Time { return w.start.Add(time.Duration(w.lastDirectRead.Load())) }

// newDialer returns the dialer of connections to backend servers.
func (h *Handler) newDialer() (*relay.Dialer, error) {
	return relay.NewDialer(relay.Config{
		Instance: h.cfg.Instance, AvailabilityZone: h.cfg.AvailabilityZone, Region: h.cfg.Region, Secret: h.cfg.PeerSecret, Board: h.cfg.Board,
		DialDirect: h.cfg.DialDirect, OnChange: h.onPathChange, OnUnanswered: h.recordSilence, Registerer: h.cfg.Registerer, Log: h.cfg.Log,
	})
}

// Dialer returns the dialer of connections to backend servers, which a relay of this instance uses too.
func (h *Handler) Dialer() *relay.Dialer { return h.dialer }

// serverIDKey is the context key of the id of the backend server that a connection is opened to.
type serverIDKey struct{}

func withServerID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, serverIDKey{}, id)
}

// dialForKeeping opens a connection for keepAliveTransport, which keeps it for direct use. It counts relayed ones, which a dial may return
// before the direct path is known to be down.
func (h *Handler) dialForKeeping(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := h.dialForTransport(ctx, address, timeout)
	if c, ok := conn.(*sealableConn); ok && c.relayed != nil {
		h.paths.stray.Add(1)
		c.isStray = true
		c.onClose = func() { h.paths.stray.Add(-1) }
	}
	return conn, err
}

// dialForTransport opens a connection for a transport. The context of the request names the backend server.
func (h *Handler) dialForTransport(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	id, _ := ctx.Value(serverIDKey{}).(string)
	conn, err := h.dialer.Dial(ctx, id, address, timeout)
	if err != nil {
		return nil, err
	}
	out := &sealableConn{Conn: conn, opened: time.Now()}
	if relayed, ok := conn.(*relay.Conn); ok {
		out.relayed = relayed
	} else {
		out.paths = &h.paths
		if id != "" {
			out.onDelivery = func() { h.dialer.Delivered(id) }
		}
	}
	return out, nil
}

// onPathChange is called when the instance finds itself cut off from all backend servers, and when that ends. What it took for faults of
// the servers in the time before was that of its own paths.
func (h *Handler) onPathChange(cut bool) {
	if !cut {
		return
	}
	h.keepAliveTransport.CloseIdleConnections()
	h.suspectUntil.keepOnly(func(string) bool { return false })
	h.balance.ForgetFailures()
	h.outcomes.dropConnectionSuspects()
}

// watchPaths checks the paths to the backend servers when they are silent, and gives up attempts on dead ones, until ctx ends.
func (h *Handler) watchPaths(ctx context.Context) {
	ticker := time.NewTicker(pathTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if h.dialer.Cut() {
				h.giveUpOnDeadPaths(now)
				continue
			}
			h.checkSilentPaths(ctx, now)
			h.checkUnansweringServers(ctx, now)
			h.closeUnneededRelayed(now)
		}
	}
}

// closeUnneededRelayed closes relayed connections when they are idle and the direct paths work.
func (h *Handler) closeUnneededRelayed(now time.Time) {
	if h.dialer.OpenCount() == 0 || h.dialer.SomeDown() {
		return
	}
	h.relayedTransport.CloseIdleConnections()
	if now.Sub(h.paths.lastClose) >= strayInterval && h.hasIdleStray() {
		h.paths.lastClose = now
		h.keepAliveTransport.CloseIdleConnections()
	}
}

// hasIdleStray reports whether keepAliveTransport holds a relayed connection that no attempt uses. Those in use can't be closed, and
// closing idle connections for them would only close direct ones.
func (h *Handler) hasIdleStray() bool {
	idle := h.paths.stray.Load()
	if idle == 0 {
		return false
	}
	h.runningAttempts.forEach(func(a *runningAttempt) {
		if a.path.Load() == pathStray {
			idle--
		}
	})
	return idle > 0
}

// checkSilentPaths dials a backend server that an attempt waits for, if no direct connection delivers anything and there are relays. Requests on kept
// connections would otherwise show a cut only when new connections are needed.
func (h *Handler) checkSilentPaths(ctx context.Context, now time.Time) {
	if now.Sub(h.paths.lastRead()) < silentPath || now.Sub(h.paths.lastCheck) < checkInterval || !h.dialer.HasRelays() {
		return
	}
	server := ""
	h.runningAttempts.forEach(func(a *runningAttempt) {
		if a.isSilentOnDirect(now, silentPath) {
			server = a.server
		}
	})
	row := h.cfg.Board.Fleet.Load().Servers[server]
	if row == nil || !h.paths.checking.CompareAndSwap(false, true) {
		return
	}
	h.paths.lastCheck = now
	h.background.Go(func() {
		defer h.paths.checking.Store(false)
		h.dialer.Check(ctx, row.ID, row.Address, dialTimeout)
	})
}

// giveUpOnDeadPaths cancels attempts on direct connections in favour of others, if no direct connection delivers anything. An attempt that
// must not be repeated keeps its connection. The silence of a run that has sent no event shows nothing: only packets that the other end does
// not acknowledge tell a dead connection from one that lives on while packets of new ones are dropped. Where new connections are refused,
// packets go both ways: established connections are sound, or reset when they are used.
func (h *Handler) giveUpOnDeadPaths(now time.Time) {
	if h.dialer.Refused() || now.Sub(h.paths.lastRead()) < deadPath {
		return
	}
	var silent []*exchange
	h.runningAttempts.forEach(func(a *runningAttempt) {
		if a.repeatable.Load() && a.isSilentOnDirect(now, deadPath) {
			silent = append(silent, a.exchange)
		}
	})
	for _, x := range silent {
		if x.ctx.Err() == nil && (x.running.streaming.Load() || x.mayBeDead()) {
			x.giveUp(errPathCut.New("nothing received for %s", now.Sub(time.Unix(0, x.running.lastActive.Load())).Round(time.Millisecond)))
		}
	}
}

// mayBeDead reports whether the attempt's connection is dead as far as the kernel tells.
func (x *exchange) mayBeDead() bool {
	state := x.trace.linkState()
	return state == linkDead || state == linkUnknown
}

// checkUnansweringServers dials backend servers that don't acknowledge what attempts on direct connections sent. Requests on kept connections
// would otherwise not show that the machine of a server is away.
func (h *Handler) checkUnansweringServers(ctx context.Context, now time.Time) {
	maps.DeleteFunc(h.paths.serverChecks, func(_ string, at time.Time) bool { return now.Sub(at) >= checkInterval })
	last := map[string]*runningAttempt{}
	h.runningAttempts.forEach(func(a *runningAttempt) {
		if other := last[a.server]; a.isSilentOnDirect(now, unansweredAfter) && (other == nil || a.began.After(other.began)) {
			last[a.server] = a
		}
	})
	if len(last) == 0 || !h.dialer.HasRelays() {
		return
	}
	started, servers := 0, h.cfg.Board.Fleet.Load().Servers
	for id, a := range last {
		row := servers[id]
		if _, isRecent := h.paths.serverChecks[id]; row == nil || isRecent || started == maxServerChecks {
			continue
		}
		if state := a.exchange.trace.linkState(); state != linkUnanswered && state != linkDead {
			continue
		}
		started++
		h.paths.serverChecks[id] = now
		h.background.Go(func() { h.dialer.Check(ctx, row.ID, row.Address, dialTimeout) })
	}
}

// isSilentOnDirect reports whether the attempt has a direct connection and received nothing for the time.
func (a *runningAttempt) isSilentOnDirect(now time.Time, silent time.Duration) bool {
	return a.path.Load() == pathDirect && now.Sub(time.Unix(0, a.lastActive.Load())) >= silent
}

// Values of runningAttempt.path.
const (
	pathNone = iota
	pathDirect
	pathRelayed
	// pathStray is a relayed connection that keepAliveTransport holds.
	pathStray
)

// isPathFault reports whether the failure of an attempt is that of this instance's paths or of a relay, and no evidence against the
// backend server.
func (x *exchange) isPathFault(f *attemptError) bool {
	switch {
	case relay.ErrNoPath.Has(f.err), errPathCut.Has(f.err), x.pathLost:
		return true
	case errRestarted.Has(f.err), f.kind == failDial:
		return false
	}
	if relayed := x.trace.lastRelayed(); relayed != nil {
		return f.kind == failBroken && relayed.RelayBroke()
	}
	// The kernel gave the connection up, as it does while the path drops packets.
	timedOut := f.kind == failProtocol && errors.Is(f.err, syscall.ETIMEDOUT)
	isConnection := timedOut || f.kind == failBroken || f.kind == failNoAnswer || f.kind == failTimeout && !x.answered
	return isConnection && x.running.path.Load() == pathDirect && x.h.dialer.Cut()
}

// hasLostPath dials the backend server of an attempt whose direct connection broke, and reports whether only a relay reaches it or nothing
// can be found out. Whether the instance is cut is known only later.
func (x *exchange) hasLostPath() bool {
	if x.running.path.Load() != pathDirect || !x.h.dialer.HasRelays() {
		return false
	}
	conn, err := x.h.dialer.Dial(x.ctx, x.server.ID, x.server.Address, dialTimeout)
	if err != nil {
		return relay.ErrNoPath.Has(err)
	}
	_ = conn.Close()
	_, relayed := conn.(*relay.Conn)
	return relayed && x.h.dialer.RelayedFirst(x.server.ID)
}

// probeServer returns nil if a backend server accepts a connection or this instance has no path to find out, else the error of the dial.
func (h *Handler) probeServer(ctx context.Context, server *control.BackendServer, timeout time.Duration) error {
	conn, err := h.dialer.Dial(ctx, server.ID, server.Address, timeout)
	if err == nil {
		_ = conn.Close()
	}
	if relay.ErrNoPath.Has(err) {
		return nil
	}
	return err
}
