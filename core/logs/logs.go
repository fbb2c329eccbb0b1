// Package logs defines the interface to the platform's log: partitioned topics with offsets,
// conditional appends and, in keyed topics, the newest record of each key. A Follower follows
// one partition.
package logs

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"
)

// AnyOffset makes an append unconditional.
const AnyOffset int64 = -1

// Record is one record of a keyed topic.
type Record struct {
	// Offset is the position of the record in its partition.
	Offset int64
	Key    string
	// Value is empty if the key was removed.
	Value []byte
}

// Page is one page of the newest records of all keys.
type Page struct {
	Records []Record
	// End is the offset after the last record of the partition when the page was read.
	End int64
	// More reports whether further keys follow the last one of the page.
	More bool
	// Era is the era of the log that the page was read in.
	Era int64
}

// Snapshot is the newest record of every key of a partition.
type Snapshot struct {
	Records []Record
	// End is the offset from which Read returns all later changes.
	End int64
	// Era is the era of the log that all of it was read in.
	Era int64
}

// Log provides access to the platform's log. Its functions may be called concurrently.
//
// The log has eras. A new one begins when the log was restored from a copy that lacks the newest records of the era
// before: offsets are lower than they were, and other records follow at the same ones. State that was built from records
// of one era does not apply to records of another.
type Log struct {
	// Era returns the highest era that a reply has shown, and whether one has shown any. A caller that finds the same
	// era before and after a call knows that the reply is of this era. Optional; without it the log has one era.
	Era func() (era int64, known bool)
	// Append atomically adds the records to a partition if its end is the offset at, or at any offset if at is
	// AnyOffset, and returns the new end. The error is a *ConflictError if the partition has another end, a *RefusedError
	// if nothing was or will be written, and of another type if the records may have been written or
	// may still be written.
	Append func(ctx context.Context, topic string, part int, at int64, records []Record) (end int64, err error)
	// Read returns the records from an offset on and the end of the partition. It waits for the
	// first record up to the given time. The error is a *GoneError if records from the offset on
	// are no longer retained.
	Read func(ctx context.Context, topic string, part int, from int64, wait time.Duration) (records []Record, end int64, err error)
	// Newest returns a page of the newest records of the keys after the given one, in key order.
	Newest func(ctx context.Context, topic string, part int, after string) (Page, error)
}

// ConflictError reports that the partition does not end at the offset that a conditional append
// requires; nothing was written.
type ConflictError struct {
	// End is the offset after the last record of the partition.
	End int64
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conditional append conflicts with the end of the partition at offset %d", e.End)
}

// GoneError reports that requested records are no longer retained.
type GoneError struct {
	// First is the offset of the first retained record.
	First int64
}

// Error implements the error interface.
func (e *GoneError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer retained", e.First)
}

// RefusedError reports that the platform refused a call without executing it.
type RefusedError struct {
	Status int
	// Reason is the reason in the platform's response.
	Reason string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform refused the call with status %d: %s", e.Status, e.Reason)
}

// Busy reports whether err shows that the platform refused the call only because of too many calls.
func Busy(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Status == http.StatusTooManyRequests
}

// Refused reports whether err shows that the call had no effect.
func Refused(err error) bool {
	var refused *RefusedError
	var conflict *ConflictError
	return errors.As(err, &refused) || errors.As(err, &conflict)
}

// CurrentEra returns the highest era that a reply has shown, 0 if none has.
func (l Log) CurrentEra() int64 {
	if l.Era == nil {
		return 0
	}
	era, _ := l.Era()
	return era
}

// HasEras reports whether the log shows its era, so that it may be restored from an older copy.
func (l Log) HasEras() bool {
	if l.Era == nil {
		return false
	}
	_, known := l.Era()
	return known
}

// NewestAll returns the newest record of every key. All pages are of one era.
func (l Log) NewestAll(ctx context.Context, topic string, part int) (Snapshot, error) {
	var s Snapshot
	for after := ""; ; {
		page, err := l.Newest(ctx, topic, part, after)
		switch {
		case err != nil:
			return Snapshot{}, fmt.Errorf("read the newest records of %s/%d: %w", topic, part, err)
		case after == "":
			// Later ends are unsafe: later pages may miss changes made meanwhile to keys of earlier pages.
			s.End, s.Era = page.End, page.Era
		case page.Era != s.Era:
			s, after = Snapshot{}, ""
			continue
		}
		s.Records = append(s.Records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return s, nil
		}
		next := page.next(after)
		if next == "" {
			return Snapshot{}, fmt.Errorf("read the newest records of %s/%d after %q: %w", topic, part, after, errNoProgress)
		}
		after = next
	}
}

var errNoProgress = errors.New("a page that is not the last has no key after that of the page before")

// next returns the key after which the next page begins, given that of this one; empty if the page has none that is greater.
func (p Page) next(after string) string {
	last := after
	for _, r := range p.Records {
		last = max(last, r.Key)
	}
	if last > after {
		return last
	}
	// A key that is not valid UTF-8 is shown with replacement characters, which may sort before the key itself.
	if raw := strings.ReplaceAll(last, string(utf8.RuneError), "\xff"); raw > after {
		return raw
	}
	return ""
}
