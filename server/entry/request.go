package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/limits"
	"clementinetray/server/routing"
)

// Headers between callers and entry instances.
const (
	HeaderDeadline       = "Clementinetray-Deadline-Ms"
	HeaderSession        = "Clementinetray-Session"
	HeaderVersionChanged = "Clementinetray-Version-Changed"
	HeaderRequest        = "Clementinetray-Request"
	HeaderForwarded      = "Clementinetray-Forwarded-By"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerTraceparent    = "traceparent"
)

// maxHeaderValue bounds ids that callers choose, in bytes, because they are kept in bounded tables.
const maxHeaderValue = 256

// request is the state of one caller's request. It is used by one goroutine at a time.
type request struct {
	id    string
	start time.Time
	// key is the caller's Idempotency-Key.
	key         string
	traceparent string
	route       routing.Request
	class       *catalogue.Class
	chat        *chatRequest
	fingerprint string
	// crashes is the number of crashed backend servers known for the fingerprint.
	crashes int

	// routed is set for a request that came by a route of the catalogue.
	routed *routedCall
	// mayHaveRun says that a backend server may have run the request; zone is the availability zone of this instance.
	mayHaveRun bool
	zone       string

	// version is the chosen version; fixed says that it can't change any more because part of its answer was delivered.
	version catalogue.VersionRef
	// explored says that the version was chosen to learn its quality.
	explored bool
	revision uint64
	fixed    bool
	// noWait makes the request give up at once when no backend server is free.
	noWait bool
	// changed is the value of HeaderVersionChanged.
	changed string

	// attempts numbers the attempts; tries counts those on the current version.
	attempts     int
	tries        int
	slots        int
	slotRefusals int
	// busy names the excluded backend servers that had no room; they are candidates again after a wait.
	busy []string
	// written says that a byte of the request may have reached a backend server.
	written bool
	lines   []control.BillLine
	billed  bool
	rng     *rand.Rand
	// releases gives back limits, in reverse order.
	releases []func()
	// releasePlace gives back the slots and the running count of the last placement.
	releasePlace func()
	// releaseVersion gives back the limits of the chosen version.
	releaseVersion func()
}

// close gives back everything that the request holds; further calls do nothing.
func (rq *request) close() {
	rq.dropVersion()
	if rq.releasePlace != nil {
		rq.releasePlace()
	}
	for i := len(rq.releases) - 1; i >= 0; i-- {
		rq.releases[i]()
	}
	rq.releases = nil
}

// nextSlotID returns a new id for one slot.
func (rq *request) nextSlotID() string {
	rq.slots++
	return rq.id + "/slot-" + strconv.Itoa(rq.slots)
}

// readmitBusy makes backend servers that had no room candidates again.
func (rq *request) readmitBusy() {
	for _, id := range rq.busy {
		delete(rq.route.Exclude, id)
	}
	rq.busy = nil
}

func (rq *request) dropVersion() {
	if rq.releaseVersion != nil {
		rq.releaseVersion()
		rq.releaseVersion = nil
	}
}

// refuse returns the problem with not_run set by what is known of the writes to backend servers.
func (rq *request) refuse(p *problem.Problem) *problem.Problem {
	out := *p
	out.NotRun = !rq.written
	return &out
}

func (h *Handler) newRequestID() string {
	id := uuid.New()
	return hex.EncodeToString(id[:]) + "-" + h.cfg.Instance
}

const requestUUIDLength = 32

// instanceOf returns the instance id in a request id.
func instanceOf(requestID string) (string, bool) {
	if len(requestID) <= requestUUIDLength+1 || requestID[requestUUIDLength] != '-' {
		return "", false
	}
	return requestID[requestUUIDLength+1:], true
}

// workspaceOf returns the workspace of a key, nil for an unknown or empty one.
func workspaceOf(c *catalogue.Catalogue, key string) *catalogue.Workspace {
	if key == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	return c.WorkspaceByKeyHash(hex.EncodeToString(sum[:]))
}

