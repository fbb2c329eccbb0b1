package ledger

import "fmt"

// maxTickBudgets is the maximum number of budgets whose allowances one Tick adjusts.
const maxTickBudgets = 512

// refillDivisor sets the shortfall at which an allowance is refilled: more than the target divided by
// refillDivisor.
const refillDivisor = 8

// draw sends a draw; the fold grants the part of it that the budget covers.
func (b *Book) draw(budget string, a *account, tokens int64) {
	tokens = min(tokens, b.Fold.Budgets[budget].Free())
	if tokens <= 0 || b.stopping {
		return
	}
	a.drawSentAt = b.Now()
	b.send(pendingItem{kind: KindDraw, budget: budget}, Draw{Budget: budget, Tokens: tokens, Least: 1})
}

// shortfall returns the number of tokens by which the allowance of this instance is below its target. The allowance is
// the available and the reserved part of the instance's holding, without the tokens that are lent or being charged or
// returned.
func (b *Book) shortfall(budget string, a *account) int64 {
	return b.targetAllowance(budget, a) - b.availableHolding(budget, a) - a.reserved
}

func (b *Book) targetAllowance(budget string, a *account) int64 {
	state := b.Fold.Budgets[budget]
	if state == nil {
		return 0
	}
	return b.Policy(budget).targetAllowance(budgetView{
		rate: a.usage.rate(b.Now()), paid: state.Paid, spent: state.Spent, stranded: b.stranded(state, a),
		instances: b.Instances(),
	})
}

// stranded returns the tokens held by incarnations that seem to have ended. They are summed at most once
// per StrandedScanInterval.
func (b *Book) stranded(state *Budget, a *account) int64 {
	now := b.Now()
	if b.Live == nil || now.Sub(a.strandedAt) < StrandedScanInterval {
		return a.stranded
	}
	a.stranded, a.strandedAt = 0, now
	for _, h := range state.Holdings {
		if h.Incarnation != b.Incarnation && !b.Live(h.Incarnation) {
			a.stranded += h.Tokens
		}
	}
	return a.stranded
}

// refill draws when the shortfall exceeds the target divided by refillDivisor.
func (b *Book) refill(budget string, a *account) {
	if !a.drawSentAt.IsZero() || b.logDown || !b.ready {
		return
	}
	target := b.targetAllowance(budget, a)
	if short := b.shortfall(budget, a); short > max(target/refillDivisor, 0) {
		b.draw(budget, a, short)
	}
}

// OpenAccount opens an account for the budget, so that Tick draws its allowance before the first request.
func (b *Book) OpenAccount(budget string) { b.account(budget) }

// AllowancesDrawn reports whether each allowance has reached at least half of its target, with no draw outstanding. An
// allowance whose budget has no tokens left to draw counts as drawn.
func (b *Book) AllowancesDrawn() bool {
	for budget, a := range b.accounts {
		state := b.Fold.Budgets[budget]
		if state == nil || state.Free() == 0 && a.drawSentAt.IsZero() {
			continue
		}
		if !a.drawSentAt.IsZero() || b.shortfall(budget, a) > b.targetAllowance(budget, a)/2 {
			return false
		}
	}
	return true
}

// Tick decides on reservation requests that waited too long and adjusts allowances: it draws missing tokens and
// returns unused ones. One call processes all budgets with waiting requests and adjusts at most maxTickBudgets
// allowances.
func (b *Book) Tick() {
	for _, budget := range sortedKeys(b.waitingBudgets) {
		a := b.accounts[budget]
		b.serveWaiters(budget, a, 0)
		if len(a.waiting) == 0 {
			delete(b.waitingBudgets, budget)
		}
	}
	if b.stopping {
		return
	}
	for range min(len(b.budgets), maxTickBudgets) {
		b.tickCursor = (b.tickCursor + 1) % len(b.budgets)
		b.adjustAllowance(b.budgets[b.tickCursor])
	}
}

// adjustAllowance draws or returns tokens to bring the allowance of a budget to its target, and returns unused
// loans.
func (b *Book) adjustAllowance(budget string) {
	if b.Fold.Budgets[budget] == nil {
		return
	}
	a := b.accounts[budget]
	b.refill(budget, a)
	if b.logDown {
		return
	}
	b.returnSurplus(budget, a)
	if b.Now().Sub(a.borrowedAt) > LoanReturnDelay && !a.borrowing {
		b.returnLoans(budget, a)
	}
}

// returnSurplus returns the available tokens beyond the target when more than twice the target is available; reserved
// tokens are not counted. With a target of 0, the available tokens are returned once no request has used the budget for
// IdleReturnDelay.
func (b *Book) returnSurplus(budget string, a *account) {
	target := b.targetAllowance(budget, a)
	if target == 0 && b.Now().Sub(a.lastUsedAt) <= IdleReturnDelay {
		return
	}
	if own := b.availableHolding(budget, a); own > 2*target && a.drawSentAt.IsZero() {
		b.returnTokens(budget, a, own-target)
	}
}

func (b *Book) returnTokens(budget string, a *account, tokens int64) {
	if tokens <= 0 {
		return
	}
	a.unconfirmed += tokens
	from := []Part{{Holder: b.Incarnation, Tokens: tokens}}
	b.send(pendingItem{kind: KindReturn, budget: budget, from: from}, Return{Budget: budget, Tokens: tokens})
}

// Stop refuses new reservation requests and returns all tokens that are neither reserved by a request in flight nor
// lent to another instance, including unused loans of other holders. It is called repeatedly while requests finish;
// CloseIncarnation closes the incarnation.
func (b *Book) Stop() {
	b.stopping = true
	if b.closed {
		return
	}
	for _, budget := range sortedKeys(b.accounts) {
		a := b.accounts[budget]
		b.serveWaiters(budget, a, 0)
		b.returnTokens(budget, a, b.availableHolding(budget, a))
		b.returnLoans(budget, a)
	}
}

// CloseIncarnation sends the last item of the incarnation and closes the book. It is called once InFlight returns 0.
func (b *Book) CloseIncarnation() {
	b.send(pendingItem{kind: KindBye}, Bye{})
	b.closed = true
}

// InFlight returns the number of reservations that are neither settled nor released, plus waiting requests and
// outstanding loan requests.
func (b *Book) InFlight() int {
	count := len(b.reservations)
	for _, a := range b.accounts {
		count += len(a.waiting)
		if a.borrowing {
			count++
		}
	}
	return count
}

// Check verifies for all budgets that no more tokens are lent, reserved and unconfirmed than the incarnation holds.
func (b *Book) Check() error { return b.checkNext(len(b.budgets)) }

// CheckNext verifies the same for the next maxTickBudgets budgets in turn.
func (b *Book) CheckNext() error { return b.checkNext(min(len(b.budgets), maxTickBudgets)) }

func (b *Book) checkNext(count int) error {
	for range count {
		b.checkCursor = (b.checkCursor + 1) % len(b.budgets)
		budget := b.budgets[b.checkCursor]
		if own := b.availableHolding(budget, b.accounts[budget]); own < 0 {
			return &InvariantError{Budget: budget, Detail: fmt.Sprintf("incarnation %s has lent, reserved, charged or returned %d tokens more than it holds", b.Incarnation, -own)}
		}
	}
	return nil
}
