package poison

import "time"

// suspicion is what is known of one trait.
type suspicion struct {
	// epoch counts the answers that ended a series of crashes. Crashes of requests that were sent in an earlier epoch don't
	// count.
	epoch int64
	// crashes holds the crashes of this epoch by the hash of the target's incarnation: the length of the series that each ended.
	crashes map[string]int
	// probes counts the claims of probes of this epoch, failed those under which targets crashed, and unsent those that reached no target.
	// A claim is pending until its outcome is known, or until it is too old.
	probes, failed, unsent int64
	pending                bool
	// label is the id of the part; empty for the trait of the whole content.
	label string
	// changedAt is when the last crash or probe became known, claimedAt when this instance last claimed a probe, and unsentAt when it
	// became known that the last probe had reached no target; zero otherwise.
	changedAt, claimedAt, unsentAt time.Time
	// quarantined is set once the limit was reached, until the next epoch.
	quarantined bool
}

// series returns the length of the longest series of crashes.
func (s *suspicion) series() int {
	longest := 0
	for _, n := range s.crashes {
		longest = max(longest, n)
	}
	return longest
}

// begin starts an epoch.
func (s *suspicion) begin(epoch int64) {
	s.epoch, s.probes, s.failed, s.unsent, s.pending, s.quarantined = epoch, 0, 0, 0, false, false
	s.unsentAt = time.Time{}
	clear(s.crashes)
}

// addCrash records a crash that ended a series.
func (s *suspicion) addCrash(target string, epoch int64, series int, now time.Time) {
	if epoch < s.epoch {
		return
	}
	if epoch > s.epoch {
		s.begin(epoch)
	}
	if s.crashes[target] >= series {
		return // it was known
	}
	if len(s.crashes) >= maxCrashes && s.crashes[target] == 0 && series <= s.series() {
		return
	}
	s.crashes[target], s.changedAt = series, now
	if s.pending {
		s.failed, s.pending = s.failed+1, false
	}
}

// addProbe records a probe and reports whether it is a new one, rather than a claim that came second.
func (s *suspicion) addProbe(epoch, probe int64, now time.Time) bool {
	if epoch != s.epoch || probe <= s.probes {
		return false
	}
	s.probes, s.pending, s.changedAt, s.unsentAt = probe, true, now, time.Time{}
	return true
}

// addUnsent records that the last probe reached no target.
func (s *suspicion) addUnsent(epoch, unsent int64, now time.Time) {
	if epoch == s.epoch && unsent > s.unsent {
		s.unsent, s.pending, s.unsentAt = unsent, false, now
	}
}

// mustQuarantine reports whether the trait has crashed too many targets. For whole requests, crashes outside a series count as well, since
// repeats of one request are seldom at several targets that crash for another reason.
func (s *suspicion) mustQuarantine(trait Trait, limit int) bool {
	return s.series() >= limit || !trait.isPart() && len(s.crashes) >= limit
}

// mayProbe reports whether a probe is left.
func (s *suspicion) mayProbe(trait Trait) bool {
	return trait.isPart() || s.probes-s.unsent < maxRequestProbes
}

// probePauseFactor is the factor by which the time to the next probe grows with each that crashed a target.
const probePauseFactor = 8

// probeAt returns when the next probe may be claimed. The pause is that before the first one. If no series of crashes reached the limit, the first
// probe may be claimed at once.
func (s *suspicion) probeAt(pause, maxPause time.Duration, limit int) time.Time {
	if s.pending {
		return s.changedAt.Add(pendingProbe)
	}
	if !s.unsentAt.IsZero() {
		return s.unsentAt.Add(claimPause)
	}
	if s.failed == 0 && s.series() < limit {
		pause = 0
	}
	for n := s.failed; n > 0 && pause < maxPause; n-- {
		pause *= probePauseFactor
	}
	at := s.changedAt.Add(min(pause, maxPause))
	if again := s.claimedAt.Add(claimPause); again.After(at) {
		return again
	}
	return at
}
