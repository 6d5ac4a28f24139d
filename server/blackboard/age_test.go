package blackboard_test

import (
	"testing"
	"time"

	"clementinetray/server/blackboard"
	"clementinetray/server/clock"
)

// Guards against an entry instance that wakes with its machine and takes its view for current, and so accepts a revoked key.
func TestAgeCountsTheTimeOfASuspension(t *testing.T) {
	now := time.Now()
	v := blackboard.View{ConfirmedAt: now.Add(-time.Second), Asleep: clock.Asleep() - 3*time.Second}
	if age := v.Age(now); age < 3900*time.Millisecond || age > 4500*time.Millisecond {
		t.Errorf("age %s after 1 s awake and 3 s of suspension", age)
	}
}
