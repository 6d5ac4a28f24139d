package announce_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/announce"
)

// slowLeader is a Forwarder that takes a time for each call and records the calls.
type slowLeader struct {
	delay time.Duration
	fail  func(call int) error

	mu              sync.Mutex
	calls           int
	concurrent      int
	maxConcurrent   int
	announced, left []string
}

func (l *slowLeader) Announce(_ context.Context, in *control.AnnounceRequest) error {
	l.mu.Lock()
	l.calls++
	l.concurrent++
	l.maxConcurrent = max(l.maxConcurrent, l.concurrent)
	call := l.calls
	for _, a := range in.Announcements {
		l.announced = append(l.announced, a.ID)
	}
	for _, leave := range in.Leaves {
		l.left = append(l.left, leave.ID)
	}
	l.mu.Unlock()
	time.Sleep(l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.concurrent--
	if l.fail != nil {
		return l.fail(call)
	}
	return nil
}

func announceRequest(id string) *control.AnnounceRequest {
	return &control.AnnounceRequest{Announcements: []control.Announcement{{ID: id}}}
}

var _ = Describe("a batcher of announcements", func() {
	// 3,000 backend servers that announce themselves every 1.2 s through 5 control instances are 500 a second at each.
	It("passes a second of the announcements of 3,000 backend servers on in few calls (guards against a leader that a large fleet's announcements keep busy)", func() {
		leader := &slowLeader{delay: 2 * time.Millisecond}
		b := announce.NewBatcher(leader)
		var senders sync.WaitGroup
		for i := range 500 {
			senders.Go(func() {
				defer GinkgoRecover()
				time.Sleep(time.Duration(i) * 2 * time.Millisecond)
				began := time.Now()
				Expect(b.Announce(context.Background(), announceRequest(fmt.Sprint(i)))).To(Succeed())
				Expect(time.Since(began)).To(BeNumerically("<", 900*time.Millisecond), "a backend server waits a second")
			})
		}
		senders.Wait()
		leader.mu.Lock()
		defer leader.mu.Unlock()
		Expect(leader.announced).To(HaveLen(500))
		Expect(leader.calls).To(BeNumerically("<=", 51), "one call in 20 ms")
		Expect(leader.maxConcurrent).To(Equal(1))
	})

	It("tells each sender the result of its own call, and passes leaves on", func() {
		leader := &slowLeader{fail: func(call int) error {
			if call == 1 {
				return errors.New("no leader")
			}
			return nil
		}}
		b := announce.NewBatcher(leader)
		Expect(b.Announce(context.Background(), announceRequest("a"))).To(MatchError("no leader"))
		Expect(b.Announce(context.Background(), &control.AnnounceRequest{Leaves: []control.Leave{{ID: "b"}}})).To(Succeed())
		leader.mu.Lock()
		defer leader.mu.Unlock()
		Expect(leader.left).To(Equal([]string{"b"}))
	})

	It("returns when the sender's time ends, without a second call meanwhile", func() {
		leader := &slowLeader{delay: 300 * time.Millisecond}
		b := announce.NewBatcher(leader)
		for range 5 {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
			Expect(b.Announce(ctx, announceRequest("a"))).NotTo(Succeed())
			cancel()
		}
		leader.mu.Lock()
		defer leader.mu.Unlock()
		Expect(leader.calls).To(Equal(1))
	})
})
