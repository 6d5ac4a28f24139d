package catalogue_test

import (
	"testing"

	"clementinetray/api/catalogue"
)

func withRoutes(routes ...catalogue.Route) *catalogue.Catalogue {
	return &catalogue.Catalogue{
		Services: []catalogue.Service{{Name: "pool"}, {Name: "desk"}},
		Routes:   routes,
	}
}

func newRoute(name, host, prefix string) catalogue.Route {
	return catalogue.Route{
		Name: name, Host: host, PathPrefix: prefix, Kind: catalogue.KindIdempotent, TimeLimitMillis: 1000,
		Targets: []catalogue.Target{{Service: "pool", Weight: 1}},
	}
}

// Guards against a request that is sent to the service of another route.
func TestFindRoute(t *testing.T) {
	c := withRoutes(newRoute("short", "a.example", "/x/"), newRoute("long", "a.example", "/x/y/"), newRoute("other", "b.example", "/x/"))
	cases := []struct{ desc, host, path, want string }{
		{"the longest matching prefix is used", "a.example", "/x/y/z", "long"},
		{"a prefix matches only whole segments of the path", "a.example", "/x/yz", "short"},
		{"the port of the host is ignored", "b.example:8080", "/x/1", "other"},
		{"the case of the host is ignored", "B.Example", "/x/1", "other"},
		{"another host has no route", "c.example", "/x/1", ""},
		{"the prefix without its slash has no route", "a.example", "/x", ""},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			got := ""
			if r := c.FindRoute(tc.host, tc.path); r != nil {
				got = r.Name
			}
			if got != tc.want {
				t.Errorf("route %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against accepting a catalogue with a route that can't be used, or with two routes for the same host and prefix.
func TestRoutesAreValidated(t *testing.T) {
	change := func(f func(*catalogue.Route)) *catalogue.Catalogue {
		r := newRoute("r", "a.example", "/x/")
		f(&r)
		return withRoutes(r)
	}
	cases := []struct {
		desc  string
		c     *catalogue.Catalogue
		valid bool
	}{
		{"a valid route", change(func(*catalogue.Route) {}), true},
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
		{"two routes with the same host and prefix", withRoutes(newRoute("a", "a.example", "/x/"), newRoute("b", "A.example", "/x/")), false},
		{"two routes with nested prefixes", withRoutes(newRoute("a", "a.example", "/x/"), newRoute("b", "a.example", "/x/y/")), true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			if faults := catalogue.Validate(c.c); (len(faults) == 0) != c.valid {
				t.Errorf("faults %v, want valid %t", faults, c.valid)
			}
		})
	}
}

// Guards against sending a request a second time that must run at most once.
func TestRepeatable(t *testing.T) {
	cases := []struct {
		kind      catalogue.RouteKind
		resumable bool
		want      bool
	}{
		{catalogue.KindIdempotent, false, true},
		{catalogue.KindNonIdempotent, false, false},
		{catalogue.KindNonIdempotent, true, false},
		{catalogue.KindStream, false, false},
		{catalogue.KindStream, true, true},
	}
	for _, c := range cases {
		if got := (&catalogue.Route{Kind: c.kind, Resumable: c.resumable}).Repeatable(); got != c.want {
			t.Errorf("%s, resumable %t: repeatable %t", c.kind, c.resumable, got)
		}
	}
}
