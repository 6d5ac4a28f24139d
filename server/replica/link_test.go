package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"clementinetray/server/peer"
	"clementinetray/server/raft"
)

// scriptedReceiver is the receiving side of a link. Each call waits for its outcome, then passes through inboundCalls.
type scriptedReceiver struct {
	in       *inboundCalls
	received chan *receivedCall
}

type receivedCall struct {
	args    DeliverArgs
	outcome chan error // nil: the call is processed
	done    chan error // result of the processing
}

// Deliver is the method that replicas call.
func (s *scriptedReceiver) Deliver(args DeliverArgs, _ *Empty) error {
	call := &receivedCall{args: args, outcome: make(chan error, 1), done: make(chan error, 1)}
	s.received <- call
	err := <-call.outcome
	if err == nil {
		err = s.in.receiveInOrder(args, func(DeliverArgs) error { return nil })
	}
	call.done <- err
	return err
}

// await returns the next call that arrives.
func (s *scriptedReceiver) await(t *testing.T) *receivedCall {
	t.Helper()
	select {
	case call := <-s.received:
		return call
	case <-time.After(5 * time.Second):
		t.Fatal("no call arrived within 5 s")
		return nil
	}
}

// finish lets the call end with the outcome and returns the result of its processing.
func (c *receivedCall) finish(outcome error) error {
	c.outcome <- outcome
	return <-c.done
}

// newLinkTest returns a replica that only sends, and the receiver of its messages to the node "to".
func newLinkTest(t *testing.T) (*Replica, *scriptedReceiver) {
	t.Helper()
	secret, logger := []byte("test secret"), slog.New(slog.DiscardHandler)
	server, err := peer.Listen("127.0.0.1:0", secret, logger)
	if err != nil {
		t.Fatal(err)
	}
	receiver := &scriptedReceiver{in: &inboundCalls{}, received: make(chan *receivedCall, 64)}
	if err := server.Register(serviceName, receiver); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	raftNode, err := raft.New(raft.Config{Node: "from", Rand: rand.IntN}, raft.State{})
	if err != nil {
		t.Fatal(err)
	}
	r := &Replica{
		cfg:    Config{Pool: peer.NewPool(secret, time.Second), CallTimeout: 20 * time.Second, Tick: 10 * time.Millisecond, Logger: logger},
		nodeID: "from", node: raftNode, freshness: newFreshness(), silences: newSilences("from", time.Second), links: map[raft.NodeID]*link{},
		addresses: map[raft.NodeID]string{"to": server.Address()}, stopping: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	t.Cleanup(func() {
		r.signalStop()
		_ = server.Close()
		r.cfg.Pool.Close()
		r.goroutines.Wait()
	})
	return r, receiver
}

// sendOne sends a message and returns its call.
func (s *scriptedReceiver) sendOne(t *testing.T, r *Replica) *receivedCall {
	t.Helper()
	r.send(raft.Message{Kind: raft.Append, To: "to"})
	return s.await(t)
}

// Guards against a closed link that waits for a call slot and goes on with a stream above that of the link made since: the
// receiver would reject all later calls of the new link.
func TestClosedLinkTakesNoNewStream(t *testing.T) {
	r, receiver := newLinkTest(t)
	var old []*receivedCall
	for range maxLinkCalls {
		old = append(old, receiver.sendOne(t, r))
	}
	closed := r.links["to"]
	r.send(raft.Message{Kind: raft.Append, To: "to"})
	for deadline := time.Now().Add(5 * time.Second); len(closed.queue) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the message does not wait for a call slot")
		}
	}
	r.closeUnusedLinks()
	if r.links["to"] != nil {
		t.Fatal("the link is not closed")
	}
	first := receiver.sendOne(t, r)
	for _, call := range old {
		_ = call.finish(Error.New("the call failed"))
	}
	// The closed link has free slots now; a call that it would still send arrives within this time.
	select {
	case late := <-receiver.received:
		_ = late.finish(nil)
	case <-time.After(500 * time.Millisecond):
	}
	// A link can also be closed between its wait for a slot and its next call.
	if stream, _, ok := r.streams.nextCall(closed); ok {
		t.Errorf("the closed link begins a call of stream %d", stream)
	}
	if err := first.finish(nil); err != nil {
		t.Fatalf("the first call of the new link, stream %d, was rejected: %v", first.args.Stream, err)
	}
	next := receiver.sendOne(t, r)
	if err := next.finish(nil); err != nil || receiver.in.stream != next.args.Stream || receiver.in.next != next.args.Sequence+1 {
		t.Fatalf("the call %d of stream %d was not processed, the receiver expects call %d of stream %d, error %v",
			next.args.Sequence, next.args.Stream, receiver.in.next, receiver.in.stream, err)
	}
}

