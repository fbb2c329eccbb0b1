package poison

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cranberryrail/core/logs"
)

// Tracker decides which requests may be sent to targets. Exported fields are set before Default. It is safe for concurrent
// use. A nil Tracker admits all requests.
type Tracker struct {
	// Incarnation is the incarnation of this instance.
	Incarnation string
	// Publish queues a record for all instances, this one included; nil if there are no others. Pending returns the records that
	// were queued and are not known to be in the log; optional.
	Publish func(r logs.Record)
	Pending func() []logs.Record
	// Limit is the series of crashes after which a trait is quarantined.
	Limit int
	// ProbePause is the time from the last crash to the first probe, and MaxProbePause bounds the time to later ones.
	ProbePause, MaxProbePause time.Duration
	// Retention is how long crashes are remembered.
	Retention time.Duration
	// ClaimTimeout bounds the wait for the right to send a probe.
	ClaimTimeout time.Duration
	// OnChange is called when a trait is quarantined or released; optional.
	OnChange func(trait Trait, label string, quarantined bool, crashes int)
	// OnInvalid is called with a record that can't be decoded; optional.
	OnInvalid func(key string, err error)

	mu     sync.Mutex
	traits map[Trait]*suspicion
	// before holds what was known before Reset while it runs.
	before map[Trait]*suspicion
	// claims holds a channel for each trait that this instance claims a probe of; it is closed if the claim succeeds.
	claims map[Trait]chan struct{}
}

// String returns the name of the tracker for logs.
func (t *Tracker) String() string { return "tracker of requests that crash targets" }

// Default sets unset fields to their defaults.
func (t *Tracker) Default() {
	if t.Limit == 0 {
		t.Limit = DefaultLimit
	}
	if t.ProbePause == 0 {
		t.ProbePause = DefaultProbePause
	}
	if t.MaxProbePause == 0 {
		t.MaxProbePause = DefaultMaxProbePause
	}
	if t.Retention == 0 {
		t.Retention = DefaultRetention
	}
	if t.ClaimTimeout == 0 {
		t.ClaimTimeout = DefaultClaimTimeout
	}
	if t.OnChange == nil {
		t.OnChange = func(Trait, string, bool, int) {}
	}
	if t.Pending == nil {
		t.Pending = func() []logs.Record { return nil }
	}
	if t.OnInvalid == nil {
		t.OnInvalid = func(string, error) {}
	}
	t.traits, t.claims = map[Trait]*suspicion{}, map[Trait]chan struct{}{}
}

// Check returns a *QuarantineError if a request may not be sent now.
func (t *Tracker) Check(traits Traits) error {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := t.dueProbes(traits)
	return err
}

// quarantined returns the quarantined traits of a request.
func (t *Tracker) quarantined(traits Traits) []Trait {
	if len(t.traits) == 0 {
		return nil
	}
	var found []Trait
	for _, trait := range traits.all() {
		if s := t.traits[trait]; s != nil && s.quarantined {
			found = append(found, trait)
		}
	}
	return found
}

// Admit admits a request before it is sent to a target. The error is a *QuarantineError if it may not be sent. If the
// request is a probe, Admit waits for the right to send it.
func (t *Tracker) Admit(ctx context.Context, traits Traits) (*Pass, error) {
	if t == nil {
		return &Pass{}, nil
	}
	t.mu.Lock()
	due, err := t.dueProbes(traits)
	if err != nil {
		t.mu.Unlock()
		return nil, err
	}
	claims := make([]chan struct{}, 0, len(due))
	for _, trait := range due {
		claims = append(claims, t.claim(trait))
	}
	t.mu.Unlock()
	for i, trait := range due {
		if !t.await(ctx, claims[i]) {
			return nil, t.claimLost(traits, trait)
		}
	}
	return t.newPass(traits, len(due) > 0), nil
}

// AdmitAgain admits another attempt of a request, given the pass of the one before, which reached no target. A request that was admitted as a probe remains one.
func (t *Tracker) AdmitAgain(ctx context.Context, last *Pass) (*Pass, error) {
	if last.probe {
		return last, nil
	}
	return t.Admit(ctx, last.traits)
}

// Expire forgets traits whose last crash is longer ago than the retention, and removes their records from the topic. Instances do so at
// different times, so that usually one of them removes the records for all.
func (t *Tracker) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for trait, s := range t.traits {
		if time.Since(s.changedAt) < t.Retention+rand.N(t.Retention) {
			continue
		}
		for target := range s.crashes {
			t.publish(logs.Record{Key: crashKey(trait, target)})
		}
		t.publish(logs.Record{Key: string(trait)})
		delete(t.traits, trait)
	}
}
