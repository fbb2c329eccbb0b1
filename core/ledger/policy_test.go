package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/ledger"
)

// consume reserves and settles the given number of tokens once per second for the duration d.
func (m *member) consume(d time.Duration, tokens int64) {
	m.f.t.Helper()
	for i := range int(d / time.Second) {
		m.f.now = m.f.now.Add(time.Second)
		m.Settle(assertGranted(m.f.t, m.reserve(fmt.Sprint(m.Incarnation, m.f.now.Unix(), i), tokens), tokens), tokens)
		m.Tick()
		syncAll(m)
	}
}

func assertBetween(t *testing.T, got, least, most int64) {
	t.Helper()
	assert.Assert(t, got >= least && got <= most, "%d is not within %d and %d", got, least, most)
}

func adaptivePolicy() ledger.Policy {
	return ledger.Policy{Kind: ledger.Adaptive, Cover: 100 * time.Second, ChunkTokens: 1000, StrandRatio: 0.1}
}

func TestAdaptivePolicy(t *testing.T) {
	t.Run("holds the average usage over the cover time", func(t *testing.T) {
		f := newFleet(t, adaptivePolicy())
		a := f.start("a")
		drawAllowances(10_000_000, a)
		a.consume(5*time.Minute, 100)
		assertBetween(t, a.Spendable(budget), 8500, 11_500)
	})
	t.Run("returns surplus tokens after an idle time", func(t *testing.T) {
		f := newFleet(t, adaptivePolicy())
		a := f.start("a")
		drawAllowances(10_000_000, a)
		a.consume(time.Minute, 1000)
		f.now = f.now.Add(time.Hour)
		a.Tick()
		syncAll(a)
		assertBetween(t, a.Spendable(budget), 0, 1000)
	})
	t.Run("holds at most nine tenths of the remaining tokens", func(t *testing.T) {
		f := newFleet(t, adaptivePolicy())
		a := f.start("a")
		drawAllowances(10_000, a)
		a.consume(time.Minute, 100)
		assertBetween(t, a.Spendable(budget), 3000, 3600)
	})
	t.Run("reduces the allowance when many tokens are stranded", func(t *testing.T) {
		f := newFleet(t, adaptivePolicy())
		a, dead := f.start("a"), f.start("dead")
		a.Live = func(inc string) bool { return inc != "dead" }
		drawAllowances(10_000, a, dead)
		assert.Assert(t, a.Fold.Budgets[budget].HeldBy("dead") >= 1000)
		a.consume(30*time.Second, 10)
		assertBetween(t, a.Spendable(budget), 40, 150)
	})
}

func TestLoans(t *testing.T) {
	t.Run("are combined from several holders", func(t *testing.T) {
		f := newFleet(t, fixedPolicy(300))
		a, b, c := f.start("a"), f.start("b"), f.start("c")
		drawAllowances(900, a, b, c)
		got, ok := a.Reserve(ledger.ReserveRequest{Budget: budget, Request: "one", Tokens: 850, Least: 850})
		assert.Assert(t, !ok)
		l := a.loans[0]
		a.ReceiveLoans(budget, []ledger.Part{
			{Holder: "b", Tokens: b.Lend(budget, l.Tokens, l.Least)},
			{Holder: "c", Tokens: c.Lend(budget, l.Tokens-300, l.Least)},
		})
		assertGranted(t, a.decided[got.ID], 850)
	})
	t.Run("are returned when they are not used", func(t *testing.T) {
		f := newFleet(t, fixedPolicy(300))
		a, b := f.start("a"), f.start("b")
		drawAllowances(600, a, b)
		a.Settle(assertGranted(t, a.reserve("one", 500, b), 500), 100)
		syncAll(a, b)
		f.now = f.now.Add(2 * ledger.LoanReturnDelay)
		a.Tick()
		syncAll(a, b)
		assert.Equal(t, b.Fold.Budgets[budget].HeldBy("b"), int64(100))
		assert.Equal(t, b.Spendable(budget), int64(100))
	})
	t.Run("cover more than one reservation request while the log is unreachable", func(t *testing.T) {
		f := newFleet(t, adaptivePolicy())
		a, b := f.start("a"), f.start("b")
		drawAllowances(100_000, a, b)
		b.consume(time.Minute, 300)
		a.consume(time.Minute, 100)
		a.SetLogReachable(false)
		for a.Spendable(budget) >= 100 {
			a.Settle(assertGranted(t, a.reserve("own", 100), 100), 1)
			a.Settle(assertGranted(t, a.reserve("spend", 99), 99), 99)
		}
		assertGranted(t, a.reserve("lent", 100, b), 100)
		assert.Assert(t, a.Spendable(budget) >= 500)
	})
}

// TestRequestsAreDecidedWithManyBudgets guards against starvation with more budgets than one Tick adjusts: a
// reservation request is still decided, and each allowance is drawn within a few ticks.
func TestRequestsAreDecidedWithManyBudgets(t *testing.T) {
	f := newFleet(t, fixedPolicy(10))
	a := f.start("a")
	for i := range 2000 {
		key := fmt.Sprint(budget, i)
		a.TopUp(ledger.TopUp{ID: "first", Budget: key, Tokens: 100})
	}
	syncAll(a)
	for i := range 2000 {
		a.OpenAccount(fmt.Sprint(budget, i))
	}
	a.SetLogReachable(false)
	got, ok := a.Reserve(ledger.ReserveRequest{Budget: fmt.Sprint(budget, 7), Request: "one", Tokens: 10, Least: 10})
	assert.Assert(t, ok && got.Refused != nil)
	a.SetLogReachable(true)
	for range 5 {
		a.Tick()
		syncAll(a)
	}
	for i := range 2000 {
		assert.Equal(t, a.Spendable(fmt.Sprint(budget, i)), int64(10))
	}
	assert.NilError(t, a.CheckNext())
}
