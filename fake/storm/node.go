package storm

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
)

// Times of an instance.
const (
	// TickEvery is how often an instance looks at what depends on time.
	TickEvery = 100 * time.Millisecond
	// ReadDelay is how long one read of the log takes.
	ReadDelay = 2 * time.Millisecond
	// PeerDelay is how long one call to a peer takes.
	PeerDelay = time.Millisecond
	// PeerTimeout is how long a call to a peer that doesn't answer takes.
	PeerTimeout = 100 * time.Millisecond
)

// Node is one incarnation of an instance: a book, and what reads and writes the
// stream for it the way tail.Feed does. Exported fields are set before Start.
type Node struct {
	// Sched is the clock.
	Sched *Sched
	// Log is the stream.
	Log *Log
	// Book decides; its Inc, Now, Send, Borrow and Decided are set by Start.
	Book *ledger.Book
	// Inc names the incarnation.
	Inc string
	// Linger is how long a batch waits for further items.
	Linger time.Duration
	// Ask asks a peer for a loan; done is told of the tokens or 0.
	Ask func(inc string, l ledger.Loan, done func(tokens int64))
	// Folded is told of each batch that was folded; optional.
	Folded func(n *Node, offset int64, results []ledger.Result)
	// Fetch returns the state of a peer that is in reach; optional.
	Fetch func() (tail.State, bool)
	// Cut tells that the log is out of reach.
	Cut bool
	// Appends counts the appends that were tried.
	Appends int64

	gate    *tail.Gate
	next    int64
	ready   bool
	gone    bool
	paused  bool
	inbox   []func()
	askers  map[int64]func(ledger.Answer)
	queue   []tail.Item
	sending bool
	cut     bool
	seq     uint64
	seen    uint64

	// settled and stopping are notes of a Run.
	settled  []settlement
	stopping bool
}

// Start begins to follow the stream.
func (n *Node) Start() {
	n.gate = tail.NewGate()
	n.askers = map[int64]func(ledger.Answer){}
	n.Book.Inc, n.Book.Now, n.Book.Send, n.Book.Decided = n.Inc, n.Sched.Now, n.add, n.decided
	if n.Ask != nil {
		n.Book.Borrow = func(l ledger.Loan) { n.borrow(l, l.Holders[:min(len(l.Holders), lenders)], nil) }
	}
	n.Book.Default()
	n.poll()
	n.tick()
}

// Do runs a function on the instance: never when it is gone, and when it is woken while
// it is paused.
func (n *Node) Do(run func()) {
	switch {
	case n.gone:
	case n.paused:
		n.inbox = append(n.inbox, run)
	default:
		run()
	}
}

func (n *Node) later(d time.Duration, run func()) { n.Sched.After(d, func() { n.Do(run) }) }

// Pause stops the instance where it is.
func (n *Node) Pause() { n.paused = true }

// Wake lets a paused instance go on with everything that came in between.
func (n *Node) Wake() {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, run := range inbox {
		n.Do(run)
	}
}

// Kill ends the instance at once.
func (n *Node) Kill() { n.gone = true }

// Gone reports whether the instance ended.
func (n *Node) Gone() bool { return n.gone }

// Next returns the offset of the next record to fold.
func (n *Node) Next() int64 { return n.next }

// Reserve asks the book; done is told of the answer, now or later.
func (n *Node) Reserve(need ledger.Need, done func(a ledger.Answer)) {
	a, decided := n.Book.Reserve(need)
	if decided {
		done(a)
		return
	}
	n.askers[a.ID] = done
}

func (n *Node) decided(a ledger.Answer) {
	done := n.askers[a.ID]
	delete(n.askers, a.ID)
	done(a)
}

// Stop returns all allowances and ends the instance once that was read back.
func (n *Node) Stop(done func()) { n.stop(false, done) }

func (n *Node) stop(said bool, done func()) {
	n.Book.Stop()
	idle := len(n.queue) == 0 && !n.sending
	if said && idle {
		n.gone = true
		done()
		return
	}
	if !said && idle && n.Book.InFlight() == 0 {
		n.Book.Bye()
		said = true
	}
	n.later(ledger.StopPoll, func() { n.stop(said, done) })
}

func (n *Node) tick() {
	n.Book.SetReady(n.ready)
	n.Book.Tick()
	n.later(TickEvery, n.tick)
}

// lenders is the most holders that are asked for one loan.
const lenders = 8

// borrow asks one holder after another until the loan is complete.
func (n *Node) borrow(l ledger.Loan, holders []string, parts []ledger.Part) {
	var got int64
	for _, p := range parts {
		got += p.Tokens
	}
	if len(holders) == 0 || got >= l.Tokens {
		n.later(0, func() { n.Book.Gathered(l.Budget, parts) })
		return
	}
	rest := l
	rest.Tokens, rest.Least = l.Tokens-got, max(l.Least-got, 1)
	n.Ask(holders[0], rest, func(tokens int64) {
		n.Do(func() {
			if tokens > 0 {
				parts = append(parts, ledger.Part{Holder: holders[0], Tokens: tokens})
			}
			n.borrow(l, holders[1:], parts)
		})
	})
}

// add queues items, as tail.Writer does.
func (n *Node) add(items ...tail.Item) {
	n.queue = append(n.queue, items...)
	n.pump()
}

