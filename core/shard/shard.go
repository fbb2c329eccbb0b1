// Package shard keeps the folded state of one stream within an actor: the actor folds
// batches, handles the messages of its owner and runs periodic work.
package shard

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/actors"
	"cranberryrail/core/tail"
)

// TickInterval is the interval between two calls of OnTick.
const TickInterval = 100 * time.Millisecond

// StreamActor is the actor that keeps the folded state of one stream. Exported fields are set before Run. All function
// fields except OnPanic run within the actor, one at a time.
type StreamActor struct {
	// System runs the actor.
	System *actor.ActorSystem
	// Feed follows and writes the stream; Default sets its Apply, Save and Restore.
	Feed *tail.Feed
	// Apply folds the batch at the offset into the state.
	Apply func(offset int64, b tail.Batch) error
	// Restore replaces the folded state with one returned by Save.
	Restore func(state []byte) error
	// Save returns the encoded folded state.
	Save func() ([]byte, error)
	// Receive handles the messages sent by Ask and Tell.
	Receive func(ctx actor.Context)
	// OnTick is called every TickInterval; ready reports whether the state is usable.
	OnTick func(ready bool)
	// OnPanic is called when the actor panicked or did not respond; the process should exit. Optional.
	OnPanic func(reason any)

	handle *actors.Handle
}

// applyMsg requests folding a batch; the response is a result.
type applyMsg struct {
	offset int64
	batch  tail.Batch
}

// restoreMsg requests replacing the folded state; the response is a result.
type restoreMsg struct{ state []byte }

// saveMsg requests the encoded folded state; the response is a result.
type saveMsg struct{}

// tickMsg triggers a call of OnTick.
type tickMsg struct{ ready bool }

// result is the response to applyMsg, restoreMsg and saveMsg.
type result struct {
	state []byte
	err   error
}

// String returns the name of the actor for log lines.
func (s *StreamActor) String() string { return "actor of stream " + s.Feed.Stream }

// Default sets unset fields to their defaults and starts the actor.
func (s *StreamActor) Default() {
	if s.OnTick == nil {
		s.OnTick = func(bool) {}
	}
	if s.OnPanic == nil {
		s.OnPanic = func(any) {}
	}
	s.Feed.Apply = func(offset int64, b tail.Batch) error {
		_, err := s.askOrFail(applyMsg{offset: offset, batch: b})
		return err
	}
	s.Feed.Restore = func(_ int64, state []byte) error {
		_, err := s.askOrFail(restoreMsg{state: state})
		return err
	}
	s.Feed.Save = func() ([]byte, error) { return s.askOrFail(saveMsg{}) }
	s.Feed.Default()
	s.handle = actors.New(s.System, s.receive, s.OnPanic)
}

// Run maintains the stream until the context ends.
func (s *StreamActor) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.Feed.Run(ctx) })
	g.Go(func() error { return s.runTicker(ctx) })
	return g.Wait()
}

// Ask sends a message to Receive and waits for the response.
func (s *StreamActor) Ask(msg any) (any, error) { return s.handle.Ask(msg) }

// Tell sends a message to Receive without waiting for a response.
func (s *StreamActor) Tell(msg any) { s.handle.Tell(msg) }

// Respond sends a deferred response to the sender of an earlier message.
func (s *StreamActor) Respond(to *actor.PID, response any) { s.System.Root.Send(to, response) }

// askOrFail sends a message of this package to the actor. It reports a missing response to OnPanic, because it is then
// unknown whether the state was changed.
func (s *StreamActor) askOrFail(msg any) ([]byte, error) {
	response, err := s.handle.Ask(msg)
	if err != nil {
		s.OnPanic(err)
		return nil, err
	}
	r := response.(result)
	return r.state, r.err
}

func (s *StreamActor) runTicker(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.handle.Tell(tickMsg{ready: s.Feed.Ready()})
		}
	}
}

// receive handles the messages of the feed and of the ticker, and passes all other messages to Receive.
func (s *StreamActor) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case applyMsg:
		ctx.Respond(result{err: s.Apply(m.offset, m.batch)})
	case restoreMsg:
		ctx.Respond(result{err: s.Restore(m.state)})
	case saveMsg:
		state, err := s.Save()
		ctx.Respond(result{state: state, err: err})
	case tickMsg:
		s.OnTick(m.ready)
	default:
		s.Receive(ctx)
	}
}

// PollUntil polls until done returns true or the context ends.
func PollUntil(ctx context.Context, interval time.Duration, done func() (bool, error)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		ok, err := done()
		if err != nil || ok {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// DrainFeed calls drain repeatedly until it returns 0 and all items added to the feed have been
// read back. drain starts or continues the return of tokens, if there are any, and returns the
// number of operations still in flight. DrainFeed then calls sendBye, which adds the last item of
// the incarnation, and waits until that item has been read back too.
func DrainFeed(
	ctx context.Context, feed *tail.Feed, interval time.Duration, drain func() (int, error), sendBye func() error,
) error {
	byeSent := false
	return PollUntil(ctx, interval, func() (bool, error) {
		n, err := drain()
		if err != nil || !feed.Idle() {
			return false, err
		}
		if byeSent || n > 0 {
			return byeSent, nil
		}
		byeSent = true
		return false, sendBye()
	})
}
