package crash_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/crash"
)

var (
	firstSeed = flag.Uint64("crash.seed", 1, "first seed of the randomised runs")
	seeds     = flag.Int("crash.seeds", 6, "number of seeds")
)

// assertRules asserts the users' rules on prompts that crash targets. Outside rates need 20 requests.
func assertRules(t *testing.T, r *crash.Run) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		report, err := r.Play(t.Context())
		assert.NilError(t, err)
		t.Log(r, report)
		assert.Assert(t, report.Late <= 3, "BUDGET: %d late requests", report.Late)
		if report.Sound >= 20 && report.SoundBefore >= 20 {
			assert.Assert(t, 2*report.First*report.SoundBefore >= report.Sound*report.FirstBefore, "LOST: %v", report)
		}
	})
}

// TestRandomCrashes plays fleets of several sizes with random loads and faults.
func TestRandomCrashes(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { assertRules(t, randomRun(seed)) })
	}
}

func randomRun(seed uint64) *crash.Run {
	rng := rand.New(rand.NewPCG(seed, 1))
	seconds := func(from, to float64) time.Duration {
		return time.Duration((from + rng.Float64()*(to-from)) * float64(time.Second))
	}
	r := &crash.Run{
		Seed: seed, Instances: []int{3, 8, 20, 60}[rng.IntN(4)], Targets: 6 + rng.IntN(20), Sound: 20 + 60*rng.Float64(), Crashing: 1 + 12*rng.Float64(),
		CrashingFrom: seconds(4, 8), Length: 30 * time.Second, CrashingFirst: rng.IntN(2) == 0,
	}
	window := func() []crash.Window {
		from := seconds(3, 14)
		return []crash.Window{{From: from, To: from + seconds(1, 6)}}
	}
	if rng.IntN(3) == 0 {
		r.Rejects = 0.1
	}
	switch rng.IntN(7) {
	case 0:
		r.LogAway = window()
	case 1:
		r.Parted = window()
	case 2:
		r.Restarts = []time.Duration{seconds(5, 15)}
	case 3:
		r.AllCrash, r.HalfCrash = seconds(5, 15), rng.IntN(2) == 0
	case 4:
		r.LogAway, r.Restarts = window(), []time.Duration{seconds(5, 15)}
	case 5:
		for at := seconds(5, 8); at < r.Length; at += seconds(3, 6) {
			r.Restarts = append(r.Restarts, at)
		}
	}
	return r
}

// TestRandomRepeats simulates fleets in which repeats of one request crash targets, with random loads and faults.
func TestRandomRepeats(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { assertRules(t, randomRepeats(seed)) })
	}
}

func randomRepeats(seed uint64) *crash.Run {
	rng := rand.New(rand.NewPCG(seed, 2))
	r := randomRun(seed)
	r.Same, r.Length = true, 90*time.Second
	r.Targets = []int{3, 5, 18}[rng.IntN(3)]
	r.Sound /= 4
	if rng.IntN(2) == 0 {
		r.Equal = 0.2 + 2*rng.Float64()
	}
	if rng.IntN(2) == 0 {
		r.Leaves = rng.Float64()
	}
	return r
}

// TestRepeatedRequestCrashesFewTargets guards against a repeated request that crashes target after target, also while an equal request of another
// caller is answered.
func TestRepeatedRequestCrashesFewTargets(t *testing.T) {
	for _, targets := range []int{3, 18} {
		for _, equal := range []float64{0, 1} {
			t.Run(fmt.Sprintf("%d targets, %v equal requests a second", targets, equal), func(t *testing.T) {
				assertRules(t, &crash.Run{
					Seed: 1, Instances: 8, Targets: targets, Sound: 10, Crashing: 2, CrashingFrom: 5 * time.Second, Length: 90 * time.Second, Same: true, Equal: equal,
				})
			})
		}
	}
}

// TestCallersWhoLeave guards against crashes that are not attributed to a request because its caller disconnected and the instance closed the
// exchange.
func TestCallersWhoLeave(t *testing.T) {
	for _, targets := range []int{3, 18} {
		t.Run(fmt.Sprintf("%d targets", targets), func(t *testing.T) {
			assertRules(t, &crash.Run{
				Seed: 1, Instances: 8, Targets: targets, Sound: 10, Crashing: 2, CrashingFrom: 5 * time.Second, Length: 90 * time.Second, Same: true, Leaves: 1,
			})
		})
	}
}

// TestCrashesOfAllTargets guards against sound requests that are refused because all targets, or half of them, crashed at the same moment
// while they had such requests.
func TestCrashesOfAllTargets(t *testing.T) {
	for _, half := range []bool{false, true} {
		for _, instances := range []int{4, 60} {
			t.Run(fmt.Sprintf("half %t, %d instances", half, instances), func(t *testing.T) {
				assertRules(t, &crash.Run{Seed: 1, Instances: instances, Targets: 16, Sound: 60, Length: 20 * time.Second, AllCrash: 6 * time.Second, HalfCrash: half})
			})
		}
	}
}

// TestProbeThatNoTargetRan guards against sound requests that are refused for long because the probe of the part that they share reached no
// target. It is a random run that failed: all targets crash while requests that crash them arrive.
func TestProbeThatNoTargetRan(t *testing.T) {
	assertRules(t, &crash.Run{
		Seed: 158, Instances: 60, Targets: 18, Sound: 60.40140617939341, Crashing: 1.7652071018850544, CrashingFrom: 5706038652,
		Length: 30 * time.Second, AllCrash: 6053798315,
	})
}
