package poison

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/roster"
)

// DefaultWatchInterval is the default of Watcher.Interval: a tenth of the time in which targets start again.
const DefaultWatchInterval = 200 * time.Millisecond

const (
	// watchTime is how long a target is watched after a request at it was abandoned: longer than most requests run.
	watchTime = 5 * time.Second
	// checkTimeout bounds a check.
	checkTimeout = time.Second
	// maxChecks is the number of targets that are checked at the same time.
	maxChecks = 32
	// maxWatched bounds the abandoned requests that are remembered for one target.
	maxWatched = 64
)

// Watcher watches targets that may still run requests which this instance has abandoned, because the caller disconnected or the request timed out. If such
// a target crashes, the crash is attributed to these requests. Exported fields are set before Default. A nil Watcher watches nothing.
type Watcher struct {
	// HasEnded reports whether the process of a target has ended.
	HasEnded func(ctx context.Context, t roster.Target) bool
	// Interval is the time between two checks of a target; 0 means DefaultWatchInterval.
	Interval time.Duration

	mu      sync.Mutex
	targets map[string]*watchedTarget
	wake    chan struct{}
}

// watchedTarget is a target with the abandoned requests that it may still run.
type watchedTarget struct {
	roster.Target
	passes []watchedPass
}

// watchedPass is the pass of an abandoned request.
type watchedPass struct {
	pass        *Pass
	answerBegan bool
	until       time.Time
}

// String returns the name of the watcher for logs.
func (w *Watcher) String() string { return "watcher of targets with abandoned requests" }

// Default sets unset fields to their defaults.
func (w *Watcher) Default() {
	if w.Interval == 0 {
		w.Interval = DefaultWatchInterval
	}
	w.targets, w.wake = map[string]*watchedTarget{}, make(chan struct{}, 1)
}

// Add watches the target of an abandoned request. If the answer had begun, the parts of the prompt are not the cause of a crash.
func (w *Watcher) Add(t roster.Target, p *Pass, answerBegan bool) {
	if w == nil || p == nil || p.tracker == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	watched := w.targets[t.Incarnation]
	if watched == nil {
		watched = &watchedTarget{Target: t}
		w.targets[t.Incarnation] = watched
	}
	if len(watched.passes) < maxWatched {
		watched.passes = append(watched.passes, watchedPass{p, answerBegan, time.Now().Add(watchTime)})
	}
	select {
	case w.wake <- struct{}{}:
	default: // Run is already notified
	}
}

// Run checks watched targets until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		}
		for targets := w.current(); len(targets) > 0; targets = w.current() {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(w.Interval):
			}
			w.check(ctx, targets)
		}
	}
}

// current drops requests that were abandoned longer than watchTime ago, and returns the targets that are still watched.
func (w *Watcher) current() []roster.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	targets := make([]roster.Target, 0, len(w.targets))
	for incarnation, watched := range w.targets {
		live := watched.passes[:0]
		for _, p := range watched.passes {
			if now.Before(p.until) {
				live = append(live, p)
			}
		}
		if watched.passes = live; len(live) == 0 {
			delete(w.targets, incarnation)
			continue
		}
		targets = append(targets, watched.Target)
	}
	return targets
}

// check checks targets, and reports those that have ended.
func (w *Watcher) check(ctx context.Context, targets []roster.Target) {
	var group errgroup.Group
	group.SetLimit(maxChecks)
	for _, t := range targets {
		group.Go(func() error {
			call, cancel := context.WithTimeout(ctx, checkTimeout)
			defer cancel()
			if w.HasEnded(call, t) && ctx.Err() == nil {
				w.crashed(t.Incarnation)
			}
			return nil
		})
	}
	_ = group.Wait() // the checks return no errors
}

// crashed attributes the crash of a watched target to its abandoned requests.
func (w *Watcher) crashed(incarnation string) {
	w.mu.Lock()
	watched := w.targets[incarnation]
	delete(w.targets, incarnation)
	w.mu.Unlock()
	if watched == nil {
		return
	}
	for _, p := range watched.passes {
		p.pass.Crashed(incarnation, p.answerBegan)
	}
}
