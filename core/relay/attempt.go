package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"cranberryrail/core/cost"
	"cranberryrail/core/memory"
	"cranberryrail/core/origin"
	"cranberryrail/core/poison"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/table"
)

// Limits of one attempt.
const (
	// headerTimeoutFactor is the time to the head of a response, as a multiple of the objective, after which the request is sent to
	// another target too. After that time another target is likely to respond sooner.
	headerTimeoutFactor = 3
	// minHeaderTimeout is the lower bound of that time: several times the latency between availability
	// zones.
	minHeaderTimeout = 250 * time.Millisecond
	// eventTimeoutFactor is the time from the head to the first event and between two events, as a multiple of the objective for the
	// gap, after which a stream is resumed at another target. Callers disconnect after eight times the objective.
	eventTimeoutFactor = 3
	// maxBufferedBody is the size up to which a body is read whole before it is forwarded, so that a
	// truncated response can be replaced by a refusal.
	maxBufferedBody = 256 << 10
	// longBodyBytes is the size of the parts in which a longer body is forwarded.
	longBodyBytes = 32 << 10
)

// begin admits the request, chooses a target and begins an attempt at it. The error is final if no target could be chosen.
func (r *relayedRequest) begin(ctx context.Context) (*attempt, error) {
	pass, err := r.admitAttempt(ctx)
	r.pass = pass
	if err != nil {
		return nil, crashRefusal(err)
	}
	request := r.routeRequest()
	detour := r.needsDetour(r.Attempts - r.SentFailures)
	var choice route.Choice
	if !detour {
		if choice, err = r.Pick(request); err != nil {
			return nil, err
		}
	}
	return r.start(ctx, pass, choice, request, detour), nil
}

// needsDetour reports whether the next attempt goes by way of another instance, given the number of targets that were not reached.
func (r *relayedRequest) needsDetour(unreached int) bool {
	return r.mayDetour && r.NeedsDetour(r.Service, unreached)
}

// admitAttempt admits the next attempt unless similar requests have crashed targets.
func (r *relayedRequest) admitAttempt(ctx context.Context) (*poison.Pass, error) {
	if r.pass != nil && !r.LastFailure.Sent {
		return r.Crashes.AdmitAgain(ctx, r.pass)
	}
	return r.Crashes.Admit(ctx, r.traits)
}

// start begins an attempt at a chosen target, or by way of another instance that chooses one.
func (r *relayedRequest) start(ctx context.Context, pass *poison.Pass, choice route.Choice, request route.Request, detour bool) *attempt {
	a := &attempt{
		dispatch: r.newDispatch(choice.Target), choice: choice, target: choice.Target, pass: pass, beganAt: r.Now(), progressAt: r.Now(),
		steps: r.steps, abandoned: make(chan struct{}), ended: make(chan struct{}), joined: r.headSent,
	}
	if r.streamKey != "" && r.Events == 0 && r.Software == "" {
		a.hold = make(chan *origin.Recording, 1)
	}
	a.dispatch.Detour = detour
	if detour {
		a.target.Software = request.Software // Another instance chooses among the targets of this version, if there is one.
	}
	r.Attempts++
	a.number = r.Attempts
	r.Target = a.target
	if !detour {
		r.recordOrigin(a)
	}
	send := r.Dispatch
	if detour {
		send = func(ctx context.Context, d Dispatch) (*Response, error) { return r.DispatchBy(ctx, d, request) }
	}
	ctx, a.cancel = context.WithCancel(ctx)
	a.memory = r.Memory.NewHolder(func() { a.releaseMemory(r.sink.Abort) })
	a.dispatch.Memory = a.memory
	limit := r.end.Sub(r.Now()) + replyMargin // The context of the request ends the exchange before.
	x := exchange{send: send, limit: limit, maxBytes: r.MaxResponseBytes, hold: a.hold, onPanic: r.OnPanic}
	r.group.Go(func() error {
		a.run(ctx, x)
		return nil
	})
	return a
}

// recordOrigin records the software version of a target that may begin the stream. For a stream that began before, it records under the id of this
// attempt too, which the caller may name when it resumes again.
func (r *relayedRequest) recordOrigin(a *attempt) {
	if r.streamKey == "" || r.Events > 0 {
		return
	}
	a.recording = r.Origins.Begin(r.streamKey, a.number, origin.Origin{Service: r.Service, Version: a.target.Software}, r.recorded)
	r.recorded = a.recording != nil
}

