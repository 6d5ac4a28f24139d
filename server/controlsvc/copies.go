package controlsvc

import (
	"context"
	"time"

	"clementinetray/api/control"
)

// copiesPoll is the pause between two looks at the copies of a change. The status of a replica is up to a tick old.
const copiesPoll = 10 * time.Millisecond

// awaitCopies returns once everything committed so far is synced on more replicas than may lose their data folder at once.
// A majority is enough for that once the group has its full size; before, each further copy has to be waited for.
func (s *Service) awaitCopies(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	index := s.Log.Status().CommitIndex
	for !s.copied(index) {
		select {
		case <-ctx.Done():
			return control.ErrUnavailable.New("entry %d is not on %d replicas yet", index, s.ToleratedLosses+1)
		case <-time.After(copiesPoll):
		}
	}
	return nil
}

// copied reports whether enough replicas have synced the log up to the index.
func (s *Service) copied(index uint64) bool {
	voters, copies := 0, 0
	for _, m := range s.Log.Status().Members {
		if m.Voter {
			voters++
		}
		if m.MatchIndex >= index {
			copies++
		}
	}
	return voters/2+1 > s.ToleratedLosses || copies > s.ToleratedLosses
}
