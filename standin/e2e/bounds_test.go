package e2e_test

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/standin/engine"
	"clementinetray/standin/site"
)

// peakResidentBytes returns the largest resident memory that a process has had.
func peakResidentBytes(pid string) int {
	GinkgoHelper()
	status, err := os.ReadFile("/proc/" + pid + "/status")
	Expect(err).NotTo(HaveOccurred())
	found := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	Expect(found).NotTo(BeNil())
	kilobytes, err := strconv.Atoi(string(found[1]))
	Expect(err).NotTo(HaveOccurred())
	return kilobytes << 10
}

var _ = Describe("a process with a memory limit", func() {
	// Guards against an instance that is killed for its memory when many callers send the largest body at once.
	It("keeps to it while 48 callers send bodies of 4 MB at once, and serves others", func() {
		const limitMB = 134
		f := startSite(site.Config{ControlCount: 3, EntryCount: 1, MemoryLimitMB: limitMB}, func(c *engine.Config) { c.FirstTokenDelay = 300 * time.Millisecond })
		target := f.Instances[3]
		text := strings.Repeat("x", 4_000_000)
		var refused, answered atomic.Int64
		var callers sync.WaitGroup
		for range 48 {
			callers.Go(func() {
				defer GinkgoRecover()
				answer, err := f.Post(target, "/v1/chat/completions", site.LargeKey, chatBody("cheap", text, false))
				Expect(err).NotTo(HaveOccurred())
				if answer.Status == 200 {
					answered.Add(1)
					return
				}
				Expect(answer.Body).To(ContainSubstring(`"not_run":true`), answer.Body)
				refused.Add(1)
			})
		}
		small, err := f.Post(target, "/v1/chat/completions", site.LargeKey, chatBody("dear", "x", false))
		Expect(err).NotTo(HaveOccurred())
		Expect(small.Status).To(Equal(200), small.Body)
		callers.Wait()
		peak := peakResidentBytes(target.PID())
		AddReportEntry("peak resident MB", peak>>20)
		Expect(answered.Load()).To(BeNumerically(">=", 1))
		Expect(peak).To(BeNumerically("<", limitMB<<20), "answered %d, refused %d", answered.Load(), refused.Load())
		Expect(target.Running()).To(BeTrue())
	})
})
