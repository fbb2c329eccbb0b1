package node

import (
	"context"
	"slices"
	"strings"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/events"
	"cranberryrail/core/ledger"
	"cranberryrail/core/roster"
	"cranberryrail/io/oper"
)

func (n *Node) makeOper() {
	n.Oper = &oper.Server{
		ListenAddr: n.Settings.Operator.Listen, KeySHA256: n.Settings.Operator.KeySHA256,
		Publish:   n.publish,
		Templates: func() ([]conf.PublishedTemplate, error) { return n.config.load().templates, nil },
		TopUp:     n.topUp,
		Balances:  n.balances,
		Usage:     n.usage,
		Targets:   n.targets,
		Instances: n.instances,
		Reports:   map[string]func(ctx context.Context) (any, error){reportBurn: n.burnReport},
		Metrics:   n.meter.Handler(),
		OnInternal: func(path string, err error) {
			events.Log(n.Log, events.OperatorFailed).Str("path", path).Err(err).Send()
		},
		OnRefused: func(remote string) { events.Log(n.Log, events.OperatorRefused).Str("remote", remote).Send() },
	}
	n.Oper.Default()
}

func (n *Node) publish(c oper.Change) (conf.Outcome, error) {
	return n.Conf.Publish(conf.PublishRequest{
		ID: c.ID, Organisation: c.Organisation, BasedOn: c.BasedOn, Body: []byte(c.Template), By: c.By,
	}, c.Remove)
}

func (n *Node) topUp(t oper.TopUp) (oper.TopUpReply, error) {
	budget := ledger.BudgetKey(t.Organisation, t.Budget)
	if !n.listsBudget(t.Organisation, t.Budget) {
		return oper.TopUpReply{}, codes.Refuse(codes.UnlistedBudget, 0, "budget %s is not topped up, since nothing could spend its tokens; publish a template that lists it", budget)
	}
	r, err := n.LedgerOf(budget).TopUp(ledger.TopUp{ID: t.ID, Budget: budget, Tokens: t.Tokens})
	if err != nil {
		return oper.TopUpReply{}, err
	}
	switch r.Refused {
	case "":
		return oper.TopUpReply{Budget: budget, Tokens: t.Tokens, Repeated: r.Repeated}, nil
	case ledger.RefusedIDReused:
		return oper.TopUpReply{}, codes.Refuse(codes.TopUpReused, 0, "top-up %s of budget %s was refused; use a new id for another amount", t.ID, budget)
	default:
		return oper.TopUpReply{}, codes.Refuse(codes.BadRequest, 0, "top-up %s of budget %s was refused: %s; use a positive amount that keeps the paid total within %d", t.ID, budget, r.Refused, ledger.MaxPaid)
	}
}

// listsBudget reports whether the template of an organisation that is in force here lists a budget.
func (n *Node) listsBudget(organisation, budget string) bool {
	for _, t := range n.config.load().templates {
		if t.Template.Organisation == organisation {
			return slices.ContainsFunc(t.Template.Budgets, func(b conf.Budget) bool { return b.Name == budget })
		}
	}
	return false
}

func (n *Node) balances() ([]ledger.Balance, error) {
	var all []ledger.Balance
	for _, replica := range n.Ledger {
		b, err := replica.Balances()
		if err != nil {
			return nil, err
		}
		all = append(all, b...)
	}
	slices.SortFunc(all, func(a, b ledger.Balance) int { return strings.Compare(a.Budget, b.Budget) })
	return all, nil
}

func (n *Node) usage(budget string) (oper.Usage, error) {
	st, err := n.LedgerOf(budget).Statement(budget)
	if err != nil {
		return oper.Usage{}, err
	}
	out := oper.Usage{Budget: budget, Earlier: st.Usage.Earlier, Balance: &st.Balance, Bills: make([]oper.UsageBill, 0, len(st.Usage.Bills))}
	for _, b := range st.Usage.Bills {
		out.Bills = append(out.Bills, oper.UsageBill{Request: b.Request, Tokens: b.Tokens})
	}
	return out, nil
}

// TargetState is a target as this instance sees it.
type TargetState struct {
	roster.Target
	// Leaving reports that the target receives no new requests, whichever source reported that it is leaving.
	Leaving bool `json:"leaving"`
}

func (n *Node) targets() any {
	leaving, _ := n.Route.LeavingIncarnations()
	list := n.targetList()
	out := make([]TargetState, 0, len(list))
	for _, t := range list {
		out = append(out, TargetState{Target: t, Leaving: slices.Contains(leaving, t.Incarnation)})
	}
	return out
}

// stateReady is the state of an instance that accepts requests.
const stateReady = "ready"

// localState returns the state of this instance.
func (n *Node) localState() oper.InstanceState {
	age := n.ConfigAge()
	s := oper.InstanceState{
		ID: n.Settings.Instance.ID, Incarnation: n.Incarnation, Zone: n.Settings.Instance.Zone, PeerAddr: n.PeerAddr(),
		State: "starting", ConfigVersion: n.config.load().version, LogReached: n.logReachability.isReachable(), InFlight: n.Front.InFlight(),
		ConfigAgeMS: age.Milliseconds(), Stale: age > staleAfter, Stalled: n.freshness.stalledStreams(),
	}
	switch {
	case n.Front.Stopping():
		s.State = "stopping"
	case n.Ready():
		s.State = stateReady
	}
	return s
}

// ListEntry returns the entry of this instance in the platform's list.
func (n *Node) ListEntry() roster.Instance {
	return roster.Instance{
		ID: n.Settings.Instance.ID, Zone: n.Settings.Instance.Zone, CallerAddr: n.Front.Addr(),
		PeerAddr: n.PeerAddr(), OperatorAddr: n.Oper.Addr(), State: roster.Live,
	}
}
