package storm

import (
	"slices"
	"time"

	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
)

// Times of an instance.
const (
	// PeerDelay is how long one call to a peer takes.
	PeerDelay = time.Millisecond
	// peerTimeout is how long a call to a peer that doesn't answer takes.
	peerTimeout = 100 * time.Millisecond
)

// Node is one incarnation of an instance that keeps a book. Exported fields are set
// before Start.
type Node struct {
	// Node reads and writes the stream; Start sets its function fields.
	simul.Node
	// Book decides; its Inc, Now, Send, Borrow and Decided are set by Start.
	Book *ledger.Book
	// Ask asks a peer for a loan; done is told of the tokens or 0.
	Ask func(inc string, l ledger.Loan, done func(tokens int64))
	// Folded is told of each batch that was folded; optional.
	Folded func(n *Node, offset int64)
	// Fetch returns the state of a peer that is in reach; optional.
	Fetch func() (tail.State, bool)

	askers map[int64]func(ledger.Answer)
	// settled and stopping are notes of a Run.
	settled  []settlement
	stopping bool
}

// Start begins to follow the stream.
func (n *Node) Start() {
	n.askers = map[int64]func(ledger.Answer){}
	n.Book.Inc, n.Book.Now, n.Book.Send, n.Book.Decided = n.Inc, n.Sched.Now, n.Add, n.decided
	if n.Ask != nil {
		n.Book.Borrow = func(l ledger.Loan) { n.borrow(l, l.Holders[:min(len(l.Holders), lenders)], nil) }
	}
	n.Book.Default()
	n.Fold, n.Save, n.Load, n.Trimmed, n.Contact = n.fold, n.Book.Fold.Save, n.Book.Restore, n.trimmed, n.Book.SetLog
	n.Node.Start()
	n.Every(simul.TickEvery, func() {
		n.Book.SetReady(n.Ready())
		n.Book.Tick()
	})
}

// Reserve asks the book; done is told of the answer, now or later.
func (n *Node) Reserve(need ledger.Need, done func(a ledger.Answer)) {
	a, decided := n.Book.Reserve(need)
	if decided {
		done(a)
		return
	}
	n.askers[a.ID] = done
}

func (n *Node) decided(a ledger.Answer) {
	done := n.askers[a.ID]
	delete(n.askers, a.ID)
	done(a)
}

// Stop returns all allowances and ends the instance once that was read back.
func (n *Node) Stop(done func()) { n.stop(false, done) }

func (n *Node) stop(said bool, done func()) {
	n.Book.Stop()
	if said && n.Idle() {
		n.Kill()
		done()
		return
	}
	if !said && n.Idle() && n.Book.InFlight() == 0 {
		n.Book.Bye()
		said = true
	}
	n.Later(ledger.StopPoll, func() { n.stop(said, done) })
}

// lenders is the most holders that are asked for one loan.
const lenders = 8

// borrow asks one holder after another until the loan is complete.
func (n *Node) borrow(l ledger.Loan, holders []string, parts []ledger.Part) {
	var got int64
	for _, p := range parts {
		got += p.Tokens
	}
	if len(holders) == 0 || got >= l.Tokens {
		n.Later(0, func() { n.Book.Gathered(l.Budget, parts) })
		return
	}
	rest := l
	rest.Tokens, rest.Least = l.Tokens-got, max(l.Least-got, 1)
	n.Ask(holders[0], rest, func(tokens int64) {
		n.Do(func() {
			if tokens > 0 {
				parts = append(parts, ledger.Part{Holder: holders[0], Tokens: tokens})
			}
			n.borrow(l, holders[1:], parts)
		})
	})
}

func (n *Node) fold(offset int64, b tail.Batch) (bool, error) {
	results, err := n.Book.Apply(b)
	if err == nil && n.Folded != nil {
		n.Folded(n, offset)
	}
	return slices.ContainsFunc(results, func(r ledger.Result) bool { return r.Kind == ledger.KindBye }), err
}

// trimmed goes on from the state of a peer, or from a snapshot whose tail is kept.
func (n *Node) trimmed(earliest int64) {
	n.Book.SetReady(false)
	if n.Fetch != nil {
		if st, ok := n.Fetch(); ok && st.At >= n.Next() {
			n.Restore(st)
			return
		}
	}
	n.FromLog(earliest)
}
