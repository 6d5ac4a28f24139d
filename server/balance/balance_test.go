package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"clementinetray/server/balance"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func candidate(id string, change func(*balance.Candidate)) balance.Candidate {
	c := balance.Candidate{ID: id, Zone: "a", Hash: balance.Hash(id), Slowness: 1}
	if change != nil {
		change(&c)
	}
	return c
}

// known returns a candidate with a known load.
func known(id string, load float64) balance.Candidate {
	return candidate(id, func(c *balance.Candidate) { c.LoadKnown, c.Load = true, load })
}

// Each case guards against a request that is sent to a slower server, or to one that may not get requests.
func TestChoose(t *testing.T) {
	prompt := &balance.Request{PromptTokens: 10_000, TimeRatio: 1, Zone: "a"}
	var busy []balance.Candidate
	for i := range 7 {
		busy = append(busy, known(fmt.Sprintf("busy%d", i), 0.5))
	}
	busy = slices.Clip(busy)
	cases := []struct {
		desc       string
		request    *balance.Request
		candidates []balance.Candidate
		want       string
	}{
		{"no candidate", prompt, nil, ""},
		{"the lower load", prompt, []balance.Candidate{candidate("x", func(c *balance.Candidate) { c.Load = 0.9 }), candidate("y", nil)}, "y"},
		{"the shorter prompt queue at equal load", prompt, []balance.Candidate{
			candidate("x", func(c *balance.Candidate) { c.QueuedTokens = 30_000 }), candidate("y", nil)}, "y"},
		{"the engine with the shorter event interval", prompt, []balance.Candidate{
			candidate("x", func(c *balance.Candidate) { c.EventInterval = 800 * time.Millisecond }), candidate("y", func(c *balance.Candidate) { c.EventInterval = 100 * time.Millisecond })}, "y"},
		{"another zone when the server in the own zone is loaded", prompt, []balance.Candidate{
			candidate("x", func(c *balance.Candidate) { c.Load = 0.5 }), candidate("y", func(c *balance.Candidate) { c.Zone = "b" })}, "y"},
		{"the own zone at equal load", prompt, []balance.Candidate{candidate("x", func(c *balance.Candidate) { c.Zone = "b" }), candidate("y", nil)}, "y"},
		{"the server that has the prompt cached", prompt, []balance.Candidate{candidate("x", nil), candidate("y", func(c *balance.Candidate) { c.CachedTokens = 8000 })}, "y"},
		{"not the server whose last attempts failed", prompt, []balance.Candidate{
			candidate("x", func(c *balance.Candidate) { c.Penalty = 1 }), candidate("y", func(c *balance.Candidate) { c.Load = 1 })}, "y"},
		{"a recently failed server when there is no other", prompt, []balance.Candidate{candidate("x", func(c *balance.Candidate) { c.Penalty = 1 })}, "x"},
		{"an idle server of known load before those of unknown load while the other known ones are busy", prompt, append(pool(20), append(busy, known("x", 0.1))...), "x"},
		{"a server of unknown load when few loads are known", prompt, append(pool(20)[7:8], busy[0], busy[1]), "s07"},
		{"a server of unknown load when most loads are known", prompt, append(pool(20)[7:8], busy...), "s07"},
		{"a cold server of unknown load, which is idle", prompt,
			append(pool(20), append(busy, candidate("u", func(c *balance.Candidate) { c.Cold, c.ColdReady = true, true }), known("x", 0.1))...), "u"},
		{"no cold server above its rate", prompt, []balance.Candidate{candidate("x", func(c *balance.Candidate) { c.Cold = true })}, ""},
		{"a cold server within its rate", prompt, []balance.Candidate{candidate("x", func(c *balance.Candidate) { c.Cold, c.ColdReady = true, true })}, "x"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			got := ""
			if i := balance.Choose(c.candidates, c.request, "r"); i >= 0 {
				got = c.candidates[i].ID
			}
			if got != c.want {
				t.Errorf("chose %q, want %q", got, c.want)
			}
		})
	}
}

func pool(n int) []balance.Candidate {
	var out []balance.Candidate
	for i := range n {
		out = append(out, candidate(fmt.Sprintf("s%02d", i), nil))
	}
	return out
}

