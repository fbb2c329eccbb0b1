package purse

import (
	"time"

	"cranberryrail/core/table"
)

// Parts of a budget. Together they bound what a kill of all instances strands. Their figures
// come from the rounds in docs/PLATFORM.md.
const (
	// basePart is the part of what is left, as a divisor, that all instances together hold of
	// each budget whether they have seen use of it or not.
	basePart = 16
	// shareMost is how many times its fair share of what is left an instance holds at most:
	// callers of an organisation reach instances unevenly, and a kill strands what one holds.
	shareMost = 2
	// lowCover is the least time of usual use that is held ready.
	lowCover = time.Second
	// leastDraws is the least number of draws that would take all that is left, so that no
	// instance takes most of a budget that is nearly spent.
	leastDraws = 8
	// quantumPart is the smallest change of a holding that is worth an append, as a divisor of
	// what was paid, unless a request waits for it.
	quantumPart = 1024
	// lowPart is the part of what was paid, as a divisor, below which what is left counts as
	// low, and instances give back what they hold too much.
	lowPart = 12
	// refillPart is the part of the target below which a holding is refilled.
	refillPart = 0.7
	// returnPart is the multiple of the target above which a holding is given back.
	returnPart = 1.5
)

// left returns what the log can still hand out.
func (a *account) left() int64 { return a.paid - a.granted }

// quantum returns the smallest change of the holding that is worth an append.
func (a *account) quantum() int64 { return a.paid / quantumPart }

// low reports whether little is left.
func (a *account) low() bool { return a.left() < a.paid/lowPart }

// target returns the tokens that this instance should hold unspent: a part of what is left,
// or what covers its own use if that is more. The cover shrinks with what is left of the
// budget.
func (b *Book) target(a *account) int64 {
	left := max(a.left(), 0)
	cover := b.Cover.Seconds() * min(1, float64(left)/float64(max(a.paid, 1)))
	want := int64(a.use.rate(b.Now()) * max(cover, lowCover.Seconds()))
	if b.instances == 0 {
		return min(want, b.most(left)+a.free)
	}
	share := (left + a.free) / b.instances
	if !a.low() {
		want = max(want, share/basePart)
	}
	return min(want, shareMost*share, b.most(left)+a.free)
}

// most returns the most that one draw takes of what is left, unless a request needs more.
func (b *Book) most(left int64) int64 { return left / max(leastDraws, b.instances/2) }

// surplus returns what this instance should give back, of what it has not promised to keep.
func (b *Book) surplus(a *account) int64 { return min(b.excess(a), b.usable(a)) }

// excess returns what this instance holds too much.
func (b *Book) excess(a *account) int64 {
	switch {
	case a.paid == table.Unlimited:
		return 0
	case len(a.waiting) > 0:
		return 0
	case b.stopping || a.granted > a.paid:
		return a.free
	}
	keep := b.target(a)
	if float64(a.free) <= returnPart*float64(keep) || a.free-keep < a.quantum() {
		return 0
	}
	return a.free - keep
}

// change returns by how much a holding should change.
func (b *Book) change(a *account) int64 {
	if a.paid == table.Unlimited || !b.known {
		return 0
	}
	if surplus := b.surplus(a); surplus > 0 {
		return -surplus
	}
	if b.stopping {
		return 0
	}
	left := max(a.left(), 0)
	want := a.need() - a.free
	if target := b.target(a); float64(a.free) < refillPart*float64(target) {
		if refill := min(target-a.free, b.most(left)); refill >= a.quantum() {
			want = max(want, refill)
		}
	}
	if want > left && len(a.waiting) > 0 {
		want = a.waiting[0].tokens - a.free // the others are refused
	}
	if want <= 0 || want > left {
		return 0
	}
	return want
}
