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

// State is the folded state of a stream together with the state of its deduplicator.
type State struct {
	_ struct{} `cbor:",toarray"`
	// At is the offset of the last record included in the state.
	At int64
	// Incarnations is the state of the deduplicator, by incarnation.
	Incarnations map[string]IncarnationState
	// Data is the state returned by Save.
	Data []byte
}

// StalledError reports that folding stopped at a record that could not be applied: its format is not supported, it is
// malformed, or applying it failed.
type StalledError struct {
	Stream string
	Offset int64
	Err    error
}

// Error implements the error interface.
func (e *StalledError) Error() string {
	return fmt.Sprintf("stream %s: folding stopped at offset %d: %v", e.Stream, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *StalledError) Unwrap() error { return e.Err }

// Feed maintains the folded state of one stream: it follows the stream, drops duplicate
// batches, appends the items of this instance, writes snapshots, and recovers from a
// snapshot or from the state of a peer when records were trimmed. Exported fields are set
// before Run.
type Feed struct {
	// Log accesses the platform's log.
	Log Log
	// Stream is the name of the stream.
	Stream string
	// Incarnation is the incarnation of this process.
	Incarnation string
	// Linger is how long a batch waits for further items before it is sent.
	Linger time.Duration
	// SnapshotEvery is the number of records after which a snapshot is due.
	SnapshotEvery int64
	// SnapshotDelay returns how long this instance waits for another one to write a due snapshot.
	SnapshotDelay func() time.Duration
	// Apply folds the batches that the deduplicator admits, in order.
	Apply func(offset int64, b Batch) error
	// Save returns the encoded folded state.
	Save func() ([]byte, error)
	// Restore replaces the folded state with one returned by Save.
	Restore func(offset int64, state []byte) error
	// Fetch returns the State of a peer; optional.
	Fetch func(ctx context.Context, stream string) (State, error)
	// OnLogResult is called with the result of each read, and with the error of each failed append; optional.
	OnLogResult func(err error)
	// OnStalled is called when folding stopped permanently; optional.
	OnStalled func(err *StalledError)
	// OnSnapshot is called with true for each snapshot written, and with false for each state restored from a snapshot
	// or from a peer; optional.
	OnSnapshot func(at int64, written bool)
	// OnSnapshotFailed is called when a due snapshot could not be written; optional.
	OnSnapshotFailed func(err error)
	// OnRestoreFailed is called after each search in vain for a state to continue from, once records that were not read are no longer retained, and
	// when a state that is ahead can't be adopted; optional.
	OnRestoreFailed func(err error)

	mu           sync.Mutex
	dedup        *Deduplicator
	next         int64
	head         int64
	ready        atomic.Bool
	stalled      *StalledError
	lastSnapshot int64
	// ownSnapshotEnd is the offset covered by the last snapshot that this instance wrote, plus
	// the number of records that carry it.
	ownSnapshotEnd int64
	assemblies     map[snapshotKey]*assembly
	writer         *Writer
}

// String returns the name of the feed for log lines.
func (f *Feed) String() string { return "feed of " + f.Stream }

// Default sets unset fields to their defaults and prepares the feed for Add.
func (f *Feed) Default() {
	if f.SnapshotEvery == 0 {
		f.SnapshotEvery = 10_000
	}
	if f.SnapshotDelay == nil {
		f.SnapshotDelay = func() time.Duration { return 0 }
	}
	if f.OnLogResult == nil {
		f.OnLogResult = func(error) {}
	}
	if f.OnStalled == nil {
		f.OnStalled = func(*StalledError) {}
	}
	if f.OnSnapshot == nil {
		f.OnSnapshot = func(int64, bool) {}
	}
	if f.OnSnapshotFailed == nil {
		f.OnSnapshotFailed = func(error) {}
	}
	if f.OnRestoreFailed == nil {
		f.OnRestoreFailed = func(error) {}
	}
	f.dedup = NewDeduplicator()
	f.lastSnapshot = -1
	f.writer = &Writer{Log: f.Log, Stream: f.Stream, Incarnation: f.Incarnation, Linger: f.Linger, Base: f.Next, OnFailure: f.OnLogResult}
	f.writer.Default()
}

// Add queues items for the stream.
func (f *Feed) Add(items ...Item) { f.writer.Add(items...) }

// Idle reports whether all added items have been read back from the stream.
func (f *Feed) Idle() bool { return f.writer.Idle() }

// Appends returns the number of appends attempted.
func (f *Feed) Appends() int64 { return f.writer.Appends() }

// Next returns the offset of the next record to fold.
func (f *Feed) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Ready reports whether the state has caught up with the head of the stream and has neither
// stalled nor hit a trimmed range since.
func (f *Feed) Ready() bool { return f.ready.Load() }

// State returns the present state, for a peer or a snapshot.
func (f *Feed) State() (State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stateLocked()
}

func (f *Feed) stateLocked() (State, error) {
	if f.stalled != nil {
		return State{}, f.stalled
	}
	fold, err := f.Save()
	if err != nil {
		return State{}, fmt.Errorf("save the folded state of stream %s: %w", f.Stream, err)
	}
	incs := make(map[string]IncarnationState, len(f.dedup.Incarnations))
	for inc, seen := range f.dedup.Incarnations {
		incs[inc] = seen
	}
	return State{At: f.next - 1, Incarnations: incs, Data: fold}, nil
}

// Run maintains the stream until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	follower := &Follower{
		Log: f.observedLog(), Stream: f.Stream, OnRecord: f.deliver, OnTrimmed: f.recoverTrimmed, OnRead: f.OnLogResult,
	}
	follower.Default()
	g.Go(func() error { return f.writer.Run(ctx) })
	g.Go(func() error { return f.follow(ctx, follower) })
	g.Go(func() error { return f.runSnapshots(ctx) })
	return g.Wait()
}

