package controlsvc

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/api/problem"
	"clementinetray/server/controlstate"
	"clementinetray/server/jsonbound"
	"clementinetray/server/replica"
)

const (
	// maxOperatorBodyBytes limits the body of an operator's request.
	maxOperatorBodyBytes = 4 << 20
	// maxRequestIDBytes limits the request id of a change.
	maxRequestIDBytes = 128
	// forwardTimeout limits a request that a follower forwards to the leader.
	forwardTimeout = 10 * time.Second
)

// CallOperatorAPI calls the operator API inside the process, without authentication, for an adapter that has a listener of
// its own. It returns the HTTP status and the body. A follower forwards the request to the leader.
func (s *Service) CallOperatorAPI(ctx context.Context, method, target string, body []byte) (int, []byte) {
	// The context may have the chi route context of the caller's router. With it, the router of the operator API would
	// continue to match from the position that the caller's router has reached in the path.
	ctx = context.WithValue(ctx, chi.RouteCtxKey, nil)
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		s.Logger.Error("can't build the request of an operator call", "target", target, "error", err)
		return http.StatusInternalServerError, nil
	}
	w := newReplyWriter()
	s.serveOnLeader(w, r)
	return w.status, w.body.Bytes()
}

// OperatorHandler returns the operator API (see package control). Operators authenticate by a bearer token whose SHA-256, in
// lower-case hexadecimal, is in tokenSHA256. A follower forwards requests to the leader, except for the timeline.
func (s *Service) OperatorHandler(tokenSHA256 []string) http.Handler {
	r := chi.NewRouter()
	r.Use(authenticate(tokenSHA256))
	r.Get("/v1/timeline", s.getTimeline)
	r.NotFound(s.serveOnLeader)
	return r
}

func authenticate(tokenSHA256 []string) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			sum := sha256.Sum256([]byte(token))
			hash, matches := []byte(hex.EncodeToString(sum[:])), 0
			for _, h := range tokenSHA256 {
				matches |= subtle.ConstantTimeCompare(hash, []byte(h))
			}
			if matches == 0 || token == "" {
				problem.New(problem.Unauthorized, "").Write(w)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// newRouter returns the routes that only the leader answers.
func (s *Service) newRouter() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/catalogue", s.getCatalogue)
	r.Put("/v1/catalogue", s.putCatalogue)
	r.Post("/v1/zones/{zone}", s.postOrder)
	r.Post("/v1/servers/{id}", s.postOrder)
	r.Get("/v1/servers", s.getServers)
	r.Get("/v1/rollouts", s.getRollouts)
	r.Post("/v1/rollouts/{model}", s.postRollout)
	r.Get("/v1/services/{service}/rollout", s.getServiceRollout)
	r.Post("/v1/services/{service}/rollout", s.postServiceRollout)
	r.Get("/v1/quarantine", s.getQuarantine)
	r.Post("/v1/quarantine/{fingerprint}/lift", s.postQuarantineLift)
	r.Get("/v1/status", s.getStatus)
	r.Get("/v1/bills", s.getBills)
	r.Get("/v1/shares", s.getShares)
	r.Post("/v1/replicas/{id}", s.postReplica)
	r.Delete("/v1/replicas/{id}", s.deleteReplica)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		problem.New(problem.NotFound, r.Method+" "+r.URL.Path).Write(w)
	})
	return r
}

// OperatorRequest is an operator's request that a follower has authenticated and forwards to the leader.
type OperatorRequest struct {
	control.Meta
	Method string
	// Target is the request URI: the path with the query.
	Target string
	Body   []byte
}

// OperatorReply is the leader's answer to an OperatorRequest. Type and RetryAfter are the headers Content-Type and
// Retry-After.
type OperatorReply struct {
	control.Meta
	Status     int
	Type       string
	RetryAfter string
	Body       []byte
}

// serveOnLeader reads the request, answers it on the leader and forwards it from a follower.
func (s *Service) serveOnLeader(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOperatorBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			problem.New(problem.BodyTooLarge, "the body is over 4 MiB").Write(w)
			return
		}
		problem.New(problem.InvalidRequest, "the body can't be read: "+err.Error()).Write(w)
		return
	}
	if _, err := jsonbound.Check(body, s.JSONLimits); err != nil {
		problem.New(problem.InvalidRequest, err.Error()).Write(w)
		return
	}
	if !s.knowsLeader() {
		writeUnavailable(w, "no control leader is known")
		return
	}
	if change, ok := parseLatest(body); ok {
		s.serveLatest(w, r, change)
		return
	}
	s.answerOnLeader(w, r, body)
}

