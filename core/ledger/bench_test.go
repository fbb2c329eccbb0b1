package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
)

// benchBudgets is the number of budgets that one fold has to support.
const benchBudgets = 330_000

// filledFold returns a fold with the given number of budgets, each with a top-up and a holding.
func filledFold(b *testing.B, budgets int) *ledger.Fold {
	b.Helper()
	f := ledger.New()
	for i := range budgets {
		key := ledger.BudgetKey(fmt.Sprintf("organisation%06d", i), "main")
		_, err := f.Apply("0123456789abcdef", []tail.Item{
			tail.NewItem(ledger.KindTopUp, ledger.TopUp{ID: "first", Budget: key, Tokens: 1 << 40}),
			tail.NewItem(ledger.KindDraw, ledger.Draw{Budget: key, Tokens: 1 << 30, Least: 1}),
		})
		assert.NilError(b, err)
	}
	return f
}

func keyOf(i int) string {
	return ledger.BudgetKey(fmt.Sprintf("organisation%06d", i%benchBudgets), "main")
}

func BenchmarkFoldMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := filledFold(b, benchBudgets)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchBudgets, "heap-B/budget")
		runtime.KeepAlive(f)
	}
}

func BenchmarkFoldDraw(b *testing.B) {
	f := filledFold(b, benchBudgets)
	items := make([][]tail.Item, 1000)
	for i := range items {
		items[i] = []tail.Item{tail.NewItem(ledger.KindDraw, ledger.Draw{Budget: keyOf(i * 317), Tokens: 10, Least: 1})}
	}
	n := 0
	for b.Loop() {
		_, err := f.Apply("0123456789abcdef", items[n%len(items)])
		assert.NilError(b, err)
		n++
	}
}

func BenchmarkFoldCharge(b *testing.B) {
	f := filledFold(b, benchBudgets)
	n := 0
	for b.Loop() {
		key := keyOf(n * 317)
		item := tail.NewItem(ledger.KindCharge, ledger.Charge{Budget: key, Request: fmt.Sprint("request", n), Digest: 7, Tokens: 10,
			From: []ledger.Part{{Holder: "0123456789abcdef", Tokens: 10}}})
		_, err := f.Apply("0123456789abcdef", []tail.Item{item})
		assert.NilError(b, err)
		n++
	}
}

func BenchmarkSnapshot(b *testing.B) {
	f := filledFold(b, benchBudgets)
	b.Run("save", func(b *testing.B) {
		for b.Loop() {
			state, err := f.Save()
			assert.NilError(b, err)
			b.ReportMetric(float64(len(state)), "state-B")
		}
	})
	b.Run("load", func(b *testing.B) {
		state, err := f.Save()
		assert.NilError(b, err)
		for b.Loop() {
			assert.NilError(b, ledger.New().Load(state))
		}
	})
}

// TestStateOfManyBudgetsIsLoadable guards against a state that Save writes and Load refuses: the state has more map
// entries than the codec accepts by default.
func TestStateOfManyBudgetsIsLoadable(t *testing.T) {
	const budgets = 140_000
	f := ledger.New()
	for i := range budgets {
		f.Budgets[keyOf(i)] = &ledger.Budget{Paid: 1}
	}
	state, err := f.Save()
	assert.NilError(t, err)
	loaded := ledger.New()
	assert.NilError(t, loaded.Load(state))
	assert.Equal(t, len(loaded.Budgets), budgets)
}

func BenchmarkTick(b *testing.B) {
	for _, budgets := range []int{10, 1000, benchBudgets} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			book := &ledger.Book{Incarnation: "0123456789abcdef", Fold: filledFold(b, budgets), Now: func() time.Time { return now }, Send: func(...tail.Item) {}}
			book.Default()
			for i := range budgets {
				book.OpenAccount(keyOf(i))
			}
			book.SetReady(true)
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				book.Tick()
			}
		})
	}
}
