// Package logio provides a non-blocking log writer. Lines that the output does not accept in time are
// dropped and counted.
package logio

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// closeTimeout bounds the time to flush buffered lines at process exit. It is far shorter than the
// grace period of a planned stop.
const closeTimeout = 200 * time.Millisecond

// lineBytes is the memory for a waiting line. Most lines have a few hundred bytes; lines that are longer leave room for fewer.
const lineBytes = 1 << 10

// Writer writes log lines from a buffer in the background. Exported fields are set before Default.
type Writer struct {
	// Out receives the lines.
	Out io.Writer
	// Capacity is the capacity of the buffer in lines of up to 1 KiB.
	Capacity int
	// Level is the minimum level that is written; info if it can't be parsed.
	Level string
	// OnDropped is called with the number of lines that were dropped; optional.
	OnDropped func(n int)

	buffer  *buffer
	done    chan struct{}
	group   errgroup.Group
	dropped atomic.Int64
}

// String returns the name of the writer for logs.
func (w *Writer) String() string { return "log writer" }

// Default starts the writer.
func (w *Writer) Default() {
	w.done = make(chan struct{})
	w.buffer = &buffer{capacity: max(w.Capacity, 1), onDropped: w.addDropped}
	w.buffer.changed.L = &w.buffer.mu
	w.group.Go(func() error {
		defer close(w.done)
		return w.writeLines()
	})
}

func (w *Writer) addDropped(n int) {
	w.dropped.Add(int64(n))
	if w.OnDropped != nil {
		w.OnDropped(n)
	}
}

// writeLines writes lines until the buffer is closed and empty. A line that the output does not accept counts as dropped.
func (w *Writer) writeLines() error {
	for {
		line, ok := w.buffer.next()
		if !ok {
			break
		}
		if _, err := w.Out.Write(line); err != nil {
			w.addDropped(1)
		}
	}
	if c, ok := w.Out.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// Log returns a logger that writes to w.
func (w *Writer) Log() zerolog.Logger {
	level, err := zerolog.ParseLevel(w.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w.buffer).Level(level).With().Timestamp().Logger()
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close flushes buffered lines and closes Out if it is an io.Closer. It returns after closeTimeout at the latest.
func (w *Writer) Close() {
	w.buffer.close()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// buffer holds the lines that wait to be written, up to a number of lines and lineBytes for each. The oldest ones are dropped for a new one, which is
// kept alone if it exceeds the limit itself.
type buffer struct {
	capacity  int
	onDropped func(n int)

	mu sync.Mutex
	// changed is signalled when there is a line or the buffer is closed.
	changed sync.Cond
	lines   [][]byte
	bytes   int
	closed  bool
}

// Write adds a line.
func (b *buffer) Write(line []byte) (int, error) {
	if dropped := b.add(slices.Clone(line)); dropped > 0 {
		b.onDropped(dropped)
	}
	return len(line), nil
}

// add adds a line and returns how many others were dropped for it. A closed buffer takes lines until it is empty.
func (b *buffer) add(line []byte) (dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.lines) > 0 && (len(b.lines) >= b.capacity || b.bytes+len(line) > b.capacity*lineBytes) {
		b.take()
		dropped++
	}
	b.lines = append(b.lines, line)
	b.bytes += len(line)
	b.changed.Signal()
	return dropped
}

// next waits for a line and returns it. It reports false once the buffer is closed and empty.
func (b *buffer) next() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.lines) == 0 {
		if b.closed {
			return nil, false
		}
		b.changed.Wait()
	}
	return b.take(), true
}

// take removes the oldest line.
func (b *buffer) take() []byte {
	line := b.lines[0]
	b.lines[0] = nil
	b.lines = b.lines[1:]
	b.bytes -= len(line)
	return line
}

func (b *buffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.changed.Signal()
}
