package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/announce"
	"clementinetray/server/blackboard"
	"clementinetray/server/controlclient"
	"clementinetray/server/entry"
	"clementinetray/server/fleet"
	"clementinetray/server/hints"
	"clementinetray/server/limits"
	"clementinetray/server/ratings"
	"clementinetray/server/relay"
	"clementinetray/server/retry"
	"clementinetray/server/routing"
	"clementinetray/server/settings"
	"clementinetray/server/shares"
	"clementinetray/server/syncer"
)

var entryConstructors = []any{
	newLimitsHolder, newInstanceShares, newRatingsEstimator, newEntryHandler, newSyncer, newHeartbeat, newAnnounceHandler, newRatingsPublisher, newLimitTracker,
}

func newLimitsHolder(s *settings.Settings) *limits.Holder { return limits.NewHolder(s.MaxEntries) }

// newInstanceShares returns the meter and the standings of workspaces, with the meter disabled.
func newInstanceShares(registerer prometheus.Registerer) (*shares.Instance, error) {
	return shares.NewInstance(registerer)
}

func newRatingsEstimator() *ratings.Estimator { return ratings.NewEstimator() }

// hasOverloadControl reports whether the settings or a contract of the platform ask for overload control.
func hasOverloadControl(s *settings.Settings, adapter Adapter) bool {
	return s.OverloadControl || adapter.Features(s.Contracts).OverloadControl
}

func newEntryHandler(
	s *settings.Settings, adapter Adapter, identity controlclient.Identity, board *blackboard.Board, client control.Client, holder *limits.Holder,
	workspaceShares *shares.Instance, estimator *ratings.Estimator, recorder event.Recorder, registerer prometheus.Registerer, logger *slog.Logger,
	key secret,
) (*entry.Handler, error) {
	overloadControl := hasOverloadControl(s, adapter)
	workspaceShares.Enable(overloadControl)
	return entry.New(entry.Config{
		Instance: identity.Instance, Boot: identity.Boot, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
		Board: board, Control: client,
		Router: entry.RouterFuncs{Version: routing.ChooseVersion, Server: routing.ChooseServer},
		Limits: holder, Budget: retry.NewBudget(), Meter: workspaceShares, Recorder: recorder, Registerer: registerer, Log: logger,
		RatingURL: s.RatingURL, OnRating: newRatingCallback(estimator),
		RoutedRetryRatio: retryBudgetShare * s.RetryRatio, RoutedRetrySlack: retryBudgetShare * s.RetrySlack, SureConfidence: s.SureConfidence,
		Dialect: adapter.Dialect(), DrainDelay: s.StopGrace * drainDelayPercent / 100, StreamDrainDelay: s.StopGrace * streamDrainDelayPercent / 100,
		MaxViewAge: s.MaxViewAge, MaxBody: int64(s.MaxBodyBytes), RequestLimit: s.RequestTimeLimit, JSONLimits: jsonLimits(s),
		OverloadControl: overloadControl, TimedPlacement: s.TimedPlacement, Standings: workspaceShares,
		PeerSecret:   key,
		AnswerBuffer: int64(s.MemoryLimitMB) << 20 / answerBufferDivisor, RequestBuffer: int64(s.MemoryLimitMB) << 20 / requestBufferDivisor,
	})
}

// answerBufferDivisor sets the part of the process's memory that answers may take while they are buffered: a third.
const answerBufferDivisor = 3

// requestBufferDivisor sets the part of the process's memory that the bodies of open requests may take: a quarter.
const requestBufferDivisor = 4

// retryBudgetShare is the share of the fleet's retry budget that entry instances use. The rest is a margin for time windows
// of the budget that begin at different times.
const retryBudgetShare = 0.92

// Shares of the stop grace, in percent, during which a stopping instance still serves new requests. A load balancer that
// probes every second and needs two failed probes sends new requests for up to 3 s of a stop grace of 8 s; callers with
// open connections send them for longer.
const (
	drainDelayPercent       = 70
	streamDrainDelayPercent = 35
)

// newRatingCallback returns the callback that records ratings, and failures to get one, in the estimator.
func newRatingCallback(estimator *ratings.Estimator) func(string, catalogue.VersionRef, float64, bool) {
	return func(class string, version catalogue.VersionRef, score float64, ok bool) {
		if !ok {
			estimator.RecordFailure()
			return
		}
		estimator.Observe(class, version, score)
	}
}

// hintBytesWithShares limits the hints that an instance sends in a second where heartbeats carry the use of workspaces. Hints in both
// directions and 12.5 KB/s of other control traffic with 200 workspaces stay within the 16 KB/s that a node may use.
const hintBytesWithShares = 1700

