// Package ledsim simulates the ledger books of many instances over a fake log, within one
// goroutine and with a virtual clock. Faults are drawn from a seed. The simulation asserts the
// invariants of the ledger after every step.
package ledsim

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

// Stats counts the events of a run.
type Stats struct {
	Requests, Granted, Refused, Retried   int64
	Kills, Stops, Pauses, Cuts, Outages   int64
	Trims, Snapshots, TopUps, Loans, Lost int64
	Records, Bills                        int64
	Steps                                 int64
	Paid, Spent, Held, Used               int64
	Virtual                               time.Duration
}

// Run is one randomised simulation. Exported fields are set before Default.
type Run struct {
	// Seed determines all events of the run.
	Seed uint64
	// Steps is the number of events until all faults are healed; the bills are compared once the
	// instances have settled.
	Steps int64
	// Instances and Organisations are the numbers of instances and organisations.
	Instances, Organisations int
	// FaultEvery is the mean time between two faults.
	FaultEvery time.Duration
	// Policy returns the allowance policy of a budget; by default it is drawn from the seed.
	Policy func(budget string) ledger.Policy
	// Stats is complete once Run has returned.
	Stats Stats

	scheduler    *simul.Scheduler
	rand         *rand.Rand
	log          *simul.Log
	nodes        []*Node
	incarnations int
	checker      *checker
	// partitions holds the pairs of instances that can't reach each other, the lower index first.
	partitions map[[2]int]bool
	// inFlight holds the attempts that have not settled, by instance.
	inFlight map[*Node][]*attempt
	requests []*request
	topUps   []ledger.TopUp
	healed   bool
	err      error
}

// String describes the run in logs.
func (r *Run) String() string { return fmt.Sprintf("run of budgets with seed %d", r.Seed) }

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
	if r.FaultEvery == 0 {
		r.FaultEvery = 400 * time.Millisecond
	}
	r.rand = rand.New(rand.NewPCG(r.Seed, 1))
	if r.Policy == nil {
		r.Policy = r.randomPolicies()
	}
}

// randomPolicies returns a function that returns the policy of a budget, drawn from the seed.
func (r *Run) randomPolicies() func(string) ledger.Policy {
	policies := map[string]ledger.Policy{}
	kinds := []ledger.PolicyKind{ledger.Fixed, ledger.Adaptive, ledger.WrittenAhead}
	for i := range r.Organisations {
		p := ledger.DefaultPolicy()
		p.Kind = kinds[r.rand.IntN(len(kinds))]
		p.ChunkTokens = 500 + r.rand.Int64N(20_000)
		p.Cover = time.Duration(1+r.rand.IntN(600)) * time.Second
		policies[budgetKey(i)] = p
	}
	return func(budget string) ledger.Policy { return policies[budget] }
}

func budgetKey(i int) string { return ledger.BudgetKey(fmt.Sprintf("org%d", i), "main") }

// Run runs the steps, heals all faults and checks the final state. It stops early when an
// invariant is violated or the context ends. A violation is a *simul.ViolationError.
func (r *Run) Run(ctx context.Context) error {
	r.setUp()
	for r.Stats.Steps = 0; r.Stats.Steps < r.Steps && r.err == nil; r.Stats.Steps++ {
		if r.Stats.Steps%1024 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		r.scheduler.Step()
		r.checkBook()
	}
	r.heal()
	from := r.scheduler.Now()
	for r.err == nil && !r.settled(r.scheduler.Now().Sub(from)) {
		r.scheduler.Step()
		r.checkBook()
		r.Stats.Steps++
	}
	r.checkFinalState()
	return r.err
}

// Times after all faults were healed.
const (
	// minSettleTime is the time within which all delayed messages arrive; it is longer than the
	// longest delay of an append.
	minSettleTime = 25 * time.Second
	// settleTimeout is the time within which all instances must have written and read everything.
	settleTimeout = 5 * time.Minute
)

