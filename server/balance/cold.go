package balance

import (
	"slices"
	"time"
)

// bucket allows a rate with a burst of one request.
type bucket struct{ next time.Time }

func (b *bucket) ready(now time.Time) bool { return !now.Before(b.next) }

func (b *bucket) take(now time.Time, rate float64) {
	b.next = now.Add(time.Duration(float64(time.Second) / rate))
}

// ColdRate returns the rate at which this entry instance may send to a cold backend server that bears perSecond requests a
// second over all of them; 0 when others do. Each instance that may send can send one request at once beside its rate, so
// that only some of a large fleet may: all instances agree on them by a rendezvous hash.
func ColdRate(perSecond float64, instances []string, self, server string) float64 {
	if !slices.Contains(instances, self) {
		// The list is not whole yet, so that nobody knows how many may send.
		return 0
	}
	senders := min(max(int(perSecond*coldBurst), 1), len(instances))
	key, before := Hash(server), 0
	own := rankFor(key, Hash(self))
	for _, other := range instances {
		if other != self && rankFor(key, Hash(other)) > own {
			before++
		}
	}
	if before >= senders {
		return 0
	}
	return coldShare * perSecond / float64(senders)
}

const (
	// coldShare is the part of the cold rate that is used steadily.
	coldShare = 0.8
	// coldBurst is the part of the cold rate that may come at once, one request from each sender: together with coldShare it
	// stays under one and a half times the rate, what cold servers bear for a second.
	coldBurst = 0.6
)
