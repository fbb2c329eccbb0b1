package ledger

import (
	"slices"
	"sync"
)

// Marks of a ledger stream.
const (
	// MarkEvery is the number of offsets between two marks.
	MarkEvery = 256
	// MarksKept is the number of latest marks that are kept for comparison.
	MarksKept = 64
)

// Mark is the hash over the results of a stream up to the end of a run of MarkEvery
// offsets. Two instances whose marks of the same run differ have folded differently.
type Mark struct {
	// Stream is the stream, and Run the number of the run of offsets.
	Stream string
	Run    int64
	Chain  uint64
}

// marks holds the latest marks of one stream; it may be used by several goroutines.
type marks struct {
	mu   sync.Mutex
	kept []Mark
	// last is the offset of the last batch; -1 before the first.
	last int64
}

// pass notes the batch at an offset; chain is the hash before it is folded.
func (m *marks) pass(stream string, offset int64, chain uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.last >= 0 && offset/MarkEvery != m.last/MarkEvery {
		m.kept = append(m.kept, Mark{Stream: stream, Run: m.last / MarkEvery, Chain: chain})
		m.kept = m.kept[max(0, len(m.kept)-MarksKept):]
	}
	m.last = offset
}

// restored forgets where the stream was; the next batch begins anew.
func (m *marks) restored() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last = -1
}

// latest returns the last mark, if there is one.
func (m *marks) latest() (Mark, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.kept) == 0 {
		return Mark{}, false
	}
	return m.kept[len(m.kept)-1], true
}

// differs reports whether a mark of another instance contradicts one of these.
func (m *marks) differs(other Mark) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.IndexFunc(m.kept, func(own Mark) bool { return own.Run == other.Run })
	return i >= 0 && m.kept[i].Chain != other.Chain
}
