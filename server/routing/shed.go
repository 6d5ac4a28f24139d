package routing

import "clementinetray/api/catalogue"

const (
	// shedLowestPriorityLoad and shedHighestPriorityLoad are the loads of the best backend server from which requests of
	// the lowest and of the highest priority are refused. Refusing low priorities while the queue is still short keeps it
	// short for higher ones.
	shedLowestPriorityLoad  = 1.5
	shedHighestPriorityLoad = 3.0
)

// shedLoad returns the load from which the request is refused instead of queued. Requests without a class have priority
// 0. Calls of plain services have no priority; for them the load is that of the highest priority.
func shedLoad(c *catalogue.Catalogue, r *Request) float64 {
	if r.Service != "" || len(c.Classes) == 0 {
		return shedHighestPriorityLoad
	}
	priority, lowest, highest := 0, 0, 0
	for i := range c.Classes {
		p := c.Classes[i].Priority
		lowest, highest = min(lowest, p), max(highest, p)
		if c.Classes[i].Name == r.Class {
			priority = p
		}
	}
	if lowest == highest {
		return shedHighestPriorityLoad
	}
	return shedLowestPriorityLoad + (shedHighestPriorityLoad-shedLowestPriorityLoad)*float64(priority-lowest)/float64(highest-lowest)
}
