package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinetray/api/control"
)

const (
	// answeredRetention is how long a complete answer speaks against the request as the cause of a crash, at least half of it and as long
	// as there are no more than maxAnswered requests.
	answeredRetention = 20 * time.Minute
	maxAnswered       = 20_000
)

// answeredSet holds the requests that were answered completely, by hash, in two generations: the older one is dropped when the newer one
// is half of the retention old or holds half of the requests.
type answeredSet struct {
	mu             sync.Mutex // guards the fields below
	current, older map[uint64]struct{}
	began          time.Time
}

func newAnsweredSet(now time.Time) *answeredSet {
	return &answeredSet{current: map[uint64]struct{}{}, began: now}
}

func (s *answeredSet) add(request uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.current[request] = struct{}{}
}

func (s *answeredSet) has(request uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	_, current := s.current[request]
	_, older := s.older[request]
	return current || older
}

func (s *answeredSet) rotate(now time.Time) {
	age := now.Sub(s.began)
	if age < answeredRetention/2 && len(s.current) < maxAnswered/2 {
		return
	}
	s.older, s.current, s.began = s.current, map[uint64]struct{}{}, now
	if age >= answeredRetention {
		s.older = nil
	}
}

// answerHash identifies the request together with the model and the software version that run it on the backend server: what one version
// answers may crash another one.
func (rq *request) answerHash(server *control.BackendServer) uint64 {
	parts, body := []string{rq.fingerprint, rq.version.String()}, []byte(nil)
	if call := rq.routed; call != nil {
		// The fingerprint of a routed request is computed only once a crash is to be reported.
		parts, body = []string{rq.workspaceName(), call.method, call.target.String(), call.model}, call.body
	}
	hash := xxhash.New()
	for _, part := range append(parts, server.SoftwareVersion) {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return hash.Sum64()
}
