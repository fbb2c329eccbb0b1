package claim

import (
	"fmt"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/once"
)

const (
	// maxTargets is the maximum number of targets that a call is sent to while none of them
	// can have run it.
	maxTargets = 3
	// callTimeout is how long an instance waits for the reply of a target.
	callTimeout = 2 * time.Second
	// maxAttempts is the maximum number of times that a caller sends the same call.
	maxAttempts = 12
	// maxAnswerBytes is the size of the largest answer that is recorded.
	maxAnswerBytes = 64
)

// call is one idempotency key; a digest stands for the body that was sent with it.
type call struct {
	key string
	// runs counts the runs by digest.
	runs     map[uint64]int
	attempts int
	// done reports whether the caller sends no further attempts.
	done bool
}

// attempt is one request with a key at one instance.
type attempt struct {
	call   *call
	digest uint64
	node   *node
	id     int64
	// runs counts the runs caused by this attempt.
	runs int
	// reportedNotRun reports whether the instance responded that this attempt did not run.
	reportedNotRun bool
	// callerDone reports whether the caller got a response or disconnected.
	callerDone bool
	timedOut   bool
	// decided reports whether the attempt has received the decision on its claim.
	decided bool
}

// response is the response of an instance to a caller: an answer, or a refusal with its code.
type response struct {
	answer   *once.Call
	replayed bool
	code     codes.Code
	run      codes.Run
}

// serviceAnswer returns the answer of the service; some answers exceed maxAnswerBytes.
func serviceAnswer(key string, digest uint64) []byte {
	body := fmt.Sprintf("answer to %d of %s", digest, key)
	for len(key)%3 == 0 && digest == 1 && len(body) <= maxAnswerBytes {
		body += body
	}
	return []byte(body)
}

// nextKey sends a call with a new key and schedules the caller's next key.
func (r *Run) nextKey() {
	if r.healed {
		return
	}
	r.Stats.Keys++
	c := &call{key: fmt.Sprintf("key-%d", r.Stats.Keys), runs: map[uint64]int{}}
	r.checker.calls[c.key] = c
	r.send(c)
	if r.chance(0.5) {
		r.send(c)
	}
	r.scheduler.After(r.randomMagnitude(4*time.Second), r.nextKey)
}

// send makes one attempt at a random instance, at times with another digest.
func (r *Run) send(c *call) {
	if c.done || c.attempts >= maxAttempts || r.healed {
		return
	}
	c.attempts++
	r.Stats.Attempts++
	a := &attempt{call: c, digest: 1, node: r.nodes[r.rand.IntN(len(r.nodes))]}
	if r.chance(0.05) {
		a.digest = 2
	}
	a.node.Later(r.randomUpTo(5*time.Millisecond), func() { a.node.claim(a) })
	r.scheduler.After(r.randomMagnitude(8*time.Second), a.abandon)
}

// abandon disconnects a caller that got no response and retries the call.
func (a *attempt) abandon() {
	if a.callerDone {
		return
	}
	a.callerDone = true
	a.node.run.scheduler.After(a.node.run.randomUpTo(500*time.Millisecond), func() { a.node.run.send(a.call) })
}

// expire ends the wait for a decision, as Replica.Claim does when the process was starved.
func (a *attempt) expire() {
	if a.decided {
		return
	}
	a.timedOut = true
	a.respond(response{code: codes.Internal, run: codes.NotRun})
	a.node.book.Cancel(a.call.key, a.id)
	delete(a.node.waiting, a.id)
}

// dispatch sends the call to one target after another until one of them may have run it.
func (a *attempt) dispatch(targetsLeft int) {
	r, n := a.node.run, a.node
	if targetsLeft == 0 {
		n.book.Void(a.call.key)
		a.respond(response{code: codes.TargetFailed, run: codes.NotRun})
		return
	}
	delay := r.appendDelay()
	p := r.rand.Float64()
	if r.chance(0.003) {
		n.pause(r.randomMagnitude(20 * time.Second))
	}
	switch {
	case p < 0.15:
		n.Later(delay, func() { a.dispatch(targetsLeft - 1) })
	case p < 0.20:
		n.Later(callTimeout, a.markInDoubt)
	case p < 0.25:
		r.scheduler.After(callTimeout+r.randomMagnitude(time.Minute), a.execute)
		n.Later(callTimeout, a.markInDoubt)
	case p < 0.30:
		r.scheduler.After(delay, a.execute)
		n.Later(callTimeout, a.markInDoubt)
	default:
		r.scheduler.After(delay, func() {
			a.execute()
			if r.chance(0.005) {
				r.kill(n)
			}
			n.Later(delay, a.finish)
		})
	}
}

// execute simulates a run of the call at the service.
func (a *attempt) execute() {
	r := a.node.run
	r.Stats.Ran++
	a.runs++
	a.call.runs[a.digest]++
	r.checker.checkRuns(a)
}

func (a *attempt) markInDoubt() {
	a.node.book.MarkInDoubt(a.call.key)
	a.respond(response{code: codes.OutcomeUnknown, run: codes.Unknown})
}

// finish records the answer; the caller receives it up to 2 ms later.
func (a *attempt) finish() {
	body := serviceAnswer(a.call.key, a.digest)
	result := once.Result{Key: a.call.key, Status: 200, Body: body}
	if len(body) > maxAnswerBytes {
		result.Body, result.TooLarge = nil, true
	}
	a.node.book.Finish(result)
	if a.node.run.chance(0.005) {
		a.node.Later(a.node.run.randomMagnitude(time.Second), func() { a.node.run.kill(a.node) })
	}
	a.node.Later(a.node.run.randomUpTo(2*time.Millisecond), func() { a.respond(response{answer: &once.Call{Status: 200, Body: body}}) })
}

// respond checks a response and delivers it to the caller unless it has disconnected. The
// caller may send the call again.
func (a *attempt) respond(resp response) {
	r := a.node.run
	r.checker.checkResponse(a, resp)
	if a.callerDone {
		return
	}
	a.callerDone = true
	switch {
	case resp.answer != nil || resp.run == codes.Ran:
		a.call.done = !r.chance(0.2)
	case resp.code == codes.KeyReused:
		return
	}
	r.scheduler.After(r.randomMagnitude(4*time.Second), func() { r.send(a.call) })
}
