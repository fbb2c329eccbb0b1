package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/burn"
	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/events"
	"cranberryrail/core/ledger"
	"cranberryrail/core/once"
	"cranberryrail/core/roster"
	"cranberryrail/core/serve"
	"cranberryrail/core/tail"
	"cranberryrail/io/front"
	"cranberryrail/io/meter"
)

// reportBurn is the kind of the report on service levels and burn rates.
const reportBurn = "burn"

// gaugeInterval is the interval at which the gauges are updated.
const gaugeInterval = time.Second

func (n *Node) makeMeters() {
	n.meter = &meter.Meter{}
	n.meter.Default()
	n.burn = &burn.Meter{Instance: n.Settings.Instance.ID, Objectives: n.objectives, Now: time.Now}
	n.burn.Default()
}

// objectives returns the service level objectives of an organisation.
func (n *Node) objectives(organisation string) (conf.Objectives, bool) {
	objectives, ok := n.config.load().objectives[organisation]
	return objectives, ok
}

// onServed records the outcome of a request in the metrics.
func (n *Node) onServed(s front.Outcome) {
	n.targetCache.recordRequest(time.Now())
	class := meter.NoClass
	if s.Organisation != "" {
		class = meter.ClassOf(s.Priority)
	}
	var code codes.Code
	sample := burn.Sample{Organisation: s.Organisation, Complete: true}
	if s.Err != nil {
		code = s.Err.Code
		sample = burn.Refusal(s.Organisation, code)
		sample.Excluded = sample.Excluded || s.CallerGone
	}
	sample.FirstToken, sample.Gap = s.FirstToken, s.Gap
	n.burn.Observe(sample)
	n.meter.Request(class, code)
	if s.FirstToken > 0 {
		n.meter.FirstToken(class, s.FirstToken)
	}
	if s.Tokens > 0 {
		n.meter.Billed(class, s.Tokens)
	}
	if code == codes.AnswerCut && !s.CallerGone {
		n.meter.StreamCut()
		events.Log(n.Log, events.StreamCut).Str("organisation", s.Organisation).Err(s.Err).Send()
	}
}

// onReservationDecision counts the decision on a reservation and logs exhausted budgets.
func (n *Node) onReservationDecision(refused *codes.Error) {
	if refused == nil {
		n.meter.Reservation(meter.Granted)
		return
	}
	n.meter.Reservation(meter.Refused)
	if refused.Code == codes.BudgetExhausted {
		events.Log(n.Log, events.BudgetExhausted).Str("detail", refused.Detail).Send()
	}
}

// resultOf returns the result label of an append: granted unless it failed.
func resultOf(err error) meter.Result {
	if err != nil {
		return meter.Refused
	}
	return meter.Granted
}

// onStreamOpened counts a stream that resumes an interrupted one.
func (n *Node) onStreamOpened(c serve.Call) {
	if c.ResumeFrom > 0 {
		n.meter.StreamResumed()
		events.Log(n.Log, events.StreamResumed).Str("request_id", c.RequestID).Int("position", c.ResumeFrom).Send()
	}
}

// onViolation logs and counts a violated invariant of a ledger.
func (n *Node) onViolation(err error) {
	n.meter.Violation(meter.Overspend)
	events.Log(n.Log, events.Overspend).Err(err).Send()
}

// onLedgerApplied logs and counts the results of a ledger batch: unknown kinds and accepted top-ups of any instance,
// and the other results of this instance.
func (n *Node) onLedgerApplied(inc string, results []ledger.Result) {
	for _, r := range results {
		switch {
		case !ledger.KnownKind(r.Kind):
			events.Log(n.Log, events.KindUnknown).Str("kind", r.Kind).Send()
		case r.Kind == ledger.KindTopUp && r.Refused == "" && !r.Repeated:
			events.Log(n.Log, events.TopUpAccepted).Str("budget", r.Budget).Int64("tokens", r.Tokens).Send()
		case inc != n.Incarnation:
		case r.Kind == ledger.KindDraw && r.Refused == "":
			n.meter.Draw(meter.Granted)
			events.Log(n.Log, events.DrawGranted).Str("budget", r.Budget).Int64("tokens", r.Tokens).Send()
		case r.Kind == ledger.KindDraw:
			n.meter.Draw(meter.Refused)
			events.Log(n.Log, events.DrawRefused).Str("budget", r.Budget).Str("cause", string(r.Refused)).Send()
		case r.Kind == ledger.KindReturn && r.Refused == "":
			events.Log(n.Log, events.AllowanceReturned).Str("budget", r.Budget).Int64("tokens", r.Tokens).Send()
		case r.Kind == ledger.KindCharge && r.Repeated:
			events.Log(n.Log, events.DoubleCharge).Str("budget", r.Budget).Str("request_id", r.Request).Int64("added", r.Tokens).Send()
		}
	}
}

// onOnceApplied logs the events that items of this instance caused in a once stream.
func (n *Node) onOnceApplied(inc string, applied []once.Event) {
	for _, e := range applied {
		kind, ok := claimEvent(e)
		if inc == n.Incarnation && ok {
			events.Log(n.Log, kind).Str("key", e.Key).Send()
		}
	}
}

