package entry

import (
	"sync"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

const (
	// maxSuspectReports is the largest number of reports kept between two heartbeats.
	maxSuspectReports = 1000
	// maxOutcomes is the largest number of counters kept between two heartbeats; what goes beyond is not counted.
	maxOutcomes = 20_000
)

// outcomeCounts adds up what happened since the last heartbeat.
type outcomeCounts struct {
	mu       sync.Mutex // guards both
	byKey    map[outcomeKey]*control.Outcome
	suspects map[control.SuspectReport]struct{}
}

type outcomeKey struct {
	version          catalogue.VersionRef
	class, workspace string
	// service and software are those of a routed request.
	service, software string
	server            serverBoot
}

func newOutcomeCounts() *outcomeCounts {
	return &outcomeCounts{byKey: map[outcomeKey]*control.Outcome{}, suspects: map[control.SuspectReport]struct{}{}}
}

func (o *outcomeCounts) update(key outcomeKey, change func(*control.Outcome)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey[key] == nil {
		if len(o.byKey) >= maxOutcomes {
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

func keyFor(rq *request, server *control.BackendServer) outcomeKey {
	return outcomeKey{
		version: rq.version, class: rq.route.Class, workspace: rq.route.Workspace.Name,
		server: serverBoot{server: server.ID, boot: server.Boot},
	}
}

func (o *outcomeCounts) rating(in *rateRequest, score float64) {
	key := outcomeKey{version: in.version(), class: in.Class, workspace: in.workspace}
	o.update(key, func(c *control.Outcome) {
		c.Ratings++
		c.RatingSum += score
		if score < in.target {
			c.LowRatings++
		}
	})
}

func (o *outcomeCounts) suspect(report control.SuspectReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.suspects) < maxSuspectReports {
		o.suspects[report] = struct{}{}
	}
}

// countAnswer counts an attempt that was answered. firstToken is 0 for an unstreamed answer, whose first token has no time.
func (h *Handler) countAnswer(rq *request, server *control.BackendServer, firstToken time.Duration) {
	key := keyFor(rq, server)
	h.outcomes.update(key, func(c *control.Outcome) {
		c.Requests++
		c.FirstTokenMillis += firstToken.Milliseconds()
		if firstToken > control.SlowFirstToken {
			c.Slow++
		}
	})
	if firstToken > 0 && h.latency.observe(rq.version, key.server, firstToken) {
		h.outcomes.suspect(control.SuspectReport{BackendServer: server.ID, Boot: server.Boot, Reason: control.SuspectSlow})
	}
}

// countFailure counts a failed attempt. An attempt that the caller ended or that found no room says nothing about the server, and neither
// does the crash by a request that is suspect of crashing servers.
func (h *Handler) countFailure(rq *request, server *control.BackendServer, f *attemptError) {
	if f.kind == failCancelled || f.kind == failBusy || f.died && rq.crashes > 0 {
		return
	}
	h.outcomes.update(keyFor(rq, server), func(c *control.Outcome) {
		c.Requests++
		c.Failures++
		if f.died {
			c.Crashed++
		}
	})
}

// Outcomes returns the counts since the last call and starts new ones.
func (h *Handler) Outcomes() []control.Outcome {
	h.outcomes.mu.Lock()
	defer h.outcomes.mu.Unlock()
	out := make([]control.Outcome, 0, len(h.outcomes.byKey))
	for _, c := range h.outcomes.byKey {
		out = append(out, *c)
	}
	clear(h.outcomes.byKey)
	return out
}

// Suspects returns the reports on backend servers since the last call.
func (h *Handler) Suspects() []control.SuspectReport {
	h.outcomes.mu.Lock()
	defer h.outcomes.mu.Unlock()
	out := make([]control.SuspectReport, 0, len(h.outcomes.suspects))
	for report := range h.outcomes.suspects {
		out = append(out, report)
	}
	clear(h.outcomes.suspects)
	return out
}