func (s *Service) knowsLeader() bool {
	l, _ := s.Log.LeadershipChanged()
	return l.Leader || l.LeaderAddress != "" && l.LeaderAddress != s.PeerAddress
}

// answerOnLeader answers the request with the body on the leader and forwards it from a follower.
func (s *Service) answerOnLeader(w http.ResponseWriter, r *http.Request, body []byte) {
	l, _ := s.Log.LeadershipChanged()
	if l.Leader {
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.router.ServeHTTP(w, r)
		return
	}
	if !s.knowsLeader() {
		writeUnavailable(w, "no control leader is known")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
	defer cancel()
	in := &OperatorRequest{Meta: s.newMeta(), Method: r.Method, Target: r.URL.RequestURI(), Body: body}
	out := &OperatorReply{}
	if err := s.Peers.Call(ctx, l.LeaderAddress, "Control.Operator", in, out); err != nil {
		writeUnavailable(w, "the control leader did not answer: "+err.Error())
		return
	}
	s.Clock.Observe(out.Stamp)
	w.Header().Set("Content-Type", out.Type)
	if out.RetryAfter != "" {
		w.Header().Set("Retry-After", out.RetryAfter)
	}
	w.WriteHeader(out.Status)
	_, _ = w.Write(out.Body)
}

func writeUnavailable(w http.ResponseWriter, detail string) {
	problem.New(problem.ControlUnavailable, detail).WithRetryAfter(time.Second).Write(w)
}

// Operator implements the RPC method that followers forward requests with. It returns ErrNotLeader instead of forwarding a
// request a second time.
func (s *Service) Operator(in *OperatorRequest, out *OperatorReply) error {
	s.Clock.Observe(in.Stamp)
	if l, _ := s.Log.LeadershipChanged(); !l.Leader {
		return control.ErrNotLeader.New("%s", l.LeaderAddress)
	}
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, in.Method, in.Target, bytes.NewReader(in.Body))
	if err != nil {
		return control.ErrInvalid.Wrap(err)
	}
	w := newReplyWriter()
	s.router.ServeHTTP(w, r)
	out.Status, out.Body = w.status, w.body.Bytes()
	out.Type, out.RetryAfter = w.header.Get("Content-Type"), w.header.Get("Retry-After")
	out.Meta = s.newMeta()
	return nil
}

// replyWriter is an http.ResponseWriter that keeps the answer in memory.
type replyWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newReplyWriter() *replyWriter { return &replyWriter{header: http.Header{}, status: http.StatusOK} }

// isConflict reports whether the answer refuses a change whose base revision is not the current one.
func (w *replyWriter) isConflict() bool {
	answer := problem.Problem{}
	return w.status == http.StatusConflict && json.Unmarshal(w.body.Bytes(), &answer) == nil && answer.Reason == problem.RevisionConflict
}

// copyTo sends the answer.
func (w *replyWriter) copyTo(out http.ResponseWriter) {
	maps.Copy(out.Header(), w.header)
	out.WriteHeader(w.status)
	_, _ = out.Write(w.body.Bytes())
}

func (w *replyWriter) Header() http.Header         { return w.header }
func (w *replyWriter) WriteHeader(status int)      { w.status = status }
func (w *replyWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// decodeJSON reads exactly one JSON value without unknown fields.
func decodeJSON(r *http.Request, v any) *problem.Problem {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return problem.New(problem.InvalidRequest, "the body is not the expected JSON: "+err.Error())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return problem.New(problem.InvalidRequest, "the body has content after the JSON value")
	}
	return nil
}

// confirmState waits until the applied state includes all entries committed before the request. If that fails, it
// answers the request with an error and returns false.
func (s *Service) confirmState(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	if err := s.Log.ReadIndex(ctx); err != nil {
		writeUnavailable(w, "the state can't be confirmed: "+err.Error())
		return false
	}
	return true
}

func (s *Service) getCatalogue(w http.ResponseWriter, r *http.Request) {
	if !s.confirmState(w, r) {
		return
	}
	if wanted := r.URL.Query().Get("revision"); wanted != "" {
		s.getOldCatalogue(w, wanted)
		return
	}
	c := s.State.Catalogue()
	// The next change must name the configuration revision as its base, so the reply has this revision.
	revision := s.State.View().ConfigRevision
	writeJSON(w, control.CatalogueReply{
		Revision: revision, By: c.By, At: c.At, Catalogue: *c.Catalogue, Number: c.Number, Document: c.Document,
	})
}

