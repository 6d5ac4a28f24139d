// Package controlclient implements control.Client over net/rpc: reads go to any control replica, writes to the leader.
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

// Identity is what this process puts into each message.
type Identity struct {
	Instance string
	Boot     string
}

// Group says where the control replicas are reached.
type Group struct {
	// Addresses are peer addresses of control replicas.
	Addresses []string
	// Seeds says that Addresses are only some of the replicas and that the others are learned from replies. Without it the
	// addresses hold: the way to a replica may lead over a forwarder that the replica itself does not know.
	Seeds bool
}

// Client talks to the control group.
type Client struct {
	pool     *peer.Pool
	learns   bool
	seeds    []string
	identity Identity
	clock    *event.Clock

	mu     sync.Mutex // guards the fields below
	sticky int
	leader string
	// leaderChanged is closed and replaced when leader becomes another address.
	leaderChanged chan struct{}
	// replicas are the seeds and the replicas of the last reply.
	replicas []string
}

var _ control.Client = (*Client)(nil)

const (
	// callTimeout bounds one attempt, so that a silently cut replica costs no more than this before the next is asked.
	callTimeout = time.Second
	// slowSync is how long one replica may take for a reply before the next is asked too. It is above the round trip between
	// regions of a continent; after a loss of power some replicas are back earlier than others.
	slowSync = 100 * time.Millisecond
	// retryPause is the pause after each replica was asked in vain.
	retryPause = 100 * time.Millisecond
)

// New returns a client for a control group.
func New(pool *peer.Pool, group Group, identity Identity, clock *event.Clock) *Client {
	return &Client{
		pool: pool, learns: group.Seeds, seeds: group.Addresses, replicas: group.Addresses, identity: identity, clock: clock,
		leaderChanged: make(chan struct{}),
	}
}

func (c *Client) meta() control.Meta {
	return control.Meta{Stamp: c.clock.Now(), Instance: c.identity.Instance, Boot: c.identity.Boot}
}

// Sync asks the replica that answered last, and each other one in turn when the one before fails or is slow to answer. The
// first reply counts.
func (c *Client) Sync(ctx context.Context, in *control.SyncRequest) (*control.SyncReply, error) {
	in.Meta, in.AcceptsPacked = c.meta(), true
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		address string
		reply   *control.SyncReply
		err     error
	}
	addresses := c.inOrder()
	answers := make(chan answer, len(addresses))
	asked, open := 0, 0
	askNext := func() {
		if asked == len(addresses) {
			return
		}
		address, request := addresses[asked], *in
		asked, open = asked+1, open+1
		go func() {
			out := &control.SyncReply{}
			err := c.attempt(ctx, address, "Control.Sync", &request, out)
			if err == nil {
				out.Fleet, err = fleet.Unpack(out.Fleet)
			}
			answers <- answer{address, out, err}
		}()
	}
	askNext()
	slow := time.NewTicker(slowSync)
	defer slow.Stop()
	var last error
	for open > 0 && ctx.Err() == nil {
		select {
		case <-slow.C:
			askNext()
		case a := <-answers:
			open--
			if last = a.err; last != nil {
				askNext()
				continue
			}
			c.clock.Observe(a.reply.Stamp)
			c.setLeader(a.reply.Leader)
			c.stick(a.address)
			c.learn(a.reply.Replicas)
			return a.reply, nil
		case <-ctx.Done():
			last = ctx.Err()
		}
	}
	return nil, control.ErrUnavailable.Wrap(last)
}

// stick makes a replica the first that the next Sync asks.
func (c *Client) stick(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sticky = max(slices.Index(c.replicas, address), 0)
}

// inOrder returns the replicas, the one that the next Sync asks first.
func (c *Client) inOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.sticky % len(c.replicas)
	return append(slices.Clone(c.replicas[at:]), c.replicas[:at]...)
}

// SkipReplica makes the next Sync ask another replica, for instance because the last reply was not fresh.
func (c *Client) SkipReplica() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sticky = (c.sticky + 1) % len(c.replicas)
}

// learn takes the replicas of a reply in place of those known before. The seeds stay, as the group may forget a replica
// that is the only one in reach.
func (c *Client) learn(replicas []string) {
	if len(replicas) == 0 || !c.learns {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.replicas[c.sticky%len(c.replicas)]
	next := slices.Clone(replicas)
	for _, seed := range c.seeds {
		if !slices.Contains(next, seed) {
			next = append(next, seed)
		}
	}
	c.replicas = next
	c.sticky = max(slices.Index(next, current), 0)
}

// Replicas returns the peer addresses of the replicas that are known.
func (c *Client) Replicas() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas
}

// SetSeeds replaces the replicas that the settings name.
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

// setLeader takes a leader that answered or that a reply named. A named one is left aside where the addresses of the
// settings hold and do not contain it; the search over the replicas then finds it. It returns whether the leader is known.
func (c *Client) setLeader(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == "" || !c.learns && !slices.Contains(c.replicas, address) {
		return false
	}
	if address != c.leader {
		c.leader = address
		close(c.leaderChanged)
		c.leaderChanged = make(chan struct{})
	}
	return true
}

