package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"cranberryrail/core/origin"
	"cranberryrail/core/poison"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

// Limits of one attempt.
const (
	// headerTimeoutFactor is the maximum time to the head of a response, as a multiple of the objective,
	// while the request can still be sent to another target. After that time another target is
	// likely to respond sooner.
	headerTimeoutFactor = 3
	// minHeaderTimeout is the lower bound of that time: several times the latency between availability
	// zones.
	minHeaderTimeout = 250 * time.Millisecond
	// eventTimeoutFactor is the maximum time from the head to the first event and between two events,
	// as a multiple of the objective for the gap, before a stream is resumed at another target. Callers
	// disconnect after eight times the objective.
	eventTimeoutFactor = 3
	// maxBufferedBody is the size up to which a body is read whole before it is forwarded, so that a
	// truncated response can be replaced by a refusal.
	maxBufferedBody = 256 << 10
)

// attempt sends the request to one target. It returns an *AttemptError if the attempt failed, nil if
// the caller received its response, and an error if no target could be chosen.
func (r *relayedRequest) attempt(ctx context.Context) (*AttemptError, error) {
	if err := r.admitAttempt(ctx); err != nil {
		return nil, crashRefusal(err)
	}
	request := r.routeRequest()
	detour := r.NeedsDetour(r.Service, r.Attempts-r.SentFailures)
	var choice route.Choice
	if !detour {
		var err error
		if choice, err = r.Pick(request); err != nil {
			return nil, err
		}
	}
	d := r.newDispatch(choice.Target)
	d.Detour = detour
	r.Attempts++
	r.Target = choice.Target
	r.progressAt = r.Now()
	r.eventsBefore = r.Events
	if !detour {
		r.recordOrigin(choice.Target)
	}
	failed := r.exchange(ctx, d, request)
	if failed != nil && failed.Refusal != nil {
		return nil, failed.Refusal
	}
	if failed == nil || failed.Sent {
		r.pass.Sent()
	}
	if failed == nil {
		if r.Status < http.StatusMultipleChoices {
			r.pass.Answered()
		}
		r.Done(choice.DispatchID, r.responseOutcome())
		return nil, nil
	}
	r.Done(choice.DispatchID, r.failureOutcome(ctx, failed))
	failed.Events = r.Events - r.eventsBefore
	failed.Trait, failed.Probe = r.traits.Request, r.pass.IsProbe()
	r.reportCrash(ctx, d, failed)
	if failed.Sent {
		r.SentFailures++
	}
	r.tried = append(r.tried, r.Target.ID)
	r.OnAttemptFailed(d, failed)
	return failed, nil
}

// send sends the request to its target, or by way of another instance that chooses one.
func (r *relayedRequest) send(ctx context.Context, d Dispatch, choice route.Request) (*Response, error) {
	if d.Detour {
		return r.DispatchBy(ctx, d, choice)
	}
	return r.Dispatch(ctx, d)
}

// recordOrigin records the software version of a target that may begin the stream. For a stream that began before, it records under the id of this
// attempt too, which the caller may name when it resumes again.
func (r *relayedRequest) recordOrigin(t roster.Target) {
	if r.streamKey == "" || r.Events > 0 {
		return
	}
	r.recording = r.Origins.Begin(r.streamKey, r.Attempts, origin.Origin{Service: r.Service, Version: t.Software}, r.recording != nil)
}

// beginStream prepares for the first event of a resumable stream, which is not forwarded before its origin is recorded.
func (r *relayedRequest) beginStream(ctx context.Context) *AttemptError {
	if r.Software == "" {
		if err := r.recording.Wait(ctx); err != nil {
			return &AttemptError{Kind: Unrecorded, Sent: true, Err: err}
		}
	}
	r.Software = r.Target.Software
	r.Origins.Began(r.streamKey, origin.Origin{Service: r.Service, Version: r.Software})
	return nil
}

// admitAttempt admits the next attempt unless similar requests have crashed targets.
func (r *relayedRequest) admitAttempt(ctx context.Context) error {
	admit := func() (*poison.Pass, error) { return r.Crashes.Admit(ctx, r.traits) }
	if r.pass != nil && !r.LastFailure.Sent {
		admit = func() (*poison.Pass, error) { return r.Crashes.AdmitAgain(ctx, r.pass) }
	}
	pass, err := admit()
	r.pass = pass
	return err
}

// answerEvents is the number of events after which a target has begun the answer: one that crashes afterwards does not crash because
// of a part of the prompt.
const answerEvents = 3

