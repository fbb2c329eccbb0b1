package route

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/codes"
	"cranberryrail/core/rendez"
	"cranberryrail/core/roster"
)

// Retry-after times of refused requests.
const (
	// NoTargetRetryAfter applies when no target serves the request.
	NoTargetRetryAfter = time.Second
	// MinOverloadRetryAfter and MaxOverloadRetryAfter bound the retry-after time under overload.
	MinOverloadRetryAfter = 100 * time.Millisecond
	MaxOverloadRetryAfter = 30 * time.Second
)

const (
	// initialServiceTime is the mean service time that is assumed before the first completion.
	initialServiceTime = time.Second
	// serviceTimeDivisor is the reciprocal of the weight of one completion in the moving average of the service time.
	serviceTimeDivisor = 16
	// maxRetryJitter is the largest fraction of the retry-after time that is added as random jitter.
	maxRetryJitter = 0.5
)

// Pick chooses the target of a request and counts the dispatch as in flight until Done. It returns a
// *codes.Error when no target serves the request or none has capacity for its priority.
func (b *Balancer) Pick(r Request) (Choice, error) {
	now := b.Now()
	serving := b.serving(r)
	if len(serving) == 0 {
		return Choice{}, codes.Refuse(codes.NoTarget, NoTargetRetryAfter,
			"no live target for model %q version %q service %q software %q outside evacuated zones; check the configuration and the list of targets", r.Model, r.Version, r.Service, r.Software)
	}
	unpaused := filter(serving, func(c *target) bool { return !now.Before(c.pausedUntil) })
	if len(unpaused) == 0 {
		return Choice{}, codes.Refuse(codes.Overloaded, b.pauseRetryAfter(serving, now),
			"all %d targets have asked for a pause; retry later, or add targets", len(serving))
	}
	permitted := filter(unpaused, func(c *target) bool { return b.Rates.Wait(c.Incarnation) == 0 })
	if len(permitted) == 0 {
		return Choice{}, codes.Refuse(codes.Overloaded, b.rateRetryAfter(unpaused),
			"all %d targets get as many requests as they take; retry later, or add targets", len(unpaused))
	}
	usable := usable(untried(permitted, r.Avoid), now)
	admissible := filter(usable, func(c *target) bool {
		return b.hasRoom(c, r.Priority, now) && !c.load.full(now) && (b.MaxInFlightPerTarget == 0 || c.load.inFlight < b.MaxInFlightPerTarget)
	})
	if len(admissible) == 0 {
		return Choice{}, codes.Refuse(codes.Overloaded, b.retryAfter(usable, r.Priority, now),
			"all %d usable targets are at their limit for priority %d; retry later, or add targets or raise the priority in the configuration", len(usable), r.Priority)
	}
	chosen, expected := b.chooseTarget(r, b.drawShare(r, b.preferWarm(b.preferUnchecked(admissible), now)), now)
	b.lastDispatchID++
	b.dispatches[b.lastDispatchID] = dispatch{target: chosen, incarnation: chosen.Incarnation, epoch: chosen.health.epoch, at: now, course: b.beginWork(r, chosen, expected)}
	b.Rates.Take(chosen.Incarnation)
	b.recordBrittleDispatch(chosen, now)
	chosen.load.recordDispatch(now)
	chosen.health.recordDispatch(now)
	return Choice{Target: chosen.Target, DispatchID: b.lastDispatchID, Expected: expected}, nil
}

// serving returns the targets that serve the request and are not leaving.
func (b *Balancer) serving(r Request) []*target {
	indexed := b.byModel[r.Model]
	if r.Service != "" {
		indexed = b.byService[r.Service]
	}
	if r.Service == "" && r.Model == "" {
		return nil // a target may list a model without a name
	}
	return filter(indexed, func(c *target) bool {
		if !serves(c, r) || b.isLeaving(c) || !isRequested(c, r.Only) || b.isEvacuated(c) || !b.isHome(c, r.Homes) {
			return false
		}
		return len(r.Shares) == 0 || slices.ContainsFunc(r.Shares, func(s Share) bool { return s.matches(c, r.Model) })
	})
}

