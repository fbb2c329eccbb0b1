package front

import "sync"

// activeSet holds the requests that this instance is serving, so that two attempts
// with one id never run side by side here.
type activeSet struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// enter adds an id and reports whether it was not there.
func (a *activeSet) enter(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.ids[id]; ok {
		return false
	}
	a.ids[id] = struct{}{}
	return true
}

// leave removes an id.
func (a *activeSet) leave(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.ids, id)
}
