package ledger

import (
	"slices"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/tail"
)

// Intervals and retry delays.
const (
	// IdleReturnDelay is the time without use after which an allowance whose target is 0 is returned to the budget.
	IdleReturnDelay = 30 * time.Second
	// StrandedScanInterval is the interval at which the holdings of ended incarnations are summed.
	StrandedScanInterval = time.Second
	// LoanReturnDelay is the time after the last loan request after which unused loans are returned to the budget.
	LoanReturnDelay = time.Second
	// RetryLogDown is the retry delay for a budget whose remaining tokens can't be drawn because the log is
	// unreachable or not yet read.
	RetryLogDown = 2 * time.Second
	// RetryExhausted is the retry delay for a budget that needs a top-up first.
	RetryExhausted = 10 * time.Second
	// RetrySoon is the retry delay when the cause is usually gone within about a second: tokens that are held for requests
	// in flight or by other instances, a stopping instance, or a top-up that is not yet read.
	RetrySoon = time.Second
)

// ReserveRequest is the reservation that one request requires from a budget before it is dispatched.
type ReserveRequest struct {
	// Budget is the key of the budget.
	Budget string
	// Request and Digest identify the request for billing.
	Request string
	Digest  uint64
	// Tokens is the maximum that the request may use; Least is the minimum that it can run with.
	Tokens, Least int64
}

// Reservation holds the tokens that are reserved for a request. It is settled or released exactly once.
type Reservation struct {
	ReserveRequest
	// ID identifies the reservation within the book.
	ID int64
	// From lists the holdings that cover the reservation.
	From []Part
}

// CoveredTokens returns the tokens that the request may use.
func (r Reservation) CoveredTokens() int64 {
	var sum int64
	for _, p := range r.From {
		sum += p.Tokens
	}
	return sum
}

// Decision is the decision on a reservation request: a reservation, or the refusal.
type Decision struct {
	ID          int64
	Reservation Reservation
	Refused     *codes.Error
}

// account is the local state of one budget.
type account struct {
	// lent is the part of this incarnation's holding that peers may spend.
	lent int64
	// reserved is the part of this incarnation's holding that is reserved for requests in flight.
	reserved int64
	// unconfirmed is the part of this incarnation's holding that is taken by charges and returns which are not yet
	// read back.
	unconfirmed int64
	// loans are the tokens of other holders that this instance may spend, by holder.
	loans map[string]int64
	// drawSentAt is when the outstanding draw was sent; zero when none is outstanding.
	drawSentAt time.Time
	// borrowing is whether a loan request is outstanding, and borrowedAt when the last one was sent.
	borrowing  bool
	borrowedAt time.Time
	waiting    []waiter
	// stranded is the number of tokens held by incarnations that seem to have ended, as of strandedAt.
	stranded   int64
	strandedAt time.Time
	usage      usageMeter
	lastUsedAt time.Time
}

// waiter is a reservation request that waits for tokens.
type waiter struct {
	id       int64
	request  ReserveRequest
	deadline time.Time
	// drawSent and loanRequested report what was already tried for the request.
	drawSent, loanRequested bool
}

// pendingItem is an item that was sent and not yet read back.
type pendingItem struct {
	kind   string
	budget string
	from   []Part
}

// Book holds the local accounts of one instance on a ledger stream: the tokens that its
// incarnation may spend, the reservations of requests in flight, and how much to draw, lend and return.
// It is not safe for concurrent use. Exported fields are set before the first call.
type Book struct {
	// Incarnation is the incarnation of this process.
	Incarnation string
	// Fold is the folded stream.
	Fold *Fold
	// Now returns the time. It affects only when the book acts; no guarantee depends on it.
	Now func() time.Time
	// Send writes items to the stream.
	Send func(items ...tail.Item)
	// Borrow requests a loan from peers; the reply is passed to ReceiveLoan or ReceiveLoans. Optional.
	Borrow func(l LoanRequest)
	// OnDecision is called with the decision on a reservation request that had to wait.
	OnDecision func(a Decision)
	// Policy returns the policy of a budget.
	Policy func(budget string) Policy
	// Instances returns the number of live instances. It is a hint and may be wrong.
	Instances func() int
	// Live reports whether an incarnation seems to run. It is a hint and may be wrong; if nil, all are
	// taken as running.
	Live func(inc string) bool
	// MaxWait is the maximum time that a reservation request waits for a draw or a loan.
	MaxWait time.Duration

	accounts map[string]*account
	loans    map[loanKey]knownLoans
	// budgets holds the keys of accounts. tickCursor is the index that Tick processed last, and
	// checkCursor the one that CheckNext checked last.
	budgets                 []string
	tickCursor, checkCursor int
	// waitingBudgets is the set of budgets with waiting reservation requests.
	waitingBudgets map[string]bool
	reservations   map[int64]Reservation
	pending        []pendingItem
	readBackCount  uint64
	nextID         int64
	logDown        bool
	stopping       bool
	closed         bool
	ready          bool
}

