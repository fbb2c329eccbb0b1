package storm

import (
	"bytes"

	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
)

// holderKey names what an incarnation holds of a budget.
type holderKey struct{ inc, budget string }

// request is one request of a caller, through all its attempts.
type request struct {
	need  ledger.Need
	tries int
	// used is the most that one attempt really used at the engines.
	used int64
	// settled is the most that was settled, and certain the most that was settled by instances
	// that were not killed.
	settled, certain int64
}

// attempt is one grant of a request at an instance.
type attempt struct {
	req   *request
	node  *Node
	grant ledger.Grant
	used  int64
	ended bool
}

// watch is an observer that knows everything: it folds each record when it is
// written and sums what was really used.
type watch struct {
	gate *tail.Gate
	fold *ledger.Fold
	// bound is what requests in flight and charges not yet folded bind of a holding.
	bound map[holderKey]int64
	used  map[string]int64
	bills map[string]int64
	// topUps are the accepted top-ups by budget and id, and paid their sum.
	topUps map[[2]string]int64
	paid   map[string]int64
	// saves are states by offset, of every saveEvery records.
	saves map[int64][]byte
	// snapshot is the first offset that the best snapshot in the stream does not contain.
	snapshot int64
	fail     func(format string, args ...any)
}

// saveEvery is the number of records after which the states of instances are compared in full.
const saveEvery = 256

func newWatch(fail func(string, ...any)) *watch {
	return &watch{
		gate: tail.NewGate(), fold: ledger.New(), bound: map[holderKey]int64{}, used: map[string]int64{},
		bills: map[string]int64{}, topUps: map[[2]string]int64{}, paid: map[string]int64{}, saves: map[int64][]byte{}, fail: fail,
	}
}

// appended folds one record.
func (w *watch) appended(e tail.Entry) {
	b, err := tail.DecodeBatch(e.Data)
	if err != nil {
		w.fail("record %d: %v", e.Offset, err)
		return
	}
	if st, ok := simul.SnapshotOf(b); ok {
		w.snapshot = max(w.snapshot, st.At+1)
	}
	if b.Seq == 0 || !w.gate.Admit(e.Offset, b) {
		return
	}
	results, err := w.fold.Apply(b.Inc, b.Items)
	if err != nil {
		w.fail("record %d: %v", e.Offset, err)
		return
	}
	for i, r := range results {
		w.result(e.Offset, b, b.Items[i], r)
	}
	for _, r := range results {
		w.checkBudget(e.Offset, r)
	}
	if e.Offset%saveEvery == 0 {
		w.saves[e.Offset] = w.save()
	}
}

// result checks what became of one item.
func (w *watch) result(offset int64, b tail.Batch, item tail.Item, r ledger.Result) {
	if r.Refused == ledger.RefusedHolder {
		w.fail("record %d: a %s by %s took more of %s than its holder had", offset, r.Kind, b.Inc, r.Budget)
	}
	switch r.Kind {
	case ledger.KindBye:
		w.gate.Close(offset, b.Inc)
	case ledger.KindCharge:
		w.charge(offset, b.Inc, item, r)
	case ledger.KindTopUp:
		w.topUp(offset, item)
	}
}

// topUp counts a top-up with a new id.
func (w *watch) topUp(offset int64, item tail.Item) {
	var m ledger.TopUp
	if err := tail.Decode(item.Body, &m); err != nil {
		w.fail("record %d: %v", offset, err)
		return
	}
	key := [2]string{m.Budget, m.ID}
	if _, known := w.topUps[key]; !known {
		w.topUps[key] = m.Tokens
		w.paid[m.Budget] += m.Tokens
	}
}

// checkBudget checks the budget that an item touched.
func (w *watch) checkBudget(offset int64, r ledger.Result) {
	budget := w.fold.Budgets[r.Budget]
	if budget == nil {
		return
	}
	if err := budget.Check(r.Budget); err != nil {
		w.fail("record %d: %v", offset, err)
	}
	if budget.Paid != w.paid[r.Budget] {
		w.fail("record %d: %s has %d tokens paid, not %d", offset, r.Budget, budget.Paid, w.paid[r.Budget])
	}
	for _, p := range r.Taken {
		w.holds(p.Holder, r.Budget)
	}
}

// charge checks that the bill of a request is the highest of its charges.
func (w *watch) charge(offset int64, writer string, item tail.Item, r ledger.Result) {
	var m ledger.Charge
	if err := tail.Decode(item.Body, &m); err != nil {
		w.fail("record %d: %v", offset, err)
		return
	}
	before := w.bills[m.Request]
	w.bills[m.Request] = max(before, m.Tokens)
	if want := max(m.Tokens-before, 0); r.Tokens != want {
		w.fail("record %d: request %s was billed %d more, not %d", offset, m.Request, r.Tokens, want)
	}
	for _, p := range m.From {
		holder := p.Holder
		if holder == "" {
			holder = writer
		}
		w.bound[holderKey{holder, m.Budget}] -= p.Tokens
	}
}

// holds checks that a holding covers all that is bound to it.
func (w *watch) holds(inc, budget string) {
	var held int64
	if b := w.fold.Budgets[budget]; b != nil {
		held = b.HeldBy(inc)
	}
	if bound := w.bound[holderKey{inc, budget}]; bound > held || bound < 0 {
		w.fail("%s holds %d tokens of %s, but %d are bound", inc, held, budget, bound)
	}
}

// granted binds a grant.
func (w *watch) granted(g ledger.Grant) {
	for _, p := range g.From {
		w.bound[holderKey{p.Holder, g.Budget}] += p.Tokens
		w.holds(p.Holder, g.Budget)
	}
}

// ended notes the real use of an attempt.
func (w *watch) ended(a *attempt, used int64) {
	a.ended, a.used = true, used
	if used <= a.req.used {
		return
	}
	budget := a.grant.Budget
	w.used[budget] += used - a.req.used
	a.req.used = used
	if paid := w.paid[budget]; w.used[budget] > paid {
		w.fail("%d tokens of %s were used, %d were paid", w.used[budget], budget, paid)
	}
}

// release unbinds all of a grant but the tokens used.
func (w *watch) release(g ledger.Grant, used int64) {
	for _, p := range g.From {
		keep := min(p.Tokens, used)
		used -= keep
		w.bound[holderKey{p.Holder, g.Budget}] -= p.Tokens - keep
	}
}

func (w *watch) save() []byte {
	state, err := w.fold.Save()
	if err != nil {
		w.fail("save: %v", err)
	}
	return state
}

// folded compares the state of an instance with the own one at the same offset.
func (w *watch) folded(n *Node, offset int64) {
	want, ok := w.saves[offset]
	if !ok {
		return
	}
	if got := n.State().Fold; !bytes.Equal(got, want) {
		w.fail("the state of %s at offset %d differs", n.Inc, offset)
	}
}

// finish checks the bills once everything that can arrive has arrived.
func (w *watch) finish(requests []*request) {
	for _, r := range requests {
		bill := w.bills[r.need.Request]
		if bill < r.certain || bill > r.settled {
			w.fail("request %s was billed %d, settled %d and at least %d", r.need.Request, bill, r.settled, r.certain)
		}
	}
	for key, b := range w.fold.Budgets {
		u := w.fold.Usage(key)
		sum := u.Earlier
		for _, bill := range u.Bills {
			sum += bill.Tokens
		}
		if sum != b.Spent {
			w.fail("the bills of %s add up to %d, %d were spent", key, sum, b.Spent)
		}
	}
}
