// Package answercheck decides what a message from a backend server is: an answer to the request that was sent, one to another request, or
// none. It reads no meaning from an answer, and does no I/O.
//
// A faulty backend server may send any bytes. net/http reads a head from more of them than HTTP allows: it takes each status of three
// characters that strconv.Atoi reads and that is not negative, and any version. After status 101, which the router never asks for, the
// body is the connection itself, and reads of it end with no context. So whoever reads the status, the headers or the body of an answer
// first calls Head.
package answercheck

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"

	"github.com/zeebo/errs"
)

// ErrHead is the class of errors of heads that are no answer to any request of the router.
var ErrHead = errs.Class("invalid answer")

// Head returns an error of class ErrHead if the head of r is no final answer of HTTP/1. Nothing in it may be believed then, and its
// connection must not be used again.
func Head(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return ErrHead.New("protocol %q", r.Proto)
	case !IsFinal(r.StatusCode):
		return ErrHead.New("status %q", r.Status)
	case r.StatusCode == http.StatusNoContent && announcesBody(r):
		return ErrHead.New("status %q with a body", r.Status)
	}
	return nil
}

// IsFinal reports whether a status may be that of an answer: 200 to 599 (RFC 9110, section 15).
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

const maxStatus = 599

// announcesBody reports whether the headers promise a body. net/http reads none after a status that allows none, so that its bytes would
// be taken for the next answer.
func announcesBody(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 || slices.ContainsFunc(r.Header["Content-Length"], func(length string) bool { return length != "0" })
}

// Addressee tells which attempt an answer is for.
type Addressee int

const (
	// OwnAttempt means that the answer names the attempt.
	OwnAttempt Addressee = iota
	// NoAttempt means that the answer names none, but can only be for the attempt: nothing was sent on its connection before.
	NoAttempt
	// UnknownAttempt means that the answer names none and may be a repeated one to an earlier attempt on its connection.
	UnknownAttempt
	// EarlierAttempt means that the answer names another attempt of the same request.
	EarlierAttempt
	// OtherRequest means that the answer names an attempt of another request.
	OtherRequest
)

// FindAddressee tells which attempt an answer is for. answerID is the id in the answer, empty if there is none; attempts of the same
// request have ids that begin with requestID and a slash. reused is set if an earlier attempt used the connection.
func FindAddressee(answerID, attemptID, requestID string, reused bool) Addressee {
	switch {
	case answerID == attemptID:
		return OwnAttempt
	case answerID == "" && !reused:
		return NoAttempt
	case answerID == "":
		return UnknownAttempt
	case strings.HasPrefix(answerID, requestID+"/"):
		return EarlierAttempt
	}
	return OtherRequest
}

// EndsWithConnection reports whether only the end of the connection shows where the answer's body ends. If nothing came of such a
// body, the backend server more likely ended after the head than had nothing to send: a server that has no body says so.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// ConnectionEnded reports whether err, of sending a request or reading its answer, is that of a connection that was reset or closed before
// the end of the answer.
func ConnectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || strings.Contains(err.Error(), "server closed idle connection")
}
