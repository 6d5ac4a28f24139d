package controlsvc

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/callerconn"
	"clementinetray/server/controlstate"
	"clementinetray/server/replica"
)

// testOrder is an operator's change without its base.
type testOrder struct{ path, fields string }

var (
	zoneOut   = testOrder{"/v1/zones/z", `"out":true,"force":true`}
	zoneIn    = testOrder{"/v1/zones/z", `"out":false`}
	serverOut = testOrder{"/v1/servers/s", `"out":true,"force":true`}
	serverIn  = testOrder{"/v1/servers/s", `"out":false`}
)

func rolloutTo(version string) testOrder {
	return testOrder{"/v1/services/pool/rollout", fmt.Sprintf(`"to":%q,"seconds":10`, version)}
}

// sentOrders makes the request ids of copies unique.
var sentOrders int

// latest returns the body of a copy of the order that applies to the latest revision.
func (o testOrder) latest() string {
	sentOrders++
	return fmt.Sprintf(`{"request_id":"copy-%d","by":"anna","latest":true,%s}`, sentOrders, o.fields)
}

// linkedFollower is a follower whose calls to the leader are held while hold is set.
type linkedFollower struct {
	*testService
	leader *testService
	hold   bool
	held   []*OperatorRequest
	// before is called before each call, if it isn't nil.
	before func()
}

func newLinkedFollower(leader *testService, change ...func(*Config)) *linkedFollower {
	f := &linkedFollower{leader: leader}
	link := func(c *Config) {
		c.State = leader.State
		c.Peers = callerFunc(func(_, _ string, args, reply any) error {
			if f.before != nil {
				f.before()
			}
			if f.hold {
				f.held = append(f.held, args.(*OperatorRequest))
				return context.DeadlineExceeded
			}
			return leader.Operator(args.(*OperatorRequest), reply.(*OperatorReply))
		})
	}
	f.testService = newTestService(false, append(change, link)...)
	return f
}

// order sends a copy of the order to the replica and returns the status of the answer.
func (b *testService) order(o testOrder) int {
	status, _ := b.CallOperatorAPI(context.Background(), http.MethodPost, o.path, []byte(o.latest()))
	return status
}

