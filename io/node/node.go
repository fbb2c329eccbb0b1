// Package node puts the parts of one instance together: the streams of the platform's
// log, the edges, and the order in which they start and stop.
package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/agent"
	"cranberryrail/core/burn"
	"cranberryrail/core/conf"
	"cranberryrail/core/events"
	"cranberryrail/core/ledger"
	"cranberryrail/core/once"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/serve"
	"cranberryrail/core/shard"
	"cranberryrail/core/tail"
	"cranberryrail/io/front"
	"cranberryrail/io/meter"
	"cranberryrail/io/oper"
	"cranberryrail/io/opts"
	"cranberryrail/io/peer"
	"cranberryrail/io/plat"
	"cranberryrail/io/target"
)

// backgroundLimit is the number of orders to targets that run at the same time.
const backgroundLimit = 256

// Node is one instance. Exported fields are set before Default.
type Node struct {
	// Settings are the checked settings of the process.
	Settings opts.Settings
	// Log takes the numbered events.
	Log zerolog.Logger
	// Hurry waits until a graceful shutdown is to be cut short, and returns false when done is
	// closed first; optional.
	Hurry func(done <-chan struct{}) bool

	// Inc is the incarnation, made by Default.
	Inc string
	// Front, Oper, Route and the keepers are the parts, made by Default.
	Front  *front.Server
	Oper   *oper.Server
	Route  *route.Client
	Conf   *conf.Keeper
	Ledger []*ledger.Keeper
	Once   []*once.Keeper

	system  *actor.ActorSystem
	plat    *plat.Client
	log     tail.Log
	target  *target.Client
	reach   *reach
	current current
	fresh   freshness
	listed  targets
	meter   *meter.Meter
	burn    *burn.Meter
	view    *roster.View
	peers   *peer.Client
	relay   *peer.Relay
	gossip  *peer.Gossip
	// direct notes contacts with the log that go through no other instance.
	direct     *reach
	peerServer *peer.Server
	failed     chan error
	killed     chan struct{}
	born       time.Time
	primed     atomic.Bool
	loadsAsked atomic.Bool
	// loans counts the loans asked for, and fetches the states.
	loans, fetches atomic.Int64
	// lost holds the addresses of instances that did not answer last.
	lost sync.Map
	// background holds short orders to targets that nobody waits for.
	background errgroup.Group
}

// String names the instance for logs.
func (n *Node) String() string { return "instance " + n.Settings.Instance.ID }

// Default makes the parts of the instance.
func (n *Node) Default() {
	n.Inc = uuid.NewString()
	n.born = time.Now()
	n.failed = make(chan error, 1)
	n.killed = make(chan struct{})
	n.background.SetLimit(backgroundLimit)
	n.system = agent.Quiet()
	n.reach = &reach{now: time.Now, changed: n.reached}
	n.plat = &plat.Client{LogURL: n.Settings.Platform.LogURL, ListURL: n.Settings.Platform.ListURL, Timeout: n.Settings.Platform.TimeoutMS.Duration()}
	n.plat.Default()
	n.direct = &reach{now: time.Now, changed: func(bool) {}}
	n.makeMeters()
	n.makePeers()
	n.makeTarget()
	n.makeStreams()
	n.makeRoute()
	n.makeFront()
	n.makeOper()
}

func (n *Node) makeTarget() {
	s := n.Settings.Target
	n.target = &target.Client{
		FrameTimeout: s.FrameTimeoutMS.Duration(), FirstFrameTimeout: s.FirstFrameTimeoutMS.Duration(),
		DialTimeout: s.DialTimeoutMS.Duration(), CallTimeout: s.CallTimeoutMS.Duration(),
	}
	n.target.Default()
}

