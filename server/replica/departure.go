package replica

import (
	"context"
	"errors"
	"time"

	"clementinetray/server/raft"
)

// departureRetryInterval is the pause before an announcement that no leader accepted is sent again.
const departureRetryInterval = 20 * time.Millisecond

// DepartArgs announces the planned stop of the sender.
type DepartArgs struct{ Node raft.NodeID }

// DepartReply is the reply to the announcement of a planned stop.
type DepartReply struct {
	// Removed is true once the sender is not a member, by a committed change. Otherwise it is still needed: the group
	// would have fewer voters than its GroupSize without it, and the sender may be started again.
	Removed bool
}

// Depart handles the announcement of a planned stop. It fails when this replica is not the leader.
func (s *service) Depart(args DepartArgs, reply *DepartReply) error {
	ctx, cancel := context.WithTimeout(s.r.ctx, s.r.cfg.CallTimeout)
	defer cancel()
	removed, err := s.r.handleDeparture(ctx, args.Node)
	reply.Removed = removed
	return err
}

// handleDeparture removes a node from the group if the group has more voters than its GroupSize or the node is a learner, and
// waits until the change is committed. Otherwise it records the announcement, so that the node is the first to be replaced.
func (r *Replica) handleDeparture(ctx context.Context, node raft.NodeID) (removed bool, err error) {
	needed := ErrMembership.New("node %s is needed", node)
	err = r.changeMembership(ctx, func(members raft.Membership) (raft.Membership, error) {
		member, found := members.Find(node)
		if found && member.Voter && members.VoterCount() <= r.cfg.GroupSize {
			r.silences.announce(time.Now(), node)
			return nil, needed
		}
		// Without a change to propose, the commit of the unchanged membership confirms that this replica still leads.
		return members.Without(node), nil
	})
	if errors.Is(err, needed) {
		return false, nil
	}
	return err == nil, err
}

// depart announces the planned stop of this replica to the leader and waits for the answer, for two election timeouts at most.
// Without the announcement, a replica that is stopped for good would stay a voter until it has been silent for
// UnresponsiveTimeout, and the group would bear one loss fewer until then.
func (r *Replica) depart(ctx context.Context) {
	r.departing.Store(true)
	if r.cfg.GroupSize == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*r.cfg.ElectionTimeout)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		var reply DepartReply
		current, changed := r.LeadershipChanged()
		if current.Leader {
			// The transfer failed, or another stopping leader chose this replica as its successor.
			if !r.hasOtherVoter() || r.transferRetrying(ctx) != nil {
				return
			}
			continue
		}
		if current.LeaderAddress != "" {
			if err = r.cfg.Pool.Call(ctx, current.LeaderAddress, serviceName+".Depart", DepartArgs{Node: r.nodeID}, &reply); err == nil {
				r.cfg.Logger.Info("departed", "leader", current.LeaderID, "removed", reply.Removed)
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(departureRetryInterval):
		case <-ctx.Done():
		case <-r.stopping:
			return
		}
	}
	r.cfg.Logger.Warn("departure_unconfirmed", "leader", r.leadership.Load().LeaderID, "error", err)
}
