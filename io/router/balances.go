package router

import (
	"time"

	"github.com/rs/zerolog"

	"cranberryrail/core/budget"
	"cranberryrail/core/events"
	"cranberryrail/core/table"
	"cranberryrail/io/meter"
)

const (
	// balanceInterval is the time between two log lines of one budget.
	balanceInterval = 10 * time.Second
	// maxBalanceLines is the maximum number of budgets that are logged at a time.
	maxBalanceLines = 64
)

// balanceLog reports the state of budgets in metrics and in the log. It is not safe for concurrent use.
type balanceLog struct {
	Meter *meter.Meter
	Log   zerolog.Logger

	loggedAt time.Time
	// logged holds the state of each budget that was logged last.
	logged map[string]budget.Balance
}

// report updates the metrics, and logs the budgets that this instance uses and that have changed since they were logged.
func (l *balanceLog) report(balances []budget.Balance, now time.Time) {
	l.count(balances)
	if now.Sub(l.loggedAt) < balanceInterval {
		return
	}
	l.loggedAt = now
	logged, lines := make(map[string]budget.Balance, len(balances)), 0
	for _, b := range balances {
		last := l.logged[b.Organisation]
		b.AgeMS = 0 // changes all the time
		if b == last || b.Free+b.Reserved+b.Billed == 0 || lines == maxBalanceLines {
			logged[b.Organisation] = last
			continue
		}
		logged[b.Organisation] = b
		lines++
		events.Log(l.Log, events.BudgetState).Str("organisation", b.Organisation).Int64("paid", b.Paid).Int64("granted", b.Granted).
			Int64("free", b.Free).Int64("promised", b.Promised).Int64("reserved", b.Reserved).Int64("billed", b.Billed).Send()
	}
	l.logged = logged
}

// count updates the sums of all budgets.
func (l *balanceLog) count(balances []budget.Balance) {
	sums := map[string]int64{"paid": 0, "granted": 0, "free": 0, "promised": 0, "reserved": 0}
	for _, b := range balances {
		if b.Paid == table.Unlimited {
			continue
		}
		sums["paid"] += b.Paid
		sums["granted"] += b.Granted
		sums["free"] += b.Free
		sums["promised"] += b.Promised
		sums["reserved"] += b.Reserved
	}
	for state, n := range sums {
		l.Meter.BudgetTokens(state, n)
	}
}
