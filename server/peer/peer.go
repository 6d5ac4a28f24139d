// Package peer provides net/rpc over TCP between the processes of the system. When a connection is opened, both ends prove
// that they have the shared secret (HMAC-SHA-256 over both ends' nonces).
package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// ErrAuthentication is returned when the remote end does not prove that it has the shared secret.
var ErrAuthentication = errs.Class("peer proof")

const (
	nonceBytes       = 32
	handshakeTimeout = 3 * time.Second
)

// AuthenticateClient runs the mutual authentication at the dialing end of a new connection.
func AuthenticateClient(conn net.Conn, secret []byte) error { return authenticate(conn, secret, 'c') }

// AuthenticateServer runs the mutual authentication at the listening end of a new connection.
func AuthenticateServer(conn net.Conn, secret []byte) error { return authenticate(conn, secret, 's') }

// authenticate runs the mutual authentication on a new connection. role is 'c' at the dialing end and 's' at the listening
// end.
func authenticate(conn net.Conn, secret []byte, role byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Error.Wrap(err)
	}
	ownNonce, remoteNonce := make([]byte, nonceBytes), make([]byte, nonceBytes)
	if _, err := rand.Read(ownNonce); err != nil {
		return Error.Wrap(err)
	}
	if _, err := conn.Write(ownNonce); err != nil {
		return Error.Wrap(err)
	}
	if _, err := io.ReadFull(conn, remoteNonce); err != nil {
		return Error.Wrap(err)
	}
	if _, err := conn.Write(computeProof(secret, role, ownNonce, remoteNonce)); err != nil {
		return Error.Wrap(err)
	}
	remoteProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, remoteProof); err != nil {
		return Error.Wrap(err)
	}
	if !hmac.Equal(remoteProof, computeProof(secret, otherRole(role), remoteNonce, ownNonce)) {
		return ErrAuthentication.New("%s did not prove that it has the shared secret", conn.RemoteAddr())
	}
	return Error.Wrap(conn.SetDeadline(time.Time{}))
}

// computeProof returns the HMAC over role and nonces. It covers the role so that a proof can't be reflected to its sender.
func computeProof(secret []byte, role byte, ownNonce, remoteNonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte{role})
	mac.Write(ownNonce)
	mac.Write(remoteNonce)
	return mac.Sum(nil)
}

func otherRole(role byte) byte {
	if role == 'c' {
		return 's'
	}
	return 'c'
}
