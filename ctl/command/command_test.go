package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/api/problem"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clementinectl")
}

// receivedRequest is one request that the fake API received.
type receivedRequest struct {
	method, path, query, token string
	base                       control.ChangeBase
	body                       []byte
}

// fakeAPI simulates one control replica. Each function in answers handles one request; the last one also handles all later
// requests.
type fakeAPI struct {
	*httptest.Server
	mu       sync.Mutex
	received []receivedRequest
	answers  []http.HandlerFunc
}

func newFakeAPI(answers ...http.HandlerFunc) *fakeAPI {
	f := &fakeAPI{answers: answers}
	f.Server = httptest.NewServer(f)
	DeferCleanup(f.Close)
	return f
}

func (f *fakeAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s := receivedRequest{method: r.Method, path: r.URL.Path, query: r.URL.RawQuery, token: r.Header.Get("Authorization"), body: body}
	_ = json.Unmarshal(body, &s.base)
	f.mu.Lock()
	f.received = append(f.received, s)
	answer := f.answers[0]
	if len(f.answers) > 1 {
		f.answers = f.answers[1:]
	}
	f.mu.Unlock()
	answer(w, r)
}

func (f *fakeAPI) requests() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

// answerJSON answers with v as JSON.
func answerJSON(v any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
}

// answerRefusal answers with the problem details of a refusal.
func answerRefusal(reason problem.Reason, fields any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		p := problem.New(reason, "because")
		p.Fields = fields
		p.Write(w)
	}
}

// loseAnswer closes the connection without an answer after the request has arrived.
func loseAnswer(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// answerPlainError answers with an error that has no problem details.
func answerPlainError(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "starting", http.StatusBadGateway)
}

var changedAt = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

var currentCatalogue = control.CatalogueReply{Revision: 7, By: "anna", At: changedAt, Catalogue: catalogue.Catalogue{
	Models: []catalogue.Model{{Name: "claims", Owner: "team", Versions: []catalogue.Version{{Name: "v1"}}}},
}}

var acceptedChange = control.ChangeReply{Revision: 8, Diff: []string{"zone muc-1: in -> out"}}

type result struct {
	code     int
	out, err string
}

// runTool runs the command line with the server addresses.
func runTool(addresses []string, commandLine ...string) result {
	var out, stderr bytes.Buffer
	options := []string{"--token", "secret", "--by", "anna", "--timeout", "2s"}
	for _, a := range addresses {
		options = append(options, "--server", a)
	}
	code := Run(context.Background(), append(options, commandLine...), Streams{In: strings.NewReader(`{"models":[],"workspaces":[]}`), Out: &out, Err: &stderr})
	return result{code, out.String(), stderr.String()}
}

// writeCatalogueFile writes a catalogue file and returns its path.
func writeCatalogueFile(content string) string {
	name := filepath.Join(GinkgoT().TempDir(), "catalogue.json")
	Expect(os.WriteFile(name, []byte(content), 0o600)).To(Succeed())
	return name
}

