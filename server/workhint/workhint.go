// Package workhint tells the entry instances of each other's long prompts. What a backend server states of its load is late
// and counts requests, not their size: without hints, each instance learns of another one's long prompt by the requests that
// it lost behind it. Hints are datagrams that may be lost, repeated and late; they only improve decisions.
package workhint

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"
)

// Error is the class of all errors of this package.
var Error = errs.Class("workhint")

// Hint says how much unread work one entry instance has at a backend server.
type Hint struct {
	// Sender is one start of an entry instance; Sequence orders its hints.
	Sender, Sequence uint64
	// Server is the hash of the backend server's id.
	Server uint64
	// Tokens are prompt tokens that are not read yet, in tokens of the slowest model.
	Tokens uint32
}

const (
	// format is the first byte of a datagram. A receiver drops those of other formats.
	format = 1
	// hintSize is the size of an encoded hint in bytes, macSize that of its authentication code.
	hintSize = 1 + 3*8 + 4
	macSize  = 16
	// wireSize is what one hint to one instance costs on the wire, with the headers of IP and UDP.
	wireSize = hintSize + macSize + 28
	// bytesPerSecond bounds what an instance sends: half of the 16 KB/s that a node may spend for control. With 9 instances
	// that is 14 hints a second, with 410 one each three seconds.
	bytesPerSecond = 8 << 10
	// maxWaiting is the number of hints that wait to be sent; a hint that is older than those is worth nothing.
	maxWaiting = 32
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
		waiting: make(chan Hint, maxWaiting), limit: rate.NewLimiter(bytesPerSecond, 2*bytesPerSecond),
		hints: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinetray_work_hints_total",
			Help: "Hints of long prompts, by what became of them: sent, received, dropped for the limit of bytes, refused as not authentic.",
		}, []string{"outcome"}),
	}
	return e, Error.Wrap(cfg.Registerer.Register(e.hints))
}

// Address returns the address of the socket.
func (e *Exchange) Address() string { return e.own.String() }

// Tell passes a hint on to the other instances. It never waits: a hint that can't be sent soon is dropped.
func (e *Exchange) Tell(server uint64, tokens float64) {
	h := Hint{Sender: e.sender, Sequence: e.sequence.Add(1), Server: server, Tokens: uint32(min(max(tokens, 0), 1<<31))}
	select {
	case e.waiting <- h:
	default:
		e.hints.WithLabelValues("dropped").Inc()
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
	members := e.cfg.Members()
	if !e.limit.AllowN(time.Now(), min(wireSize*len(members), 2*bytesPerSecond)) {
		e.hints.WithLabelValues("dropped").Inc()
		return
	}
	datagram := e.encode(h)
	for _, member := range members {
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
	buffer := make([]byte, hintSize+macSize+1)
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
	out := make([]byte, 0, hintSize+macSize)
	out = append(out, format)
	out = binary.BigEndian.AppendUint64(out, h.Sender)
	out = binary.BigEndian.AppendUint64(out, h.Sequence)
	out = binary.BigEndian.AppendUint64(out, h.Server)
	out = binary.BigEndian.AppendUint32(out, h.Tokens)
	return append(out, e.mac(out)...)
}

func (e *Exchange) decode(in []byte) (Hint, bool) {
	if len(in) != hintSize+macSize || in[0] != format || !hmac.Equal(in[hintSize:], e.mac(in[:hintSize])) {
		return Hint{}, false
	}
	return Hint{
		Sender: binary.BigEndian.Uint64(in[1:]), Sequence: binary.BigEndian.Uint64(in[9:]),
		Server: binary.BigEndian.Uint64(in[17:]), Tokens: binary.BigEndian.Uint32(in[25:]),
	}, true
}

// mac authenticates a hint. A recorded hint that is sent again is no danger: it is older than the sequence that receivers hold,
// or names a start that is over.
func (e *Exchange) mac(hint []byte) []byte {
	h := hmac.New(sha256.New, e.cfg.Secret)
	h.Write([]byte("workhint"))
	h.Write(hint)
	return h.Sum(nil)[:macSize]
}
