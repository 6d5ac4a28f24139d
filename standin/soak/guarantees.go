package soak

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("soak")

// Guarantee is a property that must hold under every fault.
type Guarantee string

// Guarantees to callers, operators and backend servers.
const (
	WholeAnswer      Guarantee = "a response with status 200 that ends regularly is the complete answer to its own request"
	RunsOnce         Guarantee = "a non-idempotent request runs at most once"
	RefusedNotRun    Guarantee = "a request that was refused as not run does not run"
	ZoneDrained      Guarantee = "a zone that was taken out gets no new requests once the view's age limit has passed"
	KeyRevoked       Guarantee = "a revoked key is accepted nowhere once the view's age limit has passed"
	NoLostChange     Guarantee = "no confirmed change is lost: a later read returns at least its revision"
	BilledOnce       Guarantee = "each answered completion is billed once"
	StopKeepsAnswers Guarantee = "a planned stop cuts no answer that has begun"
	NoUnexpectedExit Guarantee = "no process exits unexpectedly"
	LeavingObeyed    Guarantee = "an instance that passed on a leaving flag sends the backend server no requests that came later"
	SpareObeyed      Guarantee = "an instance that a backend server asked to be spared sends it at most two requests in that time"
	OwnRefusals      Guarantee = "an answer of the router's own bears no header of a backend server"
	AnsweredInTime   Guarantee = "a request is answered or broken off by its time limit"
	NoPanic          Guarantee = "no request ends with a panic"
	Recovers         Guarantee = "every instance serves again after the last fault"
)

// Violation is a guarantee that did not hold.
type Violation struct {
	Guarantee Guarantee
	Detail    string
}

// String returns the violation on one line.
func (v Violation) String() string { return string(v.Guarantee) + ": " + v.Detail }

// Span is the period of a fault, a stop or a change such as a zone being out of service. End is zero until it is over.
type Span struct {
	Begin, End time.Time
	// Name is the zone or workspace of a change, or the kind of a fault. Instance the index of the instance of a stop.
	Name     string
	Instance int
}

// contains reports whether at lies in the span. The end is exclusive.
func (s Span) contains(at time.Time) bool {
	return !at.Before(s.Begin) && (s.End.IsZero() || at.Before(s.End))
}

// History is everything that a soak recorded.
type History struct {
	Outcomes []Outcome
	Arrivals map[string][]Arrival
	// ZonesOut and KeysOut begin when the change was confirmed and end just before its reversal is sent.
	ZonesOut, KeysOut []Span
	// Faults are the unplanned faults, including the time to undo them and restart what they stopped.
	Faults []Span
	// Stops are the planned stops, from the signal to the exit of the process.
	Stops []Span
	// Refusals are the requests that backend servers refused, as they asked to be spared.
	Refusals []Refusal
	// Interrupted holds the periods in which an instance was killed, suspended, stopped or cut off.
	Interrupted []Span
	// Killed holds the indexes of the instances that a step killed.
	Killed map[int]bool
	// Billed is the number of bills of the callers' workspace; BillsKnown is false when they could not be read.
	Billed     int
	BillsKnown bool
	// ViolationsDuringRun holds the violations that were detected while the soak ran.
	ViolationsDuringRun []Violation
}

const (
	// viewLimit is the setting entry.max_view_age of the site. An instance that is cut off refuses requests after that time.
	viewLimit = 6 * time.Second
	// arrivalSlack allows for the time between an instance's routing decision and the request's arrival at a backend server.
	arrivalSlack = 500 * time.Millisecond
	// timeLimit is the time limit of all routes. timeLimitSlack allows for a busy machine; callers give up callTimeout after they began.
	timeLimit      = 10 * time.Second
	timeLimitSlack = time.Second
	// faultAftermath is how long after its end a fault may still affect callers.
	faultAftermath = viewLimit
)

