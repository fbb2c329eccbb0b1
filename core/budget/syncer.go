package budget

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
	// DefaultPollInterval is the minimum time between two reads of what other instances wrote, while no
	// request depends on it.
	DefaultPollInterval = 6 * time.Second
	// minBatchInterval is the minimum time for which adjustments that no request waits for are collected for one
	// append, and batchIntervalPerWriter the time for each writer to a partition: several times the duration of a read
	// and an append, so that most appends meet no other one.
	minBatchInterval       = 300 * time.Millisecond
	batchIntervalPerWriter = 40 * time.Millisecond
	// pollIntervalInstances is the number of instances up to which the poll interval is PollInterval. With more, it
	// grows in proportion.
	pollIntervalInstances = 150
	// unheldPollFactor is the factor by which the poll interval is longer for a partition with no budget that this
	// instance is a holder of.
	unheldPollFactor = 5
	// joinDelay is how long after the first read of the budgets, and after the last of the instances that start
	// together has registered, the instances are not counted yet. Until then no base share is drawn.
	joinDelay = time.Second
	// maxRetryDelay is the maximum delay after a failed call. It doubles with each further failure of a partition, up to
	// maxOutageRetryDelay; a partition that is reachable again ends the delays of all others.
	maxRetryDelay       = 250 * time.Millisecond
	maxOutageRetryDelay = 4 * time.Second
	// countingTime is how long after the first read of the budgets, and after the last instance has registered, the
	// registered instances are read every countingInterval.
	countingTime     = 3 * time.Second
	countingInterval = time.Second
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
	// PeerAddr is the address at which this instance lends tokens to others; optional.
	PeerAddr string
	// PromiseTopic is the keyed topic of promises, and PromiseParts the number of its partitions.
	PromiseTopic string
	PromiseParts int
	// FirstEraTopic is the keyed topic that holds the era of the log in which the fleet started for the first time; optional.
	FirstEraTopic string
	// WitnessTopic is the keyed topic in which instances record what they knew of an era of the log that ended; optional.
	WitnessTopic string
	// Boot is the id of the current boot of the machine; without it no promises are made.
	Boot string
	// FirstStart is set if the fleet starts for the first time, so that the log has no records of it.
	FirstStart bool
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
	// OnInstances is called with the ids of all instances that ever registered, once they are known and whenever another one registers. joined
	// is set if this instance was added to an existing fleet, so that other instances may not know of it yet. Optional.
	OnInstances func(ids []string, joined bool)
	// OnPromiseOutage and OnPromiseRecovery are the same for the topic of promises; optional.
	OnPromiseOutage   func(err error)
	OnPromiseRecovery func(duration time.Duration)
	// OnFirstEraOutage and OnFirstEraRecovery are the same for the topic of the first era; optional.
	OnFirstEraOutage   func(err error)
	OnFirstEraRecovery func(duration time.Duration)
	// OnWitnessOutage and OnWitnessRecovery are the same for the topic of witnesses; optional.
	OnWitnessOutage   func(err error)
	OnWitnessRecovery func(duration time.Duration)
	// OnInherited is called with the tokens that an earlier process of this instance had promised,
	// and whether they were taken over; optional.
	OnInherited func(tokens map[string]int64, taken bool)

	promises      *promiseWriter
	firstEra      *firstEra
	witnesses     *witnesses
	partitions    []*partition
	organisations atomic.Pointer[[]string]
	// rank ranks the instances for each budget; nil while they are not counted.
	rank atomic.Pointer[ranking]
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
	if sy.OnInstances == nil {
		sy.OnInstances = func([]string, bool) {}
	}
	for _, f := range []*func(error){&sy.OnPromiseOutage, &sy.OnFirstEraOutage, &sy.OnWitnessOutage} {
		if *f == nil {
			*f = func(error) {}
		}
	}
	for _, f := range []*func(time.Duration){&sy.OnPromiseRecovery, &sy.OnFirstEraRecovery, &sy.OnWitnessRecovery} {
		if *f == nil {
			*f = func(time.Duration) {}
		}
	}
	if sy.OnInherited == nil {
		sy.OnInherited = func(map[string]int64, bool) {}
	}
	sy.promises, sy.firstEra, sy.witnesses = newPromiseWriter(sy), newFirstEra(sy), newWitnesses(sy)
	sy.Book.witnessing = sy.WitnessTopic != ""
	sy.Book.OnPromiseBlocking = sy.promises.scheduleRenewal
	sy.Shards = max(sy.Shards, 1)
	for i := range sy.Shards {
		sy.partitions = append(sy.partitions, newPartition(sy, i))
	}
	sy.Book.OnAdjustmentDue = sy.scheduleSync
	sy.Book.OnStaleRefusal = sy.markStale
	sy.Book.IsHolder = sy.isHolder
	sy.Book.LogReachable = func(organisation string) bool {
		return !sy.partitions[sy.partitionIndex(organisation)].outage.ongoing()
	}
	sy.Book.Default()
}

