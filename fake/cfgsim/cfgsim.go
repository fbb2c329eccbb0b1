// Package cfgsim simulates the configuration of many instances over a fake log, within one
// goroutine and with a virtual clock. Faults and concurrent changes by operators are drawn
// from a seed. The simulation asserts the invariants of versions and accepted changes.
package cfgsim

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
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 20 * time.Second
	// maxAppendDelay is the longest delay of a late append.
	maxAppendDelay = 15 * time.Second
	// maxSnapshotDelay is the longest time for which an instance delays a due snapshot, so that
	// another instance may write it.
	maxSnapshotDelay = 5 * time.Second
	// settleTime is the time from the end of the faults until all instances must agree.
	settleTime = 2 * time.Minute
)

// Sizes of a run.
const (
	// snapshotEvery is the number of records between two snapshots.
	snapshotEvery = 20
	// retention is the maximum number of records that a trim keeps, provided that a ready
	// instance has applied the others.
	retention = 60
	// organisations is the number of organisations that operators change.
	organisations = 4
	// checkEvery is the number of steps between two checks of the context.
	checkEvery = 1024
)

// Stats counts the events of a run.
type Stats struct {
	Steps                                       int64
	Accepted, Refused, Repeated                 int
	Kills, Pauses, Cuts, Outages, Trims         int
	Snapshots, FromLog, FromPeer, Behind, Stuck int
}

// Run is one randomised simulation. Exported fields are set before Default.
type Run struct {
	// Seed determines all events of the run.
	Seed uint64
	// Steps is the number of events until all faults are healed.
	Steps int64
	// Instances is the number of instances.
	Instances int
	// Stats is complete once Run has returned.
	Stats Stats

	rand         *rand.Rand
	scheduler    *simul.Scheduler
	log          *simul.Log
	nodes        []*node
	incarnations int
	partitions   map[[2]int]bool
	healed       bool
	err          *simul.ViolationError

	changes int
	// recent holds the latest changes, from which repeated ones are drawn.
	recent []tail.Item
	// outcomes holds the outcomes of changes by digest, as computed by the first instance to
	// apply each change.
	outcomes map[string]conf.Outcome
	// states holds the saved states by offset, as computed by the first instance at each offset.
	states map[int64][]byte
	// newest holds the last accepted change of each organisation.
	newest map[string]conf.Outcome
}

// String describes the run in logs.
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

// Run runs the steps, heals all faults and checks that all instances agree. It stops early
// when an invariant is violated or the context ends. A violation is a *simul.ViolationError.
func (r *Run) Run(ctx context.Context) error {
	r.setUp()
	if err := r.runUntil(ctx, func() bool { return r.Stats.Steps >= r.Steps }); err != nil {
		return err
	}
	r.heal()
	end := r.scheduler.Now().Add(settleTime)
	if err := r.runUntil(ctx, func() bool { return r.scheduler.Now().After(end) }); err != nil {
		return err
	}
	r.checkFinalState()
	if r.err != nil {
		return r.err
	}
	return nil
}

func (r *Run) runUntil(ctx context.Context, done func() bool) error {
	for !done() && r.err == nil {
		if r.Stats.Steps%checkEvery == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		r.scheduler.Step()
		r.Stats.Steps++
	}
	if r.err != nil {
		return r.err
	}
	return nil
}

func (r *Run) setUp() {
	r.scheduler = simul.NewScheduler()
	r.partitions, r.states = map[[2]int]bool{}, map[int64][]byte{}
	r.outcomes, r.newest = map[string]conf.Outcome{}, map[string]conf.Outcome{}
	r.log = &simul.Log{
		Scheduler: r.scheduler, Rand: r.rand, Delay: func() time.Duration { return r.randomUpTo(20 * time.Millisecond) },
		Faults: simul.Faults{LostReply: 0.05, LateAppend: 0.05, DuplicateAppend: 0.05, MaxDelay: maxAppendDelay},
	}
	r.nodes = make([]*node, r.Instances)
	for i := range r.nodes {
		r.startNode(i)
	}
	r.scheduler.After(publishEvery, r.publish)
	r.scheduler.After(faultEvery, r.injectFault)
}

func (r *Run) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(r.rand.Int64N(int64(d)) + 1)
}

func (r *Run) fail(format string, args ...any) {
	if r.err == nil {
		r.err = &simul.ViolationError{Seed: r.Seed, Step: r.Stats.Steps, Detail: fmt.Sprintf(format, args...)}
	}
}

// startNode starts a new incarnation of an instance.
func (r *Run) startNode(index int) {
	r.incarnations++
	n := &node{run: r, index: index}
	r.nodes[index] = n
	n.start(fmt.Sprintf("i%d.%d", index, r.incarnations))
}

// reachable reports whether two instances can reach each other.
func (r *Run) reachable(a, b int) bool { return !r.partitions[[2]int{min(a, b), max(a, b)}] }

// checkOutcome asserts that a change has the same outcome at all instances and that versions
// increase, and records the outcome.
func (r *Run) checkOutcome(n *node, o conf.Outcome) {
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
		if previous := r.newest[o.Organisation]; o.Version <= previous.Version {
			r.fail("%s accepted version %d of %s after version %d", n.Incarnation, o.Version, o.Organisation, previous.Version)
		}
		r.newest[o.Organisation] = o
	case first.Code != o.Code || first.Version != o.Version:
		r.fail("%s decided change %s with code %d and version %d; first decided with code %d and version %d", n.Incarnation, o.ID, o.Code, o.Version, first.Code, first.Version)
	default:
		r.Stats.Repeated++
	}
}

// checkState asserts that instances at the same offset have the same state, and that the
// version of an instance never decreases.
func (r *Run) checkState(n *node) {
	if n.fold.Version < n.version {
		r.fail("version of %s decreased from %d to %d", n.Incarnation, n.version, n.fold.Version)
	}
	n.version = n.fold.Version
	state, err := n.fold.Save()
	if err != nil {
		r.fail("save the state of %s: %v", n.Incarnation, err)
	}
	first, known := r.states[n.Next()]
	if !known {
		r.states[n.Next()] = state
	} else if !bytes.Equal(first, state) {
		r.fail("state of %s differs from another instance at offset %d", n.Incarnation, n.Next())
	}
}

// heal ends all faults.
func (r *Run) heal() {
	r.healed = true
	r.log.Down, r.log.Faults = false, simul.Faults{}
	clear(r.partitions)
	for _, n := range r.nodes {
		n.LogUnreachable = false
		n.Resume()
	}
}

// checkFinalState asserts that all instances agree and that no accepted change is lost.
func (r *Run) checkFinalState() {
	for _, n := range r.nodes {
		if n.Next() != r.log.Head() || !n.Ready() {
			r.fail("%s is at offset %d of %d, ready %t", n.Incarnation, n.Next(), r.log.Head(), n.Ready())
		}
		for organisation, o := range r.newest {
			if got := n.fold.CurrentVersion(organisation); got != o.Version {
				r.fail("%s has version %d of %s; the last accepted one is %d", n.Incarnation, got, organisation, o.Version)
			}
		}
	}
}
