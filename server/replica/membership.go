package replica

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"clementinetray/server/raft"
)

// IdentifyReply identifies the replica and data folder at an address.
type IdentifyReply struct {
	ID   string
	Node raft.NodeID
	// Empty is true when the log in the data folder has never held an entry.
	Empty bool
}

// JoinArgs is a join request, the request of the sender to be admitted to the group.
type JoinArgs struct {
	ID      string
	Node    raft.NodeID
	Address string
}

// JoinProgress is the state of the admission of a replica.
type JoinProgress string

// States of an admission.
const (
	// JoinVoter means that the admission is complete.
	JoinVoter JoinProgress = "voter"
	// JoinLearner means that the replica is a learner that an operator has to promote.
	JoinLearner JoinProgress = "learner"
	// JoinCatchingUp means that the learner has not synced its log up to the commit index.
	JoinCatchingUp JoinProgress = "catching_up"
	// JoinChanging means that a membership change was proposed and is not committed yet.
	JoinChanging JoinProgress = "changing_membership"
)

// JoinReply is the reply to a join request.
type JoinReply struct{ Progress JoinProgress }

// Identify returns the identity of this replica and its data folder.
func (s *service) Identify(_ Empty, reply *IdentifyReply) error {
	done := make(chan struct{})
	err := s.r.enqueue(func() {
		*reply = IdentifyReply{ID: s.r.cfg.ID, Node: s.r.nodeID, Empty: s.r.node.LastIndex() == 0}
		close(done)
	})
	if err != nil {
		return err
	}
	return s.r.awaitTask(s.r.ctx, done)
}

// Join takes the next step of the admission of the sender. It fails when this replica is not the leader.
func (s *service) Join(args JoinArgs, reply *JoinReply) error {
	done := make(chan struct{})
	var result error
	err := s.r.enqueue(func() {
		s.r.storeJoinRequest(args)
		reply.Progress, result = s.r.advanceAdmission(args)
		if result == nil {
			s.r.observeAdmission(args.Node, reply.Progress, time.Now())
		}
		close(done)
	})
	if err != nil {
		return err
	}
	if err := s.r.awaitTask(s.r.ctx, done); err != nil {
		return err
	}
	return result
}

func (r *Replica) awaitTask(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-r.done:
		return ErrStopped.New("replica %s", r.cfg.ID)
	}
}

// storeJoinRequest stores a join request that arrives before the group is created, so that the sender becomes one of its
// first voters.
func (r *Replica) storeJoinRequest(args JoinArgs) {
	if r.cfg.GroupSize > 0 && r.cfg.Members[args.ID] == "" && r.node.LastIndex() == 0 && len(r.joinRequests) < maxJoinRequests {
		r.joinRequests[args.ID] = args
	}
}

// maxJoinRequests is the largest number of stored join requests.
const maxJoinRequests = 16

// confirmedJoinRequests returns, ordered by id, the stored join requests whose senders still respond and have an empty
// data folder.
func (r *Replica) confirmedJoinRequests() []JoinArgs {
	collected := make(chan []JoinArgs, 1)
	if r.enqueue(func() { collected <- slices.Collect(maps.Values(r.joinRequests)) }) != nil {
		return nil
	}
	var requests []JoinArgs
	select {
	case requests = <-collected:
	case <-r.stopping:
		return nil
	}
	slices.SortFunc(requests, func(a, b JoinArgs) int { return cmp.Compare(a.ID, b.ID) })
	return slices.DeleteFunc(requests, func(a JoinArgs) bool {
		var reply IdentifyReply
		err := r.call(a.Address, "Identify", Empty{}, &reply)
		return err != nil || reply.Node != a.Node || !reply.Empty
	})
}

// advanceAdmission takes the next step in the admission of a replica with a new data folder. The steps are: add it as a
// learner, wait until it has caught up, remove the old node of the same replica id, promote the learner. Each change is
// committed separately and changes at most one voter.
func (r *Replica) advanceAdmission(args JoinArgs) (JoinProgress, error) {
	if !r.node.CanServeAsLeader() {
		return "", ErrNotLeader.New("replica %s; the leader is %q", r.cfg.ID, memberID(r.node.Leader()))
	}
	members := r.node.Members()
	if member, ok := members.Find(args.Node); ok {
		return r.advanceMemberAdmission(members, member)
	}
	otherNodes := membersWithID(members, args.ID, args.Node)
	if len(otherNodes) == 0 && r.hasRoom(members) {
		return r.proposeMembership(members.With(raft.Member{Node: args.Node, ID: args.ID, Address: args.Address, Rejoining: true}))
	}
	if len(otherNodes) == 0 {
		return "", ErrNotMember.New("no replica %q in the group: an operator has to add it", args.ID)
	}
	if old := otherNodes[0]; !old.Voter {
		return r.proposeMembership(members.Without(old.Node))
	}
	if _, active := r.node.MatchIndex(otherNodes[0].Node); active {
		return "", ErrNotMember.New("replica %q still answers from another data folder", args.ID)
	}
	return r.proposeMembership(members.With(raft.Member{Node: args.Node, ID: args.ID, Address: args.Address, Rejoining: true}))
}

