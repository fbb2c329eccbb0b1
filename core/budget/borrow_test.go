package budget_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/budget"
	"cranberryrail/core/logs"
	"cranberryrail/core/table"
	"cranberryrail/fake/memlog"
)

// lendingFleet is a fleet of running instances that lend tokens to each other.
type lendingFleet struct {
	log     *memlog.Server
	members map[string]*member

	mu sync.Mutex
	// unreached holds the instances that do not reply, and asked counts the calls to each instance for tokens.
	unreached map[string]bool
	asked     map[string]int
	// lost is the sum of the tokens of repayments without a reply.
	lost int64
}

// runLendingFleet runs instances in virtual time and calls play once they have counted each other.
func runLendingFleet(t *testing.T, instances int, play func(f *lendingFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &lendingFleet{log: &memlog.Server{}, members: map[string]*member{}, unreached: map[string]bool{}, asked: map[string]int{}}
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		for i := range instances {
			id := fmt.Sprintf("i-%d", i)
			m := &member{book: &budget.Book{}}
			m.syncer = &budget.Syncer{
				Log: f.log.Log(), Topic: "keyed.budgets", Instance: id, Incarnation: id + "#1", PeerAddr: id, Book: m.book,
			}
			m.syncer.Default()
			m.syncer.SetOrganisations([]table.Organisation{{Name: "travel", Prepaid: paid}})
			lender := &budget.Borrower{Book: m.book, Lenders: m.syncer.Lenders, Ask: f.ask, Repay: f.repay, OnTransferLost: f.transferLost}
			lender.Default()
			f.members[id] = m
			g.Go(func() error { return m.syncer.Run(ctx) })
			g.Go(func() error { return lender.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		play(f)
		cancel()
		assert.NilError(t, g.Wait())
	})
}

var errSilent = errors.New("no reply")

func (f *lendingFleet) ask(ctx context.Context, addr, organisation string, tokens, least int64) (int64, error) {
	f.mu.Lock()
	f.asked[addr]++
	unreached := f.unreached[addr]
	f.mu.Unlock()
	time.Sleep(time.Millisecond)
	if unreached {
		time.Sleep(250 * time.Millisecond)
		return 0, errSilent
	}
	return f.members[addr].book.Lend(ctx, organisation, tokens, least), nil
}

// repay is a call of one instance to another one that transfers tokens.
func (f *lendingFleet) repay(_ context.Context, addr, organisation string, tokens int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreached[addr] {
		return errSilent
	}
	return f.members[addr].book.AcceptRepayment(organisation, tokens)
}

func (f *lendingFleet) transferLost(_ string, tokens int64, _ error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost += tokens
}

// silence makes instances not reply.
func (f *lendingFleet) silence(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.unreached[id] = true
	}
}

// free returns the tokens that all instances hold without a request for them.
func (f *lendingFleet) free() int64 {
	sum := int64(0)
	for _, m := range f.members {
		sum += m.book.Balance("travel").Free
	}
	return sum
}

// partFromLog makes the log unreachable for all instances.
func (f *lendingFleet) partFromLog() {
	f.log.SetFault(func(string) memlog.Fault { return memlog.LoseRequest })
	time.Sleep(20 * time.Second) // until each instance has noticed
}

// borrowerAndHolders returns an instance that is not a holder of the budget, and the holders.
func (f *lendingFleet) borrowerAndHolders(t *testing.T) (*member, []string) {
	t.Helper()
	for id, m := range f.members {
		holders, _ := m.syncer.Lenders("travel")
		if len(holders) == budget.MaxHolders && !slices.Contains(holders, id) {
			return m, holders
		}
	}
	t.Fatal("each instance is a holder")
	return nil, nil
}

func reserveSoon(m *member, tokens int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 75*time.Millisecond)
	defer cancel()
	_, err := m.book.Reserve(ctx, "travel", tokens)
	return err
}

// TestBorrowing checks that an instance that is not a holder of a budget gets tokens from the holders, whether or not
// the log is reachable, and from the other instances if some of the holders do not reply.
func TestBorrowing(t *testing.T) {
	const instances, tokens = 20, paid / 1000
	t.Run("from the first holder while the log is reachable", func(t *testing.T) {
		runLendingFleet(t, instances, func(f *lendingFleet) {
			m, holders := f.borrowerAndHolders(t)
			assert.NilError(t, reserveSoon(m, tokens))
			assert.DeepEqual(t, f.asked, map[string]int{holders[0]: 1})
		})
	})
	t.Run("while the log is unreachable", func(t *testing.T) {
		runLendingFleet(t, instances, func(f *lendingFleet) {
			m, _ := f.borrowerAndHolders(t)
			f.partFromLog()
			for range 10 {
				assert.NilError(t, reserveSoon(m, tokens))
			}
		})
	})
	t.Run("while half of the holders do not reply", func(t *testing.T) {
		runLendingFleet(t, instances, func(f *lendingFleet) {
			m, holders := f.borrowerAndHolders(t)
			f.partFromLog()
			f.silence(holders[:budget.MaxHolders/2])
			assert.NilError(t, reserveSoon(m, tokens))
		})
	})
	t.Run("a request that nobody can cover is refused in time", func(t *testing.T) {
		runLendingFleet(t, instances, func(f *lendingFleet) {
			m, _ := f.borrowerAndHolders(t)
			f.partFromLog()
			started := time.Now()
			err := reserveSoon(m, paid/2)
			assert.ErrorContains(t, err, "log_unavailable")
			assert.Assert(t, time.Since(started) <= 75*time.Millisecond, "%v", time.Since(started))
		})
	})
}

