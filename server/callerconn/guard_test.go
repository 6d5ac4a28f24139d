package callerconn_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"clementinetray/server/callerconn"
	"clementinetray/server/connlimit"
)

var _ = Describe("a guard", func() {
	var registry *prometheus.Registry
	// start serves a handler that answers the length of the body, or 401 without reading the body at /refused.
	start := func(listener string, config callerconn.Config) string {
		GinkgoHelper()
		registry = prometheus.NewRegistry()
		config.Registerer = registry
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/refused" {
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			if r.URL.Path == "/flushed" {
				w.WriteHeader(http.StatusUnauthorized)
				_ = http.NewResponseController(w).Flush()
				return
			}
			if r.URL.Path == "/value" {
				var value int
				_ = json.NewDecoder(r.Body).Decode(&value)
				_, _ = fmt.Fprint(w, value)
				return
			}
			if r.URL.Path == "/large" {
				_, _ = w.Write(make([]byte, 8<<20))
				return
			}
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			_, _ = fmt.Fprint(w, n)
		})}
		limits := func() callerconn.Limits {
			return callerconn.Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
		}
		bounded := callerconn.NewGuard(config).Protect(server, l, listener, limits)
		go func() { _ = server.Serve(bounded) }()
		DeferCleanup(server.Close)
		return l.Addr().String()
	}
	dial := func(address string) net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		return c
	}
	answer := func(in *bufio.Reader) (int, string) {
		GinkgoHelper()
		response, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, string(body)
	}
	send := func(c net.Conn, text string) {
		GinkgoHelper()
		_, err := io.WriteString(c, text)
		Expect(err).NotTo(HaveOccurred())
	}
	// limited returns how often a limit closed or refused something for the reason.
	limited := func(reason string) float64 {
		GinkgoHelper()
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		sum := 0.0
		for _, f := range families {
			for _, m := range f.GetMetric() {
				if f.GetName() == "clementinetray_client_limits_total" && hasLabel(m, reason) {
					sum += m.GetCounter().GetValue()
				}
			}
		}
		return sum
	}
	fields := func(count int) string {
		var out strings.Builder
		for i := range count {
			fmt.Fprintf(&out, "A%04d: b\r\n", i)
		}
		return out.String()
	}
	const line = "GET / HTTP/1.1\r\nHost: a\r\n"

	// Guards against limits that refuse a header which the settings allow, in one piece or slowly.
	It("serves a header of 64 KiB, also one that is sent steadily in pieces", func() {
		address := start("callers", callerconn.Config{MaxHeaderBytes: 128 << 10, MaxHeaderFields: 4096, HeaderMemory: 8 << 20})
		header := line + fields(2000) + "Long: " + strings.Repeat("x", 40<<10) + "\r\n\r\n"
		c := dial(address)
		in := bufio.NewReader(c)
		send(c, header)
		status, _ := answer(in)
		Expect(status).To(Equal(http.StatusOK))
		for rest := header; rest != ""; rest = rest[min(4000, len(rest)):] {
			send(c, rest[:min(4000, len(rest))])
			time.Sleep(5 * time.Millisecond)
		}
		status, _ = answer(in)
		Expect(status).To(Equal(http.StatusOK))
		Expect(limited("header_budget")).To(BeZero())
	})

	It("refuses a header with too many fields", func() {
		c := dial(start("callers", callerconn.Config{MaxHeaderFields: 100}))
		send(c, line+fields(200))
		status, _ := answer(bufio.NewReader(c))
		Expect(status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(limited("header_fields")).To(Equal(1.0))
	})

	// Guards against short fields, which take a multiple of their size in memory.
	It("takes the memory of fields from the budget", func() {
		c := dial(start("callers", callerconn.Config{HeaderMemory: 128 << 10}))
		send(c, line)
		_, _ = io.WriteString(c, fields(1000))
		status, _ := answer(bufio.NewReader(c))
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(limited("header_budget")).To(Equal(1.0))
	})

	// Guards against lines of a body that count as fields of the header.
	It("does not count the lines of a body that arrives with its header", func() {
		c := dial(start("callers", callerconn.Config{MaxHeaderFields: 20}))
		body := strings.Repeat("\n", 1000)
		send(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		status, text := answer(bufio.NewReader(c))
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(Equal("1000"))
	})

	// Guards against large headers of some clients that take the memory for ordinary requests, and against memory that is not given back.
	It("refuses large headers over the budget, serves ordinary ones meanwhile, and large ones afterwards", func() {
		address := start("callers", callerconn.Config{MaxHeaderBytes: 256 << 10, HeaderMemory: 128 << 10})
		large := line + "Long: " + strings.Repeat("x", 50<<10)
		first, second, ordinary := dial(address), dial(address), dial(address)
		send(first, large)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(second, large)
		status, _ := answer(bufio.NewReader(second))
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		send(ordinary, line+"\r\n")
		status, _ = answer(bufio.NewReader(ordinary))
		Expect(status).To(Equal(http.StatusOK))
		send(first, "\r\n\r\n")
		status, _ = answer(bufio.NewReader(first))
		Expect(status).To(Equal(http.StatusOK))
		// The memory is given back after the answer was sent.
		Eventually(func() int {
			third := dial(address)
			_, _ = io.WriteString(third, large+"\r\n\r\n")
			status, _ := answer(bufio.NewReader(third))
			return status
		}).WithTimeout(5 * time.Second).Should(Equal(http.StatusOK))
	})

	// Guards against a connection that holds its place with a body that never ends, and against giving up a slow but steady one.
	It("gives up a body that makes no progress, and reads one that is slow but steady", func() {
		address := start("callers", callerconn.Config{BodyProgress: 300 * time.Millisecond, MinBodyRate: 10_000})
		stopped, steady := dial(address), dial(address)
		const header = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n"
		send(stopped, header+"abc")
		send(steady, header)
		for range 40 {
			send(steady, strings.Repeat("x", 1000))
			time.Sleep(40 * time.Millisecond)
		}
		status, text := answer(bufio.NewReader(steady))
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(Equal("40000"))
		status, _ = answer(bufio.NewReader(stopped))
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(limited("slow_body")).To(Equal(1.0))
	})

	// Guards against a request whose answer waits for a body that is not needed for it.
	It("answers a refused request without its body, closes after a large rest and keeps the connection after a small body", func() {
		address := start("callers", callerconn.Config{BodyProgress: 5 * time.Second, MinBodyRate: 1})
		large, small := dial(address), dial(address)
		send(large, "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\nabc")
		in := bufio.NewReader(large)
		status, _ := answer(in)
		Expect(status).To(Equal(http.StatusUnauthorized))
		_, err := in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		// net/http alone would wait for a rest of up to 256 KiB before it answers.
		middle := dial(start("callers", callerconn.Config{}))
		send(middle, "POST /flushed HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nabc")
		status, _ = answer(bufio.NewReader(middle))
		Expect(status).To(Equal(http.StatusUnauthorized))
		inSmall := bufio.NewReader(small)
		for range 2 {
			send(small, "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
			status, _ = answer(inSmall)
			Expect(status).To(Equal(http.StatusUnauthorized))
		}
		// Later than the time in which the rest of the refused body may come.
		time.Sleep(1200 * time.Millisecond)
		send(small, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na")
		time.Sleep(50 * time.Millisecond)
		send(small, "bc")
		status, text := answer(inSmall)
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(Equal("3"))
	})

	// Guards against closing the connection of a backend server after each announcement that it sends in chunks.
	It("keeps the connection after a chunked body that was decoded", func() {
		c := dial(start("operators", callerconn.Config{BodyProgress: 5 * time.Second, MinBodyRate: 1, BodyMemory: 1 << 20}))
		in := bufio.NewReader(c)
		for range 3 {
			send(c, "POST /value HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n42\n\r\n0\r\n\r\n")
			status, text := answer(in)
			Expect(status).To(Equal(http.StatusOK))
			Expect(text).To(Equal("42"))
		}
	})

	It("closes a connection whose client reads nothing, and serves one that reads slowly", func() {
		address := start("callers", callerconn.Config{WriteProgress: 1500 * time.Millisecond, SocketBuffer: 128 << 10})
		slow := dial(address)
		stopped := dial(address)
		send(stopped, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
		send(slow, "GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		var got int
		piece := make([]byte, 64<<10)
		for {
			n, err := slow.Read(piece)
			got += n
			if err != nil {
				Expect(err).To(MatchError(io.EOF))
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		Expect(got).To(BeNumerically(">", 8<<20))
		Eventually(func() float64 { return limited("slow_reader") }).WithTimeout(10 * time.Second).Should(Equal(1.0))
	})

	// Guards against idle connections of a flood that keep ordinary callers out, and against closing connections below the limit.
	It("closes the longest waiting connection at the limit, and none below", func() {
		address := start("callers", callerconn.Config{Connections: connlimit.Limits{Total: 10, PerListener: 10, Guaranteed: 1}})
		var idle []net.Conn
		for range 10 {
			c := dial(address)
			send(c, line+"\r\n")
			status, _ := answer(bufio.NewReader(c))
			Expect(status).To(Equal(http.StatusOK))
			idle = append(idle, c)
		}
		Expect(limited("evicted")).To(BeZero())
		ordinary := dial(address)
		send(ordinary, line+"\r\n")
		status, _ := answer(bufio.NewReader(ordinary))
		Expect(status).To(Equal(http.StatusOK))
		Expect(limited("evicted")).To(Equal(1.0))
		closed := 0
		for _, c := range idle {
			Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				closed++
				continue
			}
			Expect(c.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
			send(c, line+"\r\n")
			status, _ = answer(bufio.NewReader(c))
			Expect(status).To(Equal(http.StatusOK))
		}
		Expect(closed).To(Equal(1))
	})

	// Guards against the bodies of operators that together take the memory of the process.
	It("bounds the bodies of a listener without a bound of its own", func() {
		address := start("operators", callerconn.Config{BodyMemory: 1 << 20})
		first, second := dial(address), dial(address)
		header := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
		send(first, header+strings.Repeat("x", 190_000))
		time.Sleep(100 * time.Millisecond)
		send(second, header)
		_, _ = second.Write(bytes.Repeat([]byte("x"), 190_000))
		status, _ := answer(bufio.NewReader(second))
		Expect(status).To(Equal(http.StatusBadRequest))
		send(first, strings.Repeat("x", 10_000))
		status, text := answer(bufio.NewReader(first))
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(Equal("200000"))
		Expect(limited("body_budget")).To(Equal(1.0))
	})
})

func hasLabel(m *dto.Metric, value string) bool {
	for _, label := range m.GetLabel() {
		if label.GetValue() == value {
			return true
		}
	}
	return false
}
