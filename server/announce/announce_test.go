package announce_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/announce"
)

func TestAnnounce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "announce")
}

// fakeControl records batches of announcements. It implements no other call.
type fakeControl struct {
	control.Client
	mu      sync.Mutex
	failing bool
	batches [][]control.Announcement
}

func (c *fakeControl) Announce(_ context.Context, in *control.AnnounceRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing {
		return control.ErrUnavailable.New("set to fail")
	}
	c.batches = append(c.batches, in.Announcements)
	return nil
}

func (c *fakeControl) receivedBatches() [][]control.Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([][]control.Announcement(nil), c.batches...)
}

func (c *fakeControl) setFailing(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = failing
}

func newHandler(c *fakeControl) *announce.Handler {
	h, err := announce.New(announce.Config{Control: c, MaxBody: 10_000, MaxPending: 3})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(h.Close)
	return h
}

func post(h http.Handler, body string) (*httptest.ResponseRecorder, problem.Problem) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
	var p problem.Problem
	if w.Code != http.StatusNoContent {
		Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed(), w.Body.String())
	}
	return w, p
}

func announcement(id string, change map[string]any) string {
	fields := map[string]any{
		"id": id, "address": "10.0.0.1:8000", "boot": "b1", "availability_zone": "a", "capacity": 8, "running": 1, "queued": 0,
		"versions": []any{map[string]any{"model": "m", "version": "v"}},
	}
	for name, value := range change {
		if value == nil {
			delete(fields, name)
			continue
		}
		fields[name] = value
	}
	body, err := json.Marshal(fields)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

var _ = Describe("announcements", func() {
	It("are forwarded in batches with the newest one of each backend server (guards against one call for each announcement)", func() {
		c := &fakeControl{}
		h := newHandler(c)
		for range 2 {
			for _, id := range []string{"s1", "s2"} {
				w, _ := post(h, announcement(id, map[string]any{"running": 2, "later_field": true}))
				Expect(w.Code).To(Equal(http.StatusNoContent))
			}
		}
		Eventually(c.receivedBatches).Should(HaveLen(1))
		batch := c.receivedBatches()[0]
		Expect(batch).To(HaveLen(2))
		Expect(batch[0].ID).To(Equal("s1"))
		Expect(batch[0].Running).To(Equal(2))
		Expect(batch[0].ColdCapacity).To(Equal(1), "the default")
	})

	It("are kept without duplicates while control is unavailable (guards against backend servers that drop out during a leader change)", func() {
		c := &fakeControl{}
		c.setFailing(true)
		h := newHandler(c)
		post(h, announcement("s1", nil))
		time.Sleep(250 * time.Millisecond)
		post(h, announcement("s1", map[string]any{"running": 5}))
		c.setFailing(false)
		Eventually(c.receivedBatches).Should(HaveLen(1))
		Expect(c.receivedBatches()[0]).To(HaveLen(1))
		Expect(c.receivedBatches()[0][0].Running).To(Equal(5))
	})

	It("are refused when too many are pending (guards against unbounded memory)", func() {
		c := &fakeControl{}
		c.setFailing(true)
		h := newHandler(c)
		for i := range 3 {
			w, _ := post(h, announcement(fmt.Sprint("s", i), nil))
			Expect(w.Code).To(Equal(http.StatusNoContent))
		}
		w, p := post(h, announcement("s9", nil))
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(p.Reason).To(Equal(problem.Overloaded))
		w, _ = post(h, announcement("s1", nil))
		Expect(w.Code).To(Equal(http.StatusNoContent), "the announcement of a pending backend server is replaced")
	})

	It("are forwarded before the handler stops (guards against the loss of an announcement that a backend server leaves)", func() {
		c := &fakeControl{}
		h := newHandler(c)
		post(h, announcement("s1", map[string]any{"leaving": true}))
		h.Close()
		Expect(c.receivedBatches()).To(HaveLen(1))
		Expect(c.receivedBatches()[0][0].Leaving).To(BeTrue())
	})

	// Guards against invalid data in the fleet table and against refusals without a reason.
	DescribeTable("with an invalid field are refused with its name",
		func(change map[string]any, field string) {
			c := &fakeControl{}
			_, p := post(newHandler(c), announcement("s1", change))
			Expect(p.Reason).To(Equal(problem.InvalidRequest))
			Expect(p.Status).To(Equal(http.StatusBadRequest))
			Expect(p.Fields).To(ContainElement(HaveKeyWithValue("field", field)))
			Consistently(c.receivedBatches, 150*time.Millisecond).Should(BeEmpty())
		},
		Entry("no id", map[string]any{"id": nil}, "id"),
		Entry("id with a slash", map[string]any{"id": "a/b"}, "id"),
		Entry("id too long", map[string]any{"id": strings.Repeat("x", 200)}, "id"),
		Entry("id of a wrong type", map[string]any{"id": 7}, "id"),
		Entry("no boot", map[string]any{"boot": nil}, "boot"),
		Entry("no availability zone", map[string]any{"availability_zone": ""}, "availability_zone"),
		Entry("no address", map[string]any{"address": nil}, "address"),
		Entry("address without a port", map[string]any{"address": "10.0.0.1"}, "address"),
		Entry("address with a path", map[string]any{"address": "evil/x:80"}, "address"),
		Entry("port out of range", map[string]any{"address": "10.0.0.1:70000"}, "address"),
		Entry("negative capacity", map[string]any{"capacity": -1}, "capacity"),
		Entry("no capacity", map[string]any{"capacity": nil}, "capacity"),
		Entry("huge capacity", map[string]any{"capacity": 1_000_000_000}, "capacity"),
		Entry("fractional capacity", map[string]any{"capacity": 1.5}, "capacity"),
		Entry("capacity as text", map[string]any{"capacity": "8"}, "capacity"),
		Entry("negative cold capacity", map[string]any{"cold_capacity": -1}, "cold_capacity"),
		Entry("cold capacity over capacity", map[string]any{"cold_capacity": 9}, "cold_capacity"),
		Entry("negative running", map[string]any{"running": -1}, "running"),
		Entry("negative queued", map[string]any{"queued": -1}, "queued"),
		Entry("service beside versions", map[string]any{"service": "orders"}, "service"),
		Entry("version without a model", map[string]any{"versions": []any{map[string]any{"version": "v"}}}, "versions[0].model"),
		Entry("version listed twice", map[string]any{"versions": []any{
			map[string]any{"model": "m", "version": "v"}, map[string]any{"model": "m", "version": "v"},
		}}, "versions[1]"),
	)

	DescribeTable("that are not a complete JSON object are refused (guards against partial announcements)",
		func(body string, reason problem.Reason) {
			_, p := post(newHandler(&fakeControl{}), body)
			Expect(p.Reason).To(Equal(reason))
			Expect(p.Fields).To(ContainElement(HaveKeyWithValue("field", "body")))
		},
		Entry("truncated", `{"id":"s1","addr`, problem.InvalidRequest),
		Entry("empty", ``, problem.InvalidRequest),
		Entry("a list", `[]`, problem.InvalidRequest),
		Entry("not JSON", `id=s1`, problem.InvalidRequest),
		Entry("over the limit", `{"id":"`+strings.Repeat("x", 20_000)+`"}`, problem.BodyTooLarge),
	)

	It("with data after the object are refused (guards against two announcements in one body)", func() {
		body := announcement("s1", nil)
		_, p := post(newHandler(&fakeControl{}), body+body)
		Expect(p.Reason).To(Equal(problem.InvalidRequest))
	})
})
