package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/blackboard"
	"clementinetray/server/entry"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

const key = "secret-of-acme"

func keyHash(k string) string {
	sum := sha256.Sum256([]byte(k))
	return hex.EncodeToString(sum[:])
}

func ref(model, version string) catalogue.VersionRef {
	return catalogue.VersionRef{Model: model, Version: version}
}

func testCatalogue() *catalogue.Catalogue {
	return &catalogue.Catalogue{
		Models: []catalogue.Model{
			{Name: "small", Owner: "team", Versions: []catalogue.Version{{Name: "v1", CostPerMillionTokens: 1_000_000}, {Name: "v2", CostPerMillionTokens: 1_000_000}}},
			{Name: "large", Owner: "team", Versions: []catalogue.Version{{Name: "v1", CostPerMillionTokens: 9_000_000}}},
		},
		Classes: []catalogue.Class{
			{Name: "tagging", Models: []string{"small", "large"}, QualityTarget: 0.8, Cascade: true, Priority: 3},
			{Name: "private", Models: []string{"small"}},
		},
		Services: []catalogue.Service{{Name: "orders", Routes: []catalogue.ServiceRoute{
			{Method: "GET", Prefix: "/read", Idempotent: true}, {Method: "GET", Prefix: "/write", Idempotent: false},
		}}},
		Workspaces: []catalogue.Workspace{
			{Name: "acme", KeySHA256: []string{keyHash(key)}, Models: []string{"small", "large"}, Classes: []string{"tagging"},
				Services: []string{"orders"}, MaxConcurrent: 100, RequestsPerSecond: 100},
			{Name: "other", KeySHA256: []string{keyHash("secret-of-other")}, Models: []string{"small"}},
		},
	}
}

// backend is a fake backend server. It stores each request and then answers it with serve.
type backend struct {
	id     string
	server *httptest.Server
	mu     sync.Mutex
	serve  http.HandlerFunc
	seen   []received
}

type received struct {
	path string
	// from is the remote address of the connection.
	from   string
	header http.Header
	body   map[string]any
}

func newBackend(id string, serve http.HandlerFunc) *backend {
	b := &backend{id: id, serve: serve}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			_ = json.NewEncoder(w).Encode(map[string]string{"id": id, "boot": id + "-1"})
			return
		}
		raw, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(raw))
		got := received{path: r.URL.RequestURI(), header: r.Header.Clone(), from: r.RemoteAddr}
		_ = json.Unmarshal(raw, &got.body)
		b.mu.Lock()
		b.seen = append(b.seen, got)
		serve := b.serve
		b.mu.Unlock()
		serve(w, r)
	}))
	DeferCleanup(func() {
		b.server.CloseClientConnections()
		b.server.Close()
	})
	return b
}

func (b *backend) requests() []received {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]received(nil), b.seen...)
}

func (b *backend) set(serve http.HandlerFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serve = serve
}

