package peer

import (
	"context"
	"errors"
	"net"
	"time"
)

// shortDialTimeout limits each connection attempt before the last. It is longer than a round trip between regions of a
// continent and much shorter than the second after which the kernel retransmits a lost SYN.
const shortDialTimeout = 100 * time.Millisecond

// Dial opens a TCP connection with the dialer's options within the timeout. During the first half of it, an attempt without
// a response is aborted after shortDialTimeout and repeated: the kernel retransmits a lost SYN only after a second, so that
// a machine that comes back up meanwhile would be reached late. The last attempt takes the remaining time, for a distant
// peer.
func Dial(ctx context.Context, dialer net.Dialer, address string, timeout time.Duration) (net.Conn, error) {
	deadline := time.Now().Add(timeout)
	for {
		remaining := time.Until(deadline)
		lastAttempt := remaining <= timeout/2 || remaining <= shortDialTimeout
		dialer.Timeout = shortDialTimeout
		if lastAttempt {
			dialer.Timeout = remaining
		}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		var netErr net.Error
		if err == nil || lastAttempt || !errors.As(err, &netErr) || !netErr.Timeout() || ctx.Err() != nil {
			return conn, Error.Wrap(err)
		}
	}
}
