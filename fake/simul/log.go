package simul

import (
	"errors"
	"math/rand/v2"
	"time"

	"cranberryrail/core/tail"
)

// errNoReply is returned to a client that got no reply from the log; the record may have
// been written.
var errNoReply = errors.New("no reply from the log")

// appendTimeout is how long a client waits for the reply to an append.
const appendTimeout = time.Second

// maxPageEntries is the largest number of entries that one read returns.
const maxPageEntries = 256

// Faults are the probabilities of the faults of an append.
type Faults struct {
	// LostReply is the probability that a record is written, but the reply is lost.
	LostReply float64
	// LateAppend is the probability that the reply is lost and the record is written up to
	// MaxDelay later, possibly after the client timed out.
	LateAppend float64
	// DuplicateAppend is the probability that a record is written again up to MaxDelay later.
	DuplicateAppend float64
	// MaxDelay is the longest delay of late and duplicate writes.
	MaxDelay time.Duration
}

// Log simulates one stream of the platform's log on a virtual clock. Exported fields are set
// before the first call; Down, Delay and Faults may change at any time.
type Log struct {
	// Scheduler provides the clock and runs delayed operations.
	Scheduler *Scheduler
	// Rand is the random source for faults.
	Rand *rand.Rand
	// Delay returns the duration of an append.
	Delay func() time.Duration
	// Faults are the faults in force.
	Faults Faults
	// Down reports whether the log is down: reads fail and appends get no reply.
	Down bool
	// OnAppend is called with each record in order; optional.
	OnAppend func(e tail.Record)
	// Appends and Bytes count the records and bytes written.
	Appends, Bytes int64

	firstOffset int64
	records     [][]byte
	waiters     []func()
}

// Head returns the offset of the next record.
func (l *Log) Head() int64 { return l.firstOffset + int64(len(l.records)) }

// Append writes a record and calls done when the client receives the reply or times out.
func (l *Log) Append(data []byte, done func(err error)) {
	delay := l.Delay()
	p := l.Rand.Float64()
	l.Scheduler.After(delay/2, func() {
		if l.Down {
			l.Scheduler.After(appendTimeout, func() { done(errNoReply) })
			return
		}
		lateBy := time.Duration(l.Rand.Int64N(int64(l.Faults.MaxDelay) + 1))
		switch {
		case p < l.Faults.LostReply:
			l.write(data)
			l.Scheduler.After(appendTimeout, func() { done(errNoReply) })
		case p < l.Faults.LostReply+l.Faults.LateAppend:
			l.Scheduler.After(lateBy, func() { l.write(data) })
			l.Scheduler.After(appendTimeout, func() { done(errNoReply) })
		case p < l.Faults.LostReply+l.Faults.LateAppend+l.Faults.DuplicateAppend:
			l.write(data)
			l.Scheduler.After(lateBy, func() { l.write(data) })
			l.Scheduler.After(delay/2, func() { done(nil) })
		default:
			l.write(data)
			l.Scheduler.After(delay/2, func() { done(nil) })
		}
	})
}

func (l *Log) write(data []byte) {
	e := tail.Record{Offset: l.Head(), Data: data}
	l.records = append(l.records, data)
	l.Appends++
	l.Bytes += int64(len(data))
	if l.OnAppend != nil {
		l.OnAppend(e)
	}
	waiters := l.waiters
	l.waiters = nil
	for _, notify := range waiters {
		l.Scheduler.After(0, notify)
	}
}

// Read returns up to maxPageEntries records, starting at an offset.
func (l *Log) Read(from int64) (tail.Page, error) {
	switch {
	case l.Down:
		return tail.Page{}, errNoReply
	case from < l.firstOffset:
		return tail.Page{}, &tail.TrimmedError{From: from, Earliest: l.firstOffset}
	}
	page := tail.Page{Head: l.Head()}
	for offset := from; offset < min(l.Head(), from+maxPageEntries); offset++ {
		page.Records = append(page.Records, tail.Record{Offset: offset, Data: l.records[offset-l.firstOffset]})
	}
	return page, nil
}

// NotifyNext registers a function that is called once, after the next record is written.
func (l *Log) NotifyNext(notify func()) { l.waiters = append(l.waiters, notify) }

// Trim drops all records but the newest keep ones.
func (l *Log) Trim(keep int) {
	drop := max(len(l.records)-keep, 0)
	l.firstOffset += int64(drop)
	l.records = append([][]byte(nil), l.records[drop:]...)
}
