package claim

import (
	"errors"
	"slices"
	"time"

	"cranberryrail/core/once"
	"cranberryrail/core/tail"
	"cranberryrail/fake/storm"
)

// Times of an instance.
const (
	tickEvery = 100 * time.Millisecond
	readDelay = 2 * time.Millisecond
	linger    = 5 * time.Millisecond
)

// node is one incarnation of an instance: a book, and what reads and writes the
// stream for it the way tail.Feed does.
type node struct {
	run  *Run
	inc  string
	book *once.Book

	gate    *tail.Gate
	next    int64
	ready   bool
	gone    bool
	cut     bool
	paused  bool
	wakeAt  time.Time
	inbox   []func()
	askers  map[int64]*attempt
	decided []decision
	queue   []tail.Item
	sending bool
	seq     uint64
	seen    uint64
}

// decision is a ruling that had to wait.
type decision struct {
	id     int64
	ruling once.Ruling
}

func (n *node) start() {
	n.gate = tail.NewGate()
	n.askers = map[int64]*attempt{}
	n.book = &once.Book{Inc: n.inc, Now: n.run.sched.Now, Send: n.add, Decided: func(id int64, r once.Ruling) {
		n.decided = append(n.decided, decision{id, r})
	}}
	n.book.Default()
	n.poll()
	n.tick()
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
		n.decide()
	}
}

func (n *node) later(d time.Duration, run func()) { n.run.sched.After(d, func() { n.do(run) }) }

// pause stops the instance where it is, for a time.
func (n *node) pause(d time.Duration) {
	n.run.Stats.Pauses++
	n.paused = true
	until := n.run.sched.Now().Add(d)
	if until.After(n.wakeAt) {
		n.wakeAt = until
	}
	n.run.sched.After(d, func() {
		if !n.run.sched.Now().Before(n.wakeAt) {
			n.wake()
		}
	})
}

// wake lets a paused instance go on with everything that came in between, in any order.
func (n *node) wake() {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	if n.run.chance(0.5) {
		n.run.rand.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	}
	for _, run := range inbox {
		n.do(run)
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
		n.later(n.run.spread(4*time.Second), a.askTimeout)
	}
}

// decide passes rulings on to their askers, which learn of them later.
func (n *node) decide() {
	slices.SortFunc(n.decided, func(a, b decision) int { return int(a.id - b.id) })
	for _, d := range n.decided {
		a := n.askers[d.id]
		delete(n.askers, d.id)
		if a == nil {
			n.run.fail("%s ruled twice on caller %d", n.inc, d.id)
			return
		}
		n.run.watch.ruled(n, a, d.ruling)
		if n.run.chance(0.005) {
			n.later(0, a.askTimeout)
		}
		n.later(n.run.upTo(2*time.Millisecond), func() { n.ruled(a, d.ruling) })
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

func (n *node) tick() {
	n.book.SetReady(n.ready)
	n.book.Tick()
	n.later(tickEvery, n.tick)
}

// add queues items, as tail.Writer does.
func (n *node) add(items ...tail.Item) {
	n.queue = append(n.queue, items...)
	n.pump()
}

// pump cuts the next batch when none is outstanding.
func (n *node) pump() {
	if n.sending || len(n.queue) == 0 {
		return
	}
	n.sending = true
	if n.run.chance(0.01) {
		n.later(2*linger, func() { n.run.gap(n) })
	}
	n.later(linger, func() {
		count := min(len(n.queue), 1+n.run.rand.IntN(tail.MaxBatchItems))
		b := tail.Batch{Format: tail.BatchFormat, Inc: n.inc, Seq: n.seq + 1, Items: n.queue[:count:count]}
		n.queue = n.queue[count:]
		n.seq++
		if n.seq == 1 {
			b.Base = n.next
		}
		data, err := tail.Encode(b)
		if err != nil {
			panic(err)
		}
		n.try(n.seq, data, tail.RetryFirst)
	})
}

// try appends a batch until it was read back.
func (n *node) try(seq uint64, data []byte, retry time.Duration) {
	if n.seen >= seq {
		return
	}
	answered := func(err error) {
		n.do(func() {
			n.book.SetLog(err == nil)
			wait := tail.ReadBackWait
			if err != nil {
				wait, retry = retry, min(2*retry, tail.RetryLongest)
			}
			n.later(wait, func() { n.try(seq, data, retry) })
		})
	}
	if n.cut {
		n.run.sched.After(storm.AppendTimeout, func() { answered(storm.ErrNoAnswer) })
		return
	}
	n.run.log.Append(data, answered)
}

// noteSeen goes on with the next batch once the outstanding one was read back.
func (n *node) noteSeen() {
	n.seen = n.gate.Incs[n.inc].Seq
	if n.sending && n.seq > 0 && n.seen >= n.seq {
		n.sending = false
		n.pump()
	}
}

// poll reads the stream, as tail.Follower does.
func (n *node) poll() {
	n.later(readDelay, func() {
		page, err := n.run.log.Read(n.next)
		if n.cut {
			err = storm.ErrNoAnswer
		}
		var trimmed *tail.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			n.restore()
			n.later(tail.RetryFirst, n.poll)
		case err != nil:
			n.book.SetLog(false)
			n.later(tail.RetryFirst, n.poll)
		case len(page.Entries) == 0:
			n.book.SetLog(true)
			n.ready = true
			n.wait()
		default:
			n.book.SetLog(true)
			n.fold(page.Entries)
			n.poll()
		}
	})
}

// wait polls again at the next record or after a time.
func (n *node) wait() {
	polled := false
	again := func() {
		n.do(func() {
			if !polled {
				polled = true
				n.poll()
			}
		})
	}
	n.run.log.Wait(again)
	n.run.sched.After(tail.PollWait, again)
}

func (n *node) fold(entries []tail.Entry) {
	for _, e := range entries {
		b, err := tail.DecodeBatch(e.Data)
		if err != nil {
			panic(err)
		}
		n.next = e.Offset + 1
		if n.gate.Admit(e.Offset, b) {
			events, err := n.book.Apply(b)
			if err != nil {
				panic(err)
			}
			n.run.watch.folded(n, e.Offset, events)
		}
		if b.Inc == n.inc {
			n.noteSeen()
		}
	}
}

// state returns the folded state.
func (n *node) state() tail.State {
	fold, err := n.book.Fold.Save()
	if err != nil {
		panic(err)
	}
	incs := map[string]tail.Seen{}
	for inc, seen := range n.gate.Incs {
		incs[inc] = seen
	}
	return tail.State{At: n.next - 1, Incs: incs, Fold: fold}
}

// restore goes on from the newest snapshot.
func (n *node) restore() {
	n.run.Stats.Restores++
	n.ready = false
	n.book.SetReady(false)
	st := n.run.snap
	if err := n.book.Restore(st.Fold); err != nil {
		panic(err)
	}
	n.gate = tail.NewGate()
	for inc, seen := range st.Incs {
		n.gate.Incs[inc] = seen
	}
	n.next = st.At + 1
	n.noteSeen()
}
