package route

import (
	"math"
	"time"

	"cranberryrail/core/cost"
)

const (
	// DefaultSample is the number of random targets that LeastWork compares. With more of them, many instances choose the same target at once from
	// reports that are some seconds old.
	DefaultSample = 4
	// minSeen is the number of observations of a service below which LeastWork counts requests instead.
	minSeen = 20
	// affineCredit is the fraction of the shared prompt parts that the target of their prefix is assumed to have cached, since other instances send
	// it the same parts.
	affineCredit = 0.5
	// endWeight is the weight of the time from the first event to the last, in proportion to that of the time to the first event.
	endWeight = 0.1
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
	// Cheapest is set if no other admissible target was expected to be cheaper.
	Cheapest bool
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
	b.costs.Default()
	b.work.Default()
}

// byWork chooses the cheapest of a few random candidates and the one by prefix.
func (b *Balancer) byWork(r Request, candidates []*target, now time.Time) (*target, *Expected) {
	affine := b.byCount(r, candidates, now)
	if r.Work == nil {
		return affine, nil
	}
	e := b.costs.Estimate(r.Work)
	if e.Seen < minSeen {
		return affine, &Expected{By: ByCount, Output: e.Mean}
	}
	costs := make([]float64, len(candidates))
	lowest, affineAt := math.Inf(1), 0
	for i, c := range candidates {
		credit := 0.0
		if c == affine {
			affineAt = i
			credit = b.credit(r)
		}
		p := b.plan(r, &e, c, credit)
		costs[i] = p.First + endWeight*(p.Total-p.First)
		lowest = min(lowest, costs[i])
	}
	best, by := affineAt, ByPrefix
	for range b.Sample {
		if i := b.rand.IntN(len(candidates)); costs[i] < costs[best] {
			best, by = i, BySample
		}
	}
	return candidates[best], &Expected{By: by, Cheapest: costs[best] <= lowest, Output: e.Mean}
}

// credit returns the fraction of the shared prompt parts that the target of the prefix of a request is assumed to have cached.
func (b *Balancer) credit(r Request) float64 {
	if r.Prefix == "" {
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
	credit := 0.0
	if expected.By == ByPrefix {
		credit = b.credit(r)
	}
	p := b.plan(r, &e, c, credit)
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
