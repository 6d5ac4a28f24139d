package controlsvc

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/api/problem"
)

const (
	// timelineTimeout limits the query of all processes. It is shorter than the timeout of clementinectl, so that an operator
	// gets the events of the other processes when an availability zone doesn't answer.
	timelineTimeout = 3 * time.Second
	// maxTimelineQueries limits the processes that are queried at the same time.
	maxTimelineQueries = 128
	// defaultTimelineLimit is the maximum number of events in the answer to a query without a limit.
	defaultTimelineLimit = 1000
)

func (s *Service) getServers(w http.ResponseWriter, r *http.Request) {
	if !s.confirmState(w, r) {
		return
	}
	fleet := s.FleetTable.Snapshot(s.Now())
	list := []control.ServerStatus{}
	for _, id := range slices.Sorted(maps.Keys(fleet.Servers)) {
		b := fleet.Servers[id]
		list = append(list, control.ServerStatus{
			ID: b.ID, AvailabilityZone: b.AvailabilityZone, Phase: b.Phase, Reason: b.Reason, Versions: b.Versions,
			Service: b.Service, Running: b.Running, Queued: b.Queued, Capacity: b.Capacity, Limit: b.Limit,
		})
	}
	writeJSON(w, list)
}

func (s *Service) getRollouts(w http.ResponseWriter, r *http.Request) {
	if !s.confirmState(w, r) {
		return
	}
	list := []control.RolloutProgress{}
	progress := s.State.View().Rollouts.Progress
	for _, model := range slices.Sorted(maps.Keys(progress)) {
		list = append(list, progress[model])
	}
	writeJSON(w, list)
}

func (s *Service) getServiceRollout(w http.ResponseWriter, r *http.Request) {
	if !s.confirmState(w, r) {
		return
	}
	rollout, ok := s.State.View().Rollouts.Services[chi.URLParam(r, "service")]
	if !ok {
		problem.New(problem.NotFound, "the service has had no roll-out").Write(w)
		return
	}
	writeJSON(w, rollout)
}

func (s *Service) getQuarantine(w http.ResponseWriter, r *http.Request) {
	if s.confirmState(w, r) {
		writeJSON(w, s.State.QuarantineEntries())
	}
}

func (s *Service) getBills(w http.ResponseWriter, r *http.Request) {
	if s.confirmState(w, r) {
		bills := s.State.WorkspaceBills()
		if bills == nil {
			bills = []control.WorkspaceBill{}
		}
		writeJSON(w, bills)
	}
}

func (s *Service) getShares(w http.ResponseWriter, r *http.Request) {
	if !s.confirmState(w, r) {
		return
	}
	if s.Shares == nil {
		writeJSON(w, control.SharesReply{Workspaces: []control.WorkspaceShare{}})
		return
	}
	writeJSON(w, s.Shares.Shares(s.Now()))
}

func (s *Service) getStatus(w http.ResponseWriter, r *http.Request) {
	if !s.confirmState(w, r) {
		return
	}
	status := s.Log.Status()
	view := s.State.View()
	fleet := s.FleetTable.Snapshot(s.Now())
	reply := control.StatusReply{
		Leader: status.LeaderID, Term: status.Term, CommitIndex: status.CommitIndex, Revision: view.ConfigRevision,
		Members: fleet.Members, Orders: *view.Orders, Replicas: []control.ReplicaStatus{},
	}
	for _, m := range status.Members {
		reply.Replicas = append(reply.Replicas, control.ReplicaStatus{
			ID: m.ID, Node: m.Node, Address: m.Address, Voter: m.Voter, Leader: m.ID == status.LeaderID, MatchIndex: m.MatchIndex,
			Active: m.Active && m.MatchIndex >= status.CommitIndex,
		})
	}
	reply.Attention = s.listProblems(view, fleet.Servers, reply.Replicas)
	writeJSON(w, reply)
}

