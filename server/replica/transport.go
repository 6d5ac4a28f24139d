package replica

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"clementinetray/api/event"
	"clementinetray/server/raft"
	"clementinetray/server/wal"
)

const (
	serviceName = "Raft"
	// linkQueueLength is the largest number of queued messages to one node. Further ones are dropped; raft retransmits.
	linkQueueLength = 1024
	// maxBatchBytes is the size of entry data, in bytes, at which no further messages are added to a call.
	maxBatchBytes = 1 << 20
	// maxLinkCalls is the largest number of concurrent calls to one node. With one call at a time, a message would have to
	// wait until the previous call returns, up to a round trip.
	maxLinkCalls = 8
	// chunkBytes is the size of a snapshot chunk, in bytes. It is small enough that heartbeats on the same connection are
	// sent between two chunks.
	chunkBytes = 256 << 10
	// maxSnapshotBytes is the largest size of a received snapshot, in bytes.
	maxSnapshotBytes = 1 << 30
)

// DeliverArgs is a batch of raft messages from one node to another.
type DeliverArgs struct {
	// Address is the host:port of the sender. It is set in the first call of a stream only.
	Address string
	Stamp   event.Stamp
	// From and To apply to all Messages; the same fields of the messages are not transmitted.
	From, To raft.NodeID
	// Boot (the sender's process) and Stream identify a sequence of calls without a failed one. Streams are numbered over all
	// receivers of a boot, so a later stream to a receiver has a higher number. Sequence counts the calls of a stream from 1,
	// because net/rpc runs calls in any order.
	Boot     uint64
	Stream   uint64
	Sequence uint64
	Messages []raft.Message
}

// ChunkArgs is one chunk of a snapshot.
type ChunkArgs struct {
	// Address is the host:port of the sender.
	Address string
	// Message is the InstallSnapshot message without data.
	Message raft.Message
	// Offset is the position of Data in the snapshot, and Total the size of the snapshot, both in bytes.
	Offset int
	Total  int
	// Checksum is the CRC-32C of the whole snapshot.
	Checksum uint32
	Data     []byte
}

// Empty is the argument of calls without parameters and the reply of calls without a result.
type Empty struct{}

// link is the queue of messages to one node, which runLink sends in order.
type link struct {
	node  raft.NodeID
	queue chan raft.Message
	stop  chan struct{}
	// callSlots is a semaphore that limits the concurrent calls.
	callSlots chan struct{}

	// The fields below are guarded by streams.mu.

	closed bool
	// stream is the current stream, 0 before the first call, and sequence the number of its calls.
	stream, sequence uint64
	// failedStream is the newest stream with a failed call.
	failedStream uint64
	// lastError is the error of the last call that ended; nil when it succeeded.
	lastError error
}

func newLink(node raft.NodeID) *link {
	return &link{
		node: node, queue: make(chan raft.Message, linkQueueLength), stop: make(chan struct{}),
		callSlots: make(chan struct{}, maxLinkCalls),
	}
}

// streams numbers the streams of all links of this process. A link that replaces a closed one to the same node has only higher
// streams than that one, which receivers that still know it rely on.
type streams struct {
	mu   sync.Mutex // guards last, and the closing and the streams of all links
	last uint64
}

// nextCall returns the stream and the sequence number of the next call of the link; false when the link is closed. After a failed
// call of the current stream it begins a new one.
func (s *streams) nextCall(l *link) (stream, sequence uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.closed {
		return 0, 0, false
	}
	if l.stream == l.failedStream {
		// This also holds before the first call, as both are 0 then.
		s.last++
		l.stream, l.sequence = s.last, 0
	}
	l.sequence++
	return l.stream, l.sequence, true
}

// callEnded records the result of a call of a stream. Late failures of an earlier stream don't end the current one.
func (s *streams) callEnded(l *link, stream uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.lastError = err
	if err != nil {
		l.failedStream = max(l.failedStream, stream)
	}
}

// lastError returns the error text of the last call of the link that ended; empty when it succeeded or there is no link.
func (s *streams) lastError(l *link) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == nil || l.lastError == nil {
		return ""
	}
	return l.lastError.Error()
}

