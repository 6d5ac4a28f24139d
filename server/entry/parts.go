package entry

import (
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
)

const (
	// partClearance is how long a prompt part counts as harmless after a backend server sent an event of an answer to a request
	// with it. It is short, as a part may begin to crash backend servers.
	partClearance = 15 * time.Second
	// partObjectionTime is how long requests with a quarantined part wait before they are refused. In this time the instances
	// that know the part as harmless have the quarantine lifted.
	partObjectionTime = time.Second
	// provisionalQuarantine is how long a provisional quarantine of a part is in force.
	provisionalQuarantine = 15 * time.Second
	// objectionInterval is the shortest time between two objections to the quarantine of one part.
	objectionInterval = 500 * time.Millisecond
	// droppedAttemptRetention is how long an attempt is remembered that was dropped for a larger model: its backend server may
	// crash on the answer that nobody waits for.
	droppedAttemptRetention = time.Second
	// maxTrackedParts and maxDroppedAttempts bound what a partWatch keeps.
	maxTrackedParts    = 20_000
	maxDroppedAttempts = 2_000
	// minUnansweredCrashes is the number of backend servers that must have crashed on a request whose answers had not begun
	// before its parts are reported.
	minUnansweredCrashes = 2
)

// partWatch knows the prompt parts with which answers began, and the parts that are quarantined because they crash backend
// servers.
type partWatch struct {
	mu sync.Mutex // guards the fields below
	// answeredAt holds when an answer to a request with the part last began.
	answeredAt map[string]time.Time
	// reported holds quarantined parts that the view may not have yet, and quarantinedAt when this instance first saw the
	// quarantine of a part.
	reported      map[string]reportedPart
	quarantinedAt map[string]time.Time
	objectedAt    map[string]time.Time
	dropped       map[serverBoot][]droppedAttempt
	droppedCount  int
}

type reportedPart struct {
	control.QuarantinedPart
	at time.Time
}

// droppedAttempt is an attempt that was dropped for a larger model after its answer began.
type droppedAttempt struct {
	report control.ReportCrashRequest
	at     time.Time
}

func newPartWatch() *partWatch {
	return &partWatch{
		answeredAt: map[string]time.Time{}, reported: map[string]reportedPart{}, quarantinedAt: map[string]time.Time{},
		objectedAt: map[string]time.Time{}, dropped: map[serverBoot][]droppedAttempt{},
	}
}

// sharedParts returns the ids of the prompt parts that the request may share with others: the parts that a routed request lists,
// or hashes of the messages of a chat request. The last part or message is its own.
func (rq *request) sharedParts() []string {
	if rq.parts != nil {
		return rq.parts
	}
	rq.parts = []string{}
	add := func(id string) {
		if !slices.Contains(rq.parts, id) {
			rq.parts = append(rq.parts, id)
		}
	}
	switch {
	case rq.routed != nil:
		for i := range len(rq.routed.Parts) - 1 {
			add(rq.routed.Parts[i].ID)
		}
	case rq.chat != nil:
		for i := range len(rq.chat.Messages) - 1 {
			add(rq.chat.Messages[i].partID())
		}
	}
	return rq.parts
}

// partID returns the id of the message as a prompt part.
func (m *chatMessage) partID() string {
	hash := fnv.New64a()
	m.writeTo(hash)
	return "message-" + strconv.FormatUint(hash.Sum64(), 16)
}

// recordAnswer notes that an answer to a request with these parts began.
func (w *partWatch) recordAnswer(parts []string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.answeredAt)+len(parts) > maxTrackedParts {
		for part, at := range w.answeredAt {
			if now.Sub(at) > partClearance {
				delete(w.answeredAt, part)
			}
		}
		if len(w.answeredAt)+len(parts) > maxTrackedParts {
			clear(w.answeredAt)
		}
	}
	for _, part := range parts {
		w.answeredAt[part] = now
	}
}

// unanswered returns those of the parts with which no answer began lately.
func (w *partWatch) unanswered(parts []string, now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(parts), func(part string) bool {
		at, ok := w.answeredAt[part]
		return ok && now.Sub(at) <= partClearance
	})
}

// currentQuarantine merges the parts of the view with those that were just reported, and notes when each part was first seen.
func (w *partWatch) currentQuarantine(view map[string]control.QuarantinedPart, now time.Time) map[string]control.QuarantinedPart {
	w.mu.Lock()
	defer w.mu.Unlock()
	merged := view
	if len(w.reported) > 0 {
		merged = map[string]control.QuarantinedPart{}
		for part, r := range w.reported {
			if now.Sub(r.at) > crashCacheTTL {
				delete(w.reported, part)
				continue
			}
			merged[part] = r.QuarantinedPart
		}
		for part, quarantined := range view {
			if quarantined.Crashes >= merged[part].Crashes {
				merged[part] = quarantined
			}
		}
	}
	for part := range w.quarantinedAt {
		if _, ok := merged[part]; !ok {
			delete(w.quarantinedAt, part)
		}
	}
	for part := range merged {
		if _, ok := w.quarantinedAt[part]; !ok {
			w.quarantinedAt[part] = now
		}
	}
	return merged
}

// since returns when the quarantine of a part was first seen.
func (w *partWatch) since(part string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quarantinedAt[part]
}

