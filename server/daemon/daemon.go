// Package daemon builds one process from its settings, runs it and stops it without cutting a request.
package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"go.uber.org/dig"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/announce"
	"clementinetray/server/blackboard"
	"clementinetray/server/controlclient"
	"clementinetray/server/controlsvc"
	"clementinetray/server/entry"
	"clementinetray/server/ledger"
	"clementinetray/server/logging"
	"clementinetray/server/peer"
	"clementinetray/server/replica"
	"clementinetray/server/settings"
	"clementinetray/server/syncer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("daemon")

// stopTimeout bounds each step of a planned stop except the wait for running requests, which has no bound.
const stopTimeout = 5 * time.Second

// Run runs the process until ctx ends, then drains and stops it. It returns an error when a part can't start or fails.
func Run(ctx context.Context, s *settings.Settings, adapter Adapter) error {
	if adapter == nil {
		adapter = noAdapter{}
	}
	limitMemory(s)
	container, err := newContainer(s, adapter)
	if err != nil {
		return err
	}
	var d *daemon
	if err := container.Invoke(func(p parts) { d = &daemon{parts: p, failed: make(chan error, 1), heartbeatEnded: make(chan struct{})} }); err != nil {
		return Error.Wrap(dig.RootCause(err))
	}
	if s.Control {
		if err := container.Invoke(d.useControl); err != nil {
			return Error.Wrap(dig.RootCause(err))
		}
	}
	if s.Entry {
		if err := container.Invoke(d.useEntry); err != nil {
			return Error.Wrap(dig.RootCause(err))
		}
	}
	return d.run(ctx)
}

// parts is what each role needs.
type parts struct {
	dig.In
	Settings *settings.Settings
	Adapter  Adapter
	Logger   *slog.Logger
	LogLines *logging.Writer
	Recorder event.Recorder
	Peers    *peer.Server
	Pool     *peer.Pool
	Board    *blackboard.Board
	Registry *prometheus.Registry
	Client   *controlclient.Client
	Syncer   *syncer.Syncer
	Ratings  *ratingsWriter
	Limits   *limitTracker
	Announce *announce.Handler
	Member   control.Member
	Secret   secret
}

// daemon is one running process.
type daemon struct {
	parts
	replica   *replica.Replica
	service   *controlsvc.Service
	bills     *ledger.Ledger
	handler   *entry.Handler
	heartbeat *syncer.Heartbeat

	// heartbeatEnded is closed when the heartbeat loop has ended, as the last heartbeat must not run beside it.
	heartbeatEnded chan struct{}

	servers []*http.Server
	tasks   sync.WaitGroup
	failed  chan error
}

func (d *daemon) useControl(r *replica.Replica, service *controlsvc.Service, bills *ledger.Ledger) error {
	d.replica, d.service, d.bills = r, service, bills
	return d.Peers.Register("Control", service)
}

func (d *daemon) useEntry(handler *entry.Handler, heartbeat *syncer.Heartbeat) {
	d.handler, d.heartbeat = handler, heartbeat
}

// run starts every task and listener, waits for the end and stops in order.
func (d *daemon) run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.startTasks(background)
	if err := d.listen(); err != nil {
		return err
	}
	d.Recorder.Record(event.Event{Kind: "process_started", AvailabilityZone: d.Settings.AvailabilityZone})
	d.Logger.Info("started", "control", d.Settings.Control, "entry", d.Settings.Entry, "peers", d.Peers.Address())
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-d.failed:
		d.Logger.Error("stopping after a failure", "error", failure)
	}
	d.stop(cancel)
	return Error.Wrap(failure)
}

func (d *daemon) startTasks(ctx context.Context) {
	d.task(func() { d.fail(d.Peers.Serve()) })
	d.task(func() { d.watchSettings(ctx) })
	d.task(func() { d.Syncer.Run(ctx) })
	d.task(func() { d.Ratings.run(ctx) })
	d.task(func() { d.Limits.run(ctx) })
	if d.heartbeat != nil {
		d.task(func() {
			defer close(d.heartbeatEnded)
			d.heartbeat.Run(ctx)
		})
	}
	if d.handler != nil {
		d.exchangeHints(ctx)
	}
	if d.service != nil {
		d.task(func() { d.fail(d.service.Run(ctx)) })
		d.task(func() { d.watchReplica(ctx) })
	}
}

// watchReplica ends the process when the replica stopped by itself, for instance after a failed sync.
func (d *daemon) watchReplica(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.replica.Done():
		d.fail(d.replica.Err())
	}
}

func (d *daemon) task(run func()) {
	d.tasks.Go(run)
}

func (d *daemon) fail(err error) {
	if err == nil {
		return
	}
	select {
	case d.failed <- err:
	default:
	}
}

// stop drains running requests first, then hands leadership on, then closes everything.
func (d *daemon) stop(cancel context.CancelFunc) {
	d.Logger.Info("stopping")
	d.Recorder.Record(event.Event{Kind: "process_stopping", AvailabilityZone: d.Settings.AvailabilityZone})
	if d.handler != nil {
		limit, done := d.drainLimit()
		if err := d.handler.Drain(limit); err != nil {
			d.Logger.Warn("drain failed", "error", err)
		}
		done()
	}
	ctx, done := context.WithTimeout(context.Background(), stopTimeout)
	defer done()
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil {
			d.Logger.Warn("listener did not close in time", "address", server.Addr, "error", err)
		}
	}
	d.Announce.Close()
	cancel()
	if d.heartbeat != nil {
		<-d.heartbeatEnded
		d.heartbeat.Leave(ctx)
		d.handler.Close()
	}
	d.stopReplica(ctx)
	d.Pool.Close()
	_ = d.Peers.Close()
	d.tasks.Wait()
	d.Logger.Info("stopped")
	d.LogLines.Close()
}

// drainLimit ends the wait for open requests early enough for the rest of the stop.
func (d *daemon) drainLimit() (context.Context, context.CancelFunc) {
	if d.Settings.StopGrace == 0 {
		return context.Background(), func() {}
	}
	return context.WithTimeout(context.Background(), d.Settings.StopGrace-stopReserve)
}

// stopReserve is the part of the grace of a stop that closing the listeners and the last heartbeat may take.
const stopReserve = 700 * time.Millisecond

func (d *daemon) stopReplica(ctx context.Context) {
	if d.replica == nil {
		return
	}
	if err := d.replica.TransferLeadership(ctx); err != nil {
		d.Logger.Warn("leadership was not handed on", "error", err)
	}
	if err := d.replica.Stop(ctx); err != nil {
		d.Logger.Warn("replica stopped with an error", "error", err)
	}
	if err := d.bills.Close(); err != nil {
		d.Logger.Warn("ledger closed with an error", "error", err)
	}
}
