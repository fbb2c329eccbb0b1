package cmd

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"cranberryrail/core/ledger"
)

func (a *App) budgets() command {
	var organisation string
	sub := newSubcommand("budgets", "list budgets, in tokens", "budgets", "budgets ndukwe --json")
	sub.AddPositionalValue(&organisation, "ORG", 1, false, "List only the budgets of this organisation.")
	c := a.newClient(sub)
	return command{sub, func(ctx context.Context) error {
		var all []ledger.Balance
		if err := c.call(ctx, http.MethodGet, "/v1/budgets", nil, &all); err != nil {
			return err
		}
		if organisation != "" {
			all = slices.DeleteFunc(all, func(b ledger.Balance) bool {
				return !strings.HasPrefix(b.Budget, ledger.BudgetKey(organisation, ""))
			})
		}
		if c.json {
			return a.printJSON(all)
		}
		rows := make([][]any, 0, len(all))
		for _, b := range all {
			rows = append(rows, []any{b.Budget, b.Paid, b.Spent, b.Held, b.Free, b.Own, b.Spendable})
		}
		return a.printTable([]string{"budget", "paid", "spent", "held", "free", "held here", "spendable here"}, rows)
	}}
}
