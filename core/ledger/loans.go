package ledger

import (
	"slices"
	"time"
)

// loanCover is the duration of average usage that a loan is sized for while the log is unreachable.
const loanCover = 10 * time.Second

// LoanRequest is a request to peers for a part of their allowances.
type LoanRequest struct {
	Budget        string
	Tokens, Least int64
	// Holders are the incarnations that hold tokens of the budget, the largest holding first.
	Holders []string
}

// borrowFor sends at most one loan request for a waiting request and reports whether a loan request is outstanding.
func (b *Book) borrowFor(budget string, a *account, w *waiter) bool {
	if a.borrowing || w.loanRequested || b.Borrow == nil {
		return a.borrowing
	}
	holders := b.lenders(budget)
	if len(holders) == 0 {
		return false
	}
	missing := w.request.Tokens - b.Spendable(budget)
	w.loanRequested, a.borrowing = true, true
	var cover int64
	if b.logDown {
		cover = int64(a.usage.rate(b.Now()) * loanCover.Seconds())
	}
	a.borrowedAt = b.Now()
	b.Borrow(LoanRequest{Budget: budget, Tokens: max(missing, cover), Least: 1, Holders: holders})
	return true
}

// lenders returns the other incarnations that hold tokens of a budget, the largest holding first. The ledger must
// contain the budget.
func (b *Book) lenders(budget string) []string {
	holdings := slices.Clone(b.Fold.Budgets[budget].Holdings)
	slices.SortStableFunc(holdings, func(x, y Holding) int { return int(min(max(y.Tokens-x.Tokens, -1), 1)) })
	holders := make([]string, 0, len(holdings))
	for _, h := range holdings {
		if h.Incarnation != b.Incarnation {
			holders = append(holders, h.Incarnation)
		}
	}
	return holders
}

// capLent lowers lent to the part of the holding that is neither reserved nor unconfirmed. Peers took the
// difference in records that this instance never read.
func (b *Book) capLent(budget string, a *account) {
	var held int64
	if state := b.Fold.Budgets[budget]; state != nil {
		held = state.HeldBy(b.Incarnation)
	}
	a.lent = min(a.lent, max(held-a.reserved-a.unconfirmed, 0))
}

// Lend lends a peer a part of this instance's allowance without a record in the log. The log still counts the
// tokens as held by this incarnation, so they are never spent twice. Half of the available tokens are kept,
// unless the budget has no free tokens left or the borrower would get fewer than least.
func (b *Book) Lend(budget string, tokens, least int64) int64 {
	state := b.Fold.Budgets[budget]
	if state == nil || b.stopping || tokens <= 0 {
		return 0
	}
	a := b.account(budget)
	own := max(b.availableHolding(budget, a), 0)
	spare := own / 2
	if state.Free() == 0 {
		spare = own
	}
	lent := min(tokens, max(spare, min(least, own)))
	if lent <= 0 {
		return 0
	}
	a.lent += lent
	return lent
}

// LoanID identifies a loan, so that a borrower can retry the request when the reply was lost.
type LoanID struct {
	// Borrower is the incarnation that borrows, and Number counts its loans from 1.
	Borrower string
	Number   int64
}

// maxKnownLoans is the number of loans of one budget to one borrower whose replies are known: several times the loan requests that a borrower sends
// while it retries one.
const maxKnownLoans = 64

// knownLoans are the last loans of one budget to one borrower, in the order of their numbers.
type knownLoans struct {
	last  int64
	loans []knownLoan
}

type knownLoan struct{ number, tokens int64 }

// LendOnce is an idempotent Lend: a retried request for the same loan gets the same reply, and the tokens are
// lent once. A request for an older loan than the last one that lent none, or is no longer known, gets 0.
func (b *Book) LendOnce(id LoanID, budget string, tokens, least int64) int64 {
	key := loanKey{borrower: id.Borrower, budget: budget}
	known := b.loans[key]
	if id.Number <= known.last {
		for _, l := range known.loans {
			if l.number == id.Number {
				return l.tokens
			}
		}
		return 0
	}
	known.last = id.Number
	lent := b.Lend(budget, tokens, least)
	if lent > 0 {
		known.loans = append(known.loans, knownLoan{id.Number, lent})
		known.loans = known.loans[max(0, len(known.loans)-maxKnownLoans):]
	}
	b.loans[key] = known
	return lent
}

// loanKey is the key of the loans of one budget to one borrower.
type loanKey struct{ borrower, budget string }

// ReceiveLoan adds the tokens that a holder has lent, 0 if no holder lent any, and ends the loan request.
func (b *Book) ReceiveLoan(budget, holder string, tokens int64) {
	b.ReceiveLoans(budget, []Part{{Holder: holder, Tokens: tokens}})
}

// ReceiveLoans adds the tokens that several holders have lent for one loan request, and ends the request.
func (b *Book) ReceiveLoans(budget string, parts []Part) {
	a := b.account(budget)
	a.borrowing = false
	for _, p := range parts {
		if p.Tokens > 0 {
			a.loans[p.Holder] += p.Tokens
		}
	}
	b.serveWaiters(budget, a, 0)
}

func (b *Book) returnLoans(budget string, a *account) {
	for _, holder := range sortedKeys(a.loans) {
		if tokens := a.loans[holder]; tokens > 0 {
			b.send(pendingItem{kind: KindReturn, budget: budget}, Return{Budget: budget, Holder: holder, Tokens: tokens})
		}
		delete(a.loans, holder)
	}
}
