package budget_test

import (
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/table"
	"cranberryrail/fake/memlog"
)

// TestBudgetSetDuringReservation guards against tokens that a request adds to a holding, or removes from it for good, because its organisation gets a
// budget, or loses it, while the reservation is made.
func TestBudgetSetDuringReservation(t *testing.T) {
	m := startMember(t, &memlog.Server{}, "i", "travel")
	m.book.MaxWait = time.Nanosecond
	assert.NilError(t, m.syncer.Sync(t.Context()))
	held := m.book.Balance("travel").Free
	var g errgroup.Group
	var done atomic.Bool
	g.Go(func() error {
		defer done.Store(true)
		for range 50_000 {
			m.book.SetPaid([]table.Organisation{{Name: "travel", Prepaid: table.Unlimited}})
			m.book.SetPaid([]table.Organisation{{Name: "travel", Prepaid: 1000}})
		}
		return nil
	})
	for range 2 {
		g.Go(func() error {
			for !done.Load() {
				if r, err := m.book.Reserve(t.Context(), "travel", 1); err == nil {
					m.book.Settle(r, 0)
				}
			}
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	got := m.book.Balance("travel")
	assert.DeepEqual(t, [2]int64{got.Free, got.Reserved}, [2]int64{held, 0})
}
