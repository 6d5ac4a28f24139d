package limits

import "time"

// Waiting is a queued request.
type Waiting struct {
	// Priority is the priority of the request's class; requests with a higher number are refused later.
	Priority int
	// Use is how much the workspace uses now, for instance its number of running requests. The unit must be the same for all
	// requests that are compared. Weight is the weight of the workspace; 0 or less means 1.
	Use    float64
	Weight float64
	// Since is when the request was queued.
	Since time.Time
}

func (w Waiting) weightedUse() float64 {
	if w.Weight <= 0 {
		return w.Use
	}
	return w.Use / w.Weight
}

// RefusedBefore reports whether a is refused before b. The request with the lower priority is refused first. If the
// priorities are equal, it is the one whose workspace uses more relative to its weight, and then the one that has waited
// for less time.
func RefusedBefore(a, b Waiting) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if x, y := a.weightedUse(), b.weightedUse(); x != y {
		return x > y
	}
	return a.Since.After(b.Since)
}

// FirstRefused returns the index of the request that is refused before all others, or -1 for an empty slice.
func FirstRefused(waiting []Waiting) int {
	first := -1
	for i := range waiting {
		if first < 0 || RefusedBefore(waiting[i], waiting[first]) {
			first = i
		}
	}
	return first
}
