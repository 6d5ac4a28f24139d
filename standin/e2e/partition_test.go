package e2e_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/standin/engine"
	"clementinetray/standin/site"
)

var _ = Describe("a control leader that is silently cut off", func() {
	DescribeTable("neither accepts a change without a majority nor reverts what the others accepted",
		func(cut func(*fixture, *site.Instance)) {
			f := startSite(site.Config{ControlCount: 3, UseLinks: true}, nil)
			old := f.leader()
			cut(f, old)
			next := f.otherInstances(old)[0]
			Eventually(func() error { return f.SetOut(next, "zones/north", true) }).WithTimeout(20 * time.Second).Should(Succeed())
			_ = f.SetOut(old, "zones/south", true)
			f.Heal(old)
			Eventually(func() ([]string, error) {
				status, err := f.Status(old)
				var out []string
				for zone := range status.Orders.ZonesOut {
					out = append(out, zone)
				}
				return out, err
			}).WithTimeout(20 * time.Second).Should(ContainElement("north"))
			Eventually(func() int { code, _ := f.sendChat(old, "cheap", "x"); return code }).Should(Equal(http.StatusOK))
		},
		Entry("in both directions", func(f *fixture, i *site.Instance) { f.Cut(i) }),
		Entry("in one direction: it receives from the others but they don't receive from it", func(f *fixture, i *site.Instance) { f.CutOutgoing(i) }),
	)
})

var _ = Describe("operators", func() {
	It("accepts one of many changes based on the same revision and refuses the others with a conflict", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		status, err := f.Status(f.leader())
		Expect(err).NotTo(HaveOccurred())
		var won, lost atomic.Int64
		var wg sync.WaitGroup
		for n := range 9 {
			wg.Go(func() {
				code, err := f.TakeOutAt(f.Instances[n%3], "zones/north", status.Revision, "")
				if err != nil {
					return
				}
				switch code {
				case http.StatusOK:
					won.Add(1)
				case http.StatusConflict:
					lost.Add(1)
				}
			})
		}
		wg.Wait()
		Expect(won.Load()).To(BeEquivalentTo(1))
		Expect(lost.Load()).To(BeEquivalentTo(8))
	})

	It("returns the first result when an order is repeated with the same request id, also from the next leader", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		leader := f.leader()
		status, err := f.Status(leader)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.TakeOutAt(leader, "zones/north", status.Revision, "order-1")).To(Equal(http.StatusOK))
		leader.Kill()
		next := f.otherInstances(leader)[0]
		Eventually(func() (int, error) { return f.TakeOutAt(next, "zones/north", status.Revision, "order-1") }).Should(Equal(http.StatusOK))
		after, err := f.Status(f.leader())
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Revision).To(Equal(status.Revision+1), "the order was carried out once")
	})
})

const (
	// minAnswered is the number of answers below which the load is too low to test a restart.
	minAnswered = 100
	// maxRestartRounds bounds the rounds of restarts, so that the test ends if the site doesn't answer.
	maxRestartRounds = 5
)

var _ = Describe("planned and unplanned stops under load", func() {
	It("restarts every instance in turn without a failed request", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		done := make(chan struct{})
		var answered, failed atomic.Int64
		var wg sync.WaitGroup
		for n := range 6 {
			wg.Go(func() {
				for turn := n; ; turn++ {
					select {
					case <-done:
						return
					default:
					}
					if f.sendBalanced(turn) {
						answered.Add(1)
					} else {
						failed.Add(1)
					}
				}
			})
		}
		// One round may take less than 2 s, so rounds are repeated until there were enough answers.
		for round := 0; round == 0 || round < maxRestartRounds && answered.Load() <= minAnswered; round++ {
			for _, i := range f.Instances {
				Expect(i.Signal(syscall.SIGTERM)).To(Succeed())
				Eventually(i.Done()).WithTimeout(30 * time.Second).Should(BeClosed())
				Expect(f.StartInstance(i)).To(Succeed())
				Eventually(func() bool { return f.Ready(i) }).WithTimeout(20 * time.Second).Should(BeTrue())
			}
		}
		close(done)
		wg.Wait()
		Expect(failed.Load()).To(BeZero())
		Expect(answered.Load()).To(BeNumerically(">", minAnswered))
	})

	It("delivers a whole stream when its backend server and the leader are killed in the middle of it", func() {
		f := startSite(site.Config{ControlCount: 3, EntryCount: 1}, func(c *engine.Config) { c.AnswerTokens, c.TokenInterval = 100, 20*time.Millisecond })
		entry := f.Instances[3]
		result := make(chan string, 1)
		go func() {
			answer, err := f.Post(entry, "/v1/chat/completions", site.LargeKey, chatBody("dear", "long", true))
			if err != nil {
				result <- err.Error()
				return
			}
			result <- answer.Body
		}()
		var serving *engine.Engine
		Eventually(func() bool {
			for _, id := range []string{"dear-north", "dear-south"} {
				if e := f.engine(id); e.Running() > 0 {
					serving = e
				}
			}
			return serving != nil
		}).Should(BeTrue())
		time.Sleep(300 * time.Millisecond)
		f.leader().Kill()
		serving.Kill()
		var body string
		Eventually(result).WithTimeout(20 * time.Second).Should(Receive(&body))
		text, done := parseStream(body)
		Expect(text).To(Equal(engine.GeneratedText(100)))
		Expect(done).To(BeTrue())
	})
})

// sendBalanced sends a request as a load balancer does: to a ready instance, and to the next one if it was refused as not run
// or the connection failed. It reports whether the request was answered.
func (f *fixture) sendBalanced(turn int) bool {
	for n := range 10 * len(f.Instances) {
		i := f.Instances[(turn+n)%len(f.Instances)]
		if !f.Ready(i) {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		status, r := f.sendChat(i, "cheap", "x")
		if status == http.StatusOK {
			return true
		}
		if status != 0 && !r.NotRun {
			return false
		}
	}
	return false
}
