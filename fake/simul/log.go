package simul

import (
	"errors"
	"math/rand/v2"
	"time"

	"cranberryrail/core/tail"
)

// errNoAnswer is what a client of the log sees when no answer came; the record may
// have been written.
var errNoAnswer = errors.New("no answer from the log")

// appendTimeout is how long a client waits for the answer to an append.
const appendTimeout = time.Second

// pageEntries is the most entries that one read returns.
const pageEntries = 256

// Faults are the probabilities with which an append goes wrong.
type Faults struct {
	// Lost is for an append that took effect but whose answer is lost.
	Lost float64
	// Late is for an append that takes effect after the client gave it up.
	Late float64
	// Twice is for an append that takes effect a second time later.
	Twice float64
	// LateBy is the longest time by which late and second writes are delayed.
	LateBy time.Duration
}

// Log is one stream of the platform's log on a virtual clock. Exported fields are set
// before the first call; Down, Delay and Faults may change at any time.
type Log struct {
	// Sched is the clock.
	Sched *Sched
	// Rand decides on faults.
	Rand *rand.Rand
	// Delay returns how long an append takes.
	Delay func() time.Duration
	// Faults are what goes wrong.
	Faults Faults
	// Down tells that the log answers nothing.
	Down bool
	// Appended is told of each record in order; optional.
	Appended func(e tail.Entry)
	// Appends and Bytes count what was written.
	Appends, Bytes int64

	first   int64
	records [][]byte
	waiting []func()
}

// Head returns the offset of the next record.
func (l *Log) Head() int64 { return l.first + int64(len(l.records)) }

// Append adds a record; done is told when the client has an answer or gives up.
func (l *Log) Append(data []byte, done func(err error)) {
	d := l.Delay()
	fate := l.Rand.Float64()
	l.Sched.After(d/2, func() {
		if l.Down {
			l.Sched.After(appendTimeout, func() { done(errNoAnswer) })
			return
		}
		late := time.Duration(l.Rand.Int64N(int64(l.Faults.LateBy) + 1))
		switch {
		case fate < l.Faults.Lost:
			l.write(data)
			l.Sched.After(appendTimeout, func() { done(errNoAnswer) })
		case fate < l.Faults.Lost+l.Faults.Late:
			l.Sched.After(late, func() { l.write(data) })
			l.Sched.After(appendTimeout, func() { done(errNoAnswer) })
		case fate < l.Faults.Lost+l.Faults.Late+l.Faults.Twice:
			l.write(data)
			l.Sched.After(late, func() { l.write(data) })
			l.Sched.After(d/2, func() { done(nil) })
		default:
			l.write(data)
			l.Sched.After(d/2, func() { done(nil) })
		}
	})
}

func (l *Log) write(data []byte) {
	e := tail.Entry{Offset: l.Head(), Data: data}
	l.records = append(l.records, data)
	l.Appends++
	l.Bytes += int64(len(data))
	if l.Appended != nil {
		l.Appended(e)
	}
	waiting := l.waiting
	l.waiting = nil
	for _, wake := range waiting {
		l.Sched.After(0, wake)
	}
}

// Read returns records from an offset on.
func (l *Log) Read(from int64) (tail.Page, error) {
	switch {
	case l.Down:
		return tail.Page{}, errNoAnswer
	case from < l.first:
		return tail.Page{}, &tail.TrimmedError{From: from, Earliest: l.first}
	}
	page := tail.Page{Head: l.Head()}
	for offset := from; offset < min(l.Head(), from+pageEntries); offset++ {
		page.Entries = append(page.Entries, tail.Entry{Offset: offset, Data: l.records[offset-l.first]})
	}
	return page, nil
}

// Wait calls wake once when a record was added.
func (l *Log) Wait(wake func()) { l.waiting = append(l.waiting, wake) }

// Trim drops all but the newest records.
func (l *Log) Trim(keep int) {
	drop := max(len(l.records)-keep, 0)
	l.first += int64(drop)
	l.records = append([][]byte(nil), l.records[drop:]...)
}
