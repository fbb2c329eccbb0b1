// Package memory limits the bytes that answers in flight hold together. When they exceed the limit, the largest holder ends, one that has stood still
// before one that goes on, so that neither a target that sends without end nor those that stop end the answers of others.
package memory

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// SmallBytes is what a holder may hold without being counted: as much as the buffer of a connection. What holds less never ends because of the limit.
const SmallBytes = 4 << 10

// StallTime is the time without progress after which a holder ends before those that go on. It is several times the second or so for which sound
// targets may be silent.
const StallTime = 5 * time.Second

// ErrUsedUp reports that a holder was ended.
var ErrUsedUp = errors.New("the answers in flight exceed the memory for them, and this one stood still or holds the most")

// Pool counts the bytes of its holders. Exported fields are set before the first call. It is safe for concurrent use.
type Pool struct {
	// Bytes is the limit; 0 means none.
	Bytes int64

	mu      sync.Mutex
	used    int64
	changes int64
	holders map[*Holder]struct{}
	// free holds arrays of buffers that are not used at present, by size class, and freeBytes is their size.
	free      map[int][][]byte
	freeBytes int64
}

// String returns the name of the pool for logs.
func (p *Pool) String() string { return "memory for answers" }

// HasRoom reports whether at most half of the memory is used.
func (p *Pool) HasRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Bytes == 0 || p.used <= p.Bytes/2
}

// Holder holds bytes of a pool.
type Holder struct {
	pool  *Pool
	onEnd func()
	bytes int64
	// changed is the number of the change of the pool that set bytes.
	changed int64
	// progressAt is when the last progress was made, and moved how many bytes have come or gone since then without a change of what is held.
	progressAt time.Time
	moved      int
	// stalled is set if the holder was ended after it had stood still for StallTime.
	stalled, ended atomic.Bool
}

// NewHolder returns a holder of no bytes. If it is ended, onEnd is called, which must release what it holds and must not call the pool. A holder
// without onEnd is not ended.
func (p *Pool) NewHolder(onEnd func()) *Holder { return &Holder{pool: p, onEnd: onEnd} }

// Add adds bytes, or subtracts them if n is negative, which is progress. It ends the largest holders while all exceed the limit, those that have stood
// still first, and returns ErrUsedUp if this one has ended. Bytes of a holder that was ended don't count.
func (h *Holder) Add(n int) error {
	p := h.pool
	if p.Bytes == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.ended.Load() {
		return ErrUsedUp
	}
	now := time.Now()
	h.progress(now)
	p.set(h, h.bytes+int64(n))
	for p.used > p.Bytes {
		first := p.first(h, now)
		if first.onEnd == nil {
			break
		}
		p.set(first, 0)
		first.stalled.Store(first.isStalled(now))
		first.ended.Store(true)
		first.onEnd()
	}
	if h.ended.Load() {
		return ErrUsedUp
	}
	return nil
}

// first returns the holder to end first, if any may be ended.
func (p *Pool) first(h *Holder, now time.Time) *Holder {
	for other := range p.holders {
		if other.onEnd != nil && (h.onEnd == nil || other.isBefore(h, now)) {
			h = other
		}
	}
	return h
}

// isBefore reports whether h ends before another holder: one that has stood still, then the larger one, and of equal ones the one that has not changed
// for longest.
func (h *Holder) isBefore(other *Holder, now time.Time) bool {
	if stalled := h.isStalled(now); stalled != other.isStalled(now) {
		return stalled
	}
	return h.bytes > other.bytes || h.bytes == other.bytes && h.changed < other.changed
}

func (h *Holder) isStalled(now time.Time) bool { return now.Sub(h.progressAt) >= StallTime }

func (h *Holder) progress(now time.Time) { h.progressAt, h.moved = now, 0 }

// Progress records that n bytes have come, or are about to be passed on, without a change of what is held. SmallBytes of them are progress: a target
// that sends a byte at a time stands still.
func (h *Holder) Progress(n int) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.moved += n
	if h.moved >= SmallBytes {
		h.progress(time.Now())
	}
}

// Stalled reports whether the holder was ended after it had stood still.
func (h *Holder) Stalled() bool { return h.stalled.Load() }

// set sets the bytes of a holder.
func (p *Pool) set(h *Holder, bytes int64) {
	p.used += bytes - h.bytes
	p.changes++
	h.bytes, h.changed = bytes, p.changes
	if bytes <= 0 {
		delete(p.holders, h)
		return
	}
	if p.holders == nil {
		p.holders = map[*Holder]struct{}{}
	}
	p.holders[h] = struct{}{}
}

// AddRead adds n bytes that were read or received after a number of others, unless all are few.
func (h *Holder) AddRead(n, others int) error {
	switch {
	case others+n <= SmallBytes:
		return nil
	case others <= SmallBytes:
		n += others
	}
	return h.Add(n)
}

// Ended reports whether the holder was ended.
func (h *Holder) Ended() bool { return h.ended.Load() }

// Release subtracts all bytes. The holder is not ended after it.
func (h *Holder) Release() {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set(h, 0)
}
