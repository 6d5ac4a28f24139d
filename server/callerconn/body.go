package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/zeebo/errs"
)

// errNoMemory is returned by reads of a body for which the budget has no room.
var errNoMemory = errs.Class("no memory for the body")

type connKey struct{}

// withConn makes the connection available to boundBodies.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if bounded, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, bounded)
	}
	return ctx
}

const (
	// smallRest is the size of an unread rest of a body up to which the connection is kept after the answer.
	smallRest = 32 << 10
	// bodyCopies is the memory that the body of an operator or a backend server takes in relation to its size while it is read
	// and decoded.
	bodyCopies = 4
	// bodyStep is the number of bytes of such a body that are reserved at a time.
	bodyStep = 16 << 10
	// CallerListener is the name of the listener whose handler bounds the memory of bodies itself.
	CallerListener = "callers"
)

// boundBodies returns a handler that tracks how far the bodies of requests are read. A request that is answered before its
// body was read ends its connection if the rest is large, without waiting for the rest.
func (g *Guard) boundBodies(listener string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		c.beginBody()
		body := &boundedBody{ReadCloser: r.Body, conn: c, length: r.ContentLength}
		if listener != CallerListener {
			body.budget = &g.bodies
			defer func() { g.bodies.release(body.reserved) }()
		}
		answer := &answerWriter{ResponseWriter: w, body: body}
		// net/http examines the body of its own request, which must stay as it is.
		bounded := r.WithContext(r.Context())
		bounded.Body = body
		next.ServeHTTP(answer, bounded)
		answer.beforeHeader()
		if !body.ended {
			c.abandonBody()
		}
	})
}

// boundedBody is the body of a request. It reserves memory before it is read if it has a budget.
type boundedBody struct {
	io.ReadCloser
	conn     *conn
	length   int64 // -1 if unknown
	read     int64
	ended    bool
	budget   *memoryBudget
	reserved int
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.budget != nil {
		if missing := int(b.read) + len(p) - b.reserved/bodyCopies; missing > 0 {
			size := (missing + bodyStep - 1) / bodyStep * bodyStep * bodyCopies
			if !b.budget.take(size) {
				b.conn.guard.count(b.conn.listener, "body_budget")
				return 0, errNoMemory.New("other requests take it")
			}
			b.reserved += size
		}
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err == io.EOF {
		b.ended = true
		b.conn.endBody()
	}
	return n, err
}

// hasLargeRest reports whether more is unread than a connection is kept for. A body of unknown length counts as large if nothing
// of it was read: a decoder that stops at the end of a JSON value has not seen the last chunk.
func (b *boundedBody) hasLargeRest() bool {
	if b.length < 0 {
		return !b.ended && b.read == 0
	}
	return b.length-b.read > smallRest
}

// answerWriter ends the connection after an answer before the end of a large body.
type answerWriter struct {
	http.ResponseWriter
	body    *boundedBody
	started bool
}

func (w *answerWriter) beforeHeader() {
	if w.started {
		return
	}
	w.started = true
	if w.body.hasLargeRest() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beforeHeader()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.beforeHeader()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() {
	w.beforeHeader()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController set the deadlines of the connection.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
