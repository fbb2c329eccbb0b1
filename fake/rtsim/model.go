package rtsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

const (
	// zipfSkew is the exponent of the Zipf distribution of prefixes.
	zipfSkew = 1.1
	// maxAttempts is the number of targets that a request is sent to if they reply that they are full.
	maxAttempts = 3
	// histogramMaxMS and histogramDigits are the highest value and the precision, in significant digits, of the
	// histogram of the times to the first token.
	histogramMaxMS  = int64(10 * time.Minute / time.Millisecond)
	histogramDigits = 3
	// slowEngineIndex is the index of the engine that is slowed down.
	slowEngineIndex = 0
	modelName       = "assistant"
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

type engine struct {
	id       string
	running  int
	waiting  []*request
	cache    *simplelru.LRU[string, struct{}]
	slowdown float64
}

type request struct {
	prefix     string
	priority   int
	arrived    time.Time
	decodeTime time.Duration
	router     *route.Balancer
	dispatchID int64
	tried      []string
	measured   bool
}

type model struct {
	bench      *Bench
	result     *Result
	now        time.Time
	start      time.Time
	seq        int
	events     events
	rand       *rand.Rand
	zipf       *rand.Zipf
	engines    []*engine
	routers    []*route.Balancer
	firstToken *hdrhistogram.Histogram
}

func newModel(b *Bench, r *Result) *model {
	m := &model{bench: b, result: r, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(b.Seed, 1))}
	m.start = m.now
	m.zipf = rand.NewZipf(m.rand, zipfSkew, 1, uint64(b.Prefixes-1))
	m.firstToken = hdrhistogram.New(1, histogramMaxMS, histogramDigits)
	targets := make([]roster.Target, 0, b.Engines)
	for i := range b.Engines {
		e := &engine{id: fmt.Sprintf("engine-%02d", i), slowdown: 1}
		e.cache, _ = simplelru.NewLRU[string, struct{}](b.CacheCapacity, nil)
		if r.SlowEngine && i == slowEngineIndex {
			e.slowdown = b.Slowdown
		}
		m.engines = append(m.engines, e)
		targets = append(targets, roster.Target{
			ID: e.id, Incarnation: e.id, Kind: roster.ModelEngine, Models: []roster.Model{{Model: modelName}},
		})
	}
	for i := range b.Routers {
		t := &route.Balancer{
			Policy: r.Policy, Bound: r.Bound, Queue: 1, Capacity: b.Slots, Instances: b.Routers,
			Seed: b.Seed + uint64(i), Now: func() time.Time { return m.now },
		}
		t.Default()
		t.SetTargets(targets)
		m.routers = append(m.routers, t)
	}
	return m
}

func (m *model) schedule(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now.Add(d), seq: m.seq, run: run})
}

func (m *model) run() {
	end := m.start.Add(m.bench.WarmUp + m.bench.Duration)
	m.schedule(0, m.generateRequest)
	for _, e := range m.engines {
		m.schedule(time.Duration(m.rand.Int64N(int64(m.bench.Lag))), func() { m.reportLoad(e) })
	}
	for len(m.events) > 0 && m.now.Before(end) {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
	m.result.P50 = m.quantile(50)
	m.result.P95 = m.quantile(95)
	m.result.P99 = m.quantile(99)
}

func (m *model) quantile(q float64) time.Duration {
	return time.Duration(m.firstToken.ValueAtQuantile(q)) * time.Millisecond
}

// generateRequest generates one request and schedules the next. The arrival rate is the load factor times the rate at
// which all engines complete requests at normal speed with every prefix cached.
func (m *model) generateRequest() {
	b := m.bench
	capacity := float64(b.Engines*b.Slots) / (b.PrefillHit + b.Decode).Seconds()
	interarrival := m.rand.ExpFloat64() / (m.result.Load * capacity)
	r := &request{
		prefix:     fmt.Sprintf("prefix-%d", m.zipf.Uint64()),
		priority:   m.rand.IntN(route.TopPriority + 1),
		arrived:    m.now,
		decodeTime: time.Duration(m.rand.ExpFloat64() * float64(b.Decode)),
		router:     m.routers[m.rand.IntN(len(m.routers))],
		measured:   m.now.Sub(m.start) >= b.WarmUp,
	}
	if r.measured {
		m.result.Offered++
		if r.priority == route.TopPriority {
			m.result.TopPriorityOffered++
		}
	}
	m.dispatch(r)
	m.schedule(time.Duration(interarrival*float64(time.Second)), m.generateRequest)
}

func (m *model) dispatch(r *request) {
	for len(r.tried) < maxAttempts {
		choice, err := r.router.Pick(route.Request{Model: modelName, Prefix: r.prefix, Priority: r.priority, Avoid: r.tried})
		if err != nil {
			break
		}
		r.dispatchID = choice.DispatchID
		e := m.engine(choice.Target.ID)
		if e.running < m.bench.Slots {
			m.startRequest(e, r)
			return
		}
		if len(e.waiting) < m.bench.Slots {
			e.waiting = append(e.waiting, r)
			return
		}
		r.tried = append(r.tried, e.id)
		r.router.Done(r.dispatchID, route.Shed)
	}
	if !r.measured {
		return
	}
	m.result.Refused++
	if r.priority == route.TopPriority {
		m.result.TopPriorityRefused++
	}
}

func (m *model) engine(id string) *engine {
	for _, e := range m.engines {
		if e.id == id {
			return e
		}
	}
	panic("router selected an unknown engine: " + id)
}

func (m *model) startRequest(e *engine, r *request) {
	e.running++
	prefill := m.bench.PrefillMiss
	_, hit := e.cache.Get(r.prefix)
	if hit {
		prefill = m.bench.PrefillHit
	}
	e.cache.Add(r.prefix, struct{}{})
	prefill = time.Duration(float64(prefill) * e.slowdown)
	if r.measured {
		m.result.Started++
		if hit {
			m.result.Hits++
		}
		_ = m.firstToken.RecordValue((m.now.Sub(r.arrived) + prefill).Milliseconds())
	}
	m.schedule(prefill+time.Duration(float64(r.decodeTime)*e.slowdown), func() { m.finishRequest(e, r) })
}

func (m *model) finishRequest(e *engine, r *request) {
	e.running--
	r.router.Done(r.dispatchID, route.OK)
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		m.startRequest(e, next)
	}
}

// reportLoad samples the load of an engine, delivers the report to the routers one lag later and schedules the next
// sample.
func (m *model) reportLoad(e *engine) {
	l := roster.Load{
		Incarnation: e.id, State: roster.Live, Running: e.running, Waiting: len(e.waiting),
		Capacity: m.bench.Slots, CachedPrefixes: e.cache.Len(), AgeMS: m.bench.Lag.Milliseconds(),
	}
	m.schedule(m.bench.Lag, func() {
		for _, t := range m.routers {
			t.Report(e.id, l, m.now)
		}
	})
	m.schedule(m.bench.Lag, func() { m.reportLoad(e) })
}
