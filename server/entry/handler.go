package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/api/catalogue"
	"clementinetray/api/event"
	"clementinetray/api/problem"
	"clementinetray/server/admission"
	"clementinetray/server/balance"
	"clementinetray/server/relay"
	"clementinetray/server/retry"
)

// Handler serves the HTTP requests of callers. It is safe for concurrent use.
type Handler struct {
	cfg     Config
	mux     http.Handler
	metrics *metrics

	// keepAliveTransport reuses connections to backend servers, singleUseTransport opens a new one for each request.
	keepAliveTransport, singleUseTransport *http.Transport
	// relayedTransport keeps connections for another use that were opened while the direct paths are down, and so go through relays.
	relayedTransport *http.Transport
	dialer           *relay.Dialer
	paths            pathWatch
	// forwardTransport carries requests to other entry instances.
	forwardTransport *http.Transport
	bills            *biller
	slots            *slotHolder
	sessions         *sessionCache
	answers          *answerStore
	// queue holds the requests that wait for a backend server, except those with overload control, which wait in controlledQueue.
	queue, controlledQueue *admission.Queue
	// pools learns the state of the pools with overload control.
	pools    *admission.Pools
	outcomes *outcomeCounts
	latency  *latencyWatch
	crashes  *crashCache
	// answeredRequests holds the routed requests that got a complete answer. A crash is not attributed to them.
	answeredRequests *answeredSet
	runningAttempts  *runningAttempts
	finisher         *callFinisher
	ratings          *rater

	// balance tracks the load and latency of backend servers that serve routed requests.
	balance *balance.Tracker
	// boundSessions holds the software version that each session of a routed service used last.
	boundSessions *boundSessions
	// oldVersionSessions holds the sessions that stay on the old version during the first part of a roll-out.
	oldVersionSessions *keptSessions
	rollouts           *rolloutTimes
	rolloutSamples     *rolloutSamples
	parts              *partWatch
	// answerBuffer and requestBuffer bound the memory of buffered answers and request bodies.
	answerBuffer, requestBuffer byteBudget
	statements                  statements
	brittle                     brittleServers
	restarts                    *restartWatch
	oldFleet                    oldFleet
	budgetMu                    sync.Mutex // guards budgets
	// budgets holds the retry budget of each service, by service name.
	budgets map[string]*retry.Budget

	// loadCorrections holds corrections to the reported load of backend servers, for requests that began or ended since
	// the report.
	loadCorrections loadCorrections
	// runningByWorkspace counts running requests by workspace name.
	runningByWorkspace namedCounters
	// suspectUntil holds the time until which a suspect backend server is avoided, by its id.
	suspectUntil namedTimes
	// unnamedAnswers holds the backend servers, by serverKey, whose answers don't name the attempt that they answer, and since when.
	unnamedAnswers namedTimes

	mu sync.Mutex // guards the fields below, up to idle
	// openCount is the number of requests in progress, plus the goroutines that work for them.
	openCount int
	// stopping is set when the instance begins to stop: it reports not ready but still accepts requests. draining is set when
	// it refuses new requests.
	stopping      bool
	stoppingSince time.Time
	draining      bool
	// drainEnd is the end of the time for open requests in a stop; zero if they have no bound.
	drainEnd time.Time
	idle     chan struct{} // closed when draining and no request is open

	// drainEnded ends when endDrain is called, at the end of the time for open requests in a stop.
	drainEnded context.Context
	endDrain   context.CancelFunc
	// stopBackground ends the background goroutines; Close waits for them.
	stopBackground context.CancelFunc
	background     sync.WaitGroup
}

