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

// IdentifyReply says which data folder answers at an address.
type IdentifyReply struct {
	ID   string
	Node raft.NodeID
	// Empty means that the folder has never held an entry.
	Empty bool
}

// JoinArgs asks the leader to admit the sender.
type JoinArgs struct {
	ID      string
	Node    raft.NodeID
	Address string
}

// JoinProgress says how far an admission is.
type JoinProgress string

// The steps of an admission.
const (
	JoinVoter      JoinProgress = "voter"
	JoinLearner    JoinProgress = "learner"
	JoinCatchingUp JoinProgress = "catching_up"
	JoinChanging   JoinProgress = "changing_membership"
)

// JoinReply answers JoinArgs.
type JoinReply struct{ Progress JoinProgress }

// Identify says which data folder answers.
func (s *service) Identify(_ Empty, reply *IdentifyReply) error {
	done := make(chan struct{})
	err := s.r.post(func() {
		*reply = IdentifyReply{ID: s.r.cfg.ID, Node: s.r.nodeID, Empty: s.r.node.LastIndex() == 0}
		close(done)
	})
	if err != nil {
		return err
	}
	return s.r.await(s.r.ctx, done)
}

// Join admits the sender when its id belongs to the group, one step at a time.
func (s *service) Join(args JoinArgs, reply *JoinReply) error {
	done := make(chan struct{})
	var result error
	err := s.r.post(func() {
		s.r.gather(args)
		reply.Progress, result = s.r.admit(args)
		close(done)
	})
	if err != nil {
		return err
	}
	if err := s.r.await(s.r.ctx, done); err != nil {
		return err
	}
	return result
}

func (r *Replica) await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-r.done:
		return ErrStopped.New("replica %s", r.cfg.ID)
	}
}

// gather notes who asks to join before there is a group, so that the group starts with them.
func (r *Replica) gather(args JoinArgs) {
	if r.cfg.GroupSize > 0 && r.cfg.Members[args.ID] == "" && r.node.LastIndex() == 0 && len(r.asking) < maxAsking {
		r.asking[args.ID] = args
	}
}

// maxAsking bounds the replicas that are noted before there is a group.
const maxAsking = 16

// gathered returns the replicas that asked to join and still answer with an empty folder, ordered by id.
func (r *Replica) gathered() []JoinArgs {
	collected := make(chan []JoinArgs, 1)
	if r.post(func() { collected <- slices.Collect(maps.Values(r.asking)) }) != nil {
		return nil
	}
	var asking []JoinArgs
	select {
	case asking = <-collected:
	case <-r.stopping:
		return nil
	}
	slices.SortFunc(asking, func(a, b JoinArgs) int { return cmp.Compare(a.ID, b.ID) })
	return slices.DeleteFunc(asking, func(a JoinArgs) bool {
		var reply IdentifyReply
		err := r.call(a.Address, "Identify", Empty{}, &reply)
		return err != nil || reply.Node != a.Node || !reply.Empty
	})
}

// admit takes the next step in the admission of a replica whose data folder is new: add it as a learner, wait until it
// has caught up, remove the old node of the same id, promote it. Each step is a committed membership change of its
// own, and at most one voter changes in each.
func (r *Replica) admit(args JoinArgs) (JoinProgress, error) {
	if !r.node.Leads() {
		return "", ErrNotLeader.New("replica %s; the leader is %q", r.cfg.ID, memberID(r.node.Leader()))
	}
	members := r.node.Members()
	if member, ok := members.Find(args.Node); ok {
		return r.admitMember(members, member)
	}
	former := nodesOf(members, args.ID, args.Node)
	if len(former) == 0 && r.hasRoom(members) {
		return r.change(members.With(raft.Member{Node: args.Node, ID: args.ID, Address: args.Address, Rejoining: true}))
	}
	if len(former) == 0 {
		return "", ErrNotMember.New("no replica %q in the group: an operator has to add it", args.ID)
	}
	if old := former[0]; !old.Voter {
		return r.change(members.Without(old.Node))
	}
	if _, active := r.node.MatchIndex(former[0].Node); active {
		return "", ErrNotMember.New("replica %q still answers from another data folder", args.ID)
	}
	return r.change(members.With(raft.Member{Node: args.Node, ID: args.ID, Address: args.Address, Rejoining: true}))
}

