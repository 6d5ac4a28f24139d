package clock

import (
	"context"
	"testing"
	"time"
)

// Guards against data of unknown age that count as new after the process was held up, and against new data that count as old.
func TestEarliestArrival(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		desc string
		// observed are the times of the observations, of which the first makes the Stalls.
		observed []time.Duration
		want     time.Duration
	}{
		{"a process that runs", []time.Duration{0, 100 * ms, 200 * ms}, 200 * ms},
		{"a late observation, as on a busy machine", []time.Duration{0, 100 * ms, 390 * ms}, 390 * ms},
		{"the first observation after a stall", []time.Duration{0, 100 * ms, 4100 * ms}, 100 * ms},
		{"soon after a stall", []time.Duration{0, 100 * ms, 4100 * ms, 4200 * ms, 4300 * ms}, 100 * ms},
		{"long after a stall", []time.Duration{0, 100 * ms, 4100 * ms, 4200 * ms, 4300 * ms, 4400 * ms, 4500 * ms, 4600 * ms}, 4600 * ms},
		{"a stall soon after another one", []time.Duration{0, 100 * ms, 4100 * ms, 4200 * ms, 5200 * ms}, 100 * ms},
		{"a stall long after another one", []time.Duration{0, 100 * ms, 4100 * ms, 4390 * ms, 4680 * ms, 4900 * ms, 6000 * ms}, 4900 * ms},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			now := c.observed[0]
			s := newStalls(func() time.Duration { return now })
			got := now
			for _, now = range c.observed[1:] {
				got = s.EarliestArrival()
			}
			if got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a process that is not observed, which would count as stalled for good.
func TestRunOfStalls(t *testing.T) {
	s := NewStalls()
	began := s.seen
	ctx, cancel := context.WithTimeout(context.Background(), 5*observationInterval)
	defer cancel()
	s.Run(ctx)
	if s.seen == began {
		t.Error("Run has not observed the process")
	}
}
