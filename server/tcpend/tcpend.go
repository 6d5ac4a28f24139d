// Package tcpend decides whether a TCP connection whose reads have ended was closed in order or broke, and how a connection is closed
// that may hold an unwanted request.
//
// The kernel reports a reset or a timeout once, to the call that comes first, and an orderly end to all others. While a write is blocked,
// that is often the write, so that the end of the reads proves nothing by itself. After an orderly end, which came before a reset, a write
// fails with EPIPE, so that any other error of a write shows that the connection broke before it ended.
package tcpend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"clementinetray/server/tcpinfo"
)

const (
	// pollInterval is the time between two looks at a write that may return the error.
	pollInterval = time.Millisecond
	// unknownWait bounds the wait for a write if the kernel does not tell the state of the connection: the write may be blocked because
	// the other end does not read.
	unknownWait = 50 * time.Millisecond
	// closedWait bounds it on a connection that the kernel has closed. Writes return at once there, as soon as the process gets a
	// processor.
	closedWait = time.Second
)

// Watch notes the writes on one connection. Its zero value is ready for use. It is safe for concurrent use.
type Watch struct {
	// writing is the number of writes in progress. broken is the first error that shows that the connection broke; it is set before the
	// write leaves writing.
	writing atomic.Int32
	broken  atomic.Pointer[syscall.Errno]
}

// Write writes to the connection. All writes on it must be made here.
func (w *Watch) Write(conn net.Conn, p []byte) (int, error) {
	w.writing.Add(1)
	defer w.writing.Add(-1)
	n, err := conn.Write(p)
	var number syscall.Errno
	if errors.As(err, &number) && number != syscall.EPIPE {
		w.broken.CompareAndSwap(nil, &number)
	}
	return n, err
}

// End returns why the reads of a connection ended with io.EOF: io.EOF if the other end closed it in order, else the error with which it
// broke.
func (w *Watch) End(conn net.Conn) error {
	wait := unknownWait
	switch tcpinfo.State(conn) {
	case tcpinfo.StateCloseWait:
		return io.EOF
	case tcpinfo.StateClose:
		wait = closedWait
	}
	for end := time.Now().Add(wait); w.writing.Load() > 0 && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
	number := w.broken.Load()
	if number == nil {
		if wait == unknownWait || w.writing.Load() == 0 {
			return io.EOF
		}
		// The write that has the error does not return, so nothing shows that the end was orderly.
		reset := syscall.ECONNRESET
		number = &reset
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: os.NewSyscallError("read", *number)}
}

// Close closes a connection to a server whose answer is complete or no longer wanted. If the kernel still has bytes of the request to
// deliver, the connection is reset: after an orderly close the kernel would go on sending them, so that a server that was cut off could
// run the request after it was given up.
func Close(conn net.Conn) error {
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok && tcpinfo.HoldsBytes(conn) {
		// If this fails, the connection is closed in order.
		_ = tcp.SetLinger(0)
	}
	return conn.Close()
}
