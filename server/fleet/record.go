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
	// recordInterval bounds how long a new backend server is known to the leader alone.
	recordInterval = 250 * time.Millisecond
	// recordTimeout bounds one commit; the next round tries again.
	recordTimeout = 2 * time.Second
	// maxRecorded bounds the announcements in one command.
	maxRecorded = 256
)

// RecordedState is the part of the replicated state that a Recorder reads.
type RecordedState interface{ Servers() []control.Announcement }

// Proposer commits commands.
type Proposer interface {
	ProposeCommand(ctx context.Context, c *controlstate.Command) (any, error)
}

// Recorder makes the identity of backend servers durable at the control leader. Without it, a control group that lost
// power knows no backend server until each has announced itself again. Only backend servers that state their cold time are
// recorded: the others have a recorded phase.
type Recorder struct {
	table    *Table
	state    RecordedState
	proposer Proposer
	log      *slog.Logger
}

// NewRecorder returns a Recorder. It does nothing until Run.
func NewRecorder(table *Table, state RecordedState, proposer Proposer, log *slog.Logger) *Recorder {
	return &Recorder{table: table, state: state, proposer: proposer, log: log}
}

// Run takes the recorded backend servers into the table and records changes until ctx ends.
func (r *Recorder) Run(ctx context.Context, _ uint64) error {
	recorded := r.state.Servers()
	seeded := r.table.Seed(time.Now(), recorded)
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
		silent = r.logSilence(silent, servers)
		if change := difference(r.state.Servers(), servers); change != nil {
			r.commit(ctx, change)
		}
	}
}

// logSilence writes a line for each backend server that fell silent, or announced itself again, since the last round. It
// returns the silent ones.
func (r *Recorder) logSilence(before map[string]bool, servers map[string]*control.BackendServer) map[string]bool {
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

// difference returns the command that makes the record equal to the table, nil when they are equal.
func difference(recorded []control.Announcement, servers map[string]*control.BackendServer) *controlstate.RecordServers {
	change := &controlstate.RecordServers{}
	known := make(map[string]control.Announcement, len(recorded))
	for _, a := range recorded {
		known[a.ID] = a
		if servers[a.ID] == nil {
			change.Remove = append(change.Remove, a.ID)
		}
	}
	for id, b := range servers {
		a := identityOf(b)
		if old, ok := known[id]; b.StatesCold && (!ok || !sameIdentity(old, a)) && len(change.Put) < maxRecorded {
			change.Put = append(change.Put, a)
		}
	}
	if len(change.Put)+len(change.Remove) == 0 {
		return nil
	}
	slices.SortFunc(change.Put, func(a, b control.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return change
}

// identityOf returns the announcement without what changes from one to the next.
func identityOf(b *control.BackendServer) control.Announcement {
	a := b.Announcement
	a.Running, a.Queued, a.ColdMillis, a.Sequence, a.PrefixHashes = 0, 0, 0, 0, nil
	return a
}

// Seed takes backend servers that an earlier leader recorded into the table, as if they had announced themselves now, and
// returns how many. Those that the table holds already are left alone.
func (t *Table) Seed(now time.Time, recorded []control.Announcement) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	seeded := 0
	for _, a := range recorded {
		if t.rows[a.ID] == nil && check(a) == nil {
			t.update(now, t.insert(now, a), a)
			seeded++
		}
	}
	return seeded
}
