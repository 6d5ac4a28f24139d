package e2e_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/standin/engine"
	"clementinetray/standin/site"
)

// chatBody returns the JSON body of a chat completion request.
func chatBody(model, prompt string, stream bool) string {
	raw, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return string(raw)
}

var deltaContent = regexp.MustCompile(`"delta":\{"content":"([^"]*)"`)

// parseStream returns the text of a streamed answer and whether the answer contains the final [DONE] event.
func parseStream(body string) (string, bool) {
	var text strings.Builder
	for _, m := range deltaContent.FindAllStringSubmatch(body, -1) {
		text.WriteString(m[1])
	}
	return text.String(), strings.Contains(body, "data: [DONE]")
}

// refusal holds the members of problem details that tests check.
type refusal struct {
	Reason string `json:"reason"`
	NotRun bool   `json:"not_run"`
}

func parseRefusal(answer *site.Answer) refusal {
	var r refusal
	_ = json.Unmarshal([]byte(answer.Body), &r)
	return r
}

var _ = Describe("a small site", Ordered, func() {
	var f *fixture
	BeforeAll(func() { f = startSite(site.Config{ControlCount: 3}, nil) })

	It("answers a whole chat completion through each instance", func() {
		for _, instance := range f.Instances {
			answer, err := f.Post(instance, "/v1/chat/completions", site.LargeKey, chatBody("dear", "hello", false))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Status).To(Equal(http.StatusOK), answer.Body)
			Expect(answer.Body).To(ContainSubstring(engine.GeneratedText(20)))
		}
	})

	It("streams every token once and ends the stream", func() {
		answer, err := f.Post(f.Instances[0], "/v1/chat/completions", site.LargeKey, chatBody("dear", "hello", true))
		Expect(err).NotTo(HaveOccurred())
		text, done := parseStream(answer.Body)
		Expect(text).To(Equal(engine.GeneratedText(20)))
		Expect(done).To(BeTrue())
	})

	It("runs a non-idempotent call once although the caller sends it through each instance", func() {
		for _, instance := range f.Instances {
			answer, err := f.Post(instance, "/services/orders/commit", site.LargeKey, "dome 7", "Idempotency-Key", "dome-7")
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Status).To(Equal(http.StatusCreated), answer.Body)
			Expect(answer.Body).To(ContainSubstring(`"run":1`))
		}
		Expect(f.orders.Commits("dome 7")).To(Equal(1))
	})

	DescribeTable("refuses a request before it runs and reports it as not run",
		func(path, key, body string, status int, reason string) {
			before := f.engines[0].Received() + f.engines[1].Received() + f.engines[2].Received() + f.engines[3].Received()
			answer, err := f.Post(f.Instances[0], path, key, body)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Status).To(Equal(status), answer.Body)
			Expect(parseRefusal(answer)).To(Equal(refusal{Reason: reason, NotRun: true}))
			after := f.engines[0].Received() + f.engines[1].Received() + f.engines[2].Received() + f.engines[3].Received()
			Expect(after).To(Equal(before))
		},
		Entry("an unknown key", "/v1/chat/completions", "wrong key", chatBody("cheap", "x", false), 401, "unauthorized"),
		Entry("a model that the workspace may not use", "/v1/chat/completions", site.SmallKey, chatBody("dear", "x", false), 403, "not_allowed"),
		Entry("an unknown model", "/v1/chat/completions", site.LargeKey, chatBody("none", "x", false), 404, "unknown_model"),
		Entry("truncated JSON", "/v1/chat/completions", site.LargeKey, `{"model":"cheap"`, 400, "invalid_request"),
		Entry("a non-idempotent call without an idempotency key", "/services/orders/commit", site.LargeKey, "x", 400, "idempotency_key_required"),
	)

	It("takes an availability zone out of service on every instance within 2 s and brings it back", func() {
		Expect(f.SetOut(f.Instances[0], "zones/north", true)).To(Succeed())
		time.Sleep(2 * time.Second)
		before := f.engine("cheap-north").Received() + f.engine("dear-north").Received()
		for range 10 {
			for _, instance := range f.Instances {
				answer, err := f.Post(instance, "/v1/chat/completions", site.LargeKey, chatBody("cheap", "x", false))
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.Status).To(Equal(200), answer.Body)
			}
		}
		Expect(f.engine("cheap-north").Received() + f.engine("dear-north").Received()).To(Equal(before))
		Expect(f.SetOut(f.Instances[1], "zones/north", false)).To(Succeed())
		Eventually(func() int {
			_, _ = f.Post(f.Instances[0], "/v1/chat/completions", site.LargeKey, chatBody("cheap", "x", false))
			return f.engine("cheap-north").Received()
		}).Should(BeNumerically(">", before))
	})

	It("completes a running stream when an instance is stopped with SIGTERM", func() {
		target := f.Instances[2]
		result := f.startLongStream(target, 150)
		Expect(target.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() bool { return f.Ready(target) }).Should(BeFalse())
		var body string
		Eventually(result).Should(Receive(&body))
		text, done := parseStream(body)
		Expect(text).To(Equal(engine.GeneratedText(150)), fmt.Sprintf("got %q", body))
		Expect(done).To(BeTrue())
		Eventually(target.Done()).Should(BeClosed())
	})
})
