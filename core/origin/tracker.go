package origin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/logs"
	"cranberryrail/core/roster"
)

// Defaults of Tracker.
const (
	// DefaultLife is longer than a stream lasts with all tries of its caller.
	DefaultLife = 30 * time.Second
	// DefaultSettle is longer than an instance is out of touch with the log while it still reaches a target that left the list.
	DefaultSettle = 2 * time.Minute
)

// Limits of Tracker.
const (
	// maxKnown is the number of streams begun at this instance whose origin is kept in memory: several times what one instance begins
	// in the life of a stream.
	maxKnown = 8192
	// optionalWait is how long the first event of a stream waits for a record without which the stream could be resumed at this instance only.
	optionalWait = 100 * time.Millisecond
	// callTimeout bounds a read of the log: a hundred times its usual duration, and short of the time in which a caller gives up.
	callTimeout = 400 * time.Millisecond
	// stepInterval is the time between two checks whether a state is due to change.
	stepInterval = 500 * time.Millisecond
	// maxStates is the number of states that one append records. Entries of the list may name any number of services.
	maxStates = 64
	// maxVersions is the number of versions that a state names: several times what one service has at the same time.
	maxVersions = 16
)

// Tracker knows the origins of streams. Exported fields are set before Default. It is safe for concurrent use. A nil Tracker
// knows no streams and restricts nothing.
type Tracker struct {
	Log logs.Log
	// StreamTopic is the keyed topic of the origin records, in Parts partitions, and StateTopic that of the states of services.
	StreamTopic, StateTopic string
	Parts                   int
	// NewFleet is set if the whole fleet starts for the first time, so that no stream began before.
	NewFleet bool
	// Life is the longest time from the first event of a stream to the last try of its caller, and Settle the time after which no stream that
	// began at a version without listed targets is left.
	Life, Settle time.Duration
	// Now returns the current time.
	Now func() time.Time
	// AwaitTargets waits until the list of targets was read anew and passed to SetTargets; optional.
	AwaitTargets func(ctx context.Context) error
	// OnState is called when this instance learns of another state of a service; optional.
	OnState func(s State)
	// OnError is called with the first error of a series of calls of the log that fail; optional.
	OnError func(err error)
	// OnInvalid is called with a record that can't be decoded; optional.
	OnInvalid func(key string, err error)

	partitions []*partition
	changed    chan struct{}
	startedAt  time.Time

	mu       sync.Mutex
	loaded   bool
	services map[string]*service
	known    *lru.Cache[Key, Origin]
	// waiting holds the recordings that are not known to be in the log, by the keys of their records.
	waiting map[string]*Recording
}

// service is what is known of one service.
type service struct {
	state State
	// exists is set if the log has a state, and confirmed if it was read after the versions listed last.
	exists, confirmed bool
	// since is when this instance learned of the state, and aloneSince since when one version alone is listed.
	since, aloneSince time.Time
	// versions are those of the listed targets that are not leaving, in ascending order.
	versions []string
}

// String returns the name of the tracker for logs.
func (t *Tracker) String() string { return "tracker of the origins of streams" }

// Default sets unset fields to their defaults.
func (t *Tracker) Default() {
	if t.Life == 0 {
		t.Life = DefaultLife
	}
	if t.Settle == 0 {
		t.Settle = DefaultSettle
	}
	if t.Now == nil {
		t.Now = time.Now
	}
	if t.AwaitTargets == nil {
		t.AwaitTargets = func(context.Context) error { return nil }
	}
	if t.OnState == nil {
		t.OnState = func(State) {}
	}
	if t.OnError == nil {
		t.OnError = func(error) {}
	}
	if t.OnInvalid == nil {
		t.OnInvalid = func(string, error) {}
	}
	t.startedAt = t.Now()
	t.changed = make(chan struct{}, 1)
	t.services, t.waiting = map[string]*service{}, map[string]*Recording{}
	t.known, _ = lru.New[Key, Origin](maxKnown) // fails only for a size below 1
	for i := range max(t.Parts, 1) {
		t.partitions = append(t.partitions, newPartition(t, i))
	}
}

