package purse_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/logs"
	"cranberryrail/core/purse"
	"cranberryrail/core/table"
	"cranberryrail/fake/memlog"
)

// A partition that is out of reach does not refuse what another one has.
func TestOnePartitionOutOfReach(t *testing.T) {
	log := &memlog.Server{}
	k := &purse.Keeper{Log: log.Log(), Topic: "keyed.budgets", Shards: 8, Instance: "i", Inc: "i#1", Book: &purse.Book{}}
	down := ""
	read := k.Log.Read
	k.Log.Read = func(ctx context.Context, topic string, part int, from int64, wait time.Duration) ([]logs.Record, int64, error) {
		if fmt.Sprint(part) == down {
			return nil, 0, context.DeadlineExceeded
		}
		return read(ctx, topic, part, from, wait)
	}
	k.Default()
	organisations := make([]table.Organisation, 0, 8)
	for i := range 8 {
		organisations = append(organisations, table.Organisation{Name: fmt.Sprintf("o%d", i), Prepaid: paid})
	}
	k.Pay(organisations)
	assert.NilError(t, k.Visit(t.Context()))
	time.Sleep(40 * time.Millisecond) // until the state that was read is too old for an append
	down = "0"
	reached, lost := 0, 0
	for _, o := range organisations {
		var g errgroup.Group
		g.Go(func() error {
			_, err := k.Book.Reserve(t.Context(), o.Name, 10)
			return err
		})
		time.Sleep(5 * time.Millisecond)
		_ = k.Visit(t.Context()) // it fails where the partition is down
		err := g.Wait()
		if err == nil {
			reached++
			continue
		}
		assert.ErrorContains(t, err, "log_unavailable")
		lost++
	}
	assert.Assert(t, reached > 0 && reached+lost == 8, "%d reached, %d lost", reached, lost)
}

// A stop during an outage gives back its tokens when the log answers again.
func TestReturnWaitsForTheLog(t *testing.T) {
	log := &memlog.Server{}
	now := time.Unix(1000, 0)
	k := &purse.Keeper{Log: log.Log(), Topic: "keyed.budgets", Instance: "i", Inc: "i#1", Book: &purse.Book{Now: func() time.Time { return now }}}
	k.Default()
	k.Pay([]table.Organisation{{Name: "travel", Prepaid: paid}})
	assert.NilError(t, k.Visit(t.Context()))
	var g errgroup.Group
	g.Go(func() error {
		_, err := k.Book.Reserve(t.Context(), "travel", 100)
		return err
	})
	time.Sleep(5 * time.Millisecond)
	assert.NilError(t, k.Visit(t.Context()))
	assert.NilError(t, g.Wait())
	k.Book.Settle(purse.Grant{Organisation: "travel", Tokens: 100}, 40)
	assert.Assert(t, k.Book.Balance("travel").Free >= 60)
	back := time.Now().Add(300 * time.Millisecond)
	log.SetFault(func(string) memlog.Fault {
		if time.Now().Before(back) {
			return memlog.Refuse
		}
		return memlog.None
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, k.Return(ctx))
	assert.Equal(t, k.Book.Balance("travel").Free, int64(0))
	assert.Equal(t, k.Book.Balance("travel").Granted, int64(40))
}

// What a record that can't be read has granted is not known, so that a process that starts
// spends nothing of such a budget. One that runs knows what was granted before.
func TestRecordThatCannotBeRead(t *testing.T) {
	for name, value := range map[string]string{"no JSON": "\xff", "negative": `{"granted":-5}`, "another type": `{"granted":"all"}`} {
		t.Run(name, func(t *testing.T) {
			log := &memlog.Server{}
			log.Put("keyed.budgets", 0, "travel", []byte(value))
			k := &purse.Keeper{Log: log.Log(), Topic: "keyed.budgets", Instance: "i", Inc: "i#1", Book: &purse.Book{}}
			k.Default()
			k.Pay([]table.Organisation{{Name: "travel", Prepaid: paid}})
			assert.ErrorContains(t, k.Visit(t.Context()), "travel")
			_, err := k.Book.Reserve(t.Context(), "travel", 1)
			assert.ErrorContains(t, err, "ledger_stale")
		})
	}
}

// A budget whose rest other instances hold is refused for good only after they had the time
// to give back, and not once they did. A request that is larger than all that was paid is
// refused for good at once.
func TestRefusedForGood(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0)}
	holder, other := f.start("i-0"), f.start("i-1")
	assert.NilError(t, holder.keeper.Visit(t.Context()))
	holder.book.Wait, other.book.Wait = time.Second, 20*time.Millisecond
	var g errgroup.Group
	var held purse.Grant
	g.Go(func() (err error) {
		held, err = holder.book.Reserve(t.Context(), "travel", paid)
		return err
	})
	time.Sleep(5 * time.Millisecond)
	assert.NilError(t, holder.keeper.Visit(t.Context()))
	assert.NilError(t, g.Wait())
	assert.NilError(t, other.keeper.Visit(t.Context()))
	refused := func(want string) {
		t.Helper()
		_, err := other.book.Reserve(t.Context(), "travel", 1000)
		assert.ErrorContains(t, err, want)
	}
	_, err := other.book.Reserve(t.Context(), "travel", paid+1)
	assert.ErrorContains(t, err, "budget_exhausted")
	refused("budget_elsewhere")
	f.now = f.now.Add(purse.SettleTime - time.Millisecond)
	refused("budget_elsewhere")
	f.now = f.now.Add(2 * purse.SettleTime)
	refused("budget_exhausted")
	holder.book.Settle(held, 0)
	f.now = f.now.Add(time.Second)
	assert.NilError(t, holder.keeper.Visit(t.Context()))
	time.Sleep(40 * time.Millisecond) // until the state that was read is too old
	assert.NilError(t, other.keeper.Visit(t.Context()))
	g2, err := other.book.Reserve(t.Context(), "travel", 1000)
	assert.NilError(t, err)
	assert.Equal(t, g2.Tokens, int64(1000))
}

