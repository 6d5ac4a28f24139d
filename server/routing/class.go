package routing

import (
	"cmp"
	"slices"

	"clementinetray/api/catalogue"
	"clementinetray/api/problem"
	"clementinetray/server/blackboard"
	"clementinetray/server/ratings"
)

// DefaultExplorePercent is the percentage of a class's requests that may explore when the class sets no percentage.
const DefaultExplorePercent = 2.0

var (
	reasonCheapest  = []string{"cheapest version whose 10% lower bound of quality meets the target"}
	reasonBestMean  = []string{"no version surely meets the quality target; highest mean"}
	reasonExplore   = []string{"explored: a cheaper version that may meet the quality target"}
	reasonCascade   = []string{"next step of the cascade"}
	reasonSpillover = []string{"cheaper versions are full; cheapest version with room that meets the quality target"}
)

// candidate is a version that may serve a request of the class.
type candidate struct {
	ref     catalogue.VersionRef
	cost    int64
	quality blackboard.Quality
	// missProbability is the posterior probability (0 to 1) that the quality is below the class's target.
	missProbability float64
}

// stackCandidates is the number of candidates that fit into the buffer on the stack. Longer lists are allocated on the heap.
const stackCandidates = 16

func chooseForClass(s *Snapshot, r *Request) (VersionChoice, *problem.Problem) {
	class := s.View.Catalogue.FindClass(r.Class)
	if r.Workspace == nil || !slices.Contains(r.Workspace.Classes, r.Class) {
		return VersionChoice{}, problem.New(problem.NotAllowed, "the workspace may not use class "+r.Class).MarkNotRun()
	}
	if class == nil {
		return VersionChoice{}, problem.New(problem.UnknownModel, "class "+r.Class+" is not in the catalogue").MarkNotRun()
	}
	if r.CascadeFrom.Model == "" && r.Pinned.Model != "" {
		return choosePinned(s, r, func() (VersionChoice, *problem.Problem) { return chooseUnpinned(s, r, class) })
	}
	return chooseUnpinned(s, r, class)
}

func chooseUnpinned(s *Snapshot, r *Request, class *catalogue.Class) (VersionChoice, *problem.Problem) {
	var buffer [stackCandidates]candidate
	candidates := classCandidates(s, r, class, buffer[:0])
	if len(candidates) == 0 {
		return VersionChoice{}, problem.New(problem.NotAllowed, "the workspace may use no version of class "+class.Name).MarkNotRun()
	}
	if r.CascadeFrom.Model != "" {
		next, ok := nextCascadeStep(s, r, candidates)
		if !ok {
			return VersionChoice{}, problem.New(problem.NoBackendServer, "no version costs more than "+r.CascadeFrom.String()).MarkNotRun()
		}
		return next, nil
	}
	choice := chooseCandidate(s, r, class, candidates)
	reasons, before := choice.Reasons, choice.VersionRef
	applyRollout(s, r, &choice)
	if choice.VersionRef == before {
		choice.Reasons = reasons
	} else {
		choice.Reasons = []string{reasons[0], choice.Reasons[0]}
	}
	return choice, nil
}

// classCandidates lists the permitted versions of a class, cheapest first. The new version of a roll-out is not listed:
// applyRollout later replaces the old version by it, however few ratings it has, because the roll-out itself checks its
// quality. Versions without a backend server that takes new work are left out, unless no version has one.
func classCandidates(s *Snapshot, r *Request, class *catalogue.Class, candidates []candidate) []candidate {
	c := s.View.Catalogue
	for pass := 0; pass < 2 && len(candidates) == 0; pass++ {
		for _, name := range class.Models {
			m := c.FindModel(name)
			if m == nil {
				continue
			}
			rollout, hasRollout := rolloutOf(s.View, name)
			beforeRollout, _ := versionBeforeRollout(s, r, m)
			for i := range m.Versions {
				ref := catalogue.VersionRef{Model: name, Version: m.Versions[i].Name}
				if hasRollout && ref != beforeRollout && (ref.Version == rollout.To || ref.Version == rollout.From) {
					continue
				}
				if checkVersionPermission(s.View, r.Workspace, ref) != permitted || pass == 0 && !hasServer(s, ref) {
					continue
				}
				candidates = append(candidates, candidate{ref: ref, cost: m.Versions[i].CostPerMillionTokens})
			}
		}
	}
	for i := range candidates {
		candidates[i].quality = qualityOf(s, class.Name, candidates[i].ref)
		candidates[i].missProbability = ratings.ProbabilityBelow(candidates[i].quality, class.QualityTarget)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.missProbability, b.missProbability))
	})
	return candidates
}

