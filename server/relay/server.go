package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/server/blackboard"
	"clementinetray/server/peer"
	"clementinetray/server/tcpend"
)

const (
	// proofTimeout bounds the time from a connection's acceptance to the proof that it comes from an instance, which waits less than that
	// for the reply. requestTimeout bounds the time from the proof to the reply.
	proofTimeout   = time.Second
	requestTimeout = 2 * time.Second
	// maxUnproven bounds the connections without a proof apart from all others. A further one takes the place of the oldest: a proof takes
	// one round trip, so that connections which never prove anything don't shut out instances.
	maxUnproven = 128
	// maxServerTimeout bounds how long an instance may ask the relay to wait for a backend server.
	maxServerTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is longer than any request runs without a byte in either direction. Peers that are gone are found by keep-alives.
	defaultIdleTimeout = 10 * time.Minute
	// closeTimeout is how long the instance that asked may take to close its connection after the end of the backend server's bytes, and
	// brokenCloseTimeout after the backend server's connection broke.
	closeTimeout       = 15 * time.Second
	brokenCloseTimeout = 500 * time.Millisecond
	// extraConnections is the number of proven connections above the bound on which a reply that there is no capacity is still written.
	extraConnections = 32
	// minAcceptPause and maxAcceptPause limit the pause after an accept that failed for a lack of descriptors or memory.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	// Address is the host:port to listen on.
	Address string
	Secret  []byte
	Board   *blackboard.Board
	// Dialer opens the connections to backend servers.
	Dialer *Dialer
	// MaxConnections bounds the connections that are forwarded. Each takes two descriptors and about 24 KiB.
	MaxConnections int
	// IdleTimeout ends connections without a byte in either direction. Default 10 min.
	IdleTimeout time.Duration
	// Registerer may be nil.
	Registerer prometheus.Registerer
	Log        *slog.Logger
}

// Server forwards connections of other entry instances to backend servers. It connects only to backend servers of its fleet table.
type Server struct {
	cfg      ServerConfig
	listener net.Listener
	metrics  *serverMetrics
	// forwarded is the number of connections that are or may become forwarded, accepted that of all with a proof.
	forwarded, accepted atomic.Int64
	stopping            atomic.Bool
	full                atomic.Bool
	// connections waits for all connections.
	connections sync.WaitGroup

	mu   sync.Mutex // guards all fields below
	open map[net.Conn]struct{}
	// unproven holds the connections without a proof, the oldest first.
	unproven []net.Conn
	closed   bool
}

// Listen binds the address. Connections are accepted once Serve is called.
func Listen(cfg ServerConfig) (*Server, error) {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	config := net.ListenConfig{Control: peer.UserTimeout(acceptedUserTimeout), KeepAliveConfig: keepAlive()}
	l, err := config.Listen(context.Background(), "tcp", cfg.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Server{cfg: cfg, listener: l, open: map[net.Conn]struct{}{}}
	if s.metrics, err = newServerMetrics(cfg.Registerer, s); err != nil {
		_ = l.Close()
		return nil, err
	}
	return s, nil
}

// Address returns the bound host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// OpenCount returns the number of connections that are forwarded.
func (s *Server) OpenCount() int { return int(s.forwarded.Load()) }

// Serve accepts connections until Close and then returns nil.
func (s *Server) Serve() error {
	pause := time.Duration(0)
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			pause = 0
			s.accept(conn)
			continue
		}
		if s.isClosed() {
			return nil
		}
		if !isTemporary(err) {
			return Error.Wrap(err)
		}
		pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
		s.cfg.Log.Warn("relay_connection_not_accepted", "error", err, "pause", pause)
		time.Sleep(pause)
	}
}

// isTemporary reports whether accept may succeed later without a new listener.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

func (s *Server) accept(conn net.Conn) {
	if !s.countConn(conn) {
		_ = conn.Close()
		return
	}
	s.addUnproven(conn)
	go func() {
		defer s.connections.Done()
		defer s.closeConn(conn)
		if !s.authenticate(conn) {
			return
		}
		defer s.accepted.Add(-1)
		if s.accepted.Add(1) <= int64(s.cfg.MaxConnections+extraConnections) {
			s.serve(conn)
		}
	}()
}

// countConn tracks an accepted connection, for which connections.Done must be called, unless the server is closed. It counts the
// connection under the lock, so that Close waits for each one that came before it.
func (s *Server) countConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[conn] = struct{}{}
	s.connections.Add(1)
	return true
}

// addUnproven is called in the order of acceptance.
func (s *Server) addUnproven(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unproven) >= min(maxUnproven, s.cfg.MaxConnections+extraConnections) {
		_ = s.unproven[0].Close()
		s.unproven = slices.Delete(s.unproven, 0, 1)
	}
	s.unproven = append(s.unproven, conn)
}

