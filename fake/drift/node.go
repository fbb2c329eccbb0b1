package drift

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/conf"
	"cranberryrail/core/tail"
	"cranberryrail/fake/storm"
)

// Times of an instance.
const (
	// pollEvery is the time between two reads of the log.
	pollEvery = 100 * time.Millisecond
	// gossipEvery is the time between two looks at the version of another instance.
	gossipEvery = time.Second
)

// node is one incarnation of an instance. It reads and writes the stream the way
// tail.Feed does, with the real fold and gate.
type node struct {
	run   *Run
	place int
	inc   string

	fold    conf.Fold
	gate    *tail.Gate
	next    int64
	version int64
	ready   bool
	gone    bool
	// cutOff tells that the log is out of reach.
	cutOff bool
	paused bool
	inbox  []func()

	queue    []tail.Item
	sending  bool
	seq      uint64
	lastSnap int64
}

func (n *node) start() {
	n.gate, n.lastSnap = tail.NewGate(), -1
	n.fold.Default()
	n.later(0, n.poll)
	n.later(0, n.gossip)
	n.later(0, n.snapshots)
}

// do runs a function on the instance: never when it is gone, and when it is woken while
// it is paused.
func (n *node) do(run func()) {
	switch {
	case n.gone:
	case n.paused:
		n.inbox = append(n.inbox, run)
	default:
		run()
	}
}

func (n *node) later(d time.Duration, run func()) { n.run.sched.After(d, func() { n.do(run) }) }

func (n *node) wake() {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, run := range inbox {
		n.do(run)
	}
}

// add queues an item, as tail.Writer does.
func (n *node) add(item tail.Item) {
	n.queue = append(n.queue, item)
	n.pump()
}

// pump sends the next batch when none is outstanding.
func (n *node) pump() {
	if n.sending || len(n.queue) == 0 {
		return
	}
	n.sending = true
	n.seq++
	b := tail.Batch{Format: tail.BatchFormat, Inc: n.inc, Seq: n.seq, Items: n.queue}
	n.queue = nil
	n.try(b, tail.RetryFirst)
}

// try appends a batch until it was read back.
func (n *node) try(b tail.Batch, retry time.Duration) {
	if n.gate.Incs[n.inc].Seq >= b.Seq {
		n.sending = false
		n.pump()
		return
	}
	if b.Seq == 1 {
		b.Base = n.next
	}
	n.append(b, func(err error) {
		wait := tail.ReadBackWait
		if err != nil {
			wait, retry = retry, min(2*retry, tail.RetryLongest)
		}
		n.later(wait, func() { n.try(b, retry) })
	})
}

// append writes one record; done is told when there is an answer or none is awaited.
func (n *node) append(b tail.Batch, done func(err error)) {
	data, err := tail.Encode(b)
	if err != nil {
		n.run.fail("encode: %v", err)
	}
	if n.cutOff {
		n.later(storm.AppendTimeout, func() { done(storm.ErrNoAnswer) })
		return
	}
	n.run.log.Append(data, func(err error) { n.do(func() { done(err) }) })
}

// poll reads the stream, as tail.Follower does.
func (n *node) poll() {
	n.later(pollEvery, n.poll)
	if n.cutOff {
		return
	}
	page, err := n.run.log.Read(n.next)
	var trimmed *tail.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		n.ready = false
		n.reload(trimmed.Earliest)
	case err == nil:
		for _, e := range page.Entries {
			n.deliver(e)
		}
		n.ready = n.ready || n.next >= page.Head
	}
}

func (n *node) deliver(e tail.Entry) {
	b, err := tail.DecodeBatch(e.Data)
	if err != nil {
		n.run.fail("decode record %d: %v", e.Offset, err)
		return
	}
	n.next = e.Offset + 1
	switch {
	case b.Seq == 0:
		if st, ok := snapshotOf(b); ok {
			n.lastSnap = max(n.lastSnap, st.At)
		}
	case n.gate.Admit(e.Offset, b):
		outcomes, err := n.fold.Apply(e.Offset, b.Inc, b.Items)
		if err != nil {
			n.run.fail("fold record %d: %v", e.Offset, err)
		}
		for _, o := range outcomes {
			n.run.decided(n, o)
		}
	}
	n.run.reached(n)
}

