// Package claim runs once books of many instances over a fake log within one
// goroutine and a virtual clock, with faults drawn from a seed, and asserts after
// every step that each call ran at most once and that no caller was told otherwise.
package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
)

// Stats counts what happened in a run.
type Stats struct {
	Steps, Keys, Attempts                  int64
	Won, Ran, Answered, Replayed           int64
	NotRun, Unknown, Dropped               int64
	Kills, Pauses, Cuts, Outages, Restores int64
	Records                                int64
	// RanBefore counts callers told that their attempt did not run although an earlier
	// attempt with the key, whose outcome they never learned, had run.
	RanBefore int64
	// Orphans counts claims left open at the end whose winner was killed.
	Orphans int64
	Virtual time.Duration
}

// Run is one run. Exported fields are set before Run.
type Run struct {
	// Seed decides on everything that happens.
	Seed uint64
	// Steps is the number of events, after which all faults are healed and every claim
	// of a live instance has to be settled.
	Steps int64
	// Instances and Callers are their numbers.
	Instances, Callers int
	// Every is the mean time between two faults; by default it is drawn from the seed.
	Every time.Duration
	// Stats is what happened, once Run has returned.
	Stats Stats

	sched  *simul.Sched
	rand   *rand.Rand
	log    *simul.Log
	nodes  []*node
	births int
	snap   tail.State
	watch  *watch
	healed bool
	err    error
}

// String names the run for logs.
func (r *Run) String() string { return fmt.Sprintf("claims with seed %d", r.Seed) }

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
	if r.Every == 0 {
		r.Every = 300 * time.Millisecond << r.rand.IntN(6)
	}
}

// healTime is how long everything that is under way may take once all faults are healed.
const healTime = 5 * time.Minute

// Run runs until the steps are done, an invariant is broken or the context ends.
func (r *Run) Run(ctx context.Context) error {
	r.begin()
	start := r.sched.Now()
	for r.Stats.Steps < r.Steps && r.err == nil {
		if r.Stats.Steps%1024 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		r.step()
	}
	r.heal()
	for from := r.sched.Now(); r.err == nil && r.sched.Now().Sub(from) < healTime; {
		r.step()
	}
	if r.err == nil {
		r.settled()
	}
	r.Stats.Records, r.Stats.Virtual = r.log.Appends, r.sched.Now().Sub(start)
	return r.err
}

func (r *Run) step() {
	r.Stats.Steps++
	r.sched.Step()
}

func (r *Run) begin() {
	r.sched = simul.NewSched()
	r.watch = newWatch(r)
	r.log = &simul.Log{Sched: r.sched, Rand: r.rand, Delay: r.delay, Faults: r.anyFaults()}
	r.snap.At = -1
	for range r.Instances {
		r.nodes = append(r.nodes, r.birth())
	}
	for range r.Callers {
		r.sched.After(r.upTo(time.Second), r.nextKey)
	}
	r.sched.After(r.Every, r.fault)
}

// birth starts a fresh incarnation.
func (r *Run) birth() *node {
	r.births++
	n := &node{run: r}
	n.start(fmt.Sprintf("inc-%d", r.births))
	return n
}

func (r *Run) fail(format string, args ...any) {
	if r.err == nil {
		r.err = &simul.ViolationError{Seed: r.Seed, Step: r.Stats.Steps, Detail: fmt.Sprintf(format, args...)}
	}
}

func (r *Run) chance(p float64) bool { return !r.healed && r.rand.Float64() < p }

func (r *Run) upTo(d time.Duration) time.Duration { return time.Duration(r.rand.Int64N(int64(d))) }

// spread returns times of all magnitudes up to a limit.
func (r *Run) spread(limit time.Duration) time.Duration {
	return max(time.Millisecond, limit>>r.rand.IntN(12))
}

func (r *Run) delay() time.Duration {
	if r.chance(0.02) {
		return r.spread(3 * time.Second)
	}
	return time.Millisecond + r.upTo(10*time.Millisecond)
}

func (r *Run) anyFaults() simul.Faults {
	p := 0.1 * r.rand.Float64()
	return simul.Faults{Lost: p, Late: p, Twice: p, LateBy: r.spread(time.Minute)}
}

// fault lets one thing go wrong and sets the time of the next.
func (r *Run) fault() {
	if r.healed {
		return
	}
	i := r.rand.IntN(len(r.nodes))
	n := r.nodes[i]
	switch r.rand.IntN(10) {
	case 0:
		r.kill(n)
	case 1, 2, 3:
		n.pause(r.spread(20 * time.Second))
	case 4, 5:
		r.Stats.Cuts++
		n.Cut = true
		r.sched.After(r.spread(20*time.Second), func() { n.Cut = false })
	case 6:
		r.Stats.Outages++
		r.log.Down = true
		r.sched.After(r.spread(8*time.Second), func() { r.log.Down = false })
	case 7:
		r.trim(n)
	case 8:
		r.gap(n)
	default:
		r.log.Faults = r.anyFaults()
	}
	r.sched.After(r.upTo(2*r.Every), r.fault)
}

// kill ends an incarnation; a fresh one takes its place.
func (r *Run) kill(n *node) {
	for i, other := range r.nodes {
		if other == n && !n.Gone() {
			r.Stats.Kills++
			n.Kill()
			r.nodes[i] = r.birth()
		}
	}
}

// gap pauses an instance until the records that it was about to read are gone.
func (r *Run) gap(n *node) {
	if n.Gone() || n.Paused() {
		return
	}
	d := r.spread(2 * time.Second)
	n.pause(d)
	r.sched.After(d-time.Millisecond, func() { r.trim(r.nodes[r.rand.IntN(len(r.nodes))]) })
}

// trim takes a snapshot of an instance and drops most records that it contains.
func (r *Run) trim(n *node) {
	if n.Next()-1 > r.snap.At {
		r.snap = n.State()
		r.log.Trim(int(r.log.Head()-n.Next()) + r.rand.IntN(20))
	}
}

// heal ends all faults.
func (r *Run) heal() {
	r.healed = true
	r.log.Down, r.log.Faults = false, simul.Faults{}
	for _, n := range r.nodes {
		n.Cut = false
		n.Wake()
	}
}

// settled asserts that no live instance left anything open.
func (r *Run) settled() {
	for _, n := range r.nodes {
		if !n.Idle() || n.Next() != r.log.Head() || n.book.InFlight() != 0 {
			r.fail("%s is not settled: %d in flight, next %d of %d", n.Inc, n.book.InFlight(), n.Next(), r.log.Head())
		}
	}
	r.watch.open(r.nodes)
}
