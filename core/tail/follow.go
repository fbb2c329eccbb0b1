package tail

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// PollWait is the longest time that a read waits for a record.
const PollWait = time.Second

// GapError reports that a read skipped records; the follower retries the read.
type GapError struct {
	Stream    string
	Want, Got int64
}

// Error implements the error interface.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream %s: read from offset %d returned records starting at offset %d", e.Stream, e.Want, e.Got)
}

// Follower delivers the records of one stream in order. Exported fields are set before Run.
type Follower struct {
	// Log accesses the platform's log.
	Log Log
	// Stream is the stream to follow.
	Stream string
	// Next is the first offset to read.
	Next int64
	// OnRecord processes one record; an error ends Run.
	OnRecord func(ctx context.Context, e Record) error
	// OnTrimmed is called when the log no longer retains the records from Next on. It returns the offset to
	// continue from, or an error that ends Run.
	OnTrimmed func(ctx context.Context, err *TrimmedError) (int64, error)
	// OnRead is called with the error of each read, nil on success, and with each GapError; optional.
	OnRead func(err error)
}

// String returns the name of the follower for log lines.
func (f *Follower) String() string { return "follower of " + f.Stream }

// Default sets unset fields to their defaults.
func (f *Follower) Default() {
	if f.OnRead == nil {
		f.OnRead = func(error) {}
	}
	if f.OnTrimmed == nil {
		f.OnTrimmed = func(_ context.Context, err *TrimmedError) (int64, error) { return 0, err }
	}
}

// Run follows the stream until the context ends or a callback returns an error.
func (f *Follower) Run(ctx context.Context) error {
	retry := RetryFirst
	for ctx.Err() == nil {
		page, err := f.Log.Read(ctx, f.Stream, f.Next, PollWait)
		if ctx.Err() != nil {
			return nil
		}
		f.OnRead(err)
		var trimmed *TrimmedError
		switch {
		case errors.As(err, &trimmed):
			if f.Next, err = f.OnTrimmed(ctx, trimmed); err != nil {
				return err
			}
		case err != nil:
			if sleep(ctx, retry) != nil {
				return nil
			}
			retry = min(2*retry, RetryMax)
		default:
			contiguous, err := f.deliver(ctx, page.Records)
			if err != nil {
				return err
			}
			if !contiguous && sleep(ctx, retry) != nil {
				return nil
			}
			retry = RetryFirst
		}
	}
	return nil
}

// deliver passes records to OnRecord; it returns false when there is a gap in their offsets.
func (f *Follower) deliver(ctx context.Context, records []Record) (bool, error) {
	for _, e := range records {
		if e.Offset < f.Next {
			continue
		}
		if e.Offset > f.Next {
			f.OnRead(&GapError{Stream: f.Stream, Want: f.Next, Got: e.Offset})
			return false, nil
		}
		if err := f.OnRecord(ctx, e); err != nil {
			return false, err
		}
		f.Next = e.Offset + 1
	}
	return true, nil
}
