package route

import "time"

// Outcome is the result of a dispatch.
type Outcome string

// Outcomes.
const (
	// OK is a complete response.
	OK Outcome = "ok"
	// Failed is a failed connection, an invalid response or a response with a 5xx status.
	Failed Outcome = "failed"
	// Silent is a target that sent nothing within the timeout.
	Silent Outcome = "silent"
	// Refused is a target that refused the request for a reason other than its load.
	Refused Outcome = "refused"
	// Shed is a target that refused the request because of its load.
	Shed Outcome = "full"
	// UsedUp is an answer that the instance ended to release memory while the target sent it.
	UsedUp Outcome = "used_up"
	// Cancelled is a request that the caller or the instance cancelled; it has no bearing on the target's health.
	Cancelled Outcome = "cancelled"
)

// Parameters of the ejection of unhealthy targets.
const (
	// FailuresToEject is the number of consecutive Failed or Refused outcomes that eject a target. A single Silent
	// outcome ejects it at once.
	FailuresToEject = 3
	// BaseEjectionTime is the duration of the first ejection. Each further ejection lasts twice as long as the one
	// before.
	BaseEjectionTime = time.Second
	// MaxEjectionTime is the longest duration of an ejection. It is also the time after a readmission from which on
	// the next ejection lasts BaseEjectionTime again.
	MaxEjectionTime = 30 * time.Second
	// UsedUpToEject is the number of UsedUp outcomes that eject a target which completes no response among them, and UsedUpTime the time that they must
	// span. A sound target whose answers end since those of others use up the memory completes some in that time; one that sends without end completes none.
	UsedUpToEject = 10
	UsedUpTime    = 5 * time.Second
)

// health tracks the outcomes of one target.
type health struct {
	failures     int
	ejected      bool
	ejections    int
	ejectedUntil time.Time
	readmittedAt time.Time
	// usedUp counts the UsedUp outcomes since usedUpAt without a response in between.
	usedUp   int
	usedUpAt time.Time
	// epoch counts the ejections, so that outcomes of dispatches made before the last ejection are ignored.
	epoch int
}

// usable reports whether the target is not ejected, or is due for a probe.
func (h *health) usable(now time.Time) bool { return !h.ejected || !now.Before(h.ejectedUntil) }

// recordDispatch records that the dispatch is a probe when the target is ejected and due for one. The next probe is
// allowed after the same ejection time again, so that a long response does not delay it.
func (h *health) recordDispatch(now time.Time) {
	if h.ejected && !now.Before(h.ejectedUntil) {
		h.ejectedUntil = now.Add(h.ejectionTime())
	}
}

func (h *health) recordOutcome(now time.Time, o Outcome, epoch int) {
	if epoch != h.epoch {
		return
	}
	switch o {
	case OK, Shed:
		if h.ejected {
			h.ejected = false
			h.readmittedAt = now
		}
		h.failures = 0
		if o == OK {
			h.usedUp = 0
		}
	case Failed, Refused:
		h.failures++
		if h.ejected || h.failures >= FailuresToEject {
			h.eject(now)
		}
	case Silent:
		h.eject(now)
	case UsedUp:
		h.recordUsedUp(now)
	case Cancelled:
	}
}

// recordUsedUp ejects a target whose answers end to release memory for long, and has no bearing on one that is ejected.
func (h *health) recordUsedUp(now time.Time) {
	if h.usedUp == 0 {
		h.usedUpAt = now
	}
	h.usedUp++
	if !h.ejected && h.usedUp >= UsedUpToEject && now.Sub(h.usedUpAt) >= UsedUpTime {
		h.eject(now)
	}
}

func (h *health) eject(now time.Time) {
	if !h.ejected && now.Sub(h.readmittedAt) > MaxEjectionTime {
		h.ejections = 0
	}
	h.ejected = true
	h.ejections++
	h.epoch++
	h.failures, h.usedUp = 0, 0
	h.ejectedUntil = now.Add(h.ejectionTime())
}

func (h *health) ejectionTime() time.Duration {
	d := BaseEjectionTime
	for i := 1; i < h.ejections && d < MaxEjectionTime; i++ {
		d *= 2
	}
	return min(d, MaxEjectionTime)
}
