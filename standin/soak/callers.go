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

// RequestKind is what callers may repeat of a request, and the first part of its path.
type RequestKind string

// Kinds of requests.
const (
	Stream RequestKind = "stream" // resumable
	Once   RequestKind = "once"   // not idempotent
	Again  RequestKind = "again"  // idempotent
	Chat   RequestKind = "chat"   // a billed completion
)

var requestKinds = []RequestKind{Stream, Once, Again, Chat}

// Outcome is what a caller saw of one request.
type Outcome struct {
	ID       string
	Kind     RequestKind
	Instance int
	// Guest says that the request used the key that operators withdraw.
	Guest      bool
	Began, End time.Time
	// Status is 0 when no answer began.
	Status int
	NotRun bool
	Body   string
	// Ended says that the answer ended in order, and not with its connection.
	Ended bool
}

const (
	// callers is the number of callers for each instance. Each keeps its connection until it breaks.
	callers = 3
	// callPause is the longest pause of a caller between two requests.
	callPause = 60 * time.Millisecond
	// callWait is how long a caller waits for an answer, above the time limits of the routes.
	callWait = 12 * time.Second
	// chatText is the answer of the stand-in engines to each completion, a part of the JSON.
	chatText = "w0 w1 w2"
	host     = "soak.example"
	guestKey = "key-of-the-guest"
)

// traffic is the load of all callers.
type traffic struct {
	// addresses are those of the callers' forwarders, by instance.
	addresses []string
	mu        sync.Mutex // guards outcomes
	outcomes  []Outcome
}

// run sends requests until ctx ends.
func (t *traffic) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for i := range t.addresses {
		for c := range callers {
			all.Go(func() { t.caller(ctx, rand.New(rand.NewPCG(seed, uint64(i*callers+c))), i, fmt.Sprintf("%d-%d", i, c)) })
		}
	}
	all.Wait()
}

func (t *traffic) add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
}

// caller sends one request after the other over a connection of its own.
func (t *traffic) caller(ctx context.Context, rng *rand.Rand, instance int, name string) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		o := Outcome{
			ID: fmt.Sprintf("r%s-%d", name, n), Kind: requestKinds[rng.IntN(len(requestKinds))], Instance: instance, Guest: rng.IntN(4) == 0,
		}
		call(transport, t.addresses[instance], &o)
		t.add(o)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.Int64N(int64(callPause)))):
		}
	}
}

// callOnce sends one request over a new connection.
func callOnce(address string, o *Outcome) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	call(transport, address, o)
}

// call sends one request and reads its answer.
func call(transport *http.Transport, address string, o *Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), callWait)
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
	// The transport would send the request again by itself.
	r.GetBody = nil
	r.Host = host
	key := site.LargeKey
	if o.Guest {
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
	o.Body, o.Ended = string(raw), err == nil
	if resp.Header.Get("Content-Type") == problem.ContentType {
		var p problem.Problem
		o.NotRun = json.Unmarshal(raw, &p) == nil && p.NotRun
	}
}

// whole reports whether the body is the whole answer to the request.
func (o *Outcome) whole() bool {
	switch o.Kind {
	case Stream:
		return o.Body == wholeStream(o.ID)
	case Chat:
		return strings.Contains(o.Body, chatText)
	}
	return o.Body == o.ID
}
