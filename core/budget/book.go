// Package budget enforces prepaid budgets across instances, using the platform's log as the
// shared store. The newest record of an organisation holds the number of its tokens that have
// been granted to instances. An instance increases that number by a conditional append before it
// spends, so that all instances together never hold more than was paid, regardless of clock
// skew, connection failures and restarts.
//
// When a process is killed, its successor takes over the tokens that the process had promised
// not to spend yet. The rest of its holding counts as spent.
package budget

import (
	"context"
	"slices"
	"sync"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/table"
)

// Defaults of Book.
const (
	// DefaultCover is the duration of usual usage that a holding covers, so that requests are
	// served while the platform is unreachable. Outages of several seconds are common.
	DefaultCover = 12 * time.Second
	// DefaultMaxWait is the maximum time that a request waits for tokens: about ten times the
	// usual latency of an append.
	DefaultMaxWait = 200 * time.Millisecond
)

// Retry-after times of refusals.
const (
	// RetryAfterElsewhere applies when other instances hold the rest of the budget: they return
	// tokens that they do not need within about this time.
	RetryAfterElsewhere = 800 * time.Millisecond
	// RetryAfterLogUnavailable applies when the rest of the budget can't be drawn because the log
	// is slow or unreachable from this instance. Another instance may hold tokens.
	RetryAfterLogUnavailable = 50 * time.Millisecond
	// ExhaustionDelay is the minimum time for which a budget must be too small for a request
	// before the request is refused permanently. It exceeds the time in which other instances
	// return tokens that they do not need.
	ExhaustionDelay = time.Second
)

// Reservation is the tokens reserved for one request. It must be ended by exactly one call of Settle.
type Reservation struct {
	Organisation string
	// Tokens is the maximum that may be spent; 0 for an organisation without a budget.
	Tokens int64
}

// account is the state of one organisation's budget at this instance.
type account struct {
	// organisation is the budgetName of the organisation.
	organisation string
	// paid is the number of tokens paid for, table.Unlimited without a budget, and paidAt when it last changed.
	// configuredAt is when the budget was first configured.
	paid                 int64
	paidAt, configuredAt time.Time
	// recorded is what the newest record states, and hasRecord whether there is one. grants adds what an earlier era may have drawn after it. recordEra is the
	// era that the record was written in, and era the one that it was read in.
	recorded, grants Grants
	hasRecord        bool
	recordEra, era   int64
	// proven is what was granted at most before provenEra began, and settled is set if grants is less than recorded states because of that.
	proven, provenEra int64
	settled           bool
	// assumed is set if there is no record, nor a memory of one, and recorded is what may have been drawn at most.
	assumed bool
	// unknown is set while the newest record can't be decoded.
	unknown bool
	// restorable is set if the log may be restored from a copy. marks are then the sums of draws that were
	// recorded within the age of a copy, in order.
	restorable bool
	marks      []drawMark
	// unreserved is the part of this instance's holding that is not reserved, and reserved the part that
	// its requests in flight may spend.
	unreserved, reserved int64
	// billed is the sum of the tokens that this process has settled as used.
	billed int64
	// drawn is set once this instance has drawn tokens from the log.
	drawn bool
	// usage measures the tokens that this instance reserves or lends. requestSize is the moving average of the
	// tokens of one reservation.
	usage       rateMeter
	requestSize float64
	borrowing   borrowState
	// waiters are the reservations that wait for tokens, in order of arrival.
	waiters []*waiter
	// availablePeak is the recent maximum of the tokens that one request could have reserved, unless it resumes a stream.
	availablePeak slidingMax
}

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens int64
	// resumes is set if the request resumes a stream.
	resumes bool
	// done is closed once the reservation is decided; err is set before, and unlimited if the organisation has no budget then.
	done      chan struct{}
	err       error
	unlimited bool
}

