// Package detour decides when an instance sends requests by way of another one, because it reaches no target of a service by itself, and by
// way of which. An instance that is asked does not pass a request on again.
package detour

import (
	"slices"
	"sync"
	"time"
)

// Parameters of Tracker.
const (
	// minUnreachable is the number of targets, of those of a service, that can't be connected to one after the other before the
	// instance counts as cut off from the service. One target may have crashed.
	minUnreachable = 2
	// maxDirectTries is the number of targets that a request tries to reach by itself while some are unreachable and others are not.
	maxDirectTries = 2
	// MaxHelpers is the number of instances that one request asks. Those that can't help refuse within a few ms.
	MaxHelpers = 3
	// CutPause is how long an instance is not asked about a service that it does not reach either, BusyPause how long it is not asked after
	// it refused because of its load, and LostPause after it did not reply. One that may still reply is asked last for LostPause.
	CutPause  = time.Second
	BusyPause = 100 * time.Millisecond
	LostPause = 2 * time.Second
	// goodTime is how long an instance that helped is preferred. One request in explore goes to any, so that more instances
	// share the load.
	goodTime = 10 * time.Second
	explore  = 4
)

// Tracker tracks which services this instance reaches. Exported fields are set before Default. It is safe for concurrent use. A nil
// Tracker knows no other instance.
type Tracker struct {
	// Peers returns the addresses of the other instances.
	Peers func() []string
	// Now returns the current time, and Random a number from 0 to n-1.
	Now    func() time.Time
	Random func(n int) int
	// OnCut is called when this instance is cut off from a service, or reaches it again; optional. It must not call the tracker.
	OnCut func(service string, cut bool)

	mu       sync.Mutex
	services map[string]*service
	helpers  map[helperKey]*helper
}

type service struct {
	// targets is the number of targets of the service.
	targets int
	// unreachable holds the targets that could not be connected to since the last one that could, and whether their machines refused the connection.
	unreachable map[string]bool
	cut         bool
}

// helperKey identifies another instance with respect to a service; the service is empty for all of them.
type helperKey struct{ addr, service string }

// helper is what is known of another instance. It is asked before silentUntil only if there is no other one: a target behind it may have been silent.
type helper struct{ pausedUntil, silentUntil, goodUntil time.Time }

// String returns the name of the tracker for logs.
func (t *Tracker) String() string { return "tracker of the paths to services" }

// Default sets unset fields to their defaults.
func (t *Tracker) Default() {
	if t.Now == nil {
		t.Now = time.Now
	}
	if t.OnCut == nil {
		t.OnCut = func(string, bool) {}
	}
	t.services, t.helpers = map[string]*service{}, map[helperKey]*helper{}
}

// SetTargets sets the number of targets of each service.
func (t *Tracker) SetTargets(counts map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		s.targets = counts[name]
	}
	for name, n := range counts {
		t.service(name).targets = n
	}
}

func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{unreachable: map[string]bool{}}
		t.services[name] = s
	}
	return s
}

// Connected records that a connection to a target of a service was opened, and reports whether that ends a cut.
func (t *Tracker) Connected(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	ended := s.cut
	clear(s.unreachable)
	s.cut = false
	if ended {
		t.OnCut(name, false)
	}
	return ended
}

// Unreachable records that no connection to a target of a service could be opened. It reports whether another target should be tried now: each one is tried
// once, since one that is reachable ends the cut.
func (t *Tracker) Unreachable(name, target string) bool { return t.record(name, target, false) }

// Refused is Unreachable for a target whose machine refused the connection. The path to it is not lost; the instance counts as cut off only if all targets refuse, since
// several may have crashed together.
func (t *Tracker) Refused(name, target string) bool { return t.record(name, target, true) }

func (t *Tracker) record(name, target string, refused bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	_, known := s.unreachable[target]
	s.unreachable[target] = refused
	if !s.cut && s.isCut() {
		s.cut = true
		t.OnCut(name, true)
	}
	return !known
}

// isCut reports whether enough targets could not be connected to.
func (s *service) isCut() bool {
	lost := 0
	for _, refused := range s.unreachable {
		if !refused {
			lost++
		}
	}
	all := max(s.targets, 1)
	return lost >= min(minUnreachable, all) || len(s.unreachable) >= all
}

// IsUnreachable reports whether a target of a service could not be connected to since the last one that could.
func (t *Tracker) IsUnreachable(name, target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.service(name).unreachable[target]
	return known
}

// Cut reports whether this instance is cut off from a service.
func (t *Tracker) Cut(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(name).cut
}

// CutServices returns the services that this instance is cut off from.
func (t *Tracker) CutServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cut []string
	for name, s := range t.services {
		if s.cut {
			cut = append(cut, name)
		}
	}
	slices.Sort(cut)
	return cut
}

// Needed reports whether a request for a service should go by way of another instance, given how many targets it could not reach by itself.
func (t *Tracker) Needed(name string, unreached int) bool {
	if t == nil || unreached < maxDirectTries && !t.Cut(name) {
		return false
	}
	return len(t.Peers()) > 0
}

// Helper returns an instance to ask about a service, other than those that were asked, and whether there is one.
func (t *Tracker) Helper(name string, asked []string) (string, bool) {
	peers := t.Peers()
	t.mu.Lock()
	defer t.mu.Unlock()
	good, others := t.candidates(peers, name, asked)
	if len(good) == 0 || len(others) > 0 && t.Random(explore) == 0 {
		good = others
	}
	if len(good) == 0 {
		return "", false
	}
	return good[t.Random(len(good))], true
}

// candidates returns the instances that have helped lately, and other ones that may help.
func (t *Tracker) candidates(peers []string, name string, asked []string) (good, others []string) {
	now := t.Now()
	var silent []string
	for _, addr := range peers {
		h, all := t.helpers[helperKey{addr, name}], t.helpers[helperKey{addr, ""}]
		switch {
		case slices.Contains(asked, addr) || h != nil && now.Before(h.pausedUntil) || all != nil && now.Before(all.pausedUntil):
		case h != nil && now.Before(h.silentUntil):
			silent = append(silent, addr)
		case h != nil && now.Before(h.goodUntil):
			good = append(good, addr)
		default:
			others = append(others, addr)
		}
	}
	if len(good) == 0 && len(others) == 0 {
		return nil, silent
	}
	return good, others
}

// Helped records that an instance reached a target of a service.
func (t *Tracker) Helped(addr, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.helper(helperKey{addr, name})
	h.goodUntil, h.silentUntil = t.Now().Add(goodTime), time.Time{}
}

// Silent records that an instance, or the target behind it, has sent nothing for long.
func (t *Tracker) Silent(addr, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.helper(helperKey{addr, name}).silentUntil = t.Now().Add(LostPause)
}

// Pause excludes an instance for a time, for one service, or for all if the name is empty.
func (t *Tracker) Pause(addr, name string, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.helper(helperKey{addr, name})
	h.pausedUntil, h.goodUntil = t.Now().Add(pause), time.Time{}
}

func (t *Tracker) helper(key helperKey) *helper {
	h := t.helpers[key]
	if h == nil {
		h = &helper{}
		t.helpers[key] = h
	}
	return h
}
