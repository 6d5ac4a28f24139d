package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"clementinetray/server/routing"
)

// benchSite returns a site with n backend servers of the model claims over 5 availability zones, each with 64 cached
// prefixes, and one backend server of each other model in each of 3 zones.
func benchSite(n int) *site {
	s := newSite()
	s.servers = s.servers[:0]
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		b := s.addServer(fmt.Sprint("m", i), string(rune('a'+i%5)), "claims", "v1")
		b.Versions = append(b.Versions, ref("claims", "v2"))
		b.Running = rng.IntN(6)
		for range 64 {
			b.PrefixHashes = append(b.PrefixHashes, rng.Uint64())
		}
		s.sent[b.ID] = i % 3
	}
	for _, m := range []string{"small", "large"} {
		for _, zone := range []string{"a", "b", "c"} {
			s.addServer(m+zone, zone, m, "v1")
		}
	}
	return s
}

func BenchmarkChooseServer(b *testing.B) {
	for _, n := range []int{4, 13, 24, 75, 600} {
		for _, prefixes := range []int{0, 8} {
			b.Run(fmt.Sprintf("candidates=%d/prefixes=%d", n, prefixes), func(b *testing.B) {
				s := benchSite(n)
				snapshot, rng := s.snapshot(), rand.New(rand.NewPCG(1, 2))
				r := s.request(func(*routing.Request) {})
				for range prefixes {
					r.PrefixHashes = append(r.PrefixHashes, rng.Uint64())
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, p := routing.ChooseServer(snapshot, r, ref("claims", "v1"), rng); p != nil {
						b.Fatal(p)
					}
				}
			})
		}
	}
}

func BenchmarkChooseVersion(b *testing.B) {
	for _, n := range []int{13, 24, 600} {
		for _, kind := range []string{"model", "class", "pinned", "rollout"} {
			b.Run(fmt.Sprintf("servers=%d/%s", n, kind), func(b *testing.B) {
				s := benchSite(n)
				r := s.request(func(r *routing.Request) { r.Model = "claims" })
				switch kind {
				case "class":
					r.Model, r.Class = "", "triage"
				case "pinned":
					r.Session, r.Pinned = "session-1", ref("claims", "v1")
				case "rollout":
					s.setRollout("running", 25)
				}
				snapshot := s.snapshot()
				b.ReportAllocs()
				for b.Loop() {
					if _, p := routing.ChooseVersion(snapshot, r); p != nil {
						b.Fatal(p)
					}
				}
			})
		}
	}
}
