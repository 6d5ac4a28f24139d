// Package catalogue defines the catalogue that operators edit: models and their versions, classes, workspaces, services,
// routes and roll-outs. It validates and compares whole catalogues.
package catalogue

import "slices"

// Catalogue is the configuration that routing decisions are based on. It is always replaced as a whole.
type Catalogue struct {
	Models     []Model     `json:"models"`
	Classes    []Class     `json:"classes,omitempty"`
	Workspaces []Workspace `json:"workspaces"`
	Services   []Service   `json:"services,omitempty"`
	Rollouts   []Rollout   `json:"rollouts,omitempty"`
	// Routes assign requests to services by host and path.
	Routes []Route      `json:"routes,omitempty"`
	Limits CallerLimits `json:"limits,omitzero"`
}

// Model is a model with its versions.
type Model struct {
	Name string `json:"name"`
	// Owner is the team that is responsible for the model.
	Owner    string    `json:"owner"`
	Versions []Version `json:"versions"`
}

// Version is one version of a model.
type Version struct {
	Name string `json:"name"`
	// Withdrawn versions get no new work.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Successor is the version of the same model that sessions move to when this one is withdrawn. Empty means the last
	// version that is not withdrawn.
	Successor string `json:"successor,omitempty"`
	// CostPerMillionTokens is the price of one million generated tokens, in millionths of the billing currency.
	CostPerMillionTokens int64 `json:"cost_per_million_tokens"`
	// MaxConcurrent limits the concurrent requests of the version in the whole fleet. 0 means no limit.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Class is a kind of request, with a quality target and the models that may serve it.
type Class struct {
	Name string `json:"name"`
	// QualityTarget is the lowest acceptable mean rating, 0 to 1.
	QualityTarget float64 `json:"quality_target"`
	// Models lists the model names that may serve the class.
	Models []string `json:"models"`
	// Cascade is true if the rating service rates each answer that isn't streamed, and a more expensive model answers the
	// request again when the score is below QualityTarget.
	Cascade bool `json:"cascade,omitempty"`
	// ExplorePercent is the percentage of requests that may go to versions without enough ratings. 0 means 2.
	ExplorePercent float64 `json:"explore_percent,omitempty"`
	// Priority orders the classes under overload: requests of a class with a lower number are refused first.
	Priority int `json:"priority,omitempty"`
}

// Workspace is a customer account, with its keys, permissions and limits.
type Workspace struct {
	Name string `json:"name"`
	// KeySHA256 holds the SHA-256 of each accepted key in lower-case hexadecimal.
	KeySHA256 []string `json:"key_sha256"`
	// Models lists the models that the workspace may use, as "model" (every version) or "model@version".
	Models []string `json:"models"`
	// Classes lists the classes that the workspace may use.
	Classes []string `json:"classes,omitempty"`
	// Services lists the services that the workspace may use.
	Services []string `json:"services,omitempty"`
	// MaxConcurrent limits the concurrent requests of the workspace in the whole fleet. 0 means no limit.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// RequestsPerSecond limits the request rate of the workspace in the whole fleet. 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Weight scales the workspace's share under overload: within a class, requests of the workspace with the largest use
	// relative to its weight are refused first. 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// Rank replaces Route.Rank for requests of the workspace; 0 is served first. nil means the rank of the route.
	Rank *int `json:"rank,omitempty"`
}

// Service is a service that the router passes requests on to. Its backend servers form a pool.
type Service struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	// Routes are matched in order, and the first match applies. A call that matches none is not idempotent.
	Routes []ServiceRoute `json:"routes"`
	// Pool describes the capacity of the backend servers. nil means that it is not given.
	Pool *Pool `json:"pool,omitempty"`
}

// ServiceRoute states whether the calls of a service with this method and path prefix are idempotent, so that they may be
// repeated.
type ServiceRoute struct {
	// Method is the HTTP method. Empty matches every method.
	Method string `json:"method,omitempty"`
	// Prefix is a prefix of the path below /services/<name>.
	Prefix     string `json:"prefix"`
	Idempotent bool   `json:"idempotent"`
}

// Rollout moves a model from one version to another in steps.
type Rollout struct {
	Model string `json:"model"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Steps are the shares of new work for To in percent, in ascending order, ending with 100. Default 1, 5, 25, 50, 100.
	Steps []int `json:"steps,omitempty"`
	// MinRequests is the number of requests that To must have served in a step before the next one. 0 means
	// DefaultMinRequests.
	MinRequests int `json:"min_requests,omitempty"`
	// StepSeconds is the minimum duration of a step in seconds. 0 means DefaultStepSeconds.
	StepSeconds int `json:"step_seconds,omitempty"`
	// MaxExposure limits the concurrent requests on To in the whole fleet before the last step. 0 means no limit.
	MaxExposure int `json:"max_exposure,omitempty"`
}

// VersionRef identifies a version of a model.
type VersionRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// String returns "model@version".
func (r VersionRef) String() string { return r.Model + "@" + r.Version }

// FindModel returns the named model, or nil.
func (c *Catalogue) FindModel(name string) *Model {
	return find(c.Models, func(m *Model) bool { return m.Name == name })
}

// FindVersion returns the named version, or nil.
func (c *Catalogue) FindVersion(ref VersionRef) *Version {
	m := c.FindModel(ref.Model)
	if m == nil {
		return nil
	}
	return find(m.Versions, func(v *Version) bool { return v.Name == ref.Version })
}

// FindClass returns the named class, or nil.
func (c *Catalogue) FindClass(name string) *Class {
	return find(c.Classes, func(k *Class) bool { return k.Name == name })
}

// FindWorkspace returns the named workspace, or nil.
func (c *Catalogue) FindWorkspace(name string) *Workspace {
	return find(c.Workspaces, func(w *Workspace) bool { return w.Name == name })
}

// FindService returns the named service, or nil.
func (c *Catalogue) FindService(name string) *Service {
	return find(c.Services, func(s *Service) bool { return s.Name == name })
}

// FindRollout returns the roll-out of the named model, or nil.
func (c *Catalogue) FindRollout(model string) *Rollout {
	return find(c.Rollouts, func(r *Rollout) bool { return r.Model == model })
}

// WorkspaceByKeyHash returns the workspace with a key whose SHA-256, in lower-case hexadecimal, is hash, or nil.
func (c *Catalogue) WorkspaceByKeyHash(hash string) *Workspace {
	return find(c.Workspaces, func(w *Workspace) bool { return slices.Contains(w.KeySHA256, hash) })
}

// Allows reports whether the workspace may use the version.
func (w *Workspace) Allows(ref VersionRef) bool {
	return slices.Contains(w.Models, ref.Model) || slices.Contains(w.Models, ref.String())
}

// find returns the first matching item, or nil.
func find[T any](items []T, match func(*T) bool) *T {
	for i := range items {
		if match(&items[i]) {
			return &items[i]
		}
	}
	return nil
}
