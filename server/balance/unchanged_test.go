package balance_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"clementinetray/server/balance"
)

var record = flag.Bool("record", false, "write testdata/choices.txt instead of comparing with it")

// Guards against a changed selection in pools without learned rates, and in those whose learned times are not used for placement.
// testdata/choices.txt holds the choices, the load and the pressure in a day of reports, events, failures, cold servers and requests
// of each kind, recorded before rates were learned.
func TestChoicesWithoutLearnedRates(t *testing.T) {
	for name, options := range map[string]balance.Options{"off": {}, "usual placement": {LearnedRates: true, UsualPlacement: true}} {
		t.Run(name, func(t *testing.T) { compareChoices(t, options) })
	}
}

func compareChoices(t *testing.T, options balance.Options) {
	var out bytes.Buffer
	known := 0
	for _, size := range []int{1, 2, 3, 5, 18, 63, 64, 65, 140} {
		known += recordChoices(&out, size, options)
	}
	if options.LearnedRates != (known > 0) {
		t.Fatalf("%d requests had an expected time to the first event", known)
	}
	const path = "testdata/choices.txt"
	if *record {
		if err := os.WriteFile(path, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := bytes.Split(want, []byte("\n")), bytes.Split(out.Bytes(), []byte("\n"))
	if len(wantLines) != len(gotLines) {
		t.Fatalf("%d choices, want %d", len(gotLines), len(wantLines))
	}
	for i := range wantLines {
		if !bytes.Equal(wantLines[i], gotLines[i]) {
			t.Fatalf("choice %d: %s, want %s", i, gotLines[i], wantLines[i])
		}
	}
}

// recordChoices writes a line for each request to a pool of the given size. It returns the number of requests that had an expected time
// to the first event.
func recordChoices(out *bytes.Buffer, size int, options balance.Options) (known int) {
	rng, now, tracker := rand.New(rand.NewPCG(11, uint64(size))), start, balance.NewTracker(options)
	var rows []balance.Row
	for i := range size {
		row := balance.Row{ID: fmt.Sprintf("i-%03d", i), Zone: string(rune('a' + i%3)), Slots: 12 + 12*(i%2), Silent: rng.IntN(40) == 0}
		if rng.IntN(15) == 0 {
			row.ColdRemaining, row.ColdRate = time.Second, float64(rng.IntN(3))
		}
		rows = append(rows, row)
	}
	type sent struct {
		*balance.Sent
		server string
	}
	var running []sent
	for n := range 250 {
		now = now.Add(time.Duration(rng.IntN(60)) * time.Millisecond)
		rank := rng.IntN(3)
		r := &balance.Request{
			PromptTokens: rng.IntN(12_000), Model: fmt.Sprint("m", rank), ModelRank: rank, ModelCount: 3, TimeRatio: []float64{0.1, 0.3, 1}[rank], Zone: "a", Kind: fmt.Sprint("k", rank), TargetTime: 2 * time.Second,
			Parts: []balance.PromptPart{{ID: fmt.Sprint("system", rng.IntN(3)), Tokens: 400}, {ID: fmt.Sprint("own", rng.IntN(50)), Tokens: 2000}},
		}
		if rng.IntN(4) == 0 {
			r = &balance.Request{Zone: "b"}
		}
		candidates := tracker.Candidates(now, rows, r)
		i := balance.Choose(candidates, r, fmt.Sprint("request", n))
		if i < 0 {
			fmt.Fprintf(out, "%d/%d none\n", size, n)
			continue
		}
		c := &candidates[i]
		if c.FirstEvent > 0 {
			known++
		}
		fmt.Fprintf(out, "%d/%d %s %.4f %.4f %.4f %t %s\n", size, n, c.ID, c.Load, c.Pressure(), balance.GroupPressure(candidates, r), c.Full(r, time.Second),
			balance.FirstByteTimeout(r, c, 2*time.Second))
		running = append(running, sent{tracker.Send(now, c.ID, r, c.ColdRate), c.ID})
		for range rng.IntN(3) {
			j := rng.IntN(len(running))
			s := running[j]
			switch rng.IntN(8) {
			case 0:
				tracker.RecordFailure(now, s.server)
			case 1:
				s.Ended(now)
				running = append(running[:j], running[j+1:]...)
			case 2, 3:
				tracker.RecordEventInterval(now, s.server, time.Duration(rng.IntN(400))*time.Millisecond)
			case 4:
				tracker.RecordRemoteTokens(now, uint64(n%5), uint64(n), balance.Hash(s.server), float64(rng.IntN(30_000)))
			default:
				s.FirstByte()
				s.FirstEvent(now)
				tracker.RecordLatency(now, s.server, time.Duration(rng.IntN(900))*time.Millisecond)
				tracker.RecordLoad(s.server, balance.LoadReport{Running: rng.IntN(24), Waiting: rng.IntN(4), Slots: 24, At: now.Add(-100 * time.Millisecond)})
			}
			if len(running) == 0 {
				break
			}
		}
	}
	return known
}
