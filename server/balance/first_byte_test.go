package balance_test

import (
	"testing"
	"time"

	"clementinetray/server/balance"
)

// Guards against callers that wait for a lost answer until their time limit, and against further attempts for answers
// that are only slow.
func TestFirstByteTimeout(t *testing.T) {
	small := &balance.Request{PromptTokens: 500, TimeRatio: 0.1}
	large := &balance.Request{PromptTokens: 60_000, TimeRatio: 1}
	plain := &balance.Request{}
	const target = 1500 * time.Millisecond
	cases := []struct {
		desc        string
		request     *balance.Request
		candidate   balance.Candidate
		least, most time.Duration
	}{
		{"a small prompt: soon enough for another attempt", small, balance.Candidate{}, 500 * time.Millisecond, 1000 * time.Millisecond},
		{"a long prompt, which takes seconds to read", large, balance.Candidate{}, 5 * time.Second, 10 * time.Second},
		{"a small prompt behind a long one", small, balance.Candidate{QueuedTokens: 10_000}, 1500 * time.Millisecond, 3 * time.Second},
		{"a slow server", small, balance.Candidate{Slowness: 3}, 2 * time.Second, 3 * time.Second},
		{"a busy server", small, balance.Candidate{Load: 0.9}, 0, 0},
		{"a cold server", small, balance.Candidate{Cold: true, ColdReady: true}, 0, 0},
		{"a plain service", plain, balance.Candidate{}, 2 * target, 4 * target},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			if got := balance.FirstByteTimeout(c.request, &c.candidate, target); got < c.least || got > c.most {
				t.Errorf("%s, want %s to %s", got, c.least, c.most)
			}
		})
	}
}
