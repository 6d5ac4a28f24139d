package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

func init() { cases["deregister"] = deregisterThenPowerLoss }

// orderWork is how long a server works on an order.
const orderWork = 300 * time.Millisecond

// deregisterThenPowerLoss lets a server leave by a deregistration. The control node that confirmed it, the leader, is killed
// right after its answer and stays down for 7 s.
func deregisterThenPowerLoss(s *site) (bool, error) {
	if err := s.begin(5, 2, "non_idempotent", []string{"desk"}, 16); err != nil {
		return false, err
	}
	for i, id := range []string{"i-a", "i-b"} {
		if _, err := s.addServer(id, "desk", zones[i], orderWork, 0); err != nil {
			return false, err
		}
	}
	l := startLoad(s.record, "desk", s.frontAddresses(), 40)
	defer l.end()
	if err := s.warmUp(l, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	leader := s.leader()
	if leader == nil {
		return false, errors.New("no leader was found")
	}
	// The server never reports draining. It sends nothing after its confirmation, serves on for some seconds and exits.
	leaving := s.servers[1]
	leaving.stopBeats()
	_, _ = leaving.beat(context.Background())
	status, _ := call(http.MethodPost, "http://"+s.controlAddress(leader)+names["deregister"]+leaving.id, map[string]any{"born": leaving.born}, time.Second)
	confirmed := time.Now()
	if s.trouble {
		s.kill(leader)
	}
	killed := time.Now()
	s.record.say("%s%s at %s: %d", names["deregister"], leaving.id, leader.name, status)
	if status/100 != 2 {
		return false, errors.New("the deregistration was not confirmed")
	}
	// The core is stable again contactMs after the loss, and all machines that run are in touch.
	from, to := confirmed.Add(drainTime), confirmed.Add(4*time.Second)
	if s.trouble && killed.Add(contact).After(from) {
		from = killed.Add(contact)
	}
	time.Sleep(time.Until(to))
	late := leaving.between(from, to)
	leaving.close()
	s.servers = s.servers[:1]
	time.Sleep(time.Second)
	s.record.say("requests that reached %s from %.2f s to %.2f s after its confirmation: %d; orders that were lost when it exited: %d",
		leaving.id, from.Sub(confirmed).Seconds(), to.Sub(confirmed).Seconds(), len(late), leaving.cuts())
	for _, a := range late {
		s.record.addAt(a.at, "DRAIN: %s reaches %s %.3f s after the confirmation", a.id, leaving.id, a.at.Sub(confirmed).Seconds())
	}
	return len(late) > 0, nil
}
