package catalogue

// Defaults of the fields of Rollout.
const (
	DefaultMinRequests = 200
	DefaultStepSeconds = 300
)

// WithDefaults returns the roll-out with the defaults in the fields that are not set.
func (r Rollout) WithDefaults() Rollout {
	if len(r.Steps) == 0 {
		r.Steps = []int{1, 5, 25, 50, 100}
	}
	if r.MinRequests == 0 {
		r.MinRequests = DefaultMinRequests
	}
	if r.StepSeconds == 0 {
		r.StepSeconds = DefaultStepSeconds
	}
	return r
}
