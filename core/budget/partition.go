package budget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cranberryrail/core/logs"
	"cranberryrail/core/pause"
)

// instancePrefix is the key prefix of the records that register instances. The number of instances
// determines the share of each.
const instancePrefix = "instance/"

// grantRecord is the value of an organisation's record.
type grantRecord struct {
	// Granted is the total number of tokens granted to all instances.
	Granted int64 `json:"granted"`
	// By is the incarnation id of the writer, and Sequence the number of its batch.
	By       string `json:"by"`
	Sequence int64  `json:"sequence"`
	// Drawn, Kept, RiskLimit and WrittenOff are those of Grants; the era is in the key.
	Drawn      int64 `json:"drawn,omitempty"`
	Kept       int64 `json:"kept,omitempty"`
	RiskLimit  int64 `json:"risk_limit,omitempty"`
	WrittenOff int64 `json:"written_off,omitempty"`
	// Lost, Base and Strict are those of Grants.
	Lost   int64 `json:"lost,omitempty"`
	Base   int64 `json:"base,omitempty"`
	Strict bool  `json:"strict,omitempty"`
	// Peer is the address at which an instance lends tokens, and Since and Established are those of its registration; only in records that register
	// instances.
	Peer        string `json:"peer,omitempty"`
	Since       int64  `json:"since,omitempty"`
	Established bool   `json:"established,omitempty"`
}

// adjustment is a draw, or a return if tokens is negative.
type adjustment struct {
	organisation string
	tokens       int64
}

// batch is an append whose outcome is not known yet.
type batch struct {
	offset      int64
	sequence    int64
	records     []logs.Record
	adjustments []adjustment
	// inDoubt is set when an append of the batch was not answered and may still commit.
	inDoubt bool
}

// partition is one partition of the topic of budgets: the state built from its records, and the writer
// of this instance.
type partition struct {
	syncer *Syncer
	index  int
	outage outage
	// stale is set when a request was refused on the basis of state read earlier.
	stale atomic.Bool
	// wake triggers a sync immediately, and due one after the batch interval. retry ends the delay after a failed call.
	wake, due, retry chan struct{}

	mu     sync.Mutex
	loaded bool
	// era is the era of the log that the state was read in. newFleetEra is the era that it was first read in if that was
	// before any instance of a new fleet could draw, else noEra.
	era, newFleetEra int64
	// firstLoaded is set once the state was read, and drawsFrom is the time before which nothing is drawn for a new fleet.
	firstLoaded bool
	drawsFrom   time.Time
	// loadedAt is when the state was first read in this era.
	loadedAt time.Time
	end      int64
	readAt   time.Time
	// instances maps the ids of all instances ever registered to their addresses for loans, and joinedAt is when
	// the last one was seen to register.
	instances map[string]string
	// registered maps the ids of all instances ever registered to their registrations. registeredAt is when that of this instance was read first, and
	// established is set once each copy contains it.
	registered   map[string]registration
	registeredAt time.Time
	established  bool
	// last is the last state of an earlier era.
	last *lastState
	// wasRegistered is set once this instance is registered, and joined if other instances had registered before it.
	wasRegistered, joined bool
	joinedAt              time.Time
	pending               *batch
	// sequence numbers the batches of this instance.
	sequence int64
	// conflicts is the number of appends in a row that lost against another instance while no request
	// waited, and backgroundAt the time before which no such append is attempted.
	conflicts    int
	backgroundAt time.Time
}

func newPartition(sy *Syncer, index int) *partition {
	return &partition{
		syncer: sy, index: index, wake: make(chan struct{}, 1), due: make(chan struct{}, 1), retry: make(chan struct{}, 1),
		newFleetEra: noEra, instances: map[string]string{}, registered: map[string]registration{},
	}
}

// noEra is no era of the log.
const noEra = -1

// Timing of the start of a new fleet, whose instances start at the same time, so that all of them have read the log before
// the first draw. An instance that reads it later can't tell a new log from one that was restored.
const (
	newFleetLoadTime  = 2 * time.Second
	newFleetDrawDelay = 3 * time.Second
)

