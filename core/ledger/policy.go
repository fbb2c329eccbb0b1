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
	// Strand is the share of what was paid that may be lost with instances that ended without
	// returning their allowances. The nearer the loss comes to it, the shorter the cover. 0
	// stands for DefaultStrand.
	Strand float64
}

// DefaultStrand is the share of what was paid that may be lost by default.
const DefaultStrand = 0.05

// DefaultPolicy is used for a budget without one of its own.
func DefaultPolicy() Policy {
	return Policy{Kind: Adaptive, Cover: 15 * time.Minute, ChunkTokens: 20_000}
}

// Shares of what is left of a budget.
const (
	// heldShare is the most that all instances together may hold.
	heldShare = 0.9
	// firstShare is what they may hold before they have seen any use of the budget.
	firstShare = 0.3
	// leastCover is the share of the cover that remains when too much was lost.
	leastCover = 0.05
)

// view is what a policy looks at.
type view struct {
	// rate is the observed use by this instance, in tokens a second.
	rate float64
	// paid, spent and lost are tokens; lost are held by incarnations that seem to have ended.
	paid, spent, lost int64
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
	share := float64(max(v.paid-v.spent-v.lost, 0)) / float64(max(v.instances, 1))
	cover := p.caution(v)
	want := v.rate * p.Cover.Seconds() * cover
	first := min(float64(p.ChunkTokens)*cover, share*firstShare)
	return int64(math.Floor(min(max(want, first), share*heldShare)))
}

// caution returns the share of the cover that the losses so far allow.
func (p Policy) caution(v view) float64 {
	if v.lost <= 0 {
		return 1
	}
	strand := p.Strand
	if strand == 0 {
		strand = DefaultStrand
	}
	return max(1-float64(v.lost)/max(strand*float64(v.paid), 1), leastCover)
}

// Times of the observed use.
const (
	// rateHalfLife is the half-life of the observed use.
	rateHalfLife = 3 * time.Minute
	// rateLeast is the shortest time over which use is averaged.
	rateLeast = 30 * time.Second
)

// meter observes use as an exponentially decaying average since it began.
type meter struct {
	sum   float64
	at    time.Time
	began time.Time
}

// add counts tokens used at a time.
func (m *meter) add(tokens int64, now time.Time) {
	if m.began.IsZero() {
		m.began, m.at = now, now
	}
	m.decay(now)
	m.sum += float64(tokens)
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.sum *= math.Exp2(-d.Seconds() / rateHalfLife.Seconds())
		m.at = now
	}
}

// rate returns the average at a time, in tokens a second.
func (m *meter) rate(now time.Time) float64 {
	if m.began.IsZero() {
		return 0
	}
	m.decay(now)
	age := max(now.Sub(m.began), rateLeast).Seconds()
	return m.sum * math.Ln2 / (rateHalfLife.Seconds() * (1 - math.Exp2(-age/rateHalfLife.Seconds())))
}