// claimEvent returns the log event for an event of a once stream.
func claimEvent(e once.Event) (events.Event, bool) {
	switch {
	case e.Kind == once.KindClaim && e.Won:
		return events.ClaimWon, true
	case e.Kind == once.KindClaim:
		return events.ClaimLost, true
	case e.Kind == once.KindVoid:
		return events.ClaimVoided, true
	case e.Kind == once.KindDoubt:
		return events.OutcomeUnknown, true
	}
	return events.Event{}, false
}

// logResultRecorder returns a function that records the result of each read, and the error of each failed append, of a
// stream.
func (n *Node) logResultRecorder(stream string) func(err error) {
	return func(err error) {
		n.logReachability.recordResult(err)
		var trimmed *tail.TrimmedError
		if errors.As(err, &trimmed) {
			events.Log(n.Log, events.Trimmed).Str("stream", stream).Int64("earliest", trimmed.Earliest).Send()
		}
	}
}

// onPeerContact logs when another instance becomes unreachable and when it is reachable again.
func (n *Node) onPeerContact(addr string, err error) {
	_, unreachable := n.unreachablePeers.Load(addr)
	switch {
	case err != nil && !unreachable:
		n.unreachablePeers.Store(addr, struct{}{})
		events.Log(n.Log, events.PeerUnreachable).Str("addr", addr).Err(err).Send()
	case err == nil && unreachable:
		n.unreachablePeers.Delete(addr)
		events.Log(n.Log, events.PeerBack).Str("addr", addr).Send()
	}
}

// onAttemptFailed logs a failed attempt.
func (n *Node) onAttemptFailed(t roster.Target, c serve.Call, err *serve.AttemptError) {
	e := events.AttemptFailed
	switch err.Kind {
	case serve.Silent:
		e = events.TargetSilent
	case serve.Crossed:
		e = events.FrameForeign
	case serve.Leaving:
		e = events.TargetLeaving
	}
	events.Log(n.Log, e).Str("target", t.ID).Str("request_id", c.RequestID).Int("attempt", c.Attempt).
		Str("kind", string(err.Kind)).Err(err.Err).Send()
}

// updateGauges updates the gauges until the context is done. It also logs when the instance is no longer ready or is ready
// again, and when the configuration becomes stale or is confirmed again.
func (n *Node) updateGauges(ctx context.Context) error {
	ready := true // at the start, which awaitStartup logs
	return runEvery(ctx, gaugeInterval, func(context.Context) {
		if n.started.Load() {
			wasReady := ready
			ready = n.Ready()
			n.logReadiness(wasReady, ready)
		}
		n.meter.LogReached(n.logReachability.isReachable())
		n.meter.ConfigVersion(n.config.load().version)
		n.meter.ConfigAge(n.ConfigAge())
		n.logStaleness()
		for i, replica := range n.Ledger {
			n.meter.LedgerOffset(i, replica.Feed.Next())
		}
	})
}

// logReadiness logs a change of readiness.
func (n *Node) logReadiness(wasReady, ready bool) {
	switch {
	case wasReady && !ready:
		events.Log(n.Log, events.NotReady).Send()
	case !wasReady && ready:
		events.Log(n.Log, events.Ready).Send()
	}
}

// burnReport merges the reports on service levels of all known instances.
func (n *Node) burnReport(ctx context.Context) (any, error) {
	now := time.Now()
	peers := n.view.Snapshot(now)
	reports := make([]burn.InstanceReport, 1+len(peers))
	reports[0] = n.burn.Report(now)
	var g errgroup.Group
	g.SetLimit(maxConcurrentReports)
	for i, p := range peers {
		g.Go(func() error {
			reports[i+1] = n.fetchBurnReport(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
	return burn.Merge(reports), nil
}

// fetchBurnReport returns the report of another instance, or one that states why it is missing.
func (n *Node) fetchBurnReport(ctx context.Context, p roster.Peer) burn.InstanceReport {
	var report burn.InstanceReport
	data, err := n.peerClient.Report(ctx, p.PeerAddr, reportBurn)
	if err == nil {
		err = json.Unmarshal(data, &report)
	}
	if err != nil {
		id := p.InstanceID
		if id == "" {
			id = p.PeerAddr
		}
		return burn.InstanceReport{Instance: id, Missing: err.Error()}
	}
	return report
}

// localReport returns a report of this instance in JSON.
func (n *Node) localReport(kind string) ([]byte, error) {
	switch kind {
	case reportState:
		return json.Marshal(n.localState())
	case reportBurn:
		return json.Marshal(n.burn.Report(time.Now()))
	default:
		return nil, fmt.Errorf("unknown report %q", kind)
	}
}

// onRateLimitChanged logs that a rate limit is named, changes or ends.
func (n *Node) onRateLimitChanged(target string, perSecond float64, limited bool) {
	event := events.RateLimitEnded
	if limited {
		event = events.RateLimitNamed
	}
	events.Log(n.Log, event).Str("target", target).Float64("per_second", perSecond).Send()
}
