// Package relay forwards a caller's request to a target and returns the response. It finds the route
// and the organisation, reserves tokens, chooses targets, decides about retries and resumes streams.
// It performs no network I/O itself.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/budget"
	"cranberryrail/core/codes"
	"cranberryrail/core/memory"
	"cranberryrail/core/origin"
	"cranberryrail/core/poison"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/spans"
	"cranberryrail/core/table"
	"cranberryrail/core/zones"
)

// Server relays requests. Exported fields are set before the first call. It is safe for concurrent
// use if the functions in its fields are.
type Server struct {
	// Table returns the configuration in force; nil if none has been read yet.
	Table func() *table.Table
	// Reserve reserves tokens of a prepaid budget, and Settle ends the reservation.
	Reserve func(ctx context.Context, organisation string, tokens int64) (budget.Reservation, error)
	Settle  func(reservation budget.Reservation, used int64)
	// ReserveWait returns how long a request waits for tokens of an organisation, given how long one waits usually; optional.
	ReserveWait func(organisation string, usual time.Duration) time.Duration
	// ReserveResumed is Reserve for requests that resume a stream; optional.
	ReserveResumed func(ctx context.Context, organisation string, tokens int64) (budget.Reservation, error)
	// Pick chooses a target. Done is called with the outcome of the attempt at it.
	Pick func(r route.Request) (route.Choice, error)
	Done func(dispatchID int64, o route.Outcome)
	// Progress is called when the first event of an attempt has come, and before Done of a complete answer with the number of its output tokens. Optional.
	Progress func(dispatchID, output int64)
	// Retries is this instance's share of the retry budgets.
	Retries *route.RetryWindow
	// Dispatch sends a request to a target and returns its response. The error is an *AttemptError.
	Dispatch func(ctx context.Context, d Dispatch) (*Response, error)
	// Origins knows which software version began a stream; optional.
	Origins *origin.Tracker
	// NeedsDetour reports whether a request for a service should be sent by way of another instance, given the number of targets that it did not
	// reach; DispatchBy sends it to a target of that instance's choice. Optional.
	NeedsDetour func(service string, unreached int) bool
	DispatchBy  func(ctx context.Context, d Dispatch, choice route.Request) (*Response, error)
	// Crashes decides whether requests like one may be sent, by the targets that have crashed under them; optional.
	Crashes *poison.Tracker
	// HasCrashed reports whether the process of a target has ended, after an exchange with it broke off; optional.
	HasCrashed func(ctx context.Context, t roster.Target) bool
	// Abandoned watches targets that may still run an abandoned request; optional.
	Abandoned *poison.Watcher
	// OnSilent is called when a target has sent nothing for as long as a sound one seldom does. The attempt at it goes on. The id is that of the
	// dispatch in Done; optional.
	OnSilent func(d Dispatch, dispatchID int64)
	// OnPanic is called with the value of a panic in an exchange with a target; optional.
	OnPanic func(reason any)
	// OnAttemptFailed is called for each failed attempt; optional.
	OnAttemptFailed func(d Dispatch, f *AttemptError)
	// Spans knows how long the requests of each route take; optional.
	Spans *spans.Tracker
	// MaxResponseBytes limits the body of a response, or the events of a stream together. A target that sends more is
	// assumed to send without end. Optional; 0 means DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// Memory limits what the answers in flight hold together: events and bodies that are not complete or not yet forwarded. Optional; nil means no limit.
	Memory *memory.Pool
	// Zone is the availability zone of this instance.
	Zone string
	// Regions maps the availability zones to their regions; optional, for requests that may only be processed in some regions.
	Regions zones.Regions
	// Now returns the current time.
	Now func() time.Time
	// Random returns a number from 0 to n-1.
	Random func(n int) int
}

// DefaultMaxResponseBytes is the default of MaxResponseBytes: several times the largest request body.
const DefaultMaxResponseBytes = 64 << 20

