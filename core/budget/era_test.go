package budget_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/budget"
	"cranberryrail/fake/memlog"
)

// newFleet returns a fleet whose log has eras, and its first process, once it may draw.
func newFleet(t *testing.T) (*fleet, *member) {
	t.Helper()
	f := &fleet{log: &memlog.Server{Era: 1}, paid: paid, now: startTime, maxWait: 100 * time.Millisecond}
	m := f.start("i-0")
	assert.NilError(t, m.syncer.Sync(t.Context()))
	f.now = f.now.Add(3 * time.Second)
	return f, m
}

// TestPromiseOfEarlierEraIsNotTakenOver checks that a successor takes over no promise that a restored log shows: the
// killed process may have withdrawn it by a later record, and spent the tokens.
func TestPromiseOfEarlierEraIsNotTakenOver(t *testing.T) {
	f, m := newFleet(t)
	for range 4 {
		assert.NilError(t, m.syncer.Sync(t.Context()))
		f.now = f.now.Add(300 * time.Millisecond)
	}
	promised := m.book.Balance("travel")
	assert.Assert(t, promised.Promised > 0, "%+v", promised)
	older := f.log.Copy()
	r, err := reserve(t, m, promised.Free)
	assert.NilError(t, err)
	m.book.Settle(r, r.Tokens)
	f.log.Restore(older)
	next := f.start("i-0")
	assert.NilError(t, next.syncer.Sync(t.Context()))
	b := next.book.Balance("travel")
	assert.Equal(t, b.Free, b.Granted-b.WrittenOff-promised.Granted, "%+v after %+v", b, promised)
}

// TestReplyOfOtherEraIsNoOutcome checks that a draw does not count whose append met a restored log, although the log
// accepted it at the expected offset.
func TestReplyOfOtherEraIsNoOutcome(t *testing.T) {
	f, m := newFleet(t)
	assert.NilError(t, m.syncer.Sync(t.Context()))
	m.syncer.PromiseTopic = "" // the next append is that of the draw
	before := m.book.Balance("travel")
	restored := false
	f.log.SetFault(func(call string) memlog.Fault {
		if call == "append" && !restored {
			restored = true
			f.log.Restore(f.log.Copy())
		}
		return memlog.None
	})
	_, err := reserve(t, m, paid/10)
	assert.NilError(t, err)
	assert.Assert(t, restored)
	var accepted struct{ Granted int64 }
	assert.NilError(t, json.Unmarshal(f.log.Value("keyed.budgets", 0, "era/1/travel"), &accepted))
	drawn := accepted.Granted - before.Granted
	assert.Assert(t, drawn > 0)
	b := m.book.Balance("travel")
	assert.Equal(t, b.Free+b.Reserved, b.Granted-b.WrittenOff-drawn, "%+v after %+v", b, before)
}

// TestRestoredBudgetStaysUsable checks that after the log was restored, requests are served from what instances hold, and
// from the rest of the budget without what may have been lost.
func TestRestoredBudgetStaysUsable(t *testing.T) {
	f, m := newFleet(t)
	assert.NilError(t, m.syncer.Sync(t.Context()))
	older := f.log.Copy()
	r, err := reserve(t, m, paid/10)
	assert.NilError(t, err)
	m.book.Settle(r, r.Tokens)
	held := m.book.Balance("travel").Free
	f.log.Restore(older)
	assert.NilError(t, m.syncer.Sync(t.Context()))
	b := m.book.Balance("travel")
	assert.Equal(t, b.WrittenOff, int64(paid/2))
	assert.Assert(t, b.Free >= held, "%+v, held %d", b, held)
	_, err = reserve(t, m, paid/5)
	assert.NilError(t, err)
}

// TestDrawsAreLimitedByAgeOfCopies checks that half of a budget is drawn at once, and more when no copy lacks the draws
// before.
func TestDrawsAreLimitedByAgeOfCopies(t *testing.T) {
	f, m := newFleet(t)
	assert.NilError(t, m.syncer.Sync(t.Context()))
	_, err := reserve(t, m, paid*6/10)
	assert.ErrorContains(t, err, "budget_elsewhere")
	_, err = reserve(t, m, paid*4/10)
	assert.NilError(t, err)
	f.now = f.now.Add(budget.DefaultCopyAge / 2)
	_, err = reserve(t, m, paid*3/10)
	assert.ErrorContains(t, err, "budget_elsewhere")
	f.now = f.now.Add(budget.DefaultCopyAge)
	_, err = reserve(t, m, paid*3/10)
	assert.NilError(t, err)
}

// TestBudgetOfDistantEra checks that a budget whose record is of a much earlier era counts as granted, whatever the number
// of the present one, and that a top-up makes it usable again.
func TestBudgetOfDistantEra(t *testing.T) {
	for _, era := range []int64{1, 4, 1 << 40, math.MaxInt64} {
		f := &fleet{log: &memlog.Server{Era: era}, paid: paid, now: startTime.Add(time.Second), maxWait: 100 * time.Millisecond}
		f.log.Put("keyed.budgets", 0, "travel", []byte(`{"granted":10}`))
		m := f.start("i-0")
		assert.NilError(t, m.syncer.Sync(t.Context()))
		b := m.book.Balance("travel")
		lost := paid / 2 * min(era, 3)
		assert.Equal(t, b.WrittenOff, lost, "era %d", era)
		assert.Equal(t, b.Granted-b.Free, lost+10, "era %d", era)
		f.paid *= 3
		f.pay(m)
		f.now = f.now.Add(budget.DefaultCopyAge)
		_, err := reserve(t, m, paid)
		assert.NilError(t, err, "era %d", era)
	}
}

// TestTopUpRaisesLimitLater checks that draws are limited by what was paid before a top-up until each copy of the log
// contains the top-up, since who restores the budget may not know of it yet.
func TestTopUpRaisesLimitLater(t *testing.T) {
	f, m := newFleet(t)
	assert.NilError(t, m.syncer.Sync(t.Context()))
	f.paid *= 10
	f.pay(m)
	_, err := reserve(t, m, paid)
	assert.ErrorContains(t, err, "budget_elsewhere")
	f.now = f.now.Add(budget.DefaultCopyAge)
	_, err = reserve(t, m, paid)
	assert.NilError(t, err)
}

// TestConfigAfterRestoredBudget guards against tokens that are granted twice by a process that reads a restored budget before the configuration: what may have been
// drawn after the copy depends on what was paid.
func TestConfigAfterRestoredBudget(t *testing.T) {
	for name, early := range map[string]bool{"configuration first": true, "budget first": false} {
		t.Run(name, func(t *testing.T) {
			f, m := newFleet(t)
			assert.NilError(t, m.syncer.Sync(t.Context()))
			f.paid *= 10
			f.pay(m)
			older := f.log.Copy()
			f.now = f.now.Add(budget.DefaultCopyAge)
			r, err := reserve(t, m, f.paid*4/10)
			assert.NilError(t, err)
			m.book.Settle(r, r.Tokens)
			f.log.Restore(older)
			next := f.launch("i-1")
			if early {
				f.pay(next)
			}
			assert.NilError(t, next.syncer.Sync(t.Context()))
			f.pay(next)
			f.now = f.now.Add(budget.DefaultCopyAge)
			assert.NilError(t, next.syncer.Sync(t.Context()))
			b := next.book.Balance("travel")
			assert.Equal(t, b.WrittenOff, f.paid/2)
			_, err = reserve(t, next, f.paid*7/10)
			assert.ErrorContains(t, err, "budget_")
		})
	}
}
