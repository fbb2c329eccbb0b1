package purse

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/logs"
	"cranberryrail/core/pause"
	"cranberryrail/core/table"
)

// Defaults of Keeper.
const (
	// DefaultTimeout bounds one call to the log: some hundred times the usual time of an answer,
	// and less than the outages that are to be noticed.
	DefaultTimeout = 800 * time.Millisecond
	// DefaultPause is the time between two looks at what other instances wrote, while no request
	// depends on it.
	DefaultPause = 6 * time.Second
	// gather is how long changes that no request waits for are gathered for one append.
	gather = 300 * time.Millisecond
	// joinTime is how long after the first read of the budgets an instance waits before it
	// draws tokens that no request waits for: instances that start together are counted by then.
	joinTime = time.Second
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
	// Instance is the id of this instance, and Inc the incarnation of its process; no other
	// process ever has the same.
	Instance, Inc string
	// PromiseTopic is the keyed topic of promises, and PromiseParts the number of its partitions.
	PromiseTopic string
	PromiseParts int
	// Boot is the present boot of the machine; without it no promises are made.
	Boot string
	// Started is when the process began at the latest, on the machine's clock, which Book has.
	Started time.Duration
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
	// Lost and Back are told when a partition goes out of reach and comes back; optional.
	Lost func(part int, err error)
	Back func(part int, away time.Duration)
	// PromiseLost and PromiseBack are told the same of the topic of promises; optional.
	PromiseLost func(err error)
	PromiseBack func(away time.Duration)
	// Inherited is told what an earlier process of this instance had promised, and whether it
	// was taken over; optional.
	Inherited func(tokens map[string]int64, taken bool)

	promiser *promiser
	shards   []*shard
	// urgent wakes the writer of a shard at once, and refill at its next look.
	urgent        []chan struct{}
	refill        []atomic.Bool
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
		k.Lost = func(int, error) {}
	}
	if k.Back == nil {
		k.Back = func(int, time.Duration) {}
	}
	if k.PromiseLost == nil {
		k.PromiseLost = func(error) {}
	}
	if k.PromiseBack == nil {
		k.PromiseBack = func(time.Duration) {}
	}
	if k.Inherited == nil {
		k.Inherited = func(map[string]int64, bool) {}
	}
	k.promiser = newPromiser(k)
	k.Book.Promised = k.promiser.want
	k.Shards = max(k.Shards, 1)
	k.refill = make([]atomic.Bool, k.Shards)
	for i := range k.Shards {
		k.shards = append(k.shards, &shard{keeper: k, part: i, granted: map[string]int64{}, instances: map[string]bool{}})
		k.urgent = append(k.urgent, make(chan struct{}, 1))
	}
	k.Book.Wanted = k.want
	k.Book.Outdated = k.outdated
	k.Book.Reached = func(organisation string) bool { return !k.shards[k.shardOf(organisation)].outage.lasts() }
	k.Book.Default()
}

// want wakes the writer of an organisation's shard; it never blocks.
func (k *Keeper) want(organisation string, urgent bool) {
	i := k.shardOf(organisation)
	k.refill[i].Store(true)
	if urgent {
		notify(k.urgent[i])
	}
}

// notify wakes who waits for the channel, which has room for one; it never blocks.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// outdated makes the writer of an organisation's shard read it at its next look.
func (k *Keeper) outdated(organisation string) {
	i := k.shardOf(organisation)
	k.shards[i].outdated.Store(true)
	k.refill[i].Store(true)
}

// shardOf returns the shard that has an organisation's budget.
func (k *Keeper) shardOf(organisation string) int { return partOf(organisation, k.Shards) }

// partOf returns the partition, of a number of them, that a key belongs to.
func partOf(key string, parts int) int {
	return int(xxhash.Sum64String(key) % uint64(parts)) //nolint:gosec // less than the number of partitions
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
	for i := range k.refill {
		k.refill[i].Store(true)
	}
}

