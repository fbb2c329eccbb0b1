// Package frail simulates instances that send requests to brittle targets, on a virtual clock, with the balancer that the product runs. A target
// runs Slots requests at the same time, lets Queue more wait, and falls over when it turns away more than Limit in a second.
package frail

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/fake/simul"
)

// Service is the service of all targets.
const Service = "s"

const (
	// meanWork is the mean time that a target works at a request. Work follows a log-normal distribution with workSigma.
	meanWork  = 40 * time.Millisecond
	workSigma = 1.0
	// minDelay and maxDelay bound the time that a message takes.
	minDelay, maxDelay = time.Millisecond, 20 * time.Millisecond
	// downTime is how long a target is down after a fall.
	downTime = time.Second
	// attempts is how many targets are tried for a request.
	attempts = 3
	// reportFreshness is how long the version in production uses a report.
	reportFreshness = 500 * time.Millisecond
)

// Run is one simulation. Exported fields are set before Do.
type Run struct {
	Seed uint64
	// Instances is the number of instances.
	Instances int
	// Targets, Slots, Queue and Limit describe the targets.
	Targets, Slots, Queue, Limit int
	// Load is the rate of requests as a multiple of what the targets can run.
	Load float64
	// Time is the length of the simulation, of which the first WarmUp does not count.
	WarmUp, Time time.Duration
	// LearnAfter is how long the change of the number of instances takes to reach an instance, and UnknownFor how long no instance knows the others at first.
	LearnAfter, UnknownFor time.Duration
	// Production is how many of the instances follow the rules of the version in production, which count instances and double a share of an idle target.
	Production int
	// Stops and Joins are the number of instances that are killed and that start a third and two thirds into the counted time.
	Stops, Joins int

	clock   *simul.Scheduler
	rand    *rand.Rand
	targets []*target
	members []*member
	end     time.Time
	counts  bool
	result  Result
}

// Result is what a simulation showed.
type Result struct {
	// Offered, Served, Refused and Failed are numbers of requests.
	Offered, Served, Refused, Failed int
	// Rejected is the number of requests that targets turned away, and Falls how often one fell over.
	Rejected, Falls int
	// Waited is the number of requests that waited at a target.
	Waited int
}

// Add adds the numbers of another simulation.
func (r *Result) Add(o Result) {
	r.Offered, r.Served, r.Refused, r.Failed = r.Offered+o.Offered, r.Served+o.Served, r.Refused+o.Refused, r.Failed+o.Failed
	r.Rejected, r.Waited, r.Falls = r.Rejected+o.Rejected, r.Waited+o.Waited, r.Falls+o.Falls
}

// String returns the name of the simulation for logs.
func (r *Run) String() string {
	return fmt.Sprintf("%d instances, %d brittle targets with %d slots, seed %d", r.Instances, r.Targets, r.Slots, r.Seed)
}

type target struct {
	run      *Run
	id       string
	running  int
	waiting  []func()
	rejected []time.Time
	start    int
	upAt     time.Time
}

type member struct {
	balancer route.Balancer
	id       string
	ended    bool
	// old is set if the instance follows the rules of the version in production.
	old    bool
	states []oldState
	fleet  int
}

// oldState is what an instance of the version in production knows of a target.
type oldState struct {
	inFlight, reported   int
	reportedAt, resumeAt time.Time
}

// setFleet states the number of instances.
func (m *member) setFleet(n int, joined bool) {
	m.fleet, m.balancer.Instances = n, n
	m.balancer.SetFleet(m.id, instances(n), joined)
}

