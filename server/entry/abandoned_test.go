package entry_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"clementinetray/api/catalogue"
)

var _ = Describe("a request that was given up while its backend server was cut off", func() {
	// Guards against a request that the kernel delivers after the cut, when its caller has left or another backend server has answered it.
	DescribeTable("does not reach the server afterwards",
		func(callerWaits time.Duration, wantAnswer bool) {
			var reached atomic.Int64
			from := make(chan string, 10)
			server := newBackend("b1", func(w http.ResponseWriter, r *http.Request) {
				reached.Add(1)
				from <- r.RemoteAddr
				respond(http.StatusOK, "well")(w, r)
			})
			s := newRoutedHarness(catalogue.Route{Kind: catalogue.KindIdempotent, TimeLimitMillis: 20_000}, server)
			Expect(send(s.request("POST", "/r/x", "first")).status).To(Equal(http.StatusOK))
			fd := findSocket(server.server.Listener.Addr().String(), <-from)
			stopResponding(fd)
			ctx, leave := context.WithTimeout(context.Background(), callerWaits)
			defer leave()
			answer, err := http.DefaultClient.Do(s.request("POST", "/r/x", "given up").WithContext(ctx))
			if wantAnswer {
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.Body.Close()).To(Succeed())
				Expect(answer.StatusCode).NotTo(Equal(http.StatusOK))
			} else {
				Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue(), "%v", err)
			}
			time.Sleep(100 * time.Millisecond)
			Expect(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)).To(Succeed())
			// The kernel sends again after 200, 600, 1400, 3000 and 6200 ms.
			Consistently(reached.Load, 2*callerWaits+time.Second).Should(BeEquivalentTo(1))
		},
		Entry("when its caller has left", 300*time.Millisecond, false),
		Entry("when the connection has timed out", 4*time.Second, true),
	)
})
