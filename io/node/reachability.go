package node

import (
	"errors"
	"sync"
	"time"

	"cranberryrail/core/tail"
)

// unreachableAfter is the time since the last success after which a failed access makes the log count as unreachable.
// Access without relay counts reads and appends as successes; access over any path counts reads only.
const unreachableAfter = 1500 * time.Millisecond

// reachability tracks whether the platform's log is reachable, from the outcome of each read and append.
type reachability struct {
	now      func() time.Time
	onChange func(reached bool)

	mu          sync.Mutex
	lastSuccess time.Time
	reachable   bool
}

// recordResult records the outcome of one read or append.
func (r *reachability) recordResult(err error) {
	var trimmed *tail.TrimmedError
	now := r.now()
	r.mu.Lock()
	was := r.reachable
	if err == nil || errors.As(err, &trimmed) {
		r.lastSuccess, r.reachable = now, true
	} else if now.Sub(r.lastSuccess) > unreachableAfter {
		r.reachable = false
	}
	if was != r.reachable {
		// onChange runs within the lock, so that its last call reports the current state.
		r.onChange(r.reachable)
	}
	r.mu.Unlock()
}

// isReachable reports whether the log is reachable.
func (r *reachability) isReachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reachable
}
