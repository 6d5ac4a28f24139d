package flood_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"clementinetray/api/catalogue"
	"clementinetray/standin/site"
)

const (
	chatPath    = "/v1/chat/completions"
	noRoutePath = "/no/such/path"
	readyPath   = "/readyz"
	// legalBody is the largest body that the catalogue allows.
	legalBody = 4 << 20
)

// Each spec guards against a process that is killed because its memory or its descriptors are used up, or that hangs. The
// sizes of the crowds are those that show the faults of a process without limits.

var _ = Describe("a flood of headers", func() {
	for _, l := range allListeners {
		It("incomplete, of short fields, to the "+l.name+" listener", func() {
			t := startTarget()
			flood(l.address(t), crowd{size: 100, send: sendBytes(shortFields(l, false))})
			t.expectSurvival(l, callers)
		})
	}
	for _, l := range httpListeners {
		It("complete, of short fields, to the "+l.name+" listener", func() {
			t := startTarget()
			flood(l.address(t), crowd{size: 200, send: sendBytes(shortFields(l, true))})
			t.expectSurvival(l, callers)
		})
	}
	It("with one long field each, from many source addresses", func() {
		t := startTarget()
		flood(t.Callers, crowd{size: 100, manySources: true, send: sendBytes(longField(callers))})
		t.expectSurvival(callers)
	})
	It("sent in small pieces, from many source addresses", func() {
		t := startTarget()
		flood(t.Callers, crowd{size: 1500, manySources: true, send: sendSlowly(shortFields(callers, false)[:2000], 50, 20*time.Millisecond)})
		t.expectSurvival(callers)
	})
	It("that stop in the request line", func() {
		t := startTarget()
		flood(t.Callers, crowd{size: 1500, send: sendBytes([]byte("GET /v1/mod"))})
		t.expectSurvival(callers)
	})
})

var _ = Describe("a flood of idle connections", func() {
	for _, l := range allListeners {
		It("to the "+l.name+" listener", func() {
			t := startTarget()
			flood(l.address(t), crowd{size: 1500})
			t.expectSurvival(l, callers)
		})
	}
	It("from many source addresses", func() {
		t := startTarget()
		flood(t.Callers, crowd{size: 1500, manySources: true})
		t.expectSurvival(callers)
	})
})

var _ = Describe("a flood of bodies", func() {
	for _, r := range []struct{ name, path, key string }{
		{"with a valid key", chatPath, site.LargeKey}, {"without a key", chatPath, ""}, {"on a path without a route", noRoutePath, site.LargeKey}, {"on the readiness path", readyPath, ""},
	} {
		It("of legal size that stop short of their end, "+r.name, func() {
			t := startTarget()
			flood(t.Callers, crowd{size: 60, manySources: true, send: unfinishedBody(r.path, r.key, legalBody)})
			t.expectSurvival(callers)
		})
		It("of small size that stop short of their end, "+r.name, func() {
			t := startTarget()
			flood(t.Callers, crowd{size: 2000, send: unfinishedBody(r.path, r.key, 32<<10)})
			t.expectSurvival(callers)
		})
		It("far over the limit, "+r.name, func() {
			t := startTarget()
			flood(t.Callers, crowd{size: 40, send: endlessBody(r.path, r.key, 16<<20)})
			t.expectSurvival(callers)
		})
	}
	for _, l := range []listener{readiness, operators, metrics, announcements} {
		It("far over the limit, to the "+l.name+" listener", func() {
			t := startTarget()
			flood(l.address(t), crowd{size: 80, send: endlessBody(l.path, l.key, 16<<20)})
			t.expectSurvival(l, callers)
		})
	}
	It("of legal size that stop short of their end, to the operators listener", func() {
		t := startTarget()
		flood(t.Operators, crowd{size: 60, send: unfinishedBody("/v1/servers/a", site.OperatorToken, legalBody)})
		t.expectSurvival(operators, callers)
	})
})

