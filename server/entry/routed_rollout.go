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
	// sessionSendInterval is how often sessions are sent to the other instances while a roll-out is at 0 %, which lasts for
	// about four intervals.
	sessionSendInterval = 500 * time.Millisecond
	// maxKeptRollouts bounds the number of roll-outs whose sessions on the old version are recorded, and maxKeptSessions the
	// number of sessions recorded for each of them.
	maxKeptRollouts = 8
	maxKeptSessions = 20_000
	// oldVersion is used as the version of a kept session whose actual version is not known here. It stands for any version
	// other than the new one.
	oldVersion = "(old)"
)

// keptSessions holds the sessions that were active when a roll-out began, as hashes. They stay on the old version for the first
// half of the roll-out, no matter at which entry instance their next request arrives.
type keptSessions struct {
	mu sync.Mutex // guards the fields below
	// byRollout holds the sessions by the hash of their roll-out.
	byRollout map[uint64]map[uint64]struct{}
	// insertOrder lists the keys of byRollout, oldest first.
	insertOrder []uint64
	send        func(rollout uint64, sessions []uint64)
}

func newKeptSessions() *keptSessions {
	return &keptSessions{byRollout: map[uint64]map[uint64]struct{}{}, send: func(uint64, []uint64) {}}
}

func (k *keptSessions) add(rollout uint64, sessions []uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept := k.byRollout[rollout]
	if kept == nil {
		if len(k.insertOrder) >= maxKeptRollouts {
			delete(k.byRollout, k.insertOrder[0])
			k.insertOrder = k.insertOrder[1:]
		}
		kept = map[uint64]struct{}{}
		k.byRollout[rollout], k.insertOrder = kept, append(k.insertOrder, rollout)
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

// SetSessionSender sets the function that sends the other entry instances the hashes of sessions that stay on the old version
// while a roll-out begins. It must not block.
func (h *Handler) SetSessionSender(send func(rollout uint64, sessions []uint64)) {
	h.oldVersionSessions.mu.Lock()
	defer h.oldVersionSessions.mu.Unlock()
	h.oldVersionSessions.send = send
}

// ReceiveSessions records the sessions that another entry instance keeps on the old version of a roll-out.
func (h *Handler) ReceiveSessions(rollout uint64, sessions []uint64) {
	h.oldVersionSessions.add(rollout, sessions)
	h.cfg.Log.Debug("sessions_heard", "rollout", rollout, "sessions", len(sessions))
}

// sendKeptSessions sends the other entry instances, every sessionSendInterval until ctx ends, the sessions that stay on the old
// version of each roll-out at 0 %. It sends the sessions of a roll-out once more after the share first exceeded 0 % here, to
// include those that began in between.
func (h *Handler) sendKeptSessions(ctx context.Context) {
	ticker := time.NewTicker(sessionSendInterval)
	defer ticker.Stop()
	shareInForce := map[uint64]bool{}
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
		nowInForce := map[uint64]bool{}
		for _, r := range view.Rollouts.Services {
			id := rolloutHash(r)
			if r.State != control.RolloutRunning || r.Settled {
				continue
			}
			nowInForce[id] = r.Percent > 0
			if shareInForce[id] {
				continue
			}
			sessions := h.boundSessions.findActiveOnOldVersion(r, time.Now())
			h.oldVersionSessions.add(id, sessions)
			h.oldVersionSessions.mu.Lock()
			send := h.oldVersionSessions.send
			h.oldVersionSessions.mu.Unlock()
			send(id, sessions)
			h.cfg.Log.Info("sessions_kept", "service", r.Service, "to", r.To, "order", r.Order, "percent", r.Percent, "sessions", len(sessions))
		}
		shareInForce = nowInForce
	}
}

// rolloutHash returns the hash that identifies a roll-out between entry instances.
func rolloutHash(r control.ServiceRollout) uint64 {
	return balance.Hash(r.Service + "/" + r.To + "/" + strconv.FormatUint(r.Order, 10))
}

// findActiveOnOldVersion returns the hashes of the active sessions that run on another version than the new one and would move
// to the new one in the first half of the roll-out.
func (s *boundSessions) findActiveOnOldVersion(r control.ServiceRollout, now time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sessions []uint64
	for key, b := range s.byKey {
		if b.service == r.Service && b.version != r.To && now.Sub(b.lastUsed) <= maxSessionPause && routing.InRolloutShare(key, r.To, control.InitialRolloutPercent) {
			sessions = append(sessions, balance.Hash(key))
		}
	}
	return sessions
}