// beginStream prepares for the first event of a resumable stream, which is not forwarded before its origin is recorded. It reports whether the
// event may be forwarded now; otherwise the exchange delivers it again.
func (r *relayedRequest) beginStream(a *attempt) bool {
	if a.hold != nil {
		hold := a.hold
		a.hold = nil
		if !a.recording.Ready() {
			hold <- a.recording
			r.unrecorded = true
			return false
		}
		hold <- nil
	}
	r.unrecorded = false
	r.Software = a.target.Software
	r.Origins.Began(r.streamKey, origin.Origin{Service: r.Service, Version: r.Software})
	return true
}

// answerEvents is the number of events after which a target has begun the answer: one that crashes afterwards does not crash because
// of a part of the prompt.
const answerEvents = 3

// reportCrash reports a target that crashed during an attempt. If the target may still run the request, for example because the context of the
// request ended and this instance closed the exchange, the target is watched.
func (r *relayedRequest) reportCrash(ctx context.Context, a *attempt, failed *AttemptError) {
	switch {
	case failed.Crashed:
		failed.Series = a.pass.Crashed(a.target.Incarnation, failed.Events >= answerEvents)
	case !failed.Sent || a.dispatch.Detour || failed.Kind == Shed || failed.Kind == Misdirected || failed.Kind == Errored || failed.Kind == Unrecorded:
	case !r.isOver(ctx) && (failed.Kind == Broken || failed.Kind == Invalid) && r.HasCrashed(ctx, a.dispatch.Target):
		failed.Crashed = true
		failed.Series = a.pass.Crashed(a.dispatch.Target.Incarnation, failed.Events >= answerEvents)
	default:
		r.Abandoned.Add(a.dispatch.Target, a.pass, failed.Events >= answerEvents)
	}
}

// routeRequest returns the criteria for choosing a target.
func (r *relayedRequest) routeRequest() route.Request {
	req := route.Request{
		Organisation: r.Organisation, Service: r.Service, Zone: r.Zone, Priority: r.Priority, Avoid: r.tried,
		Software: r.Software, Homes: r.homes, Work: r.work(),
	}
	if r.streamKey != "" && r.Software == "" {
		req.Software = r.Origins.Restriction(r.Service)
	}
	if r.req.Prompt != nil && r.route.Affinity {
		req.Prefix = sharedPrefix(r.req.Prompt.Parts)
	}
	return req
}

// work returns what is known of the work of the request.
func (r *relayedRequest) work() *cost.Request {
	w := &cost.Request{Route: r.Route, Organisation: r.Organisation, Service: r.Service, Resumed: r.lastEventID != ""}
	if p := r.req.Prompt; p != nil {
		w.Model, w.Prompt, w.MaxOutput, w.Hint = p.Model, p.Tokens, p.MaxOutput, p.Hint
		for _, part := range p.Parts {
			w.Parts = append(w.Parts, cost.Part{ID: part.ID, Tokens: part.Tokens})
		}
	}
	return w
}

// sharedPrefix returns the id of the longest prefix of a prompt that other prompts share: that of
// the last part before the request's own.
func sharedPrefix(parts []Part) string {
	switch len(parts) {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	default:
		return parts[len(parts)-2].ID
	}
}

// routeRanks is the number of route ranks within one organisation rank.
const routeRanks = 3

// priority returns the priority of the request: first by its organisation, then by its route.
func (r *relayedRequest) priority() int {
	rank := min(max(r.route.Rank, 0), routeRanks-1)
	if r.org != nil {
		rank += routeRanks * max(r.org.Rank, 0)
	}
	return route.TopPriority - min(rank, route.TopPriority)
}

func (r *relayedRequest) newDispatch(t roster.Target) Dispatch {
	left := r.deadline.Sub(r.Now())
	return Dispatch{
		Request: r.req, Target: t, Organisation: r.Organisation, Priority: r.Priority, Remaining: left,
		HeaderTimeout: left + replyMargin, SilenceBound: r.silenceBound(), LastEventID: r.lastEventID, NonIdempotent: !r.route.Retryable(),
		Repeated: slices.Contains(r.sentTo, t.ID), Resumable: r.streamKey != "",
	}
}

// silenceBound returns the time without a byte of the response after which a target counts as silent.
func (r *relayedRequest) silenceBound() time.Duration { return silenceBound(r.route) }

func silenceBound(on *table.Route) time.Duration {
	return max(headerTimeoutFactor*on.LatencyObjective, minHeaderTimeout)
}