// getOldCatalogue answers with the catalogue that was in force at the revision, if it is still kept.
func (s *Service) getOldCatalogue(w http.ResponseWriter, wanted string) {
	revision, err := strconv.ParseUint(wanted, 10, 64)
	if err != nil || revision > s.State.View().ConfigRevision {
		problem.New(problem.InvalidRequest, "revision "+wanted+" is not an accepted revision").Write(w)
		return
	}
	for _, c := range slices.Backward(s.State.Catalogues()) {
		if c.Revision <= revision {
			writeJSON(w, control.CatalogueReply{Revision: c.Revision, By: c.By, At: c.At, Catalogue: *c.Catalogue})
			return
		}
	}
	problem.New(problem.NotFound, fmt.Sprintf("the catalogue of revision %d is no longer kept", revision)).Write(w)
}

func (s *Service) putCatalogue(w http.ResponseWriter, r *http.Request) {
	in := control.ApplyCatalogueRequest{}
	if p := decodeJSON(r, &in); p != nil {
		p.Write(w)
		return
	}
	if faults := catalogue.Validate(&in.Catalogue); len(faults) > 0 {
		p := problem.New(problem.InvalidCatalogue, faults[0].Error())
		p.Fields = faults
		p.Write(w)
		return
	}
	change := &controlstate.ApplyCatalogue{
		ChangeBase: in.ChangeBase, Catalogue: in.Catalogue, Number: in.Number, Document: in.Document,
	}
	s.applyChange(w, r, in.ChangeBase, &controlstate.Command{ApplyCatalogue: change}, nil)
}

func (s *Service) postOrder(w http.ResponseWriter, r *http.Request) {
	in := control.OrderRequest{}
	if p := decodeJSON(r, &in); p != nil {
		p.Write(w)
		return
	}
	order := &controlstate.SetOrder{
		ChangeBase: in.ChangeBase, AvailabilityZone: chi.URLParam(r, "zone"), BackendServer: chi.URLParam(r, "id"),
		Out: in.Out, Reason: in.Reason,
	}
	var check func(context.Context) *problem.Problem
	if in.Out {
		check = func(ctx context.Context) *problem.Problem { return s.checkCapacity(ctx, order, in.Force) }
	}
	s.applyChange(w, r, in.ChangeBase, &controlstate.Command{SetOrder: order}, check)
}

func (s *Service) postRollout(w http.ResponseWriter, r *http.Request) {
	in := control.RolloutOrderRequest{}
	if p := decodeJSON(r, &in); p != nil {
		p.Write(w)
		return
	}
	progress := control.RolloutProgress{Model: chi.URLParam(r, "model"), State: in.State, Reason: "ordered by " + in.By}
	c := &controlstate.Command{SetRollout: &controlstate.SetRollout{ChangeBase: in.ChangeBase, Progress: progress}}
	s.applyChange(w, r, in.ChangeBase, c, nil)
}

func (s *Service) postServiceRollout(w http.ResponseWriter, r *http.Request) {
	in := control.ServiceRolloutRequest{}
	if p := decodeJSON(r, &in); p != nil {
		p.Write(w)
		return
	}
	start := &controlstate.StartServiceRollout{
		ChangeBase: in.ChangeBase, Service: chi.URLParam(r, "service"), To: in.To, Seconds: in.Seconds, Millis: in.Millis,
	}
	s.applyChange(w, r, in.ChangeBase, &controlstate.Command{StartServiceRollout: start}, nil)
}

func (s *Service) postQuarantineLift(w http.ResponseWriter, r *http.Request) {
	in := control.ChangeBase{}
	if p := decodeJSON(r, &in); p != nil {
		p.Write(w)
		return
	}
	lift := &controlstate.LiftQuarantine{ChangeBase: in, Fingerprint: chi.URLParam(r, "fingerprint")}
	s.applyChange(w, r, in, &controlstate.Command{LiftQuarantine: lift}, nil)
}

