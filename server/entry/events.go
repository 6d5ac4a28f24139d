package entry

import (
	"strings"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/api/problem"
)

// record adds an event of a request to the timeline.
func (h *Handler) record(rq *request, kind event.Kind, reasons ...string) {
	h.recordEvent(rq, event.Event{Kind: kind, Reason: strings.Join(reasons, "; ")})
}

// recordServerEvent adds an event that concerns a request and a backend server to the timeline.
func (h *Handler) recordServerEvent(rq *request, server *control.BackendServer, kind event.Kind, reasons ...string) {
	h.recordEvent(rq, event.Event{
		Kind: kind, BackendServer: server.ID, AvailabilityZone: server.AvailabilityZone, Reason: strings.Join(reasons, "; "),
	})
}

// recordEvent fills in the fields that describe the request, adds the event to the timeline and logs it.
func (h *Handler) recordEvent(rq *request, e event.Event) {
	e.Request, e.Session, e.Revision = rq.id, rq.route.Session, rq.revision
	if rq.route.Workspace != nil {
		e.Workspace = rq.route.Workspace.Name
	}
	if rq.version.Model != "" {
		e.Version = rq.version.String()
	}
	h.cfg.Recorder.Record(e)
	h.cfg.Log.Debug(string(e.Kind), "request", e.Request, "workspace", e.Workspace, "session", e.Session, "version", e.Version,
		"backend_server", e.BackendServer, "revision", e.Revision, "reason", e.Reason)
}

func streamBrokenEvent(p *problem.Problem) event.Event {
	return event.Event{Kind: "stream_broken", Reason: string(p.Reason), Detail: map[string]string{"detail": p.Detail}}
}
