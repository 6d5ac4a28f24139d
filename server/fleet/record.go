package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/controlstate"
)

const (
	// recordInterval is the interval between commits of changes that nobody waits for.
	recordInterval = 250 * time.Millisecond
	// recordDelay is the time for which changes that somebody waits for are collected into one commit.
	recordDelay = 10 * time.Millisecond
	// recordTimeout is the time limit of a commit, which the next round repeats if it fails.
	recordTimeout = 2 * time.Second
	// maxPutsPerCommand is the maximum number of announcements in a command.
	maxPutsPerCommand = 256
)

// RecordedState holds the backend servers in the replicated state.
type RecordedState interface {
	Servers() []controlstate.RecordedServer
	Server(id string) (controlstate.RecordedServer, bool)
}

// Proposer commits a command to the replicated state and returns its result.
type Proposer interface {
	ProposeCommand(ctx context.Context, c *controlstate.Command) (any, error)
}

// Recorder stores the identity of backend servers in the replicated state while this replica leads. Without it, the table
// of a control group that lost power would be empty until each backend server has announced itself again, and a new leader
// would return a server to service whose departure the last one acknowledged. Only backend servers that announce their cold
// time are recorded: for the others, the phase is recorded. The record of a start without a row is kept as long as its departure.
type Recorder struct {
	table    *Table
	state    RecordedState
	proposer Proposer
	log      *slog.Logger
	// wake starts a round before the next interval.
	wake chan struct{}

	mu sync.Mutex // guards roundEnded
	// roundEnded is closed and replaced at the end of each round.
	roundEnded chan struct{}
}

// NewRecorder returns a Recorder. It reads and records nothing before Run is called.
func NewRecorder(table *Table, state RecordedState, proposer Proposer, log *slog.Logger) *Recorder {
	return &Recorder{table: table, state: state, proposer: proposer, log: log, wake: make(chan struct{}, 1), roundEnded: make(chan struct{})}
}

// Run records changes of the table until ctx ends.
func (r *Recorder) Run(ctx context.Context, _ uint64) error {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	silent := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.wake:
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(recordDelay):
			}
		}
		now := time.Now()
		silent = r.logSilenceChanges(silent, r.table.Snapshot(now).Servers)
		r.record(ctx, now)
		r.endRound()
	}
}

// record commits what has changed since the last commit.
func (r *Recorder) record(ctx context.Context, now time.Time) {
	if change := diffRecordedServers(r.state.Servers(), r.table.Snapshot(now).Servers, r.table.departed(now)); change != nil {
		r.commit(ctx, change)
	}
}

func (r *Recorder) endRound() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.roundEnded)
	r.roundEnded = make(chan struct{})
}

func (r *Recorder) nextRoundEnd() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roundEnded
}

// AwaitRecorded waits until the given backend servers are recorded as the table has them now. It reports whether it had to
// wait, and returns the error of ctx if that ends first. Servers that are not in the table and have not deregistered, or are never
// recorded, are skipped.
func (r *Recorder) AwaitRecorded(ctx context.Context, ids []string) (waited bool, err error) {
	for {
		ended := r.nextRoundEnd()
		if !slices.ContainsFunc(ids, r.isUnrecorded) {
			return waited, nil
		}
		waited = true
		select {
		case r.wake <- struct{}{}:
		default:
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return waited, Error.Wrap(ctx.Err())
		}
	}
}

// isUnrecorded reports whether the table has a change of the backend server that is not recorded.
func (r *Recorder) isUnrecorded(id string) bool {
	b, known := r.table.Server(time.Now(), id)
	recorded, ok := r.state.Server(id)
	if !known {
		left, deregistered := r.table.deregistration(time.Now(), id)
		return deregistered && (!ok || !recorded.Deregistered || !left.isOf(&recorded.Announcement))
	}
	if !b.StatesCold {
		return false
	}
	return !ok || !sameRecord(recorded, recordOf(&b))
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
		if a.Address == "" {
			r.log.Info("server_left", "backend_server", a.ID, "started", a.Started, "sequence", a.Sequence, "deregistered", a.Deregistered)
			continue
		}
		r.log.Info("server_recorded", "backend_server", a.ID, "service", a.Service, "zone", a.AvailabilityZone, "address", a.Address,
			"software", a.SoftwareVersion, "started", a.Started, "leaving", a.Leaving, "deregistered", a.Deregistered)
	}
	for _, id := range change.Remove {
		r.log.Info("server_forgotten", "backend_server", id)
	}
}

