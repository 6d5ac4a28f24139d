package fleet

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/controlstate"
)

var (
	firstDepartureSeed = flag.Uint64("departure-seed", 1, "first seed of the schedules of late announcements")
	departureSeeds     = flag.Int("departure-seeds", 300, "number of schedules of late announcements")
)

// appliedState applies commands to a state without a replicated log.
type appliedState struct{ *controlstate.State }

func (s appliedState) ProposeCommand(_ context.Context, c *controlstate.Command) (any, error) {
	data, err := c.Encode()
	if err != nil {
		return nil, err
	}
	return s.Apply(1, data), nil
}

// lateMessages plays backend servers whose announcements and deregistrations are delayed, repeated and dropped, while leaders change.
type lateMessages struct {
	t     *testing.T
	rnd   *rand.Rand
	now   time.Time
	state appliedState
	table *Table
	term  uint64
	// due holds the messages that are under way.
	due []lateMessage
	// confirmed holds, by server id, the starts whose departure was confirmed.
	confirmed map[string][]int64
}

type lateMessage struct {
	at      time.Time
	deliver func()
}

// maxLate is the longest delay of a message.
const maxLate = 60 * time.Second

func (s *lateMessages) random(limit time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(limit)))
}

// send delivers a message at once, late, or late and again, or drops it.
func (s *lateMessages) send(deliver func()) {
	copies := 1
	if s.rnd.IntN(10) == 0 {
		copies = s.rnd.IntN(3)
	}
	for range copies {
		delay := s.random(300 * time.Millisecond)
		if s.rnd.IntN(4) == 0 {
			delay = s.random(maxLate)
		}
		s.due = append(s.due, lateMessage{s.now.Add(delay), deliver})
	}
}

// newLeader starts a table that knows what is recorded, and at times also what followers copied.
func (s *lateMessages) newLeader() {
	copied := NewTable()
	if s.rnd.IntN(2) == 0 {
		copied.LoadDelta(s.now, s.table.Delta(s.now, "", 0))
	}
	s.term++
	s.table = copied
	s.table.Reset(s.now, Epoch(s.term))
	s.table.AddRecordedServers(s.now, s.state.Servers())
}

func (s *lateMessages) record() {
	NewRecorder(s.table, s.state, s.state, slog.New(slog.DiscardHandler)).record(context.Background(), s.now)
}

// start plays one start of a backend server and returns when it ends.
func (s *lateMessages) start(id, address string, began time.Time) (end time.Time) {
	started, sequence := began.UnixMilli(), int64(0)
	after := func(d time.Duration, do func()) { s.due = append(s.due, lateMessage{began.Add(d), do}) }
	announce := func(leaving bool) {
		sequence++
		a := control.Announcement{
			ID: id, Boot: fmt.Sprint(started), Address: address, Service: "pool", Capacity: 8, Started: started, Sequence: sequence,
			StatesCold: true, Leaving: leaving,
		}
		s.send(func() {
			_ = s.table.Announce(s.now, a)
			r, ok := s.table.Server(s.now, id)
			if leaving && ok && r.Started == started && r.Leaving {
				s.record()
				s.confirmed[id] = append(s.confirmed[id], started)
			}
		})
	}
	life := time.Second + s.random(20*time.Second)
	for at := time.Duration(0); at < life; at += time.Second {
		after(at, func() { announce(false) })
	}
	if s.rnd.IntN(2) == 0 {
		after(life, func() { announce(true) })
		life += s.random(3 * time.Second)
	}
	if s.rnd.IntN(4) > 0 {
		after(life, func() {
			s.send(func() {
				s.table.MarkLeaving(s.now, control.Leave{ID: id, Started: started})
				s.record()
				s.confirmed[id] = append(s.confirmed[id], started)
			})
		})
	}
	return began.Add(life)
}

// check fails when a start whose departure was confirmed is in service.
func (s *lateMessages) check() {
	for id, row := range s.table.Snapshot(s.now).Servers {
		if !row.Leaving && slices.Contains(s.confirmed[id], row.Started) {
			s.t.Fatalf("start %d of %s is in service after its departure was confirmed, sequence %d", row.Started, id, row.Sequence)
		}
	}
}

