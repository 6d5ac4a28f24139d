// Command clementinetray runs one process of the router.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"clementinetray/platform"
	"clementinetray/server/daemon"
	"clementinetray/server/settings"
)

type fileArgs struct {
	File string `arg:"positional,required" help:"settings file (INI)"`
}

type arguments struct {
	Run      *fileArgs `arg:"subcommand:run" help:"run the daemon until SIGTERM or SIGINT, then drain: running requests finish"`
	Check    *fileArgs `arg:"subcommand:check" help:"check a settings file and exit"`
	Settings *struct{} `arg:"subcommand:settings" help:"print the reference of all settings with units and defaults"`
}

// Description is printed with the help text.
func (arguments) Description() string {
	return "clementinetray routes requests to model versions and plain services.\nExit codes: 0 stopped as planned, 1 failed, 2 settings or usage refused."
}

const (
	exitFailed  = 1
	exitRefused = 2
)

// adapters holds the built-in platform adapters by their name in the settings; the empty name selects none.
var adapters = map[string]daemon.Adapter{"": nil, platform.Name: platform.Adapter{}}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	switch {
	case args.Run != nil:
		os.Exit(run(args.Run.File))
	case args.Check != nil:
		os.Exit(check(args.Check.File))
	case args.Settings != nil:
		if err := settings.WriteReference(os.Stdout); err != nil {
			os.Exit(exitFailed)
		}
	default:
		parser.WriteHelp(os.Stderr)
		os.Exit(exitRefused)
	}
}

func check(file string) int {
	if _, err := settings.Load(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitRefused
	}
	return 0
}

func run(file string) int {
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitRefused
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	adapter, known := adapters[s.Adapter]
	if !known {
		fmt.Fprintf(os.Stderr, "%s: [platform] adapter = %q: no such adapter is built in\n", file, s.Adapter)
		return exitRefused
	}
	if err := daemon.Run(ctx, s, adapter); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
