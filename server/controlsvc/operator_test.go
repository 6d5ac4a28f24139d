package controlsvc

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/api/problem"
	"clementinetray/server/controlstate"
	"clementinetray/server/jsonbound"
	"clementinetray/server/replica"
)

const token = "operator-token"

var tokenHash = func() string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}()

func sendRequest(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

type operatorAnswer struct {
	problem.Problem
	control.ChangeReply
	Fields json.RawMessage `json:"fields"`
}

func parseAnswer(w *httptest.ResponseRecorder) operatorAnswer {
	var a operatorAnswer
	Expect(json.Unmarshal(w.Body.Bytes(), &a)).To(Succeed(), w.Body.String())
	return a
}

const validCatalogue = `{"models":[{"name":"claims","owner":"team","versions":[{"name":"v1","cost_per_million_tokens":1},{"name":"v2","cost_per_million_tokens":1}]}],"workspaces":[]}`

func catalogueChange(revision int, id, catalogue string) string {
	return fmt.Sprintf(`{"base_revision":%d,"request_id":%q,"by":"anna","catalogue":%s}`, revision, id, catalogue)
}

func backendServer(id, zone string, running, capacity int) control.BackendServer {
	return control.BackendServer{Phase: control.PhaseInService, Announcement: control.Announcement{
		ID: id, AvailabilityZone: zone, Running: running, Capacity: capacity, Versions: []catalogue.VersionRef{ref("v1")},
	}}
}

// hangingCaller is a Caller whose calls hang until their context ends.
type hangingCaller struct{}

func (hangingCaller) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

var _ = Describe("the operator API", func() {
	var b *testService
	var h http.Handler
	BeforeEach(func() {
		b = newTestService(true).run()
		h = b.OperatorHandler([]string{tokenHash})
	})

	DescribeTable("requests without a valid token get no details", func(header string) {
		r := httptest.NewRequest("GET", "/v1/status", nil)
		r.Header.Set("Authorization", header)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		Expect(w.Code).To(Equal(401))
		Expect(parseAnswer(w).Detail).To(BeEmpty())
	}, Entry("none", ""), Entry("empty", "Bearer "), Entry("wrong", "Bearer x"), Entry("the hash itself", "Bearer "+tokenHash))

	DescribeTable("bad input changes nothing",
		func(method, path, body string, status int, reason problem.Reason) {
			w := sendRequest(h, method, path, body)
			Expect(w.Code).To(Equal(status), w.Body.String())
			Expect(parseAnswer(w).Reason).To(Equal(reason))
			Expect(b.log.proposals()).To(BeEmpty())
		},
		Entry("a catalogue that names a version twice", "PUT", "/v1/catalogue",
			catalogueChange(0, "a", strings.Replace(validCatalogue, `"v2"`, `"v1"`, 1)), 422, problem.InvalidCatalogue),
		Entry("truncated JSON", "PUT", "/v1/catalogue", catalogueChange(0, "a", validCatalogue)[:90], 400, problem.InvalidRequest),
		Entry("an unknown field", "PUT", "/v1/catalogue",
			catalogueChange(0, "a", strings.Replace(validCatalogue, `"owner"`, `"ownr"`, 1)), 400, problem.InvalidRequest),
		Entry("content after the value", "PUT", "/v1/catalogue", catalogueChange(0, "a", validCatalogue)+"{}", 400, problem.InvalidRequest),
		Entry("no body", "POST", "/v1/zones/z", "", 400, problem.InvalidRequest),
		Entry("no request id", "POST", "/v1/zones/z", `{"by":"anna","out":true}`, 400, problem.InvalidRequest),
		Entry("a request id over 128 bytes", "POST", "/v1/zones/z",
			fmt.Sprintf(`{"by":"anna","request_id":%q}`, strings.Repeat("x", 129)), 400, problem.InvalidRequest),
		Entry("no author", "POST", "/v1/zones/z", `{"request_id":"a","out":true}`, 400, problem.InvalidRequest),
		Entry("a body over 4 MiB", "PUT", "/v1/catalogue", strings.Repeat(" ", maxOperatorBodyBytes+1), 413, problem.BodyTooLarge),
		Entry("a rollout that does not exist", "POST", "/v1/rollouts/m", `{"request_id":"a","by":"anna","state":"held"}`, 400, problem.InvalidRequest),
		Entry("a quarantine that does not exist", "POST", "/v1/quarantine/f/lift", `{"request_id":"a","by":"anna"}`, 400, problem.InvalidRequest),
		Entry("an unknown path", "GET", "/v1/nothing", "", 404, problem.NotFound),
		Entry("a timeline limit that is no number", "GET", "/v1/timeline?limit=x", "", 400, problem.InvalidRequest),
		Entry("a timeline start that is no time", "GET", "/v1/timeline?since=yesterday", "", 400, problem.InvalidRequest),
		Entry("a replica without an address", "POST", "/v1/replicas/c4", "{}", 400, problem.InvalidRequest),
	)
	// Guards against a body of legal size whose decoded form takes a multiple of it.
	It("refuses JSON over the limits before it is decoded", func() {
		limited := newTestService(true, func(c *Config) { c.JSONLimits = jsonbound.Limits{Values: 100, Depth: 10} }).run()
		for _, body := range []string{strings.Repeat("[", 11), "[" + strings.Repeat("0,", 100) + "0]"} {
			w := sendRequest(limited.OperatorHandler([]string{tokenHash}), "PUT", "/v1/catalogue", body)
			Expect(w.Code).To(Equal(400))
			Expect(parseAnswer(w).Reason).To(Equal(problem.InvalidRequest))
			Expect(parseAnswer(w).Detail).To(ContainSubstring("more than"))
		}
	})
	It("lists the invalid fields of a catalogue", func() {
		w := sendRequest(h, "PUT", "/v1/catalogue", catalogueChange(0, "a", strings.Replace(validCatalogue, `"v2"`, `"v1"`, 1)))
		Expect(string(parseAnswer(w).Fields)).To(ContainSubstring(`is named twice`))
	})
	It("applies a catalogue and returns it with the revision that the next change must name", func() {
		w := sendRequest(h, "PUT", "/v1/catalogue", catalogueChange(0, "a", validCatalogue))
		Expect(w.Code).To(Equal(200), w.Body.String())
		Expect(parseAnswer(w).Diff).To(ContainElement("model claims version v2: added"))
		sendRequest(h, "POST", "/v1/zones/z", `{"base_revision":1,"request_id":"b","by":"bernd","out":true}`)
		reply := control.CatalogueReply{}
		Expect(json.Unmarshal(sendRequest(h, "GET", "/v1/catalogue", "").Body.Bytes(), &reply)).To(Succeed())
		Expect(reply.Revision).To(Equal(uint64(2)))
		Expect(reply.By).To(Equal("anna"))
		Expect(reply.Catalogue.Models).To(HaveLen(1))
		Expect(b.recorder.kinds()).To(ContainElements(event.Kind("catalogue_applied"), event.Kind("zone_out")))
	})
	It("returns the catalogue that was in force at an earlier revision, as long as it is kept", func() {
		sendRequest(h, "PUT", "/v1/catalogue", catalogueChange(0, "a", validCatalogue))
		sendRequest(h, "POST", "/v1/zones/z", `{"base_revision":1,"request_id":"b","by":"bernd","out":true}`)
		sendRequest(h, "PUT", "/v1/catalogue", catalogueChange(2, "c", `{"models":[],"workspaces":[]}`))
		reply := control.CatalogueReply{}
		Expect(json.Unmarshal(sendRequest(h, "GET", "/v1/catalogue?revision=2", "").Body.Bytes(), &reply)).To(Succeed())
		Expect(reply.Revision).To(Equal(uint64(1)), "revision 2 changed an order, not the catalogue")
		Expect(reply.Catalogue.Models).To(HaveLen(1))
		Expect(sendRequest(h, "GET", "/v1/catalogue?revision=4", "").Code).To(Equal(400))
		for i := 3; i < 3+controlstate.MaxCatalogues; i++ {
			Expect(sendRequest(h, "PUT", "/v1/catalogue", catalogueChange(i, fmt.Sprint(i), validCatalogue)).Code).To(Equal(200))
		}
		Expect(sendRequest(h, "GET", "/v1/catalogue?revision=2", "").Code).To(Equal(404))
	})
	It("accepts exactly one of 20 concurrent changes with the same base revision, although each is sent twice", func() {
		var running sync.WaitGroup
		results := make([]operatorAnswer, 40)
		for i := range results {
			running.Go(func() {
				defer GinkgoRecover()
				body := fmt.Sprintf(`{"base_revision":0,"request_id":"id%d","by":"op%d","out":true}`, i/2, i/2)
				results[i] = parseAnswer(sendRequest(h, "POST", fmt.Sprintf("/v1/zones/z%d", i/2), body))
			})
		}
		running.Wait()
		won := map[string]int{}
		for i, r := range results {
			if r.Reason == "" {
				Expect(r.Revision).To(Equal(uint64(1)))
				won[fmt.Sprint("op", i/2)]++
			}
		}
		Expect(won).To(HaveLen(1))
		for i, r := range results {
			if r.Reason != "" {
				conflict := control.Conflict{}
				Expect(json.Unmarshal(r.Fields, &conflict)).To(Succeed())
				Expect(won).To(HaveKeyWithValue(conflict.By, 2), "operator %d must get the name of the operator whose change was accepted", i/2)
				Expect(conflict.At).NotTo(BeZero())
				Expect(conflict.Diff).To(HaveLen(1))
			}
		}
		Expect(b.State.View().Orders.ZonesOut).To(HaveLen(1))
	})
	It("returns the first result to a request that is sent again after a lost answer", func() {
		b.log.update(func() { b.log.lateError = replica.ErrOutcomeUnknown.New("") })
		body := `{"base_revision":0,"request_id":"a","by":"anna","out":true}`
		lost := sendRequest(h, "POST", "/v1/zones/z", body)
		Expect(lost.Code).To(Equal(503))
		Expect(parseAnswer(lost).NotRun).To(BeFalse())
		b.log.update(func() { b.log.lateError = nil })
		again := parseAnswer(sendRequest(h, "POST", "/v1/zones/z", body))
		Expect(again.Repeated).To(BeTrue())
		Expect(again.Revision).To(Equal(uint64(1)))
		Expect(b.State.View().ConfigRevision).To(Equal(uint64(1)))
	})
	DescribeTable("answers 503 without a change when the control group can't decide",
		func(change func(), method, path string) {
			b.log.update(change)
			w := sendRequest(h, method, path, `{"base_revision":0,"request_id":"a","by":"anna","out":true}`)
			Expect(w.Code).To(Equal(503))
			Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
			Expect(b.State.View().ConfigRevision).To(BeZero())
		},
		Entry("no read index for a change", func() { b.log.readError = replica.ErrOutcomeUnknown.New("") }, "POST", "/v1/zones/z"),
		Entry("no read index for a read", func() { b.log.readError = replica.ErrOutcomeUnknown.New("") }, "GET", "/v1/catalogue"),
		Entry("leadership lost before the proposal", func() { b.log.proposeError = replica.ErrNotLeader.New("") }, "POST", "/v1/zones/z"),
		Entry("no leader known", func() { b.log.leadership = replica.Leadership{Term: 2} }, "GET", "/v1/status"),
		Entry("a leader that does not answer", func() { b.log.leadership = replica.Leadership{Term: 2, LeaderAddress: "c2:1"} }, "POST", "/v1/zones/z"),
	)
	It("refuses a forwarded request on a replica that is not the leader", func() {
		Expect(control.ErrNotLeader.Has(newTestService(false).Operator(&OperatorRequest{Method: "GET", Target: "/v1/status"}, &OperatorReply{}))).To(BeTrue())
	})

	Describe("orders to take servers out of service", func() {
		takeOut := func(path, flags string) *httptest.ResponseRecorder {
			return sendRequest(h, "POST", path, `{"base_revision":0,"request_id":"a","by":"anna","out":true`+flags+`}`)
		}
		DescribeTable("need force when the remaining servers can't take the load",
			func(servers []control.BackendServer, path string, ok bool) {
				for _, s := range servers {
					b.table.put(s)
				}
				w := takeOut(path, "")
				if ok {
					Expect(w.Code).To(Equal(200), w.Body.String())
					return
				}
				Expect(parseAnswer(w).Reason).To(Equal(problem.InsufficientCapacity))
				Expect(string(parseAnswer(w).Fields)).To(ContainSubstring(`"pool":"version claims@v1"`))
				Expect(b.log.proposals()).To(BeEmpty())
				Expect(takeOut(path, `,"force":true`).Code).To(Equal(200))
			},
			Entry("the remaining capacity is enough", []control.BackendServer{backendServer("a", "z1", 4, 8), backendServer("b", "z2", 4, 8)}, "/v1/zones/z1", true),
			Entry("the remaining capacity is too small", []control.BackendServer{backendServer("a", "z1", 6, 8), backendServer("b", "z2", 4, 8)}, "/v1/zones/z1", false),
			Entry("no server remains for an idle pool", []control.BackendServer{backendServer("a", "z1", 0, 8)}, "/v1/zones/z1", false),
			Entry("a single server", []control.BackendServer{backendServer("a", "z1", 6, 8), backendServer("b", "z1", 4, 8)}, "/v1/servers/a", false),
			Entry("the remaining server is still cold", []control.BackendServer{backendServer("a", "z1", 4, 8),
				{Phase: control.PhaseCold, Limit: 1, Announcement: backendServer("b", "z2", 0, 8).Announcement}}, "/v1/zones/z1", false),
			Entry("the remaining server is leaving", []control.BackendServer{backendServer("a", "z1", 0, 8),
				{Phase: control.PhaseLeaving, Announcement: backendServer("b", "z2", 0, 8).Announcement}}, "/v1/zones/z1", false),
			Entry("a zone of leaving backend servers only", []control.BackendServer{backendServer("a", "z1", 9, 8),
				{Phase: control.PhaseLeaving, Announcement: backendServer("b", "z2", 0, 8).Announcement}}, "/v1/zones/z2", true),
			Entry("the fleet table is empty", nil, "/v1/zones/z2", true),
		)
		DescribeTable("need force when no server or instance has the name, as a misspelt order would drain nothing",
			func(path string) {
				b.table.put(backendServer("a", "z1", 0, 8))
				Expect(parseAnswer(takeOut(path, "")).Reason).To(Equal(problem.NotFound))
				Expect(b.log.proposals()).To(BeEmpty())
				Expect(takeOut(path, `,"force":true`).Code).To(Equal(200))
			},
			Entry("zone", "/v1/zones/z11"), Entry("server", "/v1/servers/aa"),
		)
		It("accepts a zone that has only entry instances", func() {
			b.table.put(backendServer("a", "z1", 0, 8))
			b.table.Heartbeat(b.clock.Now(), control.Member{Instance: "e1", AvailabilityZone: "z5"}, false)
			Expect(takeOut("/v1/zones/z5", "").Code).To(Equal(200))
		})
		It("counts no capacity of servers that are already out of service", func() {
			b.table.put(backendServer("a", "z1", 1, 8))
			b.table.put(backendServer("b", "z2", 1, 8))
			Expect(takeOut("/v1/zones/z1", "").Code).To(Equal(200))
			w := sendRequest(h, "POST", "/v1/zones/z2", `{"base_revision":1,"request_id":"b","by":"anna","out":true}`)
			Expect(parseAnswer(w).Reason).To(Equal(problem.InsufficientCapacity))
		})
		It("reports on a dry run what an order would do and changes nothing", func() {
			b.table.put(backendServer("a", "z1", 1, 8))
			Expect(parseAnswer(takeOut("/v1/zones/z1", `,"dry_run":true`)).Reason).To(Equal(problem.InsufficientCapacity))
			dry := parseAnswer(takeOut("/v1/zones/z1", `,"dry_run":true,"force":true`))
			Expect(dry.Diff).To(ConsistOf("zone z1: in -> out"))
			Expect(b.log.proposals()).To(BeEmpty())
		})
		It("returns the first result to a repeated request although the remaining capacity has changed", func() {
			b.table.put(backendServer("a", "z1", 1, 8))
			b.table.put(backendServer("b", "z2", 1, 8))
			Expect(takeOut("/v1/zones/z1", "").Code).To(Equal(200))
			b.table.put(backendServer("b", "z2", 80, 8))
			Expect(parseAnswer(takeOut("/v1/zones/z1", "")).Repeated).To(BeTrue())
		})
		It("accepts an order to bring a zone back without a capacity check", func() {
			b.table.put(backendServer("a", "z1", 99, 8))
			w := sendRequest(h, "POST", "/v1/zones/z1", `{"base_revision":0,"request_id":"a","by":"anna","out":false}`)
			Expect(w.Code).To(Equal(200))
		})
	})

	It("lists the problems that need an operator", func() {
		sendRequest(h, "PUT", "/v1/catalogue", catalogueChange(0, "c", validCatalogue))
		b.table.put(control.BackendServer{Announcement: control.Announcement{ID: "s9"}, Phase: control.PhaseSuspect, Reason: "resets"})
		Expect(leaderMethods["ReportCrash"](b.Service)).To(Succeed())
		Expect(b.ReportCrash(&control.ReportCrashRequest{Fingerprint: "f", BackendServer: "s2", Boot: "b"}, &control.ReportCrashReply{})).To(Succeed())
		b.log.update(func() { b.log.status.Members[2].Voter = false })
		status := control.StatusReply{}
		Expect(json.Unmarshal(sendRequest(h, "GET", "/v1/status", "").Body.Bytes(), &status)).To(Succeed())
		subjects := []string{}
		for _, a := range status.Attention {
			subjects = append(subjects, a.Subject)
		}
		Expect(subjects).To(ConsistOf("request f", "server s9", "replica c3", "control group", "model claims"))
		Expect(status.Replicas).To(HaveLen(3))
		lifted := sendRequest(h, "POST", "/v1/quarantine/f/lift", `{"base_revision":1,"request_id":"l","by":"anna"}`)
		Expect(lifted.Code).To(Equal(200), lifted.Body.String())
		Expect(sendRequest(h, "GET", "/v1/quarantine", "").Body.String()).To(Equal("[]\n"))
		b.table.put(backendServer("a", "z1", 0, 8))
		Expect(sendRequest(h, "GET", "/v1/status", "").Body.String()).NotTo(ContainSubstring("model claims"))
	})
	DescribeTable("lists without elements are empty JSON arrays", func(path string) {
		Expect(sendRequest(h, "GET", path, "").Body.String()).To(Equal("[]\n"))
	}, Entry("servers", "/v1/servers"), Entry("rollouts", "/v1/rollouts"), Entry("quarantine", "/v1/quarantine"), Entry("bills", "/v1/bills"))
	It("adds and removes control replicas, and makes no second change for a repeated request", func() {
		Expect(sendRequest(h, "POST", "/v1/replicas/c4", `{"address":"c4:1"}`).Code).To(Equal(200))
		Expect(sendRequest(h, "POST", "/v1/replicas/c3", `{"address":"c3:1"}`).Code).To(Equal(200))
		Expect(b.log.learners).To(Equal([]string{"c4"}))
		Expect(sendRequest(h, "DELETE", "/v1/replicas/c3", "").Code).To(Equal(200))
		Expect(sendRequest(h, "DELETE", "/v1/replicas/c9", "").Code).To(Equal(200))
		Expect(b.log.removed).To(Equal([]string{"c3"}))
		b.log.update(func() { b.log.proposeError = replica.ErrMembership.New("another replica answers there") })
		w := sendRequest(h, "POST", "/v1/replicas/c5", `{"address":"c4:1"}`)
		Expect(w.Code).To(Equal(400), "the HTTP status must not make clementinectl repeat a membership change that can never succeed")
	})
	It("names the operator of a change although the leader that recorded it has lost its events", func() {
		sendRequest(h, "POST", "/v1/zones/z", `{"base_revision":0,"request_id":"a","by":"anna","out":true}`)
		sendRequest(h, "POST", "/v1/zones/y", `{"base_revision":1,"request_id":"b","by":"bernd","out":true}`)
		merge := control.TimelineMerge{}
		w := sendRequest(h, "GET", "/v1/timeline?availability_zone=z", "")
		Expect(json.Unmarshal(w.Body.Bytes(), &merge)).To(Succeed())
		Expect(merge.Events).To(HaveLen(1))
		Expect(merge.Events[0].Kind).To(Equal(event.Kind("zone_out")))
		Expect(merge.Events[0].Detail).To(HaveKeyWithValue("by", "anna"))
		kept := event.Event{Kind: "zone_out", Revision: 1, AvailabilityZone: "z", Detail: map[string]string{"request_id": "a"}}
		Expect(b.unreportedChanges([]event.Event{kept}, event.Filter{AvailabilityZone: "z"})).To(BeEmpty(), "a reported change must not appear twice")
	})
	It("answers a timeline in time although more processes hang than are asked at once", func() {
		b := newTestService(false, func(c *Config) { c.Peers = hangingCaller{} })
		var addresses []string
		for i := range 2*maxTimelineQueries + 10 {
			addresses = append(addresses, fmt.Sprintf("e%03d:1", i))
		}
		began := time.Now()
		Expect(b.mergeTimeline(GinkgoT().Context(), addresses, event.Filter{Limit: 1}).Unanswered).To(Equal(addresses))
		Expect(time.Since(began)).To(BeNumerically("<", timelineTimeout+time.Second))
	})
	It("merges the timeline by stamp and names the processes that did not answer", func() {
		asked := callerFunc(func(address, method string, _, reply any) error {
			Expect(method).To(Equal("Timeline.Query"))
			out := reply.(*control.TimelineReply)
			switch address {
			case "self:1":
				out.Events = []event.Event{{Stamp: 2, Kind: "b"}, {Stamp: 9, Kind: "d"}}
			case "leader:1":
				out.Events = []event.Event{{Stamp: 1, Kind: "a"}, {Stamp: 5, Kind: "c"}}
			default:
				return Error.New("cut off")
			}
			return nil
		})
		b := newTestService(false, func(c *Config) { c.Peers = asked })
		merge := control.TimelineMerge{}
		w := sendRequest(b.OperatorHandler([]string{tokenHash}), "GET", "/v1/timeline?limit=3", "")
		Expect(json.Unmarshal(w.Body.Bytes(), &merge)).To(Succeed())
		Expect(merge.Unanswered).To(Equal([]string{"c2:1", "c3:1"}))
		Expect(merge.Events).To(HaveLen(3))
		Expect(merge.Events[0].Stamp).To(BeEquivalentTo(2))
		Expect(merge.Events[2].Stamp).To(BeEquivalentTo(9))
	})
})
