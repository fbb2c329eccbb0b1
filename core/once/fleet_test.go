package once_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/once"
	"cranberryrail/core/tail"
)

// fleet is a log in memory that the books of several instances fold.
type fleet struct {
	t   *testing.T
	log []tail.Batch
	now time.Time
}

// node is one incarnation of an instance.
type node struct {
	*fleet
	book      *once.Book
	queue     []tail.Item
	seq       uint64
	next      int
	decisions map[int64]once.Decision
}

func newFleet(t *testing.T) *fleet { return &fleet{t: t, now: time.Unix(0, 0)} }

func (f *fleet) node(inc string) *node {
	n := &node{fleet: f, decisions: map[int64]once.Decision{}}
	n.book = &once.Book{
		Incarnation: inc, Now: func() time.Time { return f.now },
		Send:       func(items ...tail.Item) { n.queue = append(n.queue, items...) },
		OnDecision: func(id int64, r once.Decision) { n.decisions[id] = r },
	}
	n.book.Default()
	n.book.SetReady(true)
	n.read()
	return n
}

// claim requests a decision and returns its id. The decision is stored in decisions as soon as it is made.
func (n *node) claim(key string, digest uint64) int64 {
	id, r := n.book.Claim(key, digest)
	if r != nil {
		n.decisions[id] = *r
	}
	return id
}

// write appends the queued items to the log as one batch.
func (n *node) write() {
	if len(n.queue) > 0 {
		n.seq++
		n.log = append(n.log, tail.Batch{Incarnation: n.book.Incarnation, Seq: n.seq, Items: n.queue})
		n.queue = nil
	}
}

// read folds the log up to its head.
func (n *node) read() {
	for ; n.next < len(n.log); n.next++ {
		_, err := n.book.Apply(n.log[n.next])
		assert.NilError(n.t, err)
	}
}

// sync writes and reads until no items are queued.
func (n *node) sync() {
	n.read()
	for len(n.queue) > 0 {
		n.write()
		n.read()
	}
}

// restoreFrom restores the state of another node and skips the records up to it.
func (n *node) restoreFrom(from *node) {
	n.next = from.next
	assert.NilError(n.t, n.book.Restore(from.save()))
}

func (n *node) save() []byte {
	state, err := n.book.Fold.Save()
	assert.NilError(n.t, err)
	return state
}

// expireWait advances the time by the maximum wait of a caller and runs Tick.
func (n *node) expireWait() {
	n.now = n.now.Add(n.book.MaxWait)
	n.book.Tick()
}

func (n *node) assertWaits(id int64) {
	n.t.Helper()
	r, ok := n.decisions[id]
	assert.Assert(n.t, !ok, "got a decision: %+v", r)
}

func (n *node) assertWon(id int64) {
	n.t.Helper()
	r, ok := n.decisions[id]
	assert.Assert(n.t, ok && r.Won, "got %+v, %v", r, ok)
}

func (n *node) assertRefused(id int64, code codes.Code, run codes.Run) {
	n.t.Helper()
	r := n.decisions[id]
	assert.Assert(n.t, r.Refused != nil, "got %+v", r)
	assert.Equal(n.t, r.Refused.Code, code)
	assert.Equal(n.t, r.Refused.Run, run)
}

func (n *node) assertReplay(id int64, body string) {
	n.t.Helper()
	r := n.decisions[id]
	assert.Assert(n.t, r.Replay != nil, "got %+v", r)
	assert.Assert(n.t, string(r.Replay.Body) == body, "got %d bytes", len(r.Replay.Body))
	assert.Equal(n.t, r.Replay.Status, 201)
	assert.Equal(n.t, r.Replay.ContentType, "text/plain")
}

func (n *node) assertIdle() {
	n.t.Helper()
	assert.Equal(n.t, n.book.InFlight(), 0)
}

func assertSame(t *testing.T, a, b *node) {
	t.Helper()
	assert.Assert(t, bytes.Equal(a.save(), b.save()), "the states differ")
}

func answer(key, body string) once.Result {
	return once.Result{Key: key, Status: 201, ContentType: "text/plain", Body: []byte(body)}
}
