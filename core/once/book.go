package once

import (
	"maps"
	"slices"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/tail"
)

// Times after which a caller may come back.
const (
	// RetryBusy applies while another attempt with the key is being served.
	RetryBusy = time.Second
	// RetryLogDown applies while the platform's log is out of reach.
	RetryLogDown = 2 * time.Second
)

// reusedDetail tells how to mend a reused key.
const reusedDetail = "use a new key for a new request"

// Ruling is the decision on a call.
type Ruling struct {
	// Won tells that the asker, and nobody else, may dispatch the call now.
	Won bool
	// Replay is the kept answer of a call that is done.
	Replay *Call
	// Refused is the refusal; nil when one of the others is set.
	Refused *codes.Error
}

// ask is one caller that waits for a ruling.
type ask struct {
	id       int64
	digest   uint64
	deadline time.Time
}

// entry is the local state of a key that this instance has to do with.
type entry struct {
	// claiming tells that an own claim was sent and not yet read back.
	claiming bool
	// serving is the local asker that won and has neither finished nor given up; 0 when
	// there is none.
	serving int64
	waiting []ask
}

// sent is an item that was sent and not yet read back.
type sent struct {
	key   string
	claim bool
}

// Book is the instance's side of a once stream. It is not safe for concurrent use.
// Exported fields are set before the first call.
type Book struct {
	// Inc is the incarnation of this process.
	Inc string
	// Fold is the folded stream.
	Fold *Fold
	// Now returns the time; it only bounds how long a caller waits.
	Now func() time.Time
	// Send writes items to the stream.
	Send func(items ...tail.Item)
	// Decided is told of each ruling that had to wait.
	Decided func(id int64, r Ruling)
	// Wait is how long a caller waits for its claim, or for the answer of another attempt.
	Wait time.Duration
	// Open is the time for which callers are told to come back to a claim that another
	// instance holds; after it they are told that the outcome is not known.
	Open time.Duration

	// open holds since when callers ask for a claim that another instance holds.
	open    map[string]time.Time
	entries map[string]*entry
	nextID  int64
	logDown bool
	ready   bool
	pending []sent
	done    uint64
}

// Default fills fields that were left empty.
func (b *Book) Default() {
	if b.Fold == nil {
		b.Fold = New()
	}
	if b.Decided == nil {
		b.Decided = func(int64, Ruling) {}
	}
	if b.Wait == 0 {
		b.Wait = 2 * time.Second
	}
	if b.Open == 0 {
		b.Open = time.Minute
	}
	b.entries = map[string]*entry{}
	b.open = map[string]time.Time{}
}

// String names the book for logs.
func (b *Book) String() string { return "once book of " + b.Inc }

// SetReady tells whether the folded state is usable.
func (b *Book) SetReady(ready bool) { b.ready = ready }

// SetLog tells whether the platform's log is in reach.
func (b *Book) SetLog(reached bool) { b.logDown = !reached }

// Claim asks for a ruling on a call. The ruling may come later through Decided, with
// the id that is returned; it is final when the second result is not nil.
func (b *Book) Claim(key string, digest uint64) (int64, *Ruling) {
	b.nextID++
	id := b.nextID
	if r := b.known(key, digest); r != nil {
		return id, r
	}
	if !b.ready || b.logDown {
		return id, &Ruling{Refused: b.unsettled(key, "the platform's log is out of reach")}
	}
	e := b.entries[key]
	if e == nil {
		e = &entry{}
		b.entries[key] = e
	}
	e.waiting = append(e.waiting, ask{id: id, digest: digest, deadline: b.Now().Add(b.Wait)})
	if b.Fold.Call(key) == nil && !e.claiming {
		e.claiming = true
		b.send(key, KindClaim, Claim{Key: key, Digest: digest})
	}
	return id, nil
}

// known returns the ruling on a call whose outcome the fold already has.
func (b *Book) known(key string, digest uint64) *Ruling {
	c := b.Fold.Call(key)
	switch {
	case c == nil:
		return nil
	case c.Digest != digest && c.State == Claimed:
		// The claim may be void by now, and this request may have run since.
		return &Ruling{Refused: &codes.Error{Code: codes.KeyReused, Run: codes.Unknown, Detail: reusedDetail}}
	case c.Digest != digest:
		return &Ruling{Refused: codes.Refuse(codes.KeyReused, 0, reusedDetail)}
	case c.State == InDoubt:
		return &Ruling{Refused: &codes.Error{Code: codes.OutcomeUnknown, Run: codes.Unknown, Detail: "an earlier attempt was dispatched and its answer never came"}}
	case c.State == Done && c.Dropped:
		return &Ruling{Refused: &codes.Error{Code: codes.AnswerNotKept, Run: codes.Ran, Detail: "the call ran once; ask the service for its state"}}
	case c.State == Done:
		kept := *c
		return &Ruling{Replay: &kept}
	default:
		return nil
	}
}

func (b *Book) send(key, kind string, body any) {
	b.pending = append(b.pending, sent{key: key, claim: kind == KindClaim})
	b.Send(tail.NewItem(kind, body))
}

// readBack removes the oldest pending item.
func (b *Book) readBack() sent {
	s := b.pending[0]
	b.pending = b.pending[1:]
	b.done++
	if e := b.entries[s.key]; e != nil && s.claim {
		e.claiming = false
	}
	return s
}

// Finish records the answer of a call that this instance won.
func (b *Book) Finish(m Result) {
	b.leave(m.Key)
	b.send(m.Key, KindResult, m)
}

// GiveUp voids a claim that was won and not dispatched.
func (b *Book) GiveUp(key string) {
	b.leave(key)
	b.send(key, KindVoid, Void{Key: key})
}

