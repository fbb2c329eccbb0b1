package budget_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/budget"
	"cranberryrail/core/codes"
	"cranberryrail/core/logs"
	"cranberryrail/core/table"
	"cranberryrail/fake/memlog"
)

// TestUnreachablePartitionDoesNotAffectOthers checks that an unreachable partition does not cause
// refusals for budgets of other partitions.
func TestUnreachablePartitionDoesNotAffectOthers(t *testing.T) {
	log := &memlog.Server{}
	syncer := &budget.Syncer{Log: log.Log(), Topic: "keyed.budgets", Shards: 8, Instance: "i", Incarnation: "i#1", Book: &budget.Book{}}
	down := ""
	read := syncer.Log.Read
	syncer.Log.Read = func(ctx context.Context, topic string, part int, from int64, wait time.Duration) ([]logs.Record, int64, error) {
		if fmt.Sprint(part) == down {
			return nil, 0, context.DeadlineExceeded
		}
		return read(ctx, topic, part, from, wait)
	}
	syncer.Default()
	organisations := make([]table.Organisation, 0, 8)
	for i := range 8 {
		organisations = append(organisations, table.Organisation{Name: fmt.Sprintf("o%d", i), Prepaid: paid})
	}
	syncer.SetOrganisations(organisations)
	assert.NilError(t, syncer.Sync(t.Context()))
	time.Sleep(40 * time.Millisecond) // until the state is too old to append without reading
	down = "0"
	granted, refused := 0, 0
	for _, o := range organisations {
		var g errgroup.Group
		g.Go(func() error {
			_, err := syncer.Book.Reserve(t.Context(), o.Name, 10)
			return err
		})
		time.Sleep(5 * time.Millisecond)
		_ = syncer.Sync(t.Context()) // fails for the partition that is down
		err := g.Wait()
		if err == nil {
			granted++
			continue
		}
		assert.ErrorContains(t, err, "log_unavailable")
		refused++
	}
	assert.Assert(t, granted > 0 && granted+refused == 8, "%d reserved, %d refused", granted, refused)
}

