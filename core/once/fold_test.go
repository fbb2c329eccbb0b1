package once_test

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/once"
	"cranberryrail/core/tail"
)

func keyOf(i int) string { return "key-" + strconv.Itoa(i) }

func claimItem(key string, digest uint64) tail.Item {
	return tail.NewItem(once.KindClaim, once.Claim{Key: key, Digest: digest})
}

func resultItem(m once.Result) tail.Item { return tail.NewItem(once.KindResult, m) }

func TestAnswerWindow(t *testing.T) {
	const bodyBytes = 1 << 20
	n := newFleet(t).node("a")
	body := strings.Repeat("x", bodyBytes)
	serve := func(i int) {
		n.claim(keyOf(i), 1)
		n.sync()
		n.book.Finish(answer(keyOf(i), body))
		n.sync()
	}
	serve(0)
	first := n.claim(keyOf(0), 1)
	for i := 1; i <= once.AnswerWindowBytes/bodyBytes; i++ {
		serve(i)
	}
	t.Run("evicts the oldest answer", func(t *testing.T) {
		n.t = t
		n.assertRefused(n.claim(keyOf(0), 1), codes.AnswerNotKept, codes.Ran)
		n.assertReplay(n.claim(keyOf(1), 1), body)
	})
	t.Run("does not change an answer that was already returned", func(t *testing.T) {
		n.t = t
		n.assertReplay(first, body)
	})
	t.Run("is preserved by Save and Restore", func(t *testing.T) {
		n.t = t
		other := n.node("b")
		other.restoreFrom(n)
		assertSame(t, n, other)
		other.assertRefused(other.claim(keyOf(0), 1), codes.AnswerNotKept, codes.Ran)
	})
	t.Run("evicts in the same order after Restore", func(t *testing.T) {
		n.t = t
		const early, late = 100, 101
		n.claim(keyOf(early), 1)
		serve(late)
		n.book.Finish(answer(keyOf(early), body))
		n.sync()
		other := n.node("c")
		other.restoreFrom(n)
		for i := range once.AnswerWindowBytes/bodyBytes - 1 {
			serve(early + 2 + i)
		}
		other.sync()
		assertSame(t, n, other)
		n.assertRefused(n.claim(keyOf(late), 1), codes.AnswerNotKept, codes.Ran)
		n.assertReplay(n.claim(keyOf(early), 1), body)
	})
}

func TestTooLargeAnswerIsNotKept(t *testing.T) {
	n := newFleet(t).node("a")
	n.claim("k", 1)
	n.sync()
	n.book.Finish(once.Result{Key: "k", Status: 201, TooLarge: true})
	n.sync()
	n.assertRefused(n.claim("k", 1), codes.AnswerNotKept, codes.Ran)
}

// TestItemsOfOtherIncarnationsIgnored checks that only the winner of a claim can record its result, void it or mark it
// in doubt, and that a recorded result is final.
func TestItemsOfOtherIncarnationsIgnored(t *testing.T) {
	f := once.New()
	apply := func(inc string, item tail.Item) {
		_, err := f.Apply(inc, []tail.Item{item})
		assert.NilError(t, err)
	}
	apply("a", claimItem("k", 1))
	apply("b", tail.NewItem(once.KindVoid, once.Void{Key: "k"}))
	apply("b", tail.NewItem(once.KindDoubt, once.Doubt{Key: "k"}))
	apply("b", resultItem(answer("k", "forged")))
	apply("b", claimItem("k", 2))
	assert.DeepEqual(t, *f.Call("k"), once.Call{Key: "k", Digest: 1, Winner: "a", State: once.Claimed})
	apply("a", tail.NewItem(once.KindDoubt, once.Doubt{Key: "k"}))
	apply("a", tail.NewItem(once.KindVoid, once.Void{Key: "k"}))
	assert.Equal(t, f.Call("k").State, once.InDoubt)
	apply("a", resultItem(answer("k", "booked")))
	apply("a", tail.NewItem(once.KindVoid, once.Void{Key: "k"}))
	apply("a", resultItem(answer("k", "again")))
	assert.Equal(t, string(f.Call("k").Body), "booked")
}

func TestLoadRefusesAnotherFormat(t *testing.T) {
	state, err := tail.Encode([]any{once.FoldFormat + 1, []any{}, map[string]uint64{}, 0})
	assert.NilError(t, err)
	var format *tail.FormatError
	assert.Assert(t, errors.As(once.New().Load(state), &format))
}
