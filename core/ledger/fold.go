package ledger

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/tail"
)

// ChargeWindow is the number of latest bills in a stream that a further charge of the
// same request is compared with.
const ChargeWindow = 1 << 18

// MostPaid is the most tokens that a budget can have paid; it keeps sums within bounds.
const MostPaid = 1 << 60

// FoldFormat is the number of the state encoding that this build writes.
const FoldFormat = 1

// Holding is what the log has granted to an incarnation and not yet taken back.
type Holding struct {
	_      struct{} `cbor:",toarray"`
	Inc    string
	Tokens int64
}

// TopUpSeen is an accepted top-up.
type TopUpSeen struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Tokens int64
}

// Budget is one prepaid budget. Spent plus the sum of Holdings never exceeds Paid.
type Budget struct {
	_ struct{} `cbor:",toarray"`
	// Paid, Spent and Held are in tokens; Held is the sum of Holdings.
	Paid, Spent, Held int64
	// Holdings are ordered by incarnation.
	Holdings []Holding
	// TopUps are the accepted top-ups in their order.
	TopUps []TopUpSeen
}

// Free returns the tokens that are neither spent nor held.
func (b *Budget) Free() int64 { return b.Paid - b.Spent - b.Held }

// HeldBy returns the tokens held by an incarnation.
func (b *Budget) HeldBy(inc string) int64 {
	if i, ok := b.find(inc); ok {
		return b.Holdings[i].Tokens
	}
	return 0
}

func (b *Budget) find(inc string) (int, bool) {
	return slices.BinarySearchFunc(b.Holdings, inc, func(h Holding, inc string) int { return cmp.Compare(h.Inc, inc) })
}

// hold adds tokens, which may be negative, to what an incarnation holds.
func (b *Budget) hold(inc string, tokens int64) {
	i, ok := b.find(inc)
	if !ok {
		b.Holdings = slices.Insert(b.Holdings, i, Holding{Inc: inc})
	}
	b.Holdings[i].Tokens += tokens
	b.Held += tokens
	if b.Holdings[i].Tokens == 0 {
		b.Holdings = slices.Delete(b.Holdings, i, i+1)
	}
}

// Bill is what one request was billed.
type Bill struct {
	_       struct{} `cbor:",toarray"`
	Budget  string
	Request string
	Digest  uint64
	Tokens  int64
}

type billKey struct {
	budget, request string
	digest          uint64
}

// Result is what became of one item.
type Result struct {
	// Kind is the kind of the item.
	Kind string
	// Budget is the budget concerned.
	Budget string
	// Tokens is what was added, granted, billed or returned.
	Tokens int64
	// Request is the request id of a charge.
	Request string
	// Digest is the digest of a charge.
	Digest uint64
	// Taken tells how many tokens were taken from each holder.
	Taken []Part
	// Repeated tells that the request was billed before, or the top-up accepted before.
	Repeated bool
	// Refused tells why an item had no effect; empty when it had.
	Refused Refusal
}

// Refusal tells why an item had no effect.
type Refusal string

// Reasons for which an item has no effect.
const (
	// RefusedBudget means that the budget does not exist.
	RefusedBudget Refusal = "budget_unknown"
	// RefusedCover means that the budget does not cover the least that was asked for.
	RefusedCover Refusal = "not_covered"
	// RefusedReuse means that the id of a top-up was used before with another amount.
	RefusedReuse Refusal = "id_reused"
	// RefusedHolder means that the holder has fewer tokens than the item takes. It is a
	// violated invariant: no instance spends what it doesn't hold.
	RefusedHolder Refusal = "beyond_holding"
	// RefusedAmount means that the amount is not positive, or more than a budget can have.
	RefusedAmount Refusal = "amount"
)

// Fold is the state of one ledger stream. Every instance that folded the same
// records has an equal one.
type Fold struct {
	// Budgets holds the budgets by key.
	Budgets map[string]*Budget
	// Violations counts items that would have broken an invariant.
	Violations int64
	// Applied counts the items folded of each incarnation that has not said goodbye.
	Applied map[string]uint64
	// Chain is a hash over the results of all items. Folds of the same records have equal
	// ones, which instances compare with each other.
	Chain uint64

	bills   map[billKey]int64
	order   []billKey
	oldest  int
	earlier map[string]int64
}

// New returns an empty fold.
func New() *Fold {
	return &Fold{Budgets: map[string]*Budget{}, Applied: map[string]uint64{}, bills: map[billKey]int64{}, earlier: map[string]int64{}}
}

// String describes the fold in brief.
func (f *Fold) String() string { return fmt.Sprintf("ledger of %d budgets", len(f.Budgets)) }

