// Package builds plays releases of a service against the origin trackers of a small fleet, with faults of the log and instances that are out of step, and checks
// that each stream is resumed at the software version that began it. It runs in virtual time.
package builds

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/logs"
	"cranberryrail/core/origin"
	"cranberryrail/core/roster"
	"cranberryrail/fake/memlog"
)

// Report is the outcome of a run.
type Report struct {
	// Streams is the number of streams that began.
	Streams int
	// Resumed and Unknown count the streams that were taken up while targets of their version were listed.
	Resumed, Unknown int
	// Wrong describes the streams that were resumed at another version than the one that began them.
	Wrong []string
}

// StartTracker starts a tracker over a log, which runs until the context ends or stop is called. The error of stop is that of the run.
func StartTracker(ctx context.Context, log logs.Log, newFleet bool) (tracker *origin.Tracker, stop func() error) {
	tracker = &origin.Tracker{Log: log, StreamTopic: "streams", StateTopic: "versions", NewFleet: newFleet}
	tracker.Default()
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return tracker.Run(ctx) })
	return tracker, func() error {
		cancel()
		return group.Wait()
	}
}

// Play makes a run whose disturbances depend on a seed: steps of a release and ends of all processes and, if faults is set, faults.
func Play(ctx context.Context, seed uint64, faults bool) (Report, error) {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), log: &memlog.Server{Era: 1}, versions: []string{"v1"}}
	for range 3 {
		f.members = append(f.members, f.start(true))
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, length+2*time.Second)
	defer cancel()
	var calls errgroup.Group
	next := time.Now()
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		if time.Now().After(next) {
			next = time.Now().Add(f.disturb(faults))
		}
		m, pick, fail := f.members[f.rng.IntN(3)], f.rng.IntN(2), f.rng.IntN(5)
		calls.Go(func() error { f.begin(ctx, m, fmt.Sprintf("s%d", n), pick, fail); return nil })
		other, which := f.members[f.rng.IntN(3)], f.rng.IntN(1000)
		calls.Go(func() error { f.resume(ctx, other, which); return nil })
		time.Sleep(100 * time.Millisecond)
	}
	f.err = errors.Join(f.err, calls.Wait())
	time.Sleep(2 * maxFreeze) // Timers that are due run before the end.
	for _, m := range f.members {
		f.err = errors.Join(f.err, m.end())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report.Streams = len(f.begun)
	return f.report, f.err
}

// Times of the randomised runs, in virtual time. Lists of targets lag by up to maxLag, and an instance is out of step for up to maxFreeze, which is short of settle.
const (
	life      = 2 * time.Second
	settle    = 6 * time.Second
	maxLag    = 300 * time.Millisecond
	maxFreeze = 2 * time.Second
	maxPause  = 5 * time.Second
	length    = 2 * time.Minute
)

// fleet is a fleet of trackers of one log, with releases of a service and faults of the log.
type fleet struct {
	rng     *rand.Rand
	log     *memlog.Server
	members []*member
	copies  []memlog.Copy

	mu       sync.Mutex
	versions []string
	begun    []stream
	report   Report
	// err holds the errors of trackers that ended.
	err error
	// settling is set if the next disturbance comes when the service is about to be opened.
	settling bool
}

type stream struct {
	id, version string
	at          time.Time
}

type member struct {
	*origin.Tracker
	stop   context.CancelFunc
	group  errgroup.Group
	mu     sync.Mutex
	listed []string
	cut    bool
	// frozenUntil is when an instance that stands still goes on. Replies that reach it meanwhile are used then.
	frozenUntil time.Time
}

// thaw waits while the instance stands still, and reports whether it did.
func (m *member) thaw() bool {
	m.mu.Lock()
	left := time.Until(m.frozenUntil)
	m.mu.Unlock()
	time.Sleep(left)
	return left > 0
}

// end ends a tracker.
func (m *member) end() error {
	m.stop()
	return m.group.Wait()
}

// start starts a tracker.
func (f *fleet) start(newFleet bool) *member {
	m := &member{}
	l := f.log.Log()
	reach := func() error {
		m.thaw()
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.cut {
			return context.DeadlineExceeded
		}
		return nil
	}
	read, newest, add := l.Read, l.Newest, l.Append
	l.Read = func(ctx context.Context, topic string, part int, from int64, wait time.Duration) ([]logs.Record, int64, error) {
		if err := reach(); err != nil {
			return nil, 0, err
		}
		defer m.thaw()
		return read(ctx, topic, part, from, wait)
	}
	l.Newest = func(ctx context.Context, topic string, part int, after string) (logs.Page, error) {
		if err := reach(); err != nil {
			return logs.Page{}, err
		}
		defer m.thaw()
		return newest(ctx, topic, part, after)
	}
	l.Append = func(ctx context.Context, topic string, part int, at int64, records []logs.Record) (int64, error) {
		if err := reach(); err != nil {
			return 0, err
		}
		defer m.thaw()
		return add(ctx, topic, part, at, records)
	}
	m.Tracker = &origin.Tracker{Log: l, StreamTopic: "keyed.streams", StateTopic: "keyed.versions", Parts: 3, NewFleet: newFleet, Life: life, Settle: settle}
	m.AwaitTargets = func(context.Context) error {
		err := reach()
		f.list(m)
		return err
	}
	m.Default()
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.group.Go(func() error { return m.Run(ctx) })
	f.list(m)
	return m
}