// scheduleSync schedules a sync of an organisation's partition: immediately if urgent, otherwise after
// the batch interval. It never blocks.
func (sy *Syncer) scheduleSync(organisation string, urgent bool) {
	p := sy.partitions[sy.partitionIndex(organisation)]
	if urgent {
		notify(p.wake)
		return
	}
	notify(p.due)
}

// notify wakes the receiver of a channel that has a buffer of one. It never blocks.
func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// markStale makes an organisation's partition be read after the batch interval.
func (sy *Syncer) markStale(organisation string) {
	p := sy.partitions[sy.partitionIndex(organisation)]
	p.stale.Store(true)
	notify(p.due)
}

// ReserveWait returns how long a request waits for tokens of an organisation, given how long one waits usually. It is MaxWait until the instances are counted, and
// until this one has held tokens of the budget, since the first draws of instances that start together conflict, unless more have registered than
// are holders: the draws of that many would only conflict for longer.
func (sy *Syncer) ReserveWait(organisation string, usual time.Duration) time.Duration {
	if sy.Book.hasDrawn(organisation) || sy.partitions[0].registrations() > MaxHolders {
		return usual
	}
	return max(usual, sy.Book.MaxWait)
}

// ScheduleAll schedules a sync of all partitions after the batch interval. It never blocks.
func (sy *Syncer) ScheduleAll() {
	for _, p := range sy.partitions {
		notify(p.due)
	}
}

// partitionIndex returns the index of the partition that stores an organisation's budget.
func (sy *Syncer) partitionIndex(organisation string) int {
	return bucketOf(budgetName(organisation), sy.Shards)
}

// bucketOf returns the bucket that a key is hashed to, from 0 to buckets-1.
func bucketOf(key string, buckets int) int {
	return int(xxhash.Sum64String(key) % uint64(buckets)) //nolint:gosec // less than the number of buckets
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
	sy.ScheduleAll()
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
	if sy.FirstEraTopic != "" {
		g.Go(func() error { return sy.firstEra.run(ctx) })
	}
	if sy.WitnessTopic != "" {
		g.Go(func() error { return sy.witnesses.run(ctx) })
	}
	for _, p := range sy.partitions {
		g.Go(func() error { return sy.runPartition(ctx, p) })
	}
	return g.Wait()
}

// runPartition syncs a partition whenever that is due, until the context ends.
func (sy *Syncer) runPartition(ctx context.Context, p *partition) error {
	for failures := 0; ; {
		err := sy.syncPartition(ctx, p)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			if failures > 0 {
				sy.retryAll()
			}
			failures = 0
			p.waitUntilDue(ctx)
			continue
		}
		limit := min(maxRetryDelay<<min(failures, maxBackoffDoublings), maxOutageRetryDelay)
		failures++
		sy.waitToRetry(ctx, p, limit/2+rand.N(limit/2))
	}
}