// TestReturnWaitsForLog checks that a process that stops during an outage of the log returns its
// tokens once the log is reachable again.
func TestReturnWaitsForLog(t *testing.T) {
	log := &memlog.Server{}
	now := time.Unix(1000, 0)
	syncer := &budget.Syncer{Log: log.Log(), Topic: "keyed.budgets", Instance: "i", Incarnation: "i#1", Book: &budget.Book{Now: func() time.Time { return now }}}
	syncer.Default()
	syncer.SetOrganisations([]table.Organisation{{Name: "travel", Prepaid: paid}})
	assert.NilError(t, syncer.Sync(t.Context()))
	var g errgroup.Group
	g.Go(func() error {
		_, err := syncer.Book.Reserve(t.Context(), "travel", 100)
		return err
	})
	time.Sleep(5 * time.Millisecond)
	assert.NilError(t, syncer.Sync(t.Context()))
	assert.NilError(t, g.Wait())
	syncer.Book.Settle(budget.Reservation{Organisation: "travel", Tokens: 100}, 40)
	assert.Assert(t, syncer.Book.Balance("travel").Free >= 60)
	recovery := time.Now().Add(300 * time.Millisecond)
	log.SetFault(func(string) memlog.Fault {
		if time.Now().Before(recovery) {
			return memlog.Refuse
		}
		return memlog.None
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, syncer.ReturnTokens(ctx))
	assert.Equal(t, syncer.Book.Balance("travel").Free, int64(0))
	assert.Equal(t, syncer.Book.Balance("travel").Granted, int64(40))
}

// TestInvalidRecordBlocksBudget checks that a process that starts spends nothing of a budget whose
// record is invalid, because it is not known how much was granted. A running process still has the
// total of the previous record.
func TestInvalidRecordBlocksBudget(t *testing.T) {
	for name, value := range map[string]string{"not JSON": "\xff", "negative": `{"granted":-5}`, "wrong type": `{"granted":"all"}`} {
		t.Run(name, func(t *testing.T) {
			log := &memlog.Server{}
			log.Put("keyed.budgets", 0, "travel", []byte(value))
			syncer := &budget.Syncer{Log: log.Log(), Topic: "keyed.budgets", Instance: "i", Incarnation: "i#1", Book: &budget.Book{}}
			var invalid []string
			syncer.OnInvalidRecord = func(key string, _ error) { invalid = append(invalid, key) }
			syncer.Default()
			syncer.SetOrganisations([]table.Organisation{{Name: "travel", Prepaid: paid}})
			for range 3 {
				assert.NilError(t, syncer.Sync(t.Context()))
				_, err := syncer.Book.Reserve(t.Context(), "travel", 1)
				assert.ErrorContains(t, err, "ledger_stale")
			}
			assert.DeepEqual(t, invalid, []string{"travel"})
			assert.Equal(t, string(log.Value("keyed.budgets", 0, "travel")), value, "nothing was drawn")
		})
	}
}

// TestPermanentRefusal checks that a request is refused permanently only after other instances had
// time to return the tokens they hold, and is granted once they did. A request for more than was
// paid is refused permanently at once.
func TestPermanentRefusal(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	holder, other := f.start("i-0"), f.start("i-1")
	assert.NilError(t, holder.syncer.Sync(t.Context()))
	holder.book.MaxWait, other.book.MaxWait = time.Second, 20*time.Millisecond
	var g errgroup.Group
	var held budget.Reservation
	g.Go(func() (err error) {
		held, err = holder.book.Reserve(t.Context(), "travel", paid)
		return err
	})
	time.Sleep(5 * time.Millisecond)
	assert.NilError(t, holder.syncer.Sync(t.Context()))
	assert.NilError(t, g.Wait())
	assert.NilError(t, other.syncer.Sync(t.Context()))
	assertRefused := func(want string) {
		t.Helper()
		_, err := other.book.Reserve(t.Context(), "travel", 1000)
		assert.ErrorContains(t, err, want)
	}
	_, err := other.book.Reserve(t.Context(), "travel", paid+1)
	assert.ErrorContains(t, err, "budget_exhausted")
	assertRefused("budget_elsewhere")
	f.now = f.now.Add(budget.ExhaustionDelay - time.Millisecond)
	assertRefused("budget_elsewhere")
	f.now = f.now.Add(2 * budget.ExhaustionDelay)
	assertRefused("budget_exhausted")
	holder.book.Settle(held, 0)
	f.now = f.now.Add(time.Second)
	assert.NilError(t, holder.syncer.Sync(t.Context()))
	time.Sleep(40 * time.Millisecond) // until the state is too old to append without reading
	assert.NilError(t, other.syncer.Sync(t.Context()))
	g2, err := other.book.Reserve(t.Context(), "travel", 1000)
	assert.NilError(t, err)
	assert.Equal(t, g2.Tokens, int64(1000))
}

// TestCoverAfterShortUsage checks that five seconds of steady usage suffice for a holding that
// covers that usage for DefaultCover, although the time constant of the average is longer.
func TestCoverAfterShortUsage(t *testing.T) {
	const perSecond, steps = 1000, 50
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	m := f.start("i-0")
	m.book.MaxWait = time.Second
	assert.NilError(t, m.syncer.Sync(t.Context()))
	f.now = f.now.Add(2 * time.Second) // until the instances are counted
	assert.NilError(t, m.syncer.Sync(t.Context()))
	for range steps {
		f.now = f.now.Add(5 * time.Second / steps)
		r, err := reserve(t, m, perSecond*5/steps)
		assert.NilError(t, err)
		m.book.Settle(r, r.Tokens)
		assert.NilError(t, m.syncer.Sync(t.Context()))
	}
	b := m.book.Balance("travel")
	cover := int64(budget.DefaultCover.Seconds()*perSecond) * (b.Paid - b.Granted) / b.Paid
	assert.Assert(t, b.Free >= cover*7/10, "%+v, want a cover of %d tokens", b, cover) // holdings are refilled below 70%
}

// TestRefusalTriggersRead checks that a refusal on the basis of state read earlier makes the
// instance read the log again, so that tokens returned in the meantime are found before the poll
// interval has passed.
func TestRefusalTriggersRead(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	holder, other := f.start("i-0"), f.start("i-1")
	other.syncer.PollInterval = time.Hour
	holder.book.MaxWait, other.book.MaxWait = time.Second, time.Second
	assert.NilError(t, holder.syncer.Sync(t.Context()))
	held, err := reserve(t, holder, paid)
	assert.NilError(t, err)
	assert.NilError(t, other.syncer.Sync(t.Context()))
	holder.book.Settle(held, 0)
	assert.NilError(t, holder.syncer.Sync(t.Context()))
	time.Sleep(40 * time.Millisecond) // until the state is too old to append without reading
	_, err = other.book.Reserve(t.Context(), "travel", 1000)
	assert.ErrorContains(t, err, "budget_elsewhere")
	assert.NilError(t, other.syncer.Sync(t.Context()))
	_, err = reserve(t, other, 1000)
	assert.NilError(t, err)
}

// TestExcessIsReturned checks that an instance returns what it holds beyond its usage while most of
// the budget remains, so that losing its machine strands few tokens.
func TestExcessIsReturned(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	m := f.start("i-0")
	m.book.MaxWait = time.Second
	assert.NilError(t, m.syncer.Sync(t.Context()))
	r, err := reserve(t, m, paid/2)
	assert.NilError(t, err)
	m.book.Settle(r, 0)
	for range 10 {
		f.now = f.now.Add(6 * time.Second) // the measured usage decays
		assert.NilError(t, m.syncer.Sync(t.Context()))
	}
	b := m.book.Balance("travel")
	assert.Assert(t, b.Granted < paid/8, "%+v", b)
	assert.Equal(t, b.Free, b.Granted)
}

// TestSlowDrawIsRetriedSoon checks that a request whose tokens could not be drawn in time gets a
// short retry-after time, since another instance can draw them from the log.
func TestSlowDrawIsRetriedSoon(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	m := f.start("i-0")
	assert.NilError(t, m.syncer.Sync(t.Context()))
	m.book.MaxWait = time.Millisecond
	_, err := m.book.Reserve(t.Context(), "travel", paid/2)
	assert.Equal(t, codes.From(err, codes.NotRun).RetryAfter, budget.RetryAfterLogUnavailable)
}

// TestOutageLastsUntilReadSucceeds checks that a partition whose read failed is read again by the next sync, and does not
// count as reachable without a call.
func TestOutageLastsUntilReadSucceeds(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, now: startTime}
	m := f.start("i-0")
	m.syncer.PollInterval, m.syncer.PromiseTopic = time.Hour, ""
	assert.NilError(t, m.syncer.Sync(t.Context()))
	_, err := m.book.Reserve(t.Context(), "travel", 1) // refused by state that was read before
	assert.ErrorContains(t, err, "budget_exhausted")
	f.log.SetFault(func(string) memlog.Fault { return memlog.LoseRequest })
	time.Sleep(10 * time.Millisecond) // until the state is too old to refuse by
	for range 3 {
		assert.Assert(t, m.syncer.Sync(t.Context()) != nil)
	}
	f.log.SetFault(nil)
	assert.NilError(t, m.syncer.Sync(t.Context()))
}

