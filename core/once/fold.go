// Package once makes non-idempotent calls run at most once. A call is claimed in the
// platform's log before it is dispatched: the first claim of a key wins, and only
// the incarnation that wrote it dispatches the call, once. No lease is involved, so a pause
// of the process between claim and dispatch can't cause a second dispatch.
package once

import (
	"cmp"
	"fmt"
	"slices"

	"cranberryrail/core/tail"
)

// Kinds of items in the once stream.
const (
	KindClaim  = "claim"
	KindVoid   = "void"
	KindResult = "result"
	KindDoubt  = "doubt"
	KindBye    = "bye"
)

// Bounds of the stored state.
const (
	// KeyWindow is the number of latest keys that are kept to detect repeated calls. A call whose winner may
	// still dispatch it is kept beyond the window.
	KeyWindow = 1 << 17
	// AnswerWindowBytes is the maximum total size of the kept answers; the oldest are evicted first.
	AnswerWindowBytes = 16 << 20
)

// FoldFormat is the version of the state encoding that this build reads and writes.
const FoldFormat = 1

// Claim requests the right to dispatch the call with a key.
type Claim struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Digest uint64
}

// Void releases a claim whose call was never dispatched; the key can be claimed again.
type Void struct {
	_   struct{} `cbor:",toarray"`
	Key string
}

// Result records the answer of a call.
type Result struct {
	_           struct{} `cbor:",toarray"`
	Key         string
	Status      int
	ContentType string
	Body        []byte
	// TooLarge is true when the body was too large to be kept.
	TooLarge bool
}

// Bye is the last item of an incarnation; it is sent on a graceful shutdown.
type Bye struct {
	_ struct{} `cbor:",toarray"`
}

// Doubt records that a dispatched call may or may not have run.
type Doubt struct {
	_   struct{} `cbor:",toarray"`
	Key string
}

// State is the progress of the call with a key.
type State string

// States of a call.
const (
	// Claimed means that the winner may dispatch the call, or has dispatched it.
	Claimed State = "claimed"
	// Done means that the call ran and its answer is recorded.
	Done State = "done"
	// InDoubt means that the call was dispatched and its outcome is unknown.
	InDoubt State = "in_doubt"
)

// Call is the folded state of one key.
type Call struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Digest uint64
	// Winner is the incarnation that may dispatch the call.
	Winner string
	State  State
	// Status, ContentType and Body are the answer of a completed call.
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped is true when the body is not kept.
	BodyDropped bool
	// AnswerSeq is the sequence number of the answer among the answers of all calls.
	AnswerSeq uint64
}

// Event is the effect of one item.
type Event struct {
	Kind string
	Key  string
	// Won is true when the item is a claim that won.
	Won bool
	// Call is the state of the key after the item; nil when there is none.
	Call *Call
}

// Fold is the state of one once stream.
type Fold struct {
	calls     map[string]*Call
	keyOrder  []string
	bodyBytes int64
	// answers holds the calls whose answers are kept, the oldest first. It may contain calls that were evicted
	// since.
	answers []*Call
	// lastAnswerSeq is the sequence number of the last answer.
	lastAnswerSeq uint64
	// Applied counts the folded items of each incarnation that has not sent a Bye.
	Applied map[string]uint64
}

// New returns an empty fold.
func New() *Fold { return &Fold{calls: map[string]*Call{}, Applied: map[string]uint64{}} }

// String returns a short description of the fold.
func (f *Fold) String() string { return fmt.Sprintf("state of %d at-most-once calls", len(f.calls)) }

// Call returns the state of a key, or nil.
func (f *Fold) Call(key string) *Call { return f.calls[key] }

// Apply folds the items that inc wrote and returns one event for each item.
func (f *Fold) Apply(inc string, items []tail.Item) ([]Event, error) {
	events := make([]Event, 0, len(items))
	for _, item := range items {
		e, err := f.apply(inc, item)
		if err != nil {
			return nil, fmt.Errorf("fold item %q: %w", item.Kind, err)
		}
		e.Kind = item.Kind
		f.Applied[inc]++
		if item.Kind == KindBye {
			delete(f.Applied, inc)
		}
		events = append(events, e)
	}
	return events, nil
}

func (f *Fold) apply(inc string, item tail.Item) (Event, error) {
	switch item.Kind {
	case KindClaim:
		var m Claim
		if err := tail.Decode(item.Body, &m); err != nil {
			return Event{}, err
		}
		return f.claim(inc, m), nil
	case KindVoid:
		var m Void
		if err := tail.Decode(item.Body, &m); err != nil {
			return Event{}, err
		}
		return f.void(inc, m), nil
	case KindResult:
		var m Result
		if err := tail.Decode(item.Body, &m); err != nil {
			return Event{}, err
		}
		return f.result(inc, m), nil
	case KindDoubt:
		var m Doubt
		if err := tail.Decode(item.Body, &m); err != nil {
			return Event{}, err
		}
		return f.doubt(inc, m), nil
	default:
		return Event{}, nil
	}
}

