// Package claim simulates the once books of many instances over a fake log, within one
// goroutine and with a virtual clock. Faults are drawn from a seed. After every step, the
// simulation asserts that each call ran at most once and that no caller received a response
// to the contrary.
package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
)

// Stats counts the events of a run.
type Stats struct {
	Steps, Keys, Attempts                  int64
	Won, Ran, Answered, Replayed           int64
	NotRun, Unknown, Dropped               int64
	Kills, Pauses, Cuts, Outages, Restores int64
	Records                                int64
	// RanBefore counts responses that an attempt did not run although an earlier attempt with
	// the key had run and its caller never received the outcome.
	RanBefore int64
	// Orphans counts claims that are open at the end of the run because their winner was killed.
	Orphans int64
	Virtual time.Duration
}

// Run is one randomised simulation. Exported fields are set before Default.
type Run struct {
	// Seed determines all events of the run.
	Seed uint64
	// Steps is the number of events until all faults are healed; from then on, every claim of a
	// live instance has to settle.
	Steps int64
	// Instances and Callers are the numbers of instances and callers.
	Instances, Callers int
	// FaultEvery is the mean time between two faults; by default it is drawn from the seed.
	FaultEvery time.Duration
	// Stats is complete once Run has returned.
	Stats Stats

	scheduler    *simul.Scheduler
	rand         *rand.Rand
	log          *simul.Log
	nodes        []*node
	incarnations int
	snapshot     tail.State
	checker      *checker
	healed       bool
	err          error
}

// String describes the run in logs.
func (r *Run) String() string { return fmt.Sprintf("run of claims with seed %d", r.Seed) }

// Default fills fields that were left empty.
func (r *Run) Default() {
	if r.Steps == 0 {
		r.Steps = 200_000
	}
	if r.Instances == 0 {
		r.Instances = 5
	}
	if r.Callers == 0 {
		r.Callers = 20
	}
	r.rand = rand.New(rand.NewPCG(r.Seed, 1))
	if r.FaultEvery == 0 {
		r.FaultEvery = 300 * time.Millisecond << r.rand.IntN(6)
	}
}

// settleTime is the time within which everything in flight must complete once all faults are healed.
const settleTime = 5 * time.Minute

// Run runs the steps, heals all faults and checks the final state. It stops early when an
// invariant is violated or the context ends. A violation is a *simul.ViolationError.
func (r *Run) Run(ctx context.Context) error {
	r.setUp()
	start := r.scheduler.Now()
	for r.Stats.Steps < r.Steps && r.err == nil {
		if r.Stats.Steps%1024 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		r.step()
	}
	r.heal()
	for from := r.scheduler.Now(); r.err == nil && r.scheduler.Now().Sub(from) < settleTime; {
		r.step()
	}
	if r.err == nil {
		r.checkFinalState()
	}
	r.Stats.Records, r.Stats.Virtual = r.log.Appends, r.scheduler.Now().Sub(start)
	return r.err
}

func (r *Run) step() {
	r.Stats.Steps++
	r.scheduler.Step()
}

func (r *Run) setUp() {
	r.scheduler = simul.NewScheduler()
	r.checker = newChecker(r)
	r.log = &simul.Log{Scheduler: r.scheduler, Rand: r.rand, Delay: r.appendDelay, Faults: r.randomFaults()}
	r.snapshot.At = -1
	for range r.Instances {
		r.nodes = append(r.nodes, r.startNode())
	}
	for range r.Callers {
		r.scheduler.After(r.randomUpTo(time.Second), r.nextKey)
	}
	r.scheduler.After(r.FaultEvery, r.injectFault)
}

// startNode starts a new incarnation.
func (r *Run) startNode() *node {
	r.incarnations++
	n := &node{run: r}
	n.start(fmt.Sprintf("inc-%d", r.incarnations))
	return n
}

