package ledger

import (
	"slices"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/tail"
)

// Times of the book.
const (
	// IdleReturn is the time without use after which an allowance without a target is given back.
	IdleReturn = 30 * time.Second
	// LostEvery is how often the holdings of ended incarnations are added up.
	LostEvery = time.Second
	// LoanReturn is the time after which what is left of loans is given back to the budget.
	LoanReturn = time.Second
	// RetryLogDown is when to come back to a budget whose rest can't be drawn now.
	RetryLogDown = 2 * time.Second
	// RetryExhausted is when to come back to a budget that needs a top-up first.
	RetryExhausted = 10 * time.Second
	// RetryHeld is when to come back to a budget whose rest is held for requests in flight.
	RetryHeld = time.Second
)

// Need is what one request needs of a budget before it is dispatched.
type Need struct {
	// Budget is the key of the budget.
	Budget string
	// Request and Digest identify the request for billing.
	Request string
	Digest  uint64
	// Tokens is the most that the request may use; Least is the fewest that are of use to it.
	Tokens, Least int64
}

// Grant is what a request may use. It is settled or freed exactly once.
type Grant struct {
	Need
	// ID identifies the grant within the book.
	ID int64
	// From tells whose holdings cover the grant.
	From []Part
}

// Covers returns the tokens that the request may use.
func (g Grant) Covers() int64 {
	var sum int64
	for _, p := range g.From {
		sum += p.Tokens
	}
	return sum
}

// Answer is the decision on a need: a grant, or the refusal.
type Answer struct {
	ID      int64
	Grant   Grant
	Refused *codes.Error
}

// account is the local state of one budget.
type account struct {
	// lent is the part of the own holding that peers may spend.
	lent int64
	// reserved is the part of the own holding that grants cover.
	reserved int64
	// settling is the part of the own holding that charges and returns not yet read back cover.
	settling int64
	// loans are tokens of other holders that this instance may spend.
	loans map[string]int64
	// drawing is when the outstanding draw was sent; zero when there is none.
	drawing time.Time
	// borrowing is whether peers are being asked, and borrowed when they last were.
	borrowing bool
	borrowed  time.Time
	waiting   []wait
	// lost are tokens of incarnations that seem to have ended, as of lostAt.
	lost    int64
	lostAt  time.Time
	use     meter
	lastUse time.Time
}

// wait is a need that waits for tokens.
type wait struct {
	id       int64
	need     Need
	deadline time.Time
	// drawn and asked tell what was tried for this need.
	drawn, asked bool
}

// sentItem is an item that was sent and not yet read back.
type sentItem struct {
	kind   string
	budget string
	from   []Part
}

// Book is the instance's side of a ledger stream: what its incarnation may spend,
// what is reserved for requests in flight, and how much to draw, lend and return.
// It is not safe for concurrent use. Exported fields are set before the first call.
type Book struct {
	// Inc is the incarnation of this process.
	Inc string
	// Fold is the folded stream.
	Fold *Fold
	// Now returns the time; it only ever steers, no promise depends on it.
	Now func() time.Time
	// Send writes items to the stream.
	Send func(items ...tail.Item)
	// Borrow asks peers for a loan; the answer comes back through Borrowed. Optional.
	Borrow func(l Loan)
	// Decided is told of the decision on a need that had to wait.
	Decided func(a Answer)
	// Policy returns the policy of a budget.
	Policy func(budget string) Policy
	// Instances returns the number of live instances, a hint.
	Instances func() int
	// Live reports whether an incarnation seems to run, a hint; by default all do.
	Live func(inc string) bool
	// Wait is how long a need may wait for a draw or a loan.
	Wait time.Duration

	accounts map[string]*account
	loans    map[loanKey]lastLoan
	// order holds the budgets of the accounts; cursor is the one that Tick looked at last, and
	// checked the one that CheckNext did.
	order           []string
	cursor, checked int
	// waits are the budgets with needs that wait.
	waits    map[string]bool
	grants   map[int64]Grant
	pending  []sentItem
	done     uint64
	nextID   int64
	logDown  bool
	stopping bool
	closed   bool
	ready    bool
}