// Guards against every engine reading the same shared prefix: all instances select the same engine without
// coordination.
func TestInstancesSelectTheSameServerForASharedPrefix(t *testing.T) {
	candidates := pool(18)
	request := &balance.Request{Model: "m", PromptTokens: 6000, TimeRatio: 1, Zone: "a", ModelCount: 1,
		Parts: []balance.PromptPart{{ID: "system", Tokens: 500}, {ID: "subject", Tokens: 4500}, {ID: "own", Tokens: 1000}}}
	want := balance.Choose(candidates, request, "first")
	for i := range 50 {
		if got := balance.Choose(candidates, request, fmt.Sprint("request", i)); got != want {
			t.Fatalf("request %d: selected %d, want %d as for the others", i, got, want)
		}
	}
}

// Guards against requests of the smallest model that wait behind long prompts of the largest one: the two models run on
// disjoint engines while none is overloaded.
func TestSmallestModelHasEnginesOfItsOwn(t *testing.T) {
	candidates := pool(9)
	small, large := map[int]bool{}, map[int]bool{}
	for i := range 200 {
		salt := fmt.Sprint(i)
		small[balance.Choose(candidates, &balance.Request{ModelCount: 3, ModelRank: 0, PromptTokens: 800, TimeRatio: 0.1, Zone: "a"}, salt)] = true
		large[balance.Choose(candidates, &balance.Request{ModelCount: 3, ModelRank: 2, PromptTokens: 800, TimeRatio: 1, Zone: "a"}, salt)] = true
	}
	for i := range small {
		if large[i] {
			t.Errorf("engine %d runs both models", i)
		}
	}
	if len(small) != 2 || len(large) != 7 {
		t.Errorf("%d engines run the small model and %d the large one, want 2 and 7 of 9", len(small), len(large))
	}
}

// Guards against so many requests to large models under load that every answer is late, and against a few long prompts
// that delay many short ones.
func TestRequiredConfidenceFallsWithPressure(t *testing.T) {
	pressures := []float64{0, 0.05, 0.1, 0.2, 0.3, 0.4, 2}
	for _, c := range []struct {
		desc   string
		tokens int
		// least and most are the bounds of the required confidence at high pressure, for a configured one of 60.
		least, most int
	}{
		{"a short prompt still runs on the larger model often", 200, 50, 59},
		{"a usual prompt runs on the larger model only after an answer of very low confidence", 4000, 10, 30},
		{"a long prompt never runs on the larger model", 40_000, 0, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			request, shorter := &balance.Request{PromptTokens: c.tokens, TimeRatio: 1}, &balance.Request{PromptTokens: c.tokens / 2, TimeRatio: 1}
			last := 60
			for _, pressure := range pressures {
				required := balance.RequiredConfidence(60, pressure, request)
				if required > last {
					t.Errorf("at a pressure of %g the required confidence rises to %d", pressure, required)
				}
				if other := balance.RequiredConfidence(60, pressure, shorter); other < required {
					t.Errorf("at a pressure of %g a shorter prompt requires a confidence of %d, this one %d", pressure, other, required)
				}
				last = required
			}
			if calm := balance.RequiredConfidence(60, 0, request); calm != 60 {
				t.Errorf("required confidence %d without pressure, want 60", calm)
			}
			if last < c.least || last > c.most {
				t.Errorf("required confidence %d at high pressure, want %d to %d", last, c.least, c.most)
			}
		})
	}
}

// Guards against instances that count backend servers of unknown load as idle. The test simulates a large fleet in
// which all engines are equally busy: each instance sends two requests per second to a pool of 40 servers, and sees
// only the load reports and event intervals of their answers.
func TestPressureOfAPartlyKnownPool(t *testing.T) {
	const instances, servers, perSecond = 82, 40, 2
	for _, busy := range []struct {
		desc              string
		running           int
		gap               time.Duration
		leastSure, atMost int
	}{{"saturated", 32, 280 * time.Millisecond, 0, 20}, {"calm", 1, 30 * time.Millisecond, 55, 60}} {
		rng := rand.New(rand.NewPCG(7, 8))
		var rows []balance.Row
		for i := range servers {
			rows = append(rows, balance.Row{ID: fmt.Sprintf("s%02d", i), Zone: "a", Slots: 64})
		}
		request, outside := &balance.Request{ModelCount: 3, ModelRank: 2, PromptTokens: 8000, TimeRatio: 1, Zone: "a"}, 0
		for range instances {
			tracker := balance.NewTracker()
			for at := time.Duration(0); at < 5*time.Second; at += time.Second / perSecond {
				now := start.Add(at)
				server := rows[rng.IntN(servers)].ID
				_, done := tracker.RecordSent(now, server, request, 0)
				tracker.RecordLoad(server, balance.LoadReport{Running: busy.running, Slots: 64, At: now})
				for range 20 {
					tracker.RecordEventInterval(now, server, busy.gap)
				}
				done()
			}
			sure := balance.RequiredConfidence(60, balance.GroupPressure(tracker.Candidates(start.Add(5*time.Second), rows, request), request), request)
			if sure < busy.leastSure || sure > busy.atMost {
				outside++
			}
		}
		if outside > instances/10 {
			t.Errorf("%s: %d of %d instances require a confidence outside %d to %d", busy.desc, outside, instances, busy.leastSure, busy.atMost)
		}
	}
}

