package controlstate

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// changePlan is an operator change that was checked against the current state. apply executes it; the caller increments
// the configuration revision before.
type changePlan struct {
	base        control.ChangeBase
	kind        ChangeKind
	subject     string
	contentHash tableKey
	diff        []string
	apply       func()
	err         error
	// unchanged is set when the requested change was already made or was superseded by a later one.
	unchanged bool
}

// applyChange executes an operator's command. It returns the stored first result for a known request id, and a conflict
// for a stale base revision.
func (s *State) applyChange(c *Command) any {
	p := s.planChange(c)
	if result, err := s.checkPlan(p); err != nil || result != nil {
		if err != nil {
			return err
		}
		return *result
	}
	if p.base.DryRun {
		return ChangeResult{ChangeReply: control.ChangeReply{Revision: s.configRevision, Diff: p.diff}}
	}
	s.configRevision++
	s.revision++
	p.apply()
	s.changes = keepLast(append(s.changes, Change{
		Revision: s.configRevision, By: p.base.By, At: s.timeLocked(), RequestID: p.base.RequestID, Diff: p.diff,
		Kind: p.kind, Subject: p.subject,
	}), MaxChanges)
	reply := control.ChangeReply{Revision: s.configRevision, Diff: p.diff}
	if p.base.RequestID != "" {
		s.firstResults.putEvictingOldest(keyOf(p.base.RequestID), firstResult{p.contentHash, reply}, s.nowMillis)
	}
	return ChangeResult{ChangeReply: reply}
}

// checkPlan returns nil and no error when the plan may be applied. Otherwise it returns the first result of a resend, the
// unchanged revision, the conflict of a stale base revision, or the plan's error.
func (s *State) checkPlan(p changePlan) (*ChangeResult, error) {
	if p.base.RequestID != "" {
		if first := s.firstResults.get(keyOf(p.base.RequestID)); first != nil {
			if first.Content != p.contentHash {
				return nil, ErrRefused.New("request_id %q was used for another change", p.base.RequestID)
			}
			reply := first.Reply
			reply.Repeated = true
			return &ChangeResult{ChangeReply: reply}, nil
		}
	}
	if p.unchanged && p.err == nil {
		return &ChangeResult{ChangeReply: control.ChangeReply{Revision: s.configRevision, Repeated: true}}, nil
	}
	if p.base.BaseRevision != s.configRevision && !p.base.Latest {
		return &ChangeResult{Conflict: s.newConflict(p.base.BaseRevision)}, nil
	}
	return nil, p.err
}

// DryRun returns the result that the change would have now, without applying it.
func (s *State) DryRun(c *Command) (ChangeResult, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := s.planChange(c)
	if result, err := s.checkPlan(p); err != nil || result != nil {
		if err != nil {
			return ChangeResult{}, err
		}
		return *result, nil
	}
	return ChangeResult{ChangeReply: control.ChangeReply{Revision: s.configRevision, Diff: p.diff}}, nil
}

// FirstResult returns the stored result of the change with this request id, with Repeated set, and false when none is
// stored.
func (s *State) FirstResult(requestID string) (control.ChangeReply, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	first := s.firstResults.get(keyOf(requestID))
	if first == nil {
		return control.ChangeReply{}, false
	}
	reply := first.Reply
	reply.Repeated = true
	return reply, true
}

// newConflict returns the author and time of the latest change and the diff lines of all changes since the base revision.
func (s *State) newConflict(base uint64) *control.Conflict {
	c := &control.Conflict{Revision: s.configRevision}
	if n := len(s.changes); n > 0 {
		c.By, c.At = s.changes[n-1].By, s.changes[n-1].At
	}
	if base > s.configRevision {
		c.Diff = []string{fmt.Sprintf("base_revision %d is newer than the current revision %d", base, s.configRevision)}
		return c
	}
	if len(s.changes) > 0 && s.changes[0].Revision > base+1 {
		c.Diff = append(c.Diff, fmt.Sprintf("changes before revision %d are no longer kept", s.changes[0].Revision))
	}
	for _, change := range s.changes {
		if change.Revision <= base {
			continue
		}
		for _, line := range change.Diff {
			c.Diff = append(c.Diff, fmt.Sprintf("revision %d by %s: %s", change.Revision, change.By, line))
		}
	}
	c.Diff = truncateLines(c.Diff)
	return c
}