// Do runs the simulation.
func (r *Run) Do() Result {
	r.clock = simul.NewScheduler()
	r.rand = rand.New(rand.NewPCG(r.Seed, 0))
	for i := range r.Targets {
		r.targets = append(r.targets, &target{run: r, id: fmt.Sprintf("t%d", i)})
	}
	for range r.Instances {
		r.join(r.Instances, false)
	}
	r.end = r.clock.Now().Add(r.WarmUp + r.Time)
	r.clock.After(r.WarmUp, func() { r.counts = true })
	r.clock.After(r.WarmUp+r.Time/3, func() { r.resize(-r.Stops) })
	r.clock.After(r.WarmUp+r.Time*2/3, func() { r.resize(r.Joins) })
	r.arrive()
	for r.clock.Now().Before(r.end) && r.clock.Step() {
	}
	return r.result
}

func (r *Run) join(fleet int, joined bool) {
	m := &member{fleet: 1, balancer: route.Balancer{Now: r.clock.Now, Policy: route.LeastEstimated, Seed: r.rand.Uint64()}}
	m.id = fmt.Sprintf("i%d", len(r.members))
	m.balancer.Default()
	m.old, m.states = len(r.members) < r.Production, make([]oldState, r.Targets)
	if r.UnknownFor == 0 || joined {
		m.setFleet(fleet, joined)
	} else {
		r.clock.After(r.UnknownFor, func() { m.setFleet(fleet, false) })
	}
	list := make([]roster.Target, 0, r.Targets)
	for _, t := range r.targets {
		list = append(list, roster.Target{ID: t.id, Incarnation: t.id, Service: Service, Kind: roster.PlainService, State: roster.Live, Slots: r.Slots})
	}
	m.balancer.SetTargets(list)
	for _, t := range r.targets {
		m.balancer.SetBrittle(t.id, t.id, float64(r.Limit))
	}
	r.members = append(r.members, m)
}

// instances returns the ids of instances.
func instances(n int) []string {
	ids := make([]string, 0, n)
	for i := range n {
		ids = append(ids, fmt.Sprintf("i%d", i))
	}
	return ids
}

// resize kills instances, or starts some. The others learn of those that start only after a while, and never of those that are gone.
func (r *Run) resize(by int) {
	if by == 0 {
		return
	}
	for i := range -by {
		r.members[i].ended = true
	}
	fleet := len(r.members) + max(by, 0)
	for range by {
		r.join(fleet, true)
	}
	r.clock.After(r.LearnAfter, func() {
		for _, m := range r.members {
			m.setFleet(fleet, false)
		}
	})
}

// arrive sends a request to a random instance and schedules the next one.
func (r *Run) arrive() {
	perSecond := r.Load * float64(r.Targets*r.Slots) / meanWork.Seconds()
	r.clock.After(time.Duration(r.rand.ExpFloat64()/perSecond*float64(time.Second)), func() {
		m := r.members[r.rand.IntN(len(r.members))]
		for m.ended {
			m = r.members[r.rand.IntN(len(r.members))]
		}
		r.count(&r.result.Offered)
		r.attempt(m, nil)
		r.arrive()
	})
}

func (r *Run) count(n *int) {
	if r.counts {
		*n++
	}
}

// attempt sends a request to the target that the balancer of an instance chooses.
func (r *Run) attempt(m *member, tried []string) {
	pick := r.pick
	if m.old {
		pick = r.pickAsProduction
	}
	t, done := pick(m, tried)
	if t == nil {
		r.count(&r.result.Refused)
		return
	}
	r.message(func() {
		t.enter(func(o route.Outcome, running, waiting int) {
			r.message(func() {
				if m.ended {
					return
				}
				done(o, running, waiting)
				switch o {
				case route.OK:
					r.count(&r.result.Served)
				case route.Shed:
					r.attempt(m, append(tried, t.id))
				default:
					r.count(&r.result.Failed)
				}
			})
		})
	})
}

// reply applies the reply to a request at the instance that sent it.
type reply func(o route.Outcome, running, waiting int)

