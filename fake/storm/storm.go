// Package storm runs ledger books of many instances over a fake log within one
// goroutine and a virtual clock, with faults drawn from a seed, and asserts the
// invariants of the ledger after every step.
package storm

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
)

// Stats counts what happened in a run.
type Stats struct {
	Requests, Granted, Refused, Retried   int64
	Kills, Stops, Pauses, Cuts, Outages   int64
	Trims, Snapshots, TopUps, Loans, Lost int64
	Records, Bills                        int64
	Steps                                 int64
	Paid, Spent, Held, Used               int64
	Virtual                               time.Duration
}

// Run is one run. Exported fields are set before Run.
type Run struct {
	// Seed decides on everything that happens.
	Seed uint64
	// Steps is the number of events, after which all faults are healed and the bills compared.
	Steps int64
	// Instances and Organisations are their numbers.
	Instances, Organisations int
	// Every is the mean time between two faults.
	Every time.Duration
	// Policy sizes allowances; by default it is drawn from the seed for each budget.
	Policy func(budget string) ledger.Policy
	// Stats is what happened, once Run has returned.
	Stats Stats

	sched    *simul.Sched
	rand     *rand.Rand
	log      *simul.Log
	nodes    []*Node
	births   int
	watch    *watch
	cut      map[[2]int]bool
	open     map[*Node][]*attempt
	requests []*request
	topUps   []ledger.TopUp
	healed   bool
	err      error
}

// String names the run for logs.
func (r *Run) String() string { return fmt.Sprintf("storm with seed %d", r.Seed) }

// Default fills fields that were left empty.
func (r *Run) Default() {
	if r.Steps == 0 {
		r.Steps = 200_000
	}
	if r.Instances == 0 {
		r.Instances = 8
	}
	if r.Organisations == 0 {
		r.Organisations = 10
	}
	if r.Every == 0 {
		r.Every = 400 * time.Millisecond
	}
	r.rand = rand.New(rand.NewPCG(r.Seed, 1))
	if r.Policy == nil {
		r.Policy = r.anyPolicy()
	}
}

// anyPolicy gives each budget a policy drawn from the seed.
func (r *Run) anyPolicy() func(string) ledger.Policy {
	policies := map[string]ledger.Policy{}
	kinds := []ledger.PolicyKind{ledger.Fixed, ledger.Adaptive, ledger.WrittenAhead}
	for i := range r.Organisations {
		p := ledger.DefaultPolicy()
		p.Kind = kinds[r.rand.IntN(len(kinds))]
		p.ChunkTokens = 500 + r.rand.Int64N(20_000)
		p.Cover = time.Duration(1+r.rand.IntN(600)) * time.Second
		policies[budgetOf(i)] = p
	}
	return func(budget string) ledger.Policy { return policies[budget] }
}

func budgetOf(i int) string { return ledger.BudgetKey(fmt.Sprintf("org%d", i), "main") }

// Run runs until the steps are done, an invariant is broken or the context ends.
func (r *Run) Run(ctx context.Context) error {
	r.begin()
	for r.Stats.Steps = 0; r.Stats.Steps < r.Steps && r.err == nil; r.Stats.Steps++ {
		if r.Stats.Steps%1024 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		r.sched.Step()
		r.check()
	}
	r.heal()
	from := r.sched.Now()
	for r.err == nil && !r.settled(r.sched.Now().Sub(from)) {
		r.sched.Step()
		r.check()
		r.Stats.Steps++
	}
	r.finish()
	return r.err
}

// Times after the healing of all faults.
const (
	// healTime is the time in which everything that was late arrives; it is longer than the
	// longest delay of an append.
	healTime = 25 * time.Second
	// settleTime is the time within which every instance must once have nothing left to write.
	settleTime = 5 * time.Minute
)

// settled reports whether nothing is under way any more, or the time for it is over.
func (r *Run) settled(since time.Duration) bool {
	if since < healTime {
		return false
	}
	for _, n := range r.nodes {
		if since < settleTime && (!n.Idle() || n.Next() != r.log.Head()) {
			return false
		}
	}
	return true
}

func (r *Run) begin() {
	r.sched = simul.NewSched()
	r.watch = newWatch(r.fail)
	r.cut = map[[2]int]bool{}
	r.open = map[*Node][]*attempt{}
	r.log = &simul.Log{Sched: r.sched, Rand: r.rand, Appended: r.watch.appended, Delay: r.ordinaryDelay,
		Faults: simul.Faults{Lost: 0.02, Late: 0.02, Twice: 0.02, LateBy: 20 * time.Second}}
	r.nodes = make([]*Node, r.Instances)
	for i := range r.nodes {
		r.birth(i)
	}
	for i := range r.Organisations {
		r.topUp(ledger.TopUp{ID: fmt.Sprintf("first%d", i), Budget: budgetOf(i), Tokens: 50_000})
	}
	r.sched.After(0, r.arrive)
	r.sched.After(time.Second, r.fault)
	r.sched.After(time.Second, r.moreTopUps)
}

