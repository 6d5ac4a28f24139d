package replica_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clementinetray/server/replica"
)

// Guards against a replaced voter that ended without a signal and stays because leaders change: each leader of six waited for the whole
// UnresponsiveTimeout, and two lost data folders ended the group meanwhile.
func TestSilentVoterLeavesAlthoughLeadersChange(t *testing.T) {
	c := newCluster(t, 5, func(cfg *replica.Config) { cfg.GroupSize, cfg.BootstrapWait = 5, 400*time.Millisecond })
	c.propose("a")
	c.add("c6")
	c.eventually("the successor is a voter", func() bool { return len(c.voters()) == 6 })
	gone := "c1"
	if c.leader().id == gone {
		gone = "c2"
	}
	c.kill(gone)
	delete(c.nodes, gone)
	began := time.Now()
	time.Sleep(800 * time.Millisecond)
	c.kill(c.leader().id)
	// A successor has caught up 4 s after its start, which is when two further replicas may be lost.
	const bound = 4 * time.Second
	transferred := time.Now()
	for c.voters()[gone] {
		if time.Since(began) > bound {
			t.Fatalf("%s is a voter %s after its end", gone, time.Since(began))
		}
		if time.Since(transferred) > 900*time.Millisecond {
			_ = c.leader().TransferLeadership(context.Background())
			transferred = time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("removed after %s", time.Since(began))
}

// lossCatchUp is the time after which a replica no longer counts as lost in these schedules: UnresponsiveTimeout (0.5 s here), an election (1 s
// at most), an election timeout in which the new leader misses the voter, and half a second for a busy machine.
const lossCatchUp = 2500 * time.Millisecond

// Guards against a group that two losses at once end while a voter is replaced that ended without a signal, in any order of the successor, a
// lost data folder of the leader or another voter, and further changes of the leader.
func TestLossesBesideAReplacementWithoutASignal(t *testing.T) {
	for seed := *firstReplacementSeed; seed < *firstReplacementSeed+uint64(*replacementSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newReplacements(t, seed)
			s.rnd = rand.New(rand.NewPCG(seed, 3))
			s.proposeNext()
			s.awaitHealed()
			random := func(limit time.Duration) time.Duration { return time.Duration(s.rnd.Int64N(int64(limit))) }

			next, gone := s.successor(), s.pick(1)[0]
			successorAt := random(time.Second)
			firstLossAt := random(successorAt + lossCatchUp)
			firstBackAt := firstLossAt + 300*time.Millisecond + random(time.Second)
			// From here on the voter that is gone counts no longer, but the first lost folder may.
			secondLossAt := successorAt + lossCatchUp + random(200*time.Millisecond)
			secondBackAt := secondLossAt + 300*time.Millisecond + random(time.Second)
			var first, second string
			type event struct {
				at time.Duration
				do func()
			}
			events := []event{
				{0, func() { s.kill(gone); delete(s.nodes, gone) }},
				{successorAt, func() { s.add(next) }},
				{firstLossAt, func() {
					first = s.pick(1)[0]
					if s.rnd.IntN(3) > 0 || first == next {
						first = s.leader().id
					}
					s.loseFolder(first)
				}},
				{firstBackAt, func() { s.restart(first) }},
				{secondLossAt - 100*time.Millisecond, s.proposeNext},
				{secondLossAt, func() {
					for _, second = range s.pick(len(s.nodes)) {
						if second != first && s.nodes[second].Replica != nil {
							break
						}
					}
					s.loseFolder(second)
				}},
				{secondBackAt, func() { s.restart(second) }},
			}
			for range s.rnd.IntN(3) {
				events = append(events, event{random(successorAt + lossCatchUp), func() { _ = s.leader().TransferLeadership(context.Background()) }})
			}
			slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
			t.Logf("%s ends, successor after %s, a folder lost after %s, another one after %s", gone, successorAt, firstLossAt, secondLossAt)
			began := time.Now()
			for _, e := range events {
				time.Sleep(time.Until(began.Add(e.at)))
				e.do()
			}
			t.Logf("lost %s and %s; events were %s late", first, second, time.Since(began)-events[len(events)-1].at)
			s.awaitHealed()
			s.awaitSameCommands(s.proposed)
		})
	}
}

// Guards against slow disks that make a replacement beside a lost data folder wrong and not only slower: a group that a second lost folder
// ends after the voter without a signal has left, a replica that never returns, and lost commands.
func TestLossesBesideAReplacementOnSlowDisks(t *testing.T) {
	for seed := *firstReplacementSeed; seed < *firstReplacementSeed+uint64(*replacementSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newReplacements(t, seed)
			s.rnd = rand.New(rand.NewPCG(seed, 4))
			s.proposeNext()
			s.awaitHealed()
			random := func(limit time.Duration) time.Duration { return time.Duration(s.rnd.Int64N(int64(limit))) }

			next, gone := s.successor(), s.pick(1)[0]
			successorAt := random(time.Second)
			lossAt := random(successorAt + lossCatchUp)
			var lost string
			type event struct {
				at time.Duration
				do func()
			}
			events := []event{
				{0, func() { s.kill(gone); delete(s.nodes, gone) }},
				{successorAt, func() { s.add(next) }},
				{lossAt, func() { lost = s.pick(1)[0]; s.loseFolder(lost) }},
				{lossAt + 300*time.Millisecond + random(time.Second), func() { s.restart(lost) }},
			}
			for range 2 + s.rnd.IntN(3) {
				// The times of this group are a quarter of those in production, where syncs took 1 to 15 s.
				count, d := 1+s.rnd.IntN(5), 250*time.Millisecond+random(3500*time.Millisecond)
				events = append(events, event{random(successorAt + lossCatchUp), func() {
					ids := s.pick(min(count, len(s.nodes)))
					t.Logf("syncs of %v take %s", ids, d)
					for _, id := range ids {
						s.slowDisk(id, d)
					}
				}})
			}
			slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
			t.Logf("%s ends, successor after %s, a folder lost after %s", gone, successorAt, lossAt)
			began := time.Now()
			for _, e := range events {
				time.Sleep(time.Until(began.Add(e.at)))
				e.do()
			}
			s.eventually("the voter that is gone has left", func() bool {
				for _, m := range s.leader().Status().Members {
					if m.ID == gone {
						return false
					}
				}
				return true
			})
			t.Logf("%s left within %s", gone, time.Since(began))
			second := s.pick(1)[0]
			for second == lost {
				second = s.pick(1)[0]
			}
			t.Logf("%s loses its data folder", second)
			s.loseFolder(second)
			s.proposeNext()
			s.restart(second)
			s.awaitHealed()
			s.awaitSameCommands(s.proposed)
		})
	}
}
