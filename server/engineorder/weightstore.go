package engineorder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"clementinetray/server/answercheck"
)

const (
	// defaultLoadsPerMinute applies until the weight store has returned its limit.
	defaultLoadsPerMinute = 6
	// burstSeconds is the burst of the token bucket, in seconds of its rate.
	burstSeconds = 10
	// loadLimitInterval is the interval between queries of the weight store's load limit, loadLimitTimeout their
	// timeout.
	loadLimitInterval = 30 * time.Second
	loadLimitTimeout  = 2 * time.Second
	// maxLoadsPerMinute is the highest limit that is accepted; a higher one is an error of the weight store.
	maxLoadsPerMinute = 6000
)

// tokenBucket limits the rate of loads from the weight store. It starts empty because the loads that the last leader
// started are unknown.
type tokenBucket struct {
	perMinute  float64
	tokens     float64
	refilledAt time.Time
}

func (b *tokenBucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		burst := max(1, b.perMinute*burstSeconds/60)
		b.tokens = min(burst, b.tokens+b.perMinute/60*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

func (b *tokenBucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *tokenBucket) setRate(now time.Time, perMinute float64) {
	b.refill(now)
	b.perMinute = perMinute
}

// limitsReply is the answer of GET /v1/limits.
type limitsReply struct {
	LoadsPerMinute float64 `json:"loads_per_minute"`
}

// fetchLoadLimit requests the loads per minute that the weight store allows.
func fetchLoadLimit(ctx context.Context, client *http.Client, url string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadLimitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/limits", nil)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if err := answercheck.Head(resp); err != nil {
		return 0, Error.Wrap(err)
	}
	var reply limitsReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&reply); err != nil {
		return 0, Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK || reply.LoadsPerMinute <= 0 || reply.LoadsPerMinute > maxLoadsPerMinute {
		return 0, Error.New("weight store: status=%d loads_per_minute=%g", resp.StatusCode, reply.LoadsPerMinute)
	}
	return reply.LoadsPerMinute, nil
}
