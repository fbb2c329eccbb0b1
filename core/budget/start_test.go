package budget_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
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

// newFleetDelay is longer than a new fleet draws nothing, in case its log was restored.
const newFleetDelay = 3100 * time.Millisecond

// usualWait is how long a request with a short objective waits for tokens.
const usualWait = 50 * time.Millisecond

// playStart starts instances together over a log whose calls take 5 to 15 ms. Each receives a request every interval for a second, once it
// may draw. It returns the number of
// requests, the refused ones, the longest wait of a request that was served and the appends of draws.
func playStart(t *testing.T, instances int, era int64, interval time.Duration, rng *rand.Rand) (all, refused int64, longest time.Duration, appends int64) {
	t.Helper()
	server := &memlog.Server{Era: era}
	var served, failed, slowest, drawn atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	var run, callers errgroup.Group
	delays := make(chan time.Duration, 1<<13)
	for range cap(delays) {
		delays <- 5*time.Millisecond + time.Duration(rng.Int64N(int64(10*time.Millisecond)))
	}
	for i := range instances {
		log := server.Log()
		write, read := log.Append, log.Read
		log.Append = func(ctx context.Context, topic string, part int, at int64, records []logs.Record) (int64, error) {
			if at != logs.AnyOffset {
				drawn.Add(1)
			}
			d := <-delays
			time.Sleep(d / 2)
			defer time.Sleep(d / 2)
			return write(ctx, topic, part, at, records)
		}
		log.Read = func(ctx context.Context, topic string, part int, from int64, wait time.Duration) ([]logs.Record, int64, error) {
			d := <-delays
			time.Sleep(d / 2)
			defer time.Sleep(d / 2)
			return read(ctx, topic, part, from, wait)
		}
		name := fmt.Sprint("i", i)
		sy := &budget.Syncer{Log: log, Topic: "keyed.budgets", Instance: name, Incarnation: name + "#1", PeerAddr: name, FirstStart: true, Book: &budget.Book{}}
		sy.Default()
		sy.SetOrganisations([]table.Organisation{{Name: "travel", Prepaid: 1 << 30}})
		run.Go(func() error { return sy.Run(ctx) })
		callers.Go(func() error {
			for !sy.Book.Loaded() {
				time.Sleep(time.Millisecond)
			}
			if era > 0 {
				time.Sleep(newFleetDelay)
			}
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(interval) {
				began := time.Now()
				limited, done := context.WithTimeout(ctx, sy.ReserveWait("travel", usualWait))
				r, err := sy.Book.Reserve(limited, "travel", 100)
				done()
				if err != nil {
					failed.Add(1)
					continue
				}
				served.Add(1)
				slowest.Store(max(slowest.Load(), int64(time.Since(began))))
				sy.Book.Settle(r, 50)
			}
			return nil
		})
	}
	assert.NilError(t, callers.Wait())
	cancel()
	assert.NilError(t, run.Wait())
	return served.Load() + failed.Load(), failed.Load(), time.Duration(slowest.Load()), drawn.Load()
}

// TestFleetThatStartsServesFirstRequests guards against refusals of the first requests of instances that start together, whose first draws conflict.
func TestFleetThatStartsServesFirstRequests(t *testing.T) {
	const runs = 100
	for name, era := range map[string]int64{"log without eras": 0, "log with eras": 1} {
		t.Run(name, func(t *testing.T) {
			var all, refused, appends int64
			var longest time.Duration
			for seed := range uint64(runs) {
				synctest.Test(t, func(t *testing.T) {
					a, r, l, w := playStart(t, 4, era, 30*time.Millisecond, rand.New(rand.NewPCG(seed, 0)))
					all, refused, appends, longest = all+a, refused+r, appends+w, max(longest, l)
				})
			}
			t.Logf("%d of %d refused, longest wait %v, %.1f appends a run", refused, all, longest, float64(appends)/runs)
			assert.Equal(t, refused, int64(0))
		})
	}
}
