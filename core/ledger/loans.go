package ledger

import (
	"slices"
	"time"
)

// borrowAhead is the time of usual use that a loan is to cover while the log is out of
// reach.
const borrowAhead = 10 * time.Second

// Loan is a request to peers for a part of their allowance.
type Loan struct {
	Budget        string
	Tokens, Least int64
	// Holders are incarnations that hold tokens of the budget, the largest first.
	Holders []string
}

// borrowFor asks peers for a need, once, and reports whether they are being asked.
func (b *Book) borrowFor(budget string, a *account, w *wait) bool {
	if a.borrowing || w.asked || b.Borrow == nil {
		return a.borrowing
	}
	holders := b.lenders(budget)
	if len(holders) == 0 {
		return false
	}
	missing := w.need.Tokens - b.Spendable(budget)
	w.asked, a.borrowing = true, true
	var ahead int64
	if b.logDown {
		ahead = int64(a.use.rate(b.Now()) * borrowAhead.Seconds())
	}
	a.borrowed = b.Now()
	b.Borrow(Loan{Budget: budget, Tokens: max(missing, ahead), Least: 1, Holders: holders})
	return true
}

// lenders returns the other holders of a budget, the largest holding first.
func (b *Book) lenders(budget string) []string {
	holdings := slices.Clone(b.Fold.Budgets[budget].Holdings)
	slices.SortStableFunc(holdings, func(x, y Holding) int { return int(min(max(y.Tokens-x.Tokens, -1), 1)) })
	holders := make([]string, 0, len(holdings))
	for _, h := range holdings {
		if h.Inc != b.Inc {
			holders = append(holders, h.Inc)
		}
	}
	return holders
}

// capLent lowers what counts as lent to what the holding has room for. Peers took the
// difference in records that were never read.
func (b *Book) capLent(budget string, a *account) {
	var held int64
	if folded := b.Fold.Budgets[budget]; folded != nil {
		held = folded.HeldBy(b.Inc)
	}
	a.lent = min(a.lent, max(held-a.reserved-a.settling, 0))
}

// Lend gives a peer a part of the own allowance without a record in the log. The log
// still holds it against this incarnation, so it is never spent twice. It keeps half
// of what it has, unless that leaves the borrower with less than least.
func (b *Book) Lend(budget string, tokens, least int64) int64 {
	folded := b.Fold.Budgets[budget]
	if folded == nil || b.stopping || tokens <= 0 {
		return 0
	}
	a := b.account(budget)
	own := max(b.own(budget, a), 0)
	spare := own / 2
	if folded.Free() == 0 {
		spare = own
	}
	lend := min(tokens, max(spare, min(least, own)))
	if lend <= 0 {
		return 0
	}
	a.lent += lend
	return lend
}

// LoanID identifies a loan, so that a borrower whose answer was lost can ask again.
type LoanID struct {
	// Borrower is the incarnation that asks, and Number counts its loans from 1.
	Borrower string
	Number   int64
}

// lastLoan is the last loan that a borrower asked for of one budget.
type lastLoan struct {
	number, tokens int64
}

// LendOnce is Lend for a borrower that may ask again for the same loan: it is answered
// alike and lent once. An older loan than the last is answered with 0.
func (b *Book) LendOnce(id LoanID, budget string, tokens, least int64) int64 {
	key := loanKey{borrower: id.Borrower, budget: budget}
	last := b.loans[key]
	switch {
	case id.Number == last.number:
		return last.tokens
	case id.Number < last.number:
		return 0
	}
	lent := b.Lend(budget, tokens, least)
	b.loans[key] = lastLoan{number: id.Number, tokens: lent}
	return lent
}

// loanKey names the loans of one budget to one borrower.
type loanKey struct{ borrower, budget string }

// Borrowed takes in the answer of a holder to a loan: its incarnation and the tokens,
// or 0 when nobody lent.
func (b *Book) Borrowed(budget, holder string, tokens int64) {
	b.Gathered(budget, []Part{{Holder: holder, Tokens: tokens}})
}

// Gathered takes in the answers of several holders to one loan.
func (b *Book) Gathered(budget string, parts []Part) {
	a := b.account(budget)
	a.borrowing = false
	for _, p := range parts {
		if p.Tokens > 0 {
			a.loans[p.Holder] += p.Tokens
		}
	}
	b.serve(budget, a, 0)
}

func (b *Book) returnLoans(budget string, a *account) {
	for _, holder := range sortedKeys(a.loans) {
		if tokens := a.loans[holder]; tokens > 0 {
			b.send(sentItem{kind: KindReturn, budget: budget}, Return{Budget: budget, Holder: holder, Tokens: tokens})
		}
		delete(a.loans, holder)
	}
}