// Guards against a positive pressure when no load is known.
func TestPressureOfAnUnknownPool(t *testing.T) {
	if p := balance.GroupPressure(pool(9), &balance.Request{Zone: "a"}); p != 0 {
		t.Errorf("pressure %g of a pool without a known load", p)
	}
}

// Guards against requests that are refused because of a queue that has drained since: a plain service that takes 15 ms
// per request reported 0.3 s ago that requests equal to 1.5 times its slots were running or waiting. want is whether a
// request waits in the instance.
func TestFull(t *testing.T) {
	const wait = 72 * time.Millisecond
	plain, prompt := &balance.Request{Zone: "a"}, &balance.Request{PromptTokens: 500, TimeRatio: 1, Zone: "a"}
	for _, c := range []struct {
		desc    string
		request *balance.Request
		running int
		answer  time.Duration
		want    bool
	}{
		{"free slots", plain, 5, 15 * time.Millisecond, false},
		{"a queue that drains in time", plain, 12, 15 * time.Millisecond, false},
		{"a queue that takes longer than the request may wait", plain, 12, 60 * time.Millisecond, true},
		{"a queue so long that the server refuses requests", plain, 30, 15 * time.Millisecond, true},
		{"an unknown latency", plain, 12, 0, true},
		{"a generation, which keeps its slot for long", prompt, 12, 15 * time.Millisecond, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			tracker := balance.NewTracker()
			for range 10 {
				if c.answer > 0 {
					tracker.RecordLatency(start, "s", c.answer)
				}
			}
			tracker.RecordLoad("s", balance.LoadReport{Running: c.running, Slots: 6, At: start})
			got := tracker.Candidates(start.Add(300*time.Millisecond), []balance.Row{{ID: "s", Zone: "a", Slots: 6}}, c.request)[0]
			if got.Full(c.request, wait) != c.want {
				t.Errorf("full: %t at a load of %.2f, want %t", !c.want, got.Load, c.want)
			}
		})
	}
}

