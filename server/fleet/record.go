package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/controlstate"
)

const (
	// recordInterval is the interval between commits of changes. Until the next one, only the leader's table holds a new
	// backend server.
	recordInterval = 250 * time.Millisecond
	// recordTimeout is the time limit of a commit, which the next round repeats if it fails.
	recordTimeout = 2 * time.Second
	// maxPutsPerCommand is the maximum number of announcements in a command.
	maxPutsPerCommand = 256
)

// RecordedState returns the backend servers in the replicated state.
type RecordedState interface{ Servers() []control.Announcement }

// Proposer commits a command to the replicated state and returns its result.
type Proposer interface {
	ProposeCommand(ctx context.Context, c *controlstate.Command) (any, error)
}

// Recorder stores the identity of backend servers in the replicated state while this replica leads. Without it, the table
// of a control group that lost power would be empty until each backend server has announced itself again. Only backend
// servers that announce their cold time are recorded: for the others, the phase is recorded.
type Recorder struct {
	table    *Table
	state    RecordedState
	proposer Proposer
	log      *slog.Logger
}

// NewRecorder returns a Recorder. It reads and records nothing before Run is called.
func NewRecorder(table *Table, state RecordedState, proposer Proposer, log *slog.Logger) *Recorder {
	return &Recorder{table: table, state: state, proposer: proposer, log: log}
}

// Run adds the recorded backend servers to the table, then records changes of the table until ctx ends.
func (r *Recorder) Run(ctx context.Context, _ uint64) error {
	recorded := r.state.Servers()
	seeded := r.table.AddRecordedServers(time.Now(), recorded)
	r.log.Info("fleet_seeded", "recorded", len(recorded), "seeded", seeded)
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	silent := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		servers := r.table.Snapshot(time.Now()).Servers
		silent = r.logSilenceChanges(silent, servers)
		if change := diffRecordedServers(r.state.Servers(), servers); change != nil {
			r.commit(ctx, change)
		}
	}
}

// logSilenceChanges logs each backend server that became silent, or announced itself again, since the last round. It
// returns the ids of the silent ones.
func (r *Recorder) logSilenceChanges(before map[string]bool, servers map[string]*control.BackendServer) map[string]bool {
	silent := map[string]bool{}
	for id, b := range servers {
		if b.Silent {
			silent[id] = true
		}
		if b.Silent != before[id] {
			r.log.Info("server_silence", "backend_server", id, "silent", b.Silent, "zone", b.AvailabilityZone, "sequence", b.Sequence, "age", b.LoadAge)
		}
	}
	return silent
}

func (r *Recorder) commit(ctx context.Context, change *controlstate.RecordServers) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if _, err := r.proposer.ProposeCommand(ctx, &controlstate.Command{RecordServers: change}); err != nil {
		r.log.Warn("servers_not_recorded", "put", len(change.Put), "remove", len(change.Remove), "error", err)
		return
	}
	for _, a := range change.Put {
		r.log.Info("server_recorded", "backend_server", a.ID, "service", a.Service, "zone", a.AvailabilityZone, "address", a.Address,
			"software", a.SoftwareVersion, "started", a.Started, "leaving", a.Leaving)
	}
	for _, id := range change.Remove {
		r.log.Info("server_forgotten", "backend_server", id, "silent", AnnouncementTTL)
	}
}

// diffRecordedServers returns the command that updates the record to match the table, or nil if they match.
func diffRecordedServers(recorded []control.Announcement, servers map[string]*control.BackendServer) *controlstate.RecordServers {
	change := &controlstate.RecordServers{}
	recordedByID := make(map[string]control.Announcement, len(recorded))
	for _, a := range recorded {
		recordedByID[a.ID] = a
		if servers[a.ID] == nil {
			change.Remove = append(change.Remove, a.ID)
		}
	}
	for id, b := range servers {
		a := identityOf(b)
		if old, ok := recordedByID[id]; b.StatesCold && (!ok || !sameIdentity(old, a)) && len(change.Put) < maxPutsPerCommand {
			change.Put = append(change.Put, a)
		}
	}
	if len(change.Put)+len(change.Remove) == 0 {
		return nil
	}
	slices.SortFunc(change.Put, func(a, b control.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return change
}

// identityOf returns the announcement without the fields that change from one announcement to the next.
func identityOf(b *control.BackendServer) control.Announcement {
	a := b.Announcement
	a.Running, a.Queued, a.ColdMillis, a.Sequence, a.PrefixHashes = 0, 0, 0, 0, nil
	return a
}

// AddRecordedServers adds backend servers that an earlier leader recorded to the table, as if they had announced
// themselves now, and returns their number. It doesn't change servers that are already in the table.
func (t *Table) AddRecordedServers(now time.Time, recorded []control.Announcement) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	seeded := 0
	for _, a := range recorded {
		if t.rows[a.ID] == nil && validate(now, a) == nil {
			t.applyAnnouncement(now, t.insertRow(now, a), a)
			seeded++
		}
	}
	return seeded
}
