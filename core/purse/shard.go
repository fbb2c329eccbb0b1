package purse

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

// instancePrefix begins the keys of records that tell which instances take part; they are
// counted, so that each takes its part.
const instancePrefix = "instance/"

// entry is the value of an organisation's record.
type entry struct {
	// Granted is the number of tokens that all instances together were handed so far.
	Granted int64 `json:"granted"`
	// By is the incarnation of the writer, and Sequence the number of its batch.
	By       string `json:"by"`
	Sequence int64  `json:"sequence"`
}

// change is a draw, or with a negative number what is given back.
type change struct {
	organisation string
	tokens       int64
}

// batch is an append whose outcome is not known yet.
type batch struct {
	at       int64
	sequence int64
	records  []logs.Record
	changes  []change
	// uncertain tells that an append of the batch was not answered and may still land.
	uncertain bool
}

// shard is one partition of the budgets: its folded state and the writer of this instance.
type shard struct {
	keeper *Keeper
	part   int
	outage outage
	// outdated tells that a request was refused by what was read before.
	outdated atomic.Bool

	mu    sync.Mutex
	known bool
	// loaded is when the state was first read.
	loaded  time.Time
	end     int64
	read    time.Time
	granted map[string]int64
	// instances are the ids of the instances that ever took part.
	instances map[string]bool
	pending   *batch
	// sequence numbers the batches of this instance.
	sequence int64
}

// reset takes the newest records. An own batch that may be among what was missed counts
// as lost: what it drew is not spent, and what it gave back is not taken back. Without
// every record read it is not known what was granted, and the state does not count as read.
func (s *shard) reset(records []logs.Record, end int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = time.Now()
	if s.known && end < s.end {
		return nil
	}
	for _, r := range records {
		if _, err := s.fold(r); err != nil {
			return fmt.Errorf("read the budget of %s: %w", r.Key, err)
		}
	}
	if s.pending != nil && end > s.pending.at {
		s.keeper.Unsettled(s.pending.sequence, s.pending.tokens())
		s.pending = nil
	}
	if !s.known {
		s.loaded = s.keeper.Book.Now()
	}
	s.end, s.known = end, true
	s.decide(records)
	return nil
}

// tokens returns the sum of the changes of a batch.
func (b *batch) tokens() int64 {
	var sum int64
	for _, c := range b.changes {
		sum += c.tokens
	}
	return sum
}

// apply takes records in order. Those that were taken before are passed over.
func (s *shard) apply(records []logs.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = time.Now()
	for _, r := range records {
		if r.Offset < s.end {
			continue
		}
		written, _ := s.fold(r) // a record that can't be read granted nothing
		s.end = r.Offset + 1
		s.resolve(r.Offset, written)
	}
	s.decide(records)
}

// decide decides again on the reservations that wait for budgets whose records were taken.
func (s *shard) decide(records []logs.Record) {
	for _, r := range records {
		s.keeper.Book.Decide(r.Key)
	}
}

// errNegative tells that a record grants less than nothing.
var errNegative = errors.New("the number of granted tokens is negative")

// fold takes one record into the state and returns its value. A record that can't be read
// changes nothing: its writer was not an instance.
func (s *shard) fold(r logs.Record) (entry, error) {
	var e entry
	if len(r.Value) == 0 {
		return e, nil
	}
	err := json.Unmarshal(r.Value, &e)
	if err == nil && e.Granted < 0 {
		err = errNegative
	}
	if err != nil {
		s.keeper.Unreadable(r.Key, err)
		return entry{}, err
	}
	if name, ok := strings.CutPrefix(r.Key, instancePrefix); ok {
		s.instances[name] = true
		return e, nil
	}
	s.granted[r.Key] = e.Granted
	s.keeper.Book.Granted(r.Key, e.Granted)
	return e, nil
}

// resolve settles the own batch once the record at its offset is known.
func (s *shard) resolve(offset int64, written entry) {
	b := s.pending
	if b == nil || offset != b.at {
		return
	}
	s.pending = nil
	landed := written.By == s.keeper.Inc && written.Sequence == b.sequence
	if landed {
		// The records of a batch stand together; the others follow.
		for _, r := range b.records[1:] {
			_, _ = s.fold(r) // own records can be read
		}
		s.end = b.at + int64(len(b.records))
	}
	for _, c := range b.changes {
		if landed {
			s.keeper.Book.Drawn(c.organisation, c.tokens)
		} else {
			s.keeper.Book.Undrawn(c.organisation, c.tokens)
		}
		s.keeper.Changed(c.organisation, c.tokens, landed)
	}
}

