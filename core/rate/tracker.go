package rate

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/logs"
	"cranberryrail/core/roster"
)

// Tracker decides when a request may be sent to a target that has named a limit. Exported fields are set before Default. It is
// safe for concurrent use. A nil Tracker knows no limits, and no cold targets.
type Tracker struct {
	// Instance is the id of this instance.
	Instance string
	// Publish queues a record for the other instances, and Pending returns those that are not known to be in the log; optional.
	Publish func(r logs.Record)
	Pending func() []logs.Record
	// Now returns the current time.
	Now func() time.Time
	// OnChange is called when a limit is named, changes or ends (limited is false); optional.
	OnChange func(target string, perSecond float64, limited bool)
	// OnInvalid is called with a record that can't be decoded; optional.
	OnInvalid func(key string, err error)

	mu     sync.Mutex
	limits map[uint64]*limit
	// cold holds the limits of cold targets.
	cold  map[uint64]*coldLimit
	fleet []instance
	// settledAt is when SettleTime ends for an instance that joined the fleet; zero for others.
	settledAt time.Time
}

// String returns the name of the tracker for logs.
func (t *Tracker) String() string { return "tracker of rate limits" }

// Default sets unset fields to their defaults.
func (t *Tracker) Default() {
	if t.Now == nil {
		t.Now = time.Now
	}
	if t.OnChange == nil {
		t.OnChange = func(string, float64, bool) {}
	}
	if t.Publish == nil {
		t.Publish = func(logs.Record) {}
	}
	if t.Pending == nil {
		t.Pending = func() []logs.Record { return nil }
	}
	if t.OnInvalid == nil {
		t.OnInvalid = func(string, error) {}
	}
	t.limits = map[uint64]*limit{}
}

// SetInstances sets the ids of all instances. Until it is called, no requests are sent to targets with a limit. If joined is set, the other
// instances may not know of this one yet.
func (t *Tracker) SetInstances(ids []string, joined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	if joined && t.settledAt.IsZero() {
		t.settledAt = now.Add(SettleTime)
	}
	t.fleet = make([]instance, 0, len(ids))
	for _, id := range ids {
		t.fleet = append(t.fleet, instance{id, xxhash.Sum64String(id)})
	}
	for target, l := range t.limits {
		l.resize(newShare(l.perSecond, target, t.Instance, t.fleet), now)
	}
	t.resizeCold(now)
}

// Observe applies the limit that the response of a target names, nil if it names none, given when the request was sent.
func (t *Tracker) Observe(target roster.Target, perSecond *float64, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := hash(target.Incarnation)
	l := t.limits[id]
	switch {
	case perSecond != nil:
		t.set(id, record{*perSecond, target.ID})
		l = t.limits[id]
		if math.Abs(l.perSecond-l.publishedPerSecond) > publishedChange*l.publishedPerSecond {
			l.publishedPerSecond = l.perSecond
			t.Publish(encode(id, l))
		}
	case l != nil && sentAt.After(l.namedAt): // An earlier request may have been answered before the limit was named.
		t.remove(id)
		t.Publish(logs.Record{Key: key(id)})
	}
}

// set sets the limit of a target.
func (t *Tracker) set(target uint64, r record) {
	now := t.Now()
	l := t.limits[target]
	switch {
	case l == nil:
		l = &limit{perSecond: r.PerSecond, publishedPerSecond: unpublished, target: r.Target, listedAt: now, share: newShare(r.PerSecond, target, t.Instance, t.fleet)}
		l.start(now)
		t.limits[target] = l
		t.OnChange(r.Target, r.PerSecond, true)
	case l.perSecond != r.PerSecond:
		l.perSecond = r.PerSecond
		l.resize(newShare(r.PerSecond, target, t.Instance, t.fleet), now)
		t.OnChange(r.Target, r.PerSecond, true)
	}
	l.namedAt = now
}

// remove removes the limit of a target.
func (t *Tracker) remove(target uint64) {
	if l := t.limits[target]; l != nil {
		delete(t.limits, target)
		t.OnChange(l.target, l.perSecond, false)
	}
}

