package havoc

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/fake/engine"
)

// check asserts what must hold once faults and load have ended and all is recorded.
func (r *Run) check(ctx context.Context) error {
	for _, m := range r.members {
		if err := r.settled(ctx, m); err != nil {
			return err
		}
	}
	r.checkRuns()
	for _, name := range organisations {
		if err := r.checkBudget(ctx, name); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

// checkRuns asserts that calls ran at most once, and not at all when that was said.
func (r *Run) checkRuns() {
	for _, b := range r.booked {
		runs := 0
		for _, s := range r.services {
			runs += s.Runs(b.organisation + "/" + b.key)
		}
		switch {
		case runs > 1:
			r.violated("%s ran %d times", b, runs)
		case runs > 0 && b.notRun:
			r.violated("%s ran, and every statement was that it did not", b)
		case runs == 0 && b.certain:
			r.violated("%s did not run, and was said to have", b)
		}
	}
	started := map[string]int{}
	for _, e := range r.engines {
		for id, n := range e.Counts().Attempts {
			started[id] += n
		}
	}
	for _, g := range r.generated {
		if id := g.engineID(); started[id] > 0 && !g.ran {
			r.violated("%s ran %d times, and every statement was that it did not", g, started[id])
		}
	}
}

// checkBudget asserts that all instances agree on a budget and that its bills are those of
// the requests, once each.
func (r *Run) checkBudget(ctx context.Context, organisation string) error {
	budget := ledger.BudgetKey(organisation, conf.MainBudget)
	var usage ledger.Usage
	var spent int64
	err := r.fleet.Await(ctx, func() bool {
		var agree bool
		usage, spent, agree = r.usage(budget)
		return agree
	})
	if err != nil {
		return fmt.Errorf("wait until the instances agree on %s: %w", budget, err)
	}
	bills, sum := map[string]int64{}, usage.Earlier
	for _, b := range usage.Bills {
		if _, twice := bills[b.Request]; twice {
			r.violated("request %s of %s has two bills", b.Request, budget)
		}
		bills[b.Request] = b.Tokens
		sum += b.Tokens
	}
	if sum != spent {
		r.violated("the bills of %s add up to %d, and %d were spent", budget, sum, spent)
	}
	for _, g := range r.generated {
		if g.organisation == organisation {
			r.checkBill(g, bills[g.id])
		}
	}
	return nil
}

// usage returns the bills and the spend of a budget, and whether all instances agree.
func (r *Run) usage(budget string) (ledger.Usage, int64, bool) {
	var usage ledger.Usage
	var spent int64
	for i, m := range r.members {
		st, err := m.LedgerOf(budget).Statement(budget)
		if err != nil || i > 0 && (st.Balance.Spent != spent || len(st.Usage.Bills) != len(usage.Bills)) {
			return usage, spent, false
		}
		usage, spent = st.Usage, st.Balance.Spent
	}
	return usage, spent, true
}

// checkBill asserts that a request was billed at least what the instances that recorded
// everything told of it, and exactly the most that was stated for a whole answer.
func (r *Run) checkBill(g *generation, bill int64) {
	var least, most int64
	for inc, tokens := range g.told {
		if !r.lost[inc] {
			least = max(least, tokens)
		}
	}
	for _, tokens := range g.stated {
		most = max(most, tokens)
	}
	limit := int64(len(g.prompt) + engine.Length(g.prompt, g.maxTokens))
	switch {
	case bill < least || bill > limit:
		r.violated("%s was billed %d tokens, not from %d to %d", g, bill, least, limit)
	case most > 0 && !g.shorter && bill > most:
		r.violated("%s was billed %d tokens, and told %d", g, bill, most)
	case !g.ran && bill > 0:
		r.violated("%s was billed %d tokens, and every statement was that it did not run", g, bill)
	}
}

// engineID returns the id under which engines know the request.
func (g *generation) engineID() string {
	return fmt.Sprintf("%s/%s/%016x", g.organisation, g.id, xxhash.Sum64String(g.body))
}
