package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"cranberryrail/core/memory"
	"cranberryrail/core/origin"
	"cranberryrail/core/poison"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

// attempt is one attempt of a request at a target. Its exchange runs in a goroutine of its own, so that a second attempt can be made while the target
// is silent.
type attempt struct {
	// number is the number of the attempt, from 1.
	number   int
	dispatch Dispatch
	choice   route.Choice
	// target is the target, which another instance chooses if the request is sent by way of it.
	target    roster.Target
	pass      *poison.Pass
	recording *origin.Recording
	// hold receives, once the first event of a new stream was delivered, the recording to wait for before it is delivered again; nil if it was
	// forwarded. It is nil once that was sent, and for streams that began before.
	hold chan *origin.Recording
	// response is set before the first step.
	response *Response
	// steps receives what the target sends. The exchange ends when abandoned is closed, and ended is closed then. finished is set once its last
	// step was received.
	steps            chan<- step
	abandoned, ended chan struct{}
	finished         bool
	cancel           context.CancelFunc
	// memory counts what the attempt holds of its response. writing holds the writeState.
	memory  *memory.Holder
	writing atomic.Value
	// events is the number of forwarded events.
	events int
	// progressAt is when the attempt began, or when its last event was forwarded.
	progressAt time.Time
	// beganAt is when the attempt began, and first the time from then to its first event; 0 before.
	beganAt time.Time
	first   time.Duration
	// joined is set if its response follows events of another target.
	joined bool
	// silent is set once the target was silent for its bound.
	silent bool
	// retry is set if a retry was taken from the retry budget for the attempt.
	retry bool
}

// step is what an attempt brings: first the response, then the events of an event stream; an error is the last step, io.EOF at the end of the events.
type step struct {
	attempt  *attempt
	response *Response
	// body is the body of a response that is no event stream, up to maxBufferedBody, and bodyErr what readBody returned.
	body    []byte
	bodyErr error
	event   event
	err     error
}

// isLast reports whether the exchange ends with the step.
func (s step) isLast() bool { return s.err != nil || s.response != nil && !s.response.hasEvents() }

// hasEvents reports whether the body is a stream of events.
func (r *Response) hasEvents() bool { return r.IsEventStream && r.Status == http.StatusOK }

// exchange is what an attempt needs to run in a goroutine of its own.
type exchange struct {
	send func(ctx context.Context, d Dispatch) (*Response, error)
	// limit is the maximum time of the exchange, and maxBytes that of the size of the body.
	limit    time.Duration
	maxBytes int64
	// hold is that of the attempt when it began.
	hold    <-chan *origin.Recording
	onPanic func(reason any)
}

var errPanic = errors.New("the exchange panicked")

// run sends the request and delivers the response, with its body, or followed by its events. What is longer than maxBufferedBody is left to the
// receiver of the response. A panic fails the attempt: nothing else recovers it in this goroutine.
func (a *attempt) run(ctx context.Context, x exchange) {
	defer close(a.ended)
	defer func() {
		if reason := recover(); reason != nil {
			x.onPanic(reason)
			a.deliver(step{err: &AttemptError{Kind: Invalid, Sent: true, Err: errPanic}})
		}
	}()
	began := time.Now()
	response, err := x.send(ctx, a.dispatch)
	if err != nil {
		a.deliver(step{err: err})
		return
	}
	a.response = response
	if checkHead(response) != nil || a.joined && !response.hasEvents() {
		a.deliver(step{response: response})
		return
	}
	response.SetReadTimeout(x.limit - time.Since(began))
	response.Read = limitBody(response.Read, x.maxBytes)
	if !response.hasEvents() {
		body, err := a.readBody()
		a.deliver(step{response: response, body: body, bodyErr: err})
		return
	}
	if !a.deliver(step{response: response}) {
		return
	}
	events := newEventReader(response.Read, a.memory, a.dispatch.LastEventID, a.joined)
	for err == nil {
		var e event
		e, err = events.next()
		s := step{event: events.take(e), err: err}
		if !a.deliver(s) || err == nil && !a.awaitRecord(ctx, x.hold, s) {
			return
		}
		x.hold = nil
	}
}

