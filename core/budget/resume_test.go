package budget_test

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/budget"
	"cranberryrail/fake/memlog"
)

// TestBudgetIsLeftForResumedStreams guards against broken streams that can't be resumed after all instances were killed, because what they held of a nearly spent
// budget is stranded; and against a reserve that exceeds what the users allow.
func TestBudgetIsLeftForResumedStreams(t *testing.T) {
	const request = paid / 2000
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	m := f.start("i-0")
	m.book.MaxWait = time.Second
	assert.NilError(t, m.syncer.Sync(t.Context()))
	reserve := func(resumes bool) error {
		var g errgroup.Group
		g.Go(func() error {
			do := m.book.Reserve
			if resumes {
				do = m.book.ReserveResumed
			}
			r, err := do(t.Context(), "travel", request)
			if err == nil {
				m.book.Settle(budget.Reservation{Organisation: "travel", Tokens: r.Tokens}, r.Tokens)
			}
			return err
		})
		time.Sleep(2 * time.Millisecond)
		assert.NilError(t, m.syncer.Sync(t.Context()))
		return g.Wait()
	}
	served := 0
	for reserve(false) == nil {
		served++
	}
	assert.Assert(t, served >= 1940, "%d of 2,000 requests", served)
	m = f.start("i-0") // what the killed process held is stranded
	m.book.MaxWait = time.Second
	assert.NilError(t, m.syncer.Sync(t.Context()))
	assert.ErrorContains(t, reserve(false), "budget")
	resumed := 0
	for reserve(true) == nil {
		resumed++
	}
	assert.Assert(t, resumed >= 16 && served+resumed <= 2000, "%d resumed after %d", resumed, served)
}
