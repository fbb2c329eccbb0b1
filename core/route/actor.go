package route

import (
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cranberryrail/core/codes"
	"cranberryrail/core/roster"
)

// Messages of Actor.
type (
	// PickMsg requests a target. The actor responds with *PickReply.
	PickMsg struct {
		Request    Request
		dispatchID int64
	}
	// PickReply holds the choice, or the error that refuses the request.
	PickReply struct {
		Choice Choice
		Err    error
	}
	// DoneMsg reports the outcome of a dispatch.
	DoneMsg struct {
		DispatchID int64
		Outcome    Outcome
	}
	// ProgressMsg reports that the first event of a dispatch has come, and its output tokens once it is complete.
	ProgressMsg struct{ DispatchID, Output int64 }
	// SilentMsg reports that the target of a dispatch has sent nothing for long.
	SilentMsg struct{ DispatchID int64 }
	// ReportMsg holds the load report of a target.
	ReportMsg struct {
		ID   string
		Load roster.Load
	}
	// SetTargetsMsg holds the platform's list of targets and the number of live instances; 0 leaves the number
	// unchanged.
	SetTargetsMsg struct {
		Targets   []roster.Target
		Instances int
	}
	// PauseMsg excludes an incarnation of a target from the choice for a time.
	PauseMsg struct {
		ID, Incarnation string
		Pause           time.Duration
	}
	// ReadmitMsg ends the ejections of all targets of a service.
	ReadmitMsg struct{ Service string }
	// BrittleMsg states how many requests a second an incarnation of a target turns away without falling over; 0 if it is not brittle.
	BrittleMsg struct {
		ID, Incarnation string
		PerSecond       float64
	}
	// FleetMsg states the ids of this and of all instances, and whether the others may not know of this one yet.
	FleetMsg struct {
		Own    string
		IDs    []string
		Joined bool
	}
	// LeavingMsg marks incarnations as leaving.
	LeavingMsg struct{ Incarnations []string }
	// LeavingQuery requests the incarnations that are marked as leaving. The actor responds with *LeavingReply.
	LeavingQuery struct{}
	// LeavingReply holds the incarnations that are marked as leaving.
	LeavingReply struct{ Incarnations []string }
	// AcquireMsg admits a request, which also adds to the retry budget. The actor responds with *AcquireReply.
	AcquireMsg struct {
		Organisation string
		Limit        int
		acquired     bool
	}
	// AcquireReply holds the error of a refused request, nil for an admitted one.
	AcquireReply struct{ Err error }
	// ReleaseMsg ends an admitted request.
	ReleaseMsg struct{ Organisation string }
	// RetryMsg requests a retry from the organisation's budget. The actor responds with *RetryReply.
	RetryMsg struct{ Organisation string }
	// RetryReply reports whether the budget allows the retry.
	RetryReply struct{ Allowed bool }
	// EvacuatedMsg sets the zones whose targets get no new request.
	EvacuatedMsg struct{ Zones []string }
	// InFlightQuery requests the requests in flight in evacuated zones. The actor responds with *InFlightReply.
	InFlightQuery struct{}
	// InFlightReply holds the requests in flight in evacuated zones.
	InFlightReply struct{ Zones map[string]int }
	// AbandonMsg undoes a PickMsg or AcquireMsg whose sender timed out before the response.
	AbandonMsg struct{ Msg any }
)

// Actor holds the routing state of an instance and serialises access to it. Exported
// fields must be set before it is spawned.
type Actor struct {
	Balancer Balancer
	Retries  Retries
	Limits   Limits
}

// String returns the name of the actor for logs.
func (a *Actor) String() string { return "route actor: " + a.Balancer.String() }

// Default sets the defaults of empty fields.
func (a *Actor) Default() {
	a.Balancer.Default()
	a.Retries.Default()
	a.Limits.Default()
}