// follow runs the follower. When folding stops permanently, it blocks until the context ends, so that the
// process keeps running.
func (f *Feed) follow(ctx context.Context, follower *Follower) error {
	err := follower.Run(ctx)
	var stalled *StalledError
	if errors.As(err, &stalled) {
		f.mu.Lock()
		f.stalled = stalled
		f.ready.Store(false)
		f.mu.Unlock()
		f.OnStalled(stalled)
		<-ctx.Done()
		return nil
	}
	return err
}

// observedLog returns the log with reads that also record the head of the stream. Reads do not wait for
// records until the feed is ready.
func (f *Feed) observedLog() Log {
	log := f.Log
	log.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
		if !f.Ready() {
			wait = 0
		}
		page, err := f.Log.Read(ctx, stream, from, wait)
		if err == nil {
			f.recordHead(from, page)
		}
		return page, err
	}
	return log
}

// recordHead stores the head of the stream and marks the feed as ready when no records are left to read.
func (f *Feed) recordHead(from int64, page Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.head = page.Head
	if len(page.Records) == 0 && from == f.next && from >= page.Head {
		f.ready.Store(true)
	}
}

// deliver folds one record of the stream.
func (f *Feed) deliver(_ context.Context, e Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Offset < f.next {
		// A state that includes the record was adopted in the meantime.
		return nil
	}
	b, err := DecodeBatch(e.Data)
	var format *FormatError
	switch {
	case errors.As(err, &format):
		return &StalledError{Stream: f.Stream, Offset: e.Offset, Err: err}
	case err != nil:
		// A record that is not a batch affects no fold; every instance skips it.
		f.next = e.Offset + 1
		return nil
	}
	if err := f.applyBatch(e.Offset, b); err != nil {
		return &StalledError{Stream: f.Stream, Offset: e.Offset, Err: err}
	}
	f.next = e.Offset + 1
	if f.next >= f.head {
		f.ready.Store(true)
	}
	return nil
}

func (f *Feed) applyBatch(offset int64, b Batch) error {
	if b.Seq == 0 {
		f.recordSnapshot(b)
		return nil
	}
	if offset%DedupWindow == 0 {
		f.dedup.Prune(offset)
	}
	if f.dedup.Admit(offset, b) {
		if err := f.Apply(offset, b); err != nil {
			return err
		}
	}
	if b.Incarnation == f.Incarnation {
		f.writer.RecordReadBack(f.dedup.Incarnations[f.Incarnation].Seq)
	}
	return nil
}

// CloseIncarnation marks an incarnation as stopped; its later batches are dropped. It must be called only from within
// Apply, which runs while the feed's lock is held.
func (f *Feed) CloseIncarnation(offset int64, inc string) { f.dedup.CloseIncarnation(offset, inc) }