// settled reports whether nothing is in flight any more, or settleTimeout has passed.
func (r *Run) settled(since time.Duration) bool {
	if since < minSettleTime {
		return false
	}
	for _, n := range r.nodes {
		if since < settleTimeout && (!n.Idle() || n.Next() != r.log.Head()) {
			return false
		}
	}
	return true
}

func (r *Run) setUp() {
	r.scheduler = simul.NewScheduler()
	r.checker = newChecker(r.fail)
	r.partitions = map[[2]int]bool{}
	r.inFlight = map[*Node][]*attempt{}
	r.log = &simul.Log{Scheduler: r.scheduler, Rand: r.rand, OnAppend: r.checker.applyRecord, Delay: r.ordinaryDelay,
		Faults: simul.Faults{LostReply: 0.02, LateAppend: 0.02, DuplicateAppend: 0.02, MaxDelay: 20 * time.Second}}
	r.nodes = make([]*Node, r.Instances)
	for i := range r.nodes {
		r.startNode(i)
	}
	for i := range r.Organisations {
		r.topUp(ledger.TopUp{ID: fmt.Sprintf("first%d", i), Budget: budgetKey(i), Tokens: 50_000})
	}
	r.scheduler.After(0, r.nextRequest)
	r.scheduler.After(time.Second, r.injectFault)
	r.scheduler.After(time.Second, r.nextTopUp)
}

func (r *Run) ordinaryDelay() time.Duration { return r.randomUpTo(10 * time.Millisecond) }

func (r *Run) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(r.rand.Int64N(int64(d)) + 1)
}

func (r *Run) fail(format string, args ...any) {
	if r.err == nil {
		r.err = &simul.ViolationError{Seed: r.Seed, Step: r.Stats.Steps, Detail: fmt.Sprintf(format, args...)}
	}
}

// checkBook asserts the local invariants of one instance per step, in turn.
func (r *Run) checkBook() {
	n := r.nodes[int(r.Stats.Steps)%len(r.nodes)]
	if err := n.Book.Check(); err != nil {
		r.fail("%v", err)
	}
}

// startNode starts a new incarnation of an instance.
func (r *Run) startNode(index int) {
	r.incarnations++
	inc := fmt.Sprintf("i%d.%d", index, r.incarnations)
	n := &Node{
		Node: simul.Node{Scheduler: r.scheduler, Log: r.log, Incarnation: inc, Linger: 5 * time.Millisecond},
		Book: &ledger.Book{Policy: r.Policy, Instances: func() int { return r.Instances },
			Live: func(string) bool { return r.rand.IntN(4) > 0 }},
		OnApplied: r.checker.checkState,
	}
	n.RequestLoan = func(holder string, l ledger.LoanRequest, done func(int64)) { r.requestLoan(index, holder, l, done) }
	n.FetchState = func() (tail.State, bool) { return r.fetchState(index) }
	r.nodes[index] = n
	n.Start()
}

// reachable reports whether two instances can reach each other.
func (r *Run) reachable(a, b int) bool { return !r.partitions[[2]int{min(a, b), max(a, b)}] }

// requestLoan delivers a loan request and its response, either of which may be lost.
func (r *Run) requestLoan(index int, holder string, l ledger.LoanRequest, done func(int64)) {
	lender := -1
	for i, n := range r.nodes {
		if n.Incarnation == holder && !n.Ended() {
			lender = i
		}
	}
	if lender < 0 {
		r.scheduler.After(PeerDelay, func() { done(0) })
		return
	}
	answered := false
	answer := func(tokens int64) {
		if !answered {
			answered = true
			done(tokens)
		}
	}
	r.scheduler.After(peerTimeout, func() { answer(0) })
	if !r.reachable(index, lender) {
		return
	}
	n := r.nodes[lender]
	r.scheduler.After(PeerDelay, func() {
		n.Do(func() {
			tokens := n.Book.Lend(l.Budget, l.Tokens, l.Least)
			r.Stats.Loans++
			if !r.reachable(index, lender) || r.rand.Float64() < 0.02 {
				r.Stats.Lost++
				return
			}
			r.scheduler.After(PeerDelay, func() { answer(tokens) })
		})
	})
}

