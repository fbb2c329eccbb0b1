package conf_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/agent"
	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/tail"
)

// memoryLog is a configuration stream in memory whose answers may be withheld.
type memoryLog struct {
	mu      sync.Mutex
	records [][]byte
	// deaf lets reads and appends fail; an append takes effect nevertheless.
	deaf bool
}

func (l *memoryLog) set(deaf bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deaf = deaf
}

func (l *memoryLog) append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	if l.deaf {
		return 0, context.DeadlineExceeded
	}
	return int64(len(l.records)) - 1, nil
}

func (l *memoryLog) read(ctx context.Context, _ string, from int64, wait time.Duration) (tail.Page, error) {
	for end := time.Now().Add(wait); ; {
		l.mu.Lock()
		head, deaf := int64(len(l.records)), l.deaf
		l.mu.Unlock()
		page := tail.Page{Head: head}
		if deaf {
			return page, context.DeadlineExceeded
		}
		for at := from; at < head; at++ {
			page.Entries = append(page.Entries, tail.Entry{Offset: at, Data: l.records[at]})
		}
		if len(page.Entries) > 0 || ctx.Err() != nil || time.Now().After(end) {
			return page, nil
		}
		time.Sleep(time.Millisecond)
	}
}

func (l *memoryLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// keep runs a keeper until the test ends.
func keep(t *testing.T, l *memoryLog, inc string) *conf.Keeper {
	t.Helper()
	k := &conf.Keeper{System: agent.Quiet(), Feed: &tail.Feed{
		Log: tail.Log{Append: l.append, Read: l.read}, Stream: conf.Stream, Inc: inc, Linger: 20 * time.Millisecond,
	}}
	k.Default()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return k.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, g.Wait())
	})
	return k
}

// publishAll publishes side by side and returns the outcomes.
func publishAll(t *testing.T, k *conf.Keeper, all ...conf.Publish) []conf.Outcome {
	t.Helper()
	outcomes := make([]conf.Outcome, len(all))
	var g errgroup.Group
	for i, p := range all {
		g.Go(func() (err error) {
			outcomes[i], err = k.Publish(p, false)
			return err
		})
	}
	assert.NilError(t, g.Wait())
	return outcomes
}

func TestKeeperRacingOperators(t *testing.T) {
	for name, ids := range map[string][2]string{"with ids of their own": {"x", "y"}, "with the same id": {"x", "x"}} {
		t.Run(name, func(t *testing.T) {
			k := keep(t, &memoryLog{}, "a")
			outcomes := publishAll(t, k, publish(ids[0], "a", 0, "priority = 1"), publish(ids[1], "a", 0, "priority = 2"))
			if !outcomes[0].Accepted() {
				outcomes[0], outcomes[1] = outcomes[1], outcomes[0]
			}
			assert.NilError(t, outcomes[0].Err())
			assertRefused(t, outcomes[1], codes.VersionConflict, outcomes[0].Version)
		})
	}
}

func TestKeeperRepeatedPublish(t *testing.T) {
	l := &memoryLog{}
	a, b := keep(t, l, "a"), keep(t, l, "b")
	p := publish("p", "a", 0, "")
	first := publishAll(t, a, p)[0]
	assert.NilError(t, first.Err())
	t.Run("through another instance", func(t *testing.T) {
		assert.DeepEqual(t, publishAll(t, b, p)[0], first)
	})
	t.Run("while the log is out of reach", func(t *testing.T) {
		l.set(true)
		assert.DeepEqual(t, publishAll(t, a, p)[0], first)
		l.set(false)
	})
}

// TestKeeperOutcomeFromPeer shows that a publish whose reply was lost is answered when
// the state of another instance tells its outcome.
func TestKeeperOutcomeFromPeer(t *testing.T) {
	l := &memoryLog{}
	a := keep(t, l, "a")
	l.set(true)
	var outcome conf.Outcome
	var g errgroup.Group
	g.Go(func() (err error) {
		outcome, err = a.Publish(publish("p", "a", 0, ""), false)
		return err
	})
	for l.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The other instance reaches the log.
	near := &memoryLog{records: l.records[:1]}
	b := keep(t, near, "b")
	for b.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	st, err := b.Feed.State()
	assert.NilError(t, err)
	assert.Assert(t, a.Feed.Adopt(st))
	assert.NilError(t, g.Wait())
	assert.Equal(t, outcome.Version, int64(1))
	assert.Assert(t, !a.Feed.Adopt(st), "a state that is not ahead is not taken")
	assert.Equal(t, a.Version(), int64(1))
}
