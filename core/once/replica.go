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

// StopPollInterval is the interval at which a stopping keeper checks whether its records were read back.
const StopPollInterval = 20 * time.Millisecond

// Replica runs the actor that folds one once stream and decides on claims with the book of this instance.
// Exported fields are set before Run.
type Replica struct {
	// System runs the actor.
	System *actor.ActorSystem
	// Feed follows and writes the stream.
	Feed *tail.Feed
	// Book decides on claims. Default sets its Inc, Send and Decided, and its Now if that is nil.
	Book *Book
	// OnApplied is called with the events of each batch; optional.
	OnApplied func(inc string, noted []Event)
	// OnPanic is called when the actor panicked; the process should then exit.
	OnPanic func(reason any)

	shard      *shard.Shard
	requesters map[int64]*actor.PID
}

// claimMsg requests a Ruling; id is set and read only by the actor.
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

// String returns the name of the keeper for logs.
func (k *Replica) String() string { return "once keeper of " + k.Feed.Stream }

// Default sets default values for fields that are not set and starts the actor.
func (k *Replica) Default() {
	if k.OnApplied == nil {
		k.OnApplied = func(string, []Event) {}
	}
	k.requesters = map[int64]*actor.PID{}
	k.Book.Incarnation = k.Feed.Incarnation
	k.Book.Send = k.Feed.Add
	k.Book.OnDecision = k.respondDecided
	if k.Book.Now == nil {
		k.Book.Now = time.Now
	}
	k.Book.Default()
	k.shard = &shard.Shard{
		System: k.System, Feed: k.Feed, OnPanic: k.OnPanic, Receive: k.receive, Restore: k.Book.Restore,
		Save:  k.Book.Fold.Save,
		Apply: k.apply,
		OnTick: func(ready bool) {
			k.Book.SetReady(ready)
			k.Book.Tick()
		},
	}
	k.shard.Default()
}

// Run follows the stream until the context is done.
func (k *Replica) Run(ctx context.Context) error { return k.shard.Run(ctx) }

// receive handles one message at a time.
func (k *Replica) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *claimMsg:
		k.Book.SetReady(k.Feed.Ready())
		id, ruling := k.Book.Claim(m.key, m.digest)
		m.id = id
		if ruling != nil {
			ctx.Respond(*ruling)
			return
		}
		k.requesters[id] = ctx.Sender()
	case cancelMsg:
		k.Book.Cancel(m.claim.key, m.claim.id)
		delete(k.requesters, m.claim.id)
	case finishMsg:
		k.Book.Finish(m.result)
	case voidMsg:
		k.Book.Void(m.key)
	case doubtMsg:
		k.Book.MarkInDoubt(m.key)
	case logReachableMsg:
		k.Book.SetLogReachable(m.reachable)
	case inFlightMsg:
		ctx.Respond(k.Book.InFlight())
	case byeMsg:
		k.Book.Bye()
		ctx.Respond(byeMsg{})
	}
}

// respondDecided responds to the requester of a ruling that had to wait. It runs within receive.
func (k *Replica) respondDecided(id int64, r Decision) {
	k.shard.Respond(k.requesters[id], r)
	delete(k.requesters, id)
}

// Claim obtains the ruling on a call. A caller that won ends the call with Finish, GiveUp or Doubt.
func (k *Replica) Claim(key string, digest uint64) (Decision, error) {
	claim := &claimMsg{key: key, digest: digest}
	response, err := k.shard.Ask(claim)
	if err != nil {
		k.shard.Tell(cancelMsg{claim: claim})
		return Decision{}, codes.From(err, codes.NotRun)
	}
	return response.(Decision), nil
}

// Finish records the answer of a call whose claim was won.
func (k *Replica) Finish(m Result) { k.shard.Tell(finishMsg{result: m}) }

// Void voids a claim that was won and whose call was not dispatched.
func (k *Replica) Void(key string) { k.shard.Tell(voidMsg{key: key}) }

// MarkInDoubt records that the outcome of a dispatched call is unknown.
func (k *Replica) MarkInDoubt(key string) { k.shard.Tell(doubtMsg{key: key}) }

// SetLogReachable reports to the book whether the platform's log is reachable.
func (k *Replica) SetLogReachable(reachable bool) {
	k.shard.Tell(logReachableMsg{reachable: reachable})
}

// Stop waits for the calls in flight and for their records to be read back, and closes
// the incarnation.
func (k *Replica) Stop(ctx context.Context) error {
	if err := shard.DrainFeed(ctx, k.Feed, StopPollInterval, k.inFlight, k.bye); err != nil {
		return fmt.Errorf("record the results of %s: %w", k.Feed.Stream, err)
	}
	return nil
}

// inFlight returns the number of calls in flight.
func (k *Replica) inFlight() (int, error) {
	n, err := k.shard.Ask(inFlightMsg{})
	if err != nil {
		return 0, err
	}
	return n.(int), nil
}

// bye sends the last item of the incarnation.
func (k *Replica) bye() error {
	_, err := k.shard.Ask(byeMsg{})
	return err
}

// apply folds one batch. After a Bye it closes the incarnation, so that later records of it are rejected.
func (k *Replica) apply(offset int64, b tail.Batch) error {
	events, err := k.Book.Apply(b)
	k.OnApplied(b.Incarnation, events)
	for _, e := range events {
		if e.Kind == KindBye {
			k.Feed.Close(offset, b.Incarnation)
		}
	}
	return err
}
