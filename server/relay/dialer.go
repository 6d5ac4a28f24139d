package relay

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/peer"
)

const (
	// hedgeDelay is when a relayed dial starts beside a direct one that has not connected: after the first direct attempt of peer.Dial,
	// which allows for a round trip within a continent, has had no answer.
	hedgeDelay = 120 * time.Millisecond
	// lateHedgeDelay is that time if there were more relayed dials than hedgeShare while no path is in doubt, so that servers which are slow
	// to accept don't get twice the connections, which makes them slower still.
	lateHedgeDelay = 300 * time.Millisecond
	hedgeRecheck   = 20 * time.Millisecond
	// hedgeShare is the share of dials that may start a relayed one after hedgeDelay, hedgeBurst the number that may do so at once.
	hedgeShare = 0.1
	hedgeBurst = 3
	// directHedgeDelay is when a direct dial starts beside relayed ones while the direct path is thought to be down.
	directHedgeDelay = 400 * time.Millisecond
	// relayStagger is when the next relay is tried beside one that has not replied. Within a zone a reply takes a few milliseconds.
	relayStagger = 150 * time.Millisecond
	// relayReplyTimeout bounds one try of a relay, with relayServerTimeout for the connection from there to the backend server.
	relayReplyTimeout  = 450 * time.Millisecond
	relayServerTimeout = 200 * time.Millisecond
	// otherServerTimeout is how long a relay that did not reach a backend server waits for another one, to find out whether its paths work,
	// and otherServerStagger when it dials the next one beside it. Both leave time for the reply within relayReplyTimeout.
	otherServerTimeout = 100 * time.Millisecond
	otherServerStagger = 25 * time.Millisecond
	// maxOtherServers is the number of others that it dials: some may be dead as well.
	maxOtherServers = 3
	// maxRelayTries is the number of relays that one dial tries: one of the own zone, and two of others.
	maxRelayTries = 3
	// pathlessRelaysFor is how long no relays are asked about further backend servers that refused, after all that pathlessDials dials in a
	// row tried, or all that there are, had no paths themselves. While a whole site has lost its paths, each request would otherwise make
	// several instances dial each server.
	pathlessRelaysFor = 250 * time.Millisecond
	// pathlessDials is above 1 because a few relays tell little about a large site: if 60 of 100 instances are cut, the three relays of one
	// dial are all cut in a fifth of the dials, the nine of three dials in a hundredth.
	pathlessDials = 3
	// probeTimeout is how long a direct probe may take. It allows for a distant backend server and decides fast whether paths are cut.
	probeTimeout = 250 * time.Millisecond
	// tickInterval is how often due probes are looked for.
	tickInterval = 250 * time.Millisecond
)

// Config holds the dependencies of a Dialer.
type Config struct {
	// Instance, AvailabilityZone and Region are those of this entry instance.
	Instance, AvailabilityZone, Region string
	// Secret authenticates this instance to relays; nil where the network admits only the system's own processes.
	Secret []byte
	Board  *blackboard.Board
	// DialDirect opens direct connections to backend servers, DialRelay those to relays. Default: TCP.
	DialDirect, DialRelay DialFunc
	// OnChange is called when the instance finds itself cut off from all backend servers, and when that ends. It may be nil.
	OnChange func(cut bool)
	// OnUnanswered is called when a backend server has answered neither this instance nor a relay whose paths work. It may be nil.
	OnUnanswered func(server string)
	// Registerer may be nil.
	Registerer prometheus.Registerer
	Log        *slog.Logger
}

// Dialer opens connections to backend servers, directly or through relays. It is safe for concurrent use.
type Dialer struct {
	cfg     Config
	paths   *Paths
	choice  *Choice
	metrics *dialMetrics
	// wake makes Run look for due probes.
	wake   chan struct{}
	probes sync.WaitGroup
	// asking merges the questions to relays about a backend server that refused, checking the checks whether paths work.
	asking, checking merger
	hedges           hedgeBudget
	// refused is set when the last direct dial was refused.
	refused atomic.Bool
	// pathlessInARow is the number of dials in a row whose relays all had no paths themselves, and pathlessAt when they were enough to ask
	// none for a while, since began.
	pathlessInARow atomic.Int32
	pathlessAt     atomic.Int64
	began          time.Time
}

