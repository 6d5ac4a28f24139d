// Command placement replays an arrival file against simulated model engines in virtual time. For the product and for simpler
// placement strategies it prints how many requests were answered in time, their share of the total worth and the times to
// the first event.
package main

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alexflint/go-arg"

	"clementinetray/standin/emulator"
)

type arguments struct {
	Arrivals string `arg:"positional,required" help:"CSV file of arrivals, - for standard input; the header is that of emulator.ArrivalColumns"`
	Engines  int    `arg:"--engines" default:"14" help:"number of engines"`
	Entries  int    `arg:"--entries" default:"9" help:"number of entry instances"`
	Seed     uint64 `arg:"--seed" default:"1" help:"seed of the strategies that choose at random"`
}

func main() {
	a := arguments{}
	arg.MustParse(&a)
	if err := run(a, os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a arguments, in io.Reader, out io.Writer) error {
	if a.Arrivals != "-" {
		file, err := os.Open(a.Arrivals)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	requests, err := emulator.ReadArrivals(in)
	if err != nil {
		return err
	}
	for _, r := range requests {
		if r.Entry >= a.Entries {
			return emulator.Error.New("entry instance %d of a request is out of range: the number of entry instances is %d", r.Entry, a.Entries)
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "placement\tkind\trequests\tin time %\tworth %\tfailed\tfirst event p50 ms\tp90 ms\tp99 ms\tmax ms\t")
	for _, strategy := range []struct {
		name string
		emulator.Placement
	}{
		{"random", &emulator.Random{Engines: a.Engines, RNG: rand.New(rand.NewPCG(a.Seed, 0))}},
		{"least outstanding", &emulator.LeastOutstanding{Engines: a.Engines, RNG: rand.New(rand.NewPCG(a.Seed, 0))}},
		{"product without hints", emulator.NewBalancer(emulator.DefaultEngine, a.Engines, a.Entries, false)},
		{"product", emulator.NewBalancer(emulator.DefaultEngine, a.Engines, a.Entries, true)},
	} {
		if err := printResult(table, strategy.name, emulator.Simulate(emulator.DefaultEngine, a.Engines, requests, nil, strategy)); err != nil {
			return err
		}
	}
	return table.Flush()
}

// printResult prints one line for each kind of request.
func printResult(out io.Writer, name string, result emulator.Result) error {
	outcomes := slices.Clone(result.Outcomes)
	slices.SortStableFunc(outcomes, func(a, b emulator.Outcome) int { return cmp.Compare(a.Kind, b.Kind) })
	for len(outcomes) > 0 {
		n := 1
		for n < len(outcomes) && outcomes[n].Kind == outcomes[0].Kind {
			n++
		}
		if err := printKind(out, name, outcomes[:n]); err != nil {
			return err
		}
		outcomes = outcomes[n:]
	}
	return nil
}

func printKind(out io.Writer, name string, outcomes []emulator.Outcome) error {
	// The histogram holds times of up to an hour, in milliseconds, to three significant digits.
	firstEvents := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	inTime, failed, inTimeWorth, totalWorth := 0, 0, 0.0, 0.0
	for _, o := range outcomes {
		totalWorth += o.Worth
		switch {
		case !o.OK:
			failed++
			continue
		case o.InTime:
			inTime++
			inTimeWorth += o.Worth
		}
		if err := firstEvents.RecordValue(o.FirstEvent.Milliseconds()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%s\t%s\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t\n", name, outcomes[0].Kind, len(outcomes),
		100*float64(inTime)/float64(len(outcomes)), 100*inTimeWorth/max(totalWorth, 1e-9), failed,
		firstEvents.ValueAtQuantile(50), firstEvents.ValueAtQuantile(90), firstEvents.ValueAtQuantile(99), firstEvents.Max())
	return err
}
