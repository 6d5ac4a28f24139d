package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"clementinetray/api/problem"
)

const (
	// maxKeptBytes is the size of delivered events, in bytes, that each stream keeps for a reconnecting caller.
	maxKeptBytes = 1 << 20
	// maxUndeliveredBytes is the size of undelivered events, in bytes, above which reading from the backend server pauses until
	// the caller catches up. maxUndeliveredLowMemoryBytes applies instead while all streams together exceed the memory limit.
	maxUndeliveredBytes          = 256 << 10
	maxUndeliveredLowMemoryBytes = 16 << 10
	// frameOverheadBytes is the memory that an event takes in addition to its encoded bytes.
	frameOverheadBytes = 48
)

// answerStore holds the events of running and recently ended streams, so that callers can resume them.
type answerStore struct {
	retention time.Duration
	// limitBytes is the size of all events, in bytes, above which logs of ended streams are dropped.
	limitBytes int64
	metrics    *metrics
	// totalBytes is the size of the events in all logs, in bytes.
	totalBytes atomic.Int64

	mu   sync.Mutex // guards byID and ended
	byID map[string]*answerLog
	// ended holds the logs of ended streams, in the order of their ends.
	ended []*answerLog
}

func newAnswerStore(retention time.Duration, limitBytes int64, m *metrics) *answerStore {
	return &answerStore{retention: retention, limitBytes: limitBytes, metrics: m, byID: map[string]*answerLog{}}
}

// run drops the logs of ended streams after their retention time, until ctx ends.
func (s *answerStore) run(ctx context.Context) {
	tick := time.NewTicker(max(s.retention/60, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			s.expire(now)
			s.metrics.answerBufferBytes.Set(float64(s.totalBytes.Load()))
		case <-ctx.Done():
			return
		}
	}
}

func (s *answerStore) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) >= s.retention {
		s.dropOldestEnded()
	}
}

// dropOldestEnded drops the log that ended first. The caller holds s.mu.
func (s *answerStore) dropOldestEnded() {
	first := s.ended[0]
	s.ended[0] = nil
	s.ended = s.ended[1:]
	delete(s.byID, first.requestID)
	s.totalBytes.Add(-first.dropAll())
}

// dropEndedOverLimit drops logs of ended streams, the oldest first, until the memory is within its limit. It returns
// true if the limit is still exceeded.
func (s *answerStore) dropEndedOverLimit() bool {
	if s.totalBytes.Load() <= s.limitBytes {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.totalBytes.Load() > s.limitBytes && len(s.ended) > 0 {
		s.dropOldestEnded()
	}
	return s.totalBytes.Load() > s.limitBytes
}

// open adds and returns the log of a new stream. cancel must end the stream. It is called after the last follower was closed:
// immediately if no event was delivered, else when no new follower was added within the grace time.
func (s *answerStore) open(requestID, workspace string, grace time.Duration, cancel context.CancelFunc) *answerLog {
	l := &answerLog{
		store: s, requestID: requestID, workspace: workspace, resumeGrace: grace, cancel: cancel,
		firstKept: 1, nextUndelivered: 1, roomFreed: make(chan struct{}, 1),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[requestID] = l
	return l
}

func (s *answerStore) get(requestID string) *answerLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[requestID]
}

// markEnded starts the retention time of an ended log. keep is false for a log without events, which is dropped
// immediately.
func (s *answerStore) markEnded(l *answerLog, keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !keep {
		delete(s.byID, l.requestID)
		return
	}
	s.ended = append(s.ended, l)
}

// answerLog holds the events of one stream. A single goroutine appends events; any number of followers read them.
type answerLog struct {
	store       *answerStore
	requestID   string
	workspace   string
	resumeGrace time.Duration
	// cancel ends the stream's attempts.
	cancel context.CancelFunc
	// roomFreed receives a value when events were delivered, which wakes the appending goroutine.
	roomFreed chan struct{}

	mu sync.Mutex // guards the rest
	// frames holds the encoded events that are kept; firstKept is the number of frames[0]. Numbers begin at 1.
	frames    [][]byte
	firstKept int
	// nextUndelivered is the number of the first event that the newest follower has not yet written to its caller.
	nextUndelivered int
	// keptBytes is the size of all kept events.
	keptBytes int64
	// undeliveredBytes is the size of the undelivered events in bytes.
	undeliveredBytes int64

	versionChange string
	ended         bool
	endedAt       time.Time
	// problem is the reason why a broken stream ended. answer is the backend server's refusal of the request; a log with a
	// refusal has no events.
	problem *problem.Problem
	answer  *answer

	followers  map[*follower]struct{}
	newest     *follower
	graceTimer *time.Timer
}

// follower is the read position of one caller in a log.
type follower struct {
	log  *answerLog
	next int
	wake chan struct{}
}

// frameSize returns the memory of an encoded event in bytes.
func frameSize(frame []byte) int64 { return int64(len(frame)) + frameOverheadBytes }

// append adds an event and blocks while too many bytes are undelivered. It returns false when ctx has ended.
func (l *answerLog) append(ctx context.Context, kind string, data []byte) bool {
	l.mu.Lock()
	number := l.firstKept + len(l.frames)
	frame := appendFrame(make([]byte, 0, len(l.requestID)+len(data)+24), l.requestID, number, kind, data)
	l.frames = append(l.frames, frame)
	l.keptBytes += frameSize(frame)
	l.undeliveredBytes += frameSize(frame)
	l.store.totalBytes.Add(frameSize(frame))
	l.wakeFollowers()
	l.mu.Unlock()
	return l.waitForRoom(ctx)
}

// waitForRoom drops the oldest delivered events beyond maxKeptBytes and blocks while more than maxUndeliveredBytes are
// undelivered; both limits are lower while memory is short. It returns false when ctx has ended.
func (l *answerLog) waitForRoom(ctx context.Context) bool {
	for {
		overLimit := l.store.dropEndedOverLimit()
		l.mu.Lock()
		limit, keep := int64(maxUndeliveredBytes), int64(maxKeptBytes)
		if overLimit {
			limit, keep = maxUndeliveredLowMemoryBytes, 0
		}
		l.dropDelivered(keep)
		undelivered := l.undeliveredBytes
		l.mu.Unlock()
		if undelivered <= limit {
			return ctx.Err() == nil
		}
		select {
		case <-l.roomFreed:
		case <-ctx.Done():
			return false
		}
	}
}

// dropDelivered drops the oldest delivered events until at most keep bytes of delivered events are left. The caller
// holds l.mu.
func (l *answerLog) dropDelivered(keep int64) {
	drop := 0
	for l.keptBytes-l.undeliveredBytes > keep && l.firstKept+drop < l.nextUndelivered {
		size := frameSize(l.frames[drop])
		l.keptBytes -= size
		l.store.totalBytes.Add(-size)
		l.frames[drop] = nil
		drop++
	}
	l.firstKept += drop
	l.frames = l.frames[drop:]
}

// count returns the number of events appended so far, dropped ones included.
func (l *answerLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstKept + len(l.frames) - 1
}

// setVersionChange sets the value of HeaderVersionChanged. It must be called before the first event.
func (l *answerLog) setVersionChange(changed string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versionChange = changed
}

// end closes the log. p is nil when the answer is complete; a is a refusal of the backend server, nil if there is none.
func (l *answerLog) end(p *problem.Problem, a *answer) {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return
	}
	l.ended, l.endedAt, l.problem, l.answer = true, time.Now(), p, a
	if l.graceTimer != nil {
		l.graceTimer.Stop()
	}
	keep := l.firstKept+len(l.frames) > 1
	l.wakeFollowers()
	l.mu.Unlock()
	l.store.markEnded(l, keep)
}