// String returns the name of the book for logs.
func (b *Book) String() string { return "book of " + b.Incarnation }

// Default sets default values for fields that are not set.
func (b *Book) Default() {
	if b.Fold == nil {
		b.Fold = New()
	}
	if b.Policy == nil {
		b.Policy = func(string) Policy { return DefaultPolicy() }
	}
	if b.Instances == nil {
		b.Instances = func() int { return 1 }
	}
	if b.OnDecision == nil {
		b.OnDecision = func(Decision) {}
	}
	if b.MaxWait == 0 {
		b.MaxWait = 400 * time.Millisecond
	}
	b.accounts = map[string]*account{}
	b.loans = map[loanKey]knownLoans{}
	b.reservations = map[int64]Reservation{}
	b.waitingBudgets = map[string]bool{}
}

// SetReady sets whether the folded state is usable.
func (b *Book) SetReady(ready bool) { b.ready = ready }

// SetLogReachable sets whether the platform's log is reachable.
func (b *Book) SetLogReachable(reachable bool) { b.logDown = !reachable }

func (b *Book) account(budget string) *account {
	a := b.accounts[budget]
	if a == nil {
		a = &account{loans: map[string]int64{}}
		b.accounts[budget] = a
		b.budgets = append(b.budgets, budget)
	}
	return a
}

// availableHolding returns the tokens held by this incarnation that are neither lent, reserved nor unconfirmed.
func (b *Book) availableHolding(budget string, a *account) int64 {
	state := b.Fold.Budgets[budget]
	if state == nil {
		return 0
	}
	return state.HeldBy(b.Incarnation) - a.lent - a.reserved - a.unconfirmed
}

// Spendable returns the tokens of a budget that can be granted to a request now.
func (b *Book) Spendable(budget string) int64 {
	a := b.accounts[budget]
	if a == nil {
		a = &account{}
	}
	return b.availableHolding(budget, a) + a.loanTokens()
}

func (a *account) loanTokens() int64 {
	var sum int64
	for _, tokens := range a.loans {
		sum += tokens
	}
	return sum
}

// Reserve decides on a reservation request. It returns false when the request has to wait; OnDecision is then called
// with the decision and the same id.
func (b *Book) Reserve(n ReserveRequest) (Decision, bool) {
	b.nextID++
	id := b.nextID
	if refusal := b.refuseImmediately(n); refusal != nil {
		return Decision{ID: id, Refused: refusal}, true
	}
	a := b.account(n.Budget)
	a.lastUsedAt = b.Now()
	if len(a.waiting) == 0 {
		if r, ok := b.tryReserve(id, n, n.Tokens); ok {
			b.refill(n.Budget, a)
			return Decision{ID: id, Reservation: r}, true
		}
	}
	b.waitingBudgets[n.Budget] = true
	a.waiting = append(a.waiting, waiter{id: id, request: n, deadline: b.Now().Add(b.MaxWait)})
	if decision, decided := b.serveWaiters(n.Budget, a, id); decided {
		return decision, true
	}
	return Decision{ID: id}, false
}

// refuseImmediately returns the refusal of a reservation request that no draw or loan can satisfy, or nil.
func (b *Book) refuseImmediately(n ReserveRequest) *codes.Error {
	state := b.Fold.Budgets[n.Budget]
	switch {
	case !b.ready:
		return codes.Refuse(codes.LedgerStale, RetryLogDown, "this instance has no current state of the ledger: it is still reading the log or stopped at a record that it can't process; try another instance")
	case b.stopping:
		return codes.Refuse(codes.Stopping, RetrySoon, "retry the request; another instance takes it")
	case n.Tokens <= 0 || n.Least <= 0 || n.Least > n.Tokens:
		return codes.Refuse(codes.BadRequest, 0, "a request needs at least one token, not %d of %d", n.Least, n.Tokens)
	case state == nil:
		return codes.Refuse(codes.BudgetUnknown, RetrySoon, "budget %s was never topped up, as far as this instance has read the log", n.Budget)
	}
	return nil
}

