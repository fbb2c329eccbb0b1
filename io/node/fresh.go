package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"cranberryrail/core/conf"
	"cranberryrail/core/events"
	"cranberryrail/core/tail"
)

// staleAfter is the age of the configuration from which on an instance says that it is
// stale: a newer one may be in force elsewhere.
const staleAfter = 6 * time.Second

// freshness notes when the configuration was last known to be the newest, and which
// streams are no longer followed.
type freshness struct {
	mu sync.Mutex
	// confirmed is when all records up to the head of the stream were known to be folded.
	confirmed time.Time
	// head was read at readAt and may still be folded.
	head    int64
	readAt  time.Time
	stale   bool
	stalled []string
}

// read notes that the head of the stream was read; next is the next record to fold.
func (f *freshness) read(head, next int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle(next)
	f.head, f.readAt = head, now
}

// settle takes in what was folded since the head was read; the caller holds the lock.
func (f *freshness) settle(next int64) {
	if next >= f.head && f.readAt.After(f.confirmed) {
		f.confirmed = f.readAt
	}
}

// age returns the time since the configuration was last known to be the newest.
func (f *freshness) age(next int64, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle(next)
	return now.Sub(f.confirmed)
}

// turned reports whether the configuration became stale or ceased to be.
func (f *freshness) turned(stale bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.stale
	f.stale = stale
	return before != stale
}

// stop notes a stream that is no longer followed.
func (f *freshness) stop(stream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalled = append(f.stalled, stream)
}

// stopped returns the streams that are no longer followed.
func (f *freshness) stopped() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.stalled)
}

// noting returns the log with each read of the configuration's head noted.
func (n *Node) noting(log tail.Log) tail.Log {
	n.fresh.confirmed = time.Now()
	read := log.Read
	log.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (tail.Page, error) {
		page, err := read(ctx, stream, from, wait)
		if err == nil && stream == conf.Stream {
			n.fresh.read(page.Head, n.Conf.Feed.Next(), time.Now())
		}
		return page, err
	}
	return log
}

// ConfigAge returns the time since the configuration was last known to be the newest.
func (n *Node) ConfigAge() time.Duration { return n.fresh.age(n.Conf.Feed.Next(), time.Now()) }

// watchAge logs when the configuration becomes stale and when it is confirmed again.
func (n *Node) watchAge() {
	age := n.ConfigAge()
	if !n.fresh.turned(age > staleAfter) {
		return
	}
	e := events.ConfConfirmed
	if age > staleAfter {
		e = events.ConfUnconfirmed
	}
	events.Log(n.Log, e).Int64("version", n.current.get().version).Dur("age", age).Send()
}
