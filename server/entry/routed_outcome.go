package entry

import (
	"time"

	"clementinetray/api/control"
)

// routedOutcomeKey returns the key of the outcome counters for a routed request on a backend server.
func routedOutcomeKey(rq *request, server *control.BackendServer) outcomeKey {
	return outcomeKey{
		class: rq.routed.route.Name, workspace: rq.workspaceName(), service: rq.routed.service, software: server.SoftwareVersion,
		server: serverBoot{server: server.ID, boot: server.Boot},
	}
}

// countRoutedAnswer counts an attempt that was answered completely. first is the time from dispatch to the first event of a
// stream, or to the end of another answer.
func (h *Handler) countRoutedAnswer(x *exchange, first time.Duration) {
	failures := 0
	if x.response.StatusCode >= 500 {
		failures = 1
	}
	h.outcomes.update(routedOutcomeKey(x.rq, x.server), func(c *control.Outcome) {
		c.Requests++
		c.FirstTokenMillis += first.Milliseconds()
		c.Failures += failures
	})
	x.sample(func(s *control.RolloutSample) {
		s.Requests++
		s.Failures += failures
		x.sampleTime(s, first)
	})
}

// countDroppedAnswer counts an answer that was dropped for that of a larger model. Only a roll-out looks at it: its version has
// answered.
func (x *exchange) countDroppedAnswer() {
	first := time.Since(x.began)
	x.sample(func(s *control.RolloutSample) {
		s.Requests++
		x.sampleTime(s, first)
	})
}

// countRoutedFailure counts an attempt whose failure points to the software version: a failure answer, or no answer in time.
// Broken connections aren't counted: their cause is more likely the machine, and one crash breaks the connections of all
// running requests. For the same reason an attempt whose time ended before it got a connection isn't.
func (x *exchange) countRoutedFailure(f *attemptError) {
	x.checkOverdue(time.Now())
	if connected, _ := x.trace.connectionState(); !connected {
		return
	}
	if f.kind != failStatus && f.kind != failTimeout && f.kind != failNoAnswer || f.notRun || f.pathFault {
		return
	}
	x.h.outcomes.update(routedOutcomeKey(x.rq, x.server), func(c *control.Outcome) {
		c.Requests++
		c.Failures++
	})
	x.sample(func(s *control.RolloutSample) {
		s.Requests++
		s.Failures++
	})
}
