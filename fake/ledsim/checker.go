package ledsim

import (
	"bytes"

	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
)

// holderKey identifies the holding of an incarnation in a budget.
type holderKey struct{ inc, budget string }

// request is one request of a caller, across all its attempts.
type request struct {
	request  ledger.ReserveRequest
	attempts int
	// used is the largest actual use of one attempt at the engines.
	used int64
	// settled is the largest use settled by any instance, and confirmed the largest settled by an
	// instance that was not killed.
	settled, confirmed int64
}

// attempt is one reservation of a request at an instance.
type attempt struct {
	req         *request
	node        *Node
	reservation ledger.Reservation
	// used is the actual use, once ended is true.
	used  int64
	ended bool
}

// checker asserts the invariants with full knowledge: it applies each record as soon as it is
// written, and tracks the actual use.
type checker struct {
	dedup *tail.Deduplicator
	fold  *ledger.Fold
	// reserved holds the tokens of each holding that are reserved by requests in flight and
	// charges not yet applied.
	reserved map[holderKey]int64
	used     map[string]int64
	bills    map[string]int64
	// topUps holds the accepted top-ups by budget and id, and paid their sum by budget.
	topUps map[[2]string]int64
	paid   map[string]int64
	// states holds the state after every stateEvery records, by offset.
	states map[int64][]byte
	// snapshotNext is the first offset that the newest snapshot in the stream does not cover.
	snapshotNext int64
	fail         func(format string, args ...any)
}

// stateEvery is the number of records between two comparisons of complete states.
const stateEvery = 256

func newChecker(fail func(string, ...any)) *checker {
	return &checker{
		dedup: tail.NewDeduplicator(), fold: ledger.New(), reserved: map[holderKey]int64{}, used: map[string]int64{},
		bills: map[string]int64{}, topUps: map[[2]string]int64{}, paid: map[string]int64{}, states: map[int64][]byte{}, fail: fail,
	}
}

// applyRecord applies one record and checks its effects.
func (c *checker) applyRecord(e tail.Record) {
	b, err := tail.DecodeBatch(e.Data)
	if err != nil {
		c.fail("decode record %d: %v", e.Offset, err)
		return
	}
	if st, ok := simul.DecodeSnapshot(b); ok {
		c.snapshotNext = max(c.snapshotNext, st.At+1)
	}
	if b.Seq == 0 || !c.dedup.Admit(e.Offset, b) {
		return
	}
	results, err := c.fold.Apply(b.Incarnation, b.Items)
	if err != nil {
		c.fail("apply record %d: %v", e.Offset, err)
		return
	}
	for i, r := range results {
		c.checkResult(e.Offset, b, b.Items[i], r)
	}
	for _, r := range results {
		c.checkBudget(e.Offset, r)
	}
	if e.Offset%stateEvery == 0 {
		c.states[e.Offset] = c.saveState()
	}
}

// checkResult checks the result of one item.
func (c *checker) checkResult(offset int64, b tail.Batch, item tail.Item, r ledger.Result) {
	if r.Refused == ledger.RefusedBeyondHolding {
		c.fail("record %d: a %s by %s took more of %s than its holder held", offset, r.Kind, b.Incarnation, r.Budget)
	}
	switch r.Kind {
	case ledger.KindBye:
		c.dedup.CloseIncarnation(offset, b.Incarnation)
	case ledger.KindCharge:
		c.checkCharge(offset, b.Incarnation, item, r)
	case ledger.KindTopUp:
		c.recordTopUp(offset, item)
	}
}

// recordTopUp adds a top-up with a new id to the sum paid.
func (c *checker) recordTopUp(offset int64, item tail.Item) {
	var topUp ledger.TopUp
	if err := tail.Decode(item.Body, &topUp); err != nil {
		c.fail("decode the top-up in record %d: %v", offset, err)
		return
	}
	key := [2]string{topUp.Budget, topUp.ID}
	if _, known := c.topUps[key]; !known {
		c.topUps[key] = topUp.Tokens
		c.paid[topUp.Budget] += topUp.Tokens
	}
}

