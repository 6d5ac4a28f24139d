// Package catalogue defines the catalogue that operators edit: models and their versions, classes, workspaces, plain
// services and roll-outs, with validation and comparison of whole catalogues.
package catalogue

import "slices"

// Catalogue is the whole configuration that routing decisions are made from. It is applied whole or not at all.
type Catalogue struct {
	Models     []Model     `json:"models"`
	Classes    []Class     `json:"classes,omitempty"`
	Workspaces []Workspace `json:"workspaces"`
	Services   []Service   `json:"services,omitempty"`
	Rollouts   []Rollout   `json:"rollouts,omitempty"`
	// Routes send requests by host and path to services.
	Routes []Route      `json:"routes,omitempty"`
	Limits CallerLimits `json:"limits,omitzero"`
}

// Model is one named model with its versions.
type Model struct {
	Name string `json:"name"`
	// Owner is the team that answers for the model.
	Owner    string    `json:"owner"`
	Versions []Version `json:"versions"`
}

// Version is one version of a model.
type Version struct {
	Name string `json:"name"`
	// Withdrawn versions get no new work. Default false.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Successor names the version of the same model that sessions move to when this one is withdrawn. Default: the last version that is not withdrawn.
	Successor string `json:"successor,omitempty"`
	// CostPerMillionTokens is the price of one million generated tokens, in micro-units of the billing currency.
	CostPerMillionTokens int64 `json:"cost_per_million_tokens"`
	// MaxConcurrent limits running requests over the whole fleet. Default 0: no limit.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Class names a kind of request with a quality target and the models that may serve it.
type Class struct {
	Name string `json:"name"`
	// QualityTarget is the least acceptable mean rating, 0 to 1.
	QualityTarget float64 `json:"quality_target"`
	// Models lists the model names that may serve the class.
	Models []string `json:"models"`
	// Cascade checks unstreamed answers with the rating service and goes on to a dearer model when they fall short. Default false.
	Cascade bool `json:"cascade,omitempty"`
	// ExplorePercent is the share of requests, in percent, that may go to versions without enough ratings. Default 2.
	ExplorePercent float64 `json:"explore_percent,omitempty"`
	// Priority orders classes under overload; a higher number is refused later. Default 0.
	Priority int `json:"priority,omitempty"`
}

// Workspace is one customer account with what it is allowed to use.
type Workspace struct {
	Name string `json:"name"`
	// KeySHA256 holds the lower-case hexadecimal SHA-256 of each accepted key.
	KeySHA256 []string `json:"key_sha256"`
	// Models lists allowed models as "model" (each version) or "model@version".
	Models []string `json:"models"`
	// Classes lists allowed classes.
	Classes []string `json:"classes,omitempty"`
	// Services lists allowed plain services.
	Services []string `json:"services,omitempty"`
	// MaxConcurrent limits running requests over the whole fleet. Default 0: no limit.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// RequestsPerSecond limits the rate over the whole fleet. Default 0: no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Large workspaces yield to small ones under overload in proportion to Weight. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Rank goes before the rank of routes: 0 is served first. Default nil: the rank of the route.
	Rank *int `json:"rank,omitempty"`
}

// Service is a plain service that stands beside the model engines.
type Service struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	// Routes are matched in order; the first match decides. A request that no route matches is not idempotent.
	Routes []ServiceRoute `json:"routes"`
	// Pool says what the backend servers bear. Default nil: nothing is stated.
	Pool *Pool `json:"pool,omitempty"`
}

// ServiceRoute says which calls of a service may be repeated.
type ServiceRoute struct {
	// Method is the HTTP method, or empty for each.
	Method string `json:"method,omitempty"`
	// Prefix of the path below /services/<name>.
	Prefix     string `json:"prefix"`
	Idempotent bool   `json:"idempotent"`
}

// Rollout moves a model from one version to another in steps.
type Rollout struct {
	Model string `json:"model"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Steps are the shares of new work for To, in percent, ascending, the last one 100. Default 1, 5, 25, 50, 100.
	Steps []int `json:"steps,omitempty"`
	// MinRequests is the number of judged requests on To before the next step. Default 200.
	MinRequests int `json:"min_requests,omitempty"`
	// StepSeconds is the shortest duration of a step in seconds. Default 300.
	StepSeconds int `json:"step_seconds,omitempty"`
	// MaxExposure limits running requests on To over the whole fleet before the last step. Default 0: no limit.
	MaxExposure int `json:"max_exposure,omitempty"`
}

// VersionRef names one version of one model.
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

// WorkspaceByKeyHash returns the workspace that accepts the key with this SHA-256 in hexadecimal, or nil.
func (c *Catalogue) WorkspaceByKeyHash(hash string) *Workspace {
	return find(c.Workspaces, func(w *Workspace) bool { return slices.Contains(w.KeySHA256, hash) })
}

// Allows reports whether the workspace may use the version.
func (w *Workspace) Allows(ref VersionRef) bool {
	return slices.Contains(w.Models, ref.Model) || slices.Contains(w.Models, ref.String())
}

func find[T any](items []T, match func(*T) bool) *T {
	for i := range items {
		if match(&items[i]) {
			return &items[i]
		}
	}
	return nil
}
