package front

import (
	"context"
	"sync"
	"time"
)

// replaceTimeout bounds how long a new attempt waits for the attempt that it replaces to end.
const replaceTimeout = 2 * time.Second

// activeSet tracks the requests that this instance is serving, so that two attempts with the same id
// never run concurrently here. A new attempt replaces the previous one, whose caller may have
// disconnected undetected.
type activeSet struct {
	mu  sync.Mutex
	ids map[string]*active
}

// active is a request that is being served.
type active struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// start cancels the previous attempt with the same id, waits for its end and adds the id. It returns
// false if that takes longer than replaceTimeout or ctx ends. A later attempt calls cancel to end this one.
func (a *activeSet) start(ctx context.Context, id string, cancel context.CancelFunc) bool {
	ctx, stop := context.WithTimeout(ctx, replaceTimeout)
	defer stop()
	for {
		previous := a.tryAdd(id, cancel)
		if previous == nil {
			return true
		}
		previous.cancel()
		select {
		case <-previous.done:
		case <-ctx.Done():
			return false
		}
	}
}

// tryAdd adds an id and returns nil, or returns the active request with the same id.
func (a *activeSet) tryAdd(id string, cancel context.CancelFunc) *active {
	a.mu.Lock()
	defer a.mu.Unlock()
	if previous := a.ids[id]; previous != nil {
		return previous
	}
	a.ids[id] = &active{cancel: cancel, done: make(chan struct{})}
	return nil
}

// finish removes an id and wakes the attempt that waits for its end.
func (a *activeSet) finish(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.ids[id].done)
	delete(a.ids, id)
}
