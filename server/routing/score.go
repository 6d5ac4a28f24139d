package routing

import (
	"math"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

const (
	// otherZoneCost and otherRegionCost are added to the score of a backend server in another availability zone or region,
	// in units of load (1 is a server at its capacity).
	otherZoneCost   = 0.15
	otherRegionCost = 0.5
	// trustedReportAge is the age up to which a load report has its full weight; beyond it, the weight halves with every
	// reportHalfLife.
	trustedReportAge = 5 * time.Second
	reportHalfLife   = 5 * time.Second
	// zoneOverflowStartLoad and zoneOverflowFullLoad are loads of the own availability zone: the share of requests that
	// consider all zones rises from 0 at the first to 1 at the second. With a single threshold, all requests of a zone
	// would switch back and forth with each load report.
	zoneOverflowStartLoad = 0.7
	zoneOverflowFullLoad  = 0.9
	// ownRunningWeight is the extra weight of this entry instance's own requests when backend servers are compared. Only
	// these requests are known without delay, and their number is an estimate of what the other entry instances have sent
	// since the last report.
	ownRunningWeight = 2
	// spilloverStartLoad and spilloverFullLoad are loads of a version's backend servers: the share of class requests that
	// take a more expensive version rises from 0 at the first to 1 at the second.
	spilloverStartLoad = 0.8
	spilloverFullLoad  = 1.2
)

// capacityOf returns the number of requests that a backend server can run at once: its limit while it is cold or
// ramping, its capacity otherwise.
func capacityOf(b *control.BackendServer) float64 {
	n := b.Capacity
	if needsSlot(b) {
		n = b.Limit
	}
	return float64(max(n, 1))
}

// reportAge returns the age of a backend server's load report.
func reportAge(s *Snapshot, b *control.BackendServer) time.Duration {
	if s.Fleet.ReceivedAt.IsZero() {
		return b.LoadAge
	}
	return b.LoadAge + s.Now.Sub(s.Fleet.ReceivedAt)
}

// ownLoadCorrection returns Snapshot.LoadCorrection as a share of the backend server's capacity.
func ownLoadCorrection(s *Snapshot, b *control.BackendServer) float64 {
	if s.LoadCorrection == nil {
		return 0
	}
	return float64(s.LoadCorrection(b.ID)) / capacityOf(b)
}

// loadOf estimates the load of a backend server as a share of its capacity. The estimate moves from the reported load
// towards poolLoad, the mean load of the servers that may run the request, as the report gets older.
func loadOf(s *Snapshot, b *control.BackendServer, poolLoad float64) float64 {
	load := float64(b.Running+b.Queued) / capacityOf(b)
	if age := reportAge(s, b); age > trustedReportAge {
		weight := math.Exp2(-float64(age-trustedReportAge) / float64(reportHalfLife))
		load = weight*load + (1-weight)*poolLoad
	}
	return load
}

// distanceCost returns the addition to the score of a backend server in another zone or region, in units of load.
func distanceCost(s *Snapshot, b *control.BackendServer) float64 {
	switch {
	case b.Region != s.Region:
		return otherRegionCost
	case b.AvailabilityZone != s.AvailabilityZone:
		return otherZoneCost
	}
	return 0
}

// linearRamp returns 0 for x up to begin and 1 for x from end on, and rises linearly in between.
func linearRamp(x, begin, end float64) float64 { return min(max((x-begin)/(end-begin), 0), 1) }

// spillsOver reports whether the request should skip a version because its backend servers are full. The share of
// requests that skip it grows with the load: if all requests skipped it at once, its servers would be idle until the next
// load report.
func spillsOver(s *Snapshot, r *Request, ref catalogue.VersionRef) bool {
	running, capacity := 0.0, 0.0
	for _, b := range serversFor(s, ref, "") {
		if routable(s, b) && !needsSlot(b) {
			running += float64(b.Running + b.Queued)
			capacity += capacityOf(b)
		}
	}
	if capacity == 0 {
		return false
	}
	share := linearRamp(running/capacity, spilloverStartLoad, spilloverFullLoad)
	return share > 0 && float64(stableHash(r, ref.Version)%hashBucketCount) < share*hashBucketCount
}