// Default sets unset optional fields to their defaults.
func (s *Server) Default() {
	if s.MaxResponseBytes == 0 {
		s.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if s.Memory == nil {
		s.Memory = &memory.Pool{}
	}
	if s.ReserveResumed == nil {
		s.ReserveResumed = s.Reserve
	}
	if s.ReserveWait == nil {
		s.ReserveWait = func(_ string, usual time.Duration) time.Duration { return usual }
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.NeedsDetour == nil {
		s.NeedsDetour = func(string, int) bool { return false }
	}
	if s.HasCrashed == nil {
		s.HasCrashed = func(context.Context, roster.Target) bool { return false }
	}
	if s.Progress == nil {
		s.Progress = func(int64, int64) {}
	}
	if s.OnSilent == nil {
		s.OnSilent = func(Dispatch, int64) {}
	}
	if s.OnPanic == nil {
		s.OnPanic = func(any) {}
	}
	if s.OnAttemptFailed == nil {
		s.OnAttemptFailed = func(Dispatch, *AttemptError) {}
	}
}

// relayedRequest is the state of one request.
type relayedRequest struct {
	*Server
	Result
	req  *Request
	sink Sink
	// route, org and eventTokens, which holds the tokens of an event by service, are of the configuration that admitted the request. They are copies, so
	// that a request keeps no old configuration in memory.
	route       *table.Route
	org         *table.Organisation
	eventTokens map[string]int
	reservation budget.Reservation
	// deadline is the time by which the caller must have its final response, or the beginning of an answer, which may go on until end.
	deadline, end time.Time
	// expiry ends the context of the request at deadline, or at end.
	expiry *time.Timer
	// writer is the attempt whose response was written last. writeEnd ends a write to a caller that does not read, after end.
	writer   atomic.Pointer[attempt]
	writeEnd *time.Timer
	// traits are what the request may have in common with others.
	traits poison.Traits
	// homes are the regions in which the request may be processed, and mayDetour is set if that holds for each region, so that any instance may send it.
	homes     zones.Homes
	mayDetour bool
	// tried holds the ids of the targets of failed attempts, and sentTo those of ended attempts that may have received the request.
	tried, sentTo []string
	// streamKey identifies a resumable stream, and recorded is set if the last attempt recorded its origin.
	streamKey origin.Key
	recorded  bool
	// unrecorded is set while the first event of the stream waits for the record of its origin.
	unrecorded bool
	// pass is the admission of the last attempt that was made alone.
	pass *poison.Pass
	// inFlight holds the attempts in flight in the order in which they were started. All but the newest are silent.
	inFlight []*attempt
	// group runs the exchanges of the attempts, and steps receives what they bring. silence fires when the newest one was silent for its bound.
	group   errgroup.Group
	steps   chan step
	silence *time.Timer
	// silenceDue is when silence should fire.
	silenceDue time.Time
	// retryTaken is set if a retry was taken from the retry budget for a successor that reached no target.
	retryTaken bool
	// mayHaveRun is set if a target may have run the request.
	mayHaveRun bool
	// ranElsewhere is set once an attempt has failed whose target may have run the request.
	ranElsewhere bool
	// headSent is set once the head of a response was forwarded.
	headSent bool
	// lastEventID is the last id that was forwarded. joinable is set if it is that of the last event, so that the events of another target may follow.
	lastEventID string
	joinable    bool
	// fallback is an error response of a target, which the caller receives if no other attempt
	// succeeds. kept counts its memory.
	fallback *bufferedResponse
	kept     *memory.Holder
}

// bufferedResponse is a complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// Serve relays one request. If Refused is set in the result and Truncated is not, the caller must be sent that refusal: one that has disconnected may have
// closed only its sending direction. Otherwise, if Truncated or CallerGone is set, the connection to the caller must be aborted, so that the response does
// not appear complete.
func (s *Server) Serve(ctx context.Context, req *Request, sink Sink) Result {
	r := &relayedRequest{Server: s, Result: Result{Request: req}, req: req, sink: sink, steps: make(chan step), kept: s.Memory.NewHolder(nil)}
	defer r.kept.Release()
	if r.sink.Abort == nil {
		r.sink.Abort = func() {}
	}
	if refused := r.admit(); refused != nil {
		return r.refuse(refused)
	}
	if err := r.Crashes.Check(r.traits); err != nil {
		return r.refuse(crashRefusal(err))
	}
	span := r.Spans.Begin(r.Route, req.Arrived)
	defer func() { span.End(r.Now()) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.expiry = time.AfterFunc(time.Until(r.deadline), func() { cancel(context.DeadlineExceeded) })
	defer r.expiry.Stop()
	if refused := r.findOrigin(ctx); refused != nil {
		return r.refuse(refused)
	}
	if refused := r.reserve(ctx); refused != nil {
		return r.refuse(refused)
	}
	if refused := r.run(ctx); refused != nil {
		return r.refuse(refused)
	}
	return r.Result
}

// run sends the request to targets. Its attempts end and its tokens are settled even if it panics, since the process goes on.
func (r *relayedRequest) run(ctx context.Context) *codes.Error {
	defer func() {
		if r.writeEnd != nil {
			r.writeEnd.Stop()
		}
		r.endAttempts(ctx)
		r.pass.End()
		r.settle()
	}()
	r.Retries.CountRequest(r.Service)
	return r.attemptUntilResponse(ctx)
}

func (r *relayedRequest) refuse(refused *codes.Error) Result {
	r.Refused, r.Status = refused, refused.Code.Status
	if r.headSent {
		r.Truncated, r.Status = true, 0
	}
	return r.Result
}

// replyMargin is subtracted from the caller's time limit, so that the final response arrives in time, and added to it for an answer that
// has begun, so that the caller or the target ends it. It is several times the network latency to callers.
const replyMargin = 15 * time.Millisecond

// unreadTimeout is how long after the end of an answer its caller may take to read what was written: far longer than a link takes for what machines buffer.
const unreadTimeout = 2 * time.Second

// admit finds the route and the organisation of the request.
func (r *relayedRequest) admit() *codes.Error {
	t := r.Table()
	if t == nil {
		return codes.Refuse(codes.NotReady, retryAfterNotReady, "no configuration has been read yet")
	}
	r.Version = t.Version
	r.route = clone(t.Route(r.req.Host, r.req.Path))
	if r.route == nil {
		return codes.Refuse(codes.UnknownRoute, 0, "no route matches host %q and the path of the request", r.req.Host)
	}
	r.Route = r.route.Name
	if r.req.Key != "" {
		r.org = clone(t.Organisation(r.req.Key))
	}
	if r.req.Prompt != nil {
		r.eventTokens = make(map[string]int, len(r.route.Shares))
		for _, s := range r.route.Shares {
			r.eventTokens[s.Service] = t.Service(s.Service).EventTokens
		}
	}
	if r.org == nil && len(t.Organisations) > 0 && !r.route.Anonymous {
		return codes.Refuse(codes.BadKey, 0, "the request has no API key of a configured organisation; send one as bearer token")
	}
	if r.org != nil {
		r.Organisation = r.org.Name
	}
	if t.Limits.BodyBytes > 0 && int64(len(r.req.Body)) > t.Limits.BodyBytes {
		return codes.Refuse(codes.BodyTooLarge, 0, "request body has %d bytes, the limit is %d", len(r.req.Body), t.Limits.BodyBytes)
	}
	r.homes = zones.NewHomes(r.route.Homes, homesOf(r.org))
	r.mayDetour = r.homes.AllowAll(r.Regions)
	r.Priority = r.priority()
	r.Service = r.pickService()
	limit := timeLimit(r.req, r.route)
	r.TimeLimit = limit
	r.deadline, r.end = r.req.Arrived.Add(max(limit-replyMargin, limit/2)), r.req.Arrived.Add(limit+replyMargin)
	r.traits = r.req.traits(r.Organisation)
	return nil
}

// homesOf returns the regions of an organisation; nil without one.
func homesOf(o *table.Organisation) []string {
	if o == nil {
		return nil
	}
	return o.Homes
}

// clone returns a copy of what a configuration holds, or nil if it holds nothing.
func clone[T any](p *T) *T {
	if p == nil {
		return nil
	}
	c := *p
	return &c
}

// originRetryAfter is when a stream may be resumed whose origin could not be read: some calls of the log later.
const originRetryAfter = 250 * time.Millisecond

// findOrigin finds the software version that began the stream which the caller resumes.
func (r *relayedRequest) findOrigin(ctx context.Context) *codes.Error {
	if !r.route.Resumable {
		return nil
	}
	r.streamKey = origin.NewKey(r.Organisation, r.req.ID)
	if r.req.LastEventID == "" {
		return nil
	}
	began, err := r.Origins.Find(ctx, origin.NewKey(r.Organisation, r.req.Resumes), r.Service)
	switch {
	case errors.Is(err, origin.ErrUnknown):
		return codes.Refuse(codes.OriginUnknown, 0, "%v", err)
	case err != nil:
		return codes.Refuse(codes.OriginUnknown, originRetryAfter, "%v", err)
	case !r.route.Includes(began.Service):
		return codes.Refuse(codes.OriginUnknown, 0, "the stream began at service %s, which the route does not lead to", began.Service)
	}
	r.Service, r.Software, r.lastEventID = began.Service, began.Version, r.req.LastEventID
	return nil
}

// crashRefusal returns the refusal of a request that is not sent because of what requests like it did to targets.
func crashRefusal(err error) *codes.Error {
	var quarantined *poison.QuarantineError
	if !errors.As(err, &quarantined) {
		return codes.From(err, codes.NotRun)
	}
	return codes.Refuse(codes.CrashesTargets, quarantined.RetryAfter, "%v", quarantined)
}

// MaxTime returns the maximum time from the arrival of a request to the end of its answer; 0 if it is refused at once because there is no route for it.
func (s *Server) MaxTime(req *Request) time.Duration {
	if t := s.Table(); t != nil {
		if found := t.Route(req.Host, req.Path); found != nil {
			return timeLimit(req, found) + replyMargin
		}
	}
	return 0
}

// UsualTime returns the longest time that requests on the route of a request have taken recently, at most MaxTime; 0 if there were none.
func (s *Server) UsualTime(req *Request) time.Duration {
	if t := s.Table(); t != nil {
		if found := t.Route(req.Host, req.Path); found != nil {
			return min(s.Spans.Longest(found.Name, s.Now()), timeLimit(req, found)+replyMargin)
		}
	}
	return 0
}

// Urgency returns how urgent the route of a request is, from 0 to 1, the most urgent; 0 if there is no route for it.
func (s *Server) Urgency(req *Request) float64 {
	if t := s.Table(); t != nil {
		if found := t.Route(req.Host, req.Path); found != nil {
			return 1 - float64(min(max(found.Rank, 0), routeRanks-1))/(routeRanks-1)
		}
	}
	return 0
}

// timeLimit returns the time that the caller waits from the arrival of a request, or that the route allows.
func timeLimit(req *Request, on *table.Route) time.Duration {
	d := req.Timeout
	if on.Timeout > 0 && (d <= 0 || on.Timeout < d) {
		d = on.Timeout
	}
	if d <= 0 {
		d = defaultTimeout
	}
	return d
}

// defaultTimeout applies if neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// pickService chooses the service for the request at random by the weights of the route.
func (r *relayedRequest) pickService() string {
	total := 0
	for _, s := range r.route.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	n := r.Random(total)
	for _, s := range r.route.Shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return ""
}

// reserveWaitDivisor is the maximum time that a request waits for tokens, as a divisor of the
// objective. A refusal must leave the caller time for another attempt at another instance. A stream that is resumed waits
// longer: its caller has waited for the first event before, and all instances draw tokens at once after they were killed.
const (
	reserveWaitDivisor       = 8
	resumeReserveWaitDivisor = 2
	// minReserveWait is the shortest such time: several conditional appends to the log, of which instances that start together lose some to
	// each other.
	minReserveWait = 50 * time.Millisecond
)

// reserve reserves the maximum number of tokens that the request may use.
func (r *relayedRequest) reserve(ctx context.Context) *codes.Error {
	if r.req.Prompt == nil || r.org == nil {
		return nil
	}
	need := r.req.Prompt.Tokens + r.req.Prompt.MaxOutput
	reserve, divisor := r.Reserve, time.Duration(reserveWaitDivisor)
	if r.Software != "" {
		reserve, divisor = r.ReserveResumed, resumeReserveWaitDivisor
	}
	if r.route.LatencyObjective > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.ReserveWait(r.org.Name, max(r.route.LatencyObjective/divisor, minReserveWait)))
		defer cancel()
	}
	reservation, err := reserve(ctx, r.org.Name, need)
	if err != nil {
		return codes.From(err, codes.NotRun)
	}
	r.reservation, r.Reserved = reservation, reservation.Tokens
	return nil
}

// settle bills the tokens that the caller received: the prompt once, if an answer to it has begun, and
// the output by the number of forwarded events.
func (r *relayedRequest) settle() {
	switch {
	case r.req.Prompt == nil:
	case r.answered():
		output := int64(r.Events) * int64(r.eventTokens[r.Service])
		r.Spent = r.req.Prompt.Tokens + min(output, r.req.Prompt.MaxOutput)
	case r.mayHaveRun:
		r.Unanswered = r.req.Prompt.Tokens
	}
	r.Settle(r.reservation, r.Spent)
}

// answered reports whether the caller has received a part of a successful answer.
func (r *relayedRequest) answered() bool {
	return r.headSent && r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// Retry-after times of refusals. They are well below a third of the callers' timeout, so that
// callers can retry within it.
const (
	retryAfterNotReady = 500 * time.Millisecond
	retryAfterShed     = 100 * time.Millisecond
)

// attemptUntilResponse sends the request to targets until one responds or no further attempt is
// allowed. It returns the refusal for the caller, nil if the caller received a target's response.
func (r *relayedRequest) attemptUntilResponse(ctx context.Context) *codes.Error {
	for {
		if len(r.inFlight) == 0 {
			a, err := r.begin(ctx)
			if err != nil {
				return r.pickRefusal(err)
			}
			r.inFlight = append(r.inFlight, a)
			r.expect(r.headBound())
		}
		s := r.nextStep(ctx)
		a := s.attempt
		a.finished = s.isLast()
		complete, failed := r.handle(ctx, a, s)
		switch {
		case complete:
			r.succeed(a)
			return nil
		case failed == nil:
			continue
		case failed.Refusal != nil && len(r.inFlight) == 1:
			a.end()
			r.inFlight = nil
			return r.pickRefusal(failed.Refusal)
		}
		r.fail(ctx, a, failed)
		if len(r.inFlight) > 0 {
			continue
		}
		if r.isOver(ctx) || failed.Kind == Cancelled {
			return r.interruptionRefusal(ctx, failed)
		}
		if !r.mayRetry(failed) {
			return r.giveUp(failed)
		}
	}
}

// pickRefusal returns the refusal if no target could be chosen, nil if the fallback was sent instead.
func (r *relayedRequest) pickRefusal(err error) *codes.Error {
	if r.hasFallback() {
		r.sendFallback()
		return nil
	}
	refused := *codes.From(err, codes.NotRun)
	if !r.mayHaveRun {
		return &refused
	}
	return r.giveUp(&AttemptError{Kind: Unreachable, Sent: true, Err: err})
}

// isOver reports whether the request has ended, or no further attempt may be made: targets end their work at the deadline.
func (r *relayedRequest) isOver(ctx context.Context) bool {
	return ctx.Err() != nil || !r.Now().Before(r.deadline)
}

// interruptionRefusal returns the refusal of a request that timed out or whose caller disconnected,
// nil if the fallback was sent instead.
func (r *relayedRequest) interruptionRefusal(ctx context.Context, failed *AttemptError) *codes.Error {
	ended := ctx.Err() != nil // The context may end in between; its cause is set if its error is.
	timedOut := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	if failed.Kind == Cancelled && errors.Is(failed.Err, memory.ErrUsedUp) && !timedOut {
		r.endedBy(ByProcess)
		return &codes.Error{Code: codes.AnswerCut, Run: r.execution(), Detail: "the caller did not read its response while memory was short", Err: failed}
	}
	if !ended && failed.Kind != Cancelled || timedOut {
		if r.hasFallback() {
			r.sendFallback()
			return nil
		}
		return r.timeoutRefusal()
	}
	r.CallerGone = true
	r.endedBy(ByCaller)
	return &codes.Error{Code: codes.AnswerCut, Run: r.execution(), Detail: "the caller disconnected before its response was complete"}
}

// timeoutRefusal returns the refusal of a request that timed out. It states that the request did
// not run if that is certain.
func (r *relayedRequest) timeoutRefusal() *codes.Error {
	r.endedBy(ByDeadline)
	switch {
	case !r.mayHaveRun:
		return codes.Refuse(codes.Overloaded, retryAfterShed, "no target accepted the request before its deadline")
	case r.unrecorded:
		r.endedBy(ByProcess)
		return &codes.Error{Code: codes.OriginUnrecorded, Run: r.execution(), Detail: "the request reached its deadline", Err: origin.ErrNotRecorded}
	}
	return &codes.Error{Code: codes.TargetSilent, Run: r.execution(), Detail: "the request reached its deadline"}
}

// execution returns whether the request was executed.
func (r *relayedRequest) execution() codes.Run {
	switch {
	case r.headSent:
		return codes.Ran
	case r.mayHaveRun:
		return codes.Unknown
	default:
		return codes.NotRun
	}
}

// maxUnreachableTargets is the maximum number of targets that one request tries without a connection.
// After that the service counts as unreachable.
const maxUnreachableTargets = 4

// mayRetry reports whether another attempt may follow a failed one.
func (r *relayedRequest) mayRetry(failed *AttemptError) bool {
	r.RetryDenied = r.denyRetry(failed)
	return r.RetryDenied == ""
}

// denyRetry returns why no attempt may follow a failed one; empty if one may.
func (r *relayedRequest) denyRetry(failed *AttemptError) Denial {
	switch {
	case !failed.Sent && r.Attempts-r.SentFailures < maxUnreachableTargets:
		return ""
	case !failed.Sent:
		return DeniedUnreachable
	case r.SentFailures >= max(r.route.MaxAttempts, 1):
		return DeniedAttempts
	case r.mayHaveRun && !r.route.Retryable() || !r.canContinue():
		return DeniedRepeat
	case !r.takeRetry():
		return DeniedWindow
	default:
		return ""
	}
}

// canContinue reports whether the answer of another target may follow what was forwarded.
func (r *relayedRequest) canContinue() bool { return !r.headSent || r.joinable }

// giveUp returns the refusal after the last attempt, nil if the fallback was sent instead.
func (r *relayedRequest) giveUp(failed *AttemptError) *codes.Error {
	if r.hasFallback() {
		r.sendFallback()
		return nil
	}
	if !r.mayHaveRun {
		code := codes.Overloaded
		if failed.Kind == Unreachable {
			code = codes.NoTarget
		}
		return codes.Refuse(code, retryAfterShed, "%d attempts, the last one failed: %v", r.Attempts, failed)
	}
	r.endedBy(ByTarget)
	if failed.Kind == Unrecorded {
		r.endedBy(ByProcess)
	}
	code := codes.TargetFailed
	switch {
	case r.headSent:
		code = codes.AnswerCut
	case failed.Kind == Silent:
		code = codes.TargetSilent
	}
	return &codes.Error{Code: code, Run: r.execution(), Detail: fmt.Sprintf("%d attempts, the last one failed", r.Attempts), Err: failed}
}

// beginAnswer records that the head of the answer is sent, its status and the time to its first byte.
func (r *relayedRequest) beginAnswer(status int) {
	r.headSent, r.Status = true, status
	r.TimeToFirstByte = r.Now().Sub(r.req.Arrived)
}

// sendBuffered sends the complete response of an attempt to the caller. The error means that the attempt was ended to release memory.
func (r *relayedRequest) sendBuffered(a *attempt, response *bufferedResponse) *AttemptError {
	if a.memory.Ended() {
		return usedUpError()
	}
	r.beginAnswer(response.status)
	r.sink.Head(response.status, response.header, int64(len(response.body)))
	if len(response.body) == 0 {
		return nil
	}
	failed := r.write(a, response.body)
	if failed != nil && !errors.Is(failed, memory.ErrUsedUp) {
		r.CallerGone, failed = true, nil
		r.endedBy(ByCaller)
	}
	return failed
}

// sendFallback sends the error response that was kept to the caller.
func (r *relayedRequest) sendFallback() {
	r.beginAnswer(r.fallback.status)
	r.sink.Head(r.fallback.status, r.fallback.header, int64(len(r.fallback.body)))
	if len(r.fallback.body) > 0 && r.sink.Write(r.fallback.body) != nil {
		r.CallerGone = true
		r.endedBy(ByCaller)
	}
}

// isEOF reports whether a body is complete.
func isEOF(err error) bool { return err == io.EOF } //nolint:errorlint // Read returns io.EOF itself