// SilenceBound returns the time without a byte of the response after which the target of a request counts as silent; 0 if there is no route for it.
func (s *Server) SilenceBound(host, path string) time.Duration {
	if t := s.Table(); t != nil {
		if found := t.Route(host, path); found != nil {
			return silenceBound(found)
		}
	}
	return 0
}

// handle handles what the target of an attempt has sent. It reports whether the response is complete.
func (r *relayedRequest) handle(ctx context.Context, a *attempt, s step) (complete bool, failed *AttemptError) {
	switch {
	case s.err == nil && a.memory.Ended():
		return false, r.recordFailure(usedUpError())
	case s.response != nil:
		return r.handleHead(ctx, a, s)
	case isEOF(s.err):
		failed = r.endEvents(ctx, a, s.event.raw)
		return failed == nil, failed
	case s.err != nil:
		failed = r.recordFailure(s.err)
		if failed.Target.ID != "" {
			a.target = failed.Target
		}
		return false, failed
	default:
		return false, r.relayEvent(ctx, a, s.event)
	}
}

// handleHead handles the head of a response, and its body if it is no event stream.
func (r *relayedRequest) handleHead(ctx context.Context, a *attempt, s step) (complete bool, failed *AttemptError) {
	if t := a.response.Target; t != nil {
		a.target = *t
		r.recordOrigin(a)
	}
	r.mayHaveRun = r.mayHaveRun || !a.response.NotRun
	switch failed := checkHead(a.response); {
	case failed != nil:
		return false, failed
	case a.response.hasEvents():
		if a == r.newest() {
			r.expect(r.eventBound())
		}
		return false, nil
	case r.headSent:
		return false, &AttemptError{Kind: Errored, Sent: true, Err: errResume}
	default:
		return r.relayBody(ctx, a, s.body, s.bodyErr)
	}
}

// checkHead returns the failure of a response that can't be the answer by its head alone.
func checkHead(response *Response) *AttemptError {
	status := response.Status
	switch {
	case response.NotRun:
		return notRunError(status)
	case !response.HasSignature && (status >= 200 && status < 300 || claimsNotRun(status)):
		return &AttemptError{Kind: Invalid, Sent: true, Err: errUnsigned}
	default:
		return nil
	}
}

// limitBody returns a function that reads a body and fails if it has more than maxBytes.
func limitBody(read readFunc, maxBytes int64) readFunc {
	left := maxBytes
	return func(p []byte) (int, error) {
		n, err := read(p)
		if left -= int64(n); left < 0 {
			return 0, &AttemptError{Kind: Invalid, Sent: true, Err: fmt.Errorf("the response has more than %d bytes", maxBytes)}
		}
		return n, err
	}
}

// claimsNotRun reports whether a status implies that the request did not run. Such a response is
// valid only if the target signed it.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// recordFailure returns the error of an attempt as an *AttemptError, and records whether the target
// may have run the request.
func (r *relayedRequest) recordFailure(err error) *AttemptError {
	var failed *AttemptError
	if !errors.As(err, &failed) {
		failed = &AttemptError{Kind: Broken, Sent: true, Err: err}
	}
	if failed.Sent {
		r.mayHaveRun = true
	}
	return failed
}

var (
	errUnsigned = errors.New("the response of the target has no signature header")
	errStatus   = errors.New("the target responded with a 5xx status or reported that it did not run the request")
	errResume   = errors.New("the target did not resume the stream")
)

// notRunError returns the failure for a target that reports that it did not run the request.
func notRunError(status int) *AttemptError {
	if status == http.StatusMisdirectedRequest {
		return &AttemptError{Kind: Misdirected, Sent: true, Err: errStatus}
	}
	return &AttemptError{Kind: Shed, Sent: true, Err: errStatus}
}

// relayBody forwards a response that is not an event stream, given what readBody returned.
func (r *relayedRequest) relayBody(ctx context.Context, a *attempt, body []byte, err error) (complete bool, failed *AttemptError) {
	if err != nil && !isEOF(err) {
		return false, r.recordFailure(err)
	}
	errored := &AttemptError{Kind: Errored, Sent: true, Err: errStatus}
	if err == nil {
		if claimsNotRun(a.response.Status) && (len(r.inFlight) > 1 || r.ranElsewhere) {
			return false, errored
		}
		r.accept(ctx, a)
		failed = r.relayLongBody(ctx, a, body)
		return failed == nil, failed
	}
	if r.endedByCrash(ctx, a) {
		return false, r.recordFailure(newCrashEnd())
	}
	response := r.choose(&bufferedResponse{status: a.response.Status, header: a.response.Header, body: body})
	if response == nil {
		return false, errored
	}
	r.accept(ctx, a)
	if failed := r.sendBuffered(a, response); failed != nil {
		return false, failed
	}
	return true, nil
}