// Props returns the properties to spawn the actor with.
func (a *Actor) Props() *actor.Props {
	a.Default()
	return actor.PropsFromProducer(func() actor.Actor { return a })
}

// Receive implements actor.Actor.
func (a *Actor) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case *PickMsg:
		choice, err := a.Balancer.Pick(m.Request)
		m.dispatchID = choice.DispatchID
		c.Respond(&PickReply{Choice: choice, Err: err})
	case *DoneMsg:
		a.Balancer.Done(m.DispatchID, m.Outcome)
	case *ReportMsg:
		a.Balancer.Report(m.ID, m.Load, a.Balancer.Now())
	case *SetTargetsMsg:
		a.Balancer.SetTargets(m.Targets)
		if m.Instances > 0 {
			a.Balancer.Instances = m.Instances
		}
	case *LeavingMsg:
		for _, incarnation := range m.Incarnations {
			a.Balancer.MarkLeaving(incarnation)
		}
	case *LeavingQuery:
		c.Respond(&LeavingReply{Incarnations: a.Balancer.LeavingIncarnations()})
	case *AcquireMsg:
		c.Respond(&AcquireReply{Err: a.acquire(m)})
	case *ReleaseMsg:
		a.Limits.Release(m.Organisation)
	case *RetryMsg:
		c.Respond(&RetryReply{Allowed: a.Retries.Withdraw(m.Organisation)})
	case *AbandonMsg:
		a.abandon(m.Msg)
	case *InFlightQuery:
		c.Respond(&InFlightReply{a.Balancer.InFlightIn()})
	default:
		a.observe(m)
	}
}

// observe applies what was observed of targets, and what restricts those that this instance may send requests to.
func (a *Actor) observe(msg any) {
	switch m := msg.(type) {
	case *ProgressMsg:
		a.Balancer.Progress(m.DispatchID, m.Output)
	case *SilentMsg:
		a.Balancer.Silent(m.DispatchID)
	case *PauseMsg:
		a.Balancer.Pause(m.ID, m.Incarnation, m.Pause)
	case *ReadmitMsg:
		a.Balancer.Readmit(m.Service)
	case *BrittleMsg:
		a.Balancer.SetBrittle(m.ID, m.Incarnation, m.PerSecond)
	case *FleetMsg:
		a.Balancer.SetFleet(m.Own, m.IDs, m.Joined)
	case *EvacuatedMsg:
		a.Balancer.SetEvacuated(m.Zones)
	}
}

func (a *Actor) acquire(m *AcquireMsg) error {
	if err := a.Limits.Acquire(m.Organisation, m.Limit); err != nil {
		return err
	}
	m.acquired = true
	a.Retries.Deposit(m.Organisation)
	return nil
}

func (a *Actor) abandon(msg any) {
	switch m := msg.(type) {
	case *PickMsg:
		a.Balancer.Done(m.dispatchID, Cancelled)
	case *AcquireMsg:
		if m.acquired {
			a.Limits.Release(m.Organisation)
		}
	}
}

// DefaultTimeout is how long a Client waits for the response of the actor.
const DefaultTimeout = time.Second

