// Package hints sends hints between entry instances. They report unread prompt tokens at backend servers, sessions that
// must stay on a software version, and backend servers that refused connections. A backend server's load report is late
// and counts requests, not their size.
// Without hints, an instance notices another instance's long prompt only when its own requests wait behind it. Hints
// are datagrams, which may be lost, repeated or late; they only improve decisions.
package hints

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"clementinetray/server/restarts"
)

// Error is the class of all errors of this package.
var Error = errs.Class("hints")

// Hint is a message to all other entry instances. Exactly one of UnreadTokens, Sessions and Refusals is set.
type Hint struct {
	// Sender is the hash of the entry instance's Boot; Sequence orders the hints of a sender.
	Sender, Sequence uint64
	UnreadTokens     *UnreadTokens
	Sessions         *Sessions
	// Refusals are the backend servers that refused connections of the sender. All or none of them are confirmed.
	Refusals []restarts.Report
}

// UnreadTokens is the number of prompt tokens of an entry instance's requests that a backend server has not processed yet.
type UnreadTokens struct {
	// Server is the hash of the backend server's ID.
	Server uint64
	// Tokens is the number of unread prompt tokens, converted to tokens of the pool's slowest model: a token of a model that
	// takes half the time counts as one half.
	Tokens uint32
}

// Sessions lists sessions that are active when a roll-out begins and that stay on the old version.
type Sessions struct {
	// Rollout is the hash of the roll-out; Hashes are the hashes of the sessions.
	Rollout uint64
	Hashes  []uint64
}

const (
	// formatVersion is the first byte of a datagram. A receiver drops datagrams with another value.
	formatVersion = 1
	// The kinds are the values of the second byte, which identifies the content.
	kindUnreadTokens      = 1
	kindSessions          = 2
	kindRefusals          = 3
	kindConfirmedRefusals = 4
	// headerBytes and macBytes are the sizes of the common header and of the message authentication code, unreadTokensBytes
	// is the size of an encoded UnreadTokens.
	headerBytes       = 2 + 2*8
	macBytes          = 16
	unreadTokensBytes = 8 + 4
	// maxSessionsPerHint is the maximum number of sessions in a hint, so that a datagram fits into one packet with an MTU
	// of 1500 bytes.
	maxSessionsPerHint = 150
	maxDatagramBytes   = headerBytes + 8 + 8*maxSessionsPerHint + macBytes
	// refusalBytes is the size of an encoded restarts.Refusal. maxRefusalsPerHint of them fit into a datagram.
	refusalBytes       = 2 * 8
	maxRefusalsPerHint = 64
	// packetOverheadBytes is the size of the IP and UDP headers.
	packetOverheadBytes = 28
	// defaultBytesPerSecond limits what an instance sends, and therefore what it receives from all others on average. Hints in both
	// directions and the 7.9 KB/s of the other control traffic together stay within the 16 KB/s that a node may use. The
	// limit allows an instance to report 3 long prompts per second to a fleet of 9 instances, or one in 15 s to 410.
	defaultBytesPerSecond = 4 << 10
	// burstBytes is the largest burst. It suffices to send each of 410 instances two hints: an increase of unread tokens and
	// the later decrease.
	burstBytes = 60 << 10
	// maxQueuedHints is the capacity of the send queue. A full queue is sent within some milliseconds.
	maxQueuedHints = 256
)

// Config is the configuration of an Exchange.
type Config struct {
	// Address is the UDP address to listen on.
	Address string
	// Boot identifies this start of the instance.
	Boot string
	// Secret is the key of the message authentication code. It may be nil on a network that only the system's own
	// processes can use.
	Secret []byte
	// Members returns the UDP addresses of all entry instances; it may include this one.
	Members func() []string
	// BytesPerSecond limits what the instance sends. Default 4 KiB.
	BytesPerSecond int
	// OnHint is called with each hint of another instance, by a single goroutine.
	OnHint     func(Hint)
	Log        *slog.Logger
	Registerer prometheus.Registerer
}

// Exchange sends and receives hints.
type Exchange struct {
	cfg        Config
	conn       *net.UDPConn
	ownAddress netip.AddrPort
	sender     uint64
	sequence   atomic.Uint64
	queue      chan Hint
	limiter    *rate.Limiter
	counter    *prometheus.CounterVec
}

