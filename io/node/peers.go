package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/events"
	"cranberryrail/core/ledger"
	"cranberryrail/core/memory"
	"cranberryrail/core/pause"
	"cranberryrail/core/roster"
	"cranberryrail/core/tail"
	"cranberryrail/io/meter"
	"cranberryrail/io/oper"
	"cranberryrail/io/peer"
)

const (
	// maxLenders is the maximum number of holders that are asked for one loan.
	maxLenders = 8
	// reportState is the kind of the report on the state of an instance.
	reportState = "state"
	// maxConcurrentReports is the maximum number of instances that are asked for a report at the same time.
	maxConcurrentReports = 16
)

func (n *Node) makePeers() {
	s := n.Settings.Peer
	n.view = &roster.View{ID: n.Settings.Instance.ID, Incarnation: n.Incarnation, Addr: s.Advertise, Seeds: s.Seeds}
	n.view.Default()
	n.peerClient = &peer.Client{Timeout: s.CallTimeoutMS.Duration()}
	n.peerClient.Default()
	direct := n.withContactTracking(n.plat.Log())
	n.relay = &peer.Relay{Direct: direct, Peers: n.peersByReach, Client: n.peerClient, OnPeerFailed: n.onPeerFailed, OnPathChanged: n.onPathChanged}
	n.relay.Default()
	n.platformLog = n.withHeadTracking(n.relay.Log())
	n.peerServer = &peer.Server{
		Listen: s.Listen, LocalView: n.localView, Log: direct, State: n.streamState, Lend: n.lend, Report: n.localReport,
		OtherViews: func(limit int) []roster.PeerView { return n.view.Views(limit, time.Now()) },
		OnView:     n.onPeerView,
		Memory:     &memory.Pool{Bytes: n.Settings.Memory.Bytes(bodyMemoryShare)},
	}
	n.peerServer.Default()
	n.gossip = &peer.Gossip{
		View: n.view, Client: n.peerClient, LocalView: n.localView, OnContact: n.onPeerContact,
		OnTargetsLeaving: func(incarnations []string) { n.Route.MarkLeaving(incarnations...) },
		ConfigVersion:    func() int64 { return n.config.load().version }, OnConfigOutdated: n.adoptConfig,
	}
	n.gossip.Default()
}

// withContactTracking returns a log that records the outcome of each direct access, so that this instance can report
// to peers whether it reaches the log itself.
func (n *Node) withContactTracking(log tail.Log) tail.Log {
	return tail.Log{
		Append: func(ctx context.Context, stream string, data []byte) (int64, error) {
			offset, err := log.Append(ctx, stream, data)
			n.directReachability.recordResult(err)
			n.meter.Append(stream, resultOf(err))
			return offset, err
		},
		Read: func(ctx context.Context, stream string, from int64, wait time.Duration) (tail.Page, error) {
			page, err := log.Read(ctx, stream, from, wait)
			n.directReachability.recordResult(err)
			return page, err
		},
	}
}

// PeersReached returns the number of other instances that are currently reachable.
func (n *Node) PeersReached() int {
	reached := 0
	for _, p := range n.peersByReach() {
		if p.Reach == roster.Reachable {
			reached++
		}
	}
	return reached
}

// otherReadyInterval is how often a stopping instance checks whether another one is ready, and the longest time of a check.
const otherReadyInterval = 250 * time.Millisecond

// watchOthers tracks until the context ends whether another instance is ready.
func (n *Node) watchOthers(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, otherReadyInterval)
		n.checkOthers(ctx)
	}
}

// checkOthers checks whether another instance is ready. One that is starting responds to other instances before it is ready.
func (n *Node) checkOthers(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, otherReadyInterval)
	defer cancel()
	ready := slices.ContainsFunc(n.instances(bounded), func(s oper.InstanceState) bool {
		return s.State == stateReady && s.Incarnation != n.Incarnation
	})
	if ctx.Err() == nil {
		n.otherReady.Store(ready)
	}
}

// LogReached reports whether the platform's log is reachable, directly or through another instance.
func (n *Node) LogReached() bool { return n.logReachability.isReachable() }

func (n *Node) peersByReach() []roster.Peer { return n.view.Peers(time.Now()) }

func (n *Node) onPeerFailed(addr string) { n.view.RecordFailure(addr, time.Now()) }

