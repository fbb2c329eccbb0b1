package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reachability, retry and retention times of the view.
const (
	// ReachableFor is how long an instance counts as reachable after a response.
	ReachableFor = 3 * time.Second
	// RetryFirst is the wait before the first retry of an instance that did not respond.
	RetryFirst = 500 * time.Millisecond
	// RetryMax is the longest wait between two attempts.
	RetryMax = 10 * time.Second
	// PeerRetention is how long an unlisted instance is retained without contact.
	PeerRetention = time.Minute
)

// leavingRetention is the number of successive lists without a leaving target after which the target
// is evicted.
const leavingRetention = 60

// View merges the platform's list of instances with the results of direct contact. All of it
// is a hint. Exported fields are set before the first call. A View is safe for concurrent use.
type View struct {
	// ID, Incarnation and Addr identify this instance, which is not among the peers.
	ID, Incarnation, Addr string
	// Seeds are addresses of instances that are always retained.
	Seeds []string

	mu    sync.Mutex
	peers map[string]*peerState
	// targets are the incarnations in the list; leaving maps the incarnation of a leaving target to
	// the number of further lists without it after which it is evicted.
	targets  map[string]bool
	leaving  map[string]int
	nextView int
}

// String returns the name of the view for log lines.
func (v *View) String() string { return "view of instance " + v.ID }

// Default prepares the view for use.
func (v *View) Default() {
	v.peers = map[string]*peerState{}
	v.targets = map[string]bool{}
	v.leaving = map[string]int{}
	for _, addr := range v.Seeds {
		if addr != v.Addr {
			v.peerAt(addr).seed = true
		}
	}
}

func (v *View) peerAt(addr string) *peerState {
	e := v.peers[addr]
	if e == nil {
		e = &peerState{view: PeerView{PeerAddr: addr}}
		v.peers[addr] = e
	}
	return e
}

// SetList applies the platform's list.
func (v *View) SetList(m Members) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.peers {
		e.listed = ""
	}
	for _, i := range m.Instances {
		if i.PeerAddr == "" || i.PeerAddr == v.Addr || i.ID == v.ID {
			continue
		}
		e := v.peerAt(i.PeerAddr)
		e.listed = i.State
		if e.view.Incarnation == "" {
			e.view.InstanceID, e.view.Zone = i.ID, i.Zone
		}
	}
	v.setTargets(m.Targets)
}

// setTargets replaces the listed targets and evicts leaving targets that leavingRetention lists did
// not contain. The caller holds the lock.
func (v *View) setTargets(targets []Target) {
	clear(v.targets)
	for _, t := range targets {
		v.targets[t.Incarnation] = true
		if t.State == Leaving {
			v.leaving[t.Incarnation] = leavingRetention
		}
	}
	for inc := range v.leaving {
		if v.targets[inc] {
			continue
		}
		if v.leaving[inc]--; v.leaving[inc] <= 0 {
			delete(v.leaving, inc)
		}
	}
}

// RecordReply applies the view that an instance returned in response to a call by this instance.
func (v *View) RecordReply(p PeerView, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.acceptView(p, now) {
		return
	}
	e := v.peerAt(p.PeerAddr)
	e.view, e.respondedAt, e.failures, e.retryAt = p, now, 0, time.Time{}
}

// RecordIndirect applies a view that arrived in another way, such as in a call by another instance. It
// shows that the instance is alive, but not whether it is reachable from here.
func (v *View) RecordIndirect(p PeerView, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.acceptView(p, now) {
		return
	}
	e := v.peerAt(p.PeerAddr)
	e.receivedAt = now
	if !within(e.respondedAt, now, ReachableFor) {
		e.view = p
	}
}

// acceptView records the leaving targets of a view, evicts expired instances, and reports whether the
// view has an address and is that of another instance. It does not detect outdated views. The caller
// holds the lock.
func (v *View) acceptView(p PeerView, now time.Time) bool {
	v.recordLeaving(p.LeavingTargets)
	v.evictPeers(now)
	return p.PeerAddr != "" && p.PeerAddr != v.Addr && p.Incarnation != v.Incarnation
}

// evictPeers evicts instances that are neither seeds nor listed nor were in contact within PeerRetention. The
// caller holds the lock.
func (v *View) evictPeers(now time.Time) {
	maps.DeleteFunc(v.peers, func(_ string, e *peerState) bool {
		keep := e.seed || e.listed != "" || within(e.respondedAt, now, PeerRetention) || within(e.receivedAt, now, PeerRetention)
		return !keep
	})
}

