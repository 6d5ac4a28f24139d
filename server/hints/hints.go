// Package hints passes hints between entry instances: of each other's long prompts, and of sessions that must stay on a
// software version. What a backend server states of its load is late and counts requests, not their size: without hints, each
// instance learns of another one's long prompt by the requests that it lost behind it. Hints are datagrams that may be lost,
// repeated and late; they only improve decisions.
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
)

// Error is the class of all errors of this package.
var Error = errs.Class("hints")

// Hint is one message to all other entry instances. One of Work and Sessions is set.
type Hint struct {
	// Sender is one start of an entry instance; Sequence orders its hints.
	Sender, Sequence uint64
	Work             *Work
	Sessions         *Sessions
}

// Work says how much unread work one entry instance has at a backend server.
type Work struct {
	// Server is the hash of the backend server's id.
	Server uint64
	// Tokens are prompt tokens that are not read yet, in tokens of the slowest model.
	Tokens uint32
}

// Sessions names sessions that go on while a roll-out begins, and that stay on the old version.
type Sessions struct {
	// Rollout is the hash of the roll-out, Hashes are those of the sessions.
	Rollout uint64
	Hashes  []uint64
}

const (
	// format is the first byte of a datagram. A receiver drops those of other formats.
	format = 1
	// The second byte says what the datagram holds.
	kindWork     = 1
	kindSessions = 2
	// headSize and macSize are the sizes of the common fields and of the authentication code, in bytes.
	headSize = 2 + 2*8
	macSize  = 16
	workSize = 8 + 4
	// MaxSessions bounds the sessions of one hint, so that a datagram fits into one packet of a usual network.
	MaxSessions = 150
	maxSize     = headSize + 8 + 8*MaxSessions + macSize
	// packetOverhead is the size of the headers of IP and UDP.
	packetOverhead = 28
	// bytesPerSecond bounds what an instance sends, and over all instances what each receives: with the 7.9 KB/s of the other
	// control traffic, both together stay within the 16 KB/s that a node may spend. With 9 instances that is 3 long prompts a
	// second, with 410 one each fifteen seconds.
	bytesPerSecond = 4 << 10
	// burstBytes is one hint of work, and that it ended, to each of 410 instances.
	burstBytes = 60 << 10
	// maxWaiting is the number of hints that wait to be sent, some milliseconds' worth.
	maxWaiting = 256
)

// Config holds what an Exchange needs. Secret may be nil where the network admits only the system's own processes.
type Config struct {
	// Address is the UDP address to listen on.
	Address string
	// Boot names this start of the instance.
	Boot   string
	Secret []byte
	// Members returns the addresses of all entry instances, this one among them or not.
	Members func() []string
	// Heard takes the hints of others. It is called by one goroutine.
	Heard      func(Hint)
	Log        *slog.Logger
	Registerer prometheus.Registerer
}

// Exchange sends and receives hints.
type Exchange struct {
	cfg      Config
	conn     *net.UDPConn
	own      netip.AddrPort
	sender   uint64
	sequence atomic.Uint64
	waiting  chan Hint
	limit    *rate.Limiter
	hints    *prometheus.CounterVec
}

// Listen opens the socket.
func Listen(cfg Config) (*Exchange, error) {
	address, err := netip.ParseAddrPort(cfg.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e := &Exchange{
		cfg: cfg, conn: conn, own: conn.LocalAddr().(*net.UDPAddr).AddrPort(), sender: xxhash.Sum64String(cfg.Boot),
		waiting: make(chan Hint, maxWaiting), limit: rate.NewLimiter(bytesPerSecond, burstBytes),
		hints: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinetray_hints_total",
			Help: "Hints between entry instances, by what became of them: sent, received, withheld for the limit of bytes, dropped, refused as not authentic.",
		}, []string{"outcome"}),
	}
	return e, Error.Wrap(cfg.Registerer.Register(e.hints))
}

// Address returns the address of the socket.
func (e *Exchange) Address() string { return e.own.String() }

// TellWork tells the other instances of the unread work of this one at a backend server. more says that it grew. It returns
// false when that is not told, for want of bytes; the hint that it shrank again is paid for together with that it grew, as a
// backend server would be avoided for work that has ended.
func (e *Exchange) TellWork(server uint64, tokens float64, more bool) bool {
	members := len(e.cfg.Members())
	if more && !e.afford(2*members*(headSize+workSize+macSize+packetOverhead)) {
		return false
	}
	return e.tell(Hint{Work: &Work{Server: server, Tokens: uint32(min(max(tokens, 0), 1<<31))}})
}