// tryReserve reserves up to n.Tokens from this incarnation's holding and from loans. It returns false when fewer
// than least tokens are available.
func (b *Book) tryReserve(id int64, n ReserveRequest, least int64) (Reservation, bool) {
	a := b.account(n.Budget)
	own := max(b.availableHolding(n.Budget, a), 0)
	if own+a.loanTokens() < least {
		return Reservation{}, false
	}
	r := Reservation{ReserveRequest: n, ID: id}
	rest := n.Tokens
	if take := min(own, rest); take > 0 {
		a.reserved += take
		rest -= take
		r.From = append(r.From, Part{Holder: b.Incarnation, Tokens: take})
	}
	for _, holder := range sortedKeys(a.loans) {
		take := min(a.loans[holder], rest)
		if take <= 0 {
			continue
		}
		a.loans[holder] -= take
		rest -= take
		r.From = append(r.From, Part{Holder: holder, Tokens: take})
	}
	b.reservations[id] = r
	return r, true
}

// serveWaiters decides on the waiting requests in their order until one has to wait for a draw or a loan. It
// returns the decision on the request with the id callerID instead of passing it to OnDecision.
func (b *Book) serveWaiters(budget string, a *account, callerID int64) (Decision, bool) {
	var decision Decision
	found := false
	for len(a.waiting) > 0 {
		decided, ok := b.decide(budget, a, &a.waiting[0])
		if !ok {
			break
		}
		a.waiting = slices.Delete(a.waiting, 0, 1)
		if decided.ID == callerID {
			decision, found = decided, true
			continue
		}
		b.OnDecision(decided)
	}
	return decision, found
}

// decide returns the decision on the first waiting request, or requests tokens for it and returns false.
func (b *Book) decide(budget string, a *account, w *waiter) (Decision, bool) {
	if r, ok := b.tryReserve(w.id, w.request, w.request.Tokens); ok {
		return Decision{ID: w.id, Reservation: r}, true
	}
	expired := b.Now().After(w.deadline)
	if !expired && b.requestTokens(budget, a, w) {
		return Decision{}, false
	}
	if g, ok := b.tryReserve(w.id, w.request, w.request.Least); ok {
		return Decision{ID: w.id, Reservation: g}, true
	}
	return Decision{ID: w.id, Refused: b.refusal(budget, w.request)}, true
}

// requestTokens draws or borrows for a waiting request and reports whether a draw or a loan is outstanding. A draw that
// takes more than half of MaxWait counts as slow: a loan is then requested in parallel.
func (b *Book) requestTokens(budget string, a *account, w *waiter) bool {
	drawing := b.drawFor(budget, a, w)
	slow := !b.Now().Before(w.deadline.Add(-b.MaxWait / 2))
	if drawing && !slow {
		return true
	}
	return b.borrowFor(budget, a, w) || drawing
}

// drawFor sends at most one draw for a waiting request and reports whether a draw is outstanding.
func (b *Book) drawFor(budget string, a *account, w *waiter) bool {
	switch {
	case b.logDown:
		return false
	case !a.drawSentAt.IsZero():
		return true
	case w.drawSent || b.Fold.Budgets[budget].Free() <= 0:
		return false
	}
	w.drawSent = true
	b.draw(budget, a, max(w.request.Tokens-b.Spendable(budget), b.shortfall(budget, a)))
	return !a.drawSentAt.IsZero()
}

// refusal returns the error for a reservation request that can't be granted: the budget is exhausted, or its remaining
// tokens are temporarily unavailable to this instance.
func (b *Book) refusal(budget string, n ReserveRequest) *codes.Error {
	state := b.Fold.Budgets[budget]
	left := state.Free() + state.Held
	switch {
	case left < n.Least:
		return codes.Refuse(codes.BudgetExhausted, RetryExhausted, "%d tokens are left, the request may use %d; top up the budget", left, n.Tokens)
	case b.logDown:
		return codes.Refuse(codes.BudgetElsewhere, RetryLogDown, "%d tokens are left but the log is unreachable", left)
	default:
		return codes.Refuse(codes.BudgetElsewhere, RetrySoon, "%d tokens are left, but they are held by other instances or requests in flight, or could not be drawn in time; retry the request", left)
	}
}

// Settle charges a granted request for the tokens it used and releases the rest.
func (b *Book) Settle(id, used int64) {
	r, ok := b.reservations[id]
	if !ok {
		return
	}
	used = min(max(used, 0), r.CoveredTokens())
	if used == 0 {
		b.Release(id)
		return
	}
	delete(b.reservations, id)
	a := b.account(r.Budget)
	a.usage.add(used, b.Now())
	from := b.endReservation(a, r, used)
	b.send(pendingItem{kind: KindCharge, budget: r.Budget, from: from},
		Charge{Budget: r.Budget, Request: r.Request, Digest: r.Digest, Tokens: used, From: b.recordParts(from)})
	b.serveWaiters(r.Budget, a, 0)
}

