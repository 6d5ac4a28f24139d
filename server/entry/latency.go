package entry

import (
	"slices"
	"sync"
	"time"

	"clementinetray/api/catalogue"
)

const (
	// A backend server is suspected of being cold after consecutiveSlowLimit consecutive slow requests. A request is slow if its
	// time to the first token is more than slowFactor times the pool's median and exceeds the median by more than
	// minSlowExcess. The factor alone is not enough, as times of a few milliseconds often vary by such a factor.
	slowFactor           = 4
	consecutiveSlowLimit = 3
	minSlowExcess        = 200 * time.Millisecond
	// latencyWindow is the largest number of requests that a median covers, minLatencySamples the smallest.
	latencyWindow     = 64
	minLatencySamples = 16
	// medianInterval is the number of requests after which the median is computed again, which limits the cost of sorting.
	medianInterval = 8
	// maxLatencyKeys is the largest number of pools, and of backend servers, that are tracked.
	maxLatencyKeys = 2048
)

// latencyWatch detects backend servers whose time to the first token is much longer than that of their pool.
type latencyWatch struct {
	mu    sync.Mutex // guards pools and slowStreaks
	pools map[catalogue.VersionRef]*poolLatency
	// slowStreaks counts the consecutive slow requests by backend server and boot.
	slowStreaks map[serverBoot]int
}

type serverBoot struct{ server, boot string }

type poolLatency struct {
	// values is a ring buffer of the last times to the first token; count is the number of times added so far.
	values [latencyWindow]time.Duration
	count  int
	// median is 0 until there are minLatencySamples times.
	median time.Duration
}

func newLatencyWatch() *latencyWatch {
	return &latencyWatch{pools: map[catalogue.VersionRef]*poolLatency{}, slowStreaks: map[serverBoot]int{}}
}

func (p *poolLatency) add(d time.Duration) {
	p.values[p.count%latencyWindow] = d
	p.count++
	if p.count < minLatencySamples || p.count%medianInterval != 0 {
		return
	}
	sorted := p.values
	kept := sorted[:min(p.count, latencyWindow)]
	slices.Sort(kept)
	p.median = kept[len(kept)/2]
}

// observe adds the time to the first token of one request. It reports whether this request was the last of
// consecutiveSlowLimit consecutive slow ones; the count starts again after that.
func (l *latencyWatch) observe(version catalogue.VersionRef, server serverBoot, firstToken time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.pools[version]
	if pool == nil {
		if len(l.pools) >= maxLatencyKeys {
			clear(l.pools)
		}
		pool = &poolLatency{}
		l.pools[version] = pool
	}
	slow := pool.median > 0 && firstToken > slowFactor*pool.median && firstToken-pool.median > minSlowExcess
	pool.add(firstToken)
	if !slow {
		delete(l.slowStreaks, server)
		return false
	}
	if len(l.slowStreaks) >= maxLatencyKeys {
		clear(l.slowStreaks)
	}
	l.slowStreaks[server]++
	if l.slowStreaks[server] < consecutiveSlowLimit {
		return false
	}
	delete(l.slowStreaks, server)
	return true
}
