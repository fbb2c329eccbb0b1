package purse

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"cranberryrail/core/logs"
	"cranberryrail/core/pause"
)

// promiseRecord is the value of an instance's record in the topic of promises.
type promiseRecord struct {
	// By is the incarnation of the writer, and Boot the boot of its machine.
	By   string `json:"by"`
	Boot string `json:"boot"`
	// Made and Until are on the machine's clock, in nanoseconds.
	Made  int64 `json:"made_ns"`
	Until int64 `json:"until_ns"`
	// Tokens is by organisation.
	Tokens map[string]int64 `json:"tokens"`
}

// promiser writes the promises of this instance, and takes over what an earlier process of
// it had promised. Only processes of this instance write its record. An append names the end
// of the partition, so that one that is late lands before all later ones or never.
type promiser struct {
	keeper *Keeper
	part   int
	// wake tells that a request waits for promised tokens.
	wake   chan struct{}
	outage outage

	mu     sync.Mutex
	loaded bool
	// landed tells that a record of this process stands in the log; no earlier process can
	// write any more.
	landed bool
	end    int64
	// kept is the promise of the newest own record, and next one whose outcome is not known.
	kept, next *Promise
	value      []byte
	// uncertain tells that an append of next was not answered and may still land.
	uncertain bool
	// inherited is what the earlier process had promised.
	inherited map[string]int64
}

func newPromiser(k *Keeper) *promiser {
	return &promiser{keeper: k, part: partOf(k.Instance, max(k.PromiseParts, 1)), wake: make(chan struct{}, 1), kept: &Promise{}}
}

// want wakes the writer; it never blocks.
func (p *promiser) want() { notify(p.wake) }

// run keeps the promises until the context ends.
func (p *promiser) run(ctx context.Context) error {
	for {
		err := p.renew(ctx)
		if ctx.Err() != nil {
			return nil
		}
		p.reached(err)
		p.rest(ctx, err != nil)
	}
}

// rest waits until the next promise is due. After a failure a request that waits changes
// nothing.
func (p *promiser) rest(ctx context.Context, failed bool) {
	if failed {
		pause.For(ctx, retryPause)
		p.keeper.Book.Retry()
		return
	}
	timer := time.NewTimer(p.keeper.promiseEvery())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.wake:
	}
}

// reached notes whether the log takes promises.
func (p *promiser) reached(err error) { p.outage.note(err, p.keeper.PromiseLost, p.keeper.PromiseBack) }

// renew writes the next promise.
func (p *promiser) renew(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keeper.Boot == "" || p.keeper.PromiseTopic == "" {
		return nil // no other process could tell how long a promise binds
	}
	for {
		if err := p.prepare(ctx); err != nil || p.next == nil {
			return err
		}
		err := p.append(ctx)
		var conflict *logs.ConflictError
		switch {
		case err == nil:
			p.land()
			return nil
		case !errors.As(err, &conflict):
			return err
		case p.landed:
			p.end = conflict.End // by records of other instances, or by an append without an answer
		default:
			p.loaded = false
		}
	}
}

// prepare makes the next promise, unless one is left from before that still binds.
func (p *promiser) prepare(ctx context.Context) error {
	if !p.loaded {
		if err := p.load(ctx); err != nil {
			return err
		}
	}
	book := p.keeper.Book
	if p.next != nil && (!p.landed || book.Uptime() < p.next.Until) {
		return nil
	}
	p.next, p.uncertain = nil, false
	failing := p.outage.lasts()
	next := book.Promise(p.kept, p.inherited, failing)
	if len(next.Tokens) == 0 && len(p.kept.Tokens) == 0 && !failing {
		return nil
	}
	value, err := json.Marshal(promiseRecord{
		By: p.keeper.Inc, Boot: p.keeper.Boot, Made: int64(next.Until - promiseTime), Until: int64(next.Until), Tokens: next.Tokens,
	})
	if err != nil {
		return fmt.Errorf("encode a promise: %w", err)
	}
	p.next, p.value = next, value
	return nil
}

// load reads what the newest record of this instance has promised.
func (p *promiser) load(ctx context.Context) error {
	k := p.keeper
	call, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	records, end, err := k.Log.NewestAll(call, k.PromiseTopic, p.part)
	if err != nil {
		return err
	}
	p.loaded, p.end = true, end
	var r promiseRecord
	for _, record := range records {
		if record.Key != k.Instance {
			continue
		}
		if err := json.Unmarshal(record.Value, &r); err != nil {
			k.Unreadable(record.Key, err)
		}
	}
	if r.By == k.Inc {
		p.land() // by an append without an answer
		return nil
	}
	p.next, p.uncertain = nil, false // whatever was tried did not land and never will
	p.inherited = k.inherits(r)
	return nil
}

// inherits returns what an earlier process promised if it certainly ended before it could
// spend it: this process was started before the promise ended, and both times are on one
// clock.
func (k *Keeper) inherits(r promiseRecord) map[string]int64 {
	started := int64(k.Started)
	if r.Boot != k.Boot || started < r.Made || started >= r.Until {
		if len(r.Tokens) > 0 {
			k.Inherited(r.Tokens, false)
		}
		return nil
	}
	return r.Tokens
}

// append writes the next promise. What was certainly not written does not bind.
func (p *promiser) append(ctx context.Context) error {
	k := p.keeper
	call, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	end, err := k.Log.Append(call, k.PromiseTopic, p.part, p.end, []logs.Record{{Key: k.Instance, Value: p.value}})
	if err == nil {
		p.end = end
		return nil
	}
	var refused *logs.RefusedError
	switch {
	case errors.As(err, &refused):
		if !p.uncertain {
			p.next = nil
			k.Book.Bound(p.kept)
		}
	case !logs.Refused(err):
		p.uncertain = true
	}
	return err
}

// land takes that the log holds the next promise; earlier ones can't follow it.
func (p *promiser) land() {
	k := p.keeper
	p.landed, p.kept = true, p.next
	p.next, p.uncertain = nil, false
	k.Book.Bound(p.kept)
	if len(p.inherited) > 0 {
		k.Book.TakeOver(p.inherited)
		k.Inherited(p.inherited, true)
		p.inherited = nil
	}
}

// release ends the promises of this process, so that what they held can be given back.
func (p *promiser) release(ctx context.Context) error {
	for {
		err := p.renew(ctx)
		if err == nil || p.keeper.Book.unbound() {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("end the promises: %w", err)
		}
		pause.For(ctx, retryPause/2)
	}
}