// Apply folds the items that inc wrote and returns one result for each item.
func (f *Fold) Apply(inc string, items []tail.Item) ([]Result, error) {
	results := make([]Result, 0, len(items))
	for _, item := range items {
		r, err := f.apply(inc, item)
		if err != nil {
			return nil, fmt.Errorf("fold item %q: %w", item.Kind, err)
		}
		r.Kind = item.Kind
		if item.Kind != KindBye {
			f.Applied[inc]++
		}
		if r.Refused == RefusedHolder {
			f.Violations++
		}
		f.Chain = r.chain(f.Chain)
		results = append(results, r)
	}
	return results, nil
}

// chain returns the hash of the results so far and this one.
func (r Result) chain(before uint64) uint64 {
	var b []byte
	b = binary.LittleEndian.AppendUint64(b, before)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.Tokens))
	b = append(b, r.Kind...)
	b = append(b, r.Budget...)
	b = append(b, r.Refused...)
	return xxhash.Sum64(b)
}

func (f *Fold) apply(inc string, item tail.Item) (Result, error) {
	switch item.Kind {
	case KindTopUp:
		var m TopUp
		if err := tail.Decode(item.Body, &m); err != nil {
			return Result{}, err
		}
		return f.topUp(m), nil
	case KindDraw:
		var m Draw
		if err := tail.Decode(item.Body, &m); err != nil {
			return Result{}, err
		}
		return f.draw(inc, m), nil
	case KindCharge:
		var m Charge
		if err := tail.Decode(item.Body, &m); err != nil {
			return Result{}, err
		}
		return f.charge(inc, m), nil
	case KindReturn:
		var m Return
		if err := tail.Decode(item.Body, &m); err != nil {
			return Result{}, err
		}
		m.Holder = holderOr(m.Holder, inc)
		return f.giveBack(m), nil
	case KindBye:
		delete(f.Applied, inc)
		return Result{}, nil
	default:
		return Result{}, nil
	}
}

func (f *Fold) topUp(m TopUp) Result {
	r := Result{Budget: m.Budget, Tokens: m.Tokens}
	if m.Tokens <= 0 || m.Budget == "" || m.ID == "" {
		r.Refused = RefusedAmount
		return r
	}
	b := f.Budgets[m.Budget]
	if b == nil {
		b = &Budget{}
		f.Budgets[m.Budget] = b
	}
	for _, seen := range b.TopUps {
		if seen.ID != m.ID {
			continue
		}
		r.Repeated = true
		if seen.Tokens != m.Tokens {
			r.Refused = RefusedReuse
		}
		return r
	}
	if m.Tokens > MostPaid-b.Paid {
		r.Refused = RefusedAmount
		return r
	}
	b.TopUps = append(b.TopUps, TopUpSeen{ID: m.ID, Tokens: m.Tokens})
	b.Paid += m.Tokens
	return r
}

func (f *Fold) draw(inc string, m Draw) Result {
	r := Result{Budget: m.Budget}
	b := f.Budgets[m.Budget]
	switch {
	case b == nil:
		r.Refused = RefusedBudget
		return r
	case m.Tokens <= 0 || m.Least <= 0:
		r.Refused = RefusedAmount
		return r
	}
	grant := min(m.Tokens, b.Free())
	if grant < m.Least {
		r.Refused = RefusedCover
		return r
	}
	b.hold(inc, grant)
	r.Tokens = grant
	return r
}

func (f *Fold) charge(inc string, m Charge) Result {
	r := Result{Budget: m.Budget, Request: m.Request, Digest: m.Digest}
	b := f.Budgets[m.Budget]
	if b == nil {
		r.Refused = RefusedBudget
		return r
	}
	if m.Tokens <= 0 {
		r.Refused = RefusedAmount
		return r
	}
	key := billKey{budget: m.Budget, request: m.Request, digest: m.Digest}
	before, known := f.bills[key]
	r.Repeated = known
	due := max(m.Tokens-before, 0)
	for _, p := range m.From {
		p.Holder = holderOr(p.Holder, inc)
		take := min(due, p.Tokens)
		if b.HeldBy(p.Holder) < take {
			r.Refused = RefusedHolder
			take = b.HeldBy(p.Holder)
		}
		if take <= 0 {
			continue
		}
		b.hold(p.Holder, -take)
		b.Spent += take
		due -= take
		r.Tokens += take
		r.Taken = append(r.Taken, Part{Holder: p.Holder, Tokens: take})
	}
	if due > 0 {
		r.Refused = RefusedHolder
	}
	f.noteBill(key, before+r.Tokens, known)
	return r
}

