package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"clementinetray/server/announce"
	"clementinetray/server/callerconn"
)

const (
	// readHeaderTimeout bounds the time to read the header of a request, so that connections which send nothing don't hold
	// goroutines. The catalogue may set another timeout for callers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time after which unused connections are closed; one minute is usual for proxies and clients. The
	// catalogue may set another timeout for callers.
	idleTimeout = time.Minute
)

// startListeners starts the HTTP servers of all listeners that the settings configure.
func (d *daemon) startListeners() error {
	if d.handler != nil {
		var callers http.Handler = d.handler
		if d.Settings.Adapter != "" {
			callers = d.handler.RoutedHandler()
		}
		if err := d.startCallerServer(d.Settings.CallerListen, callers); err != nil {
			return err
		}
		if err := d.startServer("readiness", d.Settings.ReadinessListen, d.Adapter.Readiness(http.HandlerFunc(d.serveReady))); err != nil {
			return err
		}
	}
	if d.service != nil {
		if err := d.startServer("operators", d.Settings.OperatorListen, d.operatorHandler()); err != nil {
			return err
		}
	}
	if err := d.startServer("announcements", d.Settings.AnnounceListen, d.Announce); err != nil {
		return err
	}
	return d.startServer("metrics", d.Settings.MetricsListen, d.metricsHandler())
}

// startServer listens on address and serves handler in the background. name is the listener's in metrics. It does nothing when
// address is empty.
func (d *daemon) startServer(name, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Addr: address, Handler: handler}
	d.runServer(server, d.Guard.Protect(server, l, name, defaultTimeouts))
	return nil
}

// startCallerServer serves the callers' handler in the background, with connection timeouts from callerTimeouts.
func (d *daemon) startCallerServer(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Addr: address, Handler: handler}
	d.runServer(server, d.Guard.Protect(server, l, callerconn.CallerListener, d.callerTimeouts))
	return nil
}

func defaultTimeouts() callerconn.Limits {
	return callerconn.Limits{HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// callerTimeouts returns the timeouts of callers' connections: those that the current catalogue sets, else the defaults.
func (d *daemon) callerTimeouts() callerconn.Limits {
	limits := defaultTimeouts()
	view := d.Board.View.Load()
	if view.View == nil || view.Catalogue == nil {
		return limits
	}
	if stated := view.Catalogue.Limits.HeaderTimeout(); stated > 0 {
		limits.HeaderTimeout = stated
	}
	if stated := view.Catalogue.Limits.IdleTimeout(); stated > 0 {
		limits.IdleTimeout = stated
	}
	return limits
}

// runServer serves a listener in the background until the daemon stops.
func (d *daemon) runServer(server *http.Server, l net.Listener) {
	server.ErrorLog = slog.NewLogLogger(d.Logger.Handler(), slog.LevelWarn)
	d.listeners = append(d.listeners, newListener(server))
	d.startTask(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.reportFailure(Error.Wrap(err))
		}
	})
}

// listener is an HTTP server with the connections on which no request came yet. net/http would keep such a connection open for 5 s
// during a shutdown; the transports of callers open them ahead of requests.
type listener struct {
	server *http.Server
	mu     sync.Mutex
	unused map[net.Conn]struct{}
}

// newListener tracks the connections of a server that does not run yet. An existing ConnState hook goes on to be called.
func newListener(server *http.Server) *listener {
	l := &listener{server: server, unused: map[net.Conn]struct{}{}}
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		l.track(c, state)
		if next != nil {
			next(c, state)
		}
	}
	return l
}

func (l *listener) track(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateNew {
		l.unused[c] = struct{}{}
	} else {
		delete(l.unused, c)
	}
}

// unusedConnGrace is how long a connection without a request stays open in a shutdown. A request that its caller sent before it
// could know of the shutdown arrives within this time.
const unusedConnGrace = 100 * time.Millisecond

// shutdown closes the listening socket, idle connections at once, unused ones after unusedConnGrace and the others when their
// request has ended. It returns the error of ctx if ctx ends before.
func (l *listener) shutdown(ctx context.Context) error {
	timer := time.AfterFunc(unusedConnGrace, l.closeUnused)
	defer timer.Stop()
	return l.server.Shutdown(ctx)
}

func (l *listener) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.unused {
		_ = c.Close()
	}
}

func (d *daemon) operatorHandler() http.Handler {
	if d.Settings.Adapter == "" {
		return d.service.OperatorHandler([]string{d.Settings.OperatorTokenSHA256})
	}
	return d.Adapter.Control(ControlAPI{Operators: d.service.CallOperatorAPI, Announce: announce.NewBatcher(d.Client).Announce, JSONLimits: jsonLimits(d.Settings), Log: d.Logger})
}

func (d *daemon) metricsHandler() http.Handler {
	d.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "clementinetray_view_age_seconds",
		Help: "Age of the control view of this process, in seconds.",
	}, func() float64 { return d.Board.View.Load().Age(time.Now()).Seconds() }))
	d.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "clementinetray_view_revision",
		Help: "Revision of the control view of this process.",
	}, func() float64 {
		if v := d.Board.View.Load(); v.View != nil {
			return float64(v.Revision)
		}
		return 0
	}))
	d.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "clementinetray_control_stalled_learners",
		Help: "Replicas that ask this control leader to join the group and make no progress; 0 elsewhere.",
	}, func() float64 {
		if d.replica == nil {
			return 0
		}
		return float64(d.replica.Status().StalledLearners)
	}))
	router := chi.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{}))
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", d.serveReady)
	router.Get("/debug/pprof/*", pprof.Index)
	router.Get("/debug/pprof/profile", pprof.Profile)
	router.Get("/debug/pprof/trace", pprof.Trace)
	return router
}

// serveReady answers readiness probes. With the entry role the entry handler decides; otherwise the process is ready while
// its replica's state is no older than MaxViewAge.
func (d *daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if d.handler != nil {
		d.handler.ServeReady(w, r)
		return
	}
	if age, ok := d.replica.MaxStateAge(time.Now()); !ok || age > d.Settings.MaxViewAge {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
