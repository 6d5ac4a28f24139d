// Package restarts records which backend servers may have started again without the fleet table showing it. A server that has just
// started is cold, and its new row reaches the entry instances only with their next Sync. A refused connection, or a machine that answers
// no instance, is evidence that the process of the last start has ended; from then on the server is treated as cold, until its row shows
// another start. Entry instances report refusals to each other, as in a large fleet most of them have no contact with the server during a
// short absence. Data on an earlier connection show that the process still runs, and end the record.
//
// The package does no I/O and reads no clock.
package restarts

import (
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecords bounds the records, the same as the rows of the fleet table.
	maxRecords = 12_000
	// maxReportDelay bounds the random delay of a report. An instance whose report is still pending when another one's arrives sends
	// none, so that the crash of a server does not make each instance with a connection to it write to all others.
	maxReportDelay = 20 * time.Millisecond
	// repeatAfter is how long after a report another refusal is reported again. It is well below maxAbsence.
	repeatAfter = time.Second
	// maxAbsence is how long after the last refusal a server is treated as cold if neither another start of it is known nor an attempt
	// answered. The fleet table drops a silent server sooner.
	maxAbsence = 10 * time.Second
	// retention is how long a record is kept after the last refusal.
	retention = time.Minute
	// contactWindow is the time within which two instances must report a refusal that none of them could confirm, and over which the
	// refusing servers are counted.
	contactWindow = time.Second
	// maxUnconfirmed is the number of refusing servers within contactWindow above which an instance reports no unconfirmed refusals: one
	// that many servers refuse is probably cut off from them itself.
	maxUnconfirmed = 2
	// refutationDelay is the least time between the opening of a connection, a refusal, and data on the connection that refute the
	// refusal. Data that the server sent before it ended arrive within this time.
	refutationDelay = 150 * time.Millisecond
	// maxReportAge is how old a report may be when it arrives. Within it, an attempt may already run on the next start.
	maxReportAge = time.Second
)

// Refusal names a start of a backend server that refused a connection.
type Refusal struct {
	// Server and Boot are the hashes of the server's ID and Boot, by Hash.
	Server, Boot uint64
}

// NewRefusal returns the refusal of a server's start.
func NewRefusal(server, boot string) Refusal { return Refusal{Hash(server), Hash(boot)} }

// Hash returns the hash that identifies an id or a boot in a Refusal.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Report is a refusal for the other instances.
type Report struct {
	Refusal
	// Confirmed is true if another instance was refused too, so that the sender's own paths are not the cause.
	Confirmed bool
}

// Watch holds the records of one entry instance. It is safe for concurrent use.
type Watch struct {
	// count is the number of records. It spares the lock on the path of each request and event while there are none.
	count atomic.Int64

	mu      sync.Mutex // guards the fields below
	records map[Refusal]*record
	// refusing and lastRefusing hold the servers that refused within the last one to two contactWindows.
	refusing, lastRefusing map[uint64]struct{}
	windowStart            time.Time
	random                 *rand.Rand
	pendingReports         int
}

// record is what is known of one start of a backend server.
type record struct {
	// believed is false while the only evidence is an unconfirmed report of one instance.
	believed bool
	// firstAt is the earliest and lastAt the latest time of a refusal, of this instance or another one.
	firstAt, lastAt time.Time
	// answeredAt is when an attempt that began after lastAt was first answered; zero if none was.
	answeredAt time.Time
	// confirmed is set if another instance was refused too.
	confirmed bool
	// reporter is the instance whose unconfirmed report is at reportedAt.
	reporter   uint64
	reportedAt time.Time
	// sharedAt is when the other instances last learned of the refusal.
	sharedAt time.Time
	// reportAt is when the pending report is due; zero if there is none.
	reportAt time.Time
}

