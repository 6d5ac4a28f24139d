package replica

import (
	"testing"
	"time"

	"clementinetray/server/raft"
)

// testContacts are the contacts of a leader with members, by node. A member without one has answered just now.
type testContacts map[raft.NodeID]contact

func (c testContacts) with(node raft.NodeID) contact {
	if found, ok := c[node]; ok {
		return found
	}
	return contact{answered: true, active: true}
}

func voters(nodes ...raft.NodeID) raft.Membership {
	members := raft.Membership{}
	for _, node := range nodes {
		members = members.With(raft.Member{Node: node, ID: string(node), Voter: true})
	}
	return members
}

// missed is the contact with a member that has not answered for a time, since it answered this leader before or not.
func missed(since time.Duration, answered bool) contact {
	return contact{answered: answered, active: since <= 500*time.Millisecond, sinceAnswer: since}
}

// Guards against a surplus voter that is gone and stays because leaders change: the group bears one loss fewer until it is removed. And
// against one that is removed although it answers, or by what nobody knows any more.
func TestSurplusOverChangesOfTheLeader(t *testing.T) {
	const timeout = 2 * time.Second
	six := voters("a", "b", "c", "d", "e", "gone")
	withLearner := voters("a", "b", "c", "d", "e").With(raft.Member{Node: "gone", ID: "gone"})
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	told := func(age time.Duration) []raft.Silence { return []raft.Silence{{Node: "gone", Age: age}} }
	silent := func(since time.Duration, answered bool) testContacts {
		return testContacts{"gone": missed(since, answered)}
	}
	cases := []struct {
		desc string
		// hear is what this replica hears as a follower; it leads from leads on, and contacts are its own at the time now.
		hear       func(s *silences)
		leads, now time.Duration
		contacts   testContacts
		members    raft.Membership
		want       raft.NodeID
	}{
		{"one leader, not long enough", func(*silences) {}, 0, 1900 * time.Millisecond, silent(1900*time.Millisecond, true), six, ""},
		{"one leader", func(*silences) {}, 0, 2 * time.Second, silent(2*time.Second, true), six, "gone"},
		{"missed by the leader before, and by this one", func(s *silences) { s.learn(at(0), "b", told(1900*time.Millisecond)) },
			time.Second, 1600 * time.Millisecond, silent(600*time.Millisecond, false), six, "gone"},
		{"missed by the leader before, not yet by this one", func(s *silences) { s.learn(at(0), "b", told(1900*time.Millisecond)) },
			time.Second, 1400 * time.Millisecond, silent(400*time.Millisecond, false), six, ""},
		{"missed by the leader before, answers this one", func(s *silences) { s.learn(at(0), "b", told(time.Minute)) },
			time.Second, 1600 * time.Millisecond, testContacts{}, six, ""},
		{"missed by three leaders in turn", func(s *silences) {
			s.learn(at(0), "b", told(900*time.Millisecond))
			s.learn(at(800*time.Millisecond), "c", told(1700*time.Millisecond))
		}, 1500 * time.Millisecond, 2100 * time.Millisecond, silent(600*time.Millisecond, false), six, "gone"},
		{"missed by a leader, answers the next one, missed by this one", func(s *silences) {
			s.learn(at(0), "b", told(time.Minute))
			s.learn(at(800*time.Millisecond), "c", nil)
		}, 1500 * time.Millisecond, 2100 * time.Millisecond, silent(600*time.Millisecond, false), six, ""},
		{"the leader before is the one that is gone", func(s *silences) { s.learn(at(0), "gone", nil) },
			time.Second, 2 * time.Second, silent(time.Second, false), six, "gone"},
		{"the leader before is the one that is gone, not long enough", func(s *silences) { s.learn(at(0), "gone", nil) },
			time.Second, 1900 * time.Millisecond, silent(900*time.Millisecond, false), six, ""},
		{"no leader was heard for too long", func(s *silences) { s.learn(at(0), "b", told(time.Minute)) },
			2100 * time.Millisecond, 2700 * time.Millisecond, silent(600*time.Millisecond, false), six, ""},
		{"this process stood still", func(s *silences) {
			s.learn(at(0), "b", told(time.Minute))
			s.forget()
		}, 100 * time.Millisecond, 700 * time.Millisecond, silent(600*time.Millisecond, false), six, ""},
		{"a leader of an earlier build tells nothing", func(s *silences) {
			s.learn(at(0), "b", told(time.Minute))
			s.learn(at(100*time.Millisecond), "b", nil)
		}, time.Second, 1600 * time.Millisecond, silent(600*time.Millisecond, false), six, ""},
		{"a silent learner, not long enough", func(s *silences) { s.learn(at(0), "b", told(2500*time.Millisecond)) },
			500 * time.Millisecond, 1100 * time.Millisecond, silent(600*time.Millisecond, false), withLearner, ""},
		{"a silent learner", func(s *silences) { s.learn(at(0), "b", told(3*time.Second)) },
			500 * time.Millisecond, 1100 * time.Millisecond, silent(600*time.Millisecond, false), withLearner, "gone"},
		{"at the group's size", func(s *silences) { s.learn(at(0), "b", told(time.Minute)) },
			time.Second, 1600 * time.Millisecond, silent(600*time.Millisecond, false), voters("a", "b", "c", "d", "gone"), ""},
		{"announced to the leader before", func(s *silences) {
			s.learn(at(0), "b", []raft.Silence{{Node: "gone", Departed: true}})
		}, 500 * time.Millisecond, 1100 * time.Millisecond, silent(600*time.Millisecond, false), six, "gone"},
		{"announced to the leader before, and answers", func(s *silences) {
			s.learn(at(0), "b", []raft.Silence{{Node: "gone", Departed: true}})
		}, 500 * time.Millisecond, 1100 * time.Millisecond, testContacts{}, six, ""},
		{"the one that is silent for longer leaves first", func(s *silences) {
			s.learn(at(0), "b", []raft.Silence{{Node: "gone", Age: 3 * time.Second}, {Node: "e", Age: 2 * time.Second}})
		}, time.Second, 1600 * time.Millisecond, testContacts{"gone": missed(600*time.Millisecond, false), "e": missed(600*time.Millisecond, false)}, six, "gone"},
		{"the leader itself is never surplus", func(s *silences) { s.learn(at(0), "b", []raft.Silence{{Node: "a", Age: time.Minute}}) },
			time.Second, 1600 * time.Millisecond, testContacts{"a": missed(time.Minute, false)}, six, ""},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			s := newSilences("a", 500*time.Millisecond)
			c.hear(s)
			// The first tick of the leadership, at which every contact is new.
			fresh := testContacts{}
			for node, known := range c.contacts {
				fresh[node] = contact{answered: known.answered && c.leads == 0, active: true}
			}
			s.lead(at(c.leads), c.members, fresh.with)
			s.lead(at(c.now), c.members, c.contacts.with)
			got, _ := s.surplus(at(c.now), c.members, 5, timeout, c.contacts.with)
			if got.Node != c.want {
				t.Errorf("%q is surplus, want %q", got.Node, c.want)
			}
		})
	}
}

