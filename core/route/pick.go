package route

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/codes"
	"cranberryrail/core/roster"
)

// Times to come back that a refusal states.
const (
	// NoTargetRetry is stated when no target serves the request.
	NoTargetRetry = time.Second
	// OverloadRetryFirst and OverloadRetryLongest bound what is stated under overload.
	OverloadRetryFirst   = 100 * time.Millisecond
	OverloadRetryLongest = 30 * time.Second
)

const (
	// firstService is the service time that is assumed before the first completion.
	firstService = time.Second
	// serviceWeight is the reciprocal weight of one completion in the mean service time.
	serviceWeight = 16
	// retrySpread is the largest part that is added at random to the time to come back.
	retrySpread = 0.5
)

// Pick chooses the target of a request and counts the dispatch until Done. It returns a
// *codes.Error when no target serves the request or none has room for its priority.
func (t *Table) Pick(r Request) (Choice, error) {
	now := t.Now()
	serving := t.serving(r)
	if len(serving) == 0 {
		return Choice{}, codes.Refuse(codes.NoTarget, NoTargetRetry,
			"no live target for model %q version %q service %q; check the template and the list of targets", r.Model, r.Version, r.Service)
	}
	usable := usable(untried(serving, r.Avoid), now)
	room := filter(usable, func(c *target) bool {
		return t.estimate(c, now) < t.limit(c, r.Priority) && !c.load.full(now) && (t.Each == 0 || c.load.inFlight < t.Each)
	})
	if len(room) == 0 {
		return Choice{}, codes.Refuse(codes.Overloaded, t.drain(usable, r.Priority, now),
			"all %d targets are at their limit for priority %d; come back later or raise the priority", len(usable), r.Priority)
	}
	chosen := t.choose(r, t.draw(r, room), now)
	t.lastToken++
	t.dispatches[t.lastToken] = dispatch{target: chosen, incarnation: chosen.Incarnation, epoch: chosen.health.epoch, at: now}
	chosen.load.dispatched(now)
	chosen.health.dispatched(now)
	return Choice{Target: chosen.Target, Token: t.lastToken}, nil
}

// serving returns the targets that serve the request and are not leaving.
func (t *Table) serving(r Request) []*target {
	among := t.byModel[r.Model]
	if r.Service != "" {
		among = t.byService[r.Service]
	}
	return filter(among, func(c *target) bool {
		if !serves(c, r) || t.left(c) || !only(c, r.Only) {
			return false
		}
		return len(r.Shares) == 0 || slices.ContainsFunc(r.Shares, func(s Share) bool { return s.matches(c, r.Model) })
	})
}

// left reports whether a target is known to leave. One without an incarnation is taken by
// its word in the list.
func (t *Table) left(c *target) bool {
	return t.leaving.Contains(c.Incarnation) || c.Incarnation == "" && c.State == roster.Leaving
}

// only reports whether a target is the one that is asked for, if one is.
func only(c *target, t *roster.Target) bool {
	return t == nil || t.ID == c.ID && t.Incarnation == c.Incarnation
}

func serves(c *target, r Request) bool {
	if r.Service != "" {
		return c.Service == r.Service
	}
	return c.offers(r.Model, r.Version)
}

func (c *target) offers(model, version string) bool {
	return slices.ContainsFunc(c.Models, func(m roster.Model) bool {
		return m.Model == model && (version == "" || m.Version == version)
	})
}

func (s Share) matches(c *target, model string) bool {
	return s.Weight > 0 &&
		strings.HasPrefix(c.ID, s.Target) &&
		(s.Zone == "" || s.Zone == c.Zone) &&
		(s.Version == "" || c.offers(model, s.Version))
}

// untried leaves out the targets that were tried, unless there is no other.
func untried(candidates []*target, avoid []string) []*target {
	rest := filter(candidates, func(c *target) bool { return !slices.Contains(avoid, c.ID) })
	if len(rest) == 0 {
		return candidates
	}
	return rest
}

// usable leaves out ejected targets. When all are ejected it returns those with the
// fewest ejections in a row.
func usable(candidates []*target, now time.Time) []*target {
	healthy := filter(candidates, func(c *target) bool { return c.health.usable(now) })
	if len(healthy) > 0 {
		return healthy
	}
	fewest := math.MaxInt
	for _, c := range candidates {
		fewest = min(fewest, c.health.ejections)
	}
	return filter(candidates, func(c *target) bool { return c.health.ejections == fewest })
}