// NewDialer returns a dialer without evidence. Its probes run in Run.
func NewDialer(cfg Config) (*Dialer, error) {
	if cfg.DialDirect == nil {
		cfg.DialDirect = dialTCP
	}
	if cfg.DialRelay == nil {
		cfg.DialRelay = dialTCP
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func(bool) {}
	}
	if cfg.OnUnanswered == nil {
		cfg.OnUnanswered = func(string) {}
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	d := &Dialer{cfg: cfg, paths: NewPaths(), choice: NewChoice(cfg.Instance, cfg.AvailabilityZone, cfg.Region), wake: make(chan struct{}, 1), began: time.Now()}
	d.pathlessAt.Store(int64(-pathlessRelaysFor))
	d.cfg.DialDirect = func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		conn, err := cfg.DialDirect(ctx, address, timeout)
		if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
			d.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
		}
		return conn, err
	}
	var err error
	d.metrics, err = newDialMetrics(cfg.Registerer, d)
	return d, err
}

// Cut reports whether this instance takes itself for cut off from all backend servers.
func (d *Dialer) Cut() bool { return d.paths.Cut() }

// Refused reports whether the last direct dial was refused, so that packets go both ways.
func (d *Dialer) Refused() bool { return d.refused.Load() }

// RelayedFirst reports whether new connections to a backend server go through relays first.
func (d *Dialer) RelayedFirst(server string) bool { return d.paths.RelayedFirst(server) }

// SomeDown reports whether new connections to some backend server go through relays first.
func (d *Dialer) SomeDown() bool { return d.paths.SomeDown() }

// Delivered records that a direct connection to a backend server delivered bytes.
func (d *Dialer) Delivered(server string) { d.paths.Delivered(time.Now(), server) }

// HasRelays reports whether other instances forward connections.
func (d *Dialer) HasRelays() bool { return d.choice.Has(d.cfg.Board.Fleet.Load().Members) }

// OpenCount returns the number of open connections through relays.
func (d *Dialer) OpenCount() int { return d.choice.OpenCount() }

// dialed is the result of a direct dial or of the relayed ones.
type dialed struct {
	conn    net.Conn
	err     error
	relayed bool
}

// Dial opens a connection to a backend server within the timeout. It dials directly, and through relays when that takes too long or fails;
// the first connection is returned and the other one closed. While direct dials are known to fail, the order is reversed. The error is
// ECONNREFUSED if the backend server refused, as seen by a relay if the direct path is down, and of class ErrNoPath if nothing is
// known of the server.
func (d *Dialer) Dial(ctx context.Context, server, address string, timeout time.Duration) (net.Conn, error) {
	if server == "" || !d.HasRelays() {
		return d.cfg.DialDirect(ctx, address, timeout)
	}
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	r := &race{d: d, ctx: ctx, server: server, address: address, deadline: deadline, results: make(chan dialed, 2)}
	defer func() {
		cancel()
		r.closeOthers()
	}()
	if d.paths.RelayedFirst(server) {
		return r.run(r.startRelayed, r.startDirect, directHedgeDelay)
	}
	d.hedges.earn()
	return r.run(r.startDirect, r.startRelayed, hedgeDelay)
}

// hedgeBudget limits the relayed dials that start beside direct ones.
type hedgeBudget struct {
	mu    sync.Mutex // guards spent
	spent float64
}

// earn adds the share of one dial.
func (b *hedgeBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-hedgeShare, 0)
}

// spend takes one relayed dial from the budget and reports whether there was one.
func (b *hedgeBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent > hedgeBurst-1 {
		return false
	}
	b.spent++
	return true
}

// race is one dial over both ways.
type race struct {
	d               *Dialer
	ctx             context.Context
	server, address string
	deadline        time.Time
	results         chan dialed
	running         int
	directSince     time.Time
	directErr       error
	relayErr        error
}

// run starts the first way, and the second one after a delay or when the first has failed.
func (r *race) run(first, second func(), delay time.Duration) (net.Conn, error) {
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	startSecond := func() {
		if second != nil {
			second()
			second = nil
		}
	}
	first()
	if r.running == 0 {
		// No way was tried: a relay has just confirmed that it does not reach the server, which a direct dial can't better while the direct
		// path is down.
		return nil, r.err()
	}
	for r.running > 0 {
		select {
		case <-hedge.C:
			if second != nil && delay < lateHedgeDelay && !r.d.paths.Doubted(time.Now()) && !r.d.hedges.spend() {
				// Other dials may cast doubt on the paths meanwhile.
				delay += hedgeRecheck
				hedge.Reset(hedgeRecheck)
				continue
			}
			startSecond()
		case result := <-r.results:
			r.running--
			r.record(result)
			if result.err == nil {
				return result.conn, nil
			}
			if result.relayed && r.isRefused() {
				// The backend server answered the relay, which a direct dial that still waits can't better.
				return nil, r.err()
			}
			startSecond()
		case <-r.ctx.Done():
			if r.directErr == nil && !r.directSince.IsZero() && context.Cause(r.ctx) == context.DeadlineExceeded {
				r.recordFailure(dialed{err: r.ctx.Err()})
			}
			return nil, r.err()
		}
	}
	return nil, r.err()
}

