package main

import (
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["orphan"] = orphanedMachine }

// orphanedMachine replaces a machine of the core as planned (the new one first, then SIGTERM) while another one stands still for 4 s.
// Long after both, two other machines lose their disks. With TROUBLE=wipe nothing is replaced and nothing stands still, with
// TROUBLE=still only the machine that stands still is left out.
func orphanedMachine(s *site) (bool, error) {
	mode := os.Getenv("TROUBLE")
	replace, freeze := s.trouble && mode != "wipe", s.trouble && mode != "wipe" && mode != "still"
	if err := s.begin(5, 2, "non_idempotent", []string{"desk"}, 16); err != nil {
		return false, err
	}
	for i, id := range []string{"i-a", "i-b", "i-c"} {
		if _, err := s.addServer(id, "desk", zones[i], 20*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	l := startLoad(s.record, "desk", s.frontAddresses(), 20)
	defer l.end()
	if err := s.warmUp(l, 20*time.Second); err != nil {
		return false, err
	}
	leader := s.leader()
	if leader == nil {
		return false, errors.New("no leader was found")
	}
	var others []*node
	for _, n := range s.cores {
		if n != leader {
			others = append(others, n)
		}
	}
	old, still, lost := others[0], others[1], others[2:4]
	if replace {
		successor := s.addNode("core", len(s.cores)+1)
		if err := s.start(successor); err != nil {
			return false, err
		}
		s.record.say("%s is started as the successor of %s", successor.name, old.name)
		if freeze {
			s.signal(still, syscall.SIGSTOP)
			s.record.say("%s stands still", still.name)
		}
		time.Sleep(catchUp)
		if freeze {
			s.signal(still, syscall.SIGCONT)
			s.record.say("%s runs again", still.name)
		}
		s.signal(old, syscall.SIGTERM)
		select {
		case <-old.exited:
		case <-time.After(8 * time.Second):
			s.kill(old)
		}
		s.record.say("%s has ended and never comes back", old.name)
	} else {
		time.Sleep(catchUp)
	}
	// Everything has been calm for 16 s when the disks are lost.
	time.Sleep(16 * time.Second)
	if status, _ := s.operator.order(http.MethodPost, names["replace"], manifest(2, "non_idempotent", []string{"desk"}, 16), 4*time.Second); status != http.StatusOK {
		return false, errors.New("the second manifest was not accepted")
	}
	faultAt := time.Now()
	s.record.say("version 2 is acknowledged")
	if s.trouble {
		for _, n := range lost {
			s.signal(n, syscall.SIGKILL)
		}
		for _, n := range lost {
			<-n.exited
			if err := os.RemoveAll(n.dataDir); err != nil {
				return false, err
			}
		}
		s.record.say("%s and %s have lost their disks", lost[0].name, lost[1].name)
		time.Sleep(time.Second)
		for _, n := range lost {
			if err := s.start(n); err != nil {
				return false, err
			}
		}
		s.record.say("both are back with empty disks")
	}
	return s.judgeRecovery(l, faultAt, time.Now())
}

// judgeRecovery checks RECOVER and the manifest that is read back, after a final fault at faultAt whose machines were back at back.
func (s *site) judgeRecovery(l *load, faultAt, back time.Time) (bool, error) {
	time.Sleep(recovery + 8*time.Second)
	before, beforeAll := l.served(faultAt.Add(-3*time.Second), faultAt)
	after, afterAll := l.served(back.Add(recovery), time.Now().Add(-3*time.Second))
	version := s.operator.readVersion(10 * time.Second)
	s.record.say("served of what was sent in the 3 s before the fault: %d of %d; of what was sent later than %v after all machines were back: %d of %d; version read back: %d",
		before, beforeAll, recovery, after, afterAll, version)
	if beforeAll == 0 || before*4 < beforeAll {
		return false, errors.New("too little was served before the fault")
	}
	return after*4 < afterAll || version < 2, nil
}