var _ = Describe("clementinectl", func() {
	DescribeTable("exit codes",
		func(answers []http.HandlerFunc, line string, code int) {
			f := newFakeAPI(answers...)
			r := runTool([]string{f.URL}, strings.Fields(line)...)
			Expect(r.code).To(Equal(code), r.out+r.err)
			if code != ExitDone {
				Expect(r.err).NotTo(BeEmpty())
				Expect(r.out).To(BeEmpty(), "scripts read standard output, so it must be empty after a failure")
			}
		},
		Entry("done", []http.HandlerFunc{answerJSON(currentCatalogue), answerJSON(acceptedChange)}, "zone out muc-1", ExitDone),
		Entry("refused: remaining capacity is insufficient", []http.HandlerFunc{answerJSON(currentCatalogue), answerRefusal(problem.InsufficientCapacity, nil)}, "zone out muc-1", ExitRefused),
		Entry("refused: wrong token", []http.HandlerFunc{answerRefusal(problem.Unauthorized, nil)}, "status", ExitRefused),
		Entry("refused: bad catalogue", []http.HandlerFunc{answerJSON(currentCatalogue), answerRefusal(problem.InvalidCatalogue, nil)}, "catalogue apply -", ExitRefused),
		Entry("refused: overloaded is not retried", []http.HandlerFunc{answerJSON(currentCatalogue), answerRefusal(problem.Overloaded, nil)}, "server out s1", ExitRefused),
		Entry("conflict", []http.HandlerFunc{answerJSON(currentCatalogue), answerRefusal(problem.RevisionConflict, control.Conflict{By: "bernd"})}, "server out s1", ExitConflict),
		Entry("unreachable: no leader", []http.HandlerFunc{answerRefusal(problem.ControlUnavailable, nil)}, "--timeout 300ms status", ExitUnreachable),
		Entry("unreachable: answers are not from the API", []http.HandlerFunc{answerPlainError}, "--timeout 300ms status", ExitUnreachable),
		Entry("unreachable: each answer is lost", []http.HandlerFunc{loseAnswer}, "--timeout 300ms status", ExitUnreachable),
		Entry("usage: no command", nil, "", ExitUsage),
		Entry("usage: unknown command", nil, "zones", ExitUsage),
		Entry("usage: zone without in or out", nil, "zone", ExitUsage),
		Entry("usage: zone without a name", nil, "zone out", ExitUsage),
		Entry("usage: in does not take --force", nil, "zone in muc-1 --force", ExitUsage),
		Entry("usage: unknown format", nil, "-o yaml status", ExitUsage),
		Entry("usage: a file that does not exist", nil, "catalogue apply /nonexistent.json", ExitUsage),
		Entry("explain without events", []http.HandlerFunc{answerJSON(control.TimelineMerge{})}, "explain r1", ExitRefused),
	)
	It("requires a server address", func() {
		Expect(runTool(nil, "status").code).To(Equal(ExitUsage))
	})
	It("prints help on standard output and documents the exit codes", func() {
		r := runTool(nil, "--help")
		Expect(r.code).To(Equal(ExitDone))
		Expect(r.out).To(ContainSubstring("4 another change won the race"))
	})
	It("takes addresses and token from the environment", func() {
		f := newFakeAPI(answerJSON([]control.ServerStatus{}))
		GinkgoT().Setenv("CLEMENTINECTL_SERVER", "127.0.0.1:1,"+strings.TrimPrefix(f.URL, "http://"))
		GinkgoT().Setenv("CLEMENTINECTL_TOKEN", "from-environment")
		var out bytes.Buffer
		Expect(Run(context.Background(), []string{"servers"}, Streams{Out: &out, Err: &out})).To(Equal(ExitDone), out.String())
		Expect(f.requests()[0].token).To(Equal("Bearer from-environment"))
	})

	Describe("resends", func() {
		It("repeats a change whose answer was lost, with the same request id", func() {
			f := newFakeAPI(answerJSON(currentCatalogue), loseAnswer, answerRefusal(problem.ControlUnavailable, nil), answerJSON(control.ChangeReply{Revision: 8, Repeated: true}))
			r := runTool([]string{f.URL}, "zone", "out", "muc-1", "--reason", "heat")
			Expect(r.code).To(Equal(ExitDone), r.err)
			Expect(r.out).To(ContainSubstring("was accepted earlier as revision 8"))
			sent := f.requests()[1:]
			Expect(sent).To(HaveLen(3))
			Expect(sent[0].base.RequestID).NotTo(BeEmpty())
			Expect(sent[0].base).To(Equal(control.ChangeBase{BaseRevision: 7, RequestID: sent[0].base.RequestID, By: "anna"}))
			Expect(sent[1]).To(Equal(sent[0]))
			Expect(sent[2]).To(Equal(sent[0]))
		})
		It("tries the next address when one does not answer, with the same request id", func() {
			first, second := newFakeAPI(answerJSON(currentCatalogue), loseAnswer), newFakeAPI(answerJSON(acceptedChange))
			r := runTool([]string{"127.0.0.1:1", first.URL, second.URL}, "server", "out", "s1")
			Expect(r.code).To(Equal(ExitDone), r.err)
			Expect(second.requests()[0].base).To(Equal(first.requests()[1].base))
		})
		It("uses a new request id for each command", func() {
			f := newFakeAPI(answerJSON(currentCatalogue), answerJSON(acceptedChange), answerJSON(currentCatalogue), answerJSON(acceptedChange))
			runTool([]string{f.URL}, "server", "out", "s1")
			runTool([]string{f.URL}, "server", "out", "s1")
			Expect(f.requests()[1].base.RequestID).NotTo(Equal(f.requests()[3].base.RequestID))
		})
		It("prints how to repeat a change whose outcome is unknown", func() {
			f := newFakeAPI(answerJSON(currentCatalogue), loseAnswer)
			r := runTool([]string{f.URL}, "--timeout", "300ms", "server", "out", "s1")
			Expect(r.code).To(Equal(ExitUnreachable))
			id := f.requests()[1].base.RequestID
			Expect(r.err).To(ContainSubstring("--request-id " + id + " --base 7"))
			again := newFakeAPI(answerJSON(acceptedChange))
			Expect(runTool([]string{again.URL}, "server", "out", "s1", "--request-id", id, "--base", "7").code).To(Equal(ExitDone))
			Expect(again.requests()).To(HaveLen(1), "with --base the current revision must not be read")
			Expect(again.requests()[0].base).To(Equal(f.requests()[1].base))
		})
		It("does not retry after a refusal", func() {
			f := newFakeAPI(answerJSON(currentCatalogue), answerRefusal(problem.InsufficientCapacity, []map[string]any{{"pool": "version claims@v1"}}))
			r := runTool([]string{f.URL, f.URL}, "zone", "out", "muc-1")
			Expect(f.requests()).To(HaveLen(2))
			Expect(r.err).To(ContainSubstring("version claims@v1"))
		})
	})

	It("prints who made the conflicting change, when, and the differences", func() {
		conflict := control.Conflict{Revision: 8, By: "bernd", At: changedAt, Diff: []string{"revision 8 by bernd: zone muc-2: in -> out"}}
		f := newFakeAPI(answerJSON(currentCatalogue), answerRefusal(problem.RevisionConflict, conflict))
		r := runTool([]string{f.URL}, "zone", "out", "muc-1")
		Expect(r.err).To(ContainSubstring("revision 8 by bernd at 2026-03-01T12:00:00Z"))
		Expect(r.err).To(ContainSubstring("zone muc-2: in -> out"))
	})
	DescribeTable("sends each change to its path with its content",
		func(line, method, path, content string) {
			f := newFakeAPI(answerJSON(currentCatalogue), answerJSON(acceptedChange))
			Expect(runTool([]string{f.URL}, strings.Fields(line)...).code).To(Equal(ExitDone))
			last := f.requests()[1]
			Expect(last.method + " " + last.path).To(Equal(method + " " + path))
			Expect(string(last.body)).To(ContainSubstring(content))
		},
		Entry("zone out", "zone out muc-1 --force", "POST", "/v1/zones/muc-1", `"out":true,"force":true`),
		Entry("zone in", "zone in muc-1", "POST", "/v1/zones/muc-1", `"out":false`),
		Entry("server in, dry run", "server in s1 --dry-run", "POST", "/v1/servers/s1", `"dry_run":true`),
		Entry("rollout hold", "rollout hold claims", "POST", "/v1/rollouts/claims", `"state":"held"`),
		Entry("rollout resume", "rollout resume claims", "POST", "/v1/rollouts/claims", `"state":"running"`),
		Entry("rollout rollback", "rollout rollback claims", "POST", "/v1/rollouts/claims", `"state":"rolled_back"`),
		Entry("quarantine lift", "quarantine lift abc", "POST", "/v1/quarantine/abc/lift", `"by":"anna"`),
		Entry("catalogue diff", "catalogue diff -", "PUT", "/v1/catalogue", `"dry_run":true`),
	)
	It("adds and removes replicas", func() {
		f := newFakeAPI(answerJSON(control.StatusReply{Replicas: []control.ReplicaStatus{{ID: "c4", Address: "c4:1"}}}))
		Expect(runTool([]string{f.URL}, "replica", "add", "c4", "c4:1").out).To(ContainSubstring("learner"))
		Expect(runTool([]string{f.URL}, "replica", "remove", "c4").code).To(Equal(ExitDone))
		Expect(f.requests()[0].method + string(f.requests()[0].body)).To(Equal(`POST{"address":"c4:1"}`))
		Expect(f.requests()[1].method + f.requests()[1].path).To(Equal("DELETE/v1/replicas/c4"))
	})

	Describe("catalogue files", func() {
		It("uses the revision in the file as the base, so that another operator's change is not overwritten", func() {
			f := newFakeAPI(answerJSON(currentCatalogue), answerJSON(acceptedChange))
			shown := runTool([]string{f.URL}, "-o", "json", "catalogue", "show").out
			Expect(runTool([]string{f.URL}, "catalogue", "apply", writeCatalogueFile(shown)).code).To(Equal(ExitDone))
			Expect(f.requests()[1].method).To(Equal("PUT"))
			Expect(f.requests()[1].base.BaseRevision).To(Equal(uint64(7)))
		})
		It("shows an earlier catalogue", func() {
			f := newFakeAPI(answerJSON(currentCatalogue))
			Expect(runTool([]string{f.URL}, "catalogue", "show", "--revision", "3").code).To(Equal(ExitDone))
			Expect(f.requests()[0].query).To(Equal("revision=3"))
		})
		It("prints a plain catalogue that apply reads back", func() {
			f := newFakeAPI(answerJSON(currentCatalogue), answerJSON(currentCatalogue), answerJSON(acceptedChange))
			shown := runTool([]string{f.URL}, "catalogue", "show")
			Expect(shown.err).To(ContainSubstring("revision 7"))
			Expect(runTool([]string{f.URL}, "catalogue", "apply", writeCatalogueFile(shown.out)).code).To(Equal(ExitDone))
			in := control.ApplyCatalogueRequest{}
			Expect(json.Unmarshal(f.requests()[2].body, &in)).To(Succeed())
			Expect(in.Catalogue).To(Equal(currentCatalogue.Catalogue))
		})
		DescribeTable("are not sent if they are invalid",
			func(content string) {
				f := newFakeAPI(answerJSON(currentCatalogue))
				Expect(runTool([]string{f.URL}, "catalogue", "apply", writeCatalogueFile(content)).code).To(Equal(ExitUsage))
				Expect(f.requests()).To(BeEmpty())
			},
			Entry("truncated", `{"models":[`), Entry("empty", ""), Entry("misspelt field", `{"modles":[]}`),
			Entry("two values", `{"models":[]}{"models":[]}`), Entry("not an object", `7`),
		)
	})

	DescribeTable("reads print tables and valid JSON",
		func(line string, answer any, cells ...string) {
			f := newFakeAPI(answerJSON(answer))
			table := runTool([]string{f.URL}, strings.Fields(line)...)
			Expect(table.code).To(Equal(ExitDone), table.err)
			for _, cell := range cells {
				Expect(table.out).To(ContainSubstring(cell))
			}
			text := runTool([]string{f.URL}, append([]string{"-o", "json"}, strings.Fields(line)...)...)
			Expect(json.Valid([]byte(text.out))).To(BeTrue(), text.out)
		},
		Entry("servers", "servers", []control.ServerStatus{{ID: "s1", Phase: control.PhaseRamping, Limit: 2,
			Versions: []catalogue.VersionRef{{Model: "m", Version: "a"}, {Model: "m", Version: "b"}}}}, "s1", "ramping", "m@a,m@b"),
		Entry("rollouts", "rollouts", []control.RolloutProgress{{Model: "claims", State: control.RolloutHeld, Since: changedAt}}, "held", "2026-03-01T12:00:00Z"),
		Entry("quarantine", "quarantine", []control.QuarantineEntry{{Fingerprint: "abc", Servers: []string{"s1", "s2"}}}, "abc", "s1,s2"),
		Entry("bills", "bills", []control.WorkspaceBill{{Workspace: "w", CostMicros: 12345}}, "12345"),
		Entry("shares", "shares", control.SharesReply{Known: true, Reporting: 71, Expected: 72, Workspaces: []control.WorkspaceShare{
			{Workspace: "w", Weight: 2, Asked: 7.5, Used: 3, Share: 1.25, Ratio: 2.4, Above: true},
		}}, "known true, 71 of 72", "7.50", "3.00", "1.25", "2.40", "true"),
		Entry("status", "status", control.StatusReply{
			Leader: "c1", Replicas: []control.ReplicaStatus{{ID: "c1", Leader: true, Voter: true}, {ID: "c2", Voter: true}, {ID: "c3"}},
			Members:   []control.Member{{Instance: "e1", AvailabilityZone: "muc-1"}},
			Orders:    control.Orders{ZonesOut: map[string]control.Order{"muc-2": {By: "anna"}}, ServersOut: map[string]control.Order{"s9": {By: "bernd"}}},
			Attention: []control.AttentionItem{{Subject: "rollout claims", Problem: "held", Action: "rollout resume claims"}},
		}, "leader c1", "voter", "learner", "e1", "muc-2", "s9", "rollout resume claims"),
		Entry("timeline", "timeline --request r1 --zone muc-1 --revision 3 --since 1h", control.TimelineMerge{
			Events: []event.Event{{Stamp: event.Stamp(changedAt.UnixMilli()) << 16, Kind: "refused", Request: "r1", Reason: "view is stale"}},
		}, "2026-03-01T12:00:00.000Z", `reason="view is stale"`),
	)
	It("sends the filters of the timeline and prints the processes that did not answer", func() {
		f := newFakeAPI(answerJSON(control.TimelineMerge{Unanswered: []string{"e9:1"}}))
		r := runTool([]string{f.URL}, "timeline", "--backend-server", "s1", "--version", "m@v", "--kind", "refused", "--limit", "5")
		Expect(f.requests()[0].query).To(Equal("backend_server=s1&kind=refused&limit=5&version=m%40v"))
		Expect(r.err).To(ContainSubstring("e9:1"))
	})
	It("explains a request with the operator changes before it, but not those after it", func() {
		refusal := event.Event{Stamp: event.Stamp(changedAt.UnixMilli()) << 16, Kind: "refused", Request: "r1", Reason: "no_backend_server"}
		out := event.Event{Stamp: event.Stamp(changedAt.Add(-time.Minute).UnixMilli()) << 16, Kind: "zone_out", AvailabilityZone: "muc-1"}
		late := event.Event{Stamp: event.Stamp(changedAt.Add(time.Minute).UnixMilli()) << 16, Kind: "zone_out", AvailabilityZone: "muc-2"}
		f := newFakeAPI(answerJSON(control.TimelineMerge{Events: []event.Event{refusal}}), answerJSON(control.TimelineMerge{Events: []event.Event{out, late}}), answerJSON(control.TimelineMerge{}))
		r := runTool([]string{f.URL}, "explain", "r1")
		Expect(r.code).To(Equal(ExitDone), r.err)
		Expect(r.out).To(ContainSubstring("no_backend_server"))
		Expect(r.out).To(ContainSubstring("zone=muc-1"))
		Expect(r.out).NotTo(ContainSubstring("muc-2"))
	})
})
