package catalogue_test

import (
	"testing"

	"clementinetray/api/catalogue"
)

func routed(routes ...catalogue.Route) *catalogue.Catalogue {
	return &catalogue.Catalogue{
		Services: []catalogue.Service{{Name: "pool"}, {Name: "desk"}},
		Routes:   routes,
	}
}

func route(name, host, prefix string) catalogue.Route {
	return catalogue.Route{
		Name: name, Host: host, PathPrefix: prefix, Kind: catalogue.KindIdempotent, TimeLimitMillis: 1000,
		Targets: []catalogue.Target{{Service: "pool", Weight: 1}},
	}
}

// Guards against a request that runs on the service of another route.
func TestFindRoute(t *testing.T) {
	c := routed(route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/"))
	cases := []struct{ desc, host, path, want string }{
		{"the longest prefix decides", "a.example", "/x/y/z", "long"},
		{"a prefix that the path only resembles does not match", "a.example", "/x/yz", "short"},
		{"the port of the host is not looked at", "b.example:8080", "/x/1", "other"},
		{"the case of the host is not looked at", "B.Example", "/x/1", "other"},
		{"another host has no route", "c.example", "/x/1", ""},
		{"the prefix without its slash has no route", "a.example", "/x", ""},
	}
	for _, c2 := range cases {
		t.Run(c2.desc, func(t *testing.T) {
			got := ""
			if r := c.FindRoute(c2.host, c2.path); r != nil {
				got = r.Name
			}
			if got != c2.want {
				t.Errorf("route %q, want %q", got, c2.want)
			}
		})
	}
}

// Guards against a catalogue in force whose routes lead nowhere or to two places.
func TestRoutesAreValidated(t *testing.T) {
	change := func(f func(*catalogue.Route)) *catalogue.Catalogue {
		r := route("r", "a.example", "/x/")
		f(&r)
		return routed(r)
	}
	cases := []struct {
		desc  string
		c     *catalogue.Catalogue
		valid bool
	}{
		{"a whole route", change(func(*catalogue.Route) {}), true},
		{"an unknown service", change(func(r *catalogue.Route) { r.Targets[0].Service = "none" }), false},
		{"weights that add up to 0", change(func(r *catalogue.Route) { r.Targets[0].Weight = 0 }), false},
		{"a negative weight beside a positive one", change(func(r *catalogue.Route) {
			r.Targets = []catalogue.Target{{Service: "pool", Weight: -1}, {Service: "desk", Weight: 5}}
		}), false},
		{"no target", change(func(r *catalogue.Route) { r.Targets = nil }), false},
		{"a time limit of 0", change(func(r *catalogue.Route) { r.TimeLimitMillis = 0 }), false},
		{"a prefix without slashes", change(func(r *catalogue.Route) { r.PathPrefix = "x" }), false},
		{"an unknown kind", change(func(r *catalogue.Route) { r.Kind = "often" }), false},
		{"no host", change(func(r *catalogue.Route) { r.Host = "" }), false},
		{"two routes at one place", routed(route("a", "a.example", "/x/"), route("b", "A.example", "/x/")), false},
		{"two routes with nested prefixes", routed(route("a", "a.example", "/x/"), route("b", "a.example", "/x/y/")), true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			if faults := catalogue.Validate(c.c); (len(faults) == 0) != c.valid {
				t.Errorf("faults %v, want valid %t", faults, c.valid)
			}
		})
	}
}

// Guards against a repetition of what may run once only.
func TestRepeatable(t *testing.T) {
	cases := []struct {
		kind      catalogue.RouteKind
		resumable bool
		want      bool
	}{
		{catalogue.KindIdempotent, false, true},
		{catalogue.KindOnce, false, false},
		{catalogue.KindOnce, true, false},
		{catalogue.KindStream, false, false},
		{catalogue.KindStream, true, true},
	}
	for _, c := range cases {
		if got := (&catalogue.Route{Kind: c.kind, Resumable: c.resumable}).Repeatable(); got != c.want {
			t.Errorf("%s, resumable %t: repeatable %t", c.kind, c.resumable, got)
		}
	}
}