var _ = Describe("a change to the latest revision", func() {
	var leader *testService
	BeforeEach(func() { leader = newTestService(true).run() })

	zoneIsOut := func() bool { return len(leader.State.View().Orders.ZonesOut) == 1 }
	serverIsOut := func() bool { return len(leader.State.View().Orders.ServersOut) == 1 }
	rollsOut := func(version string) func() bool {
		return func() bool { return leader.State.View().Rollouts.Services["pool"].To == version }
	}

	// Guards against a copy of an order that its caller has given up and that undoes a newer, confirmed order when it reaches the leader.
	DescribeTable("undoes no later change although it was held up on its way to the leader",
		func(before []testOrder, late testOrder, after []testOrder, holds func() bool) {
			f := newLinkedFollower(leader)
			for _, o := range before {
				Expect(leader.order(o)).To(Equal(200))
			}
			f.hold = true
			Expect(f.order(late)).To(Equal(503))
			Expect(f.held).To(HaveLen(1))
			for _, o := range after {
				Expect(leader.order(o)).To(Equal(200))
			}
			reply := OperatorReply{}
			Expect(leader.Operator(f.held[0], &reply)).To(Succeed())
			Expect(reply.Status).To(Equal(409), string(reply.Body))
			Expect(holds()).To(BeTrue())
		},
		Entry("the end of an evacuation", []testOrder{zoneOut}, zoneIn, []testOrder{zoneIn, zoneOut}, zoneIsOut),
		Entry("the end of an evacuation that another order keeps", []testOrder{zoneOut}, zoneIn, []testOrder{zoneOut}, zoneIsOut),
		Entry("the start of an evacuation", nil, zoneOut, []testOrder{zoneOut, zoneIn}, func() bool { return !zoneIsOut() }),
		Entry("the end of a server's drain", []testOrder{serverOut}, serverIn, []testOrder{serverIn, serverOut}, serverIsOut),
		Entry("a roll-out", nil, rolloutTo("v2"), []testOrder{rolloutTo("v2"), rolloutTo("v3")}, rollsOut("v3")),
	)

	// Guards against the same copy in the log of a leader that lost its term and is committed later.
	It("undoes no later change although it is committed after that", func() {
		Expect(leader.order(zoneOut)).To(Equal(200))
		gate := make(chan struct{})
		leader.log.update(func() { leader.log.gate = gate })
		done := make(chan int)
		go func() {
			defer GinkgoRecover()
			done <- leader.order(zoneIn)
		}()
		Consistently(done, "50ms").ShouldNot(Receive())
		revision := leader.State.View().ConfigRevision
		for _, out := range []bool{false, true} {
			order := &controlstate.SetOrder{ChangeBase: control.ChangeBase{Latest: true}, AvailabilityZone: "z", Out: out}
			raw, err := (&controlstate.Command{SetOrder: order}).Encode()
			Expect(err).NotTo(HaveOccurred())
			leader.State.Apply(revision+10, raw)
		}
		close(gate)
		// The change is based on the new revision in its next attempt, since its caller still waits.
		Expect(<-done).To(Equal(200))
		proposals := leader.log.proposals()
		Expect(proposals[1].SetOrder.BaseRevision).To(Equal(revision))
		Expect(proposals[2].SetOrder.BaseRevision).To(Equal(revision + 2))
	})

	// Guards against an order that is taken although its caller has left, and may have ordered the opposite elsewhere.
	DescribeTable("leaves no trace if its caller no longer waits once the state is confirmed",
		func(o testOrder) {
			gone := func(c *Config) {
				c.CheckWaiting = func(context.Context) error { return callerconn.ErrGone.New("closed") }
			}
			alone := newTestService(true, gone).run()
			Expect(alone.order(o)).To(Equal(503))
			Expect(alone.log.proposals()).To(BeEmpty())
			f := newLinkedFollower(leader, gone)
			f.before = func() { Fail("the order is passed on") }
			Expect(f.order(o)).To(Equal(503))
		},
		Entry("zone out", zoneOut), Entry("zone in", zoneIn), Entry("server out", serverOut), Entry("roll-out", rolloutTo("v2")),
	)

	// Guards against orders that are refused because other changes are made at the same time.
	It("is tried again when another change came between", func() {
		f, others := newLinkedFollower(leader), 0
		f.before = func() {
			if others++; others <= 3 {
				Expect(leader.order(testOrder{fmt.Sprintf("/v1/zones/z%d", others), zoneOut.fields})).To(Equal(200))
			}
		}
		Expect(f.order(zoneOut)).To(Equal(200))
		Expect(leader.State.View().Orders.ZonesOut).To(HaveKey("z"))
	})
	It("ends with a conflict when others change the configuration all the time", func() {
		f, others := newLinkedFollower(leader), 0
		f.before = func() {
			others++
			Expect(leader.order(testOrder{fmt.Sprintf("/v1/zones/z%d", others), zoneOut.fields})).To(Equal(200))
		}
		Expect(f.order(zoneOut)).To(Equal(409))
		Expect(others).To(Equal(maxLatestAttempts))
	})
	// Guards against an order that waits for its caller's deadline although no leader can take it.
	DescribeTable("is not taken when the group can't decide",
		func(change func(*fakeLog)) {
			f := newLinkedFollower(leader)
			f.before = func() { Fail("the order is passed on") }
			f.log.update(func() { change(f.log) })
			Expect(f.order(zoneOut)).To(Equal(503))
		},
		Entry("no leader is known", func(l *fakeLog) { l.leadership = replica.Leadership{} }),
		Entry("the state can't be confirmed", func(l *fakeLog) { l.readError = replica.ErrOutcomeUnknown.New("") }),
	)

	// Guards against changes whose base is replaced although the operator named one, and against a second decoding that hides faults.
	DescribeTable("is told from other requests",
		func(body string, want bool) {
			_, got := parseLatest([]byte(body))
			Expect(got).To(Equal(want))
		},
		Entry("latest", `{"latest":true,"base_revision":3}`, true),
		Entry("a base revision", `{"base_revision":3}`, false),
		Entry("not latest", `{"latest":false}`, false),
		Entry("a dry run", `{"latest":true,"dry_run":true}`, false),
		Entry("the word in a text", `{"reason":"\"latest\":true"}`, false),
		Entry("two values", `{"latest":true}{}`, false),
		Entry("no object", `["latest"]`, false),
	)
	It("keeps the other fields", func() {
		change, ok := parseLatest([]byte(`{"latest":true,"request_id":"a","by":"anna","out":true,"reason":"a \u003c b"}`))
		Expect(ok).To(BeTrue())
		for _, revision := range []uint64{7, 1 << 60} {
			body, err := change.basedOn(revision)
			Expect(err).NotTo(HaveOccurred())
			in := control.OrderRequest{}
			decoder := json.NewDecoder(strings.NewReader(string(body)))
			decoder.DisallowUnknownFields()
			Expect(decoder.Decode(&in)).To(Succeed())
			Expect(in).To(Equal(control.OrderRequest{
				ChangeBase: control.ChangeBase{BaseRevision: revision, RequestID: "a", By: "anna"}, Out: true, Reason: "a < b",
			}))
		}
	})
})
