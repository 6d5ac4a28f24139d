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

// Listen binds the address and returns a server that accepts connections once Serve is called.
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

// WrapListener replaces the listener by what wrap returns for it. It must be called before Serve. A connection with a method
// Established is told when its client has authenticated.
func (s *Server) WrapListener(wrap func(net.Listener) net.Listener) { s.listener = wrap(s.listener) }

// Address returns the bound host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

const (
	// minAcceptPause and maxAcceptPause limit the delay before the next accept after a temporary error, such as too few file
	// descriptors or too little memory. The delay doubles with each consecutive error, as in net/http.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Serve accepts connections until Close and then returns nil. While the process lacks file descriptors or memory for
// another connection, it keeps serving the open ones and retries the accept after a delay.
func (s *Server) Serve() error {
	pause := time.Duration(0)
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			pause = 0
			if s.trackConn(conn) {
				go s.serveConn(conn)
			}
		case s.isClosed():
			return nil
		case !isTemporaryAcceptError(err):
			return Error.Wrap(err)
		default:
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			s.log.Warn("peer_connection_not_accepted", "error", err, "pause", pause)
			time.Sleep(pause)
		}
	}
}

// isTemporaryAcceptError reports whether accept may succeed later without a new listener.
func isTemporaryAcceptError(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, temporary) {
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

func (s *Server) trackConn(conn net.Conn) bool {
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
	if authenticate(conn, s.secret, 's') == nil {
		if limited, ok := conn.(interface{ Established() }); ok {
			limited.Established()
		}
		s.rpc.ServeConn(conn)
	}
}

// Close closes the listener and all connections. It may be called more than once.
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
