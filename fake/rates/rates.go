// Package rates simulates a fleet whose target names a rate limit: the real decisions about when to send a request
// (core/rate) over a fake log, with a simulated target. It uses no network. Its time is that of package time, so that a test runs it
// in virtual time with testing/synctest.
package rates

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/logs"
	"cranberryrail/core/pause"
	"cranberryrail/core/rate"
	"cranberryrail/core/roster"
	"cranberryrail/fake/memlog"
)

const (
	topic = "keyed.rates"
	// answerTime is the maximum time until the target answers, and callDelay the duration of a call to the log.
	answerTime, callDelay = 400 * time.Millisecond, 5 * time.Millisecond
	// listDelay is the maximum time until instances learn of one that joined.
	listDelay = 6 * time.Second
	// readWait is the maximum time that a read of the log waits for records, and readPause the time between two reads.
	readWait, readPause = 5 * time.Millisecond, 100 * time.Millisecond
)

// Run is one randomised run. Exported fields are set before Play.
type Run struct {
	// Seed determines the load.
	Seed uint64
	// Instances is the size of the fleet.
	Instances int
	// Demand is the number of requests a second that callers send to all instances together. At each time in Bursts, every instance
	// receives one more.
	Demand float64
	Bursts []time.Duration
	// Limit is the rate limit in requests a second that the target names between From and To; a To of 0 means until the end. Changed, unless
	// it is 0, replaces it at ChangeAt.
	Limit, Changed     float64
	From, To, ChangeAt time.Duration
	Length             time.Duration
	// LogAway and Parted are the times at which no instance, or every second one, reaches the log.
	LogAway, Parted []Window
	// Restarts are the times at which every second instance is killed and starts again, in ascending order.
	Restarts []time.Duration
	// Joins is the number of instances that join the fleet at JoinAt.
	Joins  int
	JoinAt time.Duration

	start   time.Time
	log     *memlog.Server
	members []*member

	mu       sync.Mutex
	random   *rand.Rand
	arrivals []arrival
	// forwardedAt maps each instance to the time at which it first forwarded a response with the limit.
	forwardedAt map[int]time.Duration
}

// Window is a span of time from the start.
type Window struct {
	From, To time.Duration
}

// arrival is a request that reached the target.
type arrival struct {
	at       time.Duration
	instance int
}

// member is an instance.
type member struct {
	number  int
	tracker *rate.Tracker
	cancel  context.CancelFunc
	group   errgroup.Group
}

// simulatedTarget returns the target of the run.
func simulatedTarget() roster.Target { return roster.Target{ID: "t", Incarnation: "t@1"} }

// String describes the run.
func (r *Run) String() string {
	return fmt.Sprintf("run of rate limits with seed %d, %d instances, limit %v", r.Seed, r.Instances, r.Limit)
}

func (r *Run) now() time.Duration { return time.Since(r.start) }

// chance returns a random number from 0 to 1.
func (r *Run) chance() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

// limitAt returns the limit that the target names at a time; nil if it names none.
func (r *Run) limitAt(at time.Duration) *float64 {
	limit := r.Limit
	switch {
	case at < r.From || r.To > 0 && at >= r.To:
		return nil
	case r.Changed > 0 && at >= r.ChangeAt:
		limit = r.Changed
	}
	return &limit
}

// Play runs the simulation and returns its report.
func (r *Run) Play(ctx context.Context) (Report, error) {
	r.start, r.log, r.random, r.forwardedAt = time.Now(), &memlog.Server{}, rand.New(rand.NewPCG(r.Seed, 0)), map[int]time.Duration{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range r.Instances {
		r.members = append(r.members, r.startMember(ctx, i, r.Instances, false))
	}
	pause.For(ctx, time.Second)
	var tasks errgroup.Group
	tasks.Go(func() error { return r.load(ctx) })
	tasks.Go(func() error { return r.bursts(ctx) })
	tasks.Go(func() error { return r.restarts(ctx) })
	tasks.Go(func() error { return r.joins(ctx) })
	err := tasks.Wait()
	report := r.report()
	cancel()
	for _, m := range r.members {
		if stopped := m.group.Wait(); stopped != nil {
			err = stopped
		}
	}
	return report, err
}

// startMember starts an instance. Its view of the fleet is the first instances, as many as fleet states.
func (r *Run) startMember(ctx context.Context, i, fleet int, joined bool) *member {
	ctx, cancel := context.WithCancel(ctx)
	m := &member{number: i, cancel: cancel}
	log := r.logOf(i)
	outbox := &logs.Outbox{Log: log, Topic: topic}
	outbox.Default()
	m.tracker = &rate.Tracker{Instance: fmt.Sprint("i", i), Publish: outbox.Add, Pending: outbox.Pending}
	m.tracker.Default()
	follower := &logs.Follower{Log: log, Topic: topic, Wait: readWait, Pause: readPause, Reset: m.tracker.Reset, Apply: m.tracker.Apply, OnRestored: m.tracker.Republish}
	m.group.Go(func() error { return follower.Run(ctx) })
	m.group.Go(func() error { return outbox.Run(ctx) })
	m.tracker.SetInstances(ids(fleet), joined)
	return m
}

// ids returns the ids of the first n instances.
func ids(n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprint("i", i))
	}
	return list
}