func (r *race) startDirect() {
	r.running++
	r.directSince = time.Now()
	r.d.paths.DialStarted(r.server)
	go func() {
		conn, err := r.d.cfg.DialDirect(r.ctx, r.address, time.Until(r.deadline))
		r.results <- dialed{conn: conn, err: err}
	}()
}

// startRelayed starts the relayed dials, unless a relay has just confirmed that the server can't be reached.
func (r *race) startRelayed() {
	if confirmed, refused := r.d.paths.Confirmed(time.Now(), r.server); confirmed {
		seen := unreachable(refused, "a relay")
		seen.isOld = r.directErr == nil
		r.relayErr = seen
		return
	}
	dialRelays := r.d.dialRelays
	if errors.Is(r.directErr, syscall.ECONNREFUSED) {
		if r.d.relaysArePathless() {
			r.relayErr = Error.New("the relays have no paths")
			return
		}
		dialRelays = r.d.dialRelaysMerged
	}
	r.running++
	go func() {
		conn, err := dialRelays(r.ctx, r.server, r.address)
		r.results <- dialed{conn: conn, err: err, relayed: true}
	}()
}

// closeOthers closes what the dials return that are still running. Their context has ended.
func (r *race) closeOthers() {
	if r.running == 0 {
		return
	}
	go func() {
		for range r.running {
			result := <-r.results
			r.ended(result)
			if result.conn != nil {
				_ = result.conn.Close()
			}
		}
	}()
}

// record takes the result of a dial as evidence.
func (r *race) record(result dialed) {
	if result.err == nil {
		r.recordSuccess(result)
	} else {
		r.recordFailure(result)
	}
	r.ended(result)
}

// ended ends what startDirect started.
func (r *race) ended(result dialed) {
	if !result.relayed {
		r.d.paths.DialEnded(r.server)
	}
}

func (r *race) recordSuccess(result dialed) {
	now := time.Now()
	if !result.relayed {
		r.d.metrics.count("direct", nil)
		r.d.apply(r.d.paths.DirectOK(now, r.server))
		return
	}
	r.d.metrics.count("relayed", nil)
	if r.directErr == nil && !r.directSince.IsZero() && now.Sub(r.directSince) >= hedgeDelay {
		// The direct dial had more time than a healthy path needs.
		r.d.refused.Store(false)
		r.d.metrics.count("direct", context.DeadlineExceeded)
		r.d.apply(r.d.paths.DirectFailed(now, r.server, r.d.fleetSize()))
	}
	r.d.apply(r.d.paths.Relayed(now, r.server, r.d.fleetSize()))
	r.d.wakeRun()
}

func (r *race) recordFailure(result dialed) {
	if result.relayed {
		r.relayErr = result.err
		r.d.metrics.count("relayed", result.err)
		return
	}
	r.directErr = result.err
	r.d.metrics.count("direct", result.err)
	if !errors.Is(r.ctx.Err(), context.Canceled) {
		r.d.apply(r.d.paths.DirectFailed(time.Now(), r.server, r.d.fleetSize()))
	}
}

// isRefused reports whether the backend server refused a relay.
func (r *race) isRefused() bool {
	var seen *serverError
	return errors.As(r.relayErr, &seen) && errors.Is(seen, syscall.ECONNREFUSED)
}

// err returns the error of a dial that failed both ways.
func (r *race) err() error {
	var seen *serverError
	switch {
	case errors.As(r.relayErr, &seen) && (r.isRefused() || r.directErr == nil || r.d.paths.RelayedFirst(r.server)):
		// The relay has paths, so this is the state of the backend server.
		return Error.Wrap(seen)
	case errors.Is(r.ctx.Err(), context.Canceled):
		return Error.Wrap(r.ctx.Err())
	case r.d.paths.RelayedFirst(r.server):
		return ErrNoPath.New("%s: direct: %v, relayed: %v", r.address, r.directErr, r.relayErr)
	case r.directErr != nil:
		return r.directErr
	case r.relayErr != nil:
		return Error.Wrap(r.relayErr)
	}
	return Error.Wrap(r.ctx.Err())
}

