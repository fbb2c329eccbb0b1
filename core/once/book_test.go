package once_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/once"
)

// TestConcurrentClaims guards against a call that runs twice because two instances claim the same key at once.
func TestConcurrentClaims(t *testing.T) {
	race := func(t *testing.T) (a, b *node, second int64) {
		f := newFleet(t)
		a, b = f.node("a"), f.node("b")
		first := a.claim("k", 1)
		second = b.claim("k", 1)
		a.write()
		b.write()
		a.read()
		b.read()
		a.assertWon(first)
		b.assertWaits(second)
		return a, b, second
	}
	t.Run("the other instance replays the answer", func(t *testing.T) {
		a, b, second := race(t)
		a.book.Finish(answer("k", "booked"))
		a.sync()
		b.sync()
		b.assertReplay(second, "booked")
		assertSame(t, a, b)
		a.assertIdle()
		b.assertIdle()
	})
	t.Run("the other instance refuses with claim_lost", func(t *testing.T) {
		_, b, second := race(t)
		b.expireWait()
		b.assertRefused(second, codes.ClaimLost, codes.Unknown)
	})
	t.Run("the other instance claims again after a void", func(t *testing.T) {
		a, b, second := race(t)
		a.book.Void("k")
		a.sync()
		b.sync()
		b.assertWon(second)
	})
	t.Run("another digest is refused", func(t *testing.T) {
		a, b, _ := race(t)
		b.assertRefused(b.claim("k", 2), codes.KeyReused, codes.Unknown)
		a.book.Finish(answer("k", "booked"))
		a.sync()
		b.read()
		b.assertRefused(b.claim("k", 2), codes.KeyReused, codes.NotRun)
	})
}

// TestKilledWinner guards against a second run of a call whose instance was killed after its claim won.
func TestKilledWinner(t *testing.T) {
	won := func(t *testing.T) (a, b *node) {
		f := newFleet(t)
		a, b = f.node("a"), f.node("b")
		id := a.claim("k", 1)
		a.sync()
		a.assertWon(id)
		b.read()
		return a, b
	}
	t.Run("a retry is refused with claim_lost if no result was written", func(t *testing.T) {
		a, b := won(t)
		a.book.Finish(answer("k", "lost"))
		id := b.claim("k", 1)
		b.assertWaits(id)
		b.expireWait()
		b.assertRefused(id, codes.ClaimLost, codes.Unknown)
		assert.Equal(t, len(b.queue), 0)
	})
	t.Run("retries after ClaimTimeout are refused with outcome_unknown", func(t *testing.T) {
		_, b := won(t)
		first := b.claim("k", 1)
		b.expireWait()
		b.assertRefused(first, codes.ClaimLost, codes.Unknown)
		b.now = b.now.Add(b.book.ClaimTimeout)
		later := b.claim("k", 1)
		b.expireWait()
		b.assertRefused(later, codes.OutcomeUnknown, codes.Unknown)
		assert.Equal(t, b.decisions[later].Refused.RetryAfter, time.Duration(0))
	})
	t.Run("a retry replays the answer if the result was written", func(t *testing.T) {
		a, b := won(t)
		a.book.Finish(answer("k", "booked"))
		a.write()
		b.read()
		b.assertReplay(b.claim("k", 1), "booked")
	})
	t.Run("a retry is refused with outcome_unknown if the winner marked the call in doubt", func(t *testing.T) {
		a, b := won(t)
		a.book.MarkInDoubt("k")
		a.write()
		b.read()
		b.assertRefused(b.claim("k", 1), codes.OutcomeUnknown, codes.Unknown)
	})
	t.Run("a retry during a log outage is refused with claim_lost", func(t *testing.T) {
		_, b := won(t)
		b.book.SetLogReachable(false)
		b.assertRefused(b.claim("k", 1), codes.ClaimLost, codes.Unknown)
	})
}

// TestPausedWinner guards against a second run while the instance that won the claim is paused. Retries are refused
// until the winner voids its claim.
func TestPausedWinner(t *testing.T) {
	f := newFleet(t)
	a, b := f.node("a"), f.node("b")
	id := a.claim("k", 1)
	a.sync()
	a.assertWon(id)
	var asked time.Time
	for range 100 {
		b.sync()
		retry := b.claim("k", 1)
		b.expireWait()
		if asked.IsZero() {
			asked = b.now
		}
		want := codes.ClaimLost
		if b.now.Sub(asked) > b.book.ClaimTimeout {
			want = codes.OutcomeUnknown
		}
		b.assertRefused(retry, want, codes.Unknown)
	}
	a.book.Void("k")
	a.sync()
	retry := b.claim("k", 1)
	b.sync()
	b.assertWon(retry)
}

// TestPausedWinnerBeyondKeyWindow guards against evicting an unfinished claim after KeyWindow later keys: a retry would
// then run the call again.
func TestPausedWinnerBeyondKeyWindow(t *testing.T) {
	f := newFleet(t)
	a, b := f.node("a"), f.node("b")
	a.claim("paused", 1)
	a.sync()
	other := &node{fleet: f, book: &once.Book{Incarnation: "c"}}
	for i := range once.KeyWindow + 1 {
		key := keyOf(i)
		other.queue = append(other.queue, claimItem(key, 1), resultItem(answer(key, "")))
	}
	other.write()
	b.read()
	id := b.claim("paused", 1)
	b.sync()
	b.assertWaits(id)
	b.claim(keyOf(0), 1)
	assert.Equal(t, len(b.queue), 1, "a key beyond the window can be claimed")
	fresh := f.node("d")
	fresh.restoreFrom(b)
	assertSame(t, b, fresh)
}