// New returns a handler for the listener that callers connect to, and starts its background goroutines; Close ends them.
// The error is of class ErrConfig when a required part of cfg is missing.
func New(cfg Config) (*Handler, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	m, err := newMetrics(cfg.Registerer)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &Handler{
		cfg: cfg, metrics: m, forwardTransport: newTransport(dialTCP, false), paths: pathWatch{start: time.Now(), serverChecks: map[string]time.Time{}},
		bills: newBiller(&cfg, m), sessions: newSessionCache(cfg.SessionCache),
		answers: newAnswerStore(cfg.AnswerRetention, cfg.AnswerMemory, m), pools: admission.NewPools(),
		queue:           admission.NewQueue(cfg.MaxWaiting, admission.ByPriority, m.addWaiting),
		controlledQueue: admission.NewQueue(cfg.MaxWaiting, admission.ByRequest, m.addWaiting),
		outcomes:        newOutcomeCounts(), restarts: newRestartWatch(), latency: newLatencyWatch(), crashes: newCrashCache(), runningAttempts: newRunningAttempts(),
		balance: balance.NewTracker(balance.Options{LearnedRates: cfg.OverloadControl, UsualPlacement: !cfg.TimedPlacement}), boundSessions: newBoundSessions(), oldVersionSessions: newKeptSessions(), answeredRequests: newAnsweredSet(time.Now()), parts: newPartWatch(), rollouts: newRolloutTimes(), rolloutSamples: newRolloutSamples(), budgets: map[string]*retry.Budget{},
		idle: make(chan struct{}), stopBackground: stop,
	}
	for _, c := range []prometheus.Collector{newRateCollector(h.balance), newBodyGauge(&h.requestBuffer)} {
		if err := cfg.Registerer.Register(c); err != nil {
			stop()
			return nil, Error.Wrap(err)
		}
	}
	if h.dialer, err = h.newDialer(); err != nil {
		stop()
		return nil, Error.Wrap(err)
	}
	h.keepAliveTransport, h.singleUseTransport = newTransport(h.dialForKeeping, false), newTransport(h.dialForTransport, true)
	h.relayedTransport = newTransport(h.dialForTransport, false)
	h.drainEnded, h.endDrain = context.WithCancel(context.Background())
	h.runningAttempts.endedAt = h.restarts.EndedAt
	h.answerBuffer.limit, h.requestBuffer.limit = cfg.AnswerBuffer, cfg.RequestBuffer
	h.requestBuffer.countSmall = true
	h.slots = newSlotHolder(&h.cfg)
	h.finisher = newCallFinisher(&h.cfg)
	h.ratings = newRater(&h.cfg, m, h.outcomes)
	h.mux = h.routes()
	for _, run := range []func(context.Context){h.slots.run, h.finisher.run, h.ratings.run, h.answers.run, h.watchFleet, h.sendKeptSessions, h.logRates, h.dialer.Run, h.watchPaths} {
		h.background.Go(func() { run(ctx) })
	}
	return h, nil
}

// Close ends the handler's goroutines and closes its idle connections. Call Drain first, so that no open request is cut off.
func (h *Handler) Close() {
	h.endDrain()
	h.stopBackground()
	h.background.Wait()
	h.bills.close()
	for _, t := range []*http.Transport{h.keepAliveTransport, h.singleUseTransport, h.relayedTransport, h.forwardTransport} {
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
	mux.NotFound(h.serveUnmatchedPath)
	mux.MethodNotAllowed(h.serveUnmatchedPath)
	return mux
}

// serveUnmatchedPath answers requests for paths outside this API. They are routed requests if the catalogue has routes,
// and are refused otherwise.
func (h *Handler) serveUnmatchedPath(w http.ResponseWriter, r *http.Request) {
	if view := h.cfg.Board.View.Load(); view.View == nil || view.Catalogue == nil || len(view.Catalogue.Routes) == 0 {
		h.writeProblem(w, nil, problem.New(problem.NotFound, "").MarkNotRun())
		return
	}
	h.serveRouted(w, r)
}

// ServeReady answers status 200 when the load balancer may send new requests to this instance, and a problem document
// otherwise.
func (h *Handler) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if p := h.readinessProblem(); p != nil {
		p.Write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readinessProblem returns the reason why the instance takes no new requests, or nil.
func (h *Handler) readinessProblem() *problem.Problem {
	if h.isStopping() {
		return problem.New(problem.Stopping, "the instance is stopping").MarkNotRun()
	}
	if p := h.checkViewAge(time.Now()); p != nil {
		return p.MarkNotRun()
	}
	if h.bills.full() {
		return problem.New(problem.ControlUnavailable, "too many bills wait for the control group").MarkNotRun()
	}
	return nil
}

// modelList is the response body of GET /v1/models.
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
		h.cfg.Log.Debug("could not write the model list", "request", rq.id, "error", err)
	}
}

// listModels lists the models, versions and classes that a workspace may use.
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

// writeProblem sends a refusal, counts it and records an event for it. rq is nil when the request was refused before it
// was parsed.
func (h *Handler) writeProblem(w http.ResponseWriter, rq *request, p *problem.Problem) {
	h.metrics.refusals.WithLabelValues(string(p.Reason)).Inc()
	out := *p
	if rq != nil {
		out.Request = rq.id
		w.Header().Set(HeaderRequest, rq.id)
		if rq.versionChange != "" {
			w.Header().Set(HeaderVersionChanged, rq.versionChange)
		}
		h.recordEvent(rq, event.Event{Kind: "request_refused", Reason: string(p.Reason), Detail: map[string]string{"detail": p.Detail}})
	}
	out.Write(w)
}
