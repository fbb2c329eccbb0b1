package budget

import "time"

// Parameters of the cover of outages.
const (
	// outageMargin is the time of usage that a holding is to cover as a multiple of the longest outage: a holding is refilled only below refillRatio of that.
	outageMargin = 1.5
	// outageShare is the share of the remaining tokens that all holders together hold at most to cover an outage: as much as a loss of power may strand.
	outageShare = 0.5
	// outageMemory is how long an outage is remembered.
	outageMemory = 10 * time.Minute
)

// RecordOutage records how long the log was unreachable from this instance. If CoverOutages is set, holdings cover as long an outage from then on, although
// little of a budget is left: what can't be drawn during an outage is refused, which costs callers more than what a loss of power strands.
func (b *Book) RecordOutage(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	if duration >= b.outage || now.Sub(b.outageAt) > outageMemory {
		b.outage, b.outageAt = duration, now
	}
}

// outageCover returns the tokens that a holding needs to cover an outage as long as the longest one lately; 0 without one. The share is the fair share of
// the instance in the remaining tokens.
func (b *Book) outageCover(rate float64, share int64) int64 {
	if !b.CoverOutages || b.outage == 0 || b.Now().Sub(b.outageAt) > outageMemory {
		return 0
	}
	seconds := min(outageMargin*b.outage.Seconds(), b.Cover.Seconds())
	return min(int64(rate*seconds), int64(outageShare*float64(share)))
}
