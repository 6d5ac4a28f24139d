package target_test

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"clementinetray/server/target"
)

// Guards against a request that gets the route of another path than its backend server sees, and against a refusal of a sound path.
func TestParse(t *testing.T) {
	long := "/orders/" + strings.Repeat("a/", 8<<10)
	cases := []struct{ raw, routePath string }{
		{"/orders/lamp-7", "/orders/lamp-7"},
		{"/orders/draft%2F7", "/orders/draft%2F7"},
		{"/orders/draft%2f7", "/orders/draft%2f7"},
		{"/orders/draft/7?next=/orders/x%2Fy", "/orders/draft/7"},
		{"/orders/?", "/orders/"},
		{"/orders//7", "/orders//7"},
		{"//orders/7", "//orders/7"},
		{"//orders/a%2Fb", "//orders/a%2Fb"},
		{"/", "/"},
		{"/%6Frders/%7e", "/orders/~"},
		{"/caf%C3%A9/7", "/caf\xc3\xa9/7"},
		{"/caf\xc3\xa9/7", "/caf\xc3\xa9/7"},
		{"/orders/a|b{c}", "/orders/a|b{c}"},
		{"/orders/a%7Cb", "/orders/a%7Cb"},
		{"/orders/a%25b", "/orders/a%25b"},
		{"/orders/a%252Fb", "/orders/a%252Fb"},
		{"/orders/a%3Fb", "/orders/a%3Fb"},
		{"/orders/a#b", "/orders/a#b"},
		{"/orders/a;b=1,c", "/orders/a;b=1,c"},
		{"/orders/...", "/orders/..."},
		{"/orders/.hidden", "/orders/.hidden"},
		{"/orders/7?a=..&b=../x", "/orders/7"},
		{long, long},
		{"", ""},
		{"*", ""},
		{"orders/7", ""},
		{"http://other/orders/7", ""},
		{"/orders/../drafts/7", ""},
		{"/orders/..", ""},
		{"/orders/./7", ""},
		{"/orders/%2E%2E/drafts/7", ""},
		{"/orders/%2e./drafts/7", ""},
		{"/orders/..%2Fdrafts/7", ""},
		{"/orders/%2e%2e%2fdrafts/7", ""},
		{`/orders/..\drafts`, ""},
		{"/orders/..%5cdrafts", ""},
		{"/orders/a%", ""},
		{"/orders/a%2", ""},
		{"/orders/a%zz", ""},
		{"//orders/a|b", ""},
	}
	for _, c := range cases {
		got, err := target.Parse(c.raw)
		if c.routePath == "" {
			if !target.ErrInvalid.Has(err) {
				t.Errorf("%q: %v, want an error", c.raw, err)
			}
			continue
		}
		if err != nil || got.RoutePath() != c.routePath || got.String() != c.raw {
			t.Errorf("%q: route by %q, sent as %q, %v; want %q", c.raw, got.RoutePath(), got.String(), err, c.routePath)
		}
	}
}

// Guards against a target that reaches the backend server changed, and against a look-up by another path than the one that is sent.
func FuzzParse(f *testing.F) {
	for _, raw := range []string{"/orders/draft%2F7?x=1", "//a", "/%2e%2e/", "/a|b", "/\xff", "/?", "/%6f%2F%41", "*", "/a#b?c#d", "//a|b"} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		got, err := target.Parse(raw)
		if err != nil {
			return
		}
		var sent bytes.Buffer
		r := &http.Request{Method: http.MethodPost, URL: got.URL("10.0.0.1:80"), Host: "host", Header: http.Header{}}
		if r.Write(&sent) != nil {
			// net/http refuses control characters.
			return
		}
		line, err := bufio.NewReader(&sent).ReadString('\n')
		if err != nil || line != "POST "+raw+" HTTP/1.1\r\n" {
			t.Fatalf("%q is sent as %q", raw, line)
		}
		path, _, _ := strings.Cut(raw, "?")
		// The look-up sees as many segments as are sent, none of which leads elsewhere.
		if strings.Count(got.RoutePath(), "/") != strings.Count(path, "/") || strings.Contains("/"+strings.ReplaceAll(path, "%2F", "/")+"/", "/../") {
			t.Fatalf("%q is looked up as %q", raw, got.RoutePath())
		}
		again, err := target.Parse(got.RoutePath())
		if err == nil && again.RoutePath() != got.RoutePath() {
			t.Fatalf("%q: %q is looked up as %q", raw, got.RoutePath(), again.RoutePath())
		}
	})
}
