package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/answercheck"
)

const (
	// crashCacheTTL is how long a crash count from a ReportCrash reply is cached; the view contains it within 6 s.
	crashCacheTTL = 6 * time.Second
	// maxCachedCrashes is the largest number of cached crash counts.
	maxCachedCrashes = 1000
	// quarantineSyncTime is the time in which each entry instance receives a new quarantine: two Sync intervals, so that one
	// Sync call may be lost.
	quarantineSyncTime = time.Second
	// healthTimeout bounds a health check of a backend server.
	healthTimeout = 500 * time.Millisecond
	// maxHealthBodyBytes is the largest body of a GET /health answer that is read, in bytes.
	maxHealthBodyBytes = 4 << 10
)

// fingerprint returns a hash that is the same whenever a caller sends the same request again. target is the name of the model
// or identifies the called endpoint.
func fingerprint(workspace, target string, body []byte) string {
	hash := sha256.New()
	for _, part := range []string{workspace, target} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// crashCache holds recent crash counts by fingerprint, as the view may not contain them yet.
type crashCache struct {
	mu            sync.Mutex // guards byFingerprint
	byFingerprint map[string]crashCount
	capacity      int
}

type crashCount struct {
	crashes  int
	cachedAt time.Time
}

func newCrashCache() *crashCache {
	return &crashCache{byFingerprint: map[string]crashCount{}, capacity: maxCachedCrashes}
}

func (c *crashCache) put(fingerprint string, crashes int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, count := range c.byFingerprint {
		if now.Sub(count.cachedAt) > crashCacheTTL || len(c.byFingerprint) >= c.capacity {
			delete(c.byFingerprint, key)
		}
	}
	c.byFingerprint[fingerprint] = crashCount{crashes: crashes, cachedAt: now}
}

func (c *crashCache) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byFingerprint) == 0
}

func (c *crashCache) get(fingerprint string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if count, ok := c.byFingerprint[fingerprint]; ok && now.Sub(count.cachedAt) <= crashCacheTTL {
		return count.crashes
	}
	return 0
}

// checkQuarantine sets the request's number of crashes and refuses a request that crashed at least limit backend servers.
func (h *Handler) checkQuarantine(rq *request, limit int) *problem.Problem {
	view := h.cfg.Board.View.Load()
	rq.crashes = h.crashes.get(rq.fingerprint, time.Now())
	if view.View != nil && view.Quarantine != nil {
		rq.crashes = max(rq.crashes, view.Quarantine.Crashes[rq.fingerprint])
	}
	if rq.crashes >= limit {
		return quarantinedProblem()
	}
	return nil
}

func quarantinedProblem() *problem.Problem {
	return problem.New(problem.Quarantined, "the request crashed the backend servers that ran it; an operator can lift this")
}

// reportCrash records in the control group that a backend server died while it ran the request, unless the same version has answered the
// request. It returns a problem when the crash could not be recorded or the request is quarantined now; the request must not be sent again
// then.
func (h *Handler) reportCrash(ctx context.Context, rq *request, server *control.BackendServer, f *attemptError) *problem.Problem {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.cfg.ControlTimeout)
	defer cancel()
	h.metrics.crashes.Inc()
	reports := h.crashReports(rq, server, f)
	if len(reports[0].Parts) == 0 && h.answeredRequests.has(rq.answerHash(server), time.Now()) {
		h.recordServerEvent(rq, server, "crash_not_attributed", "the same version has answered the request")
		return nil
	}
	reply, err := h.cfg.Control.ReportCrash(ctx, &reports[0])
	for i := 1; err == nil && i < len(reports); i++ {
		// Earlier crashes of the request were reported without its parts.
		reply, err = h.cfg.Control.ReportCrash(ctx, &reports[i])
	}
	if err != nil {
		h.recordServerEvent(rq, server, "crash_not_reported", err.Error())
		return problem.New(problem.BackendFailed, "the backend server died and the crash could not be recorded")
	}
	h.parts.addReported(reply.Parts, time.Now())
	rq.crashes = max(reply.Crashes, 1)
	h.crashes.put(rq.fingerprint, rq.crashes, time.Now())
	h.recordServerEvent(rq, server, "crash_reported")
	if rq.crashes >= control.QuarantineCrashes {
		h.waitForQuarantineSync(ctx)
		return quarantinedProblem()
	}
	return nil
}

// waitForQuarantineSync waits until every entry instance has received the quarantine. Otherwise a caller that sends the
// refused request again at once could crash one more backend server through each instance that has not received it.
func (h *Handler) waitForQuarantineSync(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(quarantineSyncTime):
	}
}

// isAlive reports whether a backend server still runs with the same boot id. It is called when a reused connection closes
// before the first byte of the answer: the server may have crashed, or may have closed the connection because it was idle.
func (h *Handler) isAlive(ctx context.Context, server *control.BackendServer) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(withServerID(ctx, server.ID), http.MethodGet, "http://"+server.Address+"/health", nil)
	if err != nil {
		return false
	}
	answer, err := h.singleUseTransport.RoundTrip(r)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	if answercheck.Head(answer) != nil {
		return false
	}
	var health struct {
		ID   string `json:"id"`
		Boot string `json:"boot"`
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, answer.Body, maxHealthBodyBytes)).Decode(&health)
	return err == nil && health.Boot == server.Boot
}
