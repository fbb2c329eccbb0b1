package purse_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cranberryrail/core/logs"
	"cranberryrail/core/purse"
	"cranberryrail/core/table"
	"cranberryrail/fake/memlog"
)

const paid = 100_000

// member is one process of the fleet.
type member struct {
	book   *purse.Book
	keeper *purse.Keeper
	grants []purse.Grant
}

// fleet is processes over one log whose calls fail at random.
type fleet struct {
	t       *rapid.T
	log     *memlog.Server
	members []*member
	starts  int
	// boots counts the boots of the machines.
	boots int
	now   time.Time
	// spent is what all processes ever spent, and reserved what their requests in flight may,
	// also those of processes that were killed: their targets go on.
	spent, reserved, paid int64
	calm                  bool
}

func (f *fleet) start(instance string) *member {
	f.starts++
	m := &member{book: &purse.Book{Now: func() time.Time { return f.now }, Wait: time.Nanosecond, Uptime: f.uptime}}
	m.keeper = &purse.Keeper{
		Log: f.log.Log(), Topic: "keyed.budgets", Shards: 1, Instance: instance, Inc: fmt.Sprintf("%s#%d", instance, f.starts), Book: m.book,
		PromiseTopic: "keyed.promises", PromiseParts: 1, Boot: fmt.Sprintf("boot-%d", f.boots), Started: f.uptime(),
	}
	m.keeper.Default()
	m.keeper.Pause = time.Nanosecond // each visit reads
	f.pay(m)
	return m
}

// uptime is the machines' clock.
func (f *fleet) uptime() time.Duration { return f.now.Sub(time.Unix(0, 0)) }

func (f *fleet) pay(m *member) {
	m.keeper.Pay([]table.Organisation{{Name: "travel", Prepaid: f.paid}})
}

func (f *fleet) fault(string) memlog.Fault {
	if f.calm {
		return memlog.None
	}
	faults := []memlog.Fault{memlog.None, memlog.None, memlog.None, memlog.Refuse, memlog.Lose, memlog.LoseReply, memlog.Late}
	return rapid.SampledFrom(faults).Draw(f.t, "fault")
}

func (f *fleet) member() (int, *member) {
	i := rapid.IntRange(0, len(f.members)-1).Draw(f.t, "member")
	return i, f.members[i]
}

// check holds the fleet to what was paid, and what it has or spent to what the log granted.
func (f *fleet) check() {
	assert.Assert(f.t, f.spent+f.reserved <= f.paid, "spent %d, reserved %d of %d", f.spent, f.reserved, f.paid)
	var grants struct{ Granted int64 }
	if value := f.log.Value("keyed.budgets", 0, "travel"); value != nil {
		assert.NilError(f.t, json.Unmarshal(value, &grants))
	}
	var free int64
	for _, m := range f.members {
		free += m.book.Balance("travel").Free
	}
	assert.Assert(f.t, free+f.spent+f.reserved <= grants.Granted, "free %d, spent %d, reserved %d of %d", free, f.spent, f.reserved, grants.Granted)
}

// step does one thing at random.
func (f *fleet) step() {
	i, m := f.member()
	switch rapid.SampledFrom([]string{"reserve", "reserve", "settle", "visit", "visit", "visit", "kill", "kill", "land", "drop", "top_up", "pass", "boot"}).Draw(f.t, "step") {
	case "reserve":
		g, err := m.book.Reserve(context.Background(), "travel", int64(rapid.IntRange(1, paid/10).Draw(f.t, "tokens")))
		if err == nil {
			m.grants = append(m.grants, g)
			f.reserved += g.Tokens
		}
	case "settle":
		if len(m.grants) == 0 {
			return
		}
		g := m.grants[0]
		m.grants = m.grants[1:]
		used := int64(rapid.IntRange(0, int(g.Tokens)).Draw(f.t, "used"))
		m.book.Settle(g, used)
		f.reserved -= g.Tokens
		f.spent += used
	case "visit":
		f.now = f.now.Add(time.Second)
		_ = m.keeper.Visit(context.Background()) // calls fail at random
	case "kill":
		for _, g := range m.grants {
			f.reserved -= g.Tokens
			f.spent += g.Tokens
		}
		f.now = f.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(f.t, "away")) * 100 * time.Millisecond)
		f.members[i] = f.start(fmt.Sprintf("i-%d", i))
	case "pass":
		f.now = f.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(f.t, "pass")) * time.Millisecond)
	case "boot":
		f.boots++ // of processes that start from now on
	case "land":
		f.log.Land()
	case "drop":
		f.log.Drop()
	case "top_up":
		f.paid += paid / 10
		f.pay(m)
	}
}

// TestNoSpendPastTheBudget runs processes at random over a log that refuses calls, loses
// answers, lets writes land late and drops its history, while processes are killed.
func TestNoSpendPastTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0)}
		f.log.SetFault(f.fault)
		for i := range 3 {
			f.members = append(f.members, f.start(fmt.Sprintf("i-%d", i)))
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			f.step()
			f.check()
		}
	})
}

// reserve makes a reservation while the keeper of the member does its work.
func reserve(t assert.TestingT, m *member, tokens int64) (purse.Grant, error) {
	type answer struct {
		grant purse.Grant
		err   error
	}
	answers := make(chan answer, 1)
	var g errgroup.Group
	g.Go(func() error {
		grant, err := m.book.Reserve(context.Background(), "travel", tokens)
		answers <- answer{grant, err}
		return nil
	})
	for {
		select {
		case a := <-answers:
			return a.grant, a.err
		default:
			assert.NilError(t, m.keeper.Visit(context.Background()))
		}
	}
}

// TestAllOfABudgetCanBeSpent holds the fleet to spending 97 in 100 of a budget, while the
// load moves from one instance to the next.
func TestAllOfABudgetCanBeSpent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, log: &memlog.Server{}, paid: paid, now: time.Unix(1000, 0), calm: true}
		for i := range 4 {
			f.members = append(f.members, f.start(fmt.Sprintf("i-%d", i)))
			f.members[i].book.Wait = 3 * time.Millisecond
		}
		moves := rapid.IntRange(1, 20).Draw(t, "moves")
		need := int64(rapid.IntRange(paid/1000, paid/100).Draw(t, "need"))
		for i := 0; i < 400 && f.spent < paid*97/100; i++ {
			f.now = f.now.Add(time.Second)
			for _, m := range f.members {
				assert.NilError(t, m.keeper.Visit(context.Background()))
			}
			m := f.members[(i/moves)%len(f.members)]
			for range 3 {
				if g, err := reserve(t, m, need); err == nil {
					m.book.Settle(g, need)
					f.spent += need
				}
			}
		}
		assert.Assert(t, f.spent >= min(paid*97/100, 1200*need), "spent %d of %d", f.spent, paid)
		assert.Assert(t, f.spent <= paid)
	})
}

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
