package entry

import (
	"testing"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/target"
)

// Guards against a request that is not suspected because another version or model has answered it, and against an answer that does not
// count for the same request.
func TestAnswerHash(t *testing.T) {
	newRequest := func(change func(*routedCall)) *request {
		call := &routedCall{method: "POST", target: target.MustParse("/r/x"), model: "small", body: []byte("body"), route: &catalogue.Route{}}
		if change != nil {
			change(call)
		}
		return &request{routed: call}
	}
	server := func(version string) *control.BackendServer {
		return &control.BackendServer{Announcement: control.Announcement{ID: "b" + version, SoftwareVersion: version}}
	}
	first := newRequest(nil).answerHash(server("v1"))
	if again := newRequest(nil).answerHash(server("v1")); again != first {
		t.Error("the same request has another hash")
	}
	for desc, other := range map[string]uint64{
		"another version": newRequest(nil).answerHash(server("v2")),
		"another model":   newRequest(func(c *routedCall) { c.model = "large" }).answerHash(server("v1")),
		"another body":    newRequest(func(c *routedCall) { c.body = []byte("other") }).answerHash(server("v1")),
		"another path":    newRequest(func(c *routedCall) { c.target = target.MustParse("/r/y") }).answerHash(server("v1")),
	} {
		if other == first {
			t.Errorf("%s has the same hash", desc)
		}
	}
}

// Guards against answers that are forgotten all at once, that count for good, or that take unbounded memory.
func TestAnsweredSet(t *testing.T) {
	start := time.Now()
	s := newAnsweredSet(start)
	s.add(1, start)
	for after, want := range map[time.Duration]bool{0: true, answeredRetention/2 - time.Second: true} {
		if got := s.has(1, start.Add(after)); got != want {
			t.Errorf("known %t after %s, want %t", got, after, want)
		}
	}
	if !s.has(1, start.Add(answeredRetention/2)) {
		t.Error("forgotten with the first generation")
	}
	if s.has(1, start.Add(answeredRetention)) {
		t.Error("known after the retention")
	}
	s = newAnsweredSet(start)
	for request := range uint64(5 * maxAnswered) {
		s.add(request, start)
		if held := len(s.current) + len(s.older); held > maxAnswered {
			t.Fatalf("%d requests are held", held)
		}
		if request > maxAnswered/2 && !s.has(request-maxAnswered/2+1, start) {
			t.Fatalf("request %d of the last %d is forgotten", request, maxAnswered/2)
		}
	}
}
