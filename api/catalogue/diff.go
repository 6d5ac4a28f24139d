package catalogue

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Diff lists the differences between two catalogues, one line each, in the order of the sections. Both may be nil, which
// stands for the empty catalogue. A changed order is reported for versions, as the last one is the default successor.
func Diff(before, after *Catalogue) []string {
	if before == nil {
		before = &Catalogue{}
	}
	if after == nil {
		after = &Catalogue{}
	}
	d := &differ{}
	diffNamed(d, "model ", before.Models, after.Models, func(m *Model) string { return m.Name }, d.versions)
	diffNamed(d, "class ", before.Classes, after.Classes, func(k *Class) string { return k.Name }, nil)
	diffNamed(d, "workspace ", before.Workspaces, after.Workspaces, func(w *Workspace) string { return w.Name }, nil)
	diffNamed(d, "service ", before.Services, after.Services, func(s *Service) string { return s.Name }, nil)
	diffNamed(d, "rollout ", before.Rollouts, after.Rollouts, func(r *Rollout) string { return r.Model }, nil)
	diffNamed(d, "route ", before.Routes, after.Routes, func(r *Route) string { return r.Host + r.PathPrefix }, nil)
	if before.Limits != after.Limits {
		d.add("limits: changed")
	}
	return d.lines
}

type differ struct{ lines []string }

func (d *differ) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *differ) versions(subject string, before, after *Model) {
	name := func(v *Version) string { return v.Name }
	diffNamed(d, subject+" version ", before.Versions, after.Versions, name, nil)
	a, b := common(before.Versions, after.Versions), common(after.Versions, before.Versions)
	if !slices.Equal(a, b) {
		d.add("%s: order of versions %s -> %s", subject, strings.Join(a, " "), strings.Join(b, " "))
	}
}

// common returns the names of the versions that are also in others, in their order.
func common(versions, others []Version) []string {
	var out []string
	for _, v := range versions {
		if slices.ContainsFunc(others, func(o Version) bool { return o.Name == v.Name }) {
			out = append(out, v.Name)
		}
	}
	return out
}

// diffNamed compares two lists of items by name. nested compares what fields leaves out; it may be nil.
func diffNamed[T any](d *differ, kind string, before, after []T, name func(*T) string, nested func(string, *T, *T)) {
	old := make(map[string]*T, len(before))
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	for i := range before {
		n := name(&before[i])
		if !slices.ContainsFunc(after, func(item T) bool { return name(&item) == n }) {
			d.add("%s%s: removed", kind, n)
		}
	}
	for i := range after {
		subject := kind + name(&after[i])
		previous := old[name(&after[i])]
		if previous == nil {
			d.add("%s: added", subject)
			previous = new(T)
		}
		d.fields(subject, previous, &after[i])
		if nested != nil {
			nested(subject, previous, &after[i])
		}
	}
}

// fields compares the fields of two structs of one type but for names and nested versions.
func (d *differ) fields(subject string, before, after any) {
	a, b := reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem()
	for i := range a.NumField() {
		field := a.Type().Field(i)
		label, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Name == "Name" || field.Name == "Versions" || field.Name == "Model" {
			continue
		}
		x, y := text(a.Field(i)), text(b.Field(i))
		switch {
		case x == y:
		case field.Name == "KeySHA256":
			d.keys(subject, a.Field(i).Interface().([]string), b.Field(i).Interface().([]string))
		default:
			d.add("%s: %s %s -> %s", subject, label, x, y)
		}
	}
}

// keys counts changed keys in place of printing their hashes.
func (d *differ) keys(subject string, before, after []string) {
	added, removed := 0, 0
	for _, k := range after {
		if !slices.Contains(before, k) {
			added++
		}
	}
	for _, k := range before {
		if !slices.Contains(after, k) {
			removed++
		}
	}
	d.add("%s: key_sha256 %d added, %d removed", subject, added, removed)
}

// text prints a field as JSON; a missing list equals an empty one.
func text(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	raw, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(raw)
}
