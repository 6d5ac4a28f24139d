// Package engine is a stand-in for a model engine. It announces itself, generates a fixed text, as server-sent events if
// asked to, and accepts orders. Tests can slow it down, make it answer with errors, break its streams, and kill it.
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

// Config configures an engine.
type Config struct {
	ID               string
	AvailabilityZone string
	Region           string
	Versions         []catalogue.VersionRef
	// Service is the name of the plain service to announce instead of versions. Handler serves the paths that the engine
	// doesn't serve itself.
	Service string
	Handler http.Handler
	// Capacity is the number of concurrent requests of a warm engine, ColdCapacity that of a cold one. An engine is cold for
	// the time WarmUp after each start.
	Capacity     int
	ColdCapacity int
	WarmUp       time.Duration
	// FirstTokenDelay is the delay before the first token, TokenInterval the time per token. AnswerTokens is the number of
	// tokens of an answer unless the request has a lower max_tokens.
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	AnswerTokens    int
	// Fencing refuses orders with a lower fencing number than that of the last accepted one.
	Fencing bool
	// CrashOnPrompt kills the engine when a prompt contains this text; empty: never.
	CrashOnPrompt string
	// CrashOnOverload kills the engine when more requests run than its present capacity.
	CrashOnOverload bool
	// AnnouncedAddress maps the listener's address to the address to announce, such as that of a forwarder. If it is nil,
	// the listener's address is announced.
	AnnouncedAddress func(address string) (string, error)
	// AnnounceTo lists announcement listeners as host:port. An announcement is sent to one listener after the other until
	// one accepts it. Each announcement begins one listener further in the list than the previous one.
	AnnounceTo []string
	// AnnounceEvery is the interval of announcements; 0: 500 ms.
	AnnounceEvery time.Duration
}

// Engine is a stand-in for a model engine or the server of a plain service.
type Engine struct {
	config   Config
	listener *listener.Listener
	// announced is the address in announcements.
	announced string

	mu          sync.Mutex // guards the fields down to firstTokenDelay
	bootNumber  int
	started     time.Time
	alive       bool
	leaving     bool
	versions    []catalogue.VersionRef
	lastFence   fence
	orders      []Order
	peakRunning int
	// breakAfter is the number of tokens after which streams are broken off, see SetBreakAfter; 0: never.
	breakAfter int
	// failStatus is the HTTP status with which each completion fails; 0: none.
	failStatus      int
	firstTokenDelay time.Duration

	running  atomic.Int64
	received atomic.Int64
	cancel   context.CancelFunc
}

type fence struct{ term, index uint64 }

// less reports whether f is lower than o.
func (f fence) less(o fence) bool { return f.term < o.term || f.term == o.term && f.index < o.index }

// Order is an order to load or unload a version. Term and Index are its fencing number.
type Order struct {
	Term    uint64 `json:"term"`
	Index   uint64 `json:"index"`
	Action  string `json:"action"`
	Version string `json:"version"`
	Session string `json:"session"`
}

// Start runs an engine on a free loopback port and announces it until Stop.
func Start(config Config) (*Engine, error) {
	if config.AnnounceEvery == 0 {
		config.AnnounceEvery = 500 * time.Millisecond
	}
	e := &Engine{config: config, versions: config.Versions}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /health", e.handleHealth)
	if config.Handler != nil {
		mux.Handle("/", e.countRequests(config.Handler))
	}
	e.bootNumber, e.started, e.alive = 1, time.Now(), true
	l, err := listener.Start("127.0.0.1:0", mux)
	if err != nil {
		return nil, err
	}
	e.listener, e.announced = l, l.Address()
	if config.AnnouncedAddress != nil {
		if e.announced, err = config.AnnouncedAddress(l.Address()); err != nil {
			l.Kill()
			return nil, Error.Wrap(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.announceLoop(ctx)
	return e, nil
}

// Stop kills the engine and ends its announcements for good.
func (e *Engine) Stop() {
	e.cancel()
	e.Kill()
}

// Kill closes the listener and all connections at once and pauses announcements until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.alive = false
	e.mu.Unlock()
	e.listener.Kill()
}

// Restart starts a killed engine again, at the same address and with a new boot ID.
func (e *Engine) Restart() error {
	e.mu.Lock()
	e.bootNumber++
	e.started = time.Now()
	e.alive = true
	e.mu.Unlock()
	return Error.Wrap(e.listener.Restart())
}

// SetLeaving sets whether announcements ask for the engine to be drained.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetBreakAfter makes the engine close the connection of each stream after n tokens, and before any answer that isn't
// streamed; 0: never.
func (e *Engine) SetBreakAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAfter = n
}

// SetFailStatus makes each completion fail with an HTTP status; 0: none.
func (e *Engine) SetFailStatus(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failStatus = status
}

// SetFirstTokenDelay sets a delay before the first token, in addition to that of the configuration.
func (e *Engine) SetFirstTokenDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.firstTokenDelay = d
}

