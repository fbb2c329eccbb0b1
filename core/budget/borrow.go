package budget

import (
	"context"
	"time"

	"cranberryrail/core/table"
)

// Timing of borrowing from other instances.
const (
	// borrowDelay is how long a request waits for a draw before other instances are asked: a few times the usual
	// duration of one.
	borrowDelay = 30 * time.Millisecond
	// minBorrowBackoff is how long no tokens are borrowed for requests like one that the asked instances could not
	// cover. It doubles with each such failure in a row, up to maxBorrowBackoff.
	minBorrowBackoff = 250 * time.Millisecond
	maxBorrowBackoff = 4 * time.Second
	// reserveWindow is the time within which an instance must expect several requests, minReserveRequests, to borrow the
	// tokens of one in addition to what a request misses. In a large fleet, whose instances see a request of an
	// organisation every few seconds, such reserves would take most of the budget.
	reserveWindow      = 3 * time.Second
	minReserveRequests = 4
)

// borrowState is the state of borrowing tokens of one organisation.
type borrowState struct {
	// active is set while other instances are asked. Meanwhile, no waiting reservation is refused.
	active bool
	// failures is the number of attempts in a row that did not cover what was missing, failed what the last one
	// missed in tokens, and retryAt the time before which as much is not asked for again.
	failures int
	failed   int64
	retryAt  time.Time
}

// tryBorrowing asks other instances for missing tokens, unless they are already being asked, and reports whether
// they are.
func (b *Book) tryBorrowing(a *account, missing int64) bool {
	s := &a.borrowing
	switch {
	case s.active:
		return true
	case a.paid == 0 || a.overgranted() || missing > a.paid:
		return false
	case missing >= s.failed && b.Now().Before(s.retryAt):
		return false
	}
	s.active = b.OnShortage(a.organisation)
	return s.active
}

// borrowIfMissing asks other instances for the tokens that waiting reservations of an organisation miss.
func (b *Book) borrowIfMissing(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	if missing := b.missing(a); missing > 0 {
		b.tryBorrowing(a, missing)
	}
}

// missing returns the tokens that waiting reservations need beyond those that may be spent now.
func (b *Book) missing(a *account) int64 { return max(0, a.demand()-b.spendable(a)) }

// Lend removes tokens of an organisation from what this instance may spend, for another instance to spend, and
// returns their number: up to tokens, and at least least. If it has fewer, it draws them from the log first; it
// returns 0 if that fails within the time that a request waits. If least is 0, it lends what it has and draws nothing. The
// log does not record a loan. Tokens whose transfer fails count as spent.
func (b *Book) Lend(ctx context.Context, organisation string, tokens, least int64) int64 {
	least = min(least, tokens)
	if lent := b.lendSpendable(organisation, tokens, max(least, 1)); lent > 0 || least <= 0 {
		return lent
	}
	r, err := b.await(ctx, Reservation{Organisation: organisation, Tokens: least}, &waiter{tokens: least}, false)
	if err != nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(b.account(organisation), r, r.Tokens)
	return r.Tokens
}

// lendSpendable lends tokens that may be spent now, or none if they are fewer than least. Of a budget with few
// remaining tokens it lends no more than least.
func (b *Book) lendSpendable(organisation string, tokens, least int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[budgetName(organisation)]
	if a == nil || a.paid == table.Unlimited || a.overgranted() || len(a.waiters) > 0 || b.spendable(a) < least {
		return 0
	}
	if a.low() {
		tokens = least
	}
	lent := min(tokens, b.spendable(a))
	a.unreserved -= lent
	a.usage.add(lent, b.Now())
	b.notifyIfDue(organisation, a)
	return lent
}

// Wanted returns the tokens to borrow for an organisation: those that waiting reservations miss, which are
// returned first, and a reserve for the next request if the instance is busy with the organisation.
func (b *Book) Wanted(organisation string) (missing, wanted int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	missing = b.missing(a)
	return missing, missing + a.usage.reserveFor(b.Now(), a.requestSize)
}

// reserveFor returns the tokens for the next request that an instance with this usage keeps: those of one request if it
// is busy with the organisation, else none.
func (m *rateMeter) reserveFor(now time.Time, requestSize float64) int64 {
	if m.rate(now)*reserveWindow.Seconds() < minReserveRequests*requestSize {
		return 0
	}
	return int64(requestSize)
}

// AddBorrowed adds tokens that another instance has lent.
func (b *Book) AddBorrowed(organisation string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addTransferred(b.account(organisation), tokens)
}

// addTransferred adds tokens that were granted to another instance.
func (b *Book) addTransferred(a *account, tokens int64) {
	a.unreserved += tokens
	b.recordAvailable(a)
	b.serveWaiters(a)
}

// EndBorrowing ends an attempt to borrow tokens of an organisation, which leaves the given number missing, and refuses
// the waiting reservations that the log can't cover. After an attempt that left none missing, another one begins for
// the reservations that have come since.
func (b *Book) EndBorrowing(organisation string, missing int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	s := &a.borrowing
	s.active = false
	if missing == 0 {
		s.failed, s.failures, s.retryAt = 0, 0, time.Time{}
		if later := b.missing(a); later == 0 || b.tryBorrowing(a, later) {
			return
		}
	}
	if s.failed = b.missing(a); s.failed == 0 {
		s.failures, s.retryAt = 0, time.Time{}
		return
	}
	s.retryAt = b.Now().Add(min(minBorrowBackoff<<min(s.failures, maxBackoffDoublings), maxBorrowBackoff))
	s.failures++
	b.serveWaiters(a)
	if len(a.waiters) > 0 {
		b.OnAdjustmentDue(organisation, true)
	}
}

// maxBackoffDoublings bounds the shift of the backoff, so that it can't overflow.
const maxBackoffDoublings = 16
