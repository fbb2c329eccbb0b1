package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/roster"
	"cranberryrail/core/tail"
	"cranberryrail/io/peer"
)

const (
	stream = "config"
	// longWait exceeds the duration of every call of these tests.
	longWait = 20 * time.Second
)

var errCut = errors.New("network path is cut")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memLog is an in-memory log whose network path can be cut.
type memLog struct {
	mu       sync.Mutex
	records  [][]byte
	earliest int64
	cut      atomic.Bool
	calls    atomic.Int64
}

func (l *memLog) log() tail.Log { return tail.Log{Append: l.append, Read: l.read} }

func (l *memLog) append(_ context.Context, _ string, data []byte) (int64, error) {
	l.calls.Add(1)
	if l.cut.Load() {
		return 0, errCut
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	return int64(len(l.records)) - 1, nil
}

func (l *memLog) read(_ context.Context, stream string, from int64, _ time.Duration) (tail.Page, error) {
	l.calls.Add(1)
	if l.cut.Load() {
		return tail.Page{}, errCut
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.earliest {
		return tail.Page{}, &tail.TrimmedError{Stream: stream, From: from, Earliest: l.earliest}
	}
	page := tail.Page{Head: int64(len(l.records))}
	for i := from; i < page.Head; i++ {
		page.Records = append(page.Records, tail.Record{Offset: i, Data: l.records[i]})
	}
	return page, nil
}

// node is an instance with a server that runs until the test ends.
type node struct {
	*peer.Server
	view         *roster.View
	client       *peer.Client
	gossip       *peer.Gossip
	leavingHeard []string
}

// clock is a clock that tests advance.
type clock struct{ offset atomic.Int64 }

func (c *clock) now() time.Time          { return time.Unix(1000, 0).Add(time.Duration(c.offset.Load())) }
func (c *clock) advance(d time.Duration) { c.offset.Add(int64(d)) }

func newClient(t *testing.T, timeout time.Duration) *peer.Client {
	t.Helper()
	c := &peer.Client{Timeout: timeout, LogTimeout: timeout}
	c.Default()
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	return c
}

func startNode(t *testing.T, id string, clk *clock, configure func(*peer.Server)) *node {
	t.Helper()
	n := &node{Server: &peer.Server{Listen: "127.0.0.1:0"}, client: newClient(t, longWait)}
	assert.NilError(t, n.Bind(t.Context()))
	n.view = &roster.View{ID: id, Incarnation: "inc-" + id, Addr: n.Addr()}
	n.view.Default()
	n.LocalView = func() roster.PeerView {
		return roster.PeerView{
			InstanceID: id, Incarnation: "inc-" + id, PeerAddr: n.Addr(), LogReached: true,
			LeavingTargets: n.view.LeavingTargets(),
		}
	}
	n.gossip = &peer.Gossip{
		View: n.view, Client: n.client, LocalView: func() roster.PeerView { return n.LocalView() }, Now: clk.now,
		OnTargetsLeaving: func(incs []string) { n.leavingHeard = append(n.leavingHeard, incs...) },
	}
	n.gossip.Default()
	n.OtherViews = func(limit int) []roster.PeerView { return n.view.Views(limit, clk.now()) }
	n.OnView = func(v roster.PeerView) { n.view.RecordIndirect(v, clk.now()) }
	if configure != nil {
		configure(n.Server)
	}
	n.Default()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, g.Wait())
	})
	return n
}

// startSilentListener starts a listener that accepts connections and never replies. It returns its address and the
// number of accepted connections.
func startSilentListener(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var g errgroup.Group
	var accepted atomic.Int64
	var conns []net.Conn
	g.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			accepted.Add(1)
			conns = append(conns, conn)
		}
	})
	t.Cleanup(func() {
		listener.Close()
		assert.NilError(t, g.Wait())
		for _, conn := range conns {
			conn.Close()
		}
	})
	return listener.Addr().String(), &accepted
}

func assertKind(t *testing.T, err error, want peer.Failure) {
	t.Helper()
	var call *peer.CallError
	assert.Assert(t, errors.As(err, &call), "got %v", err)
	assert.Equal(t, call.Kind, want, "%v", err)
}

