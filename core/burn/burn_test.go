package burn_test

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/burn"
	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
)

// start is the initial time of the test clocks; it is a full hour.
var start = time.Unix(1_800_000_000, 0).Truncate(time.Hour)

// testMeter is a meter with a manual clock.
type testMeter struct {
	burn.Meter
	now time.Time
}

func newTestMeter(instance string) *testMeter {
	c := &testMeter{now: start}
	c.Meter = burn.Meter{
		Instance: instance,
		Now:      func() time.Time { return c.now },
		Objectives: func(organisation string) (conf.Objectives, bool) {
			return conf.Objectives{
				FirstTokenMS: 990, TokenGapMS: 28, TargetRatio: 0.9, AvailabilityRatio: 0.99, FalseRefusalRatio: 0.999,
			}, organisation != "gone"
		},
	}
	c.Default()
	return c
}

func (c *testMeter) advance(d time.Duration) { c.now = c.now.Add(d) }

func (c *testMeter) observe(n int, s burn.Sample) {
	s.Organisation = "a"
	for range n {
		c.Observe(s)
	}
}

func (c *testMeter) report() burn.InstanceReport { return c.Report(c.now) }

func (c *testMeter) level(t *testing.T, o burn.Objective) burn.Level {
	t.Helper()
	return levelOf(t, burn.Merge([]burn.InstanceReport{c.report()}), o)
}

func levelOf(t *testing.T, r burn.Report, o burn.Objective) burn.Level {
	t.Helper()
	assert.Equal(t, len(r.Organisations), 1)
	for _, l := range r.Organisations[0].Levels {
		if l.Objective == o {
			return l
		}
	}
	t.Fatalf("no objective %s", o)
	return burn.Level{}
}

func assertWindow(t *testing.T, l burn.Level, s burn.WindowName, good, total int64, rate float64) {
	t.Helper()
	w := l.Window(s)
	assert.Equal(t, w.Count, burn.Count{Good: good, Total: total}, "%s %s", l.Objective, s)
	assert.Assert(t, math.Abs(w.BurnRate-rate) < 1e-6, "%s %s: burn rate %v, want %v", l.Objective, s, w.BurnRate, rate)
}

var (
	good  = burn.Sample{Complete: true, FirstToken: 990 * time.Millisecond, Gap: 28 * time.Millisecond}
	slow  = burn.Sample{Complete: true, FirstToken: 991 * time.Millisecond, Gap: 29 * time.Millisecond}
	short = burn.Sample{Complete: true, FirstToken: time.Millisecond}
)

// TestSamplesCountTowardObjectives checks which samples count for each objective. Refusals that the caller caused
// count for none, and a response too short for a token gap does not count for the token gap.
func TestSamplesCountTowardObjectives(t *testing.T) {
	c := newTestMeter("i-1")
	c.observe(90, good)
	c.observe(6, slow)
	c.observe(2, short)
	c.observe(1, burn.Refusal("a", codes.BudgetElsewhere))
	c.observe(1, burn.Refusal("a", codes.NoTarget))
	c.observe(50, burn.Refusal("a", codes.BadRequest))
	c.observe(50, burn.Refusal("a", codes.BudgetExhausted))
	c.Observe(burn.Sample{Organisation: "gone", Complete: true})
	assertWindow(t, c.level(t, burn.FirstToken), burn.OneHour, 92, 98, 6.0/98/0.1)
	assertWindow(t, c.level(t, burn.TokenGap), burn.OneHour, 90, 96, 6.0/96/0.1)
	assertWindow(t, c.level(t, burn.Availability), burn.ThreeDays, 98, 100, 2)
	assertWindow(t, c.level(t, burn.FalseRefusals), burn.FiveMinutes, 99, 100, 10)
	assert.Assert(t, math.Abs(c.level(t, burn.Availability).BudgetLeftRatio+1) < 1e-6)
	t.Run("an organisation without a template is removed", func(t *testing.T) {
		c.Objectives = func(string) (conf.Objectives, bool) { return conf.Objectives{}, false }
		assert.Equal(t, len(c.report().Organisations), 0)
	})
}

func TestWindowsSlide(t *testing.T) {
	c := newTestMeter("i-1")
	c.observe(10, burn.Sample{})
	nonEmptyWindows := func() (names []burn.WindowName) {
		for _, w := range c.level(t, burn.Availability).Windows {
			if w.Count.Total > 0 {
				names = append(names, w.Window)
			}
		}
		return names
	}
	for _, step := range []struct {
		age     time.Duration
		windows []burn.WindowName
	}{
		{5*time.Minute - time.Second, []burn.WindowName{"5m", "30m", "1h", "6h", "3d"}},
		{5 * time.Minute, []burn.WindowName{"30m", "1h", "6h", "3d"}},
		{30 * time.Minute, []burn.WindowName{"1h", "6h", "3d"}},
		{time.Hour, []burn.WindowName{"6h", "3d"}},
		{6 * time.Hour, []burn.WindowName{"3d"}},
		{72*time.Hour - time.Second, []burn.WindowName{"3d"}},
		{72 * time.Hour, nil},
	} {
		c.now = start.Add(step.age)
		assert.DeepEqual(t, nonEmptyWindows(), step.windows)
	}
	t.Run("counts survive a clock that was set back", func(t *testing.T) {
		c.advance(-time.Hour)
		c.observe(3, good)
		assertWindow(t, c.level(t, burn.Availability), burn.FiveMinutes, 3, 3, 0)
	})
}