// list applies the present list of targets to a tracker.
func (f *fleet) list(m *member) {
	if m.thaw() {
		time.Sleep(rand.N(maxLag)) // A list that is due is read together with all else that is.
	}
	f.mu.Lock()
	versions := slices.Clone(f.versions)
	f.mu.Unlock()
	targets := make([]roster.Target, 0, len(versions))
	for _, v := range versions {
		targets = append(targets, roster.Target{ID: v, Service: "s", Software: v, State: roster.Live})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = versions
	m.SetTargets(targets)
}

// begin begins a stream as an instance does, with a failed attempt before at times.
func (f *fleet) begin(ctx context.Context, m *member, id string, pick, failFirst int) {
	choose := func(n int) string {
		if v := m.Restriction("s"); v != "" {
			return v
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.listed[n%len(m.listed)]
	}
	key := origin.NewKey("org", id)
	version := choose(pick)
	m.thaw()
	r := m.Begin(key, 1, origin.Origin{Service: "s", Version: version}, false)
	if failFirst == 0 {
		version = choose(pick + 1)
		r = m.Begin(key, 2, origin.Origin{Service: "s", Version: version}, r != nil)
	}
	if r.Wait(ctx) != nil {
		return
	}
	m.thaw()
	m.Began(key, origin.Origin{Service: "s", Version: version})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = append(f.begun, stream{id, version, time.Now()})
}

// resume takes up one of the streams that began lately.
func (f *fleet) resume(ctx context.Context, m *member, n int) {
	f.mu.Lock()
	recent := f.begun[max(0, len(f.begun)-60):]
	if len(recent) == 0 {
		f.mu.Unlock()
		return
	}
	s := recent[n%len(recent)]
	listed := slices.Contains(f.versions, s.version)
	f.mu.Unlock()
	if time.Since(s.at) > life/2 {
		return
	}
	o, err := m.Find(ctx, origin.NewKey("org", s.id), "s")
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil && o.Version != s.version:
		f.report.Wrong = append(f.report.Wrong, fmt.Sprintf("%s began at %s, resumed at %s; states %v", s.id, s.version, o.Version, m.States()))
	case !listed:
	case err == nil:
		f.report.Resumed++
	default:
		f.report.Unknown++
	}
}

// disturb ends all processes, makes a step of a release or, if faults is set, injects a fault. It returns the time to the next disturbance.
func (f *fleet) disturb(faults bool) (pause time.Duration) {
	if f.settling {
		f.settling = false
		f.outOfStep()
		return maxFreeze
	}
	kind := f.rng.IntN(10)
	if !faults {
		kind = 2 + 6*f.rng.IntN(2)
	}
	switch kind {
	case 0:
		fault := []memlog.Fault{memlog.Refuse, memlog.LoseRequest, memlog.LoseReply, memlog.Late}[f.rng.IntN(4)]
		f.log.SetFault(func(string) memlog.Fault {
			if rand.IntN(2) == 0 {
				return fault
			}
			return memlog.None
		})
	case 1:
		f.log.SetFault(nil)
		f.log.ApplyLate()
	case 2:
		for i, m := range f.members {
			f.err = errors.Join(f.err, m.end())
			f.members[i] = f.start(false)
		}
	case 3:
		m := f.members[f.rng.IntN(len(f.members))]
		m.mu.Lock()
		m.cut = !m.cut
		m.mu.Unlock()
	case 4:
		f.copies = append(f.copies, f.log.Copy())
	case 5:
		if len(f.copies) > 0 {
			f.log.Restore(f.copies[len(f.copies)-1])
		}
	case 6:
		f.outOfStep()
	case 7:
		return f.settle()
	default:
		f.release()
	}
	return time.Duration(f.rng.Int64N(int64(maxPause)))
}

// settle leaves one version, and returns the time until the service is about to be opened.
func (f *fleet) settle() time.Duration {
	if len(f.versions) > 1 {
		f.release()
	}
	f.settling = true
	return settle - time.Duration(f.rng.Int64N(int64(maxFreeze)))
}

// outOfStep makes a step of a release while one instance stands still, and cuts another one off from the log when it has listed the targets.
func (f *fleet) outOfStep() {
	n := f.rng.IntN(len(f.members))
	late, cut := f.members[n], f.members[(n+1)%len(f.members)]
	late.mu.Lock()
	late.frozenUntil = time.Now().Add(time.Duration(f.rng.Int64N(int64(maxFreeze))))
	late.mu.Unlock()
	for after, is := range map[time.Duration]bool{2 * maxLag: true, maxFreeze: false} {
		time.AfterFunc(after, func() {
			cut.mu.Lock()
			defer cut.mu.Unlock()
			cut.cut = is
		})
	}
	f.release()
}

// release makes a step of a release: a version joins, or the older one leaves.
func (f *fleet) release() {
	f.mu.Lock()
	last := f.versions[len(f.versions)-1]
	if n, _ := strconv.Atoi(last[1:]); len(f.versions) == 1 {
		f.versions = append(f.versions, fmt.Sprintf("v%d", n+1))
	} else {
		f.versions = f.versions[1:]
	}
	f.mu.Unlock()
	for _, m := range f.members {
		time.AfterFunc(time.Duration(f.rng.Int64N(int64(maxLag))), func() { f.list(m) })
	}
}