// holderOr returns the holder that an item names, or the writer when it names none.
func holderOr(holder, writer string) string {
	if holder == "" {
		return writer
	}
	return holder
}

// noteBill records a bill and forgets the oldest one beyond the window.
func (f *Fold) noteBill(key billKey, tokens int64, known bool) {
	f.bills[key] = tokens
	if known {
		return
	}
	f.order = append(f.order, key)
	if len(f.bills) <= ChargeWindow {
		return
	}
	old := f.order[f.oldest]
	f.earlier[old.budget] += f.bills[old]
	delete(f.bills, old)
	f.order[f.oldest] = billKey{}
	if f.oldest++; f.oldest >= ChargeWindow {
		f.order = slices.Clone(f.order[f.oldest:])
		f.oldest = 0
	}
}

func (f *Fold) giveBack(m Return) Result {
	r := Result{Budget: m.Budget}
	b := f.Budgets[m.Budget]
	switch {
	case b == nil:
		r.Refused = RefusedBudget
	case m.Tokens <= 0:
		r.Refused = RefusedAmount
	case b.HeldBy(m.Holder) < m.Tokens:
		r.Refused = RefusedHolder
	default:
		b.hold(m.Holder, -m.Tokens)
		r.Tokens = m.Tokens
		r.Taken = []Part{{Holder: m.Holder, Tokens: m.Tokens}}
	}
	return r
}

// Usage lists the bills of a budget in the order of their first charge, and the sum
// of those that are no longer listed one by one. Together they are what was spent.
type Usage struct {
	Bills   []Bill
	Earlier int64
}

// Usage returns the bills of a budget.
func (f *Fold) Usage(budget string) Usage {
	u := Usage{Earlier: f.earlier[budget]}
	for _, key := range f.order[f.oldest:] {
		if key.budget == budget {
			u.Bills = append(u.Bills, Bill{Budget: key.budget, Request: key.request, Digest: key.digest, Tokens: f.bills[key]})
		}
	}
	return u
}

// InvariantError tells which invariant a fold breaks.
type InvariantError struct {
	Budget string
	Detail string
}

// Error implements the error interface.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("budget %s: invariant broken: %s", e.Budget, e.Detail)
}

// Check asserts the invariants of one budget.
func (b *Budget) Check(key string) error {
	var sum int64
	for _, h := range b.Holdings {
		if h.Tokens <= 0 {
			return &InvariantError{Budget: key, Detail: fmt.Sprintf("%s holds %d tokens", h.Inc, h.Tokens)}
		}
		sum += h.Tokens
	}
	if sum != b.Held {
		return &InvariantError{Budget: key, Detail: fmt.Sprintf("holdings add up to %d, not %d", sum, b.Held)}
	}
	if b.Spent < 0 || b.Spent+b.Held > b.Paid {
		return &InvariantError{Budget: key, Detail: fmt.Sprintf("spent %d and held %d of paid %d", b.Spent, b.Held, b.Paid)}
	}
	return nil
}

// Check asserts the invariants of all budgets.
func (f *Fold) Check() error {
	for key, b := range f.Budgets {
		if err := b.Check(key); err != nil {
			return err
		}
	}
	return nil
}

// saved is the encoding of a fold.
type saved struct {
	_          struct{} `cbor:",toarray"`
	Format     int
	Budgets    map[string]*Budget
	Bills      []Bill
	Earlier    map[string]int64
	Violations int64
	Applied    map[string]uint64
	Chain      uint64
}

// Save returns the state; equal folds have equal states.
func (f *Fold) Save() ([]byte, error) {
	s := saved{Format: FoldFormat, Budgets: f.Budgets, Earlier: f.earlier, Violations: f.Violations, Applied: f.Applied, Chain: f.Chain}
	s.Bills = make([]Bill, 0, len(f.bills))
	for _, key := range f.order[f.oldest:] {
		s.Bills = append(s.Bills, Bill{Budget: key.budget, Request: key.request, Digest: key.digest, Tokens: f.bills[key]})
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
	f.Violations, f.Chain = s.Violations, s.Chain
	if s.Budgets != nil {
		f.Budgets = s.Budgets
	}
	if s.Applied != nil {
		f.Applied = s.Applied
	}
	if s.Earlier != nil {
		f.earlier = s.Earlier
	}
	for _, b := range s.Bills {
		key := billKey{budget: b.Budget, request: b.Request, digest: b.Digest}
		f.bills[key] = b.Tokens
		f.order = append(f.order, key)
	}
	return nil
}