// choose returns the response to send now that one has come: the same, or the one that was kept. It returns nil if a better one may come, or if none is true.
func (r *relayedRequest) choose(response *bufferedResponse) *bufferedResponse {
	others, refuses := len(r.inFlight) > 1, claimsNotRun(response.status)
	if response.status >= http.StatusInternalServerError || refuses && others {
		if r.fallback != nil && claimsNotRun(r.fallback.status) && !refuses {
			r.dropFallback() // This target has run the request.
		}
		kept := r.fallback == nil && (others || r.mayReplace()) && r.keeps(response)
		if kept {
			r.fallback = response
		}
		if kept || others {
			return nil
		}
		response = cmp.Or(r.fallback, response)
	}
	if claimsNotRun(response.status) && r.ranElsewhere {
		return nil
	}
	return response
}

var errCrashEnd = errors.New("the target has crashed, and the end of the connection ended its response")

// newCrashEnd returns the failure of a response that ended with the process of its target.
func newCrashEnd() *AttemptError { return &AttemptError{Kind: Broken, Sent: true, Err: errCrashEnd} }

// endedByCrash reports whether a response that ends with its connection may have been ended by a crash of the target, which looks the same.
func (r *relayedRequest) endedByCrash(ctx context.Context, a *attempt) bool {
	return a.response.Unframed && !a.dispatch.Detour && r.HasCrashed(ctx, a.dispatch.Target)
}

// mayHaveRunBy reports whether the target of an attempt that failed may have run the request. A signed response with a status that implies that it did not is
// believed, but only of this target.
func (a *attempt) mayHaveRunBy(failed *AttemptError) bool {
	switch failed.Kind {
	case Shed, Misdirected:
		return false
	case Errored:
		return a.response == nil || !claimsNotRun(a.response.Status)
	default:
		return failed.Sent
	}
}

// hasFallback reports whether there is a response to send if no other attempt succeeds. One that implies that the request did not run is of no use once another
// target may have run it: its caller would repeat the request.
func (r *relayedRequest) hasFallback() bool {
	return r.fallback != nil && !r.headSent && (!claimsNotRun(r.fallback.status) || !r.ranElsewhere)
}

// dropFallback removes the response that was kept.
func (r *relayedRequest) dropFallback() {
	r.fallback = nil
	r.kept.Release()
}

// keeps reports whether there is memory to keep a response while another one is awaited, and counts it.
func (r *relayedRequest) keeps(response *bufferedResponse) bool {
	if cap(response.body) <= memory.SmallBytes {
		return true
	}
	return r.Memory.HasRoom() && r.kept.Add(cap(response.body)) == nil
}

// mayReplace reports whether a further attempt may bring a better response than an error response.
func (r *relayedRequest) mayReplace() bool {
	return r.route.Retryable() && r.SentFailures+1 < r.route.MaxAttempts
}

// readBody reads a body up to maxBufferedBody. The error is io.EOF if the body is complete, and nil
// if there is more.
func (a *attempt) readBody() ([]byte, error) {
	body, held := make([]byte, 0, 2048), 0
	for len(body) < maxBufferedBody {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, 2*len(body)), body...)
		}
		if size := cap(body); size > memory.SmallBytes && size != held {
			if a.memory.Add(size-held) != nil {
				return nil, usedUpError()
			}
			held = size
		}
		n, err := a.response.Read(body[len(body):cap(body)])
		a.memory.Progress(n)
		body = body[:len(body)+n]
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// relayLongBody forwards a response that is too long to be buffered.
func (r *relayedRequest) relayLongBody(ctx context.Context, a *attempt, prefix []byte) *AttemptError {
	if failed := r.sendHead(a); failed != nil {
		return failed
	}
	if failed := r.write(a, prefix); failed != nil {
		return failed
	}
	buffer := prefix[:cap(prefix)]
	if len(buffer) > longBodyBytes {
		buffer = make([]byte, longBodyBytes)
		_ = a.memory.Add(longBodyBytes - cap(prefix)) // write reports an attempt that has ended
	}
	for {
		n, err := a.response.Read(buffer)
		if failed := r.write(a, buffer[:n]); failed != nil {
			return failed
		}
		switch {
		case isEOF(err) && r.endedByCrash(ctx, a):
			return r.recordFailure(newCrashEnd())
		case isEOF(err):
			return nil
		case err != nil:
			return r.recordFailure(err)
		}
	}
}

