package entry

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
)

func testMetrics() *metrics {
	m, err := newMetrics(prometheus.NewRegistry())
	Expect(err).NotTo(HaveOccurred())
	return m
}

var _ = Describe("a connection", func() {
	pair := func() *sealableConn {
		near, far := net.Pipe()
		go func() {
			buffer := make([]byte, 100)
			for {
				if _, err := far.Read(buffer); err != nil {
					return
				}
			}
		}()
		DeferCleanup(func() { _, _ = near.Close(), far.Close() })
		return &sealableConn{Conn: near}
	}

	It("accepts no byte after it was sealed (guards against a request that runs although its refusal said not run)", func() {
		c := pair()
		var t connTrace
		t.gotConn(httptrace.GotConnInfo{Conn: c})
		Expect(t.seal()).To(BeFalse())
		_, err := c.Write([]byte("GET"))
		Expect(errSealed.Has(err)).To(BeTrue())
		By("sealing also a connection that the transport gets later")
		late := pair()
		t.gotConn(httptrace.GotConnInfo{Conn: late})
		_, err = late.Write([]byte("GET"))
		Expect(errSealed.Has(err)).To(BeTrue())
	})

	It("counts only the writes of its attempt (guards against a needless unknown outcome on a reused connection)", func() {
		c := pair()
		_, err := c.Write([]byte("earlier request"))
		Expect(err).NotTo(HaveOccurred())
		var t connTrace
		t.gotConn(httptrace.GotConnInfo{Conn: c, Reused: true})
		Expect(t.seal()).To(BeFalse())
		var other connTrace
		d := pair()
		other.gotConn(httptrace.GotConnInfo{Conn: d})
		_, err = d.Write([]byte("this request"))
		Expect(err).NotTo(HaveOccurred())
		Expect(other.seal()).To(BeTrue())
	})

	It("counts a failed write as written (guards against a wrong not run)", func() {
		c := pair()
		var t connTrace
		t.gotConn(httptrace.GotConnInfo{Conn: c})
		Expect(c.Conn.Close()).To(Succeed())
		_, err := c.Write([]byte("GET"))
		Expect(err).To(HaveOccurred())
		Expect(t.seal()).To(BeTrue())
	})

	It("of an unknown type counts as written (guards against a wrong not run)", func() {
		var t connTrace
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		t.gotConn(httptrace.GotConnInfo{Conn: near})
		Expect(t.seal()).To(BeTrue())
	})
})

var _ = Describe("attempts on backend servers that stopped without closing their connections", func() {
	// Guards against requests that hang on a dead server, and against streams cut because the fleet table is being rebuilt.
	DescribeTable("are ended by the fleet table",
		func(row *control.BackendServer, silent time.Duration, ended bool) {
			r, now := newRunningAttempts(), time.Now()
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			a := &runningAttempt{server: "b1", boot: "1", cancel: cancel}
			r.add(a)
			fleet := &blackboard.Fleet{Servers: map[string]*control.BackendServer{}}
			if row != nil {
				fleet.Servers["b1"] = row
			}
			r.cancelDead(fleet, now.Add(silent))
			Expect(errRestarted.Has(context.Cause(ctx))).To(Equal(ended))
		},
		Entry("same boot, silent for long", &control.BackendServer{Announcement: control.Announcement{Boot: "1"}}, time.Hour, false),
		Entry("other boot", &control.BackendServer{Announcement: control.Announcement{Boot: "2"}}, time.Duration(0), true),
		Entry("no row, still sending", nil, time.Second, false),
		Entry("no row, silent for long", nil, time.Minute, true),
	)
})

