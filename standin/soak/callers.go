package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"clementinetray/api/problem"
	"clementinetray/standin/site"
)

// RequestKind says how a request may be repeated. It is also the first segment of the request's path.
type RequestKind string

// Kinds of requests.
const (
	Stream        RequestKind = "stream" // resumable
	NonIdempotent RequestKind = "once"   // not idempotent
	Idempotent    RequestKind = "again"  // idempotent
	Chat          RequestKind = "chat"   // chat completion, which is billed
)

var requestKinds = []RequestKind{Stream, NonIdempotent, Idempotent, Chat}

// Outcome is the result of one request as its caller saw it.
type Outcome struct {
	ID       string
	Kind     RequestKind
	Instance int
	// GuestKey says that the request used the key that operators revoke during the soak.
	GuestKey   bool
	Began, End time.Time
	// Status is the HTTP status, or 0 if no response header arrived.
	Status int
	NotRun bool // the refusal states that the request did not run
	// Refused says that the answer is the router's own; Marked that it bears the mark of a backend server.
	Refused, Marked bool
	Body            string
	// BodyRead says that the body was read to its regular end rather than cut off by a connection failure.
	BodyRead bool
}

const (
	// callers is the number of callers per instance. Each reuses one connection until it breaks.
	callers = 3
	// maxCallPause is the longest pause of a caller between two requests.
	maxCallPause = 60 * time.Millisecond
	// callTimeout bounds one request of a caller. It is longer than the time limits of the routes.
	callTimeout = 12 * time.Second
	// chatText is the text with which the stand-in engines answer each completion, as it occurs in the JSON body.
	chatText  = "w0 w1 w2"
	routeHost = "soak.example"
	guestKey  = "key-of-the-guest"
)

// traffic sends the requests of all callers and records their outcomes.
type traffic struct {
	// addresses holds, by instance number, the address of the forwarder between the callers and the instance.
	addresses []string
	mu        sync.Mutex // guards outcomes
	outcomes  []Outcome
}

// run sends requests of all callers until ctx ends.
func (t *traffic) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for i := range t.addresses {
		for c := range callers {
			wg.Go(func() { t.runOne(ctx, rand.New(rand.NewPCG(seed, uint64(i*callers+c))), i, fmt.Sprintf("%d-%d", i, c)) })
		}
	}
	wg.Wait()
}

func (t *traffic) record(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
}

// runOne runs one caller: it sends one request after the other over a connection of its own until ctx ends.
func (t *traffic) runOne(ctx context.Context, rng *rand.Rand, instance int, name string) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		o := Outcome{
			ID: fmt.Sprintf("r%s-%d", name, n), Kind: requestKinds[rng.IntN(len(requestKinds))], Instance: instance, GuestKey: rng.IntN(4) == 0,
		}
		send(transport, t.addresses[instance], &o)
		t.record(o)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.Int64N(int64(maxCallPause)))):
		}
	}
}

// sendOnNewConnection sends one request over a new connection and fills in o.
func sendOnNewConnection(address string, o *Outcome) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	send(transport, address, o)
}

// send sends the request that o describes, reads the response and fills in o.
func send(transport *http.Transport, address string, o *Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	o.Began = time.Now()
	defer func() { o.End = time.Now() }()
	path, body := "/"+string(o.Kind)+"/"+o.ID, "work"
	if o.Kind == Chat {
		path, body = "/v1/chat/completions", fmt.Sprintf(`{"model":"cheap","messages":[{"role":"user","content":%q}]}`, o.ID)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return
	}
	// With GetBody, the transport may retry the request by itself.
	r.GetBody = nil
	r.Host = routeHost
	key := site.LargeKey
	if o.GuestKey {
		key = guestKey
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	o.Status = resp.StatusCode
	raw, err := io.ReadAll(resp.Body)
	o.Body, o.BodyRead = string(raw), err == nil
	o.Marked = resp.Header.Get(serverMark) != ""
	if resp.Header.Get("Content-Type") == problem.ContentType {
		o.Refused = true
		var p problem.Problem
		o.NotRun = json.Unmarshal(raw, &p) == nil && p.NotRun
	}
}

// hasWholeBody reports whether the body is the complete answer to this request.
func (o *Outcome) hasWholeBody() bool {
	switch o.Kind {
	case Stream:
		return o.Body == wholeStream(o.ID)
	case Chat:
		return strings.Contains(o.Body, chatText)
	}
	return o.Body == o.ID
}