func (n *Node) onPathChanged(p peer.Path) {
	e := events.LogBack
	switch p {
	case peer.Relayed:
		e = events.RelayUsed
	case peer.NoPath:
		e = events.LogUnreachable
	}
	events.Log(n.Log, e).Str("path", string(p)).Send()
}

// PeerListenAddr returns the listen address for other instances.
func (n *Node) PeerListenAddr() string { return n.peerServer.Addr() }

// localView returns the view of this instance that is sent to other instances.
func (n *Node) localView() roster.PeerView {
	return roster.PeerView{
		InstanceID: n.Settings.Instance.ID, Incarnation: n.Incarnation, Zone: n.Settings.Instance.Zone, PeerAddr: n.PeerAddr(),
		ConfigVersion: n.config.load().version, Stopping: n.Front.Stopping(), LogReached: n.directReachability.isReachable(),
		ConfigAgeMS:    n.ConfigAge().Milliseconds(),
		LeavingTargets: n.view.LeavingTargets(), Marks: n.marks(),
	}
}

// onPeerView applies the view that a calling instance sent.
func (n *Node) onPeerView(v roster.PeerView) {
	n.checkMarks(v)
	n.view.RecordIndirect(v, time.Now())
	if len(v.LeavingTargets) > 0 {
		n.Route.MarkLeaving(v.LeavingTargets...)
	}
}

// marks returns the latest mark of each ledger stream that has one.
func (n *Node) marks() []roster.StreamMark {
	var marks []roster.StreamMark
	for _, replica := range n.Ledger {
		if m, ok := replica.Mark(); ok {
			marks = append(marks, roster.StreamMark{Stream: m.Stream, Run: m.Run, Chain: m.Chain})
		}
	}
	return marks
}

// checkMarks logs and counts each ledger stream that another instance has folded to a different result.
func (n *Node) checkMarks(v roster.PeerView) {
	for _, m := range v.Marks {
		for _, replica := range n.Ledger {
			if replica.Diverged(ledger.Mark{Stream: m.Stream, Run: m.Run, Chain: m.Chain}) {
				n.meter.Violation(meter.FoldDiffers)
				events.Log(n.Log, events.FoldDiffers).Str("stream", m.Stream).Int64("run", m.Run).Str("peer", v.InstanceID).Send()
			}
		}
	}
}

// onTargetLeaving records that a target is leaving, for this instance and for the others.
func (n *Node) onTargetLeaving(incarnation string) {
	n.Route.MarkLeaving(incarnation)
	n.view.MarkLeaving(incarnation)
}

// streamState returns the folded state of a stream for an instance that misses trimmed records.
func (n *Node) streamState(stream string) (tail.State, error) {
	for _, f := range n.feeds() {
		if f.Stream == stream && f.Ready() {
			return f.State()
		}
	}
	return tail.State{}, fmt.Errorf("stream %s is unknown to this instance, or its state has not caught up with the log; try another instance", stream)
}

func (n *Node) feeds() []*tail.Feed {
	feeds := append(make([]*tail.Feed, 0, 2+len(n.Ledger)+len(n.Once)), n.Conf.Feed, n.crashFeed)
	for _, replica := range n.Ledger {
		feeds = append(feeds, replica.Feed)
	}
	for _, replica := range n.Once {
		feeds = append(feeds, replica.Feed)
	}
	return feeds
}

// fetchStreamState returns the folded state of a stream from the first instance that has it.
func (n *Node) fetchStreamState(ctx context.Context, stream string) (tail.State, error) {
	err := errors.New("no other instance is reachable")
	peers := n.peersByReach()
	first := int(n.fetchCount.Add(1))
	for i := range peers {
		// The first peer rotates on each fetch, because the state of a peer that is cut off from the log is outdated.
		p := peers[(first+i)%len(peers)]
		var st tail.State
		if st, err = n.peerClient.State(ctx, p.PeerAddr, stream); err == nil {
			events.Log(n.Log, events.StateFetched).Str("stream", stream).Str("from", p.InstanceID).Int64("at", st.At).Send()
			return st, nil
		}
	}
	return tail.State{}, fmt.Errorf("fetch the folded state of stream %s: %w", stream, err)
}

// adoptConfig fetches and adopts the newer configuration of another instance.
func (n *Node) adoptConfig(ctx context.Context, p roster.Peer) {
	st, err := n.peerClient.State(ctx, p.PeerAddr, n.Conf.Feed.Stream)
	if err != nil {
		return
	}
	if n.Conf.Feed.Adopt(st) {
		events.Log(n.Log, events.StateFetched).Str("stream", n.Conf.Feed.Stream).Str("from", p.InstanceID).Int64("at", st.At).Send()
	}
}

