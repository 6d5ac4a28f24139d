package entry

import (
	"context"
	"encoding/json"
	"errors"
	"hash"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/jsonbound"
	"clementinetray/server/target"
)

var chatTarget = target.MustParse(chatPath)

const (
	classPrefix = "class:"
	chatPath    = "/v1/chat/completions"
	jsonType    = "application/json"
)

// chatRequest is the body of a chat completion request. Fields that the router does not use are passed on unchanged.
type chatRequest struct {
	Model    string
	Stream   bool
	Messages []chatMessage
	fields   map[string]json.RawMessage
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// answer is a complete, unstreamed answer of a backend server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// chatCopies is the number of copies of a chat request's body in memory: as received, as fields, as messages, and twice as encoded for
// a backend server.
const chatCopies = 5

// decodedValueBytes is the memory of a value of a chat request's decoded form: its entry in a map or list and its allocations.
const decodedValueBytes = 128

// readRequestBody reads a body of at most limit bytes within CallerReadTimeout. The request holds room for that many copies of it until
// it is closed; without room it is refused. A body with more than one copy is JSON, whose decoded form is bounded too.
func (h *Handler) readRequestBody(w http.ResponseWriter, r *http.Request, rq *request, limit int64, copies int) ([]byte, *problem.Problem) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(h.cfg.CallerReadTimeout))
	share := &bufferShare{buffer: &h.requestBuffer, owner: rq.workspaceName()}
	if view := h.cfg.Board.View.Load(); view.View != nil && view.Catalogue != nil && len(view.Catalogue.Workspaces) > 1 {
		share.ownLimit = h.requestBuffer.limit * ownerPercent / 100
	}
	rq.releases = append(rq.releases, share.release)
	limited := http.MaxBytesReader(serverWriter(w), r.Body, limit)
	body, _, err := share.readAll(limited, limit)
	if err == nil && copies > 1 {
		values, overLimit := jsonbound.Check(body, h.cfg.JSONLimits)
		if overLimit != nil {
			_ = control.SetReadDeadline(time.Time{})
			return nil, problem.New(problem.InvalidRequest, overLimit.Error()).MarkNotRun()
		}
		// A body whose copies would fill the memory alone is served while there is no other.
		err = share.grow(min(copies*len(body)+values*decodedValueBytes, int(share.limitAlone())))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errBufferFull.Has(err):
		share.release()
		h.metrics.refusedBodies.Inc()
		// A caller that is still sending might not read the refusal.
		_, _ = io.Copy(io.Discard, limited)
		_ = control.SetReadDeadline(time.Time{})
		return nil, problem.New(problem.Overloaded, "the bodies of other requests take the memory for them").MarkNotRun().WithRetryAfter(time.Second)
	case errors.As(err, &tooLarge):
		return nil, problem.New(problem.BodyTooLarge, "the body is over the limit").MarkNotRun()
	case err != nil:
		// The read deadline stays set; without it the server would wait for the rest of the body.
		return nil, problem.New(problem.InvalidRequest, "the body ended early or took too long").MarkNotRun()
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// parseChat parses the body and checks the fields that the router reads.
func parseChat(body []byte) (*chatRequest, *problem.Problem) {
	invalid := func(field, detail string) *problem.Problem {
		p := problem.New(problem.InvalidRequest, field+" "+detail).MarkNotRun()
		p.Fields = []fieldError{{Field: field, Detail: detail}}
		return p
	}
	c := &chatRequest{}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, invalid("body", "is not a JSON object")
	}
	if json.Unmarshal(c.fields["model"], &c.Model) != nil || c.Model == "" {
		return nil, invalid("model", "is not a non-empty string")
	}
	if raw, ok := c.fields["stream"]; ok && json.Unmarshal(raw, &c.Stream) != nil {
		return nil, invalid("stream", "is not a boolean")
	}
	if raw, ok := c.fields["messages"]; ok && json.Unmarshal(raw, &c.Messages) != nil {
		return nil, invalid("messages", "is not a list of messages")
	}
	if _, ok := c.fields["continue_from"]; ok {
		return nil, invalid("continue_from", "is set by the router only")
	}
	return c, nil
}

// fieldError describes an invalid field of the request body.
type fieldError struct {
	Field  string `json:"field"`
	Detail string `json:"detail"`
}

// encode returns the body for a backend server. A non-empty continueFrom is the text after which the answer continues.
func (c *chatRequest) encode(version catalogue.VersionRef, continueFrom string) ([]byte, error) {
	fields := make(map[string]any, len(c.fields)+1)
	for name, value := range c.fields {
		fields[name] = value
	}
	fields["model"] = version.String()
	if continueFrom != "" {
		fields["continue_from"] = continueFrom
	}
	body, err := json.Marshal(fields)
	return body, Error.Wrap(err)
}

