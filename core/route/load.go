package route

import (
	"math"
	"time"

	"cranberryrail/core/roster"
)

// FullHold is how long a target that answered that it is full gets no work, unless a
// later report comes first.
const FullHold = 200 * time.Millisecond

// load estimates the requests at one target: those of the last report, corrected by the
// dispatches and completions since it was measured.
type load struct {
	reported int
	capacity int
	measured time.Time
	fullAt   time.Time
	inFlight int
	// changes are the own dispatches and completions since measured; net is their sum.
	changes []change
	net     int
}

type change struct {
	at    time.Time
	delta int
}

// estimate returns the requests at the target. Each own change counts weight times, because
// the other instances place their requests by the same rules.
func (l *load) estimate(now time.Time, weight float64) int {
	if now.Sub(l.measured) > ReportKept {
		return l.inFlight
	}
	return max(l.reported+int(math.Round(weight*float64(l.net))), l.inFlight)
}

func (l *load) full(now time.Time) bool { return now.Sub(l.fullAt) < FullHold }

func (l *load) dispatched(now time.Time) {
	l.inFlight++
	l.change(now, 1)
}

func (l *load) completed(now time.Time, o Outcome) {
	l.inFlight--
	l.change(now, -1)
	if o == Full {
		l.fullAt = now
	}
}

func (l *load) change(now time.Time, delta int) {
	l.changes = append(l.changes, change{at: now, delta: delta})
	l.net += delta
	if now.Sub(l.measured) > ReportKept {
		l.forget(now.Add(-ReportKept))
	}
}

func (l *load) report(r roster.Load, now time.Time) {
	measured := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	if !measured.After(l.measured) || now.Sub(measured) > ReportKept {
		return
	}
	l.measured = measured
	l.reported = r.Running + r.Waiting
	l.capacity = r.Capacity
	if measured.After(l.fullAt) {
		l.fullAt = time.Time{}
	}
	l.forget(measured)
}

// forget drops the changes up to a time.
func (l *load) forget(until time.Time) {
	n := 0
	for n < len(l.changes) && !l.changes[n].at.After(until) {
		l.net -= l.changes[n].delta
		n++
	}
	l.changes = l.changes[n:]
}
