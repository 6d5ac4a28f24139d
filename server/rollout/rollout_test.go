package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlstate"
	"clementinetray/server/controlsvc"
	"clementinetray/server/rollout"
)

var (
	_ controlsvc.LeaderController = (*rollout.Controller)(nil)
	_ controlsvc.OutcomeSink      = (*rollout.Controller)(nil)
)

// Guards against a rollback that waits for the next tick, which would send requests to a bad version for up to 1 s
// more.
func TestRunActsOnAnAlarmAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, 40)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.control.Run(ctx, 1)
		time.Sleep(1500 * time.Millisecond)
		ref := catalogue.VersionRef{Model: "claims", Version: "v2"}
		s.control.AddOutcomes(time.Now(), "e1", []control.Outcome{
			{VersionRef: catalogue.VersionRef{Model: "claims", Version: "v1"}, Requests: 990},
			{VersionRef: ref, Requests: 20, Failures: 20},
		})
		synctest.Wait()
		if state := s.progress().State; state != control.RolloutRolledBack {
			t.Errorf("state is %q before the next tick, want %q", state, control.RolloutRolledBack)
		}
	})
}

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

// fakeState is the replicated state: it accepts a roll-out command only if it is based on the current progress.
type fakeState struct {
	view *control.View
	down bool
	// loseAnswer makes the next command return an error although it is applied.
	loseAnswer bool
}

func (g *fakeState) View() *control.View { return g.view }

func (g *fakeState) progress() control.RolloutProgress { return g.view.Rollouts.Progress["claims"] }

func (g *fakeState) set(p control.RolloutProgress) {
	g.view = &control.View{Catalogue: g.view.Catalogue, Rollouts: &control.Rollouts{
		Progress: map[string]control.RolloutProgress{p.Model: p},
	}}
}

func (g *fakeState) ProposeCommand(_ context.Context, c *controlstate.Command) (any, error) {
	if g.down {
		return nil, errors.New("no majority")
	}
	current, ok := g.view.Rollouts.Progress["claims"]
	if ok != (c.SetRollout.Expect != nil) || ok && current != *c.SetRollout.Expect {
		return controlstate.ChangeResult{Conflict: &control.Conflict{}}, nil
	}
	g.set(c.SetRollout.Progress)
	if g.loseAnswer {
		g.loseAnswer = false
		return nil, errors.New("the answer was lost")
	}
	return controlstate.ChangeResult{}, nil
}

// instances is the number of entry instances, each of which sends its own heartbeat every second.
const instances = 6

// traffic holds the probabilities of a failure, a slow first token, a rating and a low answer quality for a request.
type traffic struct {
	fail, slow, rated, low float64
	// givenUp is the probability that the caller leaves before the first token, slowPace that a stream is slow between tokens.
	givenUp, slowPace float64
}

// site simulates the outcomes of a fleet second by second.
type site struct {
	fakeState
	control *rollout.Controller
	rng     *rand.Rand
	now     time.Time
	events  []event.Event
	// perSecond is the number of requests per second in each workspace.
	perSecond  int
	workspaces []string
	// behaviour returns the traffic of the old or new version in a workspace.
	behaviour func(isNew bool, workspace string) traffic
	// score maps a true answer quality (good or not) to the score of the rating service; nil: no service.
	score func(good bool) float64
	// delay is how late ratings arrive; heartbeatRatings holds the ratings of each heartbeat.
	delay            time.Duration
	heartbeatRatings [][]control.Outcome
	// requestsOnNew and failuresOnNew count requests and failures on the new version.
	requestsOnNew, failuresOnNew int
}

func (s *site) Record(e event.Event) { s.events = append(s.events, e) }

func newSite(seed uint64, perSecond int) *site {
	s := &site{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.Date(2026, 3, 2, 22, 0, 0, 0, time.UTC), perSecond: perSecond,
		workspaces: []string{"north", "south", "east", "west"},
		behaviour:  func(bool, string) traffic { return traffic{fail: 0.01, slow: 0.04, rated: 0.5, low: 0.08} },
		score:      accurateScore,
	}
	s.view = &control.View{
		Catalogue: &catalogue.Catalogue{
			Models:   []catalogue.Model{{Name: "claims", Versions: []catalogue.Version{{Name: "v1"}, {Name: "v2"}}}},
			Rollouts: []catalogue.Rollout{{Model: "claims", From: "v1", To: "v2"}},
		},
		Rollouts: &control.Rollouts{Progress: map[string]control.RolloutProgress{}},
	}
	s.startLeader()
	return s
}

func accurateScore(good bool) float64 {
	if good {
		return 0.9
	}
	return 0.2
}