// reportCrash reports a target that crashed during an attempt. If the target may still run the request, for example because the context of the
// request ended and this instance closed the exchange, the target is watched.
func (r *relayedRequest) reportCrash(ctx context.Context, d Dispatch, failed *AttemptError) {
	switch {
	case failed.Crashed:
		failed.Series = r.pass.Crashed(r.Target.Incarnation, failed.Events >= answerEvents)
		return
	case !failed.Sent || d.Detour || failed.Kind == Shed || failed.Kind == Misdirected || failed.Kind == Errored || failed.Kind == Unrecorded:
		return
	case ctx.Err() == nil && (failed.Kind == Broken || failed.Kind == Invalid) && r.HasCrashed(ctx, d.Target):
		failed.Crashed = true
		failed.Series = r.pass.Crashed(d.Target.Incarnation, failed.Events >= answerEvents)
	default:
		r.Abandoned.Add(d.Target, r.pass, failed.Events >= answerEvents)
	}
}

// routeRequest returns the criteria for choosing a target.
func (r *relayedRequest) routeRequest() route.Request {
	req := route.Request{
		Organisation: r.Organisation, Service: r.Service, Zone: r.Zone, Priority: r.Priority, Avoid: r.tried,
		Software: r.Software,
	}
	if r.streamKey != "" && r.Software == "" {
		req.Software = r.Origins.Restriction(r.Service)
	}
	if r.req.Prompt != nil && r.route.Affinity {
		req.Prefix = sharedPrefix(r.req.Prompt.Parts)
	}
	return req
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
		HeaderTimeout: r.headerTimeout(left), LastEventID: r.lastEventID, NonIdempotent: !r.route.Retryable(),
		Repeated: slices.Contains(r.tried, t.ID),
	}
}

// headerTimeout returns how long to wait for the head of a response: the time left, or less if another
// attempt may follow.
func (r *relayedRequest) headerTimeout(left time.Duration) time.Duration {
	if !r.route.Retryable() || r.SentFailures+1 >= r.route.MaxAttempts || !r.Retries.AllowsRetry(r.Service) {
		return left
	}
	return min(left, r.silenceBound())
}

// silenceBound returns the time without a byte of the response after which a target counts as silent.
func (r *relayedRequest) silenceBound() time.Duration {
	return max(headerTimeoutFactor*r.route.LatencyObjective, minHeaderTimeout)
}

// exchange sends the request and forwards the response.
func (r *relayedRequest) exchange(ctx context.Context, d Dispatch, choice route.Request) *AttemptError {
	a, err := r.send(ctx, d, choice)
	if err != nil {
		failed := r.recordFailure(err)
		if failed.Target.ID != "" {
			r.Target = failed.Target
		}
		return failed
	}
	defer a.Close()
	if a.Target != nil {
		r.Target = *a.Target
		r.recordOrigin(r.Target)
	}
	a.Read = r.limitBody(a.Read)
	r.Unframed = a.Unframed
	switch {
	case a.NotRun:
		return notRunError(a.Status)
	case !a.HasSignature && (a.Status >= 200 && a.Status < 300 || claimsNotRun(a.Status)):
		r.mayHaveRun = true
		return &AttemptError{Kind: Invalid, Sent: true, Err: errUnsigned}
	}
	r.mayHaveRun = true
	if a.IsEventStream && a.Status == http.StatusOK {
		return r.relayEvents(ctx, a)
	}
	return r.relayBody(a)
}