// String names the book for logs.
func (b *Book) String() string { return "book of " + b.Inc }

// Default fills fields that were left empty.
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
	if b.Decided == nil {
		b.Decided = func(Answer) {}
	}
	if b.Wait == 0 {
		b.Wait = 400 * time.Millisecond
	}
	b.accounts = map[string]*account{}
	b.loans = map[loanKey]lastLoan{}
	b.grants = map[int64]Grant{}
	b.waits = map[string]bool{}
}

// SetReady tells whether the folded state is usable.
func (b *Book) SetReady(ready bool) { b.ready = ready }

// SetLog tells whether the platform's log is in reach.
func (b *Book) SetLog(reached bool) { b.logDown = !reached }

func (b *Book) account(budget string) *account {
	a := b.accounts[budget]
	if a == nil {
		a = &account{loans: map[string]int64{}}
		b.accounts[budget] = a
		b.order = append(b.order, budget)
	}
	return a
}

// own returns the tokens of the own holding that are not bound.
func (b *Book) own(budget string, a *account) int64 {
	folded := b.Fold.Budgets[budget]
	if folded == nil {
		return 0
	}
	return folded.HeldBy(b.Inc) - a.lent - a.reserved - a.settling
}

// Spendable returns the tokens of a budget that a request could be granted now.
func (b *Book) Spendable(budget string) int64 {
	a := b.accounts[budget]
	if a == nil {
		a = &account{}
	}
	return b.own(budget, a) + a.borrowedTokens()
}

func (a *account) borrowedTokens() int64 {
	var sum int64
	for _, tokens := range a.loans {
		sum += tokens
	}
	return sum
}

// Reserve decides on a need. It returns false when the decision has to wait; it then
// comes through Decided with the same id.
func (b *Book) Reserve(n Need) (Answer, bool) {
	b.nextID++
	id := b.nextID
	if refused := b.refuseAtOnce(n); refused != nil {
		return Answer{ID: id, Refused: refused}, true
	}
	a := b.account(n.Budget)
	a.lastUse = b.Now()
	if len(a.waiting) == 0 {
		if g, ok := b.grant(id, n, n.Tokens); ok {
			b.refill(n.Budget, a)
			return Answer{ID: id, Grant: g}, true
		}
	}
	b.waits[n.Budget] = true
	a.waiting = append(a.waiting, wait{id: id, need: n, deadline: b.Now().Add(b.Wait)})
	if answer, decided := b.serve(n.Budget, a, id); decided {
		return answer, true
	}
	return Answer{ID: id}, false
}

// refuseAtOnce returns the refusal of a need that no draw or loan can meet.
func (b *Book) refuseAtOnce(n Need) *codes.Error {
	folded := b.Fold.Budgets[n.Budget]
	switch {
	case !b.ready:
		return codes.Refuse(codes.LedgerStale, RetryLogDown, "the ledger is still being read; try another instance")
	case b.stopping:
		return codes.Refuse(codes.Stopping, RetryHeld, "send the request again; another instance takes it")
	case n.Tokens <= 0 || n.Least <= 0 || n.Least > n.Tokens:
		return codes.Refuse(codes.BadRequest, 0, "a request needs at least one token, not %d of %d", n.Least, n.Tokens)
	case folded == nil:
		return codes.Refuse(codes.BudgetUnknown, RetryHeld, "budget %s was never topped up, as far as this instance has read the log", n.Budget)
	}
	return nil
}

// grant reserves between need.Least and tokens from the own holding and from loans.
func (b *Book) grant(id int64, n Need, least int64) (Grant, bool) {
	a := b.account(n.Budget)
	own := max(b.own(n.Budget, a), 0)
	if own+a.borrowedTokens() < least {
		return Grant{}, false
	}
	g := Grant{Need: n, ID: id}
	rest := n.Tokens
	if take := min(own, rest); take > 0 {
		a.reserved += take
		rest -= take
		g.From = append(g.From, Part{Holder: b.Inc, Tokens: take})
	}
	for _, holder := range sortedKeys(a.loans) {
		take := min(a.loans[holder], rest)
		if take <= 0 {
			continue
		}
		a.loans[holder] -= take
		rest -= take
		g.From = append(g.From, Part{Holder: holder, Tokens: take})
	}
	b.grants[id] = g
	return g, true
}