// fetchState returns the state of a reachable peer; in half of the cases it fails.
func (r *Run) fetchState(index int) (tail.State, bool) {
	if r.rand.IntN(2) == 0 {
		return tail.State{}, false
	}
	for i, n := range r.nodes {
		if i != index && !n.Ended() && !n.Paused() && n.Ready() && r.reachable(i, index) {
			return n.State(), true
		}
	}
	return tail.State{}, false
}

// nextRequest sends a new request and schedules the next one.
func (r *Run) nextRequest() {
	if r.healed {
		return
	}
	r.scheduler.After(r.randomUpTo(40*time.Millisecond), r.nextRequest)
	r.Stats.Requests++
	org := int(float64(r.Organisations) * r.rand.Float64() * r.rand.Float64())
	tokens := 50 + r.rand.Int64N(1500)
	least := tokens
	if r.rand.IntN(2) == 0 {
		least = 1 + r.rand.Int64N(tokens)
	}
	q := &request{request: ledger.ReserveRequest{Budget: budgetKey(org), Request: fmt.Sprintf("q%d", r.Stats.Requests), Digest: 7,
		Tokens: tokens, Least: least}}
	r.requests = append(r.requests, q)
	r.send(q)
}

// send sends a request to a random instance, at most 4 times in all. The caller retries when
// it gets no response within 3 s, and after half of the refusals.
func (r *Run) send(q *request) {
	if q.attempts++; q.attempts > 4 || r.healed {
		return
	}
	n := r.nodes[r.rand.IntN(len(r.nodes))]
	decided := false
	r.scheduler.After(3*time.Second, func() {
		if !decided {
			r.Stats.Retried++
			r.send(q)
		}
	})
	n.Do(func() {
		n.Reserve(q.request, func(a ledger.Decision) {
			decided = true
			if a.Refused != nil {
				r.Stats.Refused++
				if r.rand.IntN(2) == 0 {
					r.scheduler.After(a.Refused.RetryAfter+time.Second, func() { r.send(q) })
				}
				return
			}
			r.execute(q, n, a.Reservation)
		})
	})
}

// execute simulates the use of a reservation at an engine and settles it.
func (r *Run) execute(q *request, n *Node, g ledger.Reservation) {
	r.Stats.Granted++
	r.checker.recordReservation(g)
	a := &attempt{req: q, node: n, reservation: g}
	r.inFlight[n] = append(r.inFlight[n], a)
	if r.rand.IntN(20) == 0 {
		r.scheduler.After(r.randomUpTo(time.Second), func() { r.Stats.Retried++; r.send(q) })
	}
	r.scheduler.After(r.randomUpTo(4*time.Second), func() {
		if n.Ended() {
			return
		}
		var used int64
		if r.rand.IntN(20) > 0 {
			used = 1 + r.rand.Int64N(g.CoveredTokens())
		}
		r.checker.recordUse(a, used)
		n.Do(func() { r.settle(a) })
	})
}

func (r *Run) settle(a *attempt) {
	inFlight := r.inFlight[a.node]
	for i := range inFlight {
		if inFlight[i] == a {
			inFlight[i] = inFlight[len(inFlight)-1]
			r.inFlight[a.node] = inFlight[:len(inFlight)-1]
			break
		}
	}
	r.checker.releaseUnused(a.reservation, a.used)
	a.req.settled = max(a.req.settled, a.used)
	a.node.settled = append(a.node.settled, settlement{a.req, a.used})
	a.node.Book.Settle(a.reservation.ID, a.used)
}

// settlement is the use of a reservation as reported to an instance.
type settlement struct {
	req  *request
	used int64
}