// attemptLeader makes one call to what may be the leader. It gives up when another leader is learned, as the address may
// belong to a machine that is gone.
func (c *Client) attemptLeader(ctx context.Context, address, method string, in, out any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	changed := c.leaderChanged
	if c.leader != "" && c.leader != address {
		changed = nil // The caller chose the address although a leader is known.
	}
	c.mu.Unlock()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return c.attempt(ctx, address, method, in, out)
}

func (c *Client) attempt(ctx context.Context, address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.pool.Call(ctx, address, method, in, out)
}

// toLeader repeats an idempotent call until the leader answers or ctx ends.
func (c *Client) toLeader(ctx context.Context, method string, in, out any) error {
	var last error
	for turn := 0; ; turn++ {
		c.mu.Lock()
		address := c.leader
		c.mu.Unlock()
		if address == "" || turn > 0 {
			address = c.candidate(turn)
		}
		last = c.attemptLeader(ctx, address, method, in, out)
		if last == nil {
			c.setLeader(address)
			return nil
		}
		if err := asTyped(last); err != nil {
			return err
		}
		if errors.Is(last, context.Canceled) && ctx.Err() == nil {
			turn = -1 // Another leader was learned meanwhile.
			continue
		}
		c.forgetLeader(address)
		if c.setLeader(leaderHint(last)) {
			turn = -1
		}
		select {
		case <-ctx.Done():
			return control.ErrUnavailable.Wrap(last)
		case <-time.After(retryPause):
		}
	}
}

func (c *Client) candidate(turn int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" && turn%2 == 0 {
		return c.leader
	}
	return c.replicas[turn%len(c.replicas)]
}

func (c *Client) forgetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// notLeaderPrefix starts the remote error of a replica that is not the leader; the leader's address follows, if known.
const notLeaderPrefix = "not leader:"

// NotLeader returns the error that a replica which is not the leader answers with.
func NotLeader(leaderAddress string) error {
	return control.ErrNotLeader.New("%s", leaderAddress)
}

func leaderHint(err error) string {
	text, ok := remoteText(err)
	if !ok {
		return ""
	}
	_, hint, found := strings.Cut(text, notLeaderPrefix)
	if !found {
		return ""
	}
	return strings.TrimSpace(hint)
}

// asTyped returns the typed error for a refusal that a repetition can't change, or nil.
func asTyped(err error) error {
	text, ok := remoteText(err)
	if ok && strings.Contains(text, "table full") {
		return control.ErrTableFull.New("%s", text)
	}
	if ok && strings.Contains(text, "invalid message") {
		return control.ErrInvalid.New("%s", text)
	}
	return nil
}

func remoteText(err error) (string, bool) {
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
	return out, c.toLeader(ctx, "Control.Heartbeat", in, out)
}

// Announce implements control.Client.
func (c *Client) Announce(ctx context.Context, in *control.AnnounceRequest) error {
	in.Meta = c.meta()
	return c.toLeader(ctx, "Control.Announce", in, &control.Empty{})
}

// PinSession implements control.Client.
func (c *Client) PinSession(ctx context.Context, in *control.PinRequest) (*control.PinReply, error) {
	in.Meta = c.meta()
	out := &control.PinReply{}
	return out, c.toLeader(ctx, "Control.PinSession", in, out)
}

// BeginCall implements control.Client.
func (c *Client) BeginCall(ctx context.Context, in *control.BeginCallRequest) (*control.BeginCallReply, error) {
	in.Meta = c.meta()
	out := &control.BeginCallReply{}
	return out, c.toLeader(ctx, "Control.BeginCall", in, out)
}

// FinishCall implements control.Client.
func (c *Client) FinishCall(ctx context.Context, in *control.FinishCallRequest) error {
	in.Meta = c.meta()
	return c.toLeader(ctx, "Control.FinishCall", in, &control.Empty{})
}

// RecordBills implements control.Client.
func (c *Client) RecordBills(ctx context.Context, in *control.RecordBillsRequest) (*control.RecordBillsReply, error) {
	in.Meta = c.meta()
	out := &control.RecordBillsReply{}
	return out, c.toLeader(ctx, "Control.RecordBills", in, out)
}

// ReportCrash implements control.Client.
func (c *Client) ReportCrash(ctx context.Context, in *control.ReportCrashRequest) (*control.ReportCrashReply, error) {
	in.Meta = c.meta()
	out := &control.ReportCrashReply{}
	return out, c.toLeader(ctx, "Control.ReportCrash", in, out)
}

// AcquireSlot implements control.Client.
func (c *Client) AcquireSlot(ctx context.Context, in *control.AcquireSlotRequest) (*control.AcquireSlotReply, error) {
	in.Meta = c.meta()
	out := &control.AcquireSlotReply{}
	return out, c.toLeader(ctx, "Control.AcquireSlot", in, out)
}

// ReleaseSlot implements control.Client.
func (c *Client) ReleaseSlot(ctx context.Context, in *control.ReleaseSlotRequest) error {
	in.Meta = c.meta()
	return c.toLeader(ctx, "Control.ReleaseSlot", in, &control.Empty{})
}
