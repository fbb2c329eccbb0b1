package once

import (
	"context"
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cranberryrail/core/codes"
	"cranberryrail/core/shard"
	"cranberryrail/core/tail"
)

// StopPollInterval is the interval at which a stopping replica checks whether its records were read back.
const StopPollInterval = 20 * time.Millisecond

// Replica runs the actor that folds one once stream and decides on claims with the book of this instance.
// Exported fields are set before Run.
type Replica struct {
	// System runs the actor.
	System *actor.ActorSystem
	// Feed follows and writes the stream.
	Feed *tail.Feed
	// Book decides on claims. Default sets its Incarnation, Send and OnDecision, and its Now if that is nil.
	Book *Book
	// OnApplied is called with the events of each batch; optional.
	OnApplied func(inc string, events []Event)
	// OnPanic is called when the actor panicked or did not respond; the process should then exit.
	OnPanic func(reason any)

	streamActor *shard.StreamActor
	requesters  map[int64]*actor.PID
}

// claimMsg requests a Decision; id is set and read only by the actor.
type claimMsg struct {
	key    string
	digest uint64
	id     int64
}

// cancelMsg cancels a claimMsg whose requester got no response.
type cancelMsg struct{ claim *claimMsg }

// finishMsg, voidMsg and doubtMsg end a call whose claim was won.
type (
	finishMsg struct{ result Result }
	voidMsg   struct{ key string }
	doubtMsg  struct{ key string }
)

// logReachableMsg reports whether the platform's log is reachable.
type logReachableMsg struct{ reachable bool }

// byeMsg sends the last item of the incarnation; it is its own response.
type byeMsg struct{}

// inFlightMsg queries the number of calls in flight.
type inFlightMsg struct{}

// String returns the name of the replica for logs.
func (r *Replica) String() string { return "once replica of " + r.Feed.Stream }

// Default sets default values for fields that are not set and starts the actor.
func (r *Replica) Default() {
	if r.OnApplied == nil {
		r.OnApplied = func(string, []Event) {}
	}
	r.requesters = map[int64]*actor.PID{}
	r.Book.Incarnation = r.Feed.Incarnation
	r.Book.Send = r.Feed.Add
	r.Book.OnDecision = r.respondDecision
	if r.Book.Now == nil {
		r.Book.Now = time.Now
	}
	r.Book.Default()
	r.streamActor = &shard.StreamActor{
		System: r.System, Feed: r.Feed, OnPanic: r.OnPanic, Receive: r.receive, Restore: r.Book.Restore,
		Save:  r.Book.Fold.Save,
		Apply: r.apply,
		OnTick: func(ready bool) {
			r.Book.SetReady(ready)
			r.Book.Tick()
		},
	}
	r.streamActor.Default()
}

// Run follows the stream until the context is done.
func (r *Replica) Run(ctx context.Context) error { return r.streamActor.Run(ctx) }

// receive handles one message at a time.
func (r *Replica) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *claimMsg:
		r.Book.SetReady(r.Feed.Ready())
		id, decision := r.Book.Claim(m.key, m.digest)
		m.id = id
		if decision != nil {
			ctx.Respond(*decision)
			return
		}
		r.requesters[id] = ctx.Sender()
	case cancelMsg:
		r.Book.Cancel(m.claim.key, m.claim.id)
		delete(r.requesters, m.claim.id)
	case finishMsg:
		r.Book.Finish(m.result)
	case voidMsg:
		r.Book.Void(m.key)
	case doubtMsg:
		r.Book.MarkInDoubt(m.key)
	case logReachableMsg:
		r.Book.SetLogReachable(m.reachable)
	case inFlightMsg:
		ctx.Respond(r.Book.InFlight())
	case byeMsg:
		r.Book.CloseIncarnation()
		ctx.Respond(byeMsg{})
	}
}

// respondDecision responds to the requester of a decision that had to wait. It runs within receive.
func (r *Replica) respondDecision(id int64, decision Decision) {
	r.streamActor.Respond(r.requesters[id], decision)
	delete(r.requesters, id)
}

// Claim obtains the decision on a call. A caller that won ends the call with Finish, Void or MarkInDoubt.
func (r *Replica) Claim(key string, digest uint64) (Decision, error) {
	claim := &claimMsg{key: key, digest: digest}
	response, err := r.streamActor.Ask(claim)
	if err != nil {
		r.streamActor.Tell(cancelMsg{claim: claim})
		return Decision{}, codes.From(err, codes.NotRun)
	}
	return response.(Decision), nil
}

// Finish records the answer of a call whose claim was won.
func (r *Replica) Finish(m Result) { r.streamActor.Tell(finishMsg{result: m}) }

// Void voids a claim that was won and whose call was not dispatched.
func (r *Replica) Void(key string) { r.streamActor.Tell(voidMsg{key: key}) }

// MarkInDoubt records that the outcome of a dispatched call is unknown.
func (r *Replica) MarkInDoubt(key string) { r.streamActor.Tell(doubtMsg{key: key}) }

// SetLogReachable reports to the book whether the platform's log is reachable.
func (r *Replica) SetLogReachable(reachable bool) {
	r.streamActor.Tell(logReachableMsg{reachable: reachable})
}

// Stop waits for the calls in flight and for their records to be read back, and closes
// the incarnation.
func (r *Replica) Stop(ctx context.Context) error {
	if err := shard.DrainFeed(ctx, r.Feed, StopPollInterval, r.inFlight, r.bye); err != nil {
		return fmt.Errorf("wait for the results of calls to be recorded in stream %s: %w", r.Feed.Stream, err)
	}
	return nil
}

// inFlight returns the number of calls in flight.
func (r *Replica) inFlight() (int, error) {
	n, err := r.streamActor.Ask(inFlightMsg{})
	if err != nil {
		return 0, err
	}
	return n.(int), nil
}

// bye sends the last item of the incarnation.
func (r *Replica) bye() error {
	_, err := r.streamActor.Ask(byeMsg{})
	return err
}

// apply folds one batch. After a Bye it closes the incarnation, so that later records of it are rejected.
func (r *Replica) apply(offset int64, b tail.Batch) error {
	events, err := r.Book.Apply(b)
	r.OnApplied(b.Incarnation, events)
	for _, e := range events {
		if e.Kind == KindBye {
			r.Feed.CloseIncarnation(offset, b.Incarnation)
		}
	}
	return err
}