// advanceMemberAdmission takes the next step in the admission of a replica that is a member already.
func (r *Replica) advanceMemberAdmission(members raft.Membership, member raft.Member) (JoinProgress, error) {
	switch {
	case member.Voter:
		if committed, _ := r.node.CommittedMembers().Find(member.Node); !committed.Voter {
			return JoinChanging, nil
		}
		return JoinVoter, nil
	case !member.Rejoining:
		return JoinLearner, nil
	case !r.caughtUp(member.Node):
		return JoinCatchingUp, nil
	}
	if otherNodes := membersWithID(members, member.ID, member.Node); len(otherNodes) > 0 {
		return r.proposeMembership(members.Without(otherNodes[0].Node))
	}
	return r.proposeMembership(members.With(asVoter(member)))
}

// advanceMembership takes the next step in the admission of a rejoining replica that has caught up, or removes an
// unresponsive surplus member. It runs at each tick of the leader, because under load a replica has all entries up to
// the commit index only for short moments, which a less frequent check would miss.
func (r *Replica) advanceMembership() {
	members, now := r.node.Members(), time.Now()
	if r.node.Role() == raft.Leader {
		r.silences.lead(now, members, r.contactWith)
	}
	if !r.node.CanServeAsLeader() {
		return
	}
	for _, m := range members {
		if m.Rejoining && r.caughtUp(m.Node) {
			// A change that can't be proposed now is proposed again at the next tick.
			_, _ = r.advanceMemberAdmission(members, m)
			return
		}
	}
	r.silences.dropOldAnnouncements(now, r.cfg.CallTimeout, func(node raft.NodeID) bool { return r.contactWith(node).active })
	if r.cfg.GroupSize == 0 {
		return
	}
	if surplus, ok := r.silences.surplus(now, members, r.cfg.GroupSize, r.cfg.UnresponsiveTimeout, r.contactWith); ok {
		r.cfg.Logger.Info("silent_voter_leaves", "node", surplus.Node, "voter", surplus.Voter, "voters", members.VoterCount(), "group_size", r.cfg.GroupSize,
			"silent_for", now.Sub(r.silences.since[surplus.Node]))
		_, _ = r.proposeMembership(members.Without(surplus.Node))
	}
}

// contactWith returns this leader's contact with another member.
func (r *Replica) contactWith(node raft.NodeID) contact {
	ticks, replied := r.node.SinceReply(node)
	_, active := r.node.MatchIndex(node)
	return contact{answered: replied, active: active, sinceAnswer: time.Duration(ticks) * r.cfg.Tick}
}

// maxExtraMembers is how many members more than GroupSize the group may have when a replica joins before an unresponsive
// one is removed.
const maxExtraMembers = 2

// hasRoom reports whether a replica whose id is not in the group yet may join without an operator.
func (r *Replica) hasRoom(members raft.Membership) bool {
	return r.cfg.GroupSize > 0 && len(members) < r.cfg.GroupSize+maxExtraMembers
}

// caughtUp reports whether the node is responsive and has synced its log up to the commit index.
func (r *Replica) caughtUp(node raft.NodeID) bool {
	match, active := r.node.MatchIndex(node)
	return active && match >= r.node.CommitIndex()
}

func asVoter(m raft.Member) raft.Member {
	m.Voter, m.Rejoining = true, false
	return m
}

func (r *Replica) proposeMembership(members raft.Membership) (JoinProgress, error) {
	if _, _, err := r.node.ProposeMembership(members); err != nil {
		return "", r.proposalError(err)
	}
	return JoinChanging, nil
}

// membersWithID returns the members with the replica id, except the given node. Learners come first.
func membersWithID(members raft.Membership, id string, except raft.NodeID) []raft.Member {
	var learners, voters []raft.Member
	for _, m := range members {
		switch {
		case m.ID != id || m.Node == except:
		case m.Voter:
			voters = append(voters, m)
		default:
			learners = append(learners, m)
		}
	}
	return append(learners, voters...)
}

