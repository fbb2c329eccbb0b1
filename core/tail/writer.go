package tail

import (
	"context"
	"sync"
	"time"

	"cranberryrail/core/pause"
)

// Retry and read-back times of the writer.
const (
	// RetryFirst is the wait before the first retry of a failed append.
	RetryFirst = 100 * time.Millisecond
	// RetryMax is the longest wait between two attempts.
	RetryMax = 3 * time.Second
	// ReadBackWait is how long the writer waits for a successfully appended batch to be read
	// back before it resends the batch.
	ReadBackWait = 5 * time.Second
)

// MaxBatchItems is the maximum number of items in a batch.
const MaxBatchItems = 512

// MaxBatchBytes is the total size of item bodies at which no further item is added to a batch.
const MaxBatchBytes = 512 << 10

// Writer appends items to a stream in batches, with at most one append in flight. Exported
// fields are set before Run.
type Writer struct {
	// Log accesses the platform's log.
	Log Log
	// Stream is the stream to write to.
	Stream string
	// Incarnation is the incarnation of this process.
	Incarnation string
	// Base returns the offset up to which the stream has been read; it is called each time the
	// first batch is sent.
	Base func() int64
	// Linger is how long a batch waits for further items before it is sent.
	Linger time.Duration
	// OnFailure is called with the error of each failed append; optional.
	OnFailure func(err error)

	mu          sync.Mutex
	queue       []Item
	wake        chan struct{}
	readBackSeq uint64
	readBack    chan struct{}
	sentBatches uint64
	appends     int64
}

// String returns the name of the writer for log lines.
func (w *Writer) String() string { return "writer of " + w.Stream }

// Default sets unset fields to their defaults and prepares the writer for Add.
func (w *Writer) Default() {
	w.wake = make(chan struct{}, 1)
	w.readBack = make(chan struct{}, 1)
	if w.Base == nil {
		w.Base = func() int64 { return 0 }
	}
	if w.OnFailure == nil {
		w.OnFailure = func(error) {}
	}
}

// Add queues items; it never blocks.
func (w *Writer) Add(items ...Item) {
	w.mu.Lock()
	w.queue = append(w.queue, items...)
	w.mu.Unlock()
	notify(w.wake)
}

// RecordReadBack records that the batches up to the sequence number have been read back.
func (w *Writer) RecordReadBack(seq uint64) {
	w.mu.Lock()
	w.readBackSeq = max(w.readBackSeq, seq)
	w.mu.Unlock()
	notify(w.readBack)
}

// Idle reports whether all added items have been read back from the stream.
func (w *Writer) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) == 0 && w.readBackSeq == w.sentBatches
}

// Appends returns the number of appends attempted.
func (w *Writer) Appends() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appends
}

// Run writes queued items until the context ends.
func (w *Writer) Run(ctx context.Context) error {
	for seq := uint64(1); ; seq++ {
		items, err := w.nextBatch(ctx)
		if err != nil {
			return nil
		}
		if err := w.send(ctx, seq, items); err != nil {
			return nil
		}
	}
}

// nextBatch waits until items are queued and for Linger, and returns the items of the next batch.
func (w *Writer) nextBatch(ctx context.Context) ([]Item, error) {
	for {
		if w.hasQueued() {
			if err := sleep(ctx, w.Linger); err != nil {
				return nil, err
			}
			return w.dequeue(), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-w.wake:
		}
	}
}

func (w *Writer) hasQueued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

// dequeue removes the items of the next batch from the queue and counts the batch as sent.
func (w *Writer) dequeue() []Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.queue) && n < MaxBatchItems && size < MaxBatchBytes {
		size += len(w.queue[n].Body)
		n++
	}
	items := w.queue[:n:n]
	w.queue = w.queue[n:]
	w.sentBatches++
	return items
}

// send appends a batch repeatedly until it has been read back.
func (w *Writer) send(ctx context.Context, seq uint64, items []Item) error {
	b := Batch{Format: BatchFormat, Incarnation: w.Incarnation, Seq: seq, Items: items}
	retry := RetryFirst
	for !w.isReadBack(seq) {
		if seq == 1 {
			b.Base = w.Base()
		}
		data, err := Encode(b)
		if err != nil {
			return err
		}
		wait := ReadBackWait
		if err := w.append(ctx, data); err != nil {
			w.OnFailure(err)
			wait = retry
			retry = min(2*retry, RetryMax)
		}
		if err := w.awaitReadBack(ctx, seq, wait); err != nil {
			return err
		}
	}
	return nil
}

func (w *Writer) append(ctx context.Context, data []byte) error {
	w.mu.Lock()
	w.appends++
	w.mu.Unlock()
	_, err := w.Log.Append(ctx, w.Stream, data)
	return err
}

func (w *Writer) isReadBack(seq uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.readBackSeq >= seq
}

// awaitReadBack waits until the batch has been read back or the wait has elapsed.
func (w *Writer) awaitReadBack(ctx context.Context, seq uint64, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !w.isReadBack(seq) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-w.readBack:
		}
	}
	return nil
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d > 0 {
		pause.For(ctx, d)
	}
	return ctx.Err()
}