// Doubt records that a dispatched call has no known outcome.
func (b *Book) Doubt(key string) {
	b.leave(key)
	b.send(key, KindDoubt, Doubt{Key: key})
}

func (b *Book) leave(key string) {
	if e := b.entries[key]; e != nil {
		e.serving = 0
	}
}

// Cancel removes a caller that no longer waits. When it has won without learning of it,
// its claim is voided.
func (b *Book) Cancel(key string, id int64) {
	e := b.entries[key]
	if e == nil {
		return
	}
	if e.serving == id {
		b.GiveUp(key)
		return
	}
	for i, w := range e.waiting {
		if w.id == id {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			break
		}
	}
	b.forget(key)
}

// Apply folds one batch and rules on the calls that it concerns.
func (b *Book) Apply(batch tail.Batch) ([]Event, error) {
	events, err := b.Fold.Apply(batch.Inc, batch.Items)
	if err != nil {
		return nil, err
	}
	for _, e := range events {
		if batch.Inc == b.Inc {
			b.readBack()
		}
		if e.Key != "" {
			b.note(batch.Inc == b.Inc, e)
		}
	}
	return events, nil
}

// note rules on the calls with the key of an event.
func (b *Book) note(own bool, ev Event) {
	e := b.entries[ev.Key]
	if e == nil {
		return
	}
	if own && ev.Won {
		b.award(ev.Key, e, ev.Call)
	}
	b.settle(ev.Key, e)
}

// award gives the won claim to the first caller with its digest, or voids it when
// nobody waits any more: the callers were told that nothing ran.
func (b *Book) award(key string, e *entry, c *Call) {
	for i, w := range e.waiting {
		if w.digest != c.Digest {
			continue
		}
		e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
		e.serving = w.id
		b.Decided(w.id, Ruling{Won: true})
		return
	}
	b.send(key, KindVoid, Void{Key: key})
}

// settle tells waiting callers what the fold knows, and claims again a key that was voided.
func (b *Book) settle(key string, e *entry) {
	kept := e.waiting[:0:0]
	for _, w := range e.waiting {
		if r := b.known(key, w.digest); r != nil {
			b.Decided(w.id, *r)
			continue
		}
		kept = append(kept, w)
	}
	e.waiting = kept
	if len(kept) > 0 && !e.claiming && b.Fold.Call(key) == nil {
		e.claiming = true
		b.send(key, KindClaim, Claim{Key: key, Digest: kept[0].digest})
	}
	b.forget(key)
}

// forget drops the entry of a key that nobody here has to do with.
func (b *Book) forget(key string) {
	if e := b.entries[key]; e != nil && !e.claiming && e.serving == 0 && len(e.waiting) == 0 {
		delete(b.entries, key)
	}
}

// Tick refuses callers that waited too long. When their claim is read back as won
// later, it is voided.
func (b *Book) Tick() {
	now := b.Now()
	for key, e := range b.entries {
		kept := e.waiting[:0:0]
		for _, w := range e.waiting {
			if now.Before(w.deadline) {
				kept = append(kept, w)
				continue
			}
			b.Decided(w.id, Ruling{Refused: b.unsettled(key, "the claim was not read back in time")})
		}
		e.waiting = kept
		b.forget(key)
	}
	for key := range b.open {
		if c := b.Fold.Call(key); c == nil || c.State != Claimed {
			delete(b.open, key)
		}
	}
}

// unsettled returns the refusal of a caller whose claim can't be settled now; why tells
// what is wrong when no attempt with the key is known.
func (b *Book) unsettled(key, why string) *codes.Error {
	if b.Fold.Call(key) != nil {
		if b.openFor(key) > b.Open {
			return &codes.Error{Code: codes.OutcomeUnknown, Run: codes.Unknown,
				Detail: "the instance that holds the claim has not answered; ask the service whether the call took effect"}
		}
		return &codes.Error{Code: codes.ClaimLost, Run: codes.Unknown, RetryAfter: RetryBusy,
			Detail: "another attempt with this key is being served; ask again with the same key"}
	}
	return codes.Refuse(codes.ClaimUnavailable, RetryLogDown, "%s; this attempt was not made", why)
}

// openFor returns for how long callers have been asking for a claim that another instance
// holds; 0 while it is served here.
func (b *Book) openFor(key string) time.Duration {
	if e := b.entries[key]; e != nil && e.serving != 0 {
		return 0
	}
	now := b.Now()
	if _, ok := b.open[key]; !ok {
		b.open[key] = now
	}
	return now.Sub(b.open[key])
}

// Bye sends the last item of the incarnation.
func (b *Book) Bye() { b.send("", KindBye, Bye{}) }

// Restore replaces the folded state by a later one. Claims of this instance that the
// state has as won go to their callers as usual.
func (b *Book) Restore(state []byte) error {
	if err := b.Fold.Load(state); err != nil {
		return err
	}
	back := map[string]bool{}
	for b.done < b.Fold.Applied[b.Inc] && len(b.pending) > 0 {
		if s := b.readBack(); s.claim {
			back[s.key] = true
		}
	}
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		e, c := b.entries[key], b.Fold.Call(key)
		if back[key] && c != nil && c.Winner == b.Inc && c.State == Claimed {
			b.award(key, e, c)
		}
		b.settle(key, e)
	}
	return nil
}

// InFlight returns the number of calls that local callers wait for or are being served.
func (b *Book) InFlight() int {
	n := 0
	for _, e := range b.entries {
		n += len(e.waiting)
		if e.serving != 0 {
			n++
		}
	}
	return n
}
