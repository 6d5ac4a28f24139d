package peer

import (
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"
)

// Server accepts peer connections and serves the registered receivers.
type Server struct {
	rpc      *rpc.Server
	secret   []byte
	listener net.Listener
	log      *slog.Logger

	mu     sync.Mutex // guards conns and closed
	conns  map[net.Conn]struct{}
	closed bool
}

// Listen binds the address and returns a server that doesn't accept until Serve is called.
func Listen(address string, secret []byte, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Server{rpc: rpc.NewServer(), secret: secret, listener: l, log: log, conns: map[net.Conn]struct{}{}}, nil
}

// Register publishes the methods of receiver under name. It must be called before Serve.
func (s *Server) Register(name string, receiver any) error {
	return Error.Wrap(s.rpc.RegisterName(name, receiver))
}

// Address returns the bound host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

const (
	// leastAcceptPause and mostAcceptPause bound the pause after a connection that could not be accepted for want of descriptors or
	// memory; it doubles from one to the next, as that of net/http does.
	leastAcceptPause = 5 * time.Millisecond
	mostAcceptPause  = time.Second
)

// Serve accepts connections until Close. It returns nil after Close. While the process has no descriptors or memory left for
// another connection it goes on with those that it has, and accepts again as soon as it can.
func (s *Server) Serve() error {
	pause := time.Duration(0)
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			pause = 0
			if s.track(conn) {
				go s.serveConn(conn)
			}
		case s.isClosed():
			return nil
		case !isShortage(err):
			return Error.Wrap(err)
		default:
			pause = min(max(2*pause, leastAcceptPause), mostAcceptPause)
			s.log.Warn("peer_connection_not_accepted", "error", err, "pause", pause)
			time.Sleep(pause)
		}
	}
}

// isShortage says that a connection could not be accepted for a reason that passes.
func isShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	if prove(conn, s.secret, 's') == nil {
		s.rpc.ServeConn(conn)
	}
}

// Close stops accepting and closes each connection. It may be called more than once.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	return Error.Wrap(s.listener.Close())
}
