package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/route"
	"cranberryrail/fake/frail"
)

// TestSharesOfBrittleTarget guards against shares that add up to more than a target runs and half of what it may turn away, or to more than it runs after a
// rejection.
func TestSharesOfBrittleTarget(t *testing.T) {
	for _, instances := range []int{1, 2, 3, 4, 7, 30} {
		for _, slots := range []int{4, 8, 16} {
			first, strict := 0, 0
			for own := range instances {
				b, now := frail.NewBalancer(instances, own, slots, 5)
				sent := frail.Fill(b)
				first += len(sent)
				for _, c := range sent {
					b.Done(c.DispatchID, route.OK)
				}
				if len(sent) == 0 {
					continue
				}
				*now = now.Add(time.Second)
				c, err := b.Pick(route.Request{Service: frail.Service})
				assert.NilError(t, err)
				b.Done(c.DispatchID, route.Shed)
				*now = now.Add(route.FullBackoff)
				strict += len(frail.Fill(b))
			}
			assert.Equal(t, first, slots+2, "%d instances", instances)
			assert.Equal(t, strict, slots, "%d instances", instances)
		}
	}
}

// TestProbesAreSpread guards against a target that falls over because all instances without a share probe it at the same moment.
func TestProbesAreSpread(t *testing.T) {
	inFlight := 0
	for own := range 20 {
		b, now := frail.NewBalancer(20, own, 2, 8)
		*now = now.Add(10 * time.Second)
		inFlight += len(frail.Fill(b))
	}
	assert.Assert(t, inFlight <= 2+8, "%d", inFlight)
}

// TestEndOfBrittleness guards against an instance without a share of a brittle target that never sends to it again, or all of its requests at once while the
// target still is brittle.
func TestEndOfBrittleness(t *testing.T) {
	for own := range 30 {
		b, now := frail.NewBalancer(30, own, 4, 5)
		if len(frail.Fill(b)) > 0 {
			continue
		}
		*now = now.Add(time.Minute)
		probes := frail.Fill(b)
		assert.Equal(t, len(probes), 1)
		b.SetBrittle("t", "t", 5)
		b.Done(probes[0].DispatchID, route.OK)
		assert.Equal(t, len(frail.Fill(b)), 0)
		*now = now.Add(time.Minute)
		probes = frail.Fill(b)
		b.Done(probes[0].DispatchID, route.OK)
		assert.Assert(t, len(frail.Fill(b)) > 4)
	}
}