func TestAlerts(t *testing.T) {
	// The availability target is 0.99, so that 1 bad request in 100 is a burn rate of 1.
	for _, step := range []struct {
		name  string
		run   func(c *testMeter)
		alert burn.Alert
	}{
		{"no alert without bad requests", func(c *testMeter) { c.observe(1, good) }, burn.OK},
		{"fast alert for a burst within both windows of the fast rule", func(c *testMeter) {
			c.observe(856, good)
			c.observe(144, burn.Sample{})
		}, burn.FastBurn},
		{"slow alert for a burst that ended", func(c *testMeter) {
			c.observe(850, good)
			c.observe(150, burn.Sample{})
			c.advance(31 * time.Minute)
			c.observe(10, good)
		}, burn.SlowBurn},
		{"fast alert after six hours at a burn rate of 6", func(c *testMeter) {
			for range 6 * 12 {
				c.advance(5 * time.Minute)
				c.observe(94, good)
				c.observe(6, burn.Sample{})
			}
		}, burn.FastBurn},
		{"slow alert after six hours at a burn rate just below 6", func(c *testMeter) {
			for range 6 * 12 {
				c.advance(5 * time.Minute)
				c.observe(945, good)
				c.observe(55, burn.Sample{})
			}
		}, burn.SlowBurn},
		{"no alert at a sustainable burn rate", func(c *testMeter) {
			c.observe(991, good)
			c.observe(9, burn.Sample{})
		}, burn.OK},
	} {
		t.Run(step.name, func(t *testing.T) {
			c := newTestMeter("i-1")
			step.run(c)
			assert.Equal(t, c.level(t, burn.Availability).Alert, step.alert)
		})
	}
}

// TestMergedReportsEqualOneReport checks that the merged reports of two instances equal the report of one instance
// that saw all requests. A second report of the same instance must not be counted twice.
func TestMergedReportsEqualOneReport(t *testing.T) {
	x, y, both := newTestMeter("i-1"), newTestMeter("i-2"), newTestMeter("both")
	for hour := range 30 {
		for i, c := range []*testMeter{x, y} {
			for _, m := range []*testMeter{c, both} {
				m.observe(hour, good)
				m.observe(i+1, slow)
				m.observe(i, burn.Refusal("a", codes.BudgetElsewhere))
			}
			c.advance(50 * time.Minute)
		}
		both.advance(50 * time.Minute)
	}
	want := burn.Merge([]burn.InstanceReport{both.report()})
	missing := burn.InstanceReport{Instance: "i-3", Missing: "no answer within 2s"}
	got := burn.Merge([]burn.InstanceReport{missing, jsonRoundTrip(t, x.report()), x.report(), y.report(), {Instance: "i-1", Missing: "a second time"}})
	assert.DeepEqual(t, got.Organisations, want.Organisations)
	assert.Assert(t, want.Organisations[0].FirstToken.P95US > 900_000)
	assert.Equal(t, len(got.Instances), 3)
	assert.DeepEqual(t, got.Missing(), []burn.InstanceStatus{{Instance: "i-3", Missing: "no answer within 2s"}})
	t.Run("series of reports an hour apart are aligned", func(t *testing.T) {
		early := x.report()
		x.advance(time.Hour)
		y.advance(time.Hour)
		late := levelOf(t, burn.Merge([]burn.InstanceReport{early, y.report()}), burn.Availability).Series
		assert.Equal(t, late.FromUnix, y.report().Organisations[0].Levels[0].Series.FromUnix)
		assert.Equal(t, sum(late.Counts), sum(levelOf(t, want, burn.Availability).Series.Counts))
	})
}

func sum(counts []burn.Count) (sum int64) {
	for _, c := range counts {
		sum += c.Total
	}
	return sum
}

func jsonRoundTrip(t *testing.T, r burn.InstanceReport) (back burn.InstanceReport) {
	t.Helper()
	data, err := json.Marshal(r)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, &back))
	return back
}

func TestMemoryIsBounded(t *testing.T) {
	const organisations, bound = 230, 6 << 20
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, c := heap(), newTestMeter("i-1")
	for range 100 {
		c.advance(47 * time.Minute)
		for o := range organisations {
			s := good
			s.Organisation = fmt.Sprint("organisation-", o)
			s.FirstToken = time.Duration(o) * 20 * time.Millisecond
			c.Observe(s)
		}
	}
	used := heap() - before
	data, err := json.Marshal(c.report())
	assert.NilError(t, err)
	t.Logf("%d organisations: %d KiB of memory, %d KiB of JSON", organisations, used>>10, len(data)>>10)
	assert.Assert(t, used < bound, "%d bytes", used)
	runtime.KeepAlive(c)
}

func ExampleMerge() {
	now := time.Unix(1_800_000_000, 0)
	m := burn.Meter{
		Instance:   "i-1",
		Now:        func() time.Time { return now },
		Objectives: func(string) (conf.Objectives, bool) { return conf.Objectives{AvailabilityRatio: 0.75}, true },
	}
	m.Default()
	m.Observe(burn.Sample{Organisation: "a", Complete: true})
	m.Observe(burn.Sample{Organisation: "a"})
	r := burn.Merge([]burn.InstanceReport{m.Report(now), {Instance: "i-2", Missing: "instance is unreachable"}})
	for _, l := range r.Organisations[0].Levels {
		if l.Objective == burn.Availability {
			fmt.Println(l.Window(burn.OneHour).BurnRate, l.Alert, r.Missing()[0].Instance)
		}
	}
	// Output: 2 slow_burn i-2
}
