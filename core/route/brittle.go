package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/rate"
	"cranberryrail/core/rendez"
)

// Parameters of brittle targets.
const (
	// brittleTime is how long after the last target of its service that announced that it is brittle a target is probed.
	brittleTime = 10 * time.Second
	// brittlePauseShare is the share of what a brittle target turns away that all instances together may cause.
	brittlePauseShare = 0.5
	// strictPauses is how many pauses an instance keeps to its share for after a rejection, so that those before and after a pause stay apart.
	strictPauses = 2
	// maxBrittlePause bounds the pause after a rejection.
	maxBrittlePause = 10 * time.Second
	// brittleExtraShare is the share of what a brittle target turns away in a second by which all instances together may exceed what it runs.
	brittleExtraShare = 0.5
	// brittleReserveShare is the share of what a brittle target turns away in a second that is left to instances that the others may not know of.
	brittleReserveShare = 1 - brittleExtraShare
	// unknownFleet is the number of instances that one assumes until it knows them: that of the largest deployment.
	unknownFleet = 300
)

// brittleness is what a target announces of itself. Exceeding it makes the target fall over.
type brittleness struct {
	// perSecond is the number of requests that the target turns away in a second; 0 if it is not brittle.
	perSecond   float64
	announcedAt time.Time
	// strictUntil is until when this instance keeps to its share of what the target runs, after it rejected a request.
	strictUntil time.Time
	// probeAt is when a request may be sent to find out whether it still is brittle.
	probeAt time.Time
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
		other.brittle.probeAt = now.Add(brittleTime + b.brittlePause(other))
	}
}

// isBrittle reports whether a target is brittle, as far as is known.
func (b *Balancer) isBrittle(c *target) bool { return c.brittle.perSecond > 0 }

// brittleHasRoom reports whether this instance may send a request to a brittle target: within its share, and one at times to find out whether the target
// still is brittle.
func (b *Balancer) brittleHasRoom(c *target, now time.Time) bool {
	if c.load.inFlight == 0 && !now.Before(c.brittle.probeAt) {
		return true
	}
	return !now.Before(c.brittle.pausedUntil) && c.load.inFlight < b.brittleShare(c, now)
}

// brittleShare returns how many requests this instance may have in flight at a brittle target. The shares of all instances add up to what the target
// runs at the same time and, unless it rejected a request, a part of what it turns away in a second, since slow exchanges leave slots unused. Instances that
// the others may not know of share only the reserve, as the others share all of the slots.
func (b *Balancer) brittleShare(c *target, now time.Time) int {
	total, extra := b.capacity(c), brittleExtraShare
	if c.load.capacity == 0 && c.Slots > 0 {
		total = c.Slots
	}
	if len(b.fleet) == 0 || now.Before(b.settledAt) {
		total, extra = 0, brittleReserveShare
	}
	if !now.Before(c.brittle.strictUntil) {
		total += int(extra * c.brittle.perSecond)
	}
	// The sum of (total+rank)/fleet, rounded down, over all ranks below fleet is total.
	return (total + b.rank(c)) / b.fleetSize()
}

// pauseBrittle reduces what this instance sends to a brittle target that rejected a request, for as long as all instances together keep below what it
// turns away if each sends one request that is rejected. A second rejection in that time excludes the target.
func (b *Balancer) pauseBrittle(c *target) {
	now := b.Now()
	if !b.isBrittle(c) {
		return
	}
	if now.Before(c.brittle.strictUntil) {
		c.brittle.pausedUntil = now.Add(min(b.brittlePause(c), maxBrittlePause))
	}
	c.brittle.strictUntil = now.Add(strictPauses * b.brittlePause(c))
}

// recordBrittleDispatch delays the next probe of a target that has not announced for long that it is brittle.
func (b *Balancer) recordBrittleDispatch(c *target, now time.Time) {
	if b.isBrittle(c) {
		c.brittle.probeAt = now.Add(brittleTime + b.brittlePause(c))
	}
}

// endBrittle ends what is known of a target that answered a probe without an announcement.
func (b *Balancer) endBrittle(c *target, now time.Time) {
	if b.isBrittle(c) && now.Sub(c.brittle.announcedAt) >= brittleTime {
		c.brittle = brittleness{}
	}
}

// brittlePause returns a random time, on average the one in which each instance may cause a rejection.
func (b *Balancer) brittlePause(c *target) time.Duration {
	seconds := max(float64(b.fleetSize()), brittleExtraShare*c.brittle.perSecond) / (brittlePauseShare * c.brittle.perSecond)
	return time.Duration((0.5 + b.rand.Float64()) * seconds * float64(time.Second))
}

// fleetSize returns the number of instances that share brittle targets.
func (b *Balancer) fleetSize() int {
	if len(b.fleet) == 0 {
		return unknownFleet
	}
	return len(b.fleet)
}

// SetFleet sets the ids of all instances, which share what brittle targets take, and that of this one. If joined is set, the other instances may not know of
// this one yet.
func (b *Balancer) SetFleet(own string, ids []string, joined bool) {
	now, wasUnknown := b.Now(), len(b.fleet) == 0
	if joined && b.settledAt.IsZero() {
		b.settledAt = now.Add(rate.SettleTime)
	}
	b.own, b.fleet = xxhash.Sum64String(own), make([]uint64, 0, len(ids))
	for _, id := range ids {
		b.fleet = append(b.fleet, xxhash.Sum64String(id))
	}
	for _, c := range b.targets {
		c.ranked = false
		if wasUnknown && b.isBrittle(c) {
			b.shortenPauses(c, now)
		}
	}
}

// shortenPauses replaces the times of a brittle target that are those of a fleet of unknownFleet instances.
func (b *Balancer) shortenPauses(c *target, now time.Time) {
	earlier := func(t *time.Time, limit time.Time) {
		if limit.Before(*t) {
			*t = limit
		}
	}
	earlier(&c.brittle.probeAt, now.Add(brittleTime+b.brittlePause(c)))
	earlier(&c.brittle.strictUntil, now.Add(strictPauses*b.brittlePause(c)))
	earlier(&c.brittle.pausedUntil, now.Add(b.brittlePause(c)))
}

// rank returns the rank of this instance among all for a target. All instances that know the same fleet agree on the ranks. It is random while the fleet is
// not known.
func (b *Balancer) rank(c *target) int {
	if c.ranked {
		return c.rank
	}
	c.rank, c.ranked = 0, true
	if len(b.fleet) == 0 {
		c.rank = b.rand.IntN(unknownFleet)
		return c.rank
	}
	own := rendez.Score(c.hash, b.own)
	for _, h := range b.fleet {
		if rendez.Score(c.hash, h) < own {
			c.rank++
		}
	}
	return c.rank
}
