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

// reportBurn is the kind of report on service levels.
const reportBurn = "burn"

// gaugeEvery is the time between two updates of gauges.
const gaugeEvery = time.Second

func (n *Node) makeMeters() {
	n.meter = &meter.Meter{}
	n.meter.Default()
	n.burn = &burn.Meter{Instance: n.Settings.Instance.ID, Objectives: n.objectives, Now: time.Now}
	n.burn.Default()
}

// objectives returns the objectives of an organisation.
func (n *Node) objectives(organisation string) (conf.Objectives, bool) {
	goals, ok := n.current.get().objectives[organisation]
	return goals, ok
}

// served counts what became of a request.
func (n *Node) served(s front.Served) {
	n.listed.use(time.Now())
	class := meter.NoClass
	if s.Organisation != "" {
		class = meter.ClassOf(s.Priority)
	}
	var code codes.Code
	sample := burn.Sample{Organisation: s.Organisation, Whole: true}
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
	}
}

// reserved counts the decision on a need.
func (n *Node) reserved(refused *codes.Error) {
	if refused == nil {
		n.meter.Reservation(meter.Granted)
		return
	}
	n.meter.Reservation(meter.Refused)
	if refused.Code == codes.BudgetExhausted {
		events.Log(n.Log, events.BudgetExhausted).Str("detail", refused.Detail).Send()
	}
}

// resultOf returns whether a record was taken.
func resultOf(err error) meter.Result {
	if err != nil {
		return meter.Refused
	}
	return meter.Granted
}

// opened counts a stream that goes on where an earlier one broke off.
func (n *Node) opened(c serve.Call) {
	if c.ResumeFrom > 0 {
		n.meter.StreamResumed()
		events.Log(n.Log, events.StreamResumed).Str("request_id", c.RequestID).Int("position", c.ResumeFrom).Send()
	}
}

// violated logs and counts a broken invariant of a ledger.
func (n *Node) violated(err error) {
	n.meter.Violation(meter.Overspend)
	events.Log(n.Log, events.Overspend).Err(err).Send()
}

// folded counts what the ledger decided on items of this instance.
func (n *Node) folded(inc string, results []ledger.Result) {
	for _, r := range results {
		switch {
		case !ledger.KnownKind(r.Kind):
			events.Log(n.Log, events.KindUnknown).Str("kind", r.Kind).Send()
		case r.Kind == ledger.KindTopUp && r.Refused == "" && !r.Repeated:
			events.Log(n.Log, events.TopUpAccepted).Str("budget", r.Budget).Int64("tokens", r.Tokens).Send()
		case inc != n.Inc:
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

// claimed logs what became of items of this instance in a once stream.
func (n *Node) claimed(inc string, noted []once.Event) {
	for _, e := range noted {
		kind, ok := claimEvent(e)
		if inc == n.Inc && ok {
			events.Log(n.Log, kind).Str("key", e.Key).Send()
		}
	}
}

// claimEvent returns the event of the log for an item of a once stream.
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

// contact notes the outcome of a read or append of a stream.
func (n *Node) contact(stream string) func(err error) {
	return func(err error) {
		n.reach.contact(err)
		var trimmed *tail.TrimmedError
		if errors.As(err, &trimmed) {
			events.Log(n.Log, events.Trimmed).Str("stream", stream).Int64("earliest", trimmed.Earliest).Send()
		}
	}
}

// peerContact logs when another instance goes out of reach and comes back.
func (n *Node) peerContact(addr string, err error) {
	_, lost := n.lost.Load(addr)
	switch {
	case err != nil && !lost:
		n.lost.Store(addr, struct{}{})
		events.Log(n.Log, events.PeerUnreachable).Str("addr", addr).Err(err).Send()
	case err == nil && lost:
		n.lost.Delete(addr)
		events.Log(n.Log, events.PeerBack).Str("addr", addr).Send()
	}
}

// broke logs and counts an attempt that failed.
func (n *Node) broke(t roster.Target, c serve.Call, err *serve.AttemptError) {
	e := events.StreamCut
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

// gauges keeps the gauges up to date.
func (n *Node) gauges(ctx context.Context) error {
	ready := false
	return every(ctx, gaugeEvery, func(context.Context) {
		if was := ready; n.primed.Load() {
			ready = n.Ready()
			if was && !ready {
				events.Log(n.Log, events.NotReady).Send()
			}
		}
		n.meter.LogReached(n.reach.ok())
		n.meter.ConfigVersion(n.current.get().version)
		n.meter.ConfigAge(n.ConfigAge())
		n.watchAge()
		for i, k := range n.Ledger {
			n.meter.LedgerOffset(i, k.Feed.Next())
		}
	})
}

// burnReport merges the reports on service levels of all instances that are known.
func (n *Node) burnReport(ctx context.Context) (any, error) {
	now := time.Now()
	peers := n.view.Snapshot(now)
	reports := make([]burn.InstanceReport, 1+len(peers))
	reports[0] = n.burn.Report(now)
	var g errgroup.Group
	g.SetLimit(reportSide)
	for i, p := range peers {
		g.Go(func() error {
			reports[i+1] = n.askBurn(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
	return burn.Merge(reports), nil
}

// askBurn returns the report of another instance, or one that says why it is missing.
func (n *Node) askBurn(ctx context.Context, p roster.Peer) burn.InstanceReport {
	var report burn.InstanceReport
	data, err := n.peers.Report(ctx, p.PeerAddr, reportBurn)
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

// ownReport returns a report of this instance in JSON.
func (n *Node) ownReport(kind string) ([]byte, error) {
	switch kind {
	case reportState:
		return json.Marshal(n.state())
	case reportBurn:
		return json.Marshal(n.burn.Report(time.Now()))
	default:
		return nil, fmt.Errorf("there is no report %q", kind)
	}
}
