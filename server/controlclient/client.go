// Package controlclient implements control.Client over net/rpc. Reads go to any control replica, writes to the leader.
package controlclient

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/fleet"
	"clementinetray/server/peer"
)

// Identity names this process as the sender of its requests; it becomes part of control.Meta.
type Identity struct {
	Instance string
	Boot     string
}

// Group lists the addresses of the control replicas.
type Group struct {
	// Addresses are peer addresses of control replicas.
	Addresses []string
	// DiscoverReplicas is true if Addresses are only some of the replicas; the others are then taken from Sync replies. If
	// it is false, only Addresses are called: they may belong to forwarders, which the addresses in the replies would bypass.
	DiscoverReplicas bool
}

// Client calls the control replicas. It is safe for concurrent use.
type Client struct {
	pool *peer.Pool
	// discoverReplicas is true if Sync replies update replicas.
	discoverReplicas bool
	seeds            []string
	identity         Identity
	clock            *event.Clock

	mu sync.Mutex // guards the fields below
	// firstReplica is the index in replicas of the one that the next Sync calls first.
	firstReplica int
	// leader is the address of the last known leader, empty if unknown.
	leader string
	// leaderChanged is closed and replaced when setLeader sets another address.
	leaderChanged chan struct{}
	// syncTime is a running estimate of how long a replica takes to answer a Sync.
	syncTime time.Duration
	// replicas are the addresses to call: the seeds and, with discovery, those in the last reply. It is never empty.
	replicas []string
}

var _ control.Client = (*Client)(nil)

const (
	// callTimeout is the timeout of one call, after which the next replica is tried. A partition may drop packets without
	// an error.
	callTimeout = time.Second
	// minHedgeDelay is the shortest delay after which Sync calls the next replica in parallel. It is longer than a round trip between
	// regions of a continent. A replica that is still down after a power failure delays Sync only by this time.
	minHedgeDelay = 100 * time.Millisecond
	// hedgeFactor is the delay in units of the time that replicas take to answer. When all replicas are slow, because hundreds of
	// instances started at once, further calls of each instance would only make them slower.
	hedgeFactor = 3
	// syncTimeWeight is the weight of a new measurement that is below the estimate. One above it counts half, so that
	// the estimate rises fast.
	syncTimeWeight = 0.2
	// retryDelay is the pause after a failed write, unless the leader changed during the call.
	retryDelay = 100 * time.Millisecond
)

// New returns a client for the replicas of the group. The clock stamps requests and advances with the stamps of replies.
func New(pool *peer.Pool, group Group, identity Identity, clock *event.Clock) *Client {
	return &Client{
		pool: pool, discoverReplicas: group.DiscoverReplicas, seeds: group.Addresses, replicas: group.Addresses, identity: identity, clock: clock,
		leaderChanged: make(chan struct{}),
	}
}

// meta returns the sender's part of a request, stamped with the current time.
func (c *Client) meta() control.Meta {
	return control.Meta{Stamp: c.clock.Now(), Instance: c.identity.Instance, Boot: c.identity.Boot}
}

// Sync implements control.Client. It calls the replica that answered last, and then the others one by one whenever a call
// fails or takes longer than hedgeDelay returns. It returns the first reply, or control.ErrUnavailable.
func (c *Client) Sync(ctx context.Context, in *control.SyncRequest) (*control.SyncReply, error) {
	in.Meta, in.AcceptsPacked = c.meta(), true
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		address string
		reply   *control.SyncReply
		took    time.Duration
		err     error
	}
	addresses := c.callOrder()
	answers := make(chan answer, len(addresses))
	started, pending := 0, 0
	callNext := func() {
		if started == len(addresses) {
			return
		}
		address, request := addresses[started], *in
		started, pending = started+1, pending+1
		go func() {
			out, began := &control.SyncReply{}, time.Now()
			err := c.callOnce(ctx, address, "Control.Sync", &request, out)
			if err == nil {
				out.Fleet, err = fleet.UnpackRows(out.Fleet)
			}
			answers <- answer{address, out, time.Since(began), err}
		}()
	}
	callNext()
	hedgeTicker := time.NewTicker(c.hedgeDelay())
	defer hedgeTicker.Stop()
	var lastErr error
	for pending > 0 && ctx.Err() == nil {
		select {
		case <-hedgeTicker.C:
			callNext()
		case a := <-answers:
			pending--
			if lastErr = a.err; lastErr != nil {
				callNext()
				continue
			}
			c.observeSyncTime(a.took)
			c.clock.Observe(a.reply.Stamp)
			c.setLeader(a.reply.Leader)
			c.setFirstReplica(a.address)
			c.updateReplicas(a.reply.Replicas)
			return a.reply, nil
		case <-ctx.Done():
		}
	}
	if lastErr == nil {
		// No call had failed when the time was over. Wrap returns nil for nil.
		lastErr = ctx.Err()
	}
	return nil, control.ErrUnavailable.Wrap(lastErr)
}