// feed returns the feed of one stream.
func (n *Node) feed(stream string) *tail.Feed {
	return &tail.Feed{
		Log: n.log, Stream: stream, Inc: n.Inc, Linger: n.Settings.Ledger.LingerMS.Duration(),
		SnapshotEvery: n.Settings.Ledger.SnapshotEvery, SnapshotTurn: n.snapshotTurn, Contact: n.contact(stream), Fetch: n.fetch,
		Stalled: func(err *tail.StalledError) {
			n.fresh.stop(err.Stream)
			events.Log(n.Log, events.FormatUnknown).Str("stream", err.Stream).Int64("offset", err.Offset).Err(err).Send()
		},
		SnapshotDone: func(at int64, written bool) {
			e := events.SnapshotLoaded
			if written {
				e = events.SnapshotWritten
			}
			events.Log(n.Log, e).Str("stream", stream).Int64("at", at).Send()
		},
	}
}

// snapshotSpread is the longest time that an instance leaves a due snapshot to others.
const snapshotSpread = 5 * time.Second

// snapshotTurn returns a time that differs between instances.
func (n *Node) snapshotTurn() time.Duration {
	return time.Duration(xxhash.Sum64String(n.Inc) % uint64(snapshotSpread))
}

// openMargin is added to the longest time of a call before a claim without an answer counts
// as one whose outcome is not known.
const openMargin = 30 * time.Second

func (n *Node) makeStreams() {
	n.Conf = &conf.Keeper{System: n.system, Feed: n.feed(conf.Stream), Applied: n.applied, Failed: n.panicked}
	n.Conf.Default()
	for i := range n.Settings.Ledger.Shards {
		n.Ledger = append(n.Ledger, n.makeLedger(i))
	}
	for i := range n.Settings.Once.Shards {
		book := &once.Book{
			Fold: once.New(), Wait: n.Settings.Once.ClaimWaitMS.Duration(), Open: n.Settings.Target.CallTimeoutMS.Duration() + openMargin,
		}
		k := &once.Keeper{System: n.system, Feed: n.feed(fmt.Sprintf("once/%d", i)), Book: book, Noted: n.claimed, Failed: n.panicked}
		k.Default()
		n.Once = append(n.Once, k)
	}
}

func (n *Node) makeLedger(shard int) *ledger.Keeper {
	book := &ledger.Book{
		Fold: ledger.New(), Wait: n.Settings.Ledger.ReserveWaitMS.Duration(),
		Policy: n.policy, Instances: n.instanceCount, Borrow: n.borrow, Live: n.liveInc,
	}
	k := &ledger.Keeper{
		System: n.system, Feed: n.feed(fmt.Sprintf("ledger/%d", shard)), Book: book, Failed: n.panicked,
		Violated: n.violated, Folded: n.folded, Decided: n.reserved,
	}
	k.Default()
	return k
}

// policy returns the allowance policy of a budget.
func (n *Node) policy(budget string) ledger.Policy {
	if p, ok := n.current.get().policies[budget]; ok {
		return p
	}
	return ledger.DefaultPolicy()
}

// LedgerOf returns the keeper of a budget.
func (n *Node) LedgerOf(budget string) *ledger.Keeper {
	return n.Ledger[xxhash.Sum64String(budget)%uint64(len(n.Ledger))]
}

// OnceOf returns the keeper of an idempotency key.
func (n *Node) OnceOf(key string) *once.Keeper {
	return n.Once[xxhash.Sum64String(key)%uint64(len(n.Once))]
}

func (n *Node) makeRoute() {
	a := &route.Actor{}
	a.Retries.Ratio = n.Settings.Target.RetryRatio
	a.Limits.Global = n.Settings.Caller.MaxInFlight
	a.Table.Each = n.Settings.Target.MaxInFlightEach
	a.Table.Seed = xxhash.Sum64String(n.Inc)
	n.Route = &route.Client{Root: n.system.Root, PID: n.system.Root.Spawn(a.Props())}
}

