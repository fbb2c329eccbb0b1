package rate_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/rate"
)

// Limits of a cold target in the tests: those of a deployment with 85 instances.
const (
	coldPerSecond = 8.9
	coldOver      = 1.5
	coldSlack     = 5.0
	coldBound     = coldPerSecond*coldOver + coldSlack
)

// coldFleet is a fleet in virtual time.
type coldFleet struct {
	now      time.Time
	ids      []string
	trackers []*rate.Tracker
}

func newColdFleet(size int) *coldFleet {
	f := &coldFleet{now: time.Unix(1000, 0)}
	for i := range size {
		f.ids = append(f.ids, fmt.Sprint("i-", i))
	}
	for _, id := range f.ids {
		t := &rate.Tracker{Instance: id, Now: func() time.Time { return f.now }}
		t.Default()
		t.SetInstances(f.ids, false)
		f.trackers = append(f.trackers, t)
	}
	return f
}

func (f *coldFleet) setCold(target string, d time.Duration) {
	cold := []rate.Cold{{Incarnation: target, PerSecond: coldPerSecond, Burst: (coldOver-1)*coldPerSecond + coldSlack, Until: f.now.Add(d)}}
	for _, t := range f.trackers {
		t.SetCold(cold)
	}
}

// press lets each instance send as often as it may for a time, and returns when the requests arrive.
func (f *coldFleet) press(target string, d time.Duration, rng *rand.Rand) []time.Time {
	const (
		step     = 20 * time.Millisecond
		maxDelay = 5 * time.Millisecond
	)
	var arrivals []time.Time
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, t := range f.trackers {
			if t.Wait(target) == 0 && rng.IntN(4) > 0 {
				t.Take(target)
				arrivals = append(arrivals, f.now.Add(time.Duration(rng.Int64N(int64(maxDelay)))))
			}
		}
	}
	return arrivals
}

// busiestSecond returns the largest number of arrivals within a second.
func busiestSecond(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdTargetIsNotFlooded guards against more requests to a cold target in a second than it bears, from all instances together, whichever of them are parted from
// the others, and against a target that gets none although it bears some.
func TestColdTargetIsNotFlooded(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		f := newColdFleet([]int{1, 8, 85}[seed%3])
		target := fmt.Sprint("t@", seed)
		f.setCold(target, time.Minute)
		if parted := f.trackers[rng.IntN(len(f.trackers))]; seed%2 == 0 {
			parted.SetInstances(f.ids[:len(f.ids)*9/10+1], false) // it has not seen the latest registrations
		}
		arrivals := f.press(target, 6*time.Second, rng)
		most := busiestSecond(arrivals)
		assert.Assert(t, float64(most) <= coldBound, "seed %d: %d requests in a second", seed, most)
		assert.Assert(t, float64(len(arrivals)) >= coldPerSecond, "seed %d: %d requests", seed, len(arrivals))
	}
}

// TestTargetBecomesColdAgain guards against a target that becomes cold a second time and gets what accumulated while it was warm.
func TestTargetBecomesColdAgain(t *testing.T) {
	f, rng := newColdFleet(85), rand.New(rand.NewPCG(1, 0))
	f.setCold("t@1", 3*time.Second)
	assert.Assert(t, f.trackers[0].IsCold("t@1"))
	f.press("t@1", 3*time.Second, rng)
	assert.Assert(t, !f.trackers[0].IsCold("t@1"))
	assert.Equal(t, f.trackers[0].Wait("t@1"), time.Duration(0))
	for _, tracker := range f.trackers {
		tracker.SetCold(nil)
	}
	f.now = f.now.Add(time.Minute)
	f.setCold("t@1", 3*time.Second)
	assert.Assert(t, float64(busiestSecond(f.press("t@1", 3*time.Second, rng))) <= coldBound)
}

// TestJoinedInstanceSparesColdTargets guards against an instance that the others do not count yet and that sends its share as well.
func TestJoinedInstanceSparesColdTargets(t *testing.T) {
	f := newColdFleet(4)
	joined := &rate.Tracker{Instance: "i-9", Now: func() time.Time { return f.now }}
	joined.Default()
	joined.SetInstances(append(slices.Clone(f.ids), "i-9"), true)
	joined.SetCold([]rate.Cold{{Incarnation: "t@1", PerSecond: coldPerSecond, Burst: coldSlack, Until: f.now.Add(time.Minute)}})
	f.now = f.now.Add(5 * time.Second)
	assert.Assert(t, joined.Wait("t@1") > 0)
}
