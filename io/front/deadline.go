package front

import (
	"net/http"
	"time"
)

// deadlineWriter sets a new deadline before each write to a caller. A slow reader is disconnected, and
// a deadline left on the connection by an earlier response does not affect a later one.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func newDeadlineWriter(w http.ResponseWriter, timeout time.Duration) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w), timeout: timeout}
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (b *deadlineWriter) Unwrap() http.ResponseWriter { return b.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (b *deadlineWriter) WriteHeader(status int) {
	b.extendDeadline()
	b.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (b *deadlineWriter) Write(p []byte) (int, error) {
	b.extendDeadline()
	return b.ResponseWriter.Write(p)
}

func (b *deadlineWriter) extendDeadline() {
	_ = b.controller.SetWriteDeadline(time.Now().Add(b.timeout))
}
