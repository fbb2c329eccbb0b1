package budget

import (
	"time"

	"cranberryrail/core/table"
)

// Parameters of the allocation. Together they bound the tokens that are stranded when all
// instances are killed. docs/PLATFORM.md has the measurements behind the values.
const (
	// baseShareDivisor is the fraction of the remaining tokens, as a divisor, that all instances
	// together hold of each budget, whether or not they have observed usage of it.
	baseShareDivisor = 16
	// maxShareFactor limits the holding of an instance to a multiple of its fair share of the
	// remaining tokens. It is above 1 because the callers of an organisation are spread unevenly
	// over instances, and limited because a kill strands what the instance holds.
	maxShareFactor = 2
	// minCover is the minimum duration of usual usage that a holding covers.
	minCover = time.Second
	// minDraws is the minimum number of draws needed to take all remaining tokens, so that no
	// instance takes most of a budget that is nearly spent.
	minDraws = 8
	// quantumDivisor is the smallest adjustment that justifies an append, as a divisor of the
	// tokens paid for, unless a request waits for it. In a large fleet, whose holdings are smaller,
	// it is a fraction of the target holding, with the divisor targetQuantumDivisor.
	quantumDivisor       = 1024
	targetQuantumDivisor = 4
	// lowDivisor is the fraction of the tokens paid for, as a divisor, below which the remaining
	// tokens count as low. Instances then hold no base share and return their excess.
	lowDivisor = 12
	// refillRatio is the fraction of the target holding below which a holding is refilled.
	refillRatio = 0.7
	// returnRatio is the multiple of the target holding above which the excess of a holding is returned.
	returnRatio = 1.5
	// minReturnRequests is the smallest excess that is returned while the remaining tokens are not low, in
	// requests of mean size, and minReturnDivisor limits it to a fraction of the tokens paid for. It prevents
	// the tokens of single requests from being returned and drawn again.
	minReturnRequests = 2
	minReturnDivisor  = 64
	// resumeReserveDivisor is the part of the tokens paid for, as a divisor, that is granted only for streams that are resumed. It is
	// neither held nor stranded when all instances are killed, which breaks all streams off. 97 in 100 must remain for all requests.
	resumeReserveDivisor = 100
)

// MaxHolders is the number of holders of each budget. All instances of a smaller fleet are holders of all
// budgets. In a larger one, the other instances borrow from the holders, because their conditional appends would be
// lost to each other, and because their own usage is too small a sample to draw ahead.
const MaxHolders = 8

// ungranted returns the tokens that the log can still grant; fewer than 0 if more was granted than is paid for.
func (a *account) ungranted() int64 {
	if a.overgranted() {
		return a.paid - a.grants.Granted
	}
	return max(0, a.paid-a.grants.Granted)
}

// grantable returns the tokens that the log can still grant to requests that resume streams, or to others; fewer than 0 if more was granted than
// is paid for.
func (a *account) grantable(resumes bool) int64 {
	ungranted := a.ungranted()
	if resumes || ungranted < 0 {
		return ungranted
	}
	return max(0, ungranted-min(a.paid/resumeReserveDivisor, a.grants.Granted)) // Streams that can be resumed were granted tokens.
}

// overgranted reports whether more was granted than is paid for, because the amount paid was reduced. Tokens that
// only count as granted do not matter.
func (a *account) overgranted() bool { return a.grants.Granted-a.grants.WrittenOff > a.paid }

// quantum returns the smallest adjustment of a holding with the given target that justifies an append.
func (a *account) quantum(target int64) int64 {
	return min(a.paid/quantumDivisor, max(target/targetQuantumDivisor, 1))
}

// low reports whether few tokens remain to be granted.
func (a *account) low() bool { return a.grantable(false) < a.paid/lowDivisor }