// startHintExchange starts the exchange of hints with the other entry instances. When the socket can't be opened, requests
// are placed only by the load that backend servers report, and a session that moves to another entry instance may change
// its software version.
func (d *daemon) startHintExchange(ctx context.Context) {
	limit := 0
	if hasOverloadControl(d.Settings, d.Adapter) {
		limit = hintBytesWithShares
	}
	exchange, err := hints.Listen(hints.Config{
		Address: d.Peers.Address(), Boot: d.Member.Boot, Secret: d.Secret, Members: d.memberAddresses, BytesPerSecond: limit,
		OnHint: func(h hints.Hint) {
			if h.UnreadTokens != nil {
				d.handler.ReceiveUnreadTokens(h.Sender, h.Sequence, h.UnreadTokens.Server, float64(h.UnreadTokens.Tokens))
			}
			if h.Sessions != nil {
				d.handler.ReceiveSessions(h.Sessions.Rollout, h.Sessions.Hashes)
			}
			d.handler.ReceiveRefusals(h.Sender, h.Refusals)
		},
		Log: d.Logger, Registerer: d.Registry,
	})
	if err != nil {
		d.Logger.Warn("hints_off", "address", d.Peers.Address(), "error", err)
		return
	}
	d.handler.SetUnreadTokensSender(exchange.SendUnreadTokens)
	d.handler.SetSessionSender(exchange.SendSessions)
	d.handler.SetRefusalSender(exchange.SendRefusals)
	d.startTask(func() { exchange.Run(ctx) })
}

// startRelay starts the listener that forwards connections for other entry instances, if the settings have one.
func (d *daemon) startRelay() error {
	if d.Settings.RelayListen == "" {
		return nil
	}
	server, err := relay.Listen(relay.ServerConfig{
		Address: d.Settings.RelayListen, Secret: d.Secret, Board: d.Board, Dialer: d.handler.Dialer(),
		MaxConnections: relayedConnections(descriptorLimit(d.Settings), d.Settings.MemoryLimitMB),
		Registerer:     d.Registry, Log: d.Logger,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	d.relay = server
	d.startTask(func() { d.reportFailure(server.Serve()) })
	return nil
}

// memberAddresses returns the peer addresses of all entry instances.
func (d *daemon) memberAddresses() []string {
	members := d.Board.Fleet.Load().Members
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.PeerAddress)
	}
	return out
}

func newSyncer(
	s *settings.Settings, client *controlclient.Client, board *blackboard.Board, recorder event.Recorder, logger *slog.Logger,
) (*syncer.Syncer, error) {
	return syncer.New(client, board, fleet.ApplyDelta, s.MaxViewAge, recorder, logger)
}

func newHeartbeat(
	client *controlclient.Client, holder *limits.Holder, workspaceShares *shares.Instance, handler *entry.Handler, member control.Member,
	logger *slog.Logger,
) *syncer.Heartbeat {
	heartbeat := syncer.NewHeartbeat(client, holder, handler, member, logger)
	heartbeat.SetShares(workspaceShares)
	return heartbeat
}

func newAnnounceHandler(client control.Client, registerer prometheus.Registerer, logger *slog.Logger) (*announce.Handler, error) {
	return announce.New(announce.Config{Control: client, Log: logger, Registerer: registerer})
}

// ratingsInterval is the interval at which the quality estimates are published.
const ratingsInterval = 500 * time.Millisecond

// ratingsPublisher publishes quality estimates on the blackboard: the fleet's, or this instance's own until those are known.
type ratingsPublisher struct {
	estimator *ratings.Estimator
	board     *blackboard.Board
	writer    *blackboard.Writer[blackboard.Ratings]
}

func newRatingsPublisher(estimator *ratings.Estimator, board *blackboard.Board) (*ratingsPublisher, error) {
	writer, err := board.Ratings.Writer()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &ratingsPublisher{estimator: estimator, board: board, writer: writer}, nil
}

// run publishes every ratingsInterval until ctx ends.
func (p *ratingsPublisher) run(ctx context.Context) {
	ticker := time.NewTicker(ratingsInterval)
	defer ticker.Stop()
	for {
		if view := p.board.View.Load(); view.View != nil && view.Catalogue != nil {
			p.estimator.SetCatalogue(view.Catalogue)
		}
		p.writer.Publish(ratings.MergeFleetAndLocal(p.estimator.Snapshot(), p.board.FleetRatings.Load()))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// limitTracker passes the limits of each new catalogue to the holder, so that each limit has a grant before its first
// request.
type limitTracker struct {
	board  *blackboard.Board
	holder *limits.Holder
}

func newLimitTracker(board *blackboard.Board, holder *limits.Holder) *limitTracker {
	return &limitTracker{board: board, holder: holder}
}

// run passes on limits until ctx ends.
func (t *limitTracker) run(ctx context.Context) {
	var revision uint64
	for {
		view, changed := t.board.View.Watch()
		if view.View != nil && view.Catalogue != nil && view.Revision != revision {
			revision = view.Revision
			t.holder.SetLimits(time.Now(), catalogueLimits(view.Catalogue))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// catalogueLimits returns the fleet-wide amount of each limit that a catalogue sets, by the limit's key.
func catalogueLimits(c *catalogue.Catalogue) map[string]float64 {
	out := map[string]float64{}
	for _, w := range c.Workspaces {
		if w.MaxConcurrent > 0 {
			out[limits.WorkspaceConcurrencyKey(w.Name)] = float64(w.MaxConcurrent)
		}
		if w.RequestsPerSecond > 0 {
			out[limits.WorkspaceRateKey(w.Name)] = w.RequestsPerSecond
		}
	}
	for _, m := range c.Models {
		for _, v := range m.Versions {
			if v.MaxConcurrent > 0 {
				ref := catalogue.VersionRef{Model: m.Name, Version: v.Name}
				out[limits.VersionConcurrencyKey(ref.String())] = float64(v.MaxConcurrent)
			}
		}
	}
	return out
}
