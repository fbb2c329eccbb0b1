package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"time"

	"cranberryrail/core/logs"
	"cranberryrail/core/pause"
	"cranberryrail/core/table"
)

// After a restore, what a record may lack counts as granted. It comes back once all instances that may have drawn have
// recorded the last state of the era before that they knew. Each draw is conditional on the end of the partition, so that
// its writer knew all earlier ones: the state with the highest end lacks no draw whose tokens can be spent.

const (
	// witnessInterval is the time between two checks of whether a new era has begun, and minProofInterval the minimum time between two
	// reads of what the instances have recorded of it. The time grows with that since the era was first seen, by proofBackoff.
	witnessInterval  = 250 * time.Millisecond
	minProofInterval = time.Second
	proofBackoff     = 8
)

// partitionWitness is the last state of a partition in an era that an instance knew.
type partitionWitness struct {
	// End is the end of the partition; none if the instance read nothing in the era.
	End int64 `json:"end"`
	// Granted holds what was granted of each budget whose record is strict.
	Granted map[string]int64 `json:"granted,omitempty"`
}

// witnessRecord is the value of an instance's record in the topic of witnesses.
type witnessRecord struct {
	// By is the incarnation id of the writer.
	By string `json:"by"`
	// Era is the era that had begun when the states of the era before were recorded.
	Era int64 `json:"era"`
	// Partitions holds the states by the index of the partition. A partition is missing if the process does not know what an earlier one of the
	// same instance has read of it.
	Partitions map[string]partitionWitness `json:"partitions"`
}

// lastState is the last state of a partition in an era.
type lastState struct {
	era int64
	partitionWitness
}

// witness returns what this process knows of the era before the given one, and whether it knows what its instance read in it.
func (l *lastState) witness(era int64) (partitionWitness, bool) {
	switch {
	case l == nil || l.era >= era:
		return partitionWitness{}, false
	case l.era < era-1: // this process ran on and read nothing in the era between
		return partitionWitness{End: noEnd}, true
	default:
		return l.partitionWitness, true
	}
}

// noEnd is the end of a partition that was not read.
const noEnd = -1

// witnesses writes the witness of this instance when a new era begins, and reads those of all instances until they prove what was drawn.
type witnesses struct {
	syncer *Syncer
	outage outage

	mu sync.Mutex
	// seen is the newest era that was seen, at is when, and woken whether the partitions were woken for it.
	seen int64
	at   time.Time
	// written is the era for which this process has written its witness, or has none to write.
	written int64
	readAt  time.Time
}

func newWitnesses(sy *Syncer) *witnesses { return &witnesses{syncer: sy, seen: noEra, written: noEra} }

// enabled reports whether the log may be restored and instances record what they knew before.
func (w *witnesses) enabled() bool { return w.syncer.WitnessTopic != "" && w.syncer.Log.HasEras() }

// run writes and reads witnesses until the context ends.
func (w *witnesses) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.sync(ctx)
		if ctx.Err() == nil {
			w.outage.record(err, w.syncer.OnWitnessOutage, w.syncer.OnWitnessRecovery)
		}
		pause.For(ctx, witnessInterval)
	}
	return nil
}

// sync writes the witness of this instance, and reads those of the others, as far as that is due.
func (w *witnesses) sync(ctx context.Context) error {
	if !w.enabled() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sy := w.syncer
	era := sy.Log.CurrentEra()
	if era > w.seen {
		w.seen, w.at, w.readAt = era, sy.Book.Now(), time.Time{}
		sy.wakeAll()
	}
	if w.written < era {
		if err := w.write(ctx, era); err != nil {
			return err
		}
	}
	now := sy.Book.Now()
	if !sy.Book.unproven(era) || now.Sub(w.readAt) < max(minProofInterval, now.Sub(w.at)/proofBackoff) {
		return nil
	}
	w.readAt = now
	return w.prove(ctx, era)
}

// wakeAll makes all partitions be read now.
func (sy *Syncer) wakeAll() {
	for _, p := range sy.partitions {
		notify(p.wake)
		notify(p.retry)
	}
}

// write records the last states of the era before the given one, once all partitions have dropped them. A process that knows
// none writes nothing, so that the witness of an earlier process remains.
func (w *witnesses) write(ctx context.Context, era int64) error {
	sy := w.syncer
	record := witnessRecord{By: sy.Incarnation, Era: era, Partitions: map[string]partitionWitness{}}
	budgets := 0
	for _, p := range sy.partitions {
		last, dropped := p.lastBefore(era)
		if !dropped {
			return nil
		}
		if state, ok := last.witness(era); ok {
			record.Partitions[strconv.Itoa(p.index)] = state
			budgets += len(state.Granted)
		}
	}
	if len(record.Partitions) == 0 || budgets > maxPromisedOrganisations {
		w.written = era
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode witness: %w", err)
	}
	call, cancel := context.WithTimeout(ctx, sy.Timeout)
	defer cancel()
	if _, err := sy.Log.Append(call, sy.WitnessTopic, 0, logs.AnyOffset, []logs.Record{{Key: sy.Instance, Value: value}}); err != nil {
		return err
	}
	if sy.Log.CurrentEra() == era {
		w.written = era
	}
	return nil
}

// lastBefore returns the last state of an era before the given one, and whether there is none to come.
func (p *partition) lastBefore(era int64) (last *lastState, dropped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last, !p.loaded || p.era >= era
}

