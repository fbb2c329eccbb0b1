package route

import (
	"math"
	"slices"
	"time"

	"cranberryrail/core/cost"
)

const (
	// DefaultSample is the number of random targets that LeastWork compares. With more of them, many instances choose the same target at once from
	// reports that are some seconds old.
	DefaultSample = 6
	// minSeen is the number of observations of a service below which LeastWork counts requests instead.
	minSeen = 20
	// affineCredit is the fraction of the shared prompt parts that the target of their prefix is assumed to have cached, since other instances send
	// it the same parts.
	affineCredit = 0.5
	// affineMargin is the part of the price at the target of the prefix below which another target must be to be chosen: it reads the shared parts again, which delays
	// what it runs and takes the place of other parts.
	affineMargin = 0.7
	// endWeight is the weight of the time from the first event to the last, in proportion to that of the time to the first event.
	endWeight = 0.1
	// slotWeight is the weight of the wait for a slot. A request that waits also delays those behind it.
	slotWeight = 6
	// saturation is the fraction of slots in use from which on LeastWork counts requests: a free slot then matters more than all else.
	saturation = 0.7
	// guard is the number of requests at a target, as a multiple of the mean, from which on LeastWork does not choose it. It bounds the harm of an
	// estimate that is wrong.
	guard = 1.5
	// occupiedDivisor is the reciprocal of the weight of one target in the moving average of the slots in use.
	occupiedDivisor = 32
	// comparePeriod is the number of dispatches of which one is compared with all targets, which takes too long for each.
	comparePeriod = 64
)

// ChosenBy is how LeastWork chose a target.
type ChosenBy string

// Ways.
const (
	// ByCount means that too little was observed.
	ByCount ChosenBy = "count"
	// ByPrefix means that the target of the prefix was the cheapest one compared.
	ByPrefix ChosenBy = "prefix"
	// BySample means that one of the random targets was.
	BySample ChosenBy = "sample"
)

// Expected is what is expected of a dispatch.
type Expected struct {
	By ChosenBy
	// Compared is set if all admissible targets were compared, and Cheapest if none of them was expected to be cheaper.
	Compared, Cheapest bool
	// First is the time to the first event, and Output the mean number of output tokens.
	First  time.Duration
	Output float64
}

// course is the expected and the observed course of a dispatch.
type course struct {
	cost.Outcome
	firstAt time.Time
}

func (b *Balancer) initWork() {
	if b.Policy != LeastWork || b.costs != nil {
		return
	}
	if b.Sample == 0 {
		b.Sample = DefaultSample
	}
	b.costs, b.work = &cost.Model{Now: b.Now}, &cost.Ledger{Now: b.Now}
	b.occupied = map[string]float64{}
	b.costs.Default()
	b.work.Default()
}

// byWork chooses the cheapest of a few random candidates and the one by prefix.
func (b *Balancer) byWork(r Request, candidates []*target, now time.Time) (*target, *Expected) {
	best := b.byCount(r, candidates, now)
	if r.Work == nil {
		return best, nil
	}
	e := b.costs.Estimate(r.Work)
	expected := &Expected{By: ByCount, Output: e.Mean}
	if e.Seen < minSeen {
		return best, expected
	}
	affine, sample := best, make([]*target, b.Sample)
	costs := make([]float64, b.Sample)
	occupied := b.occupied[r.Service+"\x00"+r.Model]
	for i := range sample {
		sample[i] = candidates[b.rand.IntN(len(candidates))]
		p := b.plan(r, &e, sample[i], b.credit(r, sample[i] == affine))
		costs[i] = price(&p)
		occupied += (p.Wait.Requests/float64(b.capacity(sample[i])) - occupied) / occupiedDivisor
	}
	b.occupied[r.Service+"\x00"+r.Model] = occupied
	if occupied > saturation {
		return b.leastLoaded(r, candidates, func(c *target) int { return b.estimate(c, now) }), expected
	}
	exceeds := func(c *target) bool {
		return float64(b.estimate(c, now)) >= guard*occupied*float64(b.capacity(c))+1
	}
	lowest := math.Inf(1)
	if !exceeds(affine) {
		p := b.plan(r, &e, affine, b.credit(r, true))
		lowest = price(&p)
		if r.Prefix != "" {
			lowest *= affineMargin
		}
	}
	expected.By = ByPrefix
	for i, c := range sample {
		if costs[i] < lowest && !exceeds(c) {
			best, lowest, expected.By = c, costs[i], BySample
		}
	}
	if expected.Compared = b.lastDispatchID%comparePeriod == 0; expected.Compared {
		expected.Cheapest = !slices.ContainsFunc(candidates, func(c *target) bool {
			p := b.plan(r, &e, c, b.credit(r, c == affine))
			return price(&p) < lowest
		})
	}
	return best, expected
}

// price returns what LeastWork compares.
func price(p *cost.Plan) float64 {
	return p.First + (slotWeight-1)*p.Slot + endWeight*(p.Total-p.First)
}

// credit returns the fraction of the shared prompt parts that a target is assumed to have cached, which may be that of the prefix of the request.
func (b *Balancer) credit(r Request, affine bool) float64 {
	if r.Prefix == "" || !affine {
		return 0
	}
	return affineCredit
}

func (b *Balancer) plan(r Request, e *cost.Estimate, c *target, credit float64) cost.Plan {
	return b.costs.Plan(r.Work, e, c.ID, b.work.Wait(c.ID, e.PerToken), credit)
}

// beginWork records what a dispatch is expected to take, before it is counted in the load of its target.
func (b *Balancer) beginWork(r Request, c *target, expected *Expected) *course {
	if expected == nil {
		return nil
	}
	e := b.costs.Estimate(r.Work)
	p := b.plan(r, &e, c, b.credit(r, expected.By == ByPrefix))
	expected.First = time.Duration(p.First * float64(time.Millisecond))
	b.work.Begin(b.lastDispatchID, &p, b.capacity(c))
	b.costs.Sent(c.ID, r.Work)
	return &course{Outcome: cost.Outcome{Plan: p}}
}

// Progress records that the first event of a dispatch has come, and its output tokens if they are known. With other policies than LeastWork it does
// nothing.
func (b *Balancer) Progress(dispatchID, output int64) {
	d, ok := b.dispatches[dispatchID]
	if !ok || d.course == nil {
		return
	}
	d.course.Output = output
	if d.course.firstAt.IsZero() {
		d.course.firstAt = b.Now()
		b.work.Began(dispatchID)
	}
}

// endWork learns from a dispatch that ended.
func (b *Balancer) endWork(dispatchID int64, d dispatch, o Outcome, now time.Time) {
	if d.course == nil {
		return
	}
	b.work.End(dispatchID)
	c := d.course
	if c.firstAt.IsZero() && !c.Request.IsPlain() {
		return // A response without events, such as an error, does not show how long an answer takes.
	}
	if c.firstAt.IsZero() {
		c.firstAt = now
	}
	c.First, c.Total = milliseconds(c.firstAt.Sub(d.at)), milliseconds(now.Sub(d.at))
	if o == OK && d.incarnation == d.target.Incarnation {
		b.costs.Observe(&c.Outcome)
	}
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }

// forgetWork drops what is known of a target after a restart.
func (b *Balancer) forgetWork(id string) {
	if b.costs != nil {
		b.costs.Forget(id)
		b.work.Forget(id)
	}
}
