package peer

import (
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener whose first calls of Accept return errs.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// Guards against a control instance that exits because callers and backend servers temporarily use all its file
// descriptors, and against one that keeps running with a permanently broken listener.
func TestServeWhileConnectionsCannotBeAccepted(t *testing.T) {
	for _, c := range []struct {
		desc         string
		errs         []error
		keepsServing bool
	}{
		{"no file descriptors left", []error{syscall.EMFILE, syscall.EMFILE, syscall.ENFILE}, true},
		{"no memory left", []error{syscall.ENOBUFS, syscall.ENOMEM}, true},
		{"connection closed before it is accepted", []error{syscall.ECONNABORTED}, true},
		{"broken socket", []error{syscall.EINVAL}, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			var logOutput strings.Builder
			s, err := Listen("127.0.0.1:0", []byte("a secret of the processes"), slog.New(slog.NewTextHandler(&logOutput, nil)))
			if err != nil {
				t.Fatal(err)
			}
			s.listener = &failingListener{Listener: s.listener, errs: c.errs}
			serveResult := make(chan error, 1)
			go func() { serveResult <- s.Serve() }()
			conn, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if !c.keepsServing {
				if err := <-serveResult; !Error.Has(err) {
					t.Errorf("Serve returned %v, want an error of class Error", err)
				}
				return
			}
			// The server sends first, so a received byte shows that the connection was accepted.
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				t.Errorf("no connection was accepted afterwards: %v", err)
			}
			if err := s.Close(); err != nil {
				t.Error(err)
			}
			if err := <-serveResult; err != nil {
				t.Errorf("Serve returned %v after Close", err)
			}
			if got, want := strings.Count(logOutput.String(), "peer_connection_not_accepted"), len(c.errs); got != want {
				t.Errorf("%d log lines report a failed accept, want %d", got, want)
			}
		})
	}
}
