package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"clementinetray/server/blackboard"
)

const (
	// maxFinishedRequests is the largest number of ended requests kept for each backend server until its next load report.
	maxFinishedRequests = 1000
	// minReportInterval is the smallest difference between the times of two load reports. With a smaller difference, both times
	// are those of the same report, with rounding errors.
	minReportInterval = 50 * time.Millisecond
)

// loadCorrections corrects the load reports of backend servers by the requests of this entry instance. It adds requests that
// began after the report, and subtracts requests that the report includes but that have ended since. Readers take no lock.
type loadCorrections struct{ byID sync.Map }

type loadCorrection struct {
	// value is the number of requests to add to the reported load.
	value atomic.Int64

	mu         sync.Mutex // guards the fields below
	reportedAt time.Time
	running    map[*sentRequest]struct{}
	finished   []sentRequest
}

type sentRequest struct{ began, ended time.Time }

// getOrCreate returns the entry of a backend server, which it creates if there is none.
func (s *loadCorrections) getOrCreate(id string) *loadCorrection {
	value, ok := s.byID.Load(id)
	if !ok {
		value, _ = s.byID.LoadOrStore(id, &loadCorrection{running: map[*sentRequest]struct{}{}})
	}
	return value.(*loadCorrection)
}

// get returns the number of requests to add to the reported load of a backend server, which may be negative.
func (s *loadCorrections) get(id string) int {
	if value, ok := s.byID.Load(id); ok {
		return int(value.(*loadCorrection).value.Load())
	}
	return 0
}

// add counts a request that begins and returns the function that counts its end, which may be called more than once.
func (s *loadCorrections) add(id string, now time.Time) (release func()) {
	l := s.getOrCreate(id)
	request := &sentRequest{began: now}
	l.mu.Lock()
	l.running[request] = struct{}{}
	l.value.Add(1)
	l.mu.Unlock()
	var once sync.Once
	return func() { once.Do(func() { l.finish(request, time.Now()) }) }
}

func (l *loadCorrection) finish(request *sentRequest, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.ended = now
	delete(l.running, request)
	if len(l.finished) < maxFinishedRequests {
		l.finished = append(l.finished, *request)
	}
	l.value.Add(-1)
}

// observe updates the corrections for the load reports in the fleet table. It deletes the corrections of backend servers that
// are no longer in the table and have no running request.
func (s *loadCorrections) observe(fleet *blackboard.Fleet) {
	s.byID.Range(func(key, value any) bool {
		l := value.(*loadCorrection)
		row := fleet.Servers[key.(string)]
		if row == nil {
			l.mu.Lock()
			idle := len(l.running) == 0
			l.mu.Unlock()
			if idle {
				s.byID.Delete(key)
			}
			return true
		}
		l.observe(fleet.ReceivedAt.Add(-row.LoadAge))
		return true
	})
}

func (l *loadCorrection) observe(reportedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reportedAt.Sub(l.reportedAt) < minReportInterval {
		return
	}
	l.reportedAt = reportedAt
	correction := 0
	for request := range l.running {
		if request.began.After(reportedAt) {
			correction++
		}
	}
	kept := l.finished[:0]
	for _, request := range l.finished {
		if !request.ended.After(reportedAt) {
			continue
		}
		kept = append(kept, request)
		if !request.began.After(reportedAt) {
			correction--
		}
	}
	l.finished = kept
	l.value.Store(int64(correction))
}
