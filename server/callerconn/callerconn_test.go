package callerconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/server/callerconn"
)

func TestCallerConn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callerconn")
}

var _ = Describe("connections of callers", func() {
	var (
		limits  atomic.Pointer[callerconn.Limits]
		address string
	)
	BeforeEach(func() {
		limits.Store(&callerconn.Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 300 * time.Millisecond})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(600 * time.Millisecond)
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			_, _ = w.Write(body)
		})}
		bounded := callerconn.NewGuard(callerconn.Config{}).Protect(server, l, "callers", func() callerconn.Limits { return *limits.Load() })
		go func() { _ = server.Serve(bounded) }()
		DeferCleanup(server.Close)
	})
	dial := func() net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	// closedAfter returns how long the connection stayed open and what the server sent meanwhile.
	closedAfter := func(c net.Conn) (time.Duration, string) {
		GinkgoHelper()
		started := time.Now()
		Expect(c.SetReadDeadline(started.Add(3 * time.Second))).To(Succeed())
		rest, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		return time.Since(started), string(rest)
	}
	sendRequest := func(c net.Conn, in *bufio.Reader, request string) string {
		GinkgoHelper()
		_, err := io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		answer, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		return string(body)
	}
	const shortRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

	// Guards against callers that occupy slots by sending a header byte by byte.
	It("closes a connection whose header takes too long", func() {
		c := dial()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHo")
		Expect(err).NotTo(HaveOccurred())
		after, answer := closedAfter(c)
		Expect(after).To(BeNumerically("~", 200*time.Millisecond, 150*time.Millisecond))
		Expect(answer).To(HavePrefix("HTTP/1.1 400 "))
	})

	It("closes an idle connection, before and after a request", func() {
		fresh, used := dial(), dial()
		sendRequest(used, bufio.NewReader(used), shortRequest)
		for _, c := range []net.Conn{fresh, used} {
			started := time.Now()
			_, answer := closedAfter(c)
			Expect(time.Since(started)).To(BeNumerically("<", 450*time.Millisecond))
			Expect(answer).To(BeEmpty())
		}
	})

	// Guards against a header or idle timeout that ends a request while it is served.
	It("does not limit the time to serve a request or to send its body", func() {
		c := dial()
		in := bufio.NewReader(c)
		sendRequest(c, in, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		Expect(sendRequest(c, in, "cd")).To(Equal("abcd"))
		Expect(sendRequest(c, in, shortRequest)).To(BeEmpty())
	})

	// Guards against closing a connection by an earlier limit although the current one is longer.
	It("applies changed limits from the next wait on, also to open connections", func() {
		c := dial()
		in := bufio.NewReader(c)
		limits.Store(&callerconn.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second})
		sendRequest(c, in, shortRequest)
		time.Sleep(500 * time.Millisecond)
		sendRequest(c, in, shortRequest)
		after, _ := closedAfter(c)
		Expect(after).To(BeNumerically("~", time.Second, 300*time.Millisecond))
	})
})