// lend lets another instance spend a part of this instance's holding. The log still counts the tokens as held by this
// incarnation, which is returned with their number.
func (n *Node) lend(_ context.Context, l peer.LoanRequest) (string, int64) {
	id := ledger.LoanID{Borrower: l.Borrower, Number: l.Number}
	lent, err := n.LedgerOf(l.Budget).Lend(id, l.Budget, l.Tokens, l.Least)
	if err != nil || lent == 0 {
		return "", 0
	}
	events.Log(n.Log, events.AllowanceLent).Str("budget", l.Budget).Int64("tokens", lent).Send()
	return n.Incarnation, lent
}

// borrow requests loans from holders in the background until the requested tokens are complete.
func (n *Node) borrow(l ledger.LoanRequest) {
	started := n.background.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), n.Settings.Ledger.ReserveWaitMS.Duration())
		defer cancel()
		n.LedgerOf(l.Budget).ReceiveLoans(l.Budget, n.collectLoans(ctx, l))
		return nil
	})
	if !started {
		n.LedgerOf(l.Budget).ReceiveLoans(l.Budget, nil)
	}
}

// collectLoans asks one holder after another until the loan is complete.
func (n *Node) collectLoans(ctx context.Context, l ledger.LoanRequest) []ledger.Part {
	var parts []ledger.Part
	var received int64
	for _, holder := range l.Holders[:min(len(l.Holders), maxLenders)] {
		p, ok := n.view.Find(holder, time.Now())
		if !ok || ctx.Err() != nil {
			continue
		}
		request := peer.LoanRequest{
			Borrower: n.Incarnation, Number: n.loanCount.Add(1), Budget: l.Budget, Tokens: l.Tokens - received, Least: max(l.Least-received, 1),
		}
		inc, tokens, err := n.peerClient.Lend(ctx, p.PeerAddr, request)
		if err != nil {
			n.retryLoan(p.PeerAddr, request)
			continue
		}
		if tokens = min(tokens, request.Tokens); tokens <= 0 {
			continue
		}
		parts = append(parts, ledger.Part{Holder: inc, Tokens: tokens})
		if received += tokens; received >= l.Tokens {
			break
		}
	}
	return parts
}

// Retries of a loan request whose reply was lost.
const (
	loanRetries       = 20
	loanRetryInterval = time.Second
)

// retryLoan retries a loan request whose reply was lost, so that tokens that were lent do not stay unused
// permanently.
func (n *Node) retryLoan(addr string, request peer.LoanRequest) {
	n.background.TryGo(func() error {
		for range loanRetries {
			ctx, cancel := context.WithTimeout(context.Background(), loanRetryInterval)
			holder, tokens, err := n.peerClient.Lend(ctx, addr, request)
			<-ctx.Done()
			cancel()
			if err == nil {
				parts := []ledger.Part{{Holder: holder, Tokens: min(tokens, request.Tokens)}}
				n.LedgerOf(request.Budget).ReceiveLoans(request.Budget, parts)
				return nil
			}
		}
		return nil
	})
}

// instances returns the state of all known instances; the state of those that do not respond is missing.
func (n *Node) instances(ctx context.Context) []oper.InstanceState {
	peers := n.view.Snapshot(time.Now())
	states := make([]oper.InstanceState, 1+len(peers))
	states[0] = n.localState()
	var g errgroup.Group
	g.SetLimit(maxConcurrentReports)
	for i, p := range peers {
		g.Go(func() error {
			states[i+1] = n.fetchInstanceState(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(states, func(a, b oper.InstanceState) int { return strings.Compare(a.ID, b.ID) })
	return states
}

func (n *Node) fetchInstanceState(ctx context.Context, p roster.Peer) oper.InstanceState {
	state := oper.InstanceState{
		ID: p.InstanceID, Incarnation: p.Incarnation, Zone: p.Zone, PeerAddr: p.PeerAddr, State: "missing",
		ConfigVersion: p.ConfigVersion, ConfigAgeMS: p.ConfigAgeMS, LogReached: p.LogReached,
	}
	data, err := n.peerClient.Report(ctx, p.PeerAddr, reportState)
	if err == nil {
		err = json.Unmarshal(data, &state)
	}
	if err != nil {
		state.State = "missing"
	}
	return state
}