// prepare makes the next batch, nil when nothing is to be changed.
func (s *shard) prepare(organisations []string) *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		return s.pending
	}
	if !s.known {
		return nil
	}
	s.keeper.count(s)
	b := &batch{at: s.end, sequence: s.sequence + 1}
	for _, name := range organisations {
		tokens := s.keeper.Book.Draw(name)
		if tokens == 0 {
			continue
		}
		b.changes = append(b.changes, change{name, tokens})
		b.records = append(b.records, s.record(b, name, s.granted[name]+tokens))
	}
	if s.part == 0 && !s.instances[s.keeper.Instance] {
		b.records = append(b.records, s.record(b, instancePrefix+s.keeper.Instance, 0))
	}
	if len(b.records) == 0 {
		return nil
	}
	s.sequence++
	s.pending = b
	return b
}

// record returns the next record of a batch.
func (s *shard) record(b *batch, key string, granted int64) logs.Record {
	value, err := json.Marshal(entry{Granted: granted, By: s.keeper.Inc, Sequence: b.sequence})
	if err != nil {
		panic(fmt.Sprintf("encode a grant: %v", err)) // the type always has a JSON form
	}
	return logs.Record{Offset: b.at + int64(len(b.records)), Key: key, Value: value}
}

// refuse settles a batch that certainly was not and will not be written.
func (s *shard) refuse(b *batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != b {
		return
	}
	s.pending = nil
	for _, c := range b.changes {
		s.keeper.Book.Undrawn(c.organisation, c.tokens)
	}
}

// freshFor is how old the folded state may be for an append without a read before it: about
// the time of one call.
const freshFor = 30 * time.Millisecond

// write brings the holdings of this instance to what the book asks for.
func (s *shard) write(ctx context.Context, organisations []string) error {
	if !s.due(organisations) {
		return nil
	}
	if err := s.refresh(ctx); err != nil {
		return err
	}
	for lost := 1; ; lost++ {
		b := s.prepare(organisations)
		if b == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		again, err := s.append(ctx, b)
		if err != nil || !again {
			return err
		}
		pause.For(ctx, rand.N(min(time.Duration(lost)*lostPause, lostPauseMost)))
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
}

// due reports whether the shard must be read, to be written or since it was not for long.
func (s *shard) due(organisations []string) bool {
	s.mu.Lock()
	due := !s.known || s.pending != nil || time.Since(s.read) >= s.keeper.Pause
	s.mu.Unlock()
	return s.outdated.Swap(false) || due || slices.ContainsFunc(organisations, s.keeper.Book.Due)
}

// A writer that lost against another instance pauses at random up to lostPause, which is
// about the time of one append, times the appends that it lost in a row.
const (
	lostPause     = 8 * time.Millisecond
	lostPauseMost = 64 * time.Millisecond
)

// refresh reads what others have written, unless it was read just now.
func (s *shard) refresh(ctx context.Context) error {
	s.mu.Lock()
	known, fresh := s.known, time.Since(s.read) < freshFor
	s.mu.Unlock()
	switch {
	case !known:
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

// load reads the newest records.
func (s *shard) load(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, s.keeper.Timeout)
	defer cancel()
	records, end, err := s.keeper.Log.NewestAll(call, s.keeper.Topic, s.part)
	if err != nil {
		return err
	}
	if err := s.reset(records, end); err != nil {
		return err
	}
	s.keeper.loaded()
	return nil
}

// append writes a batch and reports whether another one is due, because it lost against
// the batch of another instance.
func (s *shard) append(ctx context.Context, b *batch) (bool, error) {
	call, cancel := context.WithTimeout(ctx, s.keeper.Timeout)
	defer cancel()
	_, err := s.keeper.Log.Append(call, s.keeper.Topic, s.part, b.at, b.records)
	if err == nil {
		s.apply(b.records)
		return false, nil
	}
	uncertain := s.note(b, err)
	var refused *logs.RefusedError
	if errors.As(err, &refused) {
		if !uncertain {
			s.refuse(b)
		}
		return false, err
	}
	if caught := s.catchUp(ctx); caught != nil {
		return false, errors.Join(err, caught)
	}
	return true, nil
}

// note takes the error of an append and reports whether the batch may land all the same.
func (s *shard) note(b *batch, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !logs.Refused(err) {
		b.uncertain = true
	}
	return b.uncertain
}

// catchUp reads up to the end of the partition.
func (s *shard) catchUp(ctx context.Context) error {
	for {
		s.mu.Lock()
		from := s.end
		s.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, s.keeper.Timeout)
		records, end, err := s.keeper.Log.Read(call, s.keeper.Topic, s.part, from, 0)
		cancel()
		if err != nil {
			return fmt.Errorf("read %s/%d from offset %d: %w", s.keeper.Topic, s.part, from, err)
		}
		s.apply(records)
		if len(records) == 0 || records[len(records)-1].Offset+1 >= end {
			return nil
		}
	}
}

// sorted returns names in order, so that batches are the same for the same state.
func sorted(names []string) []string {
	slices.SortFunc(names, strings.Compare)
	return names
}
