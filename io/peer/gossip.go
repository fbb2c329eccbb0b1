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
	// DefaultEvery is the time between two rounds.
	DefaultEvery = time.Second
	// SmallFleet is the number of instances up to which every one is called in one of two
	// rounds.
	SmallFleet = 10
	// FanOut is the number of instances called in each round of a larger fleet.
	FanOut = 3
	// BehindAfter is how long another instance's newer configuration may be missing here
	// before it is fetched from there.
	BehindAfter = time.Second
)

// Gossip exchanges views with other instances. Exported fields are set before Run.
type Gossip struct {
	// View is kept up to date.
	View *roster.View
	// Client calls other instances.
	Client *Client
	// Own returns what the instance says of itself.
	Own func() roster.PeerView
	// Every is the time between two rounds.
	Every time.Duration
	// Seed seeds the choice of instances in a large fleet.
	Seed uint64
	// Leaving is told of incarnations of targets that others know to leave; optional.
	Leaving func(incarnations []string)
	// Version returns the version of the own configuration; optional.
	Version func() int64
	// Behind is called in each round in which an instance has had a newer configuration for
	// longer than BehindAfter, one call at a time; optional.
	Behind func(ctx context.Context, p roster.Peer)
	// Contact is told of each call; optional.
	Contact func(addr string, err error)
	// Now returns the time.
	Now func() time.Time

	random *rand.Rand
	fetch  errgroup.Group
	// wanted is the newer version seen elsewhere, and since when it is missing here.
	wanted int64
	since  time.Time
}

// String names the gossip for logs.
func (g *Gossip) String() string { return "gossip of instance " + g.View.ID }

// Default fills fields that were left empty.
func (g *Gossip) Default() {
	if g.Every == 0 {
		g.Every = DefaultEvery
	}
	if g.Leaving == nil {
		g.Leaving = func([]string) {}
	}
	if g.Version == nil || g.Behind == nil {
		g.Version, g.Behind = func() int64 { return 0 }, func(context.Context, roster.Peer) {}
	}
	if g.Contact == nil {
		g.Contact = func(string, error) {}
	}
	if g.Now == nil {
		g.Now = time.Now
	}
	g.random = rand.New(rand.NewPCG(g.Seed, 0))
	g.fetch.SetLimit(1)
}

// Run exchanges views until the context ends.
func (g *Gossip) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.Every)
	defer ticker.Stop()
	for {
		g.Round(ctx)
		select {
		case <-ctx.Done():
			return g.fetch.Wait()
		case <-ticker.C:
		}
	}
}

// Round exchanges views once. It is not safe for concurrent use.
func (g *Gossip) Round(ctx context.Context) {
	var calls errgroup.Group
	for _, p := range g.choose(g.View.Peers(g.Now())) {
		calls.Go(func() error {
			g.hello(ctx, p.PeerAddr)
			return nil
		})
	}
	_ = calls.Wait()
	g.checkBehind(ctx)
}

// choose returns the instances to call in this round.
func (g *Gossip) choose(peers []roster.Peer) []roster.Peer {
	if len(peers) < SmallFleet {
		return longestUnheard(peers)
	}
	g.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:FanOut]
}

// longestUnheard returns the half that was heard of longest ago, and all that never were.
func longestUnheard(peers []roster.Peer) []roster.Peer {
	slices.SortStableFunc(peers, func(a, b roster.Peer) int {
		return cmp.Or(cmp.Compare(min(a.HeardAgeMS, 0), min(b.HeardAgeMS, 0)), cmp.Compare(b.HeardAgeMS, a.HeardAgeMS))
	})
	n := (len(peers) + 1) / 2
	for n < len(peers) && peers[n].HeardAgeMS < 0 {
		n++
	}
	return peers[:n]
}

// hello exchanges views with one instance.
func (g *Gossip) hello(ctx context.Context, addr string) {
	view, others, err := g.Client.Hello(ctx, addr, g.Own())
	var call *CallError
	if errors.As(err, &call) && call.Kind == Abandoned {
		return
	}
	g.Contact(addr, err)
	if err != nil {
		g.View.Failed(addr, g.Now())
		return
	}
	g.View.Heard(view, g.Now())
	g.leaving(view)
	for _, other := range others {
		g.Told(other)
	}
}

// Told takes in a view that came by a call of another instance; it fits Server.Told.
func (g *Gossip) Told(v roster.PeerView) {
	g.View.Told(v, g.Now())
	g.leaving(v)
}

func (g *Gossip) leaving(v roster.PeerView) {
	if len(v.LeavingTargets) > 0 {
		g.Leaving(v.LeavingTargets)
	}
}

// checkBehind calls Behind when a newer configuration elsewhere stays missing here.
func (g *Gossip) checkBehind(ctx context.Context) {
	var newest roster.Peer
	for _, p := range g.View.Peers(g.Now()) {
		if p.Reach == roster.Reachable && p.ConfigVersion > newest.ConfigVersion {
			newest = p
		}
	}
	own := g.Version()
	switch {
	case newest.ConfigVersion <= own:
		g.wanted = 0
	case own >= g.wanted:
		g.wanted, g.since = newest.ConfigVersion, g.Now()
	case g.Now().Sub(g.since) >= BehindAfter:
		g.fetch.TryGo(func() error {
			g.Behind(ctx, newest)
			return nil
		})
	}
}
