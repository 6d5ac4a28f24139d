package replica

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"clementinetray/api/event"
	"clementinetray/server/raft"
	"clementinetray/server/wal"
)

const (
	serviceName = "Raft"
	// linkQueue bounds the messages that wait for one node; more are dropped, as the protocol repeats what matters.
	linkQueue = 1024
	// linkBatchBytes bounds one call, in bytes of entry data.
	linkBatchBytes = 1 << 20
	// linkCalls bounds the calls to one node that are under way. With one at a time, each message would wait for up to a
	// round trip behind the one before it.
	linkCalls = 8
	// chunkSize is the size of one piece of a snapshot, in bytes. It is small enough for heartbeats on the same connection
	// to pass between two pieces.
	chunkSize = 256 << 10
	// maxSnapshot bounds a snapshot that is received, in bytes.
	maxSnapshot = 1 << 30
)

// DeliverArgs carries raft messages.
type DeliverArgs struct {
	// Address is where the sender can be reached, in the first call of a stream.
	Address string
	Stamp   event.Stamp
	// From and To hold for all Messages, in which they are empty on the way.
	From, To raft.NodeID
	// Boot and Stream name an unbroken sequence of calls, in which Sequence counts from 1. net/rpc runs calls in any order.
	Boot     uint64
	Stream   uint64
	Sequence uint64
	Messages []raft.Message
}

// ChunkArgs carries one piece of a snapshot.
type ChunkArgs struct {
	Address string
	// Message is the InstallSnapshot message without data.
	Message raft.Message
	Offset  int
	Total   int
	// Checksum is the CRC-32C of the whole snapshot.
	Checksum uint32
	Data     []byte
}

// Empty is the reply of calls without a result.
type Empty struct{}

// link sends messages to one node in order.
type link struct {
	node  raft.NodeID
	queue chan raft.Message
	stop  chan struct{}
	// calls holds one token for each call under way.
	calls chan struct{}
	// broken is set when a call failed, so that the next one starts a new stream.
	broken           atomic.Bool
	stream, sequence uint64
}

func newLink(node raft.NodeID) *link {
	return &link{
		node: node, queue: make(chan raft.Message, linkQueue), stop: make(chan struct{}),
		calls: make(chan struct{}, linkCalls), stream: 1,
	}
}

func (r *Replica) send(m raft.Message) {
	if m.Kind == raft.InstallSnapshot {
		r.sendSnapshot(m)
		return
	}
	r.fresh.stamp(&m, time.Now())
	l := r.links[m.To]
	if l == nil {
		l = newLink(m.To)
		r.links[m.To] = l
		r.background.Go(func() { r.runLink(l) })
	}
	select {
	case l.queue <- m:
	default:
	}
}

// pruneLinks ends the links to nodes that left the group.
func (r *Replica) pruneLinks() {
	for node, l := range r.links {
		if _, member := r.node.Members().Find(node); !member && len(l.queue) == 0 {
			close(l.stop)
			delete(r.links, node)
		}
	}
}

func (r *Replica) runLink(l *link) {
	for {
		select {
		case <-r.stopping:
			return
		case <-l.stop:
			return
		case first := <-l.queue:
			r.deliver(l, first)
		}
	}
}

// deliver sends the message and those that wait behind it in one call, once a call may start.
func (r *Replica) deliver(l *link, first raft.Message) {
	select {
	case l.calls <- struct{}{}:
	case <-r.stopping:
		return
	}
	if l.broken.Swap(false) {
		l.stream, l.sequence = l.stream+1, 0
		r.pause(r.cfg.Tick)
	}
	l.sequence++
	args := DeliverArgs{
		Stamp: r.stampNow(), From: r.nodeID, To: l.node, Boot: r.fresh.boot, Stream: l.stream, Sequence: l.sequence,
	}
	if args.Sequence == 1 {
		args.Address = r.cfg.Address
	}
	args.add(first)
	for size := messageSize(first); size < linkBatchBytes && len(l.queue) > 0; {
		m := <-l.queue
		size += messageSize(m)
		args.add(m)
	}
	r.background.Go(func() {
		defer func() { <-l.calls }()
		address, ok := r.address(l.node)
		if !ok || r.call(address, "Deliver", args, &Empty{}) != nil {
			l.broken.Store(true)
		}
	})
}

