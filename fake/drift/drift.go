// Package drift runs the configuration of many instances over a fake log within one
// goroutine and a virtual clock, with faults and racing operators drawn from a seed, and
// asserts what must hold of versions and accepted changes.
package drift

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cranberryrail/core/conf"
	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
)

// Times of a run.
const (
	// publishEvery is the mean time between two changes, faultEvery that between two faults.
	publishEvery = 500 * time.Millisecond
	faultEvery   = 2 * time.Second
	// longestFault is the longest time that a fault lasts.
	longestFault = 20 * time.Second
	// lateBy is the longest time by which an append is late.
	lateBy = 15 * time.Second
	// snapshotTurn is the longest time that an instance leaves a due snapshot to others.
	snapshotTurn = 5 * time.Second
	// healTime is the time from the end of the faults until all instances must agree.
	healTime = 2 * time.Minute
)

// Sizes of a run.
const (
	// snapshotEvery is the number of records between two snapshots.
	snapshotEvery = 20
	// retention is the most records that a trim leaves, if an instance has folded the others.
	retention = 60
	// organisations is the number of organisations that operators change.
	organisations = 4
	// checkEvery is the number of steps between two looks at the context.
	checkEvery = 1024
)

// Stats count what happened.
type Stats struct {
	Steps                                       int64
	Accepted, Refused, Repeated                 int
	Kills, Pauses, Cuts, Outages, Trims         int
	Snapshots, FromLog, FromPeer, Behind, Stuck int
}

// Run is one randomised run. Exported fields are set before Default.
type Run struct {
	// Seed decides on everything.
	Seed uint64
	// Steps is the number of events until the faults end.
	Steps int64
	// Instances is the number of instances.
	Instances int
	// Stats count what happened.
	Stats Stats

	rand   *rand.Rand
	sched  *simul.Sched
	log    *simul.Log
	nodes  []*node
	births int
	cut    map[[2]int]bool
	healed bool
	err    *simul.ViolationError

	changes int
	// recent are changes that may be repeated.
	recent []tail.Item
	// outcomes are the decisions by digest, as any instance saw them first.
	outcomes map[string]conf.Outcome
	// states are the saved folds by offset, as any instance reached them first.
	states map[int64][]byte
	// newest is the last accepted change of each organisation.
	newest map[string]conf.Outcome
}

// String names the run for logs.
func (r *Run) String() string {
	return fmt.Sprintf("run of configuration over %d instances with seed %d", r.Instances, r.Seed)
}

// Default fills fields that were left empty.
func (r *Run) Default() {
	if r.Steps == 0 {
		r.Steps = 100_000
	}
	if r.Instances == 0 {
		r.Instances = 6
	}
	r.rand = rand.New(rand.NewPCG(r.Seed, 2))
}

// Run runs until the steps are done and all instances agree, something that must hold
// does not, or the context ends. A violation is a *simul.ViolationError.
func (r *Run) Run(ctx context.Context) error {
	r.begin()
	if err := r.steps(ctx, func() bool { return r.Stats.Steps >= r.Steps }); err != nil {
		return err
	}
	r.heal()
	end := r.sched.Now().Add(healTime)
	if err := r.steps(ctx, func() bool { return r.sched.Now().After(end) }); err != nil {
		return err
	}
	r.finish()
	if r.err != nil {
		return r.err
	}
	return nil
}

func (r *Run) steps(ctx context.Context, done func() bool) error {
	for !done() && r.err == nil {
		if r.Stats.Steps%checkEvery == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		r.sched.Step()
		r.Stats.Steps++
	}
	if r.err != nil {
		return r.err
	}
	return nil
}

func (r *Run) begin() {
	r.sched = simul.NewSched()
	r.cut, r.states = map[[2]int]bool{}, map[int64][]byte{}
	r.outcomes, r.newest = map[string]conf.Outcome{}, map[string]conf.Outcome{}
	r.log = &simul.Log{
		Sched: r.sched, Rand: r.rand, Delay: func() time.Duration { return r.upTo(20 * time.Millisecond) },
		Faults: simul.Faults{Lost: 0.05, Late: 0.05, Twice: 0.05, LateBy: lateBy},
	}
	r.nodes = make([]*node, r.Instances)
	for i := range r.nodes {
		r.birth(i)
	}
	r.sched.After(publishEvery, r.publish)
	r.sched.After(faultEvery, r.fault)
}

func (r *Run) upTo(d time.Duration) time.Duration { return time.Duration(r.rand.Int64N(int64(d)) + 1) }

func (r *Run) fail(format string, args ...any) {
	if r.err == nil {
		r.err = &simul.ViolationError{Seed: r.Seed, Step: r.Stats.Steps, Detail: fmt.Sprintf(format, args...)}
	}
}

// birth starts a fresh incarnation in a place.
func (r *Run) birth(place int) {
	r.births++
	n := &node{run: r, place: place}
	r.nodes[place] = n
	n.start(fmt.Sprintf("i%d.%d", place, r.births))
}

// reach reports whether two places reach each other.
func (r *Run) reach(a, b int) bool { return !r.cut[[2]int{min(a, b), max(a, b)}] }

// decided asserts that a change is decided alike at all instances, and notes it.
func (r *Run) decided(n *node, o conf.Outcome) {
	key := string(o.Digest)
	first, known := r.outcomes[key]
	switch {
	case !known:
		r.outcomes[key] = o
		if !o.Accepted() {
			r.Stats.Refused++
			return
		}
		r.Stats.Accepted++
		if before := r.newest[o.Organisation]; o.Version <= before.Version {
			r.fail("%s accepted version %d of %s after %d", n.Inc, o.Version, o.Organisation, before.Version)
		}
		r.newest[o.Organisation] = o
	case first.Code != o.Code || first.Version != o.Version:
		r.fail("%s decided change %s as %d at %d, which was %d at %d", n.Inc, o.ID, o.Code, o.Version, first.Code, first.Version)
	default:
		r.Stats.Repeated++
	}
}

// reached asserts that equal offsets have equal states, and that versions only grow.
func (r *Run) reached(n *node) {
	if n.fold.Version < n.version {
		r.fail("%s went from version %d to %d", n.Inc, n.version, n.fold.Version)
	}
	n.version = n.fold.Version
	state, err := n.fold.Save()
	if err != nil {
		r.fail("save at %s: %v", n.Inc, err)
	}
	first, known := r.states[n.Next()]
	if !known {
		r.states[n.Next()] = state
	} else if !bytes.Equal(first, state) {
		r.fail("%s has another state at offset %d", n.Inc, n.Next())
	}
}

// heal ends all faults.
func (r *Run) heal() {
	r.healed = true
	r.log.Down, r.log.Faults = false, simul.Faults{}
	clear(r.cut)
	for _, n := range r.nodes {
		n.Cut = false
		n.Wake()
	}
}

// finish asserts that all instances agree and that no accepted change is lost.
func (r *Run) finish() {
	for _, n := range r.nodes {
		if n.Next() != r.log.Head() || !n.Ready() {
			r.fail("%s is at offset %d of %d, ready %t", n.Inc, n.Next(), r.log.Head(), n.Ready())
		}
		for organisation, o := range r.newest {
			if got := n.fold.Current(organisation); got != o.Version {
				r.fail("%s has version %d of %s; %d was accepted last", n.Inc, got, organisation, o.Version)
			}
		}
	}
}
