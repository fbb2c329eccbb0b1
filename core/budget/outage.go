package budget

import (
	"sync/atomic"
	"time"
)

// outage tracks since when calls to a partition of the log have been failing.
type outage struct {
	// since is in Unix nanoseconds; 0 while calls succeed.
	since atomic.Int64
}

// ongoing reports whether the last call failed.
func (o *outage) ongoing() bool { return o.since.Load() != 0 }

// record updates the outage by the result of a call, and calls onBegin when an outage begins and
// onEnd with its duration when it ends.
func (o *outage) record(err error, onBegin func(err error), onEnd func(duration time.Duration)) {
	now := time.Now().UnixNano()
	if err != nil {
		if o.since.CompareAndSwap(0, now) {
			onBegin(err)
		}
		return
	}
	if since := o.since.Swap(0); since != 0 {
		onEnd(time.Duration(now - since))
	}
}