func TestCalls(t *testing.T) {
	want := tail.State{At: 41, Incarnations: map[string]tail.IncarnationState{"i": {Seq: 3, Closed: -1}}, Data: make([]byte, 5<<20)}
	repaid := int64(0)
	n := startNode(t, "a", &clock{}, func(s *peer.Server) {
		s.State = func(name string) (tail.State, error) {
			if name != stream {
				return tail.State{}, errors.New("no such stream")
			}
			return want, nil
		}
		s.Lend = func(_ context.Context, l peer.LoanRequest) (string, int64) {
			return "inc-" + l.Budget, l.Tokens - l.Least
		}
		s.AcceptRepayment = func(budget string, tokens int64) error {
			if budget != "main" {
				return errors.New("no such budget")
			}
			repaid += tokens
			return nil
		}
		s.Report = func(kind string) ([]byte, error) { return []byte(`"` + kind + `"`), nil }
	})
	t.Run("State returns a large state and reports a refusal", func(t *testing.T) {
		got, err := n.client.State(t.Context(), n.Addr(), stream)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(got, want))
		_, err = n.client.State(t.Context(), n.Addr(), "other")
		assertKind(t, err, peer.Refused)
		assert.ErrorContains(t, err, "no such stream")
	})
	t.Run("Repay reports that the tokens were refused", func(t *testing.T) {
		assert.NilError(t, n.client.Repay(t.Context(), n.Addr(), "main", 7))
		assertKind(t, n.client.Repay(t.Context(), n.Addr(), "other", 5), peer.Refused)
		assert.Equal(t, repaid, int64(7))
	})
	t.Run("Lend returns the lender and the lent tokens", func(t *testing.T) {
		holder, lent, err := n.client.Lend(t.Context(), n.Addr(), peer.LoanRequest{Borrower: "b", Budget: "main", Tokens: 9, Least: 2})
		assert.NilError(t, err)
		assert.Equal(t, holder, "inc-main")
		assert.Equal(t, lent, int64(7))
	})
	t.Run("concurrent calls receive their own replies", func(t *testing.T) {
		var g errgroup.Group
		for i := range 50 {
			g.Go(func() error {
				got, err := n.client.Report(t.Context(), n.Addr(), fmt.Sprint(i))
				if err == nil && string(got) != fmt.Sprintf("%q", fmt.Sprint(i)) {
					err = fmt.Errorf("report %d is %s", i, got)
				}
				return err
			})
		}
		assert.NilError(t, g.Wait())
	})
	t.Run("a call cancelled by the caller fails as Abandoned", func(t *testing.T) {
		addr, _ := startSilentListener(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err := n.client.Hello(ctx, addr, n.LocalView())
		assertKind(t, err, peer.Abandoned)
	})
}

// TestSilentPeerIsSkippedUntilRetry guards against gossip rounds that wait for a silent peer each time.
func TestSilentPeerIsSkippedUntilRetry(t *testing.T) {
	addr, accepted := startSilentListener(t)
	clk := &clock{}
	n := startNode(t, "a", clk, nil)
	n.gossip.Client = newClient(t, 20*time.Millisecond)
	n.view.SetList(roster.Members{Instances: []roster.Instance{{ID: "s", PeerAddr: addr, State: roster.Live}}})
	for range 3 {
		n.gossip.Round(t.Context())
	}
	assert.Equal(t, len(n.view.Peers(clk.now())), 0)
	_, _, err := n.gossip.Client.Hello(t.Context(), addr, n.LocalView())
	assertKind(t, err, peer.NoReply)
	clk.advance(roster.RetryFirst)
	assert.Equal(t, n.view.Peers(clk.now())[0].Reach, roster.Unknown)
	_, _, err = n.gossip.Client.Hello(t.Context(), addr, n.LocalView())
	assertKind(t, err, peer.NoReply)
	assert.Assert(t, accepted.Load() <= 3, "rounds must not call a peer whose last call failed")
}

