package admission

import "time"

const (
	// spareDelay is the time in which the instances together fill the free slots with requests of workspaces above their shares. Loads are known up
	// to a quarter of a second late. If each instance filled what it sees free, all of them would fill the same slots: in the replay with 8 instances such
	// requests met servers with a mean load of 0.95 to 1.6 after they had seen a free slot.
	spareDelay = 400 * time.Millisecond
	// maxEarningTime bounds the time for which one decision earns: the load that it knows did not hold for longer.
	maxEarningTime = pollInterval
)

// spare is what an instance has earned towards the next free slot that it fills with a request of a workspace above its share. While slots are free,
// it earns its part of them in each spareDelay, and each such request takes a random amount with the mean 1. Instances that see the same free
// slot thus don't fill it at the same moment.
type spare struct {
	earned, needed float64
	at             time.Time
}

// earn adds what was earned since the last call, and reports whether the next request may run. free is the part of the free slots for this instance.
func (s *spare) earn(now time.Time, free float64) bool {
	elapsed := min(max(now.Sub(s.at), 0), maxEarningTime)
	s.at = now
	if free <= 0 {
		return false
	}
	// No more is kept: the slots of a while ago are used by now.
	s.earned = min(s.earned+free*elapsed.Seconds()/spareDelay.Seconds(), s.needed)
	return s.earned >= s.needed
}

// spend counts a request that was sent. draw has an exponential distribution with the mean 1.
func (s *spare) spend(draw float64) {
	s.earned, s.needed = 0, max(finite(draw), 0)
}

// spareSlots returns this instance's part of the slots that requests of workspaces above their shares may fill.
func (s *Snapshot) spareSlots() float64 {
	return finite((busyUse - s.Use) * s.Slots * s.Part)
}
