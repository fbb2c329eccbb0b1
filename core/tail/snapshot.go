package tail

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// KindSnapshot is the kind of items that carry a part of a snapshot.
const KindSnapshot = "snapshot"

// SnapshotPartBytes is the most state that one snapshot record carries.
const SnapshotPartBytes = 256 << 10

// MaxSnapshotParts is the most parts of a snapshot; a record that names more is none.
const MaxSnapshotParts = 4096

// maxAssemblies is the number of incomplete snapshots that are collected at a time.
const maxAssemblies = 4

// SnapshotPart is one part of the state of a fold at an offset. Parts of equal
// states are equal, whoever wrote them.
type SnapshotPart struct {
	_ struct{} `cbor:",toarray"`
	// At is the offset of the last record that the state contains.
	At int64
	// Part counts from 0 to Parts-1.
	Part, Parts int
	// Sum is the xxhash of the whole state.
	Sum uint64
	// Data is the part.
	Data []byte
}

type snapKey struct {
	at  int64
	sum uint64
}

type assembly struct {
	have  int
	parts [][]byte
}

// noteSnapshot remembers how far the newest whole snapshot reaches.
func (f *Feed) noteSnapshot(b Batch) {
	if at, _, ok := f.assemble(b); ok {
		f.lastSnap = max(f.lastSnap, at)
	}
}

// assemble collects parts and returns the state once all parts of one are there.
func (f *Feed) assemble(b Batch) (int64, []byte, bool) {
	for _, item := range b.Items {
		var p SnapshotPart
		if item.Kind != KindSnapshot || Decode(item.Body, &p) != nil || p.Part < 0 || p.Part >= p.Parts || p.Parts > MaxSnapshotParts {
			continue
		}
		if whole := f.collect(p); whole != nil {
			return p.At, whole, true
		}
	}
	return 0, nil, false
}

// collect adds one part and returns the whole state when it was the last one missing.
func (f *Feed) collect(p SnapshotPart) []byte {
	if p.At <= f.lastSnap {
		return nil
	}
	if f.parts == nil {
		f.parts = map[snapKey]*assembly{}
	}
	key := snapKey{at: p.At, sum: p.Sum}
	a := f.parts[key]
	if a == nil {
		f.makeRoom()
		a = &assembly{parts: make([][]byte, p.Parts)}
		f.parts[key] = a
	}
	if p.Part >= len(a.parts) || a.parts[p.Part] != nil {
		return nil
	}
	a.parts[p.Part] = p.Data
	if a.have++; a.have < len(a.parts) {
		return nil
	}
	f.parts = nil
	var whole []byte
	for _, part := range a.parts {
		whole = append(whole, part...)
	}
	if xxhash.Sum64(whole) != p.Sum {
		return nil
	}
	return whole
}

// makeRoom drops the oldest incomplete snapshot when there are many.
func (f *Feed) makeRoom() {
	if len(f.parts) < maxAssemblies {
		return
	}
	oldest := snapKey{at: math.MaxInt64}
	for key := range f.parts {
		if key.at < oldest.at {
			oldest = key
		}
	}
	delete(f.parts, oldest)
}

// trimmed finds a state to go on from: a snapshot in the log whose tail is kept, or
// that of a peer. It tries until the context ends.
func (f *Feed) trimmed(ctx context.Context, err *TrimmedError) (int64, error) {
	f.ready.Store(false)
	earliest := err.Earliest
	for {
		if next := f.Next(); next >= earliest {
			// A state that contains the trimmed records was adopted before.
			return next, nil
		}
		if next, ok := f.fromLog(ctx, earliest); ok {
			return next, nil
		}
		if next, ok := f.fromPeer(ctx); ok {
			return next, nil
		}
		if sleep(ctx, RetryLongest) != nil {
			return f.Next(), nil
		}
	}
}