// New returns a Watch without records.
func New() *Watch {
	seed := new(maphash.Hash).Sum64()
	return &Watch{
		records: map[Refusal]*record{}, refusing: map[uint64]struct{}{}, lastRefusing: map[uint64]struct{}{},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// Answered records that a backend server answered an attempt, which had a connection from sent on and the row of the start boot.
func (w *Watch) Answered(now, sent time.Time, server, boot string) {
	if w.count.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.records[NewRefusal(server, boot)]; r != nil && r.answeredAt.IsZero() && sent.After(r.lastAt) {
		r.answeredAt = now
	}
}

// Refused records that a start of a backend server refused a connection of this instance, or answered neither this nor another one.
// confirmed is true if another instance was refused too. first is true if this instance did not know it yet. If reportAt is not zero,
// TakeReports has a report for the other instances then.
func (w *Watch) Refused(now time.Time, server, boot string, confirmed bool) (first bool, reportAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	refusal := NewRefusal(server, boot)
	r := w.recordOf(refusal)
	if r == nil {
		return false, time.Time{}
	}
	first = r.refused(now, now)
	r.confirmed = r.confirmed || confirmed
	w.countRefusing(now, refusal.Server)
	if !r.reportAt.IsZero() || !r.sharedAt.IsZero() && now.Sub(r.sharedAt) < repeatAfter || !confirmed && w.refusingCount() > maxUnconfirmed {
		return first, time.Time{}
	}
	r.reportAt = now.Add(time.Duration(w.random.Int64N(int64(maxReportDelay))))
	w.pendingReports++
	return first, r.reportAt
}

// Reported records the report of another instance, sender. An unconfirmed report is believed once a second instance repeats it, or if
// this instance was refused too. first is true if this instance did not know of the refusal yet.
func (w *Watch) Reported(now time.Time, sender uint64, report Report) (first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.recordOf(report.Refusal)
	if r == nil {
		return false
	}
	repeated := r.reporter != sender && !r.reportedAt.IsZero() && now.Sub(r.reportedAt) < contactWindow
	if !report.Confirmed && !r.believed && !repeated {
		r.reporter, r.reportedAt = sender, now
		return false
	}
	first = r.refused(now.Add(-maxReportAge), now)
	r.confirmed, r.sharedAt = r.confirmed || report.Confirmed, now
	w.cancelReport(r)
	return first
}

// refused records a refusal that happened between earliest and latest, and reports whether it is the first one.
func (r *record) refused(earliest, latest time.Time) (first bool) {
	first = !r.believed
	if first {
		r.believed, r.firstAt = true, earliest
	}
	r.lastAt, r.answeredAt = latest, time.Time{}
	return first
}

// TakeReports returns the reports that are due, and marks them as sent.
func (w *Watch) TakeReports(now time.Time) []Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pendingReports == 0 {
		return nil
	}
	var due []Report
	for refusal, r := range w.records {
		if !r.reportAt.IsZero() && !r.reportAt.After(now) {
			due = append(due, Report{refusal, r.confirmed})
			w.cancelReport(r)
			r.sharedAt = now
		}
	}
	return due
}

// Delivered records that data of an attempt arrived which began at attemptBegan on the row of the start boot, over a connection that was
// opened at opened. If the connection is older than the refusals, the process of that start still runs: something else refused the
// connections. The record is removed then, and refuted is true. The age of the attempt shows nothing: a dial that began before the
// refusals may have ended at the next start.
func (w *Watch) Delivered(now, attemptBegan, opened time.Time, server, boot string) (refuted bool) {
	if w.count.Load() == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	refusal := NewRefusal(server, boot)
	r := w.records[refusal]
	if r == nil || !r.believed || r.firstAt.Sub(opened) < refutationDelay {
		return false
	}
	// What answers an attempt that began after the refusals was sent after them.
	if !attemptBegan.After(r.lastAt) && now.Sub(r.lastAt) < refutationDelay {
		return false
	}
	w.remove(refusal)
	return true
}

// ColdFor returns for how long from now a backend server is to be treated as cold at least, given the boot of its row and the time for
// which servers of its service are cold after their start; 0 if it is not. While the server is away, that is its whole cold time.
func (w *Watch) ColdFor(now time.Time, server, boot string, coldTime time.Duration) time.Duration {
	if coldTime <= 0 || w.count.Load() == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.records[NewRefusal(server, boot)]
	switch {
	case r == nil || !r.believed:
		return 0
	case !r.answeredAt.IsZero():
		return max(r.answeredAt.Add(coldTime).Sub(now), 0)
	case now.Sub(r.lastAt) < max(maxAbsence, coldTime):
		return coldTime
	}
	return 0
}

// EndedAt returns the time by which the start boot of a backend server had ended; the zero time if that is not known. An attempt that
// began later and was accepted runs on a later start.
func (w *Watch) EndedAt(server, boot string) time.Time {
	if w.count.Load() == 0 {
		return time.Time{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.records[NewRefusal(server, boot)]; r != nil && r.believed {
		return r.firstAt
	}
	return time.Time{}
}

// RemoveOld removes the records of refusals that are too long ago to have an effect.
func (w *Watch) RemoveOld(now time.Time) {
	if w.count.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for refusal, r := range w.records {
		if now.Sub(r.lastAt) > retention && now.Sub(r.reportedAt) > retention {
			w.remove(refusal)
		}
	}
}

// recordOf returns the record of a start, or nil if there are too many.
func (w *Watch) recordOf(refusal Refusal) *record {
	r := w.records[refusal]
	if r == nil && len(w.records) < maxRecords {
		r = &record{}
		w.records[refusal] = r
		w.count.Store(int64(len(w.records)))
	}
	return r
}

func (w *Watch) remove(refusal Refusal) {
	w.cancelReport(w.records[refusal])
	delete(w.records, refusal)
	w.count.Store(int64(len(w.records)))
}

func (w *Watch) cancelReport(r *record) {
	if !r.reportAt.IsZero() {
		r.reportAt = time.Time{}
		w.pendingReports--
	}
}

func (w *Watch) countRefusing(now time.Time, server uint64) {
	if age := now.Sub(w.windowStart); age >= contactWindow {
		w.lastRefusing, w.refusing, w.windowStart = w.refusing, map[uint64]struct{}{}, now
		if age >= 2*contactWindow {
			w.lastRefusing = nil
		}
	}
	w.refusing[server] = struct{}{}
}

// refusingCount returns the number of servers that refused this instance within the last one to two contactWindows.
func (w *Watch) refusingCount() int {
	n := len(w.refusing)
	for server := range w.lastRefusing {
		if _, again := w.refusing[server]; !again {
			n++
		}
	}
	return n
}