// Book tracks the tokens that this instance may spend of each organisation's budget. Exported
// fields are set before Default. It is safe for concurrent use.
type Book struct {
	// Now is the monotonic clock of the process. It affects when tokens are drawn, returned or refused, and, if the log may
	// be restored from a copy, which draws each copy contains.
	Now func() time.Time
	// CopyAge is the maximum age of a copy from which the log may be restored.
	CopyAge time.Duration
	// Cover is the duration of usual usage that a holding covers.
	Cover time.Duration
	// MaxWait is the maximum time that a request waits for tokens.
	MaxWait time.Duration
	// OnAdjustmentDue is called when tokens of an organisation should be drawn or returned. It is
	// urgent if a request waits for them. It must not block.
	OnAdjustmentDue func(organisation string, urgent bool)
	// OnStaleRefusal is called when a request is refused on the basis of state read from the log
	// earlier. It must not block.
	OnStaleRefusal func(organisation string)
	// OnShortage is called when a request waits for tokens that the log can't provide soon. It returns
	// false if other instances can't be asked now; otherwise EndBorrowing must be called afterwards. It must
	// not block. Optional.
	OnShortage func(organisation string) bool
	// IsHolder reports whether this instance is a holder of an organisation's budget: it draws tokens from the log
	// ahead of their use and lends them to the other instances. Optional; without it every instance is a holder.
	IsHolder func(organisation string) bool
	// OnPromiseBlocking is called when a request waits for promised tokens. It must not block.
	OnPromiseBlocking func()
	// LogReachable reports whether the log partition of an organisation's budget is reachable. It
	// must not block.
	LogReachable func(organisation string) bool
	// Strict lets records become strict. It must not be set while an instance of build bcddc15 or an earlier one may join the fleet: such builds ignore
	// strict records, and a restored log may show neither its registration nor its draws.
	Strict bool
	// HeavyPerSecond is the number of requests a second of an organisation from which on an instance draws tokens ahead of their use although it is not a holder
	// of the budget; 0 if none does.
	HeavyPerSecond float64
	// CoverOutages lets holdings cover outages as long as those before, however little of a budget is left.
	CoverOutages bool
	// Uptime is the monotonic clock of the machine, which all its processes share.
	Uptime func() time.Duration

	mu       sync.Mutex
	accounts map[string]*account
	// instanceCount is the number of instances that ever registered in the log, whether or not they
	// still run, among which the budgets are shared; 0 while it is unknown.
	instanceCount int64
	// loaded is set once the state of the log was read.
	loaded   bool
	stopping bool
	// witnessing is set if instances record what they know of an era that ended. established and allEstablished are set if each copy of the log
	// contains the registration of this instance, and of all.
	witnessing, established, allEstablished bool
	// outage is the longest outage of the log lately, and outageAt when it ended.
	outage   time.Duration
	outageAt time.Time
	// promises are the promises that a record in the log may hold.
	promises []*Promise
}

// String returns the name used in logs.
func (b *Book) String() string { return "book of prepaid budgets" }

// Default sets unset fields to their defaults.
func (b *Book) Default() {
	if b.Now == nil {
		b.Now = time.Now
	}
	if b.Cover == 0 {
		b.Cover = DefaultCover
	}
	if b.MaxWait == 0 {
		b.MaxWait = DefaultMaxWait
	}
	if b.CopyAge == 0 {
		b.CopyAge = DefaultCopyAge
	}
	if b.OnAdjustmentDue == nil {
		b.OnAdjustmentDue = func(string, bool) {}
	}
	if b.OnStaleRefusal == nil {
		b.OnStaleRefusal = func(string) {}
	}
	if b.OnShortage == nil {
		b.OnShortage = func(string) bool { return false }
	}
	if b.IsHolder == nil {
		b.IsHolder = func(string) bool { return true }
	}
	if b.OnPromiseBlocking == nil {
		b.OnPromiseBlocking = func() {}
	}
	if b.Uptime == nil {
		start := time.Now()
		b.Uptime = func() time.Duration { return time.Since(start) }
	}
	if b.LogReachable == nil {
		b.LogReachable = func(string) bool { return true }
	}
	if b.accounts == nil {
		b.accounts = map[string]*account{}
	}
}

func (b *Book) account(organisation string) *account {
	organisation = budgetName(organisation)
	a := b.accounts[organisation]
	if a == nil {
		a = &account{organisation: organisation, paid: table.Unlimited, provenEra: noEra}
		b.accounts[organisation] = a
	}
	return a
}