// Guards against a cold backend server that fails because each instance respects its own rate only. The test simulates
// instances that all have more requests than the cold server can take, and counts the requests in each span of one
// second.
func TestColdRateHoldsOverAllInstances(t *testing.T) {
	for _, c := range []struct {
		instances int
		perSecond float64
		limit     int // requests in one second above which the server fails
	}{{6, 10, 20}, {9, 16, 29}, {1, 10, 20}, {82, 10, 20}, {410, 16, 29}} {
		var sent []time.Duration
		rng := rand.New(rand.NewPCG(1, uint64(c.instances)))
		request := &balance.Request{Zone: "a"}
		var fleet []string
		for i := range c.instances {
			fleet = append(fleet, fmt.Sprint("entry-", i))
		}
		for _, self := range fleet {
			tracker := balance.NewTracker()
			rate := balance.ColdRate(c.perSecond, fleet, self, "cold")
			row := []balance.Row{{ID: "cold", Zone: "a", Slots: 64, ColdRemaining: 10 * time.Second, ColdRate: rate}}
			for at := time.Duration(rng.Int64N(int64(20 * time.Millisecond))); at < 5*time.Second; at += 20 * time.Millisecond {
				now := start.Add(at)
				if balance.Choose(tracker.Candidates(now, row, request), request, "r") >= 0 {
					_, done := tracker.RecordSent(now, "cold", request, rate)
					done()
					sent = append(sent, at)
				}
			}
		}
		most := 0
		for _, from := range sent {
			n := 0
			for _, at := range sent {
				if at >= from && at < from+time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		if most > c.limit {
			t.Errorf("%d instances sent %d requests in one second, the server can take %d", c.instances, most, c.limit)
		}
		if total := len(sent); float64(total) < 0.5*5*c.perSecond {
			t.Errorf("%d instances sent %d requests in 5 s, less than half of the allowed rate", c.instances, total)
		}
	}
}

// Guards against instances that each assume to be the only one right after a restart of the control group.
func TestNoColdRateWithoutTheListOfInstances(t *testing.T) {
	if rate := balance.ColdRate(10, nil, "e1", "cold"); rate != 0 {
		t.Errorf("rate %g without a list", rate)
	}
	if rate := balance.ColdRate(10, []string{"e2"}, "e1", "cold"); rate != 0 {
		t.Errorf("rate %g for an instance that is not in the list", rate)
	}
}

// Guards against a backend server that is avoided permanently after a failure.
func TestServerIsAvoidedForALimitedTime(t *testing.T) {
	tracker := balance.NewTracker()
	rows, request := []balance.Row{{ID: "s", Zone: "a", Slots: 8}}, &balance.Request{Zone: "a"}
	penaltyAfter := func(at time.Duration) float64 { return tracker.Candidates(start.Add(at), rows, request)[0].Penalty }
	for range 20 {
		tracker.RecordFailure(start, "s")
	}
	if penaltyAfter(time.Second) == 0 {
		t.Error("a server that failed 20 times is no longer avoided after a second")
	}
	if penaltyAfter(5*time.Second) != 0 {
		t.Error("a server is still avoided 5 s after its last failure")
	}
}

// Guards against counters that are not decremented, so that a server looks busy permanently.
func TestRequestCountersAreDecrementedOnce(t *testing.T) {
	tracker := balance.NewTracker()
	rows, request := []balance.Row{{ID: "s", Zone: "a", Slots: 8}}, &balance.Request{PromptTokens: 1000, TimeRatio: 1, Zone: "a"}
	onFirstByte, onEnd := tracker.RecordSent(start, "s", request, 0)
	if c := tracker.Candidates(start, rows, request)[0]; c.Load != 1.0/8 || c.QueuedTokens != 1000 {
		t.Errorf("load %g and queue %g while a request waits", c.Load, c.QueuedTokens)
	}
	onFirstByte()
	onFirstByte()
	onEnd()
	onEnd()
	if c := tracker.Candidates(start, rows, request)[0]; c.Load != 0 || c.QueuedTokens != 0 {
		t.Errorf("load %g and queue %g after the end", c.Load, c.QueuedTokens)
	}
}

func BenchmarkChoose600(b *testing.B) {
	tracker := balance.NewTracker()
	request := &balance.Request{ModelCount: 3, ModelRank: 2, PromptTokens: 8000, TimeRatio: 1, Zone: "a",
		Parts: []balance.PromptPart{{ID: "system", Tokens: 500}, {ID: "subject", Tokens: 4500}, {ID: "own", Tokens: 1000}}}
	var rows []balance.Row
	for i := range 600 {
		rows = append(rows, balance.Row{ID: fmt.Sprintf("s%03d", i), Zone: "a", Slots: 64})
	}
	b.ReportAllocs()
	for b.Loop() {
		balance.Choose(tracker.Candidates(start, rows, request), request, "r")
	}
}

// serverList is a balance.ServerList of rows whose IDs are numbers in ascending order.
type serverList []balance.Row

func (l serverList) Identity() any                 { return &l[0] }
func (l serverList) Len() int                      { return len(l) }
func (l serverList) ID(i int) string               { return l[i].ID }
func (l serverList) Row(i int) (balance.Row, bool) { return l[i], true }
func (l serverList) Index(id string) int {
	i, found := slices.BinarySearchFunc(l, id, func(r balance.Row, id string) int { return strings.Compare(r.ID, id) })
	if !found {
		return -1
	}
	return i
}

// learnedPool returns a tracker with learned rates for the rows.
func learnedPool(rows []balance.Row, request *balance.Request) *balance.Tracker {
	tracker := balance.NewTracker(balance.Options{LearnedRates: true})
	tracker.Candidates(start, rows, request)
	for i := range 200 {
		at, row := start.Add(time.Duration(i)*time.Millisecond), rows[i*7%len(rows)]
		sent := tracker.Send(at, row.ID, &balance.Request{PromptTokens: 100 * i, TimeRatio: 1, Model: request.Model, Kind: request.Kind}, 0)
		at = at.Add(time.Duration(50+2*i) * time.Millisecond)
		tracker.RecordLoad(row.ID, balance.LoadReport{Running: 3, Slots: row.Slots, WorkPercent: 100, At: at})
		sent.FirstByte()
		sent.FirstEvent(at)
		sent.Event(at, 30*time.Millisecond)
		sent.Ended(at.Add(2 * time.Second))
	}
	return tracker
}

func BenchmarkSelect600(b *testing.B) {
	request := &balance.Request{ModelCount: 3, ModelRank: 2, PromptTokens: 8000, TimeRatio: 1, Zone: "a", Kind: "k", TargetTime: 2 * time.Second,
		Parts: []balance.PromptPart{{ID: "system", Tokens: 500}, {ID: "subject", Tokens: 4500}, {ID: "own", Tokens: 1000}}}
	var rows serverList
	for i := range 600 {
		rows = append(rows, balance.Row{ID: fmt.Sprintf("s%03d", i), Zone: "a", Slots: 64})
	}
	tracker := learnedPool(rows, request)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := tracker.Select(start.Add(time.Second), rows, request, "r"); !ok {
			b.Fatal("not selected")
		}
	}
}

// Guards against requests that wait behind another entry instance's long prompt, which the backend server's load report
// shows only after the prompt was read.
func TestUnreadTokensOfOtherInstances(t *testing.T) {
	type report struct {
		server uint64
		tokens float64
	}
	var reports []report
	other, own := balance.NewTracker(), balance.NewTracker()
	other.SetNotify(func(server uint64, tokens float64, _ bool) bool {
		reports = append(reports, report{server, tokens})
		return true
	})
	rows := []balance.Row{{ID: "x", Zone: "a", Slots: 64}, {ID: "y", Zone: "a", Slots: 64}}
	small := &balance.Request{PromptTokens: 500, TimeRatio: 1, Zone: "a"}
	chosen := func(now time.Time) map[string]int {
		counts := map[string]int{}
		candidates := own.Candidates(now, rows, small)
		for n := range 100 {
			counts[candidates[balance.Choose(candidates, small, fmt.Sprint(n))].ID]++
		}
		return counts
	}
	if got := chosen(start); got["x"] == 0 || got["y"] == 0 {
		t.Fatalf("both should be selected while no unread tokens are reported, got %v", got)
	}
	onFirstByte, _ := other.RecordSent(start, "x", &balance.Request{PromptTokens: 50_000, TimeRatio: 1, Zone: "a"}, 0)
	other.RecordSent(start, "y", small, 0)
	if len(reports) != 1 || reports[0] != (report{balance.Hash("x"), 50_000}) {
		t.Fatalf("only the long prompt should be reported, got %v", reports)
	}
	own.RecordRemoteTokens(start, 1, 1, reports[0].server, reports[0].tokens)
	if got := chosen(start); got["x"] != 0 {
		t.Errorf("selected the engine that reads a long prompt: %v", got)
	}
	onFirstByte()
	if len(reports) != 2 || reports[1].tokens != 0 {
		t.Fatalf("the end of the reading should be reported, got %v", reports)
	}
	own.RecordRemoteTokens(start, 1, 2, reports[1].server, reports[1].tokens)
	own.RecordRemoteTokens(start, 1, 1, reports[0].server, reports[0].tokens) // Arrives after a later report.
	if got := chosen(start); got["x"] == 0 {
		t.Errorf("still avoids the engine that has read the prompt: %v", got)
	}
	own.RecordRemoteTokens(start, 2, 1, reports[0].server, reports[0].tokens)
	if got := chosen(start.Add(time.Minute)); got["x"] == 0 {
		t.Errorf("avoids an engine for an expired report: %v", got)
	}
	own.RecordRemoteTokens(start, 3, 1, balance.Hash("unknown"), 50_000)
}

// Guards against several backend servers of a model reading the same prefix, because the server that all instances
// prefer is outside the model's group.
func TestPreferredServerIsInTheModelsGroup(t *testing.T) {
	candidates := pool(18)
	for rank := range 2 {
		for key := range 20 {
			chosen := map[string]bool{}
			for salt := range 30 {
				r := &balance.Request{
					PromptTokens: 600, TimeRatio: 0.1, Zone: "a", Model: fmt.Sprint("m", rank), ModelRank: rank, ModelCount: 3,
					Parts: []balance.PromptPart{{ID: fmt.Sprint("shared-", key), Tokens: 500}, {ID: fmt.Sprint("own-", salt), Tokens: 100}},
				}
				chosen[candidates[balance.Choose(candidates, r, fmt.Sprint(salt))].ID] = true
			}
			if len(chosen) != 1 {
				t.Errorf("model %d, prefix %d: sent to %d backend servers", rank, key, len(chosen))
			}
		}
	}
}
