package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of the view.
const (
	// ReachFor is how long an instance that answered counts as reachable.
	ReachFor = 3 * time.Second
	// RetryFirst is the wait before an instance that failed is asked again.
	RetryFirst = 500 * time.Millisecond
	// RetryLongest is the longest wait between two tries.
	RetryLongest = 10 * time.Second
	// ForgetAfter is how long an instance that is not listed is remembered without contact.
	ForgetAfter = time.Minute
)

// rememberLists is the number of lists for which a leaving target that none of them
// contains is remembered.
const rememberLists = 60

// View merges the platform's list of instances with what direct contact shows. All
// of it is a hint. Exported fields are set before the first call; a View may be used
// by several goroutines.
type View struct {
	// ID, Incarnation and Addr identify the own instance, which is not among the peers.
	ID, Incarnation, Addr string
	// Seeds are addresses of instances that are always remembered.
	Seeds []string

	mu    sync.Mutex
	peers map[string]*entry
	// targets are the incarnations in the list; leaving maps an incarnation to the number of
	// lists for which it is still remembered when it is not listed.
	targets map[string]bool
	leaving map[string]int
	turn    int
}

// String names the view for logs.
func (v *View) String() string { return "view of instance " + v.ID }

// Default makes the view ready for use.
func (v *View) Default() {
	v.peers = map[string]*entry{}
	v.targets = map[string]bool{}
	v.leaving = map[string]int{}
	for _, addr := range v.Seeds {
		if addr != v.Addr {
			v.entry(addr).seed = true
		}
	}
}

func (v *View) entry(addr string) *entry {
	e := v.peers[addr]
	if e == nil {
		e = &entry{view: PeerView{PeerAddr: addr}}
		v.peers[addr] = e
	}
	return e
}

// SetList takes in the platform's list.
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
		e := v.entry(i.PeerAddr)
		e.listed = i.State
		if e.view.Incarnation == "" {
			e.view.InstanceID, e.view.Zone = i.ID, i.Zone
		}
	}
	v.setTargets(m.Targets)
}

// setTargets replaces the listed targets and forgets leaving ones that are long gone. The
// caller holds the lock.
func (v *View) setTargets(targets []Target) {
	clear(v.targets)
	for _, t := range targets {
		v.targets[t.Incarnation] = true
		if t.State == Leaving {
			v.leaving[t.Incarnation] = rememberLists
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

// Heard takes in the answer of an instance to a call of this one.
func (v *View) Heard(p PeerView, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.take(p, now) {
		return
	}
	e := v.entry(p.PeerAddr)
	e.view, e.heard, e.failures, e.retryAt = p, now, 0, time.Time{}
}

// Told takes in a view that came by a call of another instance. It shows that the
// instance lives, and nothing of the path to it.
func (v *View) Told(p PeerView, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.take(p, now) {
		return
	}
	e := v.entry(p.PeerAddr)
	e.told = now
	if !within(e.heard, now, ReachFor) {
		e.view = p
	}
}

// take notes the leaving targets of a view and reports whether it is that of another
// instance. The caller holds the lock.
func (v *View) take(p PeerView, now time.Time) bool {
	v.note(p.LeavingTargets)
	v.forget(now)
	return p.PeerAddr != "" && p.PeerAddr != v.Addr && p.Incarnation != v.Incarnation
}

// forget drops instances that are neither listed nor in contact; the caller holds the lock.
func (v *View) forget(now time.Time) {
	maps.DeleteFunc(v.peers, func(_ string, e *entry) bool {
		kept := e.seed || e.listed != "" || within(e.heard, now, ForgetAfter) || within(e.told, now, ForgetAfter)
		return !kept
	})
}

func (v *View) note(leaving []string) {
	for _, inc := range leaving {
		v.leaving[inc] = rememberLists
	}
}

// NoteLeaving remembers incarnations of targets that are leaving.
func (v *View) NoteLeaving(incarnations ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.note(incarnations)
}

// Failed notes that an instance did not answer. The waits until it is asked again grow.
func (v *View) Failed(addr string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.peers[addr]
	if e == nil || now.Before(e.retryAt) {
		return
	}
	wait := RetryFirst
	for range e.failures {
		wait = min(2*wait, RetryLongest)
	}
	e.failures++
	e.retryAt = now.Add(wait)
}

// Peers returns the instances that may be asked now: those in reach first, those that
// stop last. The order differs from instance to instance, which spreads the load.
func (v *View) Peers(now time.Time) []Peer { return v.Ranked(v.Addr, now) }

// Ranked is Peers with the rendezvous order of a key, which is the same at all instances.
func (v *View) Ranked(key string, now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	asked := make([]*entry, 0, len(v.peers))
	for _, e := range v.peers {
		if e.askable(now) {
			asked = append(asked, e)
		}
	}
	slices.SortFunc(asked, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(a.order(now), b.order(now)),
			cmp.Compare(score(key, b.view.PeerAddr), score(key, a.view.PeerAddr)),
		)
	})
	return peersOf(asked, now)
}

// Rank returns the place of the own instance, from 0, among those thought live in the
// rendezvous order of a key.
func (v *View) Rank(key string, now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	own, rank := score(key, v.Addr), 0
	for addr, e := range v.peers {
		if e.live(now) && e.reach(now) != Unreachable && score(key, addr) > own {
			rank++
		}
	}
	return rank
}

// score is the weight of an address for a key in rendezvous hashing.
func score(key, addr string) uint64 { return xxhash.Sum64String(key + "\x00" + addr) }

func peersOf(entries []*entry, now time.Time) []Peer {
	peers := make([]Peer, 0, len(entries))
	for _, e := range entries {
		peers = append(peers, e.peer(now))
	}
	return peers
}

// Live returns the number of instances thought live, the own one included.
func (v *View) Live(now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 1
	for _, e := range v.peers {
		if e.live(now) {
			n++
		}
	}
	return n
}

// Find returns the instance with the incarnation when it may be asked now.
func (v *View) Find(incarnation string, now time.Time) (Peer, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.peers {
		if incarnation != "" && e.view.Incarnation == incarnation && e.askable(now) {
			return e.peer(now), true
		}
	}
	return Peer{}, false
}

// Knows reports whether an instance with the incarnation is remembered: it is listed, or
// was in contact lately.
func (v *View) Knows(incarnation string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.peers {
		if e.view.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// LeavingTargets returns the incarnations of listed targets that are leaving. Targets
// that are no longer listed are not told to others, so that they are forgotten in the end.
func (v *View) LeavingTargets() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var told []string
	for inc := range v.leaving {
		if v.targets[inc] {
			told = append(told, inc)
		}
	}
	slices.Sort(told)
	return told
}

// Views returns up to n views of instances in reach, others at each call.
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
	v.turn = (v.turn + n) % len(views)
	return append(views[v.turn:], views[:v.turn]...)[:n]
}

// Snapshot returns every known instance in the order of addresses, for operators.
func (v *View) Snapshot(now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	entries := make([]*entry, 0, len(v.peers))
	for _, addr := range slices.Sorted(maps.Keys(v.peers)) {
		entries = append(entries, v.peers[addr])
	}
	return peersOf(entries, now)
}
