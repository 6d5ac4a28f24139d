package catalogue_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
)

func TestCatalogue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalogue")
}

func newCatalogue() *catalogue.Catalogue {
	return &catalogue.Catalogue{
		Models:     []catalogue.Model{{Name: "claims", Owner: "team", Versions: []catalogue.Version{{Name: "v1"}, {Name: "v2", MaxConcurrent: 4}}}},
		Classes:    []catalogue.Class{{Name: "letters", QualityTarget: 0.8, Models: []string{"claims"}}},
		Workspaces: []catalogue.Workspace{{Name: "w", KeySHA256: []string{"aa", "bb"}, Models: []string{"claims"}}},
		Services:   []catalogue.Service{{Name: "registry", Owner: "team", Routes: []catalogue.ServiceRoute{{Prefix: "/read", Idempotent: true}}}},
		Rollouts:   []catalogue.Rollout{{Model: "claims", From: "v1", To: "v2"}},
	}
}

var _ = Describe("Diff", func() {
	// Guards against a change that an operator does not see before accepting it: each changed field must be listed.
	DescribeTable("lists each difference",
		func(change func(*catalogue.Catalogue), lines ...string) {
			after := newCatalogue()
			change(after)
			Expect(catalogue.Diff(newCatalogue(), after)).To(Equal(append([]string(nil), lines...)))
		},
		Entry("none", func(*catalogue.Catalogue) {}),
		Entry("a missing list equals an empty one", func(c *catalogue.Catalogue) { c.Workspaces[0].Classes = []string{} }),
		Entry("owner", func(c *catalogue.Catalogue) { c.Models[0].Owner = "x" }, `model claims: owner "team" -> "x"`),
		Entry("version added", func(c *catalogue.Catalogue) {
			c.Models[0].Versions = append(c.Models[0].Versions, catalogue.Version{Name: "v3", CostPerMillionTokens: 5})
		}, "model claims version v3: added", "model claims version v3: cost_per_million_tokens 0 -> 5"),
		Entry("version removed", func(c *catalogue.Catalogue) { c.Models[0].Versions = c.Models[0].Versions[:1] }, "model claims version v2: removed"),
		Entry("version withdrawn", func(c *catalogue.Catalogue) { c.Models[0].Versions[0].Withdrawn = true },
			"model claims version v1: withdrawn false -> true"),
		Entry("order of versions, which determines the default successor", func(c *catalogue.Catalogue) {
			v := c.Models[0].Versions
			v[0], v[1] = v[1], v[0]
		}, "model claims: order of versions v1 v2 -> v2 v1"),
		Entry("model removed", func(c *catalogue.Catalogue) { c.Models = nil }, "model claims: removed"),
		Entry("class", func(c *catalogue.Catalogue) { c.Classes[0].QualityTarget = 0.9 }, "class letters: quality_target 0.8 -> 0.9"),
		Entry("keys are counted, not printed", func(c *catalogue.Catalogue) { c.Workspaces[0].KeySHA256 = []string{"bb", "cc", "dd"} },
			"workspace w: key_sha256 2 added, 1 removed"),
		Entry("a call that is no longer idempotent", func(c *catalogue.Catalogue) { c.Services[0].Routes[0].Idempotent = false },
			`service registry: routes [{"prefix":"/read","idempotent":true}] -> [{"prefix":"/read","idempotent":false}]`),
		Entry("rollout target", func(c *catalogue.Catalogue) { c.Rollouts[0].To = "v3" }, `rollout claims: to "v2" -> "v3"`),
	)
	It("treats nil as the empty catalogue", func() {
		Expect(catalogue.Diff(nil, nil)).To(BeEmpty())
		Expect(catalogue.Diff(newCatalogue(), nil)).To(HaveLen(5))
		Expect(catalogue.Diff(nil, newCatalogue())).To(ContainElements("model claims: added", "rollout claims: added"))
	})
})
