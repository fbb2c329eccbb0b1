package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

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
	// response is set before the first step.
	response *Response
	// steps delivers what the target sends. The exchange ends when abandoned is closed, and ended is closed then.
	steps            chan step
	abandoned, ended chan struct{}
	cancel           context.CancelFunc
	// events is the number of forwarded events.
	events int
	// progressAt is when the attempt began, or when its last event was forwarded.
	progressAt time.Time
	// joined is set if its response follows events of another target.
	joined bool
	// silent is set once the target was silent for its bound.
	silent bool
}

// step is what an attempt brings: first the response, then the events of an event stream; an error is the last step, io.EOF at the end of the events.
type step struct {
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
	onPanic  func(reason any)
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
		body, err := readBody(response)
		a.deliver(step{response: response, body: body, bodyErr: err})
		return
	}
	if !a.deliver(step{response: response}) {
		return
	}
	events := newEventReader(response.Read, a.dispatch.LastEventID, a.joined)
	for err == nil {
		var e event
		e, err = events.next()
		e.raw = append([]byte(nil), e.raw...)
		if !a.deliver(step{event: e, err: err}) {
			return
		}
	}
}

// deliver delivers a step, and reports whether it was received.
func (a *attempt) deliver(s step) bool {
	select {
	case a.steps <- s:
		return true
	case <-a.abandoned:
		return false
	}
}

// end ends the exchange. That of a complete response has ended by itself, and its connection can be used again.
func (a *attempt) end(complete bool) {
	if !complete {
		close(a.abandoned)
		select {
		case <-a.ended:
		default:
			a.cancel()
		}
	}
	<-a.ended
	if a.response != nil {
		a.response.Close()
	}
	a.cancel()
}

var errSuperseded = errors.New("another attempt has begun to answer")

// nextStep waits for the next step of the attempts in flight. If the current one is silent for its bound, a successor is started, and whichever
// begins to answer first is taken: a silent target may go on, and the other one may refuse.
func (r *relayedRequest) nextStep(ctx context.Context) (*attempt, step) {
	for {
		var silence <-chan time.Time
		if r.silence != nil {
			silence = r.silence.C
		}
		var successor chan step
		if r.successor != nil {
			successor = r.successor.steps
		}
		select {
		case s := <-r.current.steps:
			return r.current, s
		case s := <-successor:
			return r.successor, s
		case <-silence:
		}
		select {
		case s := <-r.current.steps:
			return r.current, s // It was due together with the timer, after the caller had been slow.
		default:
		}
		if r.Now().Sub(r.silenceDue) > stallTolerance {
			r.expect(stallTolerance) // This process stood still. What the target has sent meanwhile is read first.
			continue
		}
		r.handleSilence(ctx)
	}
}

// stallTolerance is how late the timer of a silent target may be. It is several times the latency of a process that is not overloaded.
const stallTolerance = 50 * time.Millisecond

// expect sets the time after which the current attempt counts as silent; 0 if it never does.
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

// handleSilence starts a successor of the current attempt, whose target was silent for its bound. If none can be started, that is tried again later.
func (r *relayedRequest) handleSilence(ctx context.Context) {
	if a := r.current; !a.silent {
		a.silent = true
		r.OnSilent(a.dispatch, a.choice.DispatchID)
	}
	r.expect(r.silenceBound())
	if r.successor == nil && ctx.Err() == nil {
		r.successor, r.RetryDenied = r.startSuccessor(ctx)
	}
}

// startSuccessor starts an attempt at another target while the current one goes on. It returns the reason if none can be started.
func (r *relayedRequest) startSuccessor(ctx context.Context) (*attempt, Denial) {
	silent := r.current.target
	switch {
	case r.SentFailures+1 >= r.route.MaxAttempts:
		return nil, DeniedAttempts
	case !r.route.Retryable() || !r.canContinue():
		return nil, DeniedRepeat
	case r.Attempts-r.SentFailures-1 >= maxUnreachableTargets:
		return nil, DeniedUnreachable
	case !r.retryTaken && !r.Retries.AllowsRetry(r.Service):
		return nil, DeniedWindow
	case r.streamKey != "" && r.Events == 0 && silent.ID == "":
		return nil, DeniedTarget // The software version that may begin the stream is not known.
	}
	pass, err := r.Crashes.Admit(ctx, r.traits)
	if err != nil {
		return nil, DeniedCrashes
	}
	request := r.routeRequest()
	request.Avoid = append(request.Avoid[:len(request.Avoid):len(request.Avoid)], silent.ID)
	if r.streamKey != "" && r.Events == 0 {
		request.Software = silent.Software // Either attempt may begin the stream.
	}
	choice, detour, denied := r.pickSuccessor(request, silent)
	if denied != "" {
		pass.End()
		return nil, denied
	}
	r.retryTaken = true
	target := r.Target
	successor := r.start(ctx, pass, choice, request, detour)
	r.Target = target
	return successor, ""
}