// Guards against late failures of an earlier stream that end the current one: each new stream would have calls that fail late as
// well, so that the link never keeps a stream.
func TestLateFailuresBelongToTheirStream(t *testing.T) {
	r, receiver := newLinkTest(t)
	first, second := receiver.sendOne(t, r), receiver.sendOne(t, r)
	_ = first.finish(Error.New("the call failed"))
	awaitCalls(t, r, 1)
	third := receiver.sendOne(t, r)
	if third.args.Stream <= first.args.Stream || third.args.Sequence != 1 {
		t.Fatalf("after a failed call of stream %d, call %d of stream %d follows", first.args.Stream, third.args.Sequence, third.args.Stream)
	}
	if err := third.finish(nil); err != nil {
		t.Fatal(err)
	}
	if err := second.finish(nil); !ErrStaleStream.Has(err) {
		t.Errorf("result of a late call of the earlier stream: %v", err)
	}
	awaitCalls(t, r, 0)
	fourth := receiver.sendOne(t, r)
	if fourth.args.Stream != third.args.Stream || fourth.args.Sequence != 2 {
		t.Errorf("after a late failure of stream %d, call %d of stream %d follows call 1 of stream %d", second.args.Stream,
			fourth.args.Sequence, fourth.args.Stream, third.args.Stream)
	}
	if err := fourth.finish(nil); err != nil {
		t.Error(err)
	}
}

// awaitCalls waits until the sender has handled the results of all calls but the given number.
func awaitCalls(t *testing.T, r *Replica, count int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); len(r.links["to"].callSlots) > count; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d calls are in progress, want %d", len(r.links["to"].callSlots), count)
		}
	}
}

// Guards against a new link to a node that is admitted again whose calls the receiver, which was not restarted, rejects.
func TestNewLinkContinuesAboveTheClosedOne(t *testing.T) {
	r, receiver := newLinkTest(t)
	if err := receiver.sendOne(t, r).finish(nil); err != nil {
		t.Fatal(err)
	}
	_ = receiver.sendOne(t, r).finish(Error.New("the call failed"))
	awaitCalls(t, r, 0)
	before := receiver.sendOne(t, r)
	if err := before.finish(nil); err != nil {
		t.Fatal(err)
	}
	awaitCalls(t, r, 0)
	r.closeUnusedLinks()
	after := receiver.sendOne(t, r)
	if err := after.finish(nil); err != nil || receiver.in.stream != after.args.Stream || after.args.Stream <= before.args.Stream {
		t.Fatalf("call %d of stream %d follows stream %d, the receiver is at stream %d, error %v", after.args.Sequence,
			after.args.Stream, before.args.Stream, receiver.in.stream, err)
	}
}

// Guards against a sender that is told that a call of a lower stream was accepted, and so never begins a higher one.
func TestLowerStreamIsRejected(t *testing.T) {
	in := &inboundCalls{}
	receive := func(DeliverArgs) error { return nil }
	if err := in.receiveInOrder(DeliverArgs{Boot: 1, Stream: 3, Sequence: 1}, receive); err != nil {
		t.Fatal(err)
	}
	if err := in.receiveInOrder(DeliverArgs{Boot: 1, Stream: 2, Sequence: 1}, receive); !ErrStaleStream.Has(err) {
		t.Errorf("result of a call of a lower stream: %v", err)
	}
	if err := in.receiveInOrder(DeliverArgs{Boot: 2, Stream: 1, Sequence: 1}, receive); err != nil {
		t.Errorf("the first call of a restarted sender was rejected: %v", err)
	}
}

// scriptedSnapshotReceiver is scriptedReceiver for the chunks of snapshots.
type scriptedSnapshotReceiver struct{ chunks chan *receivedChunk }

type receivedChunk struct {
	args    ChunkArgs
	outcome chan error
}

