package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Doses of answer_lost: half of the servers lose the answers of 3 in 100 of the requests that they ran.
const (
	losingServers = 2
	lostShare     = 0.03
)

// orderRoutes has a route for orders, which may run once, and below it one for drafts, which may be repeated.
func orderRoutes(version int) manifest {
	m := baseManifest(version)
	m["routes"] = append(m["routes"].([]any),
		map[string]any{"name": "r-orders", "host": "orders.example", "pathPrefix": "/orders/", "kind": "non_idempotent", "timeoutMs": 2500, "targetLatencyMs": 500, "priority": 1, "service": "desk", "maxAttempts": 3, "allowAnonymous": false},
		map[string]any{"name": "r-drafts", "host": "orders.example", "pathPrefix": "/orders/draft/", "kind": "idempotent", "timeoutMs": 2500, "targetLatencyMs": 500, "priority": 1, "service": "desk", "maxAttempts": 3, "allowAnonymous": false})
	return m
}

// encodedSlash: clients order parts whose names hold a slash, which they send percent-encoded, as a slash would end the path segment.
// The prefix /orders/draft/ does not begin the path /orders/draft%2F7, so that it belongs to the route of orders. Servers lose answers.
func encodedSlash(s *site, trouble bool) int {
	var mu sync.Mutex
	runs := map[string]int{}
	for k := range servers {
		s.newServer(fmt.Sprintf("i-%d", k+1), "desk", s.zones[k%3], 6, func(v *server, r *request) bool {
			id := r.Header.Get("X-Request-Id")
			mu.Lock()
			runs[id]++
			n := runs[id]
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			if trouble && k < losingServers && r.URL.Path != "/look/first" && rand.Float64() < lostShare {
				s.rec.add("%s runs %s %s, run %d, and its answer is lost", v.id, id, r.line, n)
				return false
			}
			s.rec.add("%s runs %s %s, run %d", v.id, id, r.line, n)
			r.answer(v, 200, "done "+id)
			return true
		})
	}
	s.begin(orderRoutes(2))
	twice, all, plain := 0, 0, 0
	s.load(24, 40*time.Second, 100*time.Millisecond, func(c *client, i int) *sent {
		target := "/orders/draft%2F7"
		if i%2 == 1 {
			target = "/orders/lamp-7"
		}
		return c.do("POST", target, "orders.example", 2500, 4*time.Second, "key-1", "one lamp housing")
	}, func(r *sent) {
		mu.Lock()
		defer mu.Unlock()
		all++
		if runs[r.id] > 1 {
			twice++
			if !strings.Contains(r.target, "%2F") {
				plain++
			}
		}
		if runs[r.id] > 1 || r.status != 200 {
			s.rec.add("client: %s POST %s: status %d after %v, error %v, ran %d times", r.id, r.target, r.status, time.Since(r.at).Round(time.Millisecond), r.err, runs[r.id])
		}
	})
	s.rec.add("%d orders, %d ran more than once, %d of them without an encoded slash", all, twice, plain)
	fmt.Printf("%d orders, %d ran more than once, %d of them without an encoded slash\n", all, twice, plain)
	if twice > 0 {
		return 1
	}
	return 0
}

// pathChanged: clients send paths with characters that they leave as they are.
func pathChanged(s *site, trouble bool) int {
	var mu sync.Mutex
	sentLines, changed, all := map[string]string{}, 0, 0
	s.newServer("i-1", "desk", "zone-a", 6, func(v *server, r *request) bool {
		id := r.Header.Get("X-Request-Id")
		s.rec.add("%s runs %s %q", v.id, id, r.line)
		mu.Lock()
		if want, ok := sentLines[id]; ok && want != r.line {
			changed++
			s.rec.add("the client had sent %q", want)
		}
		mu.Unlock()
		r.answer(v, 200, "done "+id)
		return true
	})
	s.begin(baseManifest(2))
	targets := []string{"/look/plain", "/look/a%7Cb", "/look/a;b=1,2"}
	if trouble {
		targets = append(targets, "/look/steel|brass", "/look/m\xc3\xb6rtel", "/look/{7}")
	}
	for k := range 2 {
		for _, t := range targets {
			c, err := net.Dial("tcp", s.frontAddr(k))
			if err != nil {
				fail("%v", err)
			}
			id := newID()
			mu.Lock()
			sentLines[id] = "GET " + t + " HTTP/1.1"
			all++
			mu.Unlock()
			io.WriteString(c, text("GET", t, "orders.example", id, 2500, "key-1", ""))
			c.SetReadDeadline(time.Now().Add(3 * time.Second))
			answer := make([]byte, 4096)
			n, err := c.Read(answer)
			s.rec.add("client: %s GET %q: %q, %v", id, t, strings.SplitN(string(answer[:n]), "\r\n", 2)[0], err)
			c.Close()
		}
	}
	s.rec.add("%d requests, %d run with another path", all, changed)
	fmt.Printf("%d requests, %d run with another path\n", all, changed)
	if changed > 0 {
		return 1
	}
	return 0
}
