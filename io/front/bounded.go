package front

import (
	"net/http"
	"time"
)

// deadlineWriter gives each write to a caller its time: a slow reader is cut off, and a deadline
// that an earlier answer left on the connection does not hit a later one.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func newDeadlineWriter(w http.ResponseWriter, timeout time.Duration) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w), timeout: timeout}
}

// Unwrap lets an http.ResponseController reach the connection.
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
