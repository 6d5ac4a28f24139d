// Package operatorapi calls the operator API of the control group. It tries each address in turn and retries requests whose
// answer was lost. That is safe for changes because each carries a request id.
package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/control"
	"clementinetray/api/problem"
)

var (
	// Error is the class of other failures of a call, such as an answer that is not JSON.
	Error = errs.Class("operator api")
	// ErrUnreachable means that no address gave a final answer in time. The outcome of a change is then unknown.
	ErrUnreachable = errs.Class("control group unreachable")
)

const (
	// attemptTimeout bounds one request to one address. It is longer than the 3 s that the leader waits for a commit.
	attemptTimeout = 5 * time.Second
	// retryInterval is the pause after all addresses have failed, before they are tried again.
	retryInterval = 200 * time.Millisecond
	// maxAnswerBytes bounds the body of an answer. The largest answer is a merged timeline.
	maxAnswerBytes = 64 << 20
)

// Refusal is a final answer other than success.
type Refusal struct {
	problem.Problem
	// Conflict is the change that was accepted first; nil if the reason is not a revision conflict.
	Conflict *control.Conflict
	// Fields holds the JSON of the invalid fields, or of the pools with too little capacity; nil when there are none.
	Fields json.RawMessage
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string { return r.Problem.Error() }

// Client calls the operator API.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// New returns a client that sends the token to the operator addresses, each of the form host:port or a URL.
func New(addresses []string, token string) *Client {
	c := &Client{token: token, http: &http.Client{Timeout: attemptTimeout}}
	for _, a := range addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		c.addresses = append(c.addresses, strings.TrimRight(a, "/"))
	}
	return c
}

// Call sends in as JSON, or no body if it is nil, and decodes the answer into out. It tries the addresses in turn until one
// gives a final answer or ctx ends. The error is a *Refusal, or of class ErrUnreachable or Error.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return Error.Wrap(err)
		}
	}
	var lastErr error
	for {
		for _, address := range c.addresses {
			final, err := c.sendOnce(ctx, method, address+path, body, out)
			if final {
				return err
			}
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return ErrUnreachable.Wrap(lastErr)
		case <-time.After(retryInterval):
		}
	}
}

// sendOnce sends one request to one address. It returns whether the answer is final, so that Call must not retry.
func (c *Client) sendOnce(ctx context.Context, method, url string, body []byte, out any) (final bool, err error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return true, Error.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(r)
	if err != nil {
		return false, Error.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusSwitchingProtocols {
		// Reads of the connection would end with no context.
		return false, Error.New("status %d was not asked for", answer.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return false, Error.Wrap(err)
	}
	if answer.StatusCode == http.StatusOK {
		return true, Error.Wrap(json.Unmarshal(data, out))
	}
	refusal, err := parseRefusal(data)
	if err != nil {
		// The answer comes from a proxy in front of the API, or from a process that is still starting.
		return false, Error.New("status %d without problem details", answer.StatusCode)
	}
	return refusal.Reason != problem.ControlUnavailable, refusal
}

// parseRefusal decodes the problem details of an answer. It fails if the body holds none.
func parseRefusal(data []byte) (*Refusal, error) {
	var raw struct {
		problem.Problem
		Fields json.RawMessage `json:"fields"`
	}
	if err := json.Unmarshal(data, &raw); err != nil || raw.Reason == "" {
		return nil, Error.New("no problem details")
	}
	refusal := &Refusal{Problem: raw.Problem, Fields: raw.Fields}
	if raw.Reason == problem.RevisionConflict {
		refusal.Conflict = &control.Conflict{}
		if err := json.Unmarshal(raw.Fields, refusal.Conflict); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return refusal, nil
}
