// Package crash plays a fleet whose targets crash under certain prompts: the real decisions about requests
// (core/relay, core/poison) over a fake log, with simulated targets. It uses no network. Its time is that of package time, so that a
// test runs it in virtual time with testing/synctest.
package crash

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/budget"
	"cranberryrail/core/logs"
	"cranberryrail/core/pause"
	"cranberryrail/core/poison"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/table"
	"cranberryrail/fake/memlog"
)

// Contact is the time after which what one instance has seen must be known to all that are in touch: the users' contact_ms.
const Contact = 3 * time.Second

// Times and sizes of the simulated fleet.
const (
	topic = "keyed.crashes"
	// subjects is the number of middle parts that sound requests share, and callersPart the part that they share with the crashing ones.
	subjects    = 40
	callersPart = "first"
	crashPart   = "bad"
	// crashingKey is the API key of the caller of crashing requests, and soundKey that of the other callers.
	crashingKey, soundKey = "crashing key", "key"
	// queueTime is the mean time that a request waits at a target, and eventGap the time between two of its events.
	queueTime, eventGap = 60 * time.Millisecond, 20 * time.Millisecond
	events              = 8
	// callDelay is the duration of a call to the log, and readPause the time between two reads of an instance.
	callDelay, readPause = 5 * time.Millisecond, 100 * time.Millisecond
	// leaveTime is the maximum time until callers disconnect who do so early.
	leaveTime = 60 * time.Millisecond
	// callerPause is the time after which callers repeat a failed request, once.
	callerPause = 100 * time.Millisecond
)

// Run is one randomised run. Exported fields are set before Play.
type Run struct {
	// Seed determines the load and the faults.
	Seed uint64
	// Instances and Targets are the sizes of the fleet.
	Instances, Targets int
	// Sound and Crashing are requests a second; sound ones come from the start, crashing ones from CrashingFrom on.
	Sound, Crashing float64
	CrashingFrom    time.Duration
	Length          time.Duration
	// CrashingFirst puts the crashing part before the part that requests share.
	CrashingFirst bool
	// Same is set if all crashing requests are repeats of one request. Equal is the number of requests a second that differ from it by their caller only,
	// and crash no target.
	Same  bool
	Equal float64
	// Leaves is the share of crashing requests whose callers disconnect within leaveTime. Targets run these requests nevertheless.
	Leaves float64
	// LogAway and Parted are the times at which no instance, or every second one, reaches the log.
	LogAway, Parted []Window
	// Restarts are the times at which every second instance is killed and starts again, in ascending order.
	Restarts []time.Duration
	// Rejects is the share of the requests that a target rejects.
	Rejects float64
	// AllCrash is when all targets, or half of them, crash for a reason of their own; 0 for never.
	AllCrash  time.Duration
	HalfCrash bool

	start   time.Time
	log     *memlog.Server
	members []*member
	targets []*target
	// restarts starts targets again after crashes.
	restarts errgroup.Group

	mu       sync.Mutex
	random   *rand.Rand
	arrivals []arrival
	crashes  []time.Duration
	sound    []*soundRequest
}

// Window is a span of time from the start.
type Window struct {
	From, To time.Duration
}

func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.To }

// overlaps reports whether the window has a moment within a duration before a time.
func (w Window) overlaps(at, before time.Duration) bool { return w.From <= at && w.To > at-before }

// arrival is a crashing request that reached a target.
type arrival struct {
	at       time.Duration
	instance int
}

// soundRequest is a request that crashes no target.
type soundRequest struct {
	at       time.Duration
	instance int
	// first is set if the first attempt began.
	first bool
}

// member is an instance.
type member struct {
	number int
	server *relay.Server
	cancel context.CancelFunc
	group  errgroup.Group
}

// target is a simulated engine. Its incarnation changes with each start.
type target struct {
	number int

	mu      sync.Mutex
	starts  int
	up      bool
	crashed chan struct{}
}

// String describes the run.
func (r *Run) String() string {
	return fmt.Sprintf("run of crashing prompts with seed %d, %d instances and %d targets", r.Seed, r.Instances, r.Targets)
}

// now returns the time since the start.
func (r *Run) now() time.Duration { return time.Since(r.start) }

