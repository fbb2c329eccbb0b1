package budget

import (
	"math"
	"time"
)

// rateMeter measures usage as an exponentially weighted moving average over the time since it
// started.
type rateMeter struct {
	perSecond        float64
	started, updated time.Time
}

// rateTimeConstant is the time constant of the measured usage: long enough to smooth single
// requests, and short compared with the length of a load peak.
const rateTimeConstant = 6 * time.Second

// minRateWindow is the minimum time that usage is averaged over, so that the average includes
// several requests.
const minRateWindow = 2 * time.Second

// add counts tokens; a negative number corrects an earlier count that was too high.
func (m *rateMeter) add(tokens int64, now time.Time) {
	if m.started.IsZero() {
		m.started = now
	}
	m.decay(now)
	m.perSecond = max(0, m.perSecond+float64(tokens)/rateTimeConstant.Seconds())
}

func (m *rateMeter) decay(now time.Time) {
	if d := now.Sub(m.updated); d > 0 {
		m.perSecond *= math.Exp(-d.Seconds() / rateTimeConstant.Seconds())
		m.updated = now
	}
}

// rate returns the average in tokens per second. The weights of the time since the meter started
// add up to 1 - exp(-time/rateTimeConstant); the sum is divided by this total.
func (m *rateMeter) rate(now time.Time) float64 {
	m.decay(now)
	weight := 1 - math.Exp(-max(now.Sub(m.started), minRateWindow).Seconds()/rateTimeConstant.Seconds())
	return m.perSecond / weight
}

// slidingMax tracks the maximum of a quantity over the current and the previous period, each of
// ExhaustionDelay.
type slidingMax struct {
	started           time.Time
	current, previous int64
}

// record updates the maximum with a value.
func (p *slidingMax) record(n int64, now time.Time) {
	p.advance(now)
	p.current = max(p.current, n)
}

// advance starts a new period when the current one is over.
func (p *slidingMax) advance(now time.Time) {
	switch passed := now.Sub(p.started); {
	case passed >= 2*ExhaustionDelay:
		p.started, p.previous, p.current = now, 0, 0
	case passed >= ExhaustionDelay:
		p.started, p.previous, p.current = now, p.current, 0
	}
}

// value returns the maximum of the last one to two periods.
func (p *slidingMax) value(now time.Time) int64 {
	p.advance(now)
	return max(p.current, p.previous)
}