// applySnapshot rebuilds the state from the newest records. A pending batch that may be among the
// skipped records counts as unsettled: its draws are not spent, and its returns are not reverted.
// If the newest record of a budget is invalid, it is not known what was granted of it, and nothing is drawn until a valid one is read.
func (p *partition) applySnapshot(s logs.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readAt = time.Now()
	if p.loaded && s.Era < p.era || p.loaded && s.Era == p.era && s.End < p.end {
		return
	}
	if p.loaded && s.Era > p.era {
		p.reset()
	}
	p.era = s.Era
	p.applyNewest(s.Records)
	if p.pending != nil && s.End > p.pending.offset {
		p.dropPending()
	}
	if !p.loaded {
		p.loadedAt = p.syncer.Book.Now()
	}
	if p.syncer.FirstStart && !p.firstLoaded {
		p.beginNewFleet(s.Records)
	}
	p.announceEarlierFleet()
	p.firstLoaded = true
	p.end, p.loaded = s.End, true
	_, _ = p.establish()
	p.serveWaiters(s.Records)
}

// applyNewest applies the newest records of all keys.
func (p *partition) applyNewest(records []logs.Record) {
	for _, r := range records {
		if _, err := p.applyRecord(r); err == nil {
			continue
		}
		if organisation, era := parseRecordKey(r.Key); era >= 0 && era <= p.era {
			p.syncer.Book.RecordUnknown(organisation, era, p.era)
		}
	}
}

// beginNewFleet records that the state, with the given records, was first read when the fleet starts for the first time.
func (p *partition) beginNewFleet(records []logs.Record) {
	sy := p.syncer
	if !sy.Log.HasEras() {
		return
	}
	p.drawsFrom = sy.Book.Now().Add(newFleetDrawDelay)
	drawn := slices.ContainsFunc(records, func(r logs.Record) bool { return !strings.HasPrefix(r.Key, instancePrefix) })
	if sy.Book.Uptime()-sy.Started <= newFleetLoadTime && !drawn {
		p.newFleetEra = p.era
	}
}

// knownNewFleetEra returns the era that the state was first read in if that was before any instance of a new fleet could draw.
func (p *partition) knownNewFleetEra() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newFleetEra
}

// dropPending counts the pending batch as unsettled: its draws are not spent, and its returns are not reverted.
func (p *partition) dropPending() {
	p.syncer.OnUnsettled(p.pending.sequence, p.pending.tokens())
	p.pending = nil
}

// reset drops the state when the log was restored from an older copy. What this instance holds stays spendable, since
// the records of the new era count it as granted.
func (p *partition) reset() {
	if p.pending != nil {
		p.dropPending()
	}
	if p.loaded {
		p.last = &lastState{p.era, partitionWitness{End: p.end, Granted: p.syncer.Book.strictGrants(p.syncer.organisationsOf(p.index), p.era)}}
	}
	p.loaded, p.end, p.readAt = false, 0, time.Time{}
	p.instances, p.registered = map[string]string{}, map[string]registration{}
	if !p.established {
		p.registeredAt = time.Time{} // an append of the earlier era may commit late
	}
}

// checkEra returns logs.ErrNewEra, and drops the state, if the log was restored since the state was read. A reply counts
// only if that is not so after it.
func (p *partition) checkEra() error {
	era := p.syncer.Log.CurrentEra()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded || p.era == era {
		return nil
	}
	p.reset()
	return logs.ErrNewEra
}

// tokens returns the sum of the adjustments of a batch.
func (b *batch) tokens() int64 {
	var sum int64
	for _, adj := range b.adjustments {
		sum += adj.tokens
	}
	return sum
}

// apply applies records in order and skips those that were applied before.
func (p *partition) apply(records []logs.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readAt = time.Now()
	for _, r := range records {
		if r.Offset < p.end {
			continue
		}
		written, _ := p.applyRecord(r) // an invalid record granted nothing
		p.end = r.Offset + 1
		p.resolve(r.Offset, written)
	}
	p.serveWaiters(records)
}

// serveWaiters re-evaluates the reservations that wait for budgets whose records were applied.
func (p *partition) serveWaiters(records []logs.Record) {
	for _, r := range records {
		organisation, _ := parseRecordKey(r.Key)
		p.syncer.Book.ServeWaiters(organisation)
	}
}

// maxTokens bounds the numbers of a record, so that sums of several don't overflow. It is far above any budget.
const maxTokens = 1 << 53

