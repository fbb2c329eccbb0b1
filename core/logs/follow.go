package logs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cranberryrail/core/pause"
)

// Defaults of Follower.
const (
	// DefaultWait is how long one read waits for a record. A connection that went silent is
	// noticed after it and the margin, well within the time in which changes are due.
	DefaultWait = time.Second
	// DefaultMargin is the time beyond the wait that a call may take: some hundred times the
	// usual time of an answer.
	DefaultMargin = 600 * time.Millisecond
	// DefaultBackoff is the longest pause after a failed call; the shortest is a quarter of it.
	DefaultBackoff = 200 * time.Millisecond
)

// Follower follows one partition of a keyed topic. Exported fields are set before Run.
type Follower struct {
	Log   Log
	Topic string
	Part  int
	// Wait is how long one read waits for a record.
	Wait time.Duration
	// Pause is the least time between two reads, which bounds the calls when records are many.
	Pause time.Duration
	// Margin is the time beyond the wait that a call may take.
	Margin time.Duration
	// Backoff is the longest pause after a failed call.
	Backoff time.Duration
	// Reset takes the newest record of every key, at the start and whenever records were
	// missed.
	Reset func(records []Record)
	// Apply takes later records in order.
	Apply func(records []Record)
	// Lost is told of the first call that failed after one that succeeded, or at the start;
	// optional.
	Lost func(err error)
	// Back is told when a call succeeds again; optional.
	Back func(away time.Duration)

	lost time.Time
}

// String names the follower for logs.
func (f *Follower) String() string { return fmt.Sprintf("follower of %s/%d", f.Topic, f.Part) }

// Default fills fields that were left empty.
func (f *Follower) Default() {
	if f.Wait == 0 {
		f.Wait = DefaultWait
	}
	if f.Margin == 0 {
		f.Margin = DefaultMargin
	}
	if f.Backoff == 0 {
		f.Backoff = DefaultBackoff
	}
	if f.Lost == nil {
		f.Lost = func(error) {}
	}
	if f.Back == nil {
		f.Back = func(time.Duration) {}
	}
}

// Run follows the partition until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.Default()
	for ctx.Err() == nil {
		from, err := f.reset(ctx)
		for err == nil {
			from, err = f.read(ctx, from)
			if err == nil && f.Pause > 0 {
				pause.For(ctx, f.Pause)
			}
			err = f.survive(ctx, err)
		}
		var gone *GoneError
		if !errors.As(err, &gone) {
			f.failed(ctx, err)
		}
	}
	return nil
}

// reset reads the newest records.
func (f *Follower) reset(ctx context.Context) (int64, error) {
	call, cancel := context.WithTimeout(ctx, f.Wait+f.Margin)
	defer cancel()
	records, end, err := f.Log.NewestAll(call, f.Topic, f.Part)
	if err != nil {
		return 0, err
	}
	f.succeeded()
	f.Reset(records)
	return end, nil
}

// read reads what follows an offset and returns the offset after it.
func (f *Follower) read(ctx context.Context, from int64) (int64, error) {
	wait := f.Wait
	if !f.lost.IsZero() {
		wait = 0 // the answer tells at once that the log is back
	}
	call, cancel := context.WithTimeout(ctx, f.Wait+f.Margin)
	defer cancel()
	records, _, err := f.Log.Read(call, f.Topic, f.Part, from, wait)
	if err != nil {
		return from, err
	}
	f.succeeded()
	if len(records) == 0 {
		return from, nil
	}
	next := records[len(records)-1].Offset + 1
	f.Apply(records)
	return next, nil
}

// survive lets the reads go on from the same offset after an error, unless the records
// from there on are gone or the follower ends.
func (f *Follower) survive(ctx context.Context, err error) error {
	var gone *GoneError
	if err == nil || errors.As(err, &gone) {
		return err
	}
	f.failed(ctx, err)
	return ctx.Err()
}

func (f *Follower) succeeded() {
	if f.lost.IsZero() {
		return
	}
	away := time.Since(f.lost)
	f.lost = time.Time{}
	f.Back(away)
}

// failed notes an error and pauses.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.lost.IsZero() {
		f.lost = time.Now()
		f.Lost(err)
	}
	least := f.Backoff / 4
	pause.For(ctx, least+rand.N(f.Backoff-least))
}
