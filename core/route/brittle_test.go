package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/rate"
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

// mostInFlight is how many requests a target with a number of slots may get that can't all wait, if it turns 5 away in a second without falling over.
func mostInFlight(slots int) int { return slots + 5 }

// TestSharesOfUnknownFleet guards against instances that start together, or can't read the log, each of which takes a whole brittle target as its share, and
// against ones that go on sparing it once they know each other.
func TestSharesOfUnknownFleet(t *testing.T) {
	for _, instances := range []int{1, 4, 30, 300} {
		for _, slots := range []int{4, 16} {
			unknown, known, probed := 0, 0, 0
			for own := range instances {
				b, now := frail.NewBalancer(0, own, slots, 5)
				first := frail.Fill(b)
				unknown += len(first)
				frail.SetFleet(b, own, instances, false)
				all := append(first, frail.Fill(b)...)
				known += len(all)
				for _, c := range all {
					b.Done(c.DispatchID, route.OK)
				}
				*now = now.Add(time.Duration(10+2+instances) * time.Second)
				probed += min(len(frail.Fill(b)), 1)
			}
			assert.Check(t, unknown <= mostInFlight(slots), "%d of %d instances", unknown, instances)
			assert.Check(t, known >= slots+2 && known <= mostInFlight(slots), "%d of %d instances", known, instances)
			assert.Equal(t, probed, instances)
		}
	}
}

// TestSharesOfJoiningInstances guards against instances that join a fleet and take their share of a brittle target before the others make room, and ones that
// never get it.
func TestSharesOfJoiningInstances(t *testing.T) {
	for _, joining := range []int{1, 3, 30} {
		for _, instances := range []int{1, 4, 30} {
			before, after := 0, 0
			for own := range instances + joining {
				known := instances
				if own >= instances {
					known += joining
				}
				b, now := frail.NewBalancer(0, own, 16, 5)
				frail.SetFleet(b, own, known, own >= instances)
				sent := frail.Fill(b)
				before += len(sent)
				for _, c := range sent {
					b.Done(c.DispatchID, route.OK)
				}
				*now = now.Add(rate.SettleTime)
				b.SetBrittle("t", "t", 5)
				frail.SetFleet(b, own, instances+joining, own >= instances)
				after += len(frail.Fill(b))
			}
			assert.Check(t, before >= 16 && before <= mostInFlight(16), "%d of %d instances, %d joining", before, instances, joining)
			assert.Check(t, after == 16+2, "%d of %d instances, %d joining", after, instances, joining)
		}
	}
}
