package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// firstStart: one process of the core is killed in the first second of the first start and loses its disk. The machine restarts at
// its old address, with an empty folder and bootstrap = false.
func firstStart(rec *record, trouble bool) int {
	return playFirstStart(rec, trouble, func(s *site) error {
		m := s.cores[0]
		m.kill()
		if err := os.RemoveAll(m.dataFolder()); err != nil {
			return err
		}
		rec.add("disruption: %s is killed and loses its disk", m.name)
		time.Sleep(500 * time.Millisecond)
		return m.start(false)
	})
}

// firstStartRemoved: one machine of the core is removed for good in the first second of the first start, and another one is added at a
// new address, with an empty disk.
func firstStartRemoved(rec *record, trouble bool) int {
	return playFirstStart(rec, trouble, func(s *site) error {
		m := s.cores[1]
		m.kill()
		rec.add("disruption: %s is removed for good", m.name)
		time.Sleep(time.Second)
		successor := &machine{s: s, name: fmt.Sprintf("core-%s-%d", m.zone, len(s.cores)+1), zone: m.zone, ip: fmt.Sprintf("%s%d", m.ip[:len(m.ip)-1], len(s.cores)+1)}
		s.cores = append(s.cores, successor)
		return successor.start(false)
	})
}

// playFirstStart starts a site, disturbs it after 0.7 s, and sends and reads back the first manifest.
func playFirstStart(rec *record, trouble bool, disturb func(s *site) error) int {
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
		if err := disturb(s); err != nil {
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