// retryAll ends the delays of all partitions after failed calls.
func (sy *Syncer) retryAll() {
	for _, p := range sy.partitions {
		notify(p.retry)
	}
}

// waitToRetry waits for a delay after a failed call. A waiting request does not shorten it.
func (sy *Syncer) waitToRetry(ctx context.Context, p *partition, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.retry:
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
	return errors.Join(failed, sy.firstEra.sync(ctx), sy.witnesses.sync(ctx))
}

// waitUntilDue waits until a sync of the partition is due.
func (p *partition) waitUntilDue(ctx context.Context) {
	poll := time.NewTimer(max(0, p.pollInterval()-p.age()))
	defer poll.Stop()
	select {
	case <-ctx.Done():
		return
	case <-p.wake:
		return
	case <-poll.C:
		return
	case <-p.due:
	}
	interval := p.batchInterval()
	batch := time.NewTimer(max(interval*3/4+rand.N(interval/2), p.backgroundDelay()))
	defer batch.Stop()
	select {
	case <-ctx.Done():
	case <-p.wake:
	case <-batch.C:
	}
}

// batchInterval returns how long adjustments that no request waits for are collected for one append. The writers are
// the holders of the partition's budgets.
func (p *partition) batchInterval() time.Duration {
	writers := p.syncer.Book.holders() * int64(len(p.syncer.organisationsOf(p.index)))
	return max(minBatchInterval, time.Duration(writers)*batchIntervalPerWriter)
}

// pollInterval returns the time between two reads of what other instances wrote, while no request depends on it.
func (sy *Syncer) pollInterval() time.Duration {
	return max(sy.PollInterval, sy.PollInterval*time.Duration(sy.Book.InstanceCount())/pollIntervalInstances)
}

// pollInterval returns the time between two reads of the partition while no request depends on it.
func (p *partition) pollInterval() time.Duration {
	sy := p.syncer
	interval := sy.pollInterval()
	if p.index != 0 && !slices.ContainsFunc(sy.organisationsOf(p.index), sy.isHolder) {
		interval *= unheldPollFactor
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := sy.Book.Now(); p.index == 0 && p.loaded && (now.Sub(p.loadedAt) < countingTime || now.Sub(p.joinedAt) < countingTime) {
		interval = min(interval, countingInterval)
	}
	return interval
}

// recordOutcome records whether a partition is reachable.
func (sy *Syncer) recordOutcome(p *partition, err error) {
	onBegin := func(err error) {
		sy.OnOutage(p.index, err)
		sy.Book.ServeAllWaiters()
	}
	p.outage.record(err, onBegin, func(duration time.Duration) {
		sy.Book.RecordOutage(duration)
		sy.OnRecovery(p.index, duration)
	})
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

// updateInstances updates the number of instances and the holders of budgets, once instances that started together
// have registered. The caller holds the partition's lock.
func (sy *Syncer) updateInstances(p *partition) {
	now := sy.Book.Now()
	if p.index != 0 || !p.loaded || now.Sub(p.loadedAt) < joinDelay || sy.Book.InstanceCount() == 0 && now.Sub(p.joinedAt) < joinDelay {
		return
	}
	if len(p.instances) == int(sy.Book.InstanceCount()) {
		return
	}
	sy.Book.SetInstanceCount(len(p.instances))
	sy.rank.Store(rankInstances(sy.Instance, p.instances))
	sy.OnInstances(slices.Collect(maps.Keys(p.instances)), p.joined)
	sy.ScheduleAll()
}

// registrations returns the number of instances that are known to have registered.
func (p *partition) registrations() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.instances)
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
			organisations := sy.organisationsOf(p.index)
			err := p.syncHoldings(ctx, organisations)
			if err == nil && !slices.ContainsFunc(organisations, sy.Book.AdjustmentDue) {
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
