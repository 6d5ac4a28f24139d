package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/standin/rating"
	"clementinetray/standin/site"
)

var _ = Describe("classes with a rating service", func() {
	It("routes a class to the cheap model on every instance once the ratings show that it meets the quality target", func() {
		service, err := rating.Start(map[string]float64{"cheap@v1": 0.9, "dear@v1": 0.95})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Kill)
		f := startSite(site.Config{ControlCount: 3, RatingURL: service.URL()}, nil)
		c := site.SampleCatalogue()
		c.Classes[0].ExplorePercent = 20
		Expect(f.ApplyCatalogue(c, 5*time.Second)).To(Succeed())
		stop := f.startLoad("class:lookup", 1)
		Eventually(func() int {
			cheap := 0
			for n, i := range f.Instances {
				answer, err := f.Post(i, "/v1/chat/completions", site.LargeKey, chatBody("class:lookup", fmt.Sprintf("probe %d", n), false))
				if err == nil && answer.Status == http.StatusOK && strings.Contains(answer.Body, "cheap@v1") {
					cheap++
				}
			}
			return cheap
		}).WithTimeout(40 * time.Second).Should(Equal(3))
		_, failed := stop()
		Expect(failed).To(BeZero())
	})

	It("falls back to the expensive model when the cheap answer is rated too low, and bills the request once", func() {
		service, err := rating.Start(map[string]float64{"cheap@v1": 0.2, "dear@v1": 0.95})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Kill)
		f := startSite(site.Config{ControlCount: 3, RatingURL: service.URL()}, nil)
		c := site.SampleCatalogue()
		c.Classes[1].ExplorePercent = 100
		Expect(f.ApplyCatalogue(c, 5*time.Second)).To(Succeed())
		before, cheap := f.billCount("large"), f.engine("cheap-north").Received()+f.engine("cheap-south").Received()
		Eventually(func() int {
			answer, err := f.Post(f.Instances[0], "/v1/chat/completions", site.LargeKey, chatBody("class:assessment", "x", false))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Status).To(Equal(http.StatusOK), answer.Body)
			Expect(answer.Body).To(ContainSubstring("dear@v1"))
			before++
			return f.engine("cheap-north").Received() + f.engine("cheap-south").Received()
		}).Should(BeNumerically(">", cheap))
		Expect(f.billCount("large")).To(Equal(before))
	})
})
