package roster

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RecoveryGrace is how long, after the platform is reachable again, targets whose entries were removed
// around the outage are kept. Live targets renew their entries within about two seconds of it.
const RecoveryGrace = 2200 * time.Millisecond

// removedRetention is how long a removed target is remembered, so that a delayed write of its entry, or a removed entry in a restored log, does not
// list it again. Writes are delayed by seconds.
const removedRetention = time.Hour

// maxClockError is how far ahead of this machine's clock no clock of a target is.
const maxClockError = 24 * time.Hour

// A start that is earlier than the listed one is the present one if the target has gone on to write entries of it for ownStartTime, at least ownStartWrites of
// them and none more than ownStartGap after the one before, and none of the listed start has come meanwhile: another writer stated that one, or the clock of
// the target was set back. Writes of a start that has ended are late by seconds. A target writes each second or so, and is removed after a silence of 3.6 s.
const (
	ownStartTime   = 15 * time.Second
	ownStartWrites = 5
	ownStartGap    = 5 * time.Second
)

var errStart = fmt.Errorf("the start time is more than %v ahead", maxClockError)

// Entry is the description that a target publishes of itself in the platform's list.
type Entry struct {
	Target
	// StartedAtMS is the start time of the target in Unix milliseconds. It distinguishes successive starts
	// of a target.
	StartedAtMS int64
	// Sequence counts the writes of the entry since the target started.
	Sequence int64
	// Cold is how much longer the target is cold; nil if the entry does not state it.
	Cold *time.Duration
}

// Change is the kind of a change of a target.
type Change string

// Kinds of changes of a list.
const (
	Joined  Change = "joined"
	Drained Change = "leaving"
	Removed Change = "removed"
	Invalid Change = "invalid"
)

// TargetList folds the entries of targets, in the order of the platform's log, into the set of
// listed targets. It is not safe for concurrent use. Exported fields are set before the first
// call.
type TargetList struct {
	// Now returns the present time.
	Now func() time.Time
	// OnChange is called for each change, with the reason if there is one; optional.
	OnChange func(id string, c Change, reason error)

	entries map[string]*record
	// platformLost reports whether the platform is unreachable; restoredAt is when it last became
	// reachable again.
	platformLost bool
	restoredAt   time.Time
}

// record is the state of the target with one id.
type record struct {
	Entry
	// leaving, once set, stays set until the target restarts.
	leaving bool
	present bool
	// removed is set once the entry was removed, until the target writes a newer one, and removedAt is when that was.
	removed   bool
	removedAt time.Time
	// removalPending reports whether the entry was removed around an outage and may be renewed.
	removalPending bool
	// earlier is an earlier start than the listed one.
	earlier earlierStart
	// firstSeen is when the first entry of the start was read, and coldUntil when the target is warm; zero if it is.
	firstSeen, coldUntil time.Time
}

// earlierStart is a start of a target that is earlier than the listed one, and what was written of it since the last entry of the listed one.
type earlierStart struct {
	// startedAtMS and sequence are those of its newest entry.
	startedAtMS, sequence int64
	// writes is the number of entries, from since to last.
	writes      int
	since, last time.Time
	// leaving is set if the target was leaving when the listed start replaced this one.
	leaving bool
}

// String returns the name of the list for log lines.
func (l *TargetList) String() string { return "list of targets" }

// Default sets unset fields to their defaults.
func (l *TargetList) Default() {
	if l.Now == nil {
		l.Now = time.Now
	}
	if l.OnChange == nil {
		l.OnChange = func(string, Change, error) {}
	}
	if l.entries == nil {
		l.entries = map[string]*record{}
	}
}

// RecordOutage records that the platform is unreachable.
func (l *TargetList) RecordOutage() { l.platformLost = true }

// RecordRecovery records that the platform is reachable again.
func (l *TargetList) RecordRecovery() {
	if l.platformLost {
		l.platformLost = false
		l.restoredAt = l.Now()
	}
}

// Put applies a decoded entry and reports whether the targets changed.
func (l *TargetList) Put(e Entry) bool {
	if time.UnixMilli(e.StartedAtMS).After(l.Now().Add(maxClockError)) {
		return l.PutInvalid(e.ID, errStart) // It would hide all entries that the target writes later.
	}
	known := l.entries[e.ID]
	if known == nil {
		known = &record{Entry: e}
		l.entries[e.ID] = known
	} else if known.outdates(e) && !known.returnsTo(e, l.Now()) {
		return false
	}
	before := *known
	restarted := e.StartedAtMS != known.StartedAtMS
	known.apply(e)
	known.applyCold(l.Now(), restarted)
	switch {
	case known.leaving && (!before.leaving || restarted):
		l.OnChange(e.ID, Drained, nil)
	case !before.present || restarted:
		l.OnChange(e.ID, Joined, nil)
	}
	return !before.present || restarted || before.leaving != known.leaving || !sameTarget(before.Entry, e) || known.coldUntil.Sub(before.coldUntil).Abs() > coldPrecision
}

// coldPrecision is the change of the time at which a target is warm from which on it matters: entries are read with varying delays.
const coldPrecision = 250 * time.Millisecond

// applyCold applies what the present entry states of the time at which the target is warm. The entry may have been written earlier, so that the time is not too short.
func (r *record) applyCold(now time.Time, restarted bool) {
	if r.firstSeen.IsZero() || restarted {
		r.firstSeen = now
	}
	r.coldUntil = time.Time{}
	if r.Cold != nil && *r.Cold > 0 {
		r.coldUntil = now.Add(*r.Cold)
	}
}

