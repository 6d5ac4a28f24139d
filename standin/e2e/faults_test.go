package e2e_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/standin/engine"
	"clementinetray/standin/site"
)

// leader waits for a running leader of the control group and returns it.
func (f *fixture) leader() *site.Instance {
	GinkgoHelper()
	var leader *site.Instance
	Eventually(func() bool {
		for _, i := range f.Instances {
			if !i.Running() {
				continue
			}
			status, err := f.Status(i)
			if err != nil {
				continue
			}
			for _, candidate := range f.Instances {
				if candidate.ID == status.Leader {
					leader = candidate
					return candidate.Running()
				}
			}
		}
		return false
	}).Should(BeTrue(), "a leader is known")
	return leader
}

// voters returns site.Voters of the current status, or an empty map if the status can't be read.
func (f *fixture) voters() map[string]string {
	status, err := f.Status(f.leader())
	if err != nil {
		return map[string]string{}
	}
	return site.Voters(status)
}

// otherInstances returns all instances except one.
func (f *fixture) otherInstances(except *site.Instance) []*site.Instance {
	var out []*site.Instance
	for _, i := range f.Instances {
		if i != except {
			out = append(out, i)
		}
	}
	return out
}

// sendChat sends a chat completion and returns the HTTP status and the refusal. The status is 0 if the connection failed.
func (f *fixture) sendChat(i *site.Instance, model, prompt string, headers ...string) (int, refusal) {
	answer, err := f.Post(i, "/v1/chat/completions", site.LargeKey, chatBody(model, prompt, false), headers...)
	if err != nil {
		return 0, refusal{}
	}
	return answer.Status, parseRefusal(answer)
}

