// Package daemon builds one router process from its settings, runs it and stops it after its running requests have ended.
package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"go.uber.org/dig"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/announce"
	"clementinetray/server/blackboard"
	"clementinetray/server/callerconn"
	"clementinetray/server/clock"
	"clementinetray/server/controlclient"
	"clementinetray/server/controlsvc"
	"clementinetray/server/entry"
	"clementinetray/server/ledger"
	"clementinetray/server/logging"
	"clementinetray/server/peer"
	"clementinetray/server/relay"
	"clementinetray/server/replica"
	"clementinetray/server/settings"
	"clementinetray/server/syncer"
	"clementinetray/server/watchdog"
)

// Error is the class of all errors of this package.
var Error = errs.Class("daemon")

// stopTimeout bounds each of the two steps of a planned stop that follow the drain of running requests: closing the listeners, and
// leaving the groups of entry and control instances. newDrainContext bounds the drain.
const stopTimeout = 5 * time.Second

// Run runs the process until ctx ends, then drains and stops it. It returns an error when a component can't start or fails.
func Run(ctx context.Context, s *settings.Settings, adapter Adapter) error {
	if adapter == nil {
		adapter = noAdapter{}
	}
	setMemoryLimit(s)
	container, err := newContainer(s, adapter)
	if err != nil {
		return err
	}
	var d *daemon
	if err := container.Invoke(func(p deps) { d = &daemon{deps: p, failures: make(chan error, 1), heartbeatEnded: make(chan struct{})} }); err != nil {
		return Error.Wrap(dig.RootCause(err))
	}
	if s.Control {
		if err := container.Invoke(d.addControlRole); err != nil {
			return Error.Wrap(dig.RootCause(err))
		}
	}
	if s.Entry {
		if err := container.Invoke(d.addEntryRole); err != nil {
			return Error.Wrap(dig.RootCause(err))
		}
	}
	return d.run(ctx)
}

// deps holds the dependencies that every role has.
type deps struct {
	dig.In
	Settings *settings.Settings
	Adapter  Adapter
	Logger   *slog.Logger
	LogLines *logging.Writer
	Recorder event.Recorder
	Peers    *peer.Server
	Guard    *callerconn.Guard
	Stalls   *clock.Stalls
	Pool     *peer.Pool
	Board    *blackboard.Board
	Registry *prometheus.Registry
	Client   *controlclient.Client
	Syncer   *syncer.Syncer
	Ratings  *ratingsPublisher
	Limits   *limitTracker
	Announce *announce.Handler
	Member   control.Member
	Secret   secret
}

// daemon is one running process.
type daemon struct {
	deps
	replica    *replica.Replica
	service    *controlsvc.Service
	billLedger *ledger.Ledger
	handler    *entry.Handler
	relay      *relay.Server
	heartbeat  *syncer.Heartbeat

	// heartbeatEnded is closed when the heartbeat loop has ended: the last heartbeat must not run concurrently with it.
	heartbeatEnded chan struct{}

	listeners []*listener
	tasks     sync.WaitGroup
	failures  chan error
}

// addControlRole adds the components of the control role and registers the control service for calls of peers.
func (d *daemon) addControlRole(r *replica.Replica, service *controlsvc.Service, billLedger *ledger.Ledger) error {
	d.replica, d.service, d.billLedger = r, service, billLedger
	return d.Peers.Register("Control", service)
}

// addEntryRole adds the components of the entry role.
func (d *daemon) addEntryRole(handler *entry.Handler, heartbeat *syncer.Heartbeat) {
	d.handler, d.heartbeat = handler, heartbeat
}

// run starts all background tasks and listeners, waits until ctx ends or a task fails, and stops the process.
func (d *daemon) run(ctx context.Context) error {
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.startTasks(taskCtx)
	if err := d.startListeners(); err != nil {
		return err
	}
	if d.handler != nil {
		if err := d.startRelay(); err != nil {
			return err
		}
	}
	d.Recorder.Record(event.Event{Kind: "process_started", AvailabilityZone: d.Settings.AvailabilityZone})
	d.Logger.Info("started", "control", d.Settings.Control, "entry", d.Settings.Entry, "peers", d.Peers.Address())
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-d.failures:
		d.Logger.Error("stopping after a failure", "error", failure)
	}
	d.stop(cancel)
	return Error.Wrap(failure)
}