// TestRepayment checks that an instance that is not a holder of a budget keeps no tokens that it does not need, that none
// are lost or doubled on the way to a holder, and that those of a repayment without a reply count as spent.
func TestRepayment(t *testing.T) {
	const instances, tokens = 20, paid / 100
	for name, c := range map[string]struct {
		stopped, silent int
		lost            int64
	}{
		"to the first holder":                      {0, 0, 0},
		"to another holder if the first one stops": {1, 0, 0},
		"kept if all holders stop":                 {budget.MaxHolders, 0, 0},
		"counts as spent if there is no reply":     {0, budget.MaxHolders, tokens},
	} {
		t.Run(name, func(t *testing.T) {
			runLendingFleet(t, instances, func(f *lendingFleet) {
				m, holders := f.borrowerAndHolders(t)
				r, err := m.book.Reserve(context.Background(), "travel", tokens)
				assert.NilError(t, err)
				f.partFromLog() // so that what all hold changes only by transfers
				for _, id := range holders[:c.stopped] {
					f.members[id].book.Stop()
				}
				f.silence(holders[:c.silent])
				before := f.free()
				m.book.Settle(r, 0)
				time.Sleep(2 * time.Second)
				f.mu.Lock()
				lost := f.lost
				f.mu.Unlock()
				assert.Equal(t, lost, c.lost)
				assert.Equal(t, f.free(), before+tokens-c.lost)
				kept := c.stopped == budget.MaxHolders
				assert.Equal(t, m.book.Balance("travel").Free > 0, kept)
			})
		})
	}
}

// TestHoldersAgree checks that all instances agree on the holders of a budget, and that all instances of a small fleet
// are holders.
func TestHoldersAgree(t *testing.T) {
	for _, instances := range []int{3, budget.MaxHolders, 30} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runLendingFleet(t, instances, func(f *lendingFleet) {
				holders := 0
				for _, m := range f.members {
					if m.book.IsHolder("travel") {
						holders++
					}
				}
				assert.Equal(t, holders, min(instances, budget.MaxHolders))
			})
		})
	}
}

// TestBusyLogIsNoOutage checks that calls that the log refuses as too many are delayed, and that requests are not
// refused because of an outage meanwhile, unless all calls are refused for longer.
func TestBusyLogIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memlog.Server{}
		outages := 0
		syncer := &budget.Syncer{
			Log: log.Log(), Topic: "keyed.budgets", Instance: "i", Incarnation: "i#1", Book: &budget.Book{},
			OnOutage: func(int, error) { outages++ },
		}
		busyUntil := time.Now()
		read := syncer.Log.Read
		syncer.Log.Read = func(ctx context.Context, topic string, part int, from int64, wait time.Duration) ([]logs.Record, int64, error) {
			if time.Now().Before(busyUntil) {
				return nil, 0, &logs.RefusedError{Status: 429, Reason: "too many calls"}
			}
			return read(ctx, topic, part, from, wait)
		}
		syncer.Default()
		syncer.SetOrganisations([]table.Organisation{{Name: "travel", Prepaid: paid}})
		assert.NilError(t, syncer.Sync(t.Context()))
		for busy, want := range map[time.Duration]int{500 * time.Millisecond: 0, 5 * time.Second: 1} {
			time.Sleep(time.Minute)
			outages, busyUntil = 0, time.Now().Add(busy)
			for time.Now().Before(busyUntil) {
				assert.Assert(t, syncer.Sync(t.Context()) != nil)
				time.Sleep(100 * time.Millisecond)
			}
			assert.NilError(t, syncer.Sync(t.Context()))
			assert.Equal(t, outages, want, "busy for %v", busy)
		}
	})
}

// TestRequestAtEndOfBorrowing checks that a request that comes when an attempt to borrow has covered the requests before
// it, but has not ended, is covered by another attempt and not refused because of the first.
func TestRequestAtEndOfBorrowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shortages := 0
		book := &budget.Book{
			OnShortage:   func(string) bool { shortages++; return true },
			IsHolder:     func(string) bool { return false },
			LogReachable: func(string) bool { return false },
		}
		book.Default()
		book.SetPaid([]table.Organisation{{Name: "travel", Prepaid: paid}})
		book.SetLoaded()
		var g errgroup.Group
		request := func() error {
			_, err := book.Reserve(t.Context(), "travel", 100)
			return err
		}
		g.Go(request)
		synctest.Wait()
		book.AddBorrowed("travel", 100)
		assert.NilError(t, g.Wait())
		g.Go(request)
		synctest.Wait()
		book.EndBorrowing("travel", 0)
		assert.Equal(t, shortages, 2)
		book.AddBorrowed("travel", 100)
		book.EndBorrowing("travel", 0)
		assert.NilError(t, g.Wait())
		assert.Equal(t, shortages, 2)
	})
}
