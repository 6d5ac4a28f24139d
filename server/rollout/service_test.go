package rollout

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlstate"
)

// drawSample returns the totals of attempts on one version, whose times to the first event vary around a typical one.
func drawSample(rng *rand.Rand, isNew bool, requests int, failing float64, typical time.Duration) control.RolloutSample {
	s := control.RolloutSample{Service: "pool", Order: 1, Route: "drafts", New: isNew, Requests: requests}
	for range requests {
		if rng.Float64() < failing {
			s.Failures++
			continue
		}
		s.First = withTimes(s.First, math.Log(float64(typical.Milliseconds()))+rng.NormFloat64())
	}
	return s
}

// withTimes returns the times with further logarithms.
func withTimes(t control.LogTimes, logs ...float64) control.LogTimes {
	for _, log := range logs {
		t.Count++
		t.Sum += log
		t.Squares += log * log
	}
	return t
}

// assessSamples returns the assessment of totals that arrive at once.
func assessSamples(samples ...control.RolloutSample) assessment {
	c := NewServiceController(nil, nil, 0.15, nil, nil)
	c.PutRolloutSamples("e1", "boot", samples)
	e := newServiceEvidence()
	e.update(c.sumSamples(control.ServiceRollout{Service: "pool", Order: 1, To: "v2"}))
	return e.assess()
}

// Guards against a bad version that is kept, and a good one that is rolled back.
func TestAssessSamples(t *testing.T) {
	cases := []struct {
		desc                  string
		oldFails, newFails    float64
		oldFirst, newFirst    time.Duration
		requests, wantAtLeast int // wantAtLeast: how many of 100 draws must be found bad
		wantAtMost            int
	}{
		{"as good as the old version", 0.01, 0.01, 100 * time.Millisecond, 100 * time.Millisecond, 60, 0, 2},
		{"fails half of its requests", 0.01, 0.5, 100 * time.Millisecond, 100 * time.Millisecond, 20, 98, 100},
		{"fails two of five requests", 0.01, 0.4, 100 * time.Millisecond, 100 * time.Millisecond, 25, 95, 100},
		{"both fail now and then", 0.14, 0.14, 40 * time.Millisecond, 40 * time.Millisecond, 60, 0, 2},
		{"eight times slower", 0.01, 0.01, 100 * time.Millisecond, 800 * time.Millisecond, 20, 95, 100},
		{"a little slower", 0.01, 0.01, 100 * time.Millisecond, 130 * time.Millisecond, 60, 0, 2},
		{"two answers are no evidence", 0.01, 0.01, 100 * time.Millisecond, 800 * time.Millisecond, 2, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			rng, bad := rand.New(rand.NewPCG(1, 2)), 0
			for range 100 {
				if assessSamples(drawSample(rng, false, 300, c.oldFails, c.oldFirst), drawSample(rng, true, c.requests, c.newFails, c.newFirst)).fault != "" {
					bad++
				}
			}
			if bad < c.wantAtLeast || bad > c.wantAtMost {
				t.Errorf("found bad in %d of 100 draws, want %d to %d", bad, c.wantAtLeast, c.wantAtMost)
			}
		})
	}
}

// Guards against a version that is kept because too few requests say anything, or because nothing says that it is bad.
func TestVersionIsAcceptedOnEvidenceOnly(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	old := drawSample(rng, false, 300, 0.01, 100*time.Millisecond)
	good := drawSample(rng, true, 30, 0, 100*time.Millisecond)
	if v := assessSamples(old, good); !v.accepted {
		t.Errorf("30 good answers are not enough: %+v", v)
	}
	for desc, fresh := range map[string]control.RolloutSample{
		"nine answers without a fault": drawSample(rng, true, 9, 0, 100*time.Millisecond),
		"answers without times":        {Service: "pool", Order: 1, Route: "drafts", New: true, Requests: 30},
		"a sixth of the answers fails": {Service: "pool", Order: 1, Route: "drafts", New: true, Requests: 30, Failures: 5, First: good.First},
	} {
		if v := assessSamples(old, fresh); v.accepted || v.missing == "" && v.fault == "" {
			t.Errorf("%s are accepted: %+v", desc, v)
		}
	}
	streams := old
	streams.Interval = withTimes(streams.Interval, 3.5, 3.5, 3.6, 3.5)
	if v := assessSamples(streams, good); v.accepted {
		t.Errorf("a version whose streams are unknown is accepted: %+v", v)
	}
}

