package replica_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"clementinetray/server/peer"
	"clementinetray/server/replica"
	"clementinetray/server/wal"
)

// faultFS is the file system of the machine with a disk that hangs or refuses writes on demand.
type faultFS struct {
	wal.OS
	hang    sync.RWMutex // write-locked while the disk hangs
	refusal atomic.Pointer[refusal]
}

// refusal is the error of each write.
type refusal struct{ err error }

type faultFile struct {
	wal.File
	fs *faultFS
}

func (f *faultFS) Create(name string) (wal.File, error) {
	file, err := f.OS.Create(name)
	return &faultFile{file, f}, err
}

func (f *faultFile) Write(p []byte) (int, error) {
	if r := f.fs.refusal.Load(); r != nil {
		return 0, r.err
	}
	return f.File.Write(p)
}

func (f *faultFile) Sync() error {
	f.fs.hang.RLock()
	defer f.fs.hang.RUnlock()
	return f.File.Sync()
}

// withFaults gives each replica a faultFS.
func withFaults(disks map[string]*faultFS) func(*replica.Config) {
	return func(cfg *replica.Config) {
		disks[cfg.ID] = &faultFS{}
		cfg.FS = disks[cfg.ID]
	}
}

func timeout(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestFullDisk guards against a replica that confirms what a full disk did not take, one that ends for it or holds up the group,
// and one that does not go on once there is room.
func TestFullDisk(t *testing.T) {
	disks := map[string]*faultFS{}
	c := newCluster(t, 3, withFaults(disks))
	c.propose("a")
	full := c.leader()
	disks[full.id].refusal.Store(&refusal{syscall.ENOSPC})
	began := time.Now()
	if _, err := full.Propose(timeout(t, 5*time.Second), []byte("b")); !replica.ErrOutcomeUnknown.Has(err) {
		t.Errorf("proposal on a full disk: %v", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("a proposal on a full disk was held for %v", took)
	}
	c.eventually("the replica with the full disk does not lead", func() bool {
		l, _ := full.LeadershipChanged()
		return !l.Leader
	})
	c.eventually("another leader", func() bool {
		for id, n := range c.nodes {
			if l, _ := n.LeadershipChanged(); l.Leader && id != full.id {
				return true
			}
		}
		return false
	})
	for id, n := range c.nodes {
		if l, _ := n.LeadershipChanged(); l.Leader && id != full.id {
			if _, err := n.Propose(timeout(t, 5*time.Second), []byte("c")); err != nil {
				t.Error(err)
			}
		}
	}
	select {
	case <-full.Done():
		t.Fatalf("the replica with the full disk ended: %v", full.Err())
	default:
	}
	if commands := full.history.list(); len(commands) > 1 {
		t.Errorf("the replica with the full disk applied %v", commands)
	}
	disks[full.id].refusal.Store(nil)
	c.propose("d")
	c.eventually("the replica has the same commands", func() bool {
		own, other := full.history.list(), c.leader().history.list()
		return len(own) >= 3 && fmt.Sprint(own) == fmt.Sprint(other)
	})
}

// TestStopOnFullDisk guards against a replica that can't be stopped while its disk is full.
func TestStopOnFullDisk(t *testing.T) {
	disks := map[string]*faultFS{}
	c := newCluster(t, 3, withFaults(disks))
	c.propose("a")
	full := c.leader()
	disks[full.id].refusal.Store(&refusal{syscall.ENOSPC})
	if _, err := full.Propose(timeout(t, 5*time.Second), []byte("b")); !replica.ErrOutcomeUnknown.Has(err) {
		t.Errorf("proposal on a full disk: %v", err)
	}
	if err := full.Stop(timeout(t, 5*time.Second)); err != nil {
		t.Errorf("stop on a full disk: %v", err)
	}
}

// TestRefusedWrite guards against a replica that goes on after a write whose outcome is unknown, and against a group that such
// a replica stops.
func TestRefusedWrite(t *testing.T) {
	disks := map[string]*faultFS{}
	c := newCluster(t, 3, withFaults(disks))
	c.propose("a")
	leader := c.leader()
	disks[leader.id].refusal.Store(&refusal{syscall.EIO})
	if _, err := leader.Propose(timeout(t, 5*time.Second), []byte("b")); !replica.ErrOutcomeUnknown.Has(err) {
		t.Errorf("proposal on a broken disk: %v", err)
	}
	select {
	case <-leader.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the replica with the broken disk does not stop")
	}
	if err := leader.Err(); !wal.ErrFailed.Has(err) || !strings.Contains(err.Error(), "input/output error") {
		t.Errorf("error of the stopped replica: %v", err)
	}
	if _, err := leader.Propose(timeout(t, time.Second), nil); !replica.ErrStopped.Has(err) {
		t.Errorf("proposal after the stop: %v", err)
	}
	c.kill(leader.id)
	c.propose("c")
	c.restart(leader.id)
	c.propose("d")
	c.eventually("the restarted replica has the same commands", func() bool {
		own, other := c.nodes[leader.id].history.list(), c.leader().history.list()
		return len(own) >= 3 && fmt.Sprint(own) == fmt.Sprint(other)
	})
}

// TestFrozenLeader guards against a leader that was frozen and, when it thaws, still takes itself for the leader,
// serves reads, or reports a young state.
func TestFrozenLeader(t *testing.T) {
	disks := map[string]*faultFS{}
	c := newCluster(t, 3, withFaults(disks))
	c.propose("a")
	old := c.leader()
	term := old.Status().Term
	disks[old.id].hang.Lock()
	proposed := make(chan error, 1)
	go func() {
		_, err := old.Propose(timeout(t, 20*time.Second), []byte("b"))
		proposed <- err
	}()
	frozen := time.Now()
	c.eventually("another leader", func() bool {
		for id, n := range c.nodes {
			if l, _ := n.LeadershipChanged(); l.Leader && id != old.id {
				return true
			}
		}
		return false
	})
	if took := time.Since(frozen); took > 3*time.Second {
		t.Errorf("%v without a leader", took)
	}
	for _, n := range c.nodes {
		if l, _ := n.LeadershipChanged(); l.Leader && n != old {
			if _, err := n.Propose(timeout(t, 5*time.Second), []byte("c")); err != nil {
				t.Fatal(err)
			}
		}
	}
	if age, ok := old.FreshAge(time.Now()); ok && age < time.Since(frozen)-100*time.Millisecond {
		t.Errorf("the frozen leader reports an age of %v after %v", age, time.Since(frozen))
	}
	read := make(chan []string, 1)
	go func() {
		if old.ReadIndex(timeout(t, 20*time.Second)) == nil {
			read <- old.history.list()
		}
		close(read)
	}()
	disks[old.id].hang.Unlock()
	if err := <-proposed; err != nil && !replica.ErrOutcomeUnknown.Has(err) {
		t.Errorf("proposal during the freeze: %v", err)
	}
	if commands := fmt.Sprint(<-read); !strings.Contains(commands, "c") {
		t.Errorf("a read of the thawed leader misses what was committed before it: %s", commands)
	}
	c.eventually("the thawed leader follows", func() bool {
		l, _ := old.LeadershipChanged()
		return !l.Leader && old.Status().Term > term
	})
	c.propose("d")
	c.eventually("equal commands", func() bool {
		return fmt.Sprint(old.history.list()) == fmt.Sprint(c.leader().history.list())
	})
}

// TestFreshAge guards against a follower that reports a young state without a leader, and against ages that no replica
// reaches in a healthy group.
func TestFreshAge(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("a")
	c.eventually("a fresh state at each replica", func() bool {
		for _, n := range c.nodes {
			if age, ok := n.FreshAge(time.Now()); !ok || age > 500*time.Millisecond {
				return false
			}
		}
		return true
	})
	leader := c.leader()
	for id := range c.nodes {
		if id != leader.id {
			c.kill(id)
		}
	}
	killed := time.Now()
	for time.Since(killed) < 3*time.Second {
		if age, ok := leader.FreshAge(time.Now()); ok && age < time.Since(killed)-200*time.Millisecond {
			t.Fatalf("age %v, %v after the majority was lost", age, time.Since(killed))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if _, ok := leader.FreshAge(time.Now()); ok {
		t.Error("an age without a leader")
	}
	if l, _ := leader.LeadershipChanged(); l.Leader || l.LeaderID != "" {
		t.Errorf("leadership without a majority: %+v", l)
	}
}

// TestOneWayCut guards against a leader that can still send but hears nothing and so keeps the group from going on.
func TestOneWayCut(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("a")
	old := c.leader()
	_ = old.server.Close()
	cut := time.Now()
	if _, err := old.Propose(timeout(t, 3*time.Second), []byte("b")); !replica.ErrOutcomeUnknown.Has(err) ||
		time.Since(cut) > 2*time.Second {
		t.Errorf("proposal of the cut-off leader after %v: %v", time.Since(cut), err)
	}
	c.eventually("another leader", func() bool {
		for id, n := range c.nodes {
			if l, _ := n.LeadershipChanged(); l.Leader && id != old.id {
				return true
			}
		}
		return false
	})
	if took := time.Since(cut); took > 4*time.Second {
		t.Errorf("%v until another replica leads", took)
	}
	if l, _ := old.LeadershipChanged(); l.Leader {
		t.Error("the cut-off leader still leads")
	}
}

// TestSnapshotInstallation guards against a replica that can't catch up when the log that it lacks is gone, and against
// a restart that loses what was compacted.
func TestSnapshotInstallation(t *testing.T) {
	c := newCluster(t, 3, func(cfg *replica.Config) { cfg.CompactBytes = 20_000 })
	c.propose("first")
	behind := "c1"
	if c.leader().id == behind {
		behind = "c2"
	}
	c.kill(behind)
	payload := strings.Repeat("x", 4000)
	for i := range 300 {
		c.propose(fmt.Sprint(i, payload))
	}
	c.restart(behind)
	c.converged(301)
	for id := range c.nodes {
		c.kill(id)
		c.restart(id)
	}
	c.propose("last")
	if commands := c.converged(302); commands[0] != "first" || commands[301] != "last" {
		t.Error("the commands are not in order")
	}
}

// TestMembershipChanges guards against a group that can't grow or shrink, and against a learner that counts as a voter.
func TestMembershipChanges(t *testing.T) {
	disks := map[string]*faultFS{}
	c := newCluster(t, 3, withFaults(disks))
	c.propose("a")
	fourth := c.listen("c4", t.TempDir())
	c.run(fourth)
	time.Sleep(200 * time.Millisecond)
	if members := c.leader().Status().Members; len(members) != 3 {
		t.Fatalf("an unknown replica admitted itself: %+v", members)
	}
	leader := c.leader()
	disks["c4"].hang.Lock()
	if err := leader.AddLearner(timeout(t, 5*time.Second), "c4", fourth.address); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if err := leader.Promote(timeout(t, 5*time.Second), "c4"); !replica.ErrMembership.Has(err) {
		t.Errorf("promotion of a learner that has not synced its log: %v", err)
	}
	disks["c4"].hang.Unlock()
	c.eventually("the learner has the log", func() bool { return len(fourth.history.list()) == 1 })
	c.eventually("promotion", func() bool {
		err := leader.Promote(timeout(t, 5*time.Second), "c4")
		if err != nil && !replica.ErrMembership.Has(err) {
			t.Fatal(err)
		}
		return err == nil
	})
	if err := leader.Promote(timeout(t, 5*time.Second), "c4"); !replica.ErrMembership.Has(err) {
		t.Errorf("second promotion: %v", err)
	}
	if err := leader.Remove(timeout(t, 5*time.Second), leader.id); err != nil {
		t.Fatal(err)
	}
	c.kill(leader.id)
	delete(c.nodes, leader.id)
	c.propose("b")
	if members := c.leader().Status().Members; len(members) != 3 {
		t.Errorf("members %+v", members)
	}
	c.converged(2)
}

// TestManyRestarts guards against state that goes astray over hundreds of changes with restarts in between.
func TestManyRestarts(t *testing.T) {
	c := newCluster(t, 3, func(cfg *replica.Config) { cfg.CompactBytes = 4000 })
	count := 0
	for round := range 6 {
		for range 60 {
			c.propose(fmt.Sprint("change ", count))
			count++
		}
		id := fmt.Sprintf("c%d", round%3+1)
		c.kill(id)
		c.restart(id)
	}
	for i, command := range c.converged(count) {
		if command != fmt.Sprint("change ", i) {
			t.Fatalf("command %d is %q", i, command)
		}
	}
}

// TestReadIndex guards against a follower that answers a read without what was committed before it.
func TestReadIndex(t *testing.T) {
	c := newCluster(t, 3, nil)
	for i := range 30 {
		c.propose(fmt.Sprint(i))
		for _, n := range c.nodes {
			if err := n.ReadIndex(timeout(t, 5*time.Second)); err != nil {
				t.Fatal(err)
			}
			if got := len(n.history.list()); got != i+1 {
				t.Fatalf("%s holds %d commands after a read, %d were committed", n.id, got, i+1)
			}
		}
	}
}

// TestPlannedStop guards against a planned stop that costs an election timeout without a leader.
func TestPlannedStop(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("a")
	old := c.leader()
	stopped := time.Now()
	if err := old.Stop(timeout(t, 5*time.Second)); err != nil {
		t.Fatal(err)
	}
	c.kill(old.id)
	c.leader()
	if took := time.Since(stopped); took > 400*time.Millisecond {
		t.Errorf("%v until another replica leads after a planned stop", took)
	}
	c.propose("b")
}

// TestBootstrapWaits guards against a second group: a replica with an empty folder must not create one while another
// member does not answer or holds entries, although the bootstrap setting is still on.
func TestBootstrapWaits(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("a")
	c.converged(1)
	for _, id := range []string{"c1", "c2"} {
		c.kill(id)
	}
	c.nodes["c1"].folder = t.TempDir()
	n := c.restart("c1")
	time.Sleep(1500 * time.Millisecond)
	if status := n.Status(); status.CommitIndex > 0 || len(status.Members) > 0 || status.Term > 0 {
		t.Fatalf("with an empty folder and without a majority: %+v", status)
	}
	c.restart("c2")
	c.propose("b")
	c.converged(2)
}

// TestSecondFolder guards against a second process with the id of a running replica that takes its place.
func TestSecondFolder(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("a")
	c.converged(1)
	server, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	second := &node{id: "c1", folder: t.TempDir(), address: server.Address(), server: server}
	c.nodes["second c1"] = second
	c.run(second)
	time.Sleep(1500 * time.Millisecond)
	if members := c.leader().Status().Members; len(members) != 3 || len(second.history.list()) > 0 {
		t.Errorf("members %+v, commands of the second process %v", members, second.history.list())
	}
}

// TestProposalLimits guards against a command that stops the replica, as no log record can hold it, and against
// proposals without bound while nothing is committed.
func TestProposalLimits(t *testing.T) {
	disks := map[string]*faultFS{}
	c := newCluster(t, 1, withFaults(disks))
	leader := c.leader()
	large := make([]byte, replica.MaxCommand)
	if _, err := leader.Propose(t.Context(), append(large, 0)); !replica.ErrCommand.Has(err) {
		t.Errorf("a command over the limit: %v", err)
	}
	disks["c1"].hang.Lock()
	outcomes := make(chan error, 20)
	for range cap(outcomes) {
		go func() {
			_, err := leader.Propose(t.Context(), large)
			outcomes <- err
		}()
	}
	time.Sleep(200 * time.Millisecond)
	disks["c1"].hang.Unlock()
	refused := 0
	for range cap(outcomes) {
		if err := <-outcomes; replica.ErrOverloaded.Has(err) {
			refused++
		} else if err != nil {
			t.Error(err)
		}
	}
	if refused == 0 || refused > 16 {
		t.Errorf("%d of 20 proposals of 8 MiB refused", refused)
	}
}