// awaitRecord delivers the first event of a stream again once its origin is recorded, and reports whether the exchange goes on. The target is not
// read meanwhile.
func (a *attempt) awaitRecord(ctx context.Context, hold <-chan *origin.Recording, first step) bool {
	if hold == nil {
		return true
	}
	var recording *origin.Recording
	select {
	case recording = <-hold:
	case <-a.abandoned:
		return false
	}
	if recording == nil {
		return true
	}
	if err := recording.Wait(ctx); err != nil {
		a.deliver(step{err: &AttemptError{Kind: Unrecorded, Sent: true, Err: err}})
		return false
	}
	return a.deliver(first)
}

// deliver delivers a step, and reports whether it was received. What failed because the attempt was ended to release memory has this as its cause.
func (a *attempt) deliver(s step) bool {
	s.attempt = a
	if a.memory.Ended() {
		s.err, s.bodyErr = memoryError(s.err), memoryError(s.bodyErr)
	}
	select {
	case a.steps <- s:
		return true
	case <-a.abandoned:
		return false
	}
}

// memoryError returns the failure of an attempt that was ended to release memory, unless its response was complete before.
func memoryError(err error) error {
	if err == nil || isEOF(err) {
		return err
	}
	return usedUpError()
}

func usedUpError() *AttemptError {
	return &AttemptError{Kind: Invalid, Sent: true, Err: memory.ErrUsedUp}
}

// writeState is whether a part of the response of an attempt is being written to the caller.
type writeState string

// States.
const (
	notWriting   writeState = "not_writing"
	writing      writeState = "writing"
	writeAborted writeState = "aborted"
)

// releaseMemory ends the exchange, and a write that waits for the caller.
func (a *attempt) releaseMemory(abortWrite func()) {
	a.cancel()
	if a.writing.CompareAndSwap(writing, writeAborted) {
		abortWrite()
	}
}

// write writes a part of the response of an attempt to the caller. After an error that is Cancelled, nothing more can be written.
func (r *relayedRequest) write(a *attempt, p []byte) *AttemptError {
	r.writer.Store(a)
	a.writing.Store(writing)
	if a.memory.Ended() {
		if !a.writing.CompareAndSwap(writing, notWriting) {
			return &AttemptError{Kind: Cancelled, Sent: true, Err: memory.ErrUsedUp}
		}
		return usedUpError()
	}
	err := r.writeParts(a, p)
	switch {
	case !a.writing.CompareAndSwap(writing, notWriting):
		return &AttemptError{Kind: Cancelled, Sent: true, Err: memory.ErrUsedUp}
	case err != nil:
		return &AttemptError{Kind: Cancelled, Sent: true, Err: err}
	}
	return nil
}

// writeParts writes in parts of longBodyBytes, so that a caller that reads slowly is distinguished from one that does not read.
func (r *relayedRequest) writeParts(a *attempt, p []byte) error {
	for {
		part := p[:min(len(p), longBodyBytes)]
		a.memory.Progress(len(part))
		if err := r.sink.Write(part); err != nil {
			return err
		}
		if p = p[len(part):]; len(p) == 0 {
			return nil
		}
	}
}

// end ends the exchange. One whose last step was received ends by itself, and its connection can be used again.
func (a *attempt) end() {
	if !a.finished {
		close(a.abandoned)
		a.cancel()
	}
	<-a.ended
	if a.response != nil {
		a.response.Close()
	}
	a.cancel()
	a.memory.Release()
}

var errSuperseded = errors.New("another attempt has begun to answer")

// nextStep waits for the next step of an attempt in flight. If the newest one is silent for its bound, a successor is started, and whichever begins
// to answer first is taken: a silent target may go on, and another one may refuse. No successor helps a stream whose origin is not recorded.
func (r *relayedRequest) nextStep(ctx context.Context) step {
	for {
		var silence <-chan time.Time
		if r.silence != nil && !r.unrecorded {
			silence = r.silence.C
		}
		select {
		case s := <-r.steps:
			return s
		case <-silence:
		}
		select {
		case s := <-r.steps:
			return s // It was due together with the timer, after the caller had been slow.
		default:
		}
		if late := r.Now().Sub(r.silenceDue); late > StallTolerance {
			r.expect(min(late, r.silenceBound())) // This process stood still. What the targets have sent meanwhile is read first.
			continue
		}
		r.handleSilence(ctx)
	}
}

