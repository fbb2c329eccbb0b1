package tail

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// KindSnapshot is the kind of items that carry one part of a snapshot.
const KindSnapshot = "snapshot"

// SnapshotPartBytes is the maximum size of the state carried by one snapshot record.
const SnapshotPartBytes = 256 << 10

// MaxSnapshotParts is the maximum number of parts of a snapshot; records that claim more are ignored.
const MaxSnapshotParts = 4096

// maxAssemblies is the maximum number of incomplete snapshots that are assembled at the same time.
const maxAssemblies = 4

// SnapshotPart is one part of the state of a stream at an offset. Instances with equal states
// write equal parts.
type SnapshotPart struct {
	_ struct{} `cbor:",toarray"`
	// At is the offset of the last record included in the state.
	At int64
	// Part is the index of the part, from 0 to Parts-1.
	Part, Parts int
	// Sum is the xxhash of the complete encoded state.
	Sum uint64
	// Data is this part of the encoded state.
	Data []byte
}

type snapshotKey struct {
	at  int64
	sum uint64
}

type assembly struct {
	received int
	parts    [][]byte
}

// recordSnapshot records the offset of the newest complete snapshot.
func (f *Feed) recordSnapshot(b Batch) {
	if at, _, ok := f.assemble(b); ok {
		f.lastSnapshot = max(f.lastSnapshot, at)
	}
}

// assemble collects snapshot parts and returns the offset and the encoded state of a snapshot once all its
// parts have arrived.
func (f *Feed) assemble(b Batch) (int64, []byte, bool) {
	for _, item := range b.Items {
		var p SnapshotPart
		if item.Kind != KindSnapshot || Decode(item.Body, &p) != nil || p.Part < 0 || p.Part >= p.Parts || p.Parts > MaxSnapshotParts {
			continue
		}
		if state := f.collect(p); state != nil {
			return p.At, state, true
		}
	}
	return 0, nil, false
}

// collect adds one part and returns the complete encoded state if it was the last missing part and the checksum is
// right. It collects up to maxAssemblies snapshots at a time, dropping the oldest for a further one, and ignores parts
// of snapshots that are not newer than the last one. The last missing part of a snapshot also drops all other
// incomplete snapshots, even if the checksum is wrong.
func (f *Feed) collect(p SnapshotPart) []byte {
	if p.At <= f.lastSnapshot {
		return nil
	}
	if f.assemblies == nil {
		f.assemblies = map[snapshotKey]*assembly{}
	}
	key := snapshotKey{at: p.At, sum: p.Sum}
	a := f.assemblies[key]
	if a == nil {
		f.evictOldestAssembly()
		a = &assembly{parts: make([][]byte, p.Parts)}
		f.assemblies[key] = a
	}
	if p.Part >= len(a.parts) || a.parts[p.Part] != nil {
		return nil
	}
	a.parts[p.Part] = p.Data
	if a.received++; a.received < len(a.parts) {
		return nil
	}
	f.assemblies = nil
	var state []byte
	for _, part := range a.parts {
		state = append(state, part...)
	}
	if xxhash.Sum64(state) != p.Sum {
		return nil
	}
	return state
}

// evictOldestAssembly drops the oldest incomplete snapshot when maxAssemblies are in progress.
func (f *Feed) evictOldestAssembly() {
	if len(f.assemblies) < maxAssemblies {
		return
	}
	oldest := snapshotKey{at: math.MaxInt64}
	for key := range f.assemblies {
		if key.at < oldest.at {
			oldest = key
		}
	}
	delete(f.assemblies, oldest)
}

var (
	errNoSnapshot = errors.New("the log retains no complete snapshot to continue from")
	errNoPeer     = errors.New("there is no instance to fetch the state from")
)

// recoverTrimmed restores a state to continue from: a snapshot in the log for which all later
// records are retained, or the state of a peer. It retries until the context ends.
func (f *Feed) recoverTrimmed(ctx context.Context, err *TrimmedError) (int64, error) {
	f.ready.Store(false)
	earliest := err.Earliest
	for {
		if next := f.Next(); next >= earliest {
			// A state that includes the trimmed records was already adopted.
			return next, nil
		}
		logErr := f.restoreFromLog(ctx, earliest)
		if logErr == nil {
			return f.Next(), nil
		}
		peerErr := f.restoreFromPeer(ctx)
		if peerErr == nil {
			return f.Next(), nil
		}
		if ctx.Err() == nil {
			f.OnRestoreFailed(errors.Join(logErr, peerErr))
		}
		if sleep(ctx, RetryMax) != nil {
			return f.Next(), nil
		}
	}
}

// restoreFromLog scans the retained records for a complete snapshot for which all later records are retained.
func (f *Feed) restoreFromLog(ctx context.Context, earliest int64) error {
	from, failed := earliest, errNoSnapshot
	for ctx.Err() == nil {
		page, err := f.Log.Read(ctx, f.Stream, from, 0)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			earliest, from = trimmed.Earliest, trimmed.Earliest
			continue
		}
		f.OnLogResult(err)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return failed
		}
		for _, e := range page.Records {
			restored, err := f.restoreFromRecord(e, earliest)
			if restored {
				return nil
			}
			if err != nil {
				failed = err
			}
			from = e.Offset + 1
		}
	}
	return ctx.Err()
}

