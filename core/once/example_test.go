package once_test

import (
	"fmt"
	"time"

	"cranberryrail/core/once"
	"cranberryrail/core/tail"
)

// A Book claims a key in the log before its call is dispatched. A retry receives the stored answer.
func ExampleBook() {
	var log []tail.Item
	book := &once.Book{
		Incarnation: "incarnation-1",
		Now:         func() time.Time { return time.Unix(0, 0) },
		Send:        func(items ...tail.Item) { log = append(log, items...) },
		OnDecision: func(_ int64, r once.Decision) {
			fmt.Println("may dispatch:", r.Won)
		},
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

	const key, digest = "travel/claim-77", 7
	book.Claim(key, digest)
	readBack()
	book.Finish(once.Result{Key: key, Status: 200, Body: []byte("filed")})
	readBack()

	_, decision := book.Claim(key, digest)
	fmt.Println("kept answer:", decision.Replay.Status, string(decision.Replay.Body))
	_, decision = book.Claim(key, digest+1)
	fmt.Println(decision.Refused)
	// Output:
	// may dispatch: true
	// kept answer: 200 filed
	// 4002 idempotency_key_reused: use a new key for a new request
}
