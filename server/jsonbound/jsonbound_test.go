package jsonbound_test

import (
	"encoding/json"
	"strings"
	"testing"

	"clementinetray/server/jsonbound"
)

func TestCheck(t *testing.T) {
	limits := jsonbound.Limits{Values: 10, Depth: 3}
	for _, c := range []struct {
		name, text string
		over       bool
	}{
		{"a scalar", `1`, false},
		{"nothing", ``, false},
		{"structure inside of a string", `{"a":"[[[[[[,,,,,,,,,,,,,\"{{{{"}`, false},
		{"as many values as allowed", `[1,2,3,4,5,6,7,8,9]`, false},
		{"one value more", `[1,2,3,4,5,6,7,8,9,10]`, true},
		{"as deep as allowed", `[[[]]]`, false},
		{"one level more", `[[[[]]]]`, true},
		{"depth without an end", strings.Repeat("[", 4), true},
		{"unbalanced ends before a deep list", `]]]]` + strings.Repeat("[", 7), false},
		{"fields of an object", `{` + strings.Repeat(`"a":0,`, 20) + `"b":0}`, true},
	} {
		if _, err := jsonbound.Check([]byte(c.text), limits); (err != nil) != c.over {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
}

// Guards against text whose values are counted too low, so that its decoded form is over the bound.
func FuzzCheck(f *testing.F) {
	f.Add(`{"model":"a","messages":[{"role":"u","content":"a\"b"}]}`)
	f.Add(`[[[],{}],"\\",1e5,null]`)
	f.Fuzz(func(t *testing.T, text string) {
		var decoded any
		counted, err := jsonbound.Check([]byte(text), jsonbound.Limits{})
		if err != nil {
			t.Fatalf("an error without limits: %v", err)
		}
		if json.Unmarshal([]byte(text), &decoded) != nil {
			return
		}
		if n := countValues(decoded); n > counted {
			t.Fatalf("%d values, counted %d", n, counted)
		}
	})
}

func countValues(v any) int {
	n := 1
	switch v := v.(type) {
	case []any:
		for _, item := range v {
			n += countValues(item)
		}
	case map[string]any:
		for _, item := range v {
			n += countValues(item)
		}
	}
	return n
}
