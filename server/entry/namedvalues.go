package entry

import (
	"sync"
	"sync/atomic"
	"time"
)

// namedCounters holds counters of running requests by name. Reading takes no lock.
type namedCounters struct{ byName sync.Map }

// add increments the counter of a name and returns a function that decrements it. The function may be called more than
// once and takes effect once.
func (c *namedCounters) add(name string) (release func()) {
	value, ok := c.byName.Load(name)
	if !ok {
		value, _ = c.byName.LoadOrStore(name, &atomic.Int64{})
	}
	counter := value.(*atomic.Int64)
	counter.Add(1)
	var once sync.Once
	return func() { once.Do(func() { counter.Add(-1) }) }
}

func (c *namedCounters) get(name string) int {
	if value, ok := c.byName.Load(name); ok {
		return int(value.(*atomic.Int64).Load())
	}
	return 0
}

// namedTimes holds a time for each name.
type namedTimes struct{ byName sync.Map }

func (t *namedTimes) set(name string, at time.Time) { t.byName.Store(name, at) }

func (t *namedTimes) get(name string) time.Time {
	if value, ok := t.byName.Load(name); ok {
		return value.(time.Time)
	}
	return time.Time{}
}

func (t *namedTimes) remove(name string) { t.byName.Delete(name) }

// keepOnly deletes each name for which keep returns false.
func (t *namedTimes) keepOnly(keep func(name string) bool) {
	t.byName.Range(func(key, _ any) bool {
		if !keep(key.(string)) {
			t.byName.Delete(key)
		}
		return true
	})
}
