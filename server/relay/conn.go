package relay

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/zeebo/errs"

	"clementinetray/server/tcpend"
)

// errRelayEnded is the error of a read or write when the relay, not the backend server, ended the connection.
var errRelayEnded = errs.Class("the relay ended the connection")

// Conn is a connection to a backend server through a relay.
type Conn struct {
	net.Conn
	// Relay is the instance that forwards.
	Relay  string
	reader *bufio.Reader
	// unread is the number of bytes of the current frame that have not been read; ended holds the error of all later reads.
	unread int
	ended  error
	// broke is set when the connection to the relay broke, told when the relay said before how the backend server's connection ended.
	broke, told atomic.Bool

	closeOnce sync.Once
	onClose   func(relayBroke bool)
}

// connReadBuffer is the size of the buffer for frames.
const connReadBuffer = 4 << 10

func newConn(conn net.Conn, relay string, onClose func(relayBroke bool)) *Conn {
	return &Conn{Conn: conn, Relay: relay, reader: bufio.NewReaderSize(conn, connReadBuffer), onClose: onClose}
}

// Read reads bytes of the backend server. An end that the backend server did not cause is io.ErrUnexpectedEOF.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended != nil {
		return 0, c.ended
	}
	if len(p) == 0 {
		return 0, nil
	}
	for c.unread == 0 {
		var head [frameHead]byte
		if _, err := io.ReadFull(c.reader, head[:]); err != nil {
			return 0, c.fail(err)
		}
		switch length := binary.BigEndian.Uint16(head[:]); length {
		case endFrame:
			c.told.Store(true)
			c.ended = io.EOF
			return 0, c.ended
		case resetFrame:
			c.told.Store(true)
			c.ended = Error.Wrap(&net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)})
			return 0, c.ended
		default:
			c.unread = int(length)
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.unread)])
	c.unread -= n
	if err != nil {
		return n, c.fail(err)
	}
	return n, nil
}

// Write writes bytes to the backend server. Its error is io.ErrUnexpectedEOF if the connection to the relay broke.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && c.isBreak(err) {
		c.broke.Store(true)
		err = errRelayEnded.Wrap(io.ErrUnexpectedEOF)
	}
	return n, err
}

// fail turns the error of a read into that of an end that the relay caused, unless this instance closed the connection.
func (c *Conn) fail(err error) error {
	if !c.isBreak(err) {
		return err
	}
	c.broke.Store(true)
	c.ended = errRelayEnded.Wrap(io.ErrUnexpectedEOF)
	return c.ended
}

// isBreak reports whether an error means that the connection broke, so that neither this instance closed it nor a deadline passed.
func (c *Conn) isBreak(err error) bool {
	return !errors.Is(err, net.ErrClosed) && (!errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT))
}

// RelayBroke reports whether the connection ended because the relay ended it. This is no evidence against the backend server. A relay that
// closes the connection after it told the end of the backend server's has not broken it.
func (c *Conn) RelayBroke() bool { return c.broke.Load() && !c.told.Load() }

// Close closes the connection, upon which the relay closes that to the backend server. A request that was not delivered is dropped.
func (c *Conn) Close() error {
	err := tcpend.Close(c.Conn)
	c.closeOnce.Do(func() { c.onClose(c.RelayBroke()) })
	return err
}
