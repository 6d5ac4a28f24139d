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
	// events is the number of events of a stream, eventPause the time between two of them: a stream lasts 1 s, so that faults
	// meet it in the middle.
	events     = 25
	eventPause = 40 * time.Millisecond
	// workTime is how long a request without a stream runs.
	workTime = 20 * time.Millisecond
	lastData = "end"
)

// Arrival is one arrival of a request at a backend server, which runs it.
type Arrival struct {
	// Request is the id that the caller gave the request, Zone that of the backend server.
	Request, Zone string
	At            time.Time
}

// runs records what reached the backend servers.
type runs struct {
	mu   sync.Mutex // guards byID
	byID map[string][]Arrival
}

func newRuns() *runs { return &runs{byID: map[string][]Arrival{}} }

func (r *runs) add(run Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[run.Request] = append(r.byID[run.Request], run)
}

// handler answers as the application of one backend server: POST /KIND/ID runs the request ID.
func (r *runs) handler(zone string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		kind, id, ok := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
		if _, err := io.Copy(io.Discard, q.Body); err != nil || !ok {
			return
		}
		from, _ := strconv.Atoi(q.Header.Get("Last-Event-ID"))
		r.add(Arrival{Request: id, Zone: zone, At: time.Now()})
		if kind == string(Stream) {
			streamFrom(w, q, id, from)
			return
		}
		time.Sleep(workTime)
		_, _ = io.WriteString(w, id)
	})
}

// streamFrom sends the events behind the one that the caller has.
func streamFrom(w http.ResponseWriter, q *http.Request, id string, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := from + 1; n <= events; n++ {
		if _, err := io.WriteString(w, event(id, n)); err != nil || out.Flush() != nil {
			return
		}
		select {
		case <-time.After(eventPause):
		case <-q.Context().Done():
			return
		}
	}
}

// event returns event n of a request, by which callers tell that it is theirs.
func event(id string, n int) string {
	data := strconv.Itoa(n)
	if n == events {
		data = lastData
	}
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, data)
}

// wholeStream is the body of a whole stream.
func wholeStream(id string) string {
	var all strings.Builder
	for n := 1; n <= events; n++ {
		all.WriteString(event(id, n))
	}
	return all.String()
}