// diffRecordedServers returns the command that updates the record to match the table, or nil if they match. The record of a server
// without a row becomes that of its departure; a server that never had a record gets that one only if it deregistered.
func diffRecordedServers(recorded []controlstate.RecordedServer, servers map[string]*control.BackendServer, departed departures) *controlstate.RecordServers {
	change := &controlstate.RecordServers{}
	recordedByID := make(map[string]controlstate.RecordedServer, len(recorded))
	for _, a := range recorded {
		recordedByID[a.ID] = a
		_, left := departed[a.ID]
		if b := servers[a.ID]; b == nil && !left || b != nil && !b.StatesCold {
			change.Remove = append(change.Remove, a.ID)
		}
	}
	for id, b := range servers {
		a := recordOf(b)
		if old, ok := recordedByID[id]; b.StatesCold && (!ok || !sameRecord(old, a)) && len(change.Put) < maxPutsPerCommand {
			change.Put = append(change.Put, a)
		}
	}
	for id, d := range departed {
		a := d.recordOf(id)
		if old, ok := recordedByID[id]; (ok || d.deregistered) && (!ok || !sameRecord(old, a)) && len(change.Put) < maxPutsPerCommand {
			change.Put = append(change.Put, a)
		}
	}
	if len(change.Put)+len(change.Remove) == 0 {
		return nil
	}
	slices.SortFunc(change.Put, func(a, b controlstate.RecordedServer) int { return cmp.Compare(a.ID, b.ID) })
	return change
}

// recordOf returns the row without the fields that change from one announcement to the next, except the sequence.
func recordOf(b *control.BackendServer) controlstate.RecordedServer {
	a := b.Announcement
	a.Running, a.Queued, a.ColdMillis, a.PrefixHashes = 0, 0, 0, nil
	return controlstate.RecordedServer{Announcement: a, Deregistered: b.Deregistered}
}

func sameRecord(a, b controlstate.RecordedServer) bool {
	return a.Deregistered == b.Deregistered && sameIdentity(a.Announcement, b.Announcement)
}

// AddRecordedServers adds what earlier leaders recorded to the table of a new leader and returns the number of rows that this
// added or changed. A server that is not in the table, or started again since it was copied, is added as if it had announced
// itself now. The departure of a start that the table has is taken over: it was acknowledged to the server, which may not
// repeat it.
func (t *Table) AddRecordedServers(now time.Time, recorded []controlstate.RecordedServer) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := 0
	for _, s := range recorded {
		r := t.rows[s.ID]
		if r != nil && s.Boot == r.server.Boot {
			r.minSequence = s.Sequence
		}
		switch {
		case s.Address == "":
			d := departureOfRecord(s)
			ended := r != nil && r.server.Started > 0 && r.server.Started < s.Started || r != nil && s.Deregistered && d.isOf(&r.server.Announcement)
			if ended {
				t.removeRow(now, s.ID)
			}
			t.departures.store(now, s.ID, d)
			if !ended {
				continue
			}
		case validate(now, s.Announcement) != nil:
			continue
		case r == nil || s.Started > r.server.Started:
			if t.removeEarlierAtAddress(now, s.Announcement) != "" {
				t.departures.store(now, s.ID, departureOfRecord(s))
				continue
			}
			if r == nil {
				r = t.insertRow(now, s.Announcement)
			} else {
				t.startAgain(r, s.Announcement)
			}
			r.minSequence = s.Sequence
			r.server.Deregistered = s.Deregistered
			// A sequence of 0 marks a row without an announcement at this leader.
			a := s.Announcement
			a.Sequence = 0
			t.applyAnnouncement(now, r, a)
		case s.Boot == r.server.Boot && s.Deregistered && !r.server.Deregistered:
			t.markDeregistered(r)
		case s.Boot == r.server.Boot && s.Leaving && !r.server.Leaving:
			r.server.Leaving, r.server.Phase, r.server.Reason = true, control.PhaseLeaving, "announced that it leaves"
			t.markRow(r)
		default:
			continue
		}
		changed++
	}
	return changed
}
