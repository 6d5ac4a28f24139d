package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"clementinetray/api/control"
	"clementinetray/ctl/operatorapi"
)

// Error is the class of the errors of this package, except those of the class ErrUsage.
var Error = errs.Class("clementinectl")

// ErrUsage means that the command line or an input file can't be used.
var ErrUsage = errs.Class("usage")

// Exit codes.
const (
	ExitDone        = 0
	ExitRefused     = 1
	ExitUsage       = 2
	ExitUnreachable = 3
	ExitConflict    = 4
)

// Streams are the standard streams of the process.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// runner executes one command line.
type runner struct {
	Streams
	args   arguments
	client *operatorapi.Client
}

// Run executes the command line, which is given without the program's name, and returns the exit code.
func Run(ctx context.Context, commandLine []string, streams Streams) int {
	r := &runner{Streams: streams}
	parser, err := arg.NewParser(arg.Config{Program: "clementinectl", Out: streams.Err}, &r.args)
	if err != nil {
		return r.reportError(ErrUsage.Wrap(err))
	}
	switch err := parser.Parse(commandLine); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(streams.Out)
		return ExitDone
	case err != nil:
		return r.reportError(ErrUsage.Wrap(err))
	}
	execute, err := r.selectCommand()
	if err != nil {
		return r.reportError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.args.Timeout)
	defer cancel()
	r.client = operatorapi.New(r.args.Addresses, r.args.Token)
	return r.reportError(execute(ctx))
}

// selectCommand returns the function that executes the subcommand of the command line.
func (r *runner) selectCommand() (func(context.Context) error, error) {
	a := &r.args
	var execute func(context.Context) error
	switch {
	case a.Catalogue != nil:
		execute = r.catalogueCommand(a.Catalogue)
	case a.Zone != nil:
		execute = r.orderCommand("/v1/zones/", a.Zone)
	case a.Server != nil:
		execute = r.orderCommand("/v1/servers/", a.Server)
	case a.Servers != nil:
		execute = r.listServers
	case a.Rollouts != nil:
		execute = r.listRollouts
	case a.Rollout != nil:
		execute = r.rolloutCommand(a.Rollout)
	case a.Quarantine != nil && a.Quarantine.Lift != nil:
		execute = r.liftCommand(a.Quarantine.Lift)
	case a.Quarantine != nil:
		execute = r.listQuarantine
	case a.Status != nil:
		execute = r.showStatus
	case a.Timeline != nil:
		execute = r.showTimeline
	case a.Explain != nil:
		execute = r.explainRequest
	case a.Bills != nil:
		execute = r.listBills
	case a.Shares != nil:
		execute = r.showShares
	case a.Replica != nil:
		execute = r.replicaCommand(a.Replica)
	}
	switch {
	case execute == nil:
		return nil, ErrUsage.New("a command is missing; see --help")
	case len(a.Addresses) == 0 && (a.Explain == nil || len(a.Explain.Logs) == 0):
		return nil, ErrUsage.New("--server or CLEMENTINECTL_SERVER is required")
	case a.Output != "table" && a.Output != "json":
		return nil, ErrUsage.New("the output format is table or json, not %q", a.Output)
	case a.Timeout <= 0:
		return nil, ErrUsage.New("--timeout must be positive")
	}
	return execute, nil
}

// reportError prints the error, if there is one, and returns the exit code.
func (r *runner) reportError(err error) int {
	var refusal *operatorapi.Refusal
	switch {
	case err == nil:
		return ExitDone
	case ErrUsage.Has(err):
		fmt.Fprintln(r.Err, err)
		return ExitUsage
	case operatorapi.ErrUnreachable.Has(err):
		fmt.Fprintln(r.Err, err)
		return ExitUnreachable
	case errors.As(err, &refusal) && refusal.Conflict != nil:
		c := refusal.Conflict
		fmt.Fprintf(r.Err, "conflict: revision %d by %s at %s was accepted first\n", c.Revision, c.By, c.At.Format(time.RFC3339))
		for _, line := range c.Diff {
			fmt.Fprintln(r.Err, "  "+line)
		}
		return ExitConflict
	case errors.As(err, &refusal):
		fmt.Fprintln(r.Err, "refused:", refusal)
		if refusal.Fields != nil {
			fmt.Fprintln(r.Err, string(refusal.Fields))
		}
		return ExitRefused
	default:
		fmt.Fprintln(r.Err, err)
		return ExitRefused
	}
}

// printIfJSON prints v if the output format is JSON, and returns whether it is.
func (r *runner) printIfJSON(v any) bool {
	if r.args.Output != "json" {
		return false
	}
	enc := json.NewEncoder(r.Out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
	return true
}

// changeBase returns the revision, request id and operator name that a change is sent with. The request id is generated
// once, so that all retries carry the same id. Without --base, the change is based on the current revision, which is read
// from the API.
func (r *runner) changeBase(ctx context.Context, a *changeArgs) (control.ChangeBase, error) {
	base := control.ChangeBase{RequestID: a.RequestID, By: r.operatorName(), DryRun: a.DryRun}
	if base.RequestID == "" {
		base.RequestID = uuid.NewString()
	}
	if a.Base != nil {
		base.BaseRevision = *a.Base
		return base, nil
	}
	current := control.CatalogueReply{}
	if err := r.client.Call(ctx, "GET", "/v1/catalogue", nil, &current); err != nil {
		return base, err
	}
	base.BaseRevision = current.Revision
	return base, nil
}

// operatorName returns the first that is set of --by, the login name and "operator".
func (r *runner) operatorName() string {
	for _, name := range []string{r.args.Operator, os.Getenv("USER"), os.Getenv("LOGNAME")} {
		if name != "" {
			return name
		}
	}
	return "operator"
}

// sendChange sends a change and prints its result.
func (r *runner) sendChange(ctx context.Context, method, path string, base control.ChangeBase, in any) error {
	reply := control.ChangeReply{}
	if err := r.client.Call(ctx, method, path, in, &reply); err != nil {
		if operatorapi.ErrUnreachable.Has(err) {
			fmt.Fprintf(r.Err, "the outcome is unknown; repeat the command with --request-id %s --base %d\n", base.RequestID, base.BaseRevision)
		}
		return err
	}
	if r.printIfJSON(reply) {
		return nil
	}
	for _, line := range reply.Diff {
		fmt.Fprintln(r.Out, line)
	}
	switch {
	case base.DryRun:
		fmt.Fprintf(r.Out, "dry run, nothing changed; current revision %d\n", reply.Revision)
	case reply.Repeated:
		fmt.Fprintf(r.Out, "was accepted earlier as revision %d\n", reply.Revision)
	default:
		fmt.Fprintf(r.Out, "accepted as revision %d\n", reply.Revision)
	}
	return nil
}
