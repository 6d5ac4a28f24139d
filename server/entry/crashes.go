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
)

const (
	// crashMemory is how long the crash counts that control replied are kept here; the view has them within 6 s.
	crashMemory = 6 * time.Second
	// maxCrashMemory is the largest number of fingerprints kept.
	maxCrashMemory = 1000
	// quarantineSpread is two Sync intervals of entry instances, so that one lost call is covered.
	quarantineSpread = time.Second
	// healthTimeout bounds the question whether a backend server is still alive.
	healthTimeout = 500 * time.Millisecond
	// maxHealthBody is the largest answer of GET /health that is read, in bytes.
	maxHealthBody = 4 << 10
)

// fingerprint identifies a request that a caller sends again.
func fingerprint(workspace, model string, body []byte) string {
	hash := sha256.New()
	for _, part := range []string{workspace, model} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// crashCache holds crash counts that the view does not have yet.
type crashCache struct {
	mu       sync.Mutex // guards byPrint
	byPrint  map[string]crashCount
	capacity int
}

type crashCount struct {
	crashes int
	at      time.Time
}

func newCrashCache() *crashCache {
	return &crashCache{byPrint: map[string]crashCount{}, capacity: maxCrashMemory}
}

func (c *crashCache) put(print string, crashes int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, count := range c.byPrint {
		if now.Sub(count.at) > crashMemory || len(c.byPrint) >= c.capacity {
			delete(c.byPrint, key)
		}
	}
	c.byPrint[print] = crashCount{crashes: crashes, at: now}
}

func (c *crashCache) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byPrint) == 0
}

func (c *crashCache) get(print string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if count, ok := c.byPrint[print]; ok && now.Sub(count.at) <= crashMemory {
		return count.crashes
	}
	return 0
}

// checkQuarantine refuses a request that crashed at least limit backend servers and notes the crashes of the others.
func (h *Handler) checkQuarantine(rq *request, limit int) *problem.Problem {
	view := h.cfg.Board.View.Load()
	rq.crashes = h.crashes.get(rq.fingerprint, time.Now())
	if view.View != nil && view.Quarantine != nil {
		rq.crashes = max(rq.crashes, view.Quarantine.Crashes[rq.fingerprint])
	}
	if rq.crashes >= limit {
		return quarantined()
	}
	return nil
}

func quarantined() *problem.Problem {
	return problem.New(problem.Quarantined, "the request crashed the backend servers that ran it; an operator can lift this")
}

// reportCrash commits that a backend server died while it ran the request. Without that commit the request must not be sent
// again.
func (h *Handler) reportCrash(ctx context.Context, rq *request, server *control.BackendServer) *problem.Problem {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.cfg.ControlTimeout)
	defer cancel()
	h.metrics.crashes.Inc()
	reply, err := h.cfg.Control.ReportCrash(ctx, &control.ReportCrashRequest{
		Fingerprint: rq.fingerprint, BackendServer: server.ID, Boot: server.Boot, Request: rq.id,
	})
	if err != nil {
		h.recordServer(rq, server, "crash_not_reported", err.Error())
		return problem.New(problem.BackendFailed, "the backend server died and the crash could not be recorded")
	}
	rq.crashes = max(reply.Crashes, 1)
	h.crashes.put(rq.fingerprint, rq.crashes, time.Now())
	h.recordServer(rq, server, "crash_reported")
	if rq.crashes >= control.QuarantineCrashes {
		h.awaitQuarantine(ctx)
		return quarantined()
	}
	return nil
}

// awaitQuarantine holds the refusal back until every entry instance has synced the quarantine. A caller that sends the
// request again after a quick refusal would otherwise crash one more backend server through each instance without it.
func (h *Handler) awaitQuarantine(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(quarantineSpread):
	}
}

// alive asks a backend server for its boot number. It decides about a kept connection that ended before the first byte of the answer: the
// server may have closed it because it was idle.
func (h *Handler) alive(ctx context.Context, server *control.BackendServer) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+"/health", nil)
	if err != nil {
		return false
	}
	answer, err := h.fresh.RoundTrip(r)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	var health struct {
		ID   string `json:"id"`
		Boot string `json:"boot"`
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, answer.Body, maxHealthBody)).Decode(&health)
	return err == nil && health.Boot == server.Boot
}