// Guards against a slow version that is kept because its streams begin in time, and against one that is taken for slow because
// more of its requests run on the larger model.
func TestStreamsThatAreSlowBetweenEvents(t *testing.T) {
	sample := func(model string, isNew bool, n int, first, interval float64) control.RolloutSample {
		s := control.RolloutSample{Service: "pool", Order: 1, Route: "drafts", Model: model, New: isNew, Requests: n, Prompt: n}
		for i := range n {
			spread := 0.3 * float64(i%3-1)
			s.First, s.Interval = withTimes(s.First, math.Log(first)+spread), withTimes(s.Interval, math.Log(interval)+spread)
		}
		return s
	}
	old := []control.RolloutSample{sample("small", false, 200, 100, 33), sample("large", false, 50, 400, 330)}
	if v := assessSamples(append(old, sample("small", true, 6, 110, 130))...); v.fault == "" {
		t.Errorf("a version with four times the pauses is not found after six streams: %+v", v)
	}
	if v := assessSamples(append(old, sample("small", true, 4, 100, 33), sample("large", true, 30, 400, 330))...); v.fault != "" || !v.accepted {
		t.Errorf("a version with more requests on the larger model: %+v", v)
	}
}

// Guards against a hanging version that is kept because its callers leave before an answer or a failure.
func TestOverdueAnswers(t *testing.T) {
	old := control.RolloutSample{Service: "pool", Order: 1, Route: "drafts", Requests: 300, Prompt: 298, Overdue: 2}
	fresh := control.RolloutSample{Service: "pool", Order: 1, Route: "drafts", New: true, Requests: 6, Prompt: 6, Overdue: 6}
	if v := assessSamples(old, fresh); v.fault == "" {
		t.Errorf("a version with half of its answers overdue is not found: %+v", v)
	}
}

// Guards against a version that is kept beside failing backend servers of the old version, which hide that it fails on each of
// its own.
func TestFailingBackendServersDontHideABadVersion(t *testing.T) {
	c := NewServiceController(nil, nil, 0.15, nil, slog.New(slog.DiscardHandler))
	var outcomes []control.Outcome
	for i := range 18 {
		failures := 0
		if i < 11 {
			failures = 30
		}
		outcomes = append(outcomes, control.Outcome{Service: "pool", SoftwareVersion: "v1", BackendServer: strconv.Itoa(i), Requests: 100, Failures: failures})
	}
	c.AddOutcomes(time.Now(), "e1", outcomes)
	assess := func(old, fresh control.RolloutSample) assessment {
		c.PutRolloutSamples("e1", "boot", []control.RolloutSample{old, fresh})
		e := newServiceEvidence()
		e.update(c.sumSamples(control.ServiceRollout{Service: "pool", Order: 1, To: "v2"}))
		return e.assess()
	}
	// A version that fails in 3 of 10 requests has its 50th bad answer after about 167.
	const requests = 100
	rng, found, lost := rand.New(rand.NewPCG(5, 6)), 0, 0
	for range 100 {
		old := drawSample(rng, false, 1500, 0.18, 100*time.Millisecond)
		if assess(old, drawSample(rng, true, requests, 0.3, 100*time.Millisecond)).fault != "" {
			found++
		}
		if assess(old, drawSample(rng, true, requests, 0.01, 100*time.Millisecond)).fault != "" {
			lost++
		}
	}
	if found < 98 || lost > 2 {
		t.Errorf("of 100 draws a failing version was found in %d and a sound one rolled back in %d; want at least 98 and at most 2", found, lost)
	}
}

// Guards against a version that turns bad late, under all requests, and is hidden by its earlier good answers.
func TestVersionThatTurnsBadLate(t *testing.T) {
	for desc, change := range map[string]func(*control.RolloutSample){
		"fails": func(s *control.RolloutSample) { s.Failures += 12 },
		"slow":  func(s *control.RolloutSample) { s.Interval = withTimes(s.Interval, slices.Repeat([]float64{5}, 24)...) },
	} {
		old := control.RolloutSample{Service: "pool", Order: 1, Route: "drafts", Requests: 2000, Failures: 20, Interval: withTimes(control.LogTimes{}, slices.Repeat([]float64{3.4, 3.6}, 500)...)}
		fresh := control.RolloutSample{Service: "pool", Order: 1, Route: "drafts", New: true, Requests: 200, Failures: 2, Interval: withTimes(control.LogTimes{}, slices.Repeat([]float64{3.4, 3.6}, 100)...)}
		e := newServiceEvidence()
		totals := map[sampleKey]control.RolloutSample{{stratum{route: "drafts"}, false}: old, {stratum{route: "drafts"}, true}: fresh}
		e.update(totals, 1)
		if v := e.assess(); v.fault != "" {
			t.Fatalf("the good answers: %+v", v)
		}
		fresh.Requests += 24
		change(&fresh)
		totals[sampleKey{stratum{route: "drafts"}, true}] = fresh
		e.update(totals, 1)
		if v := e.assess(); v.fault == "" {
			t.Errorf("a version that turned bad (%s) is not found: %+v", desc, v)
		}
	}
}

