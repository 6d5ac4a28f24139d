package engineorder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/server/answercheck"
)

var (
	// ErrLeaseLost means that the order was not sent because this replica may no longer be the leader.
	ErrLeaseLost = errs.Class("lease lost")
	// ErrFenced means that the engine has seen an order with a newer fencing number.
	ErrFenced = errs.Class("fenced")
	// ErrRefused means that the engine answered with an error status other than 409.
	ErrRefused = errs.Class("order refused")
	// ErrOutcomeUnknown means that no valid answer arrived in time; the engine may have carried out the order.
	ErrOutcomeUnknown = errs.Class("order outcome unknown")
)

// Action is the operation that an order requests.
type Action string

// Actions of an order. ActionExportKV and ActionImportKV without a session apply to all sessions.
const (
	ActionLoad     Action = "load"
	ActionUnload   Action = "unload"
	ActionExportKV Action = "export_kv"
	ActionImportKV Action = "import_kv"
)

// Order is the body of POST /v1/orders. Term and Index are the fencing number.
type Order struct {
	Term    uint64 `json:"term"`
	Index   uint64 `json:"index"`
	Action  Action `json:"action"`
	Version string `json:"version,omitempty"`
	Session string `json:"session,omitempty"`
}

const (
	// LeaseTime is how long an acknowledgement by a majority entitles this replica to send orders.
	LeaseTime = 500 * time.Millisecond
	// orderTimeout is the time limit of an order from its lease check to its answer. A new leader waits firstOrderDelay
	// before its first order, so that no order of the old leader is still in flight.
	orderTimeout    = 2500 * time.Millisecond
	firstOrderDelay = LeaseTime + orderTimeout
	// maxAnswerBytes is how much of a response body is read.
	maxAnswerBytes = 4 << 10
)

// leaseCheckedConn checks the lease before each write: leadership can be lost during the commit and the connection set-up
// between the decision to send an order and its first byte.
type leaseCheckedConn struct {
	net.Conn
	holdsLease func() bool
}

// Write fails with ErrLeaseLost if this replica no longer holds the lease.
func (c *leaseCheckedConn) Write(p []byte) (int, error) {
	if !c.holdsLease() {
		return 0, ErrLeaseLost.New("address=%s", c.RemoteAddr())
	}
	return c.Conn.Write(p)
}

// sender posts orders. Each order has its own connection, so that the lease is checked before its first byte.
type sender struct{ client *http.Client }

func newSender(holdsLease func() bool) *sender {
	dialer := &net.Dialer{Timeout: orderTimeout}
	return &sender{client: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, Error.Wrap(err)
			}
			return &leaseCheckedConn{Conn: conn, holdsLease: holdsLease}, nil
		},
	}}}
}

// send posts the order to the engine. It returns nil if the engine accepted it.
func (s *sender) send(ctx context.Context, address string, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	// Without GetBody the HTTP client can't retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		if ErrLeaseLost.Has(err) {
			return err
		}
		return ErrOutcomeUnknown.Wrap(err)
	}
	defer resp.Body.Close()
	if err := answercheck.Head(resp); err != nil {
		return ErrOutcomeUnknown.Wrap(err)
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced.New("address=%s term=%d index=%d", address, o.Term, o.Index)
	}
	return ErrRefused.New("address=%s status=%d answer=%.200q", address, resp.StatusCode, text)
}

// loadKey identifies a version on a backend server.
type loadKey struct {
	server string
	catalogue.VersionRef
}