func (n *Node) makeFront() {
	n.Front = &front.Server{
		Settings: n.Settings.Caller, AnswerBytes: n.Settings.Once.AnswerBytes,
		Ready: n.Ready,
		ByKey: func(sha256 string) (conf.Template, bool) {
			t, ok := n.current.get().byKey[sha256]
			return t, ok
		},
		Served: n.served, Ledger: n.LedgerOf, Once: n.OnceOf, Route: n.Route, Call: callService(n.target),
		Generate: &serve.Server{
			Pick: n.Route.Pick, Done: n.Route.Done, Retry: n.Route.Retry, Open: open(n.target, n.opened), Cancel: n.cancelAttempt,
			Left: n.leaving, Broke: n.broke,
		},
	}
	n.Front.Default()
}

// Ready reports whether the instance takes requests.
func (n *Node) Ready() bool { return n.primed.Load() && n.streamsRead() }

// streamsRead reports whether the instance has read the configuration and the ledgers.
func (n *Node) streamsRead() bool {
	ready := n.Conf.Feed.Ready()
	for _, k := range n.Ledger {
		ready = ready && k.Feed.Ready()
	}
	return ready
}

// applied puts the configuration of the fold in force; it runs within the actor.
func (n *Node) applied(f *conf.Fold, outcomes []conf.Outcome) {
	for _, o := range outcomes {
		if !o.Accepted() {
			events.Log(n.Log, events.ConfRefused).Str("organisation", o.Organisation).Int("code", o.Code).Str("id", o.ID).Send()
		}
	}
	if !n.current.set(f) {
		return
	}
	events.Log(n.Log, events.ConfApplied).Int64("version", f.Version).Send()
	budgets := make(map[*ledger.Keeper][]string, len(n.Ledger))
	for budget := range n.current.get().policies {
		k := n.LedgerOf(budget)
		budgets[k] = append(budgets[k], budget)
	}
	for k, names := range budgets {
		k.Keep(names)
	}
}

// reached tells the slices whether the platform's log is in reach.
func (n *Node) reached(reached bool) {
	for _, k := range n.Ledger {
		k.Reached(reached)
	}
	for _, k := range n.Once {
		k.Reached(reached)
	}
}

// panicked ends the process: the state of an actor may be broken, and a new incarnation
// starts from the log.
func (n *Node) panicked(reason any) {
	events.Log(n.Log, events.Panic).Str("reason", fmt.Sprint(reason)).Send()
	select {
	case n.failed <- fmt.Errorf("a slice panicked: %v", reason):
	default:
	}
}

// PeerAddr returns the address that other instances reach.
func (n *Node) PeerAddr() string { return n.view.Addr }

// Listen opens all listeners.
func (n *Node) Listen(ctx context.Context) error {
	if err := n.Front.Listen(ctx); err != nil {
		events.Log(n.Log, events.ListenFailed).Err(err).Send()
		return err
	}
	if err := n.Oper.Listen(ctx); err != nil {
		events.Log(n.Log, events.ListenFailed).Err(err).Send()
		return err
	}
	if err := n.peerServer.Bind(ctx); err != nil {
		events.Log(n.Log, events.ListenFailed).Err(err).Send()
		return err
	}
	if n.Settings.Peer.Advertise == n.Settings.Peer.Listen {
		// The port may have been left to the system.
		n.view.Addr = n.peerServer.Addr()
	}
	return nil
}

// Run serves until the context ends, and then stops gracefully: no request in flight is
// cut off within the time of the stop, and allowances are returned.
func (n *Node) Run(ctx context.Context) error {
	events.Log(n.Log, events.Start).Str("instance", n.Settings.Instance.ID).Str("incarnation", n.Inc).
		Str("callers", n.Front.Addr()).Str("operators", n.Oper.Addr()).Send()
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, work := errgroup.WithContext(work)
	for _, run := range n.runs() {
		g.Go(func() error { return run(work) })
	}
	g.Go(func() error {
		defer end()
		select {
		case <-work.Done():
			return nil
		case err := <-n.failed:
			return err
		case <-n.killed:
			return nil
		case <-ctx.Done():
			return n.stop(work)
		}
	})
	defer func() {
		_ = n.peers.Close()
		_ = n.meter.Close()
	}()
	return g.Wait()
}