func (r *Replica) admitMember(members raft.Membership, member raft.Member) (JoinProgress, error) {
	switch {
	case member.Voter:
		return JoinVoter, nil
	case !member.Rejoining:
		return JoinLearner, nil
	case !r.caughtUp(member.Node):
		return JoinCatchingUp, nil
	}
	if former := nodesOf(members, member.ID, member.Node); len(former) > 0 {
		return r.change(members.Without(former[0].Node))
	}
	return r.change(members.With(promoted(member)))
}

// advanceRejoining takes the next step for replicas that lost their folder. It runs at each tick of the leader, as under
// load a replica holds everything up to the commit index for moments only.
func (r *Replica) advanceRejoining() {
	if !r.node.Leads() {
		return
	}
	members := r.node.Members()
	for _, m := range members {
		if m.Rejoining && r.caughtUp(m.Node) {
			// A change that can't be proposed now is tried again at the next tick.
			_, _ = r.admitMember(members, m)
			return
		}
	}
	if leaving, ok := r.surplus(members, time.Now()); ok {
		r.cfg.Logger.Info("silent_voter_leaves", "node", leaving.Node, "voters", members.Voters(), "group_size", r.cfg.GroupSize)
		_, _ = r.change(members.Without(leaving.Node))
	}
}

// maxExtraMembers bounds the replicas beyond the group's size that may join before silent ones have left.
const maxExtraMembers = 2

// hasRoom reports whether a replica that the settings do not name may join.
func (r *Replica) hasRoom(members raft.Membership) bool {
	return r.cfg.GroupSize > 0 && len(members) < r.cfg.GroupSize+maxExtraMembers
}

// surplus returns the voter that has been silent longest, when the group has more voters than its size and the voter has
// been silent for SilenceLimit. Learners that fell silent leave without a condition on the size.
func (r *Replica) surplus(members raft.Membership, now time.Time) (raft.Member, bool) {
	var longest raft.Member
	var since time.Time
	for _, m := range members {
		if _, active := r.node.MatchIndex(m.Node); active {
			delete(r.silentSince, m.Node)
			continue
		}
		if r.silentSince[m.Node].IsZero() {
			r.silentSince[m.Node] = now
		}
		if m.Voter && members.Voters() <= r.cfg.GroupSize {
			continue
		}
		if at := r.silentSince[m.Node]; since.IsZero() || at.Before(since) {
			longest, since = m, at
		}
	}
	return longest, r.cfg.GroupSize > 0 && !since.IsZero() && now.Sub(since) >= r.cfg.SilenceLimit
}

// caughtUp reports whether the node answers and has synced its log up to the commit index.
func (r *Replica) caughtUp(node raft.NodeID) bool {
	match, active := r.node.MatchIndex(node)
	return active && match >= r.node.Commit()
}

func promoted(m raft.Member) raft.Member {
	m.Voter, m.Rejoining = true, false
	return m
}

func (r *Replica) change(members raft.Membership) (JoinProgress, error) {
	if _, _, err := r.node.ProposeMembership(members); err != nil {
		return "", r.proposalError(err)
	}
	return JoinChanging, nil
}

