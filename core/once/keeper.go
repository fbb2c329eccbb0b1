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

// StopPoll is how often a stopping keeper looks whether its records were read back.
const StopPoll = 20 * time.Millisecond

// Keeper keeps one once stream: its folded state and the book of this instance.
// Exported fields are set before Run.
type Keeper struct {
	// System runs the actor.
	System *actor.ActorSystem
	// Feed follows and writes the stream.
	Feed *tail.Feed
	// Book decides; its Send, Decided and Now are set by Default where empty.
	Book *Book
	// Noted is told what became of the items of each batch; optional.
	Noted func(inc string, noted []Event)
	// Failed is told when the actor panicked; the process should end.
	Failed func(reason any)

	shard  *shard.Shard
	askers map[int64]*actor.PID
}

// claimMsg asks for a Ruling; id is set by the actor and read by nobody else.
type claimMsg struct {
	key    string
	digest uint64
	id     int64
}

// cancelMsg withdraws a claimMsg whose asker got no response.
type cancelMsg struct{ claim *claimMsg }

// finishMsg, giveUpMsg and doubtMsg end a call that was won.
type (
	finishMsg struct{ result Result }
	giveUpMsg struct{ key string }
	doubtMsg  struct{ key string }
)

// logMsg tells whether the platform's log is in reach.
type logMsg struct{ reached bool }

// byeMsg sends the last item of the incarnation; it is its own response.
type byeMsg struct{}

// busyMsg asks for the number of calls in flight.
type busyMsg struct{}

// String names the keeper for logs.
func (k *Keeper) String() string { return "once keeper of " + k.Feed.Stream }

// Default fills fields that were left empty and starts the actor.
func (k *Keeper) Default() {
	if k.Noted == nil {
		k.Noted = func(string, []Event) {}
	}
	k.askers = map[int64]*actor.PID{}
	k.Book.Inc = k.Feed.Inc
	k.Book.Send = k.Feed.Add
	k.Book.Decided = k.decided
	if k.Book.Now == nil {
		k.Book.Now = time.Now
	}
	k.Book.Default()
	k.shard = &shard.Shard{
		System: k.System, Feed: k.Feed, Failed: k.Failed, Receive: k.receive, Restore: k.Book.Restore,
		Save:  k.Book.Fold.Save,
		Apply: k.apply,
		Tick: func(ready bool) {
			k.Book.SetReady(ready)
			k.Book.Tick()
		},
	}
	k.shard.Default()
}

// Run keeps the stream until the context ends.
func (k *Keeper) Run(ctx context.Context) error { return k.shard.Run(ctx) }

// receive handles one message at a time.
func (k *Keeper) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *claimMsg:
		k.Book.SetReady(k.Feed.Ready())
		id, ruling := k.Book.Claim(m.key, m.digest)
		m.id = id
		if ruling != nil {
			ctx.Respond(*ruling)
			return
		}
		k.askers[id] = ctx.Sender()
	case cancelMsg:
		k.Book.Cancel(m.claim.key, m.claim.id)
		delete(k.askers, m.claim.id)
	case finishMsg:
		k.Book.Finish(m.result)
	case giveUpMsg:
		k.Book.GiveUp(m.key)
	case doubtMsg:
		k.Book.Doubt(m.key)
	case logMsg:
		k.Book.SetLog(m.reached)
	case busyMsg:
		ctx.Respond(k.Book.InFlight())
	case byeMsg:
		k.Book.Bye()
		ctx.Respond(byeMsg{})
	}
}

// decided tells the asker of a ruling that had to wait; it runs within receive.
func (k *Keeper) decided(id int64, r Ruling) {
	k.shard.Answer(k.askers[id], r)
	delete(k.askers, id)
}

// Claim obtains the ruling on a call. Whoever wins ends the call with Finish, GiveUp
// or Doubt.
func (k *Keeper) Claim(key string, digest uint64) (Ruling, error) {
	claim := &claimMsg{key: key, digest: digest}
	response, err := k.shard.Ask(claim)
	if err != nil {
		k.shard.Tell(cancelMsg{claim: claim})
		return Ruling{}, codes.From(err, codes.NotRun)
	}
	return response.(Ruling), nil
}

// Finish records the answer of a call that was won.
func (k *Keeper) Finish(m Result) { k.shard.Tell(finishMsg{result: m}) }

// GiveUp voids a claim that was won and not dispatched.
func (k *Keeper) GiveUp(key string) { k.shard.Tell(giveUpMsg{key: key}) }

// Doubt records that a dispatched call has no known outcome.
func (k *Keeper) Doubt(key string) { k.shard.Tell(doubtMsg{key: key}) }

// Reached tells whether the platform's log is in reach.
func (k *Keeper) Reached(reached bool) { k.shard.Tell(logMsg{reached: reached}) }

// Stop waits for the calls in flight and for their records to be read back, and closes
// the incarnation.
func (k *Keeper) Stop(ctx context.Context) error {
	if err := shard.Farewell(ctx, k.Feed, StopPoll, k.busy, k.bye); err != nil {
		return fmt.Errorf("record the results of %s: %w", k.Feed.Stream, err)
	}
	return nil
}

// busy returns the number of calls in flight.
func (k *Keeper) busy() (int, error) {
	n, err := k.shard.Ask(busyMsg{})
	if err != nil {
		return 0, err
	}
	return n.(int), nil
}

// bye sends the last item of the incarnation.
func (k *Keeper) bye() error {
	_, err := k.shard.Ask(byeMsg{})
	return err
}

// apply folds one batch; an incarnation that said goodbye writes nothing more.
func (k *Keeper) apply(offset int64, b tail.Batch) error {
	events, err := k.Book.Apply(b)
	k.Noted(b.Inc, events)
	for _, e := range events {
		if e.Kind == KindBye {
			k.Feed.Close(offset, b.Inc)
		}
	}
	return err
}
