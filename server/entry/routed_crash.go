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
	// routedCrashes is the number of crashed backend servers after which a routed request is stopped. It is above that of other
	// requests, because routed ones share engines with a few dozen others that a crash takes along.
	routedCrashes = 3
	// crashDial is how long a backend server may take to accept a connection after it closed one. A process that died refuses
	// at once or, with its machine, stays silent.
	crashDial = 300 * time.Millisecond
	// harmlessFor and maxHarmless bound the memory of requests that were answered whole: they crash nothing.
	harmlessFor = 10 * time.Minute
	maxHarmless = 20_000
)

// harmless remembers the fingerprints of requests that were answered whole.
type harmless struct {
	mu sync.Mutex // guards at
	at map[string]time.Time
}

func newHarmless() *harmless { return &harmless{at: map[string]time.Time{}} }

func (s *harmless) add(print string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.at) >= maxHarmless {
		clear(s.at)
	}
	s.at[print] = now
}

func (s *harmless) has(print string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[print]
	return ok && now.Sub(at) <= harmlessFor
}

// setFingerprint names the request for the whole fleet. It is done only where crashes are known or to be reported.
func (rq *request) setFingerprint() {
	if rq.fingerprint == "" {
		rq.fingerprint = fingerprint(rq.workspaceName(), rq.routed.method+" "+rq.routed.target, rq.routed.body)
	}
}

// checkRoutedCrashes refuses a request that crashed too many backend servers, at whichever instance it came before.
func (h *Handler) checkRoutedCrashes(rq *request) *problem.Problem {
	view := h.cfg.Board.View.Load()
	if h.crashes.empty() && (view.View == nil || view.Quarantine == nil || len(view.Quarantine.Crashes) == 0) {
		return nil
	}
	rq.setFingerprint()
	return h.checkQuarantine(rq, routedCrashes)
}

// noteCrash reports, without holding the request up, that a backend server died while it ran it. A connection that the
// backend server closed for another reason says nothing of the request.
func (h *Handler) noteCrash(rq *request, server *control.BackendServer) {
	rq.setFingerprint()
	if h.harmless.has(rq.fingerprint, time.Now()) {
		return
	}
	report := &control.ReportCrashRequest{Fingerprint: rq.fingerprint, BackendServer: server.ID, Boot: server.Boot, Request: rq.id}
	h.stopped.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), h.cfg.ControlTimeout)
		defer cancel()
		conn, err := peer.Dial(ctx, net.Dialer{}, server.Address, crashDial)
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
