package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

// brittleFixture returns the balancer of one of several instances, with one target that announced that it is brittle, and the time that it reads.
func brittleFixture(instances, own, slots int, perSecond float64) (*route.Balancer, *time.Time) {
	now, ids := time.Unix(1000, 0), make([]string, 0, instances)
	for i := range instances {
		ids = append(ids, fmt.Sprint("i", i))
	}
	b := &route.Balancer{Now: func() time.Time { return now }, Instances: instances, Queue: 4}
	b.Default()
	b.SetFleet(ids[own], ids)
	b.SetTargets([]roster.Target{{ID: "t", Incarnation: "t", Service: "s", Kind: roster.PlainService, State: roster.Live, Slots: slots}})
	b.SetBrittle("t", "t", perSecond)
	return b, &now
}

// fill sends requests until one is refused.
func fill(b *route.Balancer) (sent []route.Choice) {
	for {
		c, err := b.Pick(route.Request{Service: "s"})
		if err != nil {
			return sent
		}
		sent = append(sent, c)
	}
}

// TestSharesOfBrittleTarget guards against shares that add up to more than a target runs and half of what it may turn away, or to more than it runs after a
// rejection.
func TestSharesOfBrittleTarget(t *testing.T) {
	for _, instances := range []int{1, 2, 3, 4, 7, 30} {
		for _, slots := range []int{4, 8, 16} {
			first, strict := 0, 0
			for own := range instances {
				b, now := brittleFixture(instances, own, slots, 5)
				sent := fill(b)
				first += len(sent)
				for _, c := range sent {
					b.Done(c.DispatchID, route.OK)
				}
				if len(sent) == 0 {
					continue
				}
				*now = now.Add(time.Second)
				c, err := b.Pick(route.Request{Service: "s"})
				assert.NilError(t, err)
				b.Done(c.DispatchID, route.Shed)
				*now = now.Add(route.FullBackoff)
				strict += len(fill(b))
			}
			assert.Equal(t, first, slots+2, "%d instances", instances)
			assert.Equal(t, strict, slots, "%d instances", instances)
		}
	}
}

// TestEndOfBrittleness guards against an instance without a share of a brittle target that never sends to it again, or all of its requests at once while the
// target still is brittle.
func TestEndOfBrittleness(t *testing.T) {
	for own := range 30 {
		b, now := brittleFixture(30, own, 4, 5)
		if len(fill(b)) > 0 {
			continue
		}
		*now = now.Add(time.Minute)
		probes := fill(b)
		assert.Equal(t, len(probes), 1)
		b.SetBrittle("t", "t", 5)
		b.Done(probes[0].DispatchID, route.OK)
		assert.Equal(t, len(fill(b)), 0)
		*now = now.Add(time.Minute)
		probes = fill(b)
		b.Done(probes[0].DispatchID, route.OK)
		assert.Assert(t, len(fill(b)) > 4)
	}
}