// Guards against the removal of a member that was silent before its own removal only, and against a record that grows with each generation
// of a data folder.
func TestSilenceOfRemovedMembersIsForgotten(t *testing.T) {
	now := time.Now()
	s := newSilences("a", 500*time.Millisecond)
	s.learn(now, "b", []raft.Silence{{Node: "gone", Age: time.Minute}, {Node: "left", Departed: true}})
	s.lead(now, voters("a", "b"), testContacts{"gone": missed(0, false), "left": missed(0, false)}.with)
	if told := s.tell(now); len(told) != 0 {
		t.Errorf("the leader tells of nodes that are no members: %v", told)
	}
	again := testContacts{"gone": missed(600*time.Millisecond, false)}
	s.lead(now.Add(time.Second), voters("a", "b", "gone"), again.with)
	if got, ok := s.surplus(now.Add(time.Second), voters("a", "b", "gone"), 2, 2*time.Second, again.with); ok {
		t.Errorf("%s is removed for a silence before its removal", got.Node)
	}
}

// Guards against ages that grow or shrink on their way over several leaders.
func TestToldSilence(t *testing.T) {
	now := time.Now()
	first := newSilences("a", 500*time.Millisecond)
	first.lead(now, voters("a", "b", "c", "d"), testContacts{"c": missed(700*time.Millisecond, true)}.with)
	first.announce(now, "d")
	second := newSilences("b", 500*time.Millisecond)
	second.learn(now.Add(time.Second), "a", first.tell(now.Add(time.Second)))
	want := []raft.Silence{{Node: "c", Age: 2700 * time.Millisecond}, {Node: "d", Departed: true}}
	got := second.tell(now.Add(2 * time.Second))
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("told on: %v, want %v", got, want)
	}
}

// Guards against an announcement that outlasts a restart of the member that made it.
func TestOldAnnouncementsAreDropped(t *testing.T) {
	now := time.Now()
	s := newSilences("a", 500*time.Millisecond)
	s.announce(now, "b")
	s.announce(now, "c")
	isActive := func(node raft.NodeID) bool { return node == "b" }
	s.dropOldAnnouncements(now.Add(time.Second), 2*time.Second, isActive)
	if len(s.departed) != 2 {
		t.Errorf("%v is left while the stops may go on", s.departed)
	}
	s.dropOldAnnouncements(now.Add(3*time.Second), 2*time.Second, isActive)
	if _, kept := s.departed["c"]; !kept || len(s.departed) != 1 {
		t.Errorf("%v is left, want that of c, which does not answer", s.departed)
	}
}

// Guards against an announcement that is lost because it came before the first tick of a new leader: the member would stay a voter for
// the whole timeout.
func TestAnnouncementBeforeTheFirstTick(t *testing.T) {
	now := time.Now()
	s := newSilences("a", 500*time.Millisecond)
	s.announce(now, "b")
	s.lead(now.Add(50*time.Millisecond), voters("a", "b", "c"), testContacts{}.with)
	silent := testContacts{"b": missed(600*time.Millisecond, true)}
	s.lead(now.Add(time.Second), voters("a", "b", "c"), silent.with)
	if got, _ := s.surplus(now.Add(time.Second), voters("a", "b", "c"), 2, time.Minute, silent.with); got.Node != "b" {
		t.Errorf("%q is surplus, want b", got.Node)
	}
}