// attentionList collects the problems that need an operator.
type attentionList []control.AttentionItem

func (l *attentionList) add(subject, description, action string) {
	*l = append(*l, control.AttentionItem{Subject: subject, Problem: description, Action: action})
}

// listProblems lists the problems that need an operator: rollouts, quarantined requests, pools and replicas.
func (s *Service) listProblems(view *control.View, servers map[string]*control.BackendServer, replicas []control.ReplicaStatus) []control.AttentionItem {
	l := attentionList{}
	l.addRollouts(view.Rollouts.Progress)
	for _, e := range s.State.QuarantineEntries() {
		if e.Stopped {
			l.add("request "+e.Fingerprint, fmt.Sprintf("stopped after %d crashed backend servers", e.Crashes), "quarantine lift "+e.Fingerprint)
		}
	}
	l.addPools(view, servers)
	l.addReplicas(replicas)
	return l
}

func (l *attentionList) addRollouts(progress map[string]control.RolloutProgress) {
	for _, model := range slices.Sorted(maps.Keys(progress)) {
		p := progress[model]
		switch p.State {
		case control.RolloutHeld:
			l.add("rollout "+model, fmt.Sprintf("held at %d%%: %s", p.Percent, p.Reason), "rollout resume "+model+" or rollout rollback "+model)
		case control.RolloutRolledBack:
			l.add("rollout "+model, "rolled back: "+p.Reason, "withdraw "+p.To+" in the catalogue or remove the rollout")
		}
	}
}

// addPools adds suspect backend servers, and the models and services that no backend server takes new requests for.
func (l *attentionList) addPools(view *control.View, servers map[string]*control.BackendServer) {
	served := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		b := servers[id]
		if b.Phase == control.PhaseSuspect {
			l.add("server "+id, "suspect: "+b.Reason, "server out "+id+" if it stays so")
		}
		if usableCapacity(b, view.Orders) == 0 {
			continue
		}
		served["service "+b.Service] = true
		for _, ref := range b.Versions {
			served["model "+ref.Model] = true
		}
	}
	var subjects []string
	for _, m := range view.Catalogue.Models {
		subjects = append(subjects, "model "+m.Name)
	}
	for _, c := range view.Catalogue.Services {
		subjects = append(subjects, "service "+c.Name)
	}
	for _, subject := range subjects {
		if !served[subject] {
			l.add(subject, "no backend server takes new work for it", "see servers; bring a zone or a server back in")
		}
	}
}

func (l *attentionList) addReplicas(replicas []control.ReplicaStatus) {
	voters := 0
	for _, r := range replicas {
		if r.Voter {
			voters++
			continue
		}
		l.add("replica "+r.ID, "is a learner and does not count for the majority yet", "wait until it has caught up, or replica remove "+r.ID)
	}
	if voters%2 == 0 {
		l.add("control group", fmt.Sprintf("%d voters bear no more failures than %d", voters, voters-1), "add or remove one replica")
	}
}

// getTimeline answers with the events of all control replicas and of the entry instances in the fleet table. Followers
// answer it too.
func (s *Service) getTimeline(w http.ResponseWriter, r *http.Request) {
	filter, err := ParseTimelineFilter(r.URL.Query())
	if err != nil {
		problem.New(problem.InvalidRequest, err.Error()).Write(w)
		return
	}
	addresses := map[string]bool{s.PeerAddress: true}
	for _, m := range s.Log.Status().Members {
		addresses[m.Address] = true
	}
	for _, m := range s.FleetTable.Snapshot(s.Now()).Members {
		addresses[m.PeerAddress] = true
	}
	delete(addresses, "")
	writeJSON(w, s.mergeTimeline(r.Context(), slices.Sorted(maps.Keys(addresses)), filter))
}