// of returns the organisations whose budgets a shard has.
func (k *Keeper) of(part int) []string {
	all := k.organisations.Load()
	if all == nil {
		return nil
	}
	var names []string
	for _, name := range *all {
		if k.shardOf(name) == part {
			names = append(names, name)
		}
	}
	return names
}

// Run keeps the budgets until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.promiser.run(ctx) })
	for i, s := range k.shards {
		g.Go(func() error { return k.keep(ctx, s, k.urgent[i], &k.refill[i]) })
	}
	return g.Wait()
}

// keep reads a shard and writes what the book wants, until the context ends.
func (k *Keeper) keep(ctx context.Context, s *shard, urgent <-chan struct{}, refill *atomic.Bool) error {
	look := time.NewTicker(gather)
	defer look.Stop()
	for {
		refill.Store(false)
		err := k.visit(ctx, s)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			refill.Store(true)
			pause.For(ctx, retryPause/2+rand.N(retryPause/2))
			continue
		}
		k.rest(ctx, s, look.C, urgent, refill)
	}
}

// visit reads a shard and writes what the book wants.
func (k *Keeper) visit(ctx context.Context, s *shard) error {
	err := s.write(ctx, k.of(s.part))
	if ctx.Err() == nil {
		k.reached(s, err)
	}
	return err
}

// Visit reads all shards once and writes what the book wants. Run does it whenever it is
// due; Visit is for callers that keep the time themselves.
func (k *Keeper) Visit(ctx context.Context) error {
	failed := k.promiser.renew(ctx)
	if ctx.Err() == nil {
		k.promiser.reached(failed)
	}
	for _, s := range k.shards {
		failed = errors.Join(failed, k.visit(ctx, s))
	}
	return failed
}

// rest waits until something is due.
func (k *Keeper) rest(ctx context.Context, s *shard, look <-chan time.Time, urgent <-chan struct{}, refill *atomic.Bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-urgent:
			return
		case <-look:
		}
		if refill.Load() || s.age() >= k.Pause {
			return
		}
	}
}

// reached notes whether the platform's log answers for a shard.
func (k *Keeper) reached(s *shard, err error) {
	lost := func(err error) {
		k.Lost(s.part, err)
		k.Book.Retry()
	}
	s.outage.note(err, lost, func(away time.Duration) { k.Back(s.part, away) })
}

// loaded tells the book once all shards were read.
func (k *Keeper) loaded() {
	for _, s := range k.shards {
		if !s.readable() {
			return
		}
	}
	k.Book.SetKnown()
}

// count tells the book how many instances take part, once those that start together had
// the time to write so.
func (k *Keeper) count(s *shard) {
	if s.part == 0 && k.Book.Now().Sub(s.loaded) >= joinTime {
		k.Book.SetInstances(len(s.instances))
	}
}

// promiseEvery returns the time between two promises. With many instances it grows, so that
// they don't make more calls together than some sixty a second.
func (k *Keeper) promiseEvery() time.Duration {
	return max(promiseEvery, time.Duration(k.Book.Instances())*promiseShare)
}

// readable reports whether the state of the shard was read.
func (s *shard) readable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// age returns the time since the state of the shard was read.
func (s *shard) age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.read)
}

// Return gives back all that this instance does not need for requests in flight. It
// returns when the log has taken it, or an error when the context ends before.
func (k *Keeper) Return(ctx context.Context) error {
	k.Book.Stop()
	if err := k.promiser.release(ctx); err != nil {
		return fmt.Errorf("give back tokens: %w", err)
	}
	for _, s := range k.shards {
		for s.readable() { // nothing was drawn of one that was not read
			err := s.write(ctx, k.of(s.part))
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("give back tokens: %w", err)
			}
			pause.For(ctx, retryPause/2+rand.N(retryPause/2))
		}
	}
	return nil
}