// Client calls the actor with typed arguments. It is safe for concurrent use.
type Client struct {
	Root *actor.RootContext
	PID  *actor.PID
	// Timeout is how long to wait for a response; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Pick chooses a target. The caller must end each choice with Done.
func (c *Client) Pick(r Request) (Choice, error) {
	reply, err := c.request(&PickMsg{Request: r})
	if err != nil {
		return Choice{}, err
	}
	picked := reply.(*PickReply)
	return picked.Choice, picked.Err
}

// Done reports the outcome of a choice.
func (c *Client) Done(dispatchID int64, o Outcome) {
	c.Root.Send(c.PID, &DoneMsg{DispatchID: dispatchID, Outcome: o})
}

// Progress reports the first event of a choice, and its output tokens once it is complete.
func (c *Client) Progress(dispatchID, output int64) {
	c.Root.Send(c.PID, &ProgressMsg{dispatchID, output})
}

// Silent reports that the target of a choice has sent nothing for long, while the dispatch goes on.
func (c *Client) Silent(dispatchID int64) { c.Root.Send(c.PID, &SilentMsg{dispatchID}) }

// Report forwards the load report of a target to the actor.
func (c *Client) Report(id string, l roster.Load) {
	c.Root.Send(c.PID, &ReportMsg{ID: id, Load: l})
}

// SetTargets forwards the platform's list of targets and the number of live instances to the actor.
func (c *Client) SetTargets(list []roster.Target, instances int) {
	c.Root.Send(c.PID, &SetTargetsMsg{Targets: list, Instances: instances})
}

// Pause excludes an incarnation of a target from the choice for a time, at the target's own request.
func (c *Client) Pause(id, incarnation string, pause time.Duration) {
	c.Root.Send(c.PID, &PauseMsg{ID: id, Incarnation: incarnation, Pause: pause})
}

// SetBrittle states how many requests a second an incarnation of a target turns away without falling over; 0 if it is not brittle.
func (c *Client) SetBrittle(id, incarnation string, perSecond float64) {
	c.Root.Send(c.PID, &BrittleMsg{id, incarnation, perSecond})
}

// SetFleet sets the ids of all instances, which share what brittle targets take, and that of this one, and whether the others may not know of it yet.
func (c *Client) SetFleet(own string, ids []string, joined bool) {
	c.Root.Send(c.PID, &FleetMsg{own, ids, joined})
}

// SetEvacuated sets the zones whose targets get no new request.
func (c *Client) SetEvacuated(zones []string) { c.Root.Send(c.PID, &EvacuatedMsg{zones}) }

// InFlightIn returns the number of requests in flight at targets in each evacuated zone.
func (c *Client) InFlightIn() (map[string]int, error) {
	reply, err := c.request(&InFlightQuery{})
	if err != nil {
		return nil, err
	}
	return reply.(*InFlightReply).Zones, nil
}

// Readmit ends the ejections of all targets of a service.
func (c *Client) Readmit(service string) { c.Root.Send(c.PID, &ReadmitMsg{service}) }

// MarkLeaving marks incarnations as leaving.
func (c *Client) MarkLeaving(incarnations ...string) {
	c.Root.Send(c.PID, &LeavingMsg{Incarnations: incarnations})
}

// LeavingIncarnations returns the incarnations that are marked as leaving.
func (c *Client) LeavingIncarnations() ([]string, error) {
	reply, err := c.request(&LeavingQuery{})
	if err != nil {
		return nil, err
	}
	return reply.(*LeavingReply).Incarnations, nil
}

// Acquire admits a request of the organisation. The caller must end each admitted request with Release.
func (c *Client) Acquire(org string, limit int) error {
	reply, err := c.request(&AcquireMsg{Organisation: org, Limit: limit})
	if err != nil {
		return err
	}
	return reply.(*AcquireReply).Err
}

// Release ends an admitted request.
func (c *Client) Release(org string) { c.Root.Send(c.PID, &ReleaseMsg{Organisation: org}) }

// TryRetry takes a retry from the organisation's budget and reports whether the budget allowed it.
func (c *Client) TryRetry(org string) bool {
	reply, err := c.request(&RetryMsg{Organisation: org})
	return err == nil && reply.(*RetryReply).Allowed
}

func (c *Client) request(msg any) (any, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	reply, err := c.Root.RequestFuture(c.PID, msg, timeout).Result()
	if err != nil {
		c.Root.Send(c.PID, &AbandonMsg{Msg: msg})
		return nil, &codes.Error{
			Code: codes.Internal, Run: codes.NotRun, RetryAfter: LimitRetryAfter,
			Detail: fmt.Sprintf("send %T to the route actor: no response within %s; the instance may be overloaded", msg, timeout), Err: err,
		}
	}
	return reply, nil
}
