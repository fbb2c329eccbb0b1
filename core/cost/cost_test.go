package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/cost"
	"cranberryrail/core/roster"
)

// fixture is a model and a ledger with a clock of their own.
type fixture struct {
	model  cost.Model
	ledger cost.Ledger
	now    time.Time
	id     int64
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.model.Now, f.ledger.Now = func() time.Time { return f.now }, func() time.Time { return f.now }
	f.model.Default()
	f.ledger.Default()
	return f
}

// observe lets a request take its time at a target without other requests.
func (f *fixture) observe(r cost.Request, target string, first, total float64, output int64) {
	e := f.model.Estimate(&r)
	p := f.model.Plan(&r, &e, target, cost.Wait{}, 0)
	f.now = f.now.Add(20 * time.Millisecond)
	f.model.Observe(&cost.Outcome{Plan: p, First: first, Total: total, Output: output})
}

func (f *fixture) first(r cost.Request, target string) float64 {
	e := f.model.Estimate(&r)
	return f.model.Plan(&r, &e, target, f.ledger.Wait(target, e.PerToken), 0).First
}

func near(t *testing.T, got, expected, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-expected) <= tolerance*expected, "%.3f, expected %.3f", got, expected)
}

// TestOutputs guards against estimates that trust hints which mean nothing, ignore those that are right, mix up routes, or do not forget.
func TestOutputs(t *testing.T) {
	learn := func(hintOf func(output int64) int64) *fixture {
		f := newFixture()
		random := rand.New(rand.NewPCG(1, 2))
		for range 600 {
			output := int64(100 * math.Exp(0.8*random.NormFloat64()))
			f.observe(cost.Request{Route: "a", Prompt: 100, MaxOutput: 4000, Hint: hintOf(output)}, "t", 50, 50+4*float64(output), output)
		}
		return f
	}
	estimate := func(f *fixture, route string, hint int64) cost.Estimate {
		return f.model.Estimate(&cost.Request{Route: route, Prompt: 100, MaxOutput: 4000, Hint: hint})
	}
	t.Run("quantiles", func(t *testing.T) {
		e := estimate(learn(func(int64) int64 { return 0 }), "a", 0)
		near(t, e.P50, 100, 0.2)
		near(t, e.P90, 100*math.Exp(0.8*1.28), 0.25)
		near(t, e.Mean, 100*math.Exp(0.32), 0.25)
	})
	t.Run("hints that are right", func(t *testing.T) {
		near(t, estimate(learn(func(output int64) int64 { return output }), "a", 800).P50, 800, 0.25)
	})
	t.Run("hints that mean nothing", func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 4))
		near(t, estimate(learn(func(int64) int64 { return 1 + random.Int64N(10_000) }), "a", 10_000).P50, 100, 0.3)
	})
	t.Run("another route", func(t *testing.T) {
		near(t, estimate(learn(func(int64) int64 { return 0 }), "b", 0).P50, 1000, 0.01) // a quarter of the maximum
	})
	t.Run("forgotten", func(t *testing.T) {
		f := learn(func(int64) int64 { return 0 })
		f.now = f.now.Add(10 * time.Minute)
		near(t, estimate(f, "a", 0).P50, 1000, 0.05)
	})
}