// SetPaid sets the number of tokens that each organisation has paid for.
func (b *Book) SetPaid(organisations []table.Organisation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range organisations {
		a := b.account(o.Name)
		if o.Prepaid != a.paid {
			first := a.configuredAt.IsZero()
			if first {
				a.configuredAt = b.Now()
			}
			raised := o.Prepaid > a.paid
			a.paid, a.paidAt = o.Prepaid, b.Now()
			if (first || a.assumed && raised) && a.hasRecord && !a.unknown {
				a.writeOff() // The record was read before the configuration; drawers knew what was paid.
			}
			b.recordAvailable(a)
			b.serveWaiters(a)
		}
	}
}

// Reserve reserves the maximum number of tokens that a request may use. The error is a *codes.Error.
func (b *Book) Reserve(ctx context.Context, organisation string, tokens int64) (Reservation, error) {
	return b.await(ctx, Reservation{Organisation: organisation, Tokens: tokens}, &waiter{tokens: tokens}, true)
}

// ReserveResumed is Reserve for a request that resumes a stream. It may use the part of a budget that is left for such requests.
func (b *Book) ReserveResumed(ctx context.Context, organisation string, tokens int64) (Reservation, error) {
	return b.await(ctx, Reservation{Organisation: organisation, Tokens: tokens}, &waiter{tokens: tokens, resumes: true}, true)
}

// await makes a reservation and waits for its tokens if the instance's holding does not cover it. It asks other instances
// for tokens only if borrow is set.
func (b *Book) await(ctx context.Context, r Reservation, w *waiter, borrow bool) (Reservation, error) {
	organisation := r.Organisation
	queued, err := b.reserve(organisation, w, borrow)
	if err != nil {
		return Reservation{}, err
	}
	if !queued {
		return w.reservation(r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.MaxWait)
	defer cancel()
	slow := time.NewTimer(borrowDelay)
	defer slow.Stop()
	for waiting := true; waiting; {
		select {
		case <-w.done:
			waiting = false
		case <-slow.C:
			if borrow {
				b.borrowIfMissing(organisation)
			}
		case <-ctx.Done():
			b.cancelWait(organisation, w)
			waiting = false
		}
	}
	if w.err != nil {
		return Reservation{}, w.err
	}
	return w.reservation(r), nil
}

// reservation returns r, without tokens if the organisation had no budget when it was decided.
func (w *waiter) reservation(r Reservation) Reservation {
	if w.unlimited {
		r.Tokens = 0
	}
	return r
}

// reserve reserves tokens, refuses, or queues the reservation and reports whether it did. It asks other instances for tokens
// only if borrow is set.
func (b *Book) reserve(organisation string, w *waiter, borrow bool) (queued bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	if a.paid == table.Unlimited {
		w.unlimited = true
		return false, nil
	}
	a.recordRequest(w.tokens, b.Now())
	if len(a.waiters) == 0 && b.tryReserve(a, w.tokens) {
		b.notifyIfDue(organisation, a)
		return false, nil
	}
	refused := b.refusal(a, w)
	// Holders do not lend what is left for resumed streams.
	borrow = borrow && (!w.resumes || refused != nil || a.unreserved+a.grantable(false) >= w.tokens)
	borrowing := borrow && (refused != nil || !b.drawsAhead(a)) && b.tryBorrowing(a, a.demand()+w.tokens-b.spendable(a))
	if refused != nil && !borrowing {
		a.usage.add(-w.tokens, b.Now()) // what is not served is no usage
		return false, refused
	}
	w.done = make(chan struct{})
	a.waiters = append(a.waiters, w)
	switch {
	case a.demand() <= a.unreserved:
		b.OnPromiseBlocking()
	case !borrowing:
		b.OnAdjustmentDue(organisation, true)
	}
	return true, nil
}

// recordRequest adds a request to the measured usage.
func (a *account) recordRequest(tokens int64, now time.Time) {
	a.usage.add(tokens, now)
	if a.requestSize == 0 {
		a.requestSize = float64(tokens)
	}
	a.requestSize += (float64(tokens) - a.requestSize) / requestSizeDivisor
}

// requestSizeDivisor is the reciprocal of the weight of one request in the moving average of their size.
const requestSizeDivisor = 16

// tryReserve reserves tokens from the instance's holding and reports whether it covers them.
func (b *Book) tryReserve(a *account, tokens int64) bool {
	if a.overgranted() || b.spendable(a) < tokens {
		return false
	}
	a.unreserved -= tokens
	a.reserved += tokens
	return true
}

// demand returns the sum of the tokens that reservations wait for.
func (a *account) demand() int64 {
	var sum int64
	for _, w := range a.waiters {
		sum += w.tokens
	}
	return sum
}

// serveWaiters makes or refuses waiting reservations in order, up to the first that must keep
// waiting.
func (b *Book) serveWaiters(a *account) {
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		if a.paid == table.Unlimited {
			w.unlimited = true
		} else if !b.tryReserve(a, w.tokens) {
			refused := b.refusal(a, w)
			if refused == nil || a.borrowing.active {
				return
			}
			b.refuse(a, w, refused)
		}
		a.waiters = a.waiters[1:]
		close(w.done)
	}
}

