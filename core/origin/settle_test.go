package origin_test

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/origin"
	"cranberryrail/fake/memlog"
)

// TestStaleListOpensNoService guards against a stream that goes on at another version than the one that began it, after an instance that was out of step for seconds
// recorded that its service has one version: another instance has listed a further one and begins streams there whose records may be late.
func TestStaleListOpensNoService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, away := &memlog.Server{}, atomic.Bool{}
		began := startTracker(t, memlog.Before(log.Log(), func(context.Context) error {
			if away.Load() {
				return errors.New("the log is away")
			}
			return nil
		}), false)
		late := startTracker(t, log.Log(), false)
		list(began, "v2")
		list(late, "v2")
		time.Sleep(origin.DefaultSettle - time.Second)
		list(began, "v2", "v3")
		time.Sleep(3 * time.Second)
		away.Store(true)
		key := origin.NewKey("org", "r1")
		if began.Begin(key, 1, origin.Origin{Service: "s", Version: "v3"}, false).Wait(t.Context()) != nil {
			return // Nothing was forwarded.
		}
		found, err := late.Find(t.Context(), key, "s")
		assert.Assert(t, err != nil || found.Version == "v3", "a stream of v3 goes on at %s; states %v", found.Version, late.States())
	})
}

// TestSilentLogRefusesInTime guards against streams that wait for each other's reads of a log that does not answer until their callers have left.
func TestSilentLogRefusesInTime(t *testing.T) {
	const callerLeaves = 2 * time.Second
	m := &origin.Tracker{Log: memlog.SilentUntil((&memlog.Server{}).Log(), time.Now().Add(time.Hour)), StreamTopic: "streams", StateTopic: "versions"}
	m.Default()
	began := time.Now()
	var g errgroup.Group
	for n := range 8 {
		g.Go(func() error {
			_, err := m.Find(t.Context(), origin.NewKey("org", strconv.Itoa(n)), "s")
			assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	assert.Assert(t, time.Since(began) < callerLeaves, "%v", time.Since(began))
}