// completion returns a handler that answers a chat request with one JSON body.
func completion(words ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"choices":[{"message":{"role":"assistant","content":%q}}],"usage":{"prompt_tokens":7,"completion_tokens":%d}}`,
			strings.Join(words, ""), len(words))
	}
}

// stream returns a handler that streams one event per word. It ends the answer properly if then is nil, else by a call of then.
func stream(then func(http.ResponseWriter), words ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for _, word := range words {
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word)
			w.(http.Flusher).Flush()
		}
		if then != nil {
			then(w)
			return
		}
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":%d}}\n\n", len(words))
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// abortConnection aborts the connection before the end of the answer.
func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func cutAtOnce(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// cutInBody aborts the connection after a part of the answer's body.
func cutInBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, `{"choices":[`)
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// hang doesn't answer, and returns when the caller disconnects.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// waitForRelease blocks until the channel is closed. It also returns when the connection ends, so that a failed spec can be
// cleaned up.
func waitForRelease(r *http.Request, release chan struct{}) {
	select {
	case <-release:
	case <-r.Context().Done():
	}
}

func answerText(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body) }
}

// harness is a handler under test with fakes of its dependencies.
type harness struct {
	board    *blackboard.Board
	view     *blackboard.Writer[blackboard.View]
	fleet    *blackboard.Writer[blackboard.Fleet]
	control  *fakeControl
	router   *fakeRouter
	limits   *fakeLimits
	budget   *fakeBudget
	recorder *fakeRecorder
	registry *prometheus.Registry
	handler  *entry.Handler
	server   *httptest.Server
	current  control.View
	table    blackboard.Fleet
}

func newHarness(change func(*entry.Config)) *harness {
	return newHarnessWith(newFakeControl(), "entry-1", change)
}

func newHarnessWith(c *fakeControl, instance string, change func(*entry.Config)) *harness {
	s := buildHarness(c, instance, change)
	DeferCleanup(s.close)
	return s
}

// buildHarness can be used outside of specs too. The caller must close the result.
func buildHarness(c *fakeControl, instance string, change func(*entry.Config)) *harness {
	s := &harness{
		board: blackboard.New(), control: c, router: &fakeRouter{}, limits: newFakeLimits(), budget: &fakeBudget{retries: 100},
		recorder: &fakeRecorder{}, registry: prometheus.NewRegistry(),
	}
	s.view, s.fleet = must(s.board.View.Writer()), must(s.board.Fleet.Writer())
	s.current = control.View{Revision: 1, Catalogue: testCatalogue(), Quarantine: &control.Quarantine{Crashes: map[string]int{}}}
	s.publishView(time.Now())
	cfg := entry.Config{
		Instance: instance, Boot: "boot-1", AvailabilityZone: "a", Region: "r", Board: s.board, Control: c, Router: s.router,
		Limits: s.limits, Budget: s.budget, Recorder: s.recorder, Registerer: s.registry,
		MaxWait: 300 * time.Millisecond, RetryWait: 300 * time.Millisecond, ControlTimeout: 300 * time.Millisecond, BillWait: 300 * time.Millisecond,
		ResumeGrace: 200 * time.Millisecond, MaxViewAge: time.Minute,
	}
	if change != nil {
		change(&cfg)
	}
	s.handler = must(entry.New(cfg))
	s.server = httptest.NewServer(s.handler)
	return s
}

func (s *harness) close() {
	s.server.CloseClientConnections()
	s.server.Close()
	s.handler.Close()
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// publishView publishes the current view as confirmed at a time.
func (s *harness) publishView(at time.Time) {
	view := s.current
	s.view.Publish(blackboard.View{View: &view, ConfirmedAt: at})
}

// changeCatalogue publishes a changed catalogue.
func (s *harness) changeCatalogue(edit func(*catalogue.Catalogue)) {
	c := testCatalogue()
	edit(c)
	s.current.Catalogue = c
	s.current.Revision++
	s.publishView(time.Now())
}

// setServers sets the backend servers of a version in the fleet table. With an empty model they are set for the service
// "orders".
func (s *harness) setServers(v catalogue.VersionRef, servers ...*control.BackendServer) {
	next := blackboard.Fleet{
		Servers: map[string]*control.BackendServer{}, ByVersion: map[catalogue.VersionRef][]*control.BackendServer{},
		ByService: map[string][]*control.BackendServer{}, ReceivedAt: time.Now(), Members: s.table.Members,
	}
	for id, row := range s.table.Servers {
		next.Servers[id] = row
	}
	for key, rows := range s.table.ByVersion {
		next.ByVersion[key] = rows
	}
	for key, rows := range s.table.ByService {
		next.ByService[key] = rows
	}
	for _, row := range servers {
		next.Servers[row.ID] = row
	}
	if v.Model == "" {
		next.ByService["orders"] = servers
	} else {
		next.ByVersion[v] = servers
	}
	s.table = next
	s.fleet.Publish(next)
}

func serverRow(b *backend) *control.BackendServer {
	return &control.BackendServer{
		Announcement: control.Announcement{
			ID: b.id, Address: b.server.Listener.Addr().String(), Boot: b.id + "-1", AvailabilityZone: "a", Capacity: 100,
		},
		Phase: control.PhaseInService,
	}
}

// refusingServerRow returns the row of a backend server that refuses connections.
func refusingServerRow(id string) *control.BackendServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	Expect(l.Close()).To(Succeed())
	return &control.BackendServer{
		Announcement: control.Announcement{ID: id, Address: address, Boot: id + "-1", AvailabilityZone: "a", Capacity: 100},
		Phase:        control.PhaseInService,
	}
}

func (s *harness) request(method, path, body string, header ...string) *http.Request {
	r, err := http.NewRequest(method, s.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// reply is an answer as the caller received it.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem problem.Problem
	// cut is true when the connection broke before the end of the answer.
	cut bool
}

func send(r *http.Request) reply {
	answer, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = answer.Body.Close() }()
	return readReply(answer)
}

func readReply(answer *http.Response) reply {
	raw, err := io.ReadAll(answer.Body)
	out := reply{status: answer.StatusCode, header: answer.Header, body: string(raw), cut: err != nil}
	if answer.Header.Get("Content-Type") == problem.ContentType {
		Expect(json.Unmarshal(raw, &out.problem)).To(Succeed())
	}
	return out
}

const (
	chat       = `{"model":"small","messages":[{"role":"user","content":"hello"}]}`
	chatStream = `{"model":"small","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	classChat  = `{"model":"class:tagging","messages":[{"role":"user","content":"hello"}]}`
)

func (s *harness) chat(body string, header ...string) reply {
	return send(s.request(http.MethodPost, "/v1/chat/completions", body, header...))
}

func (s *harness) postOrder(key string) reply {
	return send(s.request(http.MethodPost, "/services/orders/write", `{"part":1}`, "Idempotency-Key", key))
}

// sse is one server-sent event as the caller received it.
type sse struct {
	ID, Kind, Data string
}

func parseEvents(body string) []sse {
	var out []sse
	for _, block := range strings.Split(strings.TrimSpace(body), "\n\n") {
		var e sse
		scan := bufio.NewScanner(strings.NewReader(block))
		for scan.Scan() {
			name, value, _ := strings.Cut(scan.Text(), ": ")
			switch name {
			case "id":
				e.ID = value
			case "event":
				e.Kind = value
			case "data":
				e.Data = value
			}
		}
		out = append(out, e)
	}
	return out
}

// eventText joins the text of events.
func eventText(events []sse) string {
	var out strings.Builder
	for _, e := range events {
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(e.Data), &c) == nil && len(c.Choices) > 0 {
			out.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return out.String()
}

// openStream opens a chat stream and returns its answer and a reader of the body. The body is closed at the end of the spec.
func (s *harness) openStream(ctx context.Context, header ...string) (*http.Response, *bufio.Reader) {
	answer, err := http.DefaultClient.Do(s.request(http.MethodPost, "/v1/chat/completions", chatStream, header...).WithContext(ctx))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = answer.Body.Close() })
	return answer, bufio.NewReader(answer.Body)
}

// readEvent reads the next event of a stream.
func readEvent(in *bufio.Reader) (sse, error) {
	var block bytes.Buffer
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return sse{}, err
		}
		if line == "\n" {
			return parseEvents(block.String())[0], nil
		}
		block.WriteString(line)
	}
}

func counterValue(s *harness, name string, label string) float64 {
	families, err := s.registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			if label == "" || len(m.GetLabel()) > 0 && m.GetLabel()[0].GetValue() == label {
				return m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return 0
}