// cancelWait removes a reservation that timed out. A reservation that was decided in the meantime
// keeps its result.
func (b *Book) cancelWait(organisation string, w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	refused := b.refusal(a, w)
	if refused == nil {
		refused = codes.Refuse(codes.BudgetElsewhere, RetryAfterLogUnavailable, "%d tokens are left but could not be drawn from the log in time", a.ungranted())
	}
	b.refuse(a, w, refused)
	b.serveWaiters(a)
}

// refuse decides a waiting reservation, which then no longer counts as usage.
func (b *Book) refuse(a *account, w *waiter, refused *codes.Error) {
	w.err = refused
	a.usage.add(-w.tokens, b.Now())
}

// refusal returns the error for a reservation that the instance's holding does not cover, nil if it
// may wait.
func (b *Book) refusal(a *account, w *waiter) *codes.Error {
	switch {
	case a.unknown && a.unreserved < w.tokens:
		b.OnStaleRefusal(a.organisation)
		return codes.Refuse(codes.LedgerStale, RetryAfterElsewhere, "the record of the budget can't be decoded")
	case b.loaded && a.unreserved+a.grantable(w.resumes) < w.tokens:
		return b.refuseUncovered(a, w)
	case !b.loaded:
		return codes.Refuse(codes.LedgerStale, RetryAfterLogUnavailable, "the budgets have not been read yet")
	case !b.LogReachable(a.organisation):
		return codes.Refuse(codes.LogUnavailable, RetryAfterLogUnavailable, "%d tokens are left but the log is unreachable", a.ungranted())
	case a.unreserved+b.drawable(a, w.resumes) < w.tokens:
		return codes.Refuse(codes.BudgetElsewhere, RetryAfterElsewhere, "%d tokens are left but may not be drawn yet, in case the log is restored", a.ungranted())
	default:
		return nil
	}
}

// recordAvailable updates the peak of the tokens that one request could reserve.
func (b *Book) recordAvailable(a *account) {
	a.availablePeak.record(a.unreserved+a.grantable(false), b.Now())
}

// refuseUncovered returns the refusal of a reservation that neither the instance's holding nor the
// log covers. The refusal is permanent if this has been so for ExhaustionDelay, in which other
// instances had time to return tokens that they do not need.
func (b *Book) refuseUncovered(a *account, w *waiter) *codes.Error {
	b.OnStaleRefusal(a.organisation)
	available := a.unreserved + a.grantable(w.resumes)
	peak := a.availablePeak.value(b.Now()) + a.grantable(w.resumes) - a.grantable(false)
	if b.LogReachable(a.organisation) && w.tokens > peak {
		return codes.Refuse(codes.BudgetExhausted, 0, "%d of %d tokens are left, the request may use %d; top up the budget",
			available, a.paid, w.tokens)
	}
	return codes.Refuse(codes.BudgetElsewhere, RetryAfterElsewhere,
		"%d of %d tokens are left here, the request may use %d; other instances may hold more", available, a.paid, w.tokens)
}

