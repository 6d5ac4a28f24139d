package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// spoiledShare is the share of answers that a backend server spoils while it does.
	spoiledShare = 0.5
	// dripInterval is the pause between two drips of an answer without end, maxDrip how long it goes on if nobody closes the connection.
	dripInterval = 50 * time.Millisecond
	maxDrip      = 30 * time.Second
	// serverMark is a header of all answers of backend servers. The router sends it on with their answers only.
	serverMark = "X-Soak-Server"
)

// spoiledAnswer is what a backend server writes in place of its answer: begin, and then drip again and again until the connection ends. It
// closes the connection after begin if hold is not set.
type spoiledAnswer struct {
	begin, drip string
	hold        bool
}

// drawSpoiledAnswer draws an answer that the router must not take for one, or that never ends or ends too early. id is that of the attempt.
func drawSpoiledAnswer(rng *rand.Rand, id string) spoiledAnswer {
	pick := func(texts ...string) string { return texts[rng.IntN(len(texts))] }
	headers := fmt.Sprintf("X-Attempt-Id: %s\r\n%s: 1\r\n", id, serverMark)
	const length, upgrade = "Content-Length: 9\r\n\r\n", "Connection: upgrade\r\nUpgrade: odd\r\n\r\n"
	ok := "HTTP/1.1 200 OK\r\n" + headers
	switch rng.IntN(6) {
	case 0: // A status line that is none. What follows must not be believed.
		line := pick("HTTP/1.1 ", "HTTP/1.0 ") + pick("020", "-00", "+20", "000", "099", "600", "999", "20", "2000", "2O0", "")
		return spoiledAnswer{begin: line + " OK\r\n" + headers + pick("", "Clementinetray-Not-Run: 1\r\n") + length + "not whole"}
	case 1: // A protocol that is none.
		return spoiledAnswer{begin: pick("HTTP/2.0", "HTTP/0.9", "HTTQ/1.1", "http/1.1", "\x00\x01\x02") + " 200 OK\r\n" + headers + length + "not whole"}
	case 2: // A protocol switch that nobody asked for.
		return spoiledAnswer{begin: "HTTP/1.1 101 Switching Protocols\r\n" + headers + pick(upgrade, "\r\n"), drip: pick("", "odd"), hold: true}
	case 3: // Framing that does not hold.
		return spoiledAnswer{begin: ok + pick("Content-Length: 900\r\n\r\nnot whole", "Transfer-Encoding: chunked\r\n\r\n900\r\nnot whole",
			"Transfer-Encoding: chunked\r\n\r\nnot whole", "Content-Length: 9\r\nContent-Length: 8\r\n\r\nnot whole", "Content-Length: -9\r\n\r\nnot whole")}
	case 4: // 204 with a body.
		return spoiledAnswer{begin: "HTTP/1.1 204 No Content\r\n" + headers + length + "not whole"}
	}
	// An answer that never ends.
	endless := []spoiledAnswer{
		{begin: "HTTP/1.1 2"}, {begin: ok, drip: "X-More: more\r\n"}, {begin: ok + "X-More: ", drip: "more"}, {drip: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{begin: ok + "Content-Length: 900000\r\n\r\n", drip: "m"}, {begin: ok + "Transfer-Encoding: chunked\r\n\r\n", drip: "0"},
		{begin: ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", drip: "X-More: more\r\n"},
	}
	out := endless[rng.IntN(len(endless))]
	out.hold = true
	return out
}

// write takes the connection of a request over, writes the answer and closes the connection.
func (a spoiledAnswer) write(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, a.begin); err != nil || !a.hold {
		return
	}
	go a.drips(conn)
	_ = conn.SetReadDeadline(time.Now().Add(maxDrip))
	_, _ = io.Copy(io.Discard, conn)
}

func (a spoiledAnswer) drips(conn net.Conn) {
	for a.drip != "" {
		if _, err := io.WriteString(conn, a.drip); err != nil {
			return
		}
		time.Sleep(dripInterval)
	}
}

// startSpoiling makes a backend server spoil a share of its answers until stop is called.
func (r *arrivalLog) startSpoiling(server int, seed uint64) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoiling[server] = rand.New(rand.NewPCG(seed, uint64(server)))
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.spoiling, server)
	}
}

// spoil returns the answer that a backend server is to write in place of its own; false if it answers as it should.
func (r *arrivalLog) spoil(server int, id string) (spoiledAnswer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rng := r.spoiling[server]
	if rng == nil || rng.Float64() >= spoiledShare {
		return spoiledAnswer{}, false
	}
	r.spoiledCount++
	return drawSpoiledAnswer(rng, id), true
}

// checkPanics records a violation for each instance whose log has a panic.
func (s *soak) checkPanics() {
	for _, i := range s.site.Instances {
		raw, err := os.ReadFile(i.LogFile)
		if err != nil {
			s.addViolation(NoPanic, "the log of %s can't be read: %v", i.ID, err)
		}
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, " msg=panic ") {
				s.addViolation(NoPanic, "%s: %.300s", i.ID, line)
				break
			}
		}
	}
}
