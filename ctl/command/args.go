// Package command implements the operators' tool clementinectl.
package command

import "time"

// arguments is the command line.
type arguments struct {
	Servers []string      `arg:"--server,separate,env:CLEMENTINECTL_SERVER" placeholder:"ADDRESS" help:"operator address, host:port or URL; repeat the option, or separate by commas in the environment, to name several"`
	Token   string        `arg:"--token,env:CLEMENTINECTL_TOKEN" help:"operator token"`
	By      string        `arg:"--by,env:CLEMENTINECTL_BY" help:"name that is recorded with changes [default: the login name]"`
	Output  string        `arg:"-o,--output" default:"table" placeholder:"FORMAT" help:"table or json"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"time for the whole command, resends included"`

	Catalogue  *catalogueArgs  `arg:"subcommand:catalogue" help:"show, compare or replace the catalogue"`
	Zone       *orderArgs      `arg:"subcommand:zone" help:"take an availability zone out of service or bring it back"`
	Server     *orderArgs      `arg:"subcommand:server" help:"take a backend server out of service or bring it back"`
	List       *struct{}       `arg:"subcommand:servers" help:"list the backend servers"`
	Rollouts   *struct{}       `arg:"subcommand:rollouts" help:"list the roll-outs"`
	Rollout    *rolloutArgs    `arg:"subcommand:rollout" help:"hold, resume or roll back a roll-out"`
	Quarantine *quarantineArgs `arg:"subcommand:quarantine" help:"list requests that crash backend servers, or lift a quarantine"`
	Status     *struct{}       `arg:"subcommand:status" help:"show the control group, the entry instances and what waits for an operator"`
	Timeline   *timelineArgs   `arg:"subcommand:timeline" help:"show events of all processes in order"`
	Explain    *explainArgs    `arg:"subcommand:explain" help:"show why a request was refused or where it was sent"`
	Bills      *struct{}       `arg:"subcommand:bills" help:"show the totals of each workspace"`
	Replica    *replicaArgs    `arg:"subcommand:replica" help:"add or remove a control replica"`
}

// changeArgs are the options of each change.
type changeArgs struct {
	DryRun    bool    `arg:"--dry-run" help:"report what the change would do and change nothing"`
	Base      *uint64 `arg:"--base" placeholder:"REVISION" help:"revision that the change is based on [default: the current one]"`
	RequestID string  `arg:"--request-id" placeholder:"ID" help:"repeat a change whose outcome is unknown under its id"`
}

type catalogueArgs struct {
	Show  *showArgs      `arg:"subcommand:show" help:"print the catalogue"`
	Apply *applyArgs     `arg:"subcommand:apply" help:"replace the catalogue"`
	Diff  *catalogueFile `arg:"subcommand:diff" help:"compare a file with the catalogue in force"`
}

type showArgs struct {
	Revision uint64 `arg:"--revision" help:"print the catalogue that was in force at this revision; the last 64 catalogues are kept"`
}

type catalogueFile struct {
	File string `arg:"positional,required" help:"catalogue as JSON, or the output of 'catalogue show -o json'; - reads standard input"`
}

type applyArgs struct {
	changeArgs
	catalogueFile
}

type orderArgs struct {
	Out *outArgs `arg:"subcommand:out" help:"take out of service"`
	In  *inArgs  `arg:"subcommand:in" help:"bring back into service"`
}

type inArgs struct {
	changeArgs
	Name   string `arg:"positional,required" help:"availability zone or backend server id"`
	Reason string `arg:"--reason" help:"reason that is recorded"`
}

type outArgs struct {
	inArgs
	Force bool `arg:"--force" help:"insist although the rest can't bear the load"`
}

type rolloutArgs struct {
	Hold     *modelArgs `arg:"subcommand:hold" help:"stay at the current step"`
	Resume   *modelArgs `arg:"subcommand:resume" help:"go on from the current step"`
	Rollback *modelArgs `arg:"subcommand:rollback" help:"send no new work to the new version"`
}

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
	Request  string        `arg:"--request" help:"events of this request"`
	Session  string        `arg:"--session"`
	Backend  string        `arg:"--backend-server" placeholder:"ID"`
	Zone     string        `arg:"--zone"`
	Version  string        `arg:"--version" placeholder:"MODEL@VERSION"`
	Kind     string        `arg:"--kind"`
	Revision uint64        `arg:"--revision"`
	Since    time.Duration `arg:"--since" help:"events of this last span of time"`
	Limit    int           `arg:"--limit" default:"1000" help:"largest number of events, the newest ones"`
}

type explainArgs struct {
	Request string   `arg:"positional,required" help:"request id"`
	Logs    []string `arg:"--log,separate" placeholder:"FILE" help:"read the logs of the processes from this file instead of asking the control group; repeatable, - is standard input"`
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

// Description implements the description of the help text.
func (arguments) Description() string {
	return "clementinectl operates clementinetray."
}

// Epilogue implements the end of the help text.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 refused, 2 usage, 3 no answer in time (the outcome of a change is then unknown), " +
		"4 another change won the race."
}