var _ = Describe("a flood of bodies on a route of the catalogue", func() {
	const routedPath = "/routed/path"
	startRouted := func() *target {
		GinkgoHelper()
		c := floodCatalogue()
		c.Routes = []catalogue.Route{{
			Name: "all", Host: "a", PathPrefix: "/", Kind: catalogue.KindIdempotent, MaxAttempts: 1, TimeLimitMillis: 15_000,
			Targets: []catalogue.Target{{Service: "orders", Weight: 1}},
		}}
		return startTargetWith(c)
	}
	for _, r := range []struct{ name, key string }{{"with a valid key", site.LargeKey}, {"without a key", ""}} {
		It("of legal size that stop short of their end, "+r.name, func() {
			t := startRouted()
			flood(t.Callers, crowd{size: 60, send: unfinishedBody(routedPath, r.key, legalBody)})
			t.expectSurvival(callers)
		})
		It("of small size that stop short of their end, "+r.name, func() {
			t := startRouted()
			flood(t.Callers, crowd{size: 2000, manySources: true, send: unfinishedBody(routedPath, r.key, 32<<10)})
			t.expectSurvival(callers)
		})
		It("of legal size and complete, "+r.name, func() {
			t := startRouted()
			flood(t.Callers, crowd{size: 60, send: completeBody(http.MethodPost, routedPath, r.key, manyMessages(legalBody-100))})
			t.expectSurvival(callers)
		})
	}
})

var _ = Describe("a flood of JSON", func() {
	for _, kind := range []struct {
		name string
		body func() string
	}{
		{"short fields", func() string { return manyFields(`"model":"cheap"`, legalBody-100) }},
		{"messages", func() string { return manyMessages(legalBody - 100) }},
		{"nested lists", func() string { return deepNesting(legalBody - 100) }},
	} {
		It("of very many "+kind.name+" to the callers listener", func() {
			t := startTarget()
			flood(t.Callers, crowd{size: 30, send: completeBody(http.MethodPost, chatPath, site.LargeKey, kind.body())})
			t.expectSurvival(callers)
		})
		It("of very many "+kind.name+" to the operators listener", func() {
			t := startTarget()
			flood(t.Operators, crowd{size: 60, send: completeBody(http.MethodPut, "/v1/catalogue", site.OperatorToken, kind.body())})
			t.expectSurvival(operators, callers)
		})
	}
})

var _ = Describe("a flood of clients", func() {
	for _, l := range []listener{callers, operators, metrics} {
		It("that pipeline requests and read no answer, to the "+l.name+" listener", func() {
			t := startTarget()
			flood(l.address(t), crowd{size: 100, send: pipelined(l, 5000)})
			t.expectSurvival(l, callers)
		})
	}
	It("that send bodies slowly", func() {
		t := startTarget()
		text := requestHeader(http.MethodPost, chatPath, site.LargeKey, "Content-Length: 30000") + "\r\n"
		body := append([]byte(text), make([]byte, 29_000)...)
		flood(t.Callers, crowd{size: 1500, manySources: true, send: sendSlowly(body, 1000, 30*time.Millisecond)})
		t.expectSurvival(callers)
	})
	It("that read slowly", func() {
		t := startTarget()
		request := []byte(requestHeader(http.MethodGet, "/metrics", "") + "\r\n")
		flood(t.Metrics, crowd{size: 1000, manySources: true, send: func(_ int, c net.Conn) {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(2048)
			}
			_, _ = c.Write(request)
			buffer := make([]byte, 100)
			_ = c.SetReadDeadline(time.Now().Add(sendTimeout))
			for range 20 {
				if _, err := c.Read(buffer); err != nil {
					return
				}
				time.Sleep(30 * time.Millisecond)
			}
		}})
		t.expectSurvival(metrics, callers)
	})
})

var _ = Describe("all floods", func() {
	It("one after the other to one process", func() {
		t := startTarget()
		for _, l := range httpListeners {
			flood(l.address(t), crowd{size: 100, send: sendBytes(shortFields(l, false))})
			flood(l.address(t), crowd{size: 100, manySources: true, send: sendBytes(shortFields(l, true))})
		}
		for _, l := range allListeners {
			flood(l.address(t), crowd{size: 1500})
		}
		for _, path := range []string{chatPath, noRoutePath, readyPath} {
			flood(t.Callers, crowd{size: 60, send: unfinishedBody(path, "", legalBody)})
			flood(t.Callers, crowd{size: 2000, send: unfinishedBody(path, site.LargeKey, 32<<10)})
		}
		flood(t.Callers, crowd{size: 30, send: completeBody(http.MethodPost, chatPath, site.LargeKey, manyFields(`"model":"cheap"`, legalBody-100))})
		flood(t.Callers, crowd{size: 100, send: pipelined(callers, 5000)})
		t.expectSurvival(allListeners...)
	})
})
