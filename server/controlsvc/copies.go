package controlsvc

import (
	"context"
	"time"

	"clementinetray/api/control"
)

// copiesPollInterval is the time between two checks for the copies of a change. The status that the log reports is up to
// one tick old.
const copiesPollInterval = 10 * time.Millisecond

// awaitCopies waits until all entries committed so far are synced on more than ToleratedLosses replicas, so that no
// confirmed change is lost with ToleratedLosses data folders. In a group of full size each committed entry has enough
// copies; a smaller group has to wait for further copies. awaitCopies returns ErrUnavailable after 3 s.
func (s *Service) awaitCopies(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	index := s.Log.Status().CommitIndex
	for !s.hasEnoughCopies(index) {
		select {
		case <-ctx.Done():
			return control.ErrUnavailable.New("entry %d is not on %d replicas yet", index, s.ToleratedLosses+1)
		case <-time.After(copiesPollInterval):
		}
	}
	return nil
}

// hasEnoughCopies reports whether more than ToleratedLosses replicas have synced the log up to the index, which must be
// committed. It is always true when a majority of the voters is more than ToleratedLosses replicas.
func (s *Service) hasEnoughCopies(index uint64) bool {
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