// isLeaving reports whether a target is known to be leaving. For a target without an incarnation the state in the
// platform's list decides.
func (b *Balancer) isLeaving(c *target) bool {
	return b.leaving.Contains(c.Incarnation) || c.Incarnation == "" && c.State == roster.Leaving
}

// isRequested reports whether the target is the incarnation that the request is restricted to, if there is one.
func isRequested(c *target, want *roster.Target) bool {
	return want == nil || want.ID == c.ID && want.Incarnation == c.Incarnation
}

func serves(c *target, r Request) bool {
	if r.Software != "" && r.Software != c.Software {
		return false
	}
	if r.Service != "" {
		return c.Service == r.Service
	}
	return c.servesModel(r.Model, r.Version)
}

func (c *target) servesModel(model, version string) bool {
	return slices.ContainsFunc(c.Models, func(m roster.Model) bool {
		return m.Model == model && (version == "" || m.Version == version)
	})
}

func (s Share) matches(c *target, model string) bool {
	return s.Weight > 0 &&
		strings.HasPrefix(c.ID, s.Target) &&
		(s.Zone == "" || s.Zone == c.Zone) &&
		(s.Version == "" || c.servesModel(model, s.Version))
}

// untried returns the candidates that are not in avoid, or all candidates when there is no other.
func untried(candidates []*target, avoid []string) []*target {
	rest := filter(candidates, func(c *target) bool { return !slices.Contains(avoid, c.ID) })
	if len(rest) == 0 {
		return candidates
	}
	return rest
}

// usable returns the candidates that are not ejected. When all are ejected, it returns those with the
// fewest consecutive ejections.
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

// admissionLimit returns the number of requests at a target below which a request of the priority is admitted: the
// capacity plus a part of the queue that grows with the priority.
func (b *Balancer) admissionLimit(c *target, priority int) int {
	priority = min(max(priority, 0), TopPriority)
	capacity := b.capacity(c)
	queue := int(b.Queue * float64(capacity))
	return capacity + queue*(priority+1)/(TopPriority+1)
}

// hasRoom reports whether a target has room for a request of the priority.
func (b *Balancer) hasRoom(c *target, priority int, now time.Time) bool {
	if b.isBrittle(c) {
		return b.brittleHasRoom(c, now)
	}
	if c.load.pace > 0 {
		// The load of a target on a shared machine changes many times a second, and the target queues what it can't run yet. A refusal because of a report
		// that is out of date costs its caller more than the wait, so that the report only decides between targets.
		return c.load.inFlight < b.admissionLimit(c, priority)
	}
	return b.estimate(c, now) < b.admissionLimit(c, priority)
}

// estimate returns the estimated load of a target. It counts the changes of this instance in full and assumes half as
// many from each other instance, because the changes of one instance are too small a sample to assume all of them.
func (b *Balancer) estimate(c *target, now time.Time) int {
	return c.load.estimate(now, float64(1+b.Instances)/2)
}

func (b *Balancer) capacity(c *target) int {
	if c.load.capacity > 0 {
		return c.load.capacity
	}
	return b.Capacity
}

// retryAfter estimates the time until the first of the targets has capacity for the priority again, and adds jitter.
func (b *Balancer) retryAfter(candidates []*target, priority int, now time.Time) time.Duration {
	shortest := MaxOverloadRetryAfter
	for _, c := range candidates {
		excess := max(1, b.estimate(c, now)-b.admissionLimit(c, priority)+1)
		shortest = min(shortest, b.meanServiceTime*time.Duration(excess)/time.Duration(b.capacity(c)))
	}
	jitter := time.Duration(b.rand.Float64() * maxRetryJitter * float64(shortest))
	return min(max(shortest+jitter, MinOverloadRetryAfter), MaxOverloadRetryAfter)
}

