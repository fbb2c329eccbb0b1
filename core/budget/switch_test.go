package budget_test

import (
	"fmt"
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

// TestStoppedInstancesHoldNoShares guards against budgets of which nobody holds tokens ahead of their use, because their holders are instances that were
// stopped as planned and never return.
func TestStoppedInstancesHoldNoShares(t *testing.T) {
	log, now := &memlog.Server{}, time.Unix(1000, 0)
	names := make([]string, 0, 20)
	for i := range cap(names) {
		names = append(names, fmt.Sprint("o", i))
	}
	start := func(id int) *member {
		m := startMember(t, log, fmt.Sprint("i", id), names...)
		m.book.Now, m.syncer.PeerAddr = func() time.Time { return now }, fmt.Sprintf("127.0.0.1:%d", id)
		return m
	}
	const stopped = 40
	for id := range stopped {
		m := start(1 + id)
		assert.NilError(t, m.syncer.Sync(t.Context()))
		assert.NilError(t, m.syncer.ReturnTokens(t.Context()))
	}
	m, held := start(1+stopped), 0
	for range 20 {
		now = now.Add(time.Second)
		time.Sleep(6 * time.Millisecond) // until the state is too old not to be read
		assert.NilError(t, m.syncer.Sync(t.Context()))
	}
	for _, name := range names {
		held += int(min(m.book.Balance(name).Free, 1))
	}
	assert.Equal(t, held, len(names))
}
