package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a backend server, as PROTOCOL.md describes one: it refuses requests for another server, echoes the request's id
// and announces itself about every heartbeat.
type server struct {
	id, service, zone, address string
	born                       int64
	work                       time.Duration
	record                     *record
	controls                   func() []string

	mu        sync.Mutex
	state     string
	coldUntil time.Time
	sequence  int64
	arrivals  []arrival
	// cut holds the ids of the requests that were running when the caller closed their channel or the server ended.
	cut map[string]bool
	// last is the body of the last heartbeat.
	last      map[string]any
	stopBeats context.CancelFunc
	http      *http.Server
}

// arrival is a request that reached the server.
type arrival struct {
	at time.Time
	id string
}

func startServer(rec *record, id, service, zone, ip string, work, cold time.Duration, controls func() []string) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), work: work,
		record: rec, controls: controls, state: "ready", coldUntil: time.Now().Add(cold), cut: map[string]bool{},
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(l) }()
	ctx, stop := context.WithCancel(context.Background())
	s.stopBeats = stop
	rec.add("server %s (%s) starts at %s", id, service, s.address)
	go s.runBeats(ctx)
	return s, nil
}

func (s *server) close() {
	s.stopBeats()
	_ = s.http.Close()
	s.record.add("server %s ends", s.id)
}

func (s *server) cold() int64 {
	if left := time.Until(s.coldUntil); left > 0 {
		return left.Milliseconds()
	}
	return 0
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(names["server id"], s.id)
		return
	}
	id := r.Header.Get(names["request id"])
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(names["request id"], id)
	if expected := r.Header.Get(names["expected server"]); expected != "" && expected != s.id {
		w.Header().Set(names["not run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		s.record.add("server %s answers 421 to %s", s.id, id)
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at: now, id: id})
	n := len(s.arrivals)
	s.mu.Unlock()
	s.record.addAt(now, "server %s runs %s, %s %s, %d bytes", s.id, id, r.Method, r.URL.RequestURI(), len(body))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.mu.Lock()
		s.cut[id] = true
		s.mu.Unlock()
		s.record.add("the run of %s at %s is cut", id, s.id)
		return
	}
	w.Header().Set(names["stamp"], s.id+"."+strconv.Itoa(n))
	_, _ = fmt.Fprintf(w, "%s ran %s\n", s.id, id)
}

// between returns the requests that arrived after from and before to.
func (s *server) between(from, to time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []arrival
	for _, a := range s.arrivals {
		if a.at.After(from) && a.at.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

func (s *server) runBeats(ctx context.Context) {
	for {
		s.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// cuts returns how many runs were cut.
func (s *server) cuts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cut)
}

// beatBody returns the body of the next heartbeat.
func (s *server) beatBody() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.last = map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 64, "state": s.state,
		names["cold time"]: s.cold(), "sequence": s.sequence, "born": s.born, "stage": "prefill_decode", "models": []any{},
	}
	return s.last
}

// beat sends a heartbeat, to one node after the other until one acknowledges it. It returns when it was acknowledged.
func (s *server) beat(ctx context.Context) (time.Time, bool) {
	body := s.beatBody()
	addresses := s.controls()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		if ctx.Err() != nil {
			return time.Time{}, false
		}
		status, _ := call(http.MethodPost, "http://"+address+names["heartbeat"]+s.id, body, time.Second)
		s.record.add("heartbeat of %s, state %s, cold %v, sequence %v, to %s: %d", s.id, body["state"], body[names["cold time"]], body["sequence"], address, status)
		if status/100 == 2 {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// drain reports draining until a node acknowledges it, and returns when that was.
func (s *server) drain(ctx context.Context) time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for {
		if at, ok := s.beat(ctx); ok {
			s.record.say("server %s has its confirmation that it is draining", s.id)
			return at
		}
	}
}

// call sends a JSON call and returns the status, 0 without an answer.
func call(method, url string, body any, timeout time.Duration) (int, []byte) {
	raw := []byte{}
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	answer, err := callClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

var callClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
