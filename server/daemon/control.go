package daemon

import (
	"errors"
	"log/slog"
	"path/filepath"
	"slices"
	"syscall"
	"time"

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
)

var controlConstructors = []any{
	newLedger, newState, newReplica, newProposer, newAllocator, fleet.NewTable, newLifecycle, newFleetRatings, newRollout, newServiceRollout, newFleetRecorder, newEngineOrder, newService,
}

func newLedger(s *settings.Settings) (*ledger.Ledger, error) {
	return ledger.Open(filepath.Join(s.DataDir, "ledger"))
}

func newState(bills *ledger.Ledger) *controlstate.State {
	state := controlstate.New()
	state.SetLedger(bills)
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
		HeartbeatInterval: s.ElectionTimeout / heartbeatsPerElection, GroupSize: s.GroupSize(), Peers: client.Replicas,
		Pool: pool, Server: server, StateMachine: state, Logger: logger, Recorder: recorder, Clock: clock,
	})
}

const (
	// ticksPerElection is the resolution of election timeouts. They are drawn from one to two times the setting: with few
	// ticks, replicas that start together often draw the same one and split their votes.
	ticksPerElection = 20
	// heartbeatsPerElection lets some heartbeats be lost before an election.
	heartbeatsPerElection = 5
)

// diskPause is the pause before a data folder that refused a write is tried again.
const diskPause = 500 * time.Millisecond

// startReplica waits while the disk takes no more bytes: a process that ends each time would only be started again.
func startReplica(c replica.Config) (*replica.Replica, error) {
	for {
		r, err := replica.Start(c)
		if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EIO) {
			return r, err
		}
		c.Logger.Error("data_folder_refuses_writes", "folder", c.DataDir, "error", err)
		time.Sleep(diskPause)
	}
}

func newProposer(log *replica.Replica) *controlsvc.LogProposer { return controlsvc.NewProposer(log) }

func newAllocator(s *settings.Settings) *limits.Allocator { return limits.NewAllocator(s.MaxEntries) }

func newLifecycle(
	table *fleet.Table, state *controlstate.State, proposer *controlsvc.LogProposer, recorder event.Recorder, logger *slog.Logger,
) *lifecycle.Controller {
	return lifecycle.New(table, phaseReader{state}, proposer, recorder, logger)
}

// phaseReader gives the replicated state in the form that the lifecycle controller reads.
type phaseReader struct{ *controlstate.State }

// Phase returns the recorded phase of a backend server; false when none is recorded.
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

func newFleetRatings(state *controlstate.State) *ratings.Fleet { return ratings.NewFleet(state) }

func newRollout(
	state *controlstate.State, proposer *controlsvc.LogProposer, lives *lifecycle.Controller, recorder event.Recorder, logger *slog.Logger,
) *rollout.Controller {
	return rollout.New(state, proposer, lives, recorder, logger)
}

func newServiceRollout(
	s *settings.Settings, state *controlstate.State, proposer *controlsvc.LogProposer, recorder event.Recorder, logger *slog.Logger,
) *rollout.ServiceController {
	return rollout.NewServiceController(state, proposer, s.RolloutExposure, recorder, logger)
}

func newFleetRecorder(
	table *fleet.Table, state *controlstate.State, proposer *controlsvc.LogProposer, logger *slog.Logger,
) *fleet.Recorder {
	return fleet.NewRecorder(table, state, proposer, logger)
}

func newEngineOrder(
	s *settings.Settings, table *fleet.Table, state *controlstate.State, proposer *controlsvc.LogProposer, log *replica.Replica,
	recorder event.Recorder, logger *slog.Logger,
) *engineorder.Controller {
	return engineorder.New(engineorder.Config{
		Table: table, State: state, Proposer: proposer, Lease: func() bool { return holdsLease(log) },
		Recorder: recorder, Log: logger, WeightStore: s.WeightStoreURL,
	})
}

// holdsLease reports whether a majority acknowledged this replica as leader within the lease.
func holdsLease(log *replica.Replica) bool {
	leadership, _ := log.LeadershipChanged()
	age, known := log.FreshAge(time.Now())
	return leadership.Leader && known && age <= engineorder.LeaseTime
}

func newService(
	s *settings.Settings, log *replica.Replica, state *controlstate.State, proposer *controlsvc.LogProposer,
	allocator *limits.Allocator, table *fleet.Table, lives *lifecycle.Controller, rollouts *rollout.Controller,
	services *rollout.ServiceController, fleetRecorder *fleet.Recorder, quality *ratings.Fleet, orders *engineorder.Controller, recorder event.Recorder, clock *event.Clock,
	pool *peer.Pool, identity controlclient.Identity, logger *slog.Logger,
) *controlsvc.Service {
	return controlsvc.New(controlsvc.Config{
		Log: log, State: state, Proposer: proposer, Allocator: allocator, FleetTable: table, Ratings: quality,
		OutcomeSinks:      []controlsvc.OutcomeSink{lives, rollouts, services, quality},
		RolloutTimes:      services,
		LeaderControllers: []controlsvc.LeaderController{lives, rollouts, services, quality, orders, fleetRecorder},
		Recorder:          recorder, Clock: clock, Peers: pool, Identity: identity, PeerAddress: s.PeerAdvertise, Logger: logger,
		ToleratedLosses: s.ToleratedLosses,
	})
}
