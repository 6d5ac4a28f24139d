package limits_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinetray/api/control"
	"clementinetray/server/limits"
)

// clock is a simulated clock with its own offset and rate.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) read(t time.Duration) time.Time {
	return start.Add(c.offset + time.Duration(float64(t)*c.rate))
}

// job is one running request. outlived says that the leader got no heartbeat from its holder for longer than GrantTTL
// while it ran: such requests may finish, but no longer count at the leader.
type job struct {
	release  func()
	ends     time.Duration
	outlived bool
}

type simHolder struct {
	*member
	clock
	jobs           []*job
	cutUntil       time.Duration
	receivedAt     time.Duration
	wantedRequests int
}

type simLeader struct {
	*limits.Allocator
	clock
	servesUntil time.Duration
}

type message struct {
	due    time.Duration
	to     *simLeader
	from   *simHolder
	sentAt time.Time
	in     *control.HeartbeatRequest
	// grants is set on the way back.
	grants []control.Grant
	reply  bool
}

// schedule is one random run of a fleet with one limit.
type schedule struct {
	rng      *rand.Rand
	now      time.Duration
	key      string
	src      *fixedSource
	entries  int
	holders  []*simHolder
	leader   *simLeader
	inFlight []message
	lossRate float64
	// limits holds the limit of each step. A smaller limit takes some time to reach all holders; until then the old one is
	// the bound.
	limits []float64
	// granted counts the admitted requests, so that the test fails if no run admits any.
	granted int
}

func newSchedule(seed uint64, entries int, limit, lossy float64) *schedule {
	s := &schedule{rng: rand.New(rand.NewPCG(seed, 1)), key: limits.WorkspaceConcurrencyKey("claims"), entries: entries, lossRate: lossy}
	s.src = &fixedSource{limits: map[string]float64{s.key: limit}}
	for i := range entries {
		s.holders = append(s.holders, &simHolder{member: newMember(fmt.Sprintf("entry-%d", i), entries), clock: s.clock(), wantedRequests: s.rng.IntN(int(limit) + 2)})
	}
	s.startLeader()
	return s
}

func (s *schedule) clock() clock {
	return clock{offset: time.Duration(s.rng.IntN(1000)) * time.Second, rate: 0.99 + 0.02*s.rng.Float64()}
}

// startLeader starts a new leader. The old one still answers for up to 0.9 s.
func (s *schedule) startLeader() {
	if s.leader != nil {
		s.leader.servesUntil = s.now + time.Duration(s.rng.IntN(900))*time.Millisecond
	}
	s.leader = &simLeader{Allocator: limits.NewAllocator(s.entries), clock: s.clock(), servesUntil: 1 << 62}
	s.leader.Reset(s.leader.read(s.now))
}

func (s *schedule) delay() time.Duration {
	if s.rng.Float64() < s.lossRate {
		return time.Duration(s.rng.IntN(20_000)) * time.Millisecond
	}
	return time.Duration(s.rng.IntN(200)) * time.Millisecond
}

func (s *schedule) deliver() {
	var rest []message
	due := s.inFlight
	s.inFlight = nil
	for _, m := range due {
		switch {
		case m.due > s.now:
			rest = append(rest, m)
		case m.from.cutUntil > s.now, s.rng.Float64() < s.lossRate/2:
			// Lost.
		case m.reply:
			m.from.holder.Apply(m.sentAt, &control.HeartbeatReply{Grants: m.grants, TTL: limits.GrantTTL})
		case m.to.servesUntil > s.now:
			if s.rng.Float64() < s.lossRate/4 {
				// The call is repeated.
				again := m
				again.due = s.now + s.delay()
				rest = append(rest, again)
			}
			m.grants = m.to.Heartbeat(m.to.read(s.now), m.in, s.src)
			if m.grants != nil {
				// The leader ignores a heartbeat that arrives after a later one.
				m.from.receivedAt = s.now
			}
			m.due, m.reply = s.now+s.delay(), true
			rest = append(rest, m)
		}
	}
	s.inFlight = append(s.inFlight, rest...)
}

func (s *schedule) step(index int, h *simHolder) {
	local := h.read(s.now)
	if s.now-h.receivedAt > limits.GrantTTL {
		for _, j := range h.jobs {
			j.outlived = true
		}
	}
	var running []*job
	for _, j := range h.jobs {
		if j.ends <= s.now {
			j.release()
		} else {
			running = append(running, j)
		}
	}
	h.jobs = running
	if s.rng.IntN(40) == 0 {
		h.wantedRequests = s.rng.IntN(int(s.src.limits[s.key]) + 2)
	}
	if s.rng.IntN(150) == 0 {
		h.cutUntil = s.now + time.Duration(s.rng.IntN(40))*time.Second
	}
	for len(h.jobs) < h.wantedRequests {
		release, ok := h.holder.TryAcquire(local, s.key, s.src.limits[s.key])
		if !ok {
			break
		}
		s.granted++
		h.jobs = append(h.jobs, &job{release: release, ends: s.now + time.Duration(s.rng.IntN(30_000))*time.Millisecond})
	}
	if int(s.now/(100*time.Millisecond))%10 == index%10 {
		s.inFlight = append(s.inFlight, message{due: s.now + s.delay(), to: s.leader, from: h, sentAt: local, in: h.nextHeartbeat(local)})
	}
}

