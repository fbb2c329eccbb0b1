package purse

import (
	"math"
	"time"
)

// meter observes use as an exponentially decaying average over the time since it began.
type meter struct {
	perSecond float64
	began, at time.Time
}

// meterTime is the time constant of the observed use: long enough to even out single
// requests, and short against the length of a peak.
const meterTime = 6 * time.Second

// meterLeast is the least time that use is averaged over: some requests.
const meterLeast = 2 * time.Second

// add counts tokens; a negative number takes back what was counted too much.
func (m *meter) add(tokens int64, now time.Time) {
	if m.began.IsZero() {
		m.began = now
	}
	m.decay(now)
	m.perSecond = max(0, m.perSecond+float64(tokens)/meterTime.Seconds())
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.perSecond *= math.Exp(-d.Seconds() / meterTime.Seconds())
		m.at = now
	}
}

// rate returns the average in tokens a second. The weights of the time since the meter began
// add up to 1 - exp(-time/meterTime), by which the sum is divided.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	weight := 1 - math.Exp(-max(now.Sub(m.began), meterLeast).Seconds()/meterTime.Seconds())
	return m.perSecond / weight
}

// peak is the most of a quantity in the present period of SettleTime and the one before.
type peak struct {
	began           time.Time
	present, before int64
}

// add takes a value of the quantity.
func (p *peak) add(n int64, now time.Time) {
	p.turn(now)
	p.present = max(p.present, n)
}

// turn begins a new period when the present one is over.
func (p *peak) turn(now time.Time) {
	switch passed := now.Sub(p.began); {
	case passed >= 2*SettleTime:
		p.began, p.before, p.present = now, 0, 0
	case passed >= SettleTime:
		p.began, p.before, p.present = now, p.present, 0
	}
}

// most returns the most of the last one to two periods.
func (p *peak) most(now time.Time) int64 {
	p.turn(now)
	return max(p.present, p.before)
}