func (d *daemon) startTasks(ctx context.Context) {
	d.startTask(func() { d.reportFailure(d.Peers.Serve()) })
	d.startTask(func() { d.reloadSettings(ctx) })
	d.startTask(func() { d.Syncer.Run(ctx) })
	d.startTask(func() { d.Ratings.run(ctx) })
	d.startTask(func() { d.Limits.run(ctx) })
	d.startTask(func() { watchdog.Run(ctx, d.Logger) })
	if d.heartbeat != nil {
		d.startTask(func() {
			defer close(d.heartbeatEnded)
			d.heartbeat.Run(ctx)
		})
	}
	if d.handler != nil {
		d.startHintExchange(ctx)
	}
	if d.service != nil {
		// Only operators' changes are checked for their age.
		d.startTask(func() { d.Stalls.Run(ctx) })
		d.startTask(func() { d.reportFailure(d.service.Run(ctx)) })
		d.startTask(func() { d.watchReplica(ctx) })
	}
}

// watchReplica stops the process when the replica has stopped because of an error, for instance a failed fsync.
func (d *daemon) watchReplica(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.replica.Done():
		d.reportFailure(d.replica.Err())
	}
}

// startTask runs a function in the background; stop waits for its end.
func (d *daemon) startTask(task func()) {
	d.tasks.Go(task)
}

// reportFailure makes run stop the process and return err. It ignores nil and every error after the first.
func (d *daemon) reportFailure(err error) {
	if err == nil {
		return
	}
	select {
	case d.failures <- err:
	default:
	}
}

// stop drains running requests, closes the listeners, sends the last heartbeat, transfers the leadership and closes all
// other components.
func (d *daemon) stop(cancelTasks context.CancelFunc) {
	d.Logger.Info("stopping")
	d.Recorder.Record(event.Event{Kind: "process_stopping", AvailabilityZone: d.Settings.AvailabilityZone})
	if d.handler != nil {
		drainCtx, cancelDrain := d.newDrainContext()
		stopRelay := d.drainRelay(drainCtx)
		if err := d.handler.Drain(drainCtx); err != nil {
			d.Logger.Warn("running requests were not drained", "error", err)
		}
		stopRelay()
		cancelDrain()
	}
	d.stopListeners()
	d.Announce.Close()
	cancelTasks()
	ctx, done := context.WithTimeout(context.Background(), stopTimeout)
	defer done()
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

// maxRelayDrain bounds how long a stop without a stop grace waits for forwarded connections. The instances that use them keep idle ones
// for 15 s.
const maxRelayDrain = 20 * time.Second

// drainRelay makes the relay refuse further connections. The returned function waits until those that are forwarded have ended or ctx
// ends, and closes the relay.
func (d *daemon) drainRelay(ctx context.Context) (wait func()) {
	if d.relay == nil {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(ctx, maxRelayDrain)
	var drained sync.WaitGroup
	drained.Go(func() { d.relay.Stop(ctx) })
	return func() {
		drained.Wait()
		cancel()
		_ = d.relay.Close()
	}
}

// stopListeners closes the listeners, and each connection once it has no running request.
func (d *daemon) stopListeners() {
	ctx, done := context.WithTimeout(context.Background(), stopTimeout)
	defer done()
	var closing sync.WaitGroup
	for _, l := range d.listeners {
		closing.Go(func() {
			if err := l.shutdown(ctx); err != nil {
				d.Logger.Warn("listener did not close in time", "address", l.server.Addr, "error", err)
			}
		})
	}
	closing.Wait()
}

// newDrainContext returns the context that bounds the drain: it ends stopReserve before the stop grace does, or never when
// the settings set no stop grace.
func (d *daemon) newDrainContext() (context.Context, context.CancelFunc) {
	if d.Settings.StopGrace == 0 {
		return context.Background(), func() {}
	}
	return context.WithTimeout(context.Background(), d.Settings.StopGrace-stopReserve)
}

// stopReserve is the part of the stop grace that is kept for closing the listeners and the last heartbeat.
const stopReserve = 700 * time.Millisecond

func (d *daemon) stopReplica(ctx context.Context) {
	if d.replica == nil {
		return
	}
	if err := d.replica.TransferLeadership(ctx); err != nil {
		d.Logger.Warn("leadership transfer failed", "error", err)
	}
	if err := d.replica.Stop(ctx); err != nil {
		d.Logger.Warn("replica stopped with an error", "error", err)
	}
	if err := d.billLedger.Close(); err != nil {
		d.Logger.Warn("ledger closed with an error", "error", err)
	}
}
