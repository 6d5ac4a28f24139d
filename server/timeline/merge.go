package timeline

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/peer"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Timeline"

const (
	// queryTimeout bounds the call to one process, so that an unresponsive one does not delay the merged answer.
	queryTimeout = 2 * time.Second
	// maxConcurrentCalls limits the calls of one query that run at the same time: a fleet may have over 400 processes.
	maxConcurrentCalls = 32
)

// Service answers queries for the events in this process's ring over net/rpc.
type Service struct {
	ring     *Ring
	clock    *event.Clock
	instance string
}

// NewService returns the net/rpc receiver for the ring.
func NewService(ring *Ring) *Service {
	return &Service{ring: ring, clock: ring.clock, instance: ring.instance}
}

// Query returns the events of this process that match the filter.
func (s *Service) Query(in control.TimelineRequest, out *control.TimelineReply) error {
	s.clock.Observe(in.Stamp)
	out.Events = s.ring.Query(in.Filter)
	out.Meta = control.Meta{Stamp: s.clock.Now(), Instance: s.instance}
	return nil
}

// QueryAll queries the processes (peer addresses by instance id) and returns their events in causal order: by stamp, then
// by instance. The hybrid logical clock gives an event a later stamp than its causes. Unanswered lists the processes
// whose query failed.
func QueryAll(ctx context.Context, pool *peer.Pool, processes map[string]string, filter event.Filter) control.TimelineMerge {
	var (
		mu     sync.Mutex // guards merged
		merged control.TimelineMerge
		wg     sync.WaitGroup
	)
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for instance, address := range processes {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			events, err := queryProcess(ctx, pool, address, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				merged.Unanswered = append(merged.Unanswered, instance)
				return
			}
			merged.Events = append(merged.Events, events...)
		})
	}
	wg.Wait()
	slices.Sort(merged.Unanswered)
	merged.Events = SortNewest(merged.Events, filter.Limit)
	return merged
}

// queryProcess returns the matching events of the process at address.
func queryProcess(ctx context.Context, pool *peer.Pool, address string, filter event.Filter) ([]event.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply := &control.TimelineReply{}
	if err := pool.Call(ctx, address, ServiceName+".Query", control.TimelineRequest{Filter: filter}, reply); err != nil {
		return nil, Error.Wrap(err)
	}
	return reply.Events, nil
}

// SortNewest sorts events by stamp and instance and returns the newest ones, at most limit (1000 if it isn't positive).
func SortNewest(events []event.Event, limit int) []event.Event {
	if limit <= 0 {
		limit = defaultLimit
	}
	slices.SortStableFunc(events, func(a, b event.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Instance, b.Instance))
	})
	return events[max(0, len(events)-limit):]
}
