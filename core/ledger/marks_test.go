package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMarks(t *testing.T) {
	pass := func(chainAt func(offset int64) uint64) *marks {
		m := &marks{last: -1}
		for offset := range int64(3 * MarkEvery) {
			m.pass("ledger/0", offset, chainAt(offset))
		}
		return m
	}
	equal := func(offset int64) uint64 { return uint64(offset) }
	a, b := pass(equal), pass(equal)
	latest, ok := b.latest()
	assert.Assert(t, ok)
	assert.Equal(t, latest, Mark{Stream: "ledger/0", Run: 1, Chain: 2 * MarkEvery})
	t.Run("equal folds agree", func(t *testing.T) { assert.Assert(t, !a.differs(latest)) })
	t.Run("a fold that went another way is found", func(t *testing.T) {
		c := pass(func(offset int64) uint64 { return uint64(offset) + 1 })
		assert.Assert(t, c.differs(latest))
	})
	t.Run("nothing is said about a run that was skipped", func(t *testing.T) {
		fresh := &marks{last: -1}
		fresh.pass("ledger/0", 3*MarkEvery, 1)
		assert.Assert(t, !fresh.differs(latest))
	})
}
