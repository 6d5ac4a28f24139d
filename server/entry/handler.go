package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"clementinetray/api/catalogue"
	"clementinetray/api/event"
	"clementinetray/api/problem"
	"clementinetray/server/balance"
	"clementinetray/server/retry"
)

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	cfg     Config
	mux     http.Handler
	metrics *metrics

	kept, fresh *http.Transport
	forward     *http.Transport
	bills       *biller
	slots       *slotHolder
	sessions    *sessionCache
	answers     *answerStore
	queue       *waitQueue
	outcomes    *outcomeCounts
	latency     *latencyWatch
	crashes     *crashCache
	// harmless are routed requests that were answered whole.
	harmless *harmless
	running  *runningAttempts
	finisher *callFinisher
	ratings  *rater

	// balance is what this instance knows of the backend servers of routed requests.
	balance *balance.Tracker
	bound   *boundSessions
	// keptOld are the sessions that stay on an old version while a roll-out begins.
	keptOld  *keptSessions
	rollouts *rolloutTimes
	budgetMu sync.Mutex // guards budgets
	// budgets holds the retry budget of each service.
	budgets map[string]*retry.Budget

	// sent corrects the load of backend servers by what was sent there, usage counts running requests by workspace.
	sent  sentLoads
	usage counts
	// suspects holds until when a backend server is avoided.
	suspects times

	mu   sync.Mutex // guards open, leaving, draining and idle
	open int
	// leaving says that the instance will stop: it is not ready any more. draining says that it refuses new requests.
	leaving      bool
	leavingSince time.Time
	draining     bool
	idle         chan struct{} // closed when draining and nothing is open

	stop    context.CancelFunc
	stopped sync.WaitGroup
}

// New returns a handler for the caller listener. Close ends its goroutines.
func New(cfg Config) (*Handler, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	m, err := newMetrics(cfg.Registerer)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &Handler{
		cfg: cfg, metrics: m, kept: newTransport(false), fresh: newTransport(true), forward: newTransport(false),
		bills: newBiller(&cfg, m), sessions: newSessionCache(cfg.SessionCache),
		answers: newAnswerStore(cfg.AnswerRetention, cfg.AnswerMemory, m), queue: newWaitQueue(cfg.MaxWaiting, m),
		outcomes: newOutcomeCounts(), latency: newLatencyWatch(), crashes: newCrashCache(), running: newRunningAttempts(),
		balance: balance.NewTracker(), bound: newBoundSessions(), keptOld: newKeptSessions(), harmless: newHarmless(), rollouts: newRolloutTimes(), budgets: map[string]*retry.Budget{},
		idle: make(chan struct{}), stop: stop,
	}
	h.slots = newSlotHolder(&h.cfg)
	h.finisher = newCallFinisher(&h.cfg)
	h.ratings = newRater(&h.cfg, m, h.outcomes)
	h.mux = h.routes()
	for _, run := range []func(context.Context){h.slots.run, h.finisher.run, h.ratings.run, h.answers.run, h.watchFleet, h.shareSessions} {
		h.stopped.Go(func() { run(ctx) })
	}
	return h, nil
}

// Close ends the handler's goroutines and connections. Drain before, so that nothing is cut.
func (h *Handler) Close() {
	h.stop()
	h.stopped.Wait()
	h.bills.close()
	for _, t := range []*http.Transport{h.kept, h.fresh, h.forward} {
		t.CloseIdleConnections()
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) routes() http.Handler {
	mux := chi.NewRouter()
	mux.Use(h.recoverPanics)
	mux.Post("/v1/chat/completions", h.serveChat)
	mux.Get("/v1/models", h.serveModels)
	mux.HandleFunc("/services/{name}", h.serveService)
	mux.HandleFunc("/services/{name}/*", h.serveService)
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Get("/readyz", h.ServeReady)
	mux.NotFound(h.serveOther)
	mux.MethodNotAllowed(h.serveOther)
	return mux
}

// serveOther answers what no path of this API names: by a route of the catalogue, if it has any.
func (h *Handler) serveOther(w http.ResponseWriter, r *http.Request) {
	if view := h.cfg.Board.View.Load(); view.View == nil || view.Catalogue == nil || len(view.Catalogue.Routes) == 0 {
		h.writeProblem(w, nil, problem.New(problem.NotFound, "").Unrun())
		return
	}
	h.serveRouted(w, r)
}

// recoverPanics turns a panic into an answer, if none was begun. Limits and slots are given back by deferred calls.
func (h *Handler) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler {
				panic(cause)
			}
			h.metrics.panics.Inc()
			h.cfg.Log.Error("panic", "cause", cause, "stack", string(debug.Stack()))
			problem.New(problem.Internal, "").Write(w)
		}()
		next.ServeHTTP(w, r)
	})
}

// ServeReady answers whether the load balancer may send new requests here.
func (h *Handler) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if p := h.notReady(); p != nil {
		p.Write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) notReady() *problem.Problem {
	if h.isLeaving() {
		return problem.New(problem.Stopping, "the instance is stopping").Unrun()
	}
	if p := h.checkView(time.Now()); p != nil {
		return p.Unrun()
	}
	if h.bills.full() {
		return problem.New(problem.ControlUnavailable, "too many bills wait for the control group").Unrun()
	}
	return nil
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by,omitempty"`
}

func (h *Handler) serveModels(w http.ResponseWriter, r *http.Request) {
	rq, p := h.admit(r)
	if p != nil {
		h.writeProblem(w, rq, p)
		return
	}
	list := listModels(h.cfg.Board.View.Load().Catalogue, rq.route.Workspace)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		h.cfg.Log.Debug("model list not written", "request", rq.id, "error", err)
	}
}

func listModels(c *catalogue.Catalogue, w *catalogue.Workspace) modelList {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range c.Models {
		var versions []modelItem
		for _, v := range m.Versions {
			ref := catalogue.VersionRef{Model: m.Name, Version: v.Name}
			if !v.Withdrawn && w.Allows(ref) {
				versions = append(versions, modelItem{ID: ref.String(), Object: "model", OwnedBy: m.Owner})
			}
		}
		if len(versions) > 0 {
			list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: m.Owner})
			list.Data = append(list.Data, versions...)
		}
	}
	for _, class := range w.Classes {
		list.Data = append(list.Data, modelItem{ID: classPrefix + class, Object: "model"})
	}
	return list
}

// writeProblem sends a refusal, counts it and records it.
func (h *Handler) writeProblem(w http.ResponseWriter, rq *request, p *problem.Problem) {
	h.metrics.refusals.WithLabelValues(string(p.Reason)).Inc()
	out := *p
	if rq != nil {
		out.Request = rq.id
		w.Header().Set(HeaderRequest, rq.id)
		if rq.changed != "" {
			w.Header().Set(HeaderVersionChanged, rq.changed)
		}
		h.recordEvent(rq, event.Event{Kind: "request_refused", Reason: string(p.Reason), Detail: map[string]string{"detail": p.Detail}})
	}
	out.Write(w)
}
