package replica_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"clementinetray/server/peer"
	"clementinetray/server/replica"
	"clementinetray/server/wal"
)

var secret = []byte("test secret")

// history is a state machine that keeps the commands in order.
type history struct {
	mu       sync.Mutex // guards commands
	commands []string
}

func (h *history) Apply(_ uint64, command []byte) any {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commands = append(h.commands, string(command))
	return len(h.commands)
}

func (h *history) Snapshot() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var buf bytes.Buffer
	err := gob.NewEncoder(&buf).Encode(h.commands)
	return buf.Bytes(), err
}

func (h *history) Restore(data []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commands = nil
	return gob.NewDecoder(bytes.NewReader(data)).Decode(&h.commands)
}

func (h *history) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{}, h.commands...)
}

// node is one replica of a test cluster with its listener, which keeps its address over restarts.
type node struct {
	*replica.Replica
	id, address, folder string
	server              *peer.Server
	pool                *peer.Pool
	history             *history
}

type cluster struct {
	t       testing.TB
	members map[string]string
	nodes   map[string]*node
	adjust  func(*replica.Config)
	// proposed counts the commands that were committed by propose.
	proposed map[string]int
}

// newCluster starts size replicas named c1, c2, ... on loopback.
func newCluster(t testing.TB, size int, adjust func(*replica.Config)) *cluster {
	c := &cluster{t: t, members: map[string]string{}, nodes: map[string]*node{}, adjust: adjust}
	root := t.TempDir()
	for i := 1; i <= size; i++ {
		n := c.listen(fmt.Sprintf("c%d", i), filepath.Join(root, fmt.Sprintf("c%d", i)))
		c.members[n.id] = n.address
	}
	for _, n := range c.nodes {
		c.run(n)
	}
	t.Cleanup(func() {
		for id := range c.nodes {
			c.kill(id)
		}
	})
	return c
}

func (c *cluster) listen(id, folder string) *node {
	server, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
	if err != nil {
		c.t.Fatal(err)
	}
	n := &node{id: id, folder: folder, address: server.Address(), server: server}
	c.nodes[id] = n
	return n
}

