package lifecycle

import (
	"context"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/controlstate"
)

// phaseRecord is a phase of a backend server to commit to the replicated state.
type phaseRecord struct {
	id, boot string
	decision decision
}

// missingRecord returns the record to commit for a decision; false if the replicated state already has it.
func (s *server) missingRecord(want decision) (phaseRecord, bool) {
	if s.recordedPhase == want.phase && s.recordedBoot == s.boot {
		return phaseRecord{}, false
	}
	return phaseRecord{id: s.id, boot: s.boot, decision: want}, true
}

// commitRecords proposes the records, and applies the decision of each record that was committed. The next tick proposes
// the failed records again.
func (c *Controller) commitRecords(ctx context.Context, now time.Time, pending []phaseRecord) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	inFlight := make(chan struct{}, maxProposals)
	var wg sync.WaitGroup
	for _, r := range pending {
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			_, err := c.proposer.ProposeCommand(ctx, &controlstate.Command{
				At: now,
				SetPhase: &controlstate.SetPhase{
					BackendServer: r.id, Boot: r.boot, Phase: r.decision.phase, Limit: r.decision.limit, Reason: r.decision.reason,
				},
			})
			if err != nil {
				c.log.Warn("backend server phase not recorded", "server", r.id, "boot", r.boot, "phase", r.decision.phase, "error", err.Error())
				return
			}
			c.handleCommittedRecord(now, r)
		})
	}
	wg.Wait()
}

// handleCommittedRecord updates the state of a server after its record was committed, and applies the decision unless the
// server has restarted or is gone.
func (c *Controller) handleCommittedRecord(now time.Time, r phaseRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[r.id]
	if s == nil {
		return
	}
	s.recordedPhase, s.recordedBoot = r.decision.phase, r.boot
	switch {
	case s.current.phase == control.PhaseGone && r.decision.phase == control.PhaseGone:
		delete(c.servers, r.id)
	case s.boot == r.boot && s.current.phase != control.PhaseGone:
		c.applyDecision(now, s, r.decision)
	}
}
