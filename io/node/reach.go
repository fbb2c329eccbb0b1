package node

import (
	"errors"
	"sync"
	"time"

	"cranberryrail/core/tail"
)

// reachWait is the time without a successful contact after which the log counts as out
// of reach.
const reachWait = 1500 * time.Millisecond

// reach tells whether the platform's log is in reach, from the outcome of each contact.
type reach struct {
	now     func() time.Time
	changed func(reached bool)

	mu      sync.Mutex
	last    time.Time
	reached bool
}

// contact notes the outcome of one read or append.
func (r *reach) contact(err error) {
	var trimmed *tail.TrimmedError
	now := r.now()
	r.mu.Lock()
	before := r.reached
	if err == nil || errors.As(err, &trimmed) {
		r.last, r.reached = now, true
	} else if now.Sub(r.last) > reachWait {
		r.reached = false
	}
	if before != r.reached {
		// Within the lock, so that what is told last is what holds.
		r.changed(r.reached)
	}
	r.mu.Unlock()
}

// ok reports whether the log is in reach.
func (r *reach) ok() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reached
}
