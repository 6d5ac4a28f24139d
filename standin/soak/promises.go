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

// Promise is something that must hold whatever fails.
type Promise string

// Promises to callers, operators and backend servers.
const (
	WholeAnswer Promise = "a success is the whole answer to the caller's own request"
	RunsOnce    Promise = "a non-idempotent request runs at most once"
	TrueRefusal Promise = "a request that was refused as not run does not run"
	ZoneEmpty   Promise = "a zone that was taken out gets no new work once the view's age limit has passed"
	KeyRevoked  Promise = "a withdrawn key works nowhere once the view's age limit has passed"
	NoRevert    Promise = "a read after a confirmation is not older than what was confirmed"
	BilledOnce  Promise = "each answered completion is billed once"
	StopsCutNo  Promise = "a planned stop cuts no answer that has begun"
	NoOwnExit   Promise = "no process ends by itself"
	Recovers    Promise = "all serve again once the faults are over"
)

// Violation is a promise that did not hold.
type Violation struct {
	Promise Promise
	Detail  string
}

// String returns the violation on one line.
func (v Violation) String() string { return string(v.Promise) + ": " + v.Detail }

// Span is a time in which something held, such as a zone being out of service. End is zero while it still holds.
type Span struct {
	Begin, End time.Time
	// Name is the zone or the workspace; Instance the number of the instance.
	Name     string
	Instance int
}

func (s Span) holds(at time.Time) bool {
	return !at.Before(s.Begin) && (s.End.IsZero() || at.Before(s.End))
}

// History is what a soak saw.
type History struct {
	Outcomes []Outcome
	Runs     map[string][]Arrival
	// ZonesOut and KeysOut begin with the confirmation of the order and end when the opposite order was sent.
	ZonesOut, KeysOut []Span
	// Faults are the unplanned faults with the time that they need to be over.
	Faults []Span
	// Stops are the planned stops, from the signal to the end of the process.
	Stops []Span
	// Killed are the instances that lost their process without a planned stop.
	Killed map[int]bool
	// Billed is the number of bills of the callers' workspace; BillsKnown is false when they could not be read.
	Billed     int
	BillsKnown bool
	// Found are violations that were seen while the soak ran.
	Found []Violation
}

const (
	// viewLimit is the setting entry.max_view_age of the site: an instance that is cut off serves no longer than that.
	viewLimit = 6 * time.Second
	// arrivalSlack is the time between the decision of an instance and the arrival of the request at a backend server.
	arrivalSlack = 500 * time.Millisecond
	// faultShadow is how long a fault may still show in what callers see.
	faultShadow = viewLimit
)

// Violations checks every promise against the history.
func (h *History) Violations() []Violation {
	found := append([]Violation(nil), h.Found...)
	add := func(p Promise, o *Outcome, format string, args ...any) {
		found = append(found, Violation{p, fmt.Sprintf("request=%s kind=%s instance=%d status=%d began=%s: ", o.ID, o.Kind, o.Instance, o.Status,
			o.Began.Format(time.StampMilli)) + fmt.Sprintf(format, args...)})
	}
	for i := range h.Outcomes {
		o := &h.Outcomes[i]
		ran := h.Runs[o.ID]
		h.checkAnswer(o, add)
		if o.Kind == Once && len(ran) > 1 {
			add(RunsOnce, o, "it ran %d times", len(ran))
		}
		if o.NotRun && len(ran) > 0 {
			add(TrueRefusal, o, "it ran in %s", ran[0].Zone)
		}
		h.checkOrders(o, ran, add)
		if h.cutByStop(o, ran) {
			add(StopsCutNo, o, "ended=%t body=%d bytes after it had run", o.Ended, len(o.Body))
		}
	}
	return append(found, h.checkBills()...)
}

func (h *History) checkAnswer(o *Outcome, add func(Promise, *Outcome, string, ...any)) {
	switch {
	case o.Status != 200:
	case o.Ended && !o.whole():
		add(WholeAnswer, o, "body %.200q", o.Body)
	case o.Kind == Stream && !strings.HasPrefix(wholeStream(o.ID), o.Body):
		add(WholeAnswer, o, "cut body %.200q", o.Body)
	}
}

// checkOrders judges a request by when its caller sent it: an instance that decides after the view's age limit knows the order
// or refuses.
func (h *History) checkOrders(o *Outcome, ran []Arrival, add func(Promise, *Outcome, string, ...any)) {
	for _, run := range ran {
		for _, out := range h.ZonesOut {
			if run.Zone == out.Name && o.Began.After(out.Begin.Add(viewLimit+arrivalSlack)) && out.holds(run.At) {
				add(ZoneEmpty, o, "it ran in %s %s after the confirmation", out.Name, run.At.Sub(out.Begin))
			}
		}
	}
	for _, out := range h.KeysOut {
		if o.Guest && o.Began.After(out.Begin.Add(viewLimit+arrivalSlack)) && out.holds(o.End) && (len(ran) > 0 || o.Status == 200) {
			add(KeyRevoked, o, "it was served %s after the confirmation", o.Began.Sub(out.Begin))
		}
	}
}

// cutByStop reports whether a planned stop alone cost the caller an answer on which a backend server worked.
func (h *History) cutByStop(o *Outcome, ran []Arrival) bool {
	begun := len(ran) > 0 || o.Kind == Chat && o.Status != 0
	if !begun || o.NotRun || o.Status == 200 && o.Ended {
		return false
	}
	for _, f := range h.Faults {
		if f.Begin.Before(o.End) && (f.End.IsZero() || f.End.Add(faultShadow).After(o.Began)) {
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

// checkBills counts completions: those that were answered by instances that never lost their process must be billed, and
// none twice.
func (h *History) checkBills() []Violation {
	if !h.BillsKnown {
		return nil
	}
	sent, owed := 0, 0
	for _, o := range h.Outcomes {
		if o.Kind != Chat || o.Guest {
			continue
		}
		sent++
		if o.Status == 200 && o.Ended && !h.Killed[o.Instance] {
			owed++
		}
	}
	if h.Billed > sent || h.Billed < owed {
		return []Violation{{BilledOnce, fmt.Sprintf("%d bills for %d requests, of which %d were answered by instances that kept their process", h.Billed, sent, owed)}}
	}
	return nil
}

// Ends counts the requests by how they ended for their callers.
func (h *History) Ends() map[string]int {
	ends := map[string]int{}
	for i := range h.Outcomes {
		ends[h.Outcomes[i].end()]++
	}
	return ends
}

func (o *Outcome) end() string {
	switch {
	case o.Status == 0:
		return "no answer"
	case !o.Ended:
		return "cut"
	case o.NotRun:
		return "refused as not run"
	}
	return strconv.Itoa(o.Status)
}