func invertedScore(good bool) float64 { return 1 - accurateScore(good) }

func constantScore(bool) float64 { return 0.1 }

// startLeader replaces the controller, as after a change of leader.
func (s *site) startLeader() {
	s.control = rollout.New(s, s, nil, s, slog.New(slog.DiscardHandler))
}

func (s *site) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.runSecond()
	}
}

// runUntil runs up to limit until the condition holds and reports whether it did.
func (s *site) runUntil(limit time.Duration, done func() bool) bool {
	for end := s.now.Add(limit); s.now.Before(end); {
		if done() {
			return true
		}
		s.runSecond()
	}
	return done()
}

func (s *site) stateIs(want control.RolloutState) func() bool {
	return func() bool { return s.progress().State == want }
}

// runSecond makes each entry instance serve its part of the requests of one second and send its heartbeat.
func (s *site) runSecond() {
	s.now = s.now.Add(time.Second)
	percent := s.progress().Percent
	for i := range instances {
		s.control.AddOutcomes(s.now, fmt.Sprint("e", i), s.delayRatings(s.serve(i, percent)))
	}
	s.control.Tick(context.Background(), s.now)
}

func (s *site) serve(instance, percent int) (outcomes []control.Outcome) {
	for _, w := range s.workspaces {
		counts := [2]control.Outcome{}
		for n := range s.perSecond {
			if n%instances != instance {
				continue
			}
			version := 0
			if s.rng.Float64()*100 < float64(percent) {
				version = 1
			}
			s.request(&counts[version], s.behaviour(version == 1, w))
		}
		s.requestsOnNew += counts[1].Requests + counts[1].Overdue
		s.failuresOnNew += counts[1].Failures
		for i, name := range []string{"v1", "v2"} {
			counts[i].VersionRef = catalogue.VersionRef{Model: "claims", Version: name}
			counts[i].Workspace = w
			if counts[i].Requests+counts[i].Overdue > 0 {
				outcomes = append(outcomes, splitRatings(counts[i])...)
			}
		}
	}
	return outcomes
}

// delayRatings holds ratings back and returns the other outcomes with the ratings that are due.
func (s *site) delayRatings(outcomes []control.Outcome) (out []control.Outcome) {
	if s.delay == 0 {
		return outcomes
	}
	var ratings []control.Outcome
	for _, o := range outcomes {
		if o.Requests > 0 || o.Overdue > 0 {
			out = append(out, o)
		} else {
			ratings = append(ratings, o)
		}
	}
	s.heartbeatRatings = append(s.heartbeatRatings, ratings)
	if due := len(s.heartbeatRatings) - int(s.delay.Seconds())*instances; due > 0 {
		out = append(out, s.heartbeatRatings[due-1]...)
	}
	return out
}

// splitRatings puts the ratings into an outcome of their own, as entry instances do: they arrive after the request.
func splitRatings(o control.Outcome) []control.Outcome {
	ratings := control.Outcome{VersionRef: o.VersionRef, Workspace: o.Workspace, Ratings: o.Ratings, RatingSum: o.RatingSum, LowRatings: o.LowRatings}
	o.Ratings, o.RatingSum, o.LowRatings = 0, 0, 0
	return []control.Outcome{o, ratings}
}

func (s *site) request(o *control.Outcome, t traffic) {
	if t.givenUp > 0 && s.rng.Float64() < t.givenUp {
		o.Overdue++
		return
	}
	o.Paced++
	if t.slowPace > 0 && s.rng.Float64() < t.slowPace {
		o.SlowPaced++
	}
	o.Requests++
	if s.rng.Float64() < t.fail {
		o.Failures++
		return
	}
	if s.rng.Float64() < t.slow {
		o.Slow++
	}
	good := s.rng.Float64() >= t.low
	if s.score == nil || s.rng.Float64() >= t.rated {
		return
	}
	score := s.score(good)
	o.Ratings++
	o.RatingSum += score
	if score < 0.7 {
		o.LowRatings++
	}
}

var goodTraffic = traffic{fail: 0.01, slow: 0.04, rated: 0.5, low: 0.08}

func newVersionBehaves(t traffic) func(bool, string) traffic {
	return func(isNew bool, _ string) traffic {
		if isNew {
			return t
		}
		return goodTraffic
	}
}

