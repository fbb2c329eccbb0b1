package loads

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/budget"
	"cranberryrail/core/logs"
	"cranberryrail/core/table"
	"cranberryrail/fake/memlog"
)

// Times of a Start.
const (
	// minCall and maxCall bound the duration of a call of the log.
	minCall = 5 * time.Millisecond
	maxCall = 15 * time.Millisecond
	// newFleetDelay is longer than a new fleet draws nothing, in case its log was restored.
	newFleetDelay = 3100 * time.Millisecond
	// usualWait is how long a request with a short objective waits for tokens.
	usualWait = 50 * time.Millisecond
	// startLength is how long requests arrive.
	startLength = time.Second
)

// Tokens of a Start: what its requests reserve and use.
const (
	startReserved = 100
	startUsed     = 50
)

// Start is a fleet whose instances start together and receive requests at once. Each instance receives one every Interval for a second, once it may draw.
type Start struct {
	Instances int
	// Era is the era of the log; 0 for a log without eras.
	Era      int64
	Interval time.Duration
	// Seed seeds the durations of the calls of the log.
	Seed uint64
}

// StartReport is the outcome of a Start.
type StartReport struct {
	// Served and Refused count requests, and Longest is the longest wait of a request that was served.
	Served, Refused int64
	Longest         time.Duration
	// Appends counts the conditional appends of all instances.
	Appends int64
}

// Add adds another report.
func (r *StartReport) Add(o StartReport) {
	r.Served, r.Refused, r.Appends, r.Longest = r.Served+o.Served, r.Refused+o.Refused, r.Appends+o.Appends, max(r.Longest, o.Longest)
}

// Play plays the start. The error is one of a component that ended.
func (s *Start) Play(ctx context.Context) (StartReport, error) {
	server := &memlog.Server{Era: s.Era}
	var served, refused, longest, appends atomic.Int64
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var run, callers errgroup.Group
	delays := callDelays(s.Seed)
	for i := range s.Instances {
		name := fmt.Sprint("i", i)
		sy := &budget.Syncer{
			Log: delayed(server.Log(), delays, &appends), Topic: "keyed.budgets", Instance: name, Incarnation: name + "#1", PeerAddr: name, FirstStart: true, Book: &budget.Book{},
		}
		sy.Default()
		sy.SetOrganisations([]table.Organisation{{Name: "travel", Prepaid: 1 << 30}})
		run.Go(func() error { return sy.Run(ctx) })
		callers.Go(func() error {
			for !sy.Book.Loaded() {
				time.Sleep(time.Millisecond)
			}
			if s.Era > 0 {
				time.Sleep(newFleetDelay)
			}
			for end := time.Now().Add(startLength); time.Now().Before(end); time.Sleep(s.Interval) {
				waited, err := reserveOnce(ctx, sy)
				if err != nil {
					refused.Add(1)
					continue
				}
				served.Add(1)
				longest.Store(max(longest.Load(), int64(waited)))
			}
			return nil
		})
	}
	err := callers.Wait()
	cancel()
	if ended := run.Wait(); err == nil {
		err = ended
	}
	return StartReport{Served: served.Load(), Refused: refused.Load(), Longest: time.Duration(longest.Load()), Appends: appends.Load()}, err
}

// reserveOnce reserves and settles tokens of one request, and returns how long it waited for them.
func reserveOnce(ctx context.Context, sy *budget.Syncer) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, sy.ReserveWait("travel", usualWait))
	defer cancel()
	r, err := sy.Book.Reserve(ctx, "travel", startReserved)
	if err != nil {
		return 0, err
	}
	waited := time.Since(began)
	sy.Book.Settle(r, startUsed)
	return waited, nil
}

// callDelays returns the durations of the calls of a log, in order.
func callDelays(seed uint64) <-chan time.Duration {
	rng := rand.New(rand.NewPCG(seed, 0))
	delays := make(chan time.Duration, 1<<13)
	for range cap(delays) {
		delays <- minCall + time.Duration(rng.Int64N(int64(maxCall-minCall)))
	}
	return delays
}

// delayed returns a log whose calls take the given times, half of each before the call is performed. It counts conditional appends.
func delayed(log logs.Log, delays <-chan time.Duration, appends *atomic.Int64) logs.Log {
	write, read := log.Append, log.Read
	log.Append = func(ctx context.Context, topic string, part int, at int64, records []logs.Record) (int64, error) {
		if at != logs.AnyOffset {
			appends.Add(1)
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
	return log
}
