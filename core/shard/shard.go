// Package shard keeps the folded state of one stream within an actor: the actor
// folds batches, answers the slice's own messages and looks at the time.
package shard

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/agent"
	"cranberryrail/core/tail"
)

// TickEvery is how often a shard looks at what depends on time.
const TickEvery = 100 * time.Millisecond

// Shard is one stream with its folded state. Exported fields are set before Run; all
// functions but Failed run within the actor, one at a time.
type Shard struct {
	// System runs the actor.
	System *actor.ActorSystem
	// Feed follows and writes the stream; its Fold, Save and Restore are set by Default.
	Feed *tail.Feed
	// Apply folds one batch.
	Apply func(offset int64, b tail.Batch) error
	// Restore replaces the folded state.
	Restore func(state []byte) error
	// Save returns the folded state.
	Save func() ([]byte, error)
	// Receive handles the slice's own messages.
	Receive func(ctx actor.Context)
	// Tick is called every TickEvery with whether the state is usable.
	Tick func(ready bool)
	// Failed is told when the actor panicked; the process should end. Optional.
	Failed func(reason any)

	agent *agent.Agent
}

// applyMsg folds a batch; the response is an outcome.
type applyMsg struct {
	offset int64
	batch  tail.Batch
}

// restoreMsg replaces the folded state; the response is an outcome.
type restoreMsg struct{ state []byte }

// saveMsg asks for the folded state; the response is an outcome.
type saveMsg struct{}

// tickMsg drives what depends on time.
type tickMsg struct{ ready bool }

// outcome is the response to the messages above.
type outcome struct {
	state []byte
	err   error
}

// String names the shard for logs.
func (s *Shard) String() string { return "shard of " + s.Feed.Stream }

// Default fills fields that were left empty and starts the actor.
func (s *Shard) Default() {
	if s.Tick == nil {
		s.Tick = func(bool) {}
	}
	if s.Failed == nil {
		s.Failed = func(any) {}
	}
	s.Feed.Fold = func(offset int64, b tail.Batch) error {
		_, err := s.ask(applyMsg{offset: offset, batch: b})
		return err
	}
	s.Feed.Restore = func(_ int64, state []byte) error {
		_, err := s.ask(restoreMsg{state: state})
		return err
	}
	s.Feed.Save = func() ([]byte, error) { return s.ask(saveMsg{}) }
	s.Feed.Default()
	s.agent = agent.New(s.System, s.receive, s.Failed)
}

// Run keeps the shard until the context ends.
func (s *Shard) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.Feed.Run(ctx) })
	g.Go(func() error { return s.ticks(ctx) })
	return g.Wait()
}

// Ask sends a message of the slice and waits for the response.
func (s *Shard) Ask(msg any) (any, error) { return s.agent.Ask(msg) }

// Tell sends a message of the slice.
func (s *Shard) Tell(msg any) { s.agent.Tell(msg) }

// Answer sends a late response to whoever sent an earlier message.
func (s *Shard) Answer(to *actor.PID, response any) { s.System.Root.Send(to, response) }

func (s *Shard) ask(msg any) ([]byte, error) {
	response, err := s.agent.Ask(msg)
	if err != nil {
		// Whether the message was handled is not known, so the state can't be trusted.
		s.Failed(err)
		return nil, err
	}
	o := response.(outcome)
	return o.state, o.err
}

func (s *Shard) ticks(ctx context.Context) error {
	ticker := time.NewTicker(TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.agent.Tell(tickMsg{ready: s.Feed.Ready()})
		}
	}
}

func (s *Shard) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case applyMsg:
		ctx.Respond(outcome{err: s.Apply(m.offset, m.batch)})
	case restoreMsg:
		ctx.Respond(outcome{err: s.Restore(m.state)})
	case saveMsg:
		state, err := s.Save()
		ctx.Respond(outcome{state: state, err: err})
	case tickMsg:
		s.Tick(m.ready)
	default:
		s.Receive(ctx)
	}
}

// Settle polls until done returns true or the context ends.
func Settle(ctx context.Context, every time.Duration, done func() (bool, error)) error {
	ticker := time.NewTicker(every)
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

// Farewell waits until nothing is in flight and everything sent was read back, lets bye
// send the last item of the incarnation, and waits until that was read back too.
func Farewell(ctx context.Context, feed *tail.Feed, every time.Duration, inFlight func() (int, error), bye func() error) error {
	said := false
	return Settle(ctx, every, func() (bool, error) {
		n, err := inFlight()
		if err != nil || !feed.Idle() {
			return false, err
		}
		if said || n > 0 {
			return said, nil
		}
		said = true
		return false, bye()
	})
}
