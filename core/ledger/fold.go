package ledger

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/tail"
)

// BillWindow is the number of latest bills in a stream that are kept to detect a repeated charge of the same
// request.
const BillWindow = 1 << 18

// MaxPaid is the maximum number of paid tokens of a budget; it keeps sums from overflowing.
const MaxPaid = 1 << 60

// FoldFormat is the version of the state encoding that this build reads and writes.
const FoldFormat = 1

// Holding is the number of tokens that the log has granted to an incarnation and that are neither spent nor
// returned.
type Holding struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Tokens      int64
}

// AcceptedTopUp records an accepted top-up, so that a repeated one is detected.
type AcceptedTopUp struct {
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
	// TopUps are the accepted top-ups in log order.
	TopUps []AcceptedTopUp
}

// Free returns the tokens that are neither spent nor held.
func (b *Budget) Free() int64 { return b.Paid - b.Spent - b.Held }

// HeldBy returns the tokens held by an incarnation.
func (b *Budget) HeldBy(inc string) int64 {
	if i, ok := b.findHolding(inc); ok {
		return b.Holdings[i].Tokens
	}
	return 0
}

func (b *Budget) findHolding(inc string) (int, bool) {
	return slices.BinarySearchFunc(b.Holdings, inc, func(h Holding, inc string) int { return cmp.Compare(h.Incarnation, inc) })
}

// addHolding adds tokens, which may be negative, to the holding of an incarnation.
func (b *Budget) addHolding(inc string, tokens int64) {
	i, ok := b.findHolding(inc)
	if !ok {
		b.Holdings = slices.Insert(b.Holdings, i, Holding{Incarnation: inc})
	}
	b.Holdings[i].Tokens += tokens
	b.Held += tokens
	if b.Holdings[i].Tokens == 0 {
		b.Holdings = slices.Delete(b.Holdings, i, i+1)
	}
}

// Bill is the number of tokens that one request was charged.
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

// Result is the effect of one item.
type Result struct {
	// Kind is the kind of the item.
	Kind string
	// Budget is the key of the budget.
	Budget string
	// Tokens is the number of tokens added, granted, charged or returned.
	Tokens int64
	// Request is the request ID of a charge.
	Request string
	// Digest is the digest of a charge.
	Digest uint64
	// Taken lists the tokens taken from each holder.
	Taken []Part
	// Repeated is true when the request was already charged, or the top-up already accepted.
	Repeated bool
	// Refused is the reason for which the item was refused; empty when it was accepted.
	Refused Refusal
}

// Refusal is the reason for which an item was refused.
type Refusal string

// Reasons for which an item is refused. A charge refused with RefusedBeyondHolding still takes what its holders have.
const (
	// RefusedUnknownBudget means that the budget does not exist.
	RefusedUnknownBudget Refusal = "budget_unknown"
	// RefusedNotCovered means that the budget has fewer free tokens than the draw's Least.
	RefusedNotCovered Refusal = "not_covered"
	// RefusedIDReused means that the ID of a top-up was used before with another amount.
	RefusedIDReused Refusal = "id_reused"
	// RefusedBeyondHolding means that the holder has fewer tokens than the item takes. It violates the invariant that
	// an instance spends only tokens which it holds.
	RefusedBeyondHolding Refusal = "beyond_holding"
	// RefusedAmount means that the amount is not positive or exceeds MaxPaid, or that a top-up has no ID or budget.
	RefusedAmount Refusal = "amount"
)

// Fold is the state of one ledger stream. Instances that folded the same records have equal states.
type Fold struct {
	// Budgets holds the budgets by key.
	Budgets map[string]*Budget
	// Violations counts the items that would have violated an invariant.
	Violations int64
	// Applied counts the folded items of each incarnation that has not sent a Bye.
	Applied map[string]uint64
	// Chain is a hash over the results of all items. It is equal for folds of the same records; instances
	// compare it to detect diverged folds.
	Chain uint64

	bills      map[billKey]int64
	billOrder  []billKey
	oldestBill int
	earlier    map[string]int64
}

// New returns an empty fold.
func New() *Fold {
	return &Fold{Budgets: map[string]*Budget{}, Applied: map[string]uint64{}, bills: map[billKey]int64{}, earlier: map[string]int64{}}
}

// String returns a short description of the fold.
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
		if r.Refused == RefusedBeyondHolding {
			f.Violations++
		}
		f.Chain = r.chain(f.Chain)
		results = append(results, r)
	}
	return results, nil
}

// chain returns the hash over before, the hash of the preceding results, and this result.
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
		m.Holder = holderOrWriter(m.Holder, inc)
		return f.returnTokens(m), nil
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
	for _, accepted := range b.TopUps {
		if accepted.ID != m.ID {
			continue
		}
		r.Repeated = true
		if accepted.Tokens != m.Tokens {
			r.Refused = RefusedIDReused
		}
		return r
	}
	if m.Tokens > MaxPaid-b.Paid {
		r.Refused = RefusedAmount
		return r
	}
	b.TopUps = append(b.TopUps, AcceptedTopUp{ID: m.ID, Tokens: m.Tokens})
	b.Paid += m.Tokens
	return r
}

func (f *Fold) draw(inc string, m Draw) Result {
	r := Result{Budget: m.Budget}
	b := f.Budgets[m.Budget]
	switch {
	case b == nil:
		r.Refused = RefusedUnknownBudget
		return r
	case m.Tokens <= 0 || m.Least <= 0:
		r.Refused = RefusedAmount
		return r
	}
	grant := min(m.Tokens, b.Free())
	if grant < m.Least {
		r.Refused = RefusedNotCovered
		return r
	}
	b.addHolding(inc, grant)
	r.Tokens = grant
	return r
}

