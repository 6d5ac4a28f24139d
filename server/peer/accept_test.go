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

// scarce is a listener whose first connections can't be accepted.
type scarce struct {
	net.Listener
	errs []error
}

func (l *scarce) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// Guards against a control instance that ends because callers and backend servers hold all its descriptors for a moment, and
// against one that goes on with a listener that is broken for good.
func TestServeWhileConnectionsCannotBeAccepted(t *testing.T) {
	for _, c := range []struct {
		desc   string
		errs   []error
		goesOn bool
	}{
		{"no descriptors left", []error{syscall.EMFILE, syscall.EMFILE, syscall.ENFILE}, true},
		{"no memory left", []error{syscall.ENOBUFS, syscall.ENOMEM}, true},
		{"a caller that is gone before it is accepted", []error{syscall.ECONNABORTED}, true},
		{"a broken socket", []error{syscall.EINVAL}, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			var lines strings.Builder
			s, err := Listen("127.0.0.1:0", []byte("a secret of the processes"), slog.New(slog.NewTextHandler(&lines, nil)))
			if err != nil {
				t.Fatal(err)
			}
			s.listener = &scarce{Listener: s.listener, errs: c.errs}
			served := make(chan error, 1)
			go func() { served <- s.Serve() }()
			conn, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if !c.goesOn {
				if err := <-served; !Error.Has(err) {
					t.Errorf("the server ended with %v, want an error of the class", err)
				}
				return
			}
			// The server speaks first, so that a byte shows that the connection was accepted.
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				t.Errorf("nothing was accepted afterwards: %v", err)
			}
			if err := s.Close(); err != nil {
				t.Error(err)
			}
			if err := <-served; err != nil {
				t.Errorf("the server ended with %v", err)
			}
			if got, want := strings.Count(lines.String(), "peer_connection_not_accepted"), len(c.errs); got != want {
				t.Errorf("%d lines tell of it, want %d", got, want)
			}
		})
	}
}
