package daemon

import (
	"errors"
	"log/slog"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlclient"
	"clementinetray/server/controlstate"
	"clementinetray/server/controlsvc"
	"clementinetray/server/engineorder"
	"clementinetray/server/fleet"
	"clementinetray/server/ledger"
	"clementinetray/server/lifecycle"
	"clementinetray/server/limits"
	"clementinetray/server/peer"
	"clementinetray/server/ratings"
	"clementinetray/server/replica"
	"clementinetray/server/rollout"
	"clementinetray/server/settings"
	"clementinetray/server/shares"
)

var controlConstructors = []any{
	newLedger, newState, newReplica, newProposer, newAllocator, fleet.NewTable, newLifecycleController,
	newFleetRatings, newRolloutController, newServiceRolloutController, newFleetRecorder, newEngineOrderController,
	newShareAggregator, newControlService,
}

func newLedger(s *settings.Settings) (*ledger.Ledger, error) {
	return ledger.Open(filepath.Join(s.DataDir, "ledger"))
}

func newState(billLedger *ledger.Ledger) *controlstate.State {
	state := controlstate.New()
	state.SetLedger(billLedger)
	return state
}

func newReplica(
	s *settings.Settings, pool *peer.Pool, server *peer.Server, state *controlstate.State, client *controlclient.Client,
	logger *slog.Logger, recorder event.Recorder, clock *event.Clock,
) (*replica.Replica, error) {
	members := make(map[string]string, len(s.Replicas))
	for _, r := range s.Replicas {
		members[r.ID] = r.Address
	}
	return startReplica(replica.Config{
		ID: s.ReplicaID(), Address: s.PeerAdvertise, Members: members, Bootstrap: s.Bootstrap, DataDir: s.DataDir,
		ElectionTimeout: s.ElectionTimeout, Tick: s.ElectionTimeout / ticksPerElection,
		HeartbeatInterval: s.ElectionTimeout / heartbeatsPerElection, GroupSize: s.GroupSize(), JoinAddresses: client.Replicas,
		Pool: pool, Server: server, StateMachine: state, Logger: logger, Recorder: recorder, Clock: clock,
	})
}

const (
	// ticksPerElection is the number of ticks in an election timeout. Each replica draws its timeout, in whole ticks, from
	// one to two times the setting: with few ticks, replicas that start together often draw the same one and split the vote.
	ticksPerElection = 20
	// heartbeatsPerElection is the number of heartbeats in an election timeout, so that a few lost ones start no election.
	heartbeatsPerElection = 5
)

// diskRetryDelay is the delay before the replica is started again on a data folder that refused a write.
const diskRetryDelay = 500 * time.Millisecond

// startReplica retries while the disk is full or has I/O errors. If the process exited instead, its supervisor would only
// restart it into the same error.
func startReplica(c replica.Config) (*replica.Replica, error) {
	for {
		r, err := replica.Start(c)
		if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EIO) {
			return r, err
		}
		c.Logger.Error("data_folder_refuses_writes", "folder", c.DataDir, "error", err)
		time.Sleep(diskRetryDelay)
	}
}

func newProposer(r *replica.Replica) *controlsvc.LogProposer { return controlsvc.NewProposer(r) }

func newAllocator(s *settings.Settings) *limits.Allocator { return limits.NewAllocator(s.MaxEntries) }

func newShareAggregator(state *controlstate.State, registerer prometheus.Registerer, logger *slog.Logger) (*shares.Aggregator, error) {
	currentCatalogue := func() *catalogue.Catalogue { return state.View().Catalogue }
	return shares.NewAggregator(shares.Config{Catalogue: currentCatalogue, Registerer: registerer, Log: logger})
}

func newLifecycleController(
	table *fleet.Table, state *controlstate.State, proposer *controlsvc.LogProposer, recorder event.Recorder, logger *slog.Logger,
) *lifecycle.Controller {
	return lifecycle.New(table, phaseReader{state}, proposer, recorder, logger)
}

