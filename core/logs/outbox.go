package logs

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Limits of the appends of an Outbox.
const (
	// maxBatch is the number of records of one append, and maxQueued the number that wait to be appended.
	maxBatch  = 256
	maxQueued = 1024
	// appendTimeout bounds one call. A partition performs appends in turn and refuses those that would wait over 2 s, and callers of streams, whose records are
	// appended, wait several seconds.
	appendTimeout = 5 * time.Second
	// minRepeatDelay is how long a call stays without a reply until another one is made beside it: a hundred times its usual duration. While appends are slow,
	// it is repeatFactor times the duration of the last append, since repeats make a partition slower. That duration counts for slowMemory.
	minRepeatDelay = 600 * time.Millisecond
	repeatFactor   = 3
	slowMemory     = 2 * appendTimeout
	// minBackoff and maxBackoff bound the time to the next append after one that failed. Records must reach the other instances
	// soon after the end of an outage.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// errNoReply is reported when a call is repeated although it may still be answered.
var errNoReply = errors.New("the append has no reply yet; it is repeated")

// ErrDropped is reported when records were dropped because too many wait to be appended.
var ErrDropped = errors.New("too many records wait to be appended; the oldest were dropped")

// Outbox appends records to a partition of a keyed topic, in order, and repeats calls that fail or stay without a reply, so that a
// record may be appended twice. Exported fields are set before Default. It is safe for concurrent use.
type Outbox struct {
	Log       Log
	Topic     string
	Partition int
	// OnAppended is called with records that the log has accepted; optional.
	OnAppended func(records []Record)
	// OnError is called with the first error of a series of appends that fail, and with ErrDropped; optional.
	OnError func(err error)

	mu sync.Mutex
	// inFlight holds the records that are being appended, and queue those that follow. signal has an element if records were queued.
	inFlight, queue []Record
	signal          chan struct{}
	dropped         bool

	// took is the duration of the last append, at ackedAt, and failing is set if a call failed, or stayed without a reply, since then. Only Run uses them.
	took    time.Duration
	ackedAt time.Time
	failing bool
}

// String returns the name of the outbox for logs.
func (o *Outbox) String() string { return "outbox of " + o.Topic }

// Default sets unset fields to their defaults.
func (o *Outbox) Default() {
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	if o.OnAppended == nil {
		o.OnAppended = func([]Record) {}
	}
	o.signal = make(chan struct{}, 1)
}

// Add queues a record. If too many are queued, the oldest is dropped.
func (o *Outbox) Add(r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) >= maxQueued {
		o.queue, o.dropped = o.queue[1:], true
	}
	o.queue = append(o.queue, r)
	select {
	case o.signal <- struct{}{}:
	default: // Run is already notified
	}
}

// Pending returns the records that are not known to be in the log.
func (o *Outbox) Pending() []Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Concat(o.inFlight, o.queue)
}

// Run appends records until the context ends.
func (o *Outbox) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.signal:
		}
		for batch := o.next(); len(batch) > 0 && ctx.Err() == nil; batch = o.next() {
			o.append(ctx, batch)
		}
	}
}

// next returns the next records to append, those of an append that failed first.
func (o *Outbox) next() []Record {
	o.reportDropped()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.inFlight) == 0 {
		n := min(len(o.queue), maxBatch)
		o.inFlight, o.queue = o.queue[:n:n], o.queue[n:]
	}
	return o.inFlight
}

// reportDropped reports once that records were dropped.
func (o *Outbox) reportDropped() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dropped {
		o.dropped = false
		o.OnError(ErrDropped)
	}
}

// fail reports the first error of a series.
func (o *Outbox) fail(err error) {
	if !o.failing {
		o.failing = true
		o.OnError(err)
	}
}

// repeatDelay returns how long a call stays without a reply until another one is made.
func (o *Outbox) repeatDelay() time.Duration {
	if time.Since(o.ackedAt) > slowMemory {
		return minRepeatDelay
	}
	return max(minRepeatDelay, repeatFactor*o.took)
}

// append appends records, or returns when the context ends. A call without a reply may be lost, or slow: another one is made beside it, and the first that
// is accepted counts.
func (o *Outbox) append(ctx context.Context, batch []Record) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan callResult)
	var calls errgroup.Group
	defer func() {
		cancel()
		_ = calls.Wait() // calls return no errors
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	for open := 0; ; {
		select {
		case <-ctx.Done():
			return
		case r := <-results:
			open--
			if r.err == nil {
				o.recordAppended(batch, r.took)
				return
			}
			o.fail(r.err)
			next.Reset(minBackoff + rand.N(maxBackoff-minBackoff))
		case <-next.C:
			if open > 0 {
				o.fail(errNoReply)
			}
			o.reportDropped()
			open++
			calls.Go(func() error {
				o.call(ctx, batch, results)
				return nil
			})
			next.Reset(o.repeatDelay())
		}
	}
}

// callResult is the error of a call, and how long it took.
type callResult struct {
	took time.Duration
	err  error
}

// call makes one call, and passes its result on unless the context ends.
func (o *Outbox) call(ctx context.Context, batch []Record, results chan<- callResult) {
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := o.Log.Append(limited, o.Topic, o.Partition, AnyOffset, batch)
	select {
	case results <- callResult{time.Since(began), err}:
	case <-ctx.Done():
	}
}

// recordAppended records that a call was accepted.
func (o *Outbox) recordAppended(batch []Record, took time.Duration) {
	o.took, o.ackedAt, o.failing = took, time.Now(), false
	o.mu.Lock()
	o.inFlight = nil
	o.mu.Unlock()
	o.OnAppended(batch)
}
