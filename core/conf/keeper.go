package conf

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cranberryrail/core/codes"
	"cranberryrail/core/shard"
	"cranberryrail/core/tail"
)

// Stream is the stream of the configuration.
const Stream = "config"

// RetryAccept is when to repeat a publish that was not read back in time.
const RetryAccept = 2 * time.Second

// Keeper keeps the configuration stream. Exported fields are set before Run.
type Keeper struct {
	// System runs the actor.
	System *actor.ActorSystem
	// Feed follows and writes the stream.
	Feed *tail.Feed
	// Applied is told of the outcomes of each batch; optional. It runs within the actor.
	Applied func(f *Fold, outcomes []Outcome)
	// Failed is told when the actor panicked; the process should end.
	Failed func(reason any)

	fold  Fold
	shard *shard.Shard
	// askers wait for the outcome of the change with a digest.
	askers map[string][]*actor.PID
}

// publishMsg sends a change; the response is its Outcome once it was read back.
type publishMsg struct {
	publish Publish
	remove  bool
}

// keyMsg asks for the organisation of a key; the response is a found.
type keyMsg struct{ sha256 string }

// nameMsg asks for an organisation by name; the response is a found.
type nameMsg struct{ organisation string }

// allMsg asks for all templates; the response is a []Published.
type allMsg struct{}

// versionMsg asks for the version in force; the response is an int64.
type versionMsg struct{}

// found is a template, if there is one.
type found struct {
	published Published
	ok        bool
}

// String names the keeper for logs.
func (k *Keeper) String() string { return "configuration keeper" }

// Default fills fields that were left empty and starts the actor.
func (k *Keeper) Default() {
	if k.Applied == nil {
		k.Applied = func(*Fold, []Outcome) {}
	}
	k.askers = map[string][]*actor.PID{}
	k.fold.Default()
	k.shard = &shard.Shard{
		System: k.System, Feed: k.Feed, Failed: k.Failed,
		Apply: k.apply, Restore: k.restore, Save: k.fold.Save, Receive: k.receive,
	}
	k.shard.Default()
}

// Run keeps the stream until the context ends.
func (k *Keeper) Run(ctx context.Context) error { return k.shard.Run(ctx) }

func (k *Keeper) apply(offset int64, b tail.Batch) error {
	outcomes, err := k.fold.Apply(offset, b.Inc, b.Items)
	if err != nil {
		return err
	}
	k.answer(outcomes)
	k.Applied(&k.fold, outcomes)
	return nil
}

// answer tells the outcomes to those who wait for them.
func (k *Keeper) answer(outcomes []Outcome) {
	for _, o := range outcomes {
		for _, who := range k.askers[string(o.Digest)] {
			k.shard.Answer(who, o)
		}
		delete(k.askers, string(o.Digest))
	}
}

func (k *Keeper) restore(state []byte) error {
	if err := k.fold.Load(state); err != nil {
		return err
	}
	k.answer(k.fold.outcomes)
	k.Applied(&k.fold, nil)
	return nil
}

// receive handles one message at a time.
func (k *Keeper) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case publishMsg:
		k.publish(ctx, m)
	case keyMsg:
		t, ok := k.fold.ByKey(m.sha256)
		ctx.Respond(found{published: Published{Template: t}, ok: ok})
	case nameMsg:
		p, ok := k.fold.Organisation(m.organisation)
		ctx.Respond(found{published: p, ok: ok})
	case allMsg:
		ctx.Respond(k.fold.All())
	case versionMsg:
		ctx.Respond(k.fold.Version)
	}
}

// publish writes a change unless its outcome is known already.
func (k *Keeper) publish(ctx actor.Context, m publishMsg) {
	item := m.publish.Item()
	if m.remove {
		item = m.publish.RemoveItem()
	}
	digest := digestOf(item)
	if o, ok := k.fold.decided(digest); ok {
		ctx.Respond(o)
		return
	}
	k.askers[string(digest)] = append(k.askers[string(digest)], ctx.Sender())
	k.Feed.Add(item)
}

// Publish sends a change and waits until it was read back and decided.
func (k *Keeper) Publish(p Publish, remove bool) (Outcome, error) {
	response, err := k.shard.Ask(publishMsg{publish: p, remove: remove})
	if err != nil {
		return Outcome{}, &codes.Error{Code: codes.AcceptTimeout, Run: codes.Unknown, RetryAfter: RetryAccept,
			Detail: "repeat the change with the same id", Err: err}
	}
	return response.(Outcome), nil
}

// ByKey returns the template of the organisation that a key belongs to.
func (k *Keeper) ByKey(sha256 string) (Template, bool) {
	p, ok := k.find(keyMsg{sha256: sha256})
	return p.Template, ok
}

// Organisation returns the template of an organisation.
func (k *Keeper) Organisation(name string) (Published, bool) {
	return k.find(nameMsg{organisation: name})
}

func (k *Keeper) find(msg any) (Published, bool) {
	response, err := k.shard.Ask(msg)
	if err != nil {
		return Published{}, false
	}
	f := response.(found)
	return f.published, f.ok
}

// All returns all templates in the order of their organisations' names.
func (k *Keeper) All() ([]Published, error) {
	response, err := k.shard.Ask(allMsg{})
	if err != nil {
		return nil, err
	}
	return response.([]Published), nil
}

// Version returns the version in force at this instance.
func (k *Keeper) Version() int64 {
	response, err := k.shard.Ask(versionMsg{})
	if err != nil {
		return 0
	}
	return response.(int64)
}
