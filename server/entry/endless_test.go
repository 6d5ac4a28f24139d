package entry_test

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/entry"
)

// endlessServer is a backend server that answers each request with a beginning and then with the same bytes until the caller
// closes the connection.
type endlessServer struct {
	listener net.Listener
	// written is the number of bytes of all answers, closed the number of connections that the caller closed.
	written, closed atomic.Int64
}

func newEndlessServer(begin, repeat string) *endlessServer {
	s := &endlessServer{listener: must(net.Listen("tcp", "127.0.0.1:0"))}
	chunk := []byte(strings.Repeat(repeat, 1+(16<<10)/len(repeat)))
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = conn.Write([]byte(strings.ReplaceAll(begin, "ID", r.Header.Get("X-Attempt-Id"))))
				for {
					n, err := conn.Write(chunk)
					s.written.Add(int64(n))
					if err != nil {
						s.closed.Add(1)
						return
					}
				}
			}()
		}
	}()
	DeferCleanup(s.listener.Close)
	return s
}

func (s *endlessServer) row(id string) *control.BackendServer {
	return &control.BackendServer{
		Announcement: control.Announcement{
			ID: id, Address: s.listener.Addr().String(), Boot: id, AvailabilityZone: "a", Capacity: 100, Service: "orders",
			SoftwareVersion: "v1", StatesCold: true,
		},
		Phase: control.PhaseInService,
	}
}

// peakHeap runs work and returns the largest heap in use meanwhile, in bytes, above that before it.
func peakHeap(work func()) int64 {
	read := func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapInuse)
	}
	runtime.GC()
	before, peak := read(), int64(0)
	done := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
				peak = max(peak, read()-before)
			}
		}
	})
	work()
	close(done)
	sampling.Wait()
	return peak
}

var _ = Describe("a backend server that sends bytes without end", func() {
	const (
		answerBuffer = 16 << 20
		requests     = 40
	)
	idempotent := catalogue.Route{Kind: catalogue.KindIdempotent, MaxAttempts: 3, TimeLimitMillis: 8000}
	resumable := catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 3, TimeLimitMillis: 8000}

	// Guards against an entry instance that runs out of memory, or keeps its callers waiting until their time is over.
	DescribeTable("is left for another one, within bounded memory",
		func(route catalogue.Route, begin, repeat string) {
			endless := newEndlessServer(begin, repeat)
			s := newHarness(func(c *entry.Config) {
				c.RoutedRetryRatio, c.RoutedRetrySlack, c.AnswerBuffer = 1, 100, answerBuffer
			})
			s.setRoute(route)
			well := newBackend("well", streamEvents(6, nil))
			s.addServers("v1", well)
			s.setServers(catalogue.VersionRef{}, append(s.table.ByService["orders"], endless.row("endless"))...)
			var answered atomic.Int64
			peak := peakHeap(func() {
				var callers sync.WaitGroup
				for range requests {
					callers.Go(func() {
						defer GinkgoRecover()
						if send(s.request("POST", "/r/x", "body")).status == http.StatusOK {
							answered.Add(1)
						}
					})
				}
				callers.Wait()
			})
			Expect(endless.written.Load()).To(BeNumerically(">", 0), "no request reached the endless backend server")
			Expect(answered.Load()).To(BeEquivalentTo(requests))
			// The buffer, and 1 MiB for each caller's connection, goroutine and header.
			Expect(peak).To(BeNumerically("<", answerBuffer+requests<<20))
			Eventually(func() bool { return endless.closed.Load() > 0 }, 2*time.Second).Should(BeTrue())
		},
		Entry("in the head", idempotent, "HTTP/1.1 200 OK\r\n", "X-More: and more and more\r\n"),
		Entry("in one line of the head", idempotent, "HTTP/1.1 200 OK\r\nX-More: ", "and more "),
		Entry("in place of a head", idempotent, "", "no protocol at all "),
		Entry("in interim answers", idempotent, "", "HTTP/1.1 103 Early Hints\r\nX-More: and more\r\n\r\n"),
		Entry("in a body without a length", idempotent, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\n", "and more "),
		Entry("in a body in chunks", idempotent, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "9\r\nand more \r\n"),
		Entry("in a failure", idempotent, "HTTP/1.1 500 Oh\r\nX-Attempt-Id: ID\r\n\r\n", "and more "),
		Entry("in the first event of a stream", resumable, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "and more "),
		Entry("in the lines of one event", resumable, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n", "data: and more\n"),
	)

	// Guards against the same by the paths of the product's own interface.
	DescribeTable("is left for another one by chat completions, too",
		func(body, begin, repeat string, well http.HandlerFunc) {
			endless := newEndlessServer(begin, repeat)
			s := newHarness(func(c *entry.Config) { c.AnswerBuffer = answerBuffer })
			row := endless.row("endless")
			row.Service, row.StatesCold = "", false
			s.setServers(v1, row, serverRow(newBackend("well", well)))
			var answered atomic.Int64
			peak := peakHeap(func() {
				var callers sync.WaitGroup
				for range requests {
					callers.Go(func() {
						defer GinkgoRecover()
						if s.chat(body).status == http.StatusOK {
							answered.Add(1)
						}
					})
				}
				callers.Wait()
			})
			Expect(endless.written.Load()).To(BeNumerically(">", 0), "no request reached the endless backend server")
			Expect(answered.Load()).To(BeEquivalentTo(requests))
			Expect(peak).To(BeNumerically("<", answerBuffer+requests<<20))
		},
		Entry("in a whole answer", chat, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: application/json\r\n\r\n", "and more ", completion("well")),
		Entry("in one line of a stream", chatStream, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "and more ", stream(nil, "well")),
		Entry("in lines without events", chatStream, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n", ": and more\n", stream(nil, "well")),
	)
})
