package tail

// GateWindow is the number of records for which a closed incarnation is retained, and the
// largest distance between the Base of the first batch of an incarnation and the offset of that
// batch. Once a closed incarnation is evicted, a duplicate of its first batch is rejected because
// its Base is too old, and a duplicate of a later batch because an unknown incarnation must start
// with Seq 1. Evicting closed incarnations is therefore safe and needs no clock.
const GateWindow = 1 << 20

// IncarnationState is the state that a Gate keeps for one incarnation.
type IncarnationState struct {
	_ struct{} `cbor:",toarray"`
	// Seq is the sequence number of the last admitted batch.
	Seq uint64
	// Closed is the offset of the last batch of a stopped incarnation, or -1.
	Closed int64
}

// Gate admits each batch once and in order. It is part of the folded state of a stream.
type Gate struct {
	// Incs holds the state of each incarnation.
	Incs map[string]IncarnationState
}

// NewGate returns an empty gate.
func NewGate() *Gate { return &Gate{Incs: map[string]IncarnationState{}} }

// Admit reports whether the batch at the offset is to be folded. It returns false for a
// duplicate, for a batch out of order, for a batch of a closed incarnation, and for a first
// batch whose Base is more than GateWindow records behind its offset.
func (g *Gate) Admit(offset int64, b Batch) bool {
	seen, known := g.Incs[b.Incarnation]
	if !known {
		if b.Seq != 1 || offset-b.Base > GateWindow {
			return false
		}
		g.Incs[b.Incarnation] = IncarnationState{Seq: 1, Closed: -1}
		return true
	}
	if b.Seq != seen.Seq+1 || seen.Closed >= 0 {
		return false
	}
	seen.Seq = b.Seq
	g.Incs[b.Incarnation] = seen
	return true
}

// Close marks an incarnation as stopped at the offset; its later batches are dropped.
func (g *Gate) Close(offset int64, inc string) {
	seen := g.Incs[inc]
	seen.Closed = offset
	g.Incs[inc] = seen
}

// Prune evicts incarnations that were closed more than GateWindow records ago. It must be
// called at the same offsets by all instances.
func (g *Gate) Prune(offset int64) {
	for inc, seen := range g.Incs {
		if seen.Closed >= 0 && offset-seen.Closed > GateWindow {
			delete(g.Incs, inc)
		}
	}
}
