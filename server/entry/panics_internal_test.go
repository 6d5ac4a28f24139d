package entry

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/problem"
)

var _ = Describe("a panic", func() {
	serve := func(next http.HandlerFunc) *httptest.Server {
		h := &Handler{metrics: testMetrics(), cfg: Config{Log: slog.New(slog.DiscardHandler)}}
		server := httptest.NewServer(h.recoverPanics(next))
		DeferCleanup(server.Close)
		return server
	}

	It("before the answer has begun is answered without the headers that were set (guards against a refusal that bears a backend server's headers)", func() {
		server := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Of-Server", "yes")
			w.Header().Set("Content-Length", "3")
			w.WriteHeader(20)
		})
		answer, err := http.Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = answer.Body.Close() }()
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusInternalServerError))
		Expect(answer.Header).NotTo(HaveKey("X-Of-Server"))
		Expect(answer.Header.Get("Content-Type")).To(Equal(problem.ContentType))
		Expect(string(body)).To(ContainSubstring(string(problem.Internal)))
	})

	DescribeTable("after the answer has begun breaks its connection (guards against a refusal that is appended to an answer)",
		func(begin func(w http.ResponseWriter)) {
			server := serve(func(w http.ResponseWriter, _ *http.Request) {
				begin(w)
				panic("in the middle")
			})
			answer, err := http.Get(server.URL)
			if err != nil {
				return
			}
			defer func() { _ = answer.Body.Close() }()
			body, err := io.ReadAll(answer.Body)
			Expect(err).To(HaveOccurred(), "%q", body)
			Expect(string(body)).NotTo(ContainSubstring(string(problem.Internal)))
		},
		Entry("with a status", func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }),
		Entry("with a part of the body", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "half") }),
		Entry("with an event that was flushed", func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "half")
			Expect(http.NewResponseController(w).Flush()).To(Succeed())
		}),
		Entry("with a flush alone", func(w http.ResponseWriter) { Expect(http.NewResponseController(w).Flush()).To(Succeed()) }),
	)

	It("is not needed for the connection of a body that is too large to end (guards against a limit that has no effect below the handler)", func() {
		server := serve(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(http.MaxBytesReader(serverWriter(w), r.Body, 1))
			Expect(err).To(HaveOccurred())
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		})
		answer, err := http.Post(server.URL, "text/plain", strings.NewReader("two"))
		Expect(err).NotTo(HaveOccurred())
		_ = answer.Body.Close()
		Expect(answer.Close).To(BeTrue())
	})
})