// authenticate reports whether the other end has proved that it is an instance.
func (s *Server) authenticate(conn net.Conn) bool {
	tooLate := time.AfterFunc(proofTimeout, func() { _ = conn.Close() })
	err := peer.AuthenticateServer(conn, s.cfg.Secret)
	s.mu.Lock()
	if i := slices.Index(s.unproven, conn); i >= 0 {
		s.unproven = slices.Delete(s.unproven, i, i+1)
	}
	s.mu.Unlock()
	return tooLate.Stop() && err == nil
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) trackConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.open[conn] = struct{}{}
	}
	return !s.closed
}

func (s *Server) closeConn(conn net.Conn) {
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

// serve reads the request on a connection, replies and forwards.
func (s *Server) serve(conn net.Conn) {
	if conn.SetDeadline(time.Now().Add(requestTimeout)) != nil {
		return
	}
	r, err := readRequest(conn)
	if err != nil {
		return
	}
	server, got := s.connect(&r)
	s.metrics.requests.WithLabelValues(got.status.String()).Inc()
	if server != nil {
		defer s.forwarded.Add(-1)
		defer s.closeConn(server)
	}
	if writeReply(conn, got) != nil || server == nil || conn.SetDeadline(time.Time{}) != nil {
		return
	}
	s.forward(conn, server)
}

// connect opens the connection that was asked for. It is nil, and nothing is counted, unless the status is statusConnected.
func (s *Server) connect(r *request) (net.Conn, reply) {
	switch row := s.cfg.Board.Fleet.Load().Servers[r.server]; {
	case row == nil || row.Address != r.address:
		return nil, reply{status: statusUnknownServer}
	case s.cfg.Dialer.Cut():
		return nil, reply{status: statusCut}
	case !s.reserve():
		return nil, reply{status: statusNoCapacity}
	}
	began := time.Now()
	server, err := s.cfg.Dialer.dialForPeer(context.Background(), r.server, r.address, min(r.timeout, maxServerTimeout))
	if err == nil && !s.trackConn(server) {
		_ = server.Close()
		err = net.ErrClosed
	}
	switch {
	case err == nil:
		return server, reply{status: statusConnected, pathsWork: true}
	case s.cfg.Dialer.Cut():
		s.forwarded.Add(-1)
		return nil, reply{status: statusCut}
	}
	s.forwarded.Add(-1)
	// Missing answers are also what a loss of the own paths looks like, so that only a dial since then shows that these work.
	failed := reply{status: statusNoAnswer}
	if errors.Is(err, syscall.ECONNREFUSED) {
		failed.status, began = statusRefused, time.Now().Add(-reachedFor)
	}
	failed.pathsWork = s.cfg.Dialer.reachesAnother(r.server, began)
	return nil, failed
}

// reserve counts a connection that is to be forwarded, unless the bound is reached or the instance stops.
func (s *Server) reserve() bool {
	if s.stopping.Load() {
		return false
	}
	if s.forwarded.Add(1) <= int64(s.cfg.MaxConnections) {
		if s.full.CompareAndSwap(true, false) {
			s.cfg.Log.Info("relay_has_capacity")
		}
		return true
	}
	s.forwarded.Add(-1)
	if s.full.CompareAndSwap(false, true) {
		s.cfg.Log.Warn("relay_full", "connections", s.cfg.MaxConnections)
	}
	return false
}

// forwarding is one connection in both directions.
type forwarding struct {
	caller, server net.Conn
	// isCut reports whether this instance has no paths to the backend servers.
	isCut func() bool
	idle  time.Duration
	began time.Time
	// active is the time of the last byte in either direction, since began.
	active atomic.Int64
	// deadlineMu makes the last read deadline of the caller that of endServer. serverEnded is set, under it, when nothing more comes from
	// the backend server.
	deadlineMu  sync.Mutex
	serverEnded atomic.Bool
	// ends tells how the backend server's connection ended.
	ends tcpend.Watch
}

func (f *forwarding) touch() { f.active.Store(int64(time.Since(f.began))) }

// idleEnd returns when the connection has been idle for too long, if no byte comes until then.
func (f *forwarding) idleEnd() time.Time { return f.began.Add(time.Duration(f.active.Load()) + f.idle) }

// forward copies bytes in both directions until one side has ended. An orderly end of the backend server is passed on as an end, a broken
// connection as one that broke. The end of the other instance's connection closes that to the backend server. The end of a backend
// server that didn't read the whole body is passed on after what it sent.
func (s *Server) forward(caller, server net.Conn) {
	f := &forwarding{caller: caller, server: server, isCut: s.cfg.Dialer.Cut, idle: s.cfg.IdleTimeout, began: time.Now()}
	var toServer sync.WaitGroup
	toServer.Go(func() {
		s.metrics.bytes.WithLabelValues("to_server").Add(float64(f.copyToServer()))
		// The caller is gone: what the server answers is of no use.
		_ = tcpend.Close(server)
	})
	copied, end := f.copyFromServer()
	s.metrics.bytes.WithLabelValues("from_server").Add(float64(copied))
	timeout := time.Duration(0)
	switch end {
	case orderlyEnd:
		timeout = closeTimeout
	case brokenEnd:
		timeout = brokenCloseTimeout
	case callerEnd:
		// A write to the server that doesn't read would otherwise delay the close.
		_ = tcpend.Close(server)
	}
	f.endServer(timeout)
	toServer.Wait()
}

// endServer leaves the caller a time to close its connection after the end of the backend server's.
func (f *forwarding) endServer(timeout time.Duration) {
	f.deadlineMu.Lock()
	defer f.deadlineMu.Unlock()
	f.serverEnded.Store(true)
	_ = f.caller.SetReadDeadline(time.Now().Add(timeout))
}

// setIdleDeadline sets the deadline of the next read, unless the backend server's connection has ended.
func (f *forwarding) setIdleDeadline(conn net.Conn) error {
	f.deadlineMu.Lock()
	defer f.deadlineMu.Unlock()
	if f.serverEnded.Load() {
		return nil
	}
	return conn.SetReadDeadline(f.idleEnd())
}

// bufferPool holds the buffers of both directions.
var bufferPool = sync.Pool{New: func() any { return new([frameHead + maxFrameBytes]byte) }}

// copyToServer copies until the caller ends. After a failed write to the backend server the rest is discarded: the server may have
// answered before, and a connection that is closed with unread bytes is reset, which may discard the answer.
func (f *forwarding) copyToServer() (copied int64) {
	buffer := bufferPool.Get().(*[frameHead + maxFrameBytes]byte)
	defer bufferPool.Put(buffer)
	discard := false
	for {
		n, err := f.read(f.caller, buffer[frameHead:])
		if n > 0 && !discard {
			_, err := f.ends.Write(f.server, buffer[frameHead:frameHead+n])
			if discard = err != nil; !discard {
				copied += int64(n)
			}
		}
		if err != nil {
			return copied
		}
	}
}

// end is the way in which the copying from the backend server ended.
type end int

const (
	orderlyEnd end = iota
	brokenEnd
	// ownEnd means that this relay or its network paths ended the connection.
	ownEnd
	// callerEnd means that the caller takes no bytes any more.
	callerEnd
)

// copyFromServer copies until the backend server or the caller ends.
func (f *forwarding) copyFromServer() (copied int64, how end) {
	buffer := bufferPool.Get().(*[frameHead + maxFrameBytes]byte)
	defer bufferPool.Put(buffer)
	for {
		n, err := f.read(f.server, buffer[frameHead:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer[:], uint16(n))
			if _, err := f.caller.Write(buffer[:frameHead+n]); err != nil {
				return copied, callerEnd
			}
			copied += int64(n)
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = f.ends.End(f.server)
			}
			return copied, f.writeEnd(err)
		}
	}
}

