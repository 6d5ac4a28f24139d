package entry

import (
	"container/list"
	"context"
	"strings"
	"sync"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/routing"
)

const (
	// pinRenewalAge is the age at which a cached pin is renewed; the control group deletes a pin 12 h after its last renewal.
	pinRenewalAge = time.Hour
	// maxPinAttempts is the largest number of times that a version is chosen and pinned for one request. The choice is repeated
	// when another entry instance has pinned the session first.
	maxPinAttempts = 3
)

type sessionKey struct{ workspace, session string }

type sessionPin struct {
	key       sessionKey
	version   catalogue.VersionRef
	renewedAt time.Time
}

// sessionCache keeps the most recently used pins, at most limit.
type sessionCache struct {
	limit int
	mu    sync.Mutex // guards order and byKey
	order *list.List // of *sessionPin, most recently used first
	byKey map[sessionKey]*list.Element
}

func newSessionCache(limit int) *sessionCache {
	return &sessionCache{limit: limit, order: list.New(), byKey: map[sessionKey]*list.Element{}}
}

func (c *sessionCache) get(key sessionKey) (sessionPin, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byKey[key]
	if !ok {
		return sessionPin{}, false
	}
	c.order.MoveToFront(e)
	return *e.Value.(*sessionPin), true
}

func (c *sessionCache) put(key sessionKey, version catalogue.VersionRef, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pin := &sessionPin{key: key, version: version, renewedAt: now}
	if e, ok := c.byKey[key]; ok {
		e.Value = pin
		c.order.MoveToFront(e)
		return
	}
	c.byKey[key] = c.order.PushFront(pin)
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.byKey, oldest.Value.(*sessionPin).key)
	}
}

// pinSessionID returns the session id of the pin in the control group. It contains the model or class, as a session that uses
// several models has a pin for each of them.
func pinSessionID(r *routing.Request) string {
	model := r.Model
	if r.Class != "" {
		model = classPrefix + r.Class
	}
	return r.Session + "|" + model
}

// usesSessionPin reports whether the session determines a request's version. It does not when the request names a version.
func usesSessionPin(r *routing.Request) bool {
	return r.Session != "" && !strings.Contains(r.Model, "@")
}

// chooseVersion chooses the request's version, which is the pinned one in a session, and acquires the version's limits.
func (h *Handler) chooseVersion(ctx context.Context, rq *request, snap *routing.Snapshot) *problem.Problem {
	rq.releaseVersionLimits()
	rq.revision = snap.View.Revision
	choice, p := h.chooseOrPinVersion(ctx, rq, snap)
	if p != nil {
		return p
	}
	if rq.version != choice.VersionRef {
		rq.version, rq.exploring = choice.VersionRef, choice.Explore
		h.record(rq, "version_chosen", choice.Reasons...)
	}
	return h.acquireVersionLimits(rq, snap)
}

// chooseOrPinVersion returns the version for the request. In a session that is the pinned version; without a valid pin it
// chooses a version and pins it.
func (h *Handler) chooseOrPinVersion(ctx context.Context, rq *request, snap *routing.Snapshot) (routing.VersionChoice, *problem.Problem) {
	if !usesSessionPin(&rq.route) {
		return h.cfg.Router.ChooseVersion(snap, &rq.route)
	}
	key := sessionKey{workspace: rq.route.Workspace.Name, session: pinSessionID(&rq.route)}
	pin, cached := h.sessions.get(key)
	rq.route.Pinned = pin.version
	for range maxPinAttempts {
		choice, p := h.cfg.Router.ChooseVersion(snap, &rq.route)
		if p != nil {
			return choice, p
		}
		if cached && choice.VersionRef == rq.route.Pinned {
			h.renewPin(ctx, pin)
			return choice, nil
		}
		previous := rq.route.Pinned
		current, p := h.pinSession(ctx, key, choice.VersionRef, previous)
		if p != nil {
			// Without noWait, place would queue the request on an Overloaded problem and only repeat the failed call.
			rq.noWait = true
			return choice, p
		}
		cached = true
		pin = sessionPin{key: key, version: current, renewedAt: time.Now()}
		h.sessions.put(key, current, pin.renewedAt)
		if previous.Model != "" && current != previous {
			rq.versionChange = previous.String() + " -> " + current.String()
			h.record(rq, "session_moved", rq.versionChange)
		}
		if current == choice.VersionRef {
			return choice, nil
		}
		rq.route.Pinned = current
	}
	return routing.VersionChoice{}, problem.New(problem.ControlUnavailable, "the session's version changes too fast").WithRetryAfter(time.Second)
}

// pinSession commits proposed as the session's version and returns the version that the session is then pinned to. The two
// differ if another entry instance pinned the session first. replace is the withdrawn version that proposed replaces, zero
// for a first pin or a renewal.
func (h *Handler) pinSession(ctx context.Context, key sessionKey, proposed, replace catalogue.VersionRef) (catalogue.VersionRef, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.ControlTimeout)
	defer cancel()
	reply, err := h.cfg.Control.PinSession(ctx, &control.PinRequest{
		Workspace: key.workspace, Session: key.session, Proposed: proposed, Replace: replace,
	})
	switch {
	case control.ErrTableFull.Has(err):
		return catalogue.VersionRef{}, problem.New(problem.Overloaded, "the table of sessions is full").WithRetryAfter(time.Minute)
	case err != nil:
		return catalogue.VersionRef{}, problem.New(problem.ControlUnavailable, "the session could not be pinned").WithRetryAfter(time.Second)
	}
	return reply.Pinned, nil
}

// renewPin renews a pin older than pinRenewalAge. A failure is ignored, as the next request tries again.
func (h *Handler) renewPin(ctx context.Context, pin sessionPin) {
	if time.Since(pin.renewedAt) < pinRenewalAge {
		return
	}
	current, p := h.pinSession(ctx, pin.key, pin.version, catalogue.VersionRef{})
	if p == nil {
		h.sessions.put(pin.key, current, time.Now())
	}
}