// Listen opens the UDP socket and registers the metrics.
func Listen(cfg Config) (*Exchange, error) {
	address, err := netip.ParseAddrPort(cfg.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if cfg.BytesPerSecond <= 0 {
		cfg.BytesPerSecond = defaultBytesPerSecond
	}
	e := &Exchange{
		cfg: cfg, conn: conn, ownAddress: conn.LocalAddr().(*net.UDPAddr).AddrPort(), sender: xxhash.Sum64String(cfg.Boot),
		queue: make(chan Hint, maxQueuedHints), limiter: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), burstBytes),
		counter: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinetray_hints_total",
			Help: "Hints between entry instances, by what became of them: sent, received, withheld for the limit of bytes, dropped, refused as not authentic.",
		}, []string{"outcome"}),
	}
	return e, Error.Wrap(cfg.Registerer.Register(e.counter))
}

// Address returns the local address of the socket.
func (e *Exchange) Address() string { return e.ownAddress.String() }

// SendUnreadTokens sends the number of unread tokens that this instance has at a backend server. increased reports whether the
// number grew. It returns false if the hint was not queued, because the byte limit was reached or the queue is full. An
// increase counts as two hints, so that the later decrease can be sent without a check of the limit. If the decrease were
// not sent, the other instances would avoid the server because of tokens that it has already read.
func (e *Exchange) SendUnreadTokens(server uint64, tokens float64, increased bool) bool {
	members := len(e.cfg.Members())
	if increased && !e.reserveBytes(2*members*(headerBytes+unreadTokensBytes+macBytes+packetOverheadBytes)) {
		return false
	}
	return e.enqueue(Hint{UnreadTokens: &UnreadTokens{Server: server, Tokens: uint32(min(max(tokens, 0), 1<<31))}})
}

// SendSessions sends the sessions that are active when a roll-out begins. Roll-outs are rare, so that these hints are
// exempt from the byte limit.
func (e *Exchange) SendSessions(rollout uint64, hashes []uint64) {
	for chunk := range slices.Chunk(hashes, maxSessionsPerHint) {
		e.enqueue(Hint{Sessions: &Sessions{Rollout: rollout, Hashes: chunk}})
	}
}

// SendRefusals sends the backend servers that refused connections. They may use bytes of the next seconds, which hints on unread tokens
// then lack. What is beyond that is not sent: other instances that were refused by the same servers report them.
func (e *Exchange) SendRefusals(refusals []restarts.Report) {
	members := max(len(e.cfg.Members()), 1)
	const overhead = headerBytes + macBytes + packetOverheadBytes
	// A hint to all instances must not take more than the burst.
	most := min(max((burstBytes/members-overhead)/refusalBytes, 1), maxRefusalsPerHint)
	unconfirmed, confirmed := []restarts.Report(nil), []restarts.Report(nil)
	for _, r := range refusals {
		if r.Confirmed {
			confirmed = append(confirmed, r)
		} else {
			unconfirmed = append(unconfirmed, r)
		}
	}
	for _, kind := range [][]restarts.Report{confirmed, unconfirmed} {
		for chunk := range slices.Chunk(kind, most) {
			if e.borrowBytes(members * (overhead + len(chunk)*refusalBytes)) {
				e.enqueue(Hint{Refusals: chunk})
			}
		}
	}
}

// reserveBytes takes bytes from a limiter, at most the burst size, and reports whether they were available.
func (e *Exchange) reserveBytes(bytes int) bool {
	if e.limiter.AllowN(time.Now(), min(bytes, burstBytes)) {
		return true
	}
	e.counter.WithLabelValues("withheld").Inc()
	return false
}

// maxBorrowTime limits the bytes that urgent hints may take ahead of time.
const maxBorrowTime = 10 * time.Second

// borrowBytes takes bytes from the limiter, at most the burst size, also some of those of the next maxBorrowTime.
func (e *Exchange) borrowBytes(bytes int) bool {
	now := time.Now()
	reservation := e.limiter.ReserveN(now, min(bytes, burstBytes))
	if reservation.DelayFrom(now) <= maxBorrowTime {
		return true
	}
	reservation.CancelAt(now)
	e.counter.WithLabelValues("withheld").Inc()
	return false
}

// enqueue adds the hint to the send queue without blocking; it drops the hint and returns false if the queue is full.
func (e *Exchange) enqueue(h Hint) bool {
	h.Sender, h.Sequence = e.sender, e.sequence.Add(1)
	select {
	case e.queue <- h:
		return true
	default:
		e.counter.WithLabelValues("dropped").Inc()
		return false
	}
}

// Run sends and receives hints until ctx ends, and then closes the socket.
func (e *Exchange) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		e.receive()
	}()
	e.send(ctx)
	_ = e.conn.Close()
	<-received
}

func (e *Exchange) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-e.queue:
			e.broadcast(h)
		}
	}
}