// limit returns the limit of an incarnation of a target; nil without one.
func (t *Tracker) limit(incarnation string) *limit {
	if len(t.limits) == 0 {
		return nil
	}
	return t.limits[hash(incarnation)]
}

// Wait returns the time until this instance may send a request to an incarnation of a target; 0 if it may send one now. An instance that
// holds no share returns the mean time between two requests of all instances.
func (t *Tracker) Wait(incarnation string) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	wait := t.waitCold(incarnation, now)
	if l := t.limit(incarnation); l != nil {
		wait = max(wait, t.wait(l, now))
	}
	return wait
}

// NeedsCheck reports whether an incarnation of a target should be preferred over others: it has received no request for checkAfter although one was
// allowed, so that no response has shown whether its limit still applies.
func (t *Tracker) NeedsCheck(incarnation string) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limit(incarnation)
	return l != nil && t.Now().Sub(l.due()) > checkAfter
}

// Take counts a request that is sent to an incarnation of a target.
func (t *Tracker) Take(incarnation string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	if l := t.limit(incarnation); l != nil {
		l.take(now)
	}
	if l := t.coldLimit(incarnation, now); l != nil {
		l.take(now)
	}
}

// Limit is a limit of a target as shown to operators.
type Limit struct {
	Target string `json:"target"`
	// PerSecond is the limit, and SharePerSecond the part that this instance may use, in requests a second.
	PerSecond      float64 `json:"per_second"`
	SharePerSecond float64 `json:"share_per_second"`
}

// Limits returns the limits by target.
func (t *Tracker) Limits() []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Limit, 0, len(t.limits))
	for _, l := range t.limits {
		shown := Limit{Target: l.target, PerSecond: l.perSecond}
		if l.share.holder {
			shown.SharePerSecond = l.perSecond / float64(l.share.holders)
		}
		list = append(list, shown)
	}
	slices.SortFunc(list, func(a, b Limit) int { return strings.Compare(a.Target, b.Target) })
	return list
}

// Expire removes limits, and their records, of targets that have not been listed within the retention. It is randomised, so that usually one instance
// removes a record for all.
func (t *Tracker) Expire(listed []roster.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.limits) == 0 {
		return
	}
	now := t.Now()
	for _, target := range listed {
		if l := t.limits[hash(target.Incarnation)]; l != nil {
			l.listedAt = now
		}
	}
	for target, l := range t.limits {
		if now.Sub(l.listedAt) > retention+rand.N(retention) {
			t.remove(target)
			t.Publish(logs.Record{Key: key(target)})
		}
	}
}

// pendingKeys returns the keys of records that wait to be appended. They supersede records that are read now.
func (t *Tracker) pendingKeys() map[string]bool {
	keys := map[string]bool{}
	for _, r := range t.Pending() {
		keys[r.Key] = true
	}
	return keys
}

// Apply applies records of the topic in order.
func (t *Tracker) Apply(records []logs.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending := t.pendingKeys()
	for _, r := range records {
		t.fold(r, pending)
	}
}

// fold applies a record, unless a newer one with its key waits to be appended.
func (t *Tracker) fold(r logs.Record, pending map[string]bool) {
	target, value, err := decode(r)
	switch {
	case err != nil:
		t.OnInvalid(r.Key, err)
	case pending[r.Key]:
	case len(r.Value) == 0:
		t.remove(target)
	case t.limits[target] == nil && len(t.limits) >= maxRead:
		t.OnInvalid(r.Key, errTooMany)
	default:
		t.set(target, value)
		t.limits[target].publishedPerSecond = value.PerSecond
	}
}

// Reset replaces all that is known by the newest records of the topic and those that are not published yet.
func (t *Tracker) Reset(records []logs.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := t.pendingKeys()
	for _, r := range records {
		t.fold(r, keep)
	}
	for _, r := range records {
		keep[r.Key] = true
	}
	for target := range t.limits {
		if !keep[key(target)] {
			t.remove(target)
		}
	}
}

// Republish queues all that is known, after the log was restored from an older copy. It is called before Reset.
func (t *Tracker) Republish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, l := range t.limits {
		t.Publish(encode(target, l))
	}
}
