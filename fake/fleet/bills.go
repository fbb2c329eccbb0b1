package fleet

import (
	"fmt"

	"cranberryrail/core/ledger"
)

// Answer is a whole answer that a caller has received.
type Answer struct {
	// Instance is the incarnation of the instance that sent it, and Request the request id.
	Instance, Request string
	// Tokens is the usage that the answer states.
	Tokens int64
}

// Account is a budget at one offset of the log.
type Account struct {
	ledger.Budget
	// Bills are the bills by request id. IDs are those of one content each.
	Bills map[string]int64
}

// Account returns a budget as the instance has read it from the log.
func (m *Member) Account(budget string) (Account, error) {
	state, err := m.LedgerOf(budget).Feed.State()
	if err != nil {
		return Account{}, fmt.Errorf("state of budget %s at %s: %w", budget, m.Settings.Instance.ID, err)
	}
	fold := ledger.New()
	if err := fold.Load(state.Data); err != nil {
		return Account{}, fmt.Errorf("state of budget %s at %s: %w", budget, m.Settings.Instance.ID, err)
	}
	a := Account{Bills: map[string]int64{}}
	if b := fold.Budgets[budget]; b != nil {
		a.Budget = *b
	}
	for _, b := range fold.Usage(budget).Bills {
		a.Bills[b.Request] += b.Tokens
	}
	return a, nil
}

// Unbilled returns the answers with no bill.
func (a Account) Unbilled(answers []Answer) []Answer {
	var unbilled []Answer
	for _, answer := range answers {
		if _, billed := a.Bills[answer.Request]; !billed {
			unbilled = append(unbilled, answer)
		}
	}
	return unbilled
}

// HeldBy returns the tokens that the running instances hold, and those that incarnations hold which have ended.
func (a Account) HeldBy(running []*Member) (held, stranded int64) {
	for _, m := range running {
		held += a.Budget.HeldBy(m.Incarnation)
	}
	return held, a.Held - held
}

// Check verifies what holds whatever was killed: no budget is overspent, the bills are what was spent, each answer that has a bill was billed with what it
// states, and unbilled answers took their tokens from what is held.
func (a Account) Check(name string, answers []Answer) error {
	if err := a.Budget.Check(name); err != nil {
		return err
	}
	var billed, unbilled int64
	for _, tokens := range a.Bills {
		billed += tokens
	}
	for _, answer := range answers {
		switch tokens, ok := a.Bills[answer.Request]; {
		case !ok:
			unbilled += answer.Tokens
		case tokens != answer.Tokens:
			return fmt.Errorf("budget %s: request %s is billed %d tokens, its caller received %d", name, answer.Request, tokens, answer.Tokens)
		}
	}
	switch {
	case billed != a.Spent:
		return fmt.Errorf("budget %s: bills add up to %d tokens, %d are spent", name, billed, a.Spent)
	case unbilled > a.Held:
		return fmt.Errorf("budget %s: answers of %d tokens have no bill, but only %d are held", name, unbilled, a.Held)
	}
	return nil
}