// pump cuts the next batch when none is outstanding.
func (n *Node) pump() {
	if n.sending || len(n.queue) == 0 {
		return
	}
	n.sending = true
	n.later(n.Linger, func() {
		count := min(len(n.queue), tail.MaxBatchItems)
		b := tail.Batch{Format: tail.BatchFormat, Inc: n.Inc, Seq: n.seq + 1, Items: n.queue[:count:count]}
		n.queue = n.queue[count:]
		n.seq++
		n.cut = true
		n.try(b, tail.RetryFirst)
	})
}

// try appends a batch until it was read back.
func (n *Node) try(b tail.Batch, retry time.Duration) {
	if n.seen >= b.Seq {
		return
	}
	if b.Seq == 1 {
		b.Base = n.next
	}
	data, err := tail.Encode(b)
	if err != nil {
		panic(err)
	}
	n.Appends++
	answered := func(err error) {
		n.Do(func() {
			n.Book.SetLog(err == nil)
			wait := tail.ReadBackWait
			if err != nil {
				wait, retry = retry, min(2*retry, tail.RetryLongest)
			}
			n.later(wait, func() { n.try(b, retry) })
		})
	}
	if n.Cut {
		n.Sched.After(AppendTimeout, func() { answered(ErrNoAnswer) })
		return
	}
	n.Log.Append(data, answered)
}

// noteSeen goes on with the next batch once the outstanding one was read back.
func (n *Node) noteSeen() {
	n.seen = n.gate.Incs[n.Inc].Seq
	if n.cut && n.seen >= n.seq {
		n.sending, n.cut = false, false
		n.pump()
	}
}

// poll reads the stream, as tail.Follower does.
func (n *Node) poll() {
	n.later(ReadDelay, func() {
		page, err := n.Log.Read(n.next)
		if n.Cut {
			err = ErrNoAnswer
		}
		var trimmed *tail.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			n.ready = false
			n.Book.SetReady(false)
			n.reload(trimmed.Earliest)
			n.later(tail.RetryFirst, n.poll)
		case err != nil:
			n.Book.SetLog(false)
			n.later(tail.RetryFirst, n.poll)
		case len(page.Entries) == 0:
			n.Book.SetLog(true)
			n.ready = true
			n.wait()
		default:
			n.Book.SetLog(true)
			n.fold(page.Entries)
			n.poll()
		}
	})
}

// wait polls again at the next record or after a time.
func (n *Node) wait() {
	polled := false
	again := func() {
		n.Do(func() {
			if !polled {
				polled = true
				n.poll()
			}
		})
	}
	n.Log.Wait(again)
	n.Sched.After(tail.PollWait, again)
}

func (n *Node) fold(entries []tail.Entry) {
	for _, e := range entries {
		b, err := tail.DecodeBatch(e.Data)
		if err != nil {
			panic(err)
		}
		n.next = e.Offset + 1
		if b.Seq == 0 || !n.gate.Admit(e.Offset, b) {
			continue
		}
		results, err := n.Book.Apply(b)
		if err != nil {
			panic(err)
		}
		for _, r := range results {
			if r.Kind == ledger.KindBye {
				n.gate.Close(e.Offset, b.Inc)
			}
		}
		if n.Folded != nil {
			n.Folded(n, e.Offset, results)
		}
		if b.Inc == n.Inc {
			n.noteSeen()
		}
	}
}

// State returns the folded state.
func (n *Node) State() tail.State {
	fold, err := n.Book.Fold.Save()
	if err != nil {
		panic(err)
	}
	incs := map[string]tail.Seen{}
	for inc, seen := range n.gate.Incs {
		incs[inc] = seen
	}
	return tail.State{At: n.next - 1, Incs: incs, Fold: fold}
}

// Snapshot appends the folded state to the stream, written at once or late.
func (n *Node) Snapshot() {
	whole, err := tail.Encode(n.State())
	if err != nil {
		panic(err)
	}
	part := tail.SnapshotPart{At: n.next - 1, Parts: 1, Sum: xxhash.Sum64(whole), Data: whole}
	data, err := tail.Encode(tail.Batch{Format: tail.BatchFormat, Inc: n.Inc, Items: []tail.Item{tail.NewItem(tail.KindSnapshot, part)}})
	if err != nil {
		panic(err)
	}
	if !n.Cut {
		n.Log.Append(data, func(error) {})
	}
}

// reload goes on from the state of a peer, or from a snapshot whose tail is kept.
func (n *Node) reload(earliest int64) {
	if n.Fetch != nil {
		if st, ok := n.Fetch(); ok && st.At >= n.next {
			n.restore(st)
			return
		}
	}
	for from := earliest; from < n.Log.Head(); {
		page, err := n.Log.Read(from)
		if err != nil || n.Cut {
			break
		}
		for _, e := range page.Entries {
			from = e.Offset + 1
			if st, ok := snapshotOf(e); ok && st.At >= earliest-1 && st.At >= n.next-1 {
				n.restore(st)
				return
			}
		}
	}
}

// snapshotOf returns the state that a record carries.
func snapshotOf(e tail.Entry) (tail.State, bool) {
	b, err := tail.DecodeBatch(e.Data)
	if err != nil || b.Seq != 0 {
		return tail.State{}, false
	}
	var part tail.SnapshotPart
	var st tail.State
	if tail.Decode(b.Items[0].Body, &part) != nil || tail.Decode(part.Data, &st) != nil {
		return tail.State{}, false
	}
	return st, true
}

func (n *Node) restore(st tail.State) {
	if err := n.Book.Restore(st.Fold); err != nil {
		panic(err)
	}
	n.gate = &tail.Gate{Incs: st.Incs}
	n.next = st.At + 1
	n.noteSeen()
}
