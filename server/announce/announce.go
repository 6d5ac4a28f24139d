// Package announce receives the announcements of backend servers and passes them on to the control group in batches.
package announce

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"clementinetray/api/control"
	"clementinetray/api/problem"
)

// Error is the class of all errors of this package.
var Error = errs.Class("announce")

const (
	// batchDelay is how long announcements are collected before they are passed on.
	batchDelay = 100 * time.Millisecond
	// passTimeout bounds one attempt to pass a batch on.
	passTimeout = 2 * time.Second
	// maxAge is the age at which an announcement that could not be passed on is dropped: its sender has repeated it by then or
	// is out.
	maxAge = 8 * time.Second
)

// Config holds the parts that a Handler works with.
type Config struct {
	Control    control.Client
	Log        *slog.Logger
	Registerer prometheus.Registerer
	// MaxBody is the largest announcement in bytes. Default 1 MiB.
	MaxBody int64
	// MaxPending is the number of backend servers whose announcement may wait. Default 2,000.
	MaxPending int
}

// Handler serves POST /v1/announce. It keeps the newest announcement of each backend server until it is passed on.
type Handler struct {
	cfg      Config
	mux      http.Handler
	received *prometheus.CounterVec

	mu      sync.Mutex // guards pending
	pending map[string]pending

	wake chan struct{}
	stop context.CancelFunc
	done chan struct{}
}

type pending struct {
	announcement control.Announcement
	at           time.Time
}

// New returns a handler for the announcement listener. Close ends its goroutine.
func New(cfg Config) (*Handler, error) {
	if cfg.Control == nil {
		return nil, Error.New("Control is required")
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = 1 << 20
	}
	if cfg.MaxPending == 0 {
		cfg.MaxPending = 2000
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Registerer == nil {
		cfg.Registerer = prometheus.NewRegistry()
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &Handler{
		cfg: cfg, pending: map[string]pending{}, wake: make(chan struct{}, 1), stop: stop, done: make(chan struct{}),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "clementinetray", Subsystem: "announce", Name: "received_total", Help: "Announcements by result.",
		}, []string{"result"}),
	}
	if err := cfg.Registerer.Register(h.received); err != nil {
		stop()
		return nil, Error.Wrap(err)
	}
	mux := chi.NewRouter()
	mux.Post("/v1/announce", h.serve)
	mux.NotFound(func(w http.ResponseWriter, _ *http.Request) { problem.New(problem.NotFound, "").Write(w) })
	h.mux = mux
	go h.run(ctx)
	return h, nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Close ends the handler's goroutine after a last attempt to pass on what is pending.
func (h *Handler) Close() {
	h.stop()
	<-h.done
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	a, p := read(w, r, h.cfg.MaxBody)
	if p == nil && !h.add(a, time.Now()) {
		p = problem.New(problem.Overloaded, "too many announcements wait for the control group").WithRetryAfter(2 * time.Second)
	}
	if p != nil {
		h.received.WithLabelValues("refused").Inc()
		h.cfg.Log.Warn("announcement refused", "remote", r.RemoteAddr, "reason", string(p.Reason), "detail", p.Detail)
		p.Write(w)
		return
	}
	h.received.WithLabelValues("accepted").Inc()
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) add(a *control.Announcement, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.pending[a.ID]; !known && len(h.pending) >= h.cfg.MaxPending {
		return false
	}
	h.pending[a.ID] = pending{announcement: *a, at: now}
	select {
	case h.wake <- struct{}{}:
	default:
	}
	return true
}

func (h *Handler) run(ctx context.Context) {
	defer close(h.done)
	for {
		select {
		case <-h.wake:
		case <-ctx.Done():
			h.pass()
			return
		}
		select {
		case <-time.After(batchDelay):
		case <-ctx.Done():
		}
		h.pass()
	}
}

// pass sends what is pending. A batch that fails is kept, but for announcements that were repeated meanwhile or are too old.
func (h *Handler) pass() {
	h.mu.Lock()
	batch := h.pending
	h.pending = map[string]pending{}
	h.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	in := &control.AnnounceRequest{}
	for _, p := range batch {
		in.Announcements = append(in.Announcements, p.announcement)
	}
	slices.SortFunc(in.Announcements, func(a, b control.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	// Detached, so that a stop still passes on the last announcements.
	ctx, cancel := context.WithTimeout(context.Background(), passTimeout)
	defer cancel()
	err := h.cfg.Control.Announce(ctx, in)
	if err == nil {
		return
	}
	h.cfg.Log.Warn("announcements not passed on", "count", len(batch), "error", err)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for id, p := range batch {
		if _, newer := h.pending[id]; !newer && now.Sub(p.at) < maxAge && len(h.pending) < h.cfg.MaxPending {
			h.pending[id] = p
		}
	}
	if len(h.pending) > 0 {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}
