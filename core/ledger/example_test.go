package ledger_test

import (
	"fmt"
	"time"

	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
)

// A Book needs a log that every instance folds in the same order, and a clock. In this example the log is a
// slice; a tail.Feed provides one that several processes share.
func ExampleBook() {
	var log []tail.Item
	var decision ledger.Decision
	book := &ledger.Book{
		Incarnation: "incarnation-1",
		Fold:        ledger.New(),
		Now:         func() time.Time { return time.Unix(0, 0) },
		Send:        func(items ...tail.Item) { log = append(log, items...) },
		OnDecision:  func(a ledger.Decision) { decision = a },
	}
	book.Default()
	book.SetReady(true)
	readBack := func() {
		batch := tail.Batch{Incarnation: book.Incarnation, Items: log}
		log = nil
		if _, err := book.Apply(batch); err != nil {
			fmt.Println(err)
		}
	}
	reserve := func(request string, tokens int64) {
		reservation := ledger.ReserveRequest{Budget: "travel/main", Request: request, Tokens: tokens, Least: tokens}
		a, decided := book.Reserve(reservation)
		if decided {
			decision = a
			return
		}
		readBack() // Reads back the draw; OnDecision is then called with the decision.
	}

	book.TopUp(ledger.TopUp{ID: "invoice-1", Budget: "travel/main", Tokens: 1000})
	book.TopUp(ledger.TopUp{ID: "invoice-1", Budget: "travel/main", Tokens: 1000})
	readBack()

	reserve("r1", 100)
	fmt.Println("granted", decision.Reservation.CoveredTokens())
	book.Settle(decision.ID, 60)
	readBack()

	reserve("r2", 5000)
	fmt.Println(decision.Refused)
	b := book.Fold.Budgets["travel/main"]
	fmt.Println("paid", b.Paid, "spent", b.Spent, "left", b.Free()+b.Held)
	// Output:
	// granted 100
	// 2001 budget_exhausted: 940 tokens are left, the request may use 5000; top up the budget
	// paid 1000 spent 60 left 940
}
