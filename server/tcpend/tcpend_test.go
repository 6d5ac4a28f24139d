package tcpend_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"clementinetray/server/tcpend"
	"clementinetray/server/tcpinfo"
)

// peers returns both ends of a connection on loopback. The second one has small buffers.
func peers(t *testing.T) (own, other *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	own, other = dialed.(*net.TCPConn), accepted.(*net.TCPConn)
	t.Cleanup(func() { _, _ = own.Close(), other.Close() })
	for _, set := range []error{own.SetWriteBuffer(4 << 10), other.SetReadBuffer(4 << 10)} {
		if set != nil {
			t.Fatal(set)
		}
	}
	return own, other
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against an answer without a length that was reset and counts as whole, because a blocked write took the error, and against whole
// ones that count as broken.
func TestEndWhileAWriteIsBlocked(t *testing.T) {
	cases := []struct {
		desc string
		// end ends the connection after a part of the answer.
		end func(other *net.TCPConn)
		// writeFirst is set if the write returns before the end of the answer is read.
		writeFirst bool
		want       error
	}{
		{"reset, which the write sees first", reset, true, syscall.ECONNRESET},
		{"reset, which either may see first", reset, false, syscall.ECONNRESET},
		{"closed with an unread rest of the request, which the kernel makes a reset", func(c *net.TCPConn) { _ = c.Close() }, true, syscall.ECONNRESET},
		{"closed in order, while the rest of the request stays unread", func(c *net.TCPConn) { _ = c.CloseWrite() }, false, io.EOF},
		{"closed in order, then reset", func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(5 * time.Millisecond); reset(c) }, true, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			const rounds = 50
			late := 0
			for range rounds {
				own, other := peers(t)
				var w tcpend.Watch
				written := make(chan error, 1)
				go func() {
					_, err := w.Write(own, make([]byte, 8<<20))
					written <- err
				}()
				if _, err := io.ReadFull(other, make([]byte, 1024)); err != nil {
					t.Fatal(err)
				}
				if _, err := other.Write([]byte("half")); err != nil {
					t.Fatal(err)
				}
				got := make([]byte, 4)
				if _, err := io.ReadFull(own, got); err != nil {
					t.Fatal(err)
				}
				c.end(other)
				if c.writeFirst {
					if err := <-written; err == nil {
						t.Fatal("the write did not fail")
					}
				}
				began := time.Now()
				_, err := own.Read(got)
				if err == io.EOF {
					err = w.End(own)
				}
				if !errors.Is(err, c.want) {
					t.Fatalf("the end is %v, want %v", err, c.want)
				}
				if time.Since(began) > 40*time.Millisecond {
					late++
				}
				_ = own.Close()
			}
			if late > rounds/2 {
				t.Errorf("%d of %d ends were known after more than 40 ms", late, rounds)
			}
		})
	}
}

// failingConn is a connection of which the kernel knows nothing. Its writes fail with err, after block is closed if that is not nil.
type failingConn struct {
	net.Conn
	err     error
	block   chan struct{}
	blocked chan struct{}
}

func (c *failingConn) Write([]byte) (int, error) {
	if c.block != nil {
		close(c.blocked)
		<-c.block
	}
	return 0, &net.OpError{Op: "write", Err: c.err}
}

func (c *failingConn) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (c *failingConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// Guards against a loss of the network that counts as the end of an answer, and against errors of a write that are no loss.
func TestErrorsOfWrites(t *testing.T) {
	for _, c := range []struct{ err, want error }{
		{os.NewSyscallError("write", syscall.ECONNRESET), syscall.ECONNRESET},
		{os.NewSyscallError("write", syscall.ETIMEDOUT), syscall.ETIMEDOUT},
		{os.NewSyscallError("write", syscall.EHOSTUNREACH), syscall.EHOSTUNREACH},
		{os.NewSyscallError("write", syscall.EPIPE), io.EOF},
		{net.ErrClosed, io.EOF},
		{os.ErrDeadlineExceeded, io.EOF},
	} {
		var w tcpend.Watch
		conn := &failingConn{err: c.err}
		if _, err := w.Write(conn, nil); !errors.Is(err, c.err) {
			t.Errorf("%v became %v", c.err, err)
		}
		if err := w.End(conn); !errors.Is(err, c.want) {
			t.Errorf("the end after %v is %v, want %v", c.err, err, c.want)
		}
	}
}

// Guards against an end that waits for a write which stays blocked because the other end does not read, and against one that does not
// wait for the error that a write is about to return. Nothing is known of the connection from the kernel.
func TestWaitForABlockedWrite(t *testing.T) {
	for _, returns := range []bool{false, true} {
		var w tcpend.Watch
		conn := &failingConn{err: os.NewSyscallError("write", syscall.ECONNRESET), block: make(chan struct{}), blocked: make(chan struct{})}
		go func() { _, _ = w.Write(conn, nil) }()
		<-conn.blocked
		want := error(io.EOF)
		if returns {
			want = syscall.ECONNRESET
			close(conn.block)
		}
		if err := w.End(conn); !errors.Is(err, want) {
			t.Errorf("the end is %v, want %v", err, want)
		}
		if !returns {
			close(conn.block)
		}
	}
}

// Guards against a request that the kernel goes on delivering after it was given up, and against an orderly end that becomes a reset.
func TestClose(t *testing.T) {
	for _, c := range []struct {
		desc  string
		bytes int
		want  error
	}{{"all bytes are delivered", 1024, nil}, {"the other end does not read", 8 << 20, syscall.ECONNRESET}} {
		t.Run(c.desc, func(t *testing.T) {
			own, other := peers(t)
			go func() { _, _ = own.Write(make([]byte, c.bytes)) }()
			if _, err := io.ReadFull(other, make([]byte, 1024)); err != nil {
				t.Fatal(err)
			}
			holds := c.want != nil
			for end := time.Now().Add(5 * time.Second); tcpinfo.HoldsBytes(own) != holds && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if err := tcpend.Close(own); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, other); !errors.Is(err, c.want) {
				t.Errorf("the other end reads up to %v, want %v", err, c.want)
			}
		})
	}
}