// hedgeDelay returns the delay after which Sync calls the next replica in parallel.
func (c *Client) hedgeDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(hedgeFactor*c.syncTime, minHedgeDelay), callTimeout)
}

// observeSyncTime adds the time that a replica took to answer to the estimate.
func (c *Client) observeSyncTime(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	weight := syncTimeWeight
	if took > c.syncTime {
		weight = 0.5
	}
	c.syncTime += time.Duration(weight * float64(took-c.syncTime))
}

// setFirstReplica makes address the first replica that the next Sync calls.
func (c *Client) setFirstReplica(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstReplica = max(slices.Index(c.replicas, address), 0)
}

// callOrder returns the replicas in the order in which Sync calls them.
func (c *Client) callOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.firstReplica % len(c.replicas)
	return append(slices.Clone(c.replicas[first:]), c.replicas[:first]...)
}

// SkipReplica makes the next Sync start with another replica, for instance because the last reply was outdated.
func (c *Client) SkipReplica() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstReplica = (c.firstReplica + 1) % len(c.replicas)
}

// updateReplicas replaces the known replicas by those of a reply and the seeds. Seeds that the reply doesn't list are kept,
// because such a seed may be the only replica that this process can reach.
func (c *Client) updateReplicas(replicas []string) {
	if len(replicas) == 0 || !c.discoverReplicas {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.replicas[c.firstReplica%len(c.replicas)]
	next := slices.Clone(replicas)
	for _, seed := range c.seeds {
		if !slices.Contains(next, seed) {
			next = append(next, seed)
		}
	}
	c.replicas = next
	c.firstReplica = max(slices.Index(next, current), 0)
}

// Replicas returns the peer addresses of the known replicas.
func (c *Client) Replicas() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas
}

// SetSeeds replaces the seeds and adds the new ones to the known replicas. With discovery, former seeds are dropped at the
// next reply that doesn't list them.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
	for _, seed := range seeds {
		if !slices.Contains(c.replicas, seed) {
			c.replicas = append(slices.Clone(c.replicas), seed)
		}
	}
}

// setLeader stores the address of the leader and returns true. It returns false if the address is empty, or if it is not
// one of the configured addresses and discovery is off; callers then find the leader by trying the replicas.
func (c *Client) setLeader(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == "" || !c.discoverReplicas && !slices.Contains(c.replicas, address) {
		return false
	}
	if address != c.leader {
		c.leader = address
		close(c.leaderChanged)
		c.leaderChanged = make(chan struct{})
	}
	return true
}

// callUntilLeaderChange makes one call to a possible leader. It cancels the call when the known leader changes, because the
// machine at this address may no longer exist.
func (c *Client) callUntilLeaderChange(ctx context.Context, address, method string, in, out any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	changed := c.leaderChanged
	if c.leader != "" && c.leader != address {
		changed = nil // The caller deliberately tries a replica other than the known leader.
	}
	c.mu.Unlock()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return c.callOnce(ctx, address, method, in, out)
}

// callOnce makes one call with callTimeout.
func (c *Client) callOnce(ctx context.Context, address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.pool.Call(ctx, address, method, in, out)
}

// callLeader repeats an idempotent call until the leader answers, a permanent error is returned or ctx ends.
func (c *Client) callLeader(ctx context.Context, method string, in, out any) error {
	var lastErr error
	for attempt := 0; ; attempt++ {
		c.mu.Lock()
		address := c.leader
		c.mu.Unlock()
		if address == "" || attempt > 0 {
			address = c.nextCandidate(attempt)
		}
		lastErr = c.callUntilLeaderChange(ctx, address, method, in, out)
		if lastErr == nil {
			c.setLeader(address)
			return nil
		}
		if err := permanentError(lastErr); err != nil {
			return err
		}
		if errors.Is(lastErr, context.Canceled) && ctx.Err() == nil {
			attempt = -1 // Start with the new leader, which became known during the call.
			continue
		}
		c.forgetLeader(address)
		if c.setLeader(leaderHint(lastErr)) {
			attempt = -1
		}
		select {
		case <-ctx.Done():
			return control.ErrUnavailable.Wrap(lastErr)
		case <-time.After(retryDelay):
		}
	}
}

