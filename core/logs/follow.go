package logs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cranberryrail/core/pause"
)

// Defaults of Follower.
const (
	// DefaultWait is the longest time that a read waits for a record. A stalled connection is detected
	// after this time plus the call margin, well within the time in which changes must take effect.
	DefaultWait = time.Second
	// DefaultCallMargin is the time that a call may take beyond the wait, about a hundred times the
	// usual response time.
	DefaultCallMargin = 600 * time.Millisecond
	// DefaultMaxBackoff is the longest backoff after a failed call; the shortest is a quarter of it.
	DefaultMaxBackoff = 200 * time.Millisecond
)

// Follower follows one partition of a keyed topic. Exported fields are set before Run.
type Follower struct {
	Log       Log
	Topic     string
	Partition int
	// Wait is the longest time that a read waits for a record.
	Wait time.Duration
	// Pause is the delay after each successful read, which limits the rate of calls when records are frequent.
	Pause time.Duration
	// CallMargin is the time that a call may take beyond the wait.
	CallMargin time.Duration
	// MaxBackoff is the longest backoff after a failed call.
	MaxBackoff time.Duration
	// Reset receives the newest record of every key, at the start, whenever unread records were dropped from the log,
	// and when it was restored from an older copy.
	Reset func(records []Record)
	// OnRestored is called before Reset if the log was restored from an older copy since the reset before; optional.
	OnRestored func()
	// Apply receives later records in order.
	Apply func(records []Record)
	// OnOutage is called with the error of the first call that fails, at the start or after a call that
	// succeeded; optional.
	OnOutage func(err error)
	// OnRecovery is called with the duration of the outage when a call succeeds again; optional.
	OnRecovery func(duration time.Duration)

	failingSince time.Time
	// mu protects endRead, which ends the read that waits for a record, and refresh, which is set if the next one is to return at once.
	mu      sync.Mutex
	endRead context.CancelFunc
	refresh bool
	// immediate is set if the read in flight returns at once, and ended if it was ended for another one.
	immediate, ended bool
	// wake receives an element when refresh is set, which ends the pause between two reads.
	wake chan struct{}
	// begun is the number of reads that began, and applied that of the last one whose records were applied, of which changed notifies by being closed.
	begun, applied int64
	changed        chan struct{}
	// started is set once the newest records were read, and era the era of the log that they were read in.
	started bool
	era     int64
}

// String returns the name of the follower for log lines.
func (f *Follower) String() string { return fmt.Sprintf("follower of %s/%d", f.Topic, f.Partition) }

// Default sets unset fields to their defaults.
func (f *Follower) Default() {
	if f.Wait == 0 {
		f.Wait = DefaultWait
	}
	if f.CallMargin == 0 {
		f.CallMargin = DefaultCallMargin
	}
	if f.MaxBackoff == 0 {
		f.MaxBackoff = DefaultMaxBackoff
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wake == nil {
		f.wake, f.changed = make(chan struct{}, 1), make(chan struct{})
	}
	if f.OnOutage == nil {
		f.OnOutage = func(error) {}
	}
	if f.OnRestored == nil {
		f.OnRestored = func() {}
	}
	if f.OnRecovery == nil {
		f.OnRecovery = func(time.Duration) {}
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
				f.pause(ctx)
			}
			err = f.handleReadError(ctx, err)
		}
		if !requiresReset(err) {
			f.recordFailure(ctx, err)
		}
	}
	return nil
}

// pause waits for Pause, or until the next read is to return at once.
func (f *Follower) pause(ctx context.Context) {
	timer := time.NewTimer(f.Pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
	}
}

// requiresReset reports whether an error of a read means that the newest records must be read again.
func requiresReset(err error) bool {
	var gone *GoneError
	return errors.As(err, &gone) || errors.Is(err, ErrNewEra)
}

