// Package once makes non-idempotent calls run at most once. A call is claimed in the
// platform's log before it is dispatched: the first claim of a key wins, and only
// the incarnation that wrote it dispatches, once. No lease is involved, so a pause
// between the claim and the dispatch does no harm.
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

// Bounds of what is kept.
const (
	// KeyWindow is the number of latest keys that a call is compared with. A call whose
	// winner may still dispatch is kept beyond it.
	KeyWindow = 1 << 17
	// AnswerWindowBytes is the size of all answers that are kept; the oldest go first.
	AnswerWindowBytes = 16 << 20
)

// FoldFormat is the number of the state encoding that this build writes.
const FoldFormat = 1

// Claim asks for the right to dispatch the call with a key.
type Claim struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Digest uint64
}

// Void gives up a claim that was never dispatched; the key can be claimed again.
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
	// TooLarge tells that the body was too large to be kept.
	TooLarge bool
}

// Bye is the last item of an incarnation that stops as planned.
type Bye struct {
	_ struct{} `cbor:",toarray"`
}

// Doubt records that a dispatched call may or may not have run.
type Doubt struct {
	_   struct{} `cbor:",toarray"`
	Key string
}

// State is how far the call with a key has come.
type State string

// States of a call.
const (
	// Claimed means that the winner may dispatch, or has done so.
	Claimed State = "claimed"
	// Done means that the call ran and its answer is known.
	Done State = "done"
	// InDoubt means that the call was dispatched and its outcome is not known.
	InDoubt State = "in_doubt"
)

// Call is the folded state of one key.
type Call struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Digest uint64
	// Winner is the incarnation that may dispatch.
	Winner string
	State  State
	// Status, ContentType and Body are the answer of a call that is done.
	Status      int
	ContentType string
	Body        []byte
	// Dropped tells that the body is not kept.
	Dropped bool
	// Answer counts the answers of all calls in the order in which they came.
	Answer uint64
}

// Event tells what became of one item.
type Event struct {
	Kind string
	Key  string
	// Won tells that the claim won.
	Won bool
	// Call is the state of the key after the item; nil when there is none.
	Call *Call
}

// Fold is the state of one once stream.
type Fold struct {
	calls  map[string]*Call
	order  []string
	bodies int64
	// answers holds the calls whose answers are kept, the oldest first, and may hold
	// some that were forgotten since.
	answers []*Call
	// answered is the number of the last answer.
	answered uint64
	// Applied counts the items folded of each incarnation.
	Applied map[string]uint64
}

// New returns an empty fold.
func New() *Fold { return &Fold{calls: map[string]*Call{}, Applied: map[string]uint64{}} }

// String describes the fold in brief.
func (f *Fold) String() string { return fmt.Sprintf("once state of %d keys", len(f.calls)) }

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
	f.order = append(f.order, m.Key)
	f.trim()
	return Event{Key: m.Key, Won: true, Call: c}
}

// void forgets a claim; only the winner of a call that was not dispatched writes it.
func (f *Fold) void(inc string, m Void) Event {
	c := f.calls[m.Key]
	if c == nil || c.Winner != inc || c.State != Claimed {
		return Event{Key: m.Key, Call: c}
	}
	delete(f.calls, m.Key)
	i := len(f.order) - 1
	for f.order[i] != m.Key {
		i--
	}
	f.order = slices.Delete(f.order, i, i+1)
	return Event{Key: m.Key}
}

func (f *Fold) result(inc string, m Result) Event {
	c := f.calls[m.Key]
	if c == nil || c.Winner != inc || c.State == Done {
		return Event{Key: m.Key, Call: c}
	}
	c.State, c.Status, c.ContentType = Done, m.Status, m.ContentType
	c.Body, c.Dropped = m.Body, m.TooLarge
	f.bodies += int64(len(c.Body))
	f.answered++
	c.Answer = f.answered
	f.answers = append(f.answers, c)
	f.trim()
	return Event{Key: m.Key, Call: c}
}

func (f *Fold) doubt(inc string, m Doubt) Event {
	c := f.calls[m.Key]
	if c != nil && c.Winner == inc && c.State == Claimed {
		c.State = InDoubt
	}
	return Event{Key: m.Key, Call: c}
}

// trim forgets the oldest answers and keys beyond the windows.
func (f *Fold) trim() {
	for n := len(f.order); n > 0 && len(f.order) > KeyWindow; n-- {
		key := f.order[0]
		f.order = f.order[1:]
		c := f.calls[key]
		if c.State == Claimed {
			f.order = append(f.order, key)
			continue
		}
		delete(f.calls, key)
		f.drop(c)
	}
	for len(f.answers) > 0 && (f.bodies > AnswerWindowBytes || f.answers[0].Dropped) {
		f.drop(f.answers[0])
		f.answers = f.answers[1:]
	}
}

// drop forgets the answer of a call.
func (f *Fold) drop(c *Call) {
	f.bodies -= int64(len(c.Body))
	c.Body, c.Dropped = nil, true
}

// saved is the encoding of a fold.
type saved struct {
	_       struct{} `cbor:",toarray"`
	Format  int
	Calls   []*Call
	Applied map[string]uint64
	// Answered is the number of the last answer.
	Answered uint64
}

// Save returns the state; equal folds have equal states.
func (f *Fold) Save() ([]byte, error) {
	s := saved{Format: FoldFormat, Applied: f.Applied, Answered: f.answered, Calls: make([]*Call, 0, len(f.order))}
	for _, key := range f.order {
		s.Calls = append(s.Calls, f.calls[key])
	}
	return tail.Encode(s)
}

// Load replaces the state by what Save returned.
func (f *Fold) Load(state []byte) error {
	var s saved
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
		f.order = append(f.order, c.Key)
		f.bodies += int64(len(c.Body))
		if c.State == Done && !c.Dropped {
			f.answers = append(f.answers, c)
		}
	}
	f.answered = s.Answered
	slices.SortFunc(f.answers, func(a, b *Call) int { return cmp.Compare(a.Answer, b.Answer) })
	return nil
}