// addMemberAddresses adds the addresses of current members whose address is not known yet.
func (r *Replica) addMemberAddresses() {
	for _, m := range r.node.Members() {
		if _, known := r.address(m.Node); !known {
			r.setAddress(m.Node, m.Address)
		}
	}
}

// runJoinLoop tries to create the group or to join it, repeatedly until the replica stops, while this replica is not a voter or
// knows no leader. A voter without a leader may have been removed while it was suspended or cut off: the log that would tell it
// so is sent to members only, and the members ignore its vote requests.
func (r *Replica) runJoinLoop() {
	for {
		switch voter, addresses := r.ownMembership(); {
		case r.departing.Load():
		case voter && r.leadership.Load().LeaderID != "":
		case voter || !r.tryBootstrap():
			r.sendJoinRequests(addresses)
		}
		select {
		case <-r.stopping:
			return
		case <-time.After(r.currentJoinInterval()):
		}
	}
}

// currentJoinInterval returns the time until the next join request. The time is shorter while a new group may be in
// creation, so that replicas that start at the same time become its first voters.
func (r *Replica) currentJoinInterval() time.Duration {
	if r.cfg.Bootstrap && r.cfg.GroupSize > 0 && time.Since(r.startedAt) < 2*r.cfg.BootstrapWait {
		return r.cfg.BootstrapWait / joinRequestsPerBootstrapWait
	}
	return r.cfg.JoinInterval
}

// joinRequestsPerBootstrapWait is the number of join requests that a replica sends during BootstrapWait.
const joinRequestsPerBootstrapWait = 6

// ownMembership reports whether this replica is a voter by its own log, and returns the addresses of the members in that log.
func (r *Replica) ownMembership() (voter bool, addresses []string) {
	collected := make(chan raft.Membership, 1)
	if r.enqueue(func() { collected <- r.node.Members() }) != nil {
		return false, nil
	}
	select {
	case members := <-collected:
		own, _ := members.Find(r.nodeID)
		for _, m := range members {
			addresses = append(addresses, m.Address)
		}
		return own.Voter, addresses
	case <-r.stopping:
		return false, nil
	}
}

// tryBootstrap creates the group if the configuration allows it, this replica has the lowest id in Members, and all Members
// respond and have an empty log. It reports whether it created the group. A replica that has lost its data folder never
// creates a second group, because the logs of the other replicas have entries.
func (r *Replica) tryBootstrap() bool {
	ids := make([]string, 0, len(r.cfg.Members))
	for id := range r.cfg.Members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if !r.cfg.Bootstrap || len(ids) == 0 || ids[0] != r.cfg.ID || r.cfg.GroupSize > 0 && time.Since(r.startedAt) < r.cfg.BootstrapWait {
		return false
	}
	members := raft.Membership{}
	for _, id := range ids {
		// gob does not transmit zero values, so each call needs a zero reply to decode into.
		var reply IdentifyReply
		if err := r.identify(id, &reply); err != nil {
			r.cfg.Logger.Info("bootstrap_waits", "for", id, "error", err.Error())
			return false
		}
		if reply.ID != id || !reply.Empty {
			r.cfg.Logger.Info("bootstrap_refused", "member", id, "answered", reply.Node, "empty", reply.Empty)
			return false
		}
		members = members.With(raft.Member{Node: reply.Node, ID: id, Address: r.cfg.Members[id], Voter: true})
	}
	for _, a := range r.confirmedJoinRequests() {
		if len(members) < r.cfg.GroupSize {
			members = members.With(raft.Member{Node: a.Node, ID: a.ID, Address: a.Address, Voter: true})
		}
	}
	return r.createGroup(members)
}

func (r *Replica) identify(id string, reply *IdentifyReply) error {
	if id == r.cfg.ID {
		return (&service{r}).Identify(Empty{}, reply)
	}
	return r.call(r.cfg.Members[id], "Identify", Empty{}, reply)
}

func (r *Replica) createGroup(members raft.Membership) bool {
	created := make(chan bool, 1)
	err := r.enqueue(func() {
		err := r.writeFirstEntry(members)
		if err != nil {
			r.fail(err)
		}
		created <- err == nil
	})
	if err != nil {
		return false
	}
	select {
	case ok := <-created:
		return ok
	case <-r.stopping:
		return false
	}
}

