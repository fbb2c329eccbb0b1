package ledger

// reserveMsg requests a decision on a reservation request; the response is a Decision.
type reserveMsg struct {
	request ReserveRequest
	// id is set by the actor when it handles the message.
	id int64
}

// cancelReserveMsg releases a reservation, present or future, whose requester no longer waits.
type cancelReserveMsg struct{ reserve *reserveMsg }

// settleMsg charges the used tokens of a reservation and releases the rest.
type settleMsg struct{ id, used int64 }

// releaseMsg releases a reservation whose request did not run.
type releaseMsg struct{ id int64 }

// logReachableMsg reports whether the platform's log is reachable.
type logReachableMsg struct{ reachable bool }

// lendMsg requests a loan; the response is the number of tokens lent.
type lendMsg struct {
	loan          LoanID
	budget        string
	tokens, least int64
}

// loanReceivedMsg carries the replies to a loan request.
type loanReceivedMsg struct {
	budget string
	parts  []Part
}

// topUpMsg sends a top-up; the response is a Result, sent when the top-up is read back.
type topUpMsg struct{ topUp TopUp }

// balancesMsg requests the balances of all budgets; the response is a []Balance.
type balancesMsg struct{}

// statementMsg requests the bills and the balance of a budget; the response is a Statement.
type statementMsg struct{ budget string }

// allowancesDrawnMsg queries whether the allowances are drawn, as Replica.AllowancesDrawn defines it; the response is a
// bool.
type allowancesDrawnMsg struct{}

// openAccountsMsg opens accounts of budgets, whose allowances are then drawn in advance.
type openAccountsMsg struct{ budgets []string }

// stopMsg starts or continues the return of allowances and, if bye is set, closes the incarnation; the response
// is the number of reservations and loan requests in flight.
type stopMsg struct{ bye bool }
