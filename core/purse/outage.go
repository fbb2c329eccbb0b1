package purse

import (
	"sync/atomic"
	"time"
)

// outage tells since when calls to a partition of the log fail.
type outage struct {
	// since is in Unix nanoseconds; 0 while the log answers.
	since atomic.Int64
}

// lasts reports whether the last call failed.
func (o *outage) lasts() bool { return o.since.Load() != 0 }

// note takes how a call ended, and tells when an outage begins and ends.
func (o *outage) note(err error, lost func(err error), back func(away time.Duration)) {
	now := time.Now().UnixNano()
	if err != nil {
		if o.since.CompareAndSwap(0, now) {
			lost(err)
		}
		return
	}
	if since := o.since.Swap(0); since != 0 {
		back(time.Duration(now - since))
	}
}
