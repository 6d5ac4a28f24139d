package control

// RolloutSample adds up the attempts on the old versions or on the new version of a service while a roll-out gives the new
// version a share, for one route and model. An entry instance reports totals since the first share, so that each heartbeat
// replaces the one before and a new control leader has the whole record after one heartbeat of each instance.
type RolloutSample struct {
	Service string
	// Order is ServiceRollout.Order.
	Order uint64
	Route string
	// Model is the model that the router chose, empty on routes without such a choice.
	Model string
	// New is true for the new version of the roll-out, false for all other versions.
	New bool
	// Requests is the number of attempts that say whether the version works, Failures the number of those that failed. An
	// answer that was dropped for a larger model counts as a request without a failure.
	Requests, Failures int
	// Prompt and Overdue count attempts whose answer began within the route's target time, and those whose answer did not.
	// An attempt is overdue as soon as the target time has passed.
	Prompt, Overdue int
	// First holds the times to the whole answer or to the first event of a stream, in milliseconds. Interval holds the mean
	// times between events, in milliseconds, one for each stream. Attempts on cold backend servers are left out.
	First, Interval LogTimes
}

// LogTimes adds up the natural logarithms of times, and their squares.
type LogTimes struct {
	Count        int
	Sum, Squares float64
}