// Violations checks the history against every guarantee and returns what did not hold.
func (h *History) Violations() []Violation {
	found := append([]Violation(nil), h.ViolationsDuringRun...)
	add := func(p Guarantee, o *Outcome, format string, args ...any) {
		found = append(found, Violation{p, fmt.Sprintf("request=%s kind=%s instance=%d status=%d began=%s: ", o.ID, o.Kind, o.Instance, o.Status,
			o.Began.Format(time.StampMilli)) + fmt.Sprintf(format, args...)})
	}
	for i := range h.Outcomes {
		o := &h.Outcomes[i]
		arrivals := h.Arrivals[o.ID]
		h.checkAnswer(o, add)
		if o.Refused && o.Marked {
			add(OwnRefusals, o, "it bears %s", serverMark)
		}
		if took := o.End.Sub(o.Began); took > timeLimit+timeLimitSlack && !h.hasFault(o.Began, o.End) {
			add(AnsweredInTime, o, "it took %s", took)
		}
		if o.Kind == NonIdempotent && len(arrivals) > 1 {
			add(RunsOnce, o, "it ran %d times", len(arrivals))
		}
		if o.NotRun && len(arrivals) > 0 {
			add(RefusedNotRun, o, "it ran in %s", arrivals[0].Zone)
		}
		h.checkChanges(o, arrivals, add)
		if h.cutByStop(o, arrivals) {
			add(StopKeepsAnswers, o, "ended=%t body=%d bytes although it had run", o.BodyRead, len(o.Body))
		}
	}
	found = append(found, h.checkLeaving()...)
	found = append(found, h.checkSpared()...)
	return append(found, h.checkBills()...)
}

const (
	// drainLimit is how much later than the end of an answer with a leaving flag a request must come to be covered by
	// LeavingObeyed.
	drainLimit = 2 * time.Second
	// spareSlack is how soon after a refusal SpareObeyed begins, and spareAllowance the number of requests that it allows.
	spareSlack     = 500 * time.Millisecond
	spareAllowance = 2
)

// interrupted reports whether an instance was killed, suspended, stopped or cut off between two times.
func (h *History) interrupted(instance int, from, to time.Time) bool {
	for _, s := range h.Interrupted {
		if s.Instance == instance && s.Begin.Before(to) && (s.End.IsZero() || s.End.After(from)) {
			return true
		}
	}
	return false
}

// checkLeaving checks the requests that came after their instance had passed on an answer with a leaving flag.
func (h *History) checkLeaving() []Violation {
	type period struct{ instance, server, leaving int }
	passedOn := map[period]time.Time{}
	eachArrival := func(visit func(p period, o *Outcome, a Arrival)) {
		for i := range h.Outcomes {
			o := &h.Outcomes[i]
			for _, a := range h.Arrivals[o.ID] {
				if a.Leaving > 0 {
					visit(period{o.Instance, a.Server, a.Leaving}, o, a)
				}
			}
		}
	}
	eachArrival(func(p period, o *Outcome, _ Arrival) {
		if first, ok := passedOn[p]; o.Status == 200 && (!ok || o.End.Before(first)) {
			passedOn[p] = o.End
		}
	})
	var found []Violation
	eachArrival(func(p period, o *Outcome, a Arrival) {
		first, ok := passedOn[p]
		if ok && o.Began.After(first.Add(drainLimit)) && !h.interrupted(p.instance, first, a.At) {
			found = append(found, Violation{LeavingObeyed, fmt.Sprintf("request=%s instance=%d server=%d: it came %s after the flag", o.ID, p.instance, p.server, o.Began.Sub(first))})
		}
	})
	return found
}

// checkSpared checks the requests that reached a backend server while it asked their instance to be spared.
func (h *History) checkSpared() []Violation {
	instanceOf := map[string]int{}
	for i := range h.Outcomes {
		instanceOf[h.Outcomes[i].ID] = h.Outcomes[i].Instance
	}
	var found []Violation
	for _, first := range h.Refusals {
		instance, ok := instanceOf[first.Request]
		if !ok || h.interrupted(instance, first.At, first.Until) {
			continue
		}
		count := 0
		for _, later := range h.Refusals {
			by, known := instanceOf[later.Request]
			if known && by == instance && later.Server == first.Server && later.At.After(first.At.Add(spareSlack)) && later.At.Before(first.Until) {
				count++
			}
		}
		if count > spareAllowance {
			found = append(found, Violation{SpareObeyed, fmt.Sprintf("request=%s instance=%d server=%d: %d requests came in the %s after it", first.Request, instance, first.Server, count, first.Until.Sub(first.At))})
		}
	}
	return found
}

