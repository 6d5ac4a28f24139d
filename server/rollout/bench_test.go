package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/rollout"
)

var benchPlan = rollout.Plan{Alpha: 0.001, Beta: 0.01, Difference: 0.05}

// BenchmarkSequentialFalseAlarm reports the share of 2,000 runs of 20,000 requests in which a version with the failure
// rate of the baseline raised an alarm. The baseline is known exactly.
func BenchmarkSequentialFalseAlarm(b *testing.B) {
	for _, base := range []float64{0.01, 0.05, 0.10, 0.30} {
		b.Run(fmt.Sprint(base), func(b *testing.B) {
			for range b.N {
				rng := rand.New(rand.NewPCG(11, uint64(base*1000)))
				alarms := 0
				for range 2000 {
					if _, bad := requestsUntilAlarm(rng, base, base, 20000); bad {
						alarms++
					}
				}
				b.ReportMetric(float64(alarms)/2000, "alarms/run")
			}
		})
	}
}

// BenchmarkSequentialDetection reports the mean number of requests on a bad version until the alarm, from the accepting
// bound (a version that turns bad while serving) over 2,000 runs.
func BenchmarkSequentialDetection(b *testing.B) {
	for _, base := range []float64{0.01, 0.05, 0.10} {
		for _, more := range []float64{0.05, 0.10, 0.30, 0.90} {
			b.Run(fmt.Sprintf("base=%g/more=%g", base, more), func(b *testing.B) {
				for range b.N {
					rng := rand.New(rand.NewPCG(12, uint64(base*1000+more)))
					sum, missed := 0, 0
					for range 2000 {
						n, bad := requestsUntilAlarm(rng, base, base+more, 100000)
						sum += n
						if !bad {
							missed++
						}
					}
					b.ReportMetric(float64(sum)/2000, "requests")
					b.ReportMetric(float64(missed)/2000, "missed/run")
				}
			})
		}
	}
}

func requestsUntilAlarm(rng *rand.Rand, base, rate float64, limit int) (requests int, bad bool) {
	ratio, _ := benchPlan.Bounds()
	for n := range limit {
		failed := 0
		if rng.Float64() < rate {
			failed = 1
		}
		var verdict rollout.Verdict
		if ratio, verdict = benchPlan.Clamp(ratio + benchPlan.LogRatioIncrement(1, failed, base)); verdict == rollout.Bad {
			return n + 1, true
		}
	}
	return limit, false
}

// BenchmarkExposure reports the mean and largest number of requests that a bad version served until it was rolled back,
// over 40 seeds at 160 requests/s in 4 workspaces. The old version fails in 1 of 100 requests.
func BenchmarkExposure(b *testing.B) {
	for name, bad := range map[string]traffic{
		"fails+99%":     {fail: 1},
		"fails+50%":     {fail: 0.51, slow: 0.04, rated: 0.5, low: 0.08},
		"fails+20%":     {fail: 0.21, slow: 0.04, rated: 0.5, low: 0.08},
		"fails+10%":     {fail: 0.11, slow: 0.04, rated: 0.5, low: 0.08},
		"fails+5%":      {fail: 0.06, slow: 0.04, rated: 0.5, low: 0.08},
		"slow+56%":      {fail: 0.01, slow: 0.60, rated: 0.5, low: 0.08},
		"low-rated+42%": {fail: 0.01, slow: 0.04, rated: 0.5, low: 0.50},
	} {
		for _, from := range []int{1, 50, 100} {
			b.Run(fmt.Sprintf("%s/from=%d%%", name, from), func(b *testing.B) {
				for range b.N {
					b.ReportMetric(0, "ns/op")
					benchmarkExposure(b, bad, from)
				}
			})
		}
	}
}

func benchmarkExposure(b *testing.B, bad traffic, from int) {
	requests, failures, worst, missed := 0, 0, 0, 0
	const seeds = 40
	for seed := range uint64(seeds) {
		s := newSite(seed, 40)
		if !s.runUntil(time.Hour, func() bool { return s.progress().Percent >= from || s.progress().State == control.RolloutRolledBack }) {
			b.Fatal("the step was not reached")
		}
		s.requestsOnNew, s.failuresOnNew = 0, 0
		s.behaviour = newVersionBehaves(bad)
		if !s.runUntil(2*time.Hour, s.stateIs(control.RolloutRolledBack)) {
			missed++
		}
		requests += s.requestsOnNew
		failures += s.failuresOnNew
		worst = max(worst, s.requestsOnNew)
	}
	b.ReportMetric(float64(requests)/seeds, "requests")
	b.ReportMetric(float64(failures)/seeds, "failed")
	b.ReportMetric(float64(worst), "worst")
	b.ReportMetric(float64(missed), "missed")
}

// BenchmarkFalseRollback reports how many of 300 roll-outs of a good version were rolled back, by disturbance.
func BenchmarkFalseRollback(b *testing.B) {
	for name, disturb := range map[string]func(s *site){
		"quiet": func(*site) {},
		"fails-10%": func(s *site) {
			s.behaviour = func(bool, string) traffic { return traffic{fail: 0.10, slow: 0.04, rated: 0.5, low: 0.08} }
		},
		"one-workspace-fails-40%": func(s *site) {
			s.behaviour = func(_ bool, w string) traffic {
				t := goodTraffic
				if w == "north" {
					t.fail = 0.4
				}
				return t
			}
		},
		"site-faults-each-7-min": func(s *site) {
			begin := s.now
			s.behaviour = func(bool, string) traffic {
				t := goodTraffic
				if int(s.now.Sub(begin).Minutes())%7 == 3 {
					t.fail = 0.5
				}
				return t
			}
		},
		"ratings-inverted-5-of-10-min": func(s *site) {
			begin := s.now
			s.score = func(ok bool) float64 {
				if int(s.now.Sub(begin).Minutes())%10 >= 5 {
					return invertedScore(ok)
				}
				return accurateScore(ok)
			}
		},
		"ratings-constant": func(s *site) { s.score = constantScore },
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(0, "ns/op")
				early, last, done := 0, 0, 0
				for seed := range uint64(300) {
					s := newSite(1000+seed, 40)
					disturb(s)
					s.runUntil(90*time.Minute, func() bool { return s.progress().State != control.RolloutRunning && s.progress().Model != "" })
					switch p := s.progress(); {
					case p.State == control.RolloutDone:
						done++
					case p.State == control.RolloutRolledBack && p.Step == 4:
						last++
					case p.State == control.RolloutRolledBack:
						early++
					}
				}
				b.ReportMetric(float64(early), "rolled-back")
				b.ReportMetric(float64(last), "rolled-back-at-last-step")
				b.ReportMetric(float64(done), "done")
			}
		})
	}
}
