// Package memory limits the bytes that answers in flight hold together. When they exceed the limit, the largest holder ends, so that a target that
// sends without end does not end the answers of others.
package memory

import (
	"errors"
	"sync"
	"sync/atomic"
)

// SmallBytes is what a holder may hold without being counted: as much as the buffer of a connection. What holds less never ends because of the limit.
const SmallBytes = 4 << 10

// ErrUsedUp reports that a holder was ended.
var ErrUsedUp = errors.New("the answers in flight exceed the memory for them, and this one holds the most")

// Pool counts the bytes of its holders. Exported fields are set before the first call. It is safe for concurrent use.
type Pool struct {
	// Bytes is the limit; 0 means none.
	Bytes int64

	mu      sync.Mutex
	used    int64
	changes int64
	holders map[*Holder]struct{}
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
	ended   atomic.Bool
}

// NewHolder returns a holder of no bytes. If it is ended, onEnd is called, which must release what it holds and must not call the pool. A holder
// without onEnd is not ended.
func (p *Pool) NewHolder(onEnd func()) *Holder { return &Holder{pool: p, onEnd: onEnd} }

// Add adds bytes, or subtracts them if n is negative. It ends the largest holders while all exceed the limit, and returns ErrUsedUp if this one has
// ended. Bytes of a holder that was ended don't count.
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
	p.set(h, h.bytes+int64(n))
	for p.used > p.Bytes {
		largest := p.largest(h)
		if largest.onEnd == nil {
			break
		}
		p.set(largest, 0)
		largest.ended.Store(true)
		largest.onEnd()
	}
	if h.ended.Load() {
		return ErrUsedUp
	}
	return nil
}

// largest returns the largest holder that may be ended. Of equal ones it is the one that has not changed for longest, whose caller or target is slow.
func (p *Pool) largest(h *Holder) *Holder {
	for other := range p.holders {
		if other.onEnd != nil && (h.onEnd == nil || other.isBefore(h)) {
			h = other
		}
	}
	return h
}

// isBefore reports whether h ends before another holder.
func (h *Holder) isBefore(other *Holder) bool {
	return h.bytes > other.bytes || h.bytes == other.bytes && h.changed < other.changed
}

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
