package peer

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout is the time that sent bytes may stay unacknowledged, from their first retransmission on, before the kernel
// closes the connection. It is longer than one retransmission of a lost packet takes and shorter than the timeouts of callers.
// On Linux it replaces the count of keep-alive probes: an idle connection ends at the first timer of a probe, after another
// one, that comes this long after the last packet of the peer. The table of dead links in the design has the times.
const TCPUserTimeout = 2 * time.Second

// SetTCPUserTimeout sets TCP_USER_TIMEOUT of a new socket to TCPUserTimeout. It can be used as net.Dialer.Control and
// net.ListenConfig.Control. Only connections that a process opens have it: callers may be out of reach for longer.
func SetTCPUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	return setUserTimeout(rawConn, TCPUserTimeout)
}

// UserTimeout returns a function like SetTCPUserTimeout that sets another timeout.
func UserTimeout(timeout time.Duration) func(network, address string, rawConn syscall.RawConn) error {
	return func(_, _ string, rawConn syscall.RawConn) error { return setUserTimeout(rawConn, timeout) }
}

func setUserTimeout(rawConn syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := rawConn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(optionErr)
}
