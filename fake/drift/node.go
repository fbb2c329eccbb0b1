package drift

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
	// readDelay is how long one read of the log takes; it lets instances lag.
	readDelay = 100 * time.Millisecond
	// gossipEvery is the mean time between two looks at the version of another instance.
	gossipEvery = time.Second
)

// node is one incarnation of an instance that keeps the configuration.
type node struct {
	simul.Node
	run     *Run
	place   int
	fold    conf.Fold
	version int64
}

func (n *node) start(inc string) {
	n.fold.Default()
	n.Node = simul.Node{
		Sched: n.run.sched, Log: n.run.log, Inc: inc, ReadDelay: readDelay,
		Fold: n.apply, Save: n.fold.Save, Load: n.fold.Load, Trimmed: n.reload,
		Reached: func() { n.run.reached(n) }, Fail: n.run.fail,
	}
	n.Start()
	n.Every(gossipEvery, func() { n.Later(n.run.upTo(gossipEvery), n.gossip) })
	n.Later(0, n.snapshots)
}

func (n *node) apply(offset int64, b tail.Batch) (bool, error) {
	outcomes, err := n.fold.Apply(offset, b.Inc, b.Items)
	for _, o := range outcomes {
		n.run.decided(n, o)
	}
	return false, err
}

// reload goes on from a snapshot whose tail is kept, or from the state of a peer.
func (n *node) reload(earliest int64) {
	if n.FromLog(earliest) {
		n.run.Stats.FromLog++
		return
	}
	for _, p := range n.run.nodes {
		if p.Ready() && n.meets(p) && n.Restore(p.State()) {
			n.run.Stats.FromPeer++
			return
		}
	}
	n.run.Stats.Stuck++
}

// meets reports whether another instance answers this one.
func (n *node) meets(p *node) bool {
	return p != n && !p.Gone() && !p.Paused() && n.run.reach(p.place, n.place)
}

// gossip takes over the state of another instance whose version is newer.
func (n *node) gossip() {
	p := n.run.nodes[n.run.rand.IntN(len(n.run.nodes))]
	if n.meets(p) && p.Ready() && p.fold.Version > n.fold.Version && n.Restore(p.State()) {
		n.run.Stats.Behind++
	}
}

// snapshots writes a snapshot when one is due and nobody else wrote it in time.
func (n *node) snapshots() {
	n.Later(time.Second, func() {
		if !n.snapshotDue() {
			n.snapshots()
			return
		}
		n.Later(n.run.upTo(snapshotTurn), func() {
			if n.snapshotDue() {
				n.run.Stats.Snapshots++
				n.Snapshot()
			}
			n.snapshots()
		})
	})
}

func (n *node) snapshotDue() bool {
	return n.Ready() && n.Next()-1-n.LastSnapshot() >= snapshotEvery
}

// publish lets an operator make a change, or repeat one, through any instance.
func (r *Run) publish() {
	if r.healed {
		return
	}
	r.sched.After(r.upTo(2*publishEvery), r.publish)
	n := r.nodes[r.rand.IntN(len(r.nodes))]
	if len(r.recent) > 0 && r.rand.IntN(3) == 0 {
		item := r.recent[r.rand.IntN(len(r.recent))]
		n.Do(func() { n.Add(item) })
		return
	}
	item := r.change(n)
	r.recent = append(r.recent, item)
	if len(r.recent) > recentChanges {
		r.recent = r.recent[1:]
	}
	n.Do(func() { n.Add(item) })
	if r.rand.IntN(3) == 0 {
		// Another operator races with a change of the same organisation.
		rival, p := r.change(n), r.nodes[r.rand.IntN(len(r.nodes))]
		p.Do(func() { p.Add(rival) })
	}
}

// recentChanges is the number of changes from which repeated ones are drawn.
const recentChanges = 30

// change makes a change from what an instance has in force.
func (r *Run) change(n *node) tail.Item {
	r.changes++
	organisation := fmt.Sprintf("org%d", r.changes%organisations)
	p := conf.Publish{
		ID: fmt.Sprintf("c%d", r.changes), Organisation: organisation, BasedOn: n.fold.Current(organisation), By: "operator",
		Body: fmt.Appendf(nil, "organisation = %q\npriority = %d\n", organisation, r.rand.IntN(12)),
	}
	if r.rand.IntN(10) == 0 {
		return p.RemoveItem()
	}
	return p.Item()
}

// fault lets something go wrong and the next fault follow.
func (r *Run) fault() {
	if r.healed {
		return
	}
	r.sched.After(r.upTo(2*faultEvery), r.fault)
	place := r.rand.IntN(len(r.nodes))
	n, last := r.nodes[place], r.upTo(longestFault)
	switch r.rand.IntN(6) {
	case 0:
		r.kill(place)
	case 1:
		r.Stats.Pauses++
		n.Pause(last)
	case 2:
		r.Stats.Cuts++
		n.Cut = true
		r.sched.After(last, func() { n.Cut = false })
	case 3:
		r.partPeers(place, last)
	case 4:
		r.Stats.Outages++
		r.log.Down = true
		r.sched.After(last/2, func() { r.log.Down = false })
	case 5:
		r.trim()
	}
}

// partPeers cuts the paths from a place to some others.
func (r *Run) partPeers(place int, last time.Duration) {
	for other := range r.nodes {
		if key := [2]int{min(place, other), max(place, other)}; r.rand.IntN(2) == 0 {
			r.cut[key] = true
			r.sched.After(last, func() { delete(r.cut, key) })
		}
	}
}

// kill replaces an instance, unless no other one could go on from where the log begins: what
// only the last such instance holds can't survive it.
func (r *Run) kill(place int) {
	earliest := r.earliest()
	for _, n := range r.nodes {
		if n.place != place && n.Ready() && n.Next() >= earliest {
			r.Stats.Kills++
			r.nodes[place].Kill()
			r.birth(place)
			return
		}
	}
}

// earliest returns the offset of the first record that is kept.
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

// trim drops records that some instance has folded, often also the last snapshot.
func (r *Run) trim() {
	r.Stats.Trims++
	unread := r.log.Head()
	for _, n := range r.nodes {
		if n.Ready() && !n.Gone() {
			unread = min(unread, r.log.Head()-n.Next())
		}
	}
	r.log.Trim(max(int(unread), 1+r.rand.IntN(retention)))
}
