package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/io/oper"
)

// MismatchError reports that the billed tokens of a budget differ from the spent tokens.
type MismatchError struct {
	Budget        string
	Billed, Spent int64
}

// Error implements the error interface.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s: %d tokens billed but %d spent (difference %d); requests settled between the two counts can cause this: retry, and report it if it persists",
		e.Budget, e.Billed, e.Spent, e.Billed-e.Spent)
}

func (a *App) usage() command {
	var organisation string
	budget := conf.MainBudget
	sub := newSubcommand("usage", "list the bills of a budget and compare them with the spent tokens",
		"usage ndukwe", "usage ndukwe --budget claims --json")
	sub.AddPositionalValue(&organisation, "ORG", 1, true, "Organisation.")
	sub.String(&budget, "b", "budget", "Budget.")
	c := a.newClient(sub)
	return command{sub, func(ctx context.Context) error {
		var u oper.Usage
		query := url.Values{"budget": {ledger.BudgetKey(organisation, budget)}}
		if err := c.call(ctx, http.MethodGet, "/v1/usage?"+query.Encode(), nil, &u); err != nil {
			return err
		}
		if c.json {
			if err := a.printJSON(u); err != nil {
				return err
			}
		} else if err := a.printBills(u); err != nil {
			return err
		}
		return reconcile(u)
	}}
}

func billedTokens(u oper.Usage) int64 {
	sum := u.Earlier
	for _, b := range u.Bills {
		sum += b.Tokens
	}
	return sum
}

// printBills prints the bills and, when the instance reports the balance, whether they match the spent tokens.
func (a *App) printBills(u oper.Usage) error {
	rows := make([][]any, 0, len(u.Bills))
	for _, b := range u.Bills {
		rows = append(rows, []any{b.Request, b.Tokens})
	}
	rows = append(rows, []any{"(earlier)", u.Earlier}, []any{"(sum)", billedTokens(u)})
	if err := a.printTable([]string{"request", "tokens"}, rows); err != nil {
		return err
	}
	switch {
	case u.Balance == nil:
		a.printf("%s: the instance does not report the spent tokens\n", u.Budget)
	case u.Balance.Spent == billedTokens(u):
		a.printf("%s: billed and spent tokens match: %d\n", u.Budget, u.Balance.Spent)
	}
	return nil
}

// reconcile returns a *MismatchError when the billed and spent tokens differ.
func reconcile(u oper.Usage) error {
	if u.Balance == nil || u.Balance.Spent == billedTokens(u) {
		return nil
	}
	return &MismatchError{Budget: u.Budget, Billed: billedTokens(u), Spent: u.Balance.Spent}
}
