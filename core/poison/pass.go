package poison

import "cranberryrail/core/logs"

// Pass is the admission of one attempt. A crash during the attempt counts by what was known of the traits at admission.
type Pass struct {
	tracker *Tracker
	traits  Traits
	// probe is set if a trait is quarantined, and sent once the request may have reached a target.
	probe, sent bool
	// claimed holds the number of the claimed probe of each quarantined trait.
	claimed map[Trait]int64
	// known is the state at admission of the traits for which the tracker had an entry.
	known map[Trait]crashRecord
}

// newPass returns the admission of a request that is sent now.
func (t *Tracker) newPass(traits Traits, probe bool) *Pass {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &Pass{tracker: t, traits: traits, probe: probe}
	if len(t.traits) == 0 {
		return p
	}
	for _, trait := range traits.all() {
		if s := t.traits[trait]; s != nil {
			if p.known == nil {
				p.known = map[Trait]crashRecord{}
			}
			p.known[trait] = crashRecord{Epoch: s.epoch, Series: s.series()}
			if probe && s.quarantined {
				p.claim(trait, s.probes)
			}
		}
	}
	return p
}

// claim records the number of the claimed probe of a trait.
func (p *Pass) claim(trait Trait, probe int64) {
	if p.claimed == nil {
		p.claimed = map[Trait]int64{}
	}
	p.claimed[trait] = probe
}

// IsProbe reports whether the request was admitted although one of its traits is quarantined.
func (p *Pass) IsProbe() bool { return p.probe }

// Sent records that the request may have reached a target.
func (p *Pass) Sent() { p.sent = true }

// End ends the pass. If it was a probe that reached no target, the probe is not counted and may be repeated soon.
func (p *Pass) End() {
	if p == nil || p.tracker == nil || !p.probe || p.sent {
		return
	}
	t := p.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	for trait, probe := range p.claimed {
		if s := t.traits[trait]; s != nil && s.pending && s.probes == probe && s.epoch == p.known[trait].Epoch {
			t.publish(encode(string(trait), stateRecord{Epoch: s.epoch, Probe: s.probes, Unsent: s.unsent + 1}))
		}
	}
}

// Crashed reports that the target of the given incarnation crashed. It returns the length of the longest series of crashes that ends with this one. If
// the answer had begun, the parts of the prompt are not the cause.
func (p *Pass) Crashed(incarnation string, answerBegan bool) (series int) {
	if p.tracker == nil {
		return 0
	}
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	traits := p.tracker.quarantined(p.traits) // If there are any, they explain the crash.
	switch {
	case len(traits) > 0:
	case answerBegan:
		traits = p.traits.whole()
	default:
		traits = p.traits.all()
	}
	target := targetHash(incarnation)
	for _, trait := range traits {
		c := p.known[trait]
		c.Series++
		c.Label = p.traits.label(trait)
		p.tracker.addCrash(trait, target, c)
		p.tracker.publish(encode(crashKey(trait, target), c))
		series = max(series, c.Series)
	}
	return series
}

// AnswerBegan reports that the target began the answer, which clears the parts of the prompt.
func (p *Pass) AnswerBegan() { p.tracker.clear(p.traits.Parts) }

// Answered reports that the target completed the answer, which clears the request.
func (p *Pass) Answered() { p.tracker.clear(p.traits.all()) }

// publishedSeries is the series of crashes from which on its end is published. Shorter ones end at each instance with the answers
// that it sees.
const publishedSeries = 2

// clear ends the series of crashes of the traits.
func (t *Tracker) clear(traits []Trait) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.traits) == 0 {
		return
	}
	for _, trait := range traits {
		s := t.traits[trait]
		if s == nil || len(s.crashes) == 0 {
			continue
		}
		if s.series() < publishedSeries {
			clear(s.crashes)
			continue
		}
		epoch := s.epoch + 1
		for target := range s.crashes {
			t.publish(logs.Record{Key: crashKey(trait, target)})
		}
		t.publish(encode(string(trait), stateRecord{Epoch: epoch}))
		t.beginEpoch(trait, s, epoch)
	}
}