// TellSessions tells the other instances of sessions that go on while a roll-out begins. Roll-outs are rare, so that these
// hints are sent beyond the limit of bytes.
func (e *Exchange) TellSessions(rollout uint64, hashes []uint64) {
	for some := range slices.Chunk(hashes, MaxSessions) {
		e.tell(Hint{Sessions: &Sessions{Rollout: rollout, Hashes: some}})
	}
}

// afford takes bytes from what may be sent. What is over the burst is taken as the burst.
func (e *Exchange) afford(bytes int) bool {
	if e.limit.AllowN(time.Now(), min(bytes, burstBytes)) {
		return true
	}
	e.hints.WithLabelValues("withheld").Inc()
	return false
}

// tell never waits: a hint that can't be sent soon is dropped.
func (e *Exchange) tell(h Hint) bool {
	h.Sender, h.Sequence = e.sender, e.sequence.Add(1)
	select {
	case e.waiting <- h:
		return true
	default:
		e.hints.WithLabelValues("dropped").Inc()
		return false
	}
}

// Run sends and receives until ctx ends, then closes the socket.
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
		case h := <-e.waiting:
			e.broadcast(h)
		}
	}
}

func (e *Exchange) broadcast(h Hint) {
	datagram := e.encode(h)
	for _, member := range e.cfg.Members() {
		address, err := netip.ParseAddrPort(member)
		if err != nil || address == e.own {
			continue
		}
		if _, err := e.conn.WriteToUDPAddrPort(datagram, address); err != nil {
			e.cfg.Log.Debug("hint not sent", "to", member, "error", err)
		}
	}
	e.hints.WithLabelValues("sent").Inc()
}

func (e *Exchange) receive() {
	buffer := make([]byte, maxSize+1)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An unreachable peer shows as an error of the next read.
			e.cfg.Log.Debug("hint not received", "error", err)
			continue
		}
		h, ok := e.decode(buffer[:n])
		if !ok {
			e.hints.WithLabelValues("refused").Inc()
			e.cfg.Log.Debug("hint refused", "from", from, "bytes", n)
			continue
		}
		if h.Sender != e.sender {
			e.hints.WithLabelValues("received").Inc()
			e.cfg.Heard(h)
		}
	}
}

func (e *Exchange) encode(h Hint) []byte {
	out := make([]byte, 0, maxSize)
	kind := byte(kindWork)
	if h.Sessions != nil {
		kind = kindSessions
	}
	out = append(out, format, kind)
	out = binary.BigEndian.AppendUint64(out, h.Sender)
	out = binary.BigEndian.AppendUint64(out, h.Sequence)
	if h.Sessions != nil {
		out = binary.BigEndian.AppendUint64(out, h.Sessions.Rollout)
		for _, hash := range h.Sessions.Hashes {
			out = binary.BigEndian.AppendUint64(out, hash)
		}
	} else {
		out = binary.BigEndian.AppendUint64(out, h.Work.Server)
		out = binary.BigEndian.AppendUint32(out, h.Work.Tokens)
	}
	return append(out, e.mac(out)...)
}

// decode returns false for a datagram that is damaged, of another format or not from an instance of this site.
func (e *Exchange) decode(in []byte) (Hint, bool) {
	size := len(in) - macSize
	if size < headSize || in[0] != format || !hmac.Equal(in[size:], e.mac(in[:size])) {
		return Hint{}, false
	}
	h := Hint{Sender: binary.BigEndian.Uint64(in[2:]), Sequence: binary.BigEndian.Uint64(in[10:])}
	body := in[headSize:size]
	switch {
	case in[1] == kindWork && len(body) == workSize:
		h.Work = &Work{Server: binary.BigEndian.Uint64(body), Tokens: binary.BigEndian.Uint32(body[8:])}
	case in[1] == kindSessions && len(body) >= 8 && len(body)%8 == 0:
		h.Sessions = &Sessions{Rollout: binary.BigEndian.Uint64(body)}
		for rest := body[8:]; len(rest) > 0; rest = rest[8:] {
			h.Sessions.Hashes = append(h.Sessions.Hashes, binary.BigEndian.Uint64(rest))
		}
	default:
		return Hint{}, false
	}
	return h, true
}

// mac authenticates a hint. A recorded hint that is sent again is no danger: it is older than the sequence that receivers hold,
// or names a start that is over.
func (e *Exchange) mac(hint []byte) []byte {
	h := hmac.New(sha256.New, e.cfg.Secret)
	h.Write([]byte("hints"))
	h.Write(hint)
	return h.Sum(nil)[:macSize]
}
