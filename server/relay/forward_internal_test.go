package relay

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/server/blackboard"
)

// slowDeadlineConn is the instance's connection. One byte comes once the relay reads from the backend server; the deadline of the read
// after it takes effect late, after that server's connection has ended.
type slowDeadlineConn struct {
	net.Conn
	// serverRead is closed by the first read from the backend server, delayed by the second deadline.
	serverRead, delayed chan struct{}
	deadlines, reads    atomic.Int32
}

func (c *slowDeadlineConn) SetReadDeadline(t time.Time) error {
	if c.deadlines.Add(1) == 2 {
		close(c.delayed)
		time.Sleep(200 * time.Millisecond)
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *slowDeadlineConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == 1 {
		<-c.serverRead
		return 1, nil
	}
	return c.Conn.Read(p)
}

// timedOutConn is a connection to a backend server that the kernel gives up while the instance's deadline is set.
type timedOutConn struct {
	net.Conn
	serverRead, delayed chan struct{}
}

func (c *timedOutConn) Read([]byte) (int, error) {
	close(c.serverRead)
	<-c.delayed
	return 0, net.ErrClosed
}

func (c *timedOutConn) Write(p []byte) (int, error) { return len(p), nil }

// Guards against a forwarded connection that holds its descriptors, and whose instance does not learn of the end, for up to 10 min: the
// connection to the backend server ends while the relay is about to set the deadline of its next read from the instance.
func TestForwardingEndsWhenTheServerEndsDuringARead(t *testing.T) {
	dialer, err := NewDialer(Config{Instance: "e1", Board: blackboard.New()})
	if err != nil {
		t.Fatal(err)
	}
	s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Board: blackboard.New(), Dialer: dialer, MaxConnections: 1, Registerer: prometheus.NewRegistry()})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	instance, caller := net.Pipe()
	server, backend := net.Pipe()
	for _, c := range []net.Conn{instance, caller, server, backend} {
		defer func() { _ = c.Close() }()
	}
	serverRead, delayed, returned := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(returned)
		s.forward(&slowDeadlineConn{Conn: caller, serverRead: serverRead, delayed: delayed}, &timedOutConn{server, serverRead, delayed})
	}()
	select {
	case <-returned:
	case <-time.After(3 * time.Second):
		t.Error("the connection is still forwarded 3 s after the end of the backend server's")
		_ = instance.Close()
		<-returned
	}
}