// ConfirmedByRelay reports whether the error of a dial is the state of the backend server as a relay saw it, so that this instance's own
// paths are not the cause.
func ConfirmedByRelay(err error) bool {
	var seen *serverError
	return errors.As(err, &seen)
}

// IsOld reports whether the error of a dial is what a relay said to an earlier dial. The backend server may have started again since.
func IsOld(err error) bool {
	var seen *serverError
	return errors.As(err, &seen) && seen.isOld
}

// serverError is the failure of a backend server to accept a connection, as a relay saw it.
type serverError struct {
	relay string
	cause error
	// isOld is set when the dial asked nobody, as an earlier one had the answer.
	isOld bool
}

func (e *serverError) Error() string { return "seen by " + e.relay + ": " + e.cause.Error() }
func (e *serverError) Unwrap() error { return e.cause }

func unreachable(refused bool, relay string) *serverError {
	if refused {
		return &serverError{relay: relay, cause: syscall.ECONNREFUSED}
	}
	return &serverError{relay: relay, cause: context.DeadlineExceeded}
}

// merger lets one of several goroutines that need the same answer find it. Its zero value is ready.
type merger struct{ running sync.Map }

// begin returns a function to call at the end if no other goroutine is finding the answer for the key, else a channel that is closed at
// the end of that one.
func (m *merger) begin(key string) (end func(), other <-chan struct{}) {
	done := make(chan struct{})
	if running, isRunning := m.running.LoadOrStore(key, done); isRunning {
		return nil, running.(chan struct{})
	}
	return func() {
		m.running.Delete(key)
		close(done)
	}, nil
}

