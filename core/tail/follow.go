package tail

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// PollWait is how long one read waits for a record.
const PollWait = time.Second

// GapError tells that a read skipped records; it is repeated.
type GapError struct {
	Stream    string
	Want, Got int64
}

// Error implements the error interface.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream %s: a read from offset %d began at %d", e.Stream, e.Want, e.Got)
}

// Follower delivers the records of one stream in order. Exported fields are set
// before Run.
type Follower struct {
	// Log reaches the platform's log.
	Log Log
	// Stream is the stream to follow.
	Stream string
	// Next is the first offset to read.
	Next int64
	// Deliver takes one record; an error ends Run.
	Deliver func(ctx context.Context, e Entry) error
	// Trimmed is called when the records from Next on are gone. It returns the offset to go on
	// from, or an error that ends Run.
	Trimmed func(ctx context.Context, err *TrimmedError) (int64, error)
	// Contact is told of each read: nil when it succeeded; optional.
	Contact func(err error)
}

// String names the follower for logs.
func (f *Follower) String() string { return "follower of " + f.Stream }

// Default fills fields that were left empty.
func (f *Follower) Default() {
	if f.Contact == nil {
		f.Contact = func(error) {}
	}
	if f.Trimmed == nil {
		f.Trimmed = func(_ context.Context, err *TrimmedError) (int64, error) { return 0, err }
	}
}

// Run follows the stream until the context ends or a function field returns an error.
func (f *Follower) Run(ctx context.Context) error {
	retry := RetryFirst
	for ctx.Err() == nil {
		page, err := f.Log.Read(ctx, f.Stream, f.Next, PollWait)
		if ctx.Err() != nil {
			return nil
		}
		f.Contact(err)
		var trimmed *TrimmedError
		switch {
		case errors.As(err, &trimmed):
			if f.Next, err = f.Trimmed(ctx, trimmed); err != nil {
				return err
			}
		case err != nil:
			if sleep(ctx, retry) != nil {
				return nil
			}
			retry = min(2*retry, RetryLongest)
		default:
			whole, err := f.deliver(ctx, page.Entries)
			if err != nil {
				return err
			}
			if !whole && sleep(ctx, retry) != nil {
				return nil
			}
			retry = RetryFirst
		}
	}
	return nil
}

// deliver passes records on; it returns false when some are missing in between.
func (f *Follower) deliver(ctx context.Context, entries []Entry) (bool, error) {
	for _, e := range entries {
		if e.Offset < f.Next {
			continue
		}
		if e.Offset > f.Next {
			f.Contact(&GapError{Stream: f.Stream, Want: f.Next, Got: e.Offset})
			return false, nil
		}
		if err := f.Deliver(ctx, e); err != nil {
			return false, err
		}
		f.Next = e.Offset + 1
	}
	return true, nil
}
