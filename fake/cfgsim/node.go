package cfgsim

import (
	"errors"
	"fmt"
	"time"

	"cranberryrail/core/conf"
	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
)

// Times of an instance.
const (
	// readDelay is the duration of one read of the log; it makes instances lag behind.
	readDelay = 100 * time.Millisecond
	// gossipEvery is the mean time between two comparisons of the version with that of another
	// instance.
	gossipEvery = time.Second
)

// node is one incarnation of an instance with its configuration.
type node struct {
	simul.Node
	run     *Run
	index   int
	fold    conf.Fold
	version int64
}

func (n *node) start(inc string) {
	n.fold.Default()
	n.Node = simul.Node{
		Scheduler: n.run.scheduler, Log: n.run.log, Incarnation: inc, ReadDelay: readDelay,
		Fold: n.apply, Save: n.fold.Save, Load: n.fold.Load, OnTrimmed: n.restoreState,
		OnProgress: func() { n.run.checkState(n) }, Fail: n.run.fail,
	}
	n.Start()
	n.Every(gossipEvery, func() { n.Later(n.run.randomUpTo(gossipEvery), n.gossip) })
	n.Later(0, n.scheduleSnapshot)
}

// apply applies a batch and checks that each outcome has the code and version of the first one that any node recorded
// for the same change. A difference fails the run and is not returned; the error is that of the fold. The result is
// always false, because the stream has no final items of incarnations.
func (n *node) apply(offset int64, b tail.Batch) (bool, error) {
	outcomes, err := n.fold.Apply(offset, b.Incarnation, b.Items)
	for _, o := range outcomes {
		n.run.checkOutcome(n, o)
	}
	return false, err
}

// restoreState restores a snapshot from the log if all records after it are retained, else
// the state of a peer.
func (n *node) restoreState(earliest int64) {
	if n.RestoreFromLog(earliest) {
		n.run.Stats.FromLog++
		return
	}
	for _, p := range n.run.nodes {
		if p.Ready() && n.peerReachable(p) && n.Restore(p.State()) {
			n.run.Stats.FromPeer++
			return
		}
	}
	n.run.Stats.Stuck++
}

// peerReachable reports whether another instance responds to this one.
func (n *node) peerReachable(p *node) bool {
	return p != n && !p.Ended() && !p.Paused() && n.run.reachable(p.index, n.index)
}

// gossip restores the state of a random peer if its version is newer.
func (n *node) gossip() {
	p := n.run.nodes[n.run.rand.IntN(len(n.run.nodes))]
	if n.peerReachable(p) && p.Ready() && p.fold.Version > n.fold.Version && n.Restore(p.State()) {
		n.run.Stats.Behind++
	}
}

// scheduleSnapshot checks every second whether a snapshot is due, and writes it after a random
// delay unless another instance has written it by then.
func (n *node) scheduleSnapshot() {
	n.Later(time.Second, func() {
		if !n.snapshotDue() {
			n.scheduleSnapshot()
			return
		}
		n.Later(n.run.randomUpTo(maxSnapshotDelay), func() {
			if n.snapshotDue() {
				n.run.Stats.Snapshots++
				n.AppendSnapshot()
			}
			n.scheduleSnapshot()
		})
	})
}

func (n *node) snapshotDue() bool {
	return n.Ready() && n.Next()-1-n.LastSnapshot() >= snapshotEvery
}

// publish publishes a new change, or repeats a recent one, through a random instance, and
// schedules the next change.
func (r *Run) publish() {
	if r.healed {
		return
	}
	r.scheduler.After(r.randomUpTo(2*publishEvery), r.publish)
	n := r.nodes[r.rand.IntN(len(r.nodes))]
	if len(r.recent) > 0 && r.rand.IntN(3) == 0 {
		item := r.recent[r.rand.IntN(len(r.recent))]
		n.Do(func() { n.Add(item) })
		return
	}
	item := r.newChange(n)
	r.recent = append(r.recent, item)
	if len(r.recent) > maxRecentChanges {
		r.recent = r.recent[1:]
	}
	n.Do(func() { n.Add(item) })
	if r.rand.IntN(3) == 0 {
		// Another operator publishes a change concurrently.
		competing, p := r.newChange(n), r.nodes[r.rand.IntN(len(r.nodes))]
		p.Do(func() { p.Add(competing) })
	}
}

// maxRecentChanges is the number of changes from which repeated ones are drawn.
const maxRecentChanges = 30

// newChange returns a change based on the version that an instance has in force.
func (r *Run) newChange(n *node) tail.Item {
	r.changes++
	organisation := fmt.Sprintf("org%d", r.changes%organisations)
	p := conf.PublishRequest{
		ID: fmt.Sprintf("c%d", r.changes), Organisation: organisation, BasedOn: n.fold.CurrentVersion(organisation), By: "operator",
		Body: fmt.Appendf(nil, "organisation = %q\npriority = %d\n", organisation, r.rand.IntN(12)),
	}
	if r.rand.IntN(10) == 0 {
		return p.RemoveItem()
	}
	return p.Item()
}

// injectFault injects a random fault and schedules the next one.
func (r *Run) injectFault() {
	if r.healed {
		return
	}
	r.scheduler.After(r.randomUpTo(2*faultEvery), r.injectFault)
	index := r.rand.IntN(len(r.nodes))
	n, duration := r.nodes[index], r.randomUpTo(maxFaultDuration)
	switch r.rand.IntN(6) {
	case 0:
		r.kill(index)
	case 1:
		r.Stats.Pauses++
		n.Pause(duration)
	case 2:
		r.Stats.Cuts++
		n.LogUnreachable = true
		r.scheduler.After(duration, func() { n.LogUnreachable = false })
	case 3:
		r.partition(index, duration)
	case 4:
		r.Stats.Outages++
		r.log.Down = true
		r.scheduler.After(duration/2, func() { r.log.Down = false })
	case 5:
		r.trim()
	}
}

// partition makes a random set of instances unreachable from one.
func (r *Run) partition(index int, duration time.Duration) {
	for other := range r.nodes {
		if pair := [2]int{min(index, other), max(index, other)}; r.rand.IntN(2) == 0 {
			r.partitions[pair] = true
			r.scheduler.After(duration, func() { delete(r.partitions, pair) })
		}
	}
}

// kill replaces an instance by a new incarnation, unless no other ready instance could
// continue from the first retained record: state that only one instance holds can't survive
// its end.
func (r *Run) kill(index int) {
	earliest := r.earliest()
	for _, n := range r.nodes {
		if n.index != index && n.Ready() && n.Next() >= earliest {
			r.Stats.Kills++
			r.nodes[index].Kill()
			r.startNode(index)
			return
		}
	}
}

// earliest returns the offset of the first record that is retained.
func (r *Run) earliest() int64 {
	down := r.log.Down
	r.log.Down = false
	_, err := r.log.Read(0)
	r.log.Down = down
	var trimmed *tail.TrimmedError
	if errors.As(err, &trimmed) {
		return trimmed.Earliest
	}
	return 0
}

// trim drops records that an instance has applied, often including the last snapshot.
func (r *Run) trim() {
	r.Stats.Trims++
	minLag := r.log.Head()
	for _, n := range r.nodes {
		if n.Ready() && !n.Ended() {
			minLag = min(minLag, r.log.Head()-n.Next())
		}
	}
	r.log.Trim(max(int(minLag), 1+r.rand.IntN(retention)))
}
