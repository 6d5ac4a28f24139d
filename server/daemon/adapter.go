package daemon

import (
	"context"
	"log/slog"
	"net/http"

	"clementinetray/api/control"
	"clementinetray/server/entry"
)

// Adapter translates the interfaces of a platform. It keeps no state and decides nothing.
type Adapter interface {
	// Dialect returns the headers of routed requests.
	Dialect() entry.Dialect
	// Control returns the handler of the operators' listener, which replaces the product's own.
	Control(parts ControlParts) http.Handler
	// Readiness returns the handler of the readiness listener, given the product's own.
	Readiness(ready http.Handler) http.Handler
}

// ControlParts are the product's interfaces that an adapter calls.
type ControlParts struct {
	// Operators calls the operator API and returns status and body.
	Operators func(ctx context.Context, method, target string, body []byte) (int, []byte)
	// Announce tells the control leader what backend servers say of themselves.
	Announce func(ctx context.Context, in *control.AnnounceRequest) error
	Log      *slog.Logger
}

// noAdapter serves the product's own interfaces.
type noAdapter struct{}

// Dialect implements Adapter.
func (noAdapter) Dialect() entry.Dialect { return nil }

// Control implements Adapter; it is never asked.
func (noAdapter) Control(ControlParts) http.Handler { return nil }

// Readiness implements Adapter.
func (noAdapter) Readiness(ready http.Handler) http.Handler { return ready }
