package cost

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds of the memory of a Model: several times the routes with organisations and the targets of a large fleet, and the prompt parts that an
// instance sends one target within minutes. Together they take less than 4 MB.
const (
	maxOutputs  = 2048
	maxServices = 256
	maxTargets  = 512
	maxParts    = 64
	// maxModelBytes is the length of the part of a model's name that distinguishes it. Callers may state longer ones.
	maxModelBytes = 64
)

// Weights of priors, in observations. Below about as many observations, an estimate is mostly that of the group above.
const (
	organisationWeight = 8
	routeWeight        = 4
	hintWeight         = 20
	speedWeight        = 10
	targetWeight       = 4
	// targetMemory is the number of observations of a target that count, so that a changed speed is learned before the decay where there are many.
	targetMemory = 6
)

// Priors that apply before the first observations.
const (
	priorVariance    = 1.0  // of the logarithm of outputs
	priorOutputShare = 0.25 // of the maximum output
	priorOutput      = 100.0
	priorBaseMS      = 30.0
	priorPerTokenMS  = 1.0 / 70
	priorStepMS      = 3.5
	// trustDecay is short so that speeds which all change at once are soon no longer trusted.
	trustDecay = 8 * time.Second
	// batchSlowdown is by how much each other request of a batch delays a step, in proportion.
	batchSlowdown = 0.04
)

// Bounds of observations. One odd observation must not outweigh all others.
const (
	maxRatio      = 8.0
	maxTimeMS     = 60_000.0
	maxTokens     = 1 << 20
	p90Deviations = 1.2816 // of a normal distribution
)

// Model learns the output lengths of requests and the speed of targets. Exported fields are set before Default.
type Model struct {
	// Decay is the time constant with which observations are forgotten.
	Decay time.Duration
	// Now returns the current time.
	Now func() time.Time

	outputs  *simplelru.LRU[string, *moments]
	services *simplelru.LRU[string, *speed]
	targets  *simplelru.LRU[string, *learned]
}

// speed is what is learned of a service, or of a route of plain requests.
type speed struct {
	// first pairs prompt tokens with the time to the first event, step holds times of output tokens as y, and pace pairs the logarithms of the
	// reported pace and of the time in proportion to what was expected without it.
	first, step, pace moments
	// trust pairs logarithms of times of targets in proportion to the usual one: what was learned and what was observed then.
	trust moments
}

// learned is what is learned of a target.
type learned struct {
	// ratio holds logarithms of the time in proportion to the usual one as y.
	ratio moments
	// parts holds hashes of the beginnings of prompts that the target has read.
	parts *simplelru.LRU[uint64, struct{}]
}

// String returns the name of the model for logs.
func (m *Model) String() string { return "model of the cost of requests" }

// Default sets the defaults of empty fields.
func (m *Model) Default() {
	if m.Decay == 0 {
		m.Decay = DefaultDecay
	}
	if m.Now == nil {
		m.Now = time.Now
	}
	m.outputs, _ = simplelru.NewLRU[string, *moments](maxOutputs, nil) // fails only for a size below 1
	m.services, _ = simplelru.NewLRU[string, *speed](maxServices, nil)
	m.targets, _ = simplelru.NewLRU[string, *learned](maxTargets, nil)
}

// Estimate returns what a request is expected to need.
func (m *Model) Estimate(r *Request) Estimate {
	now := m.Now()
	e := Estimate{Base: priorBaseMS, paceEffect: 1, speedEffect: 1}
	if !r.IsPlain() {
		e.PerToken, e.Step, e.batchEffect = priorPerTokenMS, priorStepMS, batchSlowdown
		m.estimateOutput(r, &e, now)
	}
	s, known := m.services.Get(speedKey(r))
	if !known {
		return e
	}
	for _, learnt := range []*moments{&s.first, &s.step, &s.pace} {
		learnt.decay(now, m.Decay)
	}
	e.Seen = s.first.n
	e.paceEffect = min(max(s.pace.slope(speedWeight, 1), 0), 1)
	s.trust.decay(now, trustDecay)
	e.speedEffect = min(max(s.trust.slope(speedWeight, 1), 0), 1)
	meanTokens, meanFirst := s.first.means(routeWeight, 0, priorBaseMS)
	if r.IsPlain() {
		e.Base = meanFirst
		return e
	}
	e.PerToken = max(s.first.slope(speedWeight, priorPerTokenMS), 0)
	e.Base = max(meanFirst-e.PerToken*meanTokens, 0)
	_, e.Step = s.step.means(speedWeight, 0, priorStepMS)
	return e
}

