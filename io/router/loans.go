package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cranberryrail/core/budget"
	"cranberryrail/core/events"
	"cranberryrail/core/memory"
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
	r.peerServer = &peer.Server{Listen: r.Settings.Peer.Listen, Lend: r.lend, AcceptRepayment: r.budgets.AcceptRepayment, Report: r.report, OnPanic: r.logPanic,
		Memory: &memory.Pool{Bytes: r.Settings.Memory.Bytes(bodyMemoryShare)}}
	r.peerServer.Default()
	r.borrower = &budget.Borrower{Book: r.budgets, Lenders: r.budgetSync.Lenders, Ask: r.askForLoan, Repay: r.repay, OnTransferLost: r.transferLost, OnEnd: r.borrowingEnded}
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

// repay transfers tokens of an organisation to another instance.
func (r *Router) repay(ctx context.Context, addr, organisation string, tokens int64) error {
	err := r.peerClient.Repay(ctx, addr, organisation, tokens)
	var failed *peer.CallError
	if errors.As(err, &failed) && failed.Kind == peer.Refused {
		return fmt.Errorf("%w: %w", budget.ErrNotAdded, err)
	}
	return err
}

// transferLost logs repaid tokens that count as spent, because their transfer was not answered.
func (r *Router) transferLost(organisation string, tokens int64, err error) {
	events.Log(r.Log, events.TransferLost).Str("organisation", organisation).Int64("tokens", tokens).Err(err).Send()
}

// borrowingEnded logs the outcome of an attempt to borrow tokens.
func (r *Router) borrowingEnded(organisation string, asked int, lent, missing int64) {
	events.Log(r.Log, events.TokensBorrowed).Str("organisation", organisation).Int("asked", asked).Int64("tokens", lent).Int64("missing", missing).Send()
}
