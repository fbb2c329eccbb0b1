package budget

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

// Defaults of Syncer.
const (
	// DefaultTimeout limits one call to the log: about a hundred times the usual latency, and
	// shorter than the outages that must be detected.
	DefaultTimeout = 800 * time.Millisecond
	// DefaultPollInterval is the time between two reads of what other instances wrote, while no
	// request depends on it.
	DefaultPollInterval = 6 * time.Second
	// batchInterval is how long adjustments that no request waits for are collected for one append.
	batchInterval = 300 * time.Millisecond
	// joinDelay is how long after the first read of the budgets the instances are not counted yet,
	// so that instances that start together are all included. Until then no base share is drawn.
	joinDelay = time.Second
	// maxRetryDelay is the maximum delay after a failed call.
	maxRetryDelay = 250 * time.Millisecond
)

// Syncer synchronises the holdings of a Book with the budgets of all organisations, which are
// stored in a keyed topic of the log and spread over its partitions. Exported fields are set before Default.
type Syncer struct {
	Log logs.Log
	// Topic is the keyed topic of budgets, and Shards the number of its partitions in use, which
	// must be the same at every instance.
	Topic  string
	Shards int
	// Instance is the id of this instance, and Incarnation the incarnation id of its process, which is
	// unique to the process.
	Instance, Incarnation string
	// PromiseTopic is the keyed topic of promises, and PromiseParts the number of its partitions.
	PromiseTopic string
	PromiseParts int
	// Boot is the id of the current boot of the machine; without it no promises are made.
	Boot string
	// Started is the latest possible start time of the process, on the clock of Book.Uptime.
	Started time.Duration
	// Book tracks the holdings of this instance.
	Book *Book
	// Timeout limits one call to the log.
	Timeout time.Duration
	// PollInterval is the time between two reads of what other instances wrote.
	PollInterval time.Duration
	// OnAdjusted is called for each draw or return once the record at its offset was read; it is not called for a batch
	// that the platform refused. Optional.
	OnAdjusted func(organisation string, tokens int64, committed bool)
	// OnUnsettled is called for a batch whose outcome can no longer be determined, with the sum of its draws and
	// returns; optional.
	OnUnsettled func(sequence, tokens int64)
	// OnInvalidRecord is called for an invalid record; optional.
	OnInvalidRecord func(key string, err error)
	// OnOutage is called when a partition becomes unreachable, and OnRecovery when it is reachable again;
	// optional.
	OnOutage   func(part int, err error)
	OnRecovery func(part int, duration time.Duration)
	// OnPromiseOutage and OnPromiseRecovery are the same for the topic of promises; optional.
	OnPromiseOutage   func(err error)
	OnPromiseRecovery func(duration time.Duration)
	// OnInherited is called with the tokens that an earlier process of this instance had promised,
	// and whether they were taken over; optional.
	OnInherited func(tokens map[string]int64, taken bool)

	promises   *promiseWriter
	partitions []*partition
	// wake triggers a sync of a partition immediately, and due at its next tick.
	wake          []chan struct{}
	due           []atomic.Bool
	organisations atomic.Pointer[[]string]
}

// String returns the name used in logs.
func (sy *Syncer) String() string { return "syncer of prepaid budgets" }

// Default sets unset fields to their defaults and connects the Book.
func (sy *Syncer) Default() {
	if sy.Timeout == 0 {
		sy.Timeout = DefaultTimeout
	}
	if sy.PollInterval == 0 {
		sy.PollInterval = DefaultPollInterval
	}
	if sy.OnAdjusted == nil {
		sy.OnAdjusted = func(string, int64, bool) {}
	}
	if sy.OnUnsettled == nil {
		sy.OnUnsettled = func(int64, int64) {}
	}
	if sy.OnInvalidRecord == nil {
		sy.OnInvalidRecord = func(string, error) {}
	}
	if sy.OnOutage == nil {
		sy.OnOutage = func(int, error) {}
	}
	if sy.OnRecovery == nil {
		sy.OnRecovery = func(int, time.Duration) {}
	}
	if sy.OnPromiseOutage == nil {
		sy.OnPromiseOutage = func(error) {}
	}
	if sy.OnPromiseRecovery == nil {
		sy.OnPromiseRecovery = func(time.Duration) {}
	}
	if sy.OnInherited == nil {
		sy.OnInherited = func(map[string]int64, bool) {}
	}
	sy.promises = newPromiseWriter(sy)
	sy.Book.OnPromiseBlocking = sy.promises.scheduleRenewal
	sy.Shards = max(sy.Shards, 1)
	sy.due = make([]atomic.Bool, sy.Shards)
	for i := range sy.Shards {
		sy.partitions = append(sy.partitions, &partition{syncer: sy, index: i, granted: map[string]int64{}, instances: map[string]bool{}})
		sy.wake = append(sy.wake, make(chan struct{}, 1))
	}
	sy.Book.OnAdjustmentDue = sy.scheduleSync
	sy.Book.OnStaleRefusal = sy.markStale
	sy.Book.LogReachable = func(organisation string) bool {
		return !sy.partitions[sy.partitionIndex(organisation)].outage.ongoing()
	}
	sy.Book.Default()
}

// scheduleSync schedules a sync of an organisation's partition: immediately if urgent, otherwise at the
// next tick. It never blocks.
func (sy *Syncer) scheduleSync(organisation string, urgent bool) {
	i := sy.partitionIndex(organisation)
	sy.due[i].Store(true)
	if urgent {
		notify(sy.wake[i])
	}
}

