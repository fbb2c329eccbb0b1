// Package burn measures the rate at which organisations consume the error budgets of their service-level objectives,
// over several windows. Each instance counts the requests that it served; the counts of all instances are merged into
// one report.
//
// The objectives count these events:
//
//   - first_token: answers with at least one token; good if the first token arrived in time.
//   - token_gap: answers with more than one token; good if the mean time between tokens was within the limit.
//   - availability: all requests; good if the answer was complete.
//   - false_refusals: all requests; good unless the request was refused although the budget may have covered it.
//
// A request that failed for a reason on the caller's side is excluded from all objectives: it is neither good nor bad,
// so that errors of callers can't hide errors of the system.
package burn

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
)

// Bucket widths and lengths of the rings, and the step of the reported series.
const (
	fineWidth    = 10 * time.Second
	fineLength   = 5 * time.Minute
	middleWidth  = time.Minute
	middleLength = time.Hour
	coarseWidth  = 15 * time.Minute
	coarseLength = 72 * time.Hour
	seriesStep   = time.Hour
)

// Sample is the result of one request.
type Sample struct {
	Organisation string
	// FirstToken is the time to the first token; it is 0 if there was none.
	FirstToken time.Duration
	// Gap is the mean time between tokens; it is 0 if there were fewer than two.
	Gap time.Duration
	// Complete reports whether the caller received the complete answer.
	Complete bool
	// FalseRefusal reports whether the request was refused although the budget may have covered it.
	FalseRefusal bool
	// Excluded reports whether the request ended for a reason on the caller's side, such as an invalid request, an
	// exhausted budget or a disconnected caller.
	Excluded bool
}

// Refusal returns the sample of a request that ended with a result code. Codes for errors of the caller are excluded; a
// refusal because other instances hold the budget or because this one has no usable copy of the ledger is a false
// refusal.
func Refusal(organisation string, c codes.Code) Sample {
	s := Sample{Organisation: organisation}
	switch c {
	case codes.BudgetElsewhere, codes.LedgerStale:
		s.FalseRefusal = true
	case codes.BudgetExhausted, codes.BudgetUnknown, codes.KeyReused, codes.KeyMissing:
		s.Excluded = true
	default:
		s.Excluded = c.Number/1000 == 1
	}
	return s
}

// Meter counts the requests of one instance. Exported fields are set before Default. The methods are safe for
// concurrent use.
type Meter struct {
	// Instance is the id of the instance.
	Instance string
	// Objectives returns the objectives of an organisation, or false if it has no template; its requests are then not
	// counted.
	Objectives func(organisation string) (conf.Objectives, bool)
	// Now returns the current time.
	Now func() time.Time

	mu            sync.Mutex
	since         time.Time
	organisations map[string]*organisationCounts
}

// organisationCounts holds the counts of one organisation.
type organisationCounts struct {
	fine, middle, coarse ring
	firstToken, gap      rollingHistogram
}

// String returns the name of the meter for logs.
func (m *Meter) String() string { return "burn meter of " + m.Instance }

// Default initialises the counts.
func (m *Meter) Default() {
	m.since = m.Now()
	m.organisations = map[string]*organisationCounts{}
}

// Observe counts one request.
func (m *Meter) Observe(s Sample) {
	if s.Excluded {
		return
	}
	objectives, ok := m.Objectives(s.Organisation)
	if !ok {
		return
	}
	now := m.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.organisations[s.Organisation]
	if r == nil {
		r = newOrganisationCounts()
		m.organisations[s.Organisation] = r
	}
	r.observe(now, s, objectives)
}

func newOrganisationCounts() *organisationCounts {
	return &organisationCounts{
		fine:   newRing(fineWidth, fineLength),
		middle: newRing(middleWidth, middleLength),
		coarse: newRing(coarseWidth, coarseLength),
	}
}

func (r *organisationCounts) observe(now time.Time, s Sample, objectives conf.Objectives) {
	for _, ring := range []*ring{&r.fine, &r.middle, &r.coarse} {
		b := ring.bucketAt(now)
		b[availability].add(s.Complete)
		b[falseRefusals].add(!s.FalseRefusal)
		if s.FirstToken > 0 {
			b[firstToken].add(s.FirstToken <= milliseconds(objectives.FirstTokenMS))
		}
		if s.Gap > 0 {
			b[tokenGap].add(s.Gap <= milliseconds(objectives.TokenGapMS))
		}
	}
	if s.FirstToken > 0 {
		r.firstToken.record(now, s.FirstToken)
	}
	if s.Gap > 0 {
		r.gap.record(now, s.Gap)
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Report returns the counts of this instance. The counts of organisations without a template are discarded.
func (m *Meter) Report(now time.Time) InstanceReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := InstanceReport{Instance: m.Instance, Since: m.since, At: now}
	for _, name := range slices.Sorted(maps.Keys(m.organisations)) {
		objectives, ok := m.Objectives(name)
		if !ok {
			delete(m.organisations, name)
			continue
		}
		report.Organisations = append(report.Organisations, m.organisations[name].report(now, name, objectives))
	}
	return report
}

func (r *organisationCounts) report(now time.Time, name string, objectives conf.Objectives) Organisation {
	o := Organisation{Organisation: name, FirstToken: r.firstToken.latency(now), TokenGap: r.gap.latency(now)}
	targets := [objectiveCount]float64{objectives.TargetRatio, objectives.TargetRatio, objectives.AvailabilityRatio, objectives.FalseRefusalRatio}
	series := r.coarse.series(now, seriesStep)
	for i, objective := range Objectives() {
		o.Levels = append(o.Levels, Level{Objective: objective, TargetRatio: targets[i], Series: series[i]})
	}
	for _, s := range windowSpecs {
		for i, c := range s.ring(r).sum(now, s.length) {
			o.Levels[i].Windows = append(o.Levels[i].Windows, Window{Window: s.name, Count: c})
		}
	}
	for i := range o.Levels {
		o.Levels[i].evaluate()
	}
	return o
}
