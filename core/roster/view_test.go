package roster_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/roster"
)

var t0 = time.Unix(1000, 0)

func newView(seeds ...string) *roster.View {
	v := &roster.View{ID: "own", Incarnation: "inc-own", Addr: "own", Seeds: seeds}
	v.Default()
	return v
}

func viewOf(addr string) roster.PeerView {
	return roster.PeerView{InstanceID: "id-" + addr, Incarnation: "inc-" + addr, PeerAddr: addr}
}

func instances(state roster.State, addrs ...string) roster.Members {
	var m roster.Members
	for _, addr := range addrs {
		m.Instances = append(m.Instances, roster.Instance{ID: "id-" + addr, PeerAddr: addr, State: state})
	}
	return m
}

func assertPeers(t *testing.T, got []roster.Peer, want ...string) {
	t.Helper()
	addrs := make([]string, 0, len(got))
	for _, p := range got {
		addrs = append(addrs, p.PeerAddr+" "+string(p.Reach))
	}
	assert.DeepEqual(t, addrs, append([]string{}, want...))
}

func TestView(t *testing.T) {
	t.Run("lists reachable peers before unknown ones and omits failed ones", func(t *testing.T) {
		v := newView("own", "a")
		v.SetList(instances(roster.Live, "own", "b", "c"))
		v.RecordReply(viewOf("b"), t0)
		v.RecordFailure("c", t0)
		assertPeers(t, v.Peers(t0), "b reachable", "a unknown")
		assertPeers(t, v.Snapshot(t0), "a unknown", "b reachable", "c unreachable")
		assert.Equal(t, v.Peers(t0.Add(roster.ReachableFor))[0].Reach, roster.Unknown)
		assert.Equal(t, v.Live(t0), 3)
	})
	t.Run("doubles the wait after each failure until a peer replies", func(t *testing.T) {
		v := newView("a")
		now, wait := t0, roster.RetryFirst
		for range 10 {
			v.RecordFailure("a", now)
			v.RecordFailure("a", now)
			assertPeers(t, v.Peers(now.Add(wait-1)))
			now = now.Add(wait)
			assertPeers(t, v.Peers(now), "a unknown")
			wait = min(2*wait, roster.RetryMax)
		}
		v.RecordIndirect(viewOf("a"), now)
		assertPeers(t, v.Peers(now), "a unknown")
		v.RecordReply(viewOf("a"), now)
		assertPeers(t, v.Peers(now), "a reachable")
	})
	t.Run("a forwarded view does not replace a fresh view from the peer itself", func(t *testing.T) {
		v := newView()
		old := viewOf("a")
		old.Incarnation = "inc-old"
		v.RecordReply(viewOf("a"), t0)
		v.RecordIndirect(old, t0)
		_, ok := v.Find("inc-a", t0)
		assert.Assert(t, ok)
		v.RecordIndirect(old, t0.Add(roster.ReachableFor))
		_, ok = v.Find("inc-old", t0.Add(roster.ReachableFor))
		assert.Assert(t, ok)
	})
	t.Run("omits stopping peers and does not count leaving ones as live", func(t *testing.T) {
		v := newView()
		v.SetList(instances(roster.Leaving, "a", "b"))
		stops := viewOf("a")
		stops.Stopping = true
		v.RecordReply(stops, t0)
		v.RecordReply(viewOf("c"), t0)
		assertPeers(t, v.Peers(t0), "c reachable", "b unknown")
		assert.Equal(t, v.Live(t0), 2)
	})
	t.Run("evicts instances that are neither listed nor in contact", func(t *testing.T) {
		v := newView()
		v.RecordReply(viewOf("a"), t0)
		v.RecordIndirect(viewOf("own"), t0)
		assert.Equal(t, len(v.Snapshot(t0)), 1)
		v.RecordIndirect(viewOf("b"), t0.Add(roster.PeerRetention))
		assertPeers(t, v.Snapshot(t0.Add(roster.PeerRetention)), "b unknown")
	})
}

func TestRankMatchesRankedPeers(t *testing.T) {
	addrs := []string{"a", "b", "c", "d"}
	firstRanked := map[string]bool{}
	for k := range 32 {
		key := fmt.Sprint("key", k)
		instanceByRank := map[int]string{}
		var order []string
		for _, own := range addrs {
			v := &roster.View{ID: "id-" + own, Incarnation: "inc-" + own, Addr: own}
			v.Default()
			v.SetList(instances(roster.Live, addrs...))
			instanceByRank[v.Rank(key, t0)] = own
			order = order[:0]
			for _, p := range v.RankedPeers(key, t0) {
				order = append(order, p.PeerAddr)
			}
		}
		assert.Equal(t, len(instanceByRank), len(addrs), "instances have distinct ranks")
		assert.DeepEqual(t, order, orderWithout(instanceByRank, "d"))
		firstRanked[instanceByRank[0]] = true
	}
	assert.Equal(t, len(firstRanked), len(addrs), "every instance ranks first for some key")
}

func orderWithout(instanceByRank map[int]string, own string) []string {
	var order []string
	for i := range len(instanceByRank) {
		if instanceByRank[i] != own {
			order = append(order, instanceByRank[i])
		}
	}
	return order
}

// TestReportedLeavingTargets checks that a leaving target reported by a peer is returned while the list has its
// incarnation. The report is forgotten once the target has been missing from the list for long.
func TestReportedLeavingTargets(t *testing.T) {
	listed := roster.Members{Targets: []roster.Target{
		{ID: "t1", Incarnation: "x1", State: roster.Live}, {ID: "t2", Incarnation: "x2", State: roster.Leaving},
	}}
	v := newView()
	reported := viewOf("a")
	reported.LeavingTargets = []string{"x1", "x3"}
	v.RecordIndirect(reported, t0)
	v.SetList(listed)
	assert.DeepEqual(t, v.LeavingTargets(), []string{"x1", "x2"})
	listed.Targets[0].Incarnation = "x3"
	v.SetList(listed)
	assert.DeepEqual(t, v.LeavingTargets(), []string{"x2", "x3"})
	for range 100 {
		v.SetList(roster.Members{})
	}
	v.SetList(listed)
	assert.DeepEqual(t, v.LeavingTargets(), []string{"x2"})
}

func TestViewsRotateOverAllPeers(t *testing.T) {
	v := newView()
	seen := map[string]bool{}
	for i := range 10 {
		v.RecordReply(viewOf(fmt.Sprint(i)), t0)
	}
	for range 4 {
		views := v.Views(3, t0)
		assert.Equal(t, len(views), 3)
		for _, p := range views {
			seen[p.PeerAddr] = true
		}
	}
	assert.Equal(t, len(seen), 10)
}
