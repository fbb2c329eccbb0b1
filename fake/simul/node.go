package simul

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/tail"
)

// Times of an instance.
const (
	// TickEvery is how often an instance looks at what depends on time.
	TickEvery = 100 * time.Millisecond
	// readDelay is how long one read of the log takes by default.
	readDelay = 2 * time.Millisecond
)

// Node is one incarnation of an instance: what reads and writes the stream the way
// tail.Feed does. Exported fields are set before Start; Cut may change at any time.
type Node struct {
	// Sched is the clock.
	Sched *Sched
	// Log is the stream.
	Log *Log
	// Inc names the incarnation.
	Inc string
	// Linger is how long a batch waits for further items.
	Linger time.Duration
	// ReadDelay is how long one read of the log takes; by default 2 ms.
	ReadDelay time.Duration
	// Fold takes the batches that the gate admits, in order, and reports whether the
	// incarnation of the batch said that it stops.
	Fold func(offset int64, b tail.Batch) (bye bool, err error)
	// Save returns the state of the fold, and Load replaces it by such a state.
	Save func() ([]byte, error)
	Load func(state []byte) error
	// Trimmed is told that records from Next on are gone; it restores a later state.
	Trimmed func(earliest int64)
	// Contact is told whether the log was in reach; optional.
	Contact func(reached bool)
	// Reached is told of each record that was read and each state restored; optional.
	Reached func()
	// Ran is told of each function that ran on the instance; optional.
	Ran func()
	// Shuffle changes the order of what came in during a pause; optional.
	Shuffle func(inbox []func())
	// Most returns the most items of the next batch; by default tail.MaxBatchItems.
	Most func() int
	// Fail is told of what must not happen; by default it panics.
	Fail func(format string, args ...any)
	// Cut tells that the log is out of reach.
	Cut bool

	gate     *tail.Gate
	next     int64
	lastSnap int64
	ready    bool
	gone     bool
	paused   bool
	wakeAt   time.Time
	inbox    []func()
	queue    []tail.Item
	// sending tells that a batch lingers or is outstanding, and cut that it was cut.
	sending, cut bool
	seq, seen    uint64
}

// Start begins to follow the stream.
func (n *Node) Start() {
	n.gate, n.lastSnap = tail.NewGate(), -1
	if n.ReadDelay == 0 {
		n.ReadDelay = readDelay
	}
	if n.Contact == nil {
		n.Contact = func(bool) {}
	}
	if n.Reached == nil {
		n.Reached = func() {}
	}
	if n.Ran == nil {
		n.Ran = func() {}
	}
	if n.Shuffle == nil {
		n.Shuffle = func([]func()) {}
	}
	if n.Most == nil {
		n.Most = func() int { return tail.MaxBatchItems }
	}
	if n.Fail == nil {
		n.Fail = func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
	}
	n.poll()
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
		n.Ran()
	}
}

// Later runs a function on the instance after a time.
func (n *Node) Later(d time.Duration, run func()) { n.Sched.After(d, func() { n.Do(run) }) }

// Every runs a function at once and again and again after a time.
func (n *Node) Every(d time.Duration, run func()) {
	run()
	n.Later(d, func() { n.Every(d, run) })
}

// Pause stops the instance where it is, for a time; of two pauses the later end counts.
func (n *Node) Pause(d time.Duration) {
	n.paused = true
	if until := n.Sched.Now().Add(d); until.After(n.wakeAt) {
		n.wakeAt = until
	}
	n.Sched.After(d, func() {
		if !n.Sched.Now().Before(n.wakeAt) {
			n.Wake()
		}
	})
}

// Wake lets a paused instance go on with everything that came in between.
func (n *Node) Wake() {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	n.Shuffle(inbox)
	for _, run := range inbox {
		n.Do(run)
	}
}

// Paused reports whether the instance is paused.
func (n *Node) Paused() bool { return n.paused }

// Kill ends the instance at once.
func (n *Node) Kill() { n.gone = true }

// Gone reports whether the instance ended.
func (n *Node) Gone() bool { return n.gone }

// Ready reports whether the state has caught up with the stream and no gap was met since.
func (n *Node) Ready() bool { return n.ready }

// Idle reports whether everything that was added has been read back.
func (n *Node) Idle() bool { return !n.sending }

// Next returns the offset of the next record to fold.
func (n *Node) Next() int64 { return n.next }

// LastSnapshot returns the last offset that the newest snapshot seen contains, or -1.
func (n *Node) LastSnapshot() int64 { return n.lastSnap }

// Add queues items, as tail.Writer does.
func (n *Node) Add(items ...tail.Item) {
	n.queue = append(n.queue, items...)
	n.pump()
}