// chance returns a random number from 0 to 1.
func (r *Run) chance() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

// number returns a random number from 0 to n-1.
func (r *Run) number(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// Play plays the run and returns what it has seen.
func (r *Run) Play(ctx context.Context) (Report, error) {
	r.start, r.log, r.random = time.Now(), &memlog.Server{}, rand.New(rand.NewPCG(r.Seed, 0))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range r.Targets {
		r.targets = append(r.targets, &target{number: i, starts: 1, up: true, crashed: make(chan struct{})})
	}
	for i := range r.Instances {
		r.members = append(r.members, r.startMember(ctx, i))
	}
	var tasks errgroup.Group
	tasks.Go(func() error { return r.load(ctx, r.Sound, 0, r.sendSound) })
	tasks.Go(func() error { return r.load(ctx, r.Crashing, r.CrashingFrom, r.sendCrashing) })
	tasks.Go(func() error { return r.load(ctx, r.Equal, 0, r.sendEqual) })
	tasks.Go(func() error { return r.restartMembers(ctx) })
	tasks.Go(func() error { return r.crashTargets(ctx) })
	err := errors.Join(tasks.Wait(), r.restarts.Wait())
	cancel()
	for _, m := range r.members {
		if stopped := m.group.Wait(); stopped != nil {
			err = stopped
		}
	}
	return r.report(), err
}

// startMember starts an instance.
func (r *Run) startMember(ctx context.Context, i int) *member {
	ctx, cancel := context.WithCancel(ctx)
	m := &member{number: i, cancel: cancel}
	log := r.logOf(i)
	outbox := &logs.Outbox{Log: log, Topic: topic}
	outbox.Default()
	tracker := &poison.Tracker{Incarnation: fmt.Sprintf("i%d@%v", i, r.now()), Publish: outbox.Add, Pending: outbox.Pending}
	tracker.Default()
	follower := &logs.Follower{Log: log, Topic: topic, Pause: readPause, Reset: tracker.Reset, Apply: tracker.Apply, OnRestored: tracker.Republish}
	m.group.Go(func() error { return follower.Run(ctx) })
	m.group.Go(func() error { return outbox.Run(ctx) })
	watcher := &poison.Watcher{HasEnded: func(_ context.Context, t roster.Target) bool { return r.hasCrashed(t) }}
	watcher.Default()
	m.group.Go(func() error { return watcher.Run(ctx) })
	config := table.New(table.Config{
		Routes: []table.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: table.Streaming, LatencyObjective: time.Second, GapObjective: 400 * time.Millisecond,
			MaxAttempts: 2, Resumable: true, Shares: []table.Share{{Service: "draft", Weight: 1}},
		}},
		Services:      []table.Service{{Name: "draft", EventTokens: 5}},
		Organisations: []table.Organisation{{Name: "travel", Keys: []string{soundKey}}, {Name: "fares", Keys: []string{crashingKey}}},
	})
	retries := &route.RetryWindow{Ratio: 1, Slack: 1000}
	retries.Default()
	m.server = &relay.Server{
		Table: func() *table.Table { return config }, Retries: retries, Random: r.number, Crashes: tracker,
		Reserve: func(_ context.Context, organisation string, tokens int64) (budget.Reservation, error) {
			return budget.Reservation{Organisation: organisation, Tokens: tokens}, nil
		},
		Settle: func(budget.Reservation, int64) {}, Done: func(int64, route.Outcome) {},
		Pick: r.pick, Dispatch: func(ctx context.Context, d relay.Dispatch) (*relay.Response, error) { return r.dispatch(ctx, i, d) },
		HasCrashed: func(_ context.Context, t roster.Target) bool { return r.hasCrashed(t) }, Abandoned: watcher,
	}
	m.server.Default()
	return m
}

// logOf returns the log as an instance reaches it.
func (r *Run) logOf(instance int) logs.Log {
	return memlog.Before(r.log.Log(), func(ctx context.Context) error {
		pause.For(ctx, callDelay)
		for i, windows := range [][]Window{r.LogAway, r.Parted} {
			for _, w := range windows {
				if w.contains(r.now()) && (i == 0 || instance%2 == 1) {
					<-ctx.Done()
				}
			}
		}
		return ctx.Err()
	})
}