// recordParts returns parts in the form used in records, where an empty holder stands for the writer.
func (b *Book) recordParts(parts []Part) []Part {
	parts = slices.Clone(parts)
	for i := range parts {
		if parts[i].Holder == b.Incarnation {
			parts[i].Holder = ""
		}
	}
	return parts
}

// endReservation moves the used tokens of a reservation from reserved to unconfirmed and releases the rest. It returns
// the parts that cover the used tokens.
func (b *Book) endReservation(a *account, r Reservation, used int64) []Part {
	var from []Part
	for _, p := range r.From {
		take := min(p.Tokens, used)
		used -= take
		if take > 0 {
			from = append(from, Part{Holder: p.Holder, Tokens: take})
		}
		if p.Holder == b.Incarnation {
			a.reserved -= p.Tokens
			a.unconfirmed += take
			continue
		}
		a.loans[p.Holder] += p.Tokens - take
	}
	return from
}

// Release releases the tokens of a granted request that did not run.
func (b *Book) Release(id int64) {
	r, ok := b.reservations[id]
	if !ok {
		return
	}
	delete(b.reservations, id)
	a := b.account(r.Budget)
	b.endReservation(a, r, 0)
	b.serveWaiters(r.Budget, a, 0)
}

// send writes an item and keeps it as pending until it is read back. After CloseIncarnation it does nothing, because
// the stream accepts no further items of this incarnation.
func (b *Book) send(item pendingItem, body any) {
	if b.closed {
		return
	}
	b.pending = append(b.pending, item)
	b.Send(tail.NewItem(item.kind, body))
}

// TopUp sends a top-up. Apply returns its result with the batch that contains it.
func (b *Book) TopUp(m TopUp) { b.send(pendingItem{kind: KindTopUp, budget: m.Budget}, m) }

// Apply folds one batch and updates the local accounts.
func (b *Book) Apply(batch tail.Batch) ([]Result, error) {
	results, err := b.Fold.Apply(batch.Incarnation, batch.Items)
	if err != nil {
		return nil, err
	}
	touched := map[string]bool{}
	for _, r := range results {
		if batch.Incarnation == b.Incarnation {
			b.applyOwnResult(r)
		} else {
			b.applyPeerResult(r)
		}
		touched[r.Budget] = true
	}
	for _, budget := range sortedKeys(touched) {
		if a := b.accounts[budget]; a != nil {
			b.serveWaiters(budget, a, 0)
		}
	}
	return results, nil
}

// applyPeerResult subtracts from lent the tokens that a peer charged to, or returned from, a loan of this instance.
func (b *Book) applyPeerResult(r Result) {
	a := b.accounts[r.Budget]
	if a == nil {
		return
	}
	for _, p := range r.Taken {
		if p.Holder == b.Incarnation {
			a.lent -= p.Tokens
		}
	}
}

// applyOwnResult removes the oldest pending item and applies its result to the local accounts.
func (b *Book) applyOwnResult(r Result) {
	item := b.popPending()
	for _, p := range r.Taken {
		if p.Holder != b.Incarnation && item.kind == KindCharge {
			b.account(item.budget).loans[p.Holder] -= p.Tokens
		}
	}
}

// popPending removes the oldest pending item and ends its claim on the local accounts: its part of this incarnation's
// holding is no longer unconfirmed, because the fold has subtracted it, and its part of loans is added back. The caller
// subtracts from the loans what the item actually took.
func (b *Book) popPending() pendingItem {
	item := b.pending[0]
	b.pending = b.pending[1:]
	b.readBackCount++
	if item.kind == KindBye {
		return item
	}
	a := b.account(item.budget)
	if item.kind == KindDraw {
		a.drawSentAt = time.Time{}
	}
	for _, p := range item.from {
		if p.Holder == b.Incarnation {
			a.unconfirmed -= p.Tokens
			continue
		}
		a.loans[p.Holder] += p.Tokens
	}
	return item
}

// Restore replaces the folded state by a later one. Pending items of this incarnation that the state contains
// are removed; their results are not known, so the borrowed tokens that they took count as spent.
func (b *Book) Restore(state []byte) error {
	if err := b.Fold.Load(state); err != nil {
		return err
	}
	for b.readBackCount < b.Fold.Applied[b.Incarnation] && len(b.pending) > 0 {
		item := b.popPending()
		for _, p := range item.from {
			if p.Holder != b.Incarnation {
				b.account(item.budget).loans[p.Holder] -= p.Tokens
			}
		}
	}
	for budget, a := range b.accounts {
		b.capLent(budget, a)
	}
	return nil
}
