package catalogue

import (
	"strings"
	"time"
)

// RouteKind says whether a request of a route may run more than once.
type RouteKind string

// Kinds of routes.
const (
	// KindIdempotent requests may be repeated after any failure.
	KindIdempotent RouteKind = "idempotent"
	// KindOnce requests run at most once.
	KindOnce RouteKind = "non_idempotent"
	// KindStream answers are event streams. They run at most once unless the route is resumable.
	KindStream RouteKind = "stream"
)

// Route sends the requests of one host and path prefix to the backend servers of services.
type Route struct {
	Name string `json:"name"`
	// Host is matched without regard to case and port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash. The longest prefix that begins the path decides.
	PathPrefix string    `json:"path_prefix"`
	Kind       RouteKind `json:"kind"`
	// Resumable says that a stream may go on at another backend server after its last event.
	Resumable bool `json:"resumable,omitempty"`
	// Targets share the requests by weight.
	Targets []Target `json:"targets"`
	// MaxAttempts is the largest number of backend servers that one request may be sent to. Default 1.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// TimeLimitMillis is the longest time that a caller is kept waiting for the end of the answer.
	TimeLimitMillis int `json:"time_limit_millis"`
	// TargetMillis is the time to the answer, or to the first event of a stream, that callers want. Default 0: none stated.
	TargetMillis int `json:"target_millis,omitempty"`
	// TargetGapMillis is the longest pause between two events of a stream that callers want. Default 0: none stated.
	TargetGapMillis int `json:"target_gap_millis,omitempty"`
	// Rank orders requests under overload; 0 is served first. The rank of a workspace goes first.
	Rank int `json:"rank,omitempty"`
	// Anonymous requests need no workspace key. Default false.
	Anonymous bool `json:"anonymous,omitempty"`
	// Models are the models that may answer, the smallest first. Empty: the caller names the model, if any.
	Models []string `json:"models,omitempty"`
}

// Target is one service of a route with its share.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Pool says what the backend servers of a service bear.
type Pool struct {
	// MaxConnections bounds the connections to one backend server from all entry instances. 0: no bound.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdSeconds is how long a backend server stays cold after its start.
	ColdSeconds float64 `json:"cold_seconds,omitempty"`
	// ColdPerSecond is the rate of requests that a cold backend server bears, over all entry instances. 0: no bound.
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
	// Engine is set for model engines, nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int `json:"slots"`
	// KVTokens is the number of tokens that the memory of one engine holds.
	KVTokens int           `json:"kv_tokens"`
	Models   []EngineModel `json:"models,omitempty"`
}

// EngineModel is one model that the engines of a pool serve.
type EngineModel struct {
	Name string `json:"name"`
	// CostPerThousandTokens is the price of 1,000 generated tokens; tokens read count a quarter.
	CostPerThousandTokens float64 `json:"cost_per_thousand_tokens"`
}

// CallerLimits bound what callers may send. A zero stands for the settings or, where they have none, for the defaults of the
// listeners.
type CallerLimits struct {
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int `json:"max_body_bytes,omitempty"`
	// HeaderTimeoutMillis bounds the time to send the header of a request.
	HeaderTimeoutMillis int `json:"header_timeout_millis,omitempty"`
	// IdleTimeoutMillis is how long a connection may be idle between two requests.
	IdleTimeoutMillis int `json:"idle_timeout_millis,omitempty"`
}

// HeaderTimeout returns the time to send the header of a request, 0 when none is stated.
func (l CallerLimits) HeaderTimeout() time.Duration {
	return time.Duration(l.HeaderTimeoutMillis) * time.Millisecond
}

// IdleTimeout returns how long a connection may be idle, 0 when none is stated.
func (l CallerLimits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMillis) * time.Millisecond
}

// TimeLimit returns the longest time that a caller is kept waiting.
func (r *Route) TimeLimit() time.Duration { return time.Duration(r.TimeLimitMillis) * time.Millisecond }

// Target returns the wanted time to the answer or the first event, 0 when none is stated.
func (r *Route) Target() time.Duration { return time.Duration(r.TargetMillis) * time.Millisecond }

// Gap returns the wanted longest pause between two events, 0 when none is stated.
func (r *Route) Gap() time.Duration { return time.Duration(r.TargetGapMillis) * time.Millisecond }

// Repeatable reports whether a request may run at a second backend server after it may have run at a first one.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// FindRoute returns the route with the longest prefix of the path on the host, or nil.
func (c *Catalogue) FindRoute(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
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

// PoolOf returns what the backend servers of the service bear; the zero Pool when nothing is stated.
func (c *Catalogue) PoolOf(service string) Pool {
	if s := c.FindService(service); s != nil && s.Pool != nil {
		return *s.Pool
	}
	return Pool{}
}

// FindModel returns the named model of the engine, or nil.
func (e *Engine) FindModel(name string) *EngineModel {
	return find(e.Models, func(m *EngineModel) bool { return m.Name == name })
}

func (v *validator) route(c *Catalogue, r Route) {
	prefix := "routes[" + r.Name + "]"
	if r.Host == "" {
		v.add(prefix+".host", "is empty")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		v.add(prefix+".path_prefix", "%q does not begin and end with a slash", r.PathPrefix)
	}
	switch r.Kind {
	case KindIdempotent, KindOnce, KindStream:
	default:
		v.add(prefix+".kind", "%q is not a kind of route", r.Kind)
	}
	sum := 0
	for _, t := range r.Targets {
		if c.FindService(t.Service) == nil {
			v.add(prefix+".targets", "service %q is not in the catalogue", t.Service)
		}
		if t.Weight < 0 {
			v.add(prefix+".targets", "the weight %d is negative", t.Weight)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		v.add(prefix+".targets", "the weights add up to %d", sum)
	}
	if r.TimeLimitMillis <= 0 {
		v.add(prefix+".time_limit_millis", "%d is not positive", r.TimeLimitMillis)
	}
	if r.MaxAttempts < 0 || r.TargetMillis < 0 || r.TargetGapMillis < 0 {
		v.add(prefix, "max_attempts, target_millis and target_gap_millis may not be negative")
	}
}

// routes checks each route and that no two share host and prefix.
func (v *validator) routes(c *Catalogue) {
	seen := make(map[string]string, len(c.Routes))
	for _, r := range c.Routes {
		v.route(c, r)
		place := strings.ToLower(r.Host) + r.PathPrefix
		if other, ok := seen[place]; ok {
			v.add("routes["+r.Name+"]", "host and prefix are also those of %q", other)
		}
		seen[place] = r.Name
	}
}
