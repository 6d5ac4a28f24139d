package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clementinetray/server/balance"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func named(id string, change func(*balance.Candidate)) balance.Candidate {
	c := balance.Candidate{ID: id, Zone: "a", Hash: balance.Hash(id), Slowness: 1}
	if change != nil {
		change(&c)
	}
	return c
}

// known is a backend server of which the instance learned lately how busy it is.
func known(id string, load float64) balance.Candidate {
	return named(id, func(c *balance.Candidate) { c.Known, c.Load = true, load })
}

// Each case guards against a request that goes where it waits longer, or where it may not go.
func TestChoose(t *testing.T) {
	prompt := &balance.Request{PromptTokens: 10_000, Pace: 1, Zone: "a"}
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
		{"the lower load", prompt, []balance.Candidate{named("x", func(c *balance.Candidate) { c.Load = 0.9 }), named("y", nil)}, "y"},
		{"the shorter queue of prompts at equal load", prompt, []balance.Candidate{
			named("x", func(c *balance.Candidate) { c.Queue = 30_000 }), named("y", nil)}, "y"},
		{"the engine whose streams go on faster", prompt, []balance.Candidate{
			named("x", func(c *balance.Candidate) { c.Gap = 800 * time.Millisecond }), named("y", func(c *balance.Candidate) { c.Gap = 100 * time.Millisecond })}, "y"},
		{"another zone when the own one is loaded", prompt, []balance.Candidate{
			named("x", func(c *balance.Candidate) { c.Load = 0.5 }), named("y", func(c *balance.Candidate) { c.Zone = "b" })}, "y"},
		{"the own zone at equal load", prompt, []balance.Candidate{named("x", func(c *balance.Candidate) { c.Zone = "b" }), named("y", nil)}, "y"},
		{"where the prompt is cached", prompt, []balance.Candidate{named("x", nil), named("y", func(c *balance.Candidate) { c.CachedTokens = 8000 })}, "y"},
		{"not where the last attempts failed", prompt, []balance.Candidate{
			named("x", func(c *balance.Candidate) { c.Doubt = 1 }), named("y", func(c *balance.Candidate) { c.Load = 1 })}, "y"},
		{"a doubtful one when there is no other", prompt, []balance.Candidate{named("x", func(c *balance.Candidate) { c.Doubt = 1 })}, "x"},
		{"a known idle one before unknown ones while the known ones are busy", prompt, append(pool(20), append(busy, known("x", 0.1))...), "x"},
		{"an unknown one when few are known", prompt, append(pool(20)[7:8], busy[0], busy[1]), "s07"},
		{"an unknown one when most are known", prompt, append(pool(20)[7:8], busy...), "s07"},
		{"a cold unknown one, which has nothing to do", prompt,
			append(pool(20), append(busy, named("u", func(c *balance.Candidate) { c.Cold, c.ColdReady = true, true }), known("x", 0.1))...), "u"},
		{"no cold one beyond its rate", prompt, []balance.Candidate{named("x", func(c *balance.Candidate) { c.Cold = true })}, ""},
		{"a cold one within its rate", prompt, []balance.Candidate{named("x", func(c *balance.Candidate) { c.Cold, c.ColdReady = true, true })}, "x"},
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
		out = append(out, named(fmt.Sprintf("s%02d", i), nil))
	}
	return out
}

// Guards against instances that read the same shared prompt on every engine: they agree on one without talking.
func TestInstancesAgreeOnTheHomeOfAPrompt(t *testing.T) {
	candidates := pool(18)
	request := &balance.Request{Model: "m", PromptTokens: 6000, Pace: 1, Zone: "a", Models: 1,
		Parts: []balance.PromptPart{{ID: "system", Tokens: 500}, {ID: "subject", Tokens: 4500}, {ID: "own", Tokens: 1000}}}
	want := balance.Choose(candidates, request, "first")
	for i := range 50 {
		if got := balance.Choose(candidates, request, fmt.Sprint("request", i)); got != want {
			t.Fatalf("request %d went to %d, the others to %d", i, got, want)
		}
	}
}