func (c *cluster) config(n *node) replica.Config {
	n.pool, n.history = peer.NewPool(secret, time.Second), &history{}
	cfg := replica.Config{
		ID: n.id, Address: n.address, Members: c.members, Bootstrap: c.members[n.id] != "", DataDir: n.folder,
		Pool: n.pool, Server: n.server, StateMachine: n.history, JoinInterval: 50 * time.Millisecond,
	}
	if os.Getenv("REPLICA_TEST_LOG") != "" {
		cfg.Logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	if c.adjust != nil {
		c.adjust(&cfg)
	}
	return cfg
}

func (c *cluster) run(n *node) {
	r, err := replica.Start(c.config(n))
	if err != nil {
		c.t.Fatal(err)
	}
	n.Replica = r
	go func() { _ = n.server.Serve() }()
}

// kill cuts a replica off and stops it without a handover.
func (c *cluster) kill(id string) {
	n := c.nodes[id]
	if n.Replica == nil {
		return
	}
	_ = n.server.Close()
	n.pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.Stop(ctx)
	<-n.Done()
	n.Replica = nil
}

func (c *cluster) restart(id string) *node {
	n := c.nodes[id]
	server, err := peer.Listen(n.address, secret, slog.New(slog.DiscardHandler))
	if err != nil {
		c.t.Fatal(err)
	}
	n.server = server
	c.run(n)
	return n
}

// leader waits for a leader that serves.
func (c *cluster) leader() *node {
	var found *node
	c.eventually("a leader", func() bool {
		for _, n := range c.nodes {
			if n.Replica == nil {
				continue
			}
			if l, _ := n.LeadershipChanged(); l.Leader {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

func (c *cluster) eventually(what string, check func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if check() {
			return
		}
	}
	for id, n := range c.nodes {
		if n.Replica != nil {
			c.t.Logf("%s: %+v", id, n.Status())
		}
	}
	c.t.Fatalf("not reached within 20 s: %s", what)
}

// propose commits a command through whichever replica leads.
func (c *cluster) propose(command string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		_, err := c.leader().Propose(ctx, []byte(command))
		// A leader that got no processor for an election timeout loses its term, and the outcome is unknown then.
		if err == nil || replica.ErrOutcomeUnknown.Has(err) && ctx.Err() == nil && c.committed(ctx, command) {
			if c.proposed == nil {
				c.proposed = map[string]int{}
			}
			c.proposed[command]++
			return
		}
		if !replica.ErrNotLeader.Has(err) && !replica.ErrOutcomeUnknown.Has(err) || ctx.Err() != nil {
			c.t.Fatalf("propose %.40s: %v", command, err)
		}
	}
}

// committed tells whether a command whose outcome is unknown was committed after all: what a leader does not hold after it has
// committed an entry of its own term is lost for good.
func (c *cluster) committed(ctx context.Context, command string) bool {
	c.t.Helper()
	for ctx.Err() == nil {
		leader := c.leader()
		if err := leader.ReadIndex(ctx); err != nil {
			continue
		}
		found := 0
		for _, applied := range leader.history.list() {
			if applied == command {
				found++
			}
		}
		return found > c.proposed[command]
	}
	return false
}

// converged waits until each running replica has applied the same commands and returns them.
func (c *cluster) converged(count int) []string {
	c.t.Helper()
	var commands []string
	c.eventually(fmt.Sprintf("%d equal commands", count), func() bool {
		commands = nil
		for _, n := range c.nodes {
			if n.Replica == nil {
				continue
			}
			own := n.history.list()
			if commands == nil {
				commands = own
			}
			if len(own) != count || fmt.Sprint(own) != fmt.Sprint(commands) {
				return false
			}
		}
		return true
	})
	return commands
}

// TestCommitAndRestart guards against accepted commands that a restart of the whole group loses.
func TestCommitAndRestart(t *testing.T) {
	c := newCluster(t, 3, nil)
	for i := range 20 {
		c.propose(fmt.Sprint(i))
	}
	c.converged(20)
	for id := range c.nodes {
		c.kill(id)
	}
	for id := range c.nodes {
		c.restart(id)
	}
	c.propose("after")
	commands := c.converged(21)
	if commands[20] != "after" || commands[19] != "19" {
		t.Fatalf("commands %v", commands)
	}
}

// TestLeaderLoss guards against a group that stays without a leader after a kill or a planned stop.
func TestLeaderLoss(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("a")
	first := c.leader()
	c.kill(first.id)
	c.propose("b")
	c.restart(first.id)
	second := c.leader()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := second.TransferLeadership(ctx); err != nil {
		t.Fatal(err)
	}
	if l, _ := second.LeadershipChanged(); l.Leader {
		t.Fatal("the old leader still leads after the handover")
	}
	c.propose("c")
	c.converged(3)
}

// TestLostFolder guards against a replica with an empty folder that votes as if it remembered, and against the loss of
// a second folder right after the repair of the first.
func TestLostFolder(t *testing.T) {
	c := newCluster(t, 3, nil)
	for i := range 10 {
		c.propose(fmt.Sprint(i))
	}
	c.converged(10)
	for round, id := range []string{"c1", "c2"} {
		c.kill(id)
		c.nodes[id].folder = filepath.Join(t.TempDir(), "new")
		c.restart(id)
		c.propose(fmt.Sprint("round ", round))
		c.eventually(id+" is a voter again", func() bool {
			members := c.leader().Status().Members
			for _, m := range members {
				if m.Node == c.nodes[id].Status().Node && m.Voter {
					return len(members) == 3
				}
			}
			return false
		})
	}
	c.converged(12)
}

// TestFolderErrors guards against a second process on the same folder and against folders that can't be used.
func TestFolderErrors(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.leader()
	other := *c.nodes["c1"]
	cfg := c.config(&other)
	if _, err := replica.Start(cfg); !wal.ErrLocked.Has(err) {
		t.Errorf("second start: %v", err)
	}
	c.kill("c1")
	cfg.ID, cfg.Members = "c9", map[string]string{"c9": "x"}
	if _, err := replica.Start(cfg); !replica.ErrIdentity.Has(err) {
		t.Errorf("start with another id: %v", err)
	}
	cfg.DataDir = "/proc/none"
	if _, err := replica.Start(cfg); !wal.ErrNotWritable.Has(err) {
		t.Errorf("start in a folder that can't be written: %v", err)
	}
}
