// Package timeline keeps the recent events of one process in a ring buffer, answers queries for them and merges the
// answers of all processes into one timeline in causal order.
package timeline

import (
	"slices"
	"strings"
	"sync"

	"github.com/zeebo/errs"

	"clementinetray/api/event"
)

// Error is the class of all errors of this package.
var Error = errs.Class("timeline")

const (
	// DefaultEventCount is the number of events in the ring of a process.
	DefaultEventCount = 20000
	// textBytesPerEvent is the number of text bytes per event that the ring has room for on average. If texts are longer, the
	// ring keeps fewer events. A ring of 20,000 events takes less than 10 MB, including the fixed part of each record.
	textBytesPerEvent = 400
	// maxTextBytes (for each text) and maxDetails (entries of Detail) limit the size of one event, so that a long header of a
	// caller can't evict all other events.
	maxTextBytes = 200
	maxDetails   = 16
	// defaultLimit is the largest number of events that a query without a limit returns.
	defaultLimit = 1000
)

// Indexes in record.textEnds of the texts of an event; textCount is their number.
const (
	textKind = iota
	textRequest
	textSession
	textWorkspace
	textServer
	textZone
	textVersion
	textReason
	textCount
)

// record is one event. Its texts are copied into one string, so that the buffers they came from can be freed.
type record struct {
	stamp    event.Stamp
	revision uint64
	// texts holds all texts of the event, one after the other.
	texts string
	// textEnds are the end offsets of the texts of an event in texts.
	textEnds [textCount]uint16
	// detailEnds are the end offsets of the keys and values of Detail, in turn; they follow the other texts.
	detailEnds []uint16
}

// Ring keeps the newest events of a process. It is safe for concurrent use.
type Ring struct {
	instance string
	clock    *event.Clock

	mu        sync.Mutex // guards the fields below
	records   []record
	oldest    int // index of the oldest record
	count     int // number of records
	textBytes int // bytes of their texts
}

var _ event.Recorder = (*Ring)(nil)

// NewRing returns a ring for size events of the instance (DefaultEventCount if size isn't positive). The clock must be the one
// that stamps the messages of the process, which makes stamps follow causal order.
func NewRing(instance string, clock *event.Clock, size int) *Ring {
	if size < 1 {
		size = DefaultEventCount
	}
	return &Ring{instance: instance, clock: clock, records: make([]record, size)}
}

// Record stamps the event and adds it. If the ring is full, it evicts the oldest events.
func (r *Ring) Record(e event.Event) {
	rec := pack(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.stamp = r.clock.Now()
	size := len(r.records)
	for r.count == size || r.count > 0 && r.textBytes+len(rec.texts) > size*textBytesPerEvent {
		r.textBytes -= len(r.records[r.oldest].texts)
		r.records[r.oldest] = record{}
		r.oldest = (r.oldest + 1) % size
		r.count--
	}
	r.records[(r.oldest+r.count)%size] = rec
	r.count++
	r.textBytes += len(rec.texts)
}

// Query returns the newest events that match the filter, oldest first, at most f.Limit (1000 if it isn't positive).
func (r *Ring) Query(f event.Filter) []event.Event {
	limit := f.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []event.Event
	for i := r.count - 1; i >= 0 && len(out) < limit; i-- {
		rec := &r.records[(r.oldest+i)%len(r.records)]
		if rec.stamp < f.Since {
			break
		}
		if !rec.mayMatch(f) {
			continue
		}
		if e := rec.unpack(r.instance); f.Matches(e) {
			out = append(out, e)
		}
	}
	slices.Reverse(out)
	return out
}

// Len returns the number of events and the total size of their texts in bytes.
func (r *Ring) Len() (events, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count, r.textBytes
}

// pack copies the texts of the event, truncated to the size limits, into a record without a stamp.
func pack(e event.Event) record {
	rec := record{revision: e.Revision}
	var b strings.Builder
	texts := [textCount]string{string(e.Kind), e.Request, e.Session, e.Workspace, e.BackendServer,
		e.AvailabilityZone, e.Version, e.Reason}
	for i, text := range texts {
		b.WriteString(truncate(text))
		rec.textEnds[i] = uint16(b.Len())
	}
	keys := make([]string, 0, len(e.Detail))
	for key := range e.Detail {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys[:min(len(keys), maxDetails)] {
		b.WriteString(truncate(key))
		rec.detailEnds = append(rec.detailEnds, uint16(b.Len()))
		b.WriteString(truncate(e.Detail[key]))
		rec.detailEnds = append(rec.detailEnds, uint16(b.Len()))
	}
	rec.texts = b.String()
	return rec
}

// truncate returns the first maxTextBytes bytes of the text.
func truncate(text string) string { return text[:min(len(text), maxTextBytes)] }

// textAt returns the text with the index i, for instance textKind.
func (rec *record) textAt(i int) string {
	from := uint16(0)
	if i > 0 {
		from = rec.textEnds[i-1]
	}
	return rec.texts[from:rec.textEnds[i]]
}

// mayMatch compares the most selective texts with the filter, without the allocations of unpack.
func (rec *record) mayMatch(f event.Filter) bool {
	return (f.Request == "" || f.Request == rec.textAt(textRequest)) &&
		(f.Session == "" || f.Session == rec.textAt(textSession)) &&
		(f.BackendServer == "" || f.BackendServer == rec.textAt(textServer))
}

// unpack is the reverse of pack.
func (rec *record) unpack(instance string) event.Event {
	e := event.Event{
		Stamp:            rec.stamp,
		Instance:         instance,
		Revision:         rec.revision,
		Kind:             event.Kind(rec.textAt(textKind)),
		Request:          rec.textAt(textRequest),
		Session:          rec.textAt(textSession),
		Workspace:        rec.textAt(textWorkspace),
		BackendServer:    rec.textAt(textServer),
		AvailabilityZone: rec.textAt(textZone),
		Version:          rec.textAt(textVersion),
		Reason:           rec.textAt(textReason),
	}
	if len(rec.detailEnds) > 0 {
		e.Detail = make(map[string]string, len(rec.detailEnds)/2)
	}
	from := rec.textEnds[textCount-1]
	for i := 0; i < len(rec.detailEnds); i += 2 {
		e.Detail[rec.texts[from:rec.detailEnds[i]]] = rec.texts[rec.detailEnds[i]:rec.detailEnds[i+1]]
		from = rec.detailEnds[i+1]
	}
	return e
}
