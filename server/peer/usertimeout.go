package peer

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout is the time that sent bytes may stay unacknowledged before the kernel closes the connection. It is
// longer than one retransmission of a lost packet takes and shorter than the timeouts of callers.
const TCPUserTimeout = 2 * time.Second

// SetTCPUserTimeout sets TCP_USER_TIMEOUT of a new socket to TCPUserTimeout. It can be used as net.Dialer.Control and
// net.ListenConfig.Control.
func SetTCPUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var optionErr error
	err := rawConn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(TCPUserTimeout.Milliseconds()))
	})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(optionErr)
}
