package once

import (
	"maps"
	"slices"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/tail"
)

// Retry delays for callers.
const (
	// RetryBusy applies while another attempt with the key is being served.
	RetryBusy = time.Second
	// RetryLogDown applies while the platform's log is unreachable.
	RetryLogDown = 2 * time.Second
)

// keyReusedDetail is the detail of a refusal for a key that was reused with another request.
const keyReusedDetail = "use a new key for a new request"

// Decision is the decision on a call.
type Decision struct {
	// Won is true when this caller, and no other, may dispatch the call now.
	Won bool
	// Replay is the stored answer of a completed call.
	Replay *Call
	// Refused is the refusal; nil when Won or Replay is set.
	Refused *codes.Error
}

// waiter is a caller that waits for a decision.
type waiter struct {
	id       int64
	digest   uint64
	deadline time.Time
}

// keyEntry is the local state of a key that callers of this instance wait for or are served with.
type keyEntry struct {
	// claimPending is true while a claim of this instance is sent and not yet read back.
	claimPending bool
	// servingID is the id of the local caller that won the claim and has not ended the call; 0 when there is none.
	servingID int64
	waiting   []waiter
}

// pendingItem is an item that was sent and not yet read back.
type pendingItem struct {
	key   string
	claim bool
}

// Book holds the local state of one instance on a once stream: the callers that wait for a decision and the calls
// that are being served. It is not safe for concurrent use.
// Exported fields are set before the first call.
type Book struct {
	// Incarnation is the incarnation of this process.
	Incarnation string
	// Fold is the folded stream.
	Fold *Fold
	// Now returns the time. It is used only for timeouts of callers.
	Now func() time.Time
	// Send writes items to the stream.
	Send func(items ...tail.Item)
	// OnDecision is called with each decision that had to wait.
	OnDecision func(id int64, r Decision)
	// MaxWait is the maximum time that a caller waits for its claim, or for the answer of another attempt.
	MaxWait time.Duration
	// ClaimTimeout is the time for which callers get a retryable refusal while another instance holds the claim; after
	// it the refusal reports that the outcome is unknown.
	ClaimTimeout time.Duration

	// claimedSince holds, for each key claimed by another instance, the time of the first refused caller.
	claimedSince  map[string]time.Time
	entries       map[string]*keyEntry
	nextID        int64
	logDown       bool
	ready         bool
	pending       []pendingItem
	readBackCount uint64
}

// Default sets default values for fields that are not set.
func (b *Book) Default() {
	if b.Fold == nil {
		b.Fold = New()
	}
	if b.OnDecision == nil {
		b.OnDecision = func(int64, Decision) {}
	}
	if b.MaxWait == 0 {
		b.MaxWait = 2 * time.Second
	}
	if b.ClaimTimeout == 0 {
		b.ClaimTimeout = time.Minute
	}
	b.entries = map[string]*keyEntry{}
	b.claimedSince = map[string]time.Time{}
}

// String returns the name of the book for logs.
func (b *Book) String() string { return "book of at-most-once calls of " + b.Incarnation }

// SetReady sets whether the folded state is usable.
func (b *Book) SetReady(ready bool) { b.ready = ready }

// SetLogReachable sets whether the platform's log is reachable.
func (b *Book) SetLogReachable(reachable bool) { b.logDown = !reachable }

// Claim requests a decision on a call. If the second result is nil, the decision follows later through OnDecision, with
// the returned id.
func (b *Book) Claim(key string, digest uint64) (int64, *Decision) {
	b.nextID++
	id := b.nextID
	if r := b.decisionFromFold(key, digest); r != nil {
		return id, r
	}
	if !b.ready || b.logDown {
		return id, &Decision{Refused: b.refusal(key, "the platform's log is unreachable")}
	}
	e := b.entries[key]
	if e == nil {
		e = &keyEntry{}
		b.entries[key] = e
	}
	e.waiting = append(e.waiting, waiter{id: id, digest: digest, deadline: b.Now().Add(b.MaxWait)})
	if b.Fold.Call(key) == nil && !e.claimPending {
		e.claimPending = true
		b.send(key, KindClaim, Claim{Key: key, Digest: digest})
	}
	return id, nil
}

