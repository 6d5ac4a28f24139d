package main

import (
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["removed"] = removedMachine }

// removalPause is the time from the end of the removed machine's process to the manifest after which the disks are lost.
const removalPause = time.Second

// removedMachine replaces a machine of the core as planned (the new one first, then SIGTERM). Then two machines lose their disks.
// With TROUBLE=wipe no machine is replaced, with TROUBLE=replace no disk is lost: the rule holds with either alone.
func removedMachine(s *site) (bool, error) {
	replace, wipe := s.trouble && os.Getenv("TROUBLE") != "wipe", s.trouble && os.Getenv("TROUBLE") != "replace"
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
	if replace {
		successor := s.addNode("core", len(s.cores)+1)
		if err := s.start(successor); err != nil {
			return false, err
		}
	}
	time.Sleep(catchUp + time.Second)
	if replace {
		old := s.cores[4]
		s.record.say("the successor %s has run for %v; %s is removed", s.cores[5].name, catchUp+time.Second, old.name)
		s.signal(old, syscall.SIGTERM)
		select {
		case <-old.exited:
		case <-time.After(8 * time.Second):
			s.kill(old)
		}
		s.record.say("%s has ended and never comes back", old.name)
	}
	time.Sleep(removalPause)
	if status, _ := s.operator.order(http.MethodPost, names["replace"], manifest(2, "non_idempotent", []string{"desk"}, 16), 4*time.Second); status != http.StatusOK {
		return false, errors.New("the second manifest was not accepted")
	}
	faultAt := time.Now()
	s.record.say("version 2 is acknowledged")
	if wipe {
		lost := s.cores[1:3]
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