// estimateOutput estimates the output as log-normal. The hint counts as far as outputs have followed hints on the route.
func (m *Model) estimateOutput(r *Request, e *Estimate, now time.Time) {
	prior := priorOutput
	if r.MaxOutput > 0 {
		prior = priorOutputShare * float64(r.MaxOutput)
	}
	var byRoute, byOrganisation moments
	if known, ok := m.outputs.Get(r.Route); ok {
		known.decay(now, m.Decay)
		byRoute = *known
	}
	if known, ok := m.outputs.Get(organisationKey(r)); ok {
		known.decay(now, m.Decay)
		byOrganisation = *known
	}
	hint := logTokens(r.Hint)
	x, y := byRoute.means(routeWeight, hint, logTokens(int64(prior)))
	x, y = byOrganisation.means(organisationWeight, x, y)
	_, covariance, variance := byRoute.covariances()
	variance = (byRoute.n*variance + routeWeight*priorVariance) / (byRoute.n + routeWeight)
	if r.Hint > 0 {
		slope := min(max(byRoute.slope(hintWeight, 0), 0), 1)
		y += slope * (hint - x)
		variance -= min(max(slope*covariance, 0), variance)
	}
	limit := math.Inf(1)
	if r.MaxOutput > 0 {
		limit = float64(r.MaxOutput)
	}
	e.P50 = min(math.Exp(y), limit)
	e.P90 = min(math.Exp(y+p90Deviations*math.Sqrt(variance)), limit)
	e.Mean = min(math.Exp(y+variance/2), limit)
}

// Plan returns the expected course of a request at a target. Of the prompt parts that others share, the target is assumed to have cached at least the
// fraction credit.
func (m *Model) Plan(r *Request, e *Estimate, target string, w Wait, credit float64) Plan {
	p := Plan{Request: r, Estimate: e, Target: target, Wait: w, Tokens: float64(max(r.Prompt, 0))}
	ratio, cached := 0.0, credit*shared(r)
	if t, known := m.targets.Get(target); known {
		cached = max(cached, t.cached(r))
		t.ratio.decay(m.Now(), m.Decay)
		_, ratio = t.ratio.means(targetWeight, 0, 0)
	}
	p.Tokens = max(p.Tokens-cached, 0)
	factor := math.Exp(e.speedEffect*ratio) * p.reported()
	p.Slot = factor * w.SlotMS
	p.First = factor*p.usualFirst() + p.Slot
	p.Total = p.First + factor*e.Decode()*p.batch()
	return p
}

// usualFirst returns the time to the first event on a target of usual speed with a free slot.
func (p *Plan) usualFirst() float64 {
	return p.batch() * (p.Estimate.Base + p.Estimate.PerToken*(p.Tokens+p.Wait.Tokens))
}

// usualWork returns the time that the request takes on a target of usual speed without waiting.
func (p *Plan) usualWork() float64 {
	return p.batch() * (p.Estimate.Base + p.Estimate.PerToken*p.Tokens + p.Estimate.Decode())
}

// batch returns the slowdown by other requests.
func (p *Plan) batch() float64 { return 1 + p.Estimate.batchEffect*p.Wait.Requests }

// reported returns the slowdown by the pace of the machine, as far as it has proved right.
func (p *Plan) reported() float64 {
	return math.Exp(p.Estimate.paceEffect * p.Wait.LogPace)
}

// Sent records that a target reads the prompt of a request.
func (m *Model) Sent(target string, r *Request) {
	if r.IsPlain() || len(r.Parts) < 2 {
		return
	}
	t := m.target(target)
	forPrefixes(r, func(hash uint64, _ int) bool {
		t.parts.Add(hash, struct{}{})
		return true
	})
}

// Forget drops what is known of a target after a restart, which empties its cache.
func (m *Model) Forget(target string) { m.targets.Remove(target) }