// sendHead forwards the head of a response of unknown length, unless it was sent before. The answer may then go on until its end. The error means
// that the deadline has passed, or that the attempt was ended to release memory.
func (r *relayedRequest) sendHead(a *attempt) *AttemptError {
	if r.headSent {
		return nil
	}
	if a.memory.Ended() {
		return usedUpError()
	}
	if !r.expiry.Stop() {
		return &AttemptError{Kind: Silent, Sent: true, Err: context.DeadlineExceeded}
	}
	r.expiry.Reset(time.Until(r.end))
	r.writeEnd = time.AfterFunc(time.Until(r.end)+unreadTimeout, func() {
		if writer := r.writer.Load(); writer != nil {
			writer.releaseMemory(r.sink.Abort)
		}
	})
	r.beginAnswer(a.response.Status)
	r.sink.Head(a.response.Status, a.response.Header, -1)
	return nil
}

// endEvents ends a stream that its target has completed, with what came after its last event. Without framing and events, nothing
// distinguishes a complete stream from one that was broken off after its head. The end of a stream without events is not that of the stream
// that another target began.
func (r *relayedRequest) endEvents(ctx context.Context, a *attempt, rest []byte) *AttemptError {
	if a.events == 0 && (a.response.Unframed || r.headSent) {
		return &AttemptError{Kind: Broken, Sent: true, Err: errNoEvent}
	}
	if r.endedByCrash(ctx, a) {
		return newCrashEnd()
	}
	r.accept(ctx, a)
	if failed := r.sendHead(a); failed != nil {
		return failed
	}
	if len(rest) > 0 {
		return r.write(a, rest)
	}
	return nil
}

// relayEvent forwards one event. The head is sent with the first event, so that a target that fails earlier can be replaced.
func (r *relayedRequest) relayEvent(ctx context.Context, a *attempt, e event) *AttemptError {
	if a.first == 0 {
		a.first = r.Now().Sub(a.beganAt)
		r.Progress(a.choice.DispatchID, 0)
	}
	if r.streamKey != "" && r.Events == 0 && !r.beginStream(a) {
		return nil
	}
	r.accept(ctx, a)
	if failed := r.sendHead(a); failed != nil {
		return failed
	}
	failed := r.write(a, e.raw)
	if failed != nil && failed.Kind != Cancelled {
		return failed // Nothing of the event was written, so that another target must send it.
	}
	r.lastEventID, r.joinable = e.id, e.hasID && e.id != ""
	r.Events++
	a.events++
	if a.events == answerEvents {
		a.pass.AnswerBegan()
	}
	if failed != nil {
		return failed
	}
	if e.held > 0 {
		_ = a.memory.Add(-e.held) // the next write reports an attempt that has ended
	}
	a.progressAt = r.Now()
	r.expect(r.eventBound())
	if ctx.Err() != nil {
		return &AttemptError{Kind: Cancelled, Sent: true, Err: ctx.Err()}
	}
	return nil
}

// responseOutcome returns the outcome to record for a target whose response was forwarded.
func (r *relayedRequest) responseOutcome() route.Outcome {
	if r.Status >= http.StatusInternalServerError {
		return route.Failed
	}
	return route.OK
}

// failureOutcome returns the outcome to record for a target whose attempt failed. A request that its caller or its deadline
// ended has no bearing on the target, unless the target had been silent for long by then. One that was ended to release memory is a failure of the target
// only if it had stopped within its answer, since the caller had taken all that had come.
func (r *relayedRequest) failureOutcome(ctx context.Context, a *attempt, failed *AttemptError) route.Outcome {
	if r.isOver(ctx) && failed.Sent && r.Now().Sub(a.progressAt) < r.silenceBound() {
		return route.Cancelled
	}
	if errors.Is(failed.Err, memory.ErrUsedUp) && failed.Kind == Invalid && (r.unrecorded || !a.memory.Stalled()) {
		return route.UsedUp
	}
	switch failed.Kind {
	case Silent:
		return route.Silent
	case Shed:
		return route.Shed
	case Misdirected:
		return route.Refused
	case Cancelled, Unrecorded:
		return route.Cancelled
	default:
		return route.Failed
	}
}
