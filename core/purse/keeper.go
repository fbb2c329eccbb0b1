package purse

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/logs"
	"cranberryrail/core/table"
)

// Defaults of Keeper.
const (
	// DefaultTimeout bounds one call to the log: some hundred times the usual time of an answer,
	// and less than the outages that are to be noticed.
	DefaultTimeout = 800 * time.Millisecond
	// DefaultPause is the time between two looks at what other instances wrote: they give back
	// tokens of a low budget within about as long.
	DefaultPause = 700 * time.Millisecond
	// retryPause is the longest pause after a failed call.
	retryPause = 250 * time.Millisecond
)

// Keeper keeps the budgets of all organisations in a keyed topic of the log, spread over
// shards. Exported fields are set before Run.
type Keeper struct {
	Log logs.Log
	// Topic is the keyed topic, and Shards the number of its partitions that are used; the
	// same at every instance.
	Topic  string
	Shards int
	// Inc is the incarnation of this process; no other process ever has the same.
	Inc string
	// Book is what this instance holds.
	Book *Book
	// Timeout bounds one call to the log.
	Timeout time.Duration
	// Pause is the time between two looks at what other instances wrote.
	Pause time.Duration
	// Changed is told of each draw and return that was decided; optional.
	Changed func(organisation string, tokens int64, landed bool)
	// Unsettled is told of a batch whose outcome can't be known any more; optional.
	Unsettled func(sequence, tokens int64)
	// Unreadable is told of a record that can't be read; optional.
	Unreadable func(key string, err error)
	// Lost and Back are told when the log goes out of reach and comes back; optional.
	Lost func(err error)
	Back func(away time.Duration)

	shards        []*shard
	wanted        []chan struct{}
	organisations atomic.Pointer[[]string]
}

// String names the keeper for logs.
func (k *Keeper) String() string { return "keeper of prepaid budgets" }

// Default fills fields that were left empty.
func (k *Keeper) Default() {
	if k.Timeout == 0 {
		k.Timeout = DefaultTimeout
	}
	if k.Pause == 0 {
		k.Pause = DefaultPause
	}
	if k.Changed == nil {
		k.Changed = func(string, int64, bool) {}
	}
	if k.Unsettled == nil {
		k.Unsettled = func(int64, int64) {}
	}
	if k.Unreadable == nil {
		k.Unreadable = func(string, error) {}
	}
	if k.Lost == nil {
		k.Lost = func(error) {}
	}
	if k.Back == nil {
		k.Back = func(time.Duration) {}
	}
	k.Shards = max(k.Shards, 1)
	for i := range k.Shards {
		k.shards = append(k.shards, &shard{keeper: k, part: i, granted: map[string]int64{}})
		k.wanted = append(k.wanted, make(chan struct{}, 1))
	}
	k.Book.Wanted = k.want
	k.Book.Default()
}

// want wakes the writers; it never blocks.
func (k *Keeper) want() {
	for _, w := range k.wanted {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// Pay takes the organisations of the configuration.
func (k *Keeper) Pay(organisations []table.Organisation) {
	names := make([]string, 0, len(organisations))
	for _, o := range organisations {
		names = append(names, o.Name)
	}
	names = sorted(names)
	k.organisations.Store(&names)
	k.Book.Pay(organisations)
	k.want()
}

// of returns the organisations whose budgets a shard has.
func (k *Keeper) of(part int) []string {
	all := k.organisations.Load()
	if all == nil {
		return nil
	}
	var names []string
	for _, name := range *all {
		if int(xxhash.Sum64String(name)%uint64(k.Shards)) == part {
			names = append(names, name)
		}
	}
	return names
}

// Run keeps the budgets until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i, s := range k.shards {
		g.Go(func() error { return k.follower(s).Run(ctx) })
		g.Go(func() error { return k.write(ctx, s, k.wanted[i]) })
	}
	return g.Wait()
}

func (k *Keeper) follower(s *shard) *logs.Follower {
	return &logs.Follower{
		Log: k.Log, Topic: k.Topic, Part: s.part, Pause: k.Pause,
		Reset: func(records []logs.Record, end int64) {
			s.reset(records, end)
			k.read()
		},
		Apply:   func(records []logs.Record, _ int64) { s.apply(records) },
		Contact: func() { k.Book.SetReached(true) },
		Lost: func(err error) {
			k.Book.SetReached(false)
			k.Lost(err)
		},
		Back: k.Back,
	}
}

// read tells the book once all shards were read.
func (k *Keeper) read() {
	for _, s := range k.shards {
		s.mu.Lock()
		known := s.known
		s.mu.Unlock()
		if !known {
			return
		}
	}
	k.Book.SetKnown()
	k.want()
}

// write writes the batches of a shard whenever the book wants some.
func (k *Keeper) write(ctx context.Context, s *shard, wanted <-chan struct{}) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wanted:
		}
		for {
			err := s.write(ctx, k.of(s.part))
			if err == nil {
				k.Book.SetReached(true)
				break
			}
			if ctx.Err() != nil {
				return nil
			}
			if !s.readable() {
				break // the follower wakes this loop when it has read the state
			}
			k.Book.SetReached(false)
			pause(ctx, retryPause/2+rand.N(retryPause/2))
		}
	}
}

// readable reports whether the state of the shard was read.
func (s *shard) readable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// Return gives back all that this instance does not need for requests in flight. It
// returns when the log has taken it, or an error when the context ends before.
func (k *Keeper) Return(ctx context.Context) error {
	k.Book.Stop()
	for _, s := range k.shards {
		if !s.readable() {
			continue // nothing was drawn
		}
		if err := s.write(ctx, k.of(s.part)); err != nil {
			return fmt.Errorf("give back tokens: %w", err)
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
