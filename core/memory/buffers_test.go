package memory_test

import (
	"bytes"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/memory"
)

// TestGrowingBuffersLeaveNoGarbage guards against arrays that buffers which grow at the same time replace, and that count as in use until the end of a
// collection, beyond the limit of the pool.
func TestGrowingBuffersLeaveNoGarbage(t *testing.T) {
	const (
		buffers = 64
		size    = 64 << 10
		step    = 1 << 10
	)
	p := &memory.Pool{Bytes: buffers * size}
	held := make([][]byte, buffers)
	part := bytes.Repeat([]byte("x"), step)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range size / step {
		for i, b := range held {
			held[i] = append(p.Grow(b, step), part...)
		}
	}
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated <= 2*buffers*size, "%d bytes were allocated", allocated)
	for _, b := range held {
		assert.Assert(t, len(b) == size && bytes.Count(b, []byte("x")) == size)
	}
}
