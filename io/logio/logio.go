// Package logio writes the log of a process without ever blocking it: lines that are not
// taken fast enough are dropped and counted.
package logio

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sync/errgroup"
)

// closeTimeout bounds the wait for the last lines at the end of a process, far below the time
// of a planned stop.
const closeTimeout = 200 * time.Millisecond

// Writer writes lines beside the process. Exported fields are set before Default.
type Writer struct {
	// Out takes the lines.
	Out io.Writer
	// Most is the number of lines that wait to be written.
	Most int
	// Level is the least level that is written; info when it can't be read.
	Level string
	// Lost is told of lines that were dropped; optional.
	Lost func(n int)

	diode   diode.Writer
	dropped atomic.Int64
}

// String names the writer for logs.
func (w *Writer) String() string { return "writer of the log" }

// Default starts the writer.
func (w *Writer) Default() {
	w.diode = diode.NewWriter(w.Out, w.Most, 0, func(n int) {
		w.dropped.Add(int64(n))
		if w.Lost != nil {
			w.Lost(n)
		}
	})
}

// Log returns the log that writes here.
func (w *Writer) Log() zerolog.Logger {
	level, err := zerolog.ParseLevel(w.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w.diode).Level(level).With().Timestamp().Logger()
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, as far as it is taken within a short time.
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
