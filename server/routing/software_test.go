package routing

import (
	"fmt"
	"testing"

	"clementinetray/api/control"
)

// Each case guards against a session that changes its version although it must not, or a version that gets new work after
// it was rolled back.
func TestSoftwareRulesFor(t *testing.T) {
	view := func(r control.ServiceRollout) *control.View {
		r.Service, r.To = "pool", "v2"
		return &control.View{Rollouts: &control.Rollouts{Services: map[string]control.ServiceRollout{"pool": r}}}
	}
	running := control.ServiceRollout{State: control.RolloutRunning, Percent: 50}
	settled := control.ServiceRollout{State: control.RolloutRunning, Percent: 100, Settled: true}
	cases := []struct {
		desc             string
		view             *control.View
		sessionVersion   string
		prefers, forbids []string
	}{
		{"no roll-out", &control.View{Rollouts: &control.Rollouts{}}, "", []string{"v1", "v2"}, nil},
		{"a session of the old version in the first half", view(running), "v1", []string{"v1"}, []string{"v2"}},
		{"a session of the new version", view(running), "v2", []string{"v2"}, nil},
		{"a session of the old version once settled", view(settled), "v1", []string{"v2"}, nil},
		{"rolled back", view(control.ServiceRollout{State: control.RolloutRolledBack, RolledBack: []string{"v2"}}), "v2", []string{"v1"}, []string{"v2"}},
		{"done", view(control.ServiceRollout{State: control.RolloutDone, Done: []string{"v2"}}), "", []string{"v2"}, nil},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			s := SoftwareRulesFor(c.view, "pool", "key", c.sessionVersion)
			for _, v := range []string{"v1", "v2"} {
				wanted := false
				for _, p := range c.prefers {
					wanted = wanted || p == v
				}
				if s.Prefers(v) != wanted {
					t.Errorf("Prefers(%s) = %t", v, s.Prefers(v))
				}
			}
			for _, v := range c.forbids {
				if s.Allows(v) {
					t.Errorf("Allows(%s) is true", v)
				}
			}
		})
	}
}

// Guards against a share that differs from the roll-out's percentage, and against requests that return to the old version
// when the percentage grows.
func TestSoftwareShareGrows(t *testing.T) {
	prefersNew := func(percent, i int) bool {
		v := &control.View{Rollouts: &control.Rollouts{Services: map[string]control.ServiceRollout{
			"pool": {State: control.RolloutRunning, To: "v2", Percent: percent},
		}}}
		return SoftwareRulesFor(v, "pool", fmt.Sprint("request-", i), "").Prefers("v2")
	}
	const n = 4000
	for _, percent := range []int{0, 6, 30, 100} {
		count := 0
		for i := range n {
			if prefersNew(percent, i) {
				count++
				if !prefersNew(min(percent+10, 100), i) {
					t.Fatalf("request %d leaves the new version as its share grows from %d%%", i, percent)
				}
			}
		}
		if share := 100 * float64(count) / n; share < float64(percent)-2 || share > float64(percent)+2 {
			t.Errorf("%.1f%% of the requests run on the new version, want %d%%", share, percent)
		}
	}
}