// TestSilentConnection checks that at most one call fails after all open connections to an instance went silent: a
// timeout must close the idle connections too.
func TestSilentConnection(t *testing.T) {
	const conns = 4
	var frozen atomic.Bool
	var barrier sync.WaitGroup
	barrier.Add(conns)
	n := startNode(t, "a", &clock{}, func(s *peer.Server) {
		s.OnView = func(roster.PeerView) {
			if !frozen.Load() {
				barrier.Done()
				barrier.Wait()
			}
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var g errgroup.Group
	ctx, cancel := context.WithCancel(t.Context())
	g.Go(func() error { return proxy(ctx, listener, n.Addr(), &frozen) })
	t.Cleanup(func() {
		cancel()
		listener.Close()
		assert.NilError(t, g.Wait())
	})
	c := newClient(t, time.Second)
	hello := func() error {
		_, _, err := c.Hello(t.Context(), listener.Addr().String(), n.LocalView())
		return err
	}
	var many errgroup.Group
	for range conns {
		many.Go(hello)
	}
	assert.NilError(t, many.Wait())
	frozen.Store(true)
	assertKind(t, hello(), peer.NoReply)
	assert.NilError(t, hello())
}

// proxy forwards connections to addr. Once frozen is set, it drops the client data of the connections that were open
// before; later connections work.
func proxy(ctx context.Context, listener net.Listener, addr string, frozen *atomic.Bool) error {
	var g errgroup.Group
	for {
		in, err := listener.Accept()
		if err != nil {
			return g.Wait()
		}
		out, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { in.Close(); out.Close() })
		late := frozen.Load()
		g.Go(func() error { return copyData(out, in, func() bool { return frozen.Load() && !late }, stop) })
		g.Go(func() error { return copyData(in, out, func() bool { return false }, stop) })
	}
}

func copyData(to, from net.Conn, drop func() bool, stop func() bool) error {
	defer stop()
	defer to.Close()
	data := make([]byte, 4096)
	for {
		n, err := from.Read(data)
		if err != nil {
			return nil
		}
		if !drop() {
			if _, err := to.Write(data[:n]); err != nil {
				return nil
			}
		}
	}
}

func newRelay(t *testing.T, direct *memLog, clk *clock, addrs ...string) *peer.Relay {
	t.Helper()
	r := &peer.Relay{Direct: direct.log(), Client: newClient(t, longWait), Now: clk.now}
	failed := map[string]bool{}
	r.OnPeerFailed = func(addr string) { failed[addr] = true }
	r.Peers = func() []roster.Peer {
		var peers []roster.Peer
		for _, addr := range addrs {
			if !failed[addr] {
				peers = append(peers, roster.Peer{PeerView: roster.PeerView{PeerAddr: addr, LogReached: true}, Reach: roster.Reachable})
			}
		}
		return peers
	}
	r.Default()
	return r
}

func assertRead(t *testing.T, r *peer.Relay, want peer.Path, records ...string) {
	t.Helper()
	page, err := r.Log().Read(t.Context(), stream, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), len(records))
	for i, e := range page.Records {
		assert.Equal(t, string(e.Data), records[i])
	}
	assert.Equal(t, r.CurrentPath(), want)
}

func TestRelay(t *testing.T) {
	clk := &clock{}
	remote := &memLog{}
	n := startNode(t, "a", clk, func(s *peer.Server) { s.Log = remote.log() })
	newLog := func() *memLog { return &memLog{records: [][]byte{[]byte("a")}} }
	t.Run("calls fail over to a peer and return to the direct path", func(t *testing.T) {
		direct := newLog()
		remote.records = direct.records
		r := newRelay(t, direct, clk, n.Addr())
		assertRead(t, r, peer.Direct, "a")
		direct.cut.Store(true)
		_, err := r.Log().Append(t.Context(), stream, []byte("b"))
		assert.ErrorIs(t, err, errCut)
		offset, err := r.Log().Append(t.Context(), stream, []byte("b"))
		assert.NilError(t, err)
		assert.Equal(t, offset, int64(1))
		calls := direct.calls.Load()
		assertRead(t, r, peer.Relayed, "a", "b")
		assert.Equal(t, direct.calls.Load(), calls, "the failed direct path must not be used before a probe is due")
		clk.advance(peer.ProbeInitialWait)
		assertRead(t, r, peer.Relayed, "a", "b")
		assert.Equal(t, direct.calls.Load(), calls+1)
		direct.cut.Store(false)
		clk.advance(peer.ProbeInitialWait)
		assertRead(t, r, peer.Relayed, "a", "b")
		clk.advance(peer.ProbeInitialWait)
		assertRead(t, r, peer.Direct, "a")
	})
	t.Run("a failed direct read is relayed immediately", func(t *testing.T) {
		remote.records = newLog().records
		direct := newLog()
		direct.cut.Store(true)
		assertRead(t, newRelay(t, direct, clk, n.Addr()), peer.Relayed, "a")
	})
	t.Run("a relayed read of trimmed records returns TrimmedError", func(t *testing.T) {
		remote.earliest = 7
		defer func() { remote.earliest = 0 }()
		direct := newLog()
		direct.cut.Store(true)
		r := newRelay(t, direct, clk, n.Addr())
		_, err := r.Log().Read(t.Context(), stream, 3, 0)
		var trimmed *tail.TrimmedError
		assert.Assert(t, errors.As(err, &trimmed), "got %v", err)
		assert.DeepEqual(t, *trimmed, tail.TrimmedError{Stream: stream, From: 3, Earliest: 7})
	})
	t.Run("a silent instance is skipped and then avoided", func(t *testing.T) {
		addr, accepted := startSilentListener(t)
		remote.records = newLog().records
		direct := newLog()
		direct.cut.Store(true)
		r := newRelay(t, direct, clk, addr, n.Addr())
		r.Client = newClient(t, time.Second)
		assertRead(t, r, peer.Relayed, "a")
		assertRead(t, r, peer.Relayed, "a")
		assert.Equal(t, accepted.Load(), int64(1))
	})
	t.Run("an append without a path fails with NoPathError", func(t *testing.T) {
		direct := newLog()
		direct.cut.Store(true)
		r := newRelay(t, direct, clk)
		_, err := r.Log().Read(t.Context(), stream, 0, 0)
		assert.ErrorIs(t, err, errCut)
		_, err = r.Log().Append(t.Context(), stream, nil)
		var none *peer.NoPathError
		assert.Assert(t, errors.As(err, &none))
		assert.Equal(t, r.CurrentPath(), peer.NoPath)
	})
	t.Run("relayed pages are limited to PageBytes", func(t *testing.T) {
		large := []byte(strings.Repeat("x", peer.PageBytes/2))
		remote.records = [][]byte{large, large, large}
		page, err := n.client.Read(t.Context(), n.Addr(), stream, 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Records), 2)
		assert.Equal(t, page.Head, int64(3))
	})
}

