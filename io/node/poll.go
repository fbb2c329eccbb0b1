package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/events"
	"cranberryrail/core/roster"
	"cranberryrail/core/serve"
)

// Intervals and limits of the polling of the platform's list and of targets.
const (
	// listInterval is the time between two reads of the platform's list.
	listInterval = time.Second
	// idleAfter is the time without a request after which an instance counts as idle.
	idleAfter = 10 * time.Second
	// idlePollRounds is the number of rounds of which an idle instance polls loads in only one. The load reports then
	// do not yet exceed route.ReportMaxAge.
	idlePollRounds = 10
	// loadTimeout bounds one read of a target's load.
	loadTimeout = time.Second
	// maxConcurrentLoads is the maximum number of targets that are asked for their load at the same time.
	maxConcurrentLoads = 16
	// cancelTimeout bounds the request that cancels an attempt at an engine.
	cancelTimeout = time.Second
)

// targetCache holds the targets of the platform's last list and the time of the last request.
type targetCache struct {
	list atomic.Pointer[[]roster.Target]
	// lastRequest is when a request last ended, in nanoseconds since the Unix epoch.
	lastRequest atomic.Int64
}

// recordRequest records that the instance is not idle.
func (t *targetCache) recordRequest(now time.Time) { t.lastRequest.Store(now.UnixNano()) }

func (t *targetCache) idle(now time.Time) bool {
	return now.Sub(time.Unix(0, t.lastRequest.Load())) > idleAfter
}

// targetList returns the targets of the platform's last list, or nil before the first one.
func (n *Node) targetList() []roster.Target {
	if list := n.targetCache.list.Load(); list != nil {
		return *list
	}
	return nil
}

// isLive reports whether an incarnation is assumed to run. Within discoveryPeriod after the start of this instance,
// every incarnation is.
func (n *Node) isLive(inc string) bool {
	return inc == n.Incarnation || time.Since(n.startedAt) < discoveryPeriod || n.view.Contains(inc)
}

// discoveryPeriod is the time that an instance needs to discover the others.
const discoveryPeriod = 15 * time.Second

// instanceCount returns the number of instances that are assumed to be live.
func (n *Node) instanceCount() int { return n.view.Live(time.Now()) }

// runEvery calls f immediately and then at the interval until the context is done.
func runEvery(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
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

// pollList updates the view of instances and targets from the platform's list.
func (n *Node) pollList(ctx context.Context) error {
	reachable := true
	return runEvery(ctx, listInterval, func(ctx context.Context) {
		list, err := n.plat.Members(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			e := events.ListUnreachable
			if reachable {
				e = events.ListBack
			}
			events.Log(n.Log, e).Err(err).Send()
		}
		if err == nil {
			n.targetCache.list.Store(&list.Targets)
			n.view.SetList(list)
			n.Route.SetTargets(list.Targets, n.instanceCount())
			n.setRateSharers(list.Instances)
			n.rates.Expire(list.Targets)
			n.crashes.Expire()
		}
	})
}

// pollLoads reads the load of each target, less often while the instance is idle.
func (n *Node) pollLoads(ctx context.Context) error {
	n.targetCache.recordRequest(time.Now())
	round := 0
	return runEvery(ctx, n.Settings.Target.LoadEveryMS.Duration(), func(ctx context.Context) {
		round++
		if n.Front.InFlight() == 0 && n.targetCache.idle(time.Now()) && round%idlePollRounds != 0 {
			return
		}
		list := n.targetCache.list.Load()
		if list == nil {
			return
		}
		var g errgroup.Group
		g.SetLimit(maxConcurrentLoads)
		for _, t := range *list {
			g.Go(func() error {
				n.fetchLoad(ctx, t)
				return nil
			})
		}
		_ = g.Wait()
		n.loadsPolled.Store(true)
	})
}

func (n *Node) fetchLoad(ctx context.Context, t roster.Target) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	sentAt := time.Now()
	load, err := n.target.Load(ctx, t.Addr)
	if err != nil {
		return
	}
	n.Route.Report(t.ID, load)
	n.observeRate(t, load, sentAt)
}

// observeRate applies the rate limit of a load report.
func (n *Node) observeRate(t roster.Target, load roster.Load, sentAt time.Time) {
	if load.RateLimit != nil && *load.RateLimit < 0 {
		return
	}
	t.Incarnation = load.Incarnation // newer than that of the list after a restart
	n.rates.Observe(t, load.RateLimit, sentAt.Add(-time.Duration(load.AgeMS)*time.Millisecond))
}

// setRateSharers sets the instances among which rate limits are divided: those in the platform's list and this one.
func (n *Node) setRateSharers(listed []roster.Instance) {
	ids := make([]string, 0, len(listed)+1)
	for _, i := range listed {
		ids = append(ids, i.ID)
	}
	joined := len(ids) > 0 && !slices.Contains(ids, n.Settings.Instance.ID)
	if joined || len(ids) == 0 {
		ids = append(ids, n.Settings.Instance.ID)
	}
	n.rates.SetInstances(ids, joined)
}

// cancelAttempt cancels an attempt at an engine in the background.
func (n *Node) cancelAttempt(addr string, c serve.Call) {
	n.background.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = n.target.Cancel(ctx, addr, c.RequestID, c.Attempt)
		return nil
	})
}