// phaseReader adapts the replicated state to the interface that the lifecycle controller reads.
type phaseReader struct{ *controlstate.State }

// Phase returns the recorded phase of a backend server with its boot and limit; ok is false when none is recorded.
func (r phaseReader) Phase(server string) (boot string, phase control.Phase, limit int, ok bool) {
	record, ok := r.State.Phase(server)
	return record.Boot, record.Phase, record.Limit, ok
}

// RecordedServers lists the backend servers that have a recorded phase other than gone.
func (r phaseReader) RecordedServers() []string {
	var ids []string
	for id, record := range r.Phases() {
		if record.Phase != control.PhaseGone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func newFleetRatings(state *controlstate.State) *ratings.Store { return ratings.NewStore(state) }

func newRolloutController(
	state *controlstate.State, proposer *controlsvc.LogProposer, lifecycles *lifecycle.Controller, recorder event.Recorder, logger *slog.Logger,
) *rollout.Controller {
	return rollout.New(state, proposer, lifecycles, recorder, logger)
}

func newServiceRolloutController(
	s *settings.Settings, state *controlstate.State, proposer *controlsvc.LogProposer, recorder event.Recorder, logger *slog.Logger,
) *rollout.ServiceController {
	return rollout.NewServiceController(state, proposer, s.RolloutExposure, recorder, logger)
}

func newFleetRecorder(
	table *fleet.Table, state *controlstate.State, proposer *controlsvc.LogProposer, logger *slog.Logger,
) *fleet.Recorder {
	return fleet.NewRecorder(table, state, proposer, logger)
}

func newEngineOrderController(
	s *settings.Settings, table *fleet.Table, state *controlstate.State, proposer *controlsvc.LogProposer, replicatedLog *replica.Replica,
	recorder event.Recorder, logger *slog.Logger,
) *engineorder.Controller {
	return engineorder.New(engineorder.Config{
		Table: table, State: state, Proposer: proposer, HoldsLease: func() bool { return holdsLease(replicatedLog) },
		Recorder: recorder, Log: logger, WeightStoreURL: s.WeightStoreURL,
	})
}

// holdsLease reports whether this replica is the leader and a majority acknowledged it within engineorder.LeaseTime.
func holdsLease(replicatedLog *replica.Replica) bool {
	leadership, _ := replicatedLog.LeadershipChanged()
	age, known := replicatedLog.MaxStateAge(time.Now())
	return leadership.Leader && known && age <= engineorder.LeaseTime
}

func newControlService(
	s *settings.Settings, replicatedLog *replica.Replica, state *controlstate.State, proposer *controlsvc.LogProposer,
	allocator *limits.Allocator, table *fleet.Table, lifecycles *lifecycle.Controller, modelRollouts *rollout.Controller,
	serviceRollouts *rollout.ServiceController, fleetRecorder *fleet.Recorder, fleetRatings *ratings.Store,
	engineOrders *engineorder.Controller, shareAggregator *shares.Aggregator, recorder event.Recorder, clock *event.Clock,
	pool *peer.Pool, identity controlclient.Identity, logger *slog.Logger,
) *controlsvc.Service {
	return controlsvc.New(controlsvc.Config{
		Log: replicatedLog, State: state, Proposer: proposer, Allocator: allocator, FleetTable: table, ServerRecorder: fleetRecorder, Ratings: fleetRatings,
		OutcomeSinks:      []controlsvc.OutcomeSink{lifecycles, modelRollouts, serviceRollouts, fleetRatings},
		ServiceRollouts:   serviceRollouts,
		Shares:            shareAggregator,
		LeaderControllers: []controlsvc.LeaderController{lifecycles, modelRollouts, serviceRollouts, fleetRatings, engineOrders, fleetRecorder},
		Recorder:          recorder, Clock: clock, Peers: pool, Identity: identity, PeerAddress: s.PeerAdvertise, Logger: logger,
		ToleratedLosses: s.ToleratedLosses, JSONLimits: jsonLimits(s),
	})
}
