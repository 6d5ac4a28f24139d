package entry

import (
	"net/http"
	"strconv"
	"strings"

	"clementinetray/api/problem"
)

// copyBuffer is the size of the buffer that passes a forwarded stream on, in bytes.
const copyBuffer = 4 << 10

// parseEventID splits the id of an event into the request id and the event's number.
func parseEventID(id string) (requestID string, number int, ok bool) {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 || len(id) > maxHeaderValue {
		return "", 0, false
	}
	number, err := strconv.Atoi(id[dot+1:])
	return id[:dot], number, err == nil && number >= 0
}

// serveResume gives a caller that reconnects the events after the one it has. Running streams may be resumed while the
// instance is stopping or its view is too old: that is no new work for a backend server.
func (h *Handler) serveResume(w http.ResponseWriter, r *http.Request, last string) {
	h.hold()
	defer h.leave()
	h.metrics.requests.WithLabelValues("resume").Inc()
	view := h.cfg.Board.View.Load()
	if view.View == nil || view.Catalogue == nil {
		h.writeProblem(w, nil, problem.New(problem.ViewStale, "no view was received yet"))
		return
	}
	workspace := workspaceOf(view.Catalogue, BearerKey(r.Header))
	if workspace == nil {
		h.writeProblem(w, nil, problem.New(problem.Unauthorized, ""))
		return
	}
	id, number, ok := parseEventID(last)
	instance, named := instanceOf(id)
	if !ok || !named {
		h.writeProblem(w, nil, problem.New(problem.InvalidRequest, headerLastEventID+" is not an event id of this router"))
		return
	}
	if instance != h.cfg.Instance && r.Header.Get(HeaderForwarded) == "" {
		h.forwardResume(w, r, instance)
		return
	}
	log := h.answers.get(id)
	if log == nil || log.workspace != workspace.Name {
		h.writeProblem(w, nil, problem.New(problem.NotFound, "the answer is not kept here"))
		return
	}
	f, ok := log.follow(number + 1)
	if !ok {
		h.writeProblem(w, nil, problem.New(problem.NotFound, "the events after this one are no longer kept"))
		return
	}
	rq := &request{id: id}
	rq.route.Workspace = workspace
	h.record(rq, "stream_resumed", "after event "+strconv.Itoa(number))
	h.follow(w, r, rq, f)
}

// forwardResume passes the request on to the entry instance that served the stream.
func (h *Handler) forwardResume(w http.ResponseWriter, r *http.Request, instance string) {
	address := ""
	for _, m := range h.cfg.Board.Fleet.Load().Members {
		if m.Instance == instance {
			address = m.CallerAddress
		}
	}
	if address == "" {
		h.writeProblem(w, nil, problem.New(problem.NotFound, "the entry instance that holds the answer is gone"))
		return
	}
	out, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+address+chatPath, nil)
	if err != nil {
		h.writeProblem(w, nil, problem.New(problem.Internal, ""))
		return
	}
	for _, name := range []string{"Authorization", headerLastEventID, headerTraceparent} {
		out.Header.Set(name, r.Header.Get(name))
	}
	out.Header.Set(HeaderForwarded, h.cfg.Instance)
	answer, err := h.forward.RoundTrip(out)
	if err != nil {
		h.cfg.Log.Warn("resume not forwarded", "instance", instance, "error", err)
		h.writeProblem(w, nil, problem.New(problem.BackendFailed, "the entry instance that holds the answer does not answer"))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	copyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.StatusCode)
	passOn(w, answer)
}

// passOn copies a body and flushes each part; it cuts the connection when the body breaks.
func passOn(w http.ResponseWriter, answer *http.Response) {
	out := http.NewResponseController(w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return
			}
			_ = out.Flush()
		}
		if isEOF(err) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
