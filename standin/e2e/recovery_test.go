package e2e_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/standin/site"
)

var _ = Describe("a fleet of which many instances are lost at once", func() {
	const few, many = 5, 25
	// killAndRestart kills the instances at the same moment, starts them again, and returns how long it took from then until all
	// instances of the site were ready.
	killAndRestart := func(f *fixture, lost []*site.Instance) time.Duration {
		GinkgoHelper()
		var killing sync.WaitGroup
		for _, i := range lost {
			killing.Go(i.Kill)
		}
		killing.Wait()
		for _, i := range lost {
			Expect(f.StartInstance(i)).To(Succeed())
		}
		began := time.Now()
		for _, i := range f.Instances {
			Eventually(func() bool { return f.Ready(i) }).WithTimeout(30*time.Second).WithPolling(20*time.Millisecond).Should(BeTrue(), i.ID)
		}
		return time.Since(began)
	}

	// Guards against a recovery that takes longer the more instances there are: of one heartbeat, 1 s, at most.
	It("serves again as fast as a small one after 60 in 100 entry instances were killed", func() {
		recovery := func(entries int) time.Duration {
			f := startSite(site.Config{ControlCount: 3, EntryCount: entries}, nil)
			return killAndRestart(f, f.Instances[3:3+entries*6/10])
		}
		small := recovery(few)
		Expect(recovery(many)).To(BeNumerically("<", small+time.Second))
	})

	// The longest time without a leader is 3 s; one Sync and a heartbeat follow.
	It("serves again within an election and a heartbeat after all instances were killed", func() {
		f := startSite(site.Config{ControlCount: 3, EntryCount: many}, nil)
		Expect(killAndRestart(f, f.Instances)).To(BeNumerically("<", 4*time.Second))
	})
})