// hasFailed reports whether a call of the current stream failed.
func (s *streams) hasFailed(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.stream > 0 && l.stream == l.failedStream
}

// close closes the link, which begins no further call then.
func (s *streams) close(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.closed = true
	close(l.stop)
}

// send queues the message for its receiver; it drops the message when the queue is full.
func (r *Replica) send(m raft.Message) {
	if m.Kind == raft.InstallSnapshot {
		r.sendSnapshot(m)
		return
	}
	now := time.Now()
	r.freshness.setClockFields(&m, now)
	if m.Kind == raft.Append {
		m.Silences = r.silences.tell(now)
	}
	l := r.links[m.To]
	if l == nil {
		l = newLink(m.To)
		r.links[m.To] = l
		r.goroutines.Go(func() { r.runLink(l) })
	}
	select {
	case l.queue <- m:
	default:
	}
}

// closeUnusedLinks closes the links to nodes that are no longer members and whose queues are empty. It cancels the snapshot transfers to
// nodes that are no longer members.
func (r *Replica) closeUnusedLinks() {
	for node := range r.snapshotTransfers {
		if _, member := r.node.Members().Find(node); !member {
			r.cancelSnapshot(node)
		}
	}
	for node, l := range r.links {
		if _, member := r.node.Members().Find(node); !member && len(l.queue) == 0 {
			r.streams.close(l)
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
			r.sendBatch(l, first)
		}
	}
}

// sendBatch waits until a further call may start. It then sends the message and the messages queued after it in one call. It
// sends nothing when the link is closed meanwhile.
func (r *Replica) sendBatch(l *link, first raft.Message) {
	select {
	case l.callSlots <- struct{}{}:
	case <-r.stopping:
		return
	case <-l.stop:
		return
	}
	if r.streams.hasFailed(l) {
		l.sleep(r.cfg.Tick, r.stopping)
	}
	stream, sequence, ok := r.streams.nextCall(l)
	if !ok {
		return
	}
	args := DeliverArgs{
		Stamp: r.currentStamp(), From: r.nodeID, To: l.node, Boot: r.freshness.bootID, Stream: stream, Sequence: sequence,
	}
	if args.Sequence == 1 {
		args.Address = r.cfg.Address
	}
	args.addMessage(first)
	for size := entryBytes(first); size < maxBatchBytes && len(l.queue) > 0; {
		m := <-l.queue
		size += entryBytes(m)
		args.addMessage(m)
	}
	r.goroutines.Go(func() {
		defer func() { <-l.callSlots }()
		err := Error.New("the address of %s is not known", l.node)
		if address, ok := r.address(l.node); ok {
			err = r.call(address, "Deliver", args, &Empty{})
		}
		r.streams.callEnded(l, stream, err)
	})
}

func (a *DeliverArgs) addMessage(m raft.Message) {
	m.From, m.To = "", ""
	a.Messages = append(a.Messages, m)
}

// entryBytes returns the size of the entry data in bytes.
func entryBytes(m raft.Message) int {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

// sleep waits for d, until the link is closed or until the replica stops.
func (l *link) sleep(d time.Duration, stopping <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.stop:
	case <-stopping:
	}
}

// snapshotTransfer is a snapshot that is being sent to one node.
type snapshotTransfer struct {
	// term is the term of the InstallSnapshot message, and index the last entry that the snapshot holds at least.
	term, index uint64
	cancel      context.CancelFunc
}