// limitBody returns a function that reads a body and fails if it has more than MaxResponseBytes.
func (r *relayedRequest) limitBody(read readFunc) readFunc {
	left := r.MaxResponseBytes
	return func(p []byte) (int, error) {
		n, err := read(p)
		if left -= int64(n); left < 0 {
			return 0, &AttemptError{Kind: Invalid, Sent: true, Err: fmt.Errorf("the response has more than %d bytes", r.MaxResponseBytes)}
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

// relayBody forwards a response that is not an event stream.
func (r *relayedRequest) relayBody(a *Response) *AttemptError {
	a.SetReadTimeout(r.deadline.Sub(r.Now()))
	body, err := readBody(a)
	if err != nil && !isEOF(err) {
		return r.recordFailure(err)
	}
	if r.headSent {
		return &AttemptError{Kind: Errored, Sent: true, Err: errResume}
	}
	if err == nil {
		return r.relayLongBody(a, body)
	}
	response := &bufferedResponse{status: a.Status, header: a.Header, body: body}
	if a.Status >= 500 && r.route.Retryable() && r.SentFailures+1 < r.route.MaxAttempts && r.fallback == nil {
		r.fallback = response
		return &AttemptError{Kind: Errored, Sent: true, Err: errStatus}
	}
	if a.Status >= 500 && r.fallback != nil {
		response = r.fallback
	}
	r.sendBuffered(response)
	return nil
}

// readBody reads a body up to maxBufferedBody. The error is io.EOF if the body is complete, and nil
// if there is more.
func readBody(a *Response) ([]byte, error) {
	body := make([]byte, 0, 2048)
	for len(body) < maxBufferedBody {
		if len(body) == cap(body) {
			body = append(body, make([]byte, len(body))...)[:len(body)]
		}
		n, err := a.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// relayLongBody forwards a response that is too long to be buffered.
func (r *relayedRequest) relayLongBody(a *Response, prefix []byte) *AttemptError {
	r.sendHead(a)
	for p, err := prefix, error(nil); ; {
		if writeErr := r.sink.Write(p); writeErr != nil {
			return &AttemptError{Kind: Cancelled, Sent: true, Err: writeErr}
		}
		if isEOF(err) {
			return nil
		}
		if err != nil {
			return r.recordFailure(err)
		}
		var n int
		n, err = a.Read(prefix[:cap(prefix)])
		p = prefix[:n]
	}
}

// sendHead forwards the head of a response of unknown length. It records that the head was sent, the
// status and the time to the first byte.
func (r *relayedRequest) sendHead(a *Response) {
	r.headSent, r.Status = true, a.Status
	r.TimeToFirstByte = r.Now().Sub(r.req.Arrived)
	r.sink.Head(a.Status, a.Header, -1)
}

// relayEvents forwards the events of a response. The head is sent with the first event, so that a
// target that fails earlier can be replaced.
func (r *relayedRequest) relayEvents(ctx context.Context, a *Response) *AttemptError {
	events := newEventReader(a.Read)
	timeout := r.eventTimeout()
	for first := true; ; first = false {
		a.SetReadTimeout(timeout)
		event, err := events.next()
		switch {
		case isEOF(err):
			return r.endEvents(a, first)
		case err != nil:
			return r.recordFailure(err)
		}
		if failed := r.relayEvent(ctx, a, event); failed != nil {
			return failed
		}
	}
}

// endEvents ends a stream that its target has completed. Without framing and events, nothing distinguishes a complete
// stream from one that was broken off after its head.
func (r *relayedRequest) endEvents(a *Response, empty bool) *AttemptError {
	if empty && a.Unframed {
		return &AttemptError{Kind: Broken, Sent: true, Err: errNoEvent}
	}
	if !r.headSent {
		r.sendHead(a)
	}
	return nil
}

// relayEvent forwards one event. It fails if the event does not follow the last one forwarded.
func (r *relayedRequest) relayEvent(ctx context.Context, a *Response, e event) *AttemptError {
	if r.streamKey != "" && r.Events == 0 {
		if failed := r.beginStream(ctx); failed != nil {
			return failed
		}
	}
	if !r.headSent {
		r.sendHead(a)
	}
	if e.hasID {
		if r.lastEventID != "" && !follows(e.id, r.lastEventID) {
			return &AttemptError{Kind: Invalid, Sent: true, Err: errEventOrder}
		}
		r.lastEventID = e.id
	}
	r.Events++
	if r.Events-r.eventsBefore == answerEvents {
		r.pass.AnswerBegan()
	}
	r.progressAt = r.Now()
	if err := r.sink.Write(e.raw); err != nil {
		return &AttemptError{Kind: Cancelled, Sent: true, Err: err}
	}
	if ctx.Err() != nil {
		return &AttemptError{Kind: Cancelled, Sent: true, Err: ctx.Err()}
	}
	return nil
}

// eventTimeout returns the maximum time from the head of a stream to its first event and between two
// events: the time left, or less if the stream can be resumed at another target.
func (r *relayedRequest) eventTimeout() time.Duration {
	left := r.deadline.Sub(r.Now())
	if !r.route.Resumable || r.SentFailures+1 >= r.route.MaxAttempts || r.route.GapObjective <= 0 {
		return left
	}
	return min(left, eventTimeoutFactor*r.route.GapObjective)
}

// responseOutcome returns the outcome to record for a target whose response was forwarded.
func (r *relayedRequest) responseOutcome() route.Outcome {
	if r.Status >= http.StatusInternalServerError {
		return route.Failed
	}
	return route.OK
}

// failureOutcome returns the outcome to record for a target whose attempt failed. A request that its caller or its deadline
// ended has no bearing on the target, unless the target had been silent for long by then.
func (r *relayedRequest) failureOutcome(ctx context.Context, failed *AttemptError) route.Outcome {
	if ctx.Err() != nil && failed.Sent && r.Now().Sub(r.progressAt) < r.silenceBound() {
		return route.Cancelled
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