var _ = Describe("Controller", func() {
	It("takes a good version through each step, with the step time and the minimum number of requests at each", func() {
		s := newSite(1, 40)
		Expect(s.runUntil(time.Hour, s.stateIs(control.RolloutDone))).To(BeTrue())
		var steps []string
		for _, e := range s.events {
			steps = append(steps, e.Detail["percent"])
		}
		Expect(steps).To(Equal([]string{"1", "1", "5", "25", "50", "100", "100"}))
		Expect(s.now.Sub(time.Date(2026, 3, 2, 22, 0, 0, 0, time.UTC))).To(BeNumerically(">=", 25*time.Minute))
	})

	It("does not leave a step before the minimum number of requests", func() {
		s := newSite(1, 2)
		s.run(20 * time.Minute)
		Expect(s.progress().Percent).To(Equal(1))
		Expect(s.requestsOnNew).To(BeNumerically("<", 200))
	})

	DescribeTable("rolls a bad version back without an operator",
		func(bad traffic, limit time.Duration, exposed int) {
			s := newSite(2, 40)
			s.behaviour = newVersionBehaves(bad)
			Expect(s.runUntil(limit, s.stateIs(control.RolloutRolledBack))).To(BeTrue())
			Expect(s.progress().Percent).To(BeZero())
			Expect(s.requestsOnNew).To(BeNumerically("<", exposed))
			s.run(10 * time.Minute)
			Expect(s.progress().State).To(Equal(control.RolloutRolledBack))
		},
		Entry("fails always", traffic{fail: 1}, time.Minute, 40),
		Entry("fails 20% more", traffic{fail: 0.21, slow: 0.04, rated: 0.5, low: 0.08}, 5*time.Minute, 250),
		Entry("fails 5% more", traffic{fail: 0.06, slow: 0.04, rated: 0.5, low: 0.08}, 40*time.Minute, 4000),
		Entry("is slow", traffic{fail: 0.01, slow: 0.6, rated: 0.5, low: 0.08}, 5*time.Minute, 250),
		Entry("is slow between tokens", traffic{fail: 0.01, slow: 0.04, rated: 0.5, low: 0.08, slowPace: 0.6}, 5*time.Minute, 250),
		Entry("hangs until its callers leave", traffic{fail: 0.01, slow: 0.04, rated: 0.5, low: 0.08, givenUp: 0.6}, 5*time.Minute, 250),
		Entry("answers badly", traffic{fail: 0.01, slow: 0.04, rated: 0.5, low: 0.5}, 10*time.Minute, 500),
	)

	It("finds a version that turns bad at the last step, where the old one has no requests to compare with", func() {
		for seed := range uint64(5) {
			s := newSite(seed, 40)
			Expect(s.runUntil(time.Hour, func() bool { return s.progress().Percent == 100 })).To(BeTrue())
			s.run(time.Minute)
			s.behaviour = newVersionBehaves(traffic{fail: 0.9})
			s.requestsOnNew = 0
			Expect(s.runUntil(time.Minute, s.stateIs(control.RolloutRolledBack))).To(BeTrue())
			Expect(s.requestsOnNew).To(BeNumerically("<", 700))
		}
	})

	It("rolls back at once when the only step has no requests to compare with", func() {
		s := newSite(1, 40)
		s.view.Catalogue.Rollouts[0].Steps = []int{100}
		s.run(10 * time.Second)
		s.behaviour = newVersionBehaves(traffic{fail: 0.9})
		Expect(s.runUntil(time.Minute, s.stateIs(control.RolloutRolledBack))).To(BeTrue())
	})

	It("finds a version that turns bad slowly, at whatever step it is", func() {
		s := newSite(3, 40)
		begin := s.now
		s.behaviour = func(isNew bool, _ string) traffic {
			t := goodTraffic
			if isNew {
				t.fail += min(0.5, s.now.Sub(begin).Hours()/4)
			}
			return t
		}
		Expect(s.runUntil(2*time.Hour, s.stateIs(control.RolloutRolledBack))).To(BeTrue())
		Expect(s.progress().Step).To(BeNumerically(">", 0))
	})

	It("finds a version that is bad for one workspace of many only", func() {
		s := newSite(4, 4)
		s.workspaces = nil
		for i := range 40 {
			s.workspaces = append(s.workspaces, string(rune('A'+i)))
		}
		s.behaviour = func(isNew bool, w string) traffic {
			t := goodTraffic
			if isNew && w == "C" {
				t.fail = 0.9
			}
			return t
		}
		Expect(s.runUntil(2*time.Hour, s.stateIs(control.RolloutRolledBack))).To(BeTrue())
		Expect(s.progress().Reason).To(ContainSubstring(`workspace "C"`))
	})

	It("does not roll back for a workspace that fails on both versions", func() {
		s := newSite(5, 20)
		s.behaviour = func(_ bool, w string) traffic {
			t := goodTraffic
			if w == "north" {
				t.fail = 0.4
			}
			return t
		}
		Expect(s.runUntil(2*time.Hour, s.stateIs(control.RolloutDone))).To(BeTrue())
	})

	It("does not roll back for a fault that hits both versions", func() {
		for seed := range uint64(10) {
			s := newSite(seed, 20)
			begin := s.now
			s.behaviour = func(bool, string) traffic {
				t := goodTraffic
				if minute := int(s.now.Sub(begin).Minutes()); minute%7 == 3 {
					t.fail = 0.5
				}
				return t
			}
			s.runUntil(45*time.Minute, s.stateIs(control.RolloutRolledBack))
			Expect(s.progress().State).To(Equal(control.RolloutRunning), "seed %d: step %d after %s: %s", seed, s.progress().Step, s.now.Sub(begin), s.progress().Reason)
		}
	})

	It("goes on when an availability zone is lost half-way and requests of both versions fail for 10 s", func() {
		for seed := range uint64(10) {
			s := newSite(seed, 40)
			Expect(s.runUntil(time.Hour, func() bool { return s.progress().Percent == 25 })).To(BeTrue())
			s.run(time.Minute)
			s.behaviour = func(bool, string) traffic { return traffic{fail: 0.4, slow: 0.3, rated: 0.5, low: 0.08} }
			s.run(10 * time.Second)
			s.behaviour = func(bool, string) traffic { return goodTraffic }
			Expect(s.runUntil(2*time.Hour, s.stateIs(control.RolloutDone))).To(BeTrue(), "seed %d: %s", seed, s.progress().Reason)
		}
	})

	It("waits for ratings that arrive 3 minutes late and judges by them", func() {
		s := newSite(14, 40)
		s.delay = 3 * time.Minute
		Expect(s.runUntil(time.Hour, func() bool { return s.progress().Percent == 5 })).To(BeTrue())
		bad := goodTraffic
		bad.low = 0.6
		s.behaviour = newVersionBehaves(bad)
		Expect(s.runUntil(15*time.Minute, s.stateIs(control.RolloutRolledBack))).To(BeTrue())
		Expect(s.progress().Reason).To(ContainSubstring("ratings"))
	})

	DescribeTable("never rolls back on ratings alone when the rating service fails",
		func(fault func(s *site), finishes bool) {
			for seed := range uint64(8) {
				s := newSite(seed, 40)
				s.run(time.Duration(2+seed*3) * time.Minute)
				step := s.progress().Step
				fault(s)
				s.run(10 * time.Minute)
				Expect(s.progress().State).NotTo(Equal(control.RolloutRolledBack), "seed %d: %s", seed, s.progress().Reason)
				if !finishes && step < 4 {
					Expect(s.progress().Step).To(BeNumerically("<=", step+1), "seed %d", seed)
				}
				s.score = accurateScore
				Expect(s.runUntil(time.Hour, s.stateIs(control.RolloutDone))).To(BeTrue(), "seed %d: %s", seed, s.progress().Reason)
			}
		},
		Entry("dead", func(s *site) { s.score = nil }, false),
		Entry("inverted", func(s *site) { s.score = invertedScore }, true),
		Entry("constant", func(s *site) { s.score = constantScore }, true),
	)

	It("does not roll back when the ratings are inverted repeatedly, also at the last step", func() {
		for seed := range uint64(8) {
			s := newSite(1000+seed, 40)
			begin := s.now
			s.score = func(ok bool) float64 {
				if int(s.now.Sub(begin).Minutes())%10 >= 5 {
					return invertedScore(ok)
				}
				return accurateScore(ok)
			}
			Expect(s.runUntil(4*time.Hour, s.stateIs(control.RolloutDone))).To(BeTrue(), "seed %d: %s", seed, s.progress().Reason)
		}
	})

	It("stays at a step while ratings are late and goes on when they come", func() {
		s := newSite(6, 40)
		s.run(5 * time.Second)
		Expect(s.progress().Rated).To(BeTrue())
		s.score = nil
		s.run(10 * time.Minute)
		Expect(s.progress().Step).To(Equal(0))
		Expect(s.progress().Reason).To(Equal("ratings are late or missing"))
		s.score = accurateScore
		s.run(2 * time.Minute)
		Expect(s.progress().Step).To(Equal(1))
	})

	It("goes back from the last step to compare ratings that fell there, and rolls back then", func() {
		s := newSite(7, 40)
		Expect(s.runUntil(time.Hour, func() bool { return s.progress().Percent == 100 })).To(BeTrue())
		bad := goodTraffic
		bad.low = 0.6
		s.behaviour = newVersionBehaves(bad)
		Expect(s.runUntil(10*time.Minute, s.stateIs(control.RolloutRolledBack))).To(BeTrue())
		Expect(s.progress().Reason).To(ContainSubstring("ratings"))
	})

	It("continues from the recorded step when the leader changes at each step", func() {
		s := newSite(8, 40)
		for step := range 5 {
			Expect(s.runUntil(20*time.Minute, func() bool { return s.progress().Step == step && s.progress().Model != "" })).To(BeTrue())
			before := s.progress()
			s.run(100 * time.Second)
			s.startLeader()
			s.run(100 * time.Second)
			after := s.progress()
			after.Rated, before.Rated = false, false
			Expect(after).To(Equal(before))
		}
		Expect(s.runUntil(20*time.Minute, s.stateIs(control.RolloutDone))).To(BeTrue())
	})

	DescribeTable("repeats a step or a roll-back that could not be recorded",
		func(fault func(s *site)) {
			s := newSite(9, 40)
			s.run(time.Minute)
			s.behaviour = newVersionBehaves(traffic{fail: 0.9})
			fault(s)
			s.run(2 * time.Minute)
			s.down = false
			s.run(3 * time.Second)
			Expect(s.progress().State).To(Equal(control.RolloutRolledBack))
		},
		Entry("no majority", func(s *site) { s.down = true }),
		Entry("the answer is lost", func(s *site) { s.loseAnswer = true }),
	)

	DescribeTable("respects the operator",
		func(state control.RolloutState) {
			s := newSite(10, 40)
			s.run(6 * time.Minute)
			p := s.progress()
			p.State, p.Since = state, s.now
			s.set(p)
			s.run(time.Hour)
			Expect(s.progress()).To(Equal(p))
		},
		Entry("hold", control.RolloutHeld),
		Entry("roll back", control.RolloutRolledBack),
		Entry("done", control.RolloutDone),
	)

	It("goes on after hold and resume, and rolls a bad version back while held", func() {
		s := newSite(11, 40)
		s.run(6 * time.Minute)
		p := s.progress()
		p.State, p.Since = control.RolloutHeld, s.now
		s.set(p)
		s.run(time.Minute)
		p.State, p.Since = control.RolloutRunning, s.now
		s.set(p)
		Expect(s.runUntil(10*time.Minute, func() bool { return s.progress().Step > p.Step })).To(BeTrue())
		p = s.progress()
		p.State = control.RolloutHeld
		s.set(p)
		s.behaviour = newVersionBehaves(traffic{fail: 0.9})
		Expect(s.runUntil(10*time.Minute, s.stateIs(control.RolloutRolledBack))).To(BeTrue())
	})

	DescribeTable("follows a catalogue that changes during a roll-out",
		func(change func(c *catalogue.Catalogue), state control.RolloutState, percent int) {
			s := newSite(12, 40)
			Expect(s.runUntil(time.Hour, func() bool { return s.progress().Percent == 25 })).To(BeTrue())
			change(s.view.Catalogue)
			s.run(5 * time.Second)
			Expect(s.progress().State).To(Equal(state))
			Expect(s.progress().Percent).To(Equal(percent))
		},
		Entry("new version withdrawn", func(c *catalogue.Catalogue) { c.Models[0].Versions[1].Withdrawn = true }, control.RolloutRolledBack, 0),
		Entry("old version withdrawn", func(c *catalogue.Catalogue) { c.Models[0].Versions[0].Withdrawn = true }, control.RolloutDone, 100),
		Entry("steps edited: the share never grows", func(c *catalogue.Catalogue) { c.Rollouts[0].Steps = []int{10, 20, 60, 100} }, control.RolloutRunning, 20),
		Entry("fewer steps", func(c *catalogue.Catalogue) { c.Rollouts[0].Steps = []int{50, 100} }, control.RolloutRunning, 50),
		Entry("roll-out removed", func(c *catalogue.Catalogue) { c.Rollouts = nil }, control.RolloutRunning, 25),
	)

	It("counts the crash of a backend server once, so that a request that crashes servers causes no rollback", func() {
		s := newSite(13, 40)
		s.run(time.Minute)
		for range 2 {
			for i := range 20 {
				s.control.AddOutcomes(s.now, "e1", []control.Outcome{{
					VersionRef: catalogue.VersionRef{Model: "claims", Version: "v2"}, BackendServer: "s1",
					Boot: string(rune('1' + i/10)), Requests: 1, Failures: 1, Crashed: 1,
				}})
			}
		}
		s.run(10 * time.Second)
		Expect(s.progress().State).To(Equal(control.RolloutRunning))
	})
})