// state returns the folded state.
func (n *node) state() tail.State {
	fold, err := n.fold.Save()
	if err != nil {
		n.run.fail("save: %v", err)
	}
	incs := map[string]tail.Seen{}
	for inc, seen := range n.gate.Incs {
		incs[inc] = seen
	}
	return tail.State{At: n.next - 1, Incs: incs, Fold: fold}
}

// restore takes a state over when it is not behind the own one.
func (n *node) restore(st tail.State) bool {
	if st.At < n.next-1 || n.fold.Load(st.Fold) != nil {
		return false
	}
	n.gate = &tail.Gate{Incs: st.Incs}
	n.next = st.At + 1
	n.lastSnap = max(n.lastSnap, st.At)
	n.run.reached(n)
	return true
}

// reload goes on from a snapshot whose tail is kept, or from the state of a peer.
func (n *node) reload(earliest int64) {
	for from := earliest; from < n.run.log.Head(); {
		page, err := n.run.log.Read(from)
		if err != nil {
			break
		}
		for _, e := range page.Entries {
			from = e.Offset + 1
			b, err := tail.DecodeBatch(e.Data)
			if err != nil || b.Seq != 0 {
				continue
			}
			if st, ok := snapshotOf(b); ok && st.At >= earliest-1 && n.restore(st) {
				n.run.Stats.FromLog++
				return
			}
		}
	}
	for _, p := range n.run.nodes {
		if p.ready && n.meets(p) && n.restore(p.state()) {
			n.run.Stats.FromPeer++
			return
		}
	}
	n.run.Stats.Stuck++
}

// meets reports whether another instance answers this one.
func (n *node) meets(p *node) bool {
	return p != n && !p.gone && !p.paused && n.run.reach(p.place, n.place)
}

// gossip takes over the state of another instance whose version is newer.
func (n *node) gossip() {
	n.later(gossipEvery, n.gossip)
	p := n.run.nodes[n.run.rand.IntN(len(n.run.nodes))]
	if n.meets(p) && p.ready && p.fold.Version > n.fold.Version && n.restore(p.state()) {
		n.run.Stats.Behind++
	}
}

// snapshots writes a snapshot when one is due and nobody else wrote it in time.
func (n *node) snapshots() {
	n.later(time.Second, func() {
		if !n.snapshotDue() {
			n.snapshots()
			return
		}
		n.later(n.run.upTo(snapshotTurn), func() {
			if n.snapshotDue() {
				n.snapshot()
			}
			n.snapshots()
		})
	})
}

func (n *node) snapshotDue() bool { return n.ready && n.next-1-n.lastSnap >= snapshotEvery }

func (n *node) snapshot() {
	whole, err := tail.Encode(n.state())
	if err != nil {
		n.run.fail("encode: %v", err)
	}
	n.run.Stats.Snapshots++
	part := tail.SnapshotPart{At: n.next - 1, Parts: 1, Sum: xxhash.Sum64(whole), Data: whole}
	item := tail.NewItem(tail.KindSnapshot, part)
	n.append(tail.Batch{Format: tail.BatchFormat, Inc: n.inc, Items: []tail.Item{item}}, func(error) {})
}

// snapshotOf returns the state that a batch carries.
func snapshotOf(b tail.Batch) (tail.State, bool) {
	var part tail.SnapshotPart
	var st tail.State
	if len(b.Items) != 1 || tail.Decode(b.Items[0].Body, &part) != nil || tail.Decode(part.Data, &st) != nil {
		return tail.State{}, false
	}
	return st, true
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
		n.do(func() { n.add(item) })
		return
	}
	item := r.change(n)
	r.recent = append(r.recent, item)
	if len(r.recent) > recentChanges {
		r.recent = r.recent[1:]
	}
	n.do(func() { n.add(item) })
	if r.rand.IntN(3) == 0 {
		// Another operator races with a change of the same organisation.
		rival, p := r.change(n), r.nodes[r.rand.IntN(len(r.nodes))]
		p.do(func() { p.add(rival) })
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
		n.paused = true
		r.sched.After(last, n.wake)
	case 2:
		r.Stats.Cuts++
		n.cutOff = true
		r.sched.After(last, func() { n.cutOff = false })
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
		if n.place != place && n.ready && n.next >= earliest {
			r.Stats.Kills++
			r.nodes[place].gone = true
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
		if n.ready && !n.gone {
			unread = min(unread, r.log.Head()-n.next)
		}
	}
	r.log.Trim(max(int(unread), 1+r.rand.IntN(retention)))
}
