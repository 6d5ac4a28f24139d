package flood_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"clementinetray/server/controlsvc"
	"clementinetray/server/peer"
	"clementinetray/standin/site"
)

// listener is one of the listeners of the process.
type listener struct {
	name    string
	address func(*target) string
	// path is a path of the listener, key the bearer token of an ordinary request to it. Both are empty for net/rpc.
	path, key string
}

var (
	callers       = listener{"callers", func(t *target) string { return t.Callers }, "/v1/models", site.LargeKey}
	readiness     = listener{"readiness", func(t *target) string { return t.Readiness }, "/", ""}
	operators     = listener{"operators", func(t *target) string { return t.Operators }, "/v1/status", site.OperatorToken}
	metrics       = listener{"metrics", func(t *target) string { return t.Metrics }, "/healthz", ""}
	announcements = listener{"announcements", func(t *target) string { return t.Announcements }, "/v1/announce", ""}
	peers         = listener{"peers", func(t *target) string { return t.Peers }, "", ""}

	allListeners  = []listener{callers, readiness, operators, metrics, announcements, peers}
	httpListeners = allListeners[:5]
)

// ordinaryRequest sends a request of an ordinary client to the listener.
func (l listener) ordinaryRequest(t *target) error {
	if l.path == "" {
		pool := peer.NewPool([]byte("shared secret of the small site"), time.Second)
		defer pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return pool.Call(ctx, l.address(t), "Control.Operator", &controlsvc.OperatorRequest{Method: http.MethodGet, Target: "/v1/status"}, &controlsvc.OperatorReply{})
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+l.address(t)+l.path, http.NoBody)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+l.key)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	// The listener of announcements has no request without an effect: it answers that there is none at this path.
	if answer.StatusCode != http.StatusOK && l.name != announcements.name {
		return fmt.Errorf("%s: status %d", l.name, answer.StatusCode)
	}
	return nil
}

// crowd is a number of clients that behave alike.
type crowd struct {
	size int
	// manySources gives each client a loopback address of its own.
	manySources bool
	// send sends what the client sends; the connection stays open after it.
	send func(number int, c net.Conn)
}

// sendTimeout bounds the time in which a client sends, because a process may stop to read from it.
const sendTimeout = 5 * time.Second

// flood opens the connections of a crowd, sends on all of them at the same time, leaves them open for holdTime and closes them.
func flood(address string, crowd crowd) {
	const holdTime = 300 * time.Millisecond
	var dialing, sending sync.WaitGroup
	conns := make([]net.Conn, crowd.size)
	const dialers = 64
	for worker := range dialers {
		dialing.Go(func() {
			for number := worker; number < crowd.size; number += dialers {
				dialer := net.Dialer{Timeout: time.Second}
				if crowd.manySources {
					dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 200, byte(number/250), byte(1+number%250))}
				}
				c, err := dialer.Dial("tcp", address)
				if err != nil {
					continue
				}
				conns[number] = c
				if crowd.send != nil {
					sending.Go(func() {
						_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
						crowd.send(number, c)
					})
				}
			}
		})
	}
	dialing.Wait()
	sending.Wait()
	time.Sleep(holdTime)
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

func sendBytes(payload []byte) func(int, net.Conn) {
	return func(_ int, c net.Conn) { _, _ = c.Write(payload) }
}

// sendSlowly sends the payload in pieces of the given size with a pause after each.
func sendSlowly(payload []byte, size int, pause time.Duration) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		for rest := payload; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			if _, err := c.Write(rest[:min(size, len(rest))]); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// requestHeader returns a request line and header without the empty line at the end.
func requestHeader(method, path, key string, fields ...string) string {
	out := method + " " + path + " HTTP/1.1\r\nHost: a\r\n"
	if key != "" {
		out += "Authorization: Bearer " + key + "\r\n"
	}
	for _, field := range fields {
		out += field + "\r\n"
	}
	return out
}