// Guards against requests of the smallest model that wait behind the long prompts of the largest one: their engines are
// disjoint while there is room.
func TestModelsOfUnlikePaceHaveEnginesOfTheirOwn(t *testing.T) {
	candidates := pool(9)
	small, large := map[int]bool{}, map[int]bool{}
	for i := range 200 {
		salt := fmt.Sprint(i)
		small[balance.Choose(candidates, &balance.Request{Models: 3, ModelRank: 0, PromptTokens: 800, Pace: 0.1, Zone: "a"}, salt)] = true
		large[balance.Choose(candidates, &balance.Request{Models: 3, ModelRank: 2, PromptTokens: 800, Pace: 1, Zone: "a"}, salt)] = true
	}
	for i := range small {
		if large[i] {
			t.Errorf("engine %d runs both", i)
		}
	}
	if len(small) != 2 || len(large) != 7 {
		t.Errorf("%d engines run the small model and %d the large one, want 2 and 7 of 9", len(small), len(large))
	}
}

// Guards against large models that are asked so often under load that every answer comes late, and against few long prompts
// that hold up many short ones.
func TestSurenessFallsWithThePressure(t *testing.T) {
	pressures := []float64{0, 0.05, 0.1, 0.2, 0.3, 0.4, 2}
	for _, c := range []struct {
		desc   string
		tokens int
		// least and most bound the confidence asked at full pressure, of 60.
		least, most int
	}{
		{"a short prompt is still asked for", 200, 50, 59},
		{"a usual prompt only when its answer is very doubtful", 4000, 10, 30},
		{"a long prompt never", 40_000, 0, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			request, shorter := &balance.Request{PromptTokens: c.tokens, Pace: 1}, &balance.Request{PromptTokens: c.tokens / 2, Pace: 1}
			last := 60
			for _, pressure := range pressures {
				sure := balance.Sureness(60, pressure, request)
				if sure > last {
					t.Errorf("at a pressure of %g the confidence asked rises to %d", pressure, sure)
				}
				if other := balance.Sureness(60, pressure, shorter); other < sure {
					t.Errorf("at a pressure of %g a shorter prompt is asked a confidence of %d, this one %d", pressure, other, sure)
				}
				last = sure
			}
			if calm := balance.Sureness(60, 0, request); calm != 60 {
				t.Errorf("%d is asked without pressure, want 60", calm)
			}
			if last < c.least || last > c.most {
				t.Errorf("%d is asked at full pressure, want %d to %d", last, c.least, c.most)
			}
		})
	}
}

// Guards against instances that take the backend servers of which they know nothing for idle. It replays a large fleet whose
// engines are all as busy: each instance sends about two requests a second to a pool of 40 and sees what their answers state and
// how far apart the events of their streams are.
func TestPressureOfAPoolThatEachInstanceKnowsInPart(t *testing.T) {
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
		request, strays := &balance.Request{Models: 3, ModelRank: 2, PromptTokens: 8000, Pace: 1, Zone: "a"}, 0
		for range instances {
			tracker := balance.NewTracker()
			for at := time.Duration(0); at < 5*time.Second; at += time.Second / perSecond {
				now := start.Add(at)
				server := rows[rng.IntN(servers)].ID
				_, done := tracker.Sent(now, server, request, 0)
				tracker.Observe(server, balance.Observation{Running: busy.running, Slots: 64, At: now})
				for range 20 {
					tracker.Paced(now, server, busy.gap)
				}
				done()
			}
			sure := balance.Sureness(60, balance.Pressure(tracker.Candidates(start.Add(5*time.Second), rows, request), request), request)
			if sure < busy.leastSure || sure > busy.atMost {
				strays++
			}
		}
		if strays > instances/10 {
			t.Errorf("%s: %d of %d instances ask for another confidence than from %d to %d", busy.desc, strays, instances, busy.leastSure, busy.atMost)
		}
	}
}

// Guards against a pressure that is made up while nothing is known.
func TestPressureOfAnUnknownPool(t *testing.T) {
	if p := balance.Pressure(pool(9), &balance.Request{Zone: "a"}); p != 0 {
		t.Errorf("pressure %g of a pool of which nothing is known", p)
	}
}

