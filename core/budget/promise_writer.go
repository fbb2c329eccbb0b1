package budget

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
	// By is the incarnation id of the writer, and Boot the boot id of its machine.
	By   string `json:"by"`
	Boot string `json:"boot"`
	// Made and Until are on the machine's clock, in nanoseconds.
	Made  int64 `json:"made_ns"`
	Until int64 `json:"until_ns"`
	// Tokens holds the promised tokens by organisation.
	Tokens map[string]int64 `json:"tokens"`
	// Era is the era of the log. A promise of an earlier one may have been followed by another one that was lost.
	Era int64 `json:"era,omitempty"`
}

// promiseWriter writes the promises of this instance, and takes over what an earlier process of
// the instance had promised. Only processes of this instance write its record. Each append is
// conditional on the end of the partition, so that a delayed append commits before all later ones
// or never.
type promiseWriter struct {
	syncer    *Syncer
	partition int
	// wake is signalled when a request waits for promised tokens.
	wake   chan struct{}
	outage outage

	mu     sync.Mutex
	loaded bool
	// era is the era of the log that the state was read in.
	era int64
	// committed is set once the log holds a record of this process. From then on no earlier process
	// can write.
	committed bool
	end       int64
	// recorded is the promise in the newest record of this process, and pending one whose outcome
	// is not known.
	recorded, pending *Promise
	value             []byte
	// inDoubt is set when an append of pending was not answered and may still commit.
	inDoubt bool
	// inherited holds the tokens that the earlier process had promised.
	inherited map[string]int64
}

func newPromiseWriter(sy *Syncer) *promiseWriter {
	return &promiseWriter{syncer: sy, partition: bucketOf(sy.Instance, max(sy.PromiseParts, 1)), wake: make(chan struct{}, 1), recorded: &Promise{}}
}

// scheduleRenewal triggers a renewal. It never blocks.
func (p *promiseWriter) scheduleRenewal() { notify(p.wake) }

// run renews the promise until the context ends.
func (p *promiseWriter) run(ctx context.Context) error {
	for {
		err := p.renew(ctx)
		if ctx.Err() != nil {
			return nil
		}
		p.recordOutcome(err)
		p.waitUntilDue(ctx, err != nil)
	}
}

