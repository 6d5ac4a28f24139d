package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/target"
)

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// serviceCall is a call to a service that is not a model.
type serviceCall struct {
	service    *catalogue.Service
	idempotent bool
	out        outgoingRequest
}

func (h *Handler) serveService(w http.ResponseWriter, r *http.Request) {
	if p := h.beginRequest(); p != nil {
		h.writeProblem(w, nil, p)
		return
	}
	defer h.endRequest()
	h.metrics.requests.WithLabelValues("service").Inc()
	rq, p := h.admit(r)
	if rq != nil {
		defer rq.close()
	}
	if p != nil {
		h.writeProblem(w, rq, p)
		return
	}
	call, p := h.prepareServiceCall(w, r, rq)
	if p != nil {
		h.writeProblem(w, rq, p)
		return
	}
	ctx, cancel := h.withTimeLimit(r.Context(), rq)
	defer cancel()
	var a *answer
	if call.idempotent {
		a, p = h.callRepeatable(ctx, rq, call)
	} else {
		a, p = h.callOnce(ctx, rq, call)
	}
	if p != nil {
		h.writeProblem(w, rq, p)
		return
	}
	h.submitBill(rq, true)
	h.writeAnswer(w, rq, a)
}

// prepareServiceCall runs the steps between authentication and dispatch: it checks permissions, limits and quarantine and
// builds the call.
func (h *Handler) prepareServiceCall(w http.ResponseWriter, r *http.Request, rq *request) (*serviceCall, *problem.Problem) {
	name := chi.URLParam(r, "name")
	service := h.cfg.Board.View.Load().Catalogue.FindService(name)
	if service == nil || !slices.Contains(rq.route.Workspace.Services, name) {
		return nil, problem.New(problem.NotAllowed, "the workspace may not use this service").MarkNotRun()
	}
	path, p := servicePath(r, name)
	if p != nil {
		return nil, p.MarkNotRun()
	}
	rq.route.Service = name
	call := &serviceCall{service: service, idempotent: isIdempotent(service, r.Method, path)}
	if !call.idempotent && rq.idempotencyKey == "" {
		return nil, problem.New(problem.KeyRequired, "this call needs the header "+headerIdempotencyKey).MarkNotRun()
	}
	body, p := h.readRequestBody(w, r, rq, h.cfg.MaxBody, 1)
	if p != nil {
		return nil, p
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	to, err := target.Parse(path)
	if err != nil {
		return nil, problem.New(problem.InvalidRequest, err.Error()).MarkNotRun()
	}
	call.out = outgoingRequest{method: r.Method, target: to, header: http.Header{}, body: body, newConnection: !call.idempotent}
	copyHeader(call.out.header, r.Header)
	for _, header := range []string{"Authorization", HeaderDeadline, HeaderSession, HeaderForwarded} {
		call.out.header.Del(header)
	}
	if !call.idempotent {
		// Only status, media type and body are stored for retries, so the body must not have a content encoding.
		call.out.header.Del("Accept-Encoding")
	}
	rq.fingerprint = fingerprint(rq.route.Workspace.Name, "service:"+name+" "+r.Method+" "+path, body)
	if p := h.takeWorkspaceLimits(rq); p != nil {
		return nil, p
	}
	if p := h.checkQuarantine(rq, control.QuarantineCrashes); p != nil {
		return nil, p.MarkNotRun()
	}
	return call, nil
}

// servicePath returns the escaped path below the service's root. It refuses paths that a backend server could interpret as
// another path: with such a path, a call that must not be repeated could match the route of an idempotent one.
func servicePath(r *http.Request, name string) (string, *problem.Problem) {
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	if path == "" {
		path = "/"
	}
	ambiguous := strings.Contains(path, "//") || strings.Contains(path, "\\") ||
		r.URL.RawPath != "" && r.URL.EscapedPath() != r.URL.Path
	for segment := range strings.SplitSeq(path, "/") {
		ambiguous = ambiguous || segment == "." || segment == ".."
	}
	if ambiguous || !strings.HasPrefix(path, "/") {
		return "", problem.New(problem.InvalidRequest, "the path is ambiguous")
	}
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	if escaped == "" {
		escaped = "/"
	}
	return escaped, nil
}

// isIdempotent reports whether the first matching route is idempotent. A prefix matches whole path segments.
func isIdempotent(s *catalogue.Service, method, path string) bool {
	for _, route := range s.Routes {
		if route.Method != "" && route.Method != method {
			continue
		}
		remainder, ok := strings.CutPrefix(path, route.Prefix)
		if ok && (remainder == "" || remainder[0] == '/' || strings.HasSuffix(route.Prefix, "/") || route.Prefix == "") {
			return route.Idempotent
		}
	}
	return false
}

// callRepeatable runs an idempotent call, with as many attempts as the retry budget allows.
func (h *Handler) callRepeatable(ctx context.Context, rq *request, call *serviceCall) (*answer, *problem.Problem) {
	for {
		placed, p := h.place(ctx, rq)
		if p != nil {
			return nil, rq.withNotRunIfUnsent(p)
		}
		a, f := h.attemptService(ctx, rq, placed, call)
		if f == nil {
			return a, nil
		}
		if p := h.checkRetry(ctx, rq, placed.server, f); p != nil {
			return nil, rq.withNotRunIfUnsent(p)
		}
	}
}

func (h *Handler) attemptService(ctx context.Context, rq *request, placed *placement, call *serviceCall) (*answer, *attemptError) {
	defer placed.release()
	x, f := h.dispatch(ctx, rq, placed, &call.out)
	defer x.close()
	if f != nil {
		return nil, f
	}
	if call.idempotent && x.response.StatusCode == http.StatusServiceUnavailable {
		return nil, x.checkStatus()
	}
	body, f := x.readBody(h.cfg.MaxAnswer)
	if f != nil {
		return nil, f
	}
	x.recordSuccess()
	h.countAnswer(rq, x.server, 0)
	h.metrics.firstTokenSeconds.Observe(time.Since(rq.start).Seconds())
	return &answer{status: x.response.StatusCode, header: x.response.Header, body: body}, nil
}
