package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/rate"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/zones"
)

// zoneTargets are targets of one service in two zones.
func zoneTargets() []roster.Target {
	ids := []string{"a1", "a2", "b1"}
	list := make([]roster.Target, 0, len(ids))
	for _, id := range ids {
		list = append(list, roster.Target{ID: id, Incarnation: id + "@1", Zone: id[:1], Service: "s", State: roster.Live, Slots: 8})
	}
	return list
}

// picked makes up to n choices, and returns how often a target in each zone was chosen.
func picked(b *route.Balancer, r route.Request, n int) map[string]int {
	chosen := map[string]int{}
	for range n {
		if c, err := b.Pick(r); err == nil {
			chosen[c.Target.Zone]++
		}
	}
	return chosen
}

func newZoneBalancer(rates *rate.Tracker) *route.Balancer {
	b := &route.Balancer{Now: func() time.Time { return time.Unix(1000, 0) }, Rates: rates, Regions: zones.Regions{"a": "north", "b": "south"}}
	b.Default()
	b.SetTargets(zoneTargets())
	return b
}

// TestEvacuatedZoneGetsNothing guards against requests to a zone after the order to evacuate it, also when the others have too little room: then those of the lower
// priority are refused first.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	b := newZoneBalancer(nil)
	request := route.Request{Service: "s"}
	assert.Assert(t, picked(b, request, 6)["a"] > 0)
	b.SetEvacuated([]string{"a"})
	low := picked(b, request, 100)
	assert.Equal(t, low["a"], 0)
	request.Priority = route.TopPriority
	high := picked(b, request, 100)
	assert.Assert(t, high["a"] == 0 && high["b"] > 0, "%v", high)
	assert.Assert(t, b.InFlightIn()["a"] > 0)
	b.SetEvacuated(nil)
	assert.Assert(t, picked(b, request, 6)["a"] > 0)
}

// TestHomesBindTargets guards against a request that is sent to a target outside its regions.
func TestHomesBindTargets(t *testing.T) {
	got := picked(newZoneBalancer(nil), route.Request{Service: "s", Homes: zones.NewHomes([]string{"north"})}, 10)
	assert.Assert(t, got["a"] > 0 && got["b"] == 0, "%v", got)
	assert.Equal(t, len(picked(newZoneBalancer(nil), route.Request{Service: "s", Homes: zones.NewHomes([]string{"north"}, []string{"south"})}, 10)), 0)
}

// TestWarmTargetsComeFirst guards against work that goes to a cold target, which has the least load, while warm ones have free slots, and against more than its share
// once they have none.
func TestWarmTargetsComeFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	rates := &rate.Tracker{Instance: "i", Now: func() time.Time { return now }}
	rates.Default()
	rates.SetInstances([]string{"i"}, false)
	rates.SetCold([]rate.Cold{{Incarnation: "b1@1", PerSecond: coldPerSecond, Burst: coldPerSecond, Until: now.Add(time.Minute)}})
	b := newZoneBalancer(rates)
	assert.Equal(t, picked(b, route.Request{Service: "s"}, 2*route.DefaultCapacity)["b"], 0)
	got := picked(b, route.Request{Service: "s", Priority: route.TopPriority}, 100)
	assert.Assert(t, got["b"] <= 2*coldPerSecond, "%v", got)
}

// coldPerSecond is the number of requests a second that a cold target bears.
const coldPerSecond = 4
