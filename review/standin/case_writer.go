package main

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"
)

func init() {
	cases["writer-born"] = otherWriterWithoutBorn
	cases["writer-cold"] = otherWriterWithoutCold
}

// sendIncomplete sends what another writer says of a server: its next heartbeat, but without a field.
func (s *site) sendIncomplete(b *server, missing string) {
	b.mu.Lock()
	ping := maps.Clone(b.last)
	b.mu.Unlock()
	ping["sequence"] = ping["sequence"].(int64) + 1
	delete(ping, missing)
	status, _ := call(http.MethodPost, "http://"+s.controls()[0]+names["heartbeat"]+b.id, ping, time.Second)
	s.record.say("another writer's ping for %s, without %s: %d", b.id, missing, status)
}

// otherWriterWithoutBorn lets another writer send a ping without the field born; then the server that it names drains.
func otherWriterWithoutBorn(s *site) (bool, error) {
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
	leaving := s.servers[1]
	if s.trouble {
		s.sendIncomplete(leaving, "born")
	}
	time.Sleep(time.Second)
	cutByPing := leaving.cuts()
	confirmed := leaving.drain(context.Background())
	to := confirmed.Add(drainTime + 2*time.Second)
	time.Sleep(time.Until(to))
	late := leaving.between(confirmed.Add(drainTime), to)
	leaving.close()
	s.servers = s.servers[:1]
	time.Sleep(time.Second)
	s.record.say("orders that the system broke off at %s after the ping: %d; requests that reached it later than %v after its confirmation: %d; orders that were lost when it exited: %d",
		leaving.id, cutByPing, drainTime, len(late), leaving.cuts()-cutByPing)
	for _, a := range late {
		s.record.addAt(a.at, "DRAIN: %s reaches %s %.3f s after the confirmation", a.id, leaving.id, a.at.Sub(confirmed).Seconds())
	}
	return len(late) > 0, nil
}

// otherWriterWithoutCold lets another writer send a ping without the remaining cold time for a server that is cold.
func otherWriterWithoutCold(s *site) (bool, error) {
	const coldPerS, coldTime = 4.0, 3 * time.Second
	if err := s.begin(5, 2, "non_idempotent", []string{"desk"}, coldPerS); err != nil {
		return false, err
	}
	for i, id := range []string{"i-a", "i-b"} {
		if _, err := s.addServer(id, "desk", zones[i+2], 20*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	l := startLoad(s.record, "desk", s.frontAddresses(), 60)
	defer l.end()
	if err := s.warmUp(l, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	fresh, err := s.addServer("i-c", "desk", zones[0], 20*time.Millisecond, coldTime)
	if err != nil {
		return false, err
	}
	began, end := time.Now(), fresh.coldUntil
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		s.sendIncomplete(fresh, names["cold time"])
	}
	time.Sleep(time.Until(end.Add(time.Second)))
	arrivals, most := fresh.between(began, end), 0
	for i := range arrivals {
		n := 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(arrivals[i].at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	const limit = coldPerS*1.5 + 5
	s.record.say("most requests that reached the cold server within one second: %d, allowed %.0f; %d in all", most, limit, len(arrivals))
	if len(arrivals) == 0 {
		return false, errors.New("the cold server got no request")
	}
	return float64(most) > limit, nil
}
