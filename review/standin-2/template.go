package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// render fills in a settings template the way the platform does: values, sections for lists, tables and true values, and
// inverted sections. fields is the decoded settings table of one process.
func render(text string, fields map[string]any) string {
	out, _ := renderUntil(text, []any{fields}, "", "", false)
	return out
}

// renderUntil renders text up to the end of the section with the given name and returns what follows it.
func renderUntil(text string, scope []any, key, section string, last bool) (out, rest string) {
	var b strings.Builder
	for {
		start := strings.Index(text, "{{")
		if start < 0 {
			b.WriteString(text)
			return b.String(), ""
		}
		b.WriteString(text[:start])
		end := strings.Index(text[start:], "}}")
		tag := text[start+2 : start+end]
		text = text[start+end+2:]
		switch {
		case tag == "/"+section && section != "":
			return b.String(), text
		case tag == ",":
			if !last {
				b.WriteString(",")
			}
		case tag == "@":
			b.WriteString(key)
		case strings.HasPrefix(tag, "#"):
			name := tag[1:]
			value := lookup(scope, name)
			_, after := renderUntil(text, scope, key, name, last)
			switch v := value.(type) {
			case []any:
				for i, entry := range v {
					part, _ := renderUntil(text, append(scope, entry), fmt.Sprint(i), name, i == len(v)-1)
					b.WriteString(part)
				}
			case map[string]any:
				keys := make([]string, 0, len(v))
				for k := range v {
					keys = append(keys, k)
				}
				sort.Strings(keys)
				for i, k := range keys {
					part, _ := renderUntil(text, append(scope, v[k]), k, name, i == len(keys)-1)
					b.WriteString(part)
				}
			case nil:
			case bool:
				if v {
					part, _ := renderUntil(text, scope, key, name, last)
					b.WriteString(part)
				}
			default:
				part, _ := renderUntil(text, append(scope, v), key, name, last)
				b.WriteString(part)
			}
			text = after
		case strings.HasPrefix(tag, "^"):
			name := tag[1:]
			part, after := renderUntil(text, scope, key, name, last)
			if v := lookup(scope, name); v == nil || v == false {
				b.WriteString(part)
			}
			text = after
		default:
			name, asJSON := strings.CutSuffix(tag, "|json")
			b.WriteString(format(lookup(scope, name), asJSON))
		}
	}
}

func lookup(scope []any, name string) any {
	if name == "." {
		return scope[len(scope)-1]
	}
	parts := strings.Split(name, ".")
	for i := len(scope) - 1; i >= 0; i-- {
		value, found := scope[i], true
		for _, p := range parts {
			switch v := value.(type) {
			case map[string]any:
				value, found = v[p], v[p] != nil
			case []any:
				var n int
				if _, err := fmt.Sscan(p, &n); err != nil || n >= len(v) {
					found = false
				} else {
					value = v[n]
				}
			default:
				found = false
			}
			if !found {
				break
			}
		}
		if found {
			return value
		}
	}
	return nil
}

func format(value any, asJSON bool) string {
	if asJSON {
		raw, _ := json.Marshal(value)
		return string(raw)
	}
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case []any:
		parts := make([]string, 0, len(v))
		for _, entry := range v {
			parts = append(parts, format(entry, false))
		}
		return strings.Join(parts, ",")
	case map[string]any:
		return format(v, true)
	default:
		return fmt.Sprint(v)
	}
}
