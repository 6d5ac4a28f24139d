package soak

import (
	"context"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/standin/site"
)

// status asks the control instances in turn.
func (s *soak) status() (*control.StatusReply, error) {
	var last error
	for _, i := range s.control() {
		status, err := s.site.Status(i)
		if err == nil {
			return status, nil
		}
		last = err
	}
	return nil, last
}

// control returns the running control instances.
func (s *soak) control() []*site.Instance {
	var out []*site.Instance
	for _, i := range s.site.Instances[:s.Size.Control] {
		if i.Running() {
			out = append(out, i)
		}
	}
	return out
}

// order repeats a change until a control instance confirms it.
func (s *soak) order(change func(*site.Instance) error) bool {
	return s.until(orderLimit, func() bool {
		for _, i := range s.control() {
			if change(i) == nil {
				s.noteConfirmed(i)
				return true
			}
		}
		return false
	})
}

// noteConfirmed notes the revision that holds at least once a change was confirmed.
func (s *soak) noteConfirmed(i *site.Instance) {
	status, err := s.site.Status(i)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, status.Revision)
}

// readStatus reads the state at each control instance in turn: none may show less than what was confirmed before.
func (s *soak) readStatus(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range s.control() {
			s.mu.Lock()
			confirmed := s.revision
			s.mu.Unlock()
			if status, err := s.site.Status(i); err == nil && status.Revision < confirmed {
				s.violate(NoRevert, "%s shows revision %d after %d was confirmed", i.ID, status.Revision, confirmed)
			}
		}
		time.Sleep(pollPause)
	}
}

// takeZoneOut takes a zone out for long enough that the limit of cut-off instances passes, and brings it back.
func (s *soak) takeZoneOut(step Step) {
	s.zones.Lock()
	defer s.zones.Unlock()
	zone := zoneNames[step.Target%len(zoneNames)]
	order := func(out bool) func(*site.Instance) error {
		return func(i *site.Instance) error { return s.site.Order(i, "zones/"+zone, out) }
	}
	s.hold(step, &s.history.ZonesOut, zone, order(true), order(false))
}

// revoke withdraws the guest's key for long enough that the limit of cut-off instances passes, and accepts it again.
func (s *soak) revoke(step Step) {
	s.keys.Lock()
	defer s.keys.Unlock()
	apply := func(keys ...string) func(*site.Instance) error {
		return func(i *site.Instance) error { return s.site.ApplyAt(i, catalogueWith(keys...)) }
	}
	s.hold(step, &s.history.KeysOut, guestName, apply(), apply(guestKey))
}

// hold makes a change for the time of the step, notes the span in which it was confirmed, and takes it back.
func (s *soak) hold(step Step, spans *[]Span, name string, change, back func(*site.Instance) error) {
	if s.order(change) {
		end := s.begin(spans, Span{Begin: time.Now(), Name: name})
		time.Sleep(step.For)
		end()
	}
	// Also a change without a confirmation may hold.
	if !s.order(back) {
		s.violate(Recovers, "%s of %s could not be taken back in %s", step.Kind, name, orderLimit)
	}
}

// race lets two operators make a change from the same revision: at most one may win.
func (s *soak) race(step Step) {
	status, err := s.status()
	if err != nil {
		return
	}
	var both sync.WaitGroup
	var mu sync.Mutex
	won := 0
	for n, subject := range []string{"servers/nobody-1", "servers/nobody-2"} {
		control := s.control()
		if len(control) == 0 {
			return
		}
		i := control[(step.Target+n)%len(control)]
		both.Go(func() {
			code, err := s.site.OrderAt(i, subject, status.Revision, "")
			mu.Lock()
			defer mu.Unlock()
			if err == nil && code == 200 {
				won++
			}
		})
	}
	both.Wait()
	if won > 1 {
		s.violate(NoRevert, "two operators won from revision %d", status.Revision)
	}
}

// readBills reads how many completions of the callers' workspace were billed.
func (s *soak) readBills() {
	s.until(orderLimit, func() bool {
		for _, i := range s.control() {
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
