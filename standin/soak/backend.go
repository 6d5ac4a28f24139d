package soak

import (
	"fmt"
	"io"
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
}

// arrivalLog records which requests reached the backend servers.
type arrivalLog struct {
	mu   sync.Mutex // guards byID
	byID map[string][]Arrival
}

func newArrivalLog() *arrivalLog { return &arrivalLog{byID: map[string][]Arrival{}} }

func (r *arrivalLog) record(arrival Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[arrival.Request] = append(r.byID[arrival.Request], arrival)
}

// handler returns the application of a backend server in zone: POST /KIND/ID runs the request ID.
func (r *arrivalLog) handler(zone string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		kind, id, ok := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
		if _, err := io.Copy(io.Discard, req.Body); err != nil || !ok {
			return
		}
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-ID"))
		r.record(Arrival{Request: id, Zone: zone, At: time.Now()})
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
