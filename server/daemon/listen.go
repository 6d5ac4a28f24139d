package daemon

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"clementinetray/server/callerconn"
)

const (
	// readHeaderTimeout bounds the wait for the header of a request, so that idle connections don't hold goroutines. The
	// catalogue may state another one for callers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes connections that are left unused. The catalogue may state another one for callers; a minute is the
	// usual time of proxies and clients.
	idleTimeout = time.Minute
)

// listen opens each HTTP listener that the settings name.
func (d *daemon) listen() error {
	if d.handler != nil {
		var callers http.Handler = d.handler
		if d.Settings.Adapter != "" {
			callers = d.handler.RoutedHandler()
		}
		if err := d.serveCallers(d.Settings.CallerListen, callers); err != nil {
			return err
		}
		if err := d.serve(d.Settings.ReadinessListen, d.Adapter.Readiness(http.HandlerFunc(d.ready))); err != nil {
			return err
		}
	}
	if d.service != nil {
		if err := d.serve(d.Settings.OperatorListen, d.operatorHandler()); err != nil {
			return err
		}
	}
	if err := d.serve(d.Settings.AnnounceListen, d.Announce); err != nil {
		return err
	}
	return d.serve(d.Settings.MetricsListen, d.metricsHandler())
}

// serve runs a handler on an address; an empty address runs none.
func (d *daemon) serve(address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	d.runServer(&http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}, l)
	return nil
}

// serveCallers runs the callers' handler, bounded by the limits of the catalogue.
func (d *daemon) serveCallers(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Addr: address, Handler: handler}
	d.runServer(server, callerconn.Bound(server, l, d.callerLimits))
	return nil
}

// callerLimits returns the times that the catalogue in force gives callers.
func (d *daemon) callerLimits() callerconn.Limits {
	limits := callerconn.Limits{Header: readHeaderTimeout, Idle: idleTimeout}
	view := d.Board.View.Load()
	if view.View == nil || view.Catalogue == nil {
		return limits
	}
	if stated := view.Catalogue.Limits.HeaderTimeout(); stated > 0 {
		limits.Header = stated
	}
	if stated := view.Catalogue.Limits.IdleTimeout(); stated > 0 {
		limits.Idle = stated
	}
	return limits
}

// runServer runs a server until the daemon stops.
func (d *daemon) runServer(server *http.Server, l net.Listener) {
	server.ErrorLog = slog.NewLogLogger(d.Logger.Handler(), slog.LevelWarn)
	d.servers = append(d.servers, server)
	d.task(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.fail(Error.Wrap(err))
		}
	})
}

func (d *daemon) operatorHandler() http.Handler {
	if d.Settings.Adapter == "" {
		return d.service.OperatorHandler([]string{d.Settings.OperatorTokenSHA256})
	}
	return d.Adapter.Control(ControlParts{Operators: d.service.CallOperatorAPI, Announce: d.Client.Announce, Log: d.Logger})
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
	router := chi.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{}))
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", d.ready)
	router.Get("/debug/pprof/*", pprof.Index)
	router.Get("/debug/pprof/profile", pprof.Profile)
	router.Get("/debug/pprof/trace", pprof.Trace)
	return router
}

// ready answers for the entry role when the process has it, else for the replica.
func (d *daemon) ready(w http.ResponseWriter, r *http.Request) {
	if d.handler != nil {
		d.handler.ServeReady(w, r)
		return
	}
	if age, ok := d.replica.FreshAge(time.Now()); !ok || age > d.Settings.MaxViewAge {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
