package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"clementinetray/api/catalogue"
)

const (
	// cascadeTimeout bounds a rating that delays the answer to the caller, sampleTimeout a rating in the background.
	cascadeTimeout = 300 * time.Millisecond
	sampleTimeout  = 2 * time.Second
	// maxQueuedSamples is the largest number of answers queued for rating; further ones are not rated.
	maxQueuedSamples = 64
	// maxRatingBodyBytes is the largest body of a rating service's answer that is read, in bytes.
	maxRatingBodyBytes = 4 << 10
)

// ratingRequest is the body of POST /v1/rate.
type ratingRequest struct {
	Class   string          `json:"class"`
	Model   string          `json:"model"`
	Version string          `json:"version"`
	Prompt  json.RawMessage `json:"prompt"`
	Answer  json.RawMessage `json:"answer"`
	// target is the class's quality target, 0 to 1.
	target float64
	// workspace is the workspace whose answer is rated.
	workspace string
}

func (r *ratingRequest) version() catalogue.VersionRef {
	return catalogue.VersionRef{Model: r.Model, Version: r.Version}
}

// rater sends answers to the rating service: samples in the background, answers in a cascade before they are returned.
type rater struct {
	cfg      *Config
	client   http.Client
	metrics  *metrics
	outcomes *outcomeCounts
	samples  chan *ratingRequest
}

func newRater(cfg *Config, m *metrics, o *outcomeCounts) *rater {
	return &rater{cfg: cfg, metrics: m, outcomes: o, samples: make(chan *ratingRequest, maxQueuedSamples)}
}

func (r *rater) run(ctx context.Context) {
	for {
		select {
		case sample := <-r.samples:
			r.rate(ctx, sample, sampleTimeout)
		case <-ctx.Done():
			r.client.CloseIdleConnections()
			return
		}
	}
}

func newRatingRequest(rq *request, text json.RawMessage) *ratingRequest {
	return &ratingRequest{
		Class: rq.class.Name, Model: rq.version.Model, Version: rq.version.Version,
		Prompt: rq.chat.fields["messages"], Answer: text, target: rq.class.QualityTarget,
		workspace: rq.route.Workspace.Name,
	}
}

// answerText returns the content of an unstreamed answer's first choice as JSON, or nil if there is none.
func answerText(body []byte) json.RawMessage {
	var parsed struct {
		Choices []struct {
			Message chatMessage `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &parsed) != nil || len(parsed.Choices) == 0 {
		return nil
	}
	return parsed.Choices[0].Message.Content
}

// sampleAnswer queues the unstreamed answer of a class request for rating if shouldRate selects it.
func (r *rater) sampleAnswer(rq *request, a *answer) {
	if a.status == http.StatusOK && r.shouldRate(rq) {
		r.enqueue(newRatingRequest(rq, answerText(a.body)))
	}
}

// sampleText queues the text of a streamed answer for rating, under the same condition as sampleAnswer.
func (r *rater) sampleText(rq *request, text string) {
	if !r.shouldRate(rq) {
		return
	}
	if encoded, err := json.Marshal(text); err == nil {
		r.enqueue(newRatingRequest(rq, encoded))
	}
}

// shouldRate reports whether an answer is to be rated: each answer of a version that was chosen to be explored, and a random
// share of the others.
func (r *rater) shouldRate(rq *request) bool {
	return rq.class != nil && r.cfg.RatingURL != "" && (rq.exploring || rand.Float64() < r.cfg.RatingSample)
}

func (r *rater) enqueue(sample *ratingRequest) {
	select {
	case r.samples <- sample:
	default:
		r.metrics.ratings.WithLabelValues("skipped").Inc()
	}
}

// isBelowTarget reports whether the rating service scored the answer below the class's quality target. It returns false when
// the score did not arrive in time.
func (r *rater) isBelowTarget(ctx context.Context, rq *request, a *answer) bool {
	if r.cfg.RatingURL == "" {
		return false
	}
	score, ok := r.rate(ctx, newRatingRequest(rq, answerText(a.body)), cascadeTimeout)
	return ok && score < rq.class.QualityTarget
}

// rate requests the score of an answer, 0 to 1, from the rating service and records it in the metrics and outcomes. It returns
// false if there is no score.
func (r *rater) rate(ctx context.Context, in *ratingRequest, timeout time.Duration) (float64, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	score, err := r.requestScore(ctx, in)
	if err != nil {
		r.metrics.ratings.WithLabelValues("failed").Inc()
		r.cfg.Log.Debug("rating failed", "class", in.Class, "version", in.version().String(), "error", err)
	} else {
		r.metrics.ratings.WithLabelValues("ok").Inc()
		r.outcomes.addRating(in, score)
	}
	if r.cfg.OnRating != nil {
		r.cfg.OnRating(in.Class, in.version(), score, err == nil)
	}
	return score, err == nil
}

func (r *rater) requestScore(ctx context.Context, in *ratingRequest) (float64, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.cfg.RatingURL+"/v1/rate", bytes.NewReader(body))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	request.Header.Set("Content-Type", jsonType)
	answer, err := r.client.Do(request)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var out struct {
		Score *float64 `json:"score"`
	}
	if answer.StatusCode != http.StatusOK {
		return 0, Error.New("the rating service answered with status %d", answer.StatusCode)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, answer.Body, maxRatingBodyBytes)).Decode(&out); err != nil {
		return 0, Error.Wrap(err)
	}
	if out.Score == nil || *out.Score < 0 || *out.Score > 1 {
		return 0, Error.New("the score is missing or outside 0 to 1")
	}
	return *out.Score, nil
}