func (f *Fold) claim(inc string, m Claim) Event {
	if c := f.calls[m.Key]; c != nil {
		return Event{Key: m.Key, Call: c}
	}
	c := &Call{Key: m.Key, Digest: m.Digest, Winner: inc, State: Claimed}
	f.calls[m.Key] = c
	f.keyOrder = append(f.keyOrder, m.Key)
	f.evict()
	return Event{Key: m.Key, Won: true, Call: c}
}

// void removes a claim. Only the winner writes a void, and only for a call that was not dispatched.
func (f *Fold) void(inc string, m Void) Event {
	c := f.calls[m.Key]
	if c == nil || c.Winner != inc || c.State != Claimed {
		return Event{Key: m.Key, Call: c}
	}
	delete(f.calls, m.Key)
	i := len(f.keyOrder) - 1
	for f.keyOrder[i] != m.Key {
		i--
	}
	f.keyOrder = slices.Delete(f.keyOrder, i, i+1)
	return Event{Key: m.Key}
}

func (f *Fold) result(inc string, m Result) Event {
	c := f.calls[m.Key]
	if c == nil || c.Winner != inc || c.State == Done {
		return Event{Key: m.Key, Call: c}
	}
	c.State, c.Status, c.ContentType = Done, m.Status, m.ContentType
	c.Body, c.BodyDropped = m.Body, m.TooLarge
	f.bodyBytes += int64(len(c.Body))
	f.lastAnswerSeq++
	c.AnswerSeq = f.lastAnswerSeq
	f.answers = append(f.answers, c)
	f.evict()
	return Event{Key: m.Key, Call: c}
}

// doubt marks the call as in doubt if inc won its claim and the call is still claimed; otherwise it changes nothing.
// The event has the key and the call in either case; the call is nil if the key is unknown.
func (f *Fold) doubt(inc string, m Doubt) Event {
	c := f.calls[m.Key]
	if c != nil && c.Winner == inc && c.State == Claimed {
		c.State = InDoubt
	}
	return Event{Key: m.Key, Call: c}
}

// evict removes the oldest keys beyond KeyWindow, except claimed ones, and the oldest bodies beyond
// AnswerWindowBytes.
func (f *Fold) evict() {
	for n := len(f.keyOrder); n > 0 && len(f.keyOrder) > KeyWindow; n-- {
		key := f.keyOrder[0]
		f.keyOrder = f.keyOrder[1:]
		c := f.calls[key]
		if c.State == Claimed {
			f.keyOrder = append(f.keyOrder, key)
			continue
		}
		delete(f.calls, key)
		f.dropBody(c)
	}
	for len(f.answers) > 0 && (f.bodyBytes > AnswerWindowBytes || f.answers[0].BodyDropped) {
		f.dropBody(f.answers[0])
		f.answers = f.answers[1:]
	}
}

// dropBody removes the body of a call's answer.
func (f *Fold) dropBody(c *Call) {
	f.bodyBytes -= int64(len(c.Body))
	c.Body, c.BodyDropped = nil, true
}

// savedState is the encoded form of a fold.
type savedState struct {
	_       struct{} `cbor:",toarray"`
	Format  int
	Calls   []*Call
	Applied map[string]uint64
	// LastAnswerSeq is the sequence number of the last answer.
	LastAnswerSeq uint64
}

// Save returns the encoded state; equal folds have equal encodings.
func (f *Fold) Save() ([]byte, error) {
	s := savedState{Format: FoldFormat, Applied: f.Applied, LastAnswerSeq: f.lastAnswerSeq, Calls: make([]*Call, 0, len(f.keyOrder))}
	for _, key := range f.keyOrder {
		s.Calls = append(s.Calls, f.calls[key])
	}
	return tail.Encode(s)
}

// Load replaces the state by one that Save returned.
func (f *Fold) Load(state []byte) error {
	var s savedState
	if err := tail.Decode(state, &s); err != nil {
		return err
	}
	if s.Format != FoldFormat {
		return &tail.FormatError{Format: s.Format}
	}
	*f = *New()
	if s.Applied != nil {
		f.Applied = s.Applied
	}
	for _, c := range s.Calls {
		f.calls[c.Key] = c
		f.keyOrder = append(f.keyOrder, c.Key)
		f.bodyBytes += int64(len(c.Body))
		if c.State == Done && !c.BodyDropped {
			f.answers = append(f.answers, c)
		}
	}
	f.lastAnswerSeq = s.LastAnswerSeq
	slices.SortFunc(f.answers, func(a, b *Call) int { return cmp.Compare(a.AnswerSeq, b.AnswerSeq) })
	return nil
}