// restoreFromRecord restores the state, and reports whether it did, if the record completes a snapshot that is not behind
// the present state.
func (f *Feed) restoreFromRecord(e Record, earliest int64) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, _ := DecodeBatch(e.Data) // a record that is no batch has no items
	if b.Seq != 0 {
		return false, nil
	}
	at, encoded, ok := f.assemble(b)
	if !ok || at < earliest-1 || at < f.next-1 {
		return false, nil
	}
	var st State
	if err := Decode(encoded, &st); err != nil {
		return false, err
	}
	err := f.restore(st)
	return err == nil, err
}

// Adopt replaces the state if the given one is ahead of it, and reports whether it did.
func (f *Feed) Adopt(st State) bool {
	err := f.adopt(st)
	if err != nil && !errors.Is(err, errBehind) {
		f.OnRestoreFailed(err)
	}
	return err == nil
}

var errBehind = errors.New("the state is not ahead of the present one")

func (f *Feed) adopt(st State) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if st.At < f.next {
		return fmt.Errorf("adopt a state of stream %s at offset %d: %w", f.Stream, st.At, errBehind)
	}
	return f.restore(st)
}

// restoreFromPeer adopts the state of a peer if it is ahead of the present one.
func (f *Feed) restoreFromPeer(ctx context.Context) error {
	if f.Fetch == nil {
		return errNoPeer
	}
	st, err := f.Fetch(ctx, f.Stream)
	if err != nil {
		return err
	}
	return f.adopt(st)
}

// restore replaces the state; the caller holds the lock.
func (f *Feed) restore(st State) error {
	if err := f.Restore(st.At, st.Data); err != nil {
		return fmt.Errorf("restore the state of stream %s at offset %d: %w", f.Stream, st.At, err)
	}
	f.dedup = &Deduplicator{Incarnations: st.Incarnations}
	if f.dedup.Incarnations == nil {
		f.dedup.Incarnations = map[string]IncarnationState{}
	}
	f.next = st.At + 1
	f.lastSnapshot = max(f.lastSnapshot, st.At)
	f.writer.RecordReadBack(f.dedup.Incarnations[f.Incarnation].Seq)
	f.OnSnapshot(st.At, false)
	return nil
}

// snapshotCheckInterval is the interval at which the feed checks whether a snapshot is due.
const snapshotCheckInterval = time.Second

// runSnapshots writes a snapshot when one is due and no other instance has written it within SnapshotDelay.
func (f *Feed) runSnapshots(ctx context.Context) error {
	for sleep(ctx, snapshotCheckInterval) == nil {
		if !f.snapshotDue() || sleep(ctx, f.SnapshotDelay()) != nil || !f.snapshotDue() {
			continue
		}
		if err := f.WriteSnapshot(ctx); err != nil {
			f.OnSnapshotFailed(err)
		}
	}
	return nil
}

func (f *Feed) snapshotDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready.Load() && f.next-1-max(f.lastSnapshot, f.ownSnapshotEnd) >= f.SnapshotEvery
}

// WriteSnapshot appends the present state to the stream as a snapshot in parts.
func (f *Feed) WriteSnapshot(ctx context.Context) error {
	st, err := f.State()
	if err != nil {
		return err
	}
	encoded, err := Encode(st)
	if err != nil {
		return err
	}
	sum, parts := xxhash.Sum64(encoded), (len(encoded)+SnapshotPartBytes-1)/SnapshotPartBytes
	for i := range parts {
		data := encoded[i*SnapshotPartBytes : min((i+1)*SnapshotPartBytes, len(encoded))]
		item := NewItem(KindSnapshot, SnapshotPart{At: st.At, Part: i, Parts: parts, Sum: sum, Data: data})
		record, err := Encode(Batch{Format: BatchFormat, Incarnation: f.Incarnation, Items: []Item{item}})
		if err != nil {
			return err
		}
		offset, err := f.Log.Append(ctx, f.Stream, record)
		if err != nil {
			f.OnLogResult(err)
			return fmt.Errorf("append part %d of %d of a snapshot of stream %s: %w", i, parts, f.Stream, err)
		}
		f.skipOwnRecord(offset)
	}
	f.mu.Lock()
	f.ownSnapshotEnd = st.At + int64(parts)
	f.lastSnapshot = max(f.lastSnapshot, st.At)
	f.mu.Unlock()
	f.OnSnapshot(st.At, true)
	return nil
}

// skipOwnRecord advances past the next record if it is the given one, which this instance appended as part of a
// snapshot and which therefore affects no fold. Otherwise this instance would lose its state if a snapshot of another
// instance, written at the same time, trimmed the record before it was read.
func (f *Feed) skipOwnRecord(offset int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset == f.next {
		f.next = offset + 1
	}
}
