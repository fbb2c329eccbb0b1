// Package meter records the metrics of an instance and exposes them to Prometheus. The metrics are listed in
// docs/METRICS.md.
package meter

import (
	"cmp"
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

// defaultInterval is the default interval between updates of the exposed values.
const defaultInterval = time.Second

// Class groups organisations by the priority of their template, so that the number of time series does not depend on
// the number of organisations.
type Class string

// Classes of organisations.
const (
	// LowClass has priorities 0 to 3.
	LowClass Class = "low"
	// NormalClass has priorities 4 to 6.
	NormalClass Class = "normal"
	// HighClass has priorities 7 to 9.
	HighClass Class = "high"
	// NoClass is for requests without a known organisation.
	NoClass Class = "none"
)

// Lowest priorities of the classes.
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

// Invariant is the name of a condition that must always hold.
type Invariant string

// Invariants whose violations are counted, starting at 0.
const (
	// Overspend is violated if more tokens were spent or granted than a budget or a holding contains.
	Overspend Invariant = "overspend"
	// FoldDiffers is violated if two instances computed different states from the same records of a ledger.
	FoldDiffers Invariant = "fold_differs"
	// CutByStop is violated if a planned shutdown timed out with requests in flight.
	CutByStop Invariant = "cut_by_stop"
)

// Invariants lists all invariants.
func Invariants() []Invariant {
	return []Invariant{Overspend, FoldDiffers, CutByStop}
}

// Result is the result of a draw, a reservation, an append or a call to the store.
type Result string

// Results.
const (
	Granted Result = "granted"
	Refused Result = "refused"
	Failed  Result = "failed"
)

// Meter records the metrics of one instance. Exported fields are set before Default, and Close releases it. The methods
// are safe for concurrent use.
type Meter struct {
	// Interval is the interval between updates of the exposed counters and gauges; timers are exposed without delay.
	Interval time.Duration

	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// String returns the name of the meter for logs.
func (m *Meter) String() string { return "metrics" }

// Default sets the defaults of empty fields and registers all metrics.
func (m *Meter) Default() {
	if m.Interval == 0 {
		m.Interval = defaultInterval
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	r := reporter.NewReporter(reporter.Options{Registerer: registry, DefaultTimerType: reporter.HistogramTimerType})
	for _, metric := range Metrics() {
		if err := metric.register(r); err != nil {
			panic(fmt.Sprintf("register %s: %v", metric.Name, err)) // only if the table of metrics is invalid
		}
	}
	m.handler = r.HTTPHandler()
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		CachedReporter: r, Separator: reporter.DefaultSeparator, OmitCardinalityMetrics: true,
	}, m.Interval)
	m.initSeries()
}

// initSeries creates the counters and gauges whose labels are known, with the value 0.
func (m *Meter) initSeries() {
	for _, i := range Invariants() {
		m.counter(violations, string(i))
	}
	for _, c := range []Class{LowClass, NormalClass, HighClass} {
		m.counter(billedTokens, string(c))
	}
	for _, r := range []Result{Granted, Refused} {
		m.counter(reservations, string(r))
		m.counter(draws, string(r))
	}
	m.counter(streamsResumed)
	m.counter(streamsCut)
	m.counter(unanswered)
	m.counter(lapsedTokens)
	m.gauge(logReached).Update(0)
	m.gauge(quarantines).Update(0)
	m.gauge(rateLimits).Update(0)
	m.gauge(configVersion).Update(0)
	m.gauge(configAge).Update(0)
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close updates the exposed values a last time.
func (m *Meter) Close() error { return m.closer.Close() }

// Request counts a request by its result code; the zero code is a complete answer.
func (m *Meter) Request(class Class, code codes.Code) {
	m.counter(requests, string(class), strconv.Itoa(code.Number)).Inc(1)
}

// Billed counts billed tokens.
func (m *Meter) Billed(class Class, n int64) { m.counter(billedTokens, string(class)).Inc(n) }

// Unanswered counts the tokens of a prompt that a target may have read for a request without an answer.
func (m *Meter) Unanswered(n int64) { m.counter(unanswered).Inc(n) }

// BudgetTokens sets the sum of the tokens of all budgets in a state.
func (m *Meter) BudgetTokens(state string, n int64) { m.gauge(budgetTokens, state).Update(float64(n)) }

// Lapsed counts tokens that an earlier process had promised and that could not be taken over.
func (m *Meter) Lapsed(n int64) { m.counter(lapsedTokens).Inc(n) }

// FirstToken records the time to the first token of an answer.
func (m *Meter) FirstToken(class Class, d time.Duration) {
	m.tagged(firstToken, string(class)).Timer(firstToken.Name).Record(d)
}

// Reservation counts a reservation on the allowance of this instance.
func (m *Meter) Reservation(r Result) { m.counter(reservations, string(r)).Inc(1) }

// Draw counts a draw on a budget that was granted or refused when it was read back from the log.
func (m *Meter) Draw(r Result) { m.counter(draws, string(r)).Inc(1) }

// Append counts an append to a stream; all shards of a stream are counted under one label.
func (m *Meter) Append(stream string, r Result) {
	stream, _, _ = strings.Cut(stream, "/")
	m.counter(logAppends, stream, string(r)).Inc(1)
}

// Violation counts a violation of an invariant.
func (m *Meter) Violation(i Invariant) { m.counter(violations, string(i)).Inc(1) }

// StreamResumed counts an answer that was resumed after its stream was interrupted.
func (m *Meter) StreamResumed() { m.counter(streamsResumed).Inc(1) }

// StreamCut counts an answer whose stream was interrupted and not resumed.
func (m *Meter) StreamCut() { m.counter(streamsCut).Inc(1) }

// LogReached sets whether the platform's log is reachable.
func (m *Meter) LogReached(reached bool) {
	value := 0.0
	if reached {
		value = 1
	}
	m.gauge(logReached).Update(value)
}

// RateLimits sets the number of targets that have named a limit on the rate of requests.
func (m *Meter) RateLimits(n int) { m.gauge(rateLimits).Update(float64(n)) }

// Evacuated sets the number of evacuated zones, and of requests in flight there.
func (m *Meter) Evacuated(zones, inFlight int) {
	m.gauge(evacuatedZones).Update(float64(zones))
	m.gauge(evacuatedBusy).Update(float64(inFlight))
}

// ColdTargets sets the number of cold targets.
func (m *Meter) ColdTargets(n int) { m.gauge(coldTargets).Update(float64(n)) }

// Quarantines sets the number of traits of requests that are quarantined.
func (m *Meter) Quarantines(n int) { m.gauge(quarantines).Update(float64(n)) }

// ConfigVersion sets the version of the configuration in force.
func (m *Meter) ConfigVersion(version int64) { m.gauge(configVersion).Update(float64(version)) }

// ConfigAge sets the time since the configuration was last confirmed to be current.
func (m *Meter) ConfigAge(age time.Duration) { m.gauge(configAge).Update(age.Seconds()) }

// LedgerOffset sets the offset up to which a shard of the ledger has been read.
func (m *Meter) LedgerOffset(shard int, offset int64) {
	m.gauge(ledgerOffset, strconv.Itoa(shard)).Update(float64(offset))
}

// Attempt counts an attempt at a target by its outcome.
func (m *Meter) Attempt(outcome string) { m.counter(attempts, outcome).Inc(1) }

// RequestDuration records the time from a request to the end of its answer.
func (m *Meter) RequestDuration(class Class, d time.Duration) {
	m.tagged(requestDuration, string(class)).Timer(requestDuration.Name).Record(d)
}

// StoreCall counts a call to the platform's store and the record bytes that were sent and received.
func (m *Meter) StoreCall(call string, r Result, sent, received int) {
	m.counter(storeCalls, call, string(r)).Inc(1)
	m.counter(storeBytes, "sent").Inc(int64(sent))
	m.counter(storeBytes, "received").Inc(int64(received))
}

// AnswerEnded counts a request that ended without a whole answer by who ended it and the kind of a target's failure.
func (m *Meter) AnswerEnded(by, kind string) {
	m.counter(answersEnded, by, cmp.Or(kind, "none")).Inc(1)
}

// ConnectionOpened counts a connection that was established to a target.
func (m *Meter) ConnectionOpened() { m.counter(connections).Inc(1) }

// CallerClosed counts a connection that was closed, or a request that was refused, because a capacity was short.
func (m *Meter) CallerClosed(short string) { m.counter(callersClosed, short).Inc(1) }

// LinesDropped counts dropped log lines.
func (m *Meter) LinesDropped(n int) { m.counter(droppedLines).Inc(int64(n)) }

func (m *Meter) counter(metric Metric, labels ...string) tally.Counter {
	return m.tagged(metric, labels...).Counter(metric.Name)
}

func (m *Meter) gauge(metric Metric, labels ...string) tally.Gauge {
	return m.tagged(metric, labels...).Gauge(metric.Name)
}

// tagged returns the scope with the label values of a metric.
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
