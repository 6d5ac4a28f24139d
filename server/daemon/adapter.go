package daemon

import (
	"context"
	"log/slog"
	"net/http"

	"clementinetray/api/control"
	"clementinetray/server/entry"
	"clementinetray/server/jsonbound"
)

// Adapter translates between the interfaces of a platform and those of the router. It keeps no state and makes no
// decisions.
type Adapter interface {
	// Dialect reads and writes the platform's headers of routed requests; nil selects the router's own headers.
	Dialect() entry.Dialect
	// Control returns the handler of the operators' listener, in place of the router's operator API.
	Control(api ControlAPI) http.Handler
	// Readiness returns the handler of the readiness listener; it calls ready, the router's own handler.
	Readiness(ready http.Handler) http.Handler
	// Features returns what the contracts of the platform switch on. Unknown names switch nothing on.
	Features(contracts []string) Features
}

// Features are the parts of the router that a platform's contracts switch on, in addition to the settings.
type Features struct {
	// OverloadControl applies overload control to all routed requests.
	OverloadControl bool
}

// ControlAPI holds the control functions of the router that an adapter calls.
type ControlAPI struct {
	// Operators calls the operator API and returns the HTTP status and the body of the response.
	Operators func(ctx context.Context, method, target string, body []byte) (int, []byte)
	// Announce passes announcements and deregistrations of backend servers on to the control leader.
	Announce func(ctx context.Context, in *control.AnnounceRequest) error
	// JSONLimits bound the decoded form of a request's body.
	JSONLimits jsonbound.Limits
	Log        *slog.Logger
}

// noAdapter is the adapter of a router that serves its own interfaces.
type noAdapter struct{}

// Dialect implements Adapter.
func (noAdapter) Dialect() entry.Dialect { return nil }

// Control implements Adapter. It is never called: without an adapter the operator API is served directly.
func (noAdapter) Control(ControlAPI) http.Handler { return nil }

// Readiness implements Adapter.
func (noAdapter) Readiness(ready http.Handler) http.Handler { return ready }

// Features implements Adapter.
func (noAdapter) Features([]string) Features { return Features{} }
