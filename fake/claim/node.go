package claim

import (
	"slices"
	"time"

	"cranberryrail/core/once"
	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
)

// linger is how long a batch waits for further items.
const linger = 5 * time.Millisecond

// node is one incarnation of an instance that keeps a book.
type node struct {
	simul.Node
	run     *Run
	book    *once.Book
	askers  map[int64]*attempt
	decided []decision
}

// decision is a ruling that had to wait.
type decision struct {
	id     int64
	ruling once.Ruling
}

func (n *node) start(inc string) {
	r := n.run
	n.askers = map[int64]*attempt{}
	n.book = &once.Book{Inc: inc, Now: r.sched.Now, Send: n.Add, Decided: func(id int64, r once.Ruling) {
		n.decided = append(n.decided, decision{id, r})
	}}
	n.book.Default()
	n.Node = simul.Node{
		Sched: r.sched, Log: r.log, Inc: inc, Linger: linger,
		Fold: n.fold, Save: n.book.Fold.Save, Load: n.book.Restore, Trimmed: n.trimmed,
		Contact: n.book.SetLog, Ran: n.decide, Shuffle: r.shuffle, Most: n.most, Fail: r.fail,
	}
	n.Start()
	n.Every(simul.TickEvery, func() {
		n.book.SetReady(n.Ready())
		n.book.Tick()
	})
}

// pause stops the instance where it is, for a time.
func (n *node) pause(d time.Duration) {
	n.run.Stats.Pauses++
	n.Pause(d)
}

// shuffle lets what came in during a pause come in any order, at times.
func (r *Run) shuffle(inbox []func()) {
	if r.chance(0.5) {
		r.rand.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	}
}

// claim asks the book on behalf of an attempt.
func (n *node) claim(a *attempt) {
	id, r := n.book.Claim(a.call.key, a.digest)
	a.id = id
	if r != nil {
		n.run.watch.ruled(n, a, *r)
		n.ruled(a, *r)
		return
	}
	n.askers[id] = a
	if n.run.chance(0.01) {
		n.Later(n.run.spread(4*time.Second), a.askTimeout)
	}
}

// decide passes rulings on to their askers, which learn of them later.
func (n *node) decide() {
	slices.SortFunc(n.decided, func(a, b decision) int { return int(a.id - b.id) })
	for _, d := range n.decided {
		a := n.askers[d.id]
		delete(n.askers, d.id)
		if a == nil {
			n.run.fail("%s ruled twice on caller %d", n.Inc, d.id)
			return
		}
		n.run.watch.ruled(n, a, d.ruling)
		if n.run.chance(0.005) {
			n.Later(0, a.askTimeout)
		}
		n.Later(n.run.upTo(2*time.Millisecond), func() { n.ruled(a, d.ruling) })
		if d.ruling.Won && n.run.chance(0.005) {
			n.pause(n.run.spread(time.Minute))
		}
	}
	n.decided = nil
}

// ruled goes on with an attempt as io/front does.
func (n *node) ruled(a *attempt, r once.Ruling) {
	a.heard = true
	switch {
	case a.timedOut:
	case r.Refused != nil:
		a.tell(statement{code: r.Refused.Code, run: r.Refused.Run})
	case r.Replay != nil:
		a.tell(statement{answer: r.Replay, replayed: true})
	case a.callerGone && n.run.rand.IntN(5) > 0:
		n.book.GiveUp(a.call.key)
	default:
		n.run.Stats.Won++
		a.dispatch(maxTargets)
	}
}

// most draws the size of a batch; at times the records that come next are lost to the reader.
func (n *node) most() int {
	if n.run.chance(0.01) {
		n.Later(linger, func() { n.run.gap(n) })
	}
	return 1 + n.run.rand.IntN(tail.MaxBatchItems)
}

func (n *node) fold(offset int64, b tail.Batch) (bool, error) {
	events, err := n.book.Apply(b)
	if err == nil {
		n.run.watch.folded(n, offset, events)
	}
	return false, err
}

// trimmed goes on from the newest snapshot.
func (n *node) trimmed(int64) {
	n.run.Stats.Restores++
	n.book.SetReady(false)
	n.Restore(n.run.snap)
}
