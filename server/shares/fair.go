package shares

import (
	"cmp"
	"math"
	"slices"
)

const (
	// contendedPart is the part of what is asked for that must be served for the fleet to count as uncontended. Without contention
	// no workspace is above its share.
	contendedPart = 0.99
	// contendedWaiting is the time, in seconds, that the capacity needs for the requests that wait, from which the fleet counts as contended
	// although nothing was refused: a load above the capacity fills queues for seconds before the first refusal.
	contendedWaiting = 0.1
	// aboveMargin is the factor by which a workspace must ask for more than its share to count as above it. It keeps workspaces at
	// their share from alternating. Below this ratio, the ratio of a workspace above its share is compressed into 1 to aboveMargin.
	aboveMargin = 1.05
	// leastPlacedPart is the part of what is placed that counts as the capacity if less ended. When the load rises from far below the capacity,
	// what ended shows the load of before; what is placed exceeds the capacity by the queues that it fills.
	leastPlacedPart = 0.7
	// waitingPart is the part of what a workspace asks for below which the rest counts as waiting demand.
	waitingPart = 0.95
	// aboveDeviations is the number of standard deviations by which a workspace must ask for more than its share to come to count as above it. In a
	// mean over AveragingTime, a workspace of 2.5 requests/s of mixed sizes asks for 1.6 times its mean, or 0.4 times, by chance. In the replays of
	// package admission, 1 was enough against workspaces of equal size that were held back in turns, and 2 also after a change of the load.
	aboveDeviations = 2
)

// sums is what all instances report.
type sums struct {
	demands []demand
	// capacity is the cost that ends for each second, and waiting the cost of the requests that wait.
	capacity, waiting float64
	// requestCost is the mean cost of a request, weighted by the cost.
	requestCost float64
}

// demand is what one workspace asks for and is served in the whole fleet.
type demand struct {
	workspace     string
	weight        float64
	asked, served float64
	// share, ratio and above are results of divide. listed says that the ratio differs from 1.
	share, ratio  float64
	above, listed bool
	// wasAbove is true if the workspace counted as above its share before. It then does so until it asks for less than aboveMargin of it.
	wasAbove bool
}

// deviation returns the standard deviation of what the workspace asks for, if its requests arrive independently.
func (d *demand) deviation(requestCost float64) float64 {
	return math.Sqrt(d.asked * requestCost / (2 * AveragingTime.Seconds()))
}

// divide computes the fair share and the standing of each workspace. The shares divide the capacity: they are weighted max-min fair, so no
// workspace gets more than it asks for, and what it leaves is divided among the others.
//
// A workspace that asks for more than its share has the ratio of ratioAbove. Others have the ratio served/asked, at most 1.
func divide(s sums) {
	demands, capacity := s.demands, s.capacity
	served, asked := 0.0, 0.0
	for i := range demands {
		d := &demands[i]
		d.asked = max(d.asked, d.served)
		served += d.served
		asked += d.asked
	}
	level := math.Inf(1)
	capacity = max(capacity, leastPlacedPart*served)
	if (served < contendedPart*asked || s.waiting > contendedWaiting*capacity) && capacity < asked {
		level = fairLevel(demands, capacity)
	}
	for i := range demands {
		d := &demands[i]
		d.share, d.ratio = min(d.asked, d.weight*level), 1
		d.above = d.asked > aboveMargin*d.share && (d.wasAbove || d.asked-aboveDeviations*d.deviation(s.requestCost) > d.share)
		switch {
		case d.above:
			d.ratio = ratioAbove(d.served, d.share)
		case d.asked > 0 && d.served < waitingPart*d.asked:
			d.ratio = d.served / d.asked
		}
		d.listed = d.ratio != 1
	}
}

// ratioAbove returns the ratio of a workspace that asks for more than its share: served/share if that is over aboveMargin, else a
// value from 1 to aboveMargin that increases with it. Once requests of the workspace come last, it is served no more than its share.
// With a ratio of 1 or less its requests would then compete on equal terms again until the next report shows that they take too much.
func ratioAbove(served, share float64) float64 {
	if share <= 0 {
		return aboveMargin
	}
	if ratio := served / share; ratio > aboveMargin {
		return min(ratio, maxAmount)
	}
	return 1 + (aboveMargin-1)*max(served/share/aboveMargin, minCompressed)
}

// minCompressed keeps the ratio above 1 after roundAmount.
const minCompressed = 0.1

// fairLevel returns the level for which the sum of min(asked, weight*level) is the capacity. The capacity is less than the sum of
// what is asked.
func fairLevel(demands []demand, capacity float64) float64 {
	order := make([]*demand, len(demands))
	weights := 0.0
	for i := range demands {
		order[i] = &demands[i]
		weights += demands[i].weight
	}
	slices.SortFunc(order, func(a, b *demand) int { return cmp.Compare(a.asked/a.weight, b.asked/b.weight) })
	for _, d := range order {
		level := capacity / weights
		if d.asked >= d.weight*level {
			return level
		}
		capacity -= d.asked
		weights -= d.weight
	}
	// Reached only by rounding, as the sum of what is asked exceeds the capacity.
	return math.Inf(1)
}

// Bounds of the weights, so that no quotient overflows.
const (
	minWeight = 1e-6
	maxWeight = 1e6
)

// validWeight returns the weight that counts for the weight of a catalogue: 1 for one that is missing, zero or no number.
func validWeight(w float64) float64 {
	if !(w > 0) || math.IsInf(w, 1) {
		return 1
	}
	return min(max(w, minWeight), maxWeight)
}
