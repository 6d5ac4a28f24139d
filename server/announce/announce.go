// Package announce receives the announcements of backend servers and forwards them to the control group in batches.
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
	// batchDelay is how long announcements are collected before they are forwarded.
	batchDelay = 100 * time.Millisecond
	// forwardTimeout is the time limit of an attempt to forward a batch.
	forwardTimeout = 2 * time.Second
	// maxAge is the age at which an announcement that could not be forwarded is dropped: by then, its sender has sent
	// another one or no longer runs.
	maxAge = 8 * time.Second
)

// Config holds the dependencies and limits of a Handler.
type Config struct {
	Control    control.Client
	Log        *slog.Logger
	Registerer prometheus.Registerer
	// MaxBody is the maximum size of a request body in bytes. Default 1 MiB.
	MaxBody int64
	// MaxPending is the maximum number of backend servers with a pending announcement. Default 2,000.
	MaxPending int
}

// Handler serves POST /v1/announce. It keeps the newest announcement of each backend server until it is forwarded.
type Handler struct {
	cfg      Config
	router   http.Handler
	received *prometheus.CounterVec

	mu      sync.Mutex // guards pending
	pending map[string]pendingAnnouncement

	wake chan struct{}
	stop context.CancelFunc
	done chan struct{}
}

// pendingAnnouncement is a received announcement that is not forwarded yet.
type pendingAnnouncement struct {
	announcement control.Announcement
	receivedAt   time.Time
}

// New returns a handler for the announcement listener and starts its goroutine, which Close ends.
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
		cfg: cfg, pending: map[string]pendingAnnouncement{}, wake: make(chan struct{}, 1), stop: stop, done: make(chan struct{}),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "clementinetray", Subsystem: "announce", Name: "received_total", Help: "Announcements by result.",
		}, []string{"result"}),
	}
	if err := cfg.Registerer.Register(h.received); err != nil {
		stop()
		return nil, Error.Wrap(err)
	}
	router := chi.NewRouter()
	router.Post("/v1/announce", h.serveAnnounce)
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) { problem.New(problem.NotFound, "").Write(w) })
	h.router = router
	go h.run(ctx)
	return h, nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// Close ends the handler's goroutine after a last attempt to forward the pending announcements.
func (h *Handler) Close() {
	h.stop()
	<-h.done
}

func (h *Handler) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	a, p := readAnnouncement(w, r, h.cfg.MaxBody)
	if p == nil && !h.enqueue(a, time.Now()) {
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

func (h *Handler) enqueue(a *control.Announcement, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.pending[a.ID]; !known && len(h.pending) >= h.cfg.MaxPending {
		return false
	}
	h.pending[a.ID] = pendingAnnouncement{announcement: *a, receivedAt: now}
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
			h.forwardPending()
			return
		}
		select {
		case <-time.After(batchDelay):
		case <-ctx.Done():
		}
		h.forwardPending()
	}
}

// forwardPending forwards the pending announcements. If that fails, it keeps them, except those that are too old or were
// replaced by a newer one in the meantime.
func (h *Handler) forwardPending() {
	h.mu.Lock()
	batch := h.pending
	h.pending = map[string]pendingAnnouncement{}
	h.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	request := &control.AnnounceRequest{}
	for _, p := range batch {
		request.Announcements = append(request.Announcements, p.announcement)
	}
	slices.SortFunc(request.Announcements, func(a, b control.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	// The context isn't derived from run's, so that the last announcements are forwarded after Close cancels that one.
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	err := h.cfg.Control.Announce(ctx, request)
	if err == nil {
		return
	}
	h.cfg.Log.Warn("announcements not forwarded", "count", len(batch), "error", err)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for id, p := range batch {
		if _, newer := h.pending[id]; !newer && now.Sub(p.receivedAt) < maxAge && len(h.pending) < h.cfg.MaxPending {
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
