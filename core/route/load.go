package route

import (
	"math"
	"time"

	"cranberryrail/core/roster"
)

// FullBackoff is how long a target that refused a request as full receives no work, unless a
// later load report arrives first.
const FullBackoff = 200 * time.Millisecond

// maxReported bounds the numbers of a load report, so that sums over all targets don't overflow. It is far above what one target can run.
const maxReported = 1 << 20

// load estimates the number of requests at one target: that of the last report, corrected by this instance's
// dispatches and completions since it was measured.
type load struct {
	reported   int
	capacity   int
	measuredAt time.Time
	fullAt     time.Time
	inFlight   int
	// pace is the reported time that work takes at the target, as a multiple of the usual one; 0 if its reports do not state it.
	pace float64
	// changes are this instance's dispatches and completions since measuredAt; netChange is their sum.
	changes   []change
	netChange int
}

type change struct {
	at    time.Time
	delta int
}

// estimate returns the estimated number of requests at the target. Each change of this instance counts weight times,
// because the other instances place their requests by the same rules.
func (l *load) estimate(now time.Time, weight float64) int {
	if now.Sub(l.measuredAt) > ReportMaxAge {
		return l.inFlight
	}
	return max(l.reported+int(math.Round(weight*float64(l.netChange))), l.inFlight)
}

func (l *load) full(now time.Time) bool { return now.Sub(l.fullAt) < FullBackoff }

func (l *load) recordDispatch(now time.Time) {
	l.inFlight++
	l.recordChange(now, 1)
}

func (l *load) recordCompletion(now time.Time, o Outcome) {
	l.inFlight--
	l.recordChange(now, -1)
	if o == Shed {
		l.fullAt = now
	}
}

func (l *load) recordChange(now time.Time, delta int) {
	l.changes = append(l.changes, change{at: now, delta: delta})
	l.netChange += delta
	if now.Sub(l.measuredAt) > ReportMaxAge {
		l.dropChanges(now.Add(-ReportMaxAge))
	}
}

func (l *load) applyReport(r roster.Load, now time.Time) {
	age := min(max(r.AgeMS, 0), (2 * ReportMaxAge).Milliseconds())
	measuredAt := now.Add(-time.Duration(age) * time.Millisecond)
	if !measuredAt.After(l.measuredAt) || now.Sub(measuredAt) > ReportMaxAge {
		return
	}
	l.measuredAt = measuredAt
	l.reported = min(max(r.Running, 0), maxReported) + min(max(r.Waiting, 0), maxReported)
	l.capacity = min(max(r.Capacity, 0), maxReported)
	l.pace = r.Pace
	if measuredAt.After(l.fullAt) {
		l.fullAt = time.Time{}
	}
	l.dropChanges(measuredAt)
}

// dropChanges drops the changes up to and including the time.
func (l *load) dropChanges(until time.Time) {
	n := 0
	for n < len(l.changes) && !l.changes[n].at.After(until) {
		l.netChange -= l.changes[n].delta
		n++
	}
	l.changes = l.changes[n:]
}
