package budget

import (
	"sync"
	"time"

	"cranberryrail/core/logs"
)

// busyGrace is how long the platform may refuse all calls as too many before that counts as an outage. Until then
// the calls are only delayed.
const busyGrace = time.Second

// outage tracks since when calls to a partition of the log have been failing. It is safe for concurrent use.
type outage struct {
	mu sync.Mutex
	// failingSince is when the first of the calls that have failed since the last success ended; zero while
	// calls succeed.
	failingSince time.Time
	// begun is set while the failures count as an outage.
	begun bool
}

// ongoing reports whether there is an outage.
func (o *outage) ongoing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.begun
}

// record updates the outage by the result of a call, and calls onBegin when an outage begins and
// onEnd with its duration when it ends.
func (o *outage) record(err error, onBegin func(err error), onEnd func(duration time.Duration)) {
	switch began, ended := o.update(err); {
	case began:
		onBegin(err)
	case ended > 0:
		onEnd(ended)
	}
}

// update returns whether an outage begins with the result of a call, and the duration of the outage that ends
// with it.
func (o *outage) update(err error) (began bool, ended time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if err == nil {
		if o.begun {
			ended = max(now.Sub(o.failingSince), 1)
		}
		o.failingSince, o.begun = time.Time{}, false
		return false, ended
	}
	if o.failingSince.IsZero() {
		o.failingSince = now
	}
	if o.begun || logs.Busy(err) && now.Sub(o.failingSince) < busyGrace {
		return false, 0
	}
	o.begun = true
	return true, 0
}
