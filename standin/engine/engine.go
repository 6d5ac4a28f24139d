// Package engine is a stand-in for a model engine: it announces itself, generates a fixed text token by token over
// server-sent events, takes orders, and can be told to be slow, cold, wrong or dead.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/standin/listener"
)

// Error is the class of all errors of this package.
var Error = errs.Class("engine")

// Config describes the engine.
type Config struct {
	ID               string
	AvailabilityZone string
	Region           string
	Versions         []catalogue.VersionRef
	// Service makes the stand-in announce a plain service instead of versions; Handler then serves each other path.
	Service string
	Handler http.Handler
	// Capacity is borne when warm, ColdCapacity in the first WarmUp after a start.
	Capacity     int
	ColdCapacity int
	WarmUp       time.Duration
	// FirstToken and TokenInterval are delays; Tokens is the length of an answer.
	FirstToken    time.Duration
	TokenInterval time.Duration
	Tokens        int
	Fencing       bool
	// CrashOn kills the engine when a prompt contains it.
	CrashOn string
	// CrashOnOverload kills the engine when more requests run than it bears.
	CrashOnOverload bool
	// Through returns the address to announce in place of the listener's, such as that of a forwarder; nil: the listener's.
	Through func(address string) (string, error)
	// AnnounceTo lists announcement listeners; one after the other is tried.
	AnnounceTo    []string
	AnnounceEvery time.Duration
}

// Engine is a running stand-in.
type Engine struct {
	config   Config
	listener *listener.Listener
	// announced is the address that announcements name.
	announced string

	mu       sync.Mutex // guards the fields below
	boot     int
	started  time.Time
	alive    bool
	leaving  bool
	versions []catalogue.VersionRef
	fence    fence
	orders   []Order
	peak     int
	// breakAfter ends each stream after this many tokens; 0: never.
	breakAfter int
	// failWith answers each request with this status; 0: never.
	failWith int
	slow     time.Duration

	running atomic.Int64
	served  atomic.Int64
	cancel  context.CancelFunc
}

type fence struct{ term, index uint64 }

func (f fence) before(o fence) bool { return f.term < o.term || f.term == o.term && f.index < o.index }

// Order is an order that the engine accepted.
type Order struct {
	Term    uint64 `json:"term"`
	Index   uint64 `json:"index"`
	Action  string `json:"action"`
	Version string `json:"version"`
	Session string `json:"session"`
}

// Start runs the engine on a free loopback port and announces it until Stop.
func Start(config Config) (*Engine, error) {
	if config.AnnounceEvery == 0 {
		config.AnnounceEvery = 500 * time.Millisecond
	}
	e := &Engine{config: config, versions: config.Versions}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /health", e.health)
	if config.Handler != nil {
		mux.Handle("/", e.counted(config.Handler))
	}
	e.boot, e.started, e.alive = 1, time.Now(), true
	l, err := listener.Start("127.0.0.1:0", mux)
	if err != nil {
		return nil, err
	}
	e.listener, e.announced = l, l.Address()
	if config.Through != nil {
		if e.announced, err = config.Through(l.Address()); err != nil {
			l.Kill()
			return nil, Error.Wrap(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.announceLoop(ctx)
	return e, nil
}

// Stop ends the engine and its announcements.
func (e *Engine) Stop() {
	e.cancel()
	e.Kill()
}

// Kill ends the engine at once; connections are reset and announcements stop.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.alive = false
	e.mu.Unlock()
	e.listener.Kill()
}

// Restart starts a killed engine again under a new boot number.
func (e *Engine) Restart() error {
	e.mu.Lock()
	e.boot++
	e.started = time.Now()
	e.alive = true
	e.mu.Unlock()
	return Error.Wrap(e.listener.Restart())
}

// SetLeaving makes the engine ask to be emptied.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetBreakAfter ends each stream after n tokens; 0: never.
func (e *Engine) SetBreakAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAfter = n
}

// SetFailWith answers each request with an HTTP status; 0: never.
func (e *Engine) SetFailWith(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failWith = status
}

// SetSlow adds a delay before the first token.
func (e *Engine) SetSlow(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = d
}

// Address returns host:port.
func (e *Engine) Address() string { return e.listener.Address() }

// ID returns the backend server id.
func (e *Engine) ID() string { return e.config.ID }

// AvailabilityZone returns the availability zone.
func (e *Engine) AvailabilityZone() string { return e.config.AvailabilityZone }

// Alive reports whether the engine runs.
func (e *Engine) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.alive
}

