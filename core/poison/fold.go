package poison

import (
	"slices"
	"time"

	"cranberryrail/core/logs"
)

// fold applies a record of the topic. Records of one key may come again, and a Reset delivers the newest ones in any
// order.
func (t *Tracker) fold(r logs.Record) error {
	trait, target, isCrash, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 {
		t.forget(trait, target, isCrash)
		return nil
	}
	if isCrash {
		c, err := decodeCrash(r.Value)
		if err != nil {
			return err
		}
		t.addCrash(trait, target, c)
		return nil
	}
	state, err := decodeState(r.Value)
	if err != nil {
		return err
	}
	t.applyState(trait, state)
	return nil
}

// addCrash records a crash.
func (t *Tracker) addCrash(trait Trait, target string, c crashRecord) {
	s := t.suspicion(trait)
	s.addCrash(target, c.Epoch, c.Series, time.Now())
	if c.Label != "" {
		s.label = c.Label
	}
	if !s.quarantined && s.mustQuarantine(trait, t.Limit) {
		s.quarantined = true
		if known := t.before[trait]; known == nil || !known.quarantined {
			t.OnChange(trait, s.label, true, len(s.crashes))
		}
	}
}

// suspicion returns what is known of a trait, a new value if nothing is.
func (t *Tracker) suspicion(trait Trait) *suspicion {
	s := t.traits[trait]
	if s == nil {
		if len(t.traits) >= maxTraits {
			t.evict()
		}
		s = &suspicion{crashes: map[string]int{}, changedAt: time.Now()}
		t.traits[trait] = s
	}
	return s
}

// evict forgets the trait that changed least recently among those that are not quarantined, or among all if all are.
func (t *Tracker) evict() {
	var oldest Trait
	var found *suspicion
	for trait, s := range t.traits {
		if found == nil || found.quarantined && !s.quarantined || found.quarantined == s.quarantined && s.changedAt.Before(found.changedAt) {
			oldest, found = trait, s
		}
	}
	delete(t.traits, oldest)
}

// applyState applies the begin of an epoch or the claim of a probe.
func (t *Tracker) applyState(trait Trait, r stateRecord) {
	s := t.suspicion(trait)
	if r.Epoch > s.epoch {
		t.beginEpoch(trait, s, r.Epoch)
	}
	s.addUnsent(r.Epoch, r.Unsent, time.Now())
	if r.Probe == 0 || !s.addProbe(r.Epoch, r.Probe, time.Now()) {
		return
	}
	if claim := t.claims[trait]; claim != nil {
		delete(t.claims, trait)
		if r.By == t.Incarnation {
			close(claim)
		}
	}
}

// beginEpoch ends a series of crashes of a trait.
func (t *Tracker) beginEpoch(trait Trait, s *suspicion, epoch int64) {
	released, crashes := s.quarantined, len(s.crashes)
	s.begin(epoch)
	s.changedAt = time.Now()
	if released {
		t.OnChange(trait, s.label, false, crashes)
	}
}

// forget removes what a record held whose key was removed.
func (t *Tracker) forget(trait Trait, target string, isCrash bool) {
	s := t.traits[trait]
	switch {
	case s == nil:
	case isCrash:
		delete(s.crashes, target)
	case len(s.crashes) == 0:
		delete(t.traits, trait)
	}
}

// Apply applies records of the topic in order.
func (t *Tracker) Apply(records []logs.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if err := t.fold(r); err != nil {
			t.OnInvalid(r.Key, err)
		}
	}
}

// Reset replaces all that is known by the newest records of the topic and those that are not published yet.
func (t *Tracker) Reset(records []logs.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.before, t.traits = t.traits, map[Trait]*suspicion{}
	defer func() { t.before = nil }()
	for _, r := range slices.Concat(records, t.Pending()) {
		if err := t.fold(r); err != nil {
			t.OnInvalid(r.Key, err)
		}
	}
	for trait, s := range t.traits {
		// The outcome of earlier probes is not known. They are taken to have failed, so that a restart does not bring the
		// next one forward.
		s.failed, s.pending = s.probes-s.unsent, false
		if known := t.before[trait]; known != nil && known.quarantined && s.quarantined {
			s.changedAt, s.claimedAt = known.changedAt, known.claimedAt
		}
	}
}
