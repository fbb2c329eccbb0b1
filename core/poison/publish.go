package poison

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cranberryrail/core/logs"
	"cranberryrail/core/pause"
)

// Limits of the appends.
const (
	// maxBatch is the number of records of one append.
	maxBatch = 256
	// appendTimeout bounds an append: a hundred times its usual duration.
	appendTimeout = 600 * time.Millisecond
	// minBackoff and maxBackoff bound the time to the next append after one that failed. Reports must reach the other instances soon
	// after the end of an outage.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// errDropped is returned when records were dropped because too many wait to be published.
var errDropped = errors.New("too many reports of crashed targets wait to be published; the oldest were dropped")

// publish queues a record. Without other instances it applies the record at once.
func (t *Tracker) publish(r logs.Record) {
	if t.Alone {
		if err := t.fold(r); err != nil {
			t.OnInvalid(r.Key, err)
		}
		return
	}
	if len(t.queue) >= maxQueued {
		t.queue, t.dropped = t.queue[1:], true
	}
	t.queue = append(t.queue, r)
	select {
	case t.signal <- struct{}{}:
	default: // the publisher is already notified
	}
}

// Publisher appends the records of a tracker to the topic. Exported fields are set before Run.
type Publisher struct {
	Tracker *Tracker
	Log     logs.Log
	Topic   string
	// OnError is called with the first error of a series of appends that fail, and if records were dropped; optional.
	OnError func(err error)
}

// String returns the name of the publisher for logs.
func (p *Publisher) String() string { return "publisher of crashed targets" }

// Run appends records until the context ends. The same record may be appended twice.
func (p *Publisher) Run(ctx context.Context) error {
	if p.OnError == nil {
		p.OnError = func(error) {}
	}
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.Tracker.signal:
		}
		for batch := p.next(); len(batch) > 0 && ctx.Err() == nil; batch = p.next() {
			err := p.append(ctx, batch)
			if err != nil && ctx.Err() == nil {
				if !failing {
					p.OnError(err)
				}
				pause.For(ctx, minBackoff+rand.N(maxBackoff-minBackoff))
			}
			failing = err != nil
		}
	}
}

// next returns the next records to append, those of an append that failed first.
func (p *Publisher) next() []logs.Record {
	t := p.Tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dropped {
		t.dropped = false
		p.OnError(errDropped)
	}
	if len(t.inFlight) == 0 {
		n := min(len(t.queue), maxBatch)
		t.inFlight, t.queue = t.queue[:n:n], t.queue[n:]
	}
	return t.inFlight
}

// append appends records.
func (p *Publisher) append(ctx context.Context, batch []logs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := p.Log.Append(ctx, p.Topic, 0, logs.AnyOffset, batch); err != nil {
		return err
	}
	p.Tracker.mu.Lock()
	defer p.Tracker.mu.Unlock()
	p.Tracker.inFlight = nil
	return nil
}
