package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clementinetray/server/balance"
)

const (
	// tick is the time step of a replay, and reportLag the age of the load that a fake server reports.
	tick      = 10 * time.Millisecond
	reportLag = 200 * time.Millisecond
	// sharedInterval is the time between two reports that all trackers read.
	sharedInterval = 50 * time.Millisecond
	// tokensPerMillisecond is the number of prompt tokens that a fake server of factor 1 reads.
	tokensPerMillisecond = 112
)

// fakeRequest is a request on a fake server. unread is the number of tokens to read, and generate the remaining time to
// generate its answer at the usual speed of a server of factor 1.
type fakeRequest struct {
	sent      *balance.Sent
	tracker   *balance.Tracker
	unread    float64
	generate  time.Duration
	lastEvent time.Time
}

// fakeServer reads one prompt after the other and generates the answers of up to slots requests together. Work takes factor
// times percent/100 as long.
type fakeServer struct {
	id        string
	factor    float64
	slots     int
	percent   int
	requests  []*fakeRequest
	reports   []balance.LoadReport
	loadTicks float64
	// reportsWork is set if the reports have the fourth figure, and readers are the trackers that read each report.
	reportsWork bool
	readers     []*balance.Tracker
}

// step advances the server by one tick.
func (s *fakeServer) step(now time.Time) {
	slowness := s.factor * float64(s.percent) / 100
	budget := tokensPerMillisecond * float64(tick.Milliseconds()) / slowness
	kept := s.requests[:0]
	for i, r := range s.requests {
		switch {
		case i >= s.slots:
		case r.unread > budget:
			r.unread, budget = r.unread-budget, 0
		case r.unread > 0:
			budget, r.unread, r.lastEvent = budget-r.unread, 0, now
			r.sent.FirstByte()
			r.tracker.RecordLoad(s.id, s.reports[0])
			r.sent.FirstEvent(now)
		default:
			r.generate -= time.Duration(float64(tick) / slowness)
			if now.Sub(r.lastEvent) >= time.Duration(100*slowness)*time.Millisecond {
				r.sent.Event(now, now.Sub(r.lastEvent))
				r.lastEvent = now
			}
			if r.generate <= 0 {
				r.sent.Ended(now)
				continue
			}
		}
		kept = append(kept, r)
	}
	s.requests = kept
	running := min(len(kept), s.slots)
	s.reports = append(s.reports, balance.LoadReport{Running: running, Waiting: len(kept) - running, Slots: s.slots, WorkPercent: s.percent, At: now})
	if !s.reportsWork {
		s.reports[len(s.reports)-1].WorkPercent = 0
	}
	if len(s.reports) > int(reportLag/tick) {
		s.reports = s.reports[1:]
	}
	if now.Sub(start)%sharedInterval == 0 {
		for _, reader := range s.readers {
			reader.RecordLoad(s.id, s.reports[0])
		}
	}
	s.loadTicks += float64(len(kept)) / float64(s.slots)
}

// pattern is the load of a replay: requests per second over all trackers, and the work percentage of each server over time.
type pattern struct {
	trackers, servers, slots int
	perSecond                float64
	tokens                   int
	generate, target         time.Duration
	percent                  func(rng *rand.Rand, server int, period int) int
	options                  balance.Options
	// shared gives each tracker all reports; otherwise it reads those of its own requests.
	shared bool
}

