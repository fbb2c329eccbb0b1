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
	// TickEvery is the interval at which an instance evaluates conditions that depend on time.
	TickEvery = 100 * time.Millisecond
	// readDelay is the default duration of one read of the log.
	readDelay = 2 * time.Millisecond
)

// Node simulates one incarnation of an instance, which reads and writes the stream as
// tail.Feed does. Exported fields are set before Start; LogUnreachable may change at any time.
type Node struct {
	// Scheduler provides the clock and runs delayed operations.
	Scheduler *Scheduler
	// Log is the simulated stream.
	Log *Log
	// Incarnation is the id of the incarnation.
	Incarnation string
	// Linger is how long a batch waits for further items.
	Linger time.Duration
	// ReadDelay is the duration of one read of the log; by default 2 ms.
	ReadDelay time.Duration
	// Fold applies the batches that the deduplicator admits, in order, and reports whether the batch
	// contains the final item of an incarnation that stops.
	Fold func(offset int64, b tail.Batch) (bye bool, err error)
	// Save returns the state of the fold; Load replaces the state by one that Save returned.
	Save func() ([]byte, error)
	Load func(state []byte) error
	// OnTrimmed is called when records from Next on were trimmed, with the offset of the
	// earliest record left; it restores a later state.
	OnTrimmed func(earliest int64)
	// OnContact is called after reads and appends with whether the log was reachable; optional.
	OnContact func(reached bool)
	// OnProgress is called after each record that was read and each state that was restored; optional.
	OnProgress func()
	// OnRun is called after each function that ran on the instance; optional.
	OnRun func()
	// Shuffle reorders the functions that were queued during a pause; optional.
	Shuffle func(inbox []func())
	// BatchLimit returns the maximum number of items in the next batch; by default
	// tail.MaxBatchItems.
	BatchLimit func() int
	// Fail reports an unexpected error; by default it panics.
	Fail func(format string, args ...any)
	// LogUnreachable reports whether the log is unreachable from this instance.
	LogUnreachable bool

	dedup        *tail.Deduplicator
	next         int64
	lastSnapshot int64
	ready        bool
	ended        bool
	paused       bool
	pausedUntil  time.Time
	inbox        []func()
	queue        []tail.Item
	// sending reports whether a batch lingers or is in flight, batchFormed whether its items
	// were taken from the queue.
	sending, batchFormed bool
	// seq is the number of the last batch formed, readBackSeq that of the last one read back.
	seq, readBackSeq uint64
}

// Start fills optional fields that were left empty and starts to follow the stream.
func (n *Node) Start() {
	n.dedup, n.lastSnapshot = tail.NewDeduplicator(), -1
	if n.ReadDelay == 0 {
		n.ReadDelay = readDelay
	}
	if n.OnContact == nil {
		n.OnContact = func(bool) {}
	}
	if n.OnProgress == nil {
		n.OnProgress = func() {}
	}
	if n.OnRun == nil {
		n.OnRun = func() {}
	}
	if n.Shuffle == nil {
		n.Shuffle = func([]func()) {}
	}
	if n.BatchLimit == nil {
		n.BatchLimit = func() int { return tail.MaxBatchItems }
	}
	if n.Fail == nil {
		n.Fail = func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
	}
	n.poll()
}

// Do runs a function on the instance. While the instance is paused, the function is queued
// until Resume; once the instance has ended, it is dropped.
func (n *Node) Do(run func()) {
	switch {
	case n.ended:
	case n.paused:
		n.inbox = append(n.inbox, run)
	default:
		run()
		n.OnRun()
	}
}

// Later runs a function on the instance after a delay.
func (n *Node) Later(d time.Duration, run func()) { n.Scheduler.After(d, func() { n.Do(run) }) }

// Every runs a function immediately and then periodically.
func (n *Node) Every(d time.Duration, run func()) {
	run()
	n.Later(d, func() { n.Every(d, run) })
}

