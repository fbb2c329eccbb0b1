// Package actors runs an actor that owns a state, so that messages access the state one at a
// time.
package actors

import (
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"
)

// AskTimeout is the longest time that Ask waits for a response. Handlers do not block. It expires when the process is
// starved of resources, or when a handler defers its response until a record is read back from the log and the log is
// unreachable for that long.
const AskTimeout = 30 * time.Second

// Handle is a running actor.
type Handle struct {
	root *actor.RootContext
	pid  *actor.PID
}

// New starts an actor that passes each message to receive. A panic in receive is
// reported to onPanic and stops the actor, because the state may be inconsistent.
func New(system *actor.ActorSystem, receive func(actor.Context), onPanic func(reason any)) *Handle {
	decide := func(reason any) actor.Directive {
		onPanic(reason)
		return actor.StopDirective
	}
	strategy := actor.NewOneForOneStrategy(0, 0, decide)
	props := actor.PropsFromFunc(receive, actor.WithGuardian(strategy))
	return &Handle{root: system.Root, pid: system.Root.Spawn(props)}
}

// String returns the name of the actor for log lines.
func (h *Handle) String() string { return "actor " + h.pid.Id }

// Tell sends a message without waiting for a response.
func (h *Handle) Tell(msg any) { h.root.Send(h.pid, msg) }

// Ask sends a message and waits for the response.
func (h *Handle) Ask(msg any) (any, error) {
	response, err := h.root.RequestFuture(h.pid, msg, AskTimeout).Result()
	if err != nil {
		return nil, fmt.Errorf("wait for the response to %T: %w", msg, err)
	}
	return response, nil
}

// Stop stops the actor after it has handled the messages already queued.
func (h *Handle) Stop() { h.root.Poison(h.pid) }

// NewSystem returns an actor system that discards its own log lines, because this program logs
// numbered events only.
func NewSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
}
