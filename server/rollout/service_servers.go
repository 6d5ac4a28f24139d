package rollout

import (
	"cmp"
	"slices"

	"clementinetray/api/control"
)

const (
	// serverRateWindow is the number of attempts on a backend server beyond which older ones are scaled down.
	serverRateWindow = 200
	// maxServerRates bounds the number of backend servers of a service whose rates are kept.
	maxServerRates = 2048
	// soundShare is the share of the old version's backend servers, those with the fewest failures, whose rate stands for the
	// version itself. Failures that only the others have come from single backend servers.
	soundShare = 1.0 / 3
	// poolPriorRequests is the weight, in requests, of the rate of the whole pool in that of one backend server.
	poolPriorRequests = 20
)

// serverRates holds the failure rates of the backend servers of one service.
type serverRates map[string]*serverRate

type serverRate struct {
	version string
	rate
}

func (s serverRates) add(o *control.Outcome) {
	known := s[o.BackendServer]
	if known == nil || known.version != o.SoftwareVersion {
		if known == nil && len(s) >= maxServerRates {
			clear(s)
		}
		known = &serverRate{version: o.SoftwareVersion}
		s[o.BackendServer] = known
	}
	known.add(float64(o.Requests), float64(o.Failures), serverRateWindow)
}

// soundFraction returns the failure rate of the old versions on their soundest backend servers, as a fraction of their rate on
// all of them: 1 if all fail alike, near 0 if some never fail.
func (s serverRates) soundFraction(newVersion string) float64 {
	var pool rate
	var old []*serverRate
	for _, server := range s {
		if server.version != newVersion && server.total > 0 {
			old = append(old, server)
			pool.total += server.total
			pool.hits += server.hits
		}
	}
	if pool.hits == 0 {
		return 1
	}
	estimate := func(server *serverRate) float64 {
		return (server.hits + poolPriorRequests*pool.mean()) / (server.total + poolPriorRequests)
	}
	slices.SortFunc(old, func(a, b *serverRate) int { return cmp.Compare(estimate(a), estimate(b)) })
	sound := old[:max(int(soundShare*float64(len(old))), 1)]
	sum := 0.0
	for _, server := range sound {
		sum += estimate(server)
	}
	return min(sum/float64(len(sound))/pool.mean(), 1)
}
