// Package relay connects an entry instance to backend servers through another entry instance while its own network paths to them are
// down. The other instance forwards the bytes of one TCP connection in both directions and nothing more: the request, its attempts, its
// bill and its retries stay at the instance that took it from its caller.
//
// Paths and Choice hold the decisions, Dialer opens connections, Server is the forwarding side. docs/design/relay.md explains the choices.
package relay

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/server/peer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relay")

// ErrNoPath is returned by Dialer.Dial when neither this instance nor a relay could tell anything about the backend server. It is no
// evidence against the server.
var ErrNoPath = errs.Class("no path to the backend server")

// DialFunc opens a connection to an address within a timeout.
type DialFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// status is a relay's reply to a request for a connection.
type status byte

const (
	// statusConnected means that the bytes that follow are those of the backend server, in frames.
	statusConnected status = iota + 1
	// statusRefused and statusNoAnswer tell how the backend server reacted to the relay.
	statusRefused
	statusNoAnswer
	// statusCut means that the relay has no paths to the backend servers either.
	statusCut
	// statusNoCapacity means that the relay forwards as many connections as it may, or stops.
	statusNoCapacity
	// statusUnknownServer means that the relay knows no backend server with this id and address.
	statusUnknownServer
)

// reply is a relay's answer.
type reply struct {
	status status
	// pathsWork is set when the relay reached another backend server after it had not reached the one asked for, so that the failure is
	// that server's.
	pathsWork bool
}

const (
	protocolVersion = 1
	maxNameBytes    = 1 << 10
	pathsWorkFlag   = 1
)

// request asks a relay for a connection.
type request struct {
	server, address string
	// timeout is how long the backend server may take to accept the connection.
	timeout time.Duration
}

func writeRequest(w io.Writer, r request) error {
	if len(r.server) > maxNameBytes || len(r.address) > maxNameBytes {
		return Error.New("a name is over %d bytes", maxNameBytes)
	}
	out := []byte{protocolVersion}
	out = binary.BigEndian.AppendUint16(out, uint16(r.timeout.Milliseconds()))
	for _, name := range []string{r.server, r.address} {
		out = binary.BigEndian.AppendUint16(out, uint16(len(name)))
		out = append(out, name...)
	}
	_, err := w.Write(out)
	return Error.Wrap(err)
}

func readRequest(in io.Reader) (request, error) {
	var head [3]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return request{}, Error.Wrap(err)
	}
	if head[0] != protocolVersion {
		return request{}, Error.New("protocol version %d", head[0])
	}
	r := request{timeout: time.Duration(binary.BigEndian.Uint16(head[1:])) * time.Millisecond}
	for _, target := range []*string{&r.server, &r.address} {
		var size [2]byte
		if _, err := io.ReadFull(in, size[:]); err != nil {
			return request{}, Error.Wrap(err)
		}
		length := binary.BigEndian.Uint16(size[:])
		if length > maxNameBytes {
			return request{}, Error.New("a name of %d bytes", length)
		}
		name := make([]byte, length)
		if _, err := io.ReadFull(in, name); err != nil {
			return request{}, Error.Wrap(err)
		}
		*target = string(name)
	}
	return r, nil
}

func writeReply(w io.Writer, r reply) error {
	out := []byte{byte(r.status), 0}
	if r.pathsWork {
		out[1] |= pathsWorkFlag
	}
	_, err := w.Write(out)
	return Error.Wrap(err)
}

func readReply(in io.Reader) (reply, error) {
	var raw [2]byte
	if _, err := io.ReadFull(in, raw[:]); err != nil {
		return reply{}, Error.Wrap(err)
	}
	return reply{status: status(raw[0]), pathsWork: raw[1]&pathsWorkFlag != 0}, nil
}

// Frames carry the bytes of the backend server to the instance that asked. Without them the end of a relay's process would look like the
// end of an answer that has no length. A frame is its length in two bytes and that many bytes. The bytes to the backend server go
// without frames: there the end of the connection means that the attempt is given up.
const (
	// endFrame marks the orderly end of what the backend server sends, resetFrame that its connection broke.
	endFrame      = 0
	resetFrame    = 0xffff
	frameHead     = 2
	maxFrameBytes = 8 << 10
)

// Options of connections between instances and to backend servers: a machine that stopped responding is detected within 3 s and one
// lost probe ends no connection, as for direct connections. Only a relay takes longer to detect that of an instance.
const (
	keepAliveIdle   = time.Second
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
	userTimeout     = 2200 * time.Millisecond
	// acceptedUserTimeout is the user timeout of connections that a relay accepted. It also ends a connection whose peer reads nothing for
	// that long, and an instance may wait 5 s for a write to a slow caller.
	acceptedUserTimeout = 6 * time.Second
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveCount}
}

// dialTCP opens a TCP connection with the options of connections to backend servers.
func dialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Control: peer.UserTimeout(userTimeout), KeepAliveConfig: keepAlive()}
	return peer.Dial(ctx, dialer, address, timeout)
}
