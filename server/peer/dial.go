package peer

import (
	"context"
	"errors"
	"net"
	"time"
)

// shortDial is the length of the first tries of a connection. It is above the round trip between regions of a continent, and
// a tenth of the second after which the kernel repeats a lost opening packet.
const shortDial = 100 * time.Millisecond

// Dial opens a TCP connection with the dialer's options within the given time. For half of it, a try without any answer is
// given up after shortDial and repeated: the kernel repeats a lost opening packet only after a second, and a machine that
// gets its power back meanwhile would not be noticed before. The last try takes the rest, for a peer that is far away.
func Dial(ctx context.Context, dialer net.Dialer, address string, within time.Duration) (net.Conn, error) {
	deadline := time.Now().Add(within)
	for {
		left := time.Until(deadline)
		last := left <= within/2 || left <= shortDial
		dialer.Timeout = shortDial
		if last {
			dialer.Timeout = left
		}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		var failed net.Error
		if err == nil || last || !errors.As(err, &failed) || !failed.Timeout() || ctx.Err() != nil {
			return conn, Error.Wrap(err)
		}
	}
}
