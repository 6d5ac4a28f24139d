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

// table prints rows in columns.
func (r *run) table(header string, rows [][]string) {
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

func stamp(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// list fetches a list and prints it, one row for each item.
func list[T any](ctx context.Context, r *run, path, header string, row func(T) []string) error {
	items := []T{}
	if err := r.client.Call(ctx, "GET", path, nil, &items); err != nil {
		return err
	}
	if r.json(items) {
		return nil
	}
	var rows [][]string
	for _, item := range items {
		rows = append(rows, row(item))
	}
	r.table(header, rows)
	return nil
}

func (r *run) servers(ctx context.Context) error {
	return list(ctx, r, "/v1/servers", "ID ZONE PHASE SERVES RUNNING QUEUED CAPACITY LIMIT REASON", func(s control.ServerStatus) []string {
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

func (r *run) rollouts(ctx context.Context) error {
	return list(ctx, r, "/v1/rollouts", "MODEL FROM TO STATE STEP PERCENT SINCE REASON", func(p control.RolloutProgress) []string {
		return []string{p.Model, p.From, p.To, string(p.State), strconv.Itoa(p.Step), strconv.Itoa(p.Percent), stamp(p.Since), p.Reason}
	})
}

func (r *run) quarantine(ctx context.Context) error {
	return list(ctx, r, "/v1/quarantine", "FINGERPRINT CRASHES STOPPED SERVERS", func(q control.QuarantineEntry) []string {
		return []string{q.Fingerprint, strconv.Itoa(q.Crashes), strconv.FormatBool(q.Stopped), strings.Join(q.Servers, ",")}
	})
}

func (r *run) bills(ctx context.Context) error {
	return list(ctx, r, "/v1/bills", "WORKSPACE BILLS INCOMPLETE OUTPUT_TOKENS COST_MICROS", func(b control.WorkspaceBill) []string {
		return []string{b.Workspace, fmt.Sprint(b.Bills), fmt.Sprint(b.Incomplete), fmt.Sprint(b.OutputTokens), fmt.Sprint(b.CostMicros)}
	})
}

func (r *run) printReplicas(replicas []control.ReplicaStatus) {
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
	r.table("REPLICA ADDRESS ROLE MATCH_INDEX", rows)
}

func (r *run) status(ctx context.Context) error {
	s := control.StatusReply{}
	if err := r.client.Call(ctx, "GET", "/v1/status", nil, &s); err != nil {
		return err
	}
	if r.json(s) {
		return nil
	}
	fmt.Fprintf(r.Out, "leader %s, term %d, commit index %d, revision %d\n\n", s.Leader, s.Term, s.CommitIndex, s.Revision)
	r.printReplicas(s.Replicas)
	fmt.Fprintln(r.Out)
	var rows [][]string
	for _, m := range s.Members {
		rows = append(rows, []string{m.Instance, m.AvailabilityZone, m.PeerAddress, m.CallerAddress, m.Boot})
	}
	r.table("ENTRY_INSTANCE ZONE PEER_ADDRESS CALLER_ADDRESS BOOT", rows)
	if rows = orderRows("zone", s.Orders.ZonesOut, nil); len(s.Orders.ZonesOut)+len(s.Orders.ServersOut) > 0 {
		fmt.Fprintln(r.Out)
		r.table("OUT NAME BY AT REVISION REASON", orderRows("server", s.Orders.ServersOut, rows))
	}
	if len(s.Attention) > 0 {
		rows = nil
		for _, a := range s.Attention {
			rows = append(rows, []string{a.Subject, a.Problem, a.Action})
		}
		fmt.Fprintln(r.Out)
		r.table("ATTENTION PROBLEM ACTION", rows)
	}
	return nil
}

func orderRows(kind string, orders map[string]control.Order, rows [][]string) [][]string {
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		o := orders[name]
		rows = append(rows, []string{kind, name, o.By, stamp(o.At), fmt.Sprint(o.Revision), o.Reason})
	}
	return rows
}

func (r *run) fetchTimeline(ctx context.Context, q url.Values) (*control.TimelineMerge, error) {
	merge := &control.TimelineMerge{}
	if err := r.client.Call(ctx, "GET", "/v1/timeline?"+q.Encode(), nil, merge); err != nil {
		return nil, err
	}
	if len(merge.Unanswered) > 0 {
		fmt.Fprintln(r.Err, "did not answer:", strings.Join(merge.Unanswered, ", "))
	}
	return merge, nil
}

func (r *run) timeline(ctx context.Context) error {
	a := r.args.Timeline
	q := url.Values{}
	for name, value := range map[string]string{
		"request": a.Request, "session": a.Session, "backend_server": a.Backend, "availability_zone": a.Zone,
		"version": a.Version, "kind": a.Kind,
	} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if a.Revision != 0 {
		q.Set("revision", strconv.FormatUint(a.Revision, 10))
	}
	if a.Since > 0 {
		q.Set("since", time.Now().Add(-a.Since).UTC().Format(time.RFC3339Nano))
	}
	q.Set("limit", strconv.Itoa(a.Limit))
	merge, err := r.fetchTimeline(ctx, q)
	if err != nil {
		return err
	}
	if !r.json(merge) {
		r.printEvents(merge.Events)
	}
	return nil
}

func (r *run) printEvents(events []event.Event) {
	var rows [][]string
	for _, e := range events {
		rows = append(rows, []string{e.Stamp.Time().UTC().Format("2006-01-02T15:04:05.000Z"), e.Instance, string(e.Kind), describe(e)})
	}
	r.table("TIME INSTANCE EVENT DETAIL", rows)
}

// describe prints the fields of an event as key=value pairs.
func describe(e event.Event) string {
	var parts []string
	add := func(key, value string) {
		if value != "" {
			parts = append(parts, key+"="+quoted(value))
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

func quoted(value string) string {
	if strings.ContainsAny(value, " \t\n\"") {
		return strconv.Quote(value)
	}
	return value
}

// lookBack is how long before a request operator changes are shown with it.
const lookBack = 10 * time.Minute

// changeKinds are the events that change what requests may use.
var changeKinds = []event.Kind{
	"zone_out", "zone_in", "server_out", "server_in", "catalogue_applied", "rollout_ordered", "quarantine_lifted",
}

// explanation is the output of explain as JSON.
type explanation struct {
	Request string        `json:"request"`
	Events  []event.Event `json:"events"`
	// Changes are the operator changes from lookBack before the first event to the last one.
	Changes    []event.Event `json:"changes"`
	Unanswered []string      `json:"unanswered,omitempty"`
}

func (r *run) explain(ctx context.Context) error {
	id := r.args.Explain.Request
	if logs := r.args.Explain.Logs; len(logs) > 0 {
		return r.explainLogs(id, logs)
	}
	merge, err := r.fetchTimeline(ctx, url.Values{"request": {id}})
	if err != nil {
		return err
	}
	if len(merge.Events) == 0 {
		return Error.New("no process remembers request %s; each keeps its last 20,000 events", id)
	}
	first, last := merge.Events[0], merge.Events[len(merge.Events)-1]
	since := first.Stamp.Time().Add(-lookBack).UTC().Format(time.RFC3339Nano)
	out := explanation{Request: id, Events: merge.Events, Changes: []event.Event{}, Unanswered: merge.Unanswered}
	for _, kind := range changeKinds {
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
	if r.json(out) {
		return nil
	}
	r.printEvents(out.Events)
	if len(out.Changes) > 0 {
		fmt.Fprintln(r.Out, "\noperator changes shortly before:")
		r.printEvents(out.Changes)
	}
	return nil
}
