// Command soak runs the daemons as processes on this machine, injects faults and prints each violated guarantee. The exit
// code is 1 if there was a violation or an error.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"clementinetray/standin/site"
	"clementinetray/standin/soak"
)

type arguments struct {
	Seed    uint64        `arg:"--seed" default:"1" help:"first seed; the plan of a seed is always the same"`
	Count   int           `arg:"--count" default:"1" help:"number of seeds, one after the other"`
	Length  time.Duration `arg:"--length" default:"60s" help:"time in which faults begin, of each seed"`
	Control int           `arg:"--control" default:"3" help:"instances with a disk"`
	Entry   int           `arg:"--entry" default:"3" help:"instances without"`
	Servers int           `arg:"--servers" default:"6" help:"backend servers"`
	Keep    string        `arg:"--keep" help:"folder that keeps the logs of seeds that failed"`
	Plan    bool          `arg:"--plan" help:"print the plans only"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failed, err := args.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if failed > 0 || err != nil {
		os.Exit(1)
	}
}

// run runs the plan of each seed and returns the number of seeds with violations.
func (a *arguments) run(ctx context.Context) (failed int, err error) {
	size := soak.Size{Control: a.Control, Entry: a.Entry, Servers: a.Servers}
	if a.Plan {
		for seed := a.Seed; seed < a.Seed+uint64(a.Count); seed++ {
			for _, step := range soak.NewPlan(seed, a.Length, size) {
				fmt.Printf("seed=%d %s\n", seed, step)
			}
		}
		return 0, nil
	}
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries, err := site.Build(dir)
	if err != nil {
		return 0, err
	}
	for seed := a.Seed; seed < a.Seed+uint64(a.Count) && ctx.Err() == nil; seed++ {
		seedDir := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
		ok, err := runSeed(ctx, soak.Config{Seed: seed, Length: a.Length, Size: size, Binaries: binaries, Dir: seedDir, Log: slog.New(slog.NewTextHandler(os.Stderr, nil)).With("seed", seed)})
		if err != nil {
			return failed, err
		}
		if !ok {
			failed++
			if a.Keep != "" {
				if err := os.CopyFS(filepath.Join(a.Keep, filepath.Base(seedDir)), os.DirFS(seedDir)); err != nil {
					return failed, err
				}
			}
		}
		if err := os.RemoveAll(seedDir); err != nil {
			return failed, err
		}
	}
	return failed, nil
}

func runSeed(ctx context.Context, config soak.Config) (bool, error) {
	if err := os.MkdirAll(config.Dir, 0o750); err != nil {
		return false, err
	}
	history, err := soak.Run(ctx, config)
	if err != nil {
		return false, err
	}
	violations := history.Violations()
	for _, v := range violations {
		fmt.Printf("seed=%d violated %s\n", config.Seed, v)
	}
	fmt.Printf("seed=%d requests=%d ends=%v violations=%d\n", config.Seed, len(history.Outcomes), history.ResultCounts(), len(violations))
	return len(violations) == 0, nil
}