// Guards against evidence that is lost with the control leader, or counted twice when a heartbeat is sent again: entry
// instances report totals.
func TestNewLeaderHasTheWholeEvidence(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	report := []control.RolloutSample{drawSample(rng, false, 300, 0.01, 100*time.Millisecond), drawSample(rng, true, 25, 0.5, 100*time.Millisecond)}
	began := time.Now()
	for _, resent := range []int{1, 5} {
		state := &recordedProgress{control.ServiceRollout{Service: "pool", Order: 1, To: "v2", Seconds: 20, State: control.RolloutRunning, Percent: 4, ElapsedMillis: 9000}}
		c := NewServiceController(state, state, 0.15, state, slog.New(slog.DiscardHandler))
		for range resent {
			c.PutRolloutSamples("e1", "boot", report)
		}
		c.advance(t.Context(), state.progress, newServiceTrial(state.progress, began), began.Add(time.Second))
		if state.progress.State != control.RolloutRolledBack {
			t.Errorf("the leader after one heartbeat: %+v", state.progress)
		}
		if totals, _ := c.sumSamples(state.progress); totals[sampleKey{stratum{route: "drafts"}, true}].Requests != 25 {
			t.Errorf("after %d heartbeats: %+v", resent, totals)
		}
	}
}

// progressAt plays a roll-out from its order on, and returns its progress after a time. assess returns what is known of the new
// version at each time.
func progressAt(r control.ServiceRollout, exposure float64, after time.Duration, assess func(at time.Duration) assessment) control.ServiceRollout {
	for at := time.Duration(0); at <= after && r.State == control.RolloutRunning; at += 50 * time.Millisecond {
		r = nextProgress(r, exposure, at, assess(at))
	}
	return r
}

// Guards against a roll-out that ends too late, too early, or moves sessions in its first half.
func TestNextProgress(t *testing.T) {
	always := func(a assessment) func(time.Duration) assessment {
		return func(time.Duration) assessment { return a }
	}
	accepted, undecided := assessment{served: 50, accepted: true}, assessment{served: 9, missing: "anything"}
	badFrom := func(from time.Duration) func(time.Duration) assessment {
		return func(at time.Duration) assessment {
			if at >= from {
				return assessment{fault: "fails"}
			}
			return accepted
		}
	}
	r := control.ServiceRollout{Service: "pool", To: "v2", Seconds: 20, State: control.RolloutRunning}
	cases := []struct {
		desc     string
		exposure float64
		elapsed  time.Duration
		assess   func(time.Duration) assessment
		state    control.RolloutState
		percent  int
		settled  bool
	}{
		{"sends no requests to the new version before all instances have the open sessions", 0.15, 1500 * time.Millisecond, always(undecided), control.RolloutRunning, 0, false},
		{"starts with a small share", 0.15, 1600 * time.Millisecond, always(undecided), control.RolloutRunning, control.InitialRolloutPercent, false},
		{"keeps sessions in its first half", 0.15, 9900 * time.Millisecond, always(accepted), control.RolloutRunning, control.InitialRolloutPercent, false},
		{"moves sessions after that", 0.15, 10 * time.Second, always(accepted), control.RolloutRunning, control.InitialRolloutPercent, true},
		{"sends all requests before the end", 0.15, 17800 * time.Millisecond, always(accepted), control.RolloutRunning, 100, true},
		{"succeeds before the time limit", 0.15, 18800 * time.Millisecond, always(accepted), control.RolloutDone, 100, true},
		{"sends all requests later if less may be exposed", 0.12, 18300 * time.Millisecond, always(accepted), control.RolloutRunning, control.InitialRolloutPercent, true},
		{"and sends them all then", 0.12, 18500 * time.Millisecond, always(accepted), control.RolloutRunning, 100, true},
		{"and succeeds no later than after 96 percent of the time limit", 0.12, 19200 * time.Millisecond, always(accepted), control.RolloutDone, 100, true},
		{"gives an undecided version a larger share when sessions may move", 0.15, 10 * time.Second, always(undecided), control.RolloutRunning, control.ExtendedRolloutPercent, true},
		{"does not succeed without a decision", 0.15, 18800 * time.Millisecond, always(undecided), control.RolloutRunning, control.ExtendedRolloutPercent, true},
		{"is rolled back at the time limit without a decision", 0.15, 20 * time.Second, always(undecided), control.RolloutRolledBack, control.ExtendedRolloutPercent, true},
		{"is rolled back at once when it is bad", 0.15, 3 * time.Second, badFrom(3 * time.Second), control.RolloutRolledBack, control.InitialRolloutPercent, false},
		{"is rolled back when it turns bad late", 0.15, 18500 * time.Millisecond, badFrom(18500 * time.Millisecond), control.RolloutRolledBack, 100, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			next := progressAt(r, c.exposure, c.elapsed, c.assess)
			if next.State != c.state || next.Percent != c.percent || next.Settled != c.settled {
				t.Errorf("state %s, %d%%, settled %t; want %s, %d%%, %t", next.State, next.Percent, next.Settled, c.state, c.percent, c.settled)
			}
		})
	}
}

