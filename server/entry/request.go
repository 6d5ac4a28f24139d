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

// maxHeaderValueBytes is the largest size of an id that a caller chooses, in bytes. Such ids are stored, so their size
// must be limited.
const maxHeaderValueBytes = 256

// request is the state of one caller's request. Only one goroutine uses it at a time.
type request struct {
	id    string
	start time.Time
	// idempotencyKey is the value of the Idempotency-Key header.
	idempotencyKey string
	traceparent    string
	route          routing.Request
	class          *catalogue.Class
	chat           *chatRequest
	fingerprint    string
	// crashes is the number of backend servers that crashed while they ran a request with this fingerprint.
	crashes int
	// parts holds the result of sharedParts, nil before its first call. unansweredCrashes lists the backend servers that
	// crashed before any part of an answer. heldForPart
	// is set while the request waits because of a prompt part that may crash backend servers.
	parts             []string
	unansweredCrashes []serverBoot
	heldForPart       bool

	// routed is set for a request that a route of the catalogue matched.
	routed *routedCall
	// mayHaveRun is set once a backend server may have run the routed request; zone is this instance's availability zone.
	mayHaveRun bool
	// askedMetered is true if the request was counted as asked for when it began to wait, and was not placed since.
	askedMetered bool
	zone         string

	// version is the chosen version of the model.
	version catalogue.VersionRef
	// exploring is set when the version was chosen in order to rate its answers.
	exploring bool
	// revision is the revision of the view from which the version was chosen.
	revision uint64
	// versionFixed is set once a part of the version's answer was delivered: the version can't change any more.
	versionFixed bool
	// noWait refuses the request immediately when no backend server is free.
	noWait bool
	// versionChange is the value of HeaderVersionChanged, empty when the session kept its version.
	versionChange string

	// attemptCount is the number of dispatches so far.
	attemptCount int
	// countedAttempts counts against the attempt limit. Moving to another version in a cascade resets it; an attempt
	// of a routed request that did not reach its backend server is not counted.
	countedAttempts int
	// slotCount is the number of ids that nextSlotID returned.
	slotCount    int
	slotRefusals int
	// busyServers holds the ids of excluded backend servers that were at capacity; they become candidates again after a wait.
	busyServers []string
	// written is set once a byte of the request may have been sent to a backend server.
	written   bool
	billLines []control.BillLine
	billed    bool
	rng       *rand.Rand
	// releases holds functions that release limits; close calls them in reverse order.
	releases []func()
	// releasePlace is the release function of the last placement.
	releasePlace func()
	// releaseVersion releases the limits of the chosen version.
	releaseVersion func()
}

// close releases all limits and slots that the request holds; further calls do nothing.
func (rq *request) close() {
	rq.releaseVersionLimits()
	if rq.releasePlace != nil {
		rq.releasePlace()
	}
	for i := len(rq.releases) - 1; i >= 0; i-- {
		rq.releases[i]()
	}
	rq.releases = nil
}

// nextSlotID returns a slot id that is unique to this request.
func (rq *request) nextSlotID() string {
	rq.slotCount++
	return rq.id + "/slot-" + strconv.Itoa(rq.slotCount)
}

// includeBusyServers makes backend servers that were at capacity candidates again.
func (rq *request) includeBusyServers() {
	for _, id := range rq.busyServers {
		delete(rq.route.Exclude, id)
	}
	rq.busyServers = nil
}

// releaseVersionLimits releases the limits of the chosen version; further calls do nothing.
func (rq *request) releaseVersionLimits() {
	if rq.releaseVersion != nil {
		rq.releaseVersion()
		rq.releaseVersion = nil
	}
}

// withNotRunIfUnsent returns a copy of the problem with not_run set when no byte of the request was sent to a backend
// server.
func (rq *request) withNotRunIfUnsent(p *problem.Problem) *problem.Problem {
	out := *p
	out.NotRun = !rq.written
	return &out
}

func (h *Handler) newRequestID() string {
	id := uuid.New()
	return hex.EncodeToString(id[:]) + "-" + h.cfg.Instance
}

// requestUUIDLength is the length of the UUID in a request id, in hexadecimal digits.
const requestUUIDLength = 32

// instanceFromRequestID returns the id of the entry instance that issued a request id.
func instanceFromRequestID(requestID string) (string, bool) {
	if len(requestID) <= requestUUIDLength+1 || requestID[requestUUIDLength] != '-' {
		return "", false
	}
	return requestID[requestUUIDLength+1:], true
}

