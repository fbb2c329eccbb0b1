package router

import (
	"context"
	"time"

	"cranberryrail/core/budget"
	"cranberryrail/core/events"
	"cranberryrail/io/peer"
)

// loanTimeout bounds a call for tokens of another instance: about a hundred times its usual duration. It is short,
// since a request that waits for the tokens is refused before.
const loanTimeout = 250 * time.Millisecond

// initLoans creates the components that lend tokens to other instances and borrow from them, if the settings
// contain an address for it.
func (r *Router) initLoans() {
	if r.Settings.Peer.Listen == "" {
		return
	}
	r.peerClient = &peer.Client{Timeout: loanTimeout}
	r.peerClient.Default()
	r.peerServer = &peer.Server{Listen: r.Settings.Peer.Listen, Lend: r.lend}
	r.peerServer.Default()
	r.borrower = &budget.Borrower{Book: r.budgets, Lenders: r.budgetSync.Lenders, Ask: r.askForLoan, OnEnd: r.borrowingEnded}
	r.borrower.Default()
}

// lend lends tokens of this instance.
func (r *Router) lend(ctx context.Context, l peer.LoanRequest) (string, int64) {
	return r.Incarnation, r.budgets.Lend(ctx, l.Budget, l.Tokens, l.Least)
}

// askForLoan asks another instance for tokens of an organisation.
func (r *Router) askForLoan(ctx context.Context, addr, organisation string, tokens, least int64) (int64, error) {
	_, lent, err := r.peerClient.Lend(ctx, addr, peer.LoanRequest{Borrower: r.Incarnation, Budget: organisation, Tokens: tokens, Least: least})
	return lent, err
}

// borrowingEnded logs the outcome of an attempt to borrow tokens.
func (r *Router) borrowingEnded(organisation string, asked int, lent, missing int64) {
	events.Log(r.Log, events.TokensBorrowed).Str("organisation", organisation).Int("asked", asked).Int64("tokens", lent).Int64("missing", missing).Send()
}