// Observe learns from a complete response.
func (m *Model) Observe(o *Outcome) {
	now, r := m.Now(), o.Request
	if !r.IsPlain() && o.Output > 0 && !r.Resumed {
		m.observeOutput(r.Route, r, o.Output, now)
		m.observeOutput(organisationKey(r), r, o.Output, now)
	}
	if !(o.First > 0) || o.First > maxTimeMS || o.Total < o.First {
		return
	}
	s, known := m.services.Get(speedKey(r))
	if !known {
		s = &speed{}
		m.services.Add(speedKey(r), s)
	}
	usual, t := max(o.usualFirst(), 1), m.target(o.Target)
	t.ratio.decay(now, m.Decay)
	_, learnt := t.ratio.means(targetWeight, 0, 0)
	before := o.Estimate.speedEffect * learnt
	factor := math.Exp(before) * o.reported()
	s.step.decay(now, m.Decay)
	stepMS := 0.0
	if o.Output > 1 && o.Total > o.First {
		stepMS = (o.Total - o.First) / (float64(o.Output) * o.batch())
		s.step.add(0, stepMS/factor)
	}
	queued := o.Wait.SlotMS > usual
	switch {
	case stepMS > 0: // It does not depend on how long the request waited.
		t.observe(s, stepMS/o.Estimate.Step, o, now)
	case !queued:
		t.observe(s, o.First/(usual+o.Wait.SlotMS), o, now)
	}
	if queued {
		return // How long a request waits for a slot varies far more than the rest of the time to its first event.
	}
	s.first.decay(now, m.Decay)
	s.pace.decay(now, m.Decay)
	wait := o.Wait.SlotMS * o.First / (usual + o.Wait.SlotMS)
	s.first.add(min(o.Tokens+o.Wait.Tokens, maxTokens), (o.First-wait)/(factor*o.batch()))
	if o.Wait.LogPace != 0 {
		s.pace.add(o.Wait.LogPace, clampLog((o.First-wait)/usual)-before)
	}
}

// observe learns from the time of a request in proportion to the usual one.
func (t *learned) observe(s *speed, ratio float64, o *Outcome, now time.Time) {
	observed := clampLog(ratio) - o.Estimate.paceEffect*o.Wait.LogPace
	_, learnt := t.ratio.means(targetWeight, 0, 0)
	s.trust.decay(now, trustDecay)
	s.trust.add(learnt, observed)
	t.ratio.add(0, observed)
	t.ratio.limit(targetMemory)
}

func (m *Model) observeOutput(key string, r *Request, output int64, now time.Time) {
	known, ok := m.outputs.Get(key)
	if !ok {
		known = &moments{at: now}
		m.outputs.Add(key, known)
	}
	known.decay(now, m.Decay)
	hint := logTokens(r.Hint)
	if r.Hint <= 0 && known.n > 0 {
		hint = known.x / known.n // The mean hint: without one, the estimate does not depend on hints.
	}
	known.add(hint, logTokens(output))
}

func (m *Model) target(id string) *learned {
	t, known := m.targets.Get(id)
	if !known {
		t = &learned{}
		t.parts, _ = simplelru.NewLRU[uint64, struct{}](maxParts, nil)
		m.targets.Add(id, t)
	}
	return t
}

// cached returns the number of prompt tokens that the target has read before.
func (t *learned) cached(r *Request) float64 {
	tokens := 0
	forPrefixes(r, func(hash uint64, size int) bool {
		known := t.parts.Contains(hash)
		if known {
			tokens += size
		}
		return known
	})
	return float64(tokens)
}

// shared returns the number of prompt tokens that other prompts may share.
func shared(r *Request) float64 {
	tokens := 0
	for _, part := range r.Parts[:max(len(r.Parts)-1, 0)] {
		tokens += max(part.Tokens, 0)
	}
	return float64(tokens)
}

// forPrefixes calls do with the hash of each beginning of the prompt that others may share and the tokens of its last part, until it returns false.
func forPrefixes(r *Request, do func(hash uint64, tokens int) bool) {
	hash := xxhash.Sum64String(r.Model)
	for _, part := range r.Parts[:max(len(r.Parts)-1, 0)] {
		hash = hash*hashFactor + xxhash.Sum64String(part.ID)
		if !do(hash, max(part.Tokens, 0)) {
			return
		}
	}
}

// hashFactor makes the hash of a sequence depend on its order; it is odd, so that no bit is lost.
const hashFactor = 0x9E3779B97F4A7C15

func organisationKey(r *Request) string { return r.Route + "\x00" + r.Organisation }

// speedKey returns the key of the speed of a request: that of its service, and for a plain service that of the route too.
func speedKey(r *Request) string {
	if r.IsPlain() {
		return r.Service + "\x00" + r.Route
	}
	return r.Service + "\x00" + r.Model[:min(len(r.Model), maxModelBytes)] + "\x00"
}

// logTokens returns the logarithm of a number of tokens within its bounds.
func logTokens(n int64) float64 { return math.Log(float64(min(max(n, 1), maxTokens))) }

// clampLog returns the logarithm of a ratio within its bounds.
func clampLog(ratio float64) float64 {
	return math.Log(min(max(ratio, 1/maxRatio), maxRatio))
}