// kill ends an instance with all its attempts, which callers may send again, and schedules a
// restart.
func (r *Run) kill(index int) {
	n := r.nodes[index]
	if n.Ended() {
		return
	}
	n.Kill()
	n.settled = nil
	for _, a := range r.inFlight[n] {
		if !a.ended {
			r.checker.recordUse(a, r.rand.Int64N(a.reservation.CoveredTokens()+1))
		}
		r.checker.releaseUnused(a.reservation, a.used)
		q := a.req
		r.scheduler.After(r.randomUpTo(time.Second), func() { r.Stats.Retried++; r.send(q) })
	}
	delete(r.inFlight, n)
	r.scheduleRestart(index)
}

func (r *Run) scheduleRestart(index int) {
	r.scheduler.After(r.randomUpTo(3*time.Second), func() { r.startNode(index) })
}

// stop stops an instance gracefully and schedules a restart.
func (r *Run) stop(index int) {
	n := r.nodes[index]
	if n.Ended() || n.Paused() || n.stopping {
		return
	}
	n.stopping = true
	n.Stop(func() {
		r.confirmSettlements(n)
		r.scheduleRestart(index)
	})
}

// confirmSettlements records the settlements of an instance that was not killed, which must
// all be billed.
func (r *Run) confirmSettlements(n *Node) {
	for _, s := range n.settled {
		s.req.confirmed = max(s.req.confirmed, s.used)
	}
	n.settled = nil
}

func (r *Run) topUp(topUp ledger.TopUp) {
	r.Stats.TopUps++
	r.topUps = append(r.topUps, topUp)
	n := r.nodes[r.rand.IntN(len(r.nodes))]
	n.Do(func() { n.Book.TopUp(topUp) })
}

// nextTopUp sends a top-up, some with an id that was used before, and schedules the next one.
func (r *Run) nextTopUp() {
	if r.healed {
		return
	}
	r.scheduler.After(r.randomUpTo(4*time.Second), r.nextTopUp)
	topUp := ledger.TopUp{ID: fmt.Sprintf("more%d", len(r.topUps)), Budget: budgetKey(r.rand.IntN(r.Organisations)), Tokens: 1 + r.rand.Int64N(60_000)}
	switch r.rand.IntN(6) {
	case 0, 1:
		topUp = r.topUps[r.rand.IntN(len(r.topUps))]
	case 2:
		topUp = r.topUps[r.rand.IntN(len(r.topUps))]
		topUp.Tokens++
	}
	r.topUp(topUp)
}

// heal ends all faults and stops new requests and top-ups.
func (r *Run) heal() {
	r.healed = true
	r.log.Down, r.log.Delay, r.log.Faults = false, r.ordinaryDelay, simul.Faults{}
	r.partitions = map[[2]int]bool{}
	for _, n := range r.nodes {
		n.LogUnreachable = false
		n.Resume()
	}
}

// checkFinalState asserts that all instances have settled with the same state, checks the
// bills and completes the statistics.
func (r *Run) checkFinalState() {
	if r.err != nil {
		return
	}
	want := r.checker.saveState()
	for _, n := range r.nodes {
		r.confirmSettlements(n)
		switch {
		case n.Ended():
		case n.Next() != r.log.Head():
			r.fail("%s is still at offset %d of %d", n.Incarnation, n.Next(), r.log.Head())
		case n.Book.InFlight() > 0 || !n.Idle():
			r.fail("%s has %d reservations in flight at the end, all items written: %t", n.Incarnation, n.Book.InFlight(), n.Idle())
		case !bytes.Equal(n.State().Data, want):
			r.fail("state of %s differs from the checker's at the end", n.Incarnation)
		}
	}
	r.checker.checkBills(r.requests)
	r.Stats.Records, r.Stats.Bills = r.log.Head(), int64(len(r.checker.bills))
	r.Stats.Virtual = r.scheduler.Now().Sub(simul.NewScheduler().Now())
	for key, b := range r.checker.fold.Budgets {
		r.Stats.Paid += b.Paid
		r.Stats.Spent += b.Spent
		r.Stats.Held += b.Held
		r.Stats.Used += r.checker.used[key]
	}
}
