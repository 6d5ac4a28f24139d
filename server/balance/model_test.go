package balance

import (
	"testing"
	"time"
)

// Guards against long prompts that run on a model which can't answer in the time that is left, and against a choice that changes where
// no time is known.
func TestLargestInTime(t *testing.T) {
	for _, c := range []struct {
		name          string
		times         []time.Duration
		wanted, model int
	}{
		{"all in time", []time.Duration{0, time.Second, time.Second}, 2, 2},
		{"the largest is late", []time.Duration{0, time.Second, 3 * time.Second}, 2, 1},
		{"all are late", []time.Duration{0, 4 * time.Second, 3 * time.Second}, 2, 0},
		{"nothing is known", []time.Duration{0, 0, 0}, 2, 2},
		{"the next one is wanted", []time.Duration{0, time.Second, time.Second}, 1, 1},
	} {
		if got := LargestInTime(0, c.wanted, 2*time.Second, func(i int) time.Duration { return c.times[i] }); got != c.model {
			t.Errorf("%s: model %d, want %d", c.name, got, c.model)
		}
	}
}

// Guards against requests of the least urgent rank that take the time of the largest model from urgent ones, and against a limit for
// services with one or two ranks.
func TestLargestForRank(t *testing.T) {
	for _, c := range []struct {
		name  string
		rank  int
		ranks []int
		model int
	}{
		{"least urgent of three", 2, []int{0, 1, 2, 2}, 1},
		{"less urgent than all routes", 7, []int{0, 1, 2}, 1},
		{"middle of three", 1, []int{2, 0, 1}, 2},
		{"least urgent of two", 1, []int{0, 1}, 2},
		{"one rank", 0, []int{0, 0, 0}, 2},
		{"no route", 3, nil, 2},
	} {
		if got := LargestForRank(c.rank, c.ranks, 3); got != c.model {
			t.Errorf("%s: model %d, want %d", c.name, got, c.model)
		}
	}
	if got := LargestForRank(2, []int{0, 1, 2}, 1); got != 0 {
		t.Errorf("one model: %d, want 0", got)
	}
}
