package replica

import (
	"reflect"
	"testing"

	"clementinetray/server/raft"
	"clementinetray/server/wal"
)

// TestCallOrder guards against messages that are processed out of order because net/rpc reorders calls, against a lost
// call that blocks all later ones, and against late calls of an earlier stream that are processed or reported as accepted.
func TestCallOrder(t *testing.T) {
	type call struct{ boot, stream, sequence uint64 }
	for name, test := range map[string]struct {
		calls []call
		want  []int
		// rejected are the positions of the calls that are rejected with ErrStaleStream.
		rejected []int
	}{
		"reordered":        {[]call{{1, 1, 2}, {1, 1, 3}, {1, 1, 1}}, []int{2, 0, 1}, nil},
		"repeated":         {[]call{{1, 1, 1}, {1, 1, 1}, {1, 1, 2}}, []int{0, 2}, nil},
		"broken stream":    {[]call{{1, 1, 1}, {1, 1, 3}, {1, 2, 1}, {1, 1, 2}, {1, 2, 2}}, []int{0, 2, 4}, []int{3}},
		"sender restart":   {[]call{{1, 4, 1}, {2, 1, 1}, {2, 1, 2}}, []int{0, 1, 2}, nil},
		"receiver restart": {[]call{{1, 4, 57}, {1, 4, 58}}, []int{0, 1}, nil},
		"lost call": {[]call{{1, 1, 2}, {1, 1, 3}, {1, 1, 4}, {1, 1, 5}, {1, 1, 6}, {1, 1, 7}, {1, 1, 8}, {1, 1, 9},
			{1, 1, 10}}, []int{0, 1, 2, 3, 4, 5, 6, 7, 8}, nil},
	} {
		in, got, rejected := &inboundCalls{boot: 9}, []int(nil), []int(nil)
		if name == "receiver restart" {
			in.boot = 0
		}
		for i, c := range test.calls {
			args := DeliverArgs{Boot: c.boot, Stream: c.stream, Sequence: c.sequence,
				Messages: []raft.Message{{Index: uint64(i)}}}
			err := in.receiveInOrder(args, func(next DeliverArgs) error {
				got = append(got, int(next.Messages[0].Index))
				return nil
			})
			if ErrStaleStream.Has(err) {
				rejected = append(rejected, i)
			} else if err != nil {
				t.Fatal(err)
			}
		}
		if !reflect.DeepEqual(got, test.want) || !reflect.DeepEqual(rejected, test.rejected) {
			t.Errorf("%s: delivered %v and rejected %v, want %v and %v", name, got, rejected, test.want, test.rejected)
		}
	}
}

// TestChunks guards against a snapshot that is assembled from chunks of two transfers, or with a missing or damaged chunk.
func TestChunks(t *testing.T) {
	data := []byte("0123456789")
	message := raft.Message{Kind: raft.InstallSnapshot, From: "c1/1", To: "c2/1", Term: 3,
		Snapshot: &raft.Snapshot{Meta: raft.SnapshotMeta{Index: 7, Term: 2}}}
	chunk := func(from, to int, change func(*ChunkArgs)) ChunkArgs {
		args := ChunkArgs{Message: message, Offset: from, Total: 10, Checksum: wal.Checksum(data), Data: data[from:to]}
		if change != nil {
			change(&args)
		}
		return args
	}
	otherTerm := func(a *ChunkArgs) { a.Message.Term = 4 }
	damaged := func(a *ChunkArgs) { a.Data = []byte("56x89") }
	for name, test := range map[string]struct {
		chunks []ChunkArgs
		// refused is the position of the refused chunk; -1 when the snapshot is complete.
		refused int
	}{
		"whole":            {[]ChunkArgs{chunk(0, 5, nil), chunk(5, 10, nil)}, -1},
		"started again":    {[]ChunkArgs{chunk(0, 5, nil), chunk(0, 5, nil), chunk(5, 10, nil)}, -1},
		"missing":          {[]ChunkArgs{chunk(0, 4, nil), chunk(5, 10, nil)}, 1},
		"without start":    {[]ChunkArgs{chunk(5, 10, nil)}, 0},
		"two transfers":    {[]ChunkArgs{chunk(0, 5, nil), chunk(5, 10, otherTerm)}, 1},
		"damaged":          {[]ChunkArgs{chunk(0, 5, nil), chunk(5, 10, damaged)}, 1},
		"other generation": {[]ChunkArgs{chunk(0, 5, func(a *ChunkArgs) { a.Message.To = "c2/2" })}, 0},
	} {
		r := &Replica{nodeID: "c2/1"}
		refused, complete := -1, false
		for i, args := range test.chunks {
			m, done, err := r.addChunk(args)
			if err != nil {
				refused = i
				break
			}
			complete = done && string(m.Snapshot.Data) == string(data) && m.Snapshot.Meta.Index == 7
		}
		if refused != test.refused || complete != (test.refused < 0) {
			t.Errorf("%s: refused %d, complete %t", name, refused, complete)
		}
	}
}

// Guards against a new replica that never responds to its leader: net/rpc runs calls in any order, so the call with the
// leader's address can arrive after a later call, and its messages are dropped then.
func TestAddressIsTakenFromOvertakenCall(t *testing.T) {
	r := &Replica{
		nodeID: "me", inbound: map[raft.NodeID]*inboundCalls{}, addresses: map[raft.NodeID]string{},
		tasks: make(chan func(), 8), stopping: make(chan struct{}),
	}
	s := &service{r}
	for _, args := range []DeliverArgs{
		{From: "leader", To: "me", Boot: 1, Stream: 1, Sequence: 2},
		{From: "leader", To: "me", Boot: 1, Stream: 1, Sequence: 1, Address: "10.0.0.1:1"},
	} {
		if err := s.Deliver(args, &Empty{}); err != nil {
			t.Fatal(err)
		}
	}
	if address, ok := r.address("leader"); !ok || address != "10.0.0.1:1" {
		t.Fatalf("the leader's address is %q, known %t", address, ok)
	}
}

// Guards against a replica that bypasses the forwarders whose addresses the settings give for the others.
func TestConfiguredAddressesTakePrecedence(t *testing.T) {
	r := &Replica{cfg: Config{Members: map[string]string{"c1": "10.0.0.1:1"}}, addresses: map[raft.NodeID]string{}}
	r.setAddress("c1/GENERATION", "10.9.9.9:9")
	r.setAddress("c4/GENERATION", "10.9.9.9:9")
	for node, want := range map[raft.NodeID]string{"c1/GENERATION": "10.0.0.1:1", "c4/GENERATION": "10.9.9.9:9"} {
		if got, _ := r.address(node); got != want {
			t.Errorf("%s is reached at %q, want %q", node, got, want)
		}
	}
	r.cfg.GroupSize = 3
	r.setAddress("c1/GENERATION", "10.9.9.9:9")
	if got, _ := r.address("c1/GENERATION"); got != "10.9.9.9:9" {
		t.Errorf("with a group size, a replica is reached at %q and not at the address that it sends", got)
	}
}
