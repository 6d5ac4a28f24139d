package e2e_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/standin/site"
)

var _ = Describe("operators with clementinectl", Ordered, func() {
	var f *fixture
	BeforeAll(func() { f = startSite(site.Config{ControlCount: 3}, nil) })

	// Guards against two operators who both get a confirmation although one change overwrote the other.
	It("accepts one of two changes based on the same revision and shows the other operator who made it", func() {
		revision := f.currentRevision()
		zones := []string{"north", "south"}
		outputs, codes := make([]string, 2), make([]int, 2)
		var running sync.WaitGroup
		for i, zone := range zones {
			running.Go(func() {
				outputs[i], codes[i] = f.RunCtl("--by", "operator-of-"+zone, "zone", "out", zone, "--force", "--base", fmt.Sprint(revision))
			})
		}
		running.Wait()
		Expect(codes).To(ConsistOf(0, 4), strings.Join(outputs, "\n"))
		won, lost := zones[0], 1
		if codes[1] == 0 {
			won, lost = zones[1], 0
		}
		Expect(outputs[lost]).To(ContainSubstring("by operator-of-" + won))
		Expect(outputs[lost]).To(ContainSubstring("zone " + won + ": in -> out"))
		status := control.StatusReply{}
		text, code := f.RunCtl("-o", "json", "status")
		Expect(code).To(BeZero(), text)
		Expect(json.Unmarshal([]byte(text), &status)).To(Succeed())
		Expect(status.Orders.ZonesOut).To(HaveLen(1))
		Expect(status.Orders.ZonesOut).To(HaveKey(won))
		text, code = f.RunCtl("zone", "in", won)
		Expect(code).To(BeZero(), text)
	})
	It("refuses an order for an unknown name, and changes nothing on a dry run", func() {
		text, code := f.RunCtl("server", "out", "cheap-nroth")
		Expect(code).To(Equal(1))
		Expect(text).To(ContainSubstring("not_found"))
		text, code = f.RunCtl("server", "out", "cheap-north", "--dry-run", "--force")
		Expect(code).To(BeZero(), text)
		Expect(text).To(ContainSubstring("nothing changed"))
	})
	It("shows that the use of workspaces is not measured unless the settings say so", func() {
		text, code := f.RunCtl("shares")
		Expect(code).To(BeZero(), text)
		Expect(text).To(ContainSubstring("standings known false, 0 of"))
	})
	It("makes a change once although the leader is killed and the change is repeated with the same request id", func() {
		revision := f.currentRevision()
		args := []string{"--timeout", "30s", "server", "out", "cheap-north", "--force", "--request-id", "once", "--base", fmt.Sprint(revision)}
		leader := f.leader()
		done := make(chan int)
		go func() {
			_, code := f.RunCtl(args...)
			done <- code
		}()
		leader.Kill()
		Eventually(done, "40s").Should(Receive(BeZero()))
		text, code := f.RunCtl(args...)
		Expect(code).To(BeZero(), text)
		Expect(text).To(ContainSubstring(fmt.Sprintf("was accepted earlier as revision %d", revision+1)))
		Expect(f.currentRevision()).To(Equal(revision + 1))
		Expect(f.StartInstance(leader)).To(Succeed())
		Eventually(func() bool { return f.Ready(leader) }).Should(BeTrue())
		_, code = f.RunCtl("server", "in", "cheap-north")
		Expect(code).To(BeZero())
	})
	It("explains a request from the events of all processes", func() {
		answer, err := f.Post(f.Instances[0], "/v1/chat/completions", site.LargeKey, chatBody("cheap", "explain me", false))
		Expect(err).NotTo(HaveOccurred())
		request := answer.Header.Get("Clementinetray-Request")
		Expect(request).NotTo(BeEmpty())
		text, code := f.RunCtl("explain", request)
		Expect(code).To(BeZero(), text)
		GinkgoWriter.Println(text)
		Expect(text).To(ContainSubstring("backend_server=cheap-"))
		text, code = f.RunCtl("explain", "no-such-request")
		Expect(code).To(Equal(1), text)
	})
})

// currentRevision returns the revision of the configuration, on which the next change must be based.
func (f *fixture) currentRevision() uint64 {
	GinkgoHelper()
	text, code := f.RunCtl("-o", "json", "catalogue", "show")
	Expect(code).To(BeZero(), text)
	reply := control.CatalogueReply{}
	Expect(json.Unmarshal([]byte(text), &reply)).To(Succeed())
	return reply.Revision
}
