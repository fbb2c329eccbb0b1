package memory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/memory"
)

// TestLargestEnds guards against a small answer that ends because a large one uses up the memory.
func TestLargestEnds(t *testing.T) {
	const limit = 100 << 10
	p := &memory.Pool{Bytes: limit}
	var ended []string
	hold := func(name string, n int) *memory.Holder {
		h := p.NewHolder(func() { ended = append(ended, name) })
		assert.NilError(t, h.Add(n))
		return h
	}
	kept := p.NewHolder(nil)
	assert.NilError(t, kept.Add(limit/2))
	assert.Assert(t, p.HasRoom())
	large, small := hold("large", limit/4), hold("small", limit/8)
	assert.Assert(t, !p.HasRoom())

	assert.NilError(t, small.Add(limit/8))
	assert.ErrorIs(t, small.Add(1), memory.ErrUsedUp) // it is the largest that may be ended now
	assert.ErrorIs(t, small.Add(1), memory.ErrUsedUp)
	assert.DeepEqual(t, ended, []string{"small"})
	assert.Assert(t, small.Ended() && !large.Ended())

	hold("third", limit/4-1)
	assert.NilError(t, kept.Add(2))
	assert.DeepEqual(t, ended, []string{"small", "large"})
	kept.Release()
	large.Release()
	hold("fourth", 3*limit/4)
	assert.Equal(t, len(ended), 2)
}

// TestStaleHolderMakesRoom guards against the end of each new answer while as large ones fill the memory that their callers do not read or their targets do not end.
func TestStaleHolderMakesRoom(t *testing.T) {
	const size = 16 << 10
	for name, grow := range map[string][]int{"at once": {size}, "in steps": {size / 4, size / 4, size / 2}} {
		t.Run(name, func(t *testing.T) {
			p := &memory.Pool{Bytes: 4 * size}
			var ended []int
			hold := func(i int) (err error) {
				h := p.NewHolder(func() { ended = append(ended, i) })
				for _, n := range grow {
					err = h.Add(n)
				}
				return err
			}
			for i := range 6 {
				assert.NilError(t, hold(i))
			}
			assert.DeepEqual(t, ended, []int{0, 1})
		})
	}
}

// TestStalledHoldersEndFirst guards against the end of sound bodies as the largest holders while the memory is full of smaller ones whose targets or callers have stopped.
func TestStalledHoldersEndFirst(t *testing.T) {
	const limit, stalled, size, sound, whole = 16 << 20, 512, 32 << 10, 10, 256 << 10
	for name, c := range map[string]struct {
		wait   time.Duration
		during func(h *memory.Holder)
		whole  bool
	}{
		"stopped":             {memory.StallTime, func(*memory.Holder) {}, true},
		"a byte at a time":    {memory.StallTime, func(h *memory.Holder) { h.Progress(1) }, true},
		"silent for a second": {time.Second, func(*memory.Holder) {}, false},
		"goes on":             {memory.StallTime, func(h *memory.Holder) { h.Progress(memory.SmallBytes) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &memory.Pool{Bytes: limit}
				ended := 0
				others := make([]*memory.Holder, 0, stalled)
				for range stalled {
					h := p.NewHolder(func() { ended++ })
					assert.NilError(t, h.Add(size))
					others = append(others, h)
				}
				time.Sleep(c.wait / 2)
				for _, h := range others {
					c.during(h)
				}
				time.Sleep(c.wait / 2)
				assert.Equal(t, grow(p, sound, whole) == sound, c.whole)
				assert.Assert(t, !c.whole || ended == sound*whole/size, "%d ended", ended)
			})
		})
	}
}

// grow doubles holders in turns from 2 KiB to a size, and returns how many of them did not end.
func grow(p *memory.Pool, n, size int) (whole int) {
	holders := make([]*memory.Holder, n)
	for i := range holders {
		holders[i] = p.NewHolder(func() {})
	}
	for held, next := 0, 2<<10; next <= size; held, next = next, 2*next {
		for _, h := range holders {
			_ = h.Add(next - held) // counted below
		}
	}
	for _, h := range holders {
		if !h.Ended() {
			whole++
		}
	}
	return whole
}