// preferUnchecked returns the candidates whose rate limit needs a check, or all candidates if there are none.
func (b *Balancer) preferUnchecked(candidates []*target) []*target {
	due := filter(candidates, func(c *target) bool { return b.Rates.NeedsCheck(c.Incarnation) })
	if len(due) == 0 {
		return candidates
	}
	return due
}

// rateRetryAfter returns the time until the first of the targets may receive a request within its rate limit, with jitter.
func (b *Balancer) rateRetryAfter(limited []*target) time.Duration {
	shortest := MaxOverloadRetryAfter
	for _, c := range limited {
		shortest = min(shortest, b.Rates.Wait(c.Incarnation))
	}
	return max(shortest+time.Duration(maxRetryJitter*b.rand.Float64()*float64(shortest)), MinOverloadRetryAfter)
}

// pauseRetryAfter returns the time until the first pause of the targets ends, with jitter that spreads the
// retries behind it.
func (b *Balancer) pauseRetryAfter(paused []*target, now time.Time) time.Duration {
	first := paused[0].pausedUntil
	for _, c := range paused {
		if c.pausedUntil.Before(first) {
			first = c.pausedUntil
		}
	}
	rest := first.Sub(now)
	return max(rest+time.Duration(maxRetryJitter*b.rand.Float64()*float64(rest)), MinOverloadRetryAfter)
}

// drawShare picks one of the shares that match a candidate at random by weight and returns its candidates.
func (b *Balancer) drawShare(r Request, candidates []*target) []*target {
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
	drawn := b.rand.IntN(total)
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

func (b *Balancer) chooseTarget(r Request, candidates []*target, now time.Time) (*target, *Expected) {
	if b.Policy == LeastWork && (!b.PacedOnly || slices.ContainsFunc(candidates, func(c *target) bool { return c.load.pace > 0 })) {
		return b.byWork(r, candidates, now)
	}
	return b.byCount(r, candidates, now), nil
}

func (b *Balancer) byCount(r Request, candidates []*target, now time.Time) *target {
	switch {
	case b.Policy == Random:
		return candidates[b.rand.IntN(len(candidates))]
	case b.Policy == LeastReported:
		return b.leastLoaded(r, candidates, func(c *target) int { return c.load.reported })
	case b.Policy == LeastEstimated || r.Prefix == "":
		return b.leastLoaded(r, candidates, func(c *target) int { return b.estimate(c, now) })
	}
	return b.byPrefix(r, candidates, now)
}

// leastLoaded returns the candidate with the lowest load relative to its capacity. Ties are broken in favour of the
// request's zone, then at random.
func (b *Balancer) leastLoaded(r Request, candidates []*target, loadOf func(*target) int) *target {
	var best []*target
	lowest := math.Inf(1)
	for _, c := range candidates {
		relative := float64(loadOf(c)) / float64(b.capacity(c))
		if relative < lowest {
			lowest = relative
			best = best[:0]
		}
		if relative == lowest {
			best = append(best, c)
		}
	}
	sameZone := filter(best, func(c *target) bool { return c.Zone == r.Zone })
	if len(sameZone) > 0 {
		best = sameZone
	}
	return best[b.rand.IntN(len(best))]
}

// byPrefix returns the first candidate in rendezvous order whose load is below its bound.
// The least loaded candidate always is.
func (b *Balancer) byPrefix(r Request, candidates []*target, now time.Time) *target {
	sum, capacity := 0, 0
	for _, c := range candidates {
		sum += b.estimate(c, now)
		capacity += b.capacity(c)
	}
	boundPerSlot := b.Bound * float64(sum) / float64(capacity)
	key := xxhash.Sum64String(r.Model + "\x00" + r.Prefix)
	var best *target
	var bestScore uint64
	for _, c := range candidates {
		bound := boundPerSlot*float64(b.capacity(c)) + 1
		if float64(b.estimate(c, now)) >= bound {
			continue
		}
		if score := rendez.Score(key, c.hash); best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

func filter(candidates []*target, keep func(*target) bool) []*target {
	kept := make([]*target, 0, len(candidates))
	for _, c := range candidates {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}
