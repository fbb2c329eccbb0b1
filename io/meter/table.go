package meter

import (
	"fmt"

	reporter "github.com/uber-go/tally/v4/prometheus"
)

// Kind is the kind of a metric.
type Kind string

// Kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Metric describes one metric.
type Metric struct {
	Name   string
	Kind   Kind
	Labels []string
	// Help describes in one sentence what is measured.
	Help string
}

// Metrics of requests, budgets, the log and the configuration.
var (
	requests       = Metric{"cranberryrail_requests_total", Counter, []string{"class", "code"}, "Requests that ended, by result code; code 0 is a whole answer."}
	billedTokens   = Metric{"cranberryrail_billed_tokens_total", Counter, []string{"class"}, "Tokens billed."}
	unanswered     = Metric{"cranberryrail_unanswered_tokens_total", Counter, nil, "Tokens of prompts that targets may have read for requests whose callers received nothing of a successful answer."}
	budgetTokens   = Metric{"cranberryrail_budget_tokens", Gauge, []string{"state"}, "Tokens of all budgets: paid, granted to all instances, and those that this instance holds, as free, promised or reserved."}
	lapsedTokens   = Metric{"cranberryrail_lapsed_tokens_total", Counter, nil, "Tokens that an earlier process of this instance had promised not to spend and that count as spent."}
	firstToken     = Metric{"cranberryrail_first_token_seconds", Histogram, []string{"class"}, "Time from a request to the first token of its answer."}
	reservations   = Metric{"cranberryrail_reservations_total", Counter, []string{"result"}, "Reservations on the allowance of this instance."}
	draws          = Metric{"cranberryrail_draws_total", Counter, []string{"result"}, "Draws on budgets that were read back from the log."}
	logAppends     = Metric{"cranberryrail_log_appends_total", Counter, []string{"stream", "result"}, "Appends to the platform's log; the result failed leaves open whether the record was written."}
	violations     = Metric{"cranberryrail_invariant_violations_total", Counter, []string{"invariant"}, "Violations of what must always hold; each one is a fault of the program."}
	streamsResumed = Metric{"cranberryrail_streams_resumed_total", Counter, nil, "Answers that were resumed after their stream broke off."}
	streamsCut     = Metric{"cranberryrail_streams_cut_total", Counter, nil, "Answers that broke off and could not be resumed."}
	logReached     = Metric{"cranberryrail_log_reached", Gauge, nil, "1 when the platform's log is reached, directly or through another instance, and 0 otherwise."}
	configVersion  = Metric{"cranberryrail_config_version", Gauge, nil, "Version of the configuration in force, which is an offset of the log."}
	configAge      = Metric{"cranberryrail_config_age_seconds", Gauge, nil, "Time since the configuration was last known to be the newest; above 6 s the instance counts as stale."}
	ledgerOffset   = Metric{"cranberryrail_ledger_offset", Gauge, []string{"shard"}, "Offset up to which the ledger was read."}
)

// Metrics of an instance that routes requests on the users' platform.
var (
	attempts        = Metric{"cranberryrail_attempts_total", Counter, []string{"outcome"}, "Attempts at targets by how they ended; ok is an answer that was passed on."}
	requestDuration = Metric{"cranberryrail_request_seconds", Histogram, []string{"class"}, "Time from a request to the end of its answer."}
	storeCalls      = Metric{"cranberryrail_store_calls_total", Counter, []string{"call", "result"}, "Calls to the platform's store."}
	storeBytes      = Metric{"cranberryrail_store_bytes_total", Counter, []string{"direction"}, "Bytes of records written to and read from the platform's store."}
	connections     = Metric{"cranberryrail_connections_total", Counter, nil, "Connections that were made to targets."}
	rateLimits      = Metric{"cranberryrail_rate_limits", Gauge, nil, "Targets that have named a limit on the rate of requests."}
	evacuatedZones  = Metric{"cranberryrail_evacuated_zones", Gauge, nil, "Zones to whose targets no new request is sent."}
	evacuatedBusy   = Metric{"cranberryrail_evacuated_in_flight", Gauge, nil, "Requests of this instance that targets in evacuated zones still run."}
	coldTargets     = Metric{"cranberryrail_cold_targets", Gauge, nil, "Targets that have just started or become cold again, to which the rate of requests is limited."}
	quarantines     = Metric{"cranberryrail_quarantines", Gauge, nil, "Parts of prompts, and whole requests, that are not sent because targets crashed under them."}
	answersEnded    = Metric{"cranberryrail_answers_ended_early_total", Counter, []string{"by", "kind"}, "Requests that ended without a whole answer after its head was sent or a target may have run them, by who ended them; the kind is that of the target's failure, or none."}
	callersClosed   = Metric{"cranberryrail_callers_closed_total", Counter, []string{"short"}, "Connections that were closed, and requests that were refused while they were sent, because capacity was short, by what was: connections, heads, bodies, or read_time for callers that did not read."}
	droppedLines    = Metric{"cranberryrail_log_lines_dropped_total", Counter, nil, "Lines of the log that were dropped, because they were not taken fast enough."}
)

// Metrics lists all metrics.
func Metrics() []Metric {
	return []Metric{
		requests, billedTokens, unanswered, budgetTokens, lapsedTokens, firstToken, reservations, draws, logAppends, violations, streamsResumed, streamsCut, logReached,
		configVersion, configAge, ledgerOffset,
		attempts, requestDuration, storeCalls, storeBytes, connections, rateLimits, evacuatedZones, evacuatedBusy, coldTargets, quarantines, answersEnded, callersClosed, droppedLines,
	}
}

// histogramBuckets returns the upper bounds of the histogram buckets, in seconds.
func histogramBuckets() []float64 {
	return []float64{0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.99, 1.5, 2, 3, 5, 10, 30, 60}
}

func (m Metric) register(r reporter.Reporter) (err error) {
	switch m.Kind {
	case Counter:
		_, err = r.RegisterCounter(m.Name, m.Labels, m.Help)
	case Gauge:
		_, err = r.RegisterGauge(m.Name, m.Labels, m.Help)
	case Histogram:
		_, err = r.RegisterTimer(m.Name, m.Labels, m.Help, &reporter.RegisterTimerOptions{
			TimerType: reporter.HistogramTimerType, HistogramBuckets: histogramBuckets(),
		})
	default:
		err = fmt.Errorf("unknown kind %q", m.Kind)
	}
	return err
}