// target returns the target holding, the number of free tokens that this instance should hold: a fraction
// of the remaining tokens, or what covers its own usage if that is more. The cover shrinks in proportion
// to the remaining tokens.
func (b *Book) target(a *account) int64 {
	ungranted := max(a.grantable(false), 0)
	cover := b.Cover.Seconds() * min(1, float64(ungranted)/float64(max(a.paid, 1)))
	needed := int64(a.usage.rate(b.Now()) * max(cover, minCover.Seconds()))
	if b.instanceCount == 0 {
		return min(needed, b.maxDraw(ungranted)+a.unreserved)
	}
	share := (ungranted + a.unreserved) / b.holderCount()
	if b.drawsAhead(a) {
		needed = max(needed, b.outageCover(a.usage.rate(b.Now()), share))
		if !a.low() && b.IsHolder(a.organisation) {
			needed = max(needed, share/baseShareDivisor)
		}
	}
	return min(needed, maxShareFactor*share, b.maxDraw(ungranted)+a.unreserved)
}

// maxDraw returns the maximum that one draw takes of the remaining tokens, unless a request needs
// more.
func (b *Book) maxDraw(ungranted int64) int64 { return ungranted / max(minDraws, b.holderCount()/2) }

// holders returns the number of holders of each budget.
func (b *Book) holders() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holderCount()
}

// holderCount returns the number of holders of each budget.
func (b *Book) holderCount() int64 { return max(1, min(b.instanceCount, MaxHolders)) }

// drawsAhead reports whether this instance draws tokens of a budget ahead of their use: it is a holder, or many requests of the organisation reach it. Callers may be
// spread so unevenly that one instance serves most of an organisation; it would ask holders for each request, and not reach them while its link is full.
func (b *Book) drawsAhead(a *account) bool {
	if b.IsHolder(a.organisation) {
		return true
	}
	return b.HeavyPerSecond > 0 && b.instanceCount > 0 && a.usage.rate(b.Now()) >= b.HeavyPerSecond*max(a.requestSize, 1)
}

// returnable returns the tokens that this instance should return now: its excess, as far as it is
// not promised.
func (b *Book) returnable(a *account) int64 { return min(b.excess(a), b.spendable(a)) }

// excess returns the tokens that this instance holds beyond its need.
func (b *Book) excess(a *account) int64 {
	switch {
	case a.paid == table.Unlimited:
		return 0
	case len(a.waiters) > 0:
		return 0
	case b.stopping || a.overgranted():
		return a.unreserved
	}
	keep := b.target(a)
	least := a.quantum(keep)
	if !a.low() || !b.IsHolder(a.organisation) {
		least = max(least, min(int64(minReturnRequests*a.requestSize), a.paid/minReturnDivisor))
	}
	if b.instanceCount == 0 {
		least = max(least, a.paid/minReturnDivisor) // A base share is drawn soon.
	}
	if float64(a.unreserved) <= returnRatio*float64(keep) || a.unreserved-keep < least {
		return 0
	}
	return a.unreserved - keep
}

// unheldDraw returns the draw of an instance that is no holder, whose requests miss a number of tokens. Until the holders are known it draws ahead
// with the tokens that a request waits for, since the appends of instances that start together conflict.
func (b *Book) unheldDraw(a *account, missing, drawable int64) int64 {
	switch {
	case a.borrowing.active:
		return 0
	case b.instanceCount == 0 && missing > 0:
		return max(missing, min(missing+b.target(a), b.maxDraw(drawable)))
	default:
		return missing
	}
}

// adjustment returns the number of tokens by which a holding should change.
func (b *Book) adjustment(a *account) int64 {
	if a.paid == table.Unlimited || !b.loaded || a.unknown {
		return 0
	}
	if returnable := b.returnable(a); returnable > 0 {
		return -returnable
	}
	if b.stopping {
		return 0
	}
	drawable := b.drawable(a, false)
	draw := a.demand() - a.unreserved
	if !b.drawsAhead(a) {
		draw = b.unheldDraw(a, draw, drawable)
	} else if target := b.target(a); float64(a.unreserved) < refillRatio*float64(target) {
		if refill := min(target-a.unreserved, b.maxDraw(drawable)); refill >= a.quantum(target) {
			draw = max(draw, refill)
		}
	}
	if draw > drawable && len(a.waiters) > 0 {
		first := a.waiters[0] // the other waiters are refused
		draw, drawable = first.tokens-a.unreserved, b.drawable(a, first.resumes)
	}
	if draw <= 0 || draw > drawable {
		return 0
	}
	return draw
}