// limit is the number of requests at a target up to which the priority is admitted: the
// capacity and a part of the queue that grows with the priority.
func (t *Table) limit(c *target, priority int) int {
	priority = min(max(priority, 0), TopPriority)
	capacity := t.capacity(c)
	queue := int(t.Queue * float64(capacity))
	return capacity + queue*(priority+1)/(TopPriority+1)
}

// estimate counts own changes in full and expects half as many of each other instance: the
// own ones are too small a sample to expect all of them.
func (t *Table) estimate(c *target, now time.Time) int {
	return c.load.estimate(now, float64(1+t.Instances)/2)
}

func (t *Table) capacity(c *target) int {
	if c.load.capacity > 0 {
		return c.load.capacity
	}
	return t.Capacity
}

// drain estimates when the first of the targets has room for the priority again.
func (t *Table) drain(candidates []*target, priority int, now time.Time) time.Duration {
	shortest := OverloadRetryLongest
	for _, c := range candidates {
		excess := max(1, t.estimate(c, now)-t.limit(c, priority)+1)
		shortest = min(shortest, t.service*time.Duration(excess)/time.Duration(t.capacity(c)))
	}
	spread := time.Duration(t.rand.Float64() * retrySpread * float64(shortest))
	return min(max(shortest+spread, OverloadRetryFirst), OverloadRetryLongest)
}

// draw chooses one of the shares that have a candidate by weight and returns its candidates.
func (t *Table) draw(r Request, candidates []*target) []*target {
	if len(r.Shares) == 0 {
		return candidates
	}
	total := 0
	groups := make([][]*target, len(r.Shares))
	for i, s := range r.Shares {
		groups[i] = filter(candidates, func(c *target) bool { return s.matches(c, r.Model) })
		if len(groups[i]) > 0 {
			total += s.Weight
		}
	}
	drawn := t.rand.IntN(total)
	for i, s := range r.Shares {
		if len(groups[i]) == 0 {
			continue
		}
		if drawn -= s.Weight; drawn < 0 {
			return groups[i]
		}
	}
	return candidates
}

func (t *Table) choose(r Request, candidates []*target, now time.Time) *target {
	switch {
	case t.Policy == Random:
		return candidates[t.rand.IntN(len(candidates))]
	case t.Policy == LeastReported:
		return t.least(r, candidates, func(c *target) int { return c.load.reported })
	case t.Policy == LeastEstimated || r.Prefix == "":
		return t.least(r, candidates, func(c *target) int { return t.estimate(c, now) })
	}
	return t.byPrefix(r, candidates, now)
}

// least returns a candidate of the lowest load relative to its capacity; among equals one
// of the request's zone, otherwise at random.
func (t *Table) least(r Request, candidates []*target, loadOf func(*target) int) *target {
	var best []*target
	lowest := math.Inf(1)
	for _, c := range candidates {
		relative := float64(loadOf(c)) / float64(t.capacity(c))
		if relative < lowest {
			lowest = relative
			best = best[:0]
		}
		if relative == lowest {
			best = append(best, c)
		}
	}
	near := filter(best, func(c *target) bool { return c.Zone == r.Zone })
	if len(near) > 0 {
		best = near
	}
	return best[t.rand.IntN(len(best))]
}

// byPrefix returns the first candidate in rendezvous order whose load is under its bound.
// The least loaded candidate always is.
func (t *Table) byPrefix(r Request, candidates []*target, now time.Time) *target {
	sum, capacity := 0, 0
	for _, c := range candidates {
		sum += t.estimate(c, now)
		capacity += t.capacity(c)
	}
	perSlot := t.Bound * float64(sum) / float64(capacity)
	key := xxhash.Sum64String(r.Model + "\x00" + r.Prefix)
	var first *target
	var highest uint64
	for _, c := range candidates {
		bound := perSlot*float64(t.capacity(c)) + 1
		if float64(t.estimate(c, now)) >= bound {
			continue
		}
		if score := rendezvous(key, c.hash); first == nil || score > highest {
			first, highest = c, score
		}
	}
	return first
}

func rendezvous(key, node uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], node)
	return xxhash.Sum64(b[:])
}

func filter(candidates []*target, keep func(*target) bool) []*target {
	var kept []*target
	for _, c := range candidates {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}
