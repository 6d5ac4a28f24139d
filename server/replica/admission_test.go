package replica_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"clementinetray/server/peer"
	"clementinetray/server/replica"
)

// stalledLearner receives messages and doesn't act on them.
type stalledLearner struct{ err error }

// Deliver is the method that replicas call.
func (s *stalledLearner) Deliver(replica.DeliverArgs, *replica.Empty) error { return s.err }

// logBuffer collects the log lines of concurrent writers.
type logBuffer struct {
	mu  sync.Mutex // guards buf
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// linesWith returns the lines that contain the text.
func (b *logBuffer) linesWith(text string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []string
	for line := range strings.Lines(b.buf.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against a learner that asks to join, receives its leader's calls and never catches up without any trace of it.
func TestStalledLearnerIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want []string
	}{
		"messages are dropped":  {nil, []string{"waits_for=first_reply", "match_index=0", `last_call_error=""`}},
		"messages are rejected": {errors.New("rejected for a test"), []string{"waits_for=first_reply", "rejected for a test"}},
	} {
		t.Run(name, func(t *testing.T) {
			var logs logBuffer
			c := newCluster(t, 3, func(cfg *replica.Config) {
				withGroupSize(3)(cfg)
				cfg.Logger = slog.New(slog.NewTextHandler(&logs, nil))
			})
			c.propose("a")
			server, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			if err := server.Register("Raft", &stalledLearner{test.err}); err != nil {
				t.Fatal(err)
			}
			go func() { _ = server.Serve() }()
			pool := peer.NewPool(secret, time.Second)
			defer pool.Close()
			join := func(leader *node) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				args := replica.JoinArgs{ID: "c9", Node: "c9/GENERATION", Address: server.Address()}
				_ = pool.Call(ctx, leader.address, "Raft.Join", args, &replica.JoinReply{})
			}
			// A leader observes learners only while it leads, and a slow sync at a majority ends its leadership: what counts are 3 s in
			// which one leader leads throughout.
			var leader *node
			var lines []string
			var status replica.Status
			observed := false
			for deadline := time.Now().Add(40 * time.Second); !observed && time.Now().Before(deadline); {
				leader = c.leader()
				before, _ := leader.LeadershipChanged()
				leads := func() bool {
					now, _ := leader.LeadershipChanged()
					return now == before
				}
				earlier := len(logs.linesWith("learner_not_catching_up"))
				for began := time.Now(); time.Since(began) < 3*time.Second && leads(); time.Sleep(50 * time.Millisecond) {
					join(leader)
				}
				status = leader.Status()
				lines = logs.linesWith("learner_not_catching_up")[earlier:]
				observed = leads() && status.Term == before.Term && status.LeaderID == before.LeaderID
			}
			if !observed {
				t.Fatalf("no leader led for 3 s within 40 s:\n%s", strings.Join(logs.linesWith("leadership"), ""))
			}
			if len(lines) != 1 {
				t.Fatalf("%d lines about the learner in 3 s, want one in 5 s: %v", len(lines), lines)
			}
			for _, want := range append(test.want, "node=c9/GENERATION", "commit_index=") {
				if !strings.Contains(lines[0], want) {
					t.Errorf("%q is not in the line %s", want, lines[0])
				}
			}
			if status.StalledLearners != 1 {
				t.Errorf("%d stalled learners in the status, want 1", status.StalledLearners)
			}
			c.eventually("a learner that no longer asks does not count", func() bool { return leader.Status().StalledLearners == 0 })
		})
	}
}

// Guards against reports of learners that catch up.
func TestLearnerThatCatchesUpIsNotReported(t *testing.T) {
	var logs logBuffer
	c := newCluster(t, 3, func(cfg *replica.Config) {
		withGroupSize(3)(cfg)
		cfg.Logger = slog.New(slog.NewTextHandler(&logs, nil))
	})
	c.propose("a")
	c.add("c4")
	c.eventually("the learner is a voter", func() bool { return c.voters()["c4"] })
	time.Sleep(1500 * time.Millisecond)
	if lines, stalled := logs.linesWith("learner_not_catching_up"), c.leader().Status().StalledLearners; len(lines) > 0 || stalled > 0 {
		t.Errorf("%d stalled learners, lines %v", stalled, lines)
	}
}