// nextCandidate returns the address to try. It alternates between the known leader, which may be outdated, and the replicas.
func (c *Client) nextCandidate(attempt int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" && attempt%2 == 0 {
		return c.leader
	}
	return c.replicas[attempt%len(c.replicas)]
}

func (c *Client) forgetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// notLeaderPrefix is the text of control.ErrNotLeader in remote errors; the leader's address, if known, follows.
const notLeaderPrefix = "not leader:"

// NotLeaderError returns the error with which a follower rejects a write. leaderAddress is empty if unknown.
func NotLeaderError(leaderAddress string) error {
	return control.ErrNotLeader.New("%s", leaderAddress)
}

// leaderHint returns the leader's address from an error of NotLeaderError, or an empty string.
func leaderHint(err error) string {
	text, ok := remoteErrorText(err)
	if !ok {
		return ""
	}
	_, hint, found := strings.Cut(text, notLeaderPrefix)
	if !found {
		return ""
	}
	return strings.TrimSpace(hint)
}

// permanentError returns the typed error for a rejection that a retry can't change, or nil.
func permanentError(err error) error {
	text, ok := remoteErrorText(err)
	if ok && strings.Contains(text, "table full") {
		return control.ErrTableFull.New("%s", text)
	}
	if ok && strings.Contains(text, "invalid message") {
		return control.ErrInvalid.New("%s", text)
	}
	return nil
}

// remoteErrorText returns the text of an error that the remote method returned.
func remoteErrorText(err error) (string, bool) {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return string(remote), true
	}
	return "", false
}

// Heartbeat implements control.Client.
func (c *Client) Heartbeat(ctx context.Context, in *control.HeartbeatRequest) (*control.HeartbeatReply, error) {
	in.Meta = c.meta()
	out := &control.HeartbeatReply{}
	return out, c.callLeader(ctx, "Control.Heartbeat", in, out)
}

// Announce implements control.Client.
func (c *Client) Announce(ctx context.Context, in *control.AnnounceRequest) error {
	in.Meta = c.meta()
	return c.callLeader(ctx, "Control.Announce", in, &control.Empty{})
}

// PinSession implements control.Client.
func (c *Client) PinSession(ctx context.Context, in *control.PinRequest) (*control.PinReply, error) {
	in.Meta = c.meta()
	out := &control.PinReply{}
	return out, c.callLeader(ctx, "Control.PinSession", in, out)
}

// BeginCall implements control.Client.
func (c *Client) BeginCall(ctx context.Context, in *control.BeginCallRequest) (*control.BeginCallReply, error) {
	in.Meta = c.meta()
	out := &control.BeginCallReply{}
	return out, c.callLeader(ctx, "Control.BeginCall", in, out)
}

// FinishCall implements control.Client.
func (c *Client) FinishCall(ctx context.Context, in *control.FinishCallRequest) error {
	in.Meta = c.meta()
	return c.callLeader(ctx, "Control.FinishCall", in, &control.Empty{})
}

// RecordBills implements control.Client.
func (c *Client) RecordBills(ctx context.Context, in *control.RecordBillsRequest) (*control.RecordBillsReply, error) {
	in.Meta = c.meta()
	out := &control.RecordBillsReply{}
	return out, c.callLeader(ctx, "Control.RecordBills", in, out)
}

// ReportCrash implements control.Client.
func (c *Client) ReportCrash(ctx context.Context, in *control.ReportCrashRequest) (*control.ReportCrashReply, error) {
	in.Meta = c.meta()
	out := &control.ReportCrashReply{}
	return out, c.callLeader(ctx, "Control.ReportCrash", in, out)
}

// ClearParts implements control.Client.
func (c *Client) ClearParts(ctx context.Context, in *control.ClearPartsRequest) (*control.ClearPartsReply, error) {
	in.Meta = c.meta()
	out := &control.ClearPartsReply{}
	return out, c.callLeader(ctx, "Control.ClearParts", in, out)
}

// AcquireSlot implements control.Client.
func (c *Client) AcquireSlot(ctx context.Context, in *control.AcquireSlotRequest) (*control.AcquireSlotReply, error) {
	in.Meta = c.meta()
	out := &control.AcquireSlotReply{}
	return out, c.callLeader(ctx, "Control.AcquireSlot", in, out)
}

// ReleaseSlot implements control.Client.
func (c *Client) ReleaseSlot(ctx context.Context, in *control.ReleaseSlotRequest) error {
	in.Meta = c.meta()
	return c.callLeader(ctx, "Control.ReleaseSlot", in, &control.Empty{})
}