// Guards against a schedule that exposes more requests than allowed, which is a share of all requests in the time limit
// plus 30. A version that turns bad is stopped at all instances 2 s after its failures are noticed. A version that
// shows no fault at all, such as one that is bad only under a higher load, must stay below the bound too.
func TestScheduleBoundsExposure(t *testing.T) {
	const reaction, never = 2 * time.Second, time.Hour
	for _, c := range []struct {
		limit    time.Duration
		exposure float64
		burst    bool
	}{
		{16 * time.Second, 0.15, false}, {24 * time.Second, 0.15, false}, {time.Minute, 0.15, false}, {24 * time.Second, 0.12, false},
		{time.Minute, 0.3, false}, {16900 * time.Millisecond, 0.15, false}, {22800 * time.Millisecond, 0.15, true}, {time.Minute, 0.15, true},
	} {
		limit, perSecond := c.limit, 33.0
		if c.burst {
			perSecond = 150 // with a few requests, the 30 that are allowed besides would hide the difference
		}
		r := control.ServiceRollout{Seconds: int(limit / time.Second), Millis: int(limit % time.Second / time.Millisecond), State: control.RolloutRunning}
		badFroms := []time.Duration{never}
		for at := time.Duration(0); at < limit; at += time.Second / 2 {
			badFroms = append(badFroms, at)
		}
		for _, badFrom := range badFroms {
			// A version that is accepted late has the larger share before that.
			for _, acceptedFrom := range []time.Duration{limit / 3, 3 * limit / 4, 19 * limit / 20} {
				r := r
				exposed, all, failures, stoppedAt := 0.0, 0.0, 0.0, never
				const step = 50 * time.Millisecond
				for at := time.Duration(0); at < limit; at += step {
					rate := perSecond
					if c.burst && at > limit/3 && at < 2*limit/3+limit/6 {
						rate *= 1.8
					}
					progress := nextProgress(r, c.exposure, at, assessment{served: 50, newShare: exposed / max(all, 1), accepted: at >= acceptedFrom, missing: "anything"})
					state := r.State
					r = progress
					r.State = state
					percent := progress.Percent
					if progress.State == control.RolloutDone {
						percent = 100
					}
					all += rate * step.Seconds()
					sent := rate * step.Seconds() * float64(percent) / 100
					if at < stoppedAt {
						exposed += sent
					}
					if at >= badFrom {
						failures += sent * 0.4
					}
					if failures >= 4 && stoppedAt == never {
						stoppedAt = at + reaction
					}
				}
				if bound := c.exposure*all + 30; exposed > bound {
					t.Errorf("limit %s, share %.2f, bad from %s on, accepted from %s on: %.0f requests were exposed, at most %.0f are allowed",
						limit, c.exposure, badFrom, acceptedFrom, exposed, bound)
				}
			}
		}
	}
}

