package tail

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// State is the state of a fold with what guards it.
type State struct {
	_ struct{} `cbor:",toarray"`
	// At is the offset of the last record that the state contains.
	At int64
	// Incs is the content of the gate.
	Incs map[string]Seen
	// Fold is what Save returned.
	Fold []byte
}

// StalledError tells that a fold stopped at a record that this build can't read.
type StalledError struct {
	Stream string
	Offset int64
	Err    error
}

// Error implements the error interface.
func (e *StalledError) Error() string {
	return fmt.Sprintf("stream %s: fold stopped at offset %d: %v", e.Stream, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *StalledError) Unwrap() error { return e.Err }

// Feed keeps the folded state of one stream: it follows the stream, drops what was
// seen, writes own items, writes snapshots, and starts again from a snapshot or
// from a peer when records were trimmed. Exported fields are set before Run.
type Feed struct {
	// Log reaches the platform's log.
	Log Log
	// Stream is the stream to keep.
	Stream string
	// Inc is the incarnation of this process.
	Inc string
	// Linger is how long a batch waits for further items.
	Linger time.Duration
	// SnapshotEvery is the number of records after which a snapshot is due.
	SnapshotEvery int64
	// SnapshotTurn returns how long this instance leaves a due snapshot to others.
	SnapshotTurn func() time.Duration
	// Fold takes the batches that the gate admits, in order.
	Fold func(offset int64, b Batch) error
	// Save returns the state of the fold.
	Save func() ([]byte, error)
	// Restore replaces the state of the fold by what Save returned.
	Restore func(offset int64, state []byte) error
	// Fetch gets a State from a peer; optional.
	Fetch func(ctx context.Context, stream string) (State, error)
	// Contact is told of each read and append; optional.
	Contact func(err error)
	// Stalled is told when the fold stopped for good; optional.
	Stalled func(err *StalledError)
	// SnapshotDone is told of each snapshot written (true) or loaded (false); optional.
	SnapshotDone func(at int64, written bool)

	mu       sync.Mutex
	gate     *Gate
	next     int64
	head     int64
	ready    atomic.Bool
	stalled  *StalledError
	lastSnap int64
	// written is how far the own snapshots reach, with the records that carry them.
	written int64
	parts   map[snapKey]*assembly
	writer  *Writer
}

// String names the feed for logs.
func (f *Feed) String() string { return "feed of " + f.Stream }

// Default fills fields that were left empty and makes the feed ready for Add.
func (f *Feed) Default() {
	if f.SnapshotEvery == 0 {
		f.SnapshotEvery = 10_000
	}
	if f.SnapshotTurn == nil {
		f.SnapshotTurn = func() time.Duration { return 0 }
	}
	if f.Contact == nil {
		f.Contact = func(error) {}
	}
	if f.Stalled == nil {
		f.Stalled = func(*StalledError) {}
	}
	if f.SnapshotDone == nil {
		f.SnapshotDone = func(int64, bool) {}
	}
	f.gate = NewGate()
	f.lastSnap = -1
	f.writer = &Writer{Log: f.Log, Stream: f.Stream, Inc: f.Inc, Linger: f.Linger, Base: f.Next, Failed: f.Contact}
	f.writer.Default()
}

// Add queues items for the stream.
func (f *Feed) Add(items ...Item) { f.writer.Add(items...) }

// Idle reports whether everything that was added has been read back.
func (f *Feed) Idle() bool { return f.writer.Idle() }

// Appends returns the number of appends that were tried.
func (f *Feed) Appends() int64 { return f.writer.Appends() }

// Next returns the offset of the next record to fold.
func (f *Feed) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Ready reports whether the state has caught up with the head of the stream once
// and did not stop since.
func (f *Feed) Ready() bool { return f.ready.Load() }

// State returns the state for a peer.
func (f *Feed) State() (State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state()
}

func (f *Feed) state() (State, error) {
	if f.stalled != nil {
		return State{}, f.stalled
	}
	fold, err := f.Save()
	if err != nil {
		return State{}, fmt.Errorf("save the state of %s: %w", f.Stream, err)
	}
	incs := make(map[string]Seen, len(f.gate.Incs))
	for inc, seen := range f.gate.Incs {
		incs[inc] = seen
	}
	return State{At: f.next - 1, Incs: incs, Fold: fold}, nil
}

// Run keeps the stream until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	follower := &Follower{Log: f.watched(), Stream: f.Stream, Deliver: f.deliver, Trimmed: f.trimmed, Contact: f.Contact}
	follower.Default()
	g.Go(func() error { return f.writer.Run(ctx) })
	g.Go(func() error { return f.follow(ctx, follower) })
	g.Go(func() error { return f.snapshots(ctx) })
	return g.Wait()
}

// follow runs the follower; a fold that stopped for good leaves the process running.
func (f *Feed) follow(ctx context.Context, follower *Follower) error {
	err := follower.Run(ctx)
	var stalled *StalledError
	if errors.As(err, &stalled) {
		f.mu.Lock()
		f.stalled = stalled
		f.ready.Store(false)
		f.mu.Unlock()
		f.Stalled(stalled)
		<-ctx.Done()
		return nil
	}
	return err
}

// watched returns the log with reads that also note the head of the stream.
func (f *Feed) watched() Log {
	log := f.Log
	log.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
		if !f.Ready() {
			wait = 0
		}
		page, err := f.Log.Read(ctx, stream, from, wait)
		if err == nil {
			f.noteHead(from, page)
		}
		return page, err
	}
	return log
}

// noteHead marks the feed as ready when there is nothing left to read.
func (f *Feed) noteHead(from int64, page Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.head = page.Head
	if len(page.Entries) == 0 && from == f.next && from >= page.Head {
		f.ready.Store(true)
	}
}

// deliver folds one record.
func (f *Feed) deliver(_ context.Context, e Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Offset < f.next {
		// A state that contains the record was adopted meanwhile.
		return nil
	}
	b, err := DecodeBatch(e.Data)
	var format *FormatError
	switch {
	case errors.As(err, &format):
		return &StalledError{Stream: f.Stream, Offset: e.Offset, Err: err}
	case err != nil:
		// A record that is no batch concerns no fold; every instance skips it alike.
		f.next = e.Offset + 1
		return nil
	}
	if err := f.fold(e.Offset, b); err != nil {
		return &StalledError{Stream: f.Stream, Offset: e.Offset, Err: err}
	}
	f.next = e.Offset + 1
	if f.next >= f.head {
		f.ready.Store(true)
	}
	return nil
}

func (f *Feed) fold(offset int64, b Batch) error {
	if b.Seq == 0 {
		f.noteSnapshot(b)
		return nil
	}
	if offset%GateWindow == 0 {
		f.gate.Prune(offset)
	}
	if f.gate.Admit(offset, b) {
		if err := f.Fold(offset, b); err != nil {
			return err
		}
	}
	if b.Inc == f.Inc {
		f.writer.Seen(f.gate.Incs[f.Inc].Seq)
	}
	return nil
}

// Close marks an incarnation as stopped; it is called by Fold only.
func (f *Feed) Close(offset int64, inc string) { f.gate.Close(offset, inc) }