// sendSnapshot starts to send the newest snapshot to the receiver of the message. A transfer that is under way goes on if its result
// is valid for the message; otherwise it is cancelled. The receiver drops one of an earlier term, and an older snapshot
// leaves a gap to the entries that the leader still has.
func (r *Replica) sendSnapshot(m raft.Message) {
	if t := r.snapshotTransfers[m.To]; t != nil && t.term == m.Term && t.index >= m.Snapshot.Meta.Index {
		return
	}
	r.cancelSnapshot(m.To)
	ctx, cancel := context.WithCancel(r.ctx)
	t := &snapshotTransfer{term: m.Term, index: m.Snapshot.Meta.Index, cancel: cancel}
	r.snapshotTransfers[m.To] = t
	r.goroutines.Go(func() {
		err := r.sendSnapshotChunks(ctx, m)
		if err != nil {
			r.cfg.Logger.Warn("snapshot_transfer_failed", "to", m.To, "error", err.Error())
		}
		_ = r.enqueue(func() {
			if r.snapshotTransfers[m.To] != t {
				// It was cancelled: its result says nothing about the state of the node now.
				return
			}
			r.cancelSnapshot(m.To)
			r.node.ReportSnapshot(m.To, err == nil)
		})
	})
}

// cancelSnapshot ends the transfer to the node, if there is one.
func (r *Replica) cancelSnapshot(to raft.NodeID) {
	if t := r.snapshotTransfers[to]; t != nil {
		t.cancel()
		delete(r.snapshotTransfers, to)
	}
}

// sendSnapshotChunks sends the newest snapshot in chunks, one call after the other, until ctx ends.
func (r *Replica) sendSnapshotChunks(ctx context.Context, m raft.Message) error {
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
		end := min(args.Offset+chunkBytes, args.Total)
		args.Data = snap.Data[args.Offset:end]
		callCtx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
		err := r.cfg.Pool.Call(callCtx, address, serviceName+".InstallChunk", args, &Empty{})
		cancel()
		if err != nil || end == args.Total {
			return err
		}
		args.Offset = end
	}
}

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	from     raft.NodeID
	term     uint64
	index    uint64
	checksum uint32
	data     []byte
}

// isNextChunk reports whether the chunk is the next one of the snapshot.
func (a *incomingSnapshot) isNextChunk(args ChunkArgs) bool {
	return a != nil && a.from == args.Message.From && a.term == args.Message.Term &&
		a.index == args.Message.Snapshot.Meta.Index && a.checksum == args.Checksum && len(a.data) == args.Offset
}

// addChunk appends a chunk. When the snapshot is complete, it returns the message with the snapshot, and true.
func (r *Replica) addChunk(args ChunkArgs) (raft.Message, bool, error) {
	m := args.Message
	if m.To != r.nodeID || m.Snapshot == nil || args.Total > maxSnapshotBytes || args.Offset+len(args.Data) > args.Total {
		return m, false, Error.New("invalid snapshot chunk addressed to %s, received by %s", m.To, r.nodeID)
	}
	r.incomingMu.Lock()
	defer r.incomingMu.Unlock()
	if args.Offset == 0 {
		r.incoming = &incomingSnapshot{from: m.From, term: m.Term, index: m.Snapshot.Meta.Index, checksum: args.Checksum}
	}
	if !r.incoming.isNextChunk(args) {
		return m, false, Error.New("the chunk at %d does not follow the earlier ones", args.Offset)
	}
	r.incoming.data = append(r.incoming.data, args.Data...)
	if len(r.incoming.data) < args.Total {
		return m, false, nil
	}
	data := r.incoming.data
	r.incoming = nil
	if wal.Checksum(data) != args.Checksum {
		return m, false, Error.New("the snapshot at entry %d does not match its checksum", m.Snapshot.Meta.Index)
	}
	m.Snapshot = &raft.Snapshot{Meta: m.Snapshot.Meta, Data: data}
	return m, true, nil
}

// service holds the methods that other replicas call over net/rpc.
type service struct{ r *Replica }

// Deliver receives raft messages. It ignores calls for an earlier data folder of this replica.
func (s *service) Deliver(args DeliverArgs, _ *Empty) error {
	s.r.observeStamp(args.Stamp)
	if args.To != s.r.nodeID {
		// The messages are for an earlier data folder of this replica, to which the sender has a separate link and stream.
		return nil
	}
	if args.Address != "" {
		// Stores the address even if the messages are dropped because a later call of the stream arrived first: a new replica
		// doesn't know the members yet and needs the address to respond.
		s.r.setAddress(args.From, args.Address)
	}
	return s.r.inboundCallsFrom(args.From).receiveInOrder(args, s.r.enqueueMessages)
}

