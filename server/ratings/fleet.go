package ratings

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
)

// publishInterval is the time between two tables. A table of 8 versions in 5 classes takes about 2 KB, so that an entry
// instance receives less than 0.5 KB/s of the 16 KB/s for control traffic.
const publishInterval = 5 * time.Second

// State provides the current view of the replicated state.
type State interface{ View() *control.View }

// Store holds the quality estimates of the whole fleet. The control leader computes them from the sums of ratings in
// heartbeats; followers copy them from the leader. The estimates are not durable: a new leader continues from its copy. It is
// safe for concurrent use.
type Store struct {
	state State

	mu        sync.Mutex // guards the fields below
	estimator *Estimator
	table     *control.RatingTable
}

// NewStore returns a store without ratings.
func NewStore(state State) *Store {
	return &Store{state: state, estimator: NewEstimator(), table: &control.RatingTable{}}
}

// AddOutcomes records the sums of ratings that an entry instance reports.
func (s *Store) AddOutcomes(_ time.Time, _ string, outcomes []control.Outcome) {
	s.mu.Lock()
	estimator := s.estimator
	s.mu.Unlock()
	for _, o := range outcomes {
		if o.Class != "" {
			estimator.ObserveSum(o.Class, o.VersionRef, o.RatingSum, o.Ratings)
		}
	}
}

// AddSuspects does nothing: reports about backend servers do not affect ratings.
func (*Store) AddSuspects(time.Time, string, []control.SuspectReport) {}

// Run publishes tables while this replica is the leader in term, until ctx ends.
func (s *Store) Run(ctx context.Context, term uint64) error {
	s.mu.Lock()
	s.estimator = NewEstimator()
	s.estimator.setFromTable(s.table)
	s.mu.Unlock()
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		s.publish(term)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// publish creates a new table if an estimate changed. Versions increase within a term and from term to term.
func (s *Store) publish(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view := s.state.View(); view != nil && view.Catalogue != nil {
		s.estimator.SetCatalogue(view.Catalogue)
	}
	next := s.estimator.toTable()
	if slices.Equal(next.Rows, s.table.Rows) && next.Frozen == s.table.Frozen {
		return
	}
	next.Version = max(s.table.Version, term<<32) + 1
	s.table = next
}

// TableIfNewer returns the current table, or nil if its version is not higher than the given one.
func (s *Store) TableIfNewer(version uint64) *control.RatingTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Version <= version {
		return nil
	}
	return s.table
}

// Load stores the leader's table on a follower if its version is higher than that of the current one.
func (s *Store) Load(t *control.RatingTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t != nil && t.Version > s.table.Version {
		s.table = t
	}
}

// setFromTable sets the estimates of the versions in the table and keeps those of other versions.
func (e *Estimator) setFromTable(t *control.RatingTable) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, row := range t.Rows {
		e.estimates[blackboard.ClassVersion{Class: row.Class, VersionRef: row.VersionRef}] = blackboard.Quality{Alpha: row.Alpha, Beta: row.Beta}
	}
}

// toTable returns a table of the estimates, sorted by class, model and version.
func (e *Estimator) toTable() *control.RatingTable {
	snapshot := e.Snapshot()
	t := &control.RatingTable{Frozen: snapshot.Frozen, Rows: make([]control.RatingRow, 0, len(snapshot.ByClass))}
	for key, q := range snapshot.ByClass {
		t.Rows = append(t.Rows, control.RatingRow{Class: key.Class, VersionRef: key.VersionRef, Alpha: q.Alpha, Beta: q.Beta})
	}
	slices.SortFunc(t.Rows, func(a, b control.RatingRow) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return t
}

// MergeFleetAndLocal returns the fleet's estimates, and this entry instance's own for versions that are not in the fleet's
// table. The result is frozen if the entry instance's own estimates or the fleet's are, as only the entry instance itself
// detects that its calls of the rating service fail.
func MergeFleetAndLocal(local blackboard.Ratings, table *control.RatingTable) blackboard.Ratings {
	if table == nil {
		return local
	}
	out := blackboard.Ratings{ByClass: local.ByClass, Frozen: local.Frozen || table.Frozen}
	for _, row := range table.Rows {
		key := blackboard.ClassVersion{Class: row.Class, VersionRef: catalogue.VersionRef{Model: row.Model, Version: row.Version}}
		out.ByClass[key] = blackboard.Quality{Alpha: row.Alpha, Beta: row.Beta}
	}
	return out
}