// workspaceByKey returns the workspace that an API key belongs to, nil for an unknown or empty key.
func workspaceByKey(c *catalogue.Catalogue, key string) *catalogue.Workspace {
	if key == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	return c.WorkspaceByKeyHash(hex.EncodeToString(sum[:]))
}

// admit runs the checks that precede parsing of the body: authentication, age of the view, bill queue and headers. The
// request is nil when it was refused before its headers were read.
func (h *Handler) admit(r *http.Request) (*request, *problem.Problem) {
	now := time.Now()
	view := h.cfg.Board.View.Load()
	if view.View == nil || view.Catalogue == nil {
		return nil, problem.New(problem.ViewStale, "no view was received yet").MarkNotRun().WithRetryAfter(time.Second)
	}
	workspace := workspaceByKey(view.Catalogue, BearerKey(r.Header))
	if workspace == nil {
		return nil, problem.New(problem.Unauthorized, "").MarkNotRun()
	}
	if p := h.checkViewAge(now); p != nil {
		return nil, p.MarkNotRun()
	}
	if h.bills.full() {
		return nil, problem.New(problem.ControlUnavailable, "too many bills wait for the control group").MarkNotRun().WithRetryAfter(time.Second)
	}
	rq := &request{
		id: h.newRequestID(), start: now,
		idempotencyKey: r.Header.Get(headerIdempotencyKey), traceparent: r.Header.Get(headerTraceparent),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	rq.route = routing.Request{
		ID: rq.id, Workspace: workspace, Session: r.Header.Get(HeaderSession), Exclude: map[string]bool{},
	}
	if len(rq.traceparent) > maxHeaderValueBytes {
		rq.traceparent = ""
	}
	if len(rq.idempotencyKey) > maxHeaderValueBytes || len(rq.route.Session) > maxHeaderValueBytes {
		return rq, problem.New(problem.InvalidRequest, headerIdempotencyKey+" or "+HeaderSession+" is longer than 256 bytes").MarkNotRun()
	}
	if p := rq.readDeadline(r, now); p != nil {
		return rq, p.MarkNotRun()
	}
	return rq, h.checkStop(h.timeLimit(rq), false)
}

// readDeadline sets the deadline from HeaderDeadline, in milliseconds from now.
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

// checkViewAge returns a problem when the view of the control group's state is older than MaxViewAge or was
// never confirmed.
func (h *Handler) checkViewAge(now time.Time) *problem.Problem {
	view := h.cfg.Board.View.Load()
	if view.View == nil || view.ConfirmedAt.IsZero() || view.Age(now) > h.cfg.MaxViewAge {
		return problem.New(problem.ViewStale, "the view of the control group is too old").WithRetryAfter(time.Second)
	}
	return nil
}

// timeLimit returns the caller's deadline or the time after RequestLimit, whichever is first.
func (h *Handler) timeLimit(rq *request) time.Time {
	limit := rq.start.Add(h.cfg.RequestLimit)
	if d := rq.route.Deadline; !d.IsZero() && d.Before(limit) {
		limit = d
	}
	return limit
}

// withTimeLimit returns a context that ends at the request's time limit, and at the end of the drain in a stop.
func (h *Handler) withTimeLimit(ctx context.Context, rq *request) (context.Context, context.CancelFunc) {
	ctx, release := h.withStop(ctx)
	ctx, cancel := context.WithDeadline(ctx, h.timeLimit(rq))
	return ctx, func() {
		cancel()
		release()
	}
}

// takeWorkspaceLimits counts the request against the workspace's rate and concurrency limits, or refuses it.
func (h *Handler) takeWorkspaceLimits(rq *request) *problem.Problem {
	now, w := time.Now(), rq.route.Workspace
	if w.RequestsPerSecond > 0 && !h.cfg.Limits.TryRate(now, limits.WorkspaceRateKey(w.Name), w.RequestsPerSecond) {
		return problem.New(problem.WorkspaceLimit, "the workspace's request rate is used up").MarkNotRun().WithRetryAfter(time.Second)
	}
	if w.MaxConcurrent > 0 {
		release, ok := h.cfg.Limits.TryAcquire(now, limits.WorkspaceConcurrencyKey(w.Name), float64(w.MaxConcurrent))
		if !ok {
			return problem.New(problem.WorkspaceLimit, "the workspace's running requests are used up").MarkNotRun().WithRetryAfter(time.Second)
		}
		rq.releases = append(rq.releases, release)
	}
	rq.releases = append(rq.releases, h.runningByWorkspace.add(w.Name))
	return nil
}
