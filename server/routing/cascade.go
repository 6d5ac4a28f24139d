package routing

// nextCascadeStep returns the cheapest version that costs more than the one that the cascade tried last, and false if there is
// none. The candidates must be sorted by cost. Costs are compared after the roll-out has been applied, so that a step never
// selects the version that was tried last.
func nextCascadeStep(s *Snapshot, r *Request, candidates []candidate) (VersionChoice, bool) {
	lastTried := s.View.Catalogue.FindVersion(r.CascadeFrom)
	if lastTried == nil {
		return VersionChoice{}, false
	}
	for i := range candidates {
		next := VersionChoice{VersionRef: candidates[i].ref, Reasons: reasonCascade}
		applyRollout(s, r, &next)
		if s.View.Catalogue.FindVersion(next.VersionRef).CostPerMillionTokens > lastTried.CostPerMillionTokens {
			return next, true
		}
	}
	return VersionChoice{}, false
}
