package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/ledger"
)

// use lets an instance use tokens each second for a time.
func (m *member) use(d time.Duration, tokens int64) {
	m.f.t.Helper()
	for i := range int(d / time.Second) {
		m.f.now = m.f.now.Add(time.Second)
		m.Settle(assertGranted(m.f.t, m.ask(fmt.Sprint(m.Inc, m.f.now.Unix(), i), tokens), tokens), tokens)
		m.Tick()
		sync(m)
	}
}

func assertBetween(t *testing.T, got, least, most int64) {
	t.Helper()
	assert.Assert(t, got >= least && got <= most, "%d is not within %d and %d", got, least, most)
}

func adaptive() ledger.Policy {
	return ledger.Policy{Kind: ledger.Adaptive, Cover: 100 * time.Second, ChunkTokens: 1000, Strand: 0.1}
}

func TestAdaptive(t *testing.T) {
	t.Run("holds the cover of the usual use", func(t *testing.T) {
		f := newFleet(t, adaptive())
		a := f.start("a")
		hold(10_000_000, a)
		a.use(5*time.Minute, 100)
		assertBetween(t, a.Spendable(budget), 8500, 11_500)
	})
	t.Run("gives back what is too much after a while without use", func(t *testing.T) {
		f := newFleet(t, adaptive())
		a := f.start("a")
		hold(10_000_000, a)
		a.use(time.Minute, 1000)
		f.now = f.now.Add(time.Hour)
		a.Tick()
		sync(a)
		assertBetween(t, a.Spendable(budget), 0, 1000)
	})
	t.Run("holds nine tenths of what is left", func(t *testing.T) {
		f := newFleet(t, adaptive())
		a := f.start("a")
		hold(10_000, a)
		a.use(time.Minute, 100)
		assertBetween(t, a.Spendable(budget), 3000, 3600)
	})
	t.Run("holds little once much was lost", func(t *testing.T) {
		f := newFleet(t, adaptive())
		a, dead := f.start("a"), f.start("dead")
		a.Live = func(inc string) bool { return inc != "dead" }
		hold(10_000, a, dead)
		assert.Assert(t, a.Fold.Budgets[budget].HeldBy("dead") >= 1000)
		a.use(30*time.Second, 10)
		assertBetween(t, a.Spendable(budget), 40, 150)
	})
}

func TestLoans(t *testing.T) {
	t.Run("several holders make up one", func(t *testing.T) {
		f := newFleet(t, chunks(300))
		a, b, c := f.start("a"), f.start("b"), f.start("c")
		hold(900, a, b, c)
		got, ok := a.Reserve(ledger.Need{Budget: budget, Request: "one", Tokens: 850, Least: 850})
		assert.Assert(t, !ok)
		l := a.loans[0]
		a.Gathered(budget, []ledger.Part{
			{Holder: "b", Tokens: b.Lend(budget, l.Tokens, l.Least)},
			{Holder: "c", Tokens: c.Lend(budget, l.Tokens-300, l.Least)},
		})
		assertGranted(t, a.decided[got.ID], 850)
	})
	t.Run("are given back when they are not needed", func(t *testing.T) {
		f := newFleet(t, chunks(300))
		a, b := f.start("a"), f.start("b")
		hold(600, a, b)
		a.Settle(assertGranted(t, a.ask("one", 500, b), 500), 100)
		sync(a, b)
		f.now = f.now.Add(2 * ledger.LoanReturn)
		a.Tick()
		sync(a, b)
		assert.Equal(t, b.Fold.Budgets[budget].HeldBy("b"), int64(100))
		assert.Equal(t, b.Spendable(budget), int64(100))
	})
	t.Run("cover more than one need while the log is down", func(t *testing.T) {
		f := newFleet(t, adaptive())
		a, b := f.start("a"), f.start("b")
		hold(100_000, a, b)
		b.use(time.Minute, 300)
		a.use(time.Minute, 100)
		a.SetLog(false)
		for a.Spendable(budget) >= 100 {
			a.Settle(assertGranted(t, a.ask("own", 100), 100), 1)
			a.Settle(assertGranted(t, a.ask("spend", 99), 99), 99)
		}
		assertGranted(t, a.ask("lent", 100, b), 100)
		assert.Assert(t, a.Spendable(budget) >= 500)
	})
}

// TestManyBudgets shows that a need is answered in time among more budgets than one
// Tick looks at, and that each allowance gets its turn.
func TestManyBudgets(t *testing.T) {
	f := newFleet(t, chunks(10))
	a := f.start("a")
	for i := range 2000 {
		key := fmt.Sprint(budget, i)
		a.TopUp(ledger.TopUp{ID: "first", Budget: key, Tokens: 100})
	}
	sync(a)
	for i := range 2000 {
		a.Keep(fmt.Sprint(budget, i))
	}
	a.SetLog(false)
	got, ok := a.Reserve(ledger.Need{Budget: fmt.Sprint(budget, 7), Request: "one", Tokens: 10, Least: 10})
	assert.Assert(t, ok && got.Refused != nil)
	a.SetLog(true)
	for range 5 {
		a.Tick()
		sync(a)
	}
	for i := range 2000 {
		assert.Equal(t, a.Spendable(fmt.Sprint(budget, i)), int64(10))
	}
	assert.NilError(t, a.CheckNext())
}
