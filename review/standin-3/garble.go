package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// spoiledShare and spoiledServers are the doses of garble: half of the servers spoil 2 in 100 of their answers.
const (
	spoiledShare   = 0.02
	spoiledServers = 2
	servers        = 4
)

// garbled is a deployment whose servers spoil a part of their answers with the given head.
func garbled(s *site, trouble bool, head func(id string) string) (spoiled map[string]bool, mu *sync.Mutex) {
	spoiled, mu = map[string]bool{}, &sync.Mutex{}
	for k := range servers {
		s.newServer(fmt.Sprintf("i-%d", k+1), "desk", s.zones[k%3], 6, func(v *server, r *request) bool {
			id := r.id()
			v.ran(id)
			time.Sleep(20 * time.Millisecond)
			if trouble && k < spoiledServers && r.URL.Path != "/look/first" && rand.Float64() < spoiledShare {
				mu.Lock()
				spoiled[id] = true
				mu.Unlock()
				s.rec.add("%s runs %s %s and spoils the answer", v.id, id, r.line)
				io.WriteString(r.conn, head(id))
				// An idle channel is closed after a time, like that of any server.
				r.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
				return true
			}
			s.rec.add("%s runs %s %s", v.id, id, r.line)
			r.answer(v, 200, "done "+id)
			return true
		})
	}
	s.begin(baseManifest)
	return spoiled, mu
}

func orders(c *client, i int) *sent {
	if i%2 == 0 {
		return c.do("POST", "/commit/order", "orders.example", 10000, 9*time.Second, "key-1", "a lamp housing")
	}
	return c.do("GET", "/look/order", "orders.example", 10000, 9*time.Second, "key-1", "")
}

// switching: some answers of faulty servers are spoiled to a status 101 that nobody asked for.
func switching(s *site, trouble bool) int {
	spoiled, mu := garbled(s, trouble, func(id string) string {
		return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n" + wire("request id") + ": " + id + "\r\n" + wire("stamp") + ": stamp\r\n\r\n"
	})
	const timeout, slack = 2500 * time.Millisecond, 500 * time.Millisecond
	longer, unanswered, all := 0, 0, 0
	s.load(24, 60*time.Second, 150*time.Millisecond, orders, func(r *sent) {
		mu.Lock()
		defer mu.Unlock()
		all++
		late := r.err != nil || r.took > timeout
		if late {
			longer++
		}
		if r.err != nil && time.Since(r.at) > timeout+slack || r.took > timeout+slack {
			unanswered++
		}
		if late || r.status != 200 {
			s.rec.add("client: %s %s %s: status %d after %v, error %v, answer spoiled %v", r.id, r.method, r.target, r.status, time.Since(r.at).Round(time.Millisecond), r.err, spoiled[r.id])
		}
	})
	s.rec.add("%d requests, %d answers spoiled; %d lasted longer than the route's timeoutMs, %d of them had no final answer 0.5 s after it", all, len(spoiled), longer, unanswered)
	fmt.Printf("%d requests, %d answers spoiled; longer than timeoutMs %d, unanswered 0.5 s after it %d\n", all, len(spoiled), longer, unanswered)
	if unanswered >= 8 && unanswered*4 > longer {
		return 1
	}
	return 0
}

// oddStatus: the status of some answers of faulty servers is spoiled.
func oddStatus(s *site, trouble bool) int {
	spoiled, mu := garbled(s, trouble, func(id string) string {
		return "HTTP/1.1 020 OK\r\n" + wire("request id") + ": " + id + "\r\n" + wire("stamp") + ": stamp\r\nContent-Length: 4\r\n\r\ndone"
	})
	broken, all := 0, 0
	s.load(24, 30*time.Second, 100*time.Millisecond, orders, func(r *sent) {
		mu.Lock()
		defer mu.Unlock()
		all++
		if r.status != 0 && r.status != 200 || spoiled[r.id] {
			s.rec.add("client: %s %s %s: status %d, stamp %q, body %q, error %v, answer spoiled %v", r.id, r.method, r.target, r.status, stamp(r.header), r.body, r.err, spoiled[r.id])
		}
		// A failure that bears a server's stamp has that server's status; these servers answer only with 200, and 020 where it is spoiled.
		if r.status >= 300 && stamp(r.header) != "" && r.status != 20 {
			broken++
		}
	})
	s.rec.add("%d requests, %d answers spoiled, %d failures with a server's stamp and a status that no server gave", all, len(spoiled), broken)
	fmt.Printf("%d requests, %d answers spoiled, %d failures with a stamp and a status that no server gave\n", all, len(spoiled), broken)
	if broken > 0 {
		return 1
	}
	return 0
}

func stamp(h http.Header) string {
	if h == nil {
		return ""
	}
	return h.Get(wire("stamp"))
}