// Run records origins and changes the states of services until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, p := range t.partitions {
		g.Go(func() error { return p.outbox.Run(ctx) })
	}
	g.Go(func() error {
		ticker := time.NewTicker(stepInterval)
		defer ticker.Stop()
		failing := false
		for ctx.Err() == nil {
			t.expireWaits()
			err := t.step(ctx)
			if err != nil && !failing && ctx.Err() == nil {
				t.OnError(err)
			}
			failing = err != nil
			select {
			case <-ctx.Done():
			case <-ticker.C:
			case <-t.changed:
			}
		}
		return nil
	})
	return g.Wait()
}

// Loaded reports whether the states of services have been read.
func (t *Tracker) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// States returns the states of all services that have one.
func (t *Tracker) States() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := []State{}
	for _, s := range t.services {
		if s.exists {
			states = append(states, s.state)
		}
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Service, b.Service) })
	return states
}

// SetTargets sets the listed targets. A service without any keeps the versions that were listed last.
func (t *Tracker) SetTargets(targets []roster.Target) {
	versions := map[string][]string{}
	for _, target := range targets {
		if target.State != roster.Leaving && target.Service != "" && target.Software != "" {
			versions[target.Service] = append(versions[target.Service], target.Software)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, listed := range versions {
		slices.Sort(listed)
		t.service(name).setVersions(slices.Compact(listed), t.Now())
	}
	t.notify()
}

// notify makes Run check at once whether a state is due to change.
func (t *Tracker) notify() {
	select {
	case t.changed <- struct{}{}:
	default: // Run is already notified
	}
}

// setVersions sets the listed versions. A state that was read before another version was listed is confirmed again.
func (s *service) setVersions(versions []string, now time.Time) {
	if slices.Equal(versions, s.versions) {
		return
	}
	for _, v := range versions {
		if !slices.Contains(s.versions, v) {
			s.confirmed = false
		}
	}
	s.versions, s.aloneSince = versions, now
}

// service returns the service with a name.
func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// Restriction returns the version at which new streams of a service may begin; empty if any may.
func (t *Tracker) Restriction(name string) string {
	if t == nil {
		return ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	bound := s.exists && (s.state.Mode == Open || s.state.Mode == Mixed && t.failing())
	if !bound || !slices.Contains(s.versions, s.state.Version) {
		return ""
	}
	return s.state.Version
}

// failing reports whether the last append to any partition failed.
func (t *Tracker) failing() bool {
	return slices.ContainsFunc(t.partitions, func(p *partition) bool { return p.failing })
}

// recordNeeded reports whether a stream that begins at a version needs a record, and whether it may not begin without.
func (s *service) recordNeeded(version string, era int64) (needed, required bool) {
	switch current := s.exists && s.state.Era == era; {
	case current && s.state.Mode == Recorded:
		return true, !slices.Contains(s.state.Versions, version)
	case current && s.state.Version == version:
		return s.state.Mode == Mixed, false
	default:
		return true, true
	}
}

// Recording is the origin record of one attempt at a stream. A nil Recording needs no record.
type Recording struct {
	key  Key
	at   time.Time
	done chan struct{}
	// required is set if the first event must not be forwarded without the record.
	required bool
}

// Begin records the origin of a stream, for an attempt at a target that may begin it, and does not wait for the log. Attempts at one
// stream are numbered; supersedes is set if an earlier one was recorded.
func (t *Tracker) Begin(key Key, attempt int, o Origin, supersedes bool) *Recording {
	if t == nil || key == "" || o.Version == "" {
		return nil
	}
	t.mu.Lock()
	needed, required := t.service(o.Service).recordNeeded(o.Version, t.Log.CurrentEra())
	if !needed && !supersedes {
		t.mu.Unlock()
		return nil
	}
	r := &Recording{key: key, at: t.Now(), done: make(chan struct{}), required: required || supersedes}
	if p := t.partitionOf(key); p.failing && !r.required {
		close(r.done) // The record follows when the log is reachable again.
		t.mu.Unlock()
		p.add(key, attempt, o)
		return r
	}
	t.waiting[recordKey(key, attempt)] = r
	t.mu.Unlock()
	t.partitionOf(key).add(key, attempt, o)
	return r
}

// endWait ends the wait for a record.
func (t *Tracker) endWait(recordKey string) {
	if r := t.waiting[recordKey]; r != nil {
		close(r.done)
		delete(t.waiting, recordKey)
	}
}

// expireWaits ends the wait for records that were dropped.
func (t *Tracker) expireWaits() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, r := range t.waiting {
		if t.Now().Sub(r.at) > t.Life {
			delete(t.waiting, key)
		}
	}
}

// Ready reports whether the first event of the stream may be forwarded without a wait.
func (r *Recording) Ready() bool {
	if r == nil {
		return true
	}
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Wait waits until the first event of the stream may be forwarded. The error is ErrNotRecorded, with that of the context. A record that is
// required may come until the context ends.
func (r *Recording) Wait(ctx context.Context) error {
	if r.Ready() {
		return nil
	}
	var limit <-chan time.Time
	if !r.required {
		timer := time.NewTimer(optionalWait)
		defer timer.Stop()
		limit = timer.C
	}
	select {
	case <-r.done:
		return nil
	case <-limit:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotRecorded, ctx.Err())
	}
}

// Began keeps the origin of a stream whose first event is forwarded.
func (t *Tracker) Began(key Key, o Origin) {
	if t != nil && key != "" && o.Version != "" {
		t.known.Add(key, o)
	}
}

// Find returns the origin of a stream that began at a service. It reads the log unless the stream began at this instance. The error is
// ErrUnknown, or that of a call of the log.
func (t *Tracker) Find(ctx context.Context, key Key, serviceName string) (Origin, error) {
	if t == nil {
		return Origin{Service: serviceName}, nil
	}
	if o, ok := t.known.Get(key); ok {
		return o, nil
	}
	o, mode, err := t.find(ctx, key, serviceName)
	if err != nil || mode == Open {
		return o, err
	}
	// The list of this instance may be older than another version. A target may have started again with it under the id that it had.
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := t.AwaitTargets(ctx); err != nil {
		return Origin{}, fmt.Errorf("read the list of targets: %w", err)
	}
	return o, nil
}

// find reads the origin of a stream that did not begin at this instance, and the mode of its service; a stream that has a record began while it was not open.
func (t *Tracker) find(ctx context.Context, key Key, serviceName string) (Origin, Mode, error) {
	if key != "" {
		o, ok, err := t.partitionOf(key).find(ctx, key)
		if ok || err != nil {
			return o, Recorded, err
		}
	}
	if _, err := t.readStates(ctx); err != nil {
		return Origin{}, "", err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	// An id that names no stream may stand for one that was recorded.
	usable := s.exists && s.state.Era == t.Log.CurrentEra() && (s.state.Mode == Open || s.state.Mode == Mixed && key != "")
	if !usable {
		return Origin{}, "", ErrUnknown
	}
	return Origin{Service: serviceName, Version: s.state.Version}, s.state.Mode, nil
}

func (t *Tracker) partitionOf(key Key) *partition {
	return t.partitions[xxhash.Sum64String(string(key))%uint64(len(t.partitions))]
}

// readStates reads the states of all services, and returns the end of their partition.
func (t *Tracker) readStates(ctx context.Context) (end int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.mu.Lock()
	listed := map[string][]string{}
	for name, s := range t.services {
		listed[name] = s.versions
	}
	t.mu.Unlock()
	snapshot, err := t.Log.NewestAll(ctx, t.StateTopic, 0)
	if err != nil {
		return 0, fmt.Errorf("read the states of services: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = true
	for _, s := range t.services {
		s.exists = false
	}
	for _, r := range snapshot.Records {
		state, err := parseState(r)
		if err != nil {
			t.OnInvalid(r.Key, err)
			continue
		}
		s := t.service(r.Key)
		s.exists = true
		if !s.state.equal(state) {
			s.state, s.since = state, t.Now()
			t.OnState(state)
		}
	}
	for name, s := range t.services {
		if !s.exists && len(s.versions) == 0 {
			delete(t.services, name) // only an invalid record, or a request, named it
			continue
		}
		// Versions that were listed during the read are confirmed by the next one.
		s.confirmed = s.confirmed || slices.Equal(listed[name], s.versions)
	}
	return snapshot.End, nil
}

// step records the states that are due.
func (t *Tracker) step(ctx context.Context) error {
	if !t.isDue() {
		return nil
	}
	end, err := t.readStates(ctx)
	if err != nil {
		return err
	}
	records := t.dueStates()
	if len(records) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = t.Log.Append(ctx, t.StateTopic, 0, end, records)
	var conflict *logs.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return fmt.Errorf("record the states of services: %w", err)
	}
	_, err = t.readStates(ctx) // The outcome, whichever instance recorded it.
	if len(records) == maxStates {
		t.notify()
	}
	return err
}

// isDue reports whether the states are to be read: at the start, when another version was listed, and when one is due to change.
func (t *Tracker) isDue() bool {
	t.mu.Lock()
	unconfirmed := !t.loaded
	for _, s := range t.services {
		unconfirmed = unconfirmed || len(s.versions) > 0 && !s.confirmed
	}
	t.mu.Unlock()
	return unconfirmed || len(t.dueStates()) > 0
}

// dueStates returns the records of the states that are due to change.
func (t *Tracker) dueStates() []logs.Record {
	era := t.Log.CurrentEra()
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []logs.Record
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		if len(records) == maxStates {
			break // the others follow
		}
		if state, due := t.next(s, era); due {
			state.Era = era
			records = append(records, logs.Record{Key: name, Value: mustEncode(state)})
		}
	}
	return records
}

// next returns the state that follows the present one of a service, and whether it is due.
func (t *Tracker) next(s *service, era int64) (state State, due bool) {
	now := t.Now()
	alone := len(s.versions) == 1
	switch {
	case len(s.versions) == 0:
		return State{}, false
	case !s.exists && t.NewFleet && alone && now.Sub(t.startedAt) < t.Life:
		return State{Mode: Open, Version: s.versions[0]}, true
	case !s.exists || s.state.Era != era:
		return s.recorded(), true
	}
	return t.follow(s, slices.Contains(s.versions, s.state.Version), alone)
}

// follow returns the state that follows one of the present era, given whether its version is listed, and whether one version alone is.
func (t *Tracker) follow(s *service, listed, alone bool) (state State, due bool) {
	now := t.Now()
	switch s.state.Mode {
	case Open:
		if listed && !alone {
			return State{Mode: Mixed, Version: s.state.Version}, true
		}
		return s.recorded(), !listed
	case Mixed:
		return s.recorded(), !listed || now.Sub(s.since) >= t.Life
	default:
		next := s.recorded()
		if !alone {
			return next, slices.ContainsFunc(next.Versions, func(v string) bool { return !slices.Contains(s.state.Versions, v) })
		}
		if !slices.Equal(s.state.Versions, next.Versions) {
			return next, true
		}
		settled := now.Sub(s.aloneSince) >= t.Settle && now.Sub(s.since) >= t.Settle
		return State{Mode: Open, Version: s.versions[0]}, settled
	}
}

// recorded returns the recorded state, which names the listed versions.
func (s *service) recorded() State {
	return State{Mode: Recorded, Versions: s.versions[:min(len(s.versions), maxVersions)]}
}
