// Package target reads the target of a request as it was sent: what of it selects a route, and how it is sent on unchanged.
//
// net/url decodes the path and encodes it anew, so that an encoded slash selects the route of another path than the one that the backend
// server gets, and bytes that a URL may not hold arrive changed.
package target

import (
	"net/url"
	"strings"

	"github.com/zeebo/errs"
)

// ErrInvalid is the class of errors of targets that are not sent on.
var ErrInvalid = errs.Class("request target")

// Target is the target of a request in origin form: a path and a query.
type Target struct {
	// raw is the target as it was sent.
	raw string
	// routePath is the path with those characters decoded whose encoding changes nothing (RFC 3986, section 6.2.2.2).
	routePath string
}

// Parse reads a request target. The error, of class ErrInvalid, says why it is not sent on:
//
//   - It is not in origin form, or a percent sign is not followed by two digits.
//   - It has a segment "." or "..", also with encoded dots or slashes. A backend server may take it for a path below another prefix,
//     whose route has another service or needs a key.
//   - It can't be sent unchanged.
func Parse(raw string) (Target, error) {
	if !strings.HasPrefix(raw, "/") {
		return Target{}, ErrInvalid.New("is not a path")
	}
	path, _, _ := strings.Cut(raw, "?")
	t := Target{raw: raw}
	var err error
	if t.routePath, err = normalizePath(path); err != nil {
		return Target{}, err
	}
	if hasDotSegment(t.routePath) {
		return Target{}, ErrInvalid.New("has a dot segment")
	}
	if t.URL("host").RequestURI() != raw {
		return Target{}, ErrInvalid.New("can't be sent unchanged")
	}
	return t, nil
}

// MustParse is Parse for a constant. It panics if the target is invalid.
func MustParse(raw string) Target {
	t, err := Parse(raw)
	if err != nil {
		panic(err)
	}
	return t
}

// RoutePath returns the path that selects the route. An encoded slash in it stays encoded: it does not end a segment.
func (t Target) RoutePath() string { return t.routePath }

// String returns the target as it was sent.
func (t Target) String() string { return t.raw }

// URL returns a URL with which net/http sends the target unchanged to host.
func (t Target) URL(host string) *url.URL {
	path, query, hasQuery := strings.Cut(t.raw, "?")
	u := &url.URL{Scheme: "http", Host: host, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if strings.HasPrefix(path, "//") {
		// net/http takes an opaque path with two slashes for a host.
		decoded, err := url.PathUnescape(path)
		if err != nil {
			return u
		}
		u.Opaque, u.Path, u.RawPath = "", decoded, path
	}
	return u
}

// normalizePath decodes the percent-encoded characters of a path that mean the same decoded.
func normalizePath(path string) (string, error) {
	if !strings.Contains(path, "%") {
		return path, nil
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			out.WriteByte(path[i])
			continue
		}
		if i+2 >= len(path) {
			return "", ErrInvalid.New("ends in an incomplete percent-encoding")
		}
		high, low := fromHex(path[i+1]), fromHex(path[i+2])
		if high < 0 || low < 0 {
			return "", ErrInvalid.New("has a percent sign without two digits")
		}
		if c := byte(high<<4 | low); meansSameDecoded(c) {
			out.WriteByte(c)
		} else {
			out.WriteString(path[i : i+3])
		}
		i += 2
	}
	return out.String(), nil
}

// meansSameDecoded reports whether a percent-encoded character means the same decoded: the unreserved ones, and the bytes of characters beyond ASCII, which
// may stand in a path only encoded.
func meansSameDecoded(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0 || c >= 0x80
}

func fromHex(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// hasDotSegment reports whether a path has a segment "." or "..", where an encoded slash or a backslash ends a segment as well, as some
// servers have it.
func hasDotSegment(path string) bool {
	path = strings.NewReplacer("%2F", "/", "%2f", "/", "%5C", "/", "%5c", "/", `\`, "/").Replace(path)
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
