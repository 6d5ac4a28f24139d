package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"clementinetray/api/control"
)

const (
	// avoidCut is how long an instance is not used as a relay after it was cut itself, did not answer or broke.
	avoidCut = 3 * time.Second
	// avoidFull is that time after it had no capacity.
	avoidFull = time.Second
	// cutZoneRelays is the number of relays of a zone that are cut themselves or don't answer from which relays of other zones are
	// tried first: the zone may be cut as a whole.
	cutZoneRelays = 2
)

// Choice chooses the instance that forwards a connection. It does no I/O and is safe for concurrent use.
type Choice struct {
	instance, zone, region string

	mu sync.Mutex // guards both
	// avoided holds the relays that are avoided. open is the number of this instance's connections through each.
	avoided map[string]avoidance
	open    map[string]int
}

type avoidance struct {
	zone  string
	until time.Time
	// cut is false if the relay only had no capacity.
	cut bool
}

// NewChoice returns the choice of an instance in an availability zone of a region.
func NewChoice(instance, zone, region string) *Choice {
	return &Choice{instance: instance, zone: zone, region: region, avoided: map[string]avoidance{}, open: map[string]int{}}
}

// Has reports whether one of the members can forward.
func (c *Choice) Has(members []control.Member) bool {
	for i := range members {
		if c.isRelay(&members[i]) {
			return true
		}
	}
	return false
}

// HasOtherZone reports whether a member of another availability zone can forward and is not avoided.
func (c *Choice) HasOtherZone(now time.Time, members []control.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range members {
		if m := &members[i]; m.AvailabilityZone != c.zone && c.isRelay(m) && !now.Before(c.avoided[m.Instance].until) {
			return true
		}
	}
	return false
}

// isRelay reports whether a member can forward for this instance. Traffic stays in the own region, as far as the regions are known.
func (c *Choice) isRelay(m *control.Member) bool {
	isOwnRegion := m.Region == c.region || m.Region == "" || c.region == ""
	return m.RelayAddress != "" && m.Instance != c.instance && isOwnRegion
}

// Ranks of relays, the best first.
const (
	rankOwnZone = iota
	rankOwnRegion
	rankUnknownRegion
	// Zones in which relays are cut come after the others, avoided relays last.
	rankCutZone
	rankAvoided
	rankCount
)

// Next returns the relay for the next try of a dial: one of the own availability zone, else of the own region, else one whose region is not
// known, and of two random ones that with fewer of this instance's connections. tried holds the instances that the dial tried, with their zones; after a
// first try relays of other zones come first, as the zone may be cut as a whole.
func (c *Choice) Next(now time.Time, members []control.Member, tried map[string]string) (control.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cutInZone := c.cutByZone(now)
	for _, zone := range tried {
		cutInZone[zone] = cutZoneRelays
	}
	var byRank [rankCount][]int
	for i := range members {
		m := &members[i]
		if _, isTried := tried[m.Instance]; isTried || !c.isRelay(m) {
			continue
		}
		rank := c.rank(now, m, cutInZone)
		byRank[rank] = append(byRank[rank], i)
	}
	for _, indexes := range byRank {
		if len(indexes) > 0 {
			return members[c.lessUsed(members, indexes)], true
		}
	}
	return control.Member{}, false
}

// cutByZone returns the number of avoided relays of each zone that are cut or did not answer.
func (c *Choice) cutByZone(now time.Time) map[string]int {
	out := map[string]int{}
	for id, a := range c.avoided {
		if now.After(a.until) {
			delete(c.avoided, id)
		} else if a.cut {
			out[a.zone]++
		}
	}
	return out
}

func (c *Choice) rank(now time.Time, m *control.Member, cutInZone map[string]int) int {
	switch {
	case now.Before(c.avoided[m.Instance].until):
		return rankAvoided
	case cutInZone[m.AvailabilityZone] >= cutZoneRelays:
		return rankCutZone
	case m.AvailabilityZone == c.zone:
		return rankOwnZone
	case m.Region != "" && m.Region == c.region:
		return rankOwnRegion
	}
	return rankUnknownRegion
}

// lessUsed returns, of two random indexes, that of the member with fewer connections.
func (c *Choice) lessUsed(members []control.Member, indexes []int) int {
	first, second := indexes[rand.IntN(len(indexes))], indexes[rand.IntN(len(indexes))]
	if c.open[members[second].Instance] < c.open[members[first].Instance] {
		return second
	}
	return first
}

// Avoid records that a relay is cut itself, did not answer or broke.
func (c *Choice) Avoid(now time.Time, m *control.Member) {
	c.avoid(m, avoidance{zone: m.AvailabilityZone, until: now.Add(avoidCut), cut: true})
}

// AvoidFull records that a relay had no capacity.
func (c *Choice) AvoidFull(now time.Time, m *control.Member) {
	c.avoid(m, avoidance{zone: m.AvailabilityZone, until: now.Add(avoidFull)})
}

func (c *Choice) avoid(m *control.Member, a avoidance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[m.Instance] = a
}

// Opened records a connection through a relay, Closed its end.
func (c *Choice) Opened(relay string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[relay]++
}

// Closed records the end of a connection through a relay.
func (c *Choice) Closed(relay string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[relay]--; c.open[relay] <= 0 {
		delete(c.open, relay)
	}
}

// OpenCount returns the number of this instance's connections through relays.
func (c *Choice) OpenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, n := range c.open {
		count += n
	}
	return count
}