// checkBudget checks the budget that an item changed.
func (c *checker) checkBudget(offset int64, r ledger.Result) {
	budget := c.fold.Budgets[r.Budget]
	if budget == nil {
		return
	}
	if err := budget.Check(r.Budget); err != nil {
		c.fail("check of the budget after record %d: %v", offset, err)
	}
	if budget.Paid != c.paid[r.Budget] {
		c.fail("record %d: %s has %d tokens paid, expected %d", offset, r.Budget, budget.Paid, c.paid[r.Budget])
	}
	for _, p := range r.Taken {
		c.checkHolding(p.Holder, r.Budget)
	}
}

// checkCharge checks that the bill of a request is the highest of its charges, and releases
// the tokens charged.
func (c *checker) checkCharge(offset int64, writer string, item tail.Item, r ledger.Result) {
	var charge ledger.Charge
	if err := tail.Decode(item.Body, &charge); err != nil {
		c.fail("decode the charge in record %d: %v", offset, err)
		return
	}
	previous := c.bills[charge.Request]
	c.bills[charge.Request] = max(previous, charge.Tokens)
	if want := max(charge.Tokens-previous, 0); r.Tokens != want {
		c.fail("record %d: bill of request %s increased by %d tokens, expected %d", offset, charge.Request, r.Tokens, want)
	}
	for _, p := range charge.From {
		holder := p.Holder
		if holder == "" {
			holder = writer
		}
		c.reserved[holderKey{holder, charge.Budget}] -= p.Tokens
	}
}

// checkHolding checks that a holding covers all tokens reserved from it.
func (c *checker) checkHolding(inc, budget string) {
	var held int64
	if b := c.fold.Budgets[budget]; b != nil {
		held = b.HeldBy(inc)
	}
	if reserved := c.reserved[holderKey{inc, budget}]; reserved > held || reserved < 0 {
		c.fail("%s holds %d tokens of %s, but %d are reserved", inc, held, budget, reserved)
	}
}

// recordReservation adds the tokens of a reservation and checks the holdings.
func (c *checker) recordReservation(g ledger.Reservation) {
	for _, p := range g.From {
		c.reserved[holderKey{p.Holder, g.Budget}] += p.Tokens
		c.checkHolding(p.Holder, g.Budget)
	}
}

// recordUse records the actual use of an attempt and asserts that no more was used than paid.
func (c *checker) recordUse(a *attempt, used int64) {
	a.ended, a.used = true, used
	if used <= a.req.used {
		return
	}
	budget := a.reservation.Budget
	c.used[budget] += used - a.req.used
	a.req.used = used
	if paid := c.paid[budget]; c.used[budget] > paid {
		c.fail("%d tokens of %s were used, but only %d were paid", c.used[budget], budget, paid)
	}
}

// releaseUnused releases the tokens of a reservation that were not used.
func (c *checker) releaseUnused(g ledger.Reservation, used int64) {
	for _, p := range g.From {
		charged := min(p.Tokens, used)
		used -= charged
		c.reserved[holderKey{p.Holder, g.Budget}] -= p.Tokens - charged
	}
}

func (c *checker) saveState() []byte {
	state, err := c.fold.Save()
	if err != nil {
		c.fail("save the checker's state: %v", err)
	}
	return state
}

// checkState compares the state of an instance with the checker's at the same offset.
func (c *checker) checkState(n *Node, offset int64) {
	want, ok := c.states[offset]
	if !ok {
		return
	}
	if got := n.State().Data; !bytes.Equal(got, want) {
		c.fail("state of %s differs from the checker's at offset %d", n.Incarnation, offset)
	}
}

// checkBills checks the bills after everything in flight has arrived.
func (c *checker) checkBills(requests []*request) {
	for _, r := range requests {
		bill := c.bills[r.request.Request]
		if bill < r.confirmed || bill > r.settled {
			c.fail("request %s was billed %d tokens, expected at most %d and at least %d", r.request.Request, bill, r.settled, r.confirmed)
		}
	}
	for key, b := range c.fold.Budgets {
		u := c.fold.Usage(key)
		sum := u.Earlier
		for _, bill := range u.Bills {
			sum += bill.Tokens
		}
		if sum != b.Spent {
			c.fail("bills of %s add up to %d tokens, but %d were spent", key, sum, b.Spent)
		}
	}
}
