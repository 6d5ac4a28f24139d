package blackboard_test

import (
	"testing"
	"time"

	"clementinetray/server/blackboard"
	"clementinetray/server/clock"
)

// Guards against an entry instance that accepts a revoked key after a suspension of its machine, because it treats its
// old view as current.
func TestAgeCountsTheTimeOfASuspension(t *testing.T) {
	now := time.Now()
	v := blackboard.View{ConfirmedAt: now.Add(-time.Second), SuspendedTime: clock.SuspendedTime() - 3*time.Second}
	if age := v.Age(now); age < 3900*time.Millisecond || age > 4500*time.Millisecond {
		t.Errorf("age %s after 1 s awake and 3 s of suspension", age)
	}
}
