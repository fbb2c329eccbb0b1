package claim

import (
	"fmt"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/once"
)

const (
	// maxTargets is how many targets a call is tried at while none can have run it.
	maxTargets = 3
	// callTimeout is how long an instance waits for the reply of a target.
	callTimeout = 2 * time.Second
	// maxAttempts is how often a caller sends the same call.
	maxAttempts = 12
	// keptBytes is the largest answer that is kept.
	keptBytes = 64
)

// call is one idempotency key; its digests are the bodies that were sent with it.
type call struct {
	key string
	// runs counts the runs by digest.
	runs map[uint64]int
	// sent counts the attempts.
	sent int
	// done tells that the caller sends no further attempt.
	done bool
}

// attempt is one request with a key at one instance.
type attempt struct {
	call   *call
	digest uint64
	node   *node
	id     int64
	// ran counts the runs on account of this attempt.
	ran int
	// toldNotRun tells that the instance has stated that this attempt did not run.
	toldNotRun bool
	callerGone bool
	timedOut   bool
	// heard tells that the ruling has reached the asker.
	heard bool
}

// statement is what an instance tells a caller.
type statement struct {
	answer   *once.Call
	replayed bool
	code     codes.Code
	run      codes.Run
}

// answerOf is what the service answers.
func answerOf(key string, digest uint64) []byte {
	body := fmt.Sprintf("answer to %d of %s", digest, key)
	for len(key)%3 == 0 && digest == 1 && len(body) <= keptBytes {
		body += body
	}
	return []byte(body)
}

// nextKey lets a caller begin with a new key.
func (r *Run) nextKey() {
	if r.healed {
		return
	}
	r.Stats.Keys++
	c := &call{key: fmt.Sprintf("key-%d", r.Stats.Keys), runs: map[uint64]int{}}
	r.watch.calls[c.key] = c
	r.send(c)
	if r.chance(0.5) {
		r.send(c)
	}
	r.sched.After(r.spread(4*time.Second), r.nextKey)
}

// send makes one attempt at any instance.
func (r *Run) send(c *call) {
	if c.done || c.sent >= maxAttempts || r.healed {
		return
	}
	c.sent++
	r.Stats.Attempts++
	a := &attempt{call: c, digest: 1, node: r.nodes[r.rand.IntN(len(r.nodes))]}
	if r.chance(0.05) {
		a.digest = 2
	}
	a.node.Later(r.upTo(5*time.Millisecond), func() { a.node.claim(a) })
	r.sched.After(r.spread(8*time.Second), a.leave)
}

// leave lets the caller go away without an answer and try elsewhere.
func (a *attempt) leave() {
	if a.callerGone {
		return
	}
	a.callerGone = true
	a.node.run.sched.After(a.node.run.upTo(500*time.Millisecond), func() { a.node.run.send(a.call) })
}

// askTimeout ends the wait for a ruling, as Keeper.Claim does when the process was starved.
func (a *attempt) askTimeout() {
	if a.heard {
		return
	}
	a.timedOut = true
	a.tell(statement{code: codes.Internal, run: codes.NotRun})
	a.node.book.Cancel(a.call.key, a.id)
	delete(a.node.askers, a.id)
}

// dispatch calls targets one after the other until one may have run the call.
func (a *attempt) dispatch(targets int) {
	r, n := a.node.run, a.node
	if targets == 0 {
		n.book.GiveUp(a.call.key)
		a.tell(statement{code: codes.TargetFailed, run: codes.NotRun})
		return
	}
	d := r.delay()
	fate := r.rand.Float64()
	if r.chance(0.003) {
		n.pause(r.spread(20 * time.Second))
	}
	switch {
	case fate < 0.15:
		n.Later(d, func() { a.dispatch(targets - 1) })
	case fate < 0.20:
		n.Later(callTimeout, a.doubt)
	case fate < 0.25:
		r.sched.After(callTimeout+r.spread(time.Minute), a.execute)
		n.Later(callTimeout, a.doubt)
	case fate < 0.30:
		r.sched.After(d, a.execute)
		n.Later(callTimeout, a.doubt)
	default:
		r.sched.After(d, func() {
			a.execute()
			if r.chance(0.005) {
				r.kill(n)
			}
			n.Later(d, a.finish)
		})
	}
}

// execute runs the call at the service.
func (a *attempt) execute() {
	r := a.node.run
	r.Stats.Ran++
	a.ran++
	a.call.runs[a.digest]++
	r.watch.ran(a)
}

func (a *attempt) doubt() {
	a.node.book.Doubt(a.call.key)
	a.tell(statement{code: codes.OutcomeUnknown, run: codes.Unknown})
}

// finish records the answer; the caller gets it a little later.
func (a *attempt) finish() {
	body := answerOf(a.call.key, a.digest)
	m := once.Result{Key: a.call.key, Status: 200, Body: body}
	if len(body) > keptBytes {
		m.Body, m.TooLarge = nil, true
	}
	a.node.book.Finish(m)
	if a.node.run.chance(0.005) {
		a.node.Later(a.node.run.spread(time.Second), func() { a.node.run.kill(a.node) })
	}
	a.node.Later(a.node.run.upTo(2*time.Millisecond), func() { a.tell(statement{answer: &once.Call{Status: 200, Body: body}}) })
}

// tell states the outcome; the caller learns it unless it went away.
func (a *attempt) tell(s statement) {
	r := a.node.run
	r.watch.told(a, s)
	if a.callerGone {
		return
	}
	a.callerGone = true
	switch {
	case s.answer != nil || s.run == codes.Ran:
		a.call.done = !r.chance(0.2)
	case s.code == codes.KeyReused:
		return
	}
	r.sched.After(r.spread(4*time.Second), func() { r.send(a.call) })
}