func (e *Exchange) broadcast(hint Hint) {
	datagram := e.encode(hint)
	for _, member := range e.cfg.Members() {
		address, err := netip.ParseAddrPort(member)
		if err != nil || address == e.ownAddress {
			continue
		}
		if _, err := e.conn.WriteToUDPAddrPort(datagram, address); err != nil {
			e.cfg.Log.Debug("hint not sent", "to", member, "error", err)
		}
	}
	e.counter.WithLabelValues("sent").Inc()
}

func (e *Exchange) receive() {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A read also returns the error of an earlier write to an unreachable peer.
			e.cfg.Log.Debug("error while reading from the hint socket", "error", err)
			continue
		}
		h, ok := e.decode(buffer[:n])
		if !ok {
			e.counter.WithLabelValues("refused").Inc()
			e.cfg.Log.Debug("hint refused", "from", from, "bytes", n)
			continue
		}
		if h.Sender != e.sender {
			e.counter.WithLabelValues("received").Inc()
			e.cfg.OnHint(h)
		}
	}
}

func (e *Exchange) encode(h Hint) []byte {
	datagram := make([]byte, 0, maxDatagramBytes)
	kind := byte(kindUnreadTokens)
	switch {
	case h.Sessions != nil:
		kind = kindSessions
	case len(h.Refusals) > 0 && h.Refusals[0].Confirmed:
		kind = kindConfirmedRefusals
	case len(h.Refusals) > 0:
		kind = kindRefusals
	}
	datagram = append(datagram, formatVersion, kind)
	datagram = binary.BigEndian.AppendUint64(datagram, h.Sender)
	datagram = binary.BigEndian.AppendUint64(datagram, h.Sequence)
	switch {
	case h.Sessions != nil:
		datagram = binary.BigEndian.AppendUint64(datagram, h.Sessions.Rollout)
		for _, hash := range h.Sessions.Hashes {
			datagram = binary.BigEndian.AppendUint64(datagram, hash)
		}
	case len(h.Refusals) > 0:
		for _, r := range h.Refusals {
			datagram = binary.BigEndian.AppendUint64(datagram, r.Server)
			datagram = binary.BigEndian.AppendUint64(datagram, r.Boot)
		}
	default:
		datagram = binary.BigEndian.AppendUint64(datagram, h.UnreadTokens.Server)
		datagram = binary.BigEndian.AppendUint32(datagram, h.UnreadTokens.Tokens)
	}
	return append(datagram, e.mac(datagram)...)
}

// decode returns false for a datagram that is damaged, has another format or is not from an instance of this site.
func (e *Exchange) decode(datagram []byte) (Hint, bool) {
	size := len(datagram) - macBytes
	if size < headerBytes || datagram[0] != formatVersion || !hmac.Equal(datagram[size:], e.mac(datagram[:size])) {
		return Hint{}, false
	}
	h := Hint{Sender: binary.BigEndian.Uint64(datagram[2:]), Sequence: binary.BigEndian.Uint64(datagram[10:])}
	body := datagram[headerBytes:size]
	switch {
	case datagram[1] == kindUnreadTokens && len(body) == unreadTokensBytes:
		h.UnreadTokens = &UnreadTokens{Server: binary.BigEndian.Uint64(body), Tokens: binary.BigEndian.Uint32(body[8:])}
	case datagram[1] == kindSessions && len(body) >= 8 && len(body)%8 == 0:
		h.Sessions = &Sessions{Rollout: binary.BigEndian.Uint64(body)}
		for rest := body[8:]; len(rest) > 0; rest = rest[8:] {
			h.Sessions.Hashes = append(h.Sessions.Hashes, binary.BigEndian.Uint64(rest))
		}
	case (datagram[1] == kindRefusals || datagram[1] == kindConfirmedRefusals) && len(body) > 0 && len(body)%refusalBytes == 0:
		for rest := body; len(rest) > 0; rest = rest[refusalBytes:] {
			refusal := restarts.Refusal{Server: binary.BigEndian.Uint64(rest), Boot: binary.BigEndian.Uint64(rest[8:])}
			h.Refusals = append(h.Refusals, restarts.Report{Refusal: refusal, Confirmed: datagram[1] == kindConfirmedRefusals})
		}
	default:
		return Hint{}, false
	}
	return h, true
}

// mac returns the message authentication code of a hint. A replayed hint does no harm: its sequence is not higher than that of
// the sender's last hint, or it carries the sender hash of an earlier start of the instance.
func (e *Exchange) mac(message []byte) []byte {
	h := hmac.New(sha256.New, e.cfg.Secret)
	h.Write([]byte("hints"))
	h.Write(message)
	return h.Sum(nil)[:macBytes]
}
