package ledger

import (
	"math"
	"time"
)

// PolicyKind names a way to size allowances.
type PolicyKind string

// Ways to size allowances.
const (
	// Fixed draws chunks of a fixed size.
	Fixed PolicyKind = "fixed"
	// Adaptive draws in proportion to the observed use and to what is left.
	Adaptive PolicyKind = "adaptive"
	// WrittenAhead draws for each request what it may use, before it is dispatched.
	WrittenAhead PolicyKind = "written_ahead"
)

// Policy sizes the allowance that an instance holds of one budget.
type Policy struct {
	// Kind is the way to size allowances.
	Kind PolicyKind
	// Cover is the time of usual use that an allowance is to cover while the log is out of reach.
	Cover time.Duration
	// ChunkTokens is the size of a fixed draw, and of the first adaptive one.
	ChunkTokens int64
	// LowWater is the share of what was paid below which a budget counts as low.
	LowWater float64
}

// DefaultPolicy is used for a budget without one of its own.
func DefaultPolicy() Policy {
	return Policy{Kind: Adaptive, Cover: 10 * time.Minute, ChunkTokens: 20_000, LowWater: 0.1}
}

// Shares of what is left of a budget that all instances together may hold.
const (
	// ordinaryShare applies while a budget is not low.
	ordinaryShare = 0.9
	// lowShare applies while a budget is low.
	lowShare = 0.6
	// firstShare applies before an instance has seen any use of the budget.
	firstShare = 0.3
)

// view is what a policy looks at.
type view struct {
	// rate is the observed use by this instance, in tokens a second.
	rate float64
	// paid, free and own are the tokens paid, free in the log and held by this instance.
	paid, free, own int64
	// instances is the number of live instances.
	instances int
}

// target returns the allowance that an instance is to hold, in tokens.
func (p Policy) target(v view) int64 {
	switch p.Kind {
	case WrittenAhead:
		return 0
	case Fixed:
		return p.ChunkTokens
	}
	n := float64(max(v.instances, 1))
	left := float64(v.free + v.own)
	share := ordinaryShare
	if left < p.LowWater*float64(v.paid)/n {
		share = lowShare
	}
	limit := left * share / n
	want := v.rate * p.Cover.Seconds()
	if want < float64(p.ChunkTokens) {
		want = min(float64(p.ChunkTokens), float64(v.free+v.own)*firstShare/n)
	}
	return int64(math.Floor(min(want, limit)))
}

// rateHalfLife is the half-life of the observed use.
const rateHalfLife = time.Minute

// meter observes use as an exponentially decaying average.
type meter struct {
	rate float64
	at   time.Time
}

// add counts tokens used at a time.
func (m *meter) add(tokens int64, now time.Time) {
	m.decay(now)
	m.rate += float64(tokens) * math.Ln2 / rateHalfLife.Seconds()
}

// decay lowers the average to a time and returns it, in tokens a second.
func (m *meter) decay(now time.Time) float64 {
	if d := now.Sub(m.at); d > 0 {
		m.rate *= math.Exp2(-d.Seconds() / rateHalfLife.Seconds())
		m.at = now
	}
	return m.rate
}