// Guards against requests that are refused for a queue that is gone: a plain service that runs 15 ms a request said 0.3 s ago that
// it has half as many requests again as slots. Each case states when a request waits in the instance instead.
func TestFull(t *testing.T) {
	const wait = 72 * time.Millisecond
	plain, prompt := &balance.Request{Zone: "a"}, &balance.Request{PromptTokens: 500, Pace: 1, Zone: "a"}
	for _, c := range []struct {
		desc    string
		request *balance.Request
		running int
		answer  time.Duration
		want    bool
	}{
		{"free slots", plain, 5, 15 * time.Millisecond, false},
		{"a queue that is short in time", plain, 12, 15 * time.Millisecond, false},
		{"a queue that takes longer than the request may wait", plain, 12, 60 * time.Millisecond, true},
		{"a queue so long that requests are refused there", plain, 30, 15 * time.Millisecond, true},
		{"an unknown time of answers", plain, 12, 0, true},
		{"a generation, whose slots stay in use", prompt, 12, 15 * time.Millisecond, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			tracker := balance.NewTracker()
			for range 10 {
				if c.answer > 0 {
					tracker.Answered(start, "s", c.answer)
				}
			}
			tracker.Observe("s", balance.Observation{Running: c.running, Slots: 6, At: start})
			got := tracker.Candidates(start.Add(300*time.Millisecond), []balance.Row{{ID: "s", Zone: "a", Slots: 6}}, c.request)[0]
			if got.Full(c.request, wait) != c.want {
				t.Errorf("full: %t at a load of %.2f, want %t", !c.want, got.Load, c.want)
			}
		})
	}
}

