// Package agent runs the state of a slice as an actor, so that one message at a
// time touches it.
package agent

import (
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"
)

// AskTimeout bounds how long a question to an agent may take. Handlers do not
// block, so that it is reached only when the process is starved.
const AskTimeout = 30 * time.Second

// Agent is the actor of one slice.
type Agent struct {
	root *actor.RootContext
	pid  *actor.PID
}

// New starts an actor that passes each message to receive. A panic in receive is
// passed to failed and stops the actor: the state may be broken.
func New(system *actor.ActorSystem, receive func(actor.Context), failed func(reason any)) *Agent {
	decide := func(reason any) actor.Directive {
		failed(reason)
		return actor.StopDirective
	}
	strategy := actor.NewOneForOneStrategy(0, 0, decide)
	props := actor.PropsFromFunc(receive, actor.WithGuardian(strategy))
	return &Agent{root: system.Root, pid: system.Root.Spawn(props)}
}

// String names the agent for logs.
func (a *Agent) String() string { return "agent " + a.pid.Id }

// Tell sends a message without waiting.
func (a *Agent) Tell(msg any) { a.root.Send(a.pid, msg) }

// Ask sends a message and waits for the response.
func (a *Agent) Ask(msg any) (any, error) {
	response, err := a.root.RequestFuture(a.pid, msg, AskTimeout).Result()
	if err != nil {
		return nil, fmt.Errorf("ask for %T: %w", msg, err)
	}
	return response, nil
}

// Stop stops the actor after the messages that it already has.
func (a *Agent) Stop() { a.root.Poison(a.pid) }

// Quiet returns an actor system that keeps its own logs to itself; the slices log
// numbered events.
func Quiet() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(silentLogger))
}