// addReported stores quarantined parts from the reply to a crash report.
func (w *partWatch) addReported(parts map[string]control.QuarantinedPart, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for part, quarantined := range parts {
		w.reported[part] = reportedPart{QuarantinedPart: quarantined, at: now}
	}
}

// startObjection reports whether an objection to the quarantine of the part is due, and forgets what a crash report said of it.
func (w *partWatch) startObjection(part string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.reported, part)
	if now.Sub(w.objectedAt[part]) < objectionInterval {
		return false
	}
	if len(w.objectedAt) >= maxTrackedParts {
		clear(w.objectedAt)
	}
	w.objectedAt[part] = now
	return true
}

func (w *partWatch) addDropped(server serverBoot, report control.ReportCrashRequest, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.droppedCount >= maxDroppedAttempts {
		clear(w.dropped)
		w.droppedCount = 0
	}
	w.dropped[server] = append(w.dropped[server], droppedAttempt{report: report, at: now})
	w.droppedCount++
}

// takeDropped removes the attempts that were dropped at the boot of a backend server, and returns the latest of them.
func (w *partWatch) takeDropped(server serverBoot, now time.Time) []control.ReportCrashRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []control.ReportCrashRequest
	for _, d := range w.dropped[server] {
		if now.Sub(d.at) <= droppedAttemptRetention {
			out = append(out, d.report)
		}
	}
	w.droppedCount -= len(w.dropped[server])
	delete(w.dropped, server)
	return out
}

// quarantinedParts returns the quarantined parts of the view and of recent crash reports.
func (h *Handler) quarantinedParts(now time.Time) map[string]control.QuarantinedPart {
	var parts map[string]control.QuarantinedPart
	if view := h.cfg.Board.View.Load(); view.View != nil && view.Quarantine != nil {
		parts = view.Quarantine.Parts
	}
	return h.parts.currentQuarantine(parts, now)
}

// checkPartQuarantine refuses a request whose prompt has parts that crash backend servers. Until partObjectionTime has passed
// since the quarantine was first seen, the request is to wait instead.
func (h *Handler) checkPartQuarantine(rq *request, now time.Time) *problem.Problem {
	rq.heldForPart = false
	quarantined := h.quarantinedParts(now)
	if len(quarantined) == 0 {
		return nil
	}
	shared := rq.sharedParts()
	for _, part := range shared {
		q, ok := quarantined[part]
		if !ok || slices.ContainsFunc(q.Common, func(p string) bool { return !slices.Contains(shared, p) }) {
			continue
		}
		seenFor := now.Sub(h.parts.since(part))
		if q.Crashes < control.ConfirmedPartCrashes && seenFor > provisionalQuarantine {
			continue
		}
		if len(h.parts.unanswered([]string{part}, now)) == 0 {
			h.objectToQuarantine(part, now)
			continue
		}
		if seenFor < partObjectionTime {
			rq.heldForPart = true
			return problem.New(problem.Overloaded, "the prompt has part "+part+", which may crash backend servers").WithRetryAfter(partObjectionTime)
		}
		return problem.New(problem.Quarantined, "part "+part+" of the prompt crashed the backend servers that began to answer; an operator can lift this")
	}
	return nil
}

// recordPartsAnswered notes that a backend server has begun an answer to the request, and objects to the quarantine of its parts.
func (h *Handler) recordPartsAnswered(rq *request) {
	shared, now := rq.sharedParts(), time.Now()
	if len(shared) == 0 {
		return
	}
	h.parts.recordAnswer(shared, now)
	quarantined := h.quarantinedParts(now)
	for _, part := range shared {
		if _, ok := quarantined[part]; ok {
			h.objectToQuarantine(part, now)
		}
	}
}

// objectToQuarantine tells the control group in the background that answers begin with the part.
func (h *Handler) objectToQuarantine(part string, now time.Time) {
	if !h.parts.startObjection(part, now) {
		return
	}
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), h.cfg.ControlTimeout)
		defer cancel()
		_, err := h.cfg.Control.ClearParts(ctx, &control.ClearPartsRequest{Parts: []string{part}})
		h.cfg.Log.Info("part_cleared", "part", part, "error", err)
	})
}

// suspectParts returns the parts that may have caused the crash of a backend server on this request: none if an event of an
// answer had come, or if no answer had begun and no other backend server has crashed on the request.
func (h *Handler) suspectParts(rq *request, f *attemptError) []string {
	if f.sentEvents {
		return nil
	}
	if !f.answerBegan && len(rq.unansweredCrashes) < minUnansweredCrashes {
		return nil
	}
	return h.parts.unanswered(rq.sharedParts(), time.Now())
}

// rememberDropped remembers an attempt that was dropped for a larger model, in case its backend server crashes on it.
func (h *Handler) rememberDropped(x *exchange) {
	now := time.Now()
	parts := h.parts.unanswered(x.rq.sharedParts(), now)
	if len(parts) == 0 {
		return
	}
	x.rq.setFingerprint()
	h.parts.addDropped(serverBoot{x.server.ID, x.server.Boot}, control.ReportCrashRequest{
		Fingerprint: x.rq.fingerprint, BackendServer: x.server.ID, Boot: x.server.Boot, Request: x.rq.id, Parts: parts,
	}, now)
}