var (
	errTokens = fmt.Errorf("a number of tokens is out of range; allowed: 0 to %d", int64(maxTokens))
	errEra    = errors.New("the key names an era of the log that has not begun")
)

// isTokens reports whether all numbers can be numbers of tokens.
func isTokens(numbers ...int64) bool {
	return slices.Min(numbers) >= 0 && slices.Max(numbers) <= maxTokens
}

// applyRecord applies one record to the state and returns its value. An invalid record changes
// nothing: its writer was not an instance.
func (p *partition) applyRecord(r logs.Record) (grantRecord, error) {
	var e grantRecord
	if len(r.Value) == 0 {
		return e, nil
	}
	organisation, era := parseRecordKey(r.Key)
	err := json.Unmarshal(r.Value, &e)
	switch {
	case err != nil:
	case !isTokens(e.Granted, e.Drawn, e.Kept, e.RiskLimit, e.WrittenOff, e.Lost, e.Base):
		err = errTokens
	case era < 0 || era > p.era:
		err = errEra
	}
	if err != nil {
		p.syncer.OnInvalidRecord(r.Key, err)
		return grantRecord{}, err
	}
	if name, ok := strings.CutPrefix(r.Key, instancePrefix); ok {
		if address, known := p.instances[name]; !known || address != e.Peer {
			p.instances[name], p.joinedAt = e.Peer, p.syncer.Book.Now()
		}
		p.registered[name] = registration{e.Since, e.Established}
		return e, nil
	}
	g := Grants{
		Era: era, Granted: e.Granted, Drawn: e.Drawn, Kept: e.Kept, RiskLimit: e.RiskLimit, WrittenOff: e.WrittenOff,
		Lost: e.Lost, Base: e.Base, Strict: e.Strict,
	}
	p.syncer.Book.RecordGrants(organisation, g, p.era, p.syncer.Log.HasEras())
	return e, nil
}

// recordMissing handles organisations without a record in the log.
func (p *partition) recordMissing(organisations []string) {
	sy := p.syncer
	first := sy.firstEra.earliest()
	if p.newFleetEra != noEra {
		first = max(first, p.newFleetEra)
	}
	for _, name := range organisations {
		if sy.Book.recordMissing(name, p.era, first, p.loadedAt, sy.Log.HasEras()) {
			sy.firstEra.need()
		}
	}
}

// resolve commits or aborts the pending batch once the record at its offset is known.
func (p *partition) resolve(offset int64, written grantRecord) {
	b := p.pending
	if b == nil || offset != b.offset {
		return
	}
	p.pending = nil
	committed := written.By == p.syncer.Incarnation && written.Sequence == b.sequence
	if committed {
		// The records of a batch are contiguous: the others follow the first.
		for _, r := range b.records[1:] {
			_, _ = p.applyRecord(r) // records of this process are valid
		}
		p.end = b.offset + int64(len(b.records))
	}
	for _, adj := range b.adjustments {
		if committed {
			p.syncer.Book.CommitAdjustment(adj.organisation, adj.tokens)
		} else {
			p.syncer.Book.AbortAdjustment(adj.organisation, adj.tokens)
		}
		if adj.tokens != 0 {
			p.syncer.OnAdjusted(adj.organisation, adj.tokens, committed)
		}
	}
}

// prepare returns the pending batch or creates the next one; nil if there is nothing to write.
func (p *partition) prepare(organisations []string) *batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending != nil {
		return p.pending
	}
	if !p.loaded || p.syncer.Book.Now().Before(p.drawsFrom) {
		return nil
	}
	p.recordMissing(organisations)
	b := &batch{offset: p.end, sequence: p.sequence + 1}
	for _, name := range organisations {
		tokens := p.syncer.Book.BeginAdjustment(name)
		if tokens == 0 && !p.syncer.Book.RecordDue(name) {
			continue
		}
		b.adjustments = append(b.adjustments, adjustment{name, tokens})
		b.records = append(b.records, p.newRecord(b, name, tokens))
	}
	if len(b.records) == 0 {
		return nil
	}
	p.sequence++
	p.pending = b
	return b
}

