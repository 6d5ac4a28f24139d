package catalogue

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all catalogue errors.
var Error = errs.Class("catalogue")

// FieldError is the reason why a field of a catalogue was refused.
type FieldError struct {
	// Field is the path of the field, such as models[claims].versions[2].
	Field  string `json:"field"`
	Detail string `json:"detail"`
}

// Error returns the field and the detail.
func (e *FieldError) Error() string { return e.Field + ": " + e.Detail }

type validator struct{ fieldErrors []*FieldError }

func (v *validator) add(field, format string, args ...any) {
	v.fieldErrors = append(v.fieldErrors, &FieldError{Field: field, Detail: fmt.Sprintf(format, args...)})
}

// checkNames adds an error for each name that is empty, malformed or used twice. listPath is the path of the list.
func (v *validator) checkNames(listPath string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		field := fmt.Sprintf("%s[%d].name", listPath, i)
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

// Validate returns all errors of the catalogue, or nil if it can be applied.
func Validate(c *Catalogue) []*FieldError {
	v := &validator{}
	v.checkNames("models", collectNames(c.Models, func(m Model) string { return m.Name }))
	v.checkNames("classes", collectNames(c.Classes, func(k Class) string { return k.Name }))
	v.checkNames("workspaces", collectNames(c.Workspaces, func(w Workspace) string { return w.Name }))
	v.checkNames("services", collectNames(c.Services, func(s Service) string { return s.Name }))
	for _, m := range c.Models {
		v.checkModel(m)
	}
	for _, k := range c.Classes {
		v.checkClass(c, k)
	}
	keyPaths := make(map[string]string)
	for _, w := range c.Workspaces {
		v.checkWorkspace(c, w, keyPaths)
	}
	v.checkRoutes(c)
	seenModels := make(map[string]bool)
	for _, r := range c.Rollouts {
		if seenModels[r.Model] {
			v.add("rollouts["+r.Model+"]", "a model may have one roll-out")
		}
		seenModels[r.Model] = true
		v.checkRollout(c, r)
	}
	return v.fieldErrors
}

func (v *validator) checkModel(m Model) {
	prefix := "models[" + m.Name + "]"
	v.checkNames(prefix+".versions", collectNames(m.Versions, func(x Version) string { return x.Name }))
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

func (v *validator) checkClass(c *Catalogue, k Class) {
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

func (v *validator) checkWorkspace(c *Catalogue, w Workspace, keyPaths map[string]string) {
	prefix := "workspaces[" + w.Name + "]"
	for _, h := range w.KeySHA256 {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != 32 || h != strings.ToLower(h) {
			v.add(prefix+".key_sha256", "%q is not a lower-case hexadecimal SHA-256", h)
		}
		if otherPath, ok := keyPaths[h]; ok {
			v.add(prefix+".key_sha256", "the key is also listed at %s", otherPath)
		}
		keyPaths[h] = prefix
	}
	for _, m := range w.Models {
		name, version, hasVersion := strings.Cut(m, "@")
		if c.FindModel(name) == nil || hasVersion && c.FindVersion(VersionRef{name, version}) == nil {
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

func (v *validator) checkRollout(c *Catalogue, r Rollout) {
	prefix := "rollouts[" + r.Model + "]"
	for _, name := range []string{r.From, r.To} {
		if c.FindVersion(VersionRef{r.Model, name}) == nil {
			v.add(prefix, "version %q is not in the catalogue", name)
		}
	}
	if r.From == r.To {
		v.add(prefix+".to", "%q is also the version to move from", r.To)
	}
	lastStep := 0
	for _, step := range r.Steps {
		if step <= lastStep || step > 100 {
			v.add(prefix+".steps", "%v is not ascending within 1 to 100", r.Steps)
			break
		}
		lastStep = step
	}
	if len(r.Steps) > 0 && lastStep != 100 {
		v.add(prefix+".steps", "the last step is %d, must be 100", lastStep)
	}
	if r.MinRequests < 0 || r.StepSeconds < 0 || r.MaxExposure < 0 {
		v.add(prefix, "min_requests, step_seconds and max_exposure may not be negative")
	}
}

func collectNames[T any](items []T, name func(T) string) []string {
	out := make([]string, 0, len(items))
	for _, item := range items {
		out = append(out, name(item))
	}
	return out
}