// TestOutage guards against callers that wait for an unreachable log, and against claims that stay open after their
// callers were refused.
func TestOutage(t *testing.T) {
	t.Run("refuses a new claim immediately", func(t *testing.T) {
		n := newFleet(t).node("a")
		n.book.SetLogReachable(false)
		id := n.claim("k", 1)
		n.assertRefused(id, codes.ClaimUnavailable, codes.NotRun)
		assert.Equal(t, n.decisions[id].Refused.RetryAfter, once.RetryLogDown)
		n.assertIdle()
	})
	t.Run("refuses a new claim immediately when not ready", func(t *testing.T) {
		n := newFleet(t).node("a")
		n.book.SetReady(false)
		n.assertRefused(n.claim("k", 1), codes.ClaimUnavailable, codes.NotRun)
	})
	t.Run("replays a stored answer", func(t *testing.T) {
		n := newFleet(t).node("a")
		n.claim("k", 1)
		n.sync()
		n.book.Finish(answer("k", "booked"))
		n.sync()
		n.book.SetLogReachable(false)
		n.assertReplay(n.claim("k", 1), "booked")
	})
	t.Run("voids a claim that is read back late", func(t *testing.T) {
		f := newFleet(t)
		a, b := f.node("a"), f.node("b")
		id := a.claim("k", 1)
		a.expireWait()
		a.assertRefused(id, codes.ClaimUnavailable, codes.NotRun)
		a.sync()
		retry := b.claim("k", 1)
		b.sync()
		b.assertWon(retry)
		a.read()
		a.assertIdle()
	})
	t.Run("assigns a claim that is read back late to a retry", func(t *testing.T) {
		a := newFleet(t).node("a")
		a.claim("k", 1)
		a.expireWait()
		retry := a.claim("k", 1)
		a.sync()
		a.assertWon(retry)
		assert.Equal(t, len(a.log), 1)
	})
}

func TestCallersAtOneInstance(t *testing.T) {
	pair := func(t *testing.T) (*node, int64, int64) {
		n := newFleet(t).node("a")
		return n, n.claim("k", 1), n.claim("k", 1)
	}
	t.Run("the second replays the answer", func(t *testing.T) {
		n, first, second := pair(t)
		n.sync()
		n.assertWon(first)
		n.assertWaits(second)
		n.book.Finish(answer("k", "booked"))
		n.sync()
		n.assertReplay(second, "booked")
		assert.Equal(t, len(n.log), 2)
	})
	t.Run("the second wins after the first is cancelled", func(t *testing.T) {
		n, first, second := pair(t)
		n.book.Cancel("k", first)
		n.sync()
		n.assertWaits(first)
		n.assertWon(second)
	})
	t.Run("a won claim of a cancelled caller is voided", func(t *testing.T) {
		n, first, second := pair(t)
		n.sync()
		n.assertWon(first)
		n.book.Cancel("k", first)
		n.sync()
		n.assertWon(second)
		n.book.Cancel("k", first)
		assert.Equal(t, n.book.InFlight(), 1)
	})
	t.Run("a claim without waiting callers is voided", func(t *testing.T) {
		n, first, second := pair(t)
		n.book.Cancel("k", first)
		n.book.Cancel("k", second)
		n.sync()
		n.assertIdle()
		assert.Assert(t, n.book.Fold.Call("k") == nil)
	})
	t.Run("the second wins after the first voids its claim", func(t *testing.T) {
		n, _, second := pair(t)
		n.sync()
		n.book.Void("k")
		n.sync()
		n.assertWon(second)
	})
}

// TestRestore restores a snapshot that includes records that the instance never read one by one.
func TestRestore(t *testing.T) {
	t.Run("assigns a claim that won in the skipped records", func(t *testing.T) {
		f := newFleet(t)
		a, b := f.node("a"), f.node("b")
		id := a.claim("k", 1)
		a.write()
		b.read()
		a.restoreFrom(b)
		a.assertWon(id)
	})
	t.Run("voids a claim whose caller is cancelled", func(t *testing.T) {
		f := newFleet(t)
		a, b := f.node("a"), f.node("b")
		a.book.Cancel("k", a.claim("k", 1))
		a.write()
		b.read()
		a.restoreFrom(b)
		a.sync()
		assert.Assert(t, a.book.Fold.Call("k") == nil)
	})
	t.Run("claims again when the winning claim was voided", func(t *testing.T) {
		f := newFleet(t)
		a, b := f.node("a"), f.node("b")
		b.claim("k", 1)
		b.write()
		id := a.claim("k", 1)
		a.write()
		b.read()
		b.book.Void("k")
		b.sync()
		a.restoreFrom(b)
		a.sync()
		a.assertWon(id)
	})
	t.Run("sends no second claim while one is in flight", func(t *testing.T) {
		f := newFleet(t)
		a, b := f.node("a"), f.node("b")
		id := a.claim("k", 1)
		b.claim("k", 1)
		b.sync()
		a.restoreFrom(b)
		b.book.Void("k")
		b.sync()
		a.read()
		assert.Equal(t, len(a.queue), 1)
		a.sync()
		a.assertWon(id)
	})
}

// TestByeRemovesIncarnation guards against state that grows with each instance that ever ran.
func TestByeRemovesIncarnation(t *testing.T) {
	f := newFleet(t)
	a := f.node("a")
	a.book.Void("none")
	a.sync()
	assert.Equal(t, a.book.Fold.Applied["a"], uint64(1))
	a.book.CloseIncarnation()
	a.sync()
	assert.Equal(t, len(a.book.Fold.Applied), 0)
}