// pickSuccessor chooses the target of a successor, and takes a retry from the retry budget for it.
func (r *relayedRequest) pickSuccessor(request route.Request, silent roster.Target) (choice route.Choice, detour bool, denied Denial) {
	detour = r.NeedsDetour(r.Service, r.Attempts-r.SentFailures-1)
	if !detour {
		var err error
		if choice, err = r.Pick(request); err != nil {
			return choice, false, DeniedTarget
		}
		if choice.Target.ID == silent.ID {
			denied = DeniedTarget
		}
	}
	if denied == "" && !r.retryTaken && !r.Retries.TryRetry(r.Service) {
		denied = DeniedWindow
	}
	if denied != "" && !detour {
		r.Done(choice.DispatchID, route.Cancelled)
	}
	return choice, detour, denied
}

// accept makes an attempt that begins to answer the current one, and ends the other one.
func (r *relayedRequest) accept(ctx context.Context, a *attempt) {
	current, successor := r.current, r.successor
	r.current, r.successor = a, nil
	r.Target, r.Unframed, a.silent = a.target, a.response.Unframed, false
	switch {
	case a == successor:
		r.retryTaken = false
		r.pass = a.pass
		r.endAttempt(ctx, current, &AttemptError{Kind: Silent, Sent: true, Err: errSuperseded})
		r.tried = append(r.tried, current.target.ID)
	case successor != nil:
		r.retryTaken = false
		r.endAttempt(ctx, successor, &AttemptError{Kind: Cancelled, Sent: true, Err: errSuperseded})
	}
}

// succeed ends the attempt whose response the caller has received.
func (r *relayedRequest) succeed(a *attempt) {
	a.end(true)
	r.current = nil
	a.pass.Sent()
	if r.Status < http.StatusMultipleChoices {
		a.pass.Answered()
	}
	r.Done(a.choice.DispatchID, r.responseOutcome())
}

// fail ends an attempt that failed. The successor of a failed attempt takes its place.
func (r *relayedRequest) fail(ctx context.Context, a *attempt, failed *AttemptError) {
	isSuccessor := a == r.successor
	if !isSuccessor {
		r.current = r.successor
	}
	r.successor = nil
	r.LastFailure = failed
	r.retryTaken = r.retryTaken && !failed.Sent
	r.endAttempt(ctx, a, failed)
	r.tried = append(r.tried, a.target.ID)
	switch {
	case isSuccessor && !failed.Sent:
		a.pass.End()
		r.expect(minSuccessorPause)
	case !isSuccessor && r.current != nil:
		r.Target, r.pass, r.retryTaken = r.current.target, r.current.pass, false
		r.expect(r.headBound())
	}
}

// minSuccessorPause is the time after which another successor is started if one reached no target.
const minSuccessorPause = time.Millisecond

// endAttempt ends an attempt and reports its failure.
func (r *relayedRequest) endAttempt(ctx context.Context, a *attempt, failed *AttemptError) {
	a.end(false)
	if failed.Refusal != nil {
		return
	}
	if failed.Sent {
		a.pass.Sent()
		r.SentFailures++
		r.sentTo = append(r.sentTo, a.target.ID)
		r.mayHaveRun = r.mayHaveRun || failed.Kind == Silent || failed.Kind == Cancelled
	}
	r.Done(a.choice.DispatchID, r.failureOutcome(ctx, a, failed))
	failed.Events = a.events
	failed.Trait, failed.Probe = r.traits.Request, a.pass.IsProbe()
	r.reportCrash(ctx, a, failed)
	r.OnAttemptFailed(a.dispatch, failed)
}

// endAttempts ends the attempts in flight when the request has ended.
func (r *relayedRequest) endAttempts(ctx context.Context) {
	for _, a := range []*attempt{r.current, r.successor} {
		if a != nil {
			r.endAttempt(ctx, a, &AttemptError{Kind: Cancelled, Sent: true, Err: errSuperseded})
		}
	}
	r.current, r.successor = nil, nil
	if r.silence != nil {
		r.silence.Stop()
	}
	_ = r.group.Wait() // the exchanges return no errors
}