// Settle ends a reservation: used tokens are spent and the rest becomes unreserved again.
func (b *Book) Settle(r Reservation, used int64) {
	if r.Tokens == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	used = min(max(used, 0), r.Tokens)
	a := b.account(r.Organisation)
	a.billed += used
	b.end(a, r, used)
}

// end ends a reservation of which a part was spent or lent.
func (b *Book) end(a *account, r Reservation, used int64) {
	a.reserved -= r.Tokens
	a.unreserved += r.Tokens - used
	a.usage.add(used-r.Tokens, b.Now())
	b.recordAvailable(a)
	b.serveWaiters(a)
	b.notifyIfDue(r.Organisation, a)
}

// notifyIfDue calls OnAdjustmentDue if the holding should change.
func (b *Book) notifyIfDue(organisation string, a *account) {
	if b.adjustment(a) != 0 || b.recordDue(a) {
		b.OnAdjustmentDue(organisation, false)
	}
}

// SetInstanceCount sets the number of instances that ever registered in the log.
func (b *Book) SetInstanceCount(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instanceCount = int64(count)
}

// InstanceCount returns the number of instances that ever registered in the log; 0 while it is unknown.
func (b *Book) InstanceCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instanceCount
}

// hasDrawn reports whether the instances are counted, and this one has drawn tokens of an organisation.
func (b *Book) hasDrawn(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instanceCount > 0 && b.account(organisation).drawn
}

// BeginAdjustment returns the number of tokens by which the holding of an organisation should
// change: positive to draw from the log, negative to return. Returned tokens are no longer available;
// AbortAdjustment restores them if the return was not recorded.
func (b *Book) BeginAdjustment(organisation string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	adjustment := b.adjustment(a)
	if adjustment < 0 {
		a.unreserved += adjustment
	}
	return adjustment
}

// Waiting reports whether reservations of one of the organisations wait for tokens.
func (b *Book) Waiting(organisations []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, organisation := range organisations {
		if a := b.accounts[budgetName(organisation)]; a != nil && len(a.waiters) > 0 {
			return true
		}
	}
	return false
}

// AdjustmentDue reports whether the holding of an organisation should change, or its record.
func (b *Book) AdjustmentDue(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	return b.adjustment(a) != 0 || b.recordDue(a)
}

// RecordDue reports whether the record of an organisation should be written without a change of the holding.
func (b *Book) RecordDue(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recordDue(b.account(organisation))
}

// CommitAdjustment completes an adjustment that was recorded in the log.
func (b *Book) CommitAdjustment(organisation string, adjustment int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	if adjustment > 0 {
		a.unreserved += adjustment
		a.drawn = true
		b.recordAvailable(a)
		b.serveWaiters(a)
	}
}

// AbortAdjustment reverts an adjustment that was not recorded in the log and never will be.
func (b *Book) AbortAdjustment(organisation string, adjustment int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if adjustment < 0 {
		a := b.account(organisation)
		a.unreserved -= adjustment
		b.serveWaiters(a)
	}
}

// SetLoaded marks the state of the log as read.
func (b *Book) SetLoaded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
	for _, a := range b.accounts {
		a.availablePeak.record(a.paid, b.Now()) // what other instances hold is not known yet
	}
	b.serveAllWaiters()
}

// ServeWaiters re-evaluates the waiting reservations of an organisation.
func (b *Book) ServeWaiters(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[budgetName(organisation)]; a != nil {
		b.serveWaiters(a)
	}
}

// ServeAllWaiters re-evaluates all waiting reservations.
func (b *Book) ServeAllWaiters() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serveAllWaiters()
}

// serveAllWaiters makes or refuses the waiting reservations of each organisation in order, up to the
// first that must keep waiting. The caller holds the lock.
func (b *Book) serveAllWaiters() {
	for _, a := range b.accounts {
		b.serveWaiters(a)
	}
}

// SetCover changes the duration of usual usage that a holding covers.
func (b *Book) SetCover(cover time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Cover = cover
}

// Stop ends further draws and makes the unreserved tokens of each budget due for return, except
// promised tokens and those of a budget with waiting reservations. It does not refuse waiting
// reservations.
func (b *Book) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopping = true
}

// Loaded reports whether the state of the log was read.
func (b *Book) Loaded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loaded
}