func qualityOf(s *Snapshot, class string, ref catalogue.VersionRef) blackboard.Quality {
	if s.Ratings != nil {
		if q, ok := s.Ratings.ByClass[blackboard.ClassVersion{Class: class, VersionRef: ref}]; ok {
			return q
		}
	}
	return ratings.UniformPrior
}

// chooseCandidate returns the cheapest candidate that meets the quality target, or the one with the highest mean if
// none does. For a small share of the requests it returns a cheaper candidate instead, whose ratings are too few to
// show whether it meets the target.
func chooseCandidate(s *Snapshot, r *Request, class *catalogue.Class, candidates []candidate) VersionChoice {
	chosen, reasons := cheapestMeetingTarget(s, r, candidates)
	if chosen < 0 {
		chosen, reasons = highestMean(s, r, candidates), reasonBestMean
	}
	if i := candidateToExplore(s, r, class, candidates, chosen); i >= 0 {
		return VersionChoice{VersionRef: candidates[i].ref, Explore: true, Reasons: reasonExplore}
	}
	return VersionChoice{VersionRef: candidates[chosen].ref, Reasons: reasons}
}

// cheapestMeetingTarget returns the index of the cheapest candidate that meets the quality target and has room. If all that
// meet the target are full it returns the cheapest of them, and if none meets it -1.
func cheapestMeetingTarget(s *Snapshot, r *Request, candidates []candidate) (int, []string) {
	firstFull := -1
	for i := range candidates {
		if candidates[i].missProbability > ratings.MaxMissProbability {
			continue
		}
		if !spillsOver(s, r, candidates[i].ref) {
			if firstFull >= 0 {
				return i, reasonSpillover
			}
			return i, reasonCheapest
		}
		if firstFull < 0 {
			firstFull = i
		}
	}
	return firstFull, reasonCheapest
}

// highestMean returns the index of the candidate with the highest mean quality among those with room, or among all when
// all are full. Of equal means it takes the more expensive version, which is more likely to be the better one.
func highestMean(s *Snapshot, r *Request, candidates []candidate) int {
	best, bestWithRoom := 0, -1
	for i := range candidates {
		mean := ratings.Mean(candidates[i].quality)
		if mean >= ratings.Mean(candidates[best].quality) {
			best = i
		}
		if (bestWithRoom < 0 || mean >= ratings.Mean(candidates[bestWithRoom].quality)) && !spillsOver(s, r, candidates[i].ref) {
			bestWithRoom = i
		}
	}
	if bestWithRoom < 0 {
		return best
	}
	return bestWithRoom
}

// candidateToExplore returns the index of a candidate cheaper than the chosen one that is tried to collect ratings, or
// -1. A version qualifies while the target lies between its 10% lower and its 90% upper bound of quality, so that its
// exploration ends as soon as its ratings show whether it meets the target.
func candidateToExplore(s *Snapshot, r *Request, class *catalogue.Class, candidates []candidate, chosen int) int {
	if s.Ratings == nil || s.Ratings.Frozen {
		return -1
	}
	percent := class.ExplorePercent
	if percent == 0 {
		percent = DefaultExplorePercent
	}
	hash := stableHash(r, class.Name)
	if float64(hash%hashBucketCount) >= percent*(hashBucketCount/100) {
		return -1
	}
	undecidedCount := 0
	for i := range candidates[:chosen] {
		if candidates[i].undecided() {
			undecidedCount++
		}
	}
	if undecidedCount == 0 {
		return -1
	}
	pick := int(hash / hashBucketCount % uint64(undecidedCount))
	for i := range candidates[:chosen] {
		if candidates[i].undecided() {
			if pick == 0 {
				return i
			}
			pick--
		}
	}
	return -1
}

// undecided reports whether the ratings don't show yet whether the candidate meets the quality target.
func (c *candidate) undecided() bool {
	return c.missProbability > ratings.MaxMissProbability && c.missProbability < 1-ratings.MaxMissProbability
}
