// Package spans knows how long requests of a kind take, so that work is refused that can't end in the time that is left.
package spans

import (
	"strings"
	"sync"
	"time"
)

// window is how long a span counts after its end, at least; at most it is twice as long. It holds some dozens of the longest requests that routes allow by default.
const window = 2 * time.Minute

// Limits of the kinds that are known, since callers may state them: several times the routes of a large installation, and the length of their names.
const (
	maxKinds     = 4096
	maxKindBytes = 64
)

// otherKinds is the kind of those beyond maxKinds.
const otherKinds = ""

// Tracker knows the longest span of each kind: of those that ended lately, and of those in progress. Its zero value is ready to use, and a nil
// Tracker knows none. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// current and previous hold the longest spans that ended in the window that began at windowBegan, and in the one before.
	current, previous map[string]time.Duration
	windowBegan       time.Time
	inProgress        map[*Span]struct{}
}

// String returns the name of the tracker for logs.
func (t *Tracker) String() string { return "tracker of the time that requests take" }

// Span is the time of one request.
type Span struct {
	tracker *Tracker
	kind    string
	began   time.Time
}

// Begin begins a span of a kind at a time.
func (t *Tracker) Begin(kind string, at time.Time) *Span {
	if t == nil {
		return nil
	}
	s := &Span{tracker: t, kind: strings.Clone(shorten(kind)), began: at}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inProgress == nil {
		t.inProgress = map[*Span]struct{}{}
	}
	t.inProgress[s] = struct{}{}
	return s
}

// End ends the span at a time. It must be called once.
func (s *Span) End(at time.Time) {
	if s == nil {
		return
	}
	t := s.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inProgress, s)
	t.rotate(at)
	kind := s.kind
	if _, known := t.current[kind]; !known && len(t.current) >= maxKinds {
		kind = otherKinds
	}
	t.current[kind] = max(t.current[kind], at.Sub(s.began))
}

// shorten returns the part of a kind that distinguishes it.
func shorten(kind string) string { return kind[:min(len(kind), maxKindBytes)] }

// Longest returns the longest span of a kind at a time; 0 if none is known. Kinds beyond maxKinds count as one.
func (t *Tracker) Longest(kind string, at time.Time) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(at)
	kind = shorten(kind)
	longest := max(longestOf(t.current, kind), longestOf(t.previous, kind))
	for s := range t.inProgress {
		if s.kind == kind {
			longest = max(longest, at.Sub(s.began))
		}
	}
	return longest
}

// longestOf returns the longest span of a kind in a window.
func longestOf(window map[string]time.Duration, kind string) time.Duration {
	if longest, known := window[kind]; known {
		return longest
	}
	return window[otherKinds]
}

// rotate begins a new window if the current one is over.
func (t *Tracker) rotate(at time.Time) {
	switch age := at.Sub(t.windowBegan); {
	case t.current != nil && age < window:
		return
	case age < 2*window:
		t.previous = t.current
	default:
		t.previous = nil
	}
	t.current, t.windowBegan = map[string]time.Duration{}, at
}
