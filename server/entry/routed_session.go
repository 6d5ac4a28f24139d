package entry

import (
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/balance"
	"clementinetray/server/routing"
)

const (
	// maxSessionPause is the longest pause between two requests of a session after which it still counts as active.
	maxSessionPause = 10 * time.Second
	// maxBoundSessions bounds the number of sessions whose software version is kept.
	maxBoundSessions = 20_000
)

// boundSessions holds the software version that each active session ran on last.
type boundSessions struct {
	mu    sync.Mutex // guards byKey
	byKey map[string]boundSession
}

type boundSession struct {
	service, version string
	lastUsed         time.Time
}

func newBoundSessions() *boundSessions { return &boundSessions{byKey: map[string]boundSession{}} }

func (s *boundSessions) get(key, service string, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.byKey[key]; ok && b.service == service && now.Sub(b.lastUsed) <= maxSessionPause {
		return b.version
	}
	return ""
}

func (s *boundSessions) put(key string, b boundSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byKey) >= maxBoundSessions {
		for k, old := range s.byKey {
			if b.lastUsed.Sub(old.lastUsed) > maxSessionPause {
				delete(s.byKey, k)
			}
		}
		if len(s.byKey) >= maxBoundSessions {
			clear(s.byKey)
		}
	}
	s.byKey[key] = b
}

// boundVersion returns the software version that the request's session runs on: oldVersion for a session of another instance
// that a roll-out keeps on the old version, empty for an unknown session.
func (h *Handler) boundVersion(rq *request, snap *routing.Snapshot) string {
	if rq.route.Session == "" {
		return ""
	}
	if version := h.boundSessions.get(rq.rolloutKey(), rq.routed.service, snap.Now); version != "" || snap.View.Rollouts == nil {
		return version
	}
	r, ok := snap.View.Rollouts.Services[rq.routed.service]
	if ok && r.State == control.RolloutRunning && h.oldVersionSessions.has(rolloutHash(r), balance.Hash(rq.rolloutKey())) {
		return oldVersion
	}
	return ""
}

func (h *Handler) bindVersion(rq *request, server *control.BackendServer, now time.Time) {
	if rq.route.Session != "" {
		h.boundSessions.put(rq.rolloutKey(), boundSession{service: rq.routed.service, version: server.SoftwareVersion, lastUsed: now})
	}
}
