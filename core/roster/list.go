package roster

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// ReturnGrace is how long after the platform's return a target that lapsed meanwhile is
// kept: entries of targets that live are back within about two seconds of it.
const ReturnGrace = 2200 * time.Millisecond

// Entry is what a target says of itself in the platform's list.
type Entry struct {
	Target
	// Born is when the target started, in Unix milliseconds. It tells one start of a target
	// from the next.
	Born int64
	// Sequence counts the writes of the entry since the start.
	Sequence int64
}

// Change tells what became of a target.
type Change string

// Changes of a list.
const (
	Joined  Change = "joined"
	Drained Change = "leaving"
	Removed Change = "removed"
	Invalid Change = "invalid"
)

// List folds the entries of targets, in the order in which the platform has them, into
// the targets that take work. It is not safe for concurrent use. Exported fields are set
// before the first call.
type List struct {
	// Now is the clock.
	Now func() time.Time
	// Changed is told of each change, with the reason if there is one; optional.
	Changed func(id string, c Change, reason error)

	entries map[string]*listed
	// away tells that the platform is out of reach, and back is when it was reached again.
	away bool
	back time.Time
}

// listed is what is known of the target with one id.
type listed struct {
	Entry
	// leaving holds for good for this start of the target.
	leaving bool
	present bool
	// lapsed tells that the entry was removed around an outage, and may come back.
	lapsed bool
}

// String names the list for logs.
func (l *List) String() string { return "list of targets" }

// Default fills fields that were left empty.
func (l *List) Default() {
	if l.Now == nil {
		l.Now = time.Now
	}
	if l.Changed == nil {
		l.Changed = func(string, Change, error) {}
	}
	if l.entries == nil {
		l.entries = map[string]*listed{}
	}
}

// Away notes that the platform is out of reach.
func (l *List) Away() { l.away = true }

// Back notes that the platform is reached again.
func (l *List) Back() {
	if l.away {
		l.away = false
		l.back = l.Now()
	}
}

// Put takes a valid entry and reports whether the targets changed.
func (l *List) Put(e Entry) bool {
	known := l.entries[e.ID]
	if known == nil {
		known = &listed{Entry: e}
		l.entries[e.ID] = known
	} else if older(e, known.Entry) {
		// A write that was delayed says nothing of now.
		return false
	}
	before := *known
	restarted := e.Born > known.Born
	known.Entry, known.present, known.lapsed = e, true, false
	known.leaving = e.State == Leaving || known.leaving && !restarted
	switch {
	case known.leaving && (!before.leaving || restarted):
		l.Changed(e.ID, Drained, nil)
	case !before.present || restarted:
		l.Changed(e.ID, Joined, nil)
	}
	return !before.present || restarted || before.leaving != known.leaving || !same(before.Entry, e)
}

// older reports whether a is from before b or the same.
func older(a, b Entry) bool {
	return a.Born < b.Born || a.Born == b.Born && a.Sequence < b.Sequence
}

// same reports whether two entries of one start describe the same target.
func same(a, b Entry) bool {
	return a.Addr == b.Addr && a.Zone == b.Zone && a.Service == b.Service && a.Slots == b.Slots && slices.Equal(a.Models, b.Models)
}

// Bad takes an entry that could not be read and reports whether the targets changed. It
// names no target.
func (l *List) Bad(id string, reason error) bool {
	l.Changed(id, Invalid, reason)
	return l.remove(id)
}

// Gone takes the removal of an entry and reports whether the targets changed.
func (l *List) Gone(id string) bool {
	known := l.entries[id]
	if known == nil || !known.present {
		return false
	}
	if l.away || l.returning() {
		known.lapsed = true
		return false
	}
	return l.remove(id)
}

// returning reports whether the platform was reached again just now.
func (l *List) returning() bool { return l.Now().Sub(l.back) < ReturnGrace }

func (l *List) remove(id string) bool {
	known := l.entries[id]
	if known == nil || !known.present {
		return false
	}
	known.present, known.lapsed = false, false
	l.Changed(id, Removed, nil)
	return true
}

// Missing takes the ids of all entries that there are and handles the others as removed.
// It reports whether the targets changed.
func (l *List) Missing(ids []string) bool {
	changed := false
	for _, id := range l.ids() {
		if !slices.Contains(ids, id) && l.Gone(id) {
			changed = true
		}
	}
	return changed
}

// Expire removes entries that lapsed during an outage and did not come back, and reports
// whether the targets changed.
func (l *List) Expire() bool {
	if l.away || l.returning() {
		return false
	}
	changed := false
	for _, id := range l.ids() {
		if l.entries[id].lapsed {
			changed = l.remove(id) || changed
		}
	}
	return changed
}

// Targets returns the targets that are listed, in the order of their ids.
func (l *List) Targets() []Target {
	targets := make([]Target, 0, len(l.entries))
	for _, id := range l.ids() {
		known := l.entries[id]
		if !known.present {
			continue
		}
		t := known.Target
		t.Incarnation = id + "@" + strconv.FormatInt(known.Born, 10)
		t.State = Live
		if known.leaving {
			t.State = Leaving
		}
		targets = append(targets, t)
	}
	return targets
}

func (l *List) ids() []string {
	ids := make([]string, 0, len(l.entries))
	for id := range l.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}
