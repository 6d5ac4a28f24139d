package e2e_test

import (
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/standin/engine"
	"clementinetray/standin/site"
)

var _ = Describe("a planned stop", func() {
	// The stream is longer than the maximum duration (5 s) of any other step of a stop, so that it can't end by chance during
	// such a step.
	It("waits for a stream of 8 s (guards against a daemon that stops without draining)", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		target := f.Instances[2]
		result := f.startLongStream(target, 400)
		Expect(target.Signal(syscall.SIGTERM)).To(Succeed())
		var body string
		Eventually(result).WithTimeout(30 * time.Second).Should(Receive(&body))
		text, done := parseStream(body)
		Expect(text).To(Equal(engine.GeneratedText(400)))
		Expect(done).To(BeTrue())
		Eventually(target.Done()).Should(BeClosed())
	})

	// Callers' transports open connections ahead of requests, and net/http keeps such a connection open for 5 s in a shutdown.
	It("hands over the leadership although connections are open on which no request came", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		leader := f.leader()
		for _, address := range []string{leader.Callers, leader.Operators} {
			connection, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(connection.Close)
		}
		Expect(leader.Signal(syscall.SIGTERM)).To(Succeed())
		// The longest time without a leader after a kill is 3 s; a planned stop takes no longer.
		Eventually(leader.Done()).WithTimeout(3 * time.Second).Should(BeClosed())
	})
})

var _ = Describe("a planned stop with a grace after which the process is killed", func() {
	const grace = 4 * time.Second
	// Guards against requests that are taken and cut: a caller that gets no answer can't tell whether its request ran.
	It("answers each request that it takes, at any time in the grace", func() {
		f := startSite(site.Config{ControlCount: 3, EntryCount: 1, StopGrace: grace}, func(c *engine.Config) { c.FirstTokenDelay = 3 * time.Second })
		target := f.Instances[3]
		ask := func() *site.Answer {
			answer, err := f.Post(target, "/v1/chat/completions", site.LargeKey, chatBody("cheap", "x", false), "Clementinetray-Deadline-Ms", "9000")
			Expect(err).NotTo(HaveOccurred())
			return answer
		}
		Expect(target.Signal(syscall.SIGTERM)).To(Succeed())
		time.AfterFunc(grace, target.Kill)
		var asked sync.WaitGroup
		check := func(reason string, notRun bool) {
			asked.Go(func() {
				defer GinkgoRecover()
				answer := ask()
				Expect(answer.Body).To(ContainSubstring(`"reason":"` + reason + `"`))
				Expect(strings.Contains(answer.Body, `"not_run":true`)).To(Equal(notRun), answer.Body)
			})
		}
		time.Sleep(400 * time.Millisecond)
		check("outcome_unknown", false)
		time.Sleep(1400 * time.Millisecond)
		check("stopping", true)
		time.Sleep(600 * time.Millisecond)
		check("stopping", true)
		time.Sleep(800 * time.Millisecond)
		check("stopping", true)
		asked.Wait()
		Eventually(target.Done()).WithTimeout(2 * time.Second).Should(BeClosed())
	})
})

// startLongStream opens a stream of n tokens, 20 ms apart, through the target. It takes the other backend servers of the
// version out of service, so that the stream runs on a server that it starts. The channel receives the body, or the error of
// a broken stream.
func (f *fixture) startLongStream(target *site.Instance, n int) <-chan string {
	GinkgoHelper()
	long := f.addEngine("long-north", "north", site.DearVersion, func(c *engine.Config) {
		c.AnswerTokens, c.TokenInterval = n, 20*time.Millisecond
	})
	for _, id := range []string{"dear-north", "dear-south"} {
		Expect(f.SetOut(f.Instances[0], "servers/"+id, true)).To(Succeed())
	}
	Eventually(func() int {
		answer, err := f.Post(target, "/v1/chat/completions", site.LargeKey, `{"model":"dear","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(200), answer.Body)
		return long.Received()
	}).Should(BeNumerically(">", 0), "the orders are in force")
	result := make(chan string, 1)
	go func() {
		answer, err := f.Post(target, "/v1/chat/completions", site.LargeKey, chatBody("dear", "long", true))
		if err != nil {
			result <- err.Error()
			return
		}
		result <- answer.Body
	}()
	Eventually(long.Running).Should(BeNumerically(">", 0))
	return result
}
