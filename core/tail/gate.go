package tail

// GateWindow is the number of records for which a closed incarnation is remembered,
// and the most by which the first batch of an incarnation may be late. A duplicate
// that is later than that is refused because its Base is too old, so forgetting
// is safe and needs no clock.
const GateWindow = 1 << 20

// Seen is what a Gate keeps of one incarnation.
type Seen struct {
	_ struct{} `cbor:",toarray"`
	// Seq is the last batch that was admitted.
	Seq uint64
	// Closed is the offset of the last batch of a stopped incarnation, or -1.
	Closed int64
}

// Gate admits each batch once and in order. It is part of the state of a fold.
type Gate struct {
	// Incs holds what was seen of each incarnation.
	Incs map[string]Seen
}

// NewGate returns an empty gate.
func NewGate() *Gate { return &Gate{Incs: map[string]Seen{}} }

// Admit reports whether the batch at the offset is to be folded. It is false for a
// duplicate, for a batch out of order, and for a first batch that is too late.
func (g *Gate) Admit(offset int64, b Batch) bool {
	seen, known := g.Incs[b.Inc]
	if !known {
		if b.Seq != 1 || offset-b.Base > GateWindow {
			return false
		}
		g.Incs[b.Inc] = Seen{Seq: 1, Closed: -1}
		return true
	}
	if b.Seq != seen.Seq+1 || seen.Closed >= 0 {
		return false
	}
	seen.Seq = b.Seq
	g.Incs[b.Inc] = seen
	return true
}

// Close marks an incarnation as stopped at the offset; later batches of it are dropped.
func (g *Gate) Close(offset int64, inc string) {
	seen := g.Incs[inc]
	seen.Closed = offset
	g.Incs[inc] = seen
}

// Prune forgets incarnations that were closed more than GateWindow records ago. It is
// called at offsets that all instances agree on.
func (g *Gate) Prune(offset int64) {
	for inc, seen := range g.Incs {
		if seen.Closed >= 0 && offset-seen.Closed > GateWindow {
			delete(g.Incs, inc)
		}
	}
}
