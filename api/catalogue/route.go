package catalogue

import (
	"strings"
	"time"
)

// RouteKind determines whether a request of a route may run more than once.
type RouteKind string

// Kinds of routes.
const (
	// KindIdempotent requests may be repeated after any failure.
	KindIdempotent RouteKind = "idempotent"
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent RouteKind = "non_idempotent"
	// KindStream requests are answered with an event stream. They run at most once unless the route is resumable.
	KindStream RouteKind = "stream"
)

// Route sends the requests of one host and path prefix to the backend servers of services.
type Route struct {
	Name string `json:"name"`
	// Host is compared with the request's host without port, ignoring case.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash. If several routes match, the one with the longest PathPrefix is used.
	PathPrefix string    `json:"path_prefix"`
	Kind       RouteKind `json:"kind"`
	// Resumable is true if another backend server can continue a stream after the last event that was received.
	Resumable bool `json:"resumable,omitempty"`
	// Targets are the services that share the requests, by weight.
	Targets []Target `json:"targets"`
	// MaxAttempts is the maximum number of attempts, and so of backend servers that one request may be sent to. It includes
	// the first attempt. 0 means 1.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// TimeLimitMillis is the time limit of a request, up to the end of its answer. It must be positive.
	TimeLimitMillis int `json:"time_limit_millis"`
	// TargetMillis is the wanted maximum time to the answer or to the first event of a stream. 0 means that none is set.
	TargetMillis int `json:"target_millis,omitempty"`
	// TargetGapMillis is the wanted maximum time between two events of a stream. 0 means that none is set.
	TargetGapMillis int `json:"target_gap_millis,omitempty"`
	// Rank orders requests under overload; 0 is served first. Workspace.Rank replaces it.
	Rank int `json:"rank,omitempty"`
	// Anonymous is true if requests need no workspace key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Models lists the models that may answer, the smallest first. If it is empty, the caller names the model, if any. If requests may be
	// repeated, an answer of low confidence may be dropped for one of a larger model.
	Models []string `json:"models,omitempty"`
}

// Target is a service that gets a share of a route's requests: its Weight divided by the sum of all weights.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Pool describes the backend servers of a service and their limits.
type Pool struct {
	// MaxConnections limits the connections of all entry instances together to one backend server. 0 means no limit.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdSeconds is how long a backend server is cold after its start, in seconds.
	ColdSeconds float64 `json:"cold_seconds,omitempty"`
	// ColdPerSecond is the maximum number of requests per second that all entry instances together send to a cold backend
	// server. 0 means no limit.
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
	// Engine is set if the backend servers are model engines, and nil otherwise.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the maximum number of requests that an engine runs concurrently.
	Slots int `json:"slots"`
	// KVTokens is the capacity of an engine's key-value cache in tokens.
	KVTokens int           `json:"kv_tokens"`
	Models   []EngineModel `json:"models,omitempty"`
}

// EngineModel is one model that the engines of a pool serve.
type EngineModel struct {
	Name string `json:"name"`
	// CostPerThousandTokens is the price of 1,000 generated tokens. A prompt token costs a quarter of a generated one.
	CostPerThousandTokens float64 `json:"cost_per_thousand_tokens"`
}

// CallerLimits limits the requests and connections of callers. 0 means the value of the settings or, if they have none, the
// default of the listener.
type CallerLimits struct {
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int `json:"max_body_bytes,omitempty"`
	// HeaderTimeoutMillis is the maximum time in which a caller must send the header of a request.
	HeaderTimeoutMillis int `json:"header_timeout_millis,omitempty"`
	// IdleTimeoutMillis is how long a connection may be idle between two requests before it is closed.
	IdleTimeoutMillis int `json:"idle_timeout_millis,omitempty"`
}

// HeaderTimeout returns HeaderTimeoutMillis as a duration. It is 0 if none is set.
func (l CallerLimits) HeaderTimeout() time.Duration {
	return time.Duration(l.HeaderTimeoutMillis) * time.Millisecond
}

// IdleTimeout returns IdleTimeoutMillis as a duration. It is 0 if none is set.
func (l CallerLimits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMillis) * time.Millisecond
}

// TimeLimit returns TimeLimitMillis as a duration.
func (r *Route) TimeLimit() time.Duration { return time.Duration(r.TimeLimitMillis) * time.Millisecond }

// TargetTime returns TargetMillis as a duration. It is 0 if none is set.
func (r *Route) TargetTime() time.Duration { return time.Duration(r.TargetMillis) * time.Millisecond }

// TargetGap returns TargetGapMillis as a duration. It is 0 if none is set.
func (r *Route) TargetGap() time.Duration { return time.Duration(r.TargetGapMillis) * time.Millisecond }

// Repeatable reports whether a request that may have run on one backend server may be sent to another.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// FindRoute returns the route whose host matches and whose path prefix is the longest that matches the path, or nil.
func (c *Catalogue) FindRoute(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) && strings.HasPrefix(path, r.PathPrefix) && strings.EqualFold(r.Host, host) {
			best = r
		}
	}
	return best
}

// PoolOf returns the pool of the service, or the zero Pool if the service is not known or has none.
func (c *Catalogue) PoolOf(service string) Pool {
	if s := c.FindService(service); s != nil && s.Pool != nil {
		return *s.Pool
	}
	return Pool{}
}

// FindModel returns the named model of the engines, or nil.
func (e *Engine) FindModel(name string) *EngineModel {
	return find(e.Models, func(m *EngineModel) bool { return m.Name == name })
}

func (v *validator) checkRoute(c *Catalogue, r Route) {
	prefix := "routes[" + r.Name + "]"
	if r.Host == "" {
		v.add(prefix+".host", "is empty")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		v.add(prefix+".path_prefix", "%q does not begin and end with a slash", r.PathPrefix)
	}
	switch r.Kind {
	case KindIdempotent, KindNonIdempotent, KindStream:
	default:
		v.add(prefix+".kind", "%q is not a kind of route", r.Kind)
	}
	totalWeight := 0
	for _, t := range r.Targets {
		if c.FindService(t.Service) == nil {
			v.add(prefix+".targets", "service %q is not in the catalogue", t.Service)
		}
		if t.Weight < 0 {
			v.add(prefix+".targets", "the weight %d is negative", t.Weight)
		}
		totalWeight += t.Weight
	}
	if totalWeight <= 0 {
		v.add(prefix+".targets", "the weights add up to %d", totalWeight)
	}
	if r.TimeLimitMillis <= 0 {
		v.add(prefix+".time_limit_millis", "%d is not positive", r.TimeLimitMillis)
	}
	if r.MaxAttempts < 0 || r.TargetMillis < 0 || r.TargetGapMillis < 0 {
		v.add(prefix, "max_attempts, target_millis and target_gap_millis may not be negative")
	}
}

// checkRoutes checks each route, and that no two have the same host and path prefix.
func (v *validator) checkRoutes(c *Catalogue) {
	routeNames := make(map[string]string, len(c.Routes))
	for _, r := range c.Routes {
		v.checkRoute(c, r)
		hostAndPrefix := strings.ToLower(r.Host) + r.PathPrefix
		if otherRoute, ok := routeNames[hostAndPrefix]; ok {
			v.add("routes["+r.Name+"]", "host and prefix are also those of %q", otherRoute)
		}
		routeNames[hostAndPrefix] = r.Name
	}
}