// Guards against a cold backend server that falls over because each instance keeps to its own rate only. It replays
// instances that all have more requests than the cold server bears, and counts each span of a second.
func TestColdRateHoldsOverAllInstances(t *testing.T) {
	for _, c := range []struct {
		instances int
		perSecond float64
		bears     int // what a server bears in one second beyond which it falls over
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
			row := []balance.Row{{ID: "cold", Zone: "a", Slots: 64, ColdFor: 10 * time.Second, ColdRate: rate}}
			for at := time.Duration(rng.Int64N(int64(20 * time.Millisecond))); at < 5*time.Second; at += 20 * time.Millisecond {
				now := start.Add(at)
				if balance.Choose(tracker.Candidates(now, row, request), request, "r") >= 0 {
					_, done := tracker.Sent(now, "cold", request, rate)
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
		if most > c.bears {
			t.Errorf("%d instances sent %d requests in one second, the server bears %d", c.instances, most, c.bears)
		}
		if total := len(sent); float64(total) < 0.5*5*c.perSecond {
			t.Errorf("%d instances sent %d requests in 5 s, so that half of the allowed rate is not used", c.instances, total)
		}
	}
}

// Guards against instances that each take themselves for the only one right after a restart of the control group.
func TestNobodySendsToColdServersBeforeTheListOfInstancesIsThere(t *testing.T) {
	if rate := balance.ColdRate(10, nil, "e1", "cold"); rate != 0 {
		t.Errorf("rate %g without a list", rate)
	}
	if rate := balance.ColdRate(10, []string{"e2"}, "e1", "cold"); rate != 0 {
		t.Errorf("rate %g for an instance that the list lacks", rate)
	}
}

// Guards against a backend server that is avoided for ever after a failure.
func TestDoubtEnds(t *testing.T) {
	tracker := balance.NewTracker()
	rows, request := []balance.Row{{ID: "s", Zone: "a", Slots: 8}}, &balance.Request{Zone: "a"}
	doubt := func(at time.Duration) float64 { return tracker.Candidates(start.Add(at), rows, request)[0].Doubt }
	for range 20 {
		tracker.Failed(start, "s")
	}
	if doubt(time.Second) == 0 {
		t.Error("a server that failed 20 times is trusted after a second")
	}
	if doubt(5*time.Second) != 0 {
		t.Error("a server is still avoided 5 s after its last failure")
	}
}

// Guards against counts that never come back, so that a server looks busy for ever.
func TestSentIsGivenBackOnce(t *testing.T) {
	tracker := balance.NewTracker()
	rows, request := []balance.Row{{ID: "s", Zone: "a", Slots: 8}}, &balance.Request{PromptTokens: 1000, Pace: 1, Zone: "a"}
	begun, done := tracker.Sent(start, "s", request, 0)
	if c := tracker.Candidates(start, rows, request)[0]; c.Load != 1.0/8 || c.Queue != 1000 {
		t.Errorf("load %g and queue %g while a request waits", c.Load, c.Queue)
	}
	begun()
	begun()
	done()
	done()
	if c := tracker.Candidates(start, rows, request)[0]; c.Load != 0 || c.Queue != 0 {
		t.Errorf("load %g and queue %g after the end", c.Load, c.Queue)
	}
}

func BenchmarkChoose600(b *testing.B) {
	tracker := balance.NewTracker()
	request := &balance.Request{Models: 3, ModelRank: 2, PromptTokens: 8000, Pace: 1, Zone: "a",
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

// Guards against requests that wait behind the long prompt of another entry instance, which the backend server's stated load
// shows only after it was read.
func TestWorkOfOtherInstances(t *testing.T) {
	type told struct {
		server uint64
		tokens float64
	}
	var said []told
	other, own := balance.NewTracker(), balance.NewTracker()
	other.TellWith(func(server uint64, tokens float64, _ bool) bool {
		said = append(said, told{server, tokens})
		return true
	})
	rows := []balance.Row{{ID: "x", Zone: "a", Slots: 64}, {ID: "y", Zone: "a", Slots: 64}}
	small := &balance.Request{PromptTokens: 500, Pace: 1, Zone: "a"}
	chosen := func(now time.Time) map[string]int {
		counts := map[string]int{}
		candidates := own.Candidates(now, rows, small)
		for n := range 100 {
			counts[candidates[balance.Choose(candidates, small, fmt.Sprint(n))].ID]++
		}
		return counts
	}
	if got := chosen(start); got["x"] == 0 || got["y"] == 0 {
		t.Fatalf("without work both should be chosen, got %v", got)
	}
	begun, _ := other.Sent(start, "x", &balance.Request{PromptTokens: 50_000, Pace: 1, Zone: "a"}, 0)
	other.Sent(start, "y", small, 0)
	if len(said) != 1 || said[0] != (told{balance.Hash("x"), 50_000}) {
		t.Fatalf("a long prompt and no short one should be told, got %v", said)
	}
	own.Hear(start, 1, 1, said[0].server, said[0].tokens)
	if got := chosen(start); got["x"] != 0 {
		t.Errorf("chose the engine that reads a long prompt: %v", got)
	}
	begun()
	if len(said) != 2 || said[1].tokens != 0 {
		t.Fatalf("the end of the reading should be told, got %v", said)
	}
	own.Hear(start, 1, 2, said[1].server, said[1].tokens)
	own.Hear(start, 1, 1, said[0].server, said[0].tokens) // Overtaken on its way.
	if got := chosen(start); got["x"] == 0 {
		t.Errorf("still avoids the engine that has read the prompt: %v", got)
	}
	own.Hear(start, 2, 1, said[0].server, said[0].tokens)
	if got := chosen(start.Add(time.Minute)); got["x"] == 0 {
		t.Errorf("avoids an engine for a hint whose end was lost: %v", got)
	}
	own.Hear(start, 3, 1, balance.Hash("unknown"), 50_000)
}

// Guards against prompts with the same beginning that are read again by several backend servers of a model, because the one
// that all instances agree on does not run that model.
func TestHomeLiesInTheModelsGroup(t *testing.T) {
	candidates := pool(18)
	for rank := range 2 {
		for key := range 20 {
			chosen := map[string]bool{}
			for salt := range 30 {
				r := &balance.Request{
					PromptTokens: 600, Pace: 0.1, Zone: "a", Model: fmt.Sprint("m", rank), ModelRank: rank, Models: 3,
					Parts: []balance.PromptPart{{ID: fmt.Sprint("shared-", key), Tokens: 500}, {ID: fmt.Sprint("own-", salt), Tokens: 100}},
				}
				chosen[candidates[balance.Choose(candidates, r, fmt.Sprint(salt))].ID] = true
			}
			if len(chosen) != 1 {
				t.Errorf("model %d, beginning %d: sent to %d backend servers", rank, key, len(chosen))
			}
		}
	}
}
