package route

import "time"

// Outcome is how a dispatch ended.
type Outcome string

// Outcomes.
const (
	// OK is a whole answer.
	OK Outcome = "ok"
	// Failed is a connection that failed or an answer that was not valid.
	Failed Outcome = "failed"
	// Silent is a target that sent nothing within the time-out.
	Silent Outcome = "silent"
	// Refused is a target that refused the request for another reason than its load.
	Refused Outcome = "refused"
	// Full is a target that refused the request because of its load.
	Full Outcome = "full"
	// Cancelled is a request that its caller or the instance gave up; it says nothing about the target.
	Cancelled Outcome = "cancelled"
)

// Ejection of targets.
const (
	// FailuresToEject is the number of consecutive failures that eject a target.
	FailuresToEject = 3
	// EjectFirst is the time of the first ejection; each further one takes twice as long.
	EjectFirst = time.Second
	// EjectLongest is the longest time of an ejection, and the time without one after which
	// the next is a first one again.
	EjectLongest = 30 * time.Second
)

// health follows the outcomes of one target.
type health struct {
	failures   int
	ejected    bool
	ejections  int
	until      time.Time
	readmitted time.Time
	// epoch counts the ejections, so that dispatches from before the last one change nothing.
	epoch int
}

// usable is true for a target that is not ejected or is due for a probe.
func (h *health) usable(now time.Time) bool { return !h.ejected || !now.Before(h.until) }

// dispatched uses up the probe, if the dispatch is one. The next probe is allowed after
// the same time again, so that a long answer does not hold it up.
func (h *health) dispatched(now time.Time) {
	if h.ejected && !now.Before(h.until) {
		h.until = now.Add(h.delay())
	}
}

func (h *health) outcome(now time.Time, o Outcome, epoch int) {
	if epoch != h.epoch {
		return
	}
	switch o {
	case OK, Full:
		if h.ejected {
			h.ejected = false
			h.readmitted = now
		}
		h.failures = 0
	case Failed, Refused:
		h.failures++
		if h.ejected || h.failures >= FailuresToEject {
			h.eject(now)
		}
	case Silent:
		h.eject(now)
	case Cancelled:
	}
}

func (h *health) eject(now time.Time) {
	if !h.ejected && now.Sub(h.readmitted) > EjectLongest {
		h.ejections = 0
	}
	h.ejected = true
	h.ejections++
	h.epoch++
	h.failures = 0
	h.until = now.Add(h.delay())
}

func (h *health) delay() time.Duration {
	d := EjectFirst
	for i := 1; i < h.ejections && d < EjectLongest; i++ {
		d *= 2
	}
	return min(d, EjectLongest)
}
