package entry

import (
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
	took := time.Since(x.began)
	h.outcomes.update(routedKey(x.rq, x.server), func(c *control.Outcome) {
		c.Requests++
		c.FirstTokenMillis += first.Milliseconds()
		c.DurationMillis += took.Milliseconds()
		if x.response.StatusCode >= 500 {
			c.Failures++
		}
	})
}

// countRoutedFailure counts a failed attempt. One that the caller ended, that found no room or that another backend server
// got says nothing of the software.
func (h *Handler) countRoutedFailure(rq *request, server *control.BackendServer, f *attemptError) {
	if f.kind == failCancelled || f.notRun || f.kind == failDial {
		return
	}
	h.outcomes.update(routedKey(rq, server), func(c *control.Outcome) {
		c.Requests++
		c.Failures++
	})
}
