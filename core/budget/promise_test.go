package budget_test

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/fake/memlog"
)

// startWithPromise starts a process that has promised most of its holding.
func startWithPromise(t *testing.T, f *fleet) *member {
	t.Helper()
	m := f.start("i-0")
	for range 4 {
		assert.NilError(t, m.syncer.Sync(t.Context()))
		f.now = f.now.Add(500 * time.Millisecond)
	}
	assert.NilError(t, m.syncer.Sync(t.Context()))
	assert.Assert(t, m.book.Balance("travel").Promised > paid/40, "%+v", m.book.Balance("travel"))
	return m
}

// TestSuccessorTakesOver checks that a successor takes over the promised tokens of a killed process
// if it starts on the same boot before the promise expires, however long it can't reach the log.
// After a reboot, or when the process may have spent the tokens, they count as spent.
func TestSuccessorTakesOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		away  time.Duration
		boot  bool
		taken bool
	}{
		{"takes over at once", 0, false, true},
		{"takes over after 2 s", 2 * time.Second, false, true},
		{"does not take over after 3 s", 3 * time.Second, false, false},
		{"does not take over after a reboot", 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
			killed := startWithPromise(t, f).book.Balance("travel")
			f.now = f.now.Add(c.away)
			if c.boot {
				f.boots++
			}
			m := f.start("i-0")
			f.log.SetFault(func(string) memlog.Fault { return memlog.LoseRequest })
			assert.Assert(t, m.syncer.Sync(t.Context()) != nil)
			f.now = f.now.Add(10 * time.Second)
			f.log.SetFault(nil)
			assert.NilError(t, m.syncer.Sync(t.Context()))
			b := m.book.Balance("travel")
			want := int64(0)
			if c.taken {
				want = killed.Promised
			}
			assert.Equal(t, b.Free-(b.Granted-killed.Granted), want, "%+v after %+v", b, killed)
		})
	}
}

// TestPromiseBindsUntilExpiry checks that a process spends no tokens that a successor could take
// over, and can spend its whole holding once the promise has expired.
func TestPromiseBindsUntilExpiry(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	m := startWithPromise(t, f)
	f.log.SetFault(func(string) memlog.Fault { return memlog.LoseRequest })
	held := m.book.Balance("travel")
	_, err := m.book.Reserve(t.Context(), "travel", held.Free)
	assert.Assert(t, err != nil)
	f.now = f.now.Add(2400 * time.Millisecond)
	_, err = m.book.Reserve(t.Context(), "travel", held.Free)
	assert.Assert(t, err != nil)
	f.now = f.now.Add(200 * time.Millisecond)
	_, err = m.book.Reserve(t.Context(), "travel", held.Free)
	assert.NilError(t, err)
}

// TestStopReleasesPromises checks that a process that stops returns its promised tokens too, and
// that its successor does not take them over again.
func TestStopReleasesPromises(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	m := startWithPromise(t, f)
	assert.NilError(t, m.syncer.ReturnTokens(t.Context()))
	assert.Equal(t, m.book.Balance("travel").Free, int64(0))
	assert.Equal(t, m.book.Balance("travel").Granted, int64(0))
	next := f.start("i-0")
	assert.NilError(t, next.syncer.Sync(t.Context()))
	assert.Equal(t, next.book.Balance("travel").Free, next.book.Balance("travel").Granted)
}

// TestTakeOverDuringRequests guards against data races between requests and a take-over whose
// promises are renewed repeatedly.
func TestTakeOverDuringRequests(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	startWithPromise(t, f)
	m := f.start("i-0")
	var g errgroup.Group
	g.Go(func() error {
		for range 2000 {
			m.book.Balance("travel")
		}
		return nil
	})
	f.log.SetFault(func(call string) memlog.Fault {
		if call == "append" {
			return memlog.Refuse // each attempt creates a new promise
		}
		return memlog.None
	})
	for range 200 {
		assert.Assert(t, m.syncer.Sync(t.Context()) != nil)
	}
	assert.NilError(t, g.Wait())
}
