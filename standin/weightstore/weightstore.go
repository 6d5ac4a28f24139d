// Package weightstore is a stand-in for the rate-limited weight store.
package weightstore

import (
	"encoding/json"
	"net/http"

	"clementinetray/standin/listener"
)

// Store serves its rate limit at /v1/limits. It serves no weights.
type Store struct{ listener *listener.Listener }

// Start runs a store that reports a limit of loadsPerMinute.
func Start(loadsPerMinute int) (*Store, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/limits", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]int{"loads_per_minute": loadsPerMinute})
	})
	l, err := listener.Start("127.0.0.1:0", mux)
	return &Store{listener: l}, err
}

// URL returns the base URL, without a path.
func (s *Store) URL() string { return "http://" + s.listener.Address() }

// Kill stops the store at once.
func (s *Store) Kill() { s.listener.Kill() }
