package flood_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/standin/site"
)

var _ = Describe("a flooded control instance", func() {
	// Guards against an instance that its group takes for dead because its peers' connections find no place.
	It("stays a voter of its group", func() {
		s, err := site.New(site.Config{
			Binaries: binaries, Dir: GinkgoT().TempDir(), ControlCount: 3, Zones: []string{"north"}, MemoryLimitMB: memoryLimitMB, UseReadiness: true,
			ExtraSettings: limitSettings,
		})
		Expect(err).NotTo(HaveOccurred())
		t := newTarget(s, floodCatalogue())
		for _, l := range allListeners {
			flood(l.address(t), crowd{size: 1500, manySources: true})
		}
		flood(t.Callers, crowd{size: 1500, send: unfinishedBody(chatPath, site.LargeKey, 32<<10)})
		t.expectSurvival(allListeners...)
		status, err := s.Status(t.Instance)
		Expect(err).NotTo(HaveOccurred())
		Expect(site.Voters(status)).To(HaveLen(3))
	})
})
