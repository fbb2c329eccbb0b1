package ledger

import "fmt"

// tickBudgets is the most budgets whose allowances one Tick looks at.
const tickBudgets = 512

// refillPart is the part of a target by which an allowance has to be short before it is
// drawn again: one in refillPart.
const refillPart = 8

// draw sends a draw of the tokens; the fold grants what the budget covers of it.
func (b *Book) draw(budget string, a *account, tokens int64) {
	tokens = min(tokens, b.Fold.Budgets[budget].Free())
	if tokens <= 0 || b.stopping {
		return
	}
	a.drawing = b.Now()
	b.send(sentItem{kind: KindDraw, budget: budget}, Draw{Budget: budget, Tokens: tokens, Least: 1})
}

// shortfall returns by how much the allowance is below its target.
func (b *Book) shortfall(budget string, a *account) int64 {
	return b.target(budget, a) - b.own(budget, a) - a.reserved
}

func (b *Book) target(budget string, a *account) int64 {
	folded := b.Fold.Budgets[budget]
	if folded == nil {
		return 0
	}
	return b.Policy(budget).target(view{
		rate: a.use.rate(b.Now()), paid: folded.Paid, spent: folded.Spent, lost: b.lost(folded, a),
		instances: b.Instances(),
	})
}

// lost returns the tokens held by incarnations that seem to have ended. It is looked
// for once in LostEvery.
func (b *Book) lost(folded *Budget, a *account) int64 {
	now := b.Now()
	if b.Live == nil || now.Sub(a.lostAt) < LostEvery {
		return a.lost
	}
	a.lost, a.lostAt = 0, now
	for _, h := range folded.Holdings {
		if h.Inc != b.Inc && !b.Live(h.Inc) {
			a.lost += h.Tokens
		}
	}
	return a.lost
}

// refill draws when the allowance fell clearly below its target.
func (b *Book) refill(budget string, a *account) {
	if !a.drawing.IsZero() || b.logDown || !b.ready {
		return
	}
	target := b.target(budget, a)
	if short := b.shortfall(budget, a); short > max(target/refillPart, 0) {
		b.draw(budget, a, short)
	}
}

// Keep makes sure that an allowance of the budget is held ready.
func (b *Book) Keep(budget string) { b.account(budget) }

// Primed reports whether no allowance is far below its target while its budget has tokens
// left to draw.
func (b *Book) Primed() bool {
	for budget, a := range b.accounts {
		folded := b.Fold.Budgets[budget]
		if folded == nil || folded.Free() == 0 && a.drawing.IsZero() {
			continue
		}
		if !a.drawing.IsZero() || b.shortfall(budget, a) > b.target(budget, a)/2 {
			return false
		}
	}
	return true
}

// Tick answers needs that waited too long, draws, and returns what idles. One call
// looks at no more than tickBudgets budgets besides those with needs that wait.
func (b *Book) Tick() {
	for _, budget := range sortedKeys(b.waits) {
		a := b.accounts[budget]
		b.serve(budget, a, 0)
		if len(a.waiting) == 0 {
			delete(b.waits, budget)
		}
	}
	if b.stopping {
		return
	}
	for range min(len(b.order), tickBudgets) {
		b.cursor = (b.cursor + 1) % len(b.order)
		b.adjust(b.order[b.cursor])
	}
}

// adjust brings the allowance of a budget to its target.
func (b *Book) adjust(budget string) {
	if b.Fold.Budgets[budget] == nil {
		return
	}
	a := b.accounts[budget]
	b.refill(budget, a)
	if b.logDown {
		return
	}
	b.returnSurplus(budget, a)
	if b.Now().Sub(a.borrowed) > LoanReturn && !a.borrowing {
		b.returnLoans(budget, a)
	}
}

// returnSurplus gives back the own holding above twice the target. What a policy
// without a target left over is given back once it idles.
func (b *Book) returnSurplus(budget string, a *account) {
	target := b.target(budget, a)
	if target == 0 && b.Now().Sub(a.lastUse) <= IdleReturn {
		return
	}
	if own := b.own(budget, a); own > 2*target && a.drawing.IsZero() {
		b.giveBack(budget, a, own-target)
	}
}

func (b *Book) giveBack(budget string, a *account, tokens int64) {
	if tokens <= 0 {
		return
	}
	a.settling += tokens
	from := []Part{{Holder: b.Inc, Tokens: tokens}}
	b.send(sentItem{kind: KindReturn, budget: budget, from: from}, Return{Budget: budget, Tokens: tokens})
}

// Stop refuses new needs and returns whatever is not bound to a request in flight. It
// may be called again while requests finish; Bye closes the incarnation.
func (b *Book) Stop() {
	b.stopping = true
	if b.closed {
		return
	}
	for _, budget := range sortedKeys(b.accounts) {
		a := b.accounts[budget]
		b.serve(budget, a, 0)
		b.giveBack(budget, a, b.own(budget, a))
		b.returnLoans(budget, a)
	}
}

// Bye sends the last item of the incarnation. It is called once InFlight is 0.
func (b *Book) Bye() {
	b.send(sentItem{kind: KindBye}, Bye{})
	b.closed = true
}

// InFlight returns the number of grants that are neither settled nor freed, of needs
// that wait and of loans that were asked for.
func (b *Book) InFlight() int {
	count := len(b.grants)
	for _, a := range b.accounts {
		count += len(a.waiting)
		if a.borrowing {
			count++
		}
	}
	return count
}

// Check asserts that nothing is spent beyond the holding.
func (b *Book) Check() error { return b.checkNext(len(b.order)) }

// CheckNext asserts the same of the next tickBudgets budgets in turn.
func (b *Book) CheckNext() error { return b.checkNext(min(len(b.order), tickBudgets)) }

func (b *Book) checkNext(count int) error {
	for range count {
		b.checked = (b.checked + 1) % len(b.order)
		budget := b.order[b.checked]
		if own := b.own(budget, b.accounts[budget]); own < 0 {
			return &InvariantError{Budget: budget, Detail: fmt.Sprintf("%s has bound %d tokens more than it holds", b.Inc, -own)}
		}
	}
	return nil
}
