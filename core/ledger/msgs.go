package ledger

// reserveMsg asks for a decision on a need; the response is an Answer.
type reserveMsg struct {
	need Need
	// id is set once the need was taken.
	id int64
}

// abandonMsg gives back what was or will be granted to an asker that no longer waits.
type abandonMsg struct{ reserve *reserveMsg }

// settleMsg bills a grant.
type settleMsg struct{ id, used int64 }

// freeMsg frees a grant.
type freeMsg struct{ id int64 }

// logMsg tells whether the platform's log is in reach.
type logMsg struct{ reached bool }

// lendMsg asks for a loan; the response is the number of tokens.
type lendMsg struct {
	loan          LoanID
	budget        string
	tokens, least int64
}

// borrowedMsg brings the answer to a loan.
type borrowedMsg struct {
	budget string
	parts  []Part
}

// topUpMsg sends a top-up; the response is a Result once it was read back.
type topUpMsg struct{ topUp TopUp }

// listMsg asks for the balances of all budgets; the response is a []Balance.
type listMsg struct{}

// usageMsg asks for the bills of a budget; the response is a Statement.
type usageMsg struct{ budget string }

// primedMsg asks whether all allowances are drawn; the response is a bool.
type primedMsg struct{}

// keepMsg names the budgets whose allowances are held ready.
type keepMsg struct{ budgets []string }

// stopMsg begins or goes on with the return of allowances; the response is the number
// of grants in flight.
type stopMsg struct{ bye bool }