// wakeFollowers wakes each follower that waits for events. The caller holds l.mu.
func (l *answerLog) wakeFollowers() {
	for f := range l.followers {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// dropAll drops all events and returns their size in bytes.
func (l *answerLog) dropAll() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := l.keptBytes
	l.firstKept += len(l.frames)
	l.frames, l.keptBytes, l.undeliveredBytes = nil, 0, 0
	return size
}

// follow adds a follower that reads from event number from on. It returns false when that event was already dropped or its
// number is too high.
func (l *answerLog) follow(from int) (*follower, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.firstKept || from > l.firstKept+len(l.frames) {
		return nil, false
	}
	f := &follower{log: l, next: from, wake: make(chan struct{}, 1)}
	if l.followers == nil {
		l.followers = make(map[*follower]struct{}, 1)
	}
	l.followers[f] = struct{}{}
	l.newest = f
	l.setDelivered(from)
	if l.graceTimer != nil {
		l.graceTimer.Stop()
		l.graceTimer = nil
	}
	return f, true
}

// setDelivered sets the number of the first undelivered event and recomputes the undelivered bytes. The caller holds l.mu.
func (l *answerLog) setDelivered(next int) {
	l.nextUndelivered = next
	l.undeliveredBytes = 0
	for _, frame := range l.frames[min(max(next-l.firstKept, 0), len(l.frames)):] {
		l.undeliveredBytes += frameSize(frame)
	}
}

// close removes the follower. When it was the last one, the stream continues for the grace time if an event was delivered,
// because the caller can reconnect with its id; otherwise the stream is cancelled immediately.
func (f *follower) close() {
	l := f.log
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.followers, f)
	if len(l.followers) > 0 || l.ended {
		return
	}
	if l.nextUndelivered <= 1 {
		l.cancel()
		return
	}
	l.graceTimer = time.AfterFunc(l.resumeGrace, l.cancel)
}

// unread returns the events that the follower has not written yet. ended is true when no more events will be appended. lost is
// true when the follower's next event was already dropped.
func (f *follower) unread() (frames [][]byte, ended, lost bool) {
	l := f.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.next < l.firstKept {
		return nil, l.ended, true
	}
	return l.frames[f.next-l.firstKept:], l.ended, false
}

// advance records that the frames were written to the caller.
func (f *follower) advance(frames [][]byte) {
	l := f.log
	l.mu.Lock()
	defer l.mu.Unlock()
	f.next += len(frames)
	if f != l.newest || f.next <= l.nextUndelivered {
		return
	}
	l.nextUndelivered = f.next
	for _, frame := range frames {
		l.undeliveredBytes -= frameSize(frame)
	}
	l.undeliveredBytes = max(l.undeliveredBytes, 0)
	select {
	case l.roomFreed <- struct{}{}:
	default:
	}
}
