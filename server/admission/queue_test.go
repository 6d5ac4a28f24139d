package admission

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

func testWaiter(pool string, priority int, usage float64) *Waiter {
	return NewWaiter(pool, QueuedRequest{Priority: priority, Use: usage, Since: time.Now()}, nil)
}

func newTestQueue(limit int) *Queue { return NewQueue(limit, ByPriority, func(int) {}) }

var _ = Describe("the wait queue", func() {
	// Guards against the refusal of an important request, or of a small workspace, in favour of another.
	DescribeTable("refuses the lowest class and then the largest share first",
		func(first, second *Waiter, refused int) {
			q := newTestQueue(1)
			q.Enqueue(time.Now(), first)
			q.Enqueue(time.Now(), second)
			both := []*Waiter{first, second}
			Expect(both[refused].refused).To(BeClosed())
			Expect(both[1-refused].refused).NotTo(BeClosed())
		},
		Entry("lower class came first", testWaiter("p", 1, 0), testWaiter("p", 2, 9), 0),
		Entry("lower class came second", testWaiter("p", 2, 9), testWaiter("p", 1, 0), 1),
		Entry("larger share came first", testWaiter("p", 1, 3), testWaiter("p", 1, 2), 0),
		Entry("larger share came second", testWaiter("p", 1, 2), testWaiter("p", 1, 3), 1),
		Entry("equal rank: the later one is refused", testWaiter("p", 1, 2), testWaiter("p", 1, 2), 1),
	)

	It("lets no request overtake one of the same pool with a higher rank (guards against starvation by new requests)", func() {
		q := newTestQueue(10)
		waiting := testWaiter("p", 2, 1)
		q.Enqueue(time.Now(), waiting)
		passes := func(w *Waiter) bool { return !q.IsOutranked(time.Now(), nil, func() *Waiter { return w }) }
		Expect(passes(testWaiter("p", 1, 0))).To(BeFalse())
		Expect(passes(testWaiter("p", 2, 2))).To(BeFalse())
		Expect(passes(testWaiter("p", 3, 9))).To(BeTrue())
		Expect(passes(testWaiter("other", 1, 0))).To(BeTrue())
		Expect(q.IsOutranked(time.Now(), waiting, nil)).To(BeFalse())
		By("not waiting behind a request that may not use every backend server")
		q.Update(waiting, "", nil, false)
		Expect(passes(testWaiter("p", 1, 0))).To(BeTrue())
		Expect(passes(testWaiter("", 1, 0))).To(BeTrue())
	})

	It("wakes the next waiter when one leaves (guards against a free backend server that no request uses)", func() {
		q := newTestQueue(10)
		first, second := testWaiter("p", 2, 0), testWaiter("p", 1, 0)
		q.Enqueue(time.Now(), second)
		q.Enqueue(time.Now(), first)
		q.WakeFirst(time.Now(), "p")
		Expect(first.wake).To(Receive())
		Expect(second.wake).NotTo(Receive())
		q.Remove(time.Now(), first)
		Expect(second.wake).To(Receive())
	})
})

var _ = DescribeTable("order of refusals under overload",
	func(waiting []QueuedRequest, want int) {
		q, waiters := newTestQueue(max(len(waiting)-1, 0)), make([]*Waiter, len(waiting))
		for i, w := range waiting {
			waiters[i] = NewWaiter("p", w, nil)
			q.Enqueue(start, waiters[i])
		}
		q.WakeFirst(start, "p")
		refused := -1
		for i, w := range waiters {
			select {
			case <-w.refused:
				Expect(refused).To(Equal(-1))
				refused = i
			default:
			}
		}
		Expect(refused).To(Equal(want))
	},
	Entry("guards against refusing a class of high priority before one of low priority", []QueuedRequest{{Priority: 2, Use: 0.9}, {Priority: 1, Use: 0.1}}, 1),
	Entry("guards against refusing a workspace with smaller use first", []QueuedRequest{{Use: 0.3}, {Use: 0.8}, {Use: 0.5}}, 1),
	Entry("guards against a weight that has no effect", []QueuedRequest{{Use: 0.6, Weight: 1}, {Use: 0.8, Weight: 4}}, 0),
	Entry("guards against the longest waiting request being refused first", []QueuedRequest{{Since: start}, {Since: start.Add(time.Second)}}, 1),
	Entry("guards against an index into an empty slice", nil, -1),
)

var start = time.Unix(1_000_000, 0)