var _ = Describe("the time to the first token", func() {
	// Guards against a cold backend server that gets full load, and against suspicion of one that had a single long prompt.
	DescribeTable("makes a backend server suspect after three consecutive slow requests",
		func(pattern string, suspected int) {
			l, v := newLatencyWatch(), catalogue.VersionRef{Model: "m", Version: "v"}
			for range 2 * minLatencySamples {
				Expect(l.observe(v, serverBoot{"other", "1"}, 100*time.Millisecond)).To(BeFalse())
			}
			reports := 0
			for _, kind := range pattern {
				d := map[rune]time.Duration{'f': 100 * time.Millisecond, 'm': 350 * time.Millisecond, 's': 2 * time.Second}[kind]
				if l.observe(v, serverBoot{"b", "1"}, d) {
					reports++
				}
			}
			Expect(reports).To(Equal(suspected))
		},
		Entry("three consecutive slow requests", "sss", 1),
		Entry("a fast request in between", "ssfss", 0),
		Entry("less than four times the median", "mmmm", 0),
		Entry("three more slow requests", "ssssss", 2),
	)

	It("reports nothing before the median is known or for differences of milliseconds (guards against suspicion without cause)", func() {
		l, v := newLatencyWatch(), catalogue.VersionRef{Model: "m", Version: "v"}
		for range minLatencySamples - 1 {
			Expect(l.observe(v, serverBoot{"b", "1"}, 2*time.Second)).To(BeFalse())
		}
		l = newLatencyWatch()
		for range 2 * minLatencySamples {
			l.observe(v, serverBoot{"other", "1"}, 2*time.Millisecond)
		}
		for range 5 {
			Expect(l.observe(v, serverBoot{"b", "1"}, 100*time.Millisecond)).To(BeFalse())
		}
	})
})

var _ = Describe("the load of a backend server", func() {
	It("counts each request once, either by the report or by the correction (guards against doubled load)", func() {
		var s loadCorrections
		begin := time.Now().Add(-10 * time.Second)
		report := func(at time.Time) {
			s.observe(&blackboard.Fleet{ReceivedAt: at, Servers: map[string]*control.BackendServer{"b": {}}})
		}
		ended := s.add("b", begin)
		running := s.add("b", begin)
		Expect(s.get("b")).To(Equal(2))
		report(begin.Add(time.Second))
		Expect(s.get("b")).To(BeZero(), "the report includes both")
		s.add("b", begin.Add(2*time.Second))
		Expect(s.get("b")).To(Equal(1))
		ended()
		ended()
		Expect(s.get("b")).To(BeZero(), "one request began after the report and one that the report includes has ended")
		report(begin.Add(3 * time.Second))
		Expect(s.get("b")).To(Equal(-1), "the report may have been made before the other request ended")
		report(time.Now().Add(time.Second))
		Expect(s.get("b")).To(BeZero())
		running()
		Expect(s.get("b")).To(Equal(-1))
	})
})

