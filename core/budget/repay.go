package budget

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cranberryrail/core/pause"
	"cranberryrail/core/table"
)

// Limits of the tokens that instances keep of budgets that they are not holders of.
const (
	// idleDivisor is the fraction of the remaining tokens of a budget, as a divisor, that all instances which are not
	// holders of it together keep after their requests ended.
	idleDivisor = 64
	// repayInterval is the time between two checks for surpluses. The next request may use them until then.
	repayInterval = 500 * time.Millisecond
)

// ErrNotAdded is returned by a transfer whose tokens were certainly not added at the other instance.
var ErrNotAdded = errors.New("the tokens were not added")

// surplus is a number of tokens of an organisation that an instance does not need.
type surplus struct {
	organisation string
	tokens       int64
}

// takeSurpluses removes from the holdings of this instance what it does not need of budgets that it is not a holder
// of, and returns it.
func (b *Book) takeSurpluses() []surplus {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.loaded || b.stopping {
		return nil
	}
	var taken []surplus
	for organisation, a := range b.accounts {
		if a.paid == table.Unlimited || len(a.waiters) > 0 || a.borrowing.active || b.drawsAhead(a) {
			continue
		}
		tokens := b.spendable(a) - a.usage.reserveFor(b.Now(), a.requestSize)
		if tokens <= max(0, a.ungranted())/(idleDivisor*max(1, b.instanceCount)) {
			continue
		}
		a.unreserved -= tokens
		taken = append(taken, surplus{organisation, tokens})
	}
	return taken
}

// AcceptRepayment adds tokens that another instance does not need. It returns an error, and adds none, unless this instance
// runs with a budget of the organisation.
func (b *Book) AcceptRepayment(organisation string, tokens int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[budgetName(organisation)]
	if tokens <= 0 || a == nil || a.paid == table.Unlimited || !b.loaded || b.stopping {
		return fmt.Errorf("add %d repaid tokens of %q: %w", tokens, organisation, ErrNotAdded)
	}
	b.addTransferred(a, tokens)
	a.usage.add(-tokens, b.Now()) // they counted as usage when they were lent
	b.notifyIfDue(organisation, a)
	return nil
}

// runRepayments repays what this instance does not need until the context ends.
func (b *Borrower) runRepayments(ctx context.Context) error {
	for pause.For(ctx, repayInterval); ctx.Err() == nil; pause.For(ctx, repayInterval) {
		for _, s := range b.Book.takeSurpluses() {
			b.group.Go(func() error {
				b.repay(ctx, s)
				return nil
			})
		}
	}
	return nil
}

// repay transfers a surplus to the first holder that replies and takes it. Tokens of a transfer without a reply count
// as spent.
func (b *Borrower) repay(ctx context.Context, s surplus) {
	holders, _ := b.Lenders(s.organisation)
	for _, addr := range holders {
		if b.silent(addr) {
			continue
		}
		err := b.Repay(ctx, addr, s.organisation, s.tokens)
		if err == nil {
			return
		}
		if !errors.Is(err, ErrNotAdded) {
			b.recordReply(addr, err)
			b.OnTransferLost(s.organisation, s.tokens, err)
			return
		}
	}
	b.Book.AddBorrowed(s.organisation, s.tokens)
}
