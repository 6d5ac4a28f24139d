// Package service is a stand-in for a plain service whose calls aren't idempotent. It counts commits to reveal repeated calls.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Orders commits the body of each request as an order and counts the commits of each body.
type Orders struct {
	mu          sync.Mutex // guards the fields below
	commits     map[string]int
	delay       time.Duration
	dropAnswers bool
}

// New returns a service without commits, to be used as the Handler of an engine stand-in.
func New() *Orders { return &Orders{commits: map[string]int{}} }

// Commits returns how often an order with this body was committed.
func (o *Orders) Commits(body string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.commits[body]
}

// SetDelay delays each answer by d after its commit.
func (o *Orders) SetDelay(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.delay = d
}

// SetDropAnswers makes the service close connections after the commit without an answer, or ends that.
func (o *Orders) SetDropAnswers(drop bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropAnswers = drop
}

// ServeHTTP commits the body and answers with the number of its commits as "run".
func (o *Orders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o.mu.Lock()
	o.commits[string(body)]++
	commit, delay, drop := o.commits[string(body)], o.delay, o.dropAnswers
	o.mu.Unlock()
	time.Sleep(delay)
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]any{"committed": string(body), "run": commit})
}
