package replica

import (
	"time"

	"clementinetray/server/raft"
)

// admission is the observed admission of a node that asks this leader to join. It outlives a removal of the learner, because a learner
// that doesn't reply is removed as silent and added again with its next request.
type admission struct {
	requestedAt time.Time // of the last join request
	// awaited is what the learner waited for at its last request as a member, and callError the error of the last call to it then.
	awaited, callError string
	// match is the highest entry known to be on the node, and progressAt the time at which it became known.
	match      uint64
	progressAt time.Time
	// reportedAt is the time of the last log line about the node; zero before the first.
	reportedAt time.Time
}

const (
	// stalledTimeouts is the time without progress after which a learner counts as stalled, in UnresponsiveTimeouts. A learner
	// without replies is removed after one of them, so a stalled one failed at least once.
	stalledTimeouts = 2
	// stallReportTimeouts is the minimum time between two log lines about a stalled learner, in UnresponsiveTimeouts.
	stallReportTimeouts = 10
	// maxAdmissions is the largest number of observed admissions.
	maxAdmissions = 16
)

// observeAdmission records the answer to a join request and logs what a stalled learner waits for.
func (r *Replica) observeAdmission(node raft.NodeID, progress JoinProgress, now time.Time) {
	if progress != JoinCatchingUp && progress != JoinChanging {
		delete(r.admissions, node)
		return
	}
	a := r.admissions[node]
	if a == nil {
		if len(r.admissions) >= maxAdmissions {
			return
		}
		a = &admission{progressAt: now, awaited: string(raft.AwaitedMembership)}
		r.admissions[node] = a
	}
	a.requestedAt = now
	if progress == JoinCatchingUp {
		a.awaited, a.callError = r.awaited(node), r.streams.lastError(r.links[node])
	}
	if match, _ := r.node.MatchIndex(node); match > a.match {
		a.match, a.progressAt = match, now
	}
	if !r.stalled(a, now) || !a.reportedAt.IsZero() && now.Sub(a.reportedAt) < stallReportTimeouts*r.cfg.UnresponsiveTimeout {
		return
	}
	a.reportedAt = now
	r.cfg.Logger.Warn("learner_not_catching_up", "node", node, "for", now.Sub(a.progressAt).Round(time.Millisecond),
		"waits_for", a.awaited, "match_index", a.match, "commit_index", r.node.CommitIndex(), "last_call_error", a.callError)
}

// awaited describes what a learner waits for.
func (r *Replica) awaited(node raft.NodeID) string {
	awaited := r.node.Awaited(node)
	if awaited == raft.AwaitedSnapshot && r.snapshotTransfers[node] != nil {
		return "snapshot_transfer"
	}
	return string(awaited)
}

func (r *Replica) stalled(a *admission, now time.Time) bool {
	return now.Sub(a.progressAt) >= stalledTimeouts*r.cfg.UnresponsiveTimeout
}

// stalledLearners returns the number of nodes that ask to join and make no progress. It drops those that no longer ask.
func (r *Replica) stalledLearners(now time.Time) int {
	count := 0
	for node, a := range r.admissions {
		switch {
		case r.node.Role() != raft.Leader || now.Sub(a.requestedAt) > stalledTimeouts*r.cfg.UnresponsiveTimeout:
			delete(r.admissions, node)
		case r.stalled(a, now):
			count++
		}
	}
	return count
}
