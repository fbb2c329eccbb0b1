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
	"cranberryrail/core/roster"
	"cranberryrail/core/tail"
	"cranberryrail/io/meter"
	"cranberryrail/io/oper"
	"cranberryrail/io/peer"
)

const (
	// lenders is the most holders that are asked for one loan.
	lenders = 8
	// reportState is the kind of report by which instances tell their state.
	reportState = "state"
	// reportSide is the number of instances asked for a report at the same time.
	reportSide = 16
)

func (n *Node) makePeers() {
	s := n.Settings.Peer
	n.view = &roster.View{ID: n.Settings.Instance.ID, Incarnation: n.Inc, Addr: s.Advertise, Seeds: s.Seeds}
	n.view.Default()
	n.peers = &peer.Client{Timeout: s.CallTimeoutMS.Duration()}
	n.peers.Default()
	direct := n.watched(n.plat.Log())
	n.relay = &peer.Relay{Direct: direct, Peers: n.peersByReach, Client: n.peers, Failed: n.peerFailed, Changed: n.pathChanged}
	n.relay.Default()
	n.log = n.noting(n.relay.Log())
	n.peerServer = &peer.Server{
		Listen: s.Listen, View: n.ownView, Log: direct, State: n.streamState, Lend: n.lend, Report: n.ownReport,
		Others: func(most int) []roster.PeerView { return n.view.Views(most, time.Now()) },
		Told:   n.told,
	}
	n.peerServer.Default()
	n.gossip = &peer.Gossip{
		View: n.view, Client: n.peers, Own: n.ownView, Contact: n.peerContact,
		Leaving: func(incarnations []string) { n.Route.Leaving(incarnations...) },
		Version: func() int64 { return n.current.get().version }, Behind: n.behind,
	}
	n.gossip.Default()
}

// watched returns the log with each contact noted, so that peers are told whether this
// instance itself reaches the log.
func (n *Node) watched(log tail.Log) tail.Log {
	return tail.Log{
		Append: func(ctx context.Context, stream string, data []byte) (int64, error) {
			offset, err := log.Append(ctx, stream, data)
			n.direct.contact(err)
			n.meter.Append(stream, resultOf(err))
			return offset, err
		},
		Read: func(ctx context.Context, stream string, from int64, wait time.Duration) (tail.Page, error) {
			page, err := log.Read(ctx, stream, from, wait)
			n.direct.contact(err)
			return page, err
		},
	}
}

// PeersReached returns the number of other instances that answered lately.
func (n *Node) PeersReached() int {
	reached := 0
	for _, p := range n.peersByReach() {
		if p.Reach == roster.Reachable {
			reached++
		}
	}
	return reached
}

// LogReached reports whether the platform's log is in reach, directly or not.
func (n *Node) LogReached() bool { return n.reach.ok() }

func (n *Node) peersByReach() []roster.Peer { return n.view.Peers(time.Now()) }

func (n *Node) peerFailed(addr string) { n.view.Failed(addr, time.Now()) }

func (n *Node) pathChanged(p peer.Path) {
	e := events.LogBack
	switch p {
	case peer.Relayed:
		e = events.RelayUsed
	case peer.None:
		e = events.LogUnreachable
	}
	events.Log(n.Log, e).Str("path", string(p)).Send()
}

// PeerListenAddr returns the address on which other instances are listened for.
func (n *Node) PeerListenAddr() string { return n.peerServer.Addr() }

// ownView returns what this instance says of itself.
func (n *Node) ownView() roster.PeerView {
	return roster.PeerView{
		InstanceID: n.Settings.Instance.ID, Incarnation: n.Inc, Zone: n.Settings.Instance.Zone, PeerAddr: n.PeerAddr(),
		ConfigVersion: n.current.get().version, Stopping: n.Front.Stopping(), LogReached: n.direct.ok(),
		ConfigAgeMS:    n.ConfigAge().Milliseconds(),
		LeavingTargets: n.view.LeavingTargets(), Marks: n.marks(),
	}
}

// told takes in the view of an instance that called.
func (n *Node) told(v roster.PeerView) {
	n.compare(v)
	n.view.Told(v, time.Now())
	if len(v.LeavingTargets) > 0 {
		n.Route.Leaving(v.LeavingTargets...)
	}
}

// marks returns the latest marks of the ledger streams.
func (n *Node) marks() []roster.StreamMark {
	var marks []roster.StreamMark
	for _, k := range n.Ledger {
		if m, ok := k.Mark(); ok {
			marks = append(marks, roster.StreamMark{Stream: m.Stream, Run: m.Run, Chain: m.Chain})
		}
	}
	return marks
}

// compare asserts that another instance has folded the ledgers as this one has.
func (n *Node) compare(v roster.PeerView) {
	for _, m := range v.Marks {
		for _, k := range n.Ledger {
			if k.Differs(ledger.Mark{Stream: m.Stream, Run: m.Run, Chain: m.Chain}) {
				n.meter.Violation(meter.FoldDiffers)
				events.Log(n.Log, events.FoldDiffers).Str("stream", m.Stream).Int64("run", m.Run).Str("peer", v.InstanceID).Send()
			}
		}
	}
}

// leaving notes a target that said it is leaving, for this instance and for the others.
func (n *Node) leaving(incarnation string) {
	n.Route.Leaving(incarnation)
	n.view.NoteLeaving(incarnation)
}

// streamState returns the folded state of a stream for an instance that lacks records.
func (n *Node) streamState(stream string) (tail.State, error) {
	for _, f := range n.feeds() {
		if f.Stream == stream && f.Ready() {
			return f.State()
		}
	}
	return tail.State{}, fmt.Errorf("stream %s is not folded here", stream)
}

