// Package meter holds the metrics of an instance and serves them to Prometheus. They
// are listed in docs/METRICS.md.
package meter

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"

	"cranberryrail/core/codes"
)

// defaultInterval is the time between two updates of what is served.
const defaultInterval = time.Second

// Class groups organisations by the priority of their template, so that the number of
// time series stays the same however many organisations there are.
type Class string

// Classes of organisations.
const (
	// LowClass has priorities 0 to 3.
	LowClass Class = "low"
	// NormalClass has priorities 4 to 6.
	NormalClass Class = "normal"
	// HighClass has priorities 7 to 9.
	HighClass Class = "high"
	// NoClass is for requests of no known organisation.
	NoClass Class = "none"
)

// Least priorities of the classes.
const (
	normalPriority = 4
	highPriority   = 7
)

// ClassOf returns the class of a priority.
func ClassOf(priority int) Class {
	switch {
	case priority >= highPriority:
		return HighClass
	case priority >= normalPriority:
		return NormalClass
	default:
		return LowClass
	}
}

// Invariant names what must always hold.
type Invariant string

// The invariants that are counted from the start.
const (
	// Overspend: more was spent or granted than a budget or a holding has.
	Overspend Invariant = "overspend"
	// FoldDiffers: two instances folded the same records of a ledger to different results.
	FoldDiffers Invariant = "fold_differs"
	// CutByStop: a planned stop ran out of time with requests in flight.
	CutByStop Invariant = "cut_by_stop"
)

// Invariants lists all invariants.
func Invariants() []Invariant {
	return []Invariant{Overspend, FoldDiffers, CutByStop}
}

// Result tells what became of a draw, a reservation or an append.
type Result string

// Results.
const (
	Granted Result = "granted"
	Refused Result = "refused"
	Failed  Result = "failed"
)

// Meter is the metrics of one instance. Exported fields are set before Default; Close
// ends it. Its methods may be called from any goroutine.
type Meter struct {
	// Interval is the time between two updates of the counters and gauges that are
	// served; timers are up to date always.
	Interval time.Duration

	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// String names the meter for logs.
func (m *Meter) String() string { return "metrics" }

// Default fills fields that were left empty and registers all metrics.
func (m *Meter) Default() {
	if m.Interval == 0 {
		m.Interval = defaultInterval
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	r := reporter.NewReporter(reporter.Options{Registerer: registry, DefaultTimerType: reporter.HistogramTimerType})
	for _, metric := range Metrics() {
		if err := metric.register(r); err != nil {
			panic(fmt.Sprintf("register %s: %v", metric.Name, err)) // the table of metrics is at fault
		}
	}
	m.handler = r.HTTPHandler()
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		CachedReporter: r, Separator: reporter.DefaultSeparator, OmitCardinalityMetrics: true,
	}, m.Interval)
	m.start()
}

// start makes the counters whose labels are known exist at 0.
func (m *Meter) start() {
	for _, i := range Invariants() {
		m.counter(violations, string(i))
	}
	for _, c := range []Class{LowClass, NormalClass, HighClass} {
		m.counter(tokens, string(c))
	}
	for _, r := range []Result{Granted, Refused} {
		m.counter(reservations, string(r))
		m.counter(draws, string(r))
	}
	m.counter(resumed)
	m.counter(cut)
	m.gauge(logReached).Update(0)
	m.gauge(configVersion).Update(0)
	m.gauge(configAge).Update(0)
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close updates what is served a last time.
func (m *Meter) Close() error { return m.closer.Close() }

// Request counts a request that ended with a code; the zero code is a whole answer.
func (m *Meter) Request(class Class, code codes.Code) {
	m.counter(requests, string(class), strconv.Itoa(code.Number)).Inc(1)
}

// Billed counts tokens that were billed.
func (m *Meter) Billed(class Class, n int64) { m.counter(tokens, string(class)).Inc(n) }

// FirstToken records the time to the first token of an answer.
func (m *Meter) FirstToken(class Class, d time.Duration) {
	m.tagged(firstToken, string(class)).Timer(firstToken.Name).Record(d)
}

// Reservation counts a request that its instance's allowance covered or not.
func (m *Meter) Reservation(r Result) { m.counter(reservations, string(r)).Inc(1) }

// Draw counts a draw on a budget that the log granted or refused.
func (m *Meter) Draw(r Result) { m.counter(draws, string(r)).Inc(1) }

// Append counts an append to a stream; shards of one stream count together.
func (m *Meter) Append(stream string, r Result) {
	stream, _, _ = strings.Cut(stream, "/")
	m.counter(appends, stream, string(r)).Inc(1)
}

// Violation counts a violated invariant.
func (m *Meter) Violation(i Invariant) { m.counter(violations, string(i)).Inc(1) }

// StreamResumed counts an answer that was resumed after its stream broke off.
func (m *Meter) StreamResumed() { m.counter(resumed).Inc(1) }

// StreamCut counts an answer that broke off for good.
func (m *Meter) StreamCut() { m.counter(cut).Inc(1) }

// LogReached sets whether the instance reaches the platform's log.
func (m *Meter) LogReached(reached bool) {
	value := 0.0
	if reached {
		value = 1
	}
	m.gauge(logReached).Update(value)
}

// ConfigVersion sets the version of the configuration in force.
func (m *Meter) ConfigVersion(version int64) { m.gauge(configVersion).Update(float64(version)) }

// ConfigAge sets the time since the configuration was last known to be the newest.
func (m *Meter) ConfigAge(age time.Duration) { m.gauge(configAge).Update(age.Seconds()) }

// LedgerOffset sets the offset up to which a shard of the ledger was read.
func (m *Meter) LedgerOffset(shard int, offset int64) {
	m.gauge(ledgerOffset, strconv.Itoa(shard)).Update(float64(offset))
}

// Attempt counts an attempt at a target by how it ended.
func (m *Meter) Attempt(outcome string) { m.counter(attempts, outcome).Inc(1) }

// Duration records the time from a request to the end of its answer.
func (m *Meter) Duration(class Class, d time.Duration) {
	m.tagged(duration, string(class)).Timer(duration.Name).Record(d)
}

// StoreCall counts a call to the platform's store and the bytes of its records.
func (m *Meter) StoreCall(call string, r Result, sent, received int) {
	m.counter(storeCalls, call, string(r)).Inc(1)
	m.counter(storeBytes, "sent").Inc(int64(sent))
	m.counter(storeBytes, "received").Inc(int64(received))
}

// Connected counts a connection that was made to a target.
func (m *Meter) Connected() { m.counter(connections).Inc(1) }

// LinesDropped counts lines of the log that were dropped.
func (m *Meter) LinesDropped(n int) { m.counter(droppedLines).Inc(int64(n)) }

func (m *Meter) counter(metric Metric, labels ...string) tally.Counter {
	return m.tagged(metric, labels...).Counter(metric.Name)
}

func (m *Meter) gauge(metric Metric, labels ...string) tally.Gauge {
	return m.tagged(metric, labels...).Gauge(metric.Name)
}

// tagged returns the scope with the values of a metric's labels.
func (m *Meter) tagged(metric Metric, labels ...string) tally.Scope {
	if len(metric.Labels) == 0 {
		return m.scope
	}
	tags := make(map[string]string, len(labels))
	for i, value := range labels {
		tags[metric.Labels[i]] = value
	}
	return m.scope.Tagged(tags)
}