// writeFirstEntry writes the membership as the first entry of the log. It does nothing when the log has an entry.
func (r *Replica) writeFirstEntry(members raft.Membership) error {
	if r.node.LastIndex() > 0 {
		return nil
	}
	data, err := members.Encode()
	if err != nil {
		return err
	}
	state := r.node.State()
	state.HardState.Term = max(1, state.HardState.Term)
	state.Entries = []raft.Entry{{Index: 1, Term: 1, Kind: raft.EntryMembership, Data: data}}
	if err := r.storage.checkpoint(state); err != nil {
		return err
	}
	if r.node, err = raft.New(r.raftConfig(), state); err != nil {
		return err
	}
	r.addMemberAddresses()
	r.cfg.Logger.Info("group_bootstrapped", "members", len(members))
	r.recordEvent(EventGroupBootstrapped, string(r.nodeID))
	return nil
}

// sendJoinRequests sends a join request to the given addresses and all others that are known; only the leader accepts it.
func (r *Replica) sendJoinRequests(members []string) {
	addresses := map[string]bool{}
	for _, address := range r.cfg.Members {
		addresses[address] = true
	}
	for _, address := range members {
		addresses[address] = true
	}
	delete(addresses, r.cfg.Address)
	for _, address := range r.cfg.JoinAddresses() {
		addresses[address] = true
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	for address := range addresses {
		// The calls run concurrently, so that an unresponsive address does not delay the others.
		calls.Go(func() {
			var reply JoinReply
			args := JoinArgs{ID: r.cfg.ID, Node: r.nodeID, Address: r.cfg.Address}
			if err := r.call(address, "Join", args, &reply); err != nil {
				r.cfg.Logger.Debug("join_refused", "by", address, "error", err.Error())
				return
			}
			r.cfg.Logger.Info("join", "leader", address, "progress", reply.Progress)
		})
	}
}

func (r *Replica) call(address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.CallTimeout)
	defer cancel()
	return r.cfg.Pool.Call(ctx, address, serviceName+"."+method, args, reply)
}

// AddLearner implements Log. It first requests the node id from the replica at the address.
func (r *Replica) AddLearner(ctx context.Context, id, address string) error {
	callCtx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	var identity IdentifyReply
	if err := r.cfg.Pool.Call(callCtx, address, serviceName+".Identify", Empty{}, &identity); err != nil {
		return err
	}
	if identity.ID != id {
		return ErrMembership.New("the replica at %s is %q, not %q", address, identity.ID, id)
	}
	return r.changeMembership(ctx, func(members raft.Membership) (raft.Membership, error) {
		if member, ok := members.Find(identity.Node); ok {
			return nil, ErrMembership.New("%s is a member already, voter %t", member.Node, member.Voter)
		}
		if otherNodes := membersWithID(members, id, identity.Node); len(otherNodes) > 0 {
			return nil, ErrMembership.New("replica %q is a member with another data folder; it rejoins by itself", id)
		}
		return members.With(raft.Member{Node: identity.Node, ID: id, Address: address}), nil
	})
}

// Promote implements Log. It returns ErrMembership when the learner has not caught up.
func (r *Replica) Promote(ctx context.Context, id string) error {
	return r.changeMembership(ctx, func(members raft.Membership) (raft.Membership, error) {
		nodes := membersWithID(members, id, "")
		switch {
		case len(nodes) == 0 || nodes[0].Voter:
			return nil, ErrMembership.New("replica %q is not a learner", id)
		case len(nodes) > 1:
			return nil, ErrMembership.New("replica %q is a voter with another data folder", id)
		case !r.caughtUp(nodes[0].Node):
			return nil, ErrMembership.New("%s has not synced its log up to the commit index", nodes[0].Node)
		}
		return members.With(asVoter(nodes[0])), nil
	})
}

// Remove implements Log. It removes all nodes of the replica, one membership change for each.
func (r *Replica) Remove(ctx context.Context, id string) error {
	for {
		remaining := 0
		err := r.changeMembership(ctx, func(members raft.Membership) (raft.Membership, error) {
			nodes := membersWithID(members, id, "")
			if len(nodes) == 0 {
				return nil, ErrMembership.New("no replica %q in the group", id)
			}
			remaining = len(nodes) - 1
			return members.Without(nodes[0].Node), nil
		})
		if err != nil || remaining == 0 {
			return err
		}
	}
}

// changeMembership proposes the membership that next returns for the current one and waits until it is applied.
func (r *Replica) changeMembership(ctx context.Context, next func(raft.Membership) (raft.Membership, error)) error {
	_, err := r.propose(ctx, 0, func() (uint64, uint64, error) {
		if !r.node.CanServeAsLeader() {
			return 0, 0, raft.ErrNotLeader.New("replica %s", r.cfg.ID)
		}
		members, err := next(r.node.Members())
		if err != nil {
			return 0, 0, err
		}
		return r.node.ProposeMembership(members)
	})
	return err
}