// logOf returns the log as an instance reaches it.
func (r *Run) logOf(instance int) logs.Log {
	return memlog.Before(r.log.Log(), func(ctx context.Context) error {
		pause.For(ctx, callDelay)
		if r.isAway(instance, r.now()) {
			<-ctx.Done()
		}
		return ctx.Err()
	})
}

// isAway reports whether an instance does not reach the log at a time.
func (r *Run) isAway(instance int, at time.Duration) bool {
	for i, windows := range [][]Window{r.LogAway, r.Parted} {
		for _, w := range windows {
			if at >= w.From && at < w.To && (i == 0 || instance%2 == 1) {
				return true
			}
		}
	}
	return false
}

// load sends requests to random instances at random times.
func (r *Run) load(ctx context.Context) error {
	var requests errgroup.Group
	for r.now() < r.Length {
		requests.Go(func() error {
			r.offer(ctx, int(r.chance()*float64(r.size())))
			return nil
		})
		pause.For(ctx, time.Duration(2*r.chance()/r.Demand*float64(time.Second)))
	}
	return requests.Wait()
}

// bursts sends a request to every instance at the same time.
func (r *Run) bursts(ctx context.Context) error {
	for _, at := range r.Bursts {
		pause.For(ctx, at-r.now())
		var requests errgroup.Group
		for i := range r.size() {
			requests.Go(func() error {
				r.offer(ctx, i)
				return nil
			})
		}
		if err := requests.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// size returns the number of instances.
func (r *Run) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// offer simulates one request of a caller: the instance forwards it if the limit allows that now, and applies the response.
func (r *Run) offer(ctx context.Context, instance int) {
	r.mu.Lock()
	tracker := r.members[instance].tracker
	allowed := tracker.Wait(simulatedTarget().Incarnation) == 0
	sentAt := time.Now()
	if allowed {
		tracker.Take(simulatedTarget().Incarnation)
		r.arrivals = append(r.arrivals, arrival{r.now(), instance})
	}
	r.mu.Unlock()
	if !allowed {
		return
	}
	pause.For(ctx, time.Duration(r.chance()*float64(answerTime)))
	limit := r.limitAt(r.now())
	tracker.Observe(simulatedTarget(), limit, sentAt)
	if limit != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		if _, known := r.forwardedAt[instance]; !known {
			r.forwardedAt[instance] = r.now()
		}
	}
}

// restarts kills every second instance and starts it again.
func (r *Run) restarts(ctx context.Context) error {
	for _, at := range r.Restarts {
		pause.For(ctx, at-r.now())
		for i := 0; i < r.Instances; i += 2 {
			m := r.members[i]
			m.cancel()
			if err := m.group.Wait(); err != nil {
				return err
			}
			started := r.startMember(ctx, i, r.size(), false)
			r.mu.Lock()
			r.members[i] = started
			r.mu.Unlock()
		}
	}
	return nil
}

// joins starts new instances. The others learn of them after a random delay.
func (r *Run) joins(ctx context.Context) error {
	if r.Joins == 0 {
		return nil
	}
	pause.For(ctx, r.JoinAt-r.now())
	total := r.Instances + r.Joins
	for i := r.Instances; i < total; i++ {
		m := r.startMember(ctx, i, total, true)
		r.mu.Lock()
		r.members = append(r.members, m)
		r.mu.Unlock()
	}
	var learning errgroup.Group
	for i := range r.Instances {
		learning.Go(func() error {
			pause.For(ctx, time.Duration(r.chance()*float64(listDelay)))
			r.mu.Lock()
			defer r.mu.Unlock()
			r.members[i].tracker.SetInstances(ids(total), false)
			return nil
		})
	}
	return learning.Wait()
}