// reset reads the newest record of every key and returns the offset to continue from.
func (f *Follower) reset(ctx context.Context) (int64, error) {
	call, cancel := context.WithTimeout(ctx, min(f.Wait, DefaultWait)+f.CallMargin)
	defer cancel()
	f.beginRead(nil)
	s, err := f.Log.NewestAll(call, f.Topic, f.Partition)
	if err != nil {
		return 0, err
	}
	f.recordSuccess()
	if f.started && f.era != s.Era {
		f.OnRestored()
	}
	f.started, f.era = true, s.Era
	f.Reset(s.Records)
	f.recordApplied()
	return s.End, nil
}

// read reads the records from an offset on and returns the offset after the last one.
func (f *Follower) read(ctx context.Context, from int64) (int64, error) {
	call, end := context.WithCancel(ctx)
	defer end()
	refreshed := f.beginRead(end)
	wait, limit := f.Wait, f.Wait
	if !f.failingSince.IsZero() || refreshed {
		wait, limit = 0, min(f.Wait, DefaultWait) // An immediate response shows at once that the log is reachable again.
	}
	call, cancel := context.WithTimeout(call, limit+f.CallMargin)
	defer cancel()
	records, _, err := f.Log.Read(call, f.Topic, f.Partition, from, wait)
	switch {
	case f.finishRead() && err != nil && ctx.Err() == nil:
		return from, nil
	case err != nil:
		return from, err
	}
	f.recordSuccess()
	if f.Log.CurrentEra() != f.era {
		return from, ErrNewEra
	}
	if len(records) > 0 {
		from = records[len(records)-1].Offset + 1
		f.Apply(records)
	}
	f.recordApplied()
	return from, nil
}

// Refresh ends a read that waits for a record, and makes the next one return at once, so that a connection that was lost without
// notice does not delay records until the end of the wait.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setRefresh()
	if f.endRead != nil {
		f.ended = true
		f.endRead()
	}
}

// setRefresh makes the next read return at once. The mutex is locked.
func (f *Follower) setRefresh() {
	f.refresh = true
	select {
	case f.wake <- struct{}{}:
	default: // Run is already notified, or has not begun.
	}
}

// AwaitRead waits until the records of a read that began after the call have been applied. The read is made at once. The error is that of the context.
func (f *Follower) AwaitRead(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.begun + 1
	f.setRefresh()
	if f.endRead != nil && !f.immediate {
		f.ended = true
		f.endRead() // One that returns at once is left to complete, however many wait for the next.
	}
	for f.applied < next {
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		f.mu.Lock()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// recordApplied records that the records of the read that began last were applied.
func (f *Follower) recordApplied() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = f.begun
	close(f.changed)
	f.changed = make(chan struct{})
}

// beginRead records how the read that begins can be ended, and reports whether it is to return at once.
func (f *Follower) beginRead(end context.CancelFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	refresh := f.refresh
	f.begun++
	f.endRead, f.refresh, f.immediate, f.ended = end, false, refresh, false
	select {
	case <-f.wake:
	default: // The pause was ended, or there was none.
	}
	return refresh
}

// finishRead reports whether the read was ended for another one.
func (f *Follower) finishRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endRead = nil
	return f.ended
}

// handleReadError records an error and returns nil if the read is to be retried from the same offset. It returns
// an error if the newest records must be read again or the context has ended.
func (f *Follower) handleReadError(ctx context.Context, err error) error {
	if err == nil || requiresReset(err) {
		return err
	}
	f.recordFailure(ctx, err)
	return ctx.Err()
}

func (f *Follower) recordSuccess() {
	if f.failingSince.IsZero() {
		return
	}
	outage := time.Since(f.failingSince)
	f.failingSince = time.Time{}
	f.OnRecovery(outage)
}

// recordFailure records the start of an outage and backs off.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failingSince.IsZero() {
		f.failingSince = time.Now()
		f.OnOutage(err)
	}
	minPause := f.MaxBackoff / 4
	pause.For(ctx, minPause+rand.N(f.MaxBackoff-minPause))
}