// InstallChunk is the method that replicas call.
func (s *scriptedSnapshotReceiver) InstallChunk(args ChunkArgs, _ *Empty) error {
	chunk := &receivedChunk{args: args, outcome: make(chan error, 1)}
	s.chunks <- chunk
	return <-chunk.outcome
}

// await returns the next chunk that arrives, nil if none does within a second.
func (s *scriptedSnapshotReceiver) await() *receivedChunk {
	select {
	case chunk := <-s.chunks:
		return chunk
	case <-time.After(time.Second):
		return nil
	}
}

// newSnapshotTest returns a replica that sends snapshots to the node "to", and the receiver of these.
func newSnapshotTest(t *testing.T) (*Replica, *scriptedSnapshotReceiver) {
	t.Helper()
	secret, logger := []byte("test secret"), slog.New(slog.DiscardHandler)
	server, err := peer.Listen("127.0.0.1:0", secret, logger)
	if err != nil {
		t.Fatal(err)
	}
	receiver := &scriptedSnapshotReceiver{make(chan *receivedChunk, 8)}
	if err := server.Register(serviceName, receiver); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	cfg := Config{
		ID: "from", Address: "127.0.0.1:1", DataDir: t.TempDir(), Pool: peer.NewPool(secret, time.Second), Server: server,
		StateMachine: emptyState{}, CallTimeout: 20 * time.Second,
	}
	cfg.setDefaults()
	storage, recovered, err := openStorage(cfg.FS, cfg.DataDir, cfg.ID)
	if err != nil {
		t.Fatal(err)
	}
	r, err := newReplica(cfg, storage, recovered)
	if err != nil {
		t.Fatal(err)
	}
	r.setAddress("to", server.Address())
	t.Cleanup(func() {
		r.signalStop()
		_ = server.Close()
		r.cfg.Pool.Close()
		r.goroutines.Wait()
		_ = storage.close()
	})
	return r, receiver
}

type emptyState struct{}

func (emptyState) Apply(uint64, []byte) any  { return nil }
func (emptyState) Snapshot() ([]byte, error) { return nil, nil }
func (emptyState) Restore([]byte) error      { return nil }

// Guards against a learner that waits for the snapshot time-out after it was added again: a transfer that began before its removal
// holds a snapshot that is too old, or a message of an earlier term, which the learner drops.
func TestSnapshotTransferIsReplaced(t *testing.T) {
	message := func(term, index uint64) raft.Message {
		return raft.Message{Kind: raft.InstallSnapshot, To: "to", Term: term, Snapshot: &raft.Snapshot{Meta: raft.SnapshotMeta{Index: index, Term: 1}}}
	}
	for name, test := range map[string]struct {
		remove      bool
		term, index uint64
		wantNew     bool
	}{
		"newer snapshot":       {false, 3, 9, true},
		"later term":           {false, 4, 7, true},
		"repeated":             {false, 3, 7, false},
		"removed and repeated": {true, 3, 7, true},
	} {
		t.Run(name, func(t *testing.T) {
			r, receiver := newSnapshotTest(t)
			if err := r.storage.saveSnapshot(raft.SnapshotMeta{Index: 7, Term: 1}, []byte("first")); err != nil {
				t.Fatal(err)
			}
			r.sendSnapshot(message(3, 7))
			first := receiver.await()
			if first == nil {
				t.Fatal("no snapshot arrived")
			}
			defer func() { first.outcome <- nil }()
			if err := r.storage.saveSnapshot(raft.SnapshotMeta{Index: 9, Term: 1}, []byte("second")); err != nil {
				t.Fatal(err)
			}
			if test.remove {
				r.closeUnusedLinks()
			}
			r.sendSnapshot(message(test.term, test.index))
			second := receiver.await()
			if (second != nil) != test.wantNew {
				t.Fatalf("a new transfer began: %t, want %t", second != nil, test.wantNew)
			}
			if second == nil {
				return
			}
			defer func() { second.outcome <- nil }()
			if m := second.args.Message; m.Term != test.term || m.Snapshot.Meta.Index != 9 {
				t.Errorf("the new transfer sends entry %d in term %d, want entry 9 in term %d", m.Snapshot.Meta.Index, m.Term, test.term)
			}
		})
	}
}