// StallTolerance is how late the timer of a silent target may be. It is several times the latency of a process that is not overloaded.
const StallTolerance = 50 * time.Millisecond

// expect sets the time after which the newest attempt counts as silent; 0 if it never does.
func (r *relayedRequest) expect(bound time.Duration) {
	r.silenceDue = r.Now().Add(bound)
	switch {
	case bound <= 0 && r.silence != nil:
		r.silence.Stop()
	case bound <= 0:
	case r.silence == nil:
		r.silence = time.NewTimer(bound)
	default:
		r.silence.Reset(bound)
	}
}

// headBound returns the time to the head of a response after which the target counts as silent; 0 if the request must not be repeated.
func (r *relayedRequest) headBound() time.Duration {
	if !r.route.Retryable() {
		return 0
	}
	return r.silenceBound()
}

// eventBound returns the time from the head of a stream to its first event and between two events after which the target counts as silent; 0 if the
// stream must not be resumed, which is also so for kinds of requests that are no streams.
func (r *relayedRequest) eventBound() time.Duration {
	if !r.route.Resumable || !r.route.Retryable() {
		return 0
	}
	return eventTimeoutFactor * r.route.GapObjective
}

// newest returns the attempt that was started last.
func (r *relayedRequest) newest() *attempt { return r.inFlight[len(r.inFlight)-1] }

// handleSilence starts a successor of the newest attempt, whose target was silent for its bound. If none can be started, that is tried again later.
func (r *relayedRequest) handleSilence(ctx context.Context) {
	if a := r.newest(); !a.silent {
		a.silent = true
		r.OnSilent(a.dispatch, a.choice.DispatchID)
	}
	r.expect(r.silenceBound())
	if ctx.Err() == nil {
		r.RetryDenied = r.startSuccessor(ctx)
	}
}

// denySuccessor returns why no successor of the attempts in flight may be started; empty if one may.
func (r *relayedRequest) denySuccessor() Denial {
	switch {
	case r.SentFailures+len(r.inFlight) >= r.route.MaxAttempts:
		return DeniedAttempts
	case !r.route.Retryable() || !r.canContinue():
		return DeniedRepeat
	case r.Attempts-r.SentFailures-len(r.inFlight) >= maxUnreachableTargets:
		return DeniedUnreachable
	case r.deadline.Sub(r.Now()) < minHeaderTimeout:
		return DeniedTime
	case !r.retryTaken && !r.Retries.AllowsRetry(r.Service):
		return DeniedWindow
	case r.streamKey != "" && r.Events == 0 && r.newest().target.ID == "" && r.newest().target.Software == "":
		return DeniedTarget // The software version that may begin the stream is not known.
	default:
		return ""
	}
}

// startSuccessor starts an attempt at another target while those in flight go on. It returns the reason if none can be started.
func (r *relayedRequest) startSuccessor(ctx context.Context) Denial {
	if denied := r.denySuccessor(); denied != "" {
		return denied
	}
	pass, err := r.Crashes.Admit(ctx, r.traits)
	if err != nil {
		return DeniedCrashes
	}
	request := r.routeRequest()
	request.Avoid = slices.Clone(request.Avoid)
	for _, a := range r.inFlight {
		request.Avoid = append(request.Avoid, a.target.ID)
	}
	if r.streamKey != "" && r.Events == 0 {
		request.Software = r.newest().target.Software // Any attempt may begin the stream.
	}
	choice, detour, denied := r.pickSuccessor(request)
	if denied != "" {
		pass.End()
		return denied
	}
	target := r.Target
	a := r.start(ctx, pass, choice, request, detour)
	a.retry = true
	r.inFlight, r.Target = append(r.inFlight, a), target
	return ""
}

// pickSuccessor chooses the target of a successor, and takes a retry from the retry budget for it.
func (r *relayedRequest) pickSuccessor(request route.Request) (choice route.Choice, detour bool, denied Denial) {
	detour = r.needsDetour(r.Attempts - r.SentFailures - len(r.inFlight))
	if !detour {
		var err error
		if choice, err = r.Pick(request); err != nil {
			return choice, false, DeniedTarget
		}
		if slices.ContainsFunc(r.inFlight, func(a *attempt) bool { return a.target.ID == choice.Target.ID }) {
			denied = DeniedTarget
		}
	}
	if denied == "" && !r.takeRetry() {
		denied = DeniedWindow
	}
	if denied != "" && !detour {
		r.Done(choice.DispatchID, route.Cancelled)
	}
	return choice, detour, denied
}

