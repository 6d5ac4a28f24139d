package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	drain = 2 * time.Second
	// pingDelay is how long the network holds one ping.
	pingDelay = 10 * time.Second
	// lingers is how long after the confirmation the leaving server still serves: drainMs and many seconds.
	lingers = 11 * time.Second
	// work is how long a server works on an order.
	work = 150 * time.Millisecond
)

// latePing: a server sends a ping that the network delays, repeats it at another node, and leaves. It says so by its deregistration
// first, goes on to serve for a while and exits.
func latePing(s *site, trouble bool) int {
	var mu sync.Mutex
	var acknowledged time.Time
	late := 0
	for k := range servers {
		s.newServer(fmt.Sprintf("i-%d", k+1), "desk", s.zones[k%3], 6, func(v *server, r *request) bool {
			id := r.id()
			mu.Lock()
			leaving := k == 0 && !acknowledged.IsZero()
			if leaving {
				if since := r.at.Sub(acknowledged); since > drain {
					late++
					s.rec.add("%s is reached by %s %s %v after the confirmation that it leaves", v.id, id, r.line, since.Round(time.Millisecond))
				}
			}
			mu.Unlock()
			time.Sleep(work)
			if !leaving {
				r.answer(v, 200, "done "+id)
				return true
			}
			r.answer(v, 200, "done "+id, "Connection: close")
			return false
		})
	}
	s.begin(baseManifest)
	time.Sleep(2 * time.Second)
	v := s.servers[0]
	go func() {
		time.Sleep(3 * time.Second)
		// From now on this function sends the pings of the server.
		v.mu.Lock()
		close(v.stopped)
		v.mu.Unlock()
		time.Sleep(1300 * time.Millisecond)
		beat := func() []byte {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.sequence++
			body, _ := json.Marshal(map[string]any{"service": v.service, "address": v.address, "zone": v.zone, "version": v.version, "slots": v.slots,
				"state": "ready", wire("cold time"): 0, "sequence": v.sequence, "born": v.born})
			return body
		}
		first := beat()
		if trouble {
			s.rec.add("%s sends a ping to %s, which the network holds: %s", v.id, s.control(0), first)
			// The channel is open; the network holds the bytes on it.
			held, err := net.DialTimeout("tcp", s.control(0), time.Second)
			if err != nil {
				fail("%v", err)
			}
			go func() {
				defer held.Close()
				time.Sleep(pingDelay)
				fmt.Fprintf(held, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", wire("heartbeat"), v.id, s.control(0), len(first), first)
				s.rec.add("the held ping of %s arrives at %s", v.id, s.control(0))
				held.SetReadDeadline(time.Now().Add(time.Second))
				answer := make([]byte, 256)
				n, _ := held.Read(answer)
				s.rec.add("the node answers it, to nobody: %q", answer[:min(n, 15)])
			}()
			time.Sleep(time.Second)
		} else {
			status, _ := call("POST", s.control(0), wire("heartbeat")+v.id, first, time.Second)
			s.rec.add("%s sends a ping to %s: %d", v.id, s.control(0), status)
		}
		second := beat()
		status, _ := call("POST", s.control(1), wire("heartbeat")+v.id, second, time.Second)
		s.rec.add("%s sends a ping to %s: %d", v.id, s.control(1), status)
		time.Sleep(300 * time.Millisecond)
		body, _ := json.Marshal(map[string]any{"born": v.born})
		status = 0
		for i := 0; status != 200 && i < 9; i++ {
			status, _ = call("POST", s.control(i), wire("deregister")+v.id, body, time.Second)
		}
		mu.Lock()
		acknowledged = time.Now()
		mu.Unlock()
		s.rec.add("%s says that it leaves: %d", v.id, status)
		time.Sleep(lingers)
		v.l.Close()
		v.mu.Lock()
		for c := range v.conns {
			c.Close()
		}
		v.mu.Unlock()
		s.rec.add("%s exits", v.id)
	}()
	failed, cut, all := 0, 0, 0
	s.load(24, 28*time.Second, 50*time.Millisecond, func(c *client, i int) *sent {
		return c.do("POST", "/commit/order", "orders.example", 2500, 4*time.Second, "key-1", "one lamp housing")
	}, func(r *sent) {
		mu.Lock()
		defer mu.Unlock()
		all++
		if r.status == http.StatusBadGateway {
			cut++
		}
		if r.status != 200 {
			failed++
			s.rec.add("client: %s POST %s: status %d, error %v", r.id, r.target, r.status, r.err)
		}
	})
	mu.Lock()
	defer mu.Unlock()
	if acknowledged.IsZero() {
		fail("the server got no confirmation that it leaves")
	}
	s.rec.add("%d orders, %d not answered with 200, %d of them lost with their server (502); %d reached the server that had left later than drainMs after the confirmation", all, failed, cut, late)
	fmt.Printf("%d orders, %d not answered with 200, %d of them lost with their server (502); %d reached the server that had left later than drainMs\n", all, failed, cut, late)
	if late > 0 {
		return 1
	}
	return 0
}
