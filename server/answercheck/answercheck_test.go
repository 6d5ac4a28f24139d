package answercheck_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"clementinetray/server/answercheck"
)

func readHead(method, text string) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
}

// Guards against a head that net/http reads, but that is no answer to a request, and against a sound answer that is taken for none.
func TestHead(t *testing.T) {
	const length, chunks = "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	cases := []struct {
		method, head string
		want         bool
	}{
		{"GET", "HTTP/1.1 200 OK\r\n" + length, true},
		{"GET", "HTTP/1.0 200 OK\r\n\r\nbody", true},
		{"GET", "HTTP/1.1 201 \r\n" + chunks, true},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", true},
		{"GET", "HTTP/1.1 304 Not Modified\r\n" + length, true},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n", true},
		{"GET", "HTTP/1.1 404 Not Found\r\n" + length, true},
		{"GET", "HTTP/1.1 418 Odd\r\n" + length, true},
		{"GET", "HTTP/1.1 500 Oh\r\n" + length, true},
		{"GET", "HTTP/1.1 599 Oh\r\n" + length, true},
		{"GET", "HTTP/1.1 000 OK\r\n" + length, false},
		{"GET", "HTTP/1.1 -00 OK\r\n" + length, false},
		{"GET", "HTTP/1.1 +20 OK\r\n" + length, false},
		{"GET", "HTTP/1.1 020 OK\r\n" + length, false},
		{"GET", "HTTP/1.1 099 OK\r\n" + length, false},
		{"GET", "HTTP/1.1 100 Continue\r\n\r\n", false},
		{"GET", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: odd\r\n\r\n", false},
		{"GET", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		{"GET", "HTTP/1.1 199 OK\r\n\r\n", false},
		{"GET", "HTTP/1.1 600 OK\r\n" + length, false},
		{"GET", "HTTP/1.1 999 OK\r\n" + length, false},
		{"GET", "HTTP/2.0 200 OK\r\n" + length, false},
		{"GET", "HTTP/0.9 200 OK\r\n" + length, false},
		{"GET", "HTTP/1.1 204 No Content\r\n" + length, false},
		{"GET", "HTTP/1.1 204 No Content\r\n" + chunks, false},
	}
	for _, c := range cases {
		r, err := readHead(c.method, c.head)
		if err != nil {
			t.Errorf("%q is not read: %v", c.head, err)
			continue
		}
		if err := answercheck.Head(r); (err == nil) != c.want || err != nil && !answercheck.ErrHead.Has(err) {
			t.Errorf("%q: %v, want an answer: %t", c.head, err, c.want)
		}
	}
}

// Guards against a head that passes and with which an answer can't be written, or that has another status than its bytes.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 020 OK\r\n\r\n", "HTTP/1.1 -00 OK\r\n\r\n", "HTTP/1.1 +20 \r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: odd\r\n\r\n", "HTTP/1.1 204 x\r\nContent-Length: 00\r\n\r\n",
		"HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/9.9 200 OK\r\n\r\n", "HTTP/1.1 999\r\n\r\n", "HTTP/1.1 304 x\r\nContent-Length: 9\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), &http.Request{Method: http.MethodPost})
		if err != nil || answercheck.Head(r) != nil {
			return
		}
		status := fmt.Sprint(r.StatusCode)
		if len(status) != 3 || status[0] < '2' || status[0] > '5' || !strings.HasPrefix(r.Status, status) {
			t.Fatalf("status %q of %q passes as %d", r.Status, head, r.StatusCode)
		}
		if r.StatusCode == http.StatusNoContent && (r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") > "0") {
			t.Fatalf("%q passes, although it promises a body", head)
		}
		// It panics on a status that can't be written.
		httptest.NewRecorder().WriteHeader(r.StatusCode)
	})
}

// Guards against an answer that is taken for that of another request, and a server without ids that is never answered from.
func TestFindAddressee(t *testing.T) {
	cases := []struct {
		answerID string
		reused   bool
		want     answercheck.Addressee
	}{
		{"r1/2", false, answercheck.OwnAttempt},
		{"r1/2", true, answercheck.OwnAttempt},
		{"", false, answercheck.NoAttempt},
		{"", true, answercheck.UnknownAttempt},
		{"r1/1", true, answercheck.EarlierAttempt},
		{"r1/1", false, answercheck.EarlierAttempt},
		{"r2/1", true, answercheck.OtherRequest},
		{"r11/2", false, answercheck.OtherRequest},
	}
	for _, c := range cases {
		if got := answercheck.FindAddressee(c.answerID, "r1/2", "r1", c.reused); got != c.want {
			t.Errorf("answer for %q, reused %t: %d, want %d", c.answerID, c.reused, got, c.want)
		}
	}
}

// Guards against an empty answer that is taken for broken off, and the other way round.
func TestEndsWithConnection(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n":                                        true,
		"HTTP/1.0 200 OK\r\n\r\n":                                        true,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                   false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": false,
		"HTTP/1.1 204 OK\r\n\r\n":                                        false,
		"HTTP/1.1 304 OK\r\n\r\n":                                        false,
	} {
		r, err := readHead("GET", head)
		if err != nil {
			t.Fatal(err)
		}
		if got := answercheck.EndsWithConnection(r); got != want {
			t.Errorf("%q ends with its connection: %t, want %t", head, got, want)
		}
	}
}

// Guards against a broken connection that is taken for a wrong answer, which is not a crash.
func TestConnectionEnded(t *testing.T) {
	for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errors.New("http: server closed idle connection")} {
		if !answercheck.ConnectionEnded(fmt.Errorf("read: %w", err)) {
			t.Errorf("%v is no end of a connection", err)
		}
	}
	for _, err := range []error{syscall.ETIMEDOUT, errors.New("malformed HTTP response"), answercheck.ErrHead.New("status")} {
		if answercheck.ConnectionEnded(err) {
			t.Errorf("%v is an end of a connection", err)
		}
	}
}
