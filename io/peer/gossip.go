package peer

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/roster"
)

// Limits of the gossip.
const (
	// DefaultInterval is the time between two rounds.
	DefaultInterval = time.Second
	// SmallFleet is the number of instances up to which each instance is called in at least one of two rounds.
	SmallFleet = 10
	// FanOut is the number of instances that are called in each round of a larger fleet.
	FanOut = 3
	// OutdatedConfigDelay is how long this instance may lack the newer configuration of another one before
	// OnConfigOutdated is called.
	OutdatedConfigDelay = time.Second
)

// Gossip exchanges views with other instances. Exported fields must be set before Default.
type Gossip struct {
	// View is updated with the views that are received.
	View *roster.View
	// Client calls other instances.
	Client *Client
	// LocalView returns the view of this instance that is sent to others.
	LocalView func() roster.PeerView
	// Interval is the time between two rounds.
	Interval time.Duration
	// Seed seeds the random choice of instances in a large fleet.
	Seed uint64
	// OnTargetsLeaving is called with the incarnations of targets that other instances report as leaving; optional.
	OnTargetsLeaving func(incarnations []string)
	// ConfigVersion returns the version of this instance's configuration; optional.
	ConfigVersion func() int64
	// OnConfigOutdated is called in each round in which another instance has had a newer configuration for at least
	// OutdatedConfigDelay, one call at a time; optional.
	OnConfigOutdated func(ctx context.Context, p roster.Peer)
	// OnContact is called with the outcome of each call; optional.
	OnContact func(addr string, err error)
	// Now returns the time.
	Now func() time.Time

	random        *rand.Rand
	outdatedCalls errgroup.Group
	// missingVersion is a newer version at another instance, and missingSince the time since which this instance lacks
	// it.
	missingVersion int64
	missingSince   time.Time
}

// String returns the name of the gossip for logs.
func (g *Gossip) String() string { return "gossip of instance " + g.View.ID }

// Default sets the defaults of empty fields.
func (g *Gossip) Default() {
	if g.Interval == 0 {
		g.Interval = DefaultInterval
	}
	if g.OnTargetsLeaving == nil {
		g.OnTargetsLeaving = func([]string) {}
	}
	if g.ConfigVersion == nil || g.OnConfigOutdated == nil {
		g.ConfigVersion, g.OnConfigOutdated = func() int64 { return 0 }, func(context.Context, roster.Peer) {}
	}
	if g.OnContact == nil {
		g.OnContact = func(string, error) {}
	}
	if g.Now == nil {
		g.Now = time.Now
	}
	g.random = rand.New(rand.NewPCG(g.Seed, 0))
	g.outdatedCalls.SetLimit(1)
}

// Run exchanges views until the context is done.
func (g *Gossip) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.Interval)
	defer ticker.Stop()
	for {
		g.Round(ctx)
		select {
		case <-ctx.Done():
			return g.outdatedCalls.Wait()
		case <-ticker.C:
		}
	}
}

// Round exchanges views with the instances of one round. It is not safe for concurrent use.
func (g *Gossip) Round(ctx context.Context) {
	var calls errgroup.Group
	for _, p := range g.selectPeers(g.View.Peers(g.Now())) {
		calls.Go(func() error {
			g.hello(ctx, p.PeerAddr)
			return nil
		})
	}
	_ = calls.Wait()
	g.checkConfigOutdated(ctx)
}

// selectPeers returns the instances to call in this round.
func (g *Gossip) selectPeers(peers []roster.Peer) []roster.Peer {
	if len(peers) < SmallFleet {
		return leastRecentlyHeard(peers)
	}
	g.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:FanOut]
}

// leastRecentlyHeard returns the half of the instances whose last view is the oldest, and all without a view.
func leastRecentlyHeard(peers []roster.Peer) []roster.Peer {
	slices.SortStableFunc(peers, func(a, b roster.Peer) int {
		return cmp.Or(cmp.Compare(min(a.ResponseAgeMS, 0), min(b.ResponseAgeMS, 0)), cmp.Compare(b.ResponseAgeMS, a.ResponseAgeMS))
	})
	n := (len(peers) + 1) / 2
	for n < len(peers) && peers[n].ResponseAgeMS < 0 {
		n++
	}
	return peers[:n]
}

// hello exchanges views with one instance.
func (g *Gossip) hello(ctx context.Context, addr string) {
	view, others, err := g.Client.Hello(ctx, addr, g.LocalView())
	var call *CallError
	if errors.As(err, &call) && call.Kind == Abandoned {
		return
	}
	g.OnContact(addr, err)
	if err != nil {
		g.View.RecordFailure(addr, g.Now())
		return
	}
	g.View.RecordReply(view, g.Now())
	g.reportLeaving(view)
	for _, other := range others {
		g.RecordView(other)
	}
}

// RecordView applies a view that another instance sent.
func (g *Gossip) RecordView(v roster.PeerView) {
	g.View.RecordIndirect(v, g.Now())
	g.reportLeaving(v)
}

func (g *Gossip) reportLeaving(v roster.PeerView) {
	if len(v.LeavingTargets) > 0 {
		g.OnTargetsLeaving(v.LeavingTargets)
	}
}

// checkConfigOutdated calls OnConfigOutdated if this instance has lacked a newer configuration for at least
// OutdatedConfigDelay.
func (g *Gossip) checkConfigOutdated(ctx context.Context) {
	var newest roster.Peer
	for _, p := range g.View.Peers(g.Now()) {
		if p.Reach == roster.Reachable && p.ConfigVersion > newest.ConfigVersion {
			newest = p
		}
	}
	own := g.ConfigVersion()
	switch {
	case newest.ConfigVersion <= own:
		g.missingVersion = 0
	case own >= g.missingVersion:
		g.missingVersion, g.missingSince = newest.ConfigVersion, g.Now()
	case g.Now().Sub(g.missingSince) >= OutdatedConfigDelay:
		g.outdatedCalls.TryGo(func() error {
			g.OnConfigOutdated(ctx, newest)
			return nil
		})
	}
}
