package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlstate"
	"clementinetray/server/entry"
	"clementinetray/server/rollout"
)

// streamPaced returns a handler that streams ten events with a pause before each but the first.
func streamPaced(pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 10 {
			if i > 0 {
				time.Sleep(pause)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			w.(http.Flusher).Flush()
		}
	}
}

// rolloutState is the State, Proposer and Recorder of a controller that runs one roll-out.
type rolloutState struct {
	mu       sync.Mutex // guards progress
	progress control.ServiceRollout
}

func (s *rolloutState) View() *control.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &control.View{Rollouts: &control.Rollouts{Services: map[string]control.ServiceRollout{s.progress.Service: s.progress}}}
}

func (s *rolloutState) ProposeCommand(_ context.Context, c *controlstate.Command) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress = c.AdvanceServiceRollout.Progress
	return nil, nil
}

func (*rolloutState) Record(event.Event) {}

var _ = Describe("counts of a roll-out", func() {
	stream := catalogue.Route{Kind: catalogue.KindStream, Resumable: true, MaxAttempts: 3, TimeLimitMillis: 10_000, TargetMillis: 300}

	newRollout := func(old, fresh *backend) (*harness, control.ServiceRollout) {
		s := newHarness(func(c *entry.Config) { c.RoutedRetryRatio, c.RoutedRetrySlack = 1, 100 })
		s.setRoute(stream)
		s.addServers("v1", old)
		s.addServers("v2", fresh)
		// At 50 percent a dozen requests reach each version.
		r := control.ServiceRollout{Service: "orders", Order: 1, To: "v2", Seconds: 60, State: control.RolloutRunning, Percent: 50, ElapsedMillis: 20_000}
		s.current.Rollouts = &control.Rollouts{Services: map[string]control.ServiceRollout{"orders": r}}
		s.publishView(time.Now())
		return s, r
	}

	// Guards against a version that is kept although its streams take four times as long: they begin in time, and most have
	// not ended when the roll-out is decided.
	It("shows the leader that a version is slow between events before its streams end", func() {
		s, r := newRollout(newBackend("old", streamPaced(10*time.Millisecond)), newBackend("new", streamPaced(100*time.Millisecond)))
		state := &rolloutState{progress: r}
		leader := rollout.NewServiceController(state, state, 0.15, state, slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = leader.Run(ctx, 1) })
		DeferCleanup(func() {
			stop()
			running.Wait()
		})
		for range 40 {
			running.Go(func() {
				if answer, err := http.DefaultClient.Do(s.request("POST", "/r/x", "body")); err == nil {
					_, _ = io.Copy(io.Discard, answer.Body)
					_ = answer.Body.Close()
				}
			})
		}
		Eventually(func() control.RolloutState {
			leader.PutRolloutSamples("entry-1", "boot-1", s.handler.RolloutSamples())
			return state.View().Rollouts.Services["orders"].State
		}, 4*time.Second, 50*time.Millisecond).Should(Equal(control.RolloutRolledBack))
	})

	// Guards against a hanging version that leaves no trace, because its callers leave before an answer or a failure.
	It("counts an attempt as overdue once the target time has passed, and once only", func() {
		hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		s, _ := newRollout(newBackend("old", hang), newBackend("new", hang))
		ctx, leave := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		for range 5 {
			callers.Go(func() {
				if answer, err := http.DefaultClient.Do(s.request("POST", "/r/x", "body").WithContext(ctx)); err == nil {
					_ = answer.Body.Close()
				}
			})
		}
		overdue := func() (n int) {
			for _, sample := range s.handler.RolloutSamples() {
				n += sample.Overdue
			}
			return n
		}
		Consistently(overdue, 200*time.Millisecond).Should(BeZero())
		Eventually(overdue, time.Second).Should(BeNumerically(">=", 5))
		leave()
		callers.Wait()
		total := overdue()
		Consistently(overdue, 200*time.Millisecond).Should(Equal(total))
	})

	It("reports totals while the roll-out runs, and nothing after it", func() {
		s, r := newRollout(newBackend("old", respond(http.StatusOK, "")), newBackend("new", respond(http.StatusInternalServerError, "")))
		for range 20 {
			send(s.request("POST", "/r/x", "body"))
		}
		first := s.handler.RolloutSamples()
		Expect(s.handler.RolloutSamples()).To(ConsistOf(first))
		var answered, failed int
		for _, sample := range first {
			Expect(sample.Failures).To(BeNumerically("<=", sample.Requests))
			if sample.New {
				failed += sample.Failures
			} else {
				answered += sample.Requests - sample.Failures
			}
		}
		Expect(answered).To(Equal(20))
		Expect(failed).To(BeNumerically(">", 0))
		r.State = control.RolloutRolledBack
		s.current.Rollouts = &control.Rollouts{Services: map[string]control.ServiceRollout{"orders": r}}
		s.publishView(time.Now())
		Expect(s.handler.RolloutSamples()).To(BeEmpty())
	})
})
