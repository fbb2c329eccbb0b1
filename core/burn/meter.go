// Package burn measures how fast organisations use up the error budgets of their
// service-level objectives, over several windows at once. Each instance counts what
// it served; the counts of all instances merge into one report.
//
// What counts towards which objective:
//
//   - first_token: answers that had a first token, good when it came in time.
//   - token_gap: answers with more than one token, good when the mean gap was kept.
//   - availability: all requests, good when answered whole.
//   - false_refusals: all requests, good unless refused although the budget may
//     have covered them.
//
// A request that ended for a cause of the caller's own counts towards nothing: it
// is neither good nor bad, so that a caller's faults can't hide the system's.
package burn

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
)

// Spans of the rings.
const (
	fineWidth    = 10 * time.Second
	fineLength   = 5 * time.Minute
	middleWidth  = time.Minute
	middleLength = time.Hour
	coarseWidth  = 15 * time.Minute
	coarseLength = 72 * time.Hour
	seriesStep   = time.Hour
)

// Sample is what became of one request.
type Sample struct {
	Organisation string
	// FirstToken is the time to the first token; 0 when there was none.
	FirstToken time.Duration
	// Gap is the mean time between tokens; 0 when there were fewer than two.
	Gap time.Duration
	// Whole tells that the caller got the whole answer.
	Whole bool
	// FalseRefusal tells that it was refused although the budget may have covered it.
	FalseRefusal bool
	// Excluded tells that it ended for a cause of the caller's own, such as a refusal
	// of a faulty request, an exhausted budget or a caller that went away.
	Excluded bool
}

// Refusal returns the sample of a request that ended with a code. Codes that are
// the caller's own cause are excluded; a budget that is held elsewhere or can't be
// read makes a false refusal.
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

// Meter counts the requests of one instance. Exported fields are set before Default;
// its methods may be called from any goroutine.
type Meter struct {
	// Instance is the id of the instance.
	Instance string
	// Objectives returns the objectives of an organisation, and false when it has no
	// template; its requests are not counted then.
	Objectives func(organisation string) (conf.Objectives, bool)
	// Now returns the time.
	Now func() time.Time

	mu            sync.Mutex
	since         time.Time
	organisations map[string]*record
}

// record is what is counted for one organisation.
type record struct {
	fine, middle, coarse ring
	firstToken, gap      recent
}

// String names the meter for logs.
func (m *Meter) String() string { return "burn meter of " + m.Instance }

// Default starts the counts.
func (m *Meter) Default() {
	m.since = m.Now()
	m.organisations = map[string]*record{}
}

// Observe counts one request.
func (m *Meter) Observe(s Sample) {
	if s.Excluded {
		return
	}
	goals, ok := m.Objectives(s.Organisation)
	if !ok {
		return
	}
	now := m.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.organisations[s.Organisation]
	if r == nil {
		r = newRecord()
		m.organisations[s.Organisation] = r
	}
	r.observe(now, s, goals)
}

func newRecord() *record {
	return &record{
		fine:   newRing(fineWidth, fineLength),
		middle: newRing(middleWidth, middleLength),
		coarse: newRing(coarseWidth, coarseLength),
	}
}

func (r *record) observe(now time.Time, s Sample, goals conf.Objectives) {
	for _, ring := range []*ring{&r.fine, &r.middle, &r.coarse} {
		b := ring.at(now)
		b[availability].add(s.Whole)
		b[falseRefusals].add(!s.FalseRefusal)
		if s.FirstToken > 0 {
			b[firstToken].add(s.FirstToken <= milliseconds(goals.FirstTokenMS))
		}
		if s.Gap > 0 {
			b[tokenGap].add(s.Gap <= milliseconds(goals.TokenGapMS))
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

// Report returns the counts of this instance. Organisations without a template are
// forgotten.
func (m *Meter) Report(now time.Time) InstanceReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := InstanceReport{Instance: m.Instance, Since: m.since, At: now}
	for _, name := range slices.Sorted(maps.Keys(m.organisations)) {
		goals, ok := m.Objectives(name)
		if !ok {
			delete(m.organisations, name)
			continue
		}
		report.Organisations = append(report.Organisations, m.organisations[name].report(now, name, goals))
	}
	return report
}

func (r *record) report(now time.Time, name string, goals conf.Objectives) Organisation {
	o := Organisation{Organisation: name, FirstToken: r.firstToken.latency(now), TokenGap: r.gap.latency(now)}
	targets := [objectives]float64{goals.TargetRatio, goals.TargetRatio, goals.AvailabilityRatio, goals.FalseRefusalRatio}
	series := r.coarse.series(now, seriesStep)
	for i, objective := range Objectives() {
		o.Levels = append(o.Levels, Level{Objective: objective, TargetRatio: targets[i], Series: series[i]})
	}
	for _, s := range spans {
		for i, c := range s.ring(r).sum(now, s.length) {
			o.Levels[i].Windows = append(o.Levels[i].Windows, Window{Window: s.name, Count: c})
		}
	}
	for i := range o.Levels {
		o.Levels[i].judge()
	}
	return o
}
