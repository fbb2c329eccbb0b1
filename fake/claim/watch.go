package claim

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/codes"
	"cranberryrail/core/once"
)

// stateEvery is the number of records after which whole states are compared.
const stateEvery = 64

// watch asserts the invariants.
type watch struct {
	run   *Run
	calls map[string]*call
	// events and states are hashes of what the first instance at an offset had.
	events, states map[int64]uint64
}

func newWatch(r *Run) *watch {
	return &watch{run: r, calls: map[string]*call{}, events: map[int64]uint64{}, states: map[int64]uint64{}}
}

// ran asserts that a call runs once, and not after its caller was told that it didn't.
func (w *watch) ran(a *attempt) {
	if n := a.call.runs[a.digest]; n > 1 {
		w.run.fail("%s digest %d ran %d times", a.call.key, a.digest, n)
	}
	if len(a.call.runs) > 1 {
		w.run.fail("%s ran with two digests", a.call.key)
	}
	if a.toldNotRun {
		w.run.fail("%s ran after its caller was told not_run", a.call.key)
	}
}

// ruled asserts that a ruling makes use of what the instance knows.
func (w *watch) ruled(n *node, a *attempt, r once.Ruling) {
	if r.Refused != nil && r.Refused.Code == codes.ClaimUnavailable && n.book.Fold.Call(a.call.key) != nil {
		w.run.fail("%s knows %s and refused it with %s", n.Inc, a.call.key, r.Refused.Code)
	}
}

// told asserts that a statement is true.
func (w *watch) told(a *attempt, s statement) {
	runs := a.call.runs[a.digest]
	switch {
	case s.answer != nil:
		w.answer(a, s)
	case s.run == codes.NotRun:
		w.run.Stats.NotRun++
		a.toldNotRun = true
		w.notRun(a, s, runs)
	case s.run == codes.Ran:
		w.run.Stats.Dropped++
		if runs != 1 {
			w.run.fail("%s was told %s and ran %d times", a.call.key, s.code, runs)
		}
	default:
		w.run.Stats.Unknown++
	}
}

// answer asserts that an answer is the service's own.
func (w *watch) answer(a *attempt, s statement) {
	w.run.Stats.Answered++
	if s.replayed {
		w.run.Stats.Replayed++
	}
	if a.call.runs[a.digest] != 1 || s.answer.Status != 200 || !bytes.Equal(s.answer.Body, answerOf(a.call.key, a.digest)) {
		w.run.fail("%s digest %d got the answer %q after %d runs", a.call.key, a.digest, s.answer.Body, a.call.runs[a.digest])
	}
}

// notRun asserts that the attempt did not run. An instance that can't read or write the
// log speaks for this attempt alone; all others speak for the call.
func (w *watch) notRun(a *attempt, s statement, runs int) {
	attemptOnly := s.code == codes.ClaimUnavailable || s.code == codes.Internal
	switch {
	case a.ran > 0:
		w.run.fail("%s was told not_run with %s and ran", a.call.key, s.code)
	case runs > 0 && !attemptOnly:
		w.run.fail("%s was told not_run with %s and had run", a.call.key, s.code)
	case runs > 0:
		w.run.Stats.RanBefore++
	}
}

// folded asserts that all instances make the same of the same record.
func (w *watch) folded(n *node, offset int64, events []once.Event) {
	h := xxhash.New()
	for _, e := range events {
		_, _ = fmt.Fprintf(h, "%s %s %t %t\n", e.Kind, e.Key, e.Won, e.Call != nil)
	}
	w.same(w.events, n, offset, h.Sum64())
	if offset%stateEvery == 0 {
		w.same(w.states, n, offset, xxhash.Sum64(n.State().Fold))
	}
}

func (w *watch) same(hashes map[int64]uint64, n *node, offset int64, sum uint64) {
	if first, ok := hashes[offset]; ok && first != sum {
		w.run.fail("%s differs from another instance at offset %d", n.Inc, offset)
	}
	hashes[offset] = sum
}

// open asserts that every open claim belongs to an incarnation that was killed.
func (w *watch) open(nodes []*node) {
	live := map[string]bool{}
	for _, n := range nodes {
		live[n.Inc] = true
	}
	for key := range w.calls {
		c := nodes[0].book.Fold.Call(key)
		if c == nil || c.State != once.Claimed {
			continue
		}
		w.run.Stats.Orphans++
		if live[c.Winner] {
			w.run.fail("%s is left open by %s", key, c.Winner)
		}
	}
}
