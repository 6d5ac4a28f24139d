package routing_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/routing"
)

// Guards against combinations of orders, phases, roll-outs, pins and permissions for which a request is sent to a version
// or backend server that may not run it.
func TestDecisionsKeepTheRules(t *testing.T) {
	decided := 0
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		chance := func(n int) bool { return rng.IntN(n) == 0 }
		s := newSite()
		phases := []control.Phase{control.PhaseInService, control.PhaseInService, control.PhaseCold, control.PhaseRamping, control.PhaseLeaving, control.PhaseEmpty, control.PhaseSuspect, control.PhaseGone}
		for _, b := range s.servers {
			b.Phase, b.Limit = phases[rng.IntN(len(phases))], 1+rng.IntN(4)
			b.Running, b.Queued, b.Leaving = rng.IntN(12), rng.IntN(6), chance(10)
			b.LoadAge = time.Duration(rng.IntN(20)) * time.Second
			if chance(8) {
				s.view.Orders.ServersOut[b.ID] = control.Order{}
			}
			if chance(8) {
				s.suspect[b.ID] = now.Add(time.Second)
			}
		}
		for _, zone := range []string{"a", "b", "c"} {
			if chance(5) {
				s.view.Orders.ZonesOut[zone] = control.Order{}
			}
		}
		for i := range s.catalogue.Models {
			for j := range s.catalogue.Models[i].Versions {
				s.catalogue.Models[i].Versions[j].Withdrawn = chance(4)
			}
		}
		states := []control.RolloutState{control.RolloutRunning, control.RolloutHeld, control.RolloutRolledBack, control.RolloutDone}
		if chance(2) {
			s.setRollout(states[rng.IntN(len(states))], rng.IntN(101))
		}
		allowed := [][]string{{"small", "claims", "large"}, {"claims@v1"}, {"claims", "small"}, {"large", "claims@v2"}, nil}
		s.catalogue.Workspaces[0].Models = allowed[rng.IntN(len(allowed))]
		r := s.request(func(r *routing.Request) { r.Exclude = map[string]bool{"claims-a0": true} })
		models := []string{"claims", "claims@v1", "claims@v2", "small", "large"}
		if chance(2) {
			r.Class = "triage"
		} else {
			r.Model = models[rng.IntN(len(models))]
		}
		pins := []catalogue.VersionRef{{}, ref("claims", "v1"), ref("claims", "v2"), ref("small", "v1")}
		if r.Pinned = pins[rng.IntN(len(pins))]; r.Pinned.Model != "" {
			r.Session = "session-1"
		}
		if chance(4) {
			r.CascadeFrom = ref("small", "v1")
		}
		snapshot := s.snapshot()
		choice, p := routing.ChooseVersion(snapshot, r)
		if p != nil {
			if !p.NotRun {
				t.Fatalf("%v does not have NotRun set", p)
			}
			return
		}
		v, progress := s.catalogue.FindVersion(choice.VersionRef), s.view.Rollouts.Progress["claims"]
		rolledBack := progress.State == control.RolloutRolledBack && choice.VersionRef == ref("claims", progress.To)
		if v.Withdrawn || rolledBack || !s.catalogue.Workspaces[0].Allows(choice.VersionRef) {
			t.Fatalf("new work on %v: withdrawn=%v rolled_back=%v", choice.VersionRef, v.Withdrawn, rolledBack)
		}
		if named := r.Class == "" && slices.Contains(models[1:3], r.Model); named && choice.String() != r.Model {
			t.Fatalf("%s was sent to %v", r.Model, choice.VersionRef)
		}
		if again, _ := routing.ChooseVersion(snapshot, r); again.VersionRef != choice.VersionRef {
			t.Fatalf("the same request was sent to %v and %v", choice.VersionRef, again.VersionRef)
		}
		server, p := routing.ChooseServer(snapshot, r, choice.VersionRef, rng)
		if p != nil {
			if !p.NotRun {
				t.Fatalf("%v does not have NotRun set", p)
			}
			return
		}
		decided++
		b := server.Server
		_, zoneOut := s.view.Orders.ZonesOut[b.AvailabilityZone]
		_, serverOut := s.view.Orders.ServersOut[b.ID]
		warming := b.Phase == control.PhaseCold || b.Phase == control.PhaseRamping
		if zoneOut || serverOut || b.Leaving || r.Exclude[b.ID] || !slices.Contains(b.Versions, choice.VersionRef) ||
			b.Phase != control.PhaseInService && !warming || warming != server.NeedsSlot {
			t.Fatalf("work on %s in phase %s: zone_out=%v server_out=%v leaving=%v slot=%v", b.ID, b.Phase, zoneOut, serverOut, b.Leaving, server.NeedsSlot)
		}
	})
	if decided == 0 {
		t.Fatal("no request was sent to a backend server")
	}
	t.Logf("decided=%d", decided)
}