// decisionFromFold returns the decision that follows from the folded state of the key, or nil if none does yet.
func (b *Book) decisionFromFold(key string, digest uint64) *Decision {
	c := b.Fold.Call(key)
	switch {
	case c == nil:
		return nil
	case c.Digest != digest && c.State == Claimed:
		// The claim may have been voided since, and this request may have run.
		return &Decision{Refused: &codes.Error{Code: codes.KeyReused, Run: codes.Unknown, Detail: keyReusedDetail}}
	case c.Digest != digest:
		return &Decision{Refused: codes.Refuse(codes.KeyReused, 0, keyReusedDetail)}
	case c.State == InDoubt:
		return &Decision{Refused: &codes.Error{Code: codes.OutcomeUnknown, Run: codes.Unknown, Detail: "an earlier attempt was dispatched but no response was received; ask the service whether the call took effect"}}
	case c.State == Done && c.BodyDropped:
		return &Decision{Refused: &codes.Error{Code: codes.AnswerNotKept, Run: codes.Ran, Detail: "ask the service for its state; the call will not be sent again"}}
	case c.State == Done:
		kept := *c
		return &Decision{Replay: &kept}
	default:
		return nil
	}
}

func (b *Book) send(key, kind string, body any) {
	b.pending = append(b.pending, pendingItem{key: key, claim: kind == KindClaim})
	b.Send(tail.NewItem(kind, body))
}

// popPending removes the oldest pending item.
func (b *Book) popPending() pendingItem {
	s := b.pending[0]
	b.pending = b.pending[1:]
	b.readBackCount++
	if e := b.entries[s.key]; e != nil && s.claim {
		e.claimPending = false
	}
	return s
}

// Finish records the answer of a call whose claim this instance won.
func (b *Book) Finish(m Result) {
	b.endServing(m.Key)
	b.send(m.Key, KindResult, m)
}

// Void voids a claim that was won and whose call was not dispatched.
func (b *Book) Void(key string) {
	b.endServing(key)
	b.send(key, KindVoid, Void{Key: key})
}

// MarkInDoubt records that the outcome of a dispatched call is unknown.
func (b *Book) MarkInDoubt(key string) {
	b.endServing(key)
	b.send(key, KindDoubt, Doubt{Key: key})
}

func (b *Book) endServing(key string) {
	if e := b.entries[key]; e != nil {
		e.servingID = 0
	}
}

// Cancel removes a caller that no longer waits. If it has won the claim but did not receive the decision, the
// claim is voided.
func (b *Book) Cancel(key string, id int64) {
	e := b.entries[key]
	if e == nil {
		return
	}
	if e.servingID == id {
		b.Void(key)
		return
	}
	for i, w := range e.waiting {
		if w.id == id {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			break
		}
	}
	b.removeIdleEntry(key)
}

// Apply folds one batch and decides on the waiting callers of the keys in it.
func (b *Book) Apply(batch tail.Batch) ([]Event, error) {
	events, err := b.Fold.Apply(batch.Incarnation, batch.Items)
	if err != nil {
		return nil, err
	}
	for _, e := range events {
		if batch.Incarnation == b.Incarnation {
			b.popPending()
		}
		if e.Key != "" {
			b.applyEvent(batch.Incarnation == b.Incarnation, e)
		}
	}
	return events, nil
}

// applyEvent decides on the waiting callers of the event's key.
func (b *Book) applyEvent(own bool, ev Event) {
	e := b.entries[ev.Key]
	if e == nil {
		return
	}
	if own && ev.Won {
		b.assignClaim(ev.Key, e, ev.Call)
	}
	b.resolveWaiters(ev.Key, e)
}

// assignClaim assigns a won claim to the first waiting caller with the same digest. If none waits any more, it
// voids the claim: the callers were refused with the statement that the call did not run.
func (b *Book) assignClaim(key string, e *keyEntry, c *Call) {
	for i, w := range e.waiting {
		if w.digest != c.Digest {
			continue
		}
		e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
		e.servingID = w.id
		b.OnDecision(w.id, Decision{Won: true})
		return
	}
	b.send(key, KindVoid, Void{Key: key})
}