// writeEnd tells the other instance how the backend server's connection ended. It tells nothing if this relay ended it, or may have lost its
// path to the server: the end of this connection is then taken for that of the relay.
func (f *forwarding) writeEnd(err error) (how end) {
	var frame [frameHead]byte
	switch {
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT),
		errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return ownEnd
	case errors.Is(err, io.EOF):
		binary.BigEndian.PutUint16(frame[:], endFrame)
	case f.isCut():
		return ownEnd
	default:
		binary.BigEndian.PutUint16(frame[:], resetFrame)
		how = brokenEnd
	}
	_, _ = f.caller.Write(frame[:])
	return how
}

// read reads from one side. It fails with os.ErrDeadlineExceeded when neither side has sent a byte for the idle time.
func (f *forwarding) read(conn net.Conn, buffer []byte) (int, error) {
	for {
		if err := f.setIdleDeadline(conn); err != nil {
			return 0, err
		}
		n, err := conn.Read(buffer)
		if n > 0 {
			f.touch()
		}
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || f.serverEnded.Load() || time.Now().After(f.idleEnd()) {
			return n, err
		}
	}
}

// Stop refuses further connections and waits until those that are forwarded have ended or ctx ends.
func (s *Server) Stop(ctx context.Context) {
	s.stopping.Store(true)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for s.forwarded.Load() > 0 {
		select {
		case <-ctx.Done():
			s.cfg.Log.Warn("relayed connections were not drained", "connections", s.forwarded.Load())
			return
		case <-ticker.C:
		}
	}
}

// Close closes the listener and all connections, and waits for their goroutines. It may be called more than once.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	err := s.listener.Close()
	s.connections.Wait()
	return Error.Wrap(err)
}