func (n *Node) feeds() []*tail.Feed {
	feeds := append(make([]*tail.Feed, 0, 1+len(n.Ledger)+len(n.Once)), n.Conf.Feed)
	for _, k := range n.Ledger {
		feeds = append(feeds, k.Feed)
	}
	for _, k := range n.Once {
		feeds = append(feeds, k.Feed)
	}
	return feeds
}

// fetch returns the state of a stream from the first instance that has it.
func (n *Node) fetch(ctx context.Context, stream string) (tail.State, error) {
	err := errors.New("no other instance is in reach")
	peers := n.peersByReach()
	first := int(n.fetches.Add(1))
	for i := range peers {
		// Each time another one goes first: the state of one that is cut off helps nobody.
		p := peers[(first+i)%len(peers)]
		var st tail.State
		if st, err = n.peers.State(ctx, p.PeerAddr, stream); err == nil {
			events.Log(n.Log, events.StateFetched).Str("stream", stream).Str("from", p.InstanceID).Int64("at", st.At).Send()
			return st, nil
		}
	}
	return tail.State{}, fmt.Errorf("fetch the state of %s: %w", stream, err)
}

// behind takes over the newer configuration of another instance.
func (n *Node) behind(ctx context.Context, p roster.Peer) {
	st, err := n.peers.State(ctx, p.PeerAddr, n.Conf.Feed.Stream)
	if err != nil {
		return
	}
	if n.Conf.Feed.Adopt(st) {
		events.Log(n.Log, events.StateFetched).Str("stream", n.Conf.Feed.Stream).Str("from", p.InstanceID).Int64("at", st.At).Send()
	}
}

// lend gives another instance a part of the own allowance.
func (n *Node) lend(l peer.Loan) (string, int64) {
	id := ledger.LoanID{Borrower: l.Borrower, Number: l.Number}
	lent, err := n.LedgerOf(l.Budget).Lend(id, l.Budget, l.Tokens, l.Least)
	if err != nil || lent == 0 {
		return "", 0
	}
	events.Log(n.Log, events.AllowanceLent).Str("budget", l.Budget).Int64("tokens", lent).Send()
	return n.Inc, lent
}

// borrow asks holders for a loan, in the background, until there is enough.
func (n *Node) borrow(l ledger.Loan) {
	started := n.background.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), n.Settings.Ledger.ReserveWaitMS.Duration())
		defer cancel()
		n.LedgerOf(l.Budget).Gathered(l.Budget, n.gather(ctx, l))
		return nil
	})
	if !started {
		n.LedgerOf(l.Budget).Gathered(l.Budget, nil)
	}
}

// gather asks one holder after another until the loan is complete.
func (n *Node) gather(ctx context.Context, l ledger.Loan) []ledger.Part {
	var parts []ledger.Part
	var got int64
	for _, holder := range l.Holders[:min(len(l.Holders), lenders)] {
		p, ok := n.view.Find(holder, time.Now())
		if !ok || ctx.Err() != nil {
			continue
		}
		loan := peer.Loan{
			Borrower: n.Inc, Number: n.loans.Add(1), Budget: l.Budget, Tokens: l.Tokens - got, Least: max(l.Least-got, 1),
		}
		inc, tokens, err := n.peers.Lend(ctx, p.PeerAddr, loan)
		if err != nil {
			n.reclaim(p.PeerAddr, loan)
			continue
		}
		if tokens = min(tokens, loan.Tokens); tokens <= 0 {
			continue
		}
		parts = append(parts, ledger.Part{Holder: inc, Tokens: tokens})
		if got += tokens; got >= l.Tokens {
			break
		}
	}
	return parts
}

// Repetition of a loan whose answer was lost.
const (
	recoverTries = 20
	recoverEvery = time.Second
)

// reclaim asks again for a loan whose answer was lost, so that tokens which were lent are
// not idle for good.
func (n *Node) reclaim(addr string, loan peer.Loan) {
	n.background.TryGo(func() error {
		for range recoverTries {
			ctx, cancel := context.WithTimeout(context.Background(), recoverEvery)
			holder, tokens, err := n.peers.Lend(ctx, addr, loan)
			<-ctx.Done()
			cancel()
			if err == nil {
				parts := []ledger.Part{{Holder: holder, Tokens: min(tokens, loan.Tokens)}}
				n.LedgerOf(loan.Budget).Gathered(loan.Budget, parts)
				return nil
			}
		}
		return nil
	})
}

// instances returns the state of all instances that are known; those that do not answer
// are shown as missing.
func (n *Node) instances(ctx context.Context) []oper.InstanceState {
	peers := n.view.Snapshot(time.Now())
	states := make([]oper.InstanceState, 1+len(peers))
	states[0] = n.state()
	var g errgroup.Group
	g.SetLimit(reportSide)
	for i, p := range peers {
		g.Go(func() error {
			states[i+1] = n.askState(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(states, func(a, b oper.InstanceState) int { return strings.Compare(a.ID, b.ID) })
	return states
}

func (n *Node) askState(ctx context.Context, p roster.Peer) oper.InstanceState {
	state := oper.InstanceState{
		ID: p.InstanceID, Incarnation: p.Incarnation, Zone: p.Zone, PeerAddr: p.PeerAddr, State: "missing",
		ConfigVersion: p.ConfigVersion, ConfigAgeMS: p.ConfigAgeMS, LogReached: p.LogReached,
	}
	data, err := n.peers.Report(ctx, p.PeerAddr, reportState)
	if err == nil {
		err = json.Unmarshal(data, &state)
	}
	if err != nil {
		state.State = "missing"
	}
	return state
}