// serve grants what waits as far as tokens are there, and gets more for the rest. It
// returns the answer for the need with the id own instead of telling Decided.
func (b *Book) serve(budget string, a *account, own int64) (Answer, bool) {
	var answer Answer
	found := false
	for len(a.waiting) > 0 {
		decided, ok := b.decide(budget, a, &a.waiting[0])
		if !ok {
			break
		}
		a.waiting = slices.Delete(a.waiting, 0, 1)
		if decided.ID == own {
			answer, found = decided, true
			continue
		}
		b.Decided(decided)
	}
	return answer, found
}

// decide returns the answer to the first need that waits, or gets tokens for it.
func (b *Book) decide(budget string, a *account, w *wait) (Answer, bool) {
	if g, ok := b.grant(w.id, w.need, w.need.Tokens); ok {
		return Answer{ID: w.id, Grant: g}, true
	}
	late := b.Now().After(w.deadline)
	if !late && b.getMore(budget, a, w) {
		return Answer{}, false
	}
	if g, ok := b.grant(w.id, w.need, w.need.Least); ok {
		return Answer{ID: w.id, Grant: g}, true
	}
	return Answer{ID: w.id, Refused: b.refusal(budget, w.need)}, true
}

// getMore draws or borrows for a need and reports whether there is something to wait
// for. A draw that takes more than half of the wait counts as slow: peers are then asked
// beside it.
func (b *Book) getMore(budget string, a *account, w *wait) bool {
	drawing := b.drawFor(budget, a, w)
	slow := !b.Now().Before(w.deadline.Add(-b.Wait / 2))
	if drawing && !slow {
		return true
	}
	return b.borrowFor(budget, a, w) || drawing
}

// drawFor draws for a need, once, and reports whether a draw is under way.
func (b *Book) drawFor(budget string, a *account, w *wait) bool {
	switch {
	case b.logDown:
		return false
	case !a.drawing.IsZero():
		return true
	case w.drawn || b.Fold.Budgets[budget].Free() <= 0:
		return false
	}
	w.drawn = true
	b.draw(budget, a, max(w.need.Tokens-b.Spendable(budget), b.shortfall(budget, a)))
	return !a.drawing.IsZero()
}

// refusal tells whether a need is refused for good or for now.
func (b *Book) refusal(budget string, n Need) *codes.Error {
	folded := b.Fold.Budgets[budget]
	left := folded.Free() + folded.Held
	switch {
	case left < n.Least:
		return codes.Refuse(codes.BudgetExhausted, RetryExhausted, "%d tokens are left, the request may use %d; top up the budget", left, n.Tokens)
	case b.logDown:
		return codes.Refuse(codes.BudgetElsewhere, RetryLogDown, "%d tokens are left but the log is out of reach", left)
	default:
		return codes.Refuse(codes.BudgetElsewhere, RetryHeld, "%d tokens are left, held by other instances or requests in flight", left)
	}
}

// Settle bills a granted request for the tokens it used and frees the rest.
func (b *Book) Settle(id, used int64) {
	g, ok := b.grants[id]
	if !ok {
		return
	}
	used = min(max(used, 0), g.Covers())
	if used == 0 {
		b.Free(id)
		return
	}
	delete(b.grants, id)
	a := b.account(g.Budget)
	a.use.add(used, b.Now())
	from := b.bind(a, g, used)
	b.send(sentItem{kind: KindCharge, budget: g.Budget, from: from},
		Charge{Budget: g.Budget, Request: g.Request, Digest: g.Digest, Tokens: used, From: b.written(from)})
	b.serve(g.Budget, a, 0)
}

