package logs_test

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cranberryrail/core/logs"
	"cranberryrail/fake/memlog"
)

// keyValues folds the records that a follower delivers and counts its callbacks.
type keyValues struct {
	mu         sync.Mutex
	values     map[string]string
	lost, back int
	resets     int
}

func (v *keyValues) put(records []logs.Record) {
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(v.values, r.Key)
			continue
		}
		v.values[r.Key] = string(r.Value)
	}
}

func (v *keyValues) reset(records []logs.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.resets++
	v.values = map[string]string{}
	v.put(records)
}

func (v *keyValues) apply(records []logs.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.put(records)
}

func (v *keyValues) count(n *int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	*n++
}

func (v *keyValues) value(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.values[key]
}

// startFollower runs a follower of the topic "t" until the test ends and returns the values that it folds.
func startFollower(t *testing.T, s *memlog.Server) *keyValues {
	t.Helper()
	v := &keyValues{}
	f := &logs.Follower{
		Log: s.Log(), Topic: "t", Wait: 20 * time.Millisecond, MaxBackoff: 8 * time.Millisecond,
		Reset: v.reset, Apply: v.apply,
		OnOutage: func(error) { v.count(&v.lost) }, OnRecovery: func(time.Duration) { v.count(&v.back) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, g.Wait())
	})
	return v
}

func assertValues(t *testing.T, v *keyValues, want map[string]string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		v.mu.Lock()
		defer v.mu.Unlock()
		if maps.Equal(v.values, want) {
			return poll.Success()
		}
		return poll.Continue("%v", v.values)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

func TestFollowerKeepsNewestValueOfEachKey(t *testing.T) {
	s := &memlog.Server{}
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		s.Put("t", 0, key, []byte("1"))
	}
	v := startFollower(t, s)
	assertValues(t, v, map[string]string{"a": "1", "b": "1", "c": "1", "d": "1", "e": "1"})
	s.Put("t", 0, "a", []byte("2"))
	s.Put("t", 0, "b", nil)
	assertValues(t, v, map[string]string{"a": "2", "c": "1", "d": "1", "e": "1"})
}

// TestFollowerResetsAfterTrim guards against values that stay after their deletion was trimmed from the log during an
// outage.
func TestFollowerResetsAfterTrim(t *testing.T) {
	s := &memlog.Server{}
	s.Put("t", 0, "a", []byte("1"))
	var mu sync.Mutex
	down := false
	s.SetFault(func(string) memlog.Fault {
		mu.Lock()
		defer mu.Unlock()
		if down {
			return memlog.Refuse
		}
		return memlog.None
	})
	setDown := func(d bool) {
		mu.Lock()
		defer mu.Unlock()
		down = d
	}
	v := startFollower(t, s)
	assertValues(t, v, map[string]string{"a": "1"})
	setDown(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.lost == 1 {
			return poll.Success()
		}
		return poll.Continue("the follower has not reported the outage")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	s.Put("t", 0, "a", nil)
	s.Put("t", 0, "b", []byte("2"))
	s.Truncate()
	setDown(false)
	assertValues(t, v, map[string]string{"b": "2"})
	v.mu.Lock()
	defer v.mu.Unlock()
	assert.Equal(t, v.lost, 1)
	assert.Equal(t, v.back, 1)
	assert.Assert(t, v.resets >= 2)
}

// TestFollowerResetsInNewEra checks that a follower reads the newest records again when the log was restored from an older
// copy, although the offset that it reads from exists again.
func TestFollowerResetsInNewEra(t *testing.T) {
	s := &memlog.Server{Era: 1}
	s.Put("t", 0, "a", []byte("1"))
	v := startFollower(t, s)
	assertValues(t, v, map[string]string{"a": "1"})
	older := s.Copy()
	s.Put("t", 0, "b", []byte("lost"))
	assertValues(t, v, map[string]string{"a": "1", "b": "lost"})
	s.Restore(older)
	s.Put("t", 0, "c", []byte("at the same offset"))
	assertValues(t, v, map[string]string{"a": "1", "c": "at the same offset"})
}

// TestRefreshNoticesALostConnection guards against a record that arrives only after the wait of a read whose connection was lost without
// notice.
func TestRefreshNoticesALostConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &memlog.Server{}
		log := s.Log()
		read, lost := log.Read, make(chan struct{}, 1)
		log.Read = func(ctx context.Context, topic string, part int, from int64, wait time.Duration) ([]logs.Record, int64, error) {
			select {
			case lost <- struct{}{}:
				<-ctx.Done()
				return nil, 0, ctx.Err()
			default:
				return read(ctx, topic, part, from, wait)
			}
		}
		v := &keyValues{}
		f := &logs.Follower{Log: log, Topic: "t", Wait: 20 * time.Second, Reset: v.reset, Apply: v.apply, OnOutage: func(error) { v.count(&v.lost) }}
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return f.Run(ctx) })
		time.Sleep(time.Second)
		s.Put("t", 0, "a", []byte("1"))
		time.Sleep(time.Second)
		assert.Equal(t, v.value("a"), "")
		f.Refresh()
		time.Sleep(time.Second)
		assert.Equal(t, v.value("a"), "1")
		assert.Equal(t, v.lost, 0)
		cancel()
		assert.NilError(t, g.Wait())
	})
}

// TestAwaitReadAppliesRecordsAtOnce guards against a caller that acts on records that are older than its call, and against callers that end each other's reads.
func TestAwaitReadAppliesRecordsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, v := &memlog.Server{}, &keyValues{}
		slow := memlog.Before(s.Log(), func(context.Context) error { time.Sleep(10 * time.Millisecond); return nil })
		f := &logs.Follower{Log: slow, Topic: "t", Wait: time.Second, Pause: time.Hour, Reset: v.reset, Apply: v.apply}
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return f.Run(ctx) })
		time.Sleep(time.Minute)
		for n := range 50 {
			g.Go(func() error {
				time.Sleep(time.Duration(n) * time.Millisecond)
				key := strconv.Itoa(n)
				s.Put("t", 0, key, []byte("1"))
				limit, end := context.WithTimeout(ctx, 40*time.Millisecond)
				defer end()
				assert.Check(t, f.AwaitRead(limit))
				assert.Check(t, v.value(key) == "1", key)
				return nil
			})
		}
		time.Sleep(time.Second)
		cancel()
		assert.NilError(t, g.Wait())
	})
}
