package tail

// DedupWindow is the number of records for which a closed incarnation is retained, and the
// largest distance between the Base of the first batch of an incarnation and the offset of that
// batch. Once a closed incarnation is evicted, a duplicate of its first batch is rejected because
// its Base is too old, and a duplicate of a later batch because an unknown incarnation must start
// with Seq 1. Evicting closed incarnations is therefore safe and needs no clock.
const DedupWindow = 1 << 20

// IncarnationState is the state that a Deduplicator keeps for one incarnation.
type IncarnationState struct {
	_ struct{} `cbor:",toarray"`
	// Seq is the sequence number of the last admitted batch.
	Seq uint64
	// Closed is the offset of the last batch of a stopped incarnation, or -1.
	Closed int64
}

// Deduplicator admits each batch once and in order, and drops the others. It is part of the folded state of a stream.
type Deduplicator struct {
	// Incarnations holds the state of each incarnation.
	Incarnations map[string]IncarnationState
}

// NewDeduplicator returns an empty Deduplicator.
func NewDeduplicator() *Deduplicator {
	return &Deduplicator{Incarnations: map[string]IncarnationState{}}
}

// Admit reports whether the batch at the offset is to be folded. It returns false for a
// duplicate, for a batch out of order, for a batch of a closed incarnation, and for a first
// batch whose Base is more than DedupWindow records behind its offset.
func (d *Deduplicator) Admit(offset int64, b Batch) bool {
	seen, known := d.Incarnations[b.Incarnation]
	if !known {
		if b.Seq != 1 || offset-b.Base > DedupWindow {
			return false
		}
		d.Incarnations[b.Incarnation] = IncarnationState{Seq: 1, Closed: -1}
		return true
	}
	if b.Seq != seen.Seq+1 || seen.Closed >= 0 {
		return false
	}
	seen.Seq = b.Seq
	d.Incarnations[b.Incarnation] = seen
	return true
}

// CloseIncarnation marks an incarnation as stopped at the offset; its later batches are dropped.
func (d *Deduplicator) CloseIncarnation(offset int64, inc string) {
	seen := d.Incarnations[inc]
	seen.Closed = offset
	d.Incarnations[inc] = seen
}

// Prune evicts incarnations that were closed more than DedupWindow records ago. It must be
// called at the same offsets by all instances.
func (d *Deduplicator) Prune(offset int64) {
	for inc, seen := range d.Incarnations {
		if seen.Closed >= 0 && offset-seen.Closed > DedupWindow {
			delete(d.Incarnations, inc)
		}
	}
}