// Kill ends the instance at once, as the death of its process would: nothing is finished,
// recorded or returned. It is called at most once, by tests and the demo.
func (n *Node) Kill() { close(n.killed) }

// parts is the number of parts that run besides the keepers of ledger and once.
const parts = 10

// runs returns what runs side by side.
func (n *Node) runs() []func(ctx context.Context) error {
	runs := make([]func(ctx context.Context) error, 0, parts+len(n.Ledger)+len(n.Once))
	runs = append(runs, n.Front.Run, n.Oper.Run, n.Conf.Run, n.peerServer.Run, n.gossip.Run, n.pollList, n.pollLoad, n.prime, n.gauges, n.renew)
	for _, k := range n.Ledger {
		runs = append(runs, k.Run)
	}
	for _, k := range n.Once {
		runs = append(runs, k.Run)
	}
	return runs
}

// prime makes the instance ready once its streams are read, its first allowances are held
// and the targets are known, so that an outage right afterwards finds it able to serve.
// It does not wait for allowances and targets for longer than primeWait.
func (n *Node) prime(ctx context.Context) error {
	err := shard.Settle(ctx, readyPoll, func() (bool, error) { return n.streamsRead(), nil })
	if err != nil {
		return nil
	}
	waiting, cancel := context.WithTimeout(ctx, primeWait)
	defer cancel()
	for _, k := range n.Ledger {
		_ = shard.Settle(waiting, readyPoll, k.Primed)
	}
	_ = shard.Settle(waiting, readyPoll, func() (bool, error) { return n.loadsAsked.Load(), nil })
	if ctx.Err() == nil {
		n.primed.Store(true)
		events.Log(n.Log, events.Ready).Send()
	}
	return nil
}

// primeWait bounds the wait for the first allowances and targets, during which the platform
// may be out of reach.
const primeWait = 2 * time.Second

// readyPoll is how often readiness is looked at during the start.
const readyPoll = 20 * time.Millisecond

// stop lets requests finish, records what is due and returns allowances.
func (n *Node) stop(ctx context.Context) error {
	limit := n.Settings.Stop.TimeoutMS.Duration()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	n.watchHurry(ctx, cancel)
	events.Log(n.Log, events.StopBegan).Int64("in_flight", n.Front.InFlight()).Dur("limit", limit).Send()
	cut := n.drain(ctx, limit-min(returnTime, limit/5))
	if err := n.returnAll(ctx); err != nil {
		events.Log(n.Log, events.StopGaveUp).Err(err).Send()
		return errors.Join(cut, err)
	}
	if cut == nil {
		events.Log(n.Log, events.StopDone).Send()
	}
	return cut
}

// returnTime is the part of a shutdown, at most a fifth, that is kept for the return of
// allowances when requests take too long.
const returnTime = 5 * time.Second

// drain lets requests in flight finish within the time, and cuts off the rest.
func (n *Node) drain(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	err := n.Front.Drain(ctx, n.Settings.Stop.NoticeMS.Duration())
	if err != nil {
		n.meter.Violation(meter.CutByStop)
		events.Log(n.Log, events.StopGaveUp).Int64("in_flight", n.Front.InFlight()).Err(err).Send()
		n.Front.Close()
	}
	return err
}

// returnAll records what is due and returns allowances.
func (n *Node) returnAll(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, k := range n.Once {
		g.Go(func() error { return k.Stop(ctx) })
	}
	for _, k := range n.Ledger {
		g.Go(func() error { return k.Stop(ctx) })
	}
	return g.Wait()
}

// watchHurry cuts the shutdown short when it is told to.
func (n *Node) watchHurry(ctx context.Context, cancel context.CancelFunc) {
	if n.Hurry == nil {
		return
	}
	n.background.TryGo(func() error {
		if n.Hurry(ctx.Done()) {
			cancel()
		}
		return nil
	})
}
