package replica

import (
	"maps"
	"slices"
	"strings"
	"time"

	"clementinetray/server/raft"
)

// silences knows which members do not answer the leader, and since when, and which of them announced their stop. The leader finds out, and
// tells the others with each Append, so that a change of leaders costs no time: a surplus member that is gone must be removed before
// another member may be lost. It does no I/O; the raft loop owns it.
type silences struct {
	self raft.NodeID
	// since holds the time from which on a member did not answer; departed that of the announcement of a planned stop.
	since, departed map[raft.NodeID]time.Time
	// leader is the leader that was heard last, this replica included, and heardAt when that was.
	leader  raft.NodeID
	heardAt time.Time
	// validity is the time without news from any leader after which since is forgotten: another leader may have heard the members meanwhile.
	// It leaves time for an election in which the votes are split once.
	validity time.Duration
}

func newSilences(self raft.NodeID, electionTimeout time.Duration) *silences {
	return &silences{self: self, validity: 4 * electionTimeout, since: map[raft.NodeID]time.Time{}, departed: map[raft.NodeID]time.Time{}}
}

// learn replaces what is known by what the leader told in an Append. A leader of an earlier build tells nothing.
func (s *silences) learn(now time.Time, leader raft.NodeID, told []raft.Silence) {
	s.leader, s.heardAt = leader, now
	clear(s.since)
	maps.DeleteFunc(s.departed, func(node raft.NodeID, _ time.Time) bool {
		return !slices.ContainsFunc(told, func(t raft.Silence) bool { return t.Node == node && t.Departed })
	})
	for _, t := range told {
		if t.Age > 0 && t.Node != s.self {
			s.since[t.Node] = now.Add(-t.Age)
		}
		if _, known := s.departed[t.Node]; t.Departed && !known {
			s.departed[t.Node] = now
		}
	}
}

// tell returns what this leader tells the other members, ordered by node.
func (s *silences) tell(now time.Time) []raft.Silence {
	if len(s.since)+len(s.departed) == 0 {
		return nil
	}
	byNode := map[raft.NodeID]raft.Silence{}
	for node, since := range s.since {
		byNode[node] = raft.Silence{Node: node, Age: max(now.Sub(since), 1)}
	}
	for node := range s.departed {
		byNode[node] = raft.Silence{Node: node, Age: byNode[node].Age, Departed: true}
	}
	return slices.SortedFunc(maps.Values(byNode), func(a, b raft.Silence) int { return strings.Compare(string(a.Node), string(b.Node)) })
}

// contact is what a leader knows of its contact with a member in its own term.
type contact struct {
	// answered is set once the member has answered; sinceAnswer is the time since the last answer, or else since the leader first sent
	// to the member. active is set if that is no longer than an election timeout.
	answered, active bool
	sinceAnswer      time.Duration
}

// lead updates what is known by the contacts of this leader with the other members, and forgets nodes that are none. A silence that an
// earlier leader told of lasts until the member answers.
func (s *silences) lead(now time.Time, members raft.Membership, contactWith func(raft.NodeID) contact) {
	if previous := s.leader; previous != s.self {
		s.forgetOld(now)
		// The previous leader was last heard then; nobody else knows.
		if previous != "" && s.since[previous].IsZero() && !s.heardAt.IsZero() {
			s.since[previous] = s.heardAt
		}
	}
	s.leader, s.heardAt = s.self, now
	removed := func(node raft.NodeID, _ time.Time) bool {
		_, member := members.Find(node)
		return !member || node == s.self
	}
	maps.DeleteFunc(s.since, removed)
	maps.DeleteFunc(s.departed, removed)
	for _, m := range members {
		if m.Node == s.self {
			continue
		}
		switch c := contactWith(m.Node); {
		case c.answered && c.active:
			delete(s.since, m.Node)
		case !c.active && s.since[m.Node].IsZero():
			s.since[m.Node] = now.Add(-c.sinceAnswer)
		}
	}
}

// forgetOld forgets the silences if no leader was heard for so long that they are of no use.
func (s *silences) forgetOld(now time.Time) {
	if now.Sub(s.heardAt) > s.validity {
		s.forget()
	}
}

// forget forgets the silences, as after a time in which this process stood still. Announcements are kept: they have no effect on a member
// that answers.
func (s *silences) forget() {
	clear(s.since)
	s.leader, s.heardAt = "", time.Time{}
}

// announce records that a member will stop.
func (s *silences) announce(now time.Time, node raft.NodeID) { s.departed[node] = now }

// dropOldAnnouncements forgets the announcements of members that answer although their stop should have ended.
func (s *silences) dropOldAnnouncements(now time.Time, maxStop time.Duration, isActive func(raft.NodeID) bool) {
	maps.DeleteFunc(s.departed, func(node raft.NodeID, announced time.Time) bool {
		return now.Sub(announced) > maxStop && isActive(node)
	})
}

// learnerTimeouts is the time after which a silent learner is removed, in UnresponsiveTimeouts. A learner counts in no majority, and one
// whose disk is slow would have to join anew.
const learnerTimeouts = 2

// surplus returns the member that is to be removed: the one that has been silent for the longest time among the voters that were silent for
// timeout, if the group has more voters than size, and the learners that were silent for learnerTimeouts of it. A member that announced its
// stop counts as silent for timeout longer. A member that this leader has not missed yet is not silent, whatever an earlier leader told.
func (s *silences) surplus(now time.Time, members raft.Membership, size int, timeout time.Duration, contactWith func(raft.NodeID) contact) (raft.Member, bool) {
	var longest raft.Member
	var silentFor time.Duration
	for _, m := range members {
		since, silent := s.since[m.Node]
		if m.Node == s.self || !silent || contactWith(m.Node).active || m.Voter && members.VoterCount() <= size {
			continue
		}
		lasted, needed := now.Sub(since), timeout
		if _, announced := s.departed[m.Node]; announced {
			lasted += timeout
		}
		if !m.Voter {
			needed *= learnerTimeouts
		}
		if lasted >= needed && lasted > silentFor {
			longest, silentFor = m, lasted
		}
	}
	return longest, silentFor > 0
}