// prefixHashes returns the 64-bit FNV-1a hash of each prefix of the message list, the longest prefix first.
func prefixHashes(messages []chatMessage) []uint64 {
	hash := fnv.New64a()
	out := make([]uint64, 0, len(messages))
	for i := range messages {
		messages[i].writeTo(hash)
		out = append(out, hash.Sum64())
	}
	slices.Reverse(out)
	return out
}

// writeTo adds the message to a hash.
func (m *chatMessage) writeTo(hash hash.Hash) {
	_, _ = hash.Write([]byte(m.Role))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(m.Content)
	_, _ = hash.Write([]byte{0})
}

func (h *Handler) serveChat(w http.ResponseWriter, r *http.Request) {
	if last := r.Header.Get(headerLastEventID); last != "" {
		h.serveResume(w, r, last)
		return
	}
	if p := h.beginRequest(); p != nil {
		h.writeProblem(w, nil, p)
		return
	}
	defer h.endRequest()
	rq, p := h.admit(r)
	toClose := rq
	defer func() {
		if toClose != nil {
			toClose.close()
		}
	}()
	if p == nil {
		p = h.prepareChat(w, r, rq)
	}
	if p != nil {
		h.writeProblem(w, rq, p)
		return
	}
	if rq.chat.Stream {
		h.metrics.requests.WithLabelValues("stream").Inc()
		// The goroutine that runs the stream closes the request.
		toClose = nil
		h.serveStream(w, r, rq)
		return
	}
	h.metrics.requests.WithLabelValues("chat").Inc()
	h.serveUnstreamed(w, r, rq)
}

// prepareChat parses the body, checks the workspace's permission, counts the request against the workspace's limits and checks
// the quarantine. The version is chosen later.
func (h *Handler) prepareChat(w http.ResponseWriter, r *http.Request, rq *request) *problem.Problem {
	body, p := h.readRequestBody(w, r, rq, h.cfg.MaxBody, chatCopies)
	if p != nil {
		return p
	}
	if rq.chat, p = parseChat(body); p != nil {
		return p
	}
	c := h.cfg.Board.View.Load().Catalogue
	if name, ok := strings.CutPrefix(rq.chat.Model, classPrefix); ok {
		rq.route.Class = name
		if rq.class = c.FindClass(name); rq.class == nil || !slices.Contains(rq.route.Workspace.Classes, name) {
			return problem.New(problem.NotAllowed, "the workspace may not use this class").MarkNotRun()
		}
	} else {
		rq.route.Model = rq.chat.Model
	}
	rq.route.PrefixHashes = prefixHashes(rq.chat.Messages)
	rq.fingerprint = fingerprint(rq.route.Workspace.Name, rq.chat.Model, body)
	if p := h.takeWorkspaceLimits(rq); p != nil {
		return p
	}
	if p := h.checkQuarantine(rq, control.QuarantineCrashes); p != nil {
		return p.MarkNotRun()
	}
	return nil
}

func (h *Handler) serveUnstreamed(w http.ResponseWriter, r *http.Request, rq *request) {
	ctx, cancel := h.withTimeLimit(r.Context(), rq)
	defer cancel()
	a, p := h.completeChat(ctx, rq)
	if p != nil {
		h.submitBill(rq, false)
		h.writeProblem(w, rq, rq.withNotRunIfUnsent(p))
		return
	}
	if a.status < http.StatusMultipleChoices {
		h.submitBill(rq, true)
	}
	h.writeAnswer(w, rq, a)
}

// completeChat returns the answer of the chosen version. For a class with a cascade it moves on to the next more expensive
// version while the rating of the answer is below the class's target. A request with a session skips the cascade, because
// a session keeps its version.
func (h *Handler) completeChat(ctx context.Context, rq *request) (*answer, *problem.Problem) {
	best, p := h.completeOnVersion(ctx, rq)
	if p != nil {
		return nil, p
	}
	if rq.class == nil || !rq.class.Cascade || rq.route.Session != "" {
		h.ratings.sampleAnswer(rq, best)
		return best, nil
	}
	for range rq.class.Models {
		if best.status >= http.StatusMultipleChoices || !h.ratings.isBelowTarget(ctx, rq, best) {
			break
		}
		bestVersion := rq.version
		rq.route.CascadeFrom, rq.noWait, rq.countedAttempts = rq.version, true, 0
		rq.releaseVersionLimits()
		next, p := h.completeOnVersion(ctx, rq)
		if p != nil {
			rq.version = bestVersion
			break
		}
		h.record(rq, "cascade_step", "the answer of "+bestVersion.String()+" fell short of the target")
		best = next
	}
	return best, nil
}

