package front

import (
	"context"
	"sync"
	"time"
)

// replaceWait is how long a new attempt waits for the end of the one that it replaces.
const replaceWait = 2 * time.Second

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

// enter adds an id once the attempt before it has ended, which it cancels. It returns
// false when that takes too long. The cancel function ends this attempt.
func (a *activeSet) enter(ctx context.Context, id string, cancel context.CancelFunc) bool {
	ctx, stop := context.WithTimeout(ctx, replaceWait)
	defer stop()
	for {
		before := a.add(id, cancel)
		if before == nil {
			return true
		}
		before.cancel()
		select {
		case <-before.done:
		case <-ctx.Done():
			return false
		}
	}
}

// add adds an id, or returns what stands in its way.
func (a *activeSet) add(id string, cancel context.CancelFunc) *active {
	a.mu.Lock()
	defer a.mu.Unlock()
	if before := a.ids[id]; before != nil {
		return before
	}
	a.ids[id] = &active{cancel: cancel, done: make(chan struct{})}
	return nil
}

// leave removes an id.
func (a *activeSet) leave(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.ids[id].done)
	delete(a.ids, id)
}
