package balance

import (
	"cmp"
	"slices"
	"time"
)

// ServerRate holds the learned values of one backend server, at its usual speed.
type ServerRate struct {
	ID string
	// TokensPerMillisecond is the number of prompt tokens of the slowest model that the server reads per millisecond, 0 if unknown.
	TokensPerMillisecond float64
	// RelativeTime is the server's time to the first event relative to its pool; above 1 is slower.
	RelativeTime float64
	// Occupancy is the time for which a request occupies a slot, 0 if unknown.
	Occupancy time.Duration
	// WorkPercent is the last reported work percentage, 0 if there is none.
	WorkPercent int
}

// PoolRates holds the learned values of a pool.
type PoolRates struct {
	Pool string
	// Servers is sorted by RelativeTime, the slowest first.
	Servers []ServerRate
}

// rateLifetime is the time without use after which a server is left out of Rates. Servers that were removed are not used any more.
const rateLifetime = time.Minute

// Rates returns the learned values of each pool that has some, sorted by name.
func (t *Tracker) Rates(now time.Time) []PoolRates {
	t.mu.Lock()
	defer t.mu.Unlock()
	byPool := map[*poolState]*PoolRates{}
	for name, p := range t.pools {
		if p.learns && p.rates.Known() {
			byPool[p] = &PoolRates{Pool: name}
		}
	}
	for id, s := range t.servers {
		if rates := byPool[s.pool]; rates != nil && s.rate.Responses() > 0 && now.Sub(s.lastUsed) <= rateLifetime {
			p := s.pool.rates
			rates.Servers = append(rates.Servers, ServerRate{
				ID: id, TokensPerMillisecond: p.TokensPerMillisecond(now, &s.rate), RelativeTime: p.Factor(now, &s.rate),
				Occupancy: p.Occupancy(now, &s.rate), WorkPercent: s.lastReport.WorkPercent,
			})
		}
	}
	var out []PoolRates
	for _, rates := range byPool {
		slices.SortFunc(rates.Servers, func(a, b ServerRate) int {
			return cmp.Or(cmp.Compare(b.RelativeTime, a.RelativeTime), cmp.Compare(a.ID, b.ID))
		})
		out = append(out, *rates)
	}
	slices.SortFunc(out, func(a, b PoolRates) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}
