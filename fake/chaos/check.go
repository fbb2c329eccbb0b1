package chaos

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/fake/engine"
)

// check waits until all instances have settled after faults and load ended, and asserts the
// final invariants.
func (r *Run) check(ctx context.Context) error {
	for _, m := range r.members {
		if err := r.awaitSettled(ctx, m); err != nil {
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

// checkRuns asserts that calls ran at most once, and that calls and model requests did not run
// when every response stated so.
func (r *Run) checkRuns() {
	for _, c := range r.serviceCalls {
		runs := 0
		for _, s := range r.services {
			runs += s.Runs(c.organisation + "/" + c.key)
		}
		switch {
		case runs > 1:
			r.fail("%s ran %d times", c, runs)
		case runs > 0 && c.reportedNotRun:
			r.fail("%s ran, but every response stated that it did not", c)
		case runs == 0 && c.reportedRun:
			r.fail("%s did not run, but a response stated that it did", c)
		}
	}
	started := map[string]int{}
	for _, e := range r.engines {
		for id, n := range e.Counts().Attempts {
			started[id] += n
		}
	}
	for _, q := range r.modelRequests {
		if id := q.engineID(); started[id] > 0 && !q.mayHaveRun {
			r.fail("%s ran %d times, but every response stated that it did not", q, started[id])
		}
	}
}

// checkBudget waits until all instances agree on a budget, and ends the run with a violation unless each
// request has at most one bill and the bills match the requests and the tokens spent. The error means that
// the wait failed.
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
			r.fail("request %s of %s has two bills", b.Request, budget)
		}
		bills[b.Request] = b.Tokens
		sum += b.Tokens
	}
	if sum != spent {
		r.fail("bills of %s add up to %d tokens, but %d were spent", budget, sum, spent)
	}
	for _, q := range r.modelRequests {
		if q.organisation == organisation {
			r.checkBill(q, bills[q.id])
		}
	}
	return nil
}

// usage returns the bills and the tokens spent of a budget, and whether all instances agree.
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

// checkBill asserts that a request was billed at least the usage reported by instances that
// were not lost, and at most the highest usage reported with a complete answer.
func (r *Run) checkBill(q *modelRequest, bill int64) {
	var minBill, maxCompleteUsage int64
	for inc, tokens := range q.reported {
		if !r.lost[inc] {
			minBill = max(minBill, tokens)
		}
	}
	for _, tokens := range q.completeUsage {
		maxCompleteUsage = max(maxCompleteUsage, tokens)
	}
	maxBill := int64(len(q.prompt) + engine.Length(q.prompt, q.maxTokens))
	switch {
	case bill < minBill || bill > maxBill:
		r.fail("%s was billed %d tokens, expected %d to %d", q, bill, minBill, maxBill)
	case maxCompleteUsage > 0 && !q.allowShorter && bill > maxCompleteUsage:
		r.fail("%s was billed %d tokens, but the usage reported is %d", q, bill, maxCompleteUsage)
	case !q.mayHaveRun && bill > 0:
		r.fail("%s was billed %d tokens, but every response stated that it did not run", q, bill)
	}
}

// engineID returns the request id that instances send to engines.
func (q *modelRequest) engineID() string {
	return fmt.Sprintf("%s/%s/%016x", q.organisation, q.id, xxhash.Sum64String(q.body))
}
