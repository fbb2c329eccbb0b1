// Package logs is the port to the platform's log: partitioned topics with offsets,
// conditional appends and, in keyed topics, the newest record of each key.
package logs

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one record of a keyed topic.
type Record struct {
	// Offset is the position in the partition.
	Offset int64
	Key    string
	// Value is empty for a key that was removed.
	Value []byte
}

// Page is a part of the newest records of all keys.
type Page struct {
	Records []Record
	// End is the offset after the last record of the partition when the page was read.
	End int64
	// More tells that further keys follow the last one of the page.
	More bool
}

// Log is the platform's log. Its functions may be called from any goroutine.
type Log struct {
	// Append adds the records to a partition if it ends at the offset at, all or none, and
	// returns the new end. The error is a *ConflictError when the partition ends elsewhere, a
	// *RefusedError when certainly nothing was written, and another one when the records may
	// have been written or may still be.
	Append func(ctx context.Context, topic string, part int, at int64, records []Record) (end int64, err error)
	// Read returns the records from an offset on and the end of the partition. It waits for a
	// first record up to the given time. The error is a *GoneError when records from there on
	// are no longer kept.
	Read func(ctx context.Context, topic string, part int, from int64, wait time.Duration) (records []Record, end int64, err error)
	// Newest returns the newest record of each key after the given one, in the order of keys.
	Newest func(ctx context.Context, topic string, part int, after string) (Page, error)
}

// ConflictError tells that a conditional append found another end; nothing was written.
type ConflictError struct {
	// End is the offset after the last record of the partition.
	End int64
}

// Error implements the error interface.
func (e *ConflictError) Error() string { return fmt.Sprintf("the partition ends at offset %d", e.End) }

// GoneError tells that the records asked for are no longer kept.
type GoneError struct {
	// First is the offset of the first record that is kept.
	First int64
}

// Error implements the error interface.
func (e *GoneError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.First)
}

// RefusedError tells that a call was refused and nothing was done.
type RefusedError struct {
	Status int
	// Reason is what the platform said.
	Reason string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, e.Reason)
}

// Refused reports whether nothing was done by the call that returned err.
func Refused(err error) bool {
	var refused *RefusedError
	var conflict *ConflictError
	return errors.As(err, &refused) || errors.As(err, &conflict)
}

// NewestAll returns the newest record of every key, and an offset from which on Read
// returns all later changes.
func (l Log) NewestAll(ctx context.Context, topic string, part int) ([]Record, int64, error) {
	var all []Record
	from := int64(-1)
	after := ""
	for {
		page, err := l.Newest(ctx, topic, part, after)
		if err != nil {
			return nil, 0, fmt.Errorf("read the newest records of %s/%d: %w", topic, part, err)
		}
		if from < 0 {
			// Later pages may miss what changed in keys of earlier ones.
			from = page.End
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return all, from, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