// dialRelaysMerged is dialRelays for a backend server that refused a direct dial. Of several at once, one asks the relays; the others dial
// only if the server turns out not to be dead.
func (d *Dialer) dialRelaysMerged(ctx context.Context, server, address string) (net.Conn, error) {
	end, other := d.asking.begin(server)
	if end != nil {
		defer end()
		return d.dialRelays(ctx, server, address)
	}
	select {
	case <-other:
	case <-time.After(relayStagger):
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
	if confirmed, refused := d.paths.Confirmed(time.Now(), server); confirmed {
		return nil, unreachable(refused, "a relay")
	}
	return d.dialRelays(ctx, server, address)
}

// relaysArePathless reports whether the relays that were tried last, or all that there are, had no paths themselves.
func (d *Dialer) relaysArePathless() bool {
	return time.Since(d.began)-time.Duration(d.pathlessAt.Load()) < pathlessRelaysFor
}

// countPathless records whether all relays of a dial had no paths themselves. wereAll is set if there are no others.
func (d *Dialer) countPathless(now time.Time, pathless, wereAll bool) {
	if !pathless {
		d.pathlessInARow.Store(0)
		return
	}
	if d.pathlessInARow.Add(1) >= pathlessDials || wereAll {
		d.pathlessAt.Store(int64(now.Sub(d.began)))
	}
}

// attempt is the outcome of one try of a relay.
type attempt struct {
	relay control.Member
	conn  net.Conn
	reply reply
	err   error
}

// pendingTry is a relay that has not replied yet.
type pendingTry struct {
	relay control.Member
	since time.Time
}

// dialRelays tries up to maxRelayTries relays, the next one beside one that is slow. A relay's statement that the backend server can't be
// reached counts only when that relay reaches another one: it may have lost its paths too and not know it yet, with its whole zone. A zone
// may also lose the paths to a part of the servers, so that statements of the own zone count only while no other one has relays.
func (d *Dialer) dialRelays(ctx context.Context, server, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan attempt, maxRelayTries)
	running, tried, began := 0, map[string]string{}, time.Now()
	pending := map[string]pendingTry{}
	defer func() {
		cancel()
		go func() {
			for range running {
				if a := <-results; a.conn != nil {
					_ = a.conn.Close()
				}
			}
		}()
	}()
	start := func() bool {
		if len(tried) >= maxRelayTries {
			return false
		}
		relay, ok := d.choice.Next(time.Now(), d.cfg.Board.Fleet.Load().Members, tried)
		if !ok {
			return false
		}
		tried[relay.Instance] = relay.AvailabilityZone
		pending[relay.Instance] = pendingTry{relay, time.Now()}
		running++
		d.cfg.Log.Debug("relay_chosen", "backend_server", server, "relay", relay.Instance, "availability_zone", relay.AvailabilityZone)
		go func() {
			conn, got, err := d.ask(ctx, &relay, server, address)
			results <- attempt{relay, conn, got, err}
		}()
		return true
	}
	if !start() {
		return nil, Error.New("no relay")
	}
	var doubtful []control.Member
	pathless := 0
	lastErr := Error.New("no relay replied in time")
	stagger := time.NewTimer(relayStagger)
	defer stagger.Stop()
	for {
		select {
		case <-stagger.C:
			if start() {
				stagger.Reset(relayStagger)
			}
			continue
		case <-ctx.Done():
			return nil, lastErr
		case a := <-results:
			running--
			delete(pending, a.relay.Instance)
			now := time.Now()
			switch {
			case a.err != nil:
				lastErr = a.err
				if ctx.Err() == nil {
					d.choice.Avoid(now, &a.relay)
				}
			case a.reply.status == statusConnected:
				for i := range doubtful {
					d.choice.Avoid(now, &doubtful[i])
				}
				for _, slow := range pending {
					if now.Sub(slow.since) >= relayStagger {
						d.choice.Avoid(now, &slow.relay)
					}
				}
				d.countPathless(now, false, false)
				return newConn(a.conn, a.relay.Instance, d.track(&a.relay)), nil
			case a.reply.status == statusRefused || a.reply.status == statusNoAnswer:
				isOwnZone := a.relay.AvailabilityZone == d.cfg.AvailabilityZone
				sharesPaths := isOwnZone && d.choice.HasOtherZone(now, d.cfg.Board.Fleet.Load().Members)
				if a.reply.pathsWork && !sharesPaths {
					d.paths.RelayFailed(now, server, a.reply.status == statusRefused)
					ownZoneOnly := isOwnZone && hasOtherZone(tried, d.cfg.AvailabilityZone)
					if a.reply.status == statusNoAnswer && !ownZoneOnly && !d.paths.WorkedSince(began, server) {
						d.cfg.OnUnanswered(server)
					}
					return nil, unreachable(a.reply.status == statusRefused, a.relay.Instance)
				}
				doubtful = append(doubtful, a.relay)
				if !a.reply.pathsWork {
					pathless++
					d.choice.Avoid(now, &a.relay)
				}
				lastErr = Error.New("%s doesn't reach %s, and may have lost its paths (reaches another backend server: %t)", a.relay.Instance, server, a.reply.pathsWork)
			case a.reply.status == statusCut:
				pathless++
				lastErr = Error.New("%s is cut itself", a.relay.Instance)
				d.choice.Avoid(now, &a.relay)
			case a.reply.status == statusNoCapacity:
				lastErr = Error.New("%s has no capacity", a.relay.Instance)
				d.choice.AvoidFull(now, &a.relay)
			default:
				lastErr = Error.New("%s does not know %s", a.relay.Instance, server)
			}
			if !start() && running == 0 {
				d.countPathless(now, pathless == len(tried), len(tried) < maxRelayTries)
				return nil, lastErr
			}
		}
	}
}

// hasOtherZone reports whether a relay that was tried is in a zone other than the given one.
func hasOtherZone(tried map[string]string, zone string) bool {
	for _, other := range tried {
		if other != zone {
			return true
		}
	}
	return false
}

// track counts a connection through a relay and returns the function to call at its end.
func (d *Dialer) track(relay *control.Member) func(relayBroke bool) {
	member := *relay
	d.choice.Opened(member.Instance)
	return func(relayBroke bool) {
		d.choice.Closed(member.Instance)
		if relayBroke {
			d.choice.Avoid(time.Now(), &member)
		}
	}
}

// ask opens a connection to a relay and asks it for one to the backend server. The connection is nil unless the reply is statusConnected.
func (d *Dialer) ask(ctx context.Context, relay *control.Member, server, address string) (net.Conn, reply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayReplyTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	conn, err := d.cfg.DialRelay(ctx, relay.RelayAddress, time.Until(deadline))
	if err != nil {
		return nil, reply{}, Error.Wrap(err)
	}
	stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
	got, err := handshake(conn, d.cfg.Secret, request{server, address, min(relayServerTimeout, time.Until(deadline))})
	if !stopClosing() {
		return nil, reply{}, Error.New("%s did not reply in time", relay.Instance)
	}
	if err != nil || got.status != statusConnected {
		_ = conn.Close()
		return nil, got, err
	}
	return conn, got, nil
}

