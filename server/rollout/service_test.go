package rollout

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlstate"
)

// sampleOf returns a sample of requests whose times to the first byte vary around a typical one.
func sampleOf(rng *rand.Rand, requests int, failing float64, typical time.Duration) *sample {
	s := &sample{}
	for range requests {
		o := control.Outcome{Requests: 1}
		if rng.Float64() < failing {
			o.Failures = 1
		} else {
			log := math.Log(float64(typical.Milliseconds())) + rng.NormFloat64()
			o.Timed, o.LogFirstSum, o.LogFirstSquares = 1, log, log*log
		}
		s.add(&o)
	}
	return s
}

// Guards against a bad version that is kept, and a good one that is rolled back.
func TestCompareSamples(t *testing.T) {
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
				if _, found := compareSamples(sampleOf(rng, 300, c.oldFails, c.oldFirst), sampleOf(rng, c.requests, c.newFails, c.newFirst)); found {
					bad++
				}
			}
			if bad < c.wantAtLeast || bad > c.wantAtMost {
				t.Errorf("found bad in %d of 100 draws, want %d to %d", bad, c.wantAtLeast, c.wantAtMost)
			}
		})
	}
}

// Guards against a roll-out that ends too late, too early, or moves sessions in its first half.
func TestNextProgress(t *testing.T) {
	r := control.ServiceRollout{Service: "pool", To: "v2", Seconds: 20, State: control.RolloutRunning}
	cases := []struct {
		desc    string
		elapsed time.Duration
		served  int
		reason  string
		state   control.RolloutState
		percent int
		settled bool
	}{
		{"sends no requests to the new version before all instances have the open sessions", 1500 * time.Millisecond, 0, "", control.RolloutRunning, 0, false},
		{"starts with a small share", 1600 * time.Millisecond, 0, "", control.RolloutRunning, control.InitialRolloutPercent, false},
		{"keeps sessions in its first half", 9900 * time.Millisecond, 50, "", control.RolloutRunning, control.InitialRolloutPercent, false},
		{"moves sessions after that", 10 * time.Second, 50, "", control.RolloutRunning, control.InitialRolloutPercent, true},
		{"sends all requests before the end", 17800 * time.Millisecond, 50, "", control.RolloutRunning, 100, true},
		{"succeeds before the time limit", 18800 * time.Millisecond, 50, "", control.RolloutDone, 100, true},
		{"does not succeed without requests", 18800 * time.Millisecond, 0, "", control.RolloutRunning, 100, true},
		{"is rolled back at the time limit without requests", 20 * time.Second, 0, "", control.RolloutRolledBack, 100, true},
		{"is rolled back at once when it is bad", 3 * time.Second, 9, "fails", control.RolloutRolledBack, control.InitialRolloutPercent, false},
		{"is rolled back when it turns bad late", 19 * time.Second, 90, "fails", control.RolloutRolledBack, 100, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			next := nextProgress(r, scheduleFor(0.15), c.elapsed, c.served, c.reason)
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
	const perSecond, reaction, never = 33.0, 2 * time.Second, time.Hour
	if tight := scheduleFor(0.12); tight.allFromPercent != 92 || tight.doneFromPercent != 96 {
		t.Errorf("the schedule for 12%% is %+v", tight)
	}
	for _, c := range []struct {
		limit    time.Duration
		exposure float64
	}{{16 * time.Second, 0.15}, {24 * time.Second, 0.15}, {time.Minute, 0.15}, {24 * time.Second, 0.12}, {time.Minute, 0.3}} {
		limit, sched := c.limit, scheduleFor(c.exposure)
		r := control.ServiceRollout{Seconds: int(limit / time.Second), State: control.RolloutRunning}
		badFroms := []time.Duration{never}
		for at := time.Duration(0); at < limit; at += time.Second / 2 {
			badFroms = append(badFroms, at)
		}
		for _, badFrom := range badFroms {
			exposed, failures, stoppedAt := 0.0, 0.0, never
			const step = 50 * time.Millisecond
			for at := time.Duration(0); at < limit; at += step {
				progress := nextProgress(r, sched, at, 50, "")
				percent := progress.Percent
				if progress.State == control.RolloutDone {
					percent = 100
				}
				sent := perSecond * step.Seconds() * float64(percent) / 100
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
			if bound := c.exposure*perSecond*limit.Seconds() + 30; exposed > bound {
				t.Errorf("limit %s, share %.2f, bad from %s on: %.0f requests were exposed, at most %.0f are allowed", limit, c.exposure, badFrom, exposed, bound)
			}
		}
	}
}

// Guards against a version that is bad on one route only, which the counts over all routes hide.
func TestFindRegressionComparesEachRoute(t *testing.T) {
	c := NewServiceController(nil, nil, 0.15, nil, nil)
	add := func(version, route string, requests, failures int) {
		c.AddOutcomes(time.Now(), "e1", []control.Outcome{{
			Service: "pool", SoftwareVersion: version, Class: route, Requests: requests, Failures: failures,
		}})
	}
	add("v1", "drafts", 400, 2)
	add("v1", "tags", 400, 2)
	add("v2", "drafts", 100, 0)
	if _, reason := c.findRegression(control.ServiceRollout{Service: "pool", To: "v2"}); reason != "" {
		t.Fatalf("a version without failures is %q", reason)
	}
	add("v2", "tags", 8, 5)
	served, reason := c.findRegression(control.ServiceRollout{Service: "pool", To: "v2"})
	if served != 108 || reason == "" {
		t.Fatalf("served %d, reason %q; want 108 and a reason", served, reason)
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
	trial := &serviceTrial{number: 2, elapsedBefore: time.Second, seenAt: began}
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
	if p := at(1200 * time.Millisecond); p.State != control.RolloutRunning || p.Percent != 100 {
		t.Errorf("progress of a new leader without counts at the time limit: %+v", p)
	}
	c.AddOutcomes(began, "e1", []control.Outcome{{Service: "pool", SoftwareVersion: "v2", Requests: 9}})
	if p := at(2 * time.Second); p.State != control.RolloutDone {
		t.Errorf("progress with counts after the time limit: %+v", p)
	}
}

// Guards against a version without any request whose roll-out never ends.
func TestUnusedVersionIsRolledBack(t *testing.T) {
	began := time.Now()
	state := &recordedProgress{control.ServiceRollout{Service: "pool", Order: 2, To: "v2", Seconds: 20, State: control.RolloutRunning}}
	c := NewServiceController(state, state, 0.15, state, slog.New(slog.DiscardHandler))
	c.advance(t.Context(), state.progress, &serviceTrial{number: 2, seenAt: began}, began.Add(21*time.Second))
	if state.progress.State != control.RolloutRolledBack {
		t.Errorf("progress after the time limit: %+v", state.progress)
	}
}
