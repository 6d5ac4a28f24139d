// Package flood_test floods the processes of a site with requests and connections of clients that don't behave.
package flood_test

import (
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/standin/site"
)

func TestFlood(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "flood")
}

var binaries site.Binaries

var _ = BeforeSuite(func() {
	var err error
	binaries, err = site.Build(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
})

const (
	// memoryLimitMB is the memory of the smallest machine that the process is meant for, and the bound of its resident memory.
	memoryLimitMB = 112
	// descriptorBound is the number of descriptors that a flood may make the process open.
	descriptorBound = 600
	// answerTimeout is how long a request after a flood is repeated. It is far longer than the process needs, so that a slow
	// machine doesn't fail a test.
	answerTimeout = 40 * time.Second
)

// limitSettings are the limits that the floods must not exceed.
var limitSettings = "[instance]\ndescriptor_limit = " + strconv.Itoa(descriptorBound)

// target is a process with control and entry role, and what it was seen to use.
type target struct {
	*site.Site
	*site.Instance
	pid string

	stopSampling chan struct{}
	sampling     sync.WaitGroup
	// descriptors is the largest number of open descriptors that was seen. It may be read after sampling has ended.
	descriptors int
}

// startTarget starts a site of one process with every listener and waits until it serves.
func startTarget() *target {
	GinkgoHelper()
	return startTargetWith(floodCatalogue())
}

func startTargetWith(c *catalogue.Catalogue) *target {
	GinkgoHelper()
	s, err := site.New(site.Config{
		Binaries: binaries, Dir: GinkgoT().TempDir(), ControlCount: 1, Zones: []string{"north"}, MemoryLimitMB: memoryLimitMB, UseReadiness: true,
		ExtraSettings: limitSettings,
	})
	Expect(err).NotTo(HaveOccurred())
	return newTarget(s, c)
}

// newTarget starts a site and returns its first process once all serve.
func newTarget(s *site.Site, c *catalogue.Catalogue) *target {
	GinkgoHelper()
	t := &target{Site: s, Instance: s.Instances[0], stopSampling: make(chan struct{})}
	DeferCleanup(s.Close)
	DeferCleanup(t.printLog)
	Expect(s.Start()).To(Succeed())
	Expect(s.ApplyCatalogue(c, answerTimeout)).To(Succeed())
	Expect(s.WaitReady(answerTimeout)).To(Succeed())
	t.pid = t.PID()
	t.sampling.Go(t.sampleDescriptors)
	return t
}

// floodCatalogue returns a catalogue with the limits of callers that the users' catalogues have.
func floodCatalogue() *catalogue.Catalogue {
	c := site.SampleCatalogue()
	c.Limits = catalogue.CallerLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15_000}
	return c
}

// sampleDescriptors keeps the largest number of the process's descriptors until stopSampling is closed.
func (t *target) sampleDescriptors() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		if open, err := os.ReadDir("/proc/" + t.pid + "/fd"); err == nil {
			t.descriptors = max(t.descriptors, len(open))
		}
		select {
		case <-ticker.C:
		case <-t.stopSampling:
			return
		}
	}
}

// expectSurvival checks, after the floods have ended, that the process lives, answers one ordinary request at each given
// listener and has stayed within its bounds.
func (t *target) expectSurvival(listeners ...listener) {
	GinkgoHelper()
	Expect(t.Running()).To(BeTrue())
	Expect(t.PID()).To(Equal(t.pid))
	for _, l := range listeners {
		Eventually(func() error { return l.ordinaryRequest(t) }).WithTimeout(answerTimeout).WithPolling(100 * time.Millisecond).Should(Succeed())
	}
	close(t.stopSampling)
	t.sampling.Wait()
	peak := peakResidentBytes(t.pid)
	AddReportEntry("peak", strconv.Itoa(peak>>20)+" MB resident, "+strconv.Itoa(t.descriptors)+" descriptors")
	Expect(peak).To(BeNumerically("<", memoryLimitMB<<20), "resident memory; %d descriptors", t.descriptors)
	Expect(t.descriptors).To(BeNumerically("<", descriptorBound), "descriptors; %d bytes resident", peak)
}

func (t *target) printLog() {
	if CurrentSpecReport().Failed() {
		raw, _ := os.ReadFile(t.LogFile)
		GinkgoWriter.Printf("--- log of the process\n%s\n", raw[max(0, len(raw)-8<<10):])
	}
}

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