// inboundCalls restores the order of the calls from one sender.
type inboundCalls struct {
	mu           sync.Mutex // guards the fields below
	boot, stream uint64
	// next is the sequence number of the next call to process.
	next uint64
	// waiting holds calls that arrived before an earlier one of the stream, by sequence number.
	waiting map[uint64]DeliverArgs
}

func (r *Replica) inboundCallsFrom(node raft.NodeID) *inboundCalls {
	r.inboundMu.Lock()
	defer r.inboundMu.Unlock()
	in := r.inbound[node]
	if in == nil {
		in = &inboundCalls{}
		r.inbound[node] = in
	}
	return in
}

// receiveInOrder passes calls to receive in the order of their sequence numbers: it keeps a call until the earlier
// ones have arrived. It returns ErrStaleStream for a call of an earlier stream, so that a sender that is not heard begins a new
// stream. A late call of the current stream is dropped; raft retransmits.
func (in *inboundCalls) receiveInOrder(args DeliverArgs, receive func(DeliverArgs) error) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if args.Boot != in.boot || args.Stream > in.stream {
		first := uint64(1)
		if in.boot == 0 {
			// This process has just started and the sender continues its stream.
			first = args.Sequence
		}
		in.boot, in.stream, in.next, in.waiting = args.Boot, args.Stream, first, map[uint64]DeliverArgs{}
	}
	if args.Stream < in.stream {
		return ErrStaleStream.New("call %d of stream %d from %s, the current stream is %d", args.Sequence, args.Stream, args.From, in.stream)
	}
	if args.Sequence < in.next {
		return nil
	}
	in.waiting[args.Sequence] = args
	if len(in.waiting) > maxLinkCalls {
		// The sender has no more than maxLinkCalls calls in progress, so the missing call is lost.
		in.next = slices.Min(slices.Collect(maps.Keys(in.waiting)))
	}
	for ready, ok := in.waiting[in.next]; ok; ready, ok = in.waiting[in.next] {
		delete(in.waiting, in.next)
		in.next++
		if err := receive(ready); err != nil {
			return err
		}
	}
	return nil
}

// InstallChunk receives one chunk of a snapshot.
func (s *service) InstallChunk(args ChunkArgs, _ *Empty) error {
	m, complete, err := s.r.addChunk(args)
	if err != nil || !complete {
		return err
	}
	s.r.setAddress(m.From, args.Address)
	return s.r.enqueueMessages(DeliverArgs{From: m.From, To: m.To, Messages: []raft.Message{m}})
}

// enqueueMessages queues the messages for the raft loop.
func (r *Replica) enqueueMessages(args DeliverArgs) error {
	return r.enqueue(func() {
		for _, m := range args.Messages {
			m.From, m.To = args.From, args.To
			r.step(m)
		}
	})
}

func (r *Replica) currentStamp() event.Stamp {
	if r.cfg.Clock == nil {
		return 0
	}
	return r.cfg.Clock.Now()
}

func (r *Replica) observeStamp(stamp event.Stamp) {
	if r.cfg.Clock != nil && stamp != 0 {
		r.cfg.Clock.Observe(stamp)
	}
}

// address returns the host:port of a node, as set by setAddress; false when none is known.
func (r *Replica) address(node raft.NodeID) (string, bool) {
	r.addressMu.Lock()
	defer r.addressMu.Unlock()
	address := r.addresses[node]
	return address, address != ""
}

// setAddress sets the address of a node. Without a GroupSize, an address in Members takes precedence over the given one.
// Members may name a forwarder in front of the replica, which the replica itself has no information about.
func (r *Replica) setAddress(node raft.NodeID, address string) {
	id, _, _ := strings.Cut(string(node), "/")
	if configured := r.cfg.Members[id]; configured != "" && r.cfg.GroupSize == 0 {
		address = configured
	}
	r.addressMu.Lock()
	defer r.addressMu.Unlock()
	r.addresses[node] = address
}
