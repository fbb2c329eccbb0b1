package route

import (
	"time"

	"cranberryrail/core/zones"
)

// SetEvacuated sets the zones whose targets get no new request. Requests in flight there go on.
func (b *Balancer) SetEvacuated(names []string) {
	b.evacuated = make(map[string]struct{}, len(names))
	for _, name := range names {
		b.evacuated[name] = struct{}{}
	}
}

func (b *Balancer) isEvacuated(c *target) bool {
	_, evacuated := b.evacuated[c.Zone]
	return evacuated
}

// InFlightIn returns the number of requests in flight at targets in each evacuated zone.
func (b *Balancer) InFlightIn() map[string]int {
	inFlight := make(map[string]int, len(b.evacuated))
	for name := range b.evacuated {
		inFlight[name] = 0
	}
	for _, d := range b.dispatches {
		if b.isEvacuated(d.target) {
			inFlight[d.target.Zone]++
		}
	}
	return inFlight
}

// isHome reports whether a target is in a region in which a request with homes may be processed.
func (b *Balancer) isHome(c *target, homes zones.Homes) bool {
	return len(homes) == 0 || homes.Allow(b.Regions[c.Zone])
}

// preferWarm returns the warm candidates with a free slot, or all candidates if there are none: a cold target works slowly, and crashes above its limit.
func (b *Balancer) preferWarm(candidates []*target, now time.Time) []*target {
	cold := false
	warm := filter(candidates, func(c *target) bool {
		isCold := b.Rates.IsCold(c.Incarnation)
		cold = cold || isCold
		return !isCold && b.estimate(c, now) < b.capacity(c)
	})
	if !cold || len(warm) == 0 {
		return candidates
	}
	return warm
}