func (f *Fold) charge(inc string, m Charge) Result {
	r := Result{Budget: m.Budget, Request: m.Request, Digest: m.Digest}
	b := f.Budgets[m.Budget]
	if b == nil {
		r.Refused = RefusedUnknownBudget
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
		p.Holder = holderOrWriter(p.Holder, inc)
		take := min(due, p.Tokens)
		if b.HeldBy(p.Holder) < take {
			r.Refused = RefusedBeyondHolding
			take = b.HeldBy(p.Holder)
		}
		if take <= 0 {
			continue
		}
		b.addHolding(p.Holder, -take)
		b.Spent += take
		due -= take
		r.Tokens += take
		r.Taken = append(r.Taken, Part{Holder: p.Holder, Tokens: take})
	}
	if due > 0 {
		r.Refused = RefusedBeyondHolding
	}
	f.recordBill(key, before+r.Tokens, known)
	return r
}

// holderOrWriter returns the holder, or the writer when the holder is empty.
func holderOrWriter(holder, writer string) string {
	if holder == "" {
		return writer
	}
	return holder
}

// recordBill records a bill. Beyond BillWindow it evicts the oldest bill and adds its tokens to earlier.
func (f *Fold) recordBill(key billKey, tokens int64, known bool) {
	f.bills[key] = tokens
	if known {
		return
	}
	f.billOrder = append(f.billOrder, key)
	if len(f.bills) <= BillWindow {
		return
	}
	evicted := f.billOrder[f.oldestBill]
	f.earlier[evicted.budget] += f.bills[evicted]
	delete(f.bills, evicted)
	f.billOrder[f.oldestBill] = billKey{}
	if f.oldestBill++; f.oldestBill >= BillWindow {
		f.billOrder = slices.Clone(f.billOrder[f.oldestBill:])
		f.oldestBill = 0
	}
}

func (f *Fold) returnTokens(m Return) Result {
	r := Result{Budget: m.Budget}
	b := f.Budgets[m.Budget]
	switch {
	case b == nil:
		r.Refused = RefusedUnknownBudget
	case m.Tokens <= 0:
		r.Refused = RefusedAmount
	case b.HeldBy(m.Holder) < m.Tokens:
		r.Refused = RefusedBeyondHolding
	default:
		b.addHolding(m.Holder, -m.Tokens)
		r.Tokens = m.Tokens
		r.Taken = []Part{{Holder: m.Holder, Tokens: m.Tokens}}
	}
	return r
}

// Usage lists the bills of a budget in the order of their first charge. Earlier is the sum of the evicted bills;
// the bills and Earlier add up to the spent tokens.
type Usage struct {
	Bills   []Bill
	Earlier int64
}

// Usage returns the bills of a budget.
func (f *Fold) Usage(budget string) Usage {
	u := Usage{Earlier: f.earlier[budget]}
	for _, key := range f.billOrder[f.oldestBill:] {
		if key.budget == budget {
			u.Bills = append(u.Bills, Bill{Budget: key.budget, Request: key.request, Digest: key.digest, Tokens: f.bills[key]})
		}
	}
	return u
}

// InvariantError reports a violated invariant of a budget.
type InvariantError struct {
	Budget string
	Detail string
}

// Error implements the error interface.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("budget %s: invariant violated: %s", e.Budget, e.Detail)
}

// Check verifies the invariants of one budget.
func (b *Budget) Check(key string) error {
	var sum int64
	for _, h := range b.Holdings {
		if h.Tokens <= 0 {
			return &InvariantError{Budget: key, Detail: fmt.Sprintf("%s holds %d tokens", h.Incarnation, h.Tokens)}
		}
		sum += h.Tokens
	}
	if sum != b.Held {
		return &InvariantError{Budget: key, Detail: fmt.Sprintf("holdings sum up to %d tokens, recorded as %d", sum, b.Held)}
	}
	if b.Spent < 0 || b.Spent+b.Held > b.Paid {
		return &InvariantError{Budget: key, Detail: fmt.Sprintf("spent %d and held %d tokens are inconsistent with %d paid", b.Spent, b.Held, b.Paid)}
	}
	return nil
}

// Check verifies the invariants of all budgets.
func (f *Fold) Check() error {
	for key, b := range f.Budgets {
		if err := b.Check(key); err != nil {
			return err
		}
	}
	return nil
}

// savedState is the encoded form of a fold.
type savedState struct {
	_          struct{} `cbor:",toarray"`
	Format     int
	Budgets    map[string]*Budget
	Bills      []Bill
	Earlier    map[string]int64
	Violations int64
	Applied    map[string]uint64
	Chain      uint64
}

// Save returns the encoded state; equal folds have equal encodings.
func (f *Fold) Save() ([]byte, error) {
	s := savedState{Format: FoldFormat, Budgets: f.Budgets, Earlier: f.earlier, Violations: f.Violations, Applied: f.Applied, Chain: f.Chain}
	s.Bills = make([]Bill, 0, len(f.bills))
	for _, key := range f.billOrder[f.oldestBill:] {
		s.Bills = append(s.Bills, Bill{Budget: key.budget, Request: key.request, Digest: key.digest, Tokens: f.bills[key]})
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
		f.billOrder = append(f.billOrder, key)
	}
	return nil
}
