package ratings_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/server/blackboard"
	"clementinetray/server/ratings"
)

func TestRatings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ratings")
}

var site = &catalogue.Catalogue{
	Models: []catalogue.Model{
		{Name: "small", Versions: []catalogue.Version{{Name: "v1"}, {Name: "v2"}}},
		{Name: "large", Versions: []catalogue.Version{{Name: "v1"}}},
	},
	Classes: []catalogue.Class{{Name: "triage", Models: []string{"small", "large"}}},
}

func ref(model, version string) catalogue.VersionRef {
	return catalogue.VersionRef{Model: model, Version: version}
}

func quality(e *ratings.Estimator, v catalogue.VersionRef) blackboard.Quality {
	return e.Snapshot().ByClass[blackboard.ClassVersion{Class: "triage", VersionRef: v}]
}

// scoreSource reports scores of answers of small@v1 and large@v1 alternately, each 1 with the probability in means,
// else 0.
type scoreSource struct {
	*ratings.Estimator
	rng   *rand.Rand
	means map[catalogue.VersionRef]float64
}

func newScoreSource(seed uint64) *scoreSource {
	f := &scoreSource{Estimator: ratings.NewEstimator(), rng: rand.New(rand.NewPCG(seed, 3)), means: map[catalogue.VersionRef]float64{ref("small", "v1"): 0.75, ref("large", "v1"): 0.95}}
	f.SetCatalogue(site)
	return f
}

// report reports n scores for each version, after distort has changed them. It returns the index of the round in which
// the estimates were first frozen, or -1.
func (f *scoreSource) report(n int, distort func(score float64) float64) (frozenAfter int) {
	frozenAfter = -1
	for i := range n {
		for _, v := range []catalogue.VersionRef{ref("small", "v1"), ref("large", "v1")} {
			score := 0.0
			if f.rng.Float64() < f.means[v] {
				score = 1
			}
			f.Observe("triage", v, distort(score))
		}
		if frozenAfter < 0 && f.Snapshot().Frozen {
			frozenAfter = i
		}
	}
	return frozenAfter
}

func undistorted(score float64) float64 { return score }

func inverted(score float64) float64 { return 1 - score }

var _ = DescribeTable("probability that the quality is below a bound", func(alpha, beta, x, want float64) {
	Expect(ratings.ProbabilityBelow(blackboard.Quality{Alpha: alpha, Beta: beta}, x)).To(BeNumerically("~", want, 1e-9))
},
	Entry("guards against a wrong uniform case", 1.0, 1.0, 0.3, 0.3),
	Entry("guards against a wrong power case, x^9", 9.0, 1.0, 0.8, math.Pow(0.8, 9)),
	Entry("guards against a wrong tail case, 1-(1-x)^9", 1.0, 9.0, 0.05, 1-math.Pow(0.95, 9)),
	Entry("guards against lost symmetry at large weights", 360.0, 360.0, 0.5, 0.5),
	Entry("guards against a wrong polynomial case, 3x^2-2x^3", 2.0, 2.0, 0.25, 3*0.0625-2*0.015625),
	Entry("guards against NaN when one parameter has decayed to 0", 0.0, 700.0, 0.5, 1.0),
	Entry("guards against a bound of 0", 3.0, 3.0, 0.0, 0.0),
	Entry("guards against a bound of 1", 3.0, 3.0, 1.0, 1.0),
)

