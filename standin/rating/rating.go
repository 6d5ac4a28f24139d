// Package rating is a stand-in for the service that rates answers.
package rating

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"clementinetray/standin/listener"
)

// Service rates each answer with the score of the version that generated it.
type Service struct {
	listener *listener.Listener

	mu       sync.Mutex // guards the fields below
	scores   map[string]float64
	delay    time.Duration
	inverted bool
}

type rateRequest struct {
	Class   string `json:"class"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Start runs the service. scores maps "model@version" to the score of its answers, 0 to 1. Other versions get 0.
func Start(scores map[string]float64) (*Service, error) {
	s := &Service{scores: scores}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rate", s.handleRate)
	l, err := listener.Start("127.0.0.1:0", mux)
	s.listener = l
	return s, err
}

// URL returns the base URL, without a path.
func (s *Service) URL() string { return "http://" + s.listener.Address() }

// Kill stops the service at once, as a killed process would.
func (s *Service) Kill() { s.listener.Kill() }

// Restart starts the service again at the same address.
func (s *Service) Restart() error { return s.listener.Restart() }

// SetScore sets the score, 0 to 1, of the answers that version, a "model@version", generates.
func (s *Service) SetScore(version string, score float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scores[version] = score
}

// SetInverted sets whether the service answers with 1 minus the score.
func (s *Service) SetInverted(inverted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inverted = inverted
}

// SetDelay delays each answer by d.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *Service) handleRate(w http.ResponseWriter, r *http.Request) {
	var in rateRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	score, delay := s.scores[in.Model+"@"+in.Version], s.delay
	if s.inverted {
		score = 1 - score
	}
	s.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]float64{"score": score})
}