// resolveWaiters passes decisions that follow from the folded state to waiting callers, and claims the key again
// if its claim was voided.
func (b *Book) resolveWaiters(key string, e *keyEntry) {
	kept := e.waiting[:0:0]
	for _, w := range e.waiting {
		if r := b.decisionFromFold(key, w.digest); r != nil {
			b.OnDecision(w.id, *r)
			continue
		}
		kept = append(kept, w)
	}
	e.waiting = kept
	if len(kept) > 0 && !e.claimPending && b.Fold.Call(key) == nil {
		e.claimPending = true
		b.send(key, KindClaim, Claim{Key: key, Digest: kept[0].digest})
	}
	b.removeIdleEntry(key)
}

// removeIdleEntry removes the entry of a key that has no pending claim, no waiting caller and no call being served.
func (b *Book) removeIdleEntry(key string) {
	if e := b.entries[key]; e != nil && !e.claimPending && e.servingID == 0 && len(e.waiting) == 0 {
		delete(b.entries, key)
	}
}

// Tick refuses callers that waited too long. If their claim is later read back as won, it is voided.
func (b *Book) Tick() {
	now := b.Now()
	for key, e := range b.entries {
		kept := e.waiting[:0:0]
		for _, w := range e.waiting {
			if now.Before(w.deadline) {
				kept = append(kept, w)
				continue
			}
			b.OnDecision(w.id, Decision{Refused: b.refusal(key, "the claim was not read back in time")})
		}
		e.waiting = kept
		b.removeIdleEntry(key)
	}
	for key := range b.claimedSince {
		if c := b.Fold.Call(key); c == nil || c.State != Claimed {
			delete(b.claimedSince, key)
		}
	}
}

// refusal returns the refusal of a caller on whose claim no decision is possible now. reason is the cause to report
// when no attempt with the key is known.
func (b *Book) refusal(key, reason string) *codes.Error {
	if b.Fold.Call(key) != nil {
		if b.claimedFor(key) > b.ClaimTimeout {
			return &codes.Error{Code: codes.OutcomeUnknown, Run: codes.Unknown,
				Detail: "the instance that holds the claim has not recorded a result in time; ask the service whether the call took effect"}
		}
		return &codes.Error{Code: codes.ClaimLost, Run: codes.Unknown, RetryAfter: RetryBusy,
			Detail: "another attempt with this key is being served; retry with the same key"}
	}
	return codes.Refuse(codes.ClaimUnavailable, RetryLogDown, "%s; the call was not made, retry it with the same key", reason)
}

// claimedFor returns the time since a caller was first refused because another instance holds the claim; 0 while
// the call is served by this instance.
func (b *Book) claimedFor(key string) time.Duration {
	if e := b.entries[key]; e != nil && e.servingID != 0 {
		return 0
	}
	now := b.Now()
	if _, ok := b.claimedSince[key]; !ok {
		b.claimedSince[key] = now
	}
	return now.Sub(b.claimedSince[key])
}

// CloseIncarnation sends the last item of the incarnation.
func (b *Book) CloseIncarnation() { b.send("", KindBye, Bye{}) }

// Restore replaces the folded state by a later one. Pending claims of this instance that the state records as won
// are assigned to their callers.
func (b *Book) Restore(state []byte) error {
	if err := b.Fold.Load(state); err != nil {
		return err
	}
	readBack := map[string]bool{}
	for b.readBackCount < b.Fold.Applied[b.Incarnation] && len(b.pending) > 0 {
		if s := b.popPending(); s.claim {
			readBack[s.key] = true
		}
	}
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		e, c := b.entries[key], b.Fold.Call(key)
		if readBack[key] && c != nil && c.Winner == b.Incarnation && c.State == Claimed {
			b.assignClaim(key, e, c)
		}
		b.resolveWaiters(key, e)
	}
	return nil
}

// InFlight returns the number of waiting callers plus the number of calls being served.
func (b *Book) InFlight() int {
	n := 0
	for _, e := range b.entries {
		n += len(e.waiting)
		if e.servingID != 0 {
			n++
		}
	}
	return n
}