// completeOnVersion returns the answer of one version. It repeats failed attempts as far as the retry budget allows.
func (h *Handler) completeOnVersion(ctx context.Context, rq *request) (*answer, *problem.Problem) {
	for {
		placed, p := h.place(ctx, rq)
		if p != nil {
			return nil, p
		}
		a, f := h.attemptChat(ctx, rq, placed)
		if f == nil {
			return a, nil
		}
		if p := h.checkRetry(ctx, rq, placed.server, f); p != nil {
			return nil, p
		}
	}
}

// attemptChat sends one attempt and reads its whole answer.
func (h *Handler) attemptChat(ctx context.Context, rq *request, placed *placement) (*answer, *attemptError) {
	defer placed.release()
	x, f := h.dispatchChat(ctx, rq, placed, "")
	defer x.close()
	if f != nil {
		return nil, f
	}
	body, f := x.readBody(h.cfg.MaxAnswer)
	if f != nil {
		return nil, f
	}
	if x.response.StatusCode != http.StatusOK {
		x.recordSuccess()
		return &answer{status: x.response.StatusCode, header: x.response.Header, body: body}, nil
	}
	var parsed struct {
		Usage *usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, x.fail(&attemptError{kind: failProtocol, err: err})
	}
	x.recordSuccess()
	h.recordPartsAnswered(rq)
	h.countAnswer(rq, x.server, 0)
	if parsed.Usage != nil {
		h.addBillLine(rq, x.server, *parsed.Usage)
	}
	return &answer{status: http.StatusOK, header: x.response.Header, body: body}, nil
}

// dispatchChat sends a chat request to a backend server. A status with which a retry on another backend server may succeed is
// returned as a failure.
func (h *Handler) dispatchChat(ctx context.Context, rq *request, placed *placement, continueFrom string) (*exchange, *attemptError) {
	body, err := rq.chat.encode(rq.version, continueFrom)
	if err != nil {
		return &exchange{h: h, rq: rq, server: placed.server, cancel: func(error) {}}, &attemptError{kind: failProtocol, err: err}
	}
	header := http.Header{"Content-Type": {jsonType}}
	x, f := h.dispatch(ctx, rq, placed, &outgoingRequest{method: http.MethodPost, target: chatTarget, header: header, body: body})
	if f != nil {
		return x, f
	}
	return x, x.checkStatus()
}

// checkStatus fails the attempt when the status shows that the backend server can't serve the request at present, and returns
// the failure. Otherwise it returns nil.
func (x *exchange) checkStatus() *attemptError {
	status := x.response.StatusCode
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound:
		// 404 means that the version is not loaded (any more). The router chose the version, so this is no error of the caller.
		return x.fail(&attemptError{kind: failBusy, err: Error.New("status %d", status)})
	case status >= http.StatusInternalServerError:
		return x.fail(&attemptError{kind: failStatus, err: Error.New("status %d", status)})
	}
	return nil
}

// addBillLine adds the token usage of one attempt to the bill.
func (h *Handler) addBillLine(rq *request, server *control.BackendServer, u usage) {
	if u.PromptTokens == 0 && u.CompletionTokens == 0 {
		return
	}
	rq.billLines = append(rq.billLines, control.BillLine{
		VersionRef: rq.version, BackendServer: server.ID, PromptTokens: u.PromptTokens, OutputTokens: u.CompletionTokens,
		CostMicros: costMicros(h.cfg.Board.View.Load().Catalogue, rq.version, u.CompletionTokens),
	})
}

// writeAnswer sends an unstreamed answer to the caller.
func (h *Handler) writeAnswer(w http.ResponseWriter, rq *request, a *answer) {
	copyHeader(w.Header(), a.header)
	w.Header().Set(HeaderRequest, rq.id)
	if rq.versionChange != "" {
		w.Header().Set(HeaderVersionChanged, rq.versionChange)
	}
	h.record(rq, "answered")
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		h.cfg.Log.Debug("could not write the answer", "request", rq.id, "error", err)
	}
}

// hopByHopHeaders lists headers that apply to one connection and are not passed on. Content-Length is among them because
// the sender sets it again from the length of the body.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", headerAttemptID,
}

// copyHeader copies all headers except the hop-by-hop ones and those that the Connection header names.
func copyHeader(to, from http.Header) {
	connectionHeaders := strings.Split(from.Get("Connection"), ",")
	for name, values := range from {
		hop := slices.Contains(hopByHopHeaders, name) ||
			slices.ContainsFunc(connectionHeaders, func(n string) bool { return http.CanonicalHeaderKey(strings.TrimSpace(n)) == name })
		if !hop {
			to[name] = append([]string(nil), values...)
		}
	}
}
