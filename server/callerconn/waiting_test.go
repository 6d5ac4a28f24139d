package callerconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/server/callerconn"
	"clementinetray/server/clock"
)

var _ = Describe("a client that may have given its request up", func() {
	const (
		request       = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
		shortPatience = 400 * time.Millisecond
	)
	var (
		patience time.Duration
		address  string
		stalls   *clock.Stalls
		// work is how long the handler takes before it asks whether the client waits; results has its findings.
		work    time.Duration
		results chan error
	)
	BeforeEach(func() {
		patience, work, results = shortPatience, 0, make(chan error, 10)
		stalls = clock.NewStalls()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(work)
			results <- callerconn.CheckWaiting(callerconn.WithPatience(context.WithoutCancel(r.Context()), patience))
		})}
		limits := func() callerconn.Limits {
			return callerconn.Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
		}
		bounded := callerconn.NewGuard(callerconn.Config{Stalls: stalls}).Protect(server, l, "operators", limits)
		go func() { _ = server.Serve(bounded) }()
		DeferCleanup(server.Close)
	})
	watchStalls := func() {
		ctx, cancel := context.WithCancel(context.Background())
		go stalls.Run(ctx)
		DeferCleanup(cancel)
	}
	dial := func() net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	send := func(c net.Conn) {
		GinkgoHelper()
		_, err := io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
	}

	// Guards against requests that are refused although their client waits.
	It("waits after a new connection and after the answer on one", func() {
		watchStalls()
		patience = 10 * time.Second
		c := dial()
		in := bufio.NewReader(c)
		for range 3 {
			send(c)
			answer, err := http.ReadResponse(in, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Body.Close()).To(Succeed())
			Expect(<-results).NotTo(HaveOccurred())
		}
	})
	// Guards against a request whose bytes were held up by a cut, while the end of its connection still is.
	It("may have given up a request that comes late on its connection", func() {
		watchStalls()
		c := dial()
		time.Sleep(patience)
		send(c)
		Expect(callerconn.ErrGone.Has(<-results)).To(BeTrue())
	})
	// Guards against a request that is served too late by a busy process.
	It("may have given up a request that is served for too long", func() {
		watchStalls()
		work = patience
		send(dial())
		Expect(callerconn.ErrGone.Has(<-results)).To(BeTrue())
	})
	// Guards against a request that is taken although its client has left before its patience ended.
	It("has given up a request whose connection it has closed", func() {
		watchStalls()
		work = patience / 2
		c := dial()
		send(c)
		Expect(c.Close()).To(Succeed())
		Expect(<-results).To(MatchError(ContainSubstring("closed the connection")))
	})
	// Guards against a request that the kernel had accepted before the process was stopped, and whose connection counts as new.
	It("may have given up a request that came in while the process stood still", func() {
		time.Sleep(patience) // The process is not observed meanwhile, as if it stood still.
		send(dial())
		Expect(callerconn.ErrGone.Has(<-results)).To(BeTrue())
	})
	It("waits as long as its context says if nothing is known of the connection", func() {
		Expect(callerconn.CheckWaiting(context.Background())).To(Succeed())
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(callerconn.ErrGone.Has(callerconn.CheckWaiting(ended))).To(BeTrue())
	})
})
