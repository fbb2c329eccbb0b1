package claim

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/codes"
	"cranberryrail/core/once"
)

// stateEvery is the number of records between two comparisons of complete states.
const stateEvery = 64

// checker asserts the invariants of a run.
type checker struct {
	run   *Run
	calls map[string]*call
	// events and states hold hashes by offset, as computed at the first instance to apply the
	// record there.
	events, states map[int64]uint64
}

func newChecker(r *Run) *checker {
	return &checker{run: r, calls: map[string]*call{}, events: map[int64]uint64{}, states: map[int64]uint64{}}
}

// checkRuns asserts that a call runs once, and not after a response that it did not run.
func (c *checker) checkRuns(a *attempt) {
	if n := a.call.runs[a.digest]; n > 1 {
		c.run.fail("%s digest %d ran %d times", a.call.key, a.digest, n)
	}
	if len(a.call.runs) > 1 {
		c.run.fail("%s ran with two digests", a.call.key)
	}
	if a.reportedNotRun {
		c.run.fail("%s ran after the response not_run", a.call.key)
	}
}

// checkDecision asserts that an instance whose state contains the call does not refuse it as
// unavailable.
func (c *checker) checkDecision(n *node, a *attempt, r once.Decision) {
	if r.Refused != nil && r.Refused.Code == codes.ClaimUnavailable && n.book.Fold.Call(a.call.key) != nil {
		c.run.fail("%s has %s in its state and refused it with %s", n.Incarnation, a.call.key, r.Refused.Code)
	}
}

// checkResponse asserts that a response is true.
func (c *checker) checkResponse(a *attempt, resp response) {
	runs := a.call.runs[a.digest]
	switch {
	case resp.answer != nil:
		c.checkAnswer(a, resp)
	case resp.run == codes.NotRun:
		c.run.Stats.NotRun++
		a.reportedNotRun = true
		c.checkNotRun(a, resp, runs)
	case resp.run == codes.Ran:
		c.run.Stats.Dropped++
		if runs != 1 {
			c.run.fail("%s got the response %s and ran %d times", a.call.key, resp.code, runs)
		}
	default:
		c.run.Stats.Unknown++
	}
}

// checkAnswer asserts that an answer is the one of the service, after exactly one run.
func (c *checker) checkAnswer(a *attempt, resp response) {
	c.run.Stats.Answered++
	if resp.replayed {
		c.run.Stats.Replayed++
	}
	if a.call.runs[a.digest] != 1 || resp.answer.Status != 200 || !bytes.Equal(resp.answer.Body, serviceAnswer(a.call.key, a.digest)) {
		c.run.fail("%s digest %d got the answer %q after %d runs", a.call.key, a.digest, resp.answer.Body, a.call.runs[a.digest])
	}
}

// checkNotRun asserts that the attempt did not run. The response of an instance that can't
// read or write the log covers only this attempt; any other response covers the call.
func (c *checker) checkNotRun(a *attempt, resp response, runs int) {
	attemptOnly := resp.code == codes.ClaimUnavailable || resp.code == codes.Internal
	switch {
	case a.runs > 0:
		c.run.fail("%s got the response not_run with %s, but the attempt ran", a.call.key, resp.code)
	case runs > 0 && !attemptOnly:
		c.run.fail("%s got the response not_run with %s, but the call had run", a.call.key, resp.code)
	case runs > 0:
		c.run.Stats.RanBefore++
	}
}

// checkApplied asserts that the same record has the same effect at all instances.
func (c *checker) checkApplied(n *node, offset int64, events []once.Event) {
	h := xxhash.New()
	for _, e := range events {
		_, _ = fmt.Fprintf(h, "%s %s %t %t\n", e.Kind, e.Key, e.Won, e.Call != nil)
	}
	c.checkSame(c.events, n, offset, h.Sum64())
	if offset%stateEvery == 0 {
		c.checkSame(c.states, n, offset, xxhash.Sum64(n.State().Data))
	}
}

func (c *checker) checkSame(hashes map[int64]uint64, n *node, offset int64, sum uint64) {
	if first, ok := hashes[offset]; ok && first != sum {
		c.run.fail("%s differs from another instance at offset %d", n.Incarnation, offset)
	}
	hashes[offset] = sum
}

// checkOpenClaims asserts that every open claim belongs to an incarnation that was killed.
func (c *checker) checkOpenClaims(nodes []*node) {
	live := map[string]bool{}
	for _, n := range nodes {
		live[n.Incarnation] = true
	}
	for key := range c.calls {
		folded := nodes[0].book.Fold.Call(key)
		if folded == nil || folded.State != once.Claimed {
			continue
		}
		c.run.Stats.Orphans++
		if live[folded.Winner] {
			c.run.fail("claim of %s is still open at the end; winner %s is live", key, folded.Winner)
		}
	}
}