func (v *View) recordLeaving(leaving []string) {
	for _, inc := range leaving {
		v.leaving[inc] = leavingRetention
	}
}

// MarkLeaving records incarnations of targets that are leaving.
func (v *View) MarkLeaving(incarnations ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordLeaving(incarnations)
}

// RecordFailure records that an instance did not respond and schedules a retry with exponential backoff.
func (v *View) RecordFailure(addr string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.peers[addr]
	if e == nil || now.Before(e.retryAt) {
		return
	}
	wait := RetryFirst
	for range e.failures {
		wait = min(2*wait, RetryMax)
	}
	e.failures++
	e.retryAt = now.Add(wait)
}

// Peers returns the instances that may be called now: reachable ones first, stopping or leaving
// ones last. The order differs between instances, which spreads the load.
func (v *View) Peers(now time.Time) []Peer { return v.RankedPeers(v.Addr, now) }

// RankedPeers returns the same instances as Peers within each class in the rendezvous order of a key, which
// is the same at all instances.
func (v *View) RankedPeers(key string, now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	callable := make([]*peerState, 0, len(v.peers))
	for _, e := range v.peers {
		if e.isCallable(now) {
			callable = append(callable, e)
		}
	}
	slices.SortFunc(callable, func(a, b *peerState) int {
		return cmp.Or(
			cmp.Compare(a.callClass(now), b.callClass(now)),
			cmp.Compare(score(key, b.view.PeerAddr), score(key, a.view.PeerAddr)),
		)
	})
	return peersOf(callable, now)
}

// Rank returns the position of this instance, from 0, among the instances assumed live and not
// unreachable in the rendezvous order of a key.
func (v *View) Rank(key string, now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	own, rank := score(key, v.Addr), 0
	for addr, e := range v.peers {
		if e.isLive(now) && e.reach(now) != Unreachable && score(key, addr) > own {
			rank++
		}
	}
	return rank
}

// score returns the weight of an address for a key in rendezvous hashing.
func score(key, addr string) uint64 { return xxhash.Sum64String(key + "\x00" + addr) }

func peersOf(entries []*peerState, now time.Time) []Peer {
	peers := make([]Peer, 0, len(entries))
	for _, e := range entries {
		peers = append(peers, e.peer(now))
	}
	return peers
}

// Live returns the number of instances assumed live, including this one.
func (v *View) Live(now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 1
	for _, e := range v.peers {
		if e.isLive(now) {
			n++
		}
	}
	return n
}

// Find returns the instance with the incarnation if it may be called now.
func (v *View) Find(incarnation string, now time.Time) (Peer, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.peers {
		if incarnation != "" && e.view.Incarnation == incarnation && e.isCallable(now) {
			return e.peer(now), true
		}
	}
	return Peer{}, false
}

// Contains reports whether the view contains an instance with the incarnation: one that is listed,
// a seed, or was in contact within PeerRetention.
func (v *View) Contains(incarnation string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.peers {
		if e.view.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// LeavingTargets returns the incarnations of listed targets that are leaving. Targets that are no
// longer listed are not reported to other instances, so that all instances eventually evict them.
func (v *View) LeavingTargets() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var listed []string
	for inc := range v.leaving {
		if v.targets[inc] {
			listed = append(listed, inc)
		}
	}
	slices.Sort(listed)
	return listed
}

// Views returns up to n views of reachable instances and rotates through them from call to call.
func (v *View) Views(n int, now time.Time) []PeerView {
	v.mu.Lock()
	defer v.mu.Unlock()
	var views []PeerView
	for _, addr := range slices.Sorted(maps.Keys(v.peers)) {
		if e := v.peers[addr]; e.reach(now) == Reachable {
			views = append(views, e.view)
		}
	}
	if len(views) <= n {
		return views
	}
	v.nextView = (v.nextView + n) % len(views)
	return append(views[v.nextView:], views[:v.nextView]...)[:n]
}

// Snapshot returns all known instances in the order of their addresses, for operators.
func (v *View) Snapshot(now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	entries := make([]*peerState, 0, len(v.peers))
	for _, addr := range slices.Sorted(maps.Keys(v.peers)) {
		entries = append(entries, v.peers[addr])
	}
	return peersOf(entries, now)
}
