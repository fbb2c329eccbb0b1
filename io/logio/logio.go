// Package logio provides a non-blocking log writer. Lines that the output does not accept in time are
// dropped and counted.
package logio

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sync/errgroup"
)

// closeTimeout bounds the time to flush buffered lines at process exit. It is far shorter than the
// grace period of a planned stop.
const closeTimeout = 200 * time.Millisecond

// Writer writes log lines from a buffer in the background. Exported fields are set before Default.
type Writer struct {
	// Out receives the lines.
	Out io.Writer
	// Capacity is the capacity of the buffer in lines.
	Capacity int
	// Level is the minimum level that is written; info if it can't be parsed.
	Level string
	// OnDropped is called with the number of lines that were dropped; optional.
	OnDropped func(n int)

	diode   diode.Writer
	dropped atomic.Int64
}

// String returns the name of the writer for logs.
func (w *Writer) String() string { return "log writer" }

// Default starts the writer.
func (w *Writer) Default() {
	w.diode = diode.NewWriter(w.Out, w.Capacity, 0, func(n int) {
		w.dropped.Add(int64(n))
		if w.OnDropped != nil {
			w.OnDropped(n)
		}
	})
}

// Log returns a logger that writes to w.
func (w *Writer) Log() zerolog.Logger {
	level, err := zerolog.ParseLevel(w.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w.diode).Level(level).With().Timestamp().Logger()
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close flushes buffered lines and closes Out if it is an io.Closer. It returns after closeTimeout at the latest.
func (w *Writer) Close() {
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		defer close(done)
		return w.diode.Close()
	})
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}