// planChange checks an operator's command against the current state without changing the state.
func (s *State) planChange(c *Command) changePlan {
	var p changePlan
	switch {
	case c.ApplyCatalogue != nil:
		p = s.planCatalogue(c.ApplyCatalogue)
	case c.SetOrder != nil:
		p = s.planOrder(c.SetOrder)
	case c.SetRollout != nil:
		p = s.planRollout(c.SetRollout)
	case c.LiftQuarantine != nil:
		p = s.planQuarantineLift(c.LiftQuarantine)
	case c.StartServiceRollout != nil:
		p = s.planServiceRollout(c.StartServiceRollout)
	default:
		p.err = Error.New("the command is not an operator's change")
	}
	p.diff = truncateLines(p.diff)
	return p
}

func (s *State) planCatalogue(c *ApplyCatalogue) changePlan {
	next := &c.Catalogue
	p := changePlan{base: c.ChangeBase, kind: ChangeCatalogue, contentHash: hashContent("catalogue", next, c.Number)}
	if c.Number > 0 {
		p.base.Latest = true
		if p.unchanged = c.Number <= s.currentCatalogue().Number; p.unchanged {
			return p
		}
	}
	p.diff = catalogue.Diff(s.currentCatalogue().Catalogue, next)
	keptProgress := map[string]control.RolloutProgress{}
	for _, model := range slices.Sorted(maps.Keys(s.rollouts.Progress)) {
		progress := s.rollouts.Progress[model]
		if sameRollout(next.FindRollout(model), progress) {
			keptProgress[model] = progress
			continue
		}
		p.diff = append(p.diff, fmt.Sprintf("rollout %s: progress of %s to %s (%s, step %d) ends",
			model, progress.From, progress.To, progress.State, progress.Step))
	}
	p.apply = func() {
		s.catalogueModRevision = s.revision
		s.catalogues[len(s.catalogues)-1].Document = nil
		s.catalogues = keepLast(append(s.catalogues, CatalogueRevision{
			Revision: s.configRevision, By: c.By, At: s.timeLocked(), Catalogue: next, Number: c.Number, Document: c.Document,
		}), MaxCatalogues)
		if len(keptProgress) != len(s.rollouts.Progress) {
			s.rollouts = &control.Rollouts{ModRevision: s.revision, Progress: keptProgress, Services: s.rollouts.Services}
		}
	}
	return p
}

func (s *State) planOrder(c *SetOrder) changePlan {
	p := changePlan{base: c.ChangeBase, contentHash: hashContent("order", c.AvailabilityZone, c.BackendServer, c.Out, c.Reason)}
	if (c.AvailabilityZone == "") == (c.BackendServer == "") {
		p.err = ErrRefused.New("an order names either an availability zone or a backend server")
		return p
	}
	zones, servers := maps.Clone(s.orders.ZonesOut), maps.Clone(s.orders.ServersOut)
	orders, name, label := zones, c.AvailabilityZone, "zone"
	kindIn, kindOut := ChangeZoneIn, ChangeZoneOut
	if c.BackendServer != "" {
		orders, name, label = servers, c.BackendServer, "server"
		kindIn, kindOut = ChangeServerIn, ChangeServerOut
	}
	p.subject, p.kind = name, kindIn
	if c.Out {
		p.kind = kindOut
	}
	_, wasOut := orders[name]
	p.unchanged = p.base.Latest && wasOut == c.Out
	line := fmt.Sprintf("%s %s: %s -> %s", label, name, orderStateText(wasOut), orderStateText(c.Out))
	if c.Reason != "" {
		line += fmt.Sprintf(" (%s)", c.Reason)
	}
	p.diff = []string{line}
	if c.Out && !wasOut && len(orders) >= MaxOrders {
		p.err = control.ErrTableFull.New("%d orders stand", len(orders))
	}
	p.apply = func() {
		delete(orders, name)
		if c.Out {
			orders[name] = control.Order{By: c.By, At: s.timeLocked(), Reason: c.Reason, Revision: s.configRevision}
		}
		s.orders = &control.Orders{ModRevision: s.revision, ZonesOut: zones, ServersOut: servers}
	}
	return p
}

