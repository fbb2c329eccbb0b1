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
	// PickMsg asks for a target; answered with *PickReply.
	PickMsg struct {
		Request Request
		token   int64
	}
	// PickReply holds the choice or the refusal.
	PickReply struct {
		Choice Choice
		Err    error
	}
	// DoneMsg gives the outcome of a dispatch.
	DoneMsg struct {
		Token   int64
		Outcome Outcome
	}
	// ReportMsg gives a target's load report.
	ReportMsg struct {
		ID   string
		Load roster.Load
	}
	// SetTargetsMsg gives the platform's list and the number of live instances on it; 0 keeps the number.
	SetTargetsMsg struct {
		Targets   []roster.Target
		Instances int
	}
	// LeavingMsg marks incarnations as leaving.
	LeavingMsg struct{ Incarnations []string }
	// LeavingQuery asks for the marked incarnations; answered with *LeavingReply.
	LeavingQuery struct{}
	// LeavingReply holds the marked incarnations.
	LeavingReply struct{ Incarnations []string }
	// EnterMsg asks to start a request, which also earns retries; answered with *EnterReply.
	EnterMsg struct {
		Organisation string
		Limit        int
		entered      bool
	}
	// EnterReply holds the refusal, if it is one.
	EnterReply struct{ Err error }
	// LeaveMsg ends a request that entered.
	LeaveMsg struct{ Organisation string }
	// RetryMsg asks to spend a retry; answered with *RetryReply.
	RetryMsg struct{ Organisation string }
	// RetryReply reports whether the retry is inside the budget.
	RetryReply struct{ Allowed bool }
	// AbandonMsg takes back a PickMsg or EnterMsg whose answer came too late for its sender.
	AbandonMsg struct{ Msg any }
)

// Actor holds the routing state of an instance and serialises access to it. Exported
// fields are set before it is spawned.
type Actor struct {
	Table   Table
	Retries Retries
	Limits  Limits
}

// String names the actor for logs.
func (a *Actor) String() string { return "route actor: " + a.Table.String() }

// Default fills fields that were left empty.
func (a *Actor) Default() {
	a.Table.Default()
	a.Retries.Default()
	a.Limits.Default()
}

// Props returns the properties to spawn the actor with.
func (a *Actor) Props() *actor.Props {
	a.Default()
	return actor.PropsFromProducer(func() actor.Actor { return a })
}

// Receive handles one message.
func (a *Actor) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case *PickMsg:
		choice, err := a.Table.Pick(m.Request)
		m.token = choice.Token
		c.Respond(&PickReply{Choice: choice, Err: err})
	case *DoneMsg:
		a.Table.Done(m.Token, m.Outcome)
	case *ReportMsg:
		a.Table.Report(m.ID, m.Load, a.Table.Now())
	case *SetTargetsMsg:
		a.Table.SetTargets(m.Targets)
		if m.Instances > 0 {
			a.Table.Instances = m.Instances
		}
	case *LeavingMsg:
		for _, incarnation := range m.Incarnations {
			a.Table.Leaving(incarnation)
		}
	case *LeavingQuery:
		c.Respond(&LeavingReply{Incarnations: a.Table.LeavingIncarnations()})
	case *EnterMsg:
		c.Respond(&EnterReply{Err: a.enter(m)})
	case *LeaveMsg:
		a.Limits.Leave(m.Organisation)
	case *RetryMsg:
		c.Respond(&RetryReply{Allowed: a.Retries.Spend(m.Organisation)})
	case *AbandonMsg:
		a.abandon(m.Msg)
	}
}

func (a *Actor) enter(m *EnterMsg) error {
	if err := a.Limits.Enter(m.Organisation, m.Limit); err != nil {
		return err
	}
	m.entered = true
	a.Retries.Earn(m.Organisation)
	return nil
}

func (a *Actor) abandon(msg any) {
	switch m := msg.(type) {
	case *PickMsg:
		a.Table.Done(m.token, Cancelled)
	case *EnterMsg:
		if m.entered {
			a.Limits.Leave(m.Organisation)
		}
	}
}

// DefaultTimeout is how long a Client waits for the actor's answer.
const DefaultTimeout = time.Second

// Client calls the actor with typed arguments. It is safe for concurrent use.
type Client struct {
	Root *actor.RootContext
	PID  *actor.PID
	// Timeout is how long an answer is waited for; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Pick chooses a target. Each choice is ended by Done.
func (c *Client) Pick(r Request) (Choice, error) {
	reply, err := c.ask(&PickMsg{Request: r})
	if err != nil {
		return Choice{}, err
	}
	picked := reply.(*PickReply)
	return picked.Choice, picked.Err
}

// Done gives the outcome of a choice.
func (c *Client) Done(token int64, o Outcome) {
	c.Root.Send(c.PID, &DoneMsg{Token: token, Outcome: o})
}

// Report passes on a target's load report.
func (c *Client) Report(id string, l roster.Load) {
	c.Root.Send(c.PID, &ReportMsg{ID: id, Load: l})
}

// SetTargets passes on the platform's list and the number of live instances on it.
func (c *Client) SetTargets(list []roster.Target, instances int) {
	c.Root.Send(c.PID, &SetTargetsMsg{Targets: list, Instances: instances})
}

// Leaving marks incarnations as leaving.
func (c *Client) Leaving(incarnations ...string) {
	c.Root.Send(c.PID, &LeavingMsg{Incarnations: incarnations})
}

// LeavingIncarnations returns the marked incarnations.
func (c *Client) LeavingIncarnations() ([]string, error) {
	reply, err := c.ask(&LeavingQuery{})
	if err != nil {
		return nil, err
	}
	return reply.(*LeavingReply).Incarnations, nil
}

// Enter starts a request of the organisation. Each that entered is ended by Leave.
func (c *Client) Enter(org string, limit int) error {
	reply, err := c.ask(&EnterMsg{Organisation: org, Limit: limit})
	if err != nil {
		return err
	}
	return reply.(*EnterReply).Err
}

// Leave ends a request that entered.
func (c *Client) Leave(org string) { c.Root.Send(c.PID, &LeaveMsg{Organisation: org}) }

// Retry reports whether a retry is inside the organisation's budget and takes it.
func (c *Client) Retry(org string) bool {
	reply, err := c.ask(&RetryMsg{Organisation: org})
	return err == nil && reply.(*RetryReply).Allowed
}

func (c *Client) ask(msg any) (any, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	reply, err := c.Root.RequestFuture(c.PID, msg, timeout).Result()
	if err != nil {
		c.Root.Send(c.PID, &AbandonMsg{Msg: msg})
		return nil, &codes.Error{
			Code: codes.Internal, Run: codes.NotRun, RetryAfter: EnterRetry,
			Detail: fmt.Sprintf("ask the route actor for %T: no answer within %s; the instance may be overloaded", msg, timeout), Err: err,
		}
	}
	return reply, nil
}
