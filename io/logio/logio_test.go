package logio_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/io/logio"
)

// blockingWriter is a writer that blocks until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (p *blockingWriter) Write(data []byte) (int, error) {
	<-p.unblock
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buf.Write(data)
}

func (p *blockingWriter) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buf.String()
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	p := &blockingWriter{unblock: make(chan struct{})}
	w := &logio.Writer{Out: p, Capacity: 100, Level: "info"}
	w.Default()
	log := w.Log()
	began := time.Now()
	for range 10_000 {
		log.Info().Str("request", "r1").Msg("A request ended.")
	}
	assert.Assert(t, time.Since(began) < 2*time.Second)
	w.Close()
	assert.Assert(t, time.Since(began) < 3*time.Second, "process exit must not wait for the blocked output")
	close(p.unblock)
}

func TestLinesAreWrittenOrCountedAsDropped(t *testing.T) {
	p := &blockingWriter{unblock: make(chan struct{})}
	lost := make(chan int, 10_000)
	w := &logio.Writer{Out: p, Capacity: 10, Level: "warn", OnDropped: func(n int) { lost <- n }}
	w.Default()
	log := w.Log()
	log.Info().Msg("below the level")
	for range 100 {
		log.Warn().Msg("kept or counted")
	}
	close(p.unblock)
	w.Close()
	written := strings.Count(p.text(), "kept or counted")
	assert.Assert(t, written > 0)
	assert.Equal(t, int64(written)+w.Dropped(), int64(100))
	assert.Assert(t, !strings.Contains(p.text(), "below"))
	assert.Assert(t, len(lost) > 0)
}

// TestLongLinesUseLimitedMemory guards against the memory of a thousand long lines, which callers can cause, while the output is blocked.
func TestLongLinesUseLimitedMemory(t *testing.T) {
	const lines, size = 100, 100 << 10
	p := &blockingWriter{unblock: make(chan struct{})}
	w := &logio.Writer{Out: p, Capacity: lines, Level: "info"}
	w.Default()
	log, text := w.Log(), strings.Repeat("x", size)
	for range lines {
		log.Info().Msg(text)
	}
	log.Info().Msg("the last line")
	close(p.unblock)
	w.Close()
	written := strings.Count(p.text(), "\n")
	assert.Assert(t, written <= 2, "%d lines of %d bytes were kept", written, size) // one that is being written, and the last one
	assert.Equal(t, int64(written)+w.Dropped(), int64(lines+1))
	assert.Assert(t, strings.Contains(p.text(), "the last line"))
}
