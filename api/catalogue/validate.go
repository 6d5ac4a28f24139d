package catalogue

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all catalogue errors.
var Error = errs.Class("catalogue")

// FieldError names the field of a catalogue that was refused and why.
type FieldError struct {
	// Field is the path of the field, such as models[claims].versions[2].
	Field  string `json:"field"`
	Detail string `json:"detail"`
}

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Detail }

type validator struct{ problems []*FieldError }

func (v *validator) add(field, format string, args ...any) {
	v.problems = append(v.problems, &FieldError{Field: field, Detail: fmt.Sprintf(format, args...)})
}

// unique reports each name that is empty, malformed or used twice.
func (v *validator) unique(kind string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		field := fmt.Sprintf("%s[%d].name", kind, i)
		switch {
		case name == "":
			v.add(field, "is empty")
		case strings.ContainsAny(name, "@:/ \t\n"):
			v.add(field, "%q contains one of @ : / or white space", name)
		case seen[name]:
			v.add(field, "%q is named twice", name)
		}
		seen[name] = true
	}
}

// Validate returns every fault of the catalogue, or nil when it can be applied.
func Validate(c *Catalogue) []*FieldError {
	v := &validator{}
	v.unique("models", names(c.Models, func(m Model) string { return m.Name }))
	v.unique("classes", names(c.Classes, func(k Class) string { return k.Name }))
	v.unique("workspaces", names(c.Workspaces, func(w Workspace) string { return w.Name }))
	v.unique("services", names(c.Services, func(s Service) string { return s.Name }))
	for _, m := range c.Models {
		v.model(m)
	}
	for _, k := range c.Classes {
		v.class(c, k)
	}
	keys := make(map[string]string)
	for _, w := range c.Workspaces {
		v.workspace(c, w, keys)
	}
	v.routes(c)
	seen := make(map[string]bool)
	for _, r := range c.Rollouts {
		if seen[r.Model] {
			v.add("rollouts["+r.Model+"]", "a model may have one roll-out")
		}
		seen[r.Model] = true
		v.rollout(c, r)
	}
	return v.problems
}

func (v *validator) model(m Model) {
	prefix := "models[" + m.Name + "]"
	v.unique(prefix+".versions", names(m.Versions, func(x Version) string { return x.Name }))
	if len(m.Versions) == 0 {
		v.add(prefix+".versions", "is empty")
	}
	for _, x := range m.Versions {
		field := prefix + ".versions[" + x.Name + "]"
		if x.CostPerMillionTokens < 0 {
			v.add(field+".cost_per_million_tokens", "%d is negative", x.CostPerMillionTokens)
		}
		if x.MaxConcurrent < 0 {
			v.add(field+".max_concurrent", "%d is negative", x.MaxConcurrent)
		}
		if x.Successor == x.Name || x.Successor != "" && find(m.Versions, func(o *Version) bool { return o.Name == x.Successor }) == nil {
			v.add(field+".successor", "%q is not another version of the model", x.Successor)
		}
	}
}

func (v *validator) class(c *Catalogue, k Class) {
	prefix := "classes[" + k.Name + "]"
	if k.QualityTarget < 0 || k.QualityTarget > 1 {
		v.add(prefix+".quality_target", "%g is outside 0 to 1", k.QualityTarget)
	}
	if k.ExplorePercent < 0 || k.ExplorePercent > 100 {
		v.add(prefix+".explore_percent", "%g is outside 0 to 100", k.ExplorePercent)
	}
	if len(k.Models) == 0 {
		v.add(prefix+".models", "is empty")
	}
	for _, name := range k.Models {
		if c.FindModel(name) == nil {
			v.add(prefix+".models", "%q is not in the catalogue", name)
		}
	}
}

func (v *validator) workspace(c *Catalogue, w Workspace, keys map[string]string) {
	prefix := "workspaces[" + w.Name + "]"
	for _, h := range w.KeySHA256 {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != 32 || h != strings.ToLower(h) {
			v.add(prefix+".key_sha256", "%q is not a lower-case hexadecimal SHA-256", h)
		}
		if other, ok := keys[h]; ok {
			v.add(prefix+".key_sha256", "the key is also listed at %s", other)
		}
		keys[h] = prefix
	}
	for _, m := range w.Models {
		name, version, pinned := strings.Cut(m, "@")
		if c.FindModel(name) == nil || pinned && c.FindVersion(VersionRef{name, version}) == nil {
			v.add(prefix+".models", "%q is not in the catalogue", m)
		}
	}
	for _, k := range w.Classes {
		if c.FindClass(k) == nil {
			v.add(prefix+".classes", "%q is not in the catalogue", k)
		}
	}
	for _, s := range w.Services {
		if c.FindService(s) == nil {
			v.add(prefix+".services", "%q is not in the catalogue", s)
		}
	}
	if w.MaxConcurrent < 0 || w.RequestsPerSecond < 0 || w.Weight < 0 {
		v.add(prefix, "max_concurrent, requests_per_second and weight may not be negative")
	}
}

func (v *validator) rollout(c *Catalogue, r Rollout) {
	prefix := "rollouts[" + r.Model + "]"
	for _, name := range []string{r.From, r.To} {
		if c.FindVersion(VersionRef{r.Model, name}) == nil {
			v.add(prefix, "version %q is not in the catalogue", name)
		}
	}
	if r.From == r.To {
		v.add(prefix+".to", "%q is also the version to move from", r.To)
	}
	last := 0
	for _, step := range r.Steps {
		if step <= last || step > 100 {
			v.add(prefix+".steps", "%v is not ascending within 1 to 100", r.Steps)
			break
		}
		last = step
	}
	if len(r.Steps) > 0 && last != 100 {
		v.add(prefix+".steps", "the last step is %d, must be 100", last)
	}
	if r.MinRequests < 0 || r.StepSeconds < 0 || r.MaxExposure < 0 {
		v.add(prefix, "min_requests, step_seconds and max_exposure may not be negative")
	}
}

func names[T any](items []T, name func(T) string) []string {
	out := make([]string, 0, len(items))
	for _, item := range items {
		out = append(out, name(item))
	}
	return out
}
