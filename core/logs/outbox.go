package logs

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cranberryrail/core/pause"
)

// Limits of the appends of an Outbox.
const (
	// maxBatch is the number of records of one append, and maxQueued the number that wait to be appended.
	maxBatch  = 256
	maxQueued = 1024
	// appendTimeout bounds an append: a hundred times its usual duration.
	appendTimeout = 600 * time.Millisecond
	// minBackoff and maxBackoff bound the time to the next append after one that failed. Records must reach the other instances
	// soon after the end of an outage.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// ErrDropped is reported when records were dropped because too many wait to be appended.
var ErrDropped = errors.New("too many records wait to be appended; the oldest were dropped")

// Outbox appends records to a partition of a keyed topic, in order, and repeats appends that fail, so that a record
// may be appended twice. Exported fields are set before Default. It is safe for concurrent use.
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
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.signal:
		}
		for batch := o.next(); len(batch) > 0 && ctx.Err() == nil; batch = o.next() {
			err := o.append(ctx, batch)
			if err != nil && ctx.Err() == nil {
				if !failing {
					o.OnError(err)
				}
				pause.For(ctx, minBackoff+rand.N(maxBackoff-minBackoff))
			}
			failing = err != nil
		}
	}
}

// next returns the next records to append, those of an append that failed first.
func (o *Outbox) next() []Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dropped {
		o.dropped = false
		o.OnError(ErrDropped)
	}
	if len(o.inFlight) == 0 {
		n := min(len(o.queue), maxBatch)
		o.inFlight, o.queue = o.queue[:n:n], o.queue[n:]
	}
	return o.inFlight
}

// append appends records.
func (o *Outbox) append(ctx context.Context, batch []Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := o.Log.Append(ctx, o.Topic, o.Partition, AnyOffset, batch); err != nil {
		return err
	}
	o.mu.Lock()
	o.inFlight = nil
	o.mu.Unlock()
	o.OnAppended(batch)
	return nil
}
