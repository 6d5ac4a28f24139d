package main

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"
)

// sent is one request of a client and what came of it.
type sent struct {
	id, method, target string
	at                 time.Time
	// took is the time to the end of the answer, 0 without one.
	took   time.Duration
	status int
	header http.Header
	body   string
	err    error
}

// client keeps a channel to a front machine for many requests and opens a new one after each failure.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *client) do(method, target, host string, waitMS int, patience time.Duration, key, body string) *sent {
	out := &sent{id: newID(), method: method, target: target, at: time.Now()}
	if c.conn == nil {
		if c.conn, out.err = net.DialTimeout("tcp", c.address, time.Second); out.err != nil {
			c.conn = nil
			return out
		}
		c.reader = bufio.NewReader(c.conn)
	}
	c.conn.SetDeadline(time.Now().Add(patience))
	r, raw, err := send(c.conn, c.reader, method, text(method, target, host, out.id, waitMS, key, body))
	if r != nil {
		out.status, out.header, out.body = r.StatusCode, r.Header, string(raw)
	}
	if out.err = err; err == nil {
		out.took = time.Since(out.at)
	}
	if err != nil || r.Close {
		c.conn.Close()
		c.conn = nil
	}
	return out
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// load runs clients for a time. Each sends what next returns, one request after the other with a pause, and done gets each outcome.
func (s *site) load(clients int, length, pause time.Duration, one func(c *client, i int) *sent, done func(*sent)) {
	var all sync.WaitGroup
	end := time.Now().Add(length)
	for k := range clients {
		all.Go(func() {
			c := &client{address: s.frontAddr(k)}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				done(one(c, i))
				time.Sleep(pause)
			}
		})
	}
	all.Wait()
}

// begin starts the deployment and waits until its front machines take requests and know the servers.
func (s *site) begin(m []byte) {
	s.startAll()
	if status := s.putManifest(m, 30*time.Second); status != 200 {
		fail("the first manifest got status %d", status)
	}
	for _, n := range s.by("front") {
		s.waitReady(n, 30*time.Second)
	}
	end := time.Now().Add(20 * time.Second)
	for k := range s.by("front") {
		for {
			c := &client{address: s.frontAddr(k)}
			got := c.do("GET", "/look/first", "orders.example", 2500, 4*time.Second, "key-1", "")
			c.close()
			if got.status == 200 {
				break
			}
			if time.Now().After(end) {
				fail("the deployment serves nothing: %d %v", got.status, got.err)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	s.rec.add("the deployment serves requests")
}
