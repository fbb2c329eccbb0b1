package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
)

var errFull = errors.New("full")

// batch limits the number of concurrent requests; further requests wait in order of priority.
type batch struct {
	capacity   int
	maxWaiting int

	mu      sync.Mutex
	running int
	waiting []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// admit waits until the request may run. When it returns nil, the caller must call release.
func (b *batch) admit(ctx context.Context, priority int) error {
	w, err := b.acquireOrQueue(priority)
	if w == nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		b.abandon(w)
		return ctx.Err()
	}
}

// acquireOrQueue acquires a free slot or queues the request; the waiter is nil when a slot was acquired.
func (b *batch) acquireOrQueue(priority int) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running < b.capacity {
		b.running++
		return nil, nil
	}
	if len(b.waiting) >= b.maxWaiting {
		return nil, errFull
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	i := slices.IndexFunc(b.waiting, func(o *waiter) bool { return o.priority < priority })
	if i < 0 {
		i = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, i, w)
	return w, nil
}

// abandon removes a waiting request from the queue, or releases its slot when it has just been admitted.
func (b *batch) abandon(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return
	}
	b.passSlot()
}

// release releases the slot of an admitted request.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.passSlot()
}

// passSlot passes a released slot to the first waiter, if any; b.mu must be held.
func (b *batch) passSlot() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(b.waiting[0].ready)
	b.waiting = slices.Delete(b.waiting, 0, 1)
}

// size returns the numbers of running and waiting requests.
func (b *batch) size() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}
