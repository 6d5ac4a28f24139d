package limits_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/controlsvc"
	"clementinetray/server/entry"
	"clementinetray/server/limits"
)

var (
	_ controlsvc.Allocator = (*limits.Allocator)(nil)
	_ entry.Limits         = (*limits.Holder)(nil)
)

func init() {
	// The schedules of the property tests are the same in each run.
	_ = flag.Set("rapid.seed", "20260704")
}

func TestLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits")
}

var start = time.Unix(1_800_000_000, 0)

// at returns the time s seconds after start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// fixedSource is a source with settable limits.
type fixedSource struct {
	limits map[string]float64
	slots  map[control.SlotKey][2]int
}

func (f *fixedSource) Limit(key string) (float64, bool) {
	l, ok := f.limits[key]
	return l, ok
}

func (f *fixedSource) SlotLimit(key control.SlotKey) (limit, reported int, ok bool) {
	s, ok := f.slots[key]
	return s[0], s[1], ok
}

// member is one entry instance with its holder.
type member struct {
	id       string
	holder   *limits.Holder
	sequence uint64
	slots    []control.Slot
}

func newMember(id string, maxEntryInstances int) *member {
	return &member{id: id, holder: limits.NewHolder(maxEntryInstances)}
}

// nextHeartbeat builds the next heartbeat, sent at now.
func (m *member) nextHeartbeat(now time.Time) *control.HeartbeatRequest {
	m.sequence++
	return &control.HeartbeatRequest{
		Meta: control.Meta{Instance: m.id, Boot: m.id + "-1"}, Sequence: m.sequence,
		Demand: m.holder.Demand(now), Held: m.holder.Held(now), Slots: m.slots,
	}
}

// sendHeartbeat sends one heartbeat without delay.
func (m *member) sendHeartbeat(now time.Time, a *limits.Allocator, src limits.Source) {
	in := m.nextHeartbeat(now)
	m.holder.Apply(now, &control.HeartbeatReply{Grants: a.Heartbeat(now, in, src), TTL: limits.GrantTTL})
}

// acquire takes up to n requests and returns how many were allowed.
func (m *member) acquire(now time.Time, key string, limit float64, n int) int {
	got := 0
	for range n {
		if _, ok := m.holder.TryAcquire(now, key, limit); ok {
			got++
		}
	}
	return got
}