func (r *Run) fail(format string, args ...any) {
	if r.err == nil {
		r.err = &simul.ViolationError{Seed: r.Seed, Step: r.Stats.Steps, Detail: fmt.Sprintf(format, args...)}
	}
}

func (r *Run) chance(p float64) bool { return !r.healed && r.rand.Float64() < p }

func (r *Run) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(r.rand.Int64N(int64(d)))
}

// randomMagnitude returns the limit divided by a random power of two, at least 1 ms, so that
// the durations cover all magnitudes up to the limit.
func (r *Run) randomMagnitude(limit time.Duration) time.Duration {
	return max(time.Millisecond, limit>>r.rand.IntN(12))
}

func (r *Run) appendDelay() time.Duration {
	if r.chance(0.02) {
		return r.randomMagnitude(3 * time.Second)
	}
	return time.Millisecond + r.randomUpTo(10*time.Millisecond)
}

func (r *Run) randomFaults() simul.Faults {
	p := 0.1 * r.rand.Float64()
	return simul.Faults{LostReply: p, LateAppend: p, DuplicateAppend: p, MaxDelay: r.randomMagnitude(time.Minute)}
}

// injectFault injects a random fault and schedules the next one.
func (r *Run) injectFault() {
	if r.healed {
		return
	}
	i := r.rand.IntN(len(r.nodes))
	n := r.nodes[i]
	switch r.rand.IntN(10) {
	case 0:
		r.kill(n)
	case 1, 2, 3:
		n.pause(r.randomMagnitude(20 * time.Second))
	case 4, 5:
		r.Stats.Cuts++
		n.LogUnreachable = true
		r.scheduler.After(r.randomMagnitude(20*time.Second), func() { n.LogUnreachable = false })
	case 6:
		r.Stats.Outages++
		r.log.Down = true
		r.scheduler.After(r.randomMagnitude(8*time.Second), func() { r.log.Down = false })
	case 7:
		r.snapshotAndTrim(n)
	case 8:
		r.pauseUntilTrimmed(n)
	default:
		r.log.Faults = r.randomFaults()
	}
	r.scheduler.After(r.randomUpTo(2*r.FaultEvery), r.injectFault)
}

// kill ends an incarnation and replaces it by a new one.
func (r *Run) kill(n *node) {
	for i, other := range r.nodes {
		if other == n && !n.Ended() {
			r.Stats.Kills++
			n.Kill()
			r.nodes[i] = r.startNode()
		}
	}
}

// pauseUntilTrimmed pauses an instance, and trims the records that it reads next just before
// the pause ends.
func (r *Run) pauseUntilTrimmed(n *node) {
	if n.Ended() || n.Paused() {
		return
	}
	d := r.randomMagnitude(2 * time.Second)
	n.pause(d)
	r.scheduler.After(d-time.Millisecond, func() { r.snapshotAndTrim(r.nodes[r.rand.IntN(len(r.nodes))]) })
}

// snapshotAndTrim takes a snapshot of an instance and trims most records that it contains,
// unless the current snapshot is as new.
func (r *Run) snapshotAndTrim(n *node) {
	if n.Next()-1 > r.snapshot.At {
		r.snapshot = n.State()
		r.log.Trim(int(r.log.Head()-n.Next()) + r.rand.IntN(20))
	}
}

// heal ends all faults.
func (r *Run) heal() {
	r.healed = true
	r.log.Down, r.log.Faults = false, simul.Faults{}
	for _, n := range r.nodes {
		n.LogUnreachable = false
		n.Resume()
	}
}

// checkFinalState asserts that no live instance has calls in flight, unread records or open claims.
func (r *Run) checkFinalState() {
	for _, n := range r.nodes {
		if !n.Idle() || n.Next() != r.log.Head() || n.book.InFlight() != 0 {
			r.fail("%s has not settled: %d calls in flight, next offset %d of %d", n.Incarnation, n.book.InFlight(), n.Next(), r.log.Head())
		}
	}
	r.checker.checkOpenClaims(r.nodes)
}