// checkAnswer checks that a successful answer is whole, and that a stream that was cut is a prefix of the whole one.
func (h *History) checkAnswer(o *Outcome, add func(Guarantee, *Outcome, string, ...any)) {
	switch {
	case o.Status != 200:
	case o.BodyRead && !o.hasWholeBody():
		add(WholeAnswer, o, "body %.200q", o.Body)
	case o.Kind == Stream && !strings.HasPrefix(wholeStream(o.ID), o.Body):
		add(WholeAnswer, o, "cut body %.200q", o.Body)
	}
}

// checkChanges checks requests that were sent later than viewLimit after a change: by then an instance has received the change
// or refuses requests.
func (h *History) checkChanges(o *Outcome, arrivals []Arrival, add func(Guarantee, *Outcome, string, ...any)) {
	for _, arrival := range arrivals {
		for _, span := range h.ZonesOut {
			if arrival.Zone == span.Name && o.Began.After(span.Begin.Add(viewLimit+arrivalSlack)) && span.contains(arrival.At) {
				add(ZoneDrained, o, "it ran in %s %s after the confirmation", span.Name, arrival.At.Sub(span.Begin))
			}
		}
	}
	for _, out := range h.KeysOut {
		if o.GuestKey && o.Began.After(out.Begin.Add(viewLimit+arrivalSlack)) && out.contains(o.End) && (len(arrivals) > 0 || o.Status == 200) {
			add(KeyRevoked, o, "it was served %s after the confirmation", o.Began.Sub(out.Begin))
		}
	}
}

// hasFault reports whether a fault of a process or a connection fell into a period. What backend servers say or spoil is none.
func (h *History) hasFault(from, to time.Time) bool {
	for _, f := range h.Faults {
		said := f.Name == string(SpoilAnswers) || f.Name == string(SayLeaving) || f.Name == string(AskToSpare)
		if !said && f.Begin.Before(to) && (f.End.IsZero() || f.End.Add(faultAftermath).After(from)) {
			return true
		}
	}
	return false
}

// cutByStop reports whether the caller lost the answer to a request that had reached a backend server, during a planned stop
// of its instance and with no fault near it in time.
func (h *History) cutByStop(o *Outcome, arrivals []Arrival) bool {
	begun := len(arrivals) > 0 || o.Kind == Chat && o.Status != 0
	if !begun || o.NotRun || o.Status == 200 && o.BodyRead {
		return false
	}
	for _, f := range h.Faults {
		if f.Begin.Before(o.End) && (f.End.IsZero() || f.End.Add(faultAftermath).After(o.Began)) {
			return false
		}
	}
	for _, s := range h.Stops {
		if s.Instance == o.Instance && o.Began.Before(s.End) && o.End.After(s.Begin) {
			return true
		}
	}
	return false
}

// checkBills compares the number of bills with that of completions. Those that were answered by instances that were never
// killed must be billed, and there may be no more bills than completions that were sent.
func (h *History) checkBills() []Violation {
	if !h.BillsKnown {
		return nil
	}
	sent, mustBill := 0, 0
	for _, o := range h.Outcomes {
		if o.Kind != Chat || o.GuestKey {
			continue
		}
		sent++
		if o.Status == 200 && o.BodyRead && !h.Killed[o.Instance] {
			mustBill++
		}
	}
	if h.Billed > sent || h.Billed < mustBill {
		return []Violation{{BilledOnce, fmt.Sprintf("%d bills for %d requests, of which %d were answered by instances that were never killed", h.Billed, sent, mustBill)}}
	}
	return nil
}

// ResultCounts returns the number of requests by their result for the caller.
func (h *History) ResultCounts() map[string]int {
	counts := map[string]int{}
	for i := range h.Outcomes {
		counts[h.Outcomes[i].resultLabel()]++
	}
	return counts
}

// resultLabel returns the HTTP status, or in words why there was no regular answer.
func (o *Outcome) resultLabel() string {
	switch {
	case o.Status == 0:
		return "no answer"
	case !o.BodyRead:
		return "cut"
	case o.NotRun:
		return "refused as not run"
	}
	return strconv.Itoa(o.Status)
}