// admit runs the steps that each request takes before it is parsed: authentication, age of the view, headers.
func (h *Handler) admit(r *http.Request) (*request, *problem.Problem) {
	now := time.Now()
	view := h.cfg.Board.View.Load()
	if view.View == nil || view.Catalogue == nil {
		return nil, problem.New(problem.ViewStale, "no view was received yet").Unrun().After(time.Second)
	}
	workspace := workspaceOf(view.Catalogue, BearerKey(r.Header))
	if workspace == nil {
		return nil, problem.New(problem.Unauthorized, "").Unrun()
	}
	if p := h.checkView(now); p != nil {
		return nil, p.Unrun()
	}
	if h.bills.full() {
		return nil, problem.New(problem.ControlUnavailable, "too many bills wait for the control group").Unrun().After(time.Second)
	}
	rq := &request{
		id: h.newRequestID(), start: now,
		key: r.Header.Get(headerIdempotencyKey), traceparent: r.Header.Get(headerTraceparent),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	rq.route = routing.Request{
		ID: rq.id, Workspace: workspace, Session: r.Header.Get(HeaderSession), Exclude: map[string]bool{},
	}
	if len(rq.traceparent) > maxHeaderValue {
		rq.traceparent = ""
	}
	if len(rq.key) > maxHeaderValue || len(rq.route.Session) > maxHeaderValue {
		return rq, problem.New(problem.InvalidRequest, headerIdempotencyKey+" or "+HeaderSession+" is longer than 256 bytes").Unrun()
	}
	if p := rq.readDeadline(r, now); p != nil {
		return rq, p.Unrun()
	}
	return rq, nil
}

func (rq *request) readDeadline(r *http.Request, now time.Time) *problem.Problem {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return problem.New(problem.InvalidRequest, HeaderDeadline+" is not a number of milliseconds")
	}
	if millis <= 0 {
		return problem.New(problem.DeadlineExceeded, "the deadline has passed")
	}
	rq.route.Deadline = now.Add(time.Duration(millis) * time.Millisecond)
	return nil
}

// checkView returns a problem when the view is too old to decide from.
func (h *Handler) checkView(now time.Time) *problem.Problem {
	view := h.cfg.Board.View.Load()
	if view.View == nil || view.ConfirmedAt.IsZero() || view.Age(now) > h.cfg.MaxViewAge {
		return problem.New(problem.ViewStale, "the view of the control group is too old").After(time.Second)
	}
	return nil
}

// withLimit bounds a request by its deadline and by RequestLimit.
func (h *Handler) withLimit(ctx context.Context, rq *request) (context.Context, context.CancelFunc) {
	limit := rq.start.Add(h.cfg.RequestLimit)
	if d := rq.route.Deadline; !d.IsZero() && d.Before(limit) {
		limit = d
	}
	return context.WithDeadline(ctx, limit)
}

// limitWorkspace takes the request's part of the workspace's limits.
func (h *Handler) limitWorkspace(rq *request) *problem.Problem {
	now, w := time.Now(), rq.route.Workspace
	if w.RequestsPerSecond > 0 && !h.cfg.Limits.TryRate(now, limits.WorkspaceRate(w.Name), w.RequestsPerSecond) {
		return problem.New(problem.WorkspaceLimit, "the workspace's request rate is used up").Unrun().After(time.Second)
	}
	if w.MaxConcurrent > 0 {
		release, ok := h.cfg.Limits.TryAcquire(now, limits.WorkspaceConcurrency(w.Name), float64(w.MaxConcurrent))
		if !ok {
			return problem.New(problem.WorkspaceLimit, "the workspace's running requests are used up").Unrun().After(time.Second)
		}
		rq.releases = append(rq.releases, release)
	}
	rq.releases = append(rq.releases, h.usage.add(w.Name))
	return nil
}
