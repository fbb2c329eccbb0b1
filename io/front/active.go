package front

import (
	"context"
	"sync"
	"time"
)

// replaceTimeout is how long a new attempt waits for the end of the one that it replaces.
const replaceTimeout = 2 * time.Second

// activeSet holds the requests that this instance is serving, so that two attempts
// with one id never run side by side here. A new attempt replaces the one before it,
// whose caller may be gone without a sign.
type activeSet struct {
	mu  sync.Mutex
	ids map[string]*active
}

// active is one request that is being served.
type active struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// start adds an id once the attempt before it has ended, which it cancels. It returns
// false when that takes too long. The cancel function ends this attempt.
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

// tryAdd adds an id, or returns what stands in its way.
func (a *activeSet) tryAdd(id string, cancel context.CancelFunc) *active {
	a.mu.Lock()
	defer a.mu.Unlock()
	if previous := a.ids[id]; previous != nil {
		return previous
	}
	a.ids[id] = &active{cancel: cancel, done: make(chan struct{})}
	return nil
}

// finish removes an id.
func (a *activeSet) finish(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.ids[id].done)
	delete(a.ids, id)
}
