package tail_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/tail"
)

const stream = "ledger/0"

var errNoReply = errors.New("no answer")

// fakeLog is an in-memory stream; onAppend, if set, determines the result of each append.
type fakeLog struct {
	mu       sync.Mutex
	earliest int64
	records  [][]byte
	appends  int
	onAppend func(n int, write func()) error
}

func (l *fakeLog) log() tail.Log { return tail.Log{Append: l.append, Read: l.read} }

func (l *fakeLog) write(data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	return l.earliest + int64(len(l.records)) - 1
}

func (l *fakeLog) append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	l.appends++
	n := l.appends
	l.mu.Unlock()
	if l.onAppend == nil {
		return l.write(data), nil
	}
	return -1, l.onAppend(n, func() { l.write(data) })
}

func (l *fakeLog) read(ctx context.Context, _ string, from int64, wait time.Duration) (tail.Page, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.earliest {
		return tail.Page{}, &tail.TrimmedError{Stream: stream, From: from, Earliest: l.earliest}
	}
	page := tail.Page{Head: l.earliest + int64(len(l.records))}
	for offset := from; offset < page.Head; offset++ {
		page.Records = append(page.Records, tail.Record{Offset: offset, Data: l.records[offset-l.earliest]})
	}
	return page, nil
}

func (l *fakeLog) trim(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	drop := len(l.records) - keep
	l.earliest += int64(drop)
	l.records = l.records[drop:]
}

// recordingFold is a fold that records the kinds of the items in order.
type recordingFold struct{ kinds []string }

func (l *recordingFold) feed(log *fakeLog, inc string) *tail.Feed {
	f := &tail.Feed{
		Log: log.log(), Stream: stream, Incarnation: inc,
		Apply: func(_ int64, b tail.Batch) error {
			for _, item := range b.Items {
				if item.Kind == "broken" {
					return errNoReply
				}
				l.kinds = append(l.kinds, item.Kind)
			}
			return nil
		},
		Save: func() ([]byte, error) { return tail.Encode(l.kinds) },
		Restore: func(_ int64, state []byte) error {
			l.kinds = nil
			return tail.Decode(state, &l.kinds)
		},
	}
	f.Default()
	return f
}

func item(kind string) tail.Item { return tail.NewItem(kind, 0) }

func record(t *testing.T, b tail.Batch) []byte {
	t.Helper()
	data, err := tail.Encode(b)
	assert.NilError(t, err)
	return data
}

// runFeeds runs feeds for the given virtual time.
func runFeeds(t *testing.T, d time.Duration, feeds ...*tail.Feed) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range feeds {
		g.Go(func() error { return f.Run(ctx) })
	}
	assert.NilError(t, g.Wait())
}

func assertFolded(t *testing.T, l *recordingFold, want ...string) {
	t.Helper()
	assert.DeepEqual(t, l.kinds, want)
}

func assertRecordCount(t *testing.T, l *fakeLog, want int) {
	t.Helper()
	assert.Equal(t, len(l.records), want)
}

func TestWriterRetriesFailedAppends(t *testing.T) {
	cases := map[string]struct {
		onAppend func(n int, write func()) error
		records  int
	}{
		"reply lost": {records: 2, onAppend: func(n int, write func()) error {
			write()
			if n == 1 {
				return errNoReply
			}
			return nil
		}},
		"reply lost and read back late": {records: 2, onAppend: func(n int, write func()) error {
			time.AfterFunc(250*time.Millisecond, write)
			return map[bool]error{true: errNoReply}[n == 1]
		}},
		"appended late and twice": {records: 4, onAppend: func(n int, write func()) error {
			if n > 1 {
				write()
				return nil
			}
			time.AfterFunc(30*time.Second, write)
			time.AfterFunc(40*time.Second, write)
			return errNoReply
		}},
		"long outage followed by slow appends": {records: 2, onAppend: func(n int, write func()) error {
			if n < 30 {
				time.Sleep(time.Second)
				return errNoReply
			}
			time.Sleep(2 * time.Second)
			write()
			time.Sleep(2 * time.Second)
			return nil
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, l := &fakeLog{onAppend: c.onAppend}, &recordingFold{}
				f := l.feed(log, "a")
				f.Add(item("one"))
				time.AfterFunc(20*time.Second, func() { f.Add(item("two")) })
				runFeeds(t, 5*time.Minute, f)
				assertFolded(t, l, "one", "two")
				assert.Assert(t, f.Idle())
				assertRecordCount(t, log, max(c.records, len(log.records)))
			})
		})
	}
}

func TestWriterKeepsOneAppendInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, l := &fakeLog{}, &recordingFold{}
		f := l.feed(log, "a")
		log.onAppend = func(int, func()) error {
			time.Sleep(time.Second)
			return errNoReply
		}
		f.Add(item("one"))
		time.AfterFunc(5*time.Second, func() { f.Add(item("two")) })
		runFeeds(t, time.Minute, f)
		assert.Equal(t, f.Appends(), int64(log.appends))
		assertRecordCount(t, log, 0)
	})
}

// TestWriterRenewsBaseOfFirstBatch checks that Base is renewed when the first batch is resent. Otherwise
// the deduplicator would reject the batch if more than DedupWindow records of others were appended meanwhile.
func TestWriterRenewsBaseOfFirstBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base := int64(5)
		var sent []int64
		w := &tail.Writer{Stream: stream, Incarnation: "a", Base: func() int64 { return base }}
		w.Log.Append = func(_ context.Context, _ string, data []byte) (int64, error) {
			b, err := tail.DecodeBatch(data)
			assert.NilError(t, err)
			sent = append(sent, b.Base)
			if base == 5 {
				base += 2 * tail.DedupWindow
				return 0, errNoReply
			}
			w.RecordReadBack(1)
			return 0, nil
		}
		w.Default()
		w.Add(item("one"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		assert.NilError(t, w.Run(ctx))
		assert.DeepEqual(t, sent, []int64{5, 5 + 2*tail.DedupWindow})
	})
}

func TestGateAdmit(t *testing.T) {
	assertAdmits := func(t *testing.T, g *tail.Deduplicator, want bool, offset int64, seq uint64, base int64) {
		t.Helper()
		assert.Equal(t, g.Admit(offset, tail.Batch{Incarnation: "a", Seq: seq, Base: base}), want)
	}
	t.Run("each batch once and in order", func(t *testing.T) {
		g := tail.NewDeduplicator()
		assertAdmits(t, g, false, 0, 2, 0)
		assertAdmits(t, g, true, 1, 1, 0)
		assertAdmits(t, g, false, 2, 1, 0)
		assertAdmits(t, g, false, 3, 3, 0)
		assertAdmits(t, g, true, 4, 2, 0)
		assertAdmits(t, g, false, 5, 1, 0)
	})
	t.Run("no batch after Close, also after Prune", func(t *testing.T) {
		g := tail.NewDeduplicator()
		assertAdmits(t, g, true, 1, 1, 0)
		g.CloseIncarnation(1, "a")
		assertAdmits(t, g, false, 2, 2, 0)
		g.Prune(2 + tail.DedupWindow)
		assert.Equal(t, len(g.Incarnations), 0)
		assertAdmits(t, g, false, 3+tail.DedupWindow, 1, 0)
	})
}

// writeBatches appends the batches numbered from up to, but not including, to; each has its own incarnation.
func writeBatches(t *testing.T, log *fakeLog, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		log.write(record(t, tail.Batch{Format: tail.BatchFormat, Incarnation: fmt.Sprint("w", i), Seq: 1, Items: []tail.Item{item(fmt.Sprint("k", i))}}))
	}
}

func kindsUpTo(n int) []string {
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, fmt.Sprint("k", i))
	}
	return out
}