// ParseTimelineFilter parses the parameters of a timeline query: request, session, backend_server, availability_zone,
// version, kind, revision, since (RFC 3339) and limit.
func ParseTimelineFilter(q url.Values) (event.Filter, error) {
	f := event.Filter{
		Request: q.Get("request"), Session: q.Get("session"), BackendServer: q.Get("backend_server"),
		AvailabilityZone: q.Get("availability_zone"), Version: q.Get("version"), Kind: event.Kind(q.Get("kind")),
		Limit: defaultTimelineLimit,
	}
	var err error
	if v := q.Get("revision"); v != "" {
		if f.Revision, err = strconv.ParseUint(v, 10, 64); err != nil {
			return f, Error.New("revision %q is not a number", v)
		}
	}
	if v := q.Get("limit"); v != "" {
		if f.Limit, err = strconv.Atoi(v); err != nil || f.Limit <= 0 {
			return f, Error.New("limit %q is not a positive number", v)
		}
	}
	if v := q.Get("since"); v != "" {
		at, err := time.Parse(time.RFC3339Nano, v)
		if err != nil || at.UnixMilli() < 0 {
			return f, Error.New("since %q is not a time like 2026-01-02T15:04:05Z", v)
		}
		f.Since = event.Stamp(at.UnixMilli()) << 16
	}
	return f, nil
}

// mergeTimeline queries the processes and returns the newest events that match, in order of their stamps, up to the limit
// of the filter. Unanswered lists the processes that didn't answer in time.
func (s *Service) mergeTimeline(ctx context.Context, addresses []string, filter event.Filter) control.TimelineMerge {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	var mu sync.Mutex // guards merge
	merge := control.TimelineMerge{Events: []event.Event{}}
	semaphore := make(chan struct{}, maxTimelineQueries)
	var running sync.WaitGroup
	for _, address := range addresses {
		running.Go(func() {
			out, err := s.queryTimeline(ctx, semaphore, address, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				merge.Unanswered = append(merge.Unanswered, address)
				return
			}
			merge.Events = append(merge.Events, out.Events...)
		})
	}
	running.Wait()
	merge.Events = append(merge.Events, s.unreportedChanges(merge.Events, filter)...)
	slices.SortStableFunc(merge.Events, func(a, b event.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Instance, b.Instance))
	})
	if len(merge.Events) > filter.Limit {
		merge.Events = merge.Events[len(merge.Events)-filter.Limit:]
	}
	slices.Sort(merge.Unanswered)
	return merge
}

// queryTimeline queries one process and returns its events. semaphore limits the concurrent queries.
func (s *Service) queryTimeline(ctx context.Context, semaphore chan struct{}, address string, filter event.Filter) (*control.TimelineReply, error) {
	select {
	case semaphore <- struct{}{}:
		defer func() { <-semaphore }()
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
	out := &control.TimelineReply{}
	if err := s.Peers.Call(ctx, address, "Timeline.Query", &control.TimelineRequest{Meta: s.newMeta(), Filter: filter}, out); err != nil {
		return nil, Error.Wrap(err)
	}
	s.Clock.Observe(out.Stamp)
	return out, nil
}

// unreportedChanges returns events for the operator changes in the replicated state that are missing in events: the
// leader that recorded them may have restarted. Changes that don't match the filter are left out. The stamps of the
// returned events have the wall clock time of the commit and no logical part.
func (s *Service) unreportedChanges(events []event.Event, filter event.Filter) []event.Event {
	reported := map[uint64]bool{}
	for _, e := range events {
		if e.Detail["request_id"] != "" {
			reported[e.Revision] = true
		}
	}
	var unreported []event.Event
	for _, c := range s.State.Changes() {
		e := changeEvent(c)
		e.Stamp, e.Instance = event.Stamp(c.At.UnixMilli())<<16, s.Identity.Instance
		if !reported[c.Revision] && filter.Matches(e) {
			unreported = append(unreported, e)
		}
	}
	return unreported
}

// poolName returns the name of the pool of a model version.
func poolName(ref catalogue.VersionRef) string { return "version " + ref.String() }
