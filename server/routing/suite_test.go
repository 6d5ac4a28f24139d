package routing_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/routing"
)

func init() {
	// A fixed seed, so that the property tests check the same cases in each run.
	_ = flag.Set("rapid.seed", "20260704")
}

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var now = time.Unix(1_800_000_000, 0)

func ref(model, version string) catalogue.VersionRef {
	return catalogue.VersionRef{Model: model, Version: version}
}

// site holds the contents of a snapshot, which tests change before a decision.
type site struct {
	catalogue  *catalogue.Catalogue
	view       *control.View
	ratings    *blackboard.Ratings
	servers    []*control.BackendServer
	sent       map[string]int
	suspect    map[string]time.Time
	zone       string
	receivedAt time.Time
}

// newSite returns a site with the models small, claims and large, which cost 1, 10 and 50 micro-units for a million
// tokens. Each has two backend servers in service in each of the availability zones a, b and c. The workspace desk may use
// all models and the class triage, whose quality target is 0.8.
func newSite() *site {
	s := &site{sent: map[string]int{}, suspect: map[string]time.Time{}, zone: "a", receivedAt: now}
	s.catalogue = &catalogue.Catalogue{
		Models: []catalogue.Model{
			{Name: "small", Versions: []catalogue.Version{{Name: "v1", CostPerMillionTokens: 1}}},
			{Name: "claims", Versions: []catalogue.Version{{Name: "v1", CostPerMillionTokens: 10}, {Name: "v2", CostPerMillionTokens: 10}}},
			{Name: "large", Versions: []catalogue.Version{{Name: "v1", CostPerMillionTokens: 50}}},
		},
		Classes:    []catalogue.Class{{Name: "triage", QualityTarget: 0.8, Models: []string{"small", "claims", "large"}, Priority: 1}, {Name: "batch", Models: []string{"claims"}}},
		Workspaces: []catalogue.Workspace{{Name: "desk", Models: []string{"small", "claims", "large"}, Classes: []string{"triage", "batch"}, Services: []string{"registry"}}},
		Services:   []catalogue.Service{{Name: "registry"}},
	}
	s.view = &control.View{
		Catalogue: s.catalogue,
		Orders:    &control.Orders{ZonesOut: map[string]control.Order{}, ServersOut: map[string]control.Order{}},
		Rollouts:  &control.Rollouts{Progress: map[string]control.RolloutProgress{}},
	}
	s.ratings = &blackboard.Ratings{ByClass: map[blackboard.ClassVersion]blackboard.Quality{}}
	s.setRating("small", "v1", 0.6, 400)
	s.setRating("claims", "v1", 0.9, 400)
	s.setRating("claims", "v2", 0.9, 400)
	s.setRating("large", "v1", 0.97, 400)
	for _, m := range s.catalogue.Models {
		for _, zone := range []string{"a", "b", "c"} {
			for i := range 2 {
				b := s.addServer(fmt.Sprintf("%s-%s%d", m.Name, zone, i), zone, m.Name, "v1")
				if m.Name == "claims" {
					b.Versions = append(b.Versions, ref("claims", "v2"))
				}
			}
		}
	}
	return s
}

func (s *site) addServer(id, zone, model, version string) *control.BackendServer {
	b := &control.BackendServer{Phase: control.PhaseInService, Announcement: control.Announcement{
		ID: id, Boot: "1", AvailabilityZone: zone, Capacity: 10, Versions: []catalogue.VersionRef{ref(model, version)}}}
	s.servers = append(s.servers, b)
	return b
}

func (s *site) setRating(model, version string, mean, weight float64) {
	s.ratings.ByClass[blackboard.ClassVersion{Class: "triage", VersionRef: ref(model, version)}] = blackboard.Quality{Alpha: mean * weight, Beta: (1 - mean) * weight}
}

func (s *site) setRollout(state control.RolloutState, percent int) {
	s.catalogue.Rollouts = []catalogue.Rollout{{Model: "claims", From: "v1", To: "v2"}}
	s.view.Rollouts.Progress["claims"] = control.RolloutProgress{Model: "claims", From: "v1", To: "v2", State: state, Percent: percent}
}

func (s *site) withdraw(model, version string) { s.version(model, version).Withdrawn = true }

func (s *site) version(model, version string) *catalogue.Version {
	return s.catalogue.FindVersion(ref(model, version))
}

// eachServer applies a change to all backend servers of a model.
func (s *site) eachServer(model string, change func(b *control.BackendServer)) {
	for _, b := range s.servers {
		if len(b.Versions) > 0 && b.Versions[0].Model == model {
			change(b)
		}
	}
}

func (s *site) server(id string) *control.BackendServer {
	for _, b := range s.servers {
		if b.ID == id {
			return b
		}
	}
	panic("no backend server " + id)
}

func (s *site) snapshot() *routing.Snapshot {
	f := &blackboard.Fleet{Servers: map[string]*control.BackendServer{}, ByVersion: map[catalogue.VersionRef][]*control.BackendServer{}, ByService: map[string][]*control.BackendServer{}, ReceivedAt: s.receivedAt}
	for _, b := range s.servers {
		f.Servers[b.ID] = b
		for _, v := range b.Versions {
			f.ByVersion[v] = append(f.ByVersion[v], b)
		}
		if b.Service != "" {
			f.ByService[b.Service] = append(f.ByService[b.Service], b)
		}
	}
	return &routing.Snapshot{View: s.view, Fleet: f, Ratings: s.ratings, Now: now, AvailabilityZone: s.zone,
		LoadCorrection: func(id string) int { return s.sent[id] },
		AvoidUntil:     func(id string) time.Time { return s.suspect[id] }}
}

func (s *site) request(change func(r *routing.Request)) *routing.Request {
	r := &routing.Request{ID: "request-1", Workspace: &s.catalogue.Workspaces[0]}
	change(r)
	return r
}

// countChoices chooses a backend server for n requests with different ids. It returns how often each backend server was
// chosen, how often a slot was needed ("slot") and how often requests were refused, by the reason of the problem.
func (s *site) countChoices(n int, v catalogue.VersionRef, change func(r *routing.Request)) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	snapshot := s.snapshot()
	count := map[string]int{}
	for _, b := range s.servers {
		count[b.ID] = 0
	}
	for _, other := range []string{"slot", "overloaded", "no_backend_server"} {
		count[other] = 0
	}
	for i := range n {
		r := s.request(func(r *routing.Request) { r.ID = fmt.Sprint("request-", i) })
		if change != nil {
			change(r)
		}
		choice, p := routing.ChooseServer(snapshot, r, v, rng)
		if p != nil {
			count[string(p.Reason)]++
			Expect(p.NotRun).To(BeTrue())
			continue
		}
		count[choice.Server.ID]++
		if choice.NeedsSlot {
			count["slot"]++
		}
	}
	return count
}
