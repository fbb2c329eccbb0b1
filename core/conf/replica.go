package conf

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cranberryrail/core/codes"
	"cranberryrail/core/shard"
	"cranberryrail/core/tail"
)

// Stream is the name of the configuration stream.
const Stream = "config"

// PublishRetryAfter is the delay after which a client retries a change that was not read back from the log in time.
const PublishRetryAfter = 2 * time.Second

// Replica maintains the state of the configuration stream within an actor. Exported fields are set before Run.
type Replica struct {
	// System runs the actor.
	System *actor.ActorSystem
	// Feed reads and appends to the stream.
	Feed *tail.Feed
	// OnApplied is called within the actor with the outcomes of each applied batch, and with nil outcomes after a
	// snapshot was restored. It is optional.
	OnApplied func(f *Fold, outcomes []Outcome)
	// OnPanic is called when the actor panicked or did not respond; the process should then exit.
	OnPanic func(reason any)

	fold        Fold
	streamActor *shard.StreamActor
	// waiting lists the senders that wait for the outcome of a change, by its digest.
	waiting map[string][]*actor.PID
}

// publishMsg submits a change; the response is its Outcome, once the change was read back from the log.
type publishMsg struct {
	publish PublishRequest
	remove  bool
}

// keyMsg requests the template of the organisation that owns a key; the response is a lookupResult.
type keyMsg struct{ sha256 string }

// nameMsg requests the template of an organisation by name; the response is a lookupResult.
type nameMsg struct{ organisation string }

// allMsg requests all templates; the response is a []PublishedTemplate.
type allMsg struct{}

// versionMsg requests the version in force; the response is an int64.
type versionMsg struct{}

// lookupResult is the result of a lookup by key or name.
type lookupResult struct {
	published PublishedTemplate
	ok        bool
}

// String returns the name of the replica for logs.
func (r *Replica) String() string { return "configuration replica" }

// Default sets the defaults of empty fields and starts the actor.
func (r *Replica) Default() {
	if r.OnApplied == nil {
		r.OnApplied = func(*Fold, []Outcome) {}
	}
	r.waiting = map[string][]*actor.PID{}
	r.fold.Default()
	r.streamActor = &shard.StreamActor{
		System: r.System, Feed: r.Feed, OnPanic: r.OnPanic,
		Apply: r.apply, Restore: r.restore, Save: r.fold.Save, Receive: r.receive,
	}
	r.streamActor.Default()
}

// Run follows the stream until the context is cancelled.
func (r *Replica) Run(ctx context.Context) error { return r.streamActor.Run(ctx) }

func (r *Replica) apply(offset int64, b tail.Batch) error {
	outcomes, err := r.fold.Apply(offset, b.Incarnation, b.Items)
	if err != nil {
		return err
	}
	r.respond(outcomes)
	r.OnApplied(&r.fold, outcomes)
	return nil
}

// respond sends the outcomes to the senders that wait for them.
func (r *Replica) respond(outcomes []Outcome) {
	for _, o := range outcomes {
		for _, pid := range r.waiting[string(o.Digest)] {
			r.streamActor.Respond(pid, o)
		}
		delete(r.waiting, string(o.Digest))
	}
}

func (r *Replica) restore(state []byte) error {
	if err := r.fold.Load(state); err != nil {
		return err
	}
	r.respond(r.fold.outcomes)
	r.OnApplied(&r.fold, nil)
	return nil
}

// receive handles one message at a time.
func (r *Replica) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case publishMsg:
		r.publish(ctx, m)
	case keyMsg:
		t, ok := r.fold.ByKey(m.sha256)
		ctx.Respond(lookupResult{published: PublishedTemplate{Template: t}, ok: ok})
	case nameMsg:
		p, ok := r.fold.Organisation(m.organisation)
		ctx.Respond(lookupResult{published: p, ok: ok})
	case allMsg:
		ctx.Respond(r.fold.All())
	case versionMsg:
		ctx.Respond(r.fold.Version)
	}
}

// publish appends a change to the stream, or responds at once if its outcome is already known.
func (r *Replica) publish(ctx actor.Context, m publishMsg) {
	item := m.publish.Item()
	if m.remove {
		item = m.publish.RemoveItem()
	}
	digest := digestOf(item)
	if o, ok := r.fold.findOutcome(digest); ok {
		ctx.Respond(o)
		return
	}
	r.waiting[string(digest)] = append(r.waiting[string(digest)], ctx.Sender())
	r.Feed.Add(item)
}

// Publish submits a change and waits until it was read back from the log and decided.
func (r *Replica) Publish(p PublishRequest, remove bool) (Outcome, error) {
	response, err := r.streamActor.Ask(publishMsg{publish: p, remove: remove})
	if err != nil {
		return Outcome{}, &codes.Error{Code: codes.AcceptTimeout, Run: codes.Unknown, RetryAfter: PublishRetryAfter,
			Detail: "retry the change with the same id", Err: err}
	}
	return response.(Outcome), nil
}

// ByKey returns the template of the organisation that owns a key.
func (r *Replica) ByKey(sha256 string) (Template, bool) {
	p, ok := r.lookup(keyMsg{sha256: sha256})
	return p.Template, ok
}

// Organisation returns the template of an organisation.
func (r *Replica) Organisation(name string) (PublishedTemplate, bool) {
	return r.lookup(nameMsg{organisation: name})
}

func (r *Replica) lookup(msg any) (PublishedTemplate, bool) {
	response, err := r.streamActor.Ask(msg)
	if err != nil {
		return PublishedTemplate{}, false
	}
	f := response.(lookupResult)
	return f.published, f.ok
}

// All returns all templates applied so far, sorted by organisation; they are incomplete until the replica is ready.
// It fails only if the actor does not respond.
func (r *Replica) All() ([]PublishedTemplate, error) {
	response, err := r.streamActor.Ask(allMsg{})
	if err != nil {
		return nil, err
	}
	return response.([]PublishedTemplate), nil
}

// Version returns the version in force at this instance.
func (r *Replica) Version() int64 {
	response, err := r.streamActor.Ask(versionMsg{})
	if err != nil {
		return 0
	}
	return response.(int64)
}