// pump cuts the next batch when none is outstanding.
func (n *Node) pump() {
	if n.sending || len(n.queue) == 0 {
		return
	}
	n.sending = true
	n.Later(n.Linger, func() {
		count := min(len(n.queue), n.Most())
		n.seq++
		b := tail.Batch{Format: tail.BatchFormat, Inc: n.Inc, Seq: n.seq, Items: n.queue[:count:count]}
		n.queue = n.queue[count:]
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
	n.append(b, func(err error) {
		n.Contact(err == nil)
		wait := tail.ReadBackWait
		if err != nil {
			wait, retry = retry, min(2*retry, tail.RetryLongest)
		}
		n.Later(wait, func() { n.try(b, retry) })
	})
}

// append writes one record; done is told when there is an answer or none is awaited.
func (n *Node) append(b tail.Batch, done func(err error)) {
	data, err := tail.Encode(b)
	if err != nil {
		n.Fail("encode a batch of %s: %v", n.Inc, err)
	}
	if n.Cut {
		n.Later(appendTimeout, func() { done(errNoAnswer) })
		return
	}
	n.Log.Append(data, func(err error) { n.Do(func() { done(err) }) })
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
	n.Later(n.ReadDelay, func() {
		page, err := n.Log.Read(n.next)
		if n.Cut {
			err = errNoAnswer
		}
		var trimmed *tail.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			n.ready = false
			n.Trimmed(trimmed.Earliest)
			n.Later(tail.RetryFirst, n.poll)
		case err != nil:
			n.Contact(false)
			n.Later(tail.RetryFirst, n.poll)
		case len(page.Entries) == 0:
			n.Contact(true)
			n.ready = true
			n.wait()
		default:
			n.Contact(true)
			for _, e := range page.Entries {
				n.deliver(e)
			}
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

func (n *Node) deliver(e tail.Entry) {
	b, err := tail.DecodeBatch(e.Data)
	if err != nil {
		n.Fail("decode record %d: %v", e.Offset, err)
		return
	}
	n.next = e.Offset + 1
	switch {
	case b.Seq == 0:
		if st, ok := SnapshotOf(b); ok {
			n.lastSnap = max(n.lastSnap, st.At)
		}
	case n.gate.Admit(e.Offset, b):
		bye, err := n.Fold(e.Offset, b)
		if err != nil {
			n.Fail("fold record %d at %s: %v", e.Offset, n.Inc, err)
		}
		if bye {
			n.gate.Close(e.Offset, b.Inc)
		}
		if b.Inc == n.Inc {
			n.noteSeen()
		}
	}
	n.Reached()
}

// State returns the folded state.
func (n *Node) State() tail.State {
	fold, err := n.Save()
	if err != nil {
		n.Fail("save the state of %s: %v", n.Inc, err)
	}
	return tail.State{At: n.next - 1, Incs: maps.Clone(n.gate.Incs), Fold: fold}
}

// Restore takes a state over unless it is behind the own one, and reports whether it did.
func (n *Node) Restore(st tail.State) bool {
	if st.At < n.next-1 {
		return false
	}
	if err := n.Load(st.Fold); err != nil {
		n.Fail("restore the state of %s: %v", n.Inc, err)
		return false
	}
	n.gate = &tail.Gate{Incs: maps.Clone(st.Incs)}
	n.next = st.At + 1
	n.lastSnap = max(n.lastSnap, st.At)
	n.noteSeen()
	n.Reached()
	return true
}

// FromLog restores a snapshot in the stream whose tail is kept, and reports whether it did.
func (n *Node) FromLog(earliest int64) bool {
	for from := earliest; from < n.Log.Head(); {
		page, err := n.Log.Read(from)
		if err != nil || n.Cut {
			return false
		}
		for _, e := range page.Entries {
			from = e.Offset + 1
			b, err := tail.DecodeBatch(e.Data)
			if err != nil {
				continue
			}
			if st, ok := SnapshotOf(b); ok && st.At >= earliest-1 && n.Restore(st) {
				return true
			}
		}
	}
	return false
}

// Snapshot appends the folded state to the stream once, unless the log is out of reach.
func (n *Node) Snapshot() {
	if n.Cut {
		return
	}
	whole, err := tail.Encode(n.State())
	if err != nil {
		n.Fail("encode the state of %s: %v", n.Inc, err)
	}
	part := tail.SnapshotPart{At: n.next - 1, Parts: 1, Sum: xxhash.Sum64(whole), Data: whole}
	items := []tail.Item{tail.NewItem(tail.KindSnapshot, part)}
	n.append(tail.Batch{Format: tail.BatchFormat, Inc: n.Inc, Items: items}, func(error) {})
}

// SnapshotOf returns the state that a batch carries.
func SnapshotOf(b tail.Batch) (tail.State, bool) {
	var part tail.SnapshotPart
	var st tail.State
	if b.Seq != 0 || len(b.Items) != 1 || tail.Decode(b.Items[0].Body, &part) != nil || tail.Decode(part.Data, &st) != nil {
		return tail.State{}, false
	}
	return st, true
}