// load sends requests at random times with a mean rate.
func (r *Run) load(ctx context.Context, rate float64, from time.Duration, send func(ctx context.Context, n int)) error {
	if rate == 0 {
		return nil
	}
	pause.For(ctx, from)
	var requests errgroup.Group
	for n := 0; r.now() < r.Length; n++ {
		requests.Go(func() error {
			send(ctx, n)
			return nil
		})
		pause.For(ctx, time.Duration(2*r.chance()/rate*float64(time.Second)))
	}
	return requests.Wait()
}

// sendSound sends a sound request as a caller.
func (r *Run) sendSound(ctx context.Context, n int) {
	s := &soundRequest{at: r.now(), instance: r.number(r.Instances)}
	r.mu.Lock()
	r.sound = append(r.sound, s)
	r.mu.Unlock()
	result := r.send(ctx, s.instance, soundKey, fmt.Sprint("sound", n), callersPart, fmt.Sprint("subject", r.number(subjects)))
	s.first = result.Refused == nil && result.SentFailures == 0
}

// sendEqual sends a request that differs from the crashing one by its caller only, and crashes no target.
func (r *Run) sendEqual(ctx context.Context, _ int) {
	r.send(ctx, r.number(r.Instances), soundKey, crashingContent, callersPart, crashingContent)
}

// crashingContent is the content of crashing requests if Same is set.
const crashingContent = "same"

// sendCrashing sends a request that crashes targets as a caller, who repeats it at another instance.
func (r *Run) sendCrashing(ctx context.Context, n int) {
	content, parts := fmt.Sprint("crashing", n), []string{callersPart, crashPart}
	switch {
	case r.Same:
		content, parts = crashingContent, []string{callersPart, crashingContent}
	case r.CrashingFirst:
		parts = []string{crashPart, callersPart}
	}
	for range 2 {
		call, cancel := context.WithCancel(ctx)
		if r.Leaves > 0 && r.chance() < r.Leaves {
			call, cancel = context.WithTimeout(ctx, time.Duration(r.chance()*float64(leaveTime)))
		}
		result := r.send(call, r.number(r.Instances), crashingKey, content, parts...)
		cancel()
		if result.Refused == nil {
			return
		}
		pause.For(ctx, callerPause)
	}
}

// send sends a request to an instance.
func (r *Run) send(ctx context.Context, instance int, key, content string, parts ...string) relay.Result {
	prompt := &relay.Prompt{Model: "m", Tokens: 100, MaxOutput: 50}
	for _, part := range append(parts, content) {
		prompt.Parts = append(prompt.Parts, relay.Part{ID: part, Tokens: 10})
	}
	req := &relay.Request{ID: content, Method: http.MethodPost, Host: "h", URI: "/" + content, Path: "/x", Key: key, Prompt: prompt, Arrived: time.Now(), Timeout: 10 * time.Second}
	r.mu.Lock()
	server := r.members[instance].server
	r.mu.Unlock()
	return server.Serve(ctx, req, relay.Sink{Head: func(int, http.Header, int64) {}, Write: func([]byte) error { return nil }})
}

// restartMembers kills every second instance and starts it again.
func (r *Run) restartMembers(ctx context.Context) error {
	for _, at := range r.Restarts {
		pause.For(ctx, at-r.now())
		for i := 0; i < r.Instances; i += 2 {
			m := r.members[i]
			m.cancel()
			if err := m.group.Wait(); err != nil {
				return err
			}
			started := r.startMember(ctx, i)
			r.mu.Lock()
			r.members[i] = started
			r.mu.Unlock()
		}
	}
	return nil
}

// crashTargets crashes targets at the same moment.
func (r *Run) crashTargets(ctx context.Context) error {
	if r.AllCrash == 0 {
		return nil
	}
	pause.For(ctx, r.AllCrash)
	var group errgroup.Group
	for i, t := range r.targets {
		if !r.HalfCrash || i%2 == 0 {
			group.Go(func() error { return r.crash(ctx, t) })
		}
	}
	return group.Wait()
}
