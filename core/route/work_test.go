package route_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"gotest.tools/v3/assert"

	"cranberryrail/core/cost"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

// world is an event-driven model of instances that send requests to engines. Times are in ms.
type world struct {
	scenario
	rand    *rand.Rand
	now     float64
	events  eventHeap
	engines []*machine
	fleet   []*route.Balancer
	firsts  []float64
}

type scenario struct {
	policy    route.Policy
	pairs     bool // two random targets, by count
	instances int
	perSecond float64 // requests for each engine
	nonsense  bool    // hints, paces and organisations that mean nothing
	shift     bool    // the outputs of routes and the speeds of engines are exchanged half-way
	overload  bool    // outputs grow half-way until the engines are full
}

const (
	engines, slots, eventTokens = 48, 12, 10
	warmUp, length              = 10_000.0, 30_000.0
	objective                   = 400.0
)

type timedEvent struct {
	at float64
	do func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)        { *h = append(*h, e.(timedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (w *world) after(ms float64, do func()) { heap.Push(&w.events, timedEvent{w.now + ms, do}) }

// machine reads prompts one after the other and runs up to slots requests at once.
type machine struct {
	speed, phase, readUntil float64
	running                 int
	queue                   []func()
	cache                   *simplelru.LRU[string, struct{}]
}

// pace is 2.5 in bursts of 200 ms.
func (e *machine) pace(now float64) float64 {
	if math.Mod(now+e.phase, 1000) < 200 {
		return 2.5
	}
	return 1
}

func (w *world) lognormal(median, sigma, low, high float64) float64 {
	return min(max(median*math.Exp(sigma*w.rand.NormFloat64()), low), high)
}

func (w *world) request() (r route.Request, output float64) {
	kind, organisation, prefix := w.rand.IntN(3), w.rand.IntN(24), w.rand.IntN(8)*w.rand.IntN(8)
	mean := 1 + kind
	if w.shift && w.now > length/2 {
		mean = 3 - kind
	}
	output = w.lognormal(60*float64(mean)*(0.6+float64(organisation%4)/4), 0.8, 2*eventTokens, 42*eventTokens)
	if w.overload && w.now > length/2 {
		output = 42*eventTokens - output/2
	}
	shared, own := 200+100*float64(prefix%16), w.lognormal(1200, 1.2, 100, 10_000)
	hint := output * math.Exp(0.8*w.rand.NormFloat64())
	if w.nonsense {
		hint, organisation = w.lognormal(300, 2, 1, 100_000), w.rand.IntN(1000)
	}
	work := &cost.Request{
		Route: fmt.Sprint(kind), Organisation: fmt.Sprint(organisation), Service: "chat", Model: "m", Prompt: int64(shared + own), MaxOutput: 1000, Hint: int64(hint),
		Parts: []cost.Part{{ID: fmt.Sprint(prefix), Tokens: int(shared)}, {ID: "own", Tokens: int(own)}},
	}
	return route.Request{Service: "chat", Prefix: fmt.Sprint(prefix), Work: work, Priority: 9}, output
}

// arrive sends the next request and schedules the one after it.
func (w *world) arrive() {
	w.after(w.rand.ExpFloat64()*1000/(w.perSecond*engines), w.arrive)
	r, output := w.request()
	b := w.fleet[w.rand.IntN(len(w.fleet))]
	if w.pairs {
		one, two := w.rand.IntN(engines), w.rand.IntN(engines)
		for i := range engines {
			if i != one && i != two {
				r.Avoid = append(r.Avoid, fmt.Sprint(i))
			}
		}
	}
	choice, err := b.Pick(r)
	if err != nil {
		w.record(math.Inf(1), w.now)
		return
	}
	var index int
	_, _ = fmt.Sscan(choice.Target.ID, &index)
	e, arrived := w.engines[index], w.now
	run := func() { w.run(e, b, r, choice, output, arrived) }
	if e.running >= slots {
		e.queue = append(e.queue, run)
		return
	}
	run()
}

func (w *world) run(e *machine, b *route.Balancer, r route.Request, choice route.Choice, output, arrived float64) {
	e.running++
	tokens := float64(r.Work.Prompt)
	if _, cached := e.cache.Get(r.Prefix); cached {
		tokens -= float64(r.Work.Parts[0].Tokens)
	}
	e.cache.Add(r.Prefix, struct{}{})
	report := roster.Load{Incarnation: "1", Running: e.running, Waiting: len(e.queue), Capacity: slots, Pace: e.pace(w.now)}
	if w.nonsense {
		report.Pace = math.Exp(w.rand.NormFloat64())
	}
	slowdown := e.pace(w.now) / e.speed
	step := (3 + 0.12*float64(e.running)) * slowdown
	e.readUntil = max(w.now, e.readUntil) + tokens/70*slowdown
	first := e.readUntil - w.now + eventTokens*step
	w.after(first, func() {
		w.record(w.now-arrived, arrived)
		b.Report(choice.Target.ID, report, b.Now())
		b.Progress(choice.DispatchID, 0)
	})
	w.after(first+(output-eventTokens)*step, func() {
		b.Progress(choice.DispatchID, int64(output))
		b.Done(choice.DispatchID, route.OK)
		e.running--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next()
		}
	})
}

func (w *world) record(first, arrived float64) {
	if arrived > warmUp {
		w.firsts = append(w.firsts, first)
	}
}

type figures struct{ p50, p99, inTime float64 }

// simulate runs a scenario.
func simulate(s scenario) figures {
	var firsts []float64
	seeds := uint64(1)
	if testing.Verbose() {
		seeds = 3
	}
	for seed := range seeds {
		w := &world{scenario: s, rand: rand.New(rand.NewPCG(seed, 1))}
		now := func() time.Time { return time.Unix(1000, int64(w.now*1e6)) }
		listed := make([]roster.Target, 0, engines)
		for i := range engines {
			cache, _ := simplelru.NewLRU[string, struct{}](8, nil)
			w.engines = append(w.engines, &machine{speed: []float64{0.6, 1, 1.6}[i%3], phase: 1000 * w.rand.Float64(), cache: cache})
			listed = append(listed, roster.Target{ID: fmt.Sprint(i), Incarnation: "1", Service: "chat", State: roster.Live})
		}
		for i := range s.instances {
			b := &route.Balancer{Policy: s.policy, Instances: s.instances, Seed: seed<<32 + uint64(i), Now: now, Bound: 3}
			b.Default()
			b.SetTargets(listed)
			w.fleet = append(w.fleet, b)
		}
		w.after(0, w.arrive)
		if s.shift {
			w.after(length/2, func() { slices.Reverse(w.engines) })
		}
		for len(w.events) > 0 && w.now < length {
			e := heap.Pop(&w.events).(timedEvent)
			w.now = e.at
			e.do()
		}
		firsts = append(firsts, w.firsts...)
	}
	slices.SortFunc(firsts, cmp.Compare)
	inTime, _ := slices.BinarySearch(firsts, objective)
	n := len(firsts)
	return figures{firsts[n/2], firsts[n*99/100], float64(inTime) / float64(n)}
}

// wrong is the least share in time, in proportion to that of the choice by count, where the model is wrong.
const wrong = 0.97

// TestLeastWork guards against a choice by learned cost that serves callers later than one that counts requests, and against one that is misled by
// input that means nothing, or by a workload that has changed. With -v it compares all choices, with more seeds.
func TestLeastWork(t *testing.T) {
	compareWithCount(t, "usual", 1, scenario{})
	compareWithCount(t, "nonsense", wrong, scenario{nonsense: true})
	compareWithCount(t, "shift", wrong, scenario{shift: true})
}

// TestLeastWorkOverload guards against a choice by learned cost that gets worse than one by count when outputs grow until all engines are full.
func TestLeastWorkOverload(t *testing.T) {
	compareWithCount(t, "overload", wrong, scenario{overload: true})
}

func compareWithCount(t *testing.T, name string, least float64, s scenario) {
	for _, instances := range []int{1, 8, 64} {
		t.Run(fmt.Sprint(name, " ", instances), func(t *testing.T) {
			t.Parallel()
			run := func(policy route.Policy, pairs bool) figures {
				s := s
				s.policy, s.pairs, s.instances, s.perSecond = policy, pairs, instances, 7
				f := simulate(s)
				t.Logf("%s, %d instances: %-16s pairs=%-5t p50 %5.0f ms  p99 %6.0f ms  in time %.4f", name, instances, policy, pairs, f.p50, f.p99, f.inTime)
				return f
			}
			byCount, byWork := run(route.LeastEstimated, false), run(route.LeastWork, false)
			if testing.Verbose() {
				run(route.LeastEstimated, true)
				run(route.LeastReported, false)
				run(route.PrefixBounded, false)
			}
			assert.Check(t, byWork.inTime >= least*byCount.inTime, "%+v by work, %+v by count", byWork, byCount)
		})
	}
}

// BenchmarkLeastWork measures a dispatch by learned cost, and one by prefix, among as many targets as a fleet has.
func BenchmarkLeastWork(b *testing.B) {
	for _, policy := range []route.Policy{route.PrefixBounded, route.LeastWork} {
		b.Run(string(policy), func(b *testing.B) { benchmarkDispatch(b, policy) })
	}
}

func benchmarkDispatch(b *testing.B, policy route.Policy) {
	w := &world{rand: rand.New(rand.NewPCG(1, 1))}
	balancer := &route.Balancer{Policy: policy, Now: func() time.Time { return time.Unix(1000, int64(w.now*1e6)) }}
	balancer.Default()
	listed := make([]roster.Target, 0, 140)
	for i := range 140 {
		listed = append(listed, roster.Target{ID: fmt.Sprint(i), Incarnation: "1", Service: "chat", State: roster.Live})
	}
	balancer.SetTargets(listed)
	requests := make([]route.Request, 1000)
	for i := range requests {
		requests[i], _ = w.request()
	}
	i := 0
	for b.Loop() {
		i++
		choice, err := balancer.Pick(requests[i%len(requests)])
		assert.NilError(b, err)
		balancer.Report(choice.Target.ID, roster.Load{Incarnation: "1", Running: 5, Capacity: slots, Pace: 1.2}, balancer.Now())
		w.now += 50
		balancer.Progress(choice.DispatchID, 0)
		w.now += 50
		balancer.Progress(choice.DispatchID, 100)
		balancer.Done(choice.DispatchID, route.OK)
	}
}