var _ = DescribeTable("estimates", func(check func(f *scoreSource)) { check(newScoreSource(1)) },
	Entry("guards against an estimate dominated by old ratings: weight after many ratings", func(f *scoreSource) {
		f.report(5000, undistorted)
		Expect(ratings.Weight(quality(f.Estimator, ref("small", "v1")))).To(BeNumerically("~", 1/(1-math.Exp2(-1.0/500)), 1))
	}),
	Entry("guards against a wrong half-life: 500 bad ratings halve the weight of the good ones", func(f *scoreSource) {
		for range 5000 {
			f.Observe("triage", ref("small", "v1"), 0.9)
			f.Observe("triage", ref("small", "v1"), 0.7)
		}
		before := quality(f.Estimator, ref("small", "v1"))
		for range 250 {
			f.Observe("triage", ref("small", "v1"), 0.8)
			f.Observe("triage", ref("small", "v1"), 0.6)
		}
		after := quality(f.Estimator, ref("small", "v1"))
		Expect(ratings.Mean(before) - ratings.Mean(after)).To(BeNumerically("~", 0.05, 0.002))
	}),
	Entry("guards against a new version that starts without a prior or with the full weight of its predecessor", func(f *scoreSource) {
		f.report(400, undistorted)
		e := ratings.NewEstimator()
		one := &catalogue.Catalogue{Classes: site.Classes, Models: []catalogue.Model{{Name: "small", Versions: site.Models[0].Versions[:1]}, site.Models[1]}}
		e.SetCatalogue(one)
		for i := range 400 {
			e.Observe("triage", ref("small", "v1"), float64(i%4+1)/4)
		}
		e.SetCatalogue(site)
		q := quality(e, ref("small", "v2"))
		Expect(ratings.Weight(q)).To(BeNumerically("~", ratings.PriorWeight, 1e-9))
		Expect(ratings.Mean(q)).To(BeNumerically("~", ratings.Mean(quality(e, ref("small", "v1"))), 1e-9))
	}),
	Entry("guards against a new version that starts from the preceding version instead of the roll-out's old version", func(*scoreSource) {
		c := &catalogue.Catalogue{Classes: []catalogue.Class{{Name: "triage", Models: []string{"small"}}}, Models: []catalogue.Model{{Name: "small", Versions: []catalogue.Version{{Name: "v1"}, {Name: "v2"}}}}}
		e := ratings.NewEstimator()
		e.SetCatalogue(c)
		for i := range 200 {
			e.Observe("triage", ref("small", "v1"), 0.8+0.001*float64(i%9))
			e.Observe("triage", ref("small", "v2"), 0.2+0.001*float64(i%9))
		}
		c.Models[0].Versions = append(c.Models[0].Versions, catalogue.Version{Name: "v3"})
		c.Rollouts = []catalogue.Rollout{{Model: "small", From: "v1", To: "v3"}}
		e.SetCatalogue(c)
		Expect(ratings.Mean(quality(e, ref("small", "v3")))).To(BeNumerically("~", 0.8, 0.01))
	}),
	Entry("guards against reported sums that count differently from single ratings", func(f *scoreSource) {
		single, sums := ratings.NewEstimator(), ratings.NewEstimator()
		for range 50 {
			for range 4 {
				single.Observe("triage", ref("small", "v1"), 0.75)
			}
			single.Observe("triage", ref("small", "v1"), 0.5)
			sums.ObserveSum("triage", ref("small", "v1"), 3, 4)
			sums.ObserveSum("triage", ref("small", "v1"), 0.5, 1)
		}
		sums.ObserveSum("triage", ref("small", "v1"), 5, 4)
		sums.ObserveSum("triage", ref("small", "v1"), 1, -1)
		Expect(quality(sums, ref("small", "v1"))).To(Equal(quality(single, ref("small", "v1"))))
	}),
	Entry("guards against estimates that are lost when the catalogue changes", func(f *scoreSource) {
		f.report(100, undistorted)
		before := quality(f.Estimator, ref("small", "v1"))
		f.SetCatalogue(site)
		Expect(quality(f.Estimator, ref("small", "v1"))).To(Equal(before))
	}),
	Entry("guards against scores outside 0 to 1", func(f *scoreSource) {
		before := quality(f.Estimator, ref("small", "v1"))
		for _, bad := range []float64{-1, 2, math.NaN(), math.Inf(1)} {
			f.Observe("triage", ref("small", "v1"), bad)
		}
		Expect(quality(f.Estimator, ref("small", "v1"))).To(Equal(before))
	}),
)