// fromLog scans the kept records for a whole snapshot whose tail is kept.
func (f *Feed) fromLog(ctx context.Context, earliest int64) (int64, bool) {
	from := earliest
	for ctx.Err() == nil {
		page, err := f.Log.Read(ctx, f.Stream, from, 0)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			earliest, from = trimmed.Earliest, trimmed.Earliest
			continue
		}
		f.Contact(err)
		if err != nil || len(page.Entries) == 0 {
			return 0, false
		}
		for _, e := range page.Entries {
			if f.loadFrom(e, earliest) {
				return f.Next(), true
			}
			from = e.Offset + 1
		}
	}
	return 0, false
}

// loadFrom takes the state from a record that completes a snapshot.
func (f *Feed) loadFrom(e Entry, earliest int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, err := DecodeBatch(e.Data)
	if err != nil || b.Seq != 0 {
		return false
	}
	at, whole, ok := f.assemble(b)
	if !ok || at < earliest-1 || at < f.next-1 {
		return false
	}
	var st State
	if Decode(whole, &st) != nil {
		return false
	}
	return f.restore(st) == nil
}

// Adopt takes a state over when it is ahead of the own one, and reports whether it did.
func (f *Feed) Adopt(st State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return st.At >= f.next && f.restore(st) == nil
}

// fromPeer takes the state of a peer when it is ahead of the own one.
func (f *Feed) fromPeer(ctx context.Context) (int64, bool) {
	if f.Fetch == nil {
		return 0, false
	}
	st, err := f.Fetch(ctx, f.Stream)
	if err != nil {
		return 0, false
	}
	if !f.Adopt(st) {
		return 0, false
	}
	return f.Next(), true
}

// restore replaces the state; the caller holds the lock.
func (f *Feed) restore(st State) error {
	if err := f.Restore(st.At, st.Fold); err != nil {
		return fmt.Errorf("restore the state of %s at offset %d: %w", f.Stream, st.At, err)
	}
	f.gate = &Gate{Incs: st.Incs}
	if f.gate.Incs == nil {
		f.gate.Incs = map[string]Seen{}
	}
	f.next = st.At + 1
	f.lastSnap = max(f.lastSnap, st.At)
	f.writer.Seen(f.gate.Incs[f.Inc].Seq)
	f.SnapshotDone(st.At, false)
	return nil
}

// snapshotCheck is how often a due snapshot is looked for.
const snapshotCheck = time.Second

// snapshots writes a snapshot when one is due and nobody else wrote it in time.
func (f *Feed) snapshots(ctx context.Context) error {
	for sleep(ctx, snapshotCheck) == nil {
		if !f.snapshotDue() || sleep(ctx, f.SnapshotTurn()) != nil || !f.snapshotDue() {
			continue
		}
		if err := f.WriteSnapshot(ctx); err != nil {
			f.Contact(err)
		}
	}
	return nil
}

func (f *Feed) snapshotDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready.Load() && f.next-1-max(f.lastSnap, f.written) >= f.SnapshotEvery
}

// WriteSnapshot appends the present state to the stream in parts.
func (f *Feed) WriteSnapshot(ctx context.Context) error {
	st, err := f.State()
	if err != nil {
		return err
	}
	whole, err := Encode(st)
	if err != nil {
		return err
	}
	sum, parts := xxhash.Sum64(whole), (len(whole)+SnapshotPartBytes-1)/SnapshotPartBytes
	for i := range parts {
		data := whole[i*SnapshotPartBytes : min((i+1)*SnapshotPartBytes, len(whole))]
		item := NewItem(KindSnapshot, SnapshotPart{At: st.At, Part: i, Parts: parts, Sum: sum, Data: data})
		record, err := Encode(Batch{Format: BatchFormat, Inc: f.Inc, Items: []Item{item}})
		if err != nil {
			return err
		}
		if _, err := f.Log.Append(ctx, f.Stream, record); err != nil {
			return fmt.Errorf("append part %d of %d of a snapshot of %s: %w", i, parts, f.Stream, err)
		}
	}
	f.mu.Lock()
	f.written = st.At + int64(parts)
	f.mu.Unlock()
	f.SnapshotDone(st.At, true)
	return nil
}
