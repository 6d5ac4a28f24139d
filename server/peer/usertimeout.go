package peer

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SilenceLimit is how long sent bytes may stay unacknowledged before a connection counts as broken. It is longer than one
// repetition of a lost packet takes and shorter than the patience of callers.
const SilenceLimit = 2 * time.Second

// LimitSilence sets SilenceLimit on a new socket. It fits net.Dialer.Control and net.ListenConfig.Control.
func LimitSilence(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceLimit.Milliseconds()))
	})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(failed)
}
