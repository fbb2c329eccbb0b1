package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
)

const budget = "ndukwe/main"

// fleet is a stream in memory with its instances. Records are written and read, and time advances, only when a
// test calls for it.
type fleet struct {
	t       *testing.T
	now     time.Time
	records []tail.Batch
	policy  ledger.Policy
}

// member is one instance.
type member struct {
	*ledger.Book
	f       *fleet
	dedup   *tail.Deduplicator
	next    int
	seq     uint64
	queue   []tail.Item
	loans   []ledger.LoanRequest
	decided map[int64]ledger.Decision
	results []ledger.Result
}

func newFleet(t *testing.T, policy ledger.Policy) *fleet {
	return &fleet{t: t, now: time.Unix(1_000_000, 0), policy: policy}
}

func fixedPolicy(tokens int64) ledger.Policy {
	return ledger.Policy{Kind: ledger.Fixed, ChunkTokens: tokens}
}

// start returns a new instance that has read the whole stream.
func (f *fleet) start(inc string) *member {
	m := &member{f: f, dedup: tail.NewDeduplicator(), decided: map[int64]ledger.Decision{}}
	m.Book = &ledger.Book{
		Incarnation: inc, Now: func() time.Time { return f.now },
		Send:       func(items ...tail.Item) { m.queue = append(m.queue, items...) },
		Borrow:     func(l ledger.LoanRequest) { m.loans = append(m.loans, l) },
		OnDecision: func(a ledger.Decision) { m.decided[a.ID] = a },
		Policy:     func(string) ledger.Policy { return f.policy },
	}
	m.Default()
	m.read()
	m.SetReady(true)
	return m
}

// write appends the queued items to the stream as one batch.
func (m *member) write() tail.Batch {
	m.seq++
	b := tail.Batch{Format: tail.BatchFormat, Incarnation: m.Incarnation, Seq: m.seq, Items: m.queue}
	m.queue = nil
	m.f.records = append(m.f.records, b)
	return b
}

// read folds the new records of the stream and checks the invariants.
func (m *member) read() {
	m.f.t.Helper()
	for ; m.next < len(m.f.records); m.next++ {
		b := m.f.records[m.next]
		if !m.dedup.Admit(int64(m.next), b) {
			continue
		}
		results, err := m.Apply(b)
		assert.NilError(m.f.t, err)
		m.results = append(m.results, results...)
		for _, r := range results {
			assert.Assert(m.f.t, r.Refused != ledger.RefusedBeyondHolding)
			if r.Kind == ledger.KindBye {
				m.dedup.CloseIncarnation(int64(m.next), b.Incarnation)
			}
		}
	}
	assert.NilError(m.f.t, m.Fold.Check())
	assert.NilError(m.f.t, m.Check())
}

// syncAll writes the queued items of all members and reads the stream, in four rounds.
func syncAll(members ...*member) {
	for range 4 {
		for _, m := range members {
			if len(m.queue) > 0 {
				m.write()
			}
		}
		for _, m := range members {
			m.read()
		}
	}
}

// replyToLoans replies to the outstanding loan requests from the first of the peers that lends.
func (m *member) replyToLoans(peers ...*member) {
	loans := m.loans
	m.loans = nil
	for _, l := range loans {
		holder, tokens := "", int64(0)
		for _, p := range peers {
			if tokens == 0 {
				holder, tokens = p.Incarnation, p.Lend(l.Budget, l.Tokens, l.Least)
			}
		}
		m.ReceiveLoan(l.Budget, holder, tokens)
	}
}

// reserve reserves tokens and returns the decision. If the request has to wait, it replies to the loan requests from
// peers and, if that does not decide the request, advances the time beyond the deadline.
func (m *member) reserve(request string, tokens int64, peers ...*member) ledger.Decision {
	m.f.t.Helper()
	a, ok := m.Reserve(ledger.ReserveRequest{Budget: budget, Request: request, Tokens: tokens, Least: tokens})
	if ok {
		return a
	}
	m.replyToLoans(peers...)
	if got, ok := m.decided[a.ID]; ok {
		return got
	}
	m.f.now = m.f.now.Add(time.Second)
	m.Tick()
	got, ok := m.decided[a.ID]
	assert.Assert(m.f.t, ok)
	return got
}

// drawAllowances tops up the budget and makes each instance draw its allowance.
func drawAllowances(topUp int64, members ...*member) {
	members[0].TopUp(ledger.TopUp{ID: "first", Budget: budget, Tokens: topUp})
	syncAll(members...)
	for _, m := range members {
		m.OpenAccount(budget)
		m.Tick()
	}
	syncAll(members...)
}

func assertGranted(t *testing.T, a ledger.Decision, tokens int64) int64 {
	t.Helper()
	assert.Assert(t, a.Refused == nil, "%v", a.Refused)
	assert.Equal(t, a.Reservation.CoveredTokens(), tokens)
	return a.ID
}

func assertRefused(t *testing.T, a ledger.Decision, code codes.Code) {
	t.Helper()
	assert.Assert(t, a.Refused != nil)
	assert.Equal(t, a.Refused.Code, code)
	assert.Assert(t, a.Refused.RetryAfter > 0, "a refusal has a retry delay")
}

func assertBudget(t *testing.T, m *member, paid, spent, held int64) {
	t.Helper()
	b := m.Fold.Budgets[budget]
	assert.DeepEqual(t, []int64{b.Paid, b.Spent, b.Held}, []int64{paid, spent, held})
}

func assertBills(t *testing.T, m *member, want ...string) {
	t.Helper()
	bills := m.Fold.Usage(budget).Bills
	got := make([]string, 0, len(bills))
	for _, b := range bills {
		got = append(got, fmt.Sprint(b.Request, "=", b.Tokens))
	}
	assert.DeepEqual(t, got, want)
}

func assertEqualFolds(t *testing.T, members ...*member) {
	t.Helper()
	want, err := members[0].Fold.Save()
	assert.NilError(t, err)
	for _, m := range members[1:] {
		got, err := m.Fold.Save()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}
