package entry

import (
	"math"
	"time"

	"clementinetray/api/control"
)

// routedKey names the counters of a routed request at a backend server.
func routedKey(rq *request, server *control.BackendServer) outcomeKey {
	return outcomeKey{
		class: rq.routed.route.Name, workspace: rq.workspaceName(), service: rq.routed.service, software: server.SoftwareVersion,
		server: serverBoot{server: server.ID, boot: server.Boot},
	}
}

// countRoutedAnswer counts an attempt that was answered. first is the time to the answer or to the first event.
func (h *Handler) countRoutedAnswer(x *exchange, first time.Duration) {
	if !h.crashes.empty() {
		x.rq.setFingerprint()
		h.harmless.add(x.rq.fingerprint, time.Now())
	}
	log := math.Log(max(float64(first.Microseconds())/1000, 1))
	h.outcomes.update(routedKey(x.rq, x.server), func(c *control.Outcome) {
		c.Requests++
		c.FirstTokenMillis += first.Milliseconds()
		c.Timed++
		c.LogFirstSum += log
		c.LogFirstSquares += log * log
		if x.response.StatusCode >= 500 {
			c.Failures++
		}
	})
}

// countRoutedFailure counts a failure of the software: an answer that says so or none in time. A broken connection says more
// of the machine, and there is one for each request that runs on a backend server that crashes.
func (h *Handler) countRoutedFailure(rq *request, server *control.BackendServer, f *attemptError) {
	if f.kind != failStatus && f.kind != failTimeout && f.kind != failSilent || f.notRun {
		return
	}
	h.outcomes.update(routedKey(rq, server), func(c *control.Outcome) {
		c.Requests++
		c.Failures++
	})
}