var _ = DescribeTable("failures of the rating service", func(check func(f *scoreSource)) {
	f := newScoreSource(2)
	f.report(400, undistorted)
	Expect(f.Snapshot().Frozen).To(BeFalse())
	check(f)
},
	Entry("guards against estimates that change while the service fails, and against a freeze that never ends", func(f *scoreSource) {
		for range 8 {
			f.RecordFailure()
		}
		before := quality(f.Estimator, ref("small", "v1"))
		Expect(f.Snapshot().Frozen).To(BeTrue())
		f.report(5, undistorted)
		Expect(quality(f.Estimator, ref("small", "v1"))).To(Equal(before))
		f.report(10, undistorted)
		Expect(f.Snapshot().Frozen).To(BeFalse(), "2 of the last 32 calls failed")
	}),
	Entry("guards against a freeze because of occasional failures", func(f *scoreSource) {
		for range 20 {
			f.RecordFailure()
			f.report(5, undistorted)
			Expect(f.Snapshot().Frozen).To(BeFalse())
		}
	}),
	Entry("guards against estimates that follow an inverted service", func(f *scoreSource) {
		before := f.Snapshot()
		Expect(f.report(60, inverted)).To(And(BeNumerically(">=", 0), BeNumerically("<", 25)))
		Expect(f.Snapshot().Frozen).To(BeTrue())
		for key, q := range before.ByClass {
			Expect(ratings.Mean(f.Snapshot().ByClass[key])).To(BeNumerically("~", ratings.Mean(q), 0.03))
		}
		f.report(100, undistorted)
		Expect(f.Snapshot().Frozen).To(BeFalse())
	}),
	Entry("guards against estimates that follow a service that scores all answers 1", func(f *scoreSource) {
		before := quality(f.Estimator, ref("small", "v1"))
		Expect(f.report(200, func(float64) float64 { return 1 })).To(And(BeNumerically(">=", 0), BeNumerically("<", 100)))
		Expect(ratings.Mean(quality(f.Estimator, ref("small", "v1")))).To(BeNumerically("~", ratings.Mean(before), 0.03))
		f.report(100, undistorted)
		Expect(f.Snapshot().Frozen).To(BeFalse())
	}),
	Entry("guards against estimates that keep the scores of a constant service from before its detection", func(*scoreSource) {
		f := newScoreSource(3)
		f.means[ref("small", "v1")] = 0.95
		f.report(400, undistorted)
		before := f.Snapshot()
		Expect(f.report(400, func(float64) float64 { return 1 })).To(BeNumerically(">", 20))
		for key, q := range before.ByClass {
			Expect(ratings.Mean(f.Snapshot().ByClass[key])).To(BeNumerically("~", ratings.Mean(q), 0.002))
		}
	}),
	Entry("guards against a freeze when two of five versions get worse at once", func(*scoreSource) {
		c := &catalogue.Catalogue{Classes: []catalogue.Class{{Name: "triage", Models: []string{"a", "b", "c", "d", "e"}}}}
		f := newScoreSource(4)
		f.means = map[catalogue.VersionRef]float64{}
		for _, name := range c.Classes[0].Models {
			c.Models = append(c.Models, catalogue.Model{Name: name, Versions: []catalogue.Version{{Name: "v1"}}})
		}
		f.SetCatalogue(c)
		rate := func(n int, mean func(name string) float64) {
			for range n {
				for _, name := range c.Classes[0].Models {
					f.Observe("triage", ref(name, "v1"), mean(name)+0.1*(f.rng.Float64()-0.5))
					Expect(f.Snapshot().Frozen).To(BeFalse())
				}
			}
		}
		rate(200, func(string) float64 { return 0.9 })
		rate(200, func(name string) float64 {
			if name < "c" {
				return 0.3
			}
			return 0.9
		})
	}),
	Entry("guards against estimates that follow a service that scores all answers 0.5", func(f *scoreSource) {
		Expect(f.report(200, func(float64) float64 { return 0.5 })).To(And(BeNumerically(">=", 0), BeNumerically("<", 60)))
	}),
	Entry("guards against a freeze when a version gets worse", func(f *scoreSource) {
		f.means[ref("large", "v1")] = 0.3
		Expect(f.report(200, undistorted)).To(Equal(-1))
		Expect(ratings.Mean(quality(f.Estimator, ref("large", "v1")))).To(BeNumerically("~", 0.3, 0.15))
	}),
	Entry("guards against a freeze when two versions get worse one after the other", func(f *scoreSource) {
		f.means[ref("large", "v1")] = 0.3
		Expect(f.report(300, undistorted)).To(Equal(-1))
		f.means[ref("small", "v1")] = 0.2
		Expect(f.report(300, undistorted)).To(Equal(-1))
	}),
)

var _ = It("does not freeze because of random variation: 20 correct services with 10,000 ratings each", func() {
	for seed := range uint64(20) {
		Expect(newScoreSource(seed+10).report(5000, undistorted)).To(Equal(-1), "seed %d", seed+10)
	}
})
