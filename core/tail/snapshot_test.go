package tail_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/tail"
)

// TestSnapshotPartOverMaxPartsIsIgnored guards against allocating memory for the number of parts that a record claims.
func TestSnapshotPartOverMaxPartsIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, log := &recordingFold{}, &fakeLog{}
		part := tail.SnapshotPart{At: 1, Part: 0, Parts: 1 << 60, Sum: 1}
		log.write(record(t, tail.Batch{Format: tail.BatchFormat, Incarnation: "x", Items: []tail.Item{tail.NewItem(tail.KindSnapshot, part)}}))
		f := l.feed(log, "a")
		runFeeds(t, 5*time.Second, f)
		assert.Equal(t, f.Next(), int64(1))
	})
}

// TestSnapshotWrittenOnceWhileReadsLag guards against writing further snapshots until the first is read back.
func TestSnapshotWrittenOnceWhileReadsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lag = 10 * time.Second
		l, log := &recordingFold{}, &fakeLog{}
		for seq := range uint64(30) {
			log.write(record(t, tail.Batch{Format: tail.BatchFormat, Incarnation: "w", Seq: seq + 1, Items: []tail.Item{item("x")}}))
		}
		f := l.feed(log, "a")
		f.SnapshotEvery = 10
		inner := f.Log.Read
		f.Log.Read = func(ctx context.Context, s string, from int64, wait time.Duration) (tail.Page, error) {
			page, err := inner(ctx, s, from, wait)
			select {
			case <-time.After(lag):
			case <-ctx.Done():
			}
			return page, err
		}
		runFeeds(t, time.Minute, f)
		assertRecordCount(t, log, 31)
	})
}

// TestConcurrentSnapshotsOutliveRetention guards against the loss of a state when two instances write a snapshot before
// either has read the other's, and the log retains only the second one. The state must remain at the instance that
// wrote the first one, and a later snapshot of it must make the state loadable again.
func TestConcurrentSnapshotsOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{}
		first, second, third := &recordingFold{}, &recordingFold{}, &recordingFold{}
		a, b, c := first.feed(log, "a"), second.feed(log, "b"), third.feed(log, "c")
		log.write(record(t, tail.Batch{Format: tail.BatchFormat, Incarnation: "w", Seq: 1, Items: []tail.Item{item("x")}}))
		runFeeds(t, 5*time.Second, a, b)
		assert.NilError(t, a.WriteSnapshot(t.Context()))
		assert.NilError(t, b.WriteSnapshot(t.Context()))
		log.trim(1)
		runFeeds(t, 5*time.Second, a)
		assert.Assert(t, a.Ready())
		assert.NilError(t, a.WriteSnapshot(t.Context()))
		log.trim(1)
		runFeeds(t, 5*time.Second, c)
		assertFolded(t, third, "x")
	})
}

// TestLocalFailuresAreReported guards against a state that can't be saved or restored and counts as an unreachable log, or leaves no trace.
func TestLocalFailuresAreReported(t *testing.T) {
	errLocal := errors.New("the state can't be encoded")
	for name, trims := range map[string]bool{"no snapshot is written": false, "no state is found": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, fold := &fakeLog{}, &recordingFold{}
				f := fold.feed(log, "a")
				writeBatches(t, log, 0, 10)
				if trims {
					assert.NilError(t, fold.feed(log, "b").WriteSnapshot(t.Context()))
					log.trim(1)
				}
				var failures []error
				count := func(err error) { failures = append(failures, err) }
				f.SnapshotEvery, f.OnSnapshotFailed, f.OnRestoreFailed = 1, count, count
				f.OnLogResult = func(err error) {
					var trimmed *tail.TrimmedError
					assert.Assert(t, err == nil || errors.As(err, &trimmed), "%v", err)
				}
				f.Save = func() ([]byte, error) { return nil, errLocal }
				runFeeds(t, 10*time.Second, f)
				assert.Assert(t, len(failures) > 0 && len(failures) < 20, "%d failures", len(failures))
				assert.Assert(t, trims || errors.Is(failures[0], errLocal), "%v", failures[0])
			})
		})
	}
}

// TestUnusableStateIsReported guards against a newer state of another instance that is dropped in silence. An older one is of no interest.
func TestUnusableStateIsReported(t *testing.T) {
	f, failures := (&recordingFold{}).feed(&fakeLog{}, "a"), 0
	f.OnRestoreFailed = func(error) { failures++ }
	assert.Assert(t, !f.Adopt(tail.State{At: -1}))
	assert.Equal(t, failures, 0)
	assert.Assert(t, !f.Adopt(tail.State{At: 5, Data: []byte("no state")}))
	assert.Equal(t, failures, 1)
}
