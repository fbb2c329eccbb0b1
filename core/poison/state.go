package poison

import (
	"cmp"
	"slices"
	"time"
)

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
			left := time.Until(t.nextProbe(trait, s, t.ProbePause))
			list = append(list, Quarantine{Trait: trait, Part: s.label, Crashes: len(s.crashes), Probes: s.probes, NextProbeMS: max(left, 0).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Trait, b.Trait) })
	return list
}