// An instance that has seen five seconds of steady use holds what covers the promised time of
// that use, although its average is over more than five seconds.
func TestCoverAfterAShortTime(t *testing.T) {
	const perSecond, steps = 1000, 50
	f := &fleet{log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0)}
	m := f.start("i-0")
	m.book.Wait = time.Second
	assert.NilError(t, m.keeper.Visit(t.Context()))
	f.now = f.now.Add(2 * time.Second) // until the instances are counted
	assert.NilError(t, m.keeper.Visit(t.Context()))
	for range steps {
		f.now = f.now.Add(5 * time.Second / steps)
		g, err := reserve(t, m, perSecond*5/steps)
		assert.NilError(t, err)
		m.book.Settle(g, g.Tokens)
		assert.NilError(t, m.keeper.Visit(t.Context()))
	}
	b := m.book.Balance("travel")
	cover := int64(purse.DefaultCover.Seconds()*perSecond) * (b.Paid - b.Granted) / b.Paid
	assert.Assert(t, b.Free >= cover*7/10, "%+v, %d cover the time", b, cover) // holdings are refilled below seven tenths
}

// A refusal by what was read before makes the instance read again, so that tokens that were
// given back meanwhile are found without waiting for the next look.
func TestRefusalReadsAgain(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0)}
	holder, other := f.start("i-0"), f.start("i-1")
	other.keeper.Pause = time.Hour
	holder.book.Wait, other.book.Wait = time.Second, time.Second
	assert.NilError(t, holder.keeper.Visit(t.Context()))
	held, err := reserve(t, holder, paid)
	assert.NilError(t, err)
	assert.NilError(t, other.keeper.Visit(t.Context()))
	holder.book.Settle(held, 0)
	assert.NilError(t, holder.keeper.Visit(t.Context()))
	time.Sleep(40 * time.Millisecond) // until the state that was read is too old for an append
	_, err = other.book.Reserve(t.Context(), "travel", 1000)
	assert.ErrorContains(t, err, "budget_elsewhere")
	assert.NilError(t, other.keeper.Visit(t.Context()))
	_, err = reserve(t, other, 1000)
	assert.NilError(t, err)
}

// What an instance holds beyond the use that it sees is given back while most of the budget
// is left, so that a loss of the machine strands little.
func TestExcessIsGivenBack(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0)}
	m := f.start("i-0")
	m.book.Wait = time.Second
	assert.NilError(t, m.keeper.Visit(t.Context()))
	g, err := reserve(t, m, paid/2)
	assert.NilError(t, err)
	m.book.Settle(g, 0)
	for range 10 {
		f.now = f.now.Add(6 * time.Second) // the use is forgotten
		assert.NilError(t, m.keeper.Visit(t.Context()))
	}
	b := m.book.Balance("travel")
	assert.Assert(t, b.Granted < paid/8, "%+v", b)
	assert.Equal(t, b.Free, b.Granted)
}

// A request whose tokens could not be drawn in time comes back soon, since the log has them
// for another instance.
func TestSlowDrawComesBackSoon(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0)}
	m := f.start("i-0")
	assert.NilError(t, m.keeper.Visit(t.Context()))
	m.book.Wait = time.Millisecond
	_, err := m.book.Reserve(t.Context(), "travel", paid/2)
	assert.Equal(t, codes.From(err, codes.NotRun).RetryAfter, purse.RetryLog)
}
