package front

import (
	"net/http"
	"time"
)

// bounded gives each write to a caller its time: a slow reader is cut off, and a deadline
// that an earlier answer left on the connection does not hit a later one.
type bounded struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

func newBounded(w http.ResponseWriter, timeout time.Duration) *bounded {
	return &bounded{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// Unwrap lets an http.ResponseController reach the connection.
func (b *bounded) Unwrap() http.ResponseWriter { return b.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (b *bounded) WriteHeader(status int) {
	b.extend()
	b.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (b *bounded) Write(p []byte) (int, error) {
	b.extend()
	return b.ResponseWriter.Write(p)
}

func (b *bounded) extend() { _ = b.control.SetWriteDeadline(time.Now().Add(b.timeout)) }
