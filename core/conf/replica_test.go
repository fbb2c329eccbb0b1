package conf_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/actors"
	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/tail"
)

// memoryLog is an in-memory configuration stream that can be made to fail.
type memoryLog struct {
	mu      sync.Mutex
	records [][]byte
	// failing makes reads and appends return an error; an append takes effect nevertheless, as when its reply is lost.
	failing bool
}

func (l *memoryLog) setFailing(failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = failing
}

func (l *memoryLog) append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	if l.failing {
		return 0, context.DeadlineExceeded
	}
	return int64(len(l.records)) - 1, nil
}

func (l *memoryLog) read(ctx context.Context, _ string, from int64, wait time.Duration) (tail.Page, error) {
	for end := time.Now().Add(wait); ; {
		l.mu.Lock()
		head, failing := int64(len(l.records)), l.failing
		l.mu.Unlock()
		page := tail.Page{Head: head}
		if failing {
			return page, context.DeadlineExceeded
		}
		for at := from; at < head; at++ {
			page.Records = append(page.Records, tail.Record{Offset: at, Data: l.records[at]})
		}
		if len(page.Records) > 0 || ctx.Err() != nil || time.Now().After(end) {
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

// startReplica starts a replica that runs until the test ends.
func startReplica(t *testing.T, l *memoryLog, inc string) *conf.Replica {
	t.Helper()
	replica := &conf.Replica{System: actors.NewSystem(), Feed: &tail.Feed{
		Log: tail.Log{Append: l.append, Read: l.read}, Stream: conf.Stream, Incarnation: inc, Linger: 20 * time.Millisecond,
	}}
	replica.Default()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return replica.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, g.Wait())
	})
	return replica
}

// publishAll publishes concurrently and returns the outcomes.
func publishAll(t *testing.T, replica *conf.Replica, all ...conf.PublishRequest) []conf.Outcome {
	t.Helper()
	outcomes := make([]conf.Outcome, len(all))
	var g errgroup.Group
	for i, p := range all {
		g.Go(func() (err error) {
			outcomes[i], err = replica.Publish(p, false)
			return err
		})
	}
	assert.NilError(t, g.Wait())
	return outcomes
}

func TestReplicaConcurrentChanges(t *testing.T) {
	for name, ids := range map[string][2]string{"with different ids": {"x", "y"}, "with the same id": {"x", "x"}} {
		t.Run(name, func(t *testing.T) {
			replica := startReplica(t, &memoryLog{}, "a")
			outcomes := publishAll(t, replica, publish(ids[0], "a", 0, "priority = 1"), publish(ids[1], "a", 0, "priority = 2"))
			if !outcomes[0].Accepted() {
				outcomes[0], outcomes[1] = outcomes[1], outcomes[0]
			}
			assert.NilError(t, outcomes[0].Err())
			assertRefused(t, outcomes[1], codes.VersionConflict, outcomes[0].Version)
		})
	}
}

// TestReplicaRepeatedPublish checks that a repeated publish receives the first outcome.
func TestReplicaRepeatedPublish(t *testing.T) {
	l := &memoryLog{}
	a, b := startReplica(t, l, "a"), startReplica(t, l, "b")
	p := publish("p", "a", 0, "")
	first := publishAll(t, a, p)[0]
	assert.NilError(t, first.Err())
	t.Run("a retry through another instance receives the first outcome", func(t *testing.T) {
		assert.DeepEqual(t, publishAll(t, b, p)[0], first)
	})
	t.Run("a retry while the log is unreachable receives the first outcome", func(t *testing.T) {
		l.setFailing(true)
		assert.DeepEqual(t, publishAll(t, a, p)[0], first)
		l.setFailing(false)
	})
}

// TestReplicaOutcomeFromPeer checks that a publish whose reply from the log was lost completes once the state of
// another instance contains its outcome.
func TestReplicaOutcomeFromPeer(t *testing.T) {
	l := &memoryLog{}
	a := startReplica(t, l, "a")
	l.setFailing(true)
	var outcome conf.Outcome
	var g errgroup.Group
	g.Go(func() (err error) {
		outcome, err = a.Publish(publish("p", "a", 0, ""), false)
		return err
	})
	for l.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The log is reachable for the other instance.
	reachable := &memoryLog{records: l.records[:1]}
	b := startReplica(t, reachable, "b")
	for b.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	st, err := b.Feed.State()
	assert.NilError(t, err)
	assert.Assert(t, a.Feed.Adopt(st))
	assert.NilError(t, g.Wait())
	assert.Equal(t, outcome.Version, int64(1))
	assert.Assert(t, !a.Feed.Adopt(st), "a state that is not newer is not adopted")
	assert.Equal(t, a.Version(), int64(1))
}
