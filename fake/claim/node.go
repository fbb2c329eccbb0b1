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

// node is one incarnation of an instance with its once book.
type node struct {
	simul.Node
	run  *Run
	book *once.Book
	// waiting holds the attempts that wait for a decision, by the id of their claim.
	waiting   map[int64]*attempt
	decisions []decision
}

// decision is a decision that the book made after Claim had returned.
type decision struct {
	id       int64
	decision once.Decision
}

func (n *node) start(inc string) {
	r := n.run
	n.waiting = map[int64]*attempt{}
	n.book = &once.Book{Incarnation: inc, Now: r.scheduler.Now, Send: n.Add, OnDecision: func(id int64, r once.Decision) {
		n.decisions = append(n.decisions, decision{id, r})
	}}
	n.book.Default()
	n.Node = simul.Node{
		Scheduler: r.scheduler, Log: r.log, Incarnation: inc, Linger: linger,
		Fold: n.apply, Save: n.book.Fold.Save, Load: n.book.Restore, OnTrimmed: n.restoreSnapshot,
		OnContact: n.book.SetLogReachable, OnRun: n.deliverDecisions, Shuffle: r.shuffleInbox, BatchLimit: n.batchLimit, Fail: r.fail,
	}
	n.Start()
	n.Every(simul.TickEvery, func() {
		n.book.SetReady(n.Ready())
		n.book.Tick()
	})
}

// pause suspends the instance for a duration.
func (n *node) pause(d time.Duration) {
	n.run.Stats.Pauses++
	n.Pause(d)
}

// shuffleInbox shuffles the functions that were queued during a pause, in half of the cases.
func (r *Run) shuffleInbox(inbox []func()) {
	if r.chance(0.5) {
		r.rand.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	}
}

// claim requests a decision of the book for an attempt.
func (n *node) claim(a *attempt) {
	id, r := n.book.Claim(a.call.key, a.digest)
	a.id = id
	if r != nil {
		n.run.checker.checkDecision(n, a, *r)
		n.handleDecision(a, *r)
		return
	}
	n.waiting[id] = a
	if n.run.chance(0.01) {
		n.Later(n.run.randomMagnitude(4*time.Second), a.expire)
	}
}

// deliverDecisions delivers decisions to the waiting attempts, which receive them up to
// 2 ms later.
func (n *node) deliverDecisions() {
	slices.SortFunc(n.decisions, func(a, b decision) int { return int(a.id - b.id) })
	for _, d := range n.decisions {
		a := n.waiting[d.id]
		delete(n.waiting, d.id)
		if a == nil {
			n.run.fail("%s decided twice on claim %d", n.Incarnation, d.id)
			return
		}
		n.run.checker.checkDecision(n, a, d.decision)
		if n.run.chance(0.005) {
			n.Later(0, a.expire)
		}
		n.Later(n.run.randomUpTo(2*time.Millisecond), func() { n.handleDecision(a, d.decision) })
		if d.decision.Won && n.run.chance(0.005) {
			n.pause(n.run.randomMagnitude(time.Minute))
		}
	}
	n.decisions = nil
}

// handleDecision continues an attempt as io/front does.
func (n *node) handleDecision(a *attempt, r once.Decision) {
	a.decided = true
	switch {
	case a.timedOut:
	case r.Refused != nil:
		a.respond(response{code: r.Refused.Code, run: r.Refused.Run})
	case r.Replay != nil:
		a.respond(response{answer: r.Replay, replayed: true})
	case a.callerDone && n.run.rand.IntN(5) > 0:
		n.book.Void(a.call.key)
	default:
		n.run.Stats.Won++
		a.dispatch(maxTargets)
	}
}

// batchLimit returns a random batch size. In 1 % of the cases, it also pauses the instance
// until the records that it reads next are trimmed.
func (n *node) batchLimit() int {
	if n.run.chance(0.01) {
		n.Later(linger, func() { n.run.pauseUntilTrimmed(n) })
	}
	return 1 + n.run.rand.IntN(tail.MaxBatchItems)
}

func (n *node) apply(offset int64, b tail.Batch) (bool, error) {
	events, err := n.book.Apply(b)
	if err == nil {
		n.run.checker.checkApplied(n, offset, events)
	}
	return false, err
}

// restoreSnapshot restores the newest snapshot.
func (n *node) restoreSnapshot(int64) {
	n.run.Stats.Restores++
	n.book.SetReady(false)
	n.Restore(n.run.snapshot)
}