// nodesOf returns the members with the replica id apart from one node, learners first.
func nodesOf(members raft.Membership, id string, except raft.NodeID) []raft.Member {
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

// learnMembers notes the addresses of the membership in force.
func (r *Replica) learnMembers() {
	for _, m := range r.node.Members() {
		if _, known := r.address(m.Node); !known {
			r.learnAddress(m.Node, m.Address)
		}
	}
}

// joinLoop creates the group or asks to be admitted for as long as this replica is not a voter.
func (r *Replica) joinLoop() {
	for {
		if !r.isVoter() && !r.bootstrap() {
			r.askToJoin()
		}
		select {
		case <-r.stopping:
			return
		case <-time.After(r.joinPause()):
		}
	}
}

// joinPause is shorter while the group is created, so that all who start together are in it from the start.
func (r *Replica) joinPause() time.Duration {
	if r.cfg.Bootstrap && r.cfg.GroupSize > 0 && time.Since(r.started) < 2*r.cfg.GatherTime {
		return r.cfg.GatherTime / gatherTurns
	}
	return r.cfg.JoinInterval
}

// gatherTurns is how often a replica asks to join within the time in which the creator of the group waits.
const gatherTurns = 6

func (r *Replica) isVoter() bool {
	voter := make(chan bool, 1)
	err := r.post(func() {
		member, _ := r.node.Members().Find(r.nodeID)
		voter <- member.Voter
	})
	if err != nil {
		return false
	}
	select {
	case v := <-voter:
		return v
	case <-r.stopping:
		return false
	}
}

// bootstrap creates the group when that is allowed, this replica has the lowest id, and all replicas answer and have
// never held an entry. A replica that lost its folder finds others that hold entries, and so never creates a second
// group.
func (r *Replica) bootstrap() bool {
	ids := make([]string, 0, len(r.cfg.Members))
	for id := range r.cfg.Members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if !r.cfg.Bootstrap || len(ids) == 0 || ids[0] != r.cfg.ID || r.cfg.GroupSize > 0 && time.Since(r.started) < r.cfg.GatherTime {
		return false
	}
	members := raft.Membership{}
	for _, id := range ids {
		// gob leaves fields alone that are false at the sender, so the reply must start from the zero value.
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
	for _, a := range r.gathered() {
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
	err := r.post(func() {
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

// writeFirstEntry makes the membership the first entry of the log.
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
	r.learnMembers()
	r.cfg.Logger.Info("group_bootstrapped", "members", len(members))
	r.record(EventBootstrapped, string(r.nodeID))
	return nil
}

// askToJoin asks all known replicas for admission; the leader acts on it.
func (r *Replica) askToJoin() {
	addresses := map[string]bool{}
	for _, address := range r.cfg.Members {
		addresses[address] = true
	}
	for _, m := range r.status.Load().Members {
		addresses[m.Address] = true
	}
	delete(addresses, r.cfg.Address)
	for _, address := range r.cfg.Peers() {
		addresses[address] = true
	}
	var asked sync.WaitGroup
	defer asked.Wait()
	for address := range addresses {
		// All at once: a silent address must not hold up the others.
		asked.Go(func() {
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

// AddLearner implements Log. It asks the replica at the address for its node id first.
func (r *Replica) AddLearner(ctx context.Context, id, address string) error {
	callCtx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	var who IdentifyReply
	if err := r.cfg.Pool.Call(callCtx, address, serviceName+".Identify", Empty{}, &who); err != nil {
		return err
	}
	if who.ID != id {
		return ErrMembership.New("the replica at %s is %q, not %q", address, who.ID, id)
	}
	return r.changeMembership(ctx, func(members raft.Membership) (raft.Membership, error) {
		if member, ok := members.Find(who.Node); ok {
			return nil, ErrMembership.New("%s is a member already, voter %t", member.Node, member.Voter)
		}
		if former := nodesOf(members, id, who.Node); len(former) > 0 {
			return nil, ErrMembership.New("replica %q is a member with another data folder; it rejoins by itself", id)
		}
		return members.With(raft.Member{Node: who.Node, ID: id, Address: address}), nil
	})
}

// Promote implements Log. It fails with ErrMembership when the learner has not caught up.
func (r *Replica) Promote(ctx context.Context, id string) error {
	return r.changeMembership(ctx, func(members raft.Membership) (raft.Membership, error) {
		nodes := nodesOf(members, id, "")
		switch {
		case len(nodes) == 0 || nodes[0].Voter:
			return nil, ErrMembership.New("replica %q is not a learner", id)
		case len(nodes) > 1:
			return nil, ErrMembership.New("replica %q is a voter with another data folder", id)
		case !r.caughtUp(nodes[0].Node):
			return nil, ErrMembership.New("%s has not synced its log up to the commit index", nodes[0].Node)
		}
		return members.With(promoted(nodes[0])), nil
	})
}

// Remove implements Log.
func (r *Replica) Remove(ctx context.Context, id string) error {
	for {
		left := 0
		err := r.changeMembership(ctx, func(members raft.Membership) (raft.Membership, error) {
			nodes := nodesOf(members, id, "")
			if len(nodes) == 0 {
				return nil, ErrMembership.New("no replica %q in the group", id)
			}
			left = len(nodes) - 1
			return members.Without(nodes[0].Node), nil
		})
		if err != nil || left == 0 {
			return err
		}
	}
}

// changeMembership proposes the membership that the function makes of the current one and waits until it is applied.
func (r *Replica) changeMembership(ctx context.Context, next func(raft.Membership) (raft.Membership, error)) error {
	_, err := r.propose(ctx, 0, func() (uint64, uint64, error) {
		if !r.node.Leads() {
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
