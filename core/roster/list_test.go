package roster_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/roster"
)

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newList() (*roster.TargetList, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	l := &roster.TargetList{Now: func() time.Time { return c.now }}
	l.Default()
	return l, c
}

func entryOf(id string, startedAtMS, sequence int64, state roster.State) roster.Entry {
	return roster.Entry{Target: roster.Target{ID: id, Addr: "10.0.0.1:80", Service: "draft", State: state}, StartedAtMS: startedAtMS, Sequence: sequence}
}

// liveIDs returns the ids of the targets that receive new requests.
func liveIDs(l *roster.TargetList) []string {
	ids := []string{}
	for _, t := range l.Targets() {
		if t.State == roster.Live {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

func assertLive(t *testing.T, l *roster.TargetList, ids ...string) {
	t.Helper()
	assert.Assert(t, slices.Equal(liveIDs(l), ids), "live targets are %v, want %v", liveIDs(l), ids)
}

// A target that announced in a response that it is leaving stays so, whatever its entry states, until it restarts.
func TestListKeepsAnnouncedLeaving(t *testing.T) {
	l, _ := newList()
	l.Put(entryOf("a", 1, 1, roster.Live))
	assert.Assert(t, !l.MarkLeaving("a", "a@7"), "another start of the target")
	assertLive(t, l, "a")
	assert.Assert(t, l.MarkLeaving("a", "a@1"))
	assert.Assert(t, !l.MarkLeaving("a", "a@1"))
	assertLive(t, l)
	l.Put(entryOf("a", 1, 9, roster.Live))
	l.Remove("a")
	l.Put(entryOf("a", 1, 10, roster.Live))
	assertLive(t, l)
	l.Put(entryOf("a", 2, 1, roster.Live))
	assertLive(t, l, "a")
}

func TestListKeepsLeavingUntilRestart(t *testing.T) {
	l, _ := newList()
	assert.Assert(t, l.Put(entryOf("a", 1, 1, roster.Live)))
	assertLive(t, l, "a")
	assert.Assert(t, l.Put(entryOf("a", 1, 5, roster.Leaving)))
	assertLive(t, l)
	t.Run("a delayed write changes nothing", func(t *testing.T) {
		assert.Assert(t, !l.Put(entryOf("a", 1, 4, roster.Live)))
		assertLive(t, l)
	})
	t.Run("leaving persists until the target restarts", func(t *testing.T) {
		l.Put(entryOf("a", 1, 9, roster.Live))
		assertLive(t, l)
	})
	t.Run("a restarted target is live", func(t *testing.T) {
		assert.Assert(t, l.Put(entryOf("a", 2, 0, roster.Live)))
		assertLive(t, l, "a")
	})
	t.Run("an entry of the previous start changes nothing", func(t *testing.T) {
		assert.Assert(t, !l.Put(entryOf("a", 1, 10, roster.Leaving)))
		assertLive(t, l, "a")
	})
}

func TestListRemoval(t *testing.T) {
	l, _ := newList()
	l.Put(entryOf("a", 1, 1, roster.Live))
	l.Put(entryOf("b", 1, 1, roster.Live))
	assert.Assert(t, l.Remove("a"))
	assertLive(t, l, "b")
	assert.Assert(t, l.Retain([]string{"c"}))
	assertLive(t, l)
}

func TestListBadEntryRemovesTarget(t *testing.T) {
	l, _ := newList()
	l.Put(entryOf("a", 1, 1, roster.Live))
	l.Put(entryOf("b", 1, 1, roster.Live))
	assert.Assert(t, l.PutInvalid("a", errors.New("a field is missing")))
	assert.Assert(t, !l.PutInvalid("x", errors.New("a field is missing")))
	assertLive(t, l, "b")
	l.Put(entryOf("a", 1, 2, roster.Live))
	assertLive(t, l, "a", "b")
}

func TestListKeepsTargetsRemovedDuringOutage(t *testing.T) {
	l, c := newList()
	l.Put(entryOf("a", 1, 1, roster.Live))
	l.Put(entryOf("b", 1, 1, roster.Live))
	l.RecordOutage()
	c.advance(time.Minute)
	l.RecordRecovery()
	assert.Assert(t, !l.Remove("a"))
	assert.Assert(t, !l.Remove("b"))
	assertLive(t, l, "a", "b")
	c.advance(time.Second)
	assert.Assert(t, !l.Expire())
	l.Put(entryOf("a", 1, 2, roster.Live))
	c.advance(time.Second + 200*time.Millisecond)
	assert.Assert(t, l.Expire())
	assertLive(t, l, "a")
}

// Guards against keeping a target beyond RecoveryGrace when its removal is read late in the grace
// period. The fault violated the DRAIN limit by 126 ms and 275 ms in standard runs.
func TestListGraceStartsAtRecovery(t *testing.T) {
	l, c := newList()
	l.Put(entryOf("a", 1, 1, roster.Live))
	l.RecordOutage()
	l.RecordRecovery()
	c.advance(roster.RecoveryGrace - time.Millisecond)
	assert.Assert(t, !l.Remove("a"))
	c.advance(time.Millisecond)
	assert.Assert(t, l.Expire())
	assertLive(t, l)
}

// TestListKeepsRemovedTargets checks that an entry that was removed does not come back with a restored copy of the list,
// but does when the target writes it again.
func TestListKeepsRemovedTargets(t *testing.T) {
	l, _ := newList()
	l.Put(entryOf("a", 1, 5, roster.Live))
	l.Remove("a")
	assert.Assert(t, !l.Put(entryOf("a", 1, 5, roster.Live)))
	assertLive(t, l)
	assert.Assert(t, l.Put(entryOf("a", 1, 6, roster.Live)))
	assertLive(t, l, "a")
}

// TestListForgetsRemovedTargets guards against memory that grows with the ids of all targets that were ever listed.
func TestListForgetsRemovedTargets(t *testing.T) {
	l, c := newList()
	for _, known := range []bool{true, false} {
		l.Put(entryOf("a", 1, 2, roster.Live))
		l.Remove("a")
		if !known {
			c.advance(2 * time.Hour)
		}
		l.Expire()
		assert.Equal(t, l.Put(entryOf("a", 1, 1, roster.Live)), !known, "an older entry counts only where the removed one is forgotten")
	}
}

// TestStartInTheFutureHidesNoTarget guards against a target that gets no requests until it starts again, because one entry stated a start in the future.
func TestStartInTheFutureHidesNoTarget(t *testing.T) {
	l, c := newList()
	l.Put(entryOf("a", 1, 1, roster.Live))
	l.Put(entryOf("a", c.now.Add(48*time.Hour).UnixMilli(), 1, roster.Live))
	l.Put(entryOf("a", 1, 2, roster.Live))
	assert.DeepEqual(t, l.Targets()[0].Incarnation, roster.Incarnation("a", 1))
}

// TestTargetOutlivesALaterStart guards against a target that is not listed as it is, for good, because one entry under its id stated a later start than its own.
func TestTargetOutlivesALaterStart(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	for name, c := range map[string]struct {
		// write writes entries after the nth heartbeat since start 5 was listed, and start is listed a minute later.
		write func(l *roster.TargetList, n int64)
		start int64
	}{
		"the target goes on":              {func(l *roster.TargetList, n int64) { l.Put(entryOf("a", 1, 1+n, roster.Live)) }, 1},
		"the later start is removed":      {func(l *roster.TargetList, n int64) { l.Remove("a"); l.Put(entryOf("a", 1, 1+n, roster.Live)) }, 1},
		"late writes of the start before": {func(l *roster.TargetList, n int64) { l.Put(entryOf("a", 1, 1+min(n, 8)+n/50, roster.Live)) }, 5},
		"the later start writes": {func(l *roster.TargetList, n int64) {
			l.Put(entryOf("a", 1, 1+n, roster.Live))
			l.Put(entryOf("a", 5, n/8, roster.Live))
		}, 5},
		"the log is restored again and again": {func(l *roster.TargetList, n int64) { l.Put(entryOf("a", 1, 1+n%3, roster.Live)) }, 5},
	} {
		t.Run(name, func(t *testing.T) {
			l, clock := newList()
			l.Put(entryOf("a", 1, 1, roster.Live))
			l.MarkLeaving("a", roster.Incarnation("a", 1))
			l.Put(entryOf("a", 5, 0, roster.Live))
			for n := int64(1); n <= 50; n++ {
				clock.advance(heartbeat)
				c.write(l, n)
			}
			assert.Equal(t, len(l.Targets()), 1)
			assert.Equal(t, l.Targets()[0].Incarnation, roster.Incarnation("a", c.start))
			assert.Equal(t, l.Targets()[0].State == roster.Leaving, c.start == 1, "the start that announced that it is leaving")
		})
	}
}