func (r *Run) ordinaryDelay() time.Duration { return r.upTo(10 * time.Millisecond) }

func (r *Run) upTo(d time.Duration) time.Duration { return time.Duration(r.rand.Int64N(int64(d)) + 1) }

func (r *Run) fail(format string, args ...any) {
	if r.err == nil {
		r.err = &simul.ViolationError{Seed: r.Seed, Step: r.Stats.Steps, Detail: fmt.Sprintf(format, args...)}
	}
}

// check asserts what an instance can tell of itself, one instance a step.
func (r *Run) check() {
	n := r.nodes[int(r.Stats.Steps)%len(r.nodes)]
	if err := n.Book.Check(); err != nil {
		r.fail("%v", err)
	}
}

// birth starts a fresh incarnation in a place.
func (r *Run) birth(place int) {
	r.births++
	inc := fmt.Sprintf("i%d.%d", place, r.births)
	n := &Node{
		Node: simul.Node{Sched: r.sched, Log: r.log, Inc: inc, Linger: 5 * time.Millisecond},
		Book: &ledger.Book{Policy: r.Policy, Instances: func() int { return r.Instances },
			Live: func(string) bool { return r.rand.IntN(4) > 0 }},
		Folded: r.watch.folded,
	}
	n.Ask = func(holder string, l ledger.Loan, done func(int64)) { r.ask(place, holder, l, done) }
	n.Fetch = func() (tail.State, bool) { return r.fetch(place) }
	r.nodes[place] = n
	n.Start()
}

// reach returns whether two places reach each other.
func (r *Run) reach(a, b int) bool { return !r.cut[[2]int{min(a, b), max(a, b)}] }

// ask carries a request for a loan and its answer, either of which may be lost.
func (r *Run) ask(place int, holder string, l ledger.Loan, done func(int64)) {
	lender := -1
	for i, n := range r.nodes {
		if n.Inc == holder && !n.Gone() {
			lender = i
		}
	}
	if lender < 0 {
		r.sched.After(PeerDelay, func() { done(0) })
		return
	}
	answered := false
	answer := func(tokens int64) {
		if !answered {
			answered = true
			done(tokens)
		}
	}
	r.sched.After(peerTimeout, func() { answer(0) })
	if !r.reach(place, lender) {
		return
	}
	n := r.nodes[lender]
	r.sched.After(PeerDelay, func() {
		n.Do(func() {
			tokens := n.Book.Lend(l.Budget, l.Tokens, l.Least)
			r.Stats.Loans++
			if !r.reach(place, lender) || r.rand.Float64() < 0.02 {
				r.Stats.Lost++
				return
			}
			r.sched.After(PeerDelay, func() { answer(tokens) })
		})
	})
}

// fetch gets the state of a peer; at times none is in reach.
func (r *Run) fetch(place int) (tail.State, bool) {
	if r.rand.IntN(2) == 0 {
		return tail.State{}, false
	}
	for i, n := range r.nodes {
		if i != place && !n.Gone() && !n.Paused() && n.Ready() && r.reach(i, place) {
			return n.State(), true
		}
	}
	return tail.State{}, false
}

// arrive makes a request and the next arrival.
func (r *Run) arrive() {
	if r.healed {
		return
	}
	r.sched.After(r.upTo(40*time.Millisecond), r.arrive)
	r.Stats.Requests++
	org := int(float64(r.Organisations) * r.rand.Float64() * r.rand.Float64())
	tokens := 50 + r.rand.Int64N(1500)
	least := tokens
	if r.rand.IntN(2) == 0 {
		least = 1 + r.rand.Int64N(tokens)
	}
	q := &request{need: ledger.Need{Budget: budgetOf(org), Request: fmt.Sprintf("q%d", r.Stats.Requests), Digest: 7,
		Tokens: tokens, Least: least}}
	r.requests = append(r.requests, q)
	r.try(q)
}

// try sends a request to any instance; the caller tries again elsewhere when it hears
// nothing.
func (r *Run) try(q *request) {
	if q.tries++; q.tries > 4 || r.healed {
		return
	}
	n := r.nodes[r.rand.IntN(len(r.nodes))]
	heard := false
	r.sched.After(3*time.Second, func() {
		if !heard {
			r.Stats.Retried++
			r.try(q)
		}
	})
	n.Do(func() {
		n.Reserve(q.need, func(a ledger.Answer) {
			heard = true
			if a.Refused != nil {
				r.Stats.Refused++
				if r.rand.IntN(2) == 0 {
					r.sched.After(a.Refused.RetryAfter+time.Second, func() { r.try(q) })
				}
				return
			}
			r.run(q, n, a.Grant)
		})
	})
}