// prove reads the witnesses of an era, and sets what was granted before it in the book, as far as they prove that.
func (w *witnesses) prove(ctx context.Context, era int64) error {
	sy := w.syncer
	required, known := sy.partitions[0].registeredBefore(era)
	if !known {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, sy.Timeout)
	defer cancel()
	s, err := sy.Log.NewestAll(call, sy.WitnessTopic, 0)
	if err != nil {
		return err
	}
	if s.Era != era {
		return nil
	}
	byInstance := w.decode(s, era)
	for _, p := range sy.partitions {
		if granted := provenGrants(strconv.Itoa(p.index), required, byInstance); len(granted) > 0 {
			sy.Book.setProven(granted, era)
			notify(p.due)
		}
	}
	return nil
}

// decode returns the witnesses of an era by instance.
func (w *witnesses) decode(s logs.Snapshot, era int64) map[string]witnessRecord {
	byInstance := map[string]witnessRecord{}
	for _, r := range s.Records {
		if len(r.Value) == 0 {
			continue
		}
		var e witnessRecord
		err := json.Unmarshal(r.Value, &e)
		for _, state := range e.Partitions {
			for _, granted := range state.Granted {
				if err == nil && !isTokens(granted) {
					err = errTokens
				}
			}
		}
		if err != nil {
			w.syncer.OnInvalidRecord(r.Key, err)
		} else if e.Era == era {
			byInstance[r.Key] = e
		}
	}
	return byInstance
}

// provenGrants returns what was granted of the budgets of a partition, if all required instances have recorded what they knew of it.
func provenGrants(index string, required []string, byInstance map[string]witnessRecord) map[string]int64 {
	for _, id := range required {
		if _, ok := byInstance[id].Partitions[index]; !ok {
			return nil
		}
	}
	newest := partitionWitness{End: noEnd}
	for _, e := range byInstance {
		if state, ok := e.Partitions[index]; ok && state.End > newest.End {
			newest = state
		}
	}
	return newest.Granted
}

// registeredBefore returns the instances whose registration may be in the copy that the given era began with, and whether the partition was read in
// this era.
func (p *partition) registeredBefore(era int64) (ids []string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded || p.era != era {
		return nil, false
	}
	for id, r := range p.registered {
		if r.since < era {
			ids = append(ids, id)
		}
	}
	return ids, true
}

// registration is what is recorded of an instance.
type registration struct {
	// since is an era of the log in which it was registered, at most the first one. established is set if each copy from which the log may be
	// restored contains the registration.
	since       int64
	established bool
}

// establish updates whether each copy contains the registration of this instance, and of all instances, and returns the value that its registration
// should have, and whether it has that. The caller holds the partition's lock.
func (p *partition) establish() (value registration, recorded bool) {
	sy := p.syncer
	if p.index != 0 || !sy.witnesses.enabled() {
		return registration{}, true
	}
	own, found := p.registered[sy.Instance]
	switch {
	case !found && p.established:
	case !found:
		p.registeredAt, own.since = time.Time{}, p.era
	case p.registeredAt.IsZero():
		p.registeredAt = sy.Book.Now()
	}
	p.established = p.established || own.established || found && sy.Book.Now().Sub(p.registeredAt) >= sy.Book.CopyAge
	all := p.established
	for _, r := range p.registered {
		all = all && r.established
	}
	sy.Book.setEstablished(p.established, all)
	recorded = own.established == p.established
	own.established = p.established
	return own, recorded
}

// setEstablished sets whether each copy of the log contains the registration of this instance, and of all instances.
func (b *Book) setEstablished(own, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.established != own || b.allEstablished != all
	b.established, b.allEstablished = own, all
	if !changed {
		return
	}
	for _, a := range b.accounts {
		b.serveWaiters(a)
		b.notifyIfDue(a.organisation, a)
	}
}

// unproven reports whether tokens of a budget count as granted because the given era began.
func (b *Book) unproven(era int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.accounts {
		if a.era == era && a.provenEra != era && a.grants.Lost > 0 {
			return true
		}
	}
	return false
}

// setProven sets what was granted of budgets at most before an era began.
func (b *Book) setProven(granted map[string]int64, era int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for organisation, tokens := range maps.All(granted) {
		a := b.account(organisation)
		if a.provenEra == era {
			continue
		}
		a.proven, a.provenEra = tokens, era
		if a.era == era && a.hasRecord && !a.unknown && !a.assumed {
			a.writeOff()
			b.recordAvailable(a)
			b.serveWaiters(a)
			b.notifyIfDue(a.organisation, a)
		}
	}
}

// strictGrants returns what was granted of those budgets of organisations whose record is strict, in the era in which they were read.
func (b *Book) strictGrants(organisations []string, era int64) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := map[string]int64{}
	for _, name := range organisations {
		a := b.account(name)
		if a.era == era && a.hasRecord && !a.unknown && !a.assumed && a.grants.Strict {
			granted[a.organisation] = a.grants.Granted
		}
	}
	return granted
}

// recordDue reports whether the record of a budget should be written again without a change of what is held: what has come back is not recorded
// yet, or draws can be made strict.
func (b *Book) recordDue(a *account) bool {
	if !b.witnessing || !a.restorable || !a.hasRecord || a.unknown || a.assumed || a.paid == table.Unlimited || !b.IsHolder(a.organisation) {
		return false
	}
	return a.settled || b.makesStrict(a)
}

// makesStrict reports whether the next record of a budget is strict although the newest one is not.
func (b *Book) makesStrict(a *account) bool {
	return b.Strict && !a.grants.Strict && b.established && b.allEstablished
}