// takeRetry takes a retry from the retry budget, or the one of a successor that reached no target, and reports whether there was one.
func (r *relayedRequest) takeRetry() bool {
	if r.retryTaken {
		r.retryTaken = false
		return true
	}
	return r.Retries.TryRetry(r.Service)
}

// accept makes an attempt that begins to answer the only one, and ends the others.
func (r *relayedRequest) accept(ctx context.Context, a *attempt) {
	r.Target, r.Unframed, a.silent = a.target, a.response.Unframed, false
	if len(r.inFlight) == 1 {
		return
	}
	others := r.without(a)
	r.inFlight, r.pass = []*attempt{a}, a.pass
	for _, other := range others {
		kind := Cancelled
		if other.silent {
			kind = Silent
		}
		if other.number < a.number {
			r.tried = append(r.tried, other.target.ID)
		}
		r.endAttempt(ctx, other, &AttemptError{Kind: kind, Sent: true, Err: errSuperseded})
	}
}

// without returns the attempts in flight but one.
func (r *relayedRequest) without(a *attempt) []*attempt {
	return slices.DeleteFunc(slices.Clone(r.inFlight), func(other *attempt) bool { return other == a })
}

// succeed ends the attempt whose response the caller has received.
func (r *relayedRequest) succeed(a *attempt) {
	a.end()
	r.inFlight, r.RetryDenied = nil, ""
	a.pass.Sent()
	if r.Status < http.StatusMultipleChoices {
		a.pass.Answered()
	}
	r.observe(a)
	r.Done(a.choice.DispatchID, r.responseOutcome())
}

// observe records how the attempt went whose response the caller has received.
func (r *relayedRequest) observe(a *attempt) {
	r.Expected, r.TargetFirst = a.choice.Expected, a.first
	if a.events == 0 {
		r.TargetFirst = r.Now().Sub(a.beganAt)
		return
	}
	r.Progress(a.choice.DispatchID, int64(a.events)*int64(r.eventTokens[r.Service]))
}

// fail ends an attempt that failed while others may go on.
func (r *relayedRequest) fail(ctx context.Context, a *attempt, failed *AttemptError) {
	wasNewest := a == r.newest()
	r.inFlight = r.without(a)
	r.LastFailure = failed
	r.endAttempt(ctx, a, failed)
	r.tried = append(r.tried, a.target.ID)
	if len(r.inFlight) == 0 {
		r.pass = a.pass
		return
	}
	r.Target = r.newest().target
	if !failed.Sent {
		a.pass.End()
	}
	if wasNewest {
		r.expect(successorPause) // All others are silent.
	}
}

// successorPause is the time after which another successor is started if one failed.
const successorPause = 20 * time.Millisecond

// endAttempt ends an attempt and reports its failure.
func (r *relayedRequest) endAttempt(ctx context.Context, a *attempt, failed *AttemptError) {
	a.end()
	if failed.Refusal != nil {
		return
	}
	r.retryTaken = r.retryTaken || a.retry && !failed.Sent
	if failed.Sent {
		a.pass.Sent()
		r.SentFailures++
		r.sentTo = append(r.sentTo, a.target.ID)
		r.mayHaveRun = r.mayHaveRun || failed.Kind == Silent || failed.Kind == Cancelled
		r.ranElsewhere = r.ranElsewhere || a.mayHaveRunBy(failed)
	}
	r.Done(a.choice.DispatchID, r.failureOutcome(ctx, a, failed))
	failed.Events = a.events
	failed.Trait, failed.Probe = r.traits.Request, a.pass.IsProbe()
	r.reportCrash(ctx, a, failed)
	r.OnAttemptFailed(a.dispatch, failed)
}

// endAttempts ends the attempts in flight when the request has ended.
func (r *relayedRequest) endAttempts(ctx context.Context) {
	for _, a := range r.inFlight {
		r.endAttempt(ctx, a, &AttemptError{Kind: Cancelled, Sent: true, Err: errSuperseded})
	}
	r.inFlight = nil
	if r.silence != nil {
		r.silence.Stop()
	}
	_ = r.group.Wait() // the exchanges return no errors
}
