package rates_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/rates"
)

var (
	firstSeed = flag.Uint64("rates.seed", 1, "first seed of the randomised runs")
	seeds     = flag.Int("rates.seeds", 8, "number of seeds")
)

// play runs a simulation, asserts the users' rule and returns the report.
func play(t *testing.T, r *rates.Run) (report rates.Report) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		report, err = r.Play(t.Context())
		assert.NilError(t, err)
		t.Log(r, report)
		assert.Assert(t, float64(report.Most) <= report.Allowed, "LIMIT: %v", report)
	})
	return report
}

// TestRandomLimits simulates fleets of several sizes with random limits, loads and faults.
func TestRandomLimits(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { play(t, randomRun(seed)) })
	}
}

func randomRun(seed uint64) *rates.Run {
	rng := rand.New(rand.NewPCG(seed, 1))
	seconds := func(from, to float64) time.Duration {
		return time.Duration((from + rng.Float64()*(to-from)) * float64(time.Second))
	}
	r := &rates.Run{
		Seed: seed, Instances: []int{1, 3, 8, 60, 295}[rng.IntN(5)], Limit: []float64{0, 0.2, 1, 1.1, 5, 40}[rng.IntN(6)],
		From: seconds(2, 6), Length: 60 * time.Second,
	}
	r.Demand = max(1, r.Limit) * (0.5 + 8*rng.Float64())
	for range rng.IntN(4) {
		r.Bursts = append(r.Bursts, r.From+seconds(3, 30))
	}
	if rng.IntN(2) == 0 {
		r.To = seconds(30, 50)
	}
	if rng.IntN(3) == 0 {
		r.Changed, r.ChangeAt = r.Limit*(0.3+2*rng.Float64()), seconds(15, 25)
	}
	window := func() []rates.Window {
		from := seconds(1, 30)
		return []rates.Window{{From: from, To: from + seconds(1, 20)}}
	}
	switch rng.IntN(6) {
	case 0:
		r.LogAway = window()
	case 1:
		r.Parted = window()
	case 2:
		for at := seconds(5, 10); at < r.Length; at += seconds(3, 12) {
			r.Restarts = append(r.Restarts, at)
		}
	case 3:
		r.Joins, r.JoinAt = r.Instances, seconds(8, 20)
	case 4:
		r.LogAway, r.Restarts = window(), []time.Duration{seconds(5, 30)}
	}
	return r
}

// TestLimitIsUsed checks that a target with enough demand receives more than half of its limit, and more than half of the demand once the limit has
// ended.
func TestLimitIsUsed(t *testing.T) {
	for _, instances := range []int{1, 8, 295} {
		for _, limit := range []float64{1, 10, 100} {
			t.Run(fmt.Sprintf("%d instances, limit %v", instances, limit), func(t *testing.T) {
				demand := 400.0
				report := play(t, &rates.Run{
					Seed: 1, Instances: instances, Demand: demand, Limit: limit, From: 2 * time.Second, To: 60 * time.Second, Length: 80 * time.Second,
				})
				assert.Assert(t, report.Rate > limit/2, "%v", report)
				assert.Assert(t, report.RateAfter > demand/2, "%v", report)
			})
		}
	}
}