// TestRefusalsAreNoUsage checks that an instance does not draw ahead for requests that it refused, which their callers
// send to other instances.
func TestRefusalsAreNoUsage(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	m := f.start("i-0")
	assert.NilError(t, m.syncer.Sync(t.Context()))
	f.now = f.now.Add(2 * time.Second)
	assert.NilError(t, m.syncer.Sync(t.Context()))
	held := m.book.Balance("travel").Free
	f.log.SetFault(func(string) memlog.Fault { return memlog.LoseRequest })
	assert.Assert(t, m.syncer.Sync(t.Context()) != nil)
	for range 10 {
		_, err := m.book.Reserve(t.Context(), "travel", paid/5)
		assert.Assert(t, err != nil)
	}
	f.log.SetFault(nil)
	assert.NilError(t, m.syncer.Sync(t.Context()))
	assert.Equal(t, m.book.Balance("travel").Free, held)
}

// TestWaitingRequestOfRemovedBudget checks that a request that waits for tokens is served when its organisation no longer
// has a budget.
func TestWaitingRequestOfRemovedBudget(t *testing.T) {
	f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
	m := f.start("i-0")
	assert.NilError(t, m.syncer.Sync(t.Context()))
	m.book.MaxWait = 5 * time.Second
	var g errgroup.Group
	var r budget.Reservation
	g.Go(func() (err error) {
		r, err = m.book.Reserve(t.Context(), "travel", paid/2)
		return err
	})
	for !m.book.Waiting([]string{"travel"}) {
		time.Sleep(time.Millisecond)
	}
	m.syncer.SetOrganisations([]table.Organisation{{Name: "travel", Prepaid: table.Unlimited}})
	assert.NilError(t, g.Wait())
	assert.Equal(t, r.Tokens, int64(0))
	m.book.Settle(r, 0)
	assert.Equal(t, m.book.Balance("travel").Reserved, int64(0))
}

// TestDrawBeforeInstancesAreCounted guards against an append for each request of instances that start together, whose appends conflict.
func TestDrawBeforeInstancesAreCounted(t *testing.T) {
	syncer := &budget.Syncer{Log: (&memlog.Server{}).Log(), Topic: "keyed.budgets", Instance: "i", Incarnation: "i#1", PeerAddr: "i", Book: &budget.Book{}}
	syncer.Default()
	syncer.SetOrganisations([]table.Organisation{{Name: "travel", Prepaid: paid}})
	assert.NilError(t, syncer.Sync(t.Context()))
	var first errgroup.Group
	first.Go(func() error {
		_, err := syncer.Book.Reserve(t.Context(), "travel", 10)
		return err
	})
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, syncer.Sync(t.Context()))
	assert.NilError(t, first.Wait())
	for range 5 {
		r, err := syncer.Book.Reserve(t.Context(), "travel", 10)
		assert.NilError(t, err)
		syncer.Book.Settle(r, 5)
	}
	assert.Assert(t, !syncer.Book.AdjustmentDue("travel"), "tokens are returned before the instances are counted")
}