func TestFeedRecoversFromTrim(t *testing.T) {
	t.Run("continues from a snapshot and drops duplicates of records it includes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log, old, fresh := &fakeLog{}, &recordingFold{}, &recordingFold{}
			writeBatches(t, log, 0, 10)
			a, b := old.feed(log, "a"), fresh.feed(log, "b")
			runFeeds(t, time.Second, a)
			assert.NilError(t, a.WriteSnapshot(context.Background()))
			duplicate := log.records[3]
			log.trim(1)
			log.write(duplicate)
			writeBatches(t, log, 10, 12)
			runFeeds(t, 5*time.Second, b)
			assertFolded(t, fresh, kindsUpTo(12)...)
			assert.Assert(t, b.Ready())
		})
	})
	t.Run("a snapshot of a lagging instance does not revert the state", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log, slow, quick, fresh := &fakeLog{}, &recordingFold{}, &recordingFold{}, &recordingFold{}
			writeBatches(t, log, 0, 5)
			a, b := slow.feed(log, "a"), quick.feed(log, "b")
			runFeeds(t, time.Second, a)
			writeBatches(t, log, 5, 10)
			runFeeds(t, time.Second, b)
			assert.NilError(t, b.WriteSnapshot(context.Background()))
			assert.NilError(t, a.WriteSnapshot(context.Background()))
			runFeeds(t, 2*time.Second, b)
			assertFolded(t, quick, kindsUpTo(10)...)
			log.trim(3)
			c := fresh.feed(log, "c")
			runFeeds(t, 5*time.Second, c)
			assertFolded(t, fresh, kindsUpTo(10)...)
		})
	})
	t.Run("continues from the state of a peer when the log has no snapshot", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log, old, fresh := &fakeLog{}, &recordingFold{}, &recordingFold{}
			writeBatches(t, log, 0, 10)
			a, b := old.feed(log, "a"), fresh.feed(log, "b")
			runFeeds(t, time.Second, a)
			log.trim(1)
			runFeeds(t, 10*time.Second, b)
			assert.Assert(t, !b.Ready())
			b.Fetch = func(context.Context, string) (tail.State, error) { return a.State() }
			runFeeds(t, 10*time.Second, b)
			assertFolded(t, fresh, kindsUpTo(10)...)
			assert.Assert(t, b.Ready())
		})
	})
}

// TestFeedStallsAtUnreadableRecord guards against folding the records after one that can't be read: the state would
// diverge from that of other instances. Feeds of other logs must continue.
func TestFeedStallsAtUnreadableRecord(t *testing.T) {
	newer := tail.Batch{Format: tail.BatchFormat + 1, Incarnation: "z", Seq: 1}
	broken := tail.Batch{Format: tail.BatchFormat, Incarnation: "z", Seq: 1, Items: []tail.Item{item("half"), item("broken")}}
	for name, b := range map[string]tail.Batch{"unknown batch format": newer, "undecodable item": broken} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, other, l := &fakeLog{}, &fakeLog{}, &recordingFold{}
				writeBatches(t, log, 0, 2)
				writeBatches(t, other, 0, 2)
				log.write(record(t, b))
				writeBatches(t, log, 2, 4)
				f, g := l.feed(log, "a"), (&recordingFold{}).feed(other, "a")
				var stalled *tail.StalledError
				f.OnStalled = func(err *tail.StalledError) { stalled = err }
				runFeeds(t, 5*time.Second, f, g)
				assert.Assert(t, stalled != nil)
				assert.Equal(t, stalled.Offset, int64(2))
				assert.Assert(t, strings.Contains(stalled.Error(), stream))
				assert.Assert(t, !f.Ready())
				assert.Equal(t, f.Next(), int64(2))
				_, err := f.State()
				assert.Assert(t, errors.As(err, &stalled))
				assert.Assert(t, g.Ready())
			})
		})
	}
}

// TestFeedReadyUnderSteadyLoad guards against a feed that never becomes ready because each read finds a new record.
func TestFeedReadyUnderSteadyLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, l := &fakeLog{}, &recordingFold{}
		f := l.feed(log, "a")
		n := 0
		read := f.Log.Read
		f.Log.Read = func(ctx context.Context, s string, from int64, wait time.Duration) (tail.Page, error) {
			writeBatches(t, log, n, n+1)
			n++
			return read(ctx, s, from, wait)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		time.AfterFunc(500*time.Millisecond, cancel)
		f.Log.Append = nil
		assert.NilError(t, f.Run(ctx))
		assert.Assert(t, f.Ready())
	})
}