// run lets an engine work on a grant and settles it.
func (r *Run) run(q *request, n *Node, g ledger.Grant) {
	r.Stats.Granted++
	r.watch.granted(g)
	a := &attempt{req: q, node: n, grant: g}
	r.open[n] = append(r.open[n], a)
	if r.rand.IntN(20) == 0 {
		r.sched.After(r.upTo(time.Second), func() { r.Stats.Retried++; r.try(q) })
	}
	r.sched.After(r.upTo(4*time.Second), func() {
		if n.Gone() {
			return
		}
		var used int64
		if r.rand.IntN(20) > 0 {
			used = 1 + r.rand.Int64N(g.Covers())
		}
		r.watch.ended(a, used)
		n.Do(func() { r.settle(a) })
	})
}

func (r *Run) settle(a *attempt) {
	open := r.open[a.node]
	for i := range open {
		if open[i] == a {
			open[i] = open[len(open)-1]
			r.open[a.node] = open[:len(open)-1]
			break
		}
	}
	r.watch.release(a.grant, a.used)
	a.req.settled = max(a.req.settled, a.used)
	a.node.settled = append(a.node.settled, settlement{a.req, a.used})
	a.node.Book.Settle(a.grant.ID, a.used)
}

// settlement is a use that an instance was told of.
type settlement struct {
	req  *request
	used int64
}

// kill ends an instance with everything that runs on it.
func (r *Run) kill(place int) {
	n := r.nodes[place]
	if n.Gone() {
		return
	}
	n.Kill()
	n.settled = nil
	for _, a := range r.open[n] {
		if !a.ended {
			r.watch.ended(a, r.rand.Int64N(a.grant.Covers()+1))
		}
		r.watch.release(a.grant, a.used)
		q := a.req
		r.sched.After(r.upTo(time.Second), func() { r.Stats.Retried++; r.try(q) })
	}
	delete(r.open, n)
	r.rebirth(place)
}

func (r *Run) rebirth(place int) { r.sched.After(r.upTo(3*time.Second), func() { r.birth(place) }) }

// stop stops an instance as planned.
func (r *Run) stop(place int) {
	n := r.nodes[place]
	if n.Gone() || n.Paused() || n.stopping {
		return
	}
	n.stopping = true
	n.Stop(func() {
		r.keepCertain(n)
		r.rebirth(place)
	})
}

// keepCertain notes the settlements of an instance that was not killed.
func (r *Run) keepCertain(n *Node) {
	for _, s := range n.settled {
		s.req.certain = max(s.req.certain, s.used)
	}
	n.settled = nil
}

func (r *Run) topUp(m ledger.TopUp) {
	r.Stats.TopUps++
	r.topUps = append(r.topUps, m)
	n := r.nodes[r.rand.IntN(len(r.nodes))]
	n.Do(func() { n.Book.TopUp(m) })
}

// moreTopUps tops up budgets, some with an id that was used before.
func (r *Run) moreTopUps() {
	if r.healed {
		return
	}
	r.sched.After(r.upTo(4*time.Second), r.moreTopUps)
	m := ledger.TopUp{ID: fmt.Sprintf("more%d", len(r.topUps)), Budget: budgetOf(r.rand.IntN(r.Organisations)), Tokens: 1 + r.rand.Int64N(60_000)}
	switch r.rand.IntN(6) {
	case 0, 1:
		m = r.topUps[r.rand.IntN(len(r.topUps))]
	case 2:
		m = r.topUps[r.rand.IntN(len(r.topUps))]
		m.Tokens++
	}
	r.topUp(m)
}

// heal ends all faults and arrivals.
func (r *Run) heal() {
	r.healed = true
	r.log.Down, r.log.Delay, r.log.Faults = false, r.ordinaryDelay, simul.Faults{}
	r.cut = map[[2]int]bool{}
	for _, n := range r.nodes {
		n.Cut = false
		n.Wake()
	}
}

// finish compares all instances and bills.
func (r *Run) finish() {
	if r.err != nil {
		return
	}
	want := r.watch.save()
	for _, n := range r.nodes {
		r.keepCertain(n)
		switch {
		case n.Gone():
		case n.Next() != r.log.Head():
			r.fail("%s is still at offset %d of %d", n.Inc, n.Next(), r.log.Head())
		case n.Book.InFlight() > 0 || !n.Idle():
			r.fail("%s has %d grants left, all items written: %t", n.Inc, n.Book.InFlight(), n.Idle())
		case !bytes.Equal(n.State().Fold, want):
			r.fail("the state of %s differs at the end", n.Inc)
		}
	}
	r.watch.finish(r.requests)
	r.Stats.Records, r.Stats.Bills = r.log.Head(), int64(len(r.watch.bills))
	r.Stats.Virtual = r.sched.Now().Sub(simul.NewSched().Now())
	for key, b := range r.watch.fold.Budgets {
		r.Stats.Paid += b.Paid
		r.Stats.Spent += b.Spent
		r.Stats.Held += b.Held
		r.Stats.Used += r.watch.used[key]
	}
}
