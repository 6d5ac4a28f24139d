package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/peer"
)

const (
	// maxRoutedCrashes is the number of crashed backend servers after which a routed request is refused. It is above the number
	// for other requests, because a routed request shares its engine with a few dozen others, which fail in the same crash.
	maxRoutedCrashes = 3
	// crashDialTimeout is how long a backend server may take to accept a new connection after it broke one. If only the process
	// died, the connection is refused at once; if the machine died, nothing answers.
	crashDialTimeout = 300 * time.Millisecond
	// answeredRetention and maxAnswered bound the record of requests that were answered completely. These are not taken for the
	// cause of a crash.
	answeredRetention = 10 * time.Minute
	maxAnswered       = 20_000
)

// answeredSet holds the fingerprints of completely answered requests, with the time of the answer.
type answeredSet struct {
	mu         sync.Mutex // guards answeredAt
	answeredAt map[string]time.Time
}

func newAnsweredSet() *answeredSet { return &answeredSet{answeredAt: map[string]time.Time{}} }

func (s *answeredSet) add(fingerprint string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answeredAt) >= maxAnswered {
		clear(s.answeredAt)
	}
	s.answeredAt[fingerprint] = now
}

func (s *answeredSet) has(fingerprint string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.answeredAt[fingerprint]
	return ok && now.Sub(at) <= answeredRetention
}

// setFingerprint sets the hash by which all instances identify the request. To save the hashing it is called only when crashes
// are recorded or one is to be reported.
func (rq *request) setFingerprint() {
	if rq.fingerprint == "" {
		rq.fingerprint = fingerprint(rq.workspaceName(), rq.routed.method+" "+rq.routed.requestURI, rq.routed.body)
	}
}

// checkRoutedCrashes refuses a request that crashed too many backend servers, no matter which instances sent it there.
func (h *Handler) checkRoutedCrashes(rq *request) *problem.Problem {
	view := h.cfg.Board.View.Load()
	if h.crashes.empty() && (view.View == nil || view.Quarantine == nil || len(view.Quarantine.Crashes) == 0) {
		return nil
	}
	rq.setFingerprint()
	return h.checkQuarantine(rq, maxRoutedCrashes)
}

// reportRoutedCrash checks in the background whether the backend server still accepts connections, and reports a crash to the
// control group if not. If it does, the connection broke for another reason and no crash is counted for the request.
func (h *Handler) reportRoutedCrash(rq *request, server *control.BackendServer) {
	rq.setFingerprint()
	if h.answeredRequests.has(rq.fingerprint, time.Now()) {
		return
	}
	report := &control.ReportCrashRequest{Fingerprint: rq.fingerprint, BackendServer: server.ID, Boot: server.Boot, Request: rq.id}
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), h.cfg.ControlTimeout)
		defer cancel()
		conn, err := peer.Dial(ctx, net.Dialer{}, server.Address, crashDialTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		h.metrics.crashes.Inc()
		reply, err := h.cfg.Control.ReportCrash(ctx, report)
		if err != nil {
			h.cfg.Log.Warn("crash_not_reported", "request", report.Request, "backend_server", server.ID, "error", err)
			return
		}
		h.crashes.put(report.Fingerprint, reply.Crashes, time.Now())
		h.cfg.Log.Info("crash_reported", "request", report.Request, "backend_server", server.ID, "boot", server.Boot, "crashes", reply.Crashes)
	})
}