// newRecord returns the next record of a batch, which adds a draw or a return to those in the log.
func (p *partition) newRecord(b *batch, organisation string, tokens int64) logs.Record {
	g := p.syncer.Book.NextGrants(organisation, tokens)
	e := grantRecord{
		Granted: g.Granted, By: p.syncer.Incarnation, Sequence: b.sequence,
		Drawn: g.Drawn, Kept: g.Kept, RiskLimit: g.RiskLimit, WrittenOff: g.WrittenOff,
		Lost: g.Lost, Base: g.Base, Strict: g.Strict,
	}
	value, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("encode budget record: %v", err)) // the type can always be encoded
	}
	return logs.Record{Offset: b.offset + int64(len(b.records)), Key: recordKey(organisation, g.Era), Value: value}
}

// abort reverts a batch that certainly was not and will not be written.
func (p *partition) abort(b *batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending != b {
		return
	}
	p.pending = nil
	for _, adj := range b.adjustments {
		p.syncer.Book.AbortAdjustment(adj.organisation, adj.tokens)
	}
}

// maxFreshAge is the maximum age of the state at which a batch is appended without reading first:
// less than the usual time between the appends of two instances of a large fleet.
const maxFreshAge = 5 * time.Millisecond

// syncHoldings reads the partition and adjusts the holdings of this instance as the book requests. It starts again when
// the log was restored meanwhile.
func (p *partition) syncHoldings(ctx context.Context, organisations []string) error {
	for {
		err := p.checkEra()
		if err == nil {
			err = p.trySyncHoldings(ctx, organisations)
		}
		if !errors.Is(err, logs.ErrNewEra) || ctx.Err() != nil {
			return err
		}
	}
}

func (p *partition) trySyncHoldings(ctx context.Context, organisations []string) error {
	if !p.syncDue(organisations) {
		return nil
	}
	p.stale.Store(false)
	if err := p.refresh(ctx); err != nil {
		p.stale.Store(true) // a sync stays due until a read succeeds
		return err
	}
	if err := p.register(ctx); err != nil {
		return err
	}
	if err := p.syncer.firstEra.loadOnce(ctx); err != nil {
		return err
	}
	for conflicts := 1; ; conflicts++ {
		b := p.prepare(organisations)
		if b == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		retry, err := p.append(ctx, b)
		if err != nil || !retry {
			p.recordConflict(false)
			return err
		}
		if conflicts >= maxBackgroundAttempts && !p.syncer.Book.Waiting(organisations) {
			p.recordConflict(true)
			return nil
		}
		pause.For(ctx, rand.N(min(time.Duration(conflicts)*conflictBackoff, maxConflictBackoff)))
		if err := p.refresh(ctx); err != nil {
			return err
		}
	}
}

// syncDue reports whether the partition must be synced: its state is missing, stale or older than the
// poll interval, or there is a batch or an adjustment to write.
func (p *partition) syncDue(organisations []string) bool {
	interval := p.pollInterval()
	p.mu.Lock()
	due := !p.loaded || p.pending != nil || time.Since(p.readAt) >= interval
	p.mu.Unlock()
	return p.stale.Load() || due || slices.ContainsFunc(organisations, p.syncer.Book.AdjustmentDue)
}

// After a conflict with the append of another instance, a writer backs off for a random time up to
// conflictBackoff, which is about the duration of one append, times the number of failed
// appends in a row.
const (
	conflictBackoff    = 8 * time.Millisecond
	maxConflictBackoff = 64 * time.Millisecond
)

// register records this instance in the first partition, unless its record was read. The append is unconditional,
// since instances that start together would otherwise lose it to each other.
func (p *partition) register(ctx context.Context) error {
	sy := p.syncer
	p.mu.Lock()
	sy.updateInstances(p)
	addr, registered := p.instances[sy.Instance]
	p.joined = p.joined || !registered && !p.wasRegistered && !sy.FirstStart && len(p.instances) > 0
	p.wasRegistered = p.wasRegistered || registered
	own, recorded := p.establish()
	p.mu.Unlock()
	if p.index != 0 || registered && addr == sy.PeerAddr && recorded {
		return nil
	}
	value, err := json.Marshal(grantRecord{By: sy.Incarnation, Peer: sy.PeerAddr, Since: own.since, Established: own.established})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	call, cancel := context.WithTimeout(ctx, sy.Timeout)
	defer cancel()
	if _, err := sy.Log.Append(call, sy.Topic, p.index, logs.AnyOffset, []logs.Record{{Key: instancePrefix + sy.Instance, Value: value}}); err != nil {
		return err
	}
	return p.catchUp(ctx)
}