var _ = Describe("loss of control instances", func() {
	It("keeps accepted configuration and continues to serve when the leader is killed", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		leader := f.leader()
		Expect(f.SetOut(leader, "zones/north", true)).To(Succeed())
		leader.Kill()
		killed := time.Now()
		for _, i := range f.otherInstances(leader) {
			status, _ := f.sendChat(i, "cheap", "x")
			Expect(status).To(Equal(http.StatusOK))
		}
		next := f.leader()
		Expect(time.Since(killed)).To(BeNumerically("<", 3*time.Second), "time without a leader")
		status, err := f.Status(next)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Orders.ZonesOut).To(HaveKey("north"))
		Expect(f.StartInstance(leader)).To(Succeed())
		Eventually(func() bool { return f.Ready(leader) }).Should(BeTrue())
		before := f.engine("cheap-north").Received()
		for range 10 {
			code, _ := f.sendChat(leader, "cheap", "x")
			Expect(code).To(Equal(http.StatusOK))
		}
		Expect(f.engine("cheap-north").Received()).To(Equal(before), "the restarted instance sends nothing to the zone that is out")
	})

	It("keeps call records when every instance is killed at once", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		commit := func(i *site.Instance) (int, string) {
			answer, err := f.Post(i, "/services/orders/commit", site.LargeKey, "tank 3", "Idempotency-Key", "tank-3")
			if err != nil {
				return 0, ""
			}
			return answer.Status, answer.Body
		}
		code, first := commit(f.Instances[0])
		Expect(code).To(Equal(http.StatusCreated))
		for _, i := range f.Instances {
			i.Kill()
		}
		Expect(f.Start()).To(Succeed())
		Expect(f.WaitReady(20 * time.Second)).To(Succeed())
		for _, i := range f.Instances {
			code, body := commit(i)
			Expect(code).To(Equal(http.StatusCreated))
			Expect(body).To(Equal(first))
		}
		Expect(f.orders.Commits("tank 3")).To(Equal(1))
	})

	It("rejoins after the loss of a data folder, after which the group tolerates the loss of a second one", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		Expect(f.SetOut(f.Instances[0], "servers/dear-north", true)).To(Succeed())
		lost := f.Instances[1]
		var old map[string]string
		Eventually(func() map[string]string { old = f.voters(); return old }).Should(HaveLen(3))
		lost.Kill()
		Expect(os.RemoveAll(lost.DataDir)).To(Succeed())
		Expect(f.WriteSettings(lost, false)).To(Succeed())
		Expect(f.StartInstance(lost)).To(Succeed())
		Eventually(func() bool {
			now := f.voters()
			return len(now) == 3 && now[lost.ID] != old[lost.ID]
		}).WithTimeout(20*time.Second).Should(BeTrue(), "the replica votes as a new node")
		second := f.Instances[2]
		second.Kill()
		Expect(os.RemoveAll(second.DataDir)).To(Succeed())
		status, err := f.Status(f.leader())
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Orders.ServersOut).To(HaveKey("dear-north"))
		Eventually(func() error { return f.SetOut(f.leader(), "servers/dear-south", true) }).Should(Succeed(), "changes are accepted")
	})

	It("does not let a thawed leader revert what was accepted while it was frozen", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		frozen := f.leader()
		Expect(frozen.Signal(syscall.SIGSTOP)).To(Succeed())
		next := f.otherInstances(frozen)[0]
		Eventually(func() error { return f.SetOut(next, "zones/south", true) }).WithTimeout(15 * time.Second).Should(Succeed())
		Expect(frozen.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(func() bool { return f.Ready(frozen) }).Should(BeTrue())
		Eventually(func() (map[string]control.Order, error) {
			status, err := f.Status(frozen)
			return status.Orders.ZonesOut, err
		}).Should(HaveKey("south"))
		time.Sleep(time.Second)
		before := f.engine("cheap-south").Received()
		for range 10 {
			f.sendChat(frozen, "cheap", "x")
		}
		Expect(f.engine("cheap-south").Received()).To(Equal(before))
	})

	// Guards against an order that its caller gave up while the instance stood still, and that undoes a newer order afterwards.
	DescribeTable("does not let a thawed instance carry out an order that was given up meanwhile",
		func(choose func(*fixture) *site.Instance) {
			f := startSite(site.Config{ControlCount: 3}, nil)
			order := func(out bool) {
				GinkgoHelper()
				Eventually(func() (int, error) {
					return f.OrderLatest(f.Instances[rand.IntN(len(f.Instances))], "zones/south", out, time.Second)
				}).WithTimeout(15 * time.Second).Should(Equal(http.StatusOK))
			}
			order(true)
			frozen := choose(f)
			Expect(frozen.Signal(syscall.SIGSTOP)).To(Succeed())
			Expect(f.OrderLatest(frozen, "zones/south", false, time.Second)).To(BeZero())
			order(false)
			order(true)
			Expect(frozen.Signal(syscall.SIGCONT)).To(Succeed())
			southIsOut := func() bool {
				status, err := f.Status(frozen)
				return err == nil && status.Orders.ZonesOut["south"] != control.Order{}
			}
			Eventually(southIsOut).Should(BeTrue())
			Consistently(southIsOut, "2s").Should(BeTrue())
		},
		Entry("a follower", func(f *fixture) *site.Instance { return f.otherInstances(f.leader())[0] }),
		Entry("the leader", (*fixture).leader),
	)
})

var _ = Describe("an entry instance that is silently cut off", func() {
	It("stops serving within the view's age limit, sends nothing to a zone that was taken out meanwhile, and recovers", func() {
		f := startSite(site.Config{ControlCount: 3, EntryCount: 1, UseLinks: true}, nil)
		cut := f.Instances[3]
		f.Cut(cut)
		Expect(f.SetOut(f.leader(), "zones/north", true)).To(Succeed())
		ordered := time.Now()
		// Each answer waits 2 s for a bill that can't be recorded, so requests are sent concurrently.
		const bound, interval = 7 * time.Second, 50 * time.Millisecond
		var wg sync.WaitGroup
		refusals := make([]refusal, (bound+time.Second)/interval)
		for i := range refusals {
			time.Sleep(time.Until(ordered.Add(time.Duration(i) * interval)))
			wg.Go(func() { _, refusals[i] = f.sendChat(cut, "cheap", "x") })
		}
		wg.Wait()
		stale := refusal{Reason: "view_stale", NotRun: true}
		first := slices.Index(refusals, stale)
		Expect(first).To(BeNumerically(">=", 0), "it refuses requests as not run")
		Expect(first).To(BeNumerically("<", int(bound/interval)))
		Expect(refusals[first:]).To(HaveEach(stale))
		Expect(f.Ready(cut)).To(BeFalse())
		before := f.engine("cheap-north").Received()
		for range 10 {
			f.sendChat(cut, "cheap", "x")
		}
		Expect(f.engine("cheap-north").Received()).To(Equal(before))
		f.Heal(cut)
		Eventually(func() int { code, _ := f.sendChat(cut, "cheap", "x"); return code }).Should(Equal(http.StatusOK))
		Expect(f.engine("cheap-north").Received()).To(Equal(before))
	})
})

