package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMarksDetectDivergedFold(t *testing.T) {
	pass := func(chainAt func(offset int64) uint64) *marks {
		m := &marks{lastOffset: -1}
		for offset := range int64(3 * MarkInterval) {
			m.record("ledger/0", offset, chainAt(offset))
		}
		return m
	}
	equal := func(offset int64) uint64 { return uint64(offset) }
	a, b := pass(equal), pass(equal)
	latest, ok := b.latest()
	assert.Assert(t, ok)
	assert.Equal(t, latest, Mark{Stream: "ledger/0", Run: 1, Chain: 2 * MarkInterval})
	t.Run("equal folds do not differ", func(t *testing.T) { assert.Assert(t, !a.differs(latest)) })
	t.Run("a diverged fold differs", func(t *testing.T) {
		c := pass(func(offset int64) uint64 { return uint64(offset) + 1 })
		assert.Assert(t, c.differs(latest))
	})
	t.Run("a skipped run does not differ", func(t *testing.T) {
		fresh := &marks{lastOffset: -1}
		fresh.record("ledger/0", 3*MarkInterval, 1)
		assert.Assert(t, !fresh.differs(latest))
	})
}
