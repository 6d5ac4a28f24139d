package entry

import (
	"net/http"
	"strconv"
	"strings"

	"clementinetray/api/problem"
	"clementinetray/server/answercheck"
)

// copyBufferBytes is the size of the buffer for copying a forwarded stream, in bytes.
const copyBufferBytes = 4 << 10

// parseEventID splits an event id into the request id and the number of the event.
func parseEventID(id string) (requestID string, number int, ok bool) {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 || len(id) > maxHeaderValueBytes {
		return "", 0, false
	}
	number, err := strconv.Atoi(id[dot+1:])
	return id[:dot], number, err == nil && number >= 0
}

// serveResume sends a reconnecting caller the events after the last one it received. Resuming is allowed while the instance
// is stopping or its view is too old, because it adds no work for a backend server.
func (h *Handler) serveResume(w http.ResponseWriter, r *http.Request, lastEventID string) {
	h.beginBackground()
	defer h.endRequest()
	h.metrics.requests.WithLabelValues("resume").Inc()
	view := h.cfg.Board.View.Load()
	if view.View == nil || view.Catalogue == nil {
		h.writeProblem(w, nil, problem.New(problem.ViewStale, "no view was received yet"))
		return
	}
	workspace := workspaceByKey(view.Catalogue, BearerKey(r.Header))
	if workspace == nil {
		h.writeProblem(w, nil, problem.New(problem.Unauthorized, ""))
		return
	}
	id, number, ok := parseEventID(lastEventID)
	instance, hasInstance := instanceFromRequestID(id)
	if !ok || !hasInstance {
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
	h.writeEvents(w, r, rq, f)
}

// forwardResume forwards the request to the entry instance that served the stream, and copies its answer.
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
	forwarded, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+address+chatPath, nil)
	if err != nil {
		h.writeProblem(w, nil, problem.New(problem.Internal, ""))
		return
	}
	for _, name := range []string{"Authorization", headerLastEventID, headerTraceparent} {
		forwarded.Header.Set(name, r.Header.Get(name))
	}
	forwarded.Header.Set(HeaderForwarded, h.cfg.Instance)
	answer, err := h.forwardTransport.RoundTrip(forwarded)
	if err == nil {
		defer func() { _ = answer.Body.Close() }()
		err = answercheck.Head(answer)
	}
	if err != nil {
		h.cfg.Log.Warn("could not forward a resume request", "instance", instance, "error", err)
		h.writeProblem(w, nil, problem.New(problem.BackendFailed, "the entry instance that holds the answer does not answer"))
		return
	}
	copyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.StatusCode)
	copyFlushing(w, answer)
}

// copyFlushing copies a response body and flushes after each read. It aborts the caller's connection when reading the
// body fails.
func copyFlushing(w http.ResponseWriter, answer *http.Response) {
	out := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
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
