// Package command implements the operators' tool clementinectl.
package command

import "time"

// arguments holds the parsed command line.
type arguments struct {
	Addresses []string      `arg:"--server,separate,env:CLEMENTINECTL_SERVER" placeholder:"ADDRESS" help:"operator address, host:port or URL; repeat the option, or separate by commas in the environment, to name several"`
	Token     string        `arg:"--token,env:CLEMENTINECTL_TOKEN" help:"operator token"`
	Operator  string        `arg:"--by,env:CLEMENTINECTL_BY" help:"operator name that is recorded with changes [default: the login name]"`
	Output    string        `arg:"-o,--output" default:"table" placeholder:"FORMAT" help:"table or json"`
	Timeout   time.Duration `arg:"--timeout" default:"15s" help:"time limit for the whole command, retries included"`

	Catalogue  *catalogueArgs  `arg:"subcommand:catalogue" help:"show, compare or replace the catalogue"`
	Zone       *orderArgs      `arg:"subcommand:zone" help:"take an availability zone out of service or bring it back"`
	Server     *orderArgs      `arg:"subcommand:server" help:"take a backend server out of service or bring it back"`
	Servers    *struct{}       `arg:"subcommand:servers" help:"list the backend servers"`
	Rollouts   *struct{}       `arg:"subcommand:rollouts" help:"list the roll-outs"`
	Rollout    *rolloutArgs    `arg:"subcommand:rollout" help:"hold, resume or roll back a roll-out"`
	Quarantine *quarantineArgs `arg:"subcommand:quarantine" help:"list requests that crash backend servers, or lift a quarantine"`
	Status     *struct{}       `arg:"subcommand:status" help:"show the control group, the entry instances and the problems that need an operator"`
	Timeline   *timelineArgs   `arg:"subcommand:timeline" help:"show events of all processes in order"`
	Explain    *explainArgs    `arg:"subcommand:explain" help:"show why a request was refused or where it was sent"`
	Bills      *struct{}       `arg:"subcommand:bills" help:"show the totals of each workspace"`
	Shares     *struct{}       `arg:"subcommand:shares" help:"show the use and the fair share of each workspace"`
	Replica    *replicaArgs    `arg:"subcommand:replica" help:"add or remove a control replica"`
}

// changeArgs holds the options that all changes have.
type changeArgs struct {
	DryRun    bool    `arg:"--dry-run" help:"report what the change would do and change nothing"`
	Base      *uint64 `arg:"--base" placeholder:"REVISION" help:"revision that the change is based on [default: the current one]"`
	RequestID string  `arg:"--request-id" placeholder:"ID" help:"id of an earlier change whose outcome is unknown, to repeat that change"`
}

type catalogueArgs struct {
	Show  *showArgs          `arg:"subcommand:show" help:"print the catalogue"`
	Apply *applyArgs         `arg:"subcommand:apply" help:"replace the catalogue"`
	Diff  *catalogueFileArgs `arg:"subcommand:diff" help:"compare a file with the catalogue in force"`
}

type showArgs struct {
	Revision uint64 `arg:"--revision" help:"print the catalogue that was in force at this revision; the last 64 catalogues are kept"`
}

type catalogueFileArgs struct {
	File string `arg:"positional,required" help:"catalogue as JSON, or the output of 'catalogue show -o json'; - reads standard input"`
}

type applyArgs struct {
	changeArgs
	catalogueFileArgs
}

// orderArgs holds the command that takes an availability zone or a backend server out of service or brings it back.
type orderArgs struct {
	Out *orderOutArgs `arg:"subcommand:out" help:"take out of service"`
	In  *orderInArgs  `arg:"subcommand:in" help:"bring back into service"`
}

// orderInArgs holds the arguments of the commands "zone in" and "server in".
type orderInArgs struct {
	changeArgs
	Name   string `arg:"positional,required" help:"availability zone or backend server id"`
	Reason string `arg:"--reason" help:"reason that is recorded"`
}

// orderOutArgs holds the arguments of the commands "zone out" and "server out".
type orderOutArgs struct {
	orderInArgs
	Force bool `arg:"--force" help:"take it out of service even if the remaining capacity is too small for the load"`
}

type rolloutArgs struct {
	Hold     *modelArgs `arg:"subcommand:hold" help:"stay at the current step"`
	Resume   *modelArgs `arg:"subcommand:resume" help:"continue from the current step"`
	Rollback *modelArgs `arg:"subcommand:rollback" help:"send no new work to the new version"`
}

// modelArgs holds the arguments of the commands for the roll-out of one model.
type modelArgs struct {
	changeArgs
	Model string `arg:"positional,required"`
}

type quarantineArgs struct {
	Lift *liftArgs `arg:"subcommand:lift" help:"let a request run again"`
}

type liftArgs struct {
	changeArgs
	Fingerprint string `arg:"positional,required"`
}

type timelineArgs struct {
	Request       string        `arg:"--request" help:"show only events of this request"`
	Session       string        `arg:"--session"`
	BackendServer string        `arg:"--backend-server" placeholder:"ID"`
	Zone          string        `arg:"--zone"`
	Version       string        `arg:"--version" placeholder:"MODEL@VERSION"`
	Kind          string        `arg:"--kind"`
	Revision      uint64        `arg:"--revision"`
	Since         time.Duration `arg:"--since" help:"show only events that are newer than this duration"`
	Limit         int           `arg:"--limit" default:"1000" help:"maximum number of events; the newest are shown"`
}

type explainArgs struct {
	Request string   `arg:"positional,required" help:"request id"`
	Logs    []string `arg:"--log,separate" placeholder:"FILE" help:"read the logs of the processes from this file instead of querying the control group; repeatable, - is standard input"`
}

type replicaArgs struct {
	Add    *addReplicaArgs    `arg:"subcommand:add" help:"add a learner, which becomes a voter once it has caught up"`
	Remove *removeReplicaArgs `arg:"subcommand:remove" help:"remove a replica"`
}

type addReplicaArgs struct {
	ID      string `arg:"positional,required"`
	Address string `arg:"positional,required" help:"peer address, host:port"`
}

type removeReplicaArgs struct {
	ID string `arg:"positional,required"`
}

// Description implements go-arg's Described: it returns the head of the help text.
func (arguments) Description() string {
	return "clementinectl operates clementinetray."
}

// Epilogue implements go-arg's Epilogued: it returns the end of the help text.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 refused, 2 usage, 3 no answer in time (the outcome of a change is then unknown), " +
		"4 another change won the race."
}
