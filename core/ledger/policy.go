package ledger

import (
	"math"
	"time"
)

// PolicyKind is the method by which allowances are sized.
type PolicyKind string

// Methods by which allowances are sized.
const (
	// Fixed draws chunks of a fixed size.
	Fixed PolicyKind = "fixed"
	// Adaptive sizes allowances by the observed usage and limits them to a share of the remaining tokens.
	Adaptive PolicyKind = "adaptive"
	// WrittenAhead draws the tokens that a request may use for each request before it is dispatched.
	WrittenAhead PolicyKind = "written_ahead"
)

// Policy sizes the allowance that an instance holds of one budget.
type Policy struct {
	// Kind is the method by which allowances are sized.
	Kind PolicyKind
	// Cover is the duration of average usage that an allowance is sized for, so that it lasts while the log is
	// unreachable.
	Cover time.Duration
	// ChunkTokens is the size of a fixed allowance, and of the first adaptive one.
	ChunkTokens int64
	// StrandRatio is the share of the paid tokens that may be stranded with instances that ended without returning
	// their allowances. The closer the stranded tokens come to it, the shorter the cover. 0 means
	// DefaultStrandRatio.
	StrandRatio float64
}

// DefaultStrandRatio is the default share of the paid tokens that may be stranded.
const DefaultStrandRatio = 0.05

// DefaultPolicy returns the policy of budgets without a policy of their own.
func DefaultPolicy() Policy {
	return Policy{Kind: Adaptive, Cover: 15 * time.Minute, ChunkTokens: 20_000}
}

// Shares used in sizing allowances.
const (
	// maxHeldShare is the maximum share of the remaining tokens that all instances together hold.
	maxHeldShare = 0.9
	// initialHeldShare is the maximum share that they hold before any usage is observed.
	initialHeldShare = 0.3
	// minCoverShare is the minimum share of the cover that applies when too many tokens are stranded.
	minCoverShare = 0.05
)

// budgetView is the state of a budget from which a policy sizes an allowance.
type budgetView struct {
	// rate is the observed usage by this instance, in tokens per second.
	rate float64
	// paid, spent and stranded are in tokens; stranded are held by incarnations that seem to have ended.
	paid, spent, stranded int64
	// instances is the number of live instances.
	instances int
}

// targetAllowance returns the allowance that an instance should hold, in tokens.
func (p Policy) targetAllowance(v budgetView) int64 {
	switch p.Kind {
	case WrittenAhead:
		return 0
	case Fixed:
		return p.ChunkTokens
	}
	equalShare := float64(max(v.paid-v.spent-v.stranded, 0)) / float64(max(v.instances, 1))
	coverShare := p.coverShare(v)
	usageCover := v.rate * p.Cover.Seconds() * coverShare
	initial := min(float64(p.ChunkTokens)*coverShare, equalShare*initialHeldShare)
	return int64(math.Floor(min(max(usageCover, initial), equalShare*maxHeldShare)))
}

// coverShare returns the share of Cover that applies: it decreases as stranded tokens approach StrandRatio.
func (p Policy) coverShare(v budgetView) float64 {
	if v.stranded <= 0 {
		return 1
	}
	strandRatio := p.StrandRatio
	if strandRatio == 0 {
		strandRatio = DefaultStrandRatio
	}
	return max(1-float64(v.stranded)/max(strandRatio*float64(v.paid), 1), minCoverShare)
}

// Time constants of the observed usage.
const (
	// rateHalfLife is the half-life of the observed usage.
	rateHalfLife = 3 * time.Minute
	// minRateWindow is the shortest time over which usage is averaged.
	minRateWindow = 30 * time.Second
)

// usageMeter measures usage as an exponentially decaying average since the first use.
type usageMeter struct {
	sum       float64
	decayedAt time.Time
	startedAt time.Time
}

// add counts tokens used at the time now.
func (m *usageMeter) add(tokens int64, now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt, m.decayedAt = now, now
	}
	m.decay(now)
	m.sum += float64(tokens)
}

func (m *usageMeter) decay(now time.Time) {
	if d := now.Sub(m.decayedAt); d > 0 {
		m.sum *= math.Exp2(-d.Seconds() / rateHalfLife.Seconds())
		m.decayedAt = now
	}
}

// rate returns the average at the time now, in tokens per second.
func (m *usageMeter) rate(now time.Time) float64 {
	if m.startedAt.IsZero() {
		return 0
	}
	m.decay(now)
	age := max(now.Sub(m.startedAt), minRateWindow).Seconds()
	return m.sum * math.Ln2 / (rateHalfLife.Seconds() * (1 - math.Exp2(-age/rateHalfLife.Seconds())))
}
