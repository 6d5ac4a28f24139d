package replica_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"clementinetray/server/peer"
)

// partition is a network fault between one replica and all others.
type partition string

const (
	// lostOutbound drops the packets that the replica sends, lostInbound those that are sent to it.
	lostOutbound partition = "one way, outbound"
	lostInbound  partition = "one way, inbound"
	lostBothWays partition = "both ways"
	// connectionsReset closes the connections of the replica and refuses new ones.
	connectionsReset partition = "reset"
)

// networkDialTimeout limits the time to open a connection, as in the pools without faults.
const networkDialTimeout = time.Second

// faultNetwork opens the connections between replicas on loopback and injects partitions. Replicas are identified by address.
type faultNetwork struct {
	mu         sync.Mutex // guards the fields below
	partitions map[string]partition
	// changed is closed and replaced at each change of partitions.
	changed chan struct{}
	conns   map[*faultConn]bool
}

func newFaultNetwork() *faultNetwork {
	return &faultNetwork{partitions: map[string]partition{}, changed: make(chan struct{}), conns: map[*faultConn]bool{}}
}

// set starts a partition of the replica at the address, or ends it if the partition is empty.
func (n *faultNetwork) set(address string, p partition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[address] = p
	close(n.changed)
	n.changed = make(chan struct{})
	for c := range n.conns {
		if p == connectionsReset && (c.from == address || c.to == address) {
			_ = c.Conn.Close()
		}
	}
}

// lost reports whether packets between the addresses are lost in this direction, and returns a channel that is closed at the
// next change.
func (n *faultNetwork) lost(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sender, receiver := n.partitions[from], n.partitions[to]
	return sender == lostOutbound || sender == lostBothWays || receiver == lostInbound || receiver == lostBothWays, n.changed
}

func (n *faultNetwork) refused(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[from] == connectionsReset || n.partitions[to] == connectionsReset
}

// await waits until packets between the addresses arrive in this direction; false if done is closed before.
func (n *faultNetwork) await(from, to string, done <-chan struct{}) bool {
	for {
		lost, changed := n.lost(from, to)
		if !lost {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// dialFrom returns a function that opens connections from the replica at the address.
func (n *faultNetwork) dialFrom(from string) peer.DialFunc {
	return func(ctx context.Context, to string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, networkDialTimeout)
		defer cancel()
		if !n.await(from, to, ctx.Done()) || !n.await(to, from, ctx.Done()) {
			return nil, ctx.Err()
		}
		if n.refused(from, to) {
			return nil, syscall.ECONNREFUSED
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
		if err != nil {
			return nil, err
		}
		c := &faultConn{Conn: conn, network: n, from: from, to: to, closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = true
		return c, nil
	}
}

// faultConn is the dialing side of a connection. Bytes that a partition holds back arrive when it ends, as retransmitted ones do.
type faultConn struct {
	net.Conn
	network  *faultNetwork
	from, to string
	closed   chan struct{}
	once     sync.Once

	mu sync.Mutex // guards unsent
	// unsent holds the bytes that wait for the end of a partition.
	unsent []byte
}

func (c *faultConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	if err == nil && !c.network.await(c.to, c.from, c.closed) {
		return 0, net.ErrClosed
	}
	return count, err
}

func (c *faultConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost, _ := c.network.lost(c.from, c.to)
	if !lost && len(c.unsent) == 0 {
		return c.Conn.Write(p)
	}
	if len(c.unsent) == 0 {
		go c.sendLater()
	}
	c.unsent = append(c.unsent, p...)
	return len(p), nil
}

func (c *faultConn) sendLater() {
	if !c.network.await(c.from, c.to, c.closed) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Conn.Write(c.unsent)
	c.unsent = nil
}

func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
