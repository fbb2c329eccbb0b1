package route

import "time"

// Parameters of brittle targets.
const (
	// brittleTime is how long a target counts as brittle after the last target of its service that announced it, so that one that starts
	// again is not overloaded before its first response.
	brittleTime = 10 * time.Second
	// brittlePauseShare is the share of what a brittle target turns away that all instances together may cause.
	brittlePauseShare = 0.5
	// maxBrittlePause bounds the pause after a rejection.
	maxBrittlePause = 10 * time.Second
	// idleDivisor is the load below which an instance may use twice its share of a brittle target, as a divisor of the capacity.
	idleDivisor = 2
	// reportFreshness is the age up to which a report shows that a brittle target is idle.
	reportFreshness = 500 * time.Millisecond
)

// brittleness is what a target announces of itself. Exceeding it makes the target fall over.
type brittleness struct {
	// perSecond is the number of requests that the target turns away in a second; 0 if it is not brittle.
	perSecond   float64
	announcedAt time.Time
	// pausedUntil is until when it gets no requests from this instance, after it rejected one.
	pausedUntil time.Time
}

// SetBrittle states how many requests a second an incarnation of a target turns away without falling over; 0 if it is not brittle.
func (b *Balancer) SetBrittle(id, incarnation string, perSecond float64) {
	c := b.targetByID(id)
	if c == nil || c.Incarnation != incarnation {
		return
	}
	if perSecond == 0 {
		c.brittle = brittleness{}
		return
	}
	now := b.Now()
	for _, other := range b.byService[c.Service] {
		if other == c || other.brittle.perSecond == 0 {
			other.brittle.perSecond = perSecond
		}
		other.brittle.announcedAt = now
	}
}

func (b *Balancer) isBrittle(c *target, now time.Time) bool {
	return c.brittle.perSecond > 0 && now.Sub(c.brittle.announcedAt) < brittleTime
}

// brittleHasRoom reports whether this instance may send a request to a brittle target. All instances together send what the target can run
// at the same time; what may wait there is left for errors of the estimate.
func (b *Balancer) brittleHasRoom(c *target, now time.Time) bool {
	if now.Before(c.brittle.pausedUntil) {
		return false
	}
	capacity := b.capacity(c)
	if c.load.capacity == 0 && c.Slots > 0 {
		capacity = c.Slots
	}
	share := max(1, capacity/max(b.FleetSize, 1))
	if now.Sub(c.load.measuredAt) < reportFreshness && c.load.reported < capacity/idleDivisor {
		share *= 2
	}
	return c.load.inFlight < share && b.estimate(c, now) < capacity
}

// pauseBrittle excludes a brittle target that rejected a request, for as long as all instances together keep below what it turns away if each sends
// one request that is rejected.
func (b *Balancer) pauseBrittle(c *target) {
	now := b.Now()
	if !b.isBrittle(c, now) {
		return
	}
	seconds := float64(max(b.FleetSize, 1)) / (brittlePauseShare * c.brittle.perSecond)
	pause := min(time.Duration(seconds*float64(time.Second)), maxBrittlePause)
	c.brittle.pausedUntil = now.Add(pause/2 + time.Duration(b.rand.Float64()*float64(pause)))
}
