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

// shard is one partition of the budgets: the state built from its records, and the writer of this
// instance.
type shard struct {
	syncer    *Syncer
	partition int
	outage    outage
	// stale is set when a request was refused on the basis of state read earlier.
	stale atomic.Bool

	mu     sync.Mutex
	loaded bool
	// loadedAt is when the state was first read.
	loadedAt time.Time
	end      int64
	readAt   time.Time
	granted  map[string]int64
	// instances holds the ids of all instances ever registered.
	instances map[string]bool
	pending   *batch
	// sequence numbers the batches of this instance.
	sequence int64
}

// applySnapshot rebuilds the state from the newest records. A pending batch that may be among the
// skipped records counts as unsettled: its draws are not spent, and its returns are not reverted.
// If any record is invalid, it is not known what was granted, and the state does not count as read.
func (s *shard) applySnapshot(records []logs.Record, end int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = time.Now()
	if s.loaded && end < s.end {
		return nil
	}
	for _, r := range records {
		if _, err := s.applyRecord(r); err != nil {
			return fmt.Errorf("read the budget record of %s: %w", r.Key, err)
		}
	}
	if s.pending != nil && end > s.pending.offset {
		s.syncer.OnUnsettled(s.pending.sequence, s.pending.tokens())
		s.pending = nil
	}
	if !s.loaded {
		s.loadedAt = s.syncer.Book.Now()
	}
	s.end, s.loaded = end, true
	s.serveWaiters(records)
	return nil
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
func (s *shard) apply(records []logs.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = time.Now()
	for _, r := range records {
		if r.Offset < s.end {
			continue
		}
		written, _ := s.applyRecord(r) // an invalid record granted nothing
		s.end = r.Offset + 1
		s.resolve(r.Offset, written)
	}
	s.serveWaiters(records)
}

// serveWaiters re-evaluates the reservations that wait for budgets whose records were applied.
func (s *shard) serveWaiters(records []logs.Record) {
	for _, r := range records {
		s.syncer.Book.ServeWaiters(r.Key)
	}
}

// errNegativeGrant is returned for a record with a negative number of granted tokens.
var errNegativeGrant = errors.New("the number of granted tokens is negative")

// applyRecord applies one record to the state and returns its value. An invalid record changes
// nothing: its writer was not an instance.
func (s *shard) applyRecord(r logs.Record) (grantRecord, error) {
	var e grantRecord
	if len(r.Value) == 0 {
		return e, nil
	}
	err := json.Unmarshal(r.Value, &e)
	if err == nil && e.Granted < 0 {
		err = errNegativeGrant
	}
	if err != nil {
		s.syncer.OnInvalidRecord(r.Key, err)
		return grantRecord{}, err
	}
	if name, ok := strings.CutPrefix(r.Key, instancePrefix); ok {
		s.instances[name] = true
		return e, nil
	}
	s.granted[r.Key] = e.Granted
	s.syncer.Book.SetGranted(r.Key, e.Granted)
	return e, nil
}

// resolve commits or aborts the pending batch once the record at its offset is known.
func (s *shard) resolve(offset int64, written grantRecord) {
	b := s.pending
	if b == nil || offset != b.offset {
		return
	}
	s.pending = nil
	committed := written.By == s.syncer.Incarnation && written.Sequence == b.sequence
	if committed {
		// The records of a batch are contiguous: the others follow the first.
		for _, r := range b.records[1:] {
			_, _ = s.applyRecord(r) // records of this process are valid
		}
		s.end = b.offset + int64(len(b.records))
	}
	for _, adj := range b.adjustments {
		if committed {
			s.syncer.Book.CommitAdjustment(adj.organisation, adj.tokens)
		} else {
			s.syncer.Book.AbortAdjustment(adj.organisation, adj.tokens)
		}
		s.syncer.OnAdjusted(adj.organisation, adj.tokens, committed)
	}
}

// prepare returns the pending batch or creates the next one; nil if there is nothing to write.
func (s *shard) prepare(organisations []string) *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		return s.pending
	}
	if !s.loaded {
		return nil
	}
	s.syncer.updateInstanceCount(s)
	b := &batch{offset: s.end, sequence: s.sequence + 1}
	for _, name := range organisations {
		tokens := s.syncer.Book.BeginAdjustment(name)
		if tokens == 0 {
			continue
		}
		b.adjustments = append(b.adjustments, adjustment{name, tokens})
		b.records = append(b.records, s.newRecord(b, name, s.granted[name]+tokens))
	}
	if s.partition == 0 && !s.instances[s.syncer.Instance] {
		b.records = append(b.records, s.newRecord(b, instancePrefix+s.syncer.Instance, 0))
	}
	if len(b.records) == 0 {
		return nil
	}
	s.sequence++
	s.pending = b
	return b
}