var _ = Describe("a non-idempotent call", func() {
	It("does not run again when its entry instance is killed between dispatch and answer", func() {
		f := startSite(site.Config{ControlCount: 3, EntryCount: 1}, nil)
		f.orders.SetDelay(3 * time.Second)
		dying := f.Instances[3]
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = f.Post(dying, "/services/orders/commit", site.LargeKey, "lamp 1", "Idempotency-Key", "lamp-1")
		}()
		Eventually(func() int { return f.orders.Commits("lamp 1") }).Should(Equal(1))
		dying.Kill()
		Eventually(done).Should(BeClosed())
		reasons := map[string]bool{}
		Eventually(func() string {
			answer, err := f.Post(f.Instances[0], "/services/orders/commit", site.LargeKey, "lamp 1", "Idempotency-Key", "lamp-1")
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Status).To(Equal(http.StatusConflict), answer.Body)
			Expect(parseRefusal(answer).NotRun).To(BeFalse())
			reasons[parseRefusal(answer).Reason] = true
			return parseRefusal(answer).Reason
		}).WithTimeout(15 * time.Second).Should(Equal("outcome_unknown"))
		Expect(f.orders.Commits("lamp 1")).To(Equal(1))
	})

	It("runs once although it is sent through every instance at the same time", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				_, _ = f.Post(f.Instances[i%3], "/services/orders/commit", site.LargeKey, "end 9", "Idempotency-Key", "end-9")
			})
		}
		wg.Wait()
		Expect(f.orders.Commits("end 9")).To(Equal(1))
	})
})

var _ = Describe("a request that crashes backend servers", func() {
	It("is quarantined on every instance after two crashes, and all other requests are answered", func() {
		f := startSite(site.Config{ControlCount: 3}, func(c *engine.Config) { c.CrashOnPrompt = "poison" })
		for n := range 4 {
			f.addEngine(fmt.Sprintf("cheap-more-%d", n), "north", site.CheapVersion, func(c *engine.Config) { c.CrashOnPrompt = "poison" })
		}
		Eventually(func() int {
			status, _ := f.sendChat(f.Instances[0], "cheap", "x")
			return status + f.engine("cheap-more-3").Received() - 1
		}).Should(BeNumerically(">=", 200))
		stop := make(chan struct{})
		var failed, answered atomic.Int64
		var wg sync.WaitGroup
		for _, i := range f.Instances {
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					if status, _ := f.sendChat(i, "cheap", fmt.Sprintf("good %s %d", i.ID, n)); status == http.StatusOK {
						answered.Add(1)
					} else {
						failed.Add(1)
					}
				}
			})
		}
		for n := range 9 {
			f.sendChat(f.Instances[n%3], "cheap", "poison")
		}
		close(stop)
		wg.Wait()
		dead := 0
		for _, e := range f.engines {
			if !e.Alive() {
				dead++
			}
		}
		Expect(dead).To(BeNumerically("<=", 2))
		Expect(failed.Load()).To(BeZero())
		Expect(answered.Load()).To(BeNumerically(">", 0))
		_, r := f.sendChat(f.Instances[2], "cheap", "poison")
		Expect(r.Reason).To(Equal("request_quarantined"))
	})
})

