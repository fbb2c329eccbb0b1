package node

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/events"
	"cranberryrail/core/roster"
	"cranberryrail/core/serve"
)

// Polling of the platform's list and of targets.
const (
	// listEvery is the time between two reads of the platform's list.
	listEvery = time.Second
	// idleAfter is the time without a request after which an instance counts as idle.
	idleAfter = 10 * time.Second
	// idleRounds is the number of rounds of which an idle instance asks for loads in one. The
	// reports are then still young enough for route.ReportKept.
	idleRounds = 10
	// loadTimeout bounds one read of a target's load.
	loadTimeout = time.Second
	// loadSide is the number of targets asked for their load at the same time.
	loadSide = 16
	// cancelTimeout bounds the order to an engine to end an attempt.
	cancelTimeout = time.Second
)

// targets holds the targets of the last list that the platform gave.
type targets struct {
	p atomic.Pointer[[]roster.Target]
	// used is when a request last ended, in nanoseconds.
	used atomic.Int64
}

// use notes that the instance is not idle.
func (t *targets) use(now time.Time) { t.used.Store(now.UnixNano()) }

func (t *targets) idle(now time.Time) bool { return now.Sub(time.Unix(0, t.used.Load())) > idleAfter }

// targetList returns the targets of the last list that the platform gave.
func (n *Node) targetList() []roster.Target {
	if list := n.listed.p.Load(); list != nil {
		return *list
	}
	return nil
}

// liveInc reports whether an incarnation seems to run. Before this instance has had time
// to meet the others, all do.
func (n *Node) liveInc(inc string) bool {
	return inc == n.Inc || time.Since(n.born) < meetTime || n.view.Knows(inc)
}

// meetTime is the time that an instance needs to meet the others.
const meetTime = 15 * time.Second

// instanceCount returns the number of instances thought live.
func (n *Node) instanceCount() int { return n.view.Live(time.Now()) }

// every calls f at once and then at the interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollList keeps the view of instances and targets.
func (n *Node) pollList(ctx context.Context) error {
	reached := true
	return every(ctx, listEvery, func(ctx context.Context) {
		list, err := n.plat.Members(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reached {
			reached = err == nil
			e := events.ListUnreachable
			if reached {
				e = events.ListBack
			}
			events.Log(n.Log, e).Err(err).Send()
		}
		if err == nil {
			n.listed.p.Store(&list.Targets)
			n.view.SetList(list)
			n.Route.SetTargets(list.Targets, n.instanceCount())
		}
	})
}

// pollLoad asks the targets for their load, less often while the instance is idle.
func (n *Node) pollLoad(ctx context.Context) error {
	n.listed.use(time.Now())
	round := 0
	return every(ctx, n.Settings.Target.LoadEveryMS.Duration(), func(ctx context.Context) {
		round++
		if n.Front.InFlight() == 0 && n.listed.idle(time.Now()) && round%idleRounds != 0 {
			return
		}
		list := n.listed.p.Load()
		if list == nil {
			return
		}
		var g errgroup.Group
		g.SetLimit(loadSide)
		for _, t := range *list {
			g.Go(func() error {
				n.askLoad(ctx, t)
				return nil
			})
		}
		_ = g.Wait()
		n.loadsAsked.Store(true)
	})
}

func (n *Node) askLoad(ctx context.Context, t roster.Target) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := n.target.Load(ctx, t.Addr)
	if err == nil {
		n.Route.Report(t.ID, load)
	}
}

// cancelAttempt orders an engine to end an attempt, in the background.
func (n *Node) cancelAttempt(addr string, c serve.Call) {
	n.background.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = n.target.Cancel(ctx, addr, c.RequestID, c.Attempt)
		return nil
	})
}
