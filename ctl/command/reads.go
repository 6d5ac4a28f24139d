package command

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/event"
)

// printTable prints the rows in columns. The header has one word for each column; an empty cell is printed as -.
func (r *runner) printTable(header string, rows [][]string) {
	w := tabwriter.NewWriter(r.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		for i, cell := range row {
			if cell == "" {
				row[i] = "-"
			}
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// formatTime returns t in UTC with a resolution of seconds, "" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// printList fetches a list and prints it as JSON or as a table with one row for each item.
func printList[T any](ctx context.Context, r *runner, path, header string, row func(T) []string) error {
	items := []T{}
	if err := r.client.Call(ctx, "GET", path, nil, &items); err != nil {
		return err
	}
	if r.printIfJSON(items) {
		return nil
	}
	var rows [][]string
	for _, item := range items {
		rows = append(rows, row(item))
	}
	r.printTable(header, rows)
	return nil
}

func (r *runner) listServers(ctx context.Context) error {
	return printList(ctx, r, "/v1/servers", "ID ZONE PHASE SERVES RUNNING QUEUED CAPACITY LIMIT REASON", func(s control.ServerStatus) []string {
		serves := s.Service
		for _, v := range s.Versions {
			serves = strings.TrimPrefix(serves+","+v.String(), ",")
		}
		limit := ""
		if s.Limit > 0 {
			limit = strconv.Itoa(s.Limit)
		}
		return []string{s.ID, s.AvailabilityZone, string(s.Phase), serves, strconv.Itoa(s.Running), strconv.Itoa(s.Queued),
			strconv.Itoa(s.Capacity), limit, s.Reason}
	})
}

func (r *runner) listRollouts(ctx context.Context) error {
	return printList(ctx, r, "/v1/rollouts", "MODEL FROM TO STATE STEP PERCENT SINCE REASON", func(p control.RolloutProgress) []string {
		return []string{p.Model, p.From, p.To, string(p.State), strconv.Itoa(p.Step), strconv.Itoa(p.Percent), formatTime(p.Since), p.Reason}
	})
}

func (r *runner) listQuarantine(ctx context.Context) error {
	return printList(ctx, r, "/v1/quarantine", "FINGERPRINT CRASHES STOPPED SERVERS", func(q control.QuarantineEntry) []string {
		return []string{q.Fingerprint, strconv.Itoa(q.Crashes), strconv.FormatBool(q.Stopped), strings.Join(q.Servers, ",")}
	})
}

func (r *runner) listBills(ctx context.Context) error {
	return printList(ctx, r, "/v1/bills", "WORKSPACE BILLS INCOMPLETE OUTPUT_TOKENS COST_MICROS", func(b control.WorkspaceBill) []string {
		return []string{b.Workspace, fmt.Sprint(b.Bills), fmt.Sprint(b.Incomplete), fmt.Sprint(b.OutputTokens), fmt.Sprint(b.CostMicros)}
	})
}

func (r *runner) showShares(ctx context.Context) error {
	s := control.SharesReply{}
	if err := r.client.Call(ctx, "GET", "/v1/shares", nil, &s); err != nil {
		return err
	}
	if r.printIfJSON(s) {
		return nil
	}
	fmt.Fprintf(r.Out, "standings known %t, %d of %d entry instances report\n\n", s.Known, s.Reporting, s.Expected)
	amount := func(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
	var rows [][]string
	for _, w := range s.Workspaces {
		rows = append(rows, []string{w.Workspace, strconv.FormatFloat(w.Weight, 'g', 4, 64), amount(w.Asked), amount(w.Used), amount(w.Share),
			amount(w.Ratio), strconv.FormatBool(w.Above)})
	}
	r.printTable("WORKSPACE WEIGHT ASKED USED SHARE RATIO ABOVE", rows)
	return nil
}

func (r *runner) printReplicas(replicas []control.ReplicaStatus) {
	var rows [][]string
	for _, p := range replicas {
		role := "learner"
		switch {
		case p.Leader:
			role = "leader"
		case p.Voter:
			role = "voter"
		}
		rows = append(rows, []string{p.ID, p.Address, role, fmt.Sprint(p.MatchIndex)})
	}
	r.printTable("REPLICA ADDRESS ROLE MATCH_INDEX", rows)
}

func (r *runner) showStatus(ctx context.Context) error {
	s := control.StatusReply{}
	if err := r.client.Call(ctx, "GET", "/v1/status", nil, &s); err != nil {
		return err
	}
	if r.printIfJSON(s) {
		return nil
	}
	fmt.Fprintf(r.Out, "leader %s, term %d, commit index %d, revision %d\n\n", s.Leader, s.Term, s.CommitIndex, s.Revision)
	r.printReplicas(s.Replicas)
	fmt.Fprintln(r.Out)
	var rows [][]string
	for _, m := range s.Members {
		rows = append(rows, []string{m.Instance, m.AvailabilityZone, m.PeerAddress, m.CallerAddress, m.Boot})
	}
	r.printTable("ENTRY_INSTANCE ZONE PEER_ADDRESS CALLER_ADDRESS BOOT", rows)
	if rows = appendOrderRows("zone", s.Orders.ZonesOut, nil); len(s.Orders.ZonesOut)+len(s.Orders.ServersOut) > 0 {
		fmt.Fprintln(r.Out)
		r.printTable("OUT NAME BY AT REVISION REASON", appendOrderRows("server", s.Orders.ServersOut, rows))
	}
	if len(s.Attention) > 0 {
		rows = nil
		for _, a := range s.Attention {
			rows = append(rows, []string{a.Subject, a.Problem, a.Action})
		}
		fmt.Fprintln(r.Out)
		r.printTable("ATTENTION PROBLEM ACTION", rows)
	}
	return nil
}

// appendOrderRows appends a row for each order to rows, sorted by name.
func appendOrderRows(kind string, orders map[string]control.Order, rows [][]string) [][]string {
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		o := orders[name]
		rows = append(rows, []string{kind, name, o.By, formatTime(o.At), fmt.Sprint(o.Revision), o.Reason})
	}
	return rows
}

// fetchTimeline returns the events that match the query, and prints the processes that did not answer.
func (r *runner) fetchTimeline(ctx context.Context, query url.Values) (*control.TimelineMerge, error) {
	merge := &control.TimelineMerge{}
	if err := r.client.Call(ctx, "GET", "/v1/timeline?"+query.Encode(), nil, merge); err != nil {
		return nil, err
	}
	if len(merge.Unanswered) > 0 {
		fmt.Fprintln(r.Err, "did not answer:", strings.Join(merge.Unanswered, ", "))
	}
	return merge, nil
}

func (r *runner) showTimeline(ctx context.Context) error {
	a := r.args.Timeline
	query := url.Values{}
	for name, value := range map[string]string{
		"request": a.Request, "session": a.Session, "backend_server": a.BackendServer, "availability_zone": a.Zone,
		"version": a.Version, "kind": a.Kind,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	if a.Revision != 0 {
		query.Set("revision", strconv.FormatUint(a.Revision, 10))
	}
	if a.Since > 0 {
		query.Set("since", time.Now().Add(-a.Since).UTC().Format(time.RFC3339Nano))
	}
	query.Set("limit", strconv.Itoa(a.Limit))
	merge, err := r.fetchTimeline(ctx, query)
	if err != nil {
		return err
	}
	if !r.printIfJSON(merge) {
		r.printEvents(merge.Events)
	}
	return nil
}

func (r *runner) printEvents(events []event.Event) {
	var rows [][]string
	for _, e := range events {
		rows = append(rows, []string{e.Stamp.Time().UTC().Format("2006-01-02T15:04:05.000Z"), e.Instance, string(e.Kind), formatFields(e)})
	}
	r.printTable("TIME INSTANCE EVENT DETAIL", rows)
}

// formatFields returns the fields of an event as key=value pairs.
func formatFields(e event.Event) string {
	var parts []string
	add := func(key, value string) {
		if value != "" {
			parts = append(parts, key+"="+quoteIfNeeded(value))
		}
	}
	add("request", e.Request)
	add("session", e.Session)
	add("workspace", e.Workspace)
	add("backend_server", e.BackendServer)
	add("zone", e.AvailabilityZone)
	add("version", e.Version)
	if e.Revision != 0 {
		add("revision", strconv.FormatUint(e.Revision, 10))
	}
	add("reason", e.Reason)
	for _, key := range slices.Sorted(maps.Keys(e.Detail)) {
		add(key, e.Detail[key])
	}
	return strings.Join(parts, " ")
}

// quoteIfNeeded returns the value in quotes if it contains white space or a quote.
func quoteIfNeeded(value string) string {
	if strings.ContainsAny(value, " \t\n\"") {
		return strconv.Quote(value)
	}
	return value
}

// changeLookback is the time before the first event of a request from which explain shows operator changes.
const changeLookback = 10 * time.Minute

// operatorChangeKinds are the kinds of events of operator changes that affect where requests may be sent.
var operatorChangeKinds = []event.Kind{
	"zone_out", "zone_in", "server_out", "server_in", "catalogue_applied", "rollout_ordered", "quarantine_lifted",
}

// explanation is the JSON output of explain without --log.
type explanation struct {
	Request string        `json:"request"`
	Events  []event.Event `json:"events"`
	// Changes are the operator changes from changeLookback before the first event until the last event.
	Changes    []event.Event `json:"changes"`
	Unanswered []string      `json:"unanswered,omitempty"`
}

func (r *runner) explainRequest(ctx context.Context) error {
	id := r.args.Explain.Request
	if logs := r.args.Explain.Logs; len(logs) > 0 {
		return r.explainFromLogs(id, logs)
	}
	merge, err := r.fetchTimeline(ctx, url.Values{"request": {id}})
	if err != nil {
		return err
	}
	if len(merge.Events) == 0 {
		return Error.New("no process remembers request %s; each keeps its last 20,000 events", id)
	}
	first, last := merge.Events[0], merge.Events[len(merge.Events)-1]
	since := first.Stamp.Time().Add(-changeLookback).UTC().Format(time.RFC3339Nano)
	out := explanation{Request: id, Events: merge.Events, Changes: []event.Event{}, Unanswered: merge.Unanswered}
	for _, kind := range operatorChangeKinds {
		changes, err := r.fetchTimeline(ctx, url.Values{"kind": {string(kind)}, "since": {since}})
		if err != nil {
			return err
		}
		for _, e := range changes.Events {
			if e.Stamp <= last.Stamp {
				out.Changes = append(out.Changes, e)
			}
		}
	}
	slices.SortFunc(out.Changes, func(a, b event.Event) int { return cmp.Compare(a.Stamp, b.Stamp) })
	if r.printIfJSON(out) {
		return nil
	}
	r.printEvents(out.Events)
	if len(out.Changes) > 0 {
		fmt.Fprintln(r.Out, "\noperator changes shortly before:")
		r.printEvents(out.Changes)
	}
	return nil
}