// waitUntilDue waits until the next promise is due. After a failure it waits maxRetryDelay, and a
// waiting request does not shorten the wait.
func (p *promiseWriter) waitUntilDue(ctx context.Context, failed bool) {
	if failed {
		pause.For(ctx, maxRetryDelay)
		p.syncer.Book.ServeAllWaiters()
		return
	}
	timer := time.NewTimer(promiseInterval(p.syncer.Book.InstanceCount()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.wake:
	}
}

// recordOutcome records whether promises can be written to the log.
func (p *promiseWriter) recordOutcome(err error) {
	p.outage.record(err, p.syncer.OnPromiseOutage, p.syncer.OnPromiseRecovery)
}

// renew writes the next promise.
func (p *promiseWriter) renew(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.syncer.Boot == "" || p.syncer.PromiseTopic == "" {
		return nil // no other process could determine how long a promise binds
	}
	for {
		p.checkEra()
		if err := p.prepare(ctx); err != nil || p.pending == nil {
			return err
		}
		err := p.append(ctx)
		var conflict *logs.ConflictError
		switch {
		case p.checkEra():
			continue
		case err == nil:
			p.commit()
			return nil
		case !errors.As(err, &conflict):
			return err
		case p.committed:
			p.end = conflict.End // moved by records of other instances, or by an append that was not answered
		default:
			p.loaded = false
		}
	}
}

// checkEra drops the state if the log was restored from an older copy since it was read, and reports whether that is
// so. No successor takes over what was promised before, so that no promise binds any more.
func (p *promiseWriter) checkEra() bool {
	if !p.loaded || p.era == p.syncer.Log.CurrentEra() {
		return false
	}
	p.loaded, p.committed, p.inDoubt = false, false, false
	p.recorded, p.pending, p.inherited = &Promise{}, nil, nil
	p.syncer.Book.ResetPromises(p.recorded)
	return true
}

// prepare creates the next promise, unless a pending one still binds.
func (p *promiseWriter) prepare(ctx context.Context) error {
	if !p.loaded {
		if err := p.load(ctx); err != nil {
			return err
		}
	}
	book := p.syncer.Book
	if p.pending != nil && (!p.committed || book.Uptime() < p.pending.Until) {
		return nil
	}
	p.pending, p.inDoubt = nil, false
	failing := p.outage.ongoing()
	next := book.NewPromise(p.recorded, p.inherited, failing)
	if len(next.Tokens) == 0 && len(p.recorded.Tokens) == 0 && !failing {
		return nil
	}
	value, err := json.Marshal(promiseRecord{
		By: p.syncer.Incarnation, Boot: p.syncer.Boot, Made: int64(next.Until - promiseDuration), Until: int64(next.Until), Tokens: next.Tokens,
		Era: p.era,
	})
	if err != nil {
		return fmt.Errorf("encode promise: %w", err)
	}
	p.pending, p.value = next, value
	return nil
}

// load reads the newest promise record of this instance.
func (p *promiseWriter) load(ctx context.Context) error {
	sy := p.syncer
	call, cancel := context.WithTimeout(ctx, sy.Timeout)
	defer cancel()
	s, err := sy.Log.NewestAll(call, sy.PromiseTopic, p.partition)
	if err != nil {
		return err
	}
	p.loaded, p.end, p.era = true, s.End, s.Era
	var r promiseRecord
	for _, record := range s.Records {
		if record.Key != sy.Instance {
			continue
		}
		decoded, err := decodePromise(record.Value)
		if err != nil {
			sy.OnInvalidRecord(record.Key, err)
		}
		r = decoded
	}
	if r.By == sy.Incarnation {
		if r.Era == p.era && p.pending != nil {
			p.commit() // an append that was not answered has committed
		}
		return nil
	}
	p.pending, p.inDoubt = nil, false // no earlier append committed, and none will
	p.inherited = p.inheritable(r)
	return nil
}

// decodePromise decodes a record. With an error, the record is empty: no part of it is taken over.
func decodePromise(value []byte) (promiseRecord, error) {
	var r promiseRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return promiseRecord{}, err
	}
	for _, tokens := range r.Tokens {
		if !isTokens(tokens) {
			return promiseRecord{}, errTokens
		}
	}
	return r, nil
}

// inheritable returns the promised tokens of an earlier process that certainly ended before it
// could spend them: this process started after the promise was made and before it expired, and the
// times are on the same clock, because both processes ran on the same boot of the machine. The log was not restored
// since, so that no later promise was lost.
func (p *promiseWriter) inheritable(r promiseRecord) map[string]int64 {
	sy := p.syncer
	started := int64(sy.Started)
	if r.Era != p.era || r.Boot != sy.Boot || started < r.Made || started >= r.Until {
		if len(r.Tokens) > 0 {
			sy.OnInherited(r.Tokens, false)
		}
		return nil
	}
	return r.Tokens
}

// append writes the pending promise. A promise that was certainly not written does not bind.
func (p *promiseWriter) append(ctx context.Context) error {
	sy := p.syncer
	call, cancel := context.WithTimeout(ctx, sy.Timeout)
	defer cancel()
	end, err := sy.Log.Append(call, sy.PromiseTopic, p.partition, p.end, []logs.Record{{Key: sy.Instance, Value: p.value}})
	if err == nil {
		p.end = end
		return nil
	}
	var refused *logs.RefusedError
	switch {
	case errors.As(err, &refused):
		if !p.inDoubt {
			p.pending = nil
			sy.Book.ResetPromises(p.recorded)
		}
	case !logs.Refused(err):
		p.inDoubt = true
	}
	return err
}

// commit makes the pending promise the recorded one. Earlier appends can no longer commit after it.
func (p *promiseWriter) commit() {
	sy := p.syncer
	p.committed, p.recorded = true, p.pending
	p.pending, p.inDoubt = nil, false
	sy.Book.ResetPromises(p.recorded)
	if len(p.inherited) > 0 {
		sy.Book.TakeOver(p.inherited)
		sy.OnInherited(p.inherited, true)
		p.inherited = nil
	}
}

// release waits until the promises of this process are withdrawn or expired, so that their tokens
// can be returned.
func (p *promiseWriter) release(ctx context.Context) error {
	for {
		err := p.renew(ctx)
		if err == nil || p.syncer.Book.promisesExpired() {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("release promised tokens: %w", err)
		}
		pause.For(ctx, maxRetryDelay/2)
	}
}