// headerFloodBytes is the size of the headers of a flood: just under the megabyte that net/http accepts without a limit.
const headerFloodBytes = 900_000

// shortFields returns a header of many short fields.
func shortFields(l listener, complete bool) []byte {
	var out bytes.Buffer
	out.WriteString(requestHeader(http.MethodGet, l.path, l.key))
	for i := 0; out.Len() < headerFloodBytes; i++ {
		fmt.Fprintf(&out, "a%d: b\r\n", i)
	}
	if complete {
		out.WriteString("\r\n")
	}
	return out.Bytes()
}

// longField returns the beginning of a header with one long field.
func longField(l listener) []byte {
	return []byte(requestHeader(http.MethodGet, l.path, l.key) + "A: " + strings.Repeat("b", headerFloodBytes))
}

// unfinishedBody returns a function that sends a body of the given size without its last byte, by the number of the client
// in one piece, in small pieces, or in chunks.
func unfinishedBody(path, key string, size int) func(int, net.Conn) {
	text := []byte(strings.Repeat("x", size-1))
	whole := append([]byte(requestHeader(http.MethodPost, path, key, "Content-Type: application/json", "Content-Length: "+strconv.Itoa(size))+"\r\n"), text...)
	var chunked bytes.Buffer
	chunked.WriteString(requestHeader(http.MethodPost, path, key, "Content-Type: application/json", "Transfer-Encoding: chunked") + "\r\n")
	for rest := text; len(rest) > 0; {
		chunk := rest[:min(1024, len(rest))]
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(chunk), chunk)
		rest = rest[len(chunk):]
	}
	return func(number int, c net.Conn) {
		switch number % 3 {
		case 0:
			_, _ = c.Write(whole)
		case 1:
			sendSlowly(whole, 16<<10, time.Millisecond)(number, c)
		case 2:
			_, _ = c.Write(chunked.Bytes())
		}
	}
}

// endlessBody sends a chunked body until the process stops to read or size bytes are sent, with pauses, so that the bodies of a
// crowd are sent at the same time.
func endlessBody(path, key string, size int) func(int, net.Conn) {
	chunk := []byte("10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n")
	return func(_ int, c net.Conn) {
		_, err := io.WriteString(c, requestHeader(http.MethodPost, path, key, "Transfer-Encoding: chunked")+"\r\n")
		for sent := 0; err == nil && sent < size; sent += len(chunk) {
			_, err = c.Write(chunk)
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// completeBody sends a request with a body and reads nothing. It sends in pieces, so that the bodies of a crowd are sent at the
// same time.
func completeBody(method, path, key string, body string) func(int, net.Conn) {
	header := requestHeader(method, path, key, "Content-Type: application/json", "Content-Length: "+strconv.Itoa(len(body)))
	return sendSlowly([]byte(header+"\r\n"+body), 256<<10, 10*time.Millisecond)
}

// manyFields returns a JSON object of very many short fields beside the given ones.
func manyFields(first string, size int) string {
	var out strings.Builder
	out.WriteString("{" + first)
	for i := 0; out.Len() < size; i++ {
		fmt.Fprintf(&out, `,"%x":0`, i)
	}
	out.WriteString("}")
	return out.String()
}

// manyMessages returns a chat request of very many short messages.
func manyMessages(size int) string {
	const message = `{"role":"u","content":"a"}`
	return `{"model":"cheap","messages":[` + strings.Repeat(message+",", size/len(message)) + message + `]}`
}

// deepNesting returns a chat request with lists inside of lists.
func deepNesting(size int) string {
	return `{"model":"cheap","messages":` + strings.Repeat("[", size/2) + strings.Repeat("]", size/2) + `}`
}

// pipelined sends the same request many times and reads no answer.
func pipelined(l listener, count int) func(int, net.Conn) {
	return sendBytes([]byte(strings.Repeat(requestHeader(http.MethodGet, l.path, l.key)+"\r\n", count)))
}
