package ledsim

import (
	"slices"
	"time"

	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
)

// Times of an instance.
const (
	// PeerDelay is the one-way delay of a call to a peer.
	PeerDelay = time.Millisecond
	// peerTimeout is the time after which a call to a peer that does not respond times out.
	peerTimeout = 100 * time.Millisecond
)

// Node is one incarnation of an instance with its ledger book. Exported fields are set before
// Start.
type Node struct {
	// Node reads and writes the stream; Start sets its function fields.
	simul.Node
	// Book decides on reservations; Start sets its Inc, Now, Send, Borrow and Decided.
	Book *ledger.Book
	// RequestLoan requests a loan from a peer and calls done with the tokens lent, or 0; optional.
	RequestLoan func(inc string, l ledger.LoanRequest, done func(tokens int64))
	// OnApplied is called after each batch that was applied; optional.
	OnApplied func(n *Node, offset int64)
	// FetchState returns the state of a reachable peer; optional.
	FetchState func() (tail.State, bool)

	// waiting holds the callbacks of reservations that wait for a decision.
	waiting map[int64]func(ledger.Decision)
	// settled and stopping are used only by Run.
	settled  []settlement
	stopping bool
}

// Start connects the book to the stream and starts to follow the stream.
func (n *Node) Start() {
	n.waiting = map[int64]func(ledger.Decision){}
	n.Book.Incarnation, n.Book.Now, n.Book.Send, n.Book.OnDecision = n.Incarnation, n.Scheduler.Now, n.Add, n.deliverDecision
	if n.RequestLoan != nil {
		n.Book.Borrow = func(l ledger.LoanRequest) { n.borrow(l, l.Holders[:min(len(l.Holders), maxLenders)], nil) }
	}
	n.Book.Default()
	n.Fold, n.Save, n.Load, n.OnTrimmed, n.OnContact = n.apply, n.Book.Fold.Save, n.Book.Restore, n.restoreState, n.Book.SetLogReachable
	n.Node.Start()
	n.Every(simul.TickEvery, func() {
		n.Book.SetReady(n.Ready())
		n.Book.Tick()
	})
}

// Reserve requests a reservation; done is called with the decision, before Reserve returns or
// later.
func (n *Node) Reserve(request ledger.ReserveRequest, done func(a ledger.Decision)) {
	a, decided := n.Book.Reserve(request)
	if decided {
		done(a)
		return
	}
	n.waiting[a.ID] = done
}

func (n *Node) deliverDecision(a ledger.Decision) {
	done := n.waiting[a.ID]
	delete(n.waiting, a.ID)
	done(a)
}

// Stop returns all allowances and ends the instance once the final item has been read back.
func (n *Node) Stop(done func()) { n.stop(false, done) }

func (n *Node) stop(byeSent bool, done func()) {
	n.Book.Stop()
	if byeSent && n.Idle() {
		n.Kill()
		done()
		return
	}
	if !byeSent && n.Idle() && n.Book.InFlight() == 0 {
		n.Book.CloseIncarnation()
		byeSent = true
	}
	n.Later(ledger.StopPollInterval, func() { n.stop(byeSent, done) })
}

// maxLenders is the maximum number of holders that are asked for one loan.
const maxLenders = 8

// borrow requests loans from one holder after another until the tokens suffice.
func (n *Node) borrow(l ledger.LoanRequest, holders []string, parts []ledger.Part) {
	var borrowed int64
	for _, p := range parts {
		borrowed += p.Tokens
	}
	if len(holders) == 0 || borrowed >= l.Tokens {
		n.Later(0, func() { n.Book.ReceiveLoans(l.Budget, parts) })
		return
	}
	remaining := l
	remaining.Tokens, remaining.Least = l.Tokens-borrowed, max(l.Least-borrowed, 1)
	n.RequestLoan(holders[0], remaining, func(tokens int64) {
		n.Do(func() {
			if tokens > 0 {
				parts = append(parts, ledger.Part{Holder: holders[0], Tokens: tokens})
			}
			n.borrow(l, holders[1:], parts)
		})
	})
}

func (n *Node) apply(offset int64, b tail.Batch) (bool, error) {
	results, err := n.Book.Apply(b)
	if err == nil && n.OnApplied != nil {
		n.OnApplied(n, offset)
	}
	return slices.ContainsFunc(results, func(r ledger.Result) bool { return r.Kind == ledger.KindBye }), err
}

// restoreState restores the state of a peer, or else a snapshot from the log whose following
// records are all retained.
func (n *Node) restoreState(earliest int64) {
	n.Book.SetReady(false)
	if n.FetchState != nil {
		if st, ok := n.FetchState(); ok && st.At >= n.Next() {
			n.Restore(st)
			return
		}
	}
	n.RestoreFromLog(earliest)
}
