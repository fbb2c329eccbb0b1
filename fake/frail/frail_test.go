package frail_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/frail"
)

const (
	limit    = 5
	overload = 1.5
	seeds    = 3
)

// mostUsed is the part of what the targets can run that is served at least.
const mostUsed = 720.0 / 1200

// TestBrittleTargetsRunWhatTheyCan guards against brittle targets that fall over, or that idle while requests are refused. The bounds are those of
// TestBrittleTargetsStayUp, and 720 of 1,200 requests that the targets can run, without the delays of a busy machine.
func TestBrittleTargetsRunWhatTheyCan(t *testing.T) {
	for _, instances := range []int{2, 4, 10} {
		for _, shape := range []struct{ targets, slots int }{{4, 4}, {3, 8}, {4, 16}} {
			t.Run(fmt.Sprintf("%d instances, %d targets with %d slots", instances, shape.targets, shape.slots), func(t *testing.T) {
				t.Parallel()
				sum := runs(frail.Run{Instances: instances, Targets: shape.targets, Slots: shape.slots, Queue: 2, Load: overload})
				assert.Check(t, sum.Falls == 0 && float64(sum.Served)*overload >= mostUsed*float64(sum.Offered), "%+v", sum)
			})
		}
	}
}

// TestFewSlotsForManyInstances guards against falls where nothing may wait, most instances have no share or do not know the others, and instances start and are killed.
func TestFewSlotsForManyInstances(t *testing.T) {
	for _, r := range []frail.Run{
		{Instances: 2, Targets: 4, Slots: 16},
		{Instances: 10, Targets: 4, Slots: 4},
		{Instances: 20, Targets: 4, Slots: 4},
		{Instances: 100, Targets: 3, Slots: 8},
		{Instances: 4, Targets: 4, Slots: 4, Queue: 2, Stops: 2, Joins: 2, LearnAfter: 2 * time.Second},
		{Instances: 10, Targets: 3, Slots: 8, Queue: 2, Stops: 3, Joins: 3, LearnAfter: 2 * time.Second},
		{Instances: 1, Targets: 4, Slots: 16, Joins: 1, LearnAfter: 6 * time.Second},
		{Instances: 4, Targets: 4, Slots: 16, UnknownFor: time.Minute},
		{Instances: 10, Targets: 3, Slots: 8, UnknownFor: 10 * time.Second},
		{Instances: 4, Targets: 4, Slots: 4, Queue: 2, Production: 2},
		{Instances: 4, Targets: 4, Slots: 16, Queue: 2, Production: 2},
	} {
		for _, load := range []float64{0.5, overload} {
			r := r // Both loads run at the same time.
			r.Load = load
			t.Run(fmt.Sprintf("%v, queue %d, %d old, %d joins, unknown for %s, load %v", &r, r.Queue, r.Production, r.Joins, r.UnknownFor, load), func(t *testing.T) {
				t.Parallel()
				sum := runs(r)
				t.Logf("%+v", sum)
				assert.Check(t, sum.Falls == 0, "%+v", sum)
			})
		}
	}
}

// runs returns the sum of the results of a simulation with each of several seeds.
func runs(r frail.Run) (sum frail.Result) {
	for seed := range uint64(seeds) {
		run := r
		run.Seed, run.Limit, run.WarmUp, run.Time = seed, limit, 2*time.Second, 20*time.Second
		sum.Add(run.Do())
	}
	return sum
}