var _ = Describe("bounded tables", func() {
	It("keep the most recently used pins (guards against unbounded memory for session ids)", func() {
		c := newSessionCache(3)
		key := func(i int) sessionKey { return sessionKey{workspace: "w", session: fmt.Sprint(i)} }
		for i := range 3 {
			c.put(key(i), catalogue.VersionRef{Model: "m"}, time.Now())
		}
		c.get(key(0))
		c.put(key(3), catalogue.VersionRef{Model: "m"}, time.Now())
		_, kept := c.get(key(0))
		_, dropped := c.get(key(1))
		Expect(kept).To(BeTrue())
		Expect(dropped).To(BeFalse())
		Expect(c.byKey).To(HaveLen(3))
		Expect(c.order.Len()).To(Equal(3))
	})

	It("keep a bounded number of crash counts and forget old ones (guards against unbounded memory)", func() {
		c := newCrashCache()
		now := time.Now()
		for i := range 3 * maxCachedCrashes {
			c.put(fmt.Sprint(i), 1, now)
		}
		Expect(len(c.byFingerprint)).To(BeNumerically("<=", maxCachedCrashes))
		c.put("x", 2, now)
		Expect(c.get("x", now)).To(Equal(2))
		Expect(c.get("x", now.Add(crashCacheTTL+time.Second))).To(BeZero())
	})

	It("keep the events of all streams within the memory limit (guards against unbounded memory for streams)", func() {
		const limit = 200_000
		s := newAnswerStore(time.Hour, limit, testMetrics())
		data := []byte(strings.Repeat("x", 1000))
		var last *answerLog
		for i := range 50 {
			last = s.open(fmt.Sprint(i), "w", time.Minute, func() {})
			f, ok := last.follow(1)
			Expect(ok).To(BeTrue())
			for range 10 {
				Expect(last.append(context.Background(), "", data)).To(BeTrue())
				frames, _, _ := f.unread()
				f.advance(frames)
			}
			f.close()
			last.end(nil, nil)
			Expect(s.totalBytes.Load()).To(BeNumerically("<=", limit))
		}
		Expect(s.get("0")).To(BeNil(), "the log that ended first is deleted first")
		Expect(s.get("49")).To(Equal(last))
		s.expire(time.Now().Add(2 * time.Hour))
		Expect(s.totalBytes.Load()).To(BeZero())
		Expect(s.byID).To(BeEmpty())
	})

	It("drop only delivered events of a long stream (guards against gaps in an answer)", func() {
		s := newAnswerStore(time.Hour, 64<<20, testMetrics())
		l := s.open("r", "w", time.Minute, func() {})
		f, _ := l.follow(1)
		data := []byte(strings.Repeat("x", 10_000))
		for range 300 {
			Expect(l.append(context.Background(), "", data)).To(BeTrue())
			frames, _, lost := f.unread()
			Expect(lost).To(BeFalse())
			Expect(frames).To(HaveLen(1))
			f.advance(frames)
		}
		Expect(l.keptBytes).To(BeNumerically("<=", maxKeptBytes+20_000))
		_, ok := l.follow(1)
		Expect(ok).To(BeFalse(), "the first events were dropped")
		_, ok = l.follow(300)
		Expect(ok).To(BeTrue())
	})

	It("make the producer wait for a caller that is too far behind (guards against unbounded memory)", func() {
		s := newAnswerStore(time.Hour, 64<<20, testMetrics())
		l := s.open("r", "w", time.Minute, func() {})
		f, _ := l.follow(1)
		data := []byte(strings.Repeat("x", maxUndeliveredBytes+1))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(l.append(ctx, "", data)).To(BeFalse())
		frames, _, _ := f.unread()
		f.advance(frames)
		Expect(l.append(context.Background(), "", []byte("x"))).To(BeTrue())
	})

	It("end a follower that has received all events when its log is deleted (guards against an error after a complete answer)", func() {
		s := newAnswerStore(time.Hour, 64<<20, testMetrics())
		l := s.open("r", "w", time.Minute, func() {})
		f, _ := l.follow(1)
		l.append(context.Background(), "", []byte("x"))
		frames, _, _ := f.unread()
		f.advance(frames)
		l.end(nil, nil)
		s.expire(time.Now().Add(2 * time.Hour))
		_, ended, lost := f.unread()
		Expect(ended).To(BeTrue())
		Expect(lost).To(BeFalse())
	})

	It("drop the oldest pending control calls (guards against unbounded memory while control is unavailable)", func() {
		p := newPendingList(2, func(context.Context, []int) error { return Error.New("away") })
		for i := range 5 {
			p.add(i)
		}
		Expect(p.items).To(Equal([]int{3, 4}))
	})
})

var _ = DescribeTable("the cost of tokens is rounded to the nearest micro-unit (guards against rounding errors that add up)",
	func(price int64, tokens int, want int64) {
		c := &catalogue.Catalogue{Models: []catalogue.Model{{Name: "m", Versions: []catalogue.Version{{Name: "v", CostPerMillionTokens: price}}}}}
		Expect(costMicros(c, catalogue.VersionRef{Model: "m", Version: "v"}, tokens)).To(Equal(want))
	},
	Entry("exact", int64(2_000_000), 3, int64(6)),
	Entry("half up", int64(500_000), 1, int64(1)),
	Entry("down", int64(400_000), 1, int64(0)),
	Entry("no overflow at a large price", int64(1_000_000_000_000), 100_000, int64(100_000_000_000)),
)
