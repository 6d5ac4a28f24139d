package admission

import "time"

// QueuedRequest is a request that waits in a queue, with the values that decide which one is refused first.
type QueuedRequest struct {
	// Priority is the priority of the request's class; requests with a higher number are refused later.
	Priority int
	// Use is how much the workspace uses now, for instance its number of running requests. The unit must be the same for all
	// requests that are compared. Weight is the weight of the workspace; 0 or less means 1.
	Use    float64
	Weight float64
	// Since is when the request was queued.
	Since time.Time
}

func (q QueuedRequest) weightedUse() float64 {
	if q.Weight <= 0 {
		return q.Use
	}
	return q.Use / q.Weight
}

// refusedBefore reports whether a is refused before b. The request with the lower priority is refused first. If the
// priorities are equal, it is the one whose workspace uses more relative to its weight, and then the one that has waited
// for less time.
func refusedBefore(a, b QueuedRequest) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if x, y := a.weightedUse(), b.weightedUse(); x != y {
		return x > y
	}
	return a.Since.After(b.Since)
}