// Guards against a version that is bad on one route only, which the counts over all routes hide.
func TestEachRouteIsAssessed(t *testing.T) {
	sample := func(isNew bool, route string, requests, failures int) control.RolloutSample {
		return control.RolloutSample{Service: "pool", Order: 1, New: isNew, Route: route, Requests: requests, Failures: failures}
	}
	samples := []control.RolloutSample{sample(false, "drafts", 400, 2), sample(false, "tags", 400, 2), sample(true, "drafts", 100, 0)}
	if v := assessSamples(samples...); v.fault != "" {
		t.Fatalf("a version without failures is %q", v.fault)
	}
	v := assessSamples(append(samples, sample(true, "tags", 8, 5))...)
	if v.served != 108 || v.fault == "" {
		t.Fatalf("served %d, fault %q; want 108 and a fault", v.served, v.fault)
	}
	// A route with few requests beside one with many good ones: over both routes there is never enough evidence.
	e := newServiceEvidence()
	totals := map[sampleKey]control.RolloutSample{}
	for range 3 {
		for _, s := range []control.RolloutSample{sample(false, "drafts", 2400, 12), sample(false, "tags", 100, 1), sample(true, "drafts", 100, 0), sample(true, "tags", 4, 2)} {
			key := sampleKey{stratum{route: s.Route}, s.New}
			total := totals[key]
			total.Requests += s.Requests
			total.Failures += s.Failures
			totals[key] = total
		}
		e.update(totals, 1)
	}
	if fault := e.assess().fault; fault != "fails more often than the old version on route tags" {
		t.Fatalf("fault %q; want one on the route", fault)
	}
}

// recordedProgress is a State, Proposer and Recorder that keeps the last progress.
type recordedProgress struct{ progress control.ServiceRollout }

func (r *recordedProgress) View() *control.View {
	return &control.View{Rollouts: &control.Rollouts{Services: map[string]control.ServiceRollout{r.progress.Service: r.progress}}}
}

func (r *recordedProgress) ProposeCommand(_ context.Context, c *controlstate.Command) (any, error) {
	r.progress = c.AdvanceServiceRollout.Progress
	return nil, nil
}

func (r *recordedProgress) Record(event.Event) {}

// Guards against a good version that is late because the control group was unavailable: the time without a leader
// counts, as reported by entry instances, and a new leader waits for its first counts before it takes a version for
// unused.
func TestTimeWithoutALeaderCounts(t *testing.T) {
	began := time.Now()
	state := &recordedProgress{control.ServiceRollout{Service: "pool", Order: 2, To: "v2", Seconds: 20, State: control.RolloutRunning, ElapsedMillis: 1000}}
	c := NewServiceController(state, state, 0.15, state, slog.New(slog.DiscardHandler))
	trial := newServiceTrial(state.progress, began)
	at := func(after time.Duration) control.ServiceRollout {
		c.advance(t.Context(), state.progress, trial, began.Add(after))
		return state.progress
	}
	c.AddRolloutTimes(began, []control.RolloutTime{{Service: "pool", Order: 1, Elapsed: time.Hour}, {Service: "pool", Order: 2, Elapsed: 9 * time.Second}})
	c.AddRolloutTimes(began, []control.RolloutTime{{Service: "pool", Order: 2, Elapsed: 8 * time.Second}})
	if p := at(time.Second); p.ElapsedMillis != 10_000 || !p.Settled {
		t.Errorf("progress after 10 s: %+v", p)
	}
	c.AddRolloutTimes(began.Add(time.Second), []control.RolloutTime{{Service: "pool", Order: 2, Elapsed: 20 * time.Second}})
	if p := at(1200 * time.Millisecond); p.State != control.RolloutRunning || p.Percent == 100 {
		t.Errorf("progress of a new leader without counts at the time limit: %+v", p)
	}
	rng := rand.New(rand.NewPCG(9, 10))
	old, fresh := drawSample(rng, false, 300, 0, 100*time.Millisecond), drawSample(rng, true, 30, 0, 100*time.Millisecond)
	old.Order, fresh.Order = 2, 2
	c.PutRolloutSamples("e1", "boot", []control.RolloutSample{old, fresh})
	if p := at(2 * time.Second); p.State != control.RolloutDone {
		t.Errorf("progress with counts after the time limit: %+v", p)
	}
}

// Guards against a version without any request whose roll-out never ends.
func TestUnusedVersionIsRolledBack(t *testing.T) {
	began := time.Now()
	state := &recordedProgress{control.ServiceRollout{Service: "pool", Order: 2, To: "v2", Seconds: 20, State: control.RolloutRunning}}
	c := NewServiceController(state, state, 0.15, state, slog.New(slog.DiscardHandler))
	c.advance(t.Context(), state.progress, newServiceTrial(state.progress, began), began.Add(21*time.Second))
	if state.progress.State != control.RolloutRolledBack {
		t.Errorf("progress after the time limit: %+v", state.progress)
	}
}