func (a *DeliverArgs) add(m raft.Message) {
	m.From, m.To = "", ""
	a.Messages = append(a.Messages, m)
}

func messageSize(m raft.Message) int {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

func (r *Replica) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.stopping:
	}
}

// sendSnapshot sends the newest snapshot in pieces, once at a time for each node.
func (r *Replica) sendSnapshot(m raft.Message) {
	if r.installing[m.To] {
		return
	}
	r.installing[m.To] = true
	r.background.Go(func() {
		err := r.streamSnapshot(m)
		if err != nil {
			r.cfg.Logger.Warn("snapshot_transfer_failed", "to", m.To, "error", err.Error())
		}
		r.post(func() {
			delete(r.installing, m.To)
			r.node.ReportSnapshot(m.To, err == nil)
		})
	})
}

func (r *Replica) streamSnapshot(m raft.Message) error {
	snap, err := r.storage.snapshots.Load()
	if err != nil {
		r.fail(err)
		return err
	}
	address, ok := r.address(m.To)
	if !ok || snap == nil || snap.Index < m.Snapshot.Meta.Index {
		return Error.New("no address or no snapshot for %s", m.To)
	}
	members, err := raft.DecodeMembership(snap.Meta)
	if err != nil {
		return err
	}
	m.Snapshot = &raft.Snapshot{Meta: raft.SnapshotMeta{Index: snap.Index, Term: snap.Term, Members: members}}
	args := ChunkArgs{Address: r.cfg.Address, Message: m, Total: len(snap.Data), Checksum: wal.Checksum(snap.Data)}
	for {
		end := min(args.Offset+chunkSize, args.Total)
		args.Data = snap.Data[args.Offset:end]
		ctx, cancel := context.WithTimeout(r.ctx, r.cfg.CallTimeout)
		err := r.cfg.Pool.Call(ctx, address, serviceName+".InstallChunk", args, &Empty{})
		cancel()
		if err != nil || end == args.Total {
			return err
		}
		args.Offset = end
	}
}

// assembly is a snapshot that arrives in pieces.
type assembly struct {
	from     raft.NodeID
	term     uint64
	index    uint64
	checksum uint32
	data     []byte
}

func (a *assembly) matches(args ChunkArgs) bool {
	return a != nil && a.from == args.Message.From && a.term == args.Message.Term &&
		a.index == args.Message.Snapshot.Meta.Index && a.checksum == args.Checksum && len(a.data) == args.Offset
}

// addChunk adds a piece and returns the message with the whole snapshot when it is complete.
func (r *Replica) addChunk(args ChunkArgs) (raft.Message, bool, error) {
	m := args.Message
	if m.To != r.nodeID || m.Snapshot == nil || args.Total > maxSnapshot || args.Offset+len(args.Data) > args.Total {
		return m, false, Error.New("the chunk for %s is not valid for %s", m.To, r.nodeID)
	}
	r.assemblyMu.Lock()
	defer r.assemblyMu.Unlock()
	if args.Offset == 0 {
		r.assembly = &assembly{from: m.From, term: m.Term, index: m.Snapshot.Meta.Index, checksum: args.Checksum}
	}
	if !r.assembly.matches(args) {
		return m, false, Error.New("the chunk at %d does not follow the earlier ones", args.Offset)
	}
	r.assembly.data = append(r.assembly.data, args.Data...)
	if len(r.assembly.data) < args.Total {
		return m, false, nil
	}
	data := r.assembly.data
	r.assembly = nil
	if wal.Checksum(data) != args.Checksum {
		return m, false, Error.New("the snapshot at entry %d does not match its checksum", m.Snapshot.Meta.Index)
	}
	m.Snapshot = &raft.Snapshot{Meta: m.Snapshot.Meta, Data: data}
	return m, true, nil
}