// Address returns host:port.
func (e *Engine) Address() string { return e.listener.Address() }

// ID returns the backend server ID.
func (e *Engine) ID() string { return e.config.ID }

// AvailabilityZone returns the availability zone.
func (e *Engine) AvailabilityZone() string { return e.config.AvailabilityZone }

// Alive reports whether the engine is started and not killed.
func (e *Engine) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.alive
}

// Received returns the number of requests received since Start, failed ones included.
func (e *Engine) Received() int { return int(e.received.Load()) }

// Running returns the number of requests in progress.
func (e *Engine) Running() int { return int(e.running.Load()) }

// TakePeak returns the highest number of concurrent requests since the last call of TakePeak, and resets it to 0.
func (e *Engine) TakePeak() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	peak := e.peakRunning
	e.peakRunning = 0
	return peak
}

// Orders returns the accepted orders.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

func (e *Engine) bootID() string { return fmt.Sprintf("%s-%d", e.config.ID, e.bootNumber) }

// currentCapacity returns the number of concurrent requests that don't overload the engine. It is lower while the engine
// is cold.
func (e *Engine) currentCapacity() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.started) < e.config.WarmUp {
		return max(1, e.config.ColdCapacity)
	}
	return e.config.Capacity
}

// countRequest counts a new request and returns false if its overload crashes the engine.
func (e *Engine) countRequest() bool {
	e.received.Add(1)
	running := int(e.running.Add(1))
	e.mu.Lock()
	e.peakRunning = max(e.peakRunning, running)
	e.mu.Unlock()
	return !e.config.CrashOnOverload || running <= e.currentCapacity()
}

func (e *Engine) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.countRequest() {
			go e.Kill()
		}
		defer e.running.Add(-1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]string{"id": e.config.ID, "boot": e.bootID()})
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fencingNumber := fence{o.Term, o.Index}
	if e.config.Fencing && fencingNumber.less(e.lastFence) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.lastFence = fencingNumber
	e.orders = append(e.orders, o)
	e.applyOrder(o)
}

func (e *Engine) applyOrder(o Order) {
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
	for firstTarget := 0; ; firstTarget++ {
		if e.Alive() {
			e.announce(ctx, client, firstTarget)
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
		ID: e.config.ID, Address: e.announced, Boot: e.bootID(),
		AvailabilityZone: e.config.AvailabilityZone, Region: e.config.Region,
		Versions: e.versions, Service: e.config.Service,
		Capacity: e.config.Capacity, ColdCapacity: e.config.ColdCapacity,
		Running: int(e.running.Load()), Leaving: e.leaving, Fencing: e.config.Fencing,
	}
}

func (e *Engine) announce(ctx context.Context, client *http.Client, firstTarget int) {
	body, err := json.Marshal(e.announcement())
	if err != nil {
		return
	}
	for i := range e.config.AnnounceTo {
		target := e.config.AnnounceTo[(firstTarget+i)%len(e.config.AnnounceTo)]
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

// GeneratedTokens returns the first n tokens of the text that engines generate, each a word and a space.
func GeneratedTokens(n int) []string {
	words := make([]string, 0, n)
	for i := range n {
		words = append(words, fmt.Sprintf("w%d ", i))
	}
	return words
}

// GeneratedText returns the generated text of n tokens.
func GeneratedText(n int) string { return strings.Join(GeneratedTokens(n), "") }