// pick returns the target that the balancer of an instance chooses; nil if it refuses the request.
func (r *Run) pick(m *member, tried []string) (*target, reply) {
	if len(tried) == attempts {
		return nil, nil
	}
	choice, err := m.balancer.Pick(route.Request{Service: Service, Avoid: tried})
	if err != nil {
		return nil, nil
	}
	t := r.targets[slices.IndexFunc(r.targets, func(t *target) bool { return t.id == choice.Target.ID })]
	return t, func(o route.Outcome, running, waiting int) {
		if o != route.Failed {
			m.balancer.Report(t.id, roster.Load{Incarnation: t.id, State: roster.Live, Running: running, Waiting: waiting, Capacity: r.Slots}, r.clock.Now())
			m.balancer.SetBrittle(t.id, t.id, float64(r.Limit))
		}
		m.balancer.Done(choice.DispatchID, o)
	}
}

// pickAsProduction is pick by the rules for brittle targets of the version in production, without its estimates, which may only refuse more.
func (r *Run) pickAsProduction(m *member, tried []string) (*target, reply) {
	now := r.clock.Now()
	for _, i := range r.rand.Perm(len(r.targets)) {
		t, s := r.targets[i], &m.states[i]
		share := max(1, r.Slots/m.fleet)
		if now.Sub(s.reportedAt) < reportFreshness && s.reported < r.Slots/2 {
			share *= 2
		}
		if len(tried) == attempts || slices.Contains(tried, t.id) || now.Before(s.resumeAt) || s.inFlight >= share {
			continue
		}
		s.inFlight++
		return t, func(o route.Outcome, running, waiting int) {
			s.inFlight--
			switch o {
			case route.Failed:
				s.resumeAt = r.clock.Now().Add(downTime)
			case route.Shed:
				s.resumeAt = r.clock.Now().Add(time.Duration((0.5 + r.rand.Float64()) * 2 * float64(m.fleet) / float64(r.Limit) * float64(time.Second)))
			default:
				s.reported, s.reportedAt = running+waiting, r.clock.Now()
			}
		}
	}
	return nil, nil
}

func (r *Run) message(deliver func()) {
	r.clock.After(minDelay+time.Duration(r.rand.Int64N(int64(maxDelay-minDelay))), deliver)
}

// enter admits a request. reply gets its outcome and the load that it found.
func (t *target) enter(reply func(o route.Outcome, running, waiting int)) {
	now := t.run.clock.Now()
	running, waiting := t.running, len(t.waiting)
	switch {
	case now.Before(t.upAt):
		reply(route.Failed, 0, 0)
	case running < t.run.Slots:
		t.work(func(o route.Outcome) { reply(o, running, waiting) })
	case waiting < t.run.Queue:
		t.run.count(&t.run.result.Waited)
		start := t.start
		t.waiting = append(t.waiting, func() {
			if t.start != start {
				reply(route.Failed, 0, 0)
				return
			}
			t.work(func(o route.Outcome) { reply(o, running, waiting) })
		})
	default:
		t.run.count(&t.run.result.Rejected)
		t.rejected = append(t.rejected, now)
		for now.Sub(t.rejected[0]) > time.Second {
			t.rejected = t.rejected[1:]
		}
		if len(t.rejected) > t.run.Limit {
			t.fall(now)
			reply(route.Failed, 0, 0)
			return
		}
		reply(route.Shed, running, waiting)
	}
}

// work runs a request.
func (t *target) work(reply func(o route.Outcome)) {
	start := t.start
	t.running++
	d := time.Duration(float64(meanWork) * math.Exp(workSigma*t.run.rand.NormFloat64()-workSigma*workSigma/2))
	t.run.clock.After(d, func() {
		if t.start != start {
			reply(route.Failed)
			return
		}
		t.running--
		reply(route.OK)
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			next()
		}
	})
}

func (t *target) fall(now time.Time) {
	t.run.count(&t.run.result.Falls)
	waiting := t.waiting
	t.start++
	t.running, t.waiting, t.rejected, t.upAt = 0, nil, nil, now.Add(downTime)
	for _, end := range waiting {
		end()
	}
}