// apply makes an entry the present one.
func (r *record) apply(e Entry) {
	wasLeaving := r.leaving
	if e.StartedAtMS != r.StartedAtMS {
		wasLeaving = r.earlier.leaving && r.earlier.startedAtMS == e.StartedAtMS
		r.earlier = earlierStart{startedAtMS: r.StartedAtMS, sequence: r.Sequence, leaving: r.leaving}
	}
	r.earlier.writes = 0
	r.Entry, r.present, r.removed, r.removalPending = e, true, false, false
	r.leaving = e.State == Leaving || wasLeaving
}

// outdates reports whether an entry does not describe the present state: it is a delayed write, or a removed entry in a restored log.
func (r *record) outdates(e Entry) bool {
	return isOlder(e, r.Entry) || r.removed && !isOlder(r.Entry, e)
}

// returnsTo counts an outdated entry if it is of an earlier start, and reports whether that one is the present start.
func (r *record) returnsTo(e Entry, now time.Time) bool {
	if e.StartedAtMS >= r.StartedAtMS {
		return false
	}
	c := &r.earlier
	if now.Sub(c.last) > ownStartGap {
		c.writes = 0
	}
	if e.StartedAtMS != c.startedAtMS && c.writes == 0 {
		*c = earlierStart{startedAtMS: e.StartedAtMS, sequence: e.Sequence - 1}
	}
	if e.StartedAtMS != c.startedAtMS || e.Sequence <= c.sequence {
		return false
	}
	if c.writes == 0 {
		c.since = now
	}
	c.sequence, c.last = e.Sequence, now
	c.writes++
	return c.writes >= ownStartWrites && now.Sub(c.since) >= ownStartTime
}

// isOlder reports whether entry a was written before entry b.
func isOlder(a, b Entry) bool {
	return a.StartedAtMS < b.StartedAtMS || a.StartedAtMS == b.StartedAtMS && a.Sequence < b.Sequence
}

// sameTarget reports whether two entries of one start of a target describe it alike.
func sameTarget(a, b Entry) bool {
	return a.Addr == b.Addr && a.Zone == b.Zone && a.Service == b.Service && a.Software == b.Software && a.Slots == b.Slots && slices.Equal(a.Models, b.Models)
}

// PutInvalid handles an entry that could not be decoded as a removal of the target, and reports whether
// the targets changed.
func (l *TargetList) PutInvalid(id string, reason error) bool {
	l.OnChange(id, Invalid, reason)
	return l.remove(id)
}

// MarkLeaving records that an incarnation of a target announced itself, rather than in its entry, that it is
// leaving, and reports whether the targets changed. A later entry of the same incarnation does not revert it.
func (l *TargetList) MarkLeaving(id, incarnation string) bool {
	known := l.entries[id]
	if known == nil || known.leaving || known.incarnation() != incarnation {
		return false
	}
	known.leaving = true
	l.OnChange(id, Drained, nil)
	return known.present
}

// incarnation identifies the start of the target.
func (r *record) incarnation() string { return Incarnation(r.ID, r.StartedAtMS) }

// Incarnation identifies a start of the target with an id.
func Incarnation(id string, startedAtMS int64) string {
	return id + "@" + strconv.FormatInt(startedAtMS, 10)
}

// Remove handles the removal of an entry and reports whether the targets changed. Around an outage
// of the platform, it keeps the target until Expire.
func (l *TargetList) Remove(id string) bool {
	known := l.entries[id]
	if known == nil || !known.present {
		return false
	}
	if l.platformLost || l.recovering() {
		known.removalPending = true
		return false
	}
	return l.remove(id)
}

// recovering reports whether the platform became reachable again less than RecoveryGrace ago.
func (l *TargetList) recovering() bool { return l.Now().Sub(l.restoredAt) < RecoveryGrace }

func (l *TargetList) remove(id string) bool {
	known := l.entries[id]
	if known == nil || !known.present {
		return false
	}
	known.present, known.removed, known.removalPending = false, true, false
	known.removedAt = l.Now()
	l.OnChange(id, Removed, nil)
	return true
}

// Retain receives the ids of all existing entries and handles all other entries as removed. It
// reports whether the targets changed.
func (l *TargetList) Retain(ids []string) bool {
	changed := false
	for _, id := range l.sortedIDs() {
		if !slices.Contains(ids, id) && l.Remove(id) {
			changed = true
		}
	}
	return changed
}

// Expire removes targets whose entries were removed around an outage and were not renewed within
// RecoveryGrace, and reports whether the targets changed. It forgets targets that were removed long ago.
func (l *TargetList) Expire() bool {
	if l.platformLost || l.recovering() {
		return false
	}
	changed := false
	for _, id := range l.sortedIDs() {
		known := l.entries[id]
		if known.removalPending {
			changed = l.remove(id) || changed
		}
		if known.removed && l.Now().Sub(known.removedAt) > removedRetention {
			delete(l.entries, id)
		}
	}
	return changed
}

// Targets returns the listed targets in the order of their ids.
func (l *TargetList) Targets() []Target {
	targets := make([]Target, 0, len(l.entries))
	for _, id := range l.sortedIDs() {
		known := l.entries[id]
		if !known.present {
			continue
		}
		t := known.Target
		t.Incarnation = known.incarnation()
		t.FirstSeen, t.ColdUntil, t.ColdUnknown = known.firstSeen, known.coldUntil, known.Cold == nil
		t.State = Live
		if known.leaving {
			t.State = Leaving
		}
		targets = append(targets, t)
	}
	return targets
}

func (l *TargetList) sortedIDs() []string {
	ids := make([]string, 0, len(l.entries))
	for id := range l.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}
