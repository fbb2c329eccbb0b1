package roster_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/roster"
)

// clock is a clock that is set by hand.
type clock struct{ now time.Time }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newList() (*roster.List, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	l := &roster.List{Now: func() time.Time { return c.now }}
	l.Default()
	return l, c
}

func entryOf(id string, born, sequence int64, state roster.State) roster.Entry {
	return roster.Entry{Target: roster.Target{ID: id, Addr: "10.0.0.1:80", Service: "draft", State: state}, Born: born, Sequence: sequence}
}

// takingWork returns the ids of the targets that get new work.
func takingWork(l *roster.List) []string {
	ids := []string{}
	for _, t := range l.Targets() {
		if t.State == roster.Live {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

func assertTakingWork(t *testing.T, l *roster.List, ids ...string) {
	t.Helper()
	assert.Assert(t, slices.Equal(takingWork(l), ids), "%v take work, want %v", takingWork(l), ids)
}

func TestListLeaving(t *testing.T) {
	l, _ := newList()
	assert.Assert(t, l.Put(entryOf("a", 1, 1, roster.Live)))
	assertTakingWork(t, l, "a")
	assert.Assert(t, l.Put(entryOf("a", 1, 5, roster.Leaving)))
	assertTakingWork(t, l)
	t.Run("a write that was delayed changes nothing", func(t *testing.T) {
		assert.Assert(t, !l.Put(entryOf("a", 1, 4, roster.Live)))
		assertTakingWork(t, l)
	})
	t.Run("leaving holds for this start", func(t *testing.T) {
		l.Put(entryOf("a", 1, 9, roster.Live))
		assertTakingWork(t, l)
	})
	t.Run("a new start takes work", func(t *testing.T) {
		assert.Assert(t, l.Put(entryOf("a", 2, 0, roster.Live)))
		assertTakingWork(t, l, "a")
	})
	t.Run("an entry of the former start changes nothing", func(t *testing.T) {
		assert.Assert(t, !l.Put(entryOf("a", 1, 10, roster.Leaving)))
		assertTakingWork(t, l, "a")
	})
}

func TestListRemoval(t *testing.T) {
	l, _ := newList()
	l.Put(entryOf("a", 1, 1, roster.Live))
	l.Put(entryOf("b", 1, 1, roster.Live))
	assert.Assert(t, l.Gone("a"))
	assertTakingWork(t, l, "b")
	assert.Assert(t, l.Missing([]string{"c"}))
	assertTakingWork(t, l)
}

func TestListBadEntryNamesNoTarget(t *testing.T) {
	l, _ := newList()
	l.Put(entryOf("a", 1, 1, roster.Live))
	l.Put(entryOf("b", 1, 1, roster.Live))
	assert.Assert(t, l.Bad("a", errors.New("a field is missing")))
	assert.Assert(t, !l.Bad("x", errors.New("a field is missing")))
	assertTakingWork(t, l, "b")
	l.Put(entryOf("a", 1, 2, roster.Live))
	assertTakingWork(t, l, "a", "b")
}

func TestListKeepsWhatLapsedInAnOutage(t *testing.T) {
	l, c := newList()
	l.Put(entryOf("a", 1, 1, roster.Live))
	l.Put(entryOf("b", 1, 1, roster.Live))
	l.Away()
	c.advance(time.Minute)
	l.Back()
	assert.Assert(t, !l.Gone("a"))
	assert.Assert(t, !l.Gone("b"))
	assertTakingWork(t, l, "a", "b")
	c.advance(time.Second)
	assert.Assert(t, !l.Expire())
	l.Put(entryOf("a", 1, 2, roster.Live))
	c.advance(time.Second + 200*time.Millisecond)
	assert.Assert(t, l.Expire())
	assertTakingWork(t, l, "a")
}

// A removal that is read late in the grace must not be held beyond it: seen as DRAIN broken
// by 126 ms and 275 ms on standard days.
func TestListGraceEndsWithTheReturn(t *testing.T) {
	l, c := newList()
	l.Put(entryOf("a", 1, 1, roster.Live))
	l.Away()
	l.Back()
	c.advance(roster.ReturnGrace - time.Millisecond)
	assert.Assert(t, !l.Gone("a"))
	c.advance(time.Millisecond)
	assert.Assert(t, l.Expire())
	assertTakingWork(t, l)
}
