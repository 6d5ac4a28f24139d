// Package problem defines the error responses that callers and operators receive, as problem details (RFC 9457).
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// Reason is the machine-readable reason of a problem. It determines the HTTP status.
type Reason string

// Reasons of problems.
const (
	Unauthorized         Reason = "unauthorized"
	NotAllowed           Reason = "not_allowed"
	UnknownModel         Reason = "unknown_model"
	InvalidRequest       Reason = "invalid_request"
	BodyTooLarge         Reason = "body_too_large"
	HeaderTooLarge       Reason = "header_too_large"
	KeyRequired          Reason = "idempotency_key_required"
	KeyReused            Reason = "idempotency_key_reused"
	InProgress           Reason = "in_progress"
	OutcomeUnknown       Reason = "outcome_unknown"
	VersionWithdrawn     Reason = "version_withdrawn"
	WorkspaceLimit       Reason = "workspace_limit"
	Overloaded           Reason = "overloaded"
	NoBackendServer      Reason = "no_backend_server"
	BackendFailed        Reason = "backend_failed"
	DeadlineExceeded     Reason = "deadline_exceeded"
	ViewStale            Reason = "view_stale"
	ControlUnavailable   Reason = "control_unavailable"
	Quarantined          Reason = "request_quarantined"
	Stopping             Reason = "stopping"
	RevisionConflict     Reason = "revision_conflict"
	InvalidCatalogue     Reason = "invalid_catalogue"
	InsufficientCapacity Reason = "insufficient_capacity"
	NotFound             Reason = "not_found"
	RetryBudgetExceeded  Reason = "retry_budget_exceeded"
	Internal             Reason = "internal"
)

// Problem is an error response. It implements error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason Reason `json:"reason"`
	// NotRun is true only if no backend server can have run the request. It is left out of the response otherwise, as false
	// would not mean that the request ran.
	NotRun bool `json:"not_run,omitempty"`
	// Request is the request id.
	Request string `json:"request,omitempty"`
	// Fields holds details of the refused input, such as a list with an entry for each invalid field.
	Fields any `json:"fields,omitempty"`
	// RetryAfter is sent in the Retry-After header, rounded up to whole seconds. If it is 0, the header is not sent.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem with the reason and detail, and with the HTTP status and title that belong to the reason.
func New(reason Reason, detail string) *Problem {
	status := statusOf(reason)
	return &Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Reason: reason, Detail: detail}
}

// MarkNotRun sets NotRun and returns the problem.
func (p *Problem) MarkNotRun() *Problem {
	p.NotRun = true
	return p
}

// WithRetryAfter sets RetryAfter, the time after which a retry may succeed, and returns the problem.
func (p *Problem) WithRetryAfter(delay time.Duration) *Problem {
	p.RetryAfter = delay
	return p
}

// Error returns the reason and the detail.
func (p *Problem) Error() string { return string(p.Reason) + ": " + p.Detail }

// Write sends the problem as the response: status, headers and JSON body.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func statusOf(reason Reason) int {
	switch reason {
	case Unauthorized:
		return http.StatusUnauthorized
	case NotAllowed:
		return http.StatusForbidden
	case UnknownModel, NotFound:
		return http.StatusNotFound
	case InvalidRequest, KeyRequired:
		return http.StatusBadRequest
	case InvalidCatalogue, KeyReused, Quarantined:
		return http.StatusUnprocessableEntity
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case InProgress, OutcomeUnknown, RevisionConflict, InsufficientCapacity:
		return http.StatusConflict
	case VersionWithdrawn:
		return http.StatusGone
	case WorkspaceLimit:
		return http.StatusTooManyRequests
	case BackendFailed, RetryBudgetExceeded:
		return http.StatusBadGateway
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	case Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
