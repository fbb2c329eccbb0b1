package poison

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cranberryrail/core/logs"
)

// Tracker decides which requests may be sent to targets. Exported fields are set before Default. It is safe for concurrent
// use. A nil Tracker admits all requests.
type Tracker struct {
	// Incarnation is the incarnation of this instance.
	Incarnation string
	// Alone is set if the instance exchanges no records with others, so that nothing is published.
	Alone bool
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
	// inFlight holds the records that are being published, and queue those that follow. signal has an element if records were queued,
	// and dropped is set if some were dropped.
	inFlight, queue []logs.Record
	signal          chan struct{}
	dropped         bool
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
	if t.OnInvalid == nil {
		t.OnInvalid = func(string, error) {}
	}
	t.traits, t.claims = map[Trait]*suspicion{}, map[Trait]chan struct{}{}
	t.signal = make(chan struct{}, 1)
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
		if left := time.Until(s.probeAt(pause, t.MaxProbePause)); left > 0 {
			return nil, &QuarantineError{Trait: trait, Label: traits.label(trait), Crashes: len(s.crashes), RetryAfter: left}
		}
	}
	return due, nil
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

// AdmitAgain admits another attempt of a request, given the pass of the one before, which reached no target. A probe stays one.
func (t *Tracker) AdmitAgain(ctx context.Context, last *Pass) (*Pass, error) {
	if last.probe {
		return last, nil
	}
	return t.Admit(ctx, last.traits)
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
	t.publish(encode(string(trait), stateRecord{Epoch: s.epoch, Probe: s.probes + 1, By: t.Incarnation}))
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
		e.RetryAfter = max(e.RetryAfter, time.Until(s.probeAt(t.ProbePause, t.MaxProbePause)))
	}
	return e
}

// addCrash records a crash.
func (t *Tracker) addCrash(trait Trait, target string, c crashRecord) {
	s := t.suspicion(trait)
	s.addCrash(target, c.Epoch, c.Series, time.Now())
	if c.Label != "" {
		s.label = c.Label
	}
	if !s.quarantined && s.series() >= t.Limit {
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
	for _, r := range slices.Concat(records, t.inFlight, t.queue) {
		if err := t.fold(r); err != nil {
			t.OnInvalid(r.Key, err)
		}
	}
	for trait, s := range t.traits {
		// The outcome of earlier probes is not known. They are taken to have failed, so that a restart does not bring the
		// next one forward.
		s.failed, s.pending = s.probes, false
		if known := t.before[trait]; known != nil && known.quarantined && s.quarantined {
			s.changedAt, s.claimedAt = known.changedAt, known.claimedAt
		}
	}
}

// Republish queues all that is known, after the log was restored from an older copy. It is called before Reset.
func (t *Tracker) Republish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for trait, s := range t.traits {
		if s.epoch > 0 || s.probes > 0 {
			t.publish(encode(string(trait), stateRecord{Epoch: s.epoch, Probe: s.probes}))
		}
		for target, series := range s.crashes {
			t.publish(encode(crashKey(trait, target), crashRecord{Epoch: s.epoch, Series: series, Label: s.label}))
		}
	}
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

// Quarantine describes a quarantined trait.
type Quarantine struct {
	Trait Trait `json:"trait"`
	// Part is the id of the part; empty for requests with the same content.
	Part    string `json:"part,omitempty"`
	Crashes int    `json:"crashes"`
	Probes  int64  `json:"probes"`
	// NextProbeMS is the time until a request with the trait may be sent, in milliseconds; 0 if one may be.
	NextProbeMS int64 `json:"next_probe_ms"`
}

// Quarantines returns the quarantined traits in ascending order.
func (t *Tracker) Quarantines() []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []Quarantine{}
	for trait, s := range t.traits {
		if s.quarantined {
			left := time.Until(s.probeAt(t.ProbePause, t.MaxProbePause))
			list = append(list, Quarantine{Trait: trait, Part: s.label, Crashes: len(s.crashes), Probes: s.probes, NextProbeMS: max(left, 0).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Trait, b.Trait) })
	return list
}