func handshake(conn net.Conn, secret []byte, r request) (reply, error) {
	if err := peer.AuthenticateClient(conn, secret); err != nil {
		return reply{}, Error.Wrap(err)
	}
	if err := writeRequest(conn, r); err != nil {
		return reply{}, err
	}
	return readReply(conn)
}

// Check dials a backend server and closes the connection, to find out whether the paths work.
func (d *Dialer) Check(ctx context.Context, server, address string, timeout time.Duration) {
	if conn, err := d.Dial(ctx, server, address, timeout); err == nil {
		_ = conn.Close()
	}
}

func (d *Dialer) fleetSize() int { return len(d.cfg.Board.Fleet.Load().Servers) }

// apply logs a change of state and passes it on.
func (d *Dialer) apply(c change) {
	evidence := d.paths.Evidence()
	switch c {
	case becameCut:
		d.cfg.Log.Warn("path_cut", "failed", evidence.Failed, "relayed", evidence.Relayed)
		d.cfg.OnChange(true)
	case becameRestored:
		d.cfg.Log.Info("path_restored", "lasted", evidence.Lasted)
		d.cfg.OnChange(false)
	}
}

func (d *Dialer) wakeRun() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run probes direct paths that are down until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer d.probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.wake:
		}
		d.startProbes(ctx)
	}
}

func (d *Dialer) startProbes(ctx context.Context) {
	if !d.paths.NeedsProbes(time.Now()) {
		return
	}
	servers := d.cfg.Board.Fleet.Load().Servers
	for _, id := range d.paths.PlanProbes(time.Now(), candidates(servers)) {
		row := servers[id]
		if row == nil {
			d.paths.ProbeEnded()
			continue
		}
		d.probes.Go(func() { d.probe(ctx, id, row.Address) })
	}
}

// candidates returns the backend servers that are in service, in random order.
func candidates(servers map[string]*control.BackendServer) []string {
	var out []string
	for id, row := range servers {
		if row.Phase == control.PhaseInService && !row.Silent {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		out = slices.Collect(maps.Keys(servers))
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (d *Dialer) probe(ctx context.Context, server, address string) {
	conn, err := d.cfg.DialDirect(ctx, address, probeTimeout)
	d.metrics.count("probe", err)
	if err == nil {
		_ = conn.Close()
		d.apply(d.paths.DirectOK(time.Now(), server))
	} else if ctx.Err() == nil {
		d.apply(d.paths.ProbeFailed(time.Now(), server, d.fleetSize()))
	}
	d.paths.ProbeEnded()
	d.wakeRun()
}

// reachesAnother reports whether this instance reaches a backend server other than the given one now. Unless a direct dial has shown that
// since the given time, it dials a few, those first that it has not failed to reach.
func (d *Dialer) reachesAnother(server string, since time.Time) bool {
	if d.paths.ReachedAnotherSince(since, server) {
		return true
	}
	end, other := d.checking.begin("")
	if end == nil {
		<-other
		return d.paths.ReachedAnotherSince(since, server)
	}
	defer end()
	servers := d.cfg.Board.Fleet.Load().Servers
	others := d.paths.PreferWorking(server, candidates(servers))
	others = others[:min(len(others), maxOtherServers)]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reached := make(chan bool, len(others))
	stagger := time.NewTicker(otherServerStagger)
	defer stagger.Stop()
	// Each connection is one to a sound server that it does not need, so the next one waits for the one before.
	for next, running := 0, 0; next < len(others) || running > 0; {
		if next < len(others) {
			id := others[next]
			next++
			running++
			go func() {
				conn, err := d.dialForPeer(ctx, id, servers[id].Address, otherServerTimeout)
				if err == nil {
					_ = conn.Close()
				}
				reached <- err == nil
			}()
		}
		select {
		case ok := <-reached:
			if ok {
				return true
			}
			running--
		case <-stagger.C:
		}
	}
	return false
}

// dialForPeer opens a direct connection for another instance. The outcome counts as evidence of this instance's paths.
func (d *Dialer) dialForPeer(ctx context.Context, server, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := d.cfg.DialDirect(ctx, address, timeout)
	if errors.Is(ctx.Err(), context.Canceled) && err != nil {
		return nil, err
	}
	if err != nil {
		d.apply(d.paths.DirectFailed(time.Now(), server, d.fleetSize()))
		return nil, err
	}
	d.apply(d.paths.DirectOK(time.Now(), server))
	return conn, nil
}
