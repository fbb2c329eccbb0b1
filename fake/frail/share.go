package frail

import (
	"time"

	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

// shareQueue is how many requests may wait at a target that is not known to be brittle.
const shareQueue = 4

// NewBalancer returns the balancer of one of several instances, with one target that announced that it is brittle, and the time that it reads. The instance
// does not know the others if fleet is 0.
func NewBalancer(fleet, own, slots int, perSecond float64) (*route.Balancer, *time.Time) {
	now := time.Unix(1000, 0)
	b := &route.Balancer{Now: func() time.Time { return now }, Queue: shareQueue, Seed: uint64(own)}
	b.Default()
	if fleet > 0 {
		SetFleet(b, own, fleet, false)
	}
	b.SetTargets([]roster.Target{{ID: "t", Incarnation: "t", Service: Service, Kind: roster.PlainService, State: roster.Live, Slots: slots}})
	b.SetBrittle("t", "t", perSecond)
	return b, &now
}

// SetFleet states the number of instances to one of them.
func SetFleet(b *route.Balancer, own, fleet int, joined bool) {
	ids := instances(fleet)
	b.SetFleet(ids[own], ids, joined)
}

// Fill sends requests until one is refused.
func Fill(b *route.Balancer) (sent []route.Choice) {
	for {
		c, err := b.Pick(route.Request{Service: Service})
		if err != nil {
			return sent
		}
		sent = append(sent, c)
	}
}
