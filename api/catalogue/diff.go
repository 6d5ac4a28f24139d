package catalogue

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Diff lists the differences between two catalogues, one line each, in the order of the sections. nil stands for the empty
// catalogue. A changed order of versions is also listed, because the last version is the default successor.
func Diff(before, after *Catalogue) []string {
	if before == nil {
		before = &Catalogue{}
	}
	if after == nil {
		after = &Catalogue{}
	}
	d := &diffBuilder{}
	diffNamed(d, "model ", before.Models, after.Models, func(m *Model) string { return m.Name }, d.diffVersions)
	diffNamed(d, "class ", before.Classes, after.Classes, func(k *Class) string { return k.Name }, nil)
	diffNamed(d, "workspace ", before.Workspaces, after.Workspaces, func(w *Workspace) string { return w.Name }, nil)
	diffNamed(d, "service ", before.Services, after.Services, func(s *Service) string { return s.Name }, nil)
	diffNamed(d, "rollout ", before.Rollouts, after.Rollouts, func(r *Rollout) string { return r.Model }, nil)
	diffNamed(d, "route ", before.Routes, after.Routes, func(r *Route) string { return r.Host + r.PathPrefix }, nil)
	if before.Limits != after.Limits {
		d.addLine("limits: changed")
	}
	return d.lines
}

type diffBuilder struct{ lines []string }

func (d *diffBuilder) addLine(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *diffBuilder) diffVersions(subject string, before, after *Model) {
	name := func(v *Version) string { return v.Name }
	diffNamed(d, subject+" version ", before.Versions, after.Versions, name, nil)
	orderBefore, orderAfter := sharedNames(before.Versions, after.Versions), sharedNames(after.Versions, before.Versions)
	if !slices.Equal(orderBefore, orderAfter) {
		d.addLine("%s: order of versions %s -> %s", subject, strings.Join(orderBefore, " "), strings.Join(orderAfter, " "))
	}
}

// sharedNames returns the names that occur in both lists, in the order of versions.
func sharedNames(versions, others []Version) []string {
	var names []string
	for _, v := range versions {
		if slices.ContainsFunc(others, func(o Version) bool { return o.Name == v.Name }) {
			names = append(names, v.Name)
		}
	}
	return names
}

// diffNamed compares two lists of items by name. prefix precedes the name in each line. diffNested compares the parts of an
// item that diffFields leaves out; it may be nil.
func diffNamed[T any](d *diffBuilder, prefix string, before, after []T, name func(*T) string, diffNested func(string, *T, *T)) {
	beforeByName := make(map[string]*T, len(before))
	for i := range before {
		beforeByName[name(&before[i])] = &before[i]
	}
	for i := range before {
		itemName := name(&before[i])
		if !slices.ContainsFunc(after, func(item T) bool { return name(&item) == itemName }) {
			d.addLine("%s%s: removed", prefix, itemName)
		}
	}
	for i := range after {
		subject := prefix + name(&after[i])
		previous := beforeByName[name(&after[i])]
		if previous == nil {
			d.addLine("%s: added", subject)
			previous = new(T)
		}
		d.diffFields(subject, previous, &after[i])
		if diffNested != nil {
			diffNested(subject, previous, &after[i])
		}
	}
}

// diffFields compares the fields of two structs of the same type, except names and nested versions.
func (d *diffBuilder) diffFields(subject string, before, after any) {
	oldStruct, newStruct := reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem()
	for i := range oldStruct.NumField() {
		field := oldStruct.Type().Field(i)
		label, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Name == "Name" || field.Name == "Versions" || field.Name == "Model" {
			continue
		}
		oldText, newText := jsonText(oldStruct.Field(i)), jsonText(newStruct.Field(i))
		switch {
		case oldText == newText:
		case field.Name == "KeySHA256":
			d.diffKeyHashes(subject, oldStruct.Field(i).Interface().([]string), newStruct.Field(i).Interface().([]string))
		default:
			d.addLine("%s: %s %s -> %s", subject, label, oldText, newText)
		}
	}
}

// diffKeyHashes adds a line with the numbers of added and removed keys; it does not print their hashes.
func (d *diffBuilder) diffKeyHashes(subject string, before, after []string) {
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
	d.addLine("%s: key_sha256 %d added, %d removed", subject, added, removed)
}

// jsonText returns a field as JSON. It returns the same for a nil slice as for an empty one.
func jsonText(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	raw, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(raw)
}
