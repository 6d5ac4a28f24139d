package balance_test

import (
	"fmt"
	"testing"
	"time"

	"clementinetray/server/balance"
)

// partialList is a serverList of which only some servers may receive the request.
type partialList struct {
	serverList
	usable func(i int) bool
}

func (l partialList) Row(i int) (balance.Row, bool) { return l.serverList[i], l.usable(i) }

func largePool(n int) (serverList, *balance.Request) {
	var rows serverList
	for i := range n {
		rows = append(rows, balance.Row{ID: fmt.Sprintf("s%03d", i), Zone: "a", Slots: 24})
	}
	return rows, &balance.Request{ModelCount: 3, ModelRank: 2, PromptTokens: 6000, TimeRatio: 1, Zone: "a", Model: "m", Kind: "k", TargetTime: 2 * time.Second,
		Parts: []balance.PromptPart{{ID: "system", Tokens: 500}, {ID: "subject", Tokens: 4500}, {ID: "own", Tokens: 1000}}}
}

// Guards against a selection from a sample that ignores the server that all instances prefer for a shared prefix.
func TestSelectPrefersOneServerForASharedPrefix(t *testing.T) {
	rows, request := largePool(140)
	tracker, now := learnedPool(rows, request), start.Add(10*time.Second)
	want := balance.Choose(tracker.Candidates(now, rows, request), request, "first")
	for i := range 50 {
		got, ok := tracker.Select(now, rows, request, fmt.Sprint(i))
		if !ok || got.Index != want {
			t.Fatalf("request %d: selected %d (%t), want %d as Choose", i, got.Index, ok, want)
		}
	}
}

// Guards against a prompt that is read again because the server that has it is not in the sample.
func TestSelectFindsTheServerWithThePrompt(t *testing.T) {
	rows, request := largePool(140)
	tracker, now := learnedPool(rows, request), start.Add(10*time.Second)
	request.Parts = request.Parts[:1] // One part is no shared prefix.
	request.Parts[0].Tokens = 50_000
	request.PromptTokens = 52_000
	for _, server := range []int{0, 17, 139} {
		sent := tracker.Send(now, rows[server].ID, request, 0)
		sent.FirstByte()
		sent.Ended(now)
		for i := range 10 {
			if got, ok := tracker.Select(now, rows, request, fmt.Sprint(i)); !ok || got.Candidate.CachedTokens != 50_000 {
				t.Errorf("server %d has the prompt, selected %d with %d cached tokens", server, got.Index, got.Candidate.CachedTokens)
			}
		}
		now = now.Add(time.Minute)
	}
}

// Guards against a request to a server that may not receive it, and against a refusal while there is one that may.
func TestSelectLeavesOutUnusableServers(t *testing.T) {
	rows, request := largePool(140)
	tracker, now := learnedPool(rows, request), start.Add(10*time.Second)
	selected := 0
	for i := range 200 {
		got, ok := tracker.Select(now, partialList{rows, func(i int) bool { return i%3 == 0 }}, request, fmt.Sprint(i))
		if ok && got.Index%3 != 0 {
			t.Fatalf("selected %d", got.Index)
		}
		if ok {
			selected++
		}
	}
	if selected < 190 {
		t.Errorf("%d of 200 selected from the sample", selected)
	}
	if got, ok := tracker.Select(now, partialList{rows, func(int) bool { return false }}, request, "r"); ok {
		t.Errorf("selected %d of a pool without a usable server", got.Index)
	}
	for _, row := range rows {
		tracker.RecordFailure(now, row.ID)
	}
	if got, ok := tracker.Select(now, rows, request, "r"); ok {
		t.Errorf("selected %d with a penalty from the sample, where all servers should be compared", got.Index)
	}
}

// Guards against a request that waits because each server of its sample is full, while others are not.
func TestSelectFindsAServerThatIsNotFull(t *testing.T) {
	for _, n := range []int{40, 140} {
		rows, request := largePool(n)
		request.Parts = nil
		tracker, now := learnedPool(rows, request), start.Add(time.Second)
		for i, row := range rows {
			running := 40
			if i%20 == 0 {
				running = 6
			}
			tracker.RecordLoad(row.ID, balance.LoadReport{Running: running, Slots: 24, WorkPercent: 100, At: now})
		}
		found := 0
		for i := range 100 {
			selected, ok := tracker.Select(now, rows, request, fmt.Sprint(i))
			if !ok {
				candidates := tracker.Candidates(now, rows, request)
				selected.Candidate = candidates[balance.Choose(candidates, request, fmt.Sprint(i))]
			}
			if selected.Candidate.Load < 1.5 {
				found++
			}
		}
		if found < 99 {
			t.Errorf("%d of 100 requests found a server that is not full, among %d servers", found, n)
		}
	}
}