// Pause suspends the instance for a duration; overlapping pauses last until the later end.
func (n *Node) Pause(d time.Duration) {
	n.paused = true
	if until := n.Scheduler.Now().Add(d); until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	n.Scheduler.After(d, func() {
		if !n.Scheduler.Now().Before(n.pausedUntil) {
			n.Resume()
		}
	})
}

// Resume ends a pause and runs the functions that were queued during it.
func (n *Node) Resume() {
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

// Kill ends the instance immediately.
func (n *Node) Kill() { n.ended = true }

// Ended reports whether the instance has ended.
func (n *Node) Ended() bool { return n.ended }

// Ready reports whether the state has caught up with the stream and no trimmed records
// were encountered since.
func (n *Node) Ready() bool { return n.ready }

// Idle reports whether all added items have been read back.
func (n *Node) Idle() bool { return !n.sending }

// Next returns the offset of the next record to fold.
func (n *Node) Next() int64 { return n.next }

// LastSnapshot returns the last offset covered by the newest snapshot that was read or
// restored, or -1.
func (n *Node) LastSnapshot() int64 { return n.lastSnapshot }

// Add queues items to be written, as tail.Writer does.
func (n *Node) Add(items ...tail.Item) {
	n.queue = append(n.queue, items...)
	n.sendNext()
}

// sendNext forms and sends the next batch after the linger time, unless a batch lingers or
// is in flight.
func (n *Node) sendNext() {
	if n.sending || len(n.queue) == 0 {
		return
	}
	n.sending = true
	n.Later(n.Linger, func() {
		count := min(len(n.queue), n.BatchLimit())
		n.seq++
		b := tail.Batch{Format: tail.BatchFormat, Incarnation: n.Incarnation, Seq: n.seq, Items: n.queue[:count:count]}
		n.queue = n.queue[count:]
		n.batchFormed = true
		n.sendBatch(b, tail.RetryFirst)
	})
}

// sendBatch appends a batch repeatedly, with exponential back-off on errors, until it has
// been read back.
func (n *Node) sendBatch(b tail.Batch, backoff time.Duration) {
	if n.readBackSeq >= b.Seq {
		return
	}
	if b.Seq == 1 {
		b.Base = n.next
	}
	n.append(b, func(err error) {
		n.OnContact(err == nil)
		wait := tail.ReadBackWait
		if err != nil {
			wait, backoff = backoff, min(2*backoff, tail.RetryMax)
		}
		n.Later(wait, func() { n.sendBatch(b, backoff) })
	})
}

// append appends one record and calls done when the reply arrives or the wait for it
// times out.
func (n *Node) append(b tail.Batch, done func(err error)) {
	data, err := tail.Encode(b)
	if err != nil {
		n.Fail("encode a batch of %s: %v", n.Incarnation, err)
	}
	if n.LogUnreachable {
		n.Later(appendTimeout, func() { done(errNoReply) })
		return
	}
	n.Log.Append(data, func(err error) { n.Do(func() { done(err) }) })
}

// updateReadBack updates readBackSeq, and sends the next batch once the one in flight has
// been read back.
func (n *Node) updateReadBack() {
	n.readBackSeq = n.dedup.Incarnations[n.Incarnation].Seq
	if n.batchFormed && n.readBackSeq >= n.seq {
		n.sending, n.batchFormed = false, false
		n.sendNext()
	}
}

// poll reads the stream, as tail.Follower does.
func (n *Node) poll() {
	n.Later(n.ReadDelay, func() {
		page, err := n.Log.Read(n.next)
		if n.LogUnreachable {
			err = errNoReply
		}
		var trimmed *tail.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			n.ready = false
			n.OnTrimmed(trimmed.Earliest)
			n.Later(tail.RetryFirst, n.poll)
		case err != nil:
			n.OnContact(false)
			n.Later(tail.RetryFirst, n.poll)
		case len(page.Records) == 0:
			n.OnContact(true)
			n.ready = true
			n.awaitRecord()
		default:
			n.OnContact(true)
			for _, e := range page.Records {
				n.deliver(e)
			}
			n.poll()
		}
	})
}

