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

// staleAfter is the age above which an instance reports its configuration as stale, because a newer one may be in
// force at other instances.
const staleAfter = 6 * time.Second

// configFreshness records when the configuration was last known to be the newest, and which streams are no longer
// followed.
type configFreshness struct {
	mu sync.Mutex
	// knownCurrentAt is the last time at which all records up to the head of the stream were known to be folded. It starts
	// at the start of the instance, so that a starting instance does not count as stale before staleAfter.
	knownCurrentAt time.Time
	// head was read at headReadAt; the records before it may not all be folded yet.
	head       int64
	headReadAt time.Time
	stale      bool
	stalled    []string
}

// recordHead records the head of the stream that was read at now; next is the offset of the next record to fold.
func (f *configFreshness) recordHead(head, next int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateKnownCurrent(next)
	f.head, f.headReadAt = head, now
}

// updateKnownCurrent advances knownCurrentAt if all records before the last head are folded; the caller holds the lock.
func (f *configFreshness) updateKnownCurrent(next int64) {
	if next >= f.head && f.headReadAt.After(f.knownCurrentAt) {
		f.knownCurrentAt = f.headReadAt
	}
}

// age returns the time since the configuration was last known to be the newest.
func (f *configFreshness) age(next int64, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateKnownCurrent(next)
	return now.Sub(f.knownCurrentAt)
}

// setStale records whether the configuration is stale and reports whether that changed.
func (f *configFreshness) setStale(stale bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.stale
	f.stale = stale
	return was != stale
}

// addStalled records a stream that is no longer followed.
func (f *configFreshness) addStalled(stream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalled = append(f.stalled, stream)
}

// stalledStreams returns the streams that are no longer followed.
func (f *configFreshness) stalledStreams() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.stalled)
}

// withHeadTracking returns a log that records the head of the configuration stream on each read.
func (n *Node) withHeadTracking(log tail.Log) tail.Log {
	n.freshness.knownCurrentAt = time.Now()
	read := log.Read
	log.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (tail.Page, error) {
		page, err := read(ctx, stream, from, wait)
		if err == nil && stream == conf.Stream {
			n.freshness.recordHead(page.Head, n.Conf.Feed.Next(), time.Now())
		}
		return page, err
	}
	return log
}

// ConfigAge returns the time since the configuration was last known to be the newest.
func (n *Node) ConfigAge() time.Duration { return n.freshness.age(n.Conf.Feed.Next(), time.Now()) }

// logStaleness logs when the configuration becomes stale and when it is confirmed again.
func (n *Node) logStaleness() {
	age := n.ConfigAge()
	if !n.freshness.setStale(age > staleAfter) {
		return
	}
	e := events.ConfConfirmed
	if age > staleAfter {
		e = events.ConfUnconfirmed
	}
	events.Log(n.Log, e).Int64("version", n.config.load().version).Dur("age", age).Send()
}
