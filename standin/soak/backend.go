package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// eventsPerStream and eventInterval make a stream last 1 s, so that faults hit it while it is running.
	eventsPerStream = 25
	eventInterval   = 40 * time.Millisecond
	// requestDuration is how long a backend server takes for a request without a stream.
	requestDuration = 20 * time.Millisecond
	lastEventData   = "end"
)

// Arrival is a request that reached a backend server and was run there.
type Arrival struct {
	// Request is the id that the caller gave the request. Zone is the availability zone of the backend server.
	Request, Zone string
	At            time.Time
	// Server is the number of the backend server. Leaving is the number of the period in which it says that it leaves, 0
	// outside of them.
	Server, Leaving int
	// Spoiled says that the answer is spoiled, and so tells nothing.
	Spoiled bool
}

// Refusal is a request that a backend server refused, as it asked to be spared until Until.
type Refusal struct {
	Request   string
	Server    int
	At, Until time.Time
}

// arrivalLog records which requests reached the backend servers.
type arrivalLog struct {
	mu       sync.Mutex // guards the fields below
	byID     map[string][]Arrival
	refusals []Refusal
	// statements holds what each backend server says of itself, by its number. leavingCount is the number of periods so far in
	// which one says that it leaves.
	statements   map[int]statement
	leavingCount int
	// spoiling holds the random numbers of each backend server that spoils answers, by its number. spoiledCount counts those answers.
	spoiling     map[int]*rand.Rand
	spoiledCount int
}

// statement is what a backend server says of itself in its answers.
type statement struct {
	leaving    int
	spareUntil time.Time
}

func newArrivalLog() *arrivalLog {
	return &arrivalLog{byID: map[string][]Arrival{}, statements: map[int]statement{}, spoiling: map[int]*rand.Rand{}}
}

// sayLeaving makes a backend server say that it leaves until stop is called.
func (r *arrivalLog) sayLeaving(server int) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingCount++
	r.statements[server] = statement{leaving: r.leavingCount}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.statements, server)
	}
}

// askToSpare makes a backend server refuse all requests for a while and say so.
func (r *arrivalLog) askToSpare(server int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements[server] = statement{spareUntil: time.Now().Add(d)}
}

// arrive records a request and returns what the backend server says of itself. It is refused if the time to spare is over 0.
func (r *arrivalLog) arrive(arrival Arrival) (leaving bool, spareFor time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	said := r.statements[arrival.Server]
	if spareFor = said.spareUntil.Sub(arrival.At); spareFor > 0 {
		r.refusals = append(r.refusals, Refusal{Request: arrival.Request, Server: arrival.Server, At: arrival.At, Until: said.spareUntil})
		return false, spareFor
	}
	if !arrival.Spoiled {
		arrival.Leaving = said.leaving
	}
	r.byID[arrival.Request] = append(r.byID[arrival.Request], arrival)
	return said.leaving > 0, 0
}

// handler returns the application of a backend server in zone: POST /KIND/ID runs the request ID.
func (r *arrivalLog) handler(zone string, server int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		kind, id, ok := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
		if _, err := io.Copy(io.Discard, req.Body); err != nil || !ok {
			return
		}
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-ID"))
		spoiled, isSpoiled := r.spoil(server, req.Header.Get("X-Attempt-Id"))
		leaving, spareFor := r.arrive(Arrival{Request: id, Zone: zone, At: time.Now(), Server: server, Spoiled: isSpoiled})
		if spareFor > 0 {
			w.Header().Set("Clementinetray-Not-Run", "1")
			w.Header().Set("Retry-After", strconv.FormatFloat(spareFor.Seconds(), 'f', 3, 64))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if isSpoiled {
			spoiled.write(w)
			return
		}
		w.Header().Set(serverMark, "1")
		if leaving {
			w.Header().Set("Clementinetray-Leaving", "1")
		}
		if kind == string(Stream) {
			streamAfter(w, req, id, last)
			return
		}
		time.Sleep(requestDuration)
		_, _ = io.WriteString(w, id)
	})
}

// streamAfter sends the events that follow event number last.
func streamAfter(w http.ResponseWriter, req *http.Request, id string, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for n := last + 1; n <= eventsPerStream; n++ {
		if _, err := io.WriteString(w, formatEvent(id, n)); err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-req.Context().Done():
			return
		}
	}
}

// formatEvent returns event n of the request id. The id in it lets callers check that the event belongs to their request.
func formatEvent(id string, n int) string {
	data := strconv.Itoa(n)
	if n == eventsPerStream {
		data = lastEventData
	}
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, data)
}

// wholeStream returns the complete stream body of the request id.
func wholeStream(id string) string {
	var body strings.Builder
	for n := 1; n <= eventsPerStream; n++ {
		body.WriteString(formatEvent(id, n))
	}
	return body.String()
}