func TestGossip(t *testing.T) {
	clk := &clock{}
	a, b, c := startNode(t, "a", clk, nil), startNode(t, "b", clk, nil), startNode(t, "c", clk, nil)
	list := func(n *node, state roster.State, instances ...*node) {
		m := roster.Members{Targets: []roster.Target{{ID: "t", Incarnation: "x", State: state}}}
		for _, i := range instances {
			m.Instances = append(m.Instances, roster.Instance{PeerAddr: i.Addr(), State: roster.Live})
		}
		n.view.SetList(m)
	}
	t.Run("leaving targets spread over an intermediate instance", func(t *testing.T) {
		list(a, roster.Leaving)
		list(b, roster.Live, a)
		list(c, roster.Live, b)
		b.gossip.Round(t.Context())
		c.gossip.Round(t.Context())
		assert.DeepEqual(t, c.view.LeavingTargets(), []string{"x"})
		assert.Assert(t, slices.Contains(c.leavingHeard, "x"))
	})
	t.Run("instances are discovered", func(t *testing.T) {
		found, ok := c.view.Find("inc-a", clk.now())
		assert.Assert(t, ok)
		assert.Equal(t, found.Reach, roster.Unknown, "a view that another instance forwards must not count as reachable")
		found, ok = b.view.Find("inc-c", clk.now())
		assert.Assert(t, ok)
		assert.Equal(t, found.PeerAddr, c.Addr())
		assert.Equal(t, c.view.Live(clk.now()), 3)
	})
	t.Run("a newer version that is missing for BehindAfter is reported", func(t *testing.T) {
		var own, theirs atomic.Int64
		theirs.Store(5)
		n := startNode(t, "d", clk, func(s *peer.Server) {
			s.LocalView = func() roster.PeerView {
				return roster.PeerView{Incarnation: "inc-d", PeerAddr: s.Addr(), ConfigVersion: theirs.Load()}
			}
		})
		var behind atomic.Int64
		g := &peer.Gossip{
			View: &roster.View{Addr: "own", Seeds: []string{n.Addr()}}, Client: n.client, LocalView: a.LocalView,
			ConfigVersion: own.Load, Now: clk.now,
			OnConfigOutdated: func(_ context.Context, p roster.Peer) { behind.Store(p.ConfigVersion) },
		}
		g.View.Default()
		g.Default()
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		assertRound := func(passed time.Duration, want int64, why string) {
			t.Helper()
			clk.advance(passed)
			g.Round(t.Context())
			assert.NilError(t, g.Run(ended), "Run must wait for OnConfigOutdated")
			assert.Equal(t, behind.Load(), want, why)
		}
		assertRound(0, 0, "version 5 is new")
		own.Store(5)
		theirs.Store(6)
		assertRound(peer.OutdatedConfigDelay, 0, "version 6 is new")
		assertRound(peer.OutdatedConfigDelay-1, 0, "version 6 is missing for less than OutdatedConfigDelay")
		assertRound(1, 6, "version 6 is missing for OutdatedConfigDelay")
	})
}

// TestRoundInLargeFleetCallsFanOutPeers guards against rounds whose calls grow with the fleet.
func TestRoundInLargeFleetCallsFanOutPeers(t *testing.T) {
	var calls atomic.Int64
	g := &peer.Gossip{View: &roster.View{Addr: "own"}, Client: newClient(t, longWait), LocalView: func() roster.PeerView { return roster.PeerView{} }}
	g.OnContact = func(string, error) { calls.Add(1) }
	for i := range peer.SmallFleet {
		// Nothing listens on port 0, so these calls fail at once.
		g.View.Seeds = append(g.View.Seeds, fmt.Sprintf("127.0.0.%d:0", i+1))
	}
	g.View.Default()
	g.Default()
	g.Round(t.Context())
	assert.Equal(t, calls.Load(), int64(peer.FanOut))
}
