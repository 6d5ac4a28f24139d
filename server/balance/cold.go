package balance

import (
	"slices"
	"time"
)

// rateLimiter limits requests to a rate, with a burst of one. The next request may be sent from nextAllowed on.
type rateLimiter struct{ nextAllowed time.Time }

func (l *rateLimiter) ready(now time.Time) bool { return !now.Before(l.nextAllowed) }

func (l *rateLimiter) consume(now time.Time, rate float64) {
	l.nextAllowed = now.Add(time.Duration(float64(time.Second) / rate))
}

// ColdRate returns the number of requests per second that this instance may send to a cold backend server, given the
// limit over all instances. Each sender may send one request at once in addition to its rate, so in a large fleet only some
// instances may send and the result is 0 for the others. All instances agree on the senders by a rendezvous hash.
func ColdRate(totalPerSecond float64, instances []string, instance, server string) float64 {
	if !slices.Contains(instances, instance) {
		// The list of instances is incomplete, so that the number of senders is unknown.
		return 0
	}
	senderCount := min(max(int(totalPerSecond*burstColdShare), 1), len(instances))
	serverHash, higherRanked := Hash(server), 0
	ownRank := rankFor(serverHash, Hash(instance))
	for _, other := range instances {
		if other != instance && rankFor(serverHash, Hash(other)) > ownRank {
			higherRanked++
		}
	}
	if higherRanked >= senderCount {
		return 0
	}
	return steadyColdShare * totalPerSecond / float64(senderCount)
}

const (
	// steadyColdShare is the fraction of the cold rate that the senders use steadily.
	steadyColdShare = 0.8
	// burstColdShare is the fraction of the cold rate that may arrive at once, one request from each sender. Together
	// with steadyColdShare it stays below 1.5 times the cold rate, the most that cold servers can take within one
	// second.
	burstColdShare = 0.6
)
