package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/controlstate"
	"clementinetray/server/entry"
)

// partControl keeps crash reports in a real replicated state, and publishes the quarantine to the instances of a test.
type partControl struct {
	*fakeControl
	mu        sync.Mutex // guards the fields below
	state     *controlstate.State
	index     uint64
	instances []*harness
}

func (c *partControl) apply(command controlstate.Command) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	command.At = time.Now()
	c.index++
	result := c.state.Apply(c.index, must(command.Encode()))
	for _, s := range c.instances {
		s.current.Quarantine = c.state.View().Quarantine
		s.publishView(time.Now())
	}
	return result
}

func (c *partControl) ReportCrash(_ context.Context, in *control.ReportCrashRequest) (*control.ReportCrashReply, error) {
	reply := c.apply(controlstate.Command{ReportCrash: in}).(control.ReportCrashReply)
	return &reply, nil
}

func (c *partControl) ClearParts(_ context.Context, in *control.ClearPartsRequest) (*control.ClearPartsReply, error) {
	c.apply(controlstate.Command{ClearParts: in})
	return &control.ClearPartsReply{}, nil
}

func (c *partControl) quarantinedParts() map[string]control.QuarantinedPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.View().Quarantine.Parts
}

var _ = Describe("prompt parts that crash backend servers", func() {
	resumable := catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 3, TimeLimitMillis: 5000}
	var crashed atomic.Int64
	// fragile returns a backend server that crashes as it begins an answer to a prompt with the part "deadly".
	fragile := func(id string) *backend {
		var b *backend
		b = newBackend(id, func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.Header.Get("Clementinetray-Prompt-Parts"), "deadly:") {
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = fmt.Fprint(w, "id: 1\ndata: hal")
				w.(http.Flusher).Flush()
				if b.server.Listener.Close() == nil {
					crashed.Add(1)
				}
				panic(http.ErrAbortHandler)
			}
			streamEvents(6, nil)(w, r)
		})
		return b
	}
	var c *partControl
	start := func(instances, servers int) []*harness {
		crashed.Store(0)
		c = &partControl{fakeControl: newFakeControl(), state: controlstate.New()}
		var backends []*backend
		for n := range servers {
			backends = append(backends, fragile(fmt.Sprint("b", n)))
		}
		var out []*harness
		for n := range instances {
			s := newHarnessWith(c.fakeControl, fmt.Sprint("entry-", n), func(cfg *entry.Config) {
				cfg.Control, cfg.RoutedRetryRatio, cfg.RoutedRetrySlack = c, 1, 100
			})
			s.setRoute(resumable)
			s.addServers("v1", backends...)
			out = append(out, s)
		}
		c.instances = out
		return out
	}
	ask := func(s *harness, body string, parts ...string) reply {
		return send(s.request("POST", "/r/x", body, "Clementinetray-Prompt-Parts", strings.Join(append(parts, body+":7"), ",")))
	}

	// Guards against requests with one part in common that crash one backend server after the other, each with another body, at
	// any instance.
	It("are refused at every instance after a few crashes, and requests with the other parts are answered", func() {
		sites := start(2, 14)
		for n, s := range sites {
			Expect(ask(s, fmt.Sprint("sound", n), "system:500", "subject:90").status).To(Equal(http.StatusOK))
		}
		for n := range 20 {
			Expect(ask(sites[n%2], fmt.Sprint("bad", n), "system:500", fmt.Sprintf("subject%d:90", n/4), "deadly:30").body).NotTo(Equal(sixEvents))
		}
		Expect(crashed.Load()).To(BeNumerically("<=", 5))
		for n, s := range sites {
			Expect(ask(s, "next", "system:500", "subject:90").status).To(Equal(http.StatusOK))
			Expect(ask(s, "next", "system:500", fmt.Sprintf("subject%d:90", n)).status).To(Equal(http.StatusOK), "the part comes with deadly ones only by chance")
			Expect(ask(s, "again", "system:500", "another:90", "deadly:30").problem.Reason).To(Equal(problem.Quarantined))
		}
		Expect(c.quarantinedParts()).To(HaveKey("deadly"))
	})

	// Guards against a whole route that is refused because a few backend servers crashed at the same moment, for another reason.
	It("are not assumed when answers with them begin elsewhere", func() {
		sites := start(2, 6)
		Expect(ask(sites[0], "sound", "system:500", "subject:90").status).To(Equal(http.StatusOK))
		for n := range 3 {
			_, err := c.ReportCrash(context.Background(), &control.ReportCrashRequest{
				Fingerprint: fmt.Sprint("f", n), BackendServer: fmt.Sprint("gone", n), Boot: "1", Parts: []string{"system"},
			})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(c.quarantinedParts()).To(HaveKey("system"))
		Expect(ask(sites[0], "next", "system:500", "subject:90").status).To(Equal(http.StatusOK))
		Eventually(c.quarantinedParts).Should(BeEmpty())
		Expect(ask(sites[1], "next", "system:500", "subject:90").status).To(Equal(http.StatusOK))
	})

	// Guards against a request that is refused for good because backend servers crashed twice while it ran by chance.
	It("are refused for a while only after two crashes, and until lifted after more", func() {
		sites := start(1, 6)
		report := func(server string) {
			_, err := c.ReportCrash(context.Background(), &control.ReportCrashRequest{Fingerprint: "f", BackendServer: server, Boot: "1", Parts: []string{"subject"}})
			Expect(err).NotTo(HaveOccurred())
		}
		report("gone1")
		report("gone2")
		began := time.Now()
		Expect(ask(sites[0], "a", "subject:90").problem.Reason).To(Equal(problem.Quarantined))
		Expect(time.Since(began)).To(BeNumerically(">=", 900*time.Millisecond), "other instances can object first")
		Expect(c.quarantinedParts()["subject"].Crashes).To(Equal(control.QuarantineCrashes))
	})

	// Guards against the same by messages of chat completions, which callers share as well: no two bodies are alike.
	DescribeTable("are refused in chat completions, too",
		func(streamed bool, beginAnswer bool) {
			crashed.Store(0)
			c = &partControl{fakeControl: newFakeControl(), state: controlstate.New()}
			var gone sync.Map // ids of crashed backend servers
			fragileChat := func(id string) *backend {
				var b *backend
				b = newBackend(id, func(w http.ResponseWriter, r *http.Request) {
					body, _ := io.ReadAll(r.Body)
					switch {
					case !strings.Contains(string(body), "deadly"):
						if streamed {
							stream(nil, "well")(w, r)
						} else {
							completion("well")(w, r)
						}
						return
					case beginAnswer:
						w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
						w.Header().Set("Content-Type", "text/event-stream")
						_, _ = fmt.Fprint(w, "data: {")
						w.(http.Flusher).Flush()
					}
					if b.server.Listener.Close() == nil {
						crashed.Add(1)
						gone.Store(id, true)
					}
					panic(http.ErrAbortHandler)
				})
				return b
			}
			var rows []*control.BackendServer
			for n := range 14 {
				rows = append(rows, serverRow(fragileChat(fmt.Sprint("b", n))))
			}
			for n := range 2 {
				s := newHarnessWith(c.fakeControl, fmt.Sprint("entry-", n), func(cfg *entry.Config) { cfg.Control = c })
				s.setServers(v1, rows...)
				c.instances = append(c.instances, s)
			}
			ask := func(s *harness, messages ...string) reply {
				var list []string
				for _, m := range messages {
					list = append(list, fmt.Sprintf(`{"role":"user","content":%q}`, m))
				}
				return s.chat(fmt.Sprintf(`{"model":"small","stream":%t,"messages":[%s]}`, streamed, strings.Join(list, ",")))
			}
			for _, s := range c.instances {
				Expect(ask(s, "system", "subject", "sound").status).To(Equal(http.StatusOK))
			}
			for n := range 10 {
				rows = slices.DeleteFunc(rows, func(r *control.BackendServer) bool {
					_, ok := gone.Load(r.ID)
					return ok
				})
				for _, s := range c.instances {
					s.setServers(v1, rows...)
				}
				Expect(ask(c.instances[n%2], "system", fmt.Sprint("subject", n/4), "deadly", fmt.Sprint("own", n)).body).NotTo(ContainSubstring("well"))
			}
			Expect(crashed.Load()).To(BeNumerically("<=", 5))
			for _, s := range c.instances {
				Expect(ask(s, "system", "subject", "next").status).To(Equal(http.StatusOK))
				Expect(ask(s, "system", "subject0", "next").status).To(Equal(http.StatusOK))
			}
		},
		Entry("in streams that begin", true, true),
		Entry("in streams that don't begin", true, false),
		Entry("in whole answers", false, false),
	)
})
