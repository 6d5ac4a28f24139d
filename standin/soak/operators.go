package soak

import (
	"context"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/standin/site"
)

// status returns the status from the first running control instance that answers.
func (s *soak) status() (*control.StatusReply, error) {
	var lastErr error
	for _, i := range s.runningControls() {
		status, err := s.site.Status(i)
		if err == nil {
			return status, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// runningControls returns the control instances whose process runs.
func (s *soak) runningControls() []*site.Instance {
	var out []*site.Instance
	for _, i := range s.site.Instances[:s.Size.Control] {
		if i.Running() {
			out = append(out, i)
		}
	}
	return out
}

// applyChange tries a change at the control instances until one confirms it, and reports whether that happened within
// changeTimeout.
func (s *soak) applyChange(change func(*site.Instance) error) bool {
	return s.waitUntil(changeTimeout, func() bool {
		for _, i := range s.runningControls() {
			if change(i) == nil {
				s.recordConfirmed(i)
				return true
			}
		}
		return false
	})
}

// recordConfirmed records the revision that an instance shows after it confirmed a change. Later reads must not show an
// older one.
func (s *soak) recordConfirmed(i *site.Instance) {
	status, err := s.site.Status(i)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedRevision = max(s.confirmedRevision, status.Revision)
}

// checkReads polls the status of each control instance until ctx ends. None may show a revision older than one that was
// confirmed before the read.
func (s *soak) checkReads(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range s.runningControls() {
			s.mu.Lock()
			confirmed := s.confirmedRevision
			s.mu.Unlock()
			if status, err := s.site.Status(i); err == nil && status.Revision < confirmed {
				s.addViolation(NoLostChange, "%s shows revision %d after %d was confirmed", i.ID, status.Revision, confirmed)
			}
		}
		time.Sleep(pollInterval)
	}
}

// takeZoneOut takes a zone out of service for the duration of the step, which exceeds viewLimit, and brings it back.
func (s *soak) takeZoneOut(step Step) {
	s.zoneMu.Lock()
	defer s.zoneMu.Unlock()
	zone := zoneNames[step.Target%len(zoneNames)]
	setOut := func(out bool) func(*site.Instance) error {
		return func(i *site.Instance) error { return s.site.SetOut(i, "zones/"+zone, out) }
	}
	s.changeAndRevert(step, &s.history.ZonesOut, zone, setOut(true), setOut(false))
}

// revokeKey revokes the guest's key for the duration of the step, which exceeds viewLimit, and restores it.
func (s *soak) revokeKey(step Step) {
	s.keyMu.Lock()
	defer s.keyMu.Unlock()
	setKeys := func(keys ...string) func(*site.Instance) error {
		return func(i *site.Instance) error { return s.site.ApplyAt(i, catalogueWith(keys...)) }
	}
	s.changeAndRevert(step, &s.history.KeysOut, guestName, setKeys(), setKeys(guestKey))
}

// changeAndRevert makes a change, records the span in which it was confirmed, and reverts it after the step's duration.
func (s *soak) changeAndRevert(step Step, spans *[]Span, name string, change, revert func(*site.Instance) error) {
	if s.applyChange(change) {
		end := s.beginSpan(spans, Span{Begin: time.Now(), Name: name})
		time.Sleep(step.Duration)
		end()
	}
	// A change may have taken effect without a confirmation, so it is always reverted.
	if !s.applyChange(revert) {
		s.addViolation(Recovers, "%s of %s could not be reverted within %s", step.Kind, name, changeTimeout)
	}
}

// raceOperators sends two changes at the same time that are based on the same revision. At most one may be accepted.
func (s *soak) raceOperators(step Step) {
	status, err := s.status()
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for n, subject := range []string{"servers/nobody-1", "servers/nobody-2"} {
		controls := s.runningControls()
		if len(controls) == 0 {
			return
		}
		i := controls[(step.Target+n)%len(controls)]
		wg.Go(func() {
			code, err := s.site.TakeOutAt(i, subject, status.Revision, "")
			mu.Lock()
			defer mu.Unlock()
			if err == nil && code == 200 {
				accepted++
			}
		})
	}
	wg.Wait()
	if accepted > 1 {
		s.addViolation(NoLostChange, "two changes based on revision %d were accepted", status.Revision)
	}
}

// readBills records in the history how many completions of the callers' workspace were billed.
func (s *soak) readBills() {
	s.waitUntil(changeTimeout, func() bool {
		for _, i := range s.runningControls() {
			bills, err := s.site.Bills(i)
			if err != nil {
				continue
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.history.BillsKnown = true
			for _, b := range bills {
				if b.Workspace == "large" {
					s.history.Billed = int(b.Bills)
				}
			}
			return true
		}
		return false
	})
}
