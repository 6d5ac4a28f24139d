package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Doses of answer_lost: half of the servers lose the answers of 3 in 100 of the requests that they ran.
const (
	losingServers = 2
	lostShare     = 0.03
)

// encodedSlash: the manifest has a route for orders, which may run once, and below it one for drafts, which may be repeated. Clients order parts whose names hold a slash, which they send percent-encoded, as a slash would end the path segment.
// The prefix /orders/draft/ does not begin the path /orders/draft%2F7, so that it belongs to the route of orders. Servers lose answers.
func encodedSlash(s *site, trouble bool) int {
	var mu sync.Mutex
	runs := map[string]int{}
	for k := range servers {
		s.newServer(fmt.Sprintf("i-%d", k+1), "desk", s.zones[k%3], 6, func(v *server, r *request) bool {
			id := r.id()
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
	s.begin(ordersManifest)
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