// Guards against a pressure of a sample that differs from that of the pool.
func TestSelectPressure(t *testing.T) {
	rows, request := largePool(140)
	tracker, now := learnedPool(rows, request), start.Add(time.Second)
	if p, ok := tracker.SelectPressure(now.Add(time.Minute), rows, request, "r"); ok {
		t.Errorf("pressure %g without a known load", p)
	}
	for i, row := range rows {
		tracker.RecordLoad(row.ID, balance.LoadReport{Running: i * 24 / 140, Slots: 24, WorkPercent: 100, At: now})
	}
	want := balance.GroupPressure(tracker.Candidates(now, rows, request), request)
	sum := 0.0
	for i := range 100 {
		p, ok := tracker.SelectPressure(now, rows, request, fmt.Sprint(i))
		if !ok || p < want-0.25 || p > want+0.25 {
			t.Errorf("pressure %g (%t), want about %g", p, ok, want)
		}
		sum += p / 100
	}
	if sum < want-0.05 || sum > want+0.05 {
		t.Errorf("mean pressure %g, want %g", sum, want)
	}
}

// Guards against expected times that don't grow with what a request waits for, which admission control depends on.
func TestFirstEvent(t *testing.T) {
	rows, request := largePool(20)
	request.Parts = nil
	at := func(change func(*balance.Tracker, time.Time)) balance.Candidate {
		tracker, now := learnedPool(rows, request), start.Add(10*time.Second)
		if change != nil {
			change(tracker, now)
		}
		return tracker.Candidates(now, rows, request)[0]
	}
	idle := at(nil)
	if idle.FirstEvent <= 0 || idle.EventTime <= 0 || idle.WorkPercent != 100 {
		t.Fatalf("first event after %s, time between events %s, work %d", idle.FirstEvent, idle.EventTime, idle.WorkPercent)
	}
	for _, c := range []struct {
		desc   string
		change func(*balance.Tracker, time.Time)
	}{
		{"a long prompt ahead", func(tracker *balance.Tracker, now time.Time) {
			tracker.Send(now, rows[0].ID, &balance.Request{PromptTokens: 50_000, TimeRatio: 1, Kind: "k"}, 0)
		}},
		{"no free slot", func(tracker *balance.Tracker, now time.Time) {
			tracker.RecordLoad(rows[0].ID, balance.LoadReport{Running: 24, Waiting: 12, Slots: 24, WorkPercent: 100, At: now})
		}},
		{"a machine that is slow now", func(tracker *balance.Tracker, now time.Time) {
			tracker.RecordLoad(rows[0].ID, balance.LoadReport{Running: 3, Slots: 24, WorkPercent: 250, At: now})
		}},
	} {
		if got := at(c.change); got.FirstEvent < idle.FirstEvent*3/2 {
			t.Errorf("%s: first event after %s, %s without", c.desc, got.FirstEvent, idle.FirstEvent)
		}
	}
}

// Guards against expected times in a pool whose servers don't report their work percentage.
func TestTimesAreLearnedOnlyWhereEnabled(t *testing.T) {
	rows, request := largePool(20)
	for _, c := range []struct {
		desc    string
		options balance.Options
		percent int
		want    bool
	}{{"neither", balance.Options{}, 0, false}, {"by the option", balance.Options{LearnedRates: true}, 0, true}, {"by a report", balance.Options{}, 100, true}} {
		tracker := balance.NewTracker(c.options)
		tracker.Candidates(start, rows, request)
		for i := range 60 {
			sent := tracker.Send(start, rows[0].ID, request, 0)
			tracker.RecordLoad(rows[0].ID, balance.LoadReport{Running: 1, Slots: 24, WorkPercent: c.percent, At: start})
			sent.FirstEvent(start.Add(time.Duration(50+i) * time.Millisecond))
			sent.Ended(start.Add(time.Second))
		}
		if got := tracker.Candidates(start, rows, request)[1].FirstEvent > 0; got != c.want {
			t.Errorf("enabled by %s: expected times known: %t", c.desc, got)
		}
	}
}