// TestSpeeds guards against expected times that miss the speed of a target, the length of the prompt, what is cached, or the time of a plain route.
func TestSpeeds(t *testing.T) {
	f := newFixture()
	random := rand.New(rand.NewPCG(5, 6))
	for i := range 600 {
		slowdown := float64(1 + i%2)
		tokens := 500 + random.Int64N(8000)
		f.observe(cost.Request{Service: "s", Prompt: tokens, MaxOutput: 500}, fmt.Sprint(i%2), slowdown*(40+float64(tokens)/50), slowdown*(440+float64(tokens)/50), 100)
		f.observe(cost.Request{Service: "p", Route: fmt.Sprint(i % 2)}, "plain", slowdown*30, slowdown*30, 0)
	}
	r := cost.Request{Service: "s", Prompt: 4000, MaxOutput: 500, Parts: []cost.Part{{ID: "shared", Tokens: 3000}, {ID: "own", Tokens: 1000}}}
	t.Run("slow and fast", func(t *testing.T) {
		near(t, f.first(r, "0"), 120, 0.2)
		near(t, f.first(r, "1"), 240, 0.2)
	})
	t.Run("plain", func(t *testing.T) {
		near(t, f.first(cost.Request{Service: "p", Route: "0"}, "other"), 30, 0.1)
		near(t, f.first(cost.Request{Service: "p", Route: "1"}, "other"), 60, 0.1)
	})
	t.Run("cached until a restart", func(t *testing.T) {
		f.model.Sent("0", &r)
		near(t, f.first(r, "0"), 60, 0.25)
		f.model.Forget("0")
		assert.Assert(t, f.first(r, "0") > 100)
	})
}

// TestLedger guards against work that is lost, counted twice or never ends.
func TestLedger(t *testing.T) {
	f := newFixture()
	r := cost.Request{Service: "s", Prompt: 7000, MaxOutput: 400}
	begin := func() {
		f.id++
		e := f.model.Estimate(&r)
		p := f.model.Plan(&r, &e, "t", f.ledger.Wait("t", e.PerToken), 0)
		f.ledger.Begin(f.id, &p, 2)
	}
	begin()
	near(t, f.ledger.Wait("t", 0.014).Tokens, 7000, 0.01)
	f.now = f.now.Add(49 * time.Millisecond)
	near(t, f.ledger.Wait("t", 0.014).Tokens, 3500, 0.01)
	f.ledger.Began(1)
	assert.Equal(t, f.ledger.Wait("t", 0.014).Tokens, 0.0)
	assert.Assert(t, f.ledger.Remaining("t") > 0)
	f.ledger.Report("t", "s", roster.Load{Running: 2, Waiting: 4, Capacity: 2, Pace: 2.5})
	w := f.ledger.Wait("t", 0.014)
	assert.Assert(t, w.SlotMS > 500, "%+v", w) // six requests at two slots
	near(t, w.LogPace, math.Log(2.5), 0.01)
	f.now = f.now.Add(time.Minute)
	w = f.ledger.Wait("t", 0.014)
	assert.Assert(t, w.LogPace < 0.1, "%+v", w)
	f.ledger.End(1)
	f.ledger.End(1)
	assert.Equal(t, f.ledger.Remaining("t"), 0.0)
}

// TestOddValues guards against estimates that are no numbers, and against a process that runs out of memory, because callers or targets state odd values.
func TestOddValues(t *testing.T) {
	const limit = 16 << 20
	f := newFixture()
	for i := range 20_000 {
		name := fmt.Sprint(i)
		r := cost.Request{
			Route: name, Organisation: name, Service: name, Prompt: math.MaxInt32, MaxOutput: int64(i%2) * math.MaxInt32, Hint: math.MaxInt64,
			Parts: []cost.Part{{ID: name, Tokens: math.MaxInt}, {ID: name, Tokens: -1}},
		}
		f.ledger.Report(name, name, roster.Load{Running: math.MaxInt, Waiting: -1, Capacity: i % 3, Pace: math.Inf(1), AgeMS: math.MinInt64})
		f.model.Sent(name, &r)
		f.observe(r, name, math.NaN(), 0, math.MaxInt64)
		f.observe(r, name, 1e300, 1e301, -1)
		f.observe(r, name, 1e-300, 1e4, 1)
		first := f.first(r, name)
		assert.Assert(t, first >= 0 && !math.IsInf(first, 0), "%v", first)
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	assert.Assert(t, m.HeapAlloc < limit, "%d bytes", m.HeapAlloc)
	runtime.KeepAlive(f)
}