// notify wakes the receiver of a channel that has a buffer of one. It never blocks.
func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// markStale makes an organisation's partition be read at its next tick.
func (sy *Syncer) markStale(organisation string) {
	i := sy.partitionIndex(organisation)
	sy.partitions[i].stale.Store(true)
	sy.due[i].Store(true)
}

// partitionIndex returns the index of the partition that stores an organisation's budget.
func (sy *Syncer) partitionIndex(organisation string) int {
	return partitionOf(organisation, sy.Shards)
}

// partitionOf returns the partition of a key, from 0 to partitions-1.
func partitionOf(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions)) //nolint:gosec // less than the number of partitions
}

// SetOrganisations applies the organisations of the configuration and what they have paid for.
func (sy *Syncer) SetOrganisations(organisations []table.Organisation) {
	names := make([]string, 0, len(organisations))
	for _, o := range organisations {
		names = append(names, o.Name)
	}
	names = sorted(names)
	sy.organisations.Store(&names)
	sy.Book.SetPaid(organisations)
	for i := range sy.due {
		sy.due[i].Store(true)
	}
}

// organisationsOf returns the organisations whose budgets a partition stores.
func (sy *Syncer) organisationsOf(index int) []string {
	configured := sy.organisations.Load()
	if configured == nil {
		return nil
	}
	var names []string
	for _, name := range *configured {
		if sy.partitionIndex(name) == index {
			names = append(names, name)
		}
	}
	return names
}

// Run synchronises the budgets and renews the promises until the context ends.
func (sy *Syncer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sy.promises.run(ctx) })
	for i, p := range sy.partitions {
		g.Go(func() error { return sy.runPartition(ctx, p, sy.wake[i], &sy.due[i]) })
	}
	return g.Wait()
}

// runPartition syncs a partition whenever that is due, until the context ends.
func (sy *Syncer) runPartition(ctx context.Context, p *partition, wake <-chan struct{}, due *atomic.Bool) error {
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	for {
		due.Store(false)
		err := sy.syncPartition(ctx, p)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			due.Store(true)
			pause.For(ctx, maxRetryDelay/2+rand.N(maxRetryDelay/2))
			continue
		}
		sy.waitUntilDue(ctx, p, ticker.C, wake, due)
	}
}

// syncPartition reads a partition, writes the adjustments that the book requests and records the outcome.
func (sy *Syncer) syncPartition(ctx context.Context, p *partition) error {
	err := p.syncHoldings(ctx, sy.organisationsOf(p.index))
	if ctx.Err() == nil {
		sy.recordOutcome(p, err)
	}
	return err
}

// Sync renews the promise and syncs all partitions once. Run does so whenever it is due; Sync is for
// callers that control the timing themselves.
func (sy *Syncer) Sync(ctx context.Context) error {
	failed := sy.promises.renew(ctx)
	if ctx.Err() == nil {
		sy.promises.recordOutcome(failed)
	}
	for _, p := range sy.partitions {
		failed = errors.Join(failed, sy.syncPartition(ctx, p))
	}
	return failed
}

// waitUntilDue waits until a sync of the partition is due.
func (sy *Syncer) waitUntilDue(ctx context.Context, p *partition, tick <-chan time.Time, wake <-chan struct{}, due *atomic.Bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
			return
		case <-tick:
		}
		if due.Load() || p.age() >= sy.PollInterval {
			return
		}
	}
}

// recordOutcome records whether a partition is reachable.
func (sy *Syncer) recordOutcome(p *partition, err error) {
	onBegin := func(err error) {
		sy.OnOutage(p.index, err)
		sy.Book.ServeAllWaiters()
	}
	p.outage.record(err, onBegin, func(duration time.Duration) { sy.OnRecovery(p.index, duration) })
}

// markLoaded marks the book as loaded once all partitions were read.
func (sy *Syncer) markLoaded() {
	for _, p := range sy.partitions {
		if !p.isLoaded() {
			return
		}
	}
	sy.Book.SetLoaded()
}

// updateInstanceCount sets the book's number of instances, once joinDelay has passed and instances
// that started together have recorded themselves.
func (sy *Syncer) updateInstanceCount(p *partition) {
	if p.index == 0 && sy.Book.Now().Sub(p.loadedAt) >= joinDelay {
		sy.Book.SetInstanceCount(len(p.instances))
	}
}

// promiseInterval returns the time between two promises. It grows with the number of instances, so
// that together they make at most about sixty calls per second.
func (sy *Syncer) promiseInterval() time.Duration {
	return max(minPromiseInterval, time.Duration(sy.Book.InstanceCount())*promiseIntervalPerInstance)
}

// isLoaded reports whether the state of the partition was read.
func (p *partition) isLoaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}

// age returns the time since the state of the partition was last read.
func (p *partition) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.readAt)
}

// ReturnTokens returns all tokens that this instance does not need for requests in flight. It blocks
// until the log has recorded the return, and fails if the context ends before.
func (sy *Syncer) ReturnTokens(ctx context.Context) error {
	sy.Book.Stop()
	if err := sy.promises.release(ctx); err != nil {
		return fmt.Errorf("return unused tokens: %w", err)
	}
	for _, p := range sy.partitions {
		for p.isLoaded() { // nothing was drawn from a partition that was never read
			err := p.syncHoldings(ctx, sy.organisationsOf(p.index))
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("return unused tokens: %w", err)
			}
			pause.For(ctx, maxRetryDelay/2+rand.N(maxRetryDelay/2))
		}
	}
	return nil
}
