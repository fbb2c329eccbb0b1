package origin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cranberryrail/core/logs"
)

// Retention of origin records.
const (
	// retentionFactor is how long the writer of a record retains it, as a multiple of the life of a stream.
	retentionFactor = 2
	// orphanAge is the age at which any instance removes a record, whose writer has ended. It is compared with the clocks of two machines.
	orphanAge = 15 * time.Minute
	// maxClockError is the age below 0 that no clock of a machine explains.
	maxClockError = 24 * time.Hour
	// maxStreams is the number of origins of one partition that are kept in memory: several times what a large fleet begins in the life of
	// a stream.
	maxStreams = 1 << 16
	// maxRemovals is the number of records that are removed with one that is added.
	maxRemovals = 16
)

// partition holds the origin records of one partition of the log as far as they were read, and appends new ones.
type partition struct {
	tracker *Tracker
	number  int
	outbox  *logs.Outbox
	// failing is set while appends fail; the mutex of the tracker protects it.
	failing bool

	// turn holds an element while a stream is looked up; it protects the fields up to readAt. Unlike a mutex it is waited for no longer than a call may take.
	turn chan struct{}
	// streams holds the origins that were read, up to offset next in the given era.
	streams map[Key]attemptOrigin
	next    int64
	era     int64
	read    bool
	// readAt is when the last successful read began.
	readAt time.Time

	ownMu sync.Mutex
	// own holds the records of this instance in the order of their time, until they are removed.
	own []ownRecord
}

// attemptOrigin is the origin that an attempt recorded.
type attemptOrigin struct {
	attempt int
	origin  Origin
}

type ownRecord struct {
	key string
	at  time.Time
}

func newPartition(t *Tracker, number int) *partition {
	p := &partition{tracker: t, number: number, turn: make(chan struct{}, 1), streams: map[Key]attemptOrigin{}}
	p.outbox = &logs.Outbox{Log: t.Log, Topic: t.StreamTopic, Partition: number, OnError: p.appendFailed, OnAppended: p.appended}
	p.outbox.Default()
	return p
}

// add queues a record, and the removal of old ones.
func (p *partition) add(key Key, attempt int, o Origin) {
	now := p.tracker.Now()
	r := logs.Record{Key: recordKey(key, attempt), Value: mustEncode(record{o, now.UnixMilli()})}
	p.ownMu.Lock()
	defer p.ownMu.Unlock()
	p.own = append(p.own, ownRecord{r.Key, now})
	for range maxRemovals {
		if now.Sub(p.own[0].at) < retentionFactor*p.tracker.Life {
			break
		}
		p.outbox.Add(logs.Record{Key: p.own[0].key})
		p.own = p.own[1:]
	}
	p.outbox.Add(r)
}

// appendFailed records that the log can't be reached, and ends the wait for records that are optional.
func (p *partition) appendFailed(err error) {
	p.tracker.mu.Lock()
	p.failing = true
	for key, r := range p.tracker.waiting {
		if !r.required && p.tracker.partitionOf(r.key) == p {
			p.tracker.endWait(key)
		}
	}
	p.tracker.mu.Unlock()
	p.tracker.OnError(fmt.Errorf("append to partition %d: %w", p.number, err))
}

// appended ends the wait for the records that the log has accepted.
func (p *partition) appended(records []logs.Record) {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.failing = false
	for _, r := range records {
		if len(r.Value) > 0 {
			p.tracker.endWait(r.Key)
		}
	}
}

// find reads the records that the log has now, and returns the origin of a stream and whether it has one.
func (p *partition) find(ctx context.Context, key Key) (Origin, bool, error) {
	asked := p.tracker.Now()
	if err := p.awaitTurn(ctx); err != nil {
		return Origin{}, false, fmt.Errorf("wait for another read of the origins of streams: %w", err)
	}
	defer func() { <-p.turn }()
	if !p.readAt.After(asked) { // A read that began later, for another stream, has covered this one.
		began := p.tracker.Now()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := p.catchUp(ctx); err != nil {
			return Origin{}, false, fmt.Errorf("read the origins of streams: %w", err)
		}
		p.readAt = began
	}
	found, ok := p.streams[key]
	return found.origin, ok, nil
}

// awaitTurn waits until no other stream is looked up.
func (p *partition) awaitTurn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case p.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// catchUp reads all records that the log has now.
func (p *partition) catchUp(ctx context.Context) error {
	log := p.tracker.Log
	if len(p.streams) > maxStreams {
		p.streams, p.read = map[Key]attemptOrigin{}, false // Those that are still in the log are read again.
	}
	if p.read && p.era == log.CurrentEra() {
		err := p.readOn(ctx)
		var gone *logs.GoneError
		if err == nil && p.era == log.CurrentEra() || err != nil && !errors.As(err, &gone) {
			return err
		}
	}
	snapshot, err := log.NewestAll(ctx, p.tracker.StreamTopic, p.number)
	if err != nil {
		return err
	}
	// Origins that a restored log lacks are still true.
	p.apply(snapshot.Records)
	p.read, p.next, p.era = true, snapshot.End, snapshot.Era
	return nil
}

// readOn reads the records after those that were read before.
func (p *partition) readOn(ctx context.Context) error {
	for {
		records, end, err := p.tracker.Log.Read(ctx, p.tracker.StreamTopic, p.number, p.next, 0)
		if err != nil {
			return err
		}
		p.apply(records)
		if len(records) > 0 {
			p.next = records[len(records)-1].Offset + 1
		}
		if len(records) == 0 || p.next >= end {
			return nil
		}
	}
}

// apply applies records in the order of the log.
func (p *partition) apply(records []logs.Record) {
	for _, r := range records {
		key, attempt, err := parseRecordKey(r.Key)
		if err != nil {
			p.tracker.OnInvalid(r.Key, err)
			continue
		}
		if len(r.Value) == 0 {
			if p.streams[key].attempt == attempt {
				delete(p.streams, key)
			}
			continue
		}
		value, err := parseRecord(r.Value)
		if err != nil {
			p.tracker.OnInvalid(r.Key, err)
			continue
		}
		if attempt >= p.streams[key].attempt {
			p.streams[key] = attemptOrigin{attempt, value.Origin}
		}
		if age := p.tracker.Now().Sub(time.UnixMilli(value.AtMS)); age > orphanAge || age < -maxClockError {
			p.outbox.Add(logs.Record{Key: r.Key})
		}
	}
}
