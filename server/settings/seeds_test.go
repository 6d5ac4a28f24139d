package settings_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const seededINI = `
[instance]
id = front-1
availability_zone = north
roles = entry
[listen]
callers = 10.1.0.40:8227
readiness = 10.1.0.40:8220
peers = 10.1.0.40:7340
[control]
seeds = 10.1.0.43:8229, 10.2.0.31:8229
bootstrap = true
tolerated_losses = 2
[secrets]
peer_authentication = network
[entry]
revocation_limit = 5000ms
[platform]
adapter = fleet
`

var _ = Describe("settings with seeds", func() {
	It("name the control replicas by host, at the port of the peers", func() {
		s, err := load(seededINI)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.ReplicaAddresses()).To(Equal([]string{"10.1.0.43:7340", "10.2.0.31:7340"}))
		Expect(s.ReplicaID()).To(Equal("10.1.0.40"))
		Expect(s.IsListedReplica()).To(BeFalse())
		Expect(s.GroupSize()).To(Equal(5))
	})

	It("limit the age of the view to less than the revocation limit", func() {
		s, err := load(seededINI)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.MaxViewAge).To(Equal(4500 * time.Millisecond))
	})

	It("list the contracts of the platform, also unknown ones (guards against a new contract that keeps processes from starting)", func() {
		for text, want := range map[string][]string{"": nil, "pressure": {"pressure"}, "pressure, some.thing/2,": {"pressure", "some.thing/2"}} {
			s, err := load(seededINI + "contracts = " + text + "\n")
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Contracts).To(Equal(want))
			Expect(s.OverloadControl).To(BeFalse())
		}
		s, err := load(strings.Replace(seededINI, "[entry]", "[entry]\noverload_control = true", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.OverloadControl).To(BeTrue())
	})

	// Guards against a process that starts although its settings are invalid.
	DescribeTable("are rejected with the field and what is allowed", func(old, new, wantField, wantAllowed string) {
		_, err := load(strings.Replace(seededINI, old, new, 1))
		Expect(err).To(MatchError(And(ContainSubstring(wantField), ContainSubstring(wantAllowed))))
	},
		Entry("a seed that is no address", "10.2.0.31:8229", "control-2", "seeds", "host:port"),
		Entry("seeds beside replicas", "bootstrap = true", "replicas = a=10.1.0.1:1", "replicas", "either"),
		Entry("neither seeds nor replicas", "seeds = 10.1.0.43:8229, 10.2.0.31:8229", "", "replicas", "either"),
		Entry("more losses than a group may be set to tolerate", "tolerated_losses = 2", "tolerated_losses = 4", "tolerated_losses", "0 to 3"),
		Entry("an unknown way to authenticate", "= network", "= none", "peer_authentication", "secret or network"),
		Entry("a secret without its file", "= network", "= secret", "peer_secret_file", "a file"),
		Entry("a time limit that is no duration", "5000ms", "often", "revocation_limit", "a duration"),
	)
})