// newRecord returns the next record of a batch.
func (s *shard) newRecord(b *batch, key string, granted int64) logs.Record {
	value, err := json.Marshal(grantRecord{Granted: granted, By: s.syncer.Incarnation, Sequence: b.sequence})
	if err != nil {
		panic(fmt.Sprintf("encode budget record: %v", err)) // the type can always be encoded
	}
	return logs.Record{Offset: b.offset + int64(len(b.records)), Key: key, Value: value}
}

// abort reverts a batch that certainly was not and will not be written.
func (s *shard) abort(b *batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != b {
		return
	}
	s.pending = nil
	for _, adj := range b.adjustments {
		s.syncer.Book.AbortAdjustment(adj.organisation, adj.tokens)
	}
}

// maxFreshAge is the maximum age of the state at which a batch is appended without reading first:
// about the duration of one call.
const maxFreshAge = 30 * time.Millisecond

// syncHoldings reads the shard and adjusts the holdings of this instance as the book requests.
func (s *shard) syncHoldings(ctx context.Context, organisations []string) error {
	if !s.syncDue(organisations) {
		return nil
	}
	if err := s.refresh(ctx); err != nil {
		return err
	}
	for conflicts := 1; ; conflicts++ {
		b := s.prepare(organisations)
		if b == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		retry, err := s.append(ctx, b)
		if err != nil || !retry {
			return err
		}
		pause.For(ctx, rand.N(min(time.Duration(conflicts)*conflictBackoff, maxConflictBackoff)))
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
}

// syncDue reports whether the shard must be synced: its state is missing, stale or older than the
// poll interval, or there is a batch or an adjustment to write.
func (s *shard) syncDue(organisations []string) bool {
	s.mu.Lock()
	due := !s.loaded || s.pending != nil || time.Since(s.readAt) >= s.syncer.PollInterval
	s.mu.Unlock()
	return s.stale.Swap(false) || due || slices.ContainsFunc(organisations, s.syncer.Book.AdjustmentDue)
}

// After a conflict with the append of another instance, a writer backs off for a random time up to
// conflictBackoff, which is about the duration of one append, times the number of failed
// appends in a row.
const (
	conflictBackoff    = 8 * time.Millisecond
	maxConflictBackoff = 64 * time.Millisecond
)

// refresh reads what other instances have written, unless the state is younger than maxFreshAge.
func (s *shard) refresh(ctx context.Context) error {
	s.mu.Lock()
	loaded, fresh := s.loaded, time.Since(s.readAt) < maxFreshAge
	s.mu.Unlock()
	switch {
	case !loaded:
		return s.load(ctx)
	case fresh:
		return nil
	}
	err := s.catchUp(ctx)
	var gone *logs.GoneError
	if errors.As(err, &gone) {
		return s.load(ctx)
	}
	return err
}

// load reads the newest records of all keys.
func (s *shard) load(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, s.syncer.Timeout)
	defer cancel()
	records, end, err := s.syncer.Log.NewestAll(call, s.syncer.Topic, s.partition)
	if err != nil {
		return err
	}
	if err := s.applySnapshot(records, end); err != nil {
		return err
	}
	s.syncer.markLoaded()
	return nil
}

// append writes a batch and reports whether to retry it: the append conflicted with one of another
// instance or was not answered, and the partition has been read since.
func (s *shard) append(ctx context.Context, b *batch) (bool, error) {
	call, cancel := context.WithTimeout(ctx, s.syncer.Timeout)
	defer cancel()
	_, err := s.syncer.Log.Append(call, s.syncer.Topic, s.partition, b.offset, b.records)
	if err == nil {
		s.apply(b.records)
		return false, nil
	}
	inDoubt := s.recordFailure(b, err)
	var refused *logs.RefusedError
	if errors.As(err, &refused) {
		if !inDoubt {
			s.abort(b)
		}
		return false, err
	}
	if readErr := s.catchUp(ctx); readErr != nil {
		return false, errors.Join(err, readErr)
	}
	return true, nil
}

// recordFailure records the error of an append and reports whether the batch may still commit.
func (s *shard) recordFailure(b *batch, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !logs.Refused(err) {
		b.inDoubt = true
	}
	return b.inDoubt
}

// catchUp reads up to the end of the partition.
func (s *shard) catchUp(ctx context.Context) error {
	for {
		s.mu.Lock()
		from := s.end
		s.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, s.syncer.Timeout)
		records, end, err := s.syncer.Log.Read(call, s.syncer.Topic, s.partition, from, 0)
		cancel()
		if err != nil {
			return fmt.Errorf("read %s/%d from offset %d: %w", s.syncer.Topic, s.partition, from, err)
		}
		s.apply(records)
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
