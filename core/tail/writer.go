package tail

import (
	"context"
	"sync"
	"time"

	"cranberryrail/core/pause"
)

// Times of the writer.
const (
	// RetryFirst is the wait before a batch whose append failed is sent again.
	RetryFirst = 100 * time.Millisecond
	// RetryLongest is the longest wait between two tries.
	RetryLongest = 3 * time.Second
	// ReadBackWait is how long a batch whose append succeeded may take to be read back before
	// it is sent again.
	ReadBackWait = 5 * time.Second
)

// MaxBatchItems is the most items that one batch carries.
const MaxBatchItems = 512

// MaxBatchBytes is the size of item bodies from which on a batch takes no further item.
const MaxBatchBytes = 512 << 10

// Writer appends items to a stream in batches, one append outstanding at a time.
// Exported fields are set before Run.
type Writer struct {
	// Log reaches the platform's log.
	Log Log
	// Stream is the stream to write to.
	Stream string
	// Inc is the incarnation of this process.
	Inc string
	// Base returns the offset up to which the stream was read; it is called each time that
	// the first batch is sent.
	Base func() int64
	// Linger is how long a batch waits for further items.
	Linger time.Duration
	// Failed is told of each append that failed; optional.
	Failed func(err error)

	mu      sync.Mutex
	queue   []Item
	wake    chan struct{}
	seenSeq uint64
	seen    chan struct{}
	sent    uint64
	appends int64
}

// String names the writer for logs.
func (w *Writer) String() string { return "writer of " + w.Stream }

// Default fills fields that were left empty.
func (w *Writer) Default() {
	w.wake = make(chan struct{}, 1)
	w.seen = make(chan struct{}, 1)
	if w.Base == nil {
		w.Base = func() int64 { return 0 }
	}
	if w.Failed == nil {
		w.Failed = func(error) {}
	}
}

// Add queues items; it never blocks.
func (w *Writer) Add(items ...Item) {
	w.mu.Lock()
	w.queue = append(w.queue, items...)
	w.mu.Unlock()
	notify(w.wake)
}

// Seen tells the writer that its batch with the sequence number was read back.
func (w *Writer) Seen(seq uint64) {
	w.mu.Lock()
	w.seenSeq = max(w.seenSeq, seq)
	w.mu.Unlock()
	notify(w.seen)
}

// Idle reports whether everything that was added has been read back.
func (w *Writer) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) == 0 && w.seenSeq == w.sent
}

// Appends returns the number of appends that were tried.
func (w *Writer) Appends() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appends
}

// Run writes until the context ends.
func (w *Writer) Run(ctx context.Context) error {
	for seq := uint64(1); ; seq++ {
		items, err := w.take(ctx)
		if err != nil {
			return nil
		}
		if err := w.send(ctx, seq, items); err != nil {
			return nil
		}
	}
}

// take waits for items and returns as many as one batch carries.
func (w *Writer) take(ctx context.Context) ([]Item, error) {
	for {
		if w.pending() {
			if err := sleep(ctx, w.Linger); err != nil {
				return nil, err
			}
			return w.cut(), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-w.wake:
		}
	}
}

func (w *Writer) pending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

// cut takes the next batch from the queue and counts it as sent.
func (w *Writer) cut() []Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.queue) && n < MaxBatchItems && size < MaxBatchBytes {
		size += len(w.queue[n].Body)
		n++
	}
	items := w.queue[:n:n]
	w.queue = w.queue[n:]
	w.sent++
	return items
}

// send appends one batch until it was read back.
func (w *Writer) send(ctx context.Context, seq uint64, items []Item) error {
	b := Batch{Format: BatchFormat, Inc: w.Inc, Seq: seq, Items: items}
	retry := RetryFirst
	for !w.wasSeen(seq) {
		if seq == 1 {
			b.Base = w.Base()
		}
		data, err := Encode(b)
		if err != nil {
			return err
		}
		wait := ReadBackWait
		if err := w.append(ctx, data); err != nil {
			w.Failed(err)
			wait = retry
			retry = min(2*retry, RetryLongest)
		}
		if err := w.awaitSeen(ctx, seq, wait); err != nil {
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

func (w *Writer) wasSeen(seq uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seenSeq >= seq
}

// awaitSeen waits until the batch was read back or the time is over.
func (w *Writer) awaitSeen(ctx context.Context, seq uint64, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !w.wasSeen(seq) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-w.seen:
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
