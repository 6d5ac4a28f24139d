package serverrate_test

import (
	"testing"
	"time"

	"clementinetray/server/serverrate"
)

// Guards against expected times that follow the reports of a server which stop halfway, or which are wrong from some moment on, further
// than its responses show. In each case the server's machine works at its usual speed.
func TestReportsThatStopOrAreWrong(t *testing.T) {
	const tokens, responses = 6610, 200
	for name, report := range map[string]func(n int) int{
		"they stop while the machine is slow": func(n int) int {
			if n < responses/2 {
				return 250
			}
			return 0
		},
		"they say too much from the middle on": func(n int) int {
			if n < responses/2 {
				return 100
			}
			return 250
		},
		"they say too little from the middle on": func(n int) int {
			if n < responses/2 {
				return 100
			}
			return 40
		},
		"they jump each time": func(n int) int { return 40 + n%2*210 },
	} {
		t.Run(name, func(t *testing.T) {
			p, now := serverrate.NewPool(), start
			rates := make([]serverrate.Server, 6)
			usual := time.Duration(20+tokens/85) * time.Millisecond
			for n := range responses {
				for i := range rates {
					now = now.Add(20 * time.Millisecond)
					if i == 0 {
						rates[i].RecordWork(report(n), now)
					}
					p.RecordFirstEvent(now, &rates[i], "long", tokens, usual, 0)
				}
			}
			if got := p.FirstEvent(now, &rates[0], "long", tokens); got < usual/2 || got > 2*usual {
				t.Errorf("the server's responses take %v, expected %v", usual, got)
			}
			for i := range rates[1:] {
				if got := p.FirstEvent(now, &rates[i+1], "long", tokens); deviation(got, usual) > 0.25 {
					t.Errorf("server %d without reports: responses take %v, expected %v", i+1, usual, got)
				}
			}
		})
	}
}
