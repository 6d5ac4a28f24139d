package entry

import (
	"net/http"
	"runtime/debug"

	"clementinetray/api/problem"
)

// recoverPanics answers with an internal error when a handler panics before its answer has begun, without the headers that it set. If
// the answer has begun it breaks the connection, as the caller must not take what came for a whole answer. Deferred calls release limits
// and slots.
func (h *Handler) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &answerWriter{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler {
				panic(cause)
			}
			h.metrics.panics.Inc()
			h.cfg.Log.Error("panic", "cause", cause, "stack", string(debug.Stack()))
			if answer.begun {
				panic(http.ErrAbortHandler)
			}
			clear(w.Header())
			problem.New(problem.Internal, "").Write(w)
		}()
		next.ServeHTTP(answer, r)
	})
}

// answerWriter notes whether the answer to a caller has begun.
type answerWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	// An invalid status panics before.
	w.begun = w.begun || status >= http.StatusOK
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController.
func (w *answerWriter) FlushError() error {
	w.begun = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController set the deadlines of the connection.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// serverWriter returns the writer below an answerWriter. http.MaxBytesReader closes the connection of a body that is too large only with
// the writer of net/http.
func serverWriter(w http.ResponseWriter) http.ResponseWriter {
	if answer, ok := w.(*answerWriter); ok {
		return answer.ResponseWriter
	}
	return w
}
