package poison

import (
	"context"
	"time"
)

// dueProbes returns the quarantined traits of a request whose next probe is due. It returns a *QuarantineError if the probe of one
// of them is not.
func (t *Tracker) dueProbes(traits Traits) ([]Trait, error) {
	due := t.quarantined(traits)
	for _, trait := range due {
		s := t.traits[trait]
		pause := t.ProbePause
		if len(due) > 1 {
			pause *= ambiguousFactor
		}
		if left := time.Until(t.nextProbe(trait, s, pause)); left > 0 {
			return nil, &QuarantineError{Trait: trait, Label: traits.label(trait), Crashes: len(s.crashes), RetryAfter: left}
		}
	}
	return due, nil
}

// nextProbe returns when the next probe of a trait may be claimed, or when the trait expires if no probe is left.
func (t *Tracker) nextProbe(trait Trait, s *suspicion, pause time.Duration) time.Time {
	if !s.pending && !s.mayProbe(trait) {
		return s.changedAt.Add(t.Retention)
	}
	return s.probeAt(pause, t.MaxProbePause, t.Limit)
}

// claim claims the next probe of a trait. It returns nil if another request claims it.
func (t *Tracker) claim(trait Trait) chan struct{} {
	if t.claims[trait] != nil {
		return nil
	}
	claim := make(chan struct{})
	t.claims[trait] = claim
	s := t.traits[trait]
	s.claimedAt = time.Now()
	t.publish(encode(string(trait), stateRecord{Epoch: s.epoch, Probe: s.probes + 1, Unsent: s.unsent, By: t.Incarnation}))
	return claim
}

// await reports whether a claim succeeded in time.
func (t *Tracker) await(ctx context.Context, claim chan struct{}) bool {
	if claim == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, t.ClaimTimeout)
	defer cancel()
	select {
	case <-claim:
		return true
	case <-ctx.Done():
		return false
	}
}

// claimLost returns the error for a request whose claim of a probe did not succeed in time.
func (t *Tracker) claimLost(traits Traits, trait Trait) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.claims, trait)
	e := &QuarantineError{Trait: trait, Label: traits.label(trait), RetryAfter: t.ClaimTimeout}
	if s := t.traits[trait]; s != nil {
		e.Crashes = len(s.crashes)
		e.RetryAfter = max(e.RetryAfter, time.Until(t.nextProbe(trait, s, t.ProbePause)))
	}
	return e
}