// Limits of appends that no request waits for. After maxBackgroundAttempts conflicts, the next attempt is delayed
// by a backoff, which doubles with each time in a row.
const (
	maxBackgroundAttempts = 2
	minBackgroundBackoff  = 100 * time.Millisecond
	maxBackgroundBackoff  = 4 * time.Second
)

// recordConflict records whether an append that no request waited for lost against another instance, and delays
// the next one if so.
func (p *partition) recordConflict(lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !lost {
		p.conflicts, p.backgroundAt = 0, time.Time{}
		return
	}
	limit := min(minBackgroundBackoff<<min(p.conflicts, maxBackoffDoublings), maxBackgroundBackoff)
	p.conflicts++
	p.backgroundAt = time.Now().Add(limit/2 + rand.N(limit/2))
	notify(p.due)
}

// backgroundDelay returns the time until an append that no request waits for may be attempted.
func (p *partition) backgroundDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.backgroundAt)
}

// refresh reads what other instances have written, unless the state is younger than maxFreshAge.
func (p *partition) refresh(ctx context.Context) error {
	p.mu.Lock()
	loaded, fresh := p.loaded, time.Since(p.readAt) < maxFreshAge
	p.mu.Unlock()
	switch {
	case !loaded:
		return p.load(ctx)
	case fresh:
		return nil
	}
	err := p.catchUp(ctx)
	var gone *logs.GoneError
	if errors.As(err, &gone) {
		return p.load(ctx)
	}
	return err
}

// load reads the newest records of all keys.
func (p *partition) load(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, p.syncer.Timeout)
	defer cancel()
	s, err := p.syncer.Log.NewestAll(call, p.syncer.Topic, p.index)
	if err != nil {
		return err
	}
	p.applySnapshot(s)
	p.syncer.markLoaded()
	return p.checkEra()
}

// append writes a batch and reports whether to read the partition and retry: the append conflicted with one of
// another instance, or was not answered.
func (p *partition) append(ctx context.Context, b *batch) (bool, error) {
	call, cancel := context.WithTimeout(ctx, p.syncer.Timeout)
	defer cancel()
	_, err := p.syncer.Log.Append(call, p.syncer.Topic, p.index, b.offset, b.records)
	if changed := p.checkEra(); changed != nil {
		return false, changed
	}
	if err == nil {
		p.apply(b.records)
		return false, nil
	}
	inDoubt := p.recordFailure(b, err)
	var refused *logs.RefusedError
	if errors.As(err, &refused) {
		if !inDoubt {
			p.abort(b)
		}
		return false, err
	}
	var conflict *logs.ConflictError
	if errors.As(err, &conflict) {
		return true, nil
	}
	if readErr := p.catchUp(ctx); readErr != nil {
		return false, errors.Join(err, readErr)
	}
	return true, nil
}

// recordFailure records the error of an append and reports whether the batch may still commit.
func (p *partition) recordFailure(b *batch, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !logs.Refused(err) {
		b.inDoubt = true
	}
	p.readAt = time.Time{} // the next refresh reads what was appended in the meantime
	return b.inDoubt
}

// catchUp reads up to the end of the partition.
func (p *partition) catchUp(ctx context.Context) error {
	for {
		p.mu.Lock()
		from := p.end
		p.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, p.syncer.Timeout)
		records, end, err := p.syncer.Log.Read(call, p.syncer.Topic, p.index, from, 0)
		cancel()
		if changed := p.checkEra(); changed != nil {
			return changed
		}
		if err != nil {
			return fmt.Errorf("read %s/%d from offset %d: %w", p.syncer.Topic, p.index, from, err)
		}
		p.apply(records)
		if len(records) == 0 || records[len(records)-1].Offset+1 >= end {
			return nil
		}
	}
}

// sorted sorts and returns names, so that equal state results in equal batches.
func sorted(names []string) []string {
	slices.SortFunc(names, strings.Compare)
	return names
}