// Served returns how many requests were started.
func (e *Engine) Served() int { return int(e.served.Load()) }

// Running returns how many requests run now.
func (e *Engine) Running() int { return int(e.running.Load()) }

// Peak returns the largest number of requests that ran at once since the last call of Peak.
func (e *Engine) Peak() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	peak := e.peak
	e.peak = 0
	return peak
}

// Orders returns the accepted orders.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

func (e *Engine) bootName() string { return fmt.Sprintf("%s-%d", e.config.ID, e.boot) }

// bears returns how many requests the engine bears now.
func (e *Engine) bears() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.started) < e.config.WarmUp {
		return max(1, e.config.ColdCapacity)
	}
	return e.config.Capacity
}

// enter counts a started request and reports whether the engine survives it.
func (e *Engine) enter() bool {
	e.served.Add(1)
	running := int(e.running.Add(1))
	e.mu.Lock()
	e.peak = max(e.peak, running)
	e.mu.Unlock()
	return !e.config.CrashOnOverload || running <= e.bears()
}

func (e *Engine) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.enter() {
			go e.Kill()
		}
		defer e.running.Add(-1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]string{"id": e.config.ID, "boot": e.bootName()})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	number := fence{o.Term, o.Index}
	if e.config.Fencing && number.before(e.fence) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = number
	e.orders = append(e.orders, o)
	e.apply(o)
}

func (e *Engine) apply(o Order) {
	kept := make([]catalogue.VersionRef, 0, len(e.versions)+1)
	for _, v := range e.versions {
		if v.String() != o.Version {
			kept = append(kept, v)
		}
	}
	switch o.Action {
	case "load":
		model, version, _ := strings.Cut(o.Version, "@")
		e.versions = append(kept, catalogue.VersionRef{Model: model, Version: version})
	case "unload":
		e.versions = kept
	}
}

func (e *Engine) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for turn := 0; ; turn++ {
		if e.Alive() {
			e.announce(ctx, client, turn)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.config.AnnounceEvery):
		}
	}
}

func (e *Engine) announcement() control.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return control.Announcement{
		ID: e.config.ID, Address: e.announced, Boot: e.bootName(),
		AvailabilityZone: e.config.AvailabilityZone, Region: e.config.Region,
		Versions: e.versions, Service: e.config.Service,
		Capacity: e.config.Capacity, ColdCapacity: e.config.ColdCapacity,
		Running: int(e.running.Load()), Leaving: e.leaving, Fencing: e.config.Fencing,
	}
}

func (e *Engine) announce(ctx context.Context, client *http.Client, turn int) {
	body, err := json.Marshal(e.announcement())
	if err != nil {
		return
	}
	for i := range e.config.AnnounceTo {
		target := e.config.AnnounceTo[(turn+i)%len(e.config.AnnounceTo)]
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/announce", bytes.NewReader(body))
		if err != nil {
			return
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusNoContent {
			return
		}
	}
}

// Words returns the text that an engine generates, one word a token.
func Words(n int) []string {
	words := make([]string, 0, n)
	for i := range n {
		words = append(words, fmt.Sprintf("w%d ", i))
	}
	return words
}

// Text returns the whole answer of n tokens.
func Text(n int) string { return strings.Join(Words(n), "") }