// service is the RPC receiver.
type service struct{ r *Replica }

// Deliver takes raft messages.
func (s *service) Deliver(args DeliverArgs, _ *Empty) error {
	s.r.observe(args.Stamp)
	if args.To != s.r.nodeID {
		// The sender means the data folder that was here before, to which it has another link and stream.
		return nil
	}
	if args.Address != "" {
		// Also from a call that the next one of its stream has overtaken, and whose messages are dropped for that: a replica
		// without members could otherwise never answer.
		s.r.learnAddress(args.From, args.Address)
	}
	return s.r.inboundFrom(args.From).take(args, s.r.receive)
}

// inbound puts the calls of one sender in order again.
type inbound struct {
	mu           sync.Mutex // guards the fields below
	boot, stream uint64
	next         uint64
	early        map[uint64]DeliverArgs
}

func (r *Replica) inboundFrom(node raft.NodeID) *inbound {
	r.inboundMu.Lock()
	defer r.inboundMu.Unlock()
	in := r.inbound[node]
	if in == nil {
		in = &inbound{}
		r.inbound[node] = in
	}
	return in
}

// take hands the messages of the call on when those of the earlier calls have been. Calls of a broken stream that come
// late are dropped, as the protocol repeats what matters.
func (in *inbound) take(args DeliverArgs, receive func(DeliverArgs) error) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if args.Boot != in.boot || args.Stream > in.stream {
		first := uint64(1)
		if in.boot == 0 {
			// This process has just started and the sender goes on with its stream.
			first = args.Sequence
		}
		in.boot, in.stream, in.next, in.early = args.Boot, args.Stream, first, map[uint64]DeliverArgs{}
	}
	if args.Stream < in.stream || args.Sequence < in.next {
		return nil
	}
	in.early[args.Sequence] = args
	if len(in.early) > linkCalls {
		// The sender has fewer calls under way, so the missing one is lost.
		in.next = slices.Min(slices.Collect(maps.Keys(in.early)))
	}
	for ready, ok := in.early[in.next]; ok; ready, ok = in.early[in.next] {
		delete(in.early, in.next)
		in.next++
		if err := receive(ready); err != nil {
			return err
		}
	}
	return nil
}

// InstallChunk takes one piece of a snapshot.
func (s *service) InstallChunk(args ChunkArgs, _ *Empty) error {
	m, complete, err := s.r.addChunk(args)
	if err != nil || !complete {
		return err
	}
	s.r.learnAddress(m.From, args.Address)
	return s.r.receive(DeliverArgs{From: m.From, To: m.To, Messages: []raft.Message{m}})
}

func (r *Replica) receive(args DeliverArgs) error {
	return r.post(func() {
		for _, m := range args.Messages {
			m.From, m.To = args.From, args.To
			r.step(m)
		}
	})
}

func (r *Replica) stampNow() event.Stamp {
	if r.cfg.Clock == nil {
		return 0
	}
	return r.cfg.Clock.Now()
}

func (r *Replica) observe(stamp event.Stamp) {
	if r.cfg.Clock != nil && stamp != 0 {
		r.cfg.Clock.Observe(stamp)
	}
}

// address returns where a node can be reached: where its messages say, or what the membership or the settings say.
func (r *Replica) address(node raft.NodeID) (string, bool) {
	r.addressMu.Lock()
	defer r.addressMu.Unlock()
	address := r.addresses[node]
	return address, address != ""
}

// learnAddress notes where a node says that it can be reached. Where the settings name all replicas, their addresses hold: the
// way to a replica may lead over a forwarder that the replica itself does not know.
func (r *Replica) learnAddress(node raft.NodeID, address string) {
	id, _, _ := strings.Cut(string(node), "/")
	if stated := r.cfg.Members[id]; stated != "" && r.cfg.GroupSize == 0 {
		address = stated
	}
	r.addressMu.Lock()
	defer r.addressMu.Unlock()
	r.addresses[node] = address
}
