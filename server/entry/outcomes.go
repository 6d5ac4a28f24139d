package entry

import (
	"maps"
	"sync"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

const (
	// maxSuspectReports is the maximum number of reports kept between two heartbeats; further ones are dropped.
	maxSuspectReports = 1000
	// maxOutcomeKeys is the maximum number of keys counted between two heartbeats; further keys are ignored.
	maxOutcomeKeys = 20_000
)

// outcomeCounts counts the outcomes of attempts and collects suspect reports since the last heartbeat.
type outcomeCounts struct {
	mu       sync.Mutex // guards both
	byKey    map[outcomeKey]*control.Outcome
	suspects map[control.SuspectReport]struct{}
}

type outcomeKey struct {
	version          catalogue.VersionRef
	class, workspace string
	// service and software are the service and the software version of a routed request.
	service, software string
	server            serverBoot
}

func newOutcomeCounts() *outcomeCounts {
	return &outcomeCounts{byKey: map[outcomeKey]*control.Outcome{}, suspects: map[control.SuspectReport]struct{}{}}
}

// update applies change to the counts of key.
func (o *outcomeCounts) update(key outcomeKey, change func(*control.Outcome)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey[key] == nil {
		if len(o.byKey) >= maxOutcomeKeys {
			return
		}
		o.byKey[key] = &control.Outcome{
			VersionRef: key.version, Class: key.class, Workspace: key.workspace,
			BackendServer: key.server.server, Boot: key.server.boot,
			Service: key.service, SoftwareVersion: key.software,
		}
	}
	change(o.byKey[key])
}

// outcomeKeyFor returns the key under which an attempt of a chat or service request is counted.
func outcomeKeyFor(rq *request, server *control.BackendServer) outcomeKey {
	return outcomeKey{
		version: rq.version, class: rq.route.Class, workspace: rq.route.Workspace.Name,
		server: serverBoot{server: server.ID, boot: server.Boot},
	}
}

// addRating counts a score by the answer's version, class and workspace.
func (o *outcomeCounts) addRating(in *ratingRequest, score float64) {
	key := outcomeKey{version: in.version(), class: in.Class, workspace: in.workspace}
	o.update(key, func(c *control.Outcome) {
		c.Ratings++
		c.RatingSum += score
		if score < in.target {
			c.LowRatings++
		}
	})
}

// addSuspect adds a report on a backend server for the next heartbeat.
func (o *outcomeCounts) addSuspect(report control.SuspectReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.suspects) < maxSuspectReports {
		o.suspects[report] = struct{}{}
	}
}

// dropConnectionSuspects drops the reports on broken or refused connections.
func (o *outcomeCounts) dropConnectionSuspects() {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.suspects, func(report control.SuspectReport, _ struct{}) bool { return report.Reason == control.SuspectConnection })
}

// countAnswer counts an answered attempt. firstToken is the time to the first token, 0 for an unstreamed answer.
func (h *Handler) countAnswer(rq *request, server *control.BackendServer, firstToken time.Duration) {
	key := outcomeKeyFor(rq, server)
	h.outcomes.update(key, func(c *control.Outcome) {
		c.Requests++
		c.FirstTokenMillis += firstToken.Milliseconds()
		if firstToken > control.SlowFirstToken {
			c.Slow++
		}
	})
	if firstToken > 0 {
		h.observeFirstToken(rq, server, firstToken)
	}
}

// observeFirstToken reports the backend server as slow if its first tokens are. wait is the time to the first token, or how long
// the caller waited in vain.
func (h *Handler) observeFirstToken(rq *request, server *control.BackendServer, wait time.Duration) {
	if h.latency.observe(rq.version, serverBoot{server: server.ID, boot: server.Boot}, wait) {
		h.outcomes.addSuspect(control.SuspectReport{BackendServer: server.ID, Boot: server.Boot, Reason: control.SuspectSlow})
	}
}

// countPace counts a stream by its mean time between events.
func (h *Handler) countPace(rq *request, server *control.BackendServer, interval time.Duration) {
	h.outcomes.update(outcomeKeyFor(rq, server), func(c *control.Outcome) {
		c.Paced++
		if interval > control.SlowTokenInterval {
			c.SlowPaced++
		}
	})
}

// countFailure counts a failed attempt, unless the failure is no evidence against the backend server: the caller
// cancelled it in time, the backend server was at capacity, or the request had crashed another backend server before.
func (h *Handler) countFailure(rq *request, server *control.BackendServer, f *attemptError) {
	if f.kind == failCancelled && f.overdueFor > 0 {
		h.outcomes.update(outcomeKeyFor(rq, server), func(c *control.Outcome) { c.Overdue++ })
		h.observeFirstToken(rq, server, f.overdueFor)
	}
	if f.pathFault || f.kind == failCancelled || f.kind == failBusy || f.serverCrashed && rq.crashes > 0 {
		return
	}
	h.outcomes.update(outcomeKeyFor(rq, server), func(c *control.Outcome) {
		c.Requests++
		c.Failures++
		if f.serverCrashed {
			c.Crashed++
		}
	})
}

// TakeOutcomes returns the counts since the last call and resets them.
func (h *Handler) TakeOutcomes() []control.Outcome {
	h.outcomes.mu.Lock()
	defer h.outcomes.mu.Unlock()
	out := make([]control.Outcome, 0, len(h.outcomes.byKey))
	for _, c := range h.outcomes.byKey {
		out = append(out, *c)
	}
	clear(h.outcomes.byKey)
	return out
}

// TakeSuspects returns the reports on suspect backend servers since the last call and clears them.
func (h *Handler) TakeSuspects() []control.SuspectReport {
	h.outcomes.mu.Lock()
	defer h.outcomes.mu.Unlock()
	out := make([]control.SuspectReport, 0, len(h.outcomes.suspects))
	for report := range h.outcomes.suspects {
		out = append(out, report)
	}
	clear(h.outcomes.suspects)
	return out
}
