package controlsvc

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/replica"
)

func heartbeat(boot string, sequence uint64) *control.HeartbeatRequest {
	return &control.HeartbeatRequest{
		Meta: meta(boot), Sequence: sequence, Member: control.Member{Instance: "e1", Boot: boot},
		Demand: []control.Grant{{Key: "k", Amount: 1}}, Outcomes: []control.Outcome{{Requests: 1}},
	}
}

var _ = Describe("entry instances", func() {
	var b *testService
	sendHeartbeat := func(in *control.HeartbeatRequest) error { return b.Heartbeat(in, &control.HeartbeatReply{}) }
	state := func(request string) control.CallState {
		out := &control.BeginCallReply{}
		Expect(b.BeginCall(beginRequest("k", request, "b9"), out)).To(Succeed())
		return out.State
	}
	BeforeEach(func() {
		b = newTestService(true)
		b.readyTerm.Store(1) // Run is not active, so that sweeps run only when a spec calls sweep.
		Expect(sendHeartbeat(heartbeat("b1", 1))).To(Succeed())
		Expect(b.BeginCall(beginRequest("k", "r1", "b1"), &control.BeginCallReply{})).To(Succeed())
	})
	sweep := func() { b.sweepOnce(context.Background()) }

	It("keeps calls while heartbeats arrive", func() {
		for i := range uint64(20) {
			b.clock.advance(time.Second)
			Expect(sendHeartbeat(heartbeat("b1", i+2))).To(Succeed())
			sweep()
		}
		Expect(state("r2")).To(Equal(control.CallInProgress))
		Expect(b.allocator.goneBoots()).To(BeEmpty())
	})
	It("marks the calls of an instance without a heartbeat for 5 s", func() {
		b.clock.advance(HeartbeatTimeout - time.Millisecond)
		sweep()
		Expect(state("r2")).To(Equal(control.CallInProgress))
		b.clock.advance(time.Millisecond)
		sweep()
		Expect(state("r3")).To(Equal(control.CallOutcomeUnknown))
		Expect(b.allocator.goneBoots()).To(Equal([]string{"e1/b1"}))
		Expect(b.allocator.orderly).To(Equal([]bool{false}), "its grants must count until they expire")
	})
	It("marks the calls of a replaced boot at once and refuses its late heartbeats and calls", func() {
		Expect(sendHeartbeat(heartbeat("b2", 1))).To(Succeed())
		sweep()
		Expect(state("r2")).To(Equal(control.CallOutcomeUnknown))
		Expect(control.ErrInvalid.Has(sendHeartbeat(heartbeat("b1", 9)))).To(BeTrue())
		late := b.BeginCall(beginRequest("other", "r9", "b1"), &control.BeginCallReply{})
		Expect(control.ErrInvalid.Has(late)).To(BeTrue())
		Expect(sendHeartbeat(heartbeat("b2", 2))).To(Succeed())
		Expect(b.allocator.goneBoots()).To(Equal([]string{"e1/b1"}))
	})
	It("gives holders 5 s after a change of leader before their calls count as lost", func() {
		b.members.reset()
		sweep()
		b.clock.advance(HeartbeatTimeout - time.Millisecond)
		sweep()
		Expect(state("r2")).To(Equal(control.CallInProgress))
		Expect(sendHeartbeat(heartbeat("b1", 2))).To(Succeed())
		b.clock.advance(time.Second)
		sweep()
		Expect(state("r3")).To(Equal(control.CallInProgress))
	})
	It("marks the calls of a holder that never reaches the new leader", func() {
		b.members.reset()
		sweep()
		b.clock.advance(HeartbeatTimeout)
		sweep()
		Expect(state("r2")).To(Equal(control.CallOutcomeUnknown))
	})
	It("retries after a failed proposal", func() {
		b.log.update(func() { b.log.proposeError = replica.ErrOutcomeUnknown.New("") })
		b.clock.advance(HeartbeatTimeout)
		sweep()
		b.log.update(func() { b.log.proposeError = nil })
		sweep()
		Expect(state("r2")).To(Equal(control.CallOutcomeUnknown))
	})
	It("counts the outcomes of a repeated heartbeat once", func() {
		Expect(sendHeartbeat(heartbeat("b1", 2))).To(Succeed())
		Expect(sendHeartbeat(heartbeat("b1", 2))).To(Succeed())
		Expect(b.sink.outcomes).To(Equal(2))
	})
	It("counts the outcomes of a heartbeat once that is repeated after the instance was removed as silent", func() {
		Expect(sendHeartbeat(heartbeat("b1", 2))).To(Succeed())
		b.clock.advance(HeartbeatTimeout)
		sweep()
		Expect(sendHeartbeat(heartbeat("b1", 2))).To(Succeed())
		Expect(b.sink.outcomes).To(Equal(2))
		Expect(sendHeartbeat(heartbeat("b1", 3))).To(Succeed())
		Expect(b.sink.outcomes).To(Equal(3))
	})
	It("counts the outcomes of the last heartbeat of a leaving instance once", func() {
		in := heartbeat("b1", 2)
		in.Leaving = true
		Expect(sendHeartbeat(in)).To(Succeed())
		Expect(sendHeartbeat(in)).To(Succeed())
		Expect(b.sink.outcomes).To(Equal(2))
	})
	It("ends the grants of a leaving instance once it holds no slot", func() {
		in := heartbeat("b1", 2)
		in.Leaving, in.Slots = true, []control.Slot{{Key: "suspect/s", ID: "1"}}
		Expect(sendHeartbeat(in)).To(Succeed())
		Expect(b.allocator.goneBoots()).To(BeEmpty())
		in.Sequence, in.Slots = 3, nil
		Expect(sendHeartbeat(in)).To(Succeed())
		Expect(b.allocator.goneBoots()).To(Equal([]string{"e1/b1"}))
		Expect(b.allocator.orderly).To(Equal([]bool{true}))
		b.clock.advance(HeartbeatTimeout)
		sweep()
		Expect(b.allocator.goneBoots()).To(HaveLen(1))
		Expect(state("r2")).To(Equal(control.CallOutcomeUnknown))
	})
	It("promotes a learner only once its synced log has reached the commit index", func() {
		b.log.status.CommitIndex = 9
		b.log.status.Members = append(b.log.status.Members, replica.MemberStatus{ID: "c4", MatchIndex: 8})
		sweep()
		Expect(b.log.promoted).To(BeEmpty())
		b.log.status.Members[3].MatchIndex = 9
		sweep()
		Expect(b.log.promoted).To(Equal([]string{"c4"}))
	})
	It("remembers a bounded number of replaced boots", func() {
		for i := range maxRetiredBoots + 10 {
			Expect(sendHeartbeat(heartbeat(string(rune(0x1000+i)), 1))).To(Succeed())
		}
		Expect(b.members.retired).To(HaveLen(maxRetiredBoots))
	})
})
