package purse_test

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/fake/memlog"
)

// hold starts a process and lets it promise most of what it holds.
func hold(t *testing.T, f *fleet) *member {
	t.Helper()
	m := f.start("i-0")
	for range 4 {
		assert.NilError(t, m.keeper.Visit(t.Context()))
		f.now = f.now.Add(500 * time.Millisecond)
	}
	assert.NilError(t, m.keeper.Visit(t.Context()))
	assert.Assert(t, m.book.Balance("travel").Promised > paid/40, "%+v", m.book.Balance("travel"))
	return m
}

// What a killed process held and had not spent comes back when its successor on the same
// machine starts soon enough, however long the log is out of reach of it. After another boot,
// or when the process may have spent it, it stays spent.
func TestSuccessorTakesOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		away  time.Duration
		boot  bool
		taken bool
	}{
		{"at once", 0, false, true},
		{"after 2 s", 2 * time.Second, false, true},
		{"after 3 s", 3 * time.Second, false, false},
		{"after a boot", 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0)}
			killed := hold(t, f).book.Balance("travel")
			f.now = f.now.Add(c.away)
			if c.boot {
				f.boots++
			}
			m := f.start("i-0")
			f.log.SetFault(func(string) memlog.Fault { return memlog.Lose })
			assert.Assert(t, m.keeper.Visit(t.Context()) != nil)
			f.now = f.now.Add(10 * time.Second)
			f.log.SetFault(nil)
			assert.NilError(t, m.keeper.Visit(t.Context()))
			b := m.book.Balance("travel")
			want := int64(0)
			if c.taken {
				want = killed.Promised
			}
			assert.Equal(t, b.Free-(b.Granted-killed.Granted), want, "%+v after %+v", b, killed)
		})
	}
}

// A process spends nothing that a successor could take over, and all it holds once none can.
func TestPromiseBindsUntilItEnds(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0)}
	m := hold(t, f)
	f.log.SetFault(func(string) memlog.Fault { return memlog.Lose })
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

// A process that stops gives back what it had promised too, before a successor can take it.
func TestStopEndsPromises(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0)}
	m := hold(t, f)
	assert.NilError(t, m.keeper.Return(t.Context()))
	assert.Equal(t, m.book.Balance("travel").Free, int64(0))
	assert.Equal(t, m.book.Balance("travel").Granted, int64(0))
	next := f.start("i-0")
	assert.NilError(t, next.keeper.Visit(t.Context()))
	assert.Equal(t, next.book.Balance("travel").Free, next.book.Balance("travel").Granted)
}

// Requests may come while the successor takes over.
func TestTakeOverBesideRequests(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0)}
	hold(t, f)
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
			return memlog.Refuse // each try makes a new promise
		}
		return memlog.None
	})
	for range 200 {
		assert.Assert(t, m.keeper.Visit(t.Context()) != nil)
	}
	assert.NilError(t, g.Wait())
}
