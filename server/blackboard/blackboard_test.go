package blackboard_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/server/blackboard"
)

func TestBlackboard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "blackboard")
}

var _ = Describe("Section", func() {
	It("has one writer (guards against two controllers that overwrite each other)", func() {
		s := blackboard.NewSection(1)
		_, err := s.Writer()
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Writer()
		Expect(err).To(MatchError(blackboard.ErrWriterTaken))
	})

	It("notifies watchers of each value (guards against a controller that is never notified)", func() {
		s := blackboard.NewSection("old")
		w, err := s.Writer()
		Expect(err).NotTo(HaveOccurred())
		value, changed := s.Watch()
		Expect(value).To(Equal("old"))
		w.Publish("new")
		Expect(changed).To(BeClosed())
		Expect(s.Load()).To(Equal("new"))
		Expect(s.Version()).To(BeEquivalentTo(1))
	})
})