// check returns a description of the exceeded bound, or an empty string.
func (s *schedule) check() string {
	usable, running := 0.0, 0
	for _, h := range s.holders {
		usable += h.holder.UsableAmount(h.read(s.now), s.key, s.src.limits[s.key])
		for _, j := range h.jobs {
			if !j.outlived {
				running++
			}
		}
	}
	s.limits = append(s.limits, s.src.limits[s.key])
	// A holder gets a smaller limit, or loses its grant if it is cut off, within 16 s (160 steps). Requests that were
	// admitted before run for up to 30 s more.
	limit := slices.Max(s.limits[max(0, len(s.limits)-160):])
	if usable > limit+1e-6 {
		return fmt.Sprintf("at %v the holders may use %g of %g", s.now, usable, limit)
	}
	limit = slices.Max(s.limits[max(0, len(s.limits)-460):])
	if float64(running) > limit {
		return fmt.Sprintf("at %v %d requests run under a limit of %g", s.now, running, limit)
	}
	return ""
}

// run simulates the time d in steps of 100 ms. It returns the first result of check that isn't empty.
func (s *schedule) run(d time.Duration, leaderChanges, limitChanges bool) string {
	largest := int(s.src.limits[s.key])
	for end := s.now + d; s.now < end; s.now += 100 * time.Millisecond {
		if leaderChanges && s.rng.IntN(300) == 0 {
			s.startLeader()
		}
		if limitChanges && s.rng.IntN(300) == 0 {
			s.src.limits[s.key] = float64(1 + s.rng.IntN(largest))
		}
		s.deliver()
		for i, h := range s.holders {
			s.step(i, h)
		}
		if broken := s.check(); broken != "" {
			return broken
		}
	}
	return ""
}

// Guards against more requests running over the fleet than the limit, with cut-off holders, leader changes, lost, late
// and repeated messages, limits that shrink while they are leased, and clock rates that differ by 1%.
func TestNeverOverTheLimit(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 9).Draw(t, "entries")
		limit := rapid.IntRange(1, 60).Draw(t, "limit")
		lossy := rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "lossy")
		s := newSchedule(rapid.Uint64().Draw(t, "seed"), entries, float64(limit), lossy)
		if broken := s.run(120*time.Second, rapid.Bool().Draw(t, "leaderChanges"), rapid.Bool().Draw(t, "limitChanges")); broken != "" {
			t.Fatal(broken)
		}
		admitted += s.granted
	})
	if admitted == 0 {
		t.Fatal("no schedule admitted a request")
	}
	t.Logf("admitted=%d", admitted)
}

// slotHolder is an entry instance that runs requests on one cold backend server.
type slotHolder struct {
	*member
	cutUntil time.Duration
	running  map[control.Slot]time.Duration
	next     int
}

// Guards against a cold backend server that runs more requests than its limit, with lost replies and releases, cut-off
// holders, leader changes and reported running counts that are up to 3 s old.
func TestNeverMoreSlotsThanTheLimit(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		lost := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "lost")
		changes := rapid.Bool().Draw(t, "leaderChanges")
		key := limits.ServerSlotKey("m1", "boot-1")
		var holders []*slotHolder
		for i := range 5 {
			holders = append(holders, &slotHolder{member: newMember(fmt.Sprint("entry-", i), 5), running: map[control.Slot]time.Duration{}})
		}
		src := &fixedSource{slots: map[control.SlotKey][2]int{key: {limit, 0}}}
		leader := limits.NewAllocator(5)
		leader.Reset(start)
		downUntil := time.Duration(0)
		for now := time.Duration(0); now < 120*time.Second; now += 100 * time.Millisecond {
			wall := start.Add(now)
			if changes && rng.IntN(200) == 0 {
				leader = limits.NewAllocator(5)
				leader.Reset(wall)
				downUntil = now + time.Duration(rng.IntN(2000))*time.Millisecond
			}
			total := 0
			for _, h := range holders {
				reachable := h.cutUntil <= now && downUntil <= now
				for slot, ends := range h.running {
					if ends <= now {
						delete(h.running, slot)
						if reachable && rng.Float64() >= lost {
							leader.Release(wall, []control.Slot{slot})
						}
					}
				}
				if rng.IntN(150) == 0 {
					h.cutUntil = now + time.Duration(rng.IntN(20))*time.Second
				}
				if reachable && rng.IntN(10) == 0 && rng.Float64() >= lost {
					h.slots = h.slots[:0]
					for slot := range h.running {
						h.slots = append(h.slots, slot)
					}
					leader.Heartbeat(wall, h.nextHeartbeat(wall), src)
				}
				if reachable && rng.IntN(5) == 0 {
					h.next++
					slot := control.Slot{Key: key, ID: fmt.Sprint(h.id, "-", h.next)}
					ok, _ := leader.Acquire(wall, h.id, h.id+"-1", slot, src)
					if ok && rng.Float64() < lost {
						// The reply was lost: the call is repeated.
						ok, _ = leader.Acquire(wall, h.id, h.id+"-1", slot, src)
					}
					if ok {
						granted++
						h.running[slot] = now + time.Duration(rng.IntN(15_000))*time.Millisecond
					}
				}
				total += len(h.running)
			}
			if total > limit {
				t.Fatalf("at %v the backend server runs %d of %d", now, total, limit)
			}
			if now%(1500*time.Millisecond) == 0 {
				src.slots[key] = [2]int{limit, total}
			}
		}
	})
	if granted == 0 {
		t.Fatal("no schedule granted a slot")
	}
	t.Logf("granted=%d", granted)
}
