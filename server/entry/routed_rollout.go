package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/balance"
	"clementinetray/server/routing"
)

const (
	// shareSessionsEvery is how often sessions are told while a roll-out waits for its first share, which is about four times.
	shareSessionsEvery = 500 * time.Millisecond
	// maxKeptRollouts and maxKeptSessions bound what is remembered of sessions that stay on an old version.
	maxKeptRollouts = 8
	maxKeptSessions = 20_000
	// oldVersion stands for whatever version a kept session runs on: not the new one.
	oldVersion = "(old)"
)

// keptSessions are the sessions that went on while a roll-out began. They stay on the old version for its first half, at
// whichever entry instance their next request arrives.
type keptSessions struct {
	mu        sync.Mutex // guards the fields below
	byRollout map[uint64]map[uint64]struct{}
	// order lists the roll-outs, oldest first.
	order []uint64
	tell  func(rollout uint64, sessions []uint64)
}

func newKeptSessions() *keptSessions {
	return &keptSessions{byRollout: map[uint64]map[uint64]struct{}{}, tell: func(uint64, []uint64) {}}
}

func (k *keptSessions) add(rollout uint64, sessions []uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept := k.byRollout[rollout]
	if kept == nil {
		if len(k.order) >= maxKeptRollouts {
			delete(k.byRollout, k.order[0])
			k.order = k.order[1:]
		}
		kept = map[uint64]struct{}{}
		k.byRollout[rollout], k.order = kept, append(k.order, rollout)
	}
	for _, session := range sessions {
		if len(kept) >= maxKeptSessions {
			return
		}
		kept[session] = struct{}{}
	}
}

func (k *keptSessions) has(rollout, session uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.byRollout[rollout][session]
	return ok
}

// TellSessionsWith makes the handler pass on the sessions that go on while a roll-out begins. tell must not block.
func (h *Handler) TellSessionsWith(tell func(rollout uint64, sessions []uint64)) {
	h.keptOld.mu.Lock()
	defer h.keptOld.mu.Unlock()
	h.keptOld.tell = tell
}

// HearSessions takes the sessions that another entry instance told of.
func (h *Handler) HearSessions(rollout uint64, sessions []uint64) {
	h.keptOld.add(rollout, sessions)
	h.cfg.Log.Debug("sessions_heard", "rollout", rollout, "sessions", len(sessions))
}

// shareSessions tells the other entry instances, until ctx ends, of the sessions that each beginning roll-out must leave on
// the old version: once more after its first share is in force here, for sessions that came in between.
func (h *Handler) shareSessions(ctx context.Context) {
	ticker := time.NewTicker(shareSessionsEvery)
	defer ticker.Stop()
	opened := map[uint64]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		view := h.cfg.Board.View.Load()
		if view.View == nil || view.Rollouts == nil {
			continue
		}
		running := map[uint64]bool{}
		for _, r := range view.Rollouts.Services {
			id := rolloutHash(r)
			if r.State != control.RolloutRunning || r.Settled {
				continue
			}
			running[id] = r.Percent > 0
			if opened[id] {
				continue
			}
			sessions := h.bound.onOldVersion(r, time.Now())
			h.keptOld.add(id, sessions)
			h.keptOld.mu.Lock()
			tell := h.keptOld.tell
			h.keptOld.mu.Unlock()
			tell(id, sessions)
			h.cfg.Log.Info("sessions_kept", "service", r.Service, "to", r.To, "order", r.Order, "percent", r.Percent, "sessions", len(sessions))
		}
		opened = running
	}
}

// rolloutHash names one roll-out.
func rolloutHash(r control.ServiceRollout) uint64 {
	return balance.Hash(r.Service + "/" + r.To + "/" + strconv.FormatUint(r.Order, 10))
}

// onOldVersion returns the hashes of the sessions that go on, run on another version than the new one, and belong to the
// share that the first half of the roll-out gives to the new one.
func (s *boundSessions) onOldVersion(r control.ServiceRollout, now time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sessions []uint64
	for key, b := range s.byKey {
		if b.service == r.Service && b.version != r.To && now.Sub(b.at) <= sessionPause && routing.InShare(key, r.To, control.UnsettledPercent) {
			sessions = append(sessions, balance.Hash(key))
		}
	}
	return sessions
}