// Guards against requests to a backend server whose departure was confirmed, because an announcement that it sent before arrives up to
// 60 s late: after its row has expired, at another leader, or beside a later start of it or of another server at its address.
func TestConfirmedDeparturesOutlastLateAnnouncements(t *testing.T) {
	for seed := *firstDepartureSeed; seed < *firstDepartureSeed+uint64(*departureSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			began := time.UnixMilli(1_800_000_000_000)
			s := &lateMessages{
				t: t, rnd: rand.New(rand.NewPCG(seed, 5)), now: began, state: appliedState{controlstate.New()}, table: NewTable(), confirmed: map[string][]int64{},
			}
			s.newLeader()
			for server := range 3 {
				id, address := fmt.Sprint("s", server), fmt.Sprintf("127.0.0.1:%d", server+1)
				at := began.Add(s.random(5 * time.Second))
				for at.Before(began.Add(60 * time.Second)) {
					if s.rnd.IntN(4) == 0 {
						id += "+"
					}
					at = s.start(id, address, at).Add(time.Second + s.random(15*time.Second))
				}
			}
			for ; s.now.Before(began.Add(3 * time.Minute)); s.now = s.now.Add(250 * time.Millisecond) {
				for len(s.due) > 0 {
					slices.SortStableFunc(s.due, func(a, b lateMessage) int { return a.at.Compare(b.at) })
					if s.due[0].at.After(s.now) {
						break
					}
					next := s.due[0]
					s.due = s.due[1:]
					next.deliver()
					s.check()
				}
				if s.rnd.IntN(60) == 0 {
					s.newLeader()
				}
				s.record()
				s.check()
			}
		})
	}
}

// Guards against memory that grows with each start of a fleet, and against departures that are forgotten although there is room for them.
func TestDeparturesAreBounded(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	table := NewTable()
	table.Reset(now, Epoch(1))
	leave := func(i int) { table.MarkLeaving(now, control.Leave{ID: fmt.Sprint("s", i), Started: 1}) }
	for i := range maxDepartures {
		leave(i)
		now = now.Add(time.Millisecond)
	}
	if left := len(table.departed(now)); left != maxDepartures {
		t.Fatalf("%d departures, want %d", left, maxDepartures)
	}
	leave(maxDepartures)
	left := table.departed(now)
	if _, ok := left["s0"]; ok || len(left) != maxDepartures {
		t.Errorf("%d departures, want %d without the first", len(left), maxDepartures)
	}
	now = now.Add(DepartureTTL)
	if left := table.departed(now); len(left) != 0 || len(table.departures) != 0 {
		t.Errorf("%d departures after DepartureTTL, %d in memory", len(left), len(table.departures))
	}
	if change := diffRecordedServers([]controlstate.RecordedServer{{Announcement: control.Announcement{ID: "s0", Started: 1}, Deregistered: true}}, nil, table.departed(now)); len(change.Remove) != 1 {
		t.Errorf("change %+v, want the record of s0 removed", change)
	}
}

// Guards against a backend server that states no start, and was replaced by a new boot after it deregistered, which each new leader removes
// and takes for cold.
func TestNewBootOutlastsTheRecordedDeparture(t *testing.T) {
	s := &lateMessages{t: t, now: time.UnixMilli(1_800_000_000_000), state: appliedState{controlstate.New()}, table: NewTable()}
	s.table.Reset(s.now, Epoch(1))
	announce := func(boot string) {
		if err := s.table.Announce(s.now, control.Announcement{ID: "s", Boot: boot, Address: "127.0.0.1:1", Capacity: 8}); err != nil {
			t.Fatal(err)
		}
	}
	announce("first")
	s.table.MarkLeaving(s.now, control.Leave{ID: "s"})
	s.now = s.now.Add(AnnouncementTTL)
	s.record()
	if recorded, ok := s.state.Server("s"); !ok || !recorded.Deregistered {
		t.Fatalf("record %+v, want a departure", recorded)
	}
	announce("second")
	for range 2 {
		copied := NewTable()
		copied.LoadDelta(s.now, s.table.Delta(s.now, "", 0))
		copied.Reset(s.now, Epoch(2))
		copied.AddRecordedServers(s.now, s.state.Servers())
		if row, ok := copied.Server(s.now, "s"); !ok || row.Boot != "second" || row.Leaving {
			t.Fatalf("row %+v at the next leader", row)
		}
		s.record()
	}
	if recorded, ok := s.state.Server("s"); ok {
		t.Errorf("record %+v beside the row of a later boot", recorded)
	}
}