// awaitRecord polls once, at the next record or after tail.PollWait, whichever is first.
func (n *Node) awaitRecord() {
	polled := false
	pollOnce := func() {
		n.Do(func() {
			if !polled {
				polled = true
				n.poll()
			}
		})
	}
	n.Log.NotifyNext(pollOnce)
	n.Scheduler.After(tail.PollWait, pollOnce)
}

func (n *Node) deliver(e tail.Record) {
	b, err := tail.DecodeBatch(e.Data)
	if err != nil {
		n.Fail("decode record %d: %v", e.Offset, err)
		return
	}
	n.next = e.Offset + 1
	switch {
	case b.Seq == 0:
		if st, ok := DecodeSnapshot(b); ok {
			n.lastSnapshot = max(n.lastSnapshot, st.At)
		}
	case n.dedup.Admit(e.Offset, b):
		bye, err := n.Fold(e.Offset, b)
		if err != nil {
			n.Fail("fold record %d at %s: %v", e.Offset, n.Incarnation, err)
		}
		if bye {
			n.dedup.CloseIncarnation(e.Offset, b.Incarnation)
		}
		if b.Incarnation == n.Incarnation {
			n.updateReadBack()
		}
	}
	n.OnProgress()
}

// State returns the folded state.
func (n *Node) State() tail.State {
	fold, err := n.Save()
	if err != nil {
		n.Fail("save the state of %s: %v", n.Incarnation, err)
	}
	return tail.State{At: n.next - 1, Incarnations: maps.Clone(n.dedup.Incarnations), Data: fold}
}

// Restore replaces the state unless the new one is older, and reports whether it did.
func (n *Node) Restore(st tail.State) bool {
	if st.At < n.next-1 {
		return false
	}
	if err := n.Load(st.Data); err != nil {
		n.Fail("restore the state of %s: %v", n.Incarnation, err)
		return false
	}
	n.dedup = &tail.Deduplicator{Incarnations: maps.Clone(st.Incarnations)}
	n.next = st.At + 1
	n.lastSnapshot = max(n.lastSnapshot, st.At)
	n.updateReadBack()
	n.OnProgress()
	return true
}

// RestoreFromLog restores a snapshot from the stream if all records after the snapshot are
// retained, and reports whether it did.
func (n *Node) RestoreFromLog(earliest int64) bool {
	for from := earliest; from < n.Log.Head(); {
		page, err := n.Log.Read(from)
		if err != nil || n.LogUnreachable {
			return false
		}
		for _, e := range page.Records {
			from = e.Offset + 1
			b, err := tail.DecodeBatch(e.Data)
			if err != nil {
				continue
			}
			if st, ok := DecodeSnapshot(b); ok && st.At >= earliest-1 && n.Restore(st) {
				return true
			}
		}
	}
	return false
}

// AppendSnapshot appends the folded state to the stream, without retries; it does nothing
// while the log is unreachable.
func (n *Node) AppendSnapshot() {
	if n.LogUnreachable {
		return
	}
	encoded, err := tail.Encode(n.State())
	if err != nil {
		n.Fail("encode the state of %s: %v", n.Incarnation, err)
	}
	part := tail.SnapshotPart{At: n.next - 1, Parts: 1, Sum: xxhash.Sum64(encoded), Data: encoded}
	items := []tail.Item{tail.NewItem(tail.KindSnapshot, part)}
	n.append(tail.Batch{Format: tail.BatchFormat, Incarnation: n.Incarnation, Items: items}, func(error) {})
}

// DecodeSnapshot returns the state in a snapshot batch, and false for any other batch.
func DecodeSnapshot(b tail.Batch) (tail.State, bool) {
	var part tail.SnapshotPart
	var st tail.State
	if b.Seq != 0 || len(b.Items) != 1 || tail.Decode(b.Items[0].Body, &part) != nil || tail.Decode(part.Data, &st) != nil {
		return tail.State{}, false
	}
	return st, true
}