// replay returns the ratio of the busiest server's load to the mean after a warm-up: the largest of the windows of one second, and
// over the whole time.
func (p *pattern) replay(seed uint64) (worstSecond, overall float64) {
	const warmUp, length, noisePeriod = 10 * time.Second, 20 * time.Second, 600 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 5))
	var servers []*fakeServer
	var rows serverList
	for i := range p.servers {
		s := &fakeServer{id: fmt.Sprintf("i-%03d", i), factor: 0.7 + float64(i)/float64(p.servers-1), slots: p.slots, percent: 100}
		s.reports = []balance.LoadReport{{Slots: p.slots, At: start}}
		s.reportsWork = p.options.LearnedRates
		servers, rows = append(servers, s), append(rows, balance.Row{ID: s.id, Zone: "a", Slots: p.slots})
	}
	var trackers []*balance.Tracker
	for range p.trackers {
		trackers = append(trackers, balance.NewTracker(p.options))
	}
	if p.shared {
		for _, s := range servers {
			s.readers = trackers
		}
	}
	due, n, total := 0.0, 0, make([]float64, len(servers))
	for at := time.Duration(0); at < length; at += tick {
		now := start.Add(at)
		for i, s := range servers {
			if at%noisePeriod == 0 {
				s.percent = p.percent(rng, i, int(at/noisePeriod))
			}
			s.step(now)
		}
		for due += p.perSecond * tick.Seconds(); due >= 1; due-- {
			tracker := trackers[rng.IntN(len(trackers))]
			r := &balance.Request{PromptTokens: p.tokens/2 + rng.IntN(p.tokens), TimeRatio: 1, Zone: "a", Kind: "k", TargetTime: p.target, EventGap: 1200 * time.Millisecond}
			selected, ok := tracker.Select(now, rows, r, fmt.Sprint(n))
			if !ok {
				candidates := tracker.Candidates(now, rows, r)
				selected.Index = balance.Choose(candidates, r, fmt.Sprint(n))
			}
			s := servers[selected.Index]
			n++
			s.requests = append(s.requests, &fakeRequest{
				sent: tracker.Send(now, s.id, r, 0), tracker: tracker, unread: float64(r.PromptTokens), generate: p.generate/2 + time.Duration(rng.Int64N(int64(p.generate)))})
		}
		if at%time.Second == time.Second-tick {
			busiest, sum := 0.0, 0.0
			for i, s := range servers {
				busiest, sum = max(busiest, s.loadTicks), sum+s.loadTicks
				if at > warmUp {
					total[i] += s.loadTicks
				}
				s.loadTicks = 0
			}
			if at > warmUp {
				worstSecond = max(worstSecond, busiest*float64(len(servers))/sum)
			}
		}
	}
	sum := 0.0
	for _, load := range total {
		sum += load
	}
	return worstSecond, slices.Max(total) * float64(len(total)) / sum
}

// Guards against instances that all choose the server that looked best in a late report. The replays have 72 trackers in one
// process, servers whose usual speeds differ by a factor of 2.4, and reports that are 200 ms old.
func TestInstancesDoNotAllChooseTheSameServer(t *testing.T) {
	noise := func(rng *rand.Rand, _, _ int) int { return 100 + 150*rng.IntN(2) }
	inTurn := func(_ *rand.Rand, server, period int) int {
		if server%6 == period%6 {
			return 250
		}
		return 100
	}
	for _, c := range []struct {
		desc string
		p    pattern
	}{
		{"noise of 2.5 times every 600 ms", pattern{servers: 90, slots: 24, perSecond: 380, tokens: 1800, generate: 2 * time.Second, percent: noise}},
		{"the same at a low load", pattern{servers: 90, slots: 24, perSecond: 150, tokens: 1800, generate: 2 * time.Second, percent: noise}},
		{"servers at 0.4 of their speed in turn", pattern{servers: 90, slots: 24, perSecond: 500, tokens: 1800, generate: 2 * time.Second, percent: inTurn}},
		{"long prompts", pattern{servers: 140, slots: 12, perSecond: 500, tokens: 6610, generate: 2 * time.Second, percent: inTurn}},
		{"a small pool", pattern{servers: 5, slots: 6, perSecond: 90, tokens: 100, generate: 100 * time.Millisecond, percent: noise}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			c.p.trackers, c.p.target, c.p.options = 72, 2*time.Second, balance.Options{LearnedRates: true}
			c.p.shared = true
			if second, overall := c.p.replay(1); second >= 2 || overall >= 1.5 {
				t.Errorf("with shared reports the busiest server has %.2f times the mean load, in one second %.2f times", overall, second)
			} else {
				t.Logf("with shared reports %.2f, in one second %.2f", overall, second)
			}
			// With the reports of its own requests, an instance knows the load of a few servers only. Then the load in single
			// seconds varies as with a random selection.
			c.p.shared = false
			if second, overall := c.p.replay(1); overall >= 2 {
				t.Errorf("with own reports the busiest server has %.2f times the mean load", overall)
			} else {
				t.Logf("with own reports %.2f, in one second %.2f", overall, second)
			}
		})
	}
}
