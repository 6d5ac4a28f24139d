package replica_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"clementinetray/server/peer"
	"clementinetray/server/replica"
	"clementinetray/server/wal"
)

var secret = []byte("test secret")

// commandLog is a state machine that stores all commands in order.
type commandLog struct {
	mu       sync.Mutex // guards commands
	commands []string
}

func (h *commandLog) Apply(_ uint64, command []byte) any {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commands = append(h.commands, string(command))
	return len(h.commands)
}

func (h *commandLog) Snapshot() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var buf bytes.Buffer
	err := gob.NewEncoder(&buf).Encode(h.commands)
	return buf.Bytes(), err
}

func (h *commandLog) Restore(data []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commands = nil
	return gob.NewDecoder(bytes.NewReader(data)).Decode(&h.commands)
}

func (h *commandLog) allCommands() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{}, h.commands...)
}

// node is one replica of a test cluster with its listener. The address stays the same across restarts.
type node struct {
	*replica.Replica
	id, address, folder string
	server              *peer.Server
	pool                *peer.Pool
	history             *commandLog
}

type cluster struct {
	t            testing.TB
	members      map[string]string
	nodes        map[string]*node
	changeConfig func(*replica.Config)
	// committedCount counts the commits by propose of each command.
	committedCount map[string]int
	// network holds the faults of the connections between the replicas; nil: no faults.
	network *faultNetwork
}

// newCluster starts size replicas named c1, c2, ... on loopback.
func newCluster(t testing.TB, size int, changeConfig func(*replica.Config)) *cluster {
	return newClusterOn(t, nil, size, changeConfig)
}

// newClusterOn is newCluster on a network with injected faults.
func newClusterOn(t testing.TB, network *faultNetwork, size int, changeConfig func(*replica.Config)) *cluster {
	c := &cluster{t: t, members: map[string]string{}, nodes: map[string]*node{}, changeConfig: changeConfig, network: network}
	root := t.TempDir()
	for i := 1; i <= size; i++ {
		n := c.listen(fmt.Sprintf("c%d", i), filepath.Join(root, fmt.Sprintf("c%d", i)))
		c.members[n.id] = n.address
	}
	for _, n := range c.nodes {
		c.startReplica(n)
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
	n.pool, n.history = peer.NewPool(secret, time.Second), &commandLog{}
	if c.network != nil {
		n.pool = peer.NewPoolWithDial(secret, c.network.dialFrom(n.address))
	}
	cfg := replica.Config{
		ID: n.id, Address: n.address, Members: c.members, Bootstrap: c.members[n.id] != "", DataDir: n.folder,
		Pool: n.pool, Server: n.server, StateMachine: n.history, JoinInterval: 50 * time.Millisecond,
	}
	if os.Getenv("REPLICA_TEST_LOG") != "" {
		cfg.Logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	if c.changeConfig != nil {
		c.changeConfig(&cfg)
	}
	return cfg
}

func (c *cluster) startReplica(n *node) {
	r, err := replica.Start(c.config(n))
	if err != nil {
		c.t.Fatal(err)
	}
	n.Replica = r
	// A restart replaces n.server, possibly before the goroutine has read it.
	server := n.server
	go func() { _ = server.Serve() }()
}

// kill closes the connections of a replica and stops it without a transfer of leadership.
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
	c.startReplica(n)
	return n
}

// leader waits for a replica that leads and has applied the entries of earlier terms.
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

func (c *cluster) eventually(condition string, check func() bool) {
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
	c.t.Fatalf("not reached within 20 s: %s", condition)
}

// propose commits a command on the current leader.
func (c *cluster) propose(command string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		_, err := c.leader().Propose(ctx, []byte(command))
		// A leader that gets no CPU time for an election timeout steps down, and the outcome is unknown then.
		if err == nil || replica.ErrOutcomeUnknown.Has(err) && ctx.Err() == nil && c.committed(ctx, command) {
			if c.committedCount == nil {
				c.committedCount = map[string]int{}
			}
			c.committedCount[command]++
			return
		}
		if !replica.ErrNotLeader.Has(err) && !replica.ErrOutcomeUnknown.Has(err) || ctx.Err() != nil {
			c.t.Fatalf("propose %.40s: %v", command, err)
		}
	}
}

// committed reports whether a command with an unknown outcome was committed: an entry that a leader does not have after
// it has committed an entry of its own term can't be committed any more.
func (c *cluster) committed(ctx context.Context, command string) bool {
	c.t.Helper()
	for ctx.Err() == nil {
		leader := c.leader()
		// A partitioned replica may be the leader found here and can't confirm a read any more.
		readCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := leader.ReadIndex(readCtx)
		cancel()
		if err != nil {
			continue
		}
		found := 0
		for _, applied := range leader.history.allCommands() {
			if applied == command {
				found++
			}
		}
		return found > c.committedCount[command]
	}
	return false
}

// awaitSameCommands waits until all running replicas have applied the same count commands and returns these.
func (c *cluster) awaitSameCommands(count int) []string {
	c.t.Helper()
	var commands []string
	c.eventually(fmt.Sprintf("%d equal commands", count), func() bool {
		commands = nil
		for _, n := range c.nodes {
			if n.Replica == nil {
				continue
			}
			own := n.history.allCommands()
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

// TestCommitAndRestart guards against committed commands that are lost in a restart of the whole group.
func TestCommitAndRestart(t *testing.T) {
	c := newCluster(t, 3, nil)
	for i := range 20 {
		c.propose(fmt.Sprint(i))
	}
	c.awaitSameCommands(20)
	for id := range c.nodes {
		c.kill(id)
	}
	for id := range c.nodes {
		c.restart(id)
	}
	c.propose("after")
	commands := c.awaitSameCommands(21)
	if commands[20] != "after" || commands[19] != "19" {
		t.Fatalf("commands %v", commands)
	}
}

// TestLeaderLoss guards against a group that has no leader after the leader was killed or transferred leadership.
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
		t.Fatal("the old leader still leads after the transfer")
	}
	c.propose("c")
	c.awaitSameCommands(3)
}

// TestLostFolder guards against a replica that votes although it lost its log, and against data loss when a second data
// folder is lost right after the first replica has rejoined.
func TestLostFolder(t *testing.T) {
	c := newCluster(t, 3, nil)
	for i := range 10 {
		c.propose(fmt.Sprint(i))
	}
	c.awaitSameCommands(10)
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
	c.awaitSameCommands(12)
}

// TestFolderErrors guards against a replica that starts on a folder that is locked, belongs to another replica or is not
// writable.
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

func sortedIDs(nodes map[string]*node) []string { return slices.Sorted(maps.Keys(nodes)) }
