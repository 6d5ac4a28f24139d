package main

import (
	"net/http"
	"time"
)

// firstStart: one process of the core is killed in the first second of the first start and started again by the platform.
func firstStart(rec *record, trouble bool) int {
	s, err := newSite(rec, []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}, []string{"zone-a", "zone-c"})
	if err != nil {
		return notRun(rec, "no site: %v", err)
	}
	defer s.stop()
	if err := s.startAll(); err != nil {
		return notRun(rec, "not started: %v", err)
	}
	if trouble {
		time.Sleep(700 * time.Millisecond)
		s.cores[0].kill()
		rec.add("disruption: %s is killed", s.cores[0].name)
		time.Sleep(500 * time.Millisecond)
		// The whole system no longer starts for the first time.
		if err := s.cores[0].start(false); err != nil {
			return notRun(rec, "not started again: %v", err)
		}
	}
	began := time.Now()
	operator := &caller{s: s, name: "operator"}
	status, _ := operator.order(nil, 60*time.Second, http.MethodPost, name("replace"), manifest(7))
	rec.add("the first manifest: status %d after %.1f s", status, time.Since(began).Seconds())
	read, _ := operator.order(nil, 5*time.Second, http.MethodGet, name("get"), nil)
	rec.add("the manifest read back: status %d", read)
	if status != http.StatusOK || read != http.StatusOK {
		return exitBroken
	}
	return exitHeld
}
