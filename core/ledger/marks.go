package ledger

import (
	"slices"
	"sync"
)

// Bounds of the marks of a ledger stream.
const (
	// MarkInterval is the number of offsets between two marks.
	MarkInterval = 256
	// MaxMarks is the number of latest marks that are kept for comparison.
	MaxMarks = 64
)

// Mark is the hash over the results of a stream up to the end of a run of MarkInterval offsets. Marks of the
// same run differ between two instances only if their folds have diverged.
type Mark struct {
	// Stream is the name of the stream, and Run the index of the run of offsets.
	Stream string
	Run    int64
	Chain  uint64
}

// marks holds the latest marks of one stream; it may be used by several goroutines.
type marks struct {
	mu     sync.Mutex
	recent []Mark
	// lastOffset is the offset of the last batch; -1 before the first.
	lastOffset int64
}

// record adds a mark when the batch at offset begins a new run; chain is the hash before the batch is folded.
func (m *marks) record(stream string, offset int64, chain uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastOffset >= 0 && offset/MarkInterval != m.lastOffset/MarkInterval {
		m.recent = append(m.recent, Mark{Stream: stream, Run: m.lastOffset / MarkInterval, Chain: chain})
		m.recent = m.recent[max(0, len(m.recent)-MaxMarks):]
	}
	m.lastOffset = offset
}

// reset clears the last offset, so that the next batch is treated as the first.
func (m *marks) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastOffset = -1
}

// latest returns the latest mark, if there is one.
func (m *marks) latest() (Mark, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.recent) == 0 {
		return Mark{}, false
	}
	return m.recent[len(m.recent)-1], true
}

// differs reports whether a mark of another instance has another hash than the mark of the same run in m.
func (m *marks) differs(other Mark) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.IndexFunc(m.recent, func(own Mark) bool { return own.Run == other.Run })
	return i >= 0 && m.recent[i].Chain != other.Chain
}