func orderStateText(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// allowedPriorStates lists, for each state that an operator may order, the states from which a roll-out may change to it.
var allowedPriorStates = map[control.RolloutState][]control.RolloutState{
	control.RolloutHeld:       {control.RolloutRunning, control.RolloutHeld},
	control.RolloutRunning:    {control.RolloutHeld, control.RolloutRunning},
	control.RolloutRolledBack: {control.RolloutRunning, control.RolloutHeld, control.RolloutDone, control.RolloutRolledBack},
}

// planRollout uses only model, state and reason of the command's progress: the controller may have advanced the step
// since the operator read it.
func (s *State) planRollout(c *SetRollout) changePlan {
	model, state := c.Progress.Model, c.Progress.State
	p := changePlan{base: c.ChangeBase, kind: ChangeRollout, subject: model, contentHash: hashContent("rollout", model, state)}
	current, ok := s.rollouts.Progress[model]
	if !ok {
		p.err = ErrRefused.New("model %q has no rollout under way", model)
		return p
	}
	if !slices.Contains(allowedPriorStates[state], current.State) {
		p.err = ErrRefused.New("rollout of %q is %s and can't become %q", model, current.State, state)
		return p
	}
	next := current
	next.State, next.Reason = state, c.Progress.Reason
	if state == control.RolloutRolledBack {
		next.Percent = 0
	}
	p.diff = []string{fmt.Sprintf("rollout %s: %s -> %s at step %d", model, current.State, state, current.Step)}
	p.apply = func() {
		if next.State != current.State {
			next.Since = s.timeLocked()
		}
		s.putRollout(next)
	}
	return p
}

func (s *State) putRollout(p control.RolloutProgress) {
	progress := maps.Clone(s.rollouts.Progress)
	progress[p.Model] = p
	s.rollouts = &control.Rollouts{ModRevision: s.revision, Progress: progress, Services: s.rollouts.Services}
}

// advanceRollout executes a command of the roll-out controller.
func (s *State) advanceRollout(c *SetRollout) ChangeResult {
	model := c.Progress.Model
	current, ok := s.rollouts.Progress[model]
	var problem string
	switch {
	case ok != (c.Expect != nil), ok && !sameProgress(current, *c.Expect):
		problem = fmt.Sprintf("rollout %s: progress is %q at step %d", model, current.State, current.Step)
	case !sameRollout(s.currentCatalogue().Catalogue.FindRollout(model), c.Progress):
		problem = fmt.Sprintf("rollout %s: the catalogue has no rollout from %q to %q", model, c.Progress.From, c.Progress.To)
	default:
		s.revision++
		s.putRollout(c.Progress)
		return ChangeResult{ChangeReply: control.ChangeReply{Revision: s.configRevision}}
	}
	conflict := &control.Conflict{Revision: s.configRevision, At: s.timeLocked(), Diff: []string{problem}}
	if n := len(s.changes); n > 0 {
		conflict.By, conflict.At = s.changes[n-1].By, s.changes[n-1].At
	}
	return ChangeResult{Conflict: conflict}
}

func sameRollout(r *catalogue.Rollout, p control.RolloutProgress) bool {
	return r != nil && r.From == p.From && r.To == p.To
}

func sameProgress(a, b control.RolloutProgress) bool {
	if !a.Since.Equal(b.Since) {
		return false
	}
	a.Since = b.Since
	return a == b
}

func (s *State) planQuarantineLift(c *LiftQuarantine) changePlan {
	p := changePlan{base: c.ChangeBase, kind: ChangeQuarantineLift, subject: c.Fingerprint,
		contentHash: hashContent("lift", c.Fingerprint)}
	k := keyOf(c.Fingerprint)
	r := s.crashes.get(k)
	if r == nil {
		p.err = ErrRefused.New("fingerprint %q has no crash record", c.Fingerprint)
		return p
	}
	p.diff = []string{fmt.Sprintf("quarantine %s: %d crashes forgotten", c.Fingerprint, len(r.Pairs))}
	p.apply = func() {
		s.crashes.remove(k)
		s.quarantine = s.quarantineAt(s.revision)
	}
	return p
}

// hashContent hashes the requested change, without its base revision and author.
func hashContent(kind string, parts ...any) tableKey {
	text, err := json.Marshal(parts)
	if err != nil {
		// Only a catalogue with a number that JSON can't represent (NaN or an infinity) fails to encode. Its printed form is
		// hashed instead.
		text = fmt.Append(nil, parts...)
	}
	return keyOf(kind, string(text))
}

func truncateLines(lines []string) []string {
	if len(lines) <= MaxDiffLines {
		return lines
	}
	more := len(lines) - MaxDiffLines
	return append(slices.Clone(lines[:MaxDiffLines]), fmt.Sprintf("and %d more", more))
}

func keepLast[T any](items []T, n int) []T {
	if len(items) <= n {
		return items
	}
	return slices.Clone(items[len(items)-n:])
}