var _ = Describe("a backend server that has just started", func() {
	It("gets no more requests than its cold capacity while every instance has more for it", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		for _, id := range []string{"dear-north", "dear-south"} {
			Expect(f.SetOut(f.Instances[0], "servers/"+id, true)).To(Succeed())
		}
		time.Sleep(time.Second)
		cold := f.addEngine("dear-cold", "north", site.DearVersion, func(c *engine.Config) {
			c.Capacity, c.ColdCapacity, c.WarmUp, c.CrashOnOverload, c.AnswerTokens = 16, 2, time.Minute, true, 40
		})
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() { f.sendChat(f.Instances[i%3], "dear", fmt.Sprintf("press %d", i)) })
		}
		wg.Wait()
		Expect(cold.Alive()).To(BeTrue())
		Expect(cold.TakePeak()).To(BeNumerically("<=", 2))
		Expect(cold.Received()).To(BeNumerically(">", 0))
	})
})

var _ = Describe("sessions and bills", func() {
	It("keeps a session on one version although its first calls arrive at all instances at once", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		f.beginRollout()
		Eventually(func() int {
			f.sendChat(f.Instances[0], "cheap", "warm")
			return f.engine("cheap2-north").Received() + f.engine("cheap2-south").Received()
		}).Should(BeNumerically(">", 0))
		for session := range 12 {
			versions := make([]string, 6)
			var wg sync.WaitGroup
			for i := range versions {
				wg.Go(func() {
					answer, err := f.Post(f.Instances[i%3], "/v1/chat/completions", site.LargeKey, chatBody("cheap", "x", false),
						"Clementinetray-Session", fmt.Sprintf("s%d", session))
					if err == nil && answer.Status == http.StatusOK {
						versions[i] = answer.Body[strings.Index(answer.Body, "cheap@"):][:8]
					}
				})
			}
			wg.Wait()
			Expect(versions).To(HaveEach(versions[0]))
			Expect(versions[0]).NotTo(BeEmpty())
		}
	})

	It("writes one bill per answered request, also when the caller sends it again under the same key", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		before := f.billCount("small")
		for n := range 10 {
			for range 2 {
				answer, err := f.Post(f.Instances[n%3], "/v1/chat/completions", site.SmallKey, chatBody("cheap", "x", n%2 == 0),
					"Idempotency-Key", fmt.Sprintf("bill-%d", n))
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.Status).To(Equal(http.StatusOK), answer.Body)
			}
		}
		Expect(f.billCount("small") - before).To(BeEquivalentTo(10))
	})
})

// billCount returns how many bills a workspace has.
func (f *fixture) billCount(workspace string) uint64 {
	GinkgoHelper()
	all, err := f.Bills(f.leader())
	Expect(err).NotTo(HaveOccurred())
	for _, b := range all {
		if b.Workspace == workspace {
			return b.Bills
		}
	}
	return 0
}

var _ = Describe("the ledger", func() {
	It("contains every bill once on each control instance after kills and restarts", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		before := f.billCount("small")
		for n := range 20 {
			answer, err := f.Post(f.Instances[n%3], "/v1/chat/completions", site.SmallKey, chatBody("cheap", fmt.Sprint(n), false),
				"Idempotency-Key", fmt.Sprintf("ledger-%d", n))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Status).To(Equal(http.StatusOK), answer.Body)
		}
		for _, i := range f.Instances {
			i.Kill()
		}
		Expect(f.Start()).To(Succeed())
		Expect(f.WaitReady(20 * time.Second)).To(Succeed())
		Expect(f.billCount("small") - before).To(BeEquivalentTo(20))
		for _, i := range f.Instances {
			Expect(i.Signal(syscall.SIGTERM)).To(Succeed())
			Eventually(i.Done()).WithTimeout(20 * time.Second).Should(BeClosed())
			files, err := filepath.Glob(filepath.Join(i.DataDir, "ledger", "bills-*.jsonl"))
			Expect(err).NotTo(HaveOccurred())
			seen := map[string]int{}
			for _, file := range files {
				raw, err := os.ReadFile(file)
				Expect(err).NotTo(HaveOccurred())
				for _, key := range regexp.MustCompile(`"ledger-\d+"`).FindAllString(string(raw), -1) {
					seen[key]++
				}
			}
			Expect(seen).To(HaveLen(20), i.ID)
			Expect(seen).To(HaveEach(1), i.ID)
		}
	})
})