// written returns parts as a record has them, with the own holding left unnamed.
func (b *Book) written(parts []Part) []Part {
	parts = slices.Clone(parts)
	for i := range parts {
		if parts[i].Holder == b.Inc {
			parts[i].Holder = ""
		}
	}
	return parts
}

// bind moves used tokens of a grant to what is being settled and frees the rest.
func (b *Book) bind(a *account, g Grant, used int64) []Part {
	var from []Part
	for _, p := range g.From {
		take := min(p.Tokens, used)
		used -= take
		if take > 0 {
			from = append(from, Part{Holder: p.Holder, Tokens: take})
		}
		if p.Holder == b.Inc {
			a.reserved -= p.Tokens
			a.settling += take
			continue
		}
		a.loans[p.Holder] += p.Tokens - take
	}
	return from
}

// Free gives back the tokens of a granted request that did not run.
func (b *Book) Free(id int64) {
	g, ok := b.grants[id]
	if !ok {
		return
	}
	delete(b.grants, id)
	a := b.account(g.Budget)
	b.bind(a, g, 0)
	b.serve(g.Budget, a, 0)
}

// send writes an item and remembers it until it was read back. After Bye it does
// nothing, because the stream takes nothing more from this incarnation.
func (b *Book) send(item sentItem, body any) {
	if b.closed {
		return
	}
	b.pending = append(b.pending, item)
	b.Send(tail.NewItem(item.kind, body))
}

// TopUp sends a top-up; its result comes with the batch that carries it.
func (b *Book) TopUp(m TopUp) { b.send(sentItem{kind: KindTopUp, budget: m.Budget}, m) }

// Apply folds one batch and takes note of what it means for this instance.
func (b *Book) Apply(batch tail.Batch) ([]Result, error) {
	results, err := b.Fold.Apply(batch.Inc, batch.Items)
	if err != nil {
		return nil, err
	}
	touched := map[string]bool{}
	for _, r := range results {
		if batch.Inc == b.Inc {
			b.noteOwn(r)
		} else {
			b.noteOther(r)
		}
		touched[r.Budget] = true
	}
	for _, budget := range sortedKeys(touched) {
		if a := b.accounts[budget]; a != nil {
			b.serve(budget, a, 0)
		}
	}
	return results, nil
}

// noteOther takes into account what a peer took from tokens that it was lent.
func (b *Book) noteOther(r Result) {
	a := b.accounts[r.Budget]
	if a == nil {
		return
	}
	for _, p := range r.Taken {
		if p.Holder == b.Inc {
			a.lent -= p.Tokens
		}
	}
}

// noteOwn takes the result of the oldest pending item into account.
func (b *Book) noteOwn(r Result) {
	item := b.pop()
	for _, p := range r.Taken {
		if p.Holder != b.Inc && item.kind == KindCharge {
			b.account(item.budget).loans[p.Holder] -= p.Tokens
		}
	}
}

// pop removes the oldest pending item and unbinds what it had bound. What it took
// from the own holding is already gone from the fold.
func (b *Book) pop() sentItem {
	item := b.pending[0]
	b.pending = b.pending[1:]
	b.done++
	if item.kind == KindBye {
		return item
	}
	a := b.account(item.budget)
	if item.kind == KindDraw {
		a.drawing = time.Time{}
	}
	for _, p := range item.from {
		if p.Holder == b.Inc {
			a.settling -= p.Tokens
			continue
		}
		a.loans[p.Holder] += p.Tokens
	}
	return item
}

// Restore replaces the folded state by a later one. Own items that it contains are
// taken as done; where their result is not known, the tokens count as spent.
func (b *Book) Restore(state []byte) error {
	if err := b.Fold.Load(state); err != nil {
		return err
	}
	for b.done < b.Fold.Applied[b.Inc] && len(b.pending) > 0 {
		item := b.pop()
		for _, p := range item.from {
			if p.Holder != b.Inc {
				b.account(item.budget).loans[p.Holder] -= p.Tokens
			}
		}
	}
	for budget, a := range b.accounts {
		b.capLent(budget, a)
	}
	return nil
}