// applyChange makes one operator change: it dry-runs the command on the confirmed state, runs the check if there is
// one, commits the command and waits until enough replicas have synced it (awaitCopies). A request with DryRun ends after
// the check.
func (s *Service) applyChange(w http.ResponseWriter, r *http.Request, base control.ChangeBase, c *controlstate.Command,
	check func(context.Context) *problem.Problem) {
	if base.RequestID == "" || len(base.RequestID) > maxRequestIDBytes || base.By == "" {
		problem.New(problem.InvalidRequest, "request_id (1 to 128 bytes) and by are required").Write(w)
		return
	}
	if !s.confirmState(w, r) {
		return
	}
	result, err := s.State.DryRun(c)
	if err == nil && result.Repeated {
		// The first request may have ended before enough replicas had synced the change.
		err = s.awaitCopies(r.Context())
	}
	if err != nil || result.Conflict != nil || result.Repeated {
		s.writeChangeResult(w, result, err)
		return
	}
	if check != nil {
		if p := check(r.Context()); p != nil {
			p.Write(w)
			return
		}
	}
	if base.DryRun {
		writeJSON(w, result.ChangeReply)
		return
	}
	committed, err := s.Proposer.ProposeCommand(r.Context(), c)
	result, ok := committed.(controlstate.ChangeResult)
	if err == nil && !ok {
		err = Error.New("a change got the result %T", committed)
	}
	if err == nil {
		err = s.awaitCopies(r.Context())
	}
	s.writeChangeResult(w, result, err)
	if err != nil || result.Conflict != nil || result.Repeated {
		s.Logger.Warn("operator change not applied", "path", r.URL.Path, "by", base.By, "request_id", base.RequestID,
			"conflict", result.Conflict != nil, "repeated", result.Repeated, "error", err)
		return
	}
	s.Logger.Info("operator change applied", "path", r.URL.Path, "by", base.By, "request_id", base.RequestID, "revision", result.Revision)
	for _, change := range s.State.Changes() {
		if change.Revision == result.Revision {
			s.Recorder.Record(changeEvent(change))
		}
	}
}

// changeEvent returns the timeline event of an accepted operator change.
func changeEvent(c controlstate.Change) event.Event {
	e := event.Event{
		Kind: event.Kind(c.Kind), Revision: c.Revision, Reason: summarizeDiff(c.Diff),
		Detail: map[string]string{"by": c.By, "request_id": c.RequestID},
	}
	switch c.Kind {
	case controlstate.ChangeZoneOut, controlstate.ChangeZoneIn:
		e.AvailabilityZone = c.Subject
	case controlstate.ChangeServerOut, controlstate.ChangeServerIn:
		e.BackendServer = c.Subject
	case controlstate.ChangeRollout, controlstate.ChangeQuarantineLift:
		e.Detail["subject"] = c.Subject
	}
	return e
}

// maxSummaryLines limits the diff lines in an event, because the ring buffer of events has limited memory.
const maxSummaryLines = 5

func summarizeDiff(diff []string) string {
	if len(diff) <= maxSummaryLines {
		return strings.Join(diff, "; ")
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(diff[:maxSummaryLines], "; "), len(diff)-maxSummaryLines)
}

func (s *Service) writeChangeResult(w http.ResponseWriter, result controlstate.ChangeResult, err error) {
	switch {
	case controlstate.ErrRefused.Has(err):
		problem.New(problem.InvalidRequest, err.Error()).Write(w)
	case control.ErrTableFull.Has(err):
		problem.New(problem.Overloaded, err.Error()).Write(w)
	case replica.ErrNotLeader.Has(err):
		writeUnavailable(w, "leadership moved before the change was accepted")
	case err != nil:
		writeUnavailable(w, "the outcome is unknown, send the change again under the same request_id: "+err.Error())
	case result.Conflict != nil:
		p := problem.New(problem.RevisionConflict, "base_revision is not current; the last change was made by "+result.Conflict.By)
		p.Fields = result.Conflict
		p.Write(w)
	default:
		writeJSON(w, result.ChangeReply)
	}
}

func (s *Service) postReplica(w http.ResponseWriter, r *http.Request) {
	in := control.ReplicaRequest{}
	if p := decodeJSON(r, &in); p != nil {
		p.Write(w)
		return
	}
	if in.Address == "" {
		problem.New(problem.InvalidRequest, "address is empty").Write(w)
		return
	}
	id := chi.URLParam(r, "id")
	for _, m := range s.Log.Status().Members {
		if m.ID == id && m.Address == in.Address {
			s.getStatus(w, r)
			return
		}
	}
	s.changeMembership(w, r, "replica_added", id, func(ctx context.Context) error { return s.Log.AddLearner(ctx, id, in.Address) })
}

func (s *Service) deleteReplica(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	for _, m := range s.Log.Status().Members {
		if m.ID == id {
			s.changeMembership(w, r, "replica_removed", id, func(ctx context.Context) error { return s.Log.Remove(ctx, id) })
			return
		}
	}
	s.getStatus(w, r)
}

func (s *Service) changeMembership(w http.ResponseWriter, r *http.Request, kind event.Kind, id string, change func(context.Context) error) {
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	switch err := change(ctx); {
	case replica.ErrMembership.Has(err):
		problem.New(problem.InvalidRequest, err.Error()).Write(w)
		return
	case err != nil:
		writeUnavailable(w, "it is not known whether the membership was changed: "+err.Error())
		return
	}
	s.Logger.Info("membership changed", "kind", kind, "replica", id)
	s.Recorder.Record(event.Event{Kind: kind, Detail: map[string]string{"replica": id}})
	s.getStatus(w, r)
}
