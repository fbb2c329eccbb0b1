// Package serve processes one model request from its reservation to its usage: it chooses a
// target, relays frames, resumes or retries failed attempts, and reports what the
// request used. It performs no I/O itself.
package serve

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/memory"
	"cranberryrail/core/poison"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

// Kind is the reason why an attempt failed; the values are those of the target client.
type Kind string

// Kinds of failures that are handled differently.
const (
	Refused      Kind = "refused"
	Leaving      Kind = "leaving"
	Full         Kind = "full"
	UnknownModel Kind = "unknown_model"
	Silent       Kind = "silent"
	Crossed      Kind = "crossed"
	Cancelled    Kind = "cancelled"
)

// AttemptError is the failure of one attempt.
type AttemptError struct {
	Kind Kind
	// NotRun reports that the target certainly did not run the request.
	NotRun bool
	Err    error
}

// Error implements the error interface.
func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %v", e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// AsAttemptError returns err as an *AttemptError. An error of another type becomes one whose outcome is
// unknown.
func AsAttemptError(err error) *AttemptError {
	var e *AttemptError
	if errors.As(err, &e) {
		return e
	}
	return &AttemptError{Kind: "failed", Err: err}
}

// Call is the call of one attempt to an engine.
type Call struct {
	RequestID  string
	Attempt    int
	Model      string
	Version    string
	Priority   int
	Prompt     string
	MaxTokens  int
	ResumeFrom int
	// MayGiveUp reports whether an attempt at a target that has sent nothing for as long as it may be silent is to end; otherwise it goes on for as
	// long again. It is called while Open or Next waits.
	MayGiveUp func() bool
}

// Frame is one token, or the end of the response.
type Frame struct {
	Position         int
	Text             string
	Final            bool
	FinishReason     string
	PromptTokens     int
	CompletionTokens int
}

// Stream is the response stream of an attempt. Next returns only frames that belong to the call, in
// order, then io.EOF after the final one; or an *AttemptError.
type Stream struct {
	Next  func() (Frame, error)
	Close func()
}

// Request is a model request whose tokens are reserved.
type Request struct {
	Call
	// Route holds the criteria by which the target is chosen.
	Route route.Request
}

// Usage is the usage of a request, and how it ended.
type Usage struct {
	// PromptTokens and CompletionTokens are the tokens to bill.
	PromptTokens, CompletionTokens int
	FinishReason                   string
	// Attempts counts the dispatches.
	Attempts int
	// Target is the id of the last target.
	Target string
}

// Tokens returns the total number of tokens to bill.
func (u Usage) Tokens() int64 { return int64(u.PromptTokens + u.CompletionTokens) }

// Bounds of one request.
const (
	// MaxAttempts is the maximum number of dispatches of one request, and the number of times that a target may be silent for, one after the other.
	MaxAttempts = 4
	// CancelTimeout bounds the call that cancels an attempt at an engine.
	CancelTimeout = time.Second
)

// Server serves model requests. Exported fields must be set before the first call; it is
// safe for concurrent use if its functions are.
type Server struct {
	// Pick chooses a target; each choice ends with Done.
	Pick func(r route.Request) (route.Choice, error)
	// Done reports the outcome of a choice.
	Done func(token int64, o route.Outcome)
	// Retry takes one retry from an organisation's budget and reports whether the budget allowed it.
	Retry func(organisation string) bool
	// Open sends a call to a target.
	Open func(ctx context.Context, addr string, c Call) (Stream, error)
	// Cancel cancels an attempt at a target; it must not block.
	Cancel func(addr string, c Call)
	// OnLeaving is called with the incarnation of a target that refused a call because it is leaving.
	OnLeaving func(incarnation string)
	// Crashes decides whether requests like one may be sent, by the targets that have crashed under them; optional.
	Crashes *poison.Tracker
	// Abandoned watches targets that may still run an abandoned request; optional.
	Abandoned *poison.Watcher
	// HasCrashed reports whether the process of a target has ended, after an attempt at it failed. It is set if Crashes is.
	HasCrashed func(ctx context.Context, t roster.Target) bool
	// OnAttemptFailed is called for each failed attempt; optional.
	OnAttemptFailed func(t roster.Target, c Call, err *AttemptError)
}

// generation is the state of one request.
type generation struct {
	server *Server
	req    Request
	emit   func(Frame) error
	usage  Usage
	// nextPosition is the position of the next token to relay.
	nextPosition int
	// traits are what the request has in common with others, and pass the admission of the last attempt.
	traits poison.Traits
	pass   *poison.Pass
	// mayHaveRun is set when a target may have started the request.
	mayHaveRun bool
	// pinned is the target that holds the response for a resume, set once a token was relayed.
	pinned *roster.Target
	// resumedFrom is the position from which the last attempt started.
	resumedFrom int
	// silences counts how often the request waited for as long as a target may be silent, since its last token.
	silences int
	// permitted is set if the retry budget has allowed the next attempt, and next is that attempt if it was admitted while the one before was silent.
	permitted bool
	next      *admission
}

// admission is an attempt that may be made: its target, and the pass of requests that crash targets.
type admission struct {
	choice route.Choice
	pass   *poison.Pass
}

// Generate serves a request. It calls emit with each frame in order; an error of emit
// means that the caller disconnected. The returned usage is to be billed even when the
// error is not nil. The error is a *codes.Error.
func (s *Server) Generate(ctx context.Context, req Request, emit func(Frame) error) (Usage, error) {
	r := &generation{server: s, req: req, emit: emit, traits: req.traits()}
	defer func() {
		r.dropNext()
		r.pass.End()
	}()
	for {
		failed, err := r.attempt(ctx)
		if err == nil && failed == nil {
			return r.usage, nil
		}
		if err == nil {
			err = r.checkRetry(ctx, failed)
		}
		if err != nil {
			return r.usage, err
		}
	}
}

// attempt makes one dispatch. It returns an *AttemptError when another attempt may follow, and
// an error when the request has ended.
func (r *generation) attempt(ctx context.Context) (*AttemptError, error) {
	choice, err := r.choose(ctx)
	if err != nil {
		return nil, err
	}
	call := r.req.Call
	call.MayGiveUp = func() bool { return r.mayGiveUp(ctx, choice.Target) }
	call.Attempt += r.usage.Attempts
	call.ResumeFrom = r.nextPosition
	r.resumedFrom = r.nextPosition
	call.Version = versionFor(choice.Target, call)
	r.usage.Attempts++
	r.usage.Target = choice.Target.ID
	err = r.relay(ctx, choice.Target, call)
	var failed *AttemptError
	if err == nil || !errors.As(err, &failed) || failed.Kind != Refused {
		r.pass.Sent()
	}
	if err == nil || !errors.As(err, &failed) {
		r.server.Done(choice.DispatchID, finalOutcome(err))
		if err == nil {
			r.pass.Answered()
		} else {
			r.server.Abandoned.Add(choice.Target, r.pass, r.nextPosition-r.resumedFrom >= answerTokens)
		}
		return nil, err
	}
	r.server.Done(choice.DispatchID, failed.Outcome())
	r.recordFailure(choice.Target, call, failed)
	r.reportCrash(ctx, choice.Target, failed)
	return failed, nil
}

// reportCrash reports a target that crashed during an attempt. If the target may still run the request, for example because the caller disconnected,
// the target is watched.
func (r *generation) reportCrash(ctx context.Context, t roster.Target, failed *AttemptError) {
	answerBegan := r.nextPosition-r.resumedFrom >= answerTokens
	switch {
	case r.server.Crashes == nil || failed.NotRun || failed.Kind == Refused:
	case ctx.Err() == nil && r.server.HasCrashed(ctx, t):
		r.pass.Crashed(t.Incarnation, answerBegan)
	default:
		r.server.Abandoned.Add(t, r.pass, answerBegan)
	}
}

// answerTokens is the number of tokens after which a target has begun the answer: one that crashes afterwards does not crash because of
// the beginning of the prompt.
const answerTokens = 3

// traits returns what the request has in common with others: the prefix of its prompt, and all of it.
func (r Request) traits() poison.Traits {
	request := poison.RequestTrait([]byte(r.Prompt), r.Model)
	return poison.Traits{
		Parts:   []poison.Trait{poison.PartTrait(r.Model, r.Route.Prefix)}, // without a label, since it is the text of a caller
		Request: request, Caller: poison.CallerTrait(r.Route.Organisation, request),
	}
}

// choose admits the next attempt and returns its target. The error is the final one of the request.
func (r *generation) choose(ctx context.Context) (route.Choice, error) {
	r.permitted = false
	if next := r.next; next != nil && (r.pinned == nil || next.choice.Target.ID == r.pinned.ID) {
		r.next, r.pass = nil, next.pass
		return next.choice, nil
	}
	r.dropNext()
	if err := r.admit(ctx); err != nil {
		return route.Choice{}, err
	}
	choice, err := r.pick()
	if err != nil {
		return choice, r.pickError(err)
	}
	return choice, nil
}

// mayGiveUp reports whether an attempt at a silent target t is to end: a further one is admitted, or the request has waited for as long as all attempts may
// take. The silent target may be the only one that can complete the response.
func (r *generation) mayGiveUp(ctx context.Context, t roster.Target) bool {
	r.silences++
	return r.silences >= MaxAttempts || r.prepareNext(ctx, t)
}

// prepareNext admits another attempt while the one at t goes on, and reports whether it could.
func (r *generation) prepareNext(ctx context.Context, t roster.Target) bool {
	if r.next != nil {
		return true
	}
	silent := &AttemptError{Kind: Silent}
	if r.usage.Attempts >= MaxAttempts || r.resumeFailed(silent) || !r.permit() {
		return false
	}
	pass, err := r.server.Crashes.Admit(ctx, r.traits)
	if err != nil {
		return false
	}
	choice, err := r.pick(t.ID)
	if err != nil {
		pass.End()
		return false
	}
	r.next = &admission{choice, pass}
	return true
}

// permit takes a retry from the organisation's budget, unless the next attempt has one, and reports whether there was one.
func (r *generation) permit() bool {
	r.permitted = r.permitted || r.server.Retry(r.req.Route.Organisation)
	return r.permitted
}

// dropNext ends the admission of an attempt that is not made.
func (r *generation) dropNext() {
	if r.next == nil {
		return
	}
	r.server.Done(r.next.choice.DispatchID, route.Cancelled)
	r.next.pass.End()
	r.next = nil
}

// admit admits the next attempt unless similar requests have crashed targets. The error is the final one of the request.
func (r *generation) admit(ctx context.Context) error {
	pass, err := r.server.Crashes.Admit(ctx, r.traits)
	r.pass = pass
	var quarantined *poison.QuarantineError
	switch {
	case err == nil:
		return nil
	case r.mayHaveRun || !errors.As(err, &quarantined):
		return r.finalError(AsAttemptError(err))
	default:
		return codes.Refuse(codes.CrashesTargets, quarantined.RetryAfter, "%v", quarantined)
	}
}

// versionFor returns the version to request from a target: that of the call, or the first version
// of the model that the target serves.
func versionFor(t roster.Target, call Call) string {
	if call.Version != "" {
		return call.Version
	}
	for _, m := range t.Models {
		if m.Model == call.Model {
			return m.Version
		}
	}
	return ""
}

// pick chooses a target other than those with the ids in avoid, if there is one. Once a token was relayed, it restricts the choice to the target that holds the response for
// a resume, and raises the priority above requests that have not started.
func (r *generation) pick(avoid ...string) (route.Choice, error) {
	request := r.req.Route
	if r.pinned == nil {
		request.Avoid = slices.Concat(request.Avoid, avoid)
		return r.server.Pick(request)
	}
	request.Only, request.Shares, request.Avoid, request.Priority = r.pinned, nil, nil, route.TopPriority
	return r.server.Pick(request)
}

// relay sends the call to the target and relays the frames of its response.
func (r *generation) relay(ctx context.Context, t roster.Target, call Call) error {
	stream, err := r.server.Open(ctx, t.Addr, call)
	if err != nil {
		return AsAttemptError(err)
	}
	defer stream.Close()
	r.mayHaveRun = true
	for {
		f, err := stream.Next()
		if err != nil {
			return AsAttemptError(err)
		}
		r.recordFrame(t, f)
		if err := r.emit(f); err != nil {
			r.server.Cancel(t.Addr, call)
			return &codes.Error{Code: codes.AnswerCut, Run: codes.Ran, Detail: "the caller disconnected or read too slowly", Err: err}
		}
		if f.Final {
			return nil
		}
	}
}

// recordFrame updates the usage and the next position with a frame, and pins the generation to the target t. The final
// frame only sets the usage and the finish reason that the engine reports.
func (r *generation) recordFrame(t roster.Target, f Frame) {
	if f.Final {
		r.usage.PromptTokens, r.usage.CompletionTokens = f.PromptTokens, f.CompletionTokens
		r.usage.FinishReason = f.FinishReason
		return
	}
	r.nextPosition = f.Position + 1
	r.silences = 0
	r.usage.CompletionTokens = r.nextPosition
	if r.nextPosition-r.resumedFrom == answerTokens {
		r.pass.AnswerBegan()
	}
	r.pinned = &t
}

// recordFailure updates the state after a failed attempt and cancels the attempt at a target that may still run it.
func (r *generation) recordFailure(t roster.Target, call Call, failed *AttemptError) {
	if !failed.NotRun {
		r.mayHaveRun = true
		if failed.Kind != Refused {
			r.server.Cancel(t.Addr, call)
		}
	}
	if failed.Kind == Leaving {
		r.server.OnLeaving(t.Incarnation)
	}
	r.req.Route.Avoid = append(r.req.Route.Avoid, t.ID)
	if r.server.OnAttemptFailed != nil {
		r.server.OnAttemptFailed(t, call, failed)
	}
}

// checkRetry returns nil when another attempt follows, and the final error otherwise.
func (r *generation) checkRetry(ctx context.Context, failed *AttemptError) error {
	switch {
	case ctx.Err() != nil:
		return &codes.Error{Code: codes.AnswerCut, Run: r.runState(), Detail: "the caller disconnected before the response was complete", Err: failed}
	case r.usage.Attempts >= MaxAttempts, r.silences >= MaxAttempts, r.resumeFailed(failed):
		return r.finalError(failed)
	case r.next == nil && !r.permit():
		return r.finalError(failed)
	}
	return nil
}

// resumeFailed reports whether the last attempt showed that the response can't be resumed: the
// target refused the resume, or sent nothing on a new connection.
func (r *generation) resumeFailed(failed *AttemptError) bool {
	if r.resumedFrom == 0 || r.nextPosition > r.resumedFrom {
		return false
	}
	return failed.NotRun || failed.Kind == Silent
}

// runState returns whether the request was executed.
func (r *generation) runState() codes.Run {
	switch {
	case r.nextPosition > 0:
		return codes.Ran
	case r.mayHaveRun:
		return codes.Unknown
	default:
		return codes.NotRun
	}
}

// finalError returns the final error of a request whose last attempt failed.
func (r *generation) finalError(failed *AttemptError) error {
	e := &codes.Error{Code: codes.TargetFailed, Run: r.runState(), RetryAfter: time.Second, Err: failed,
		Detail: fmt.Sprintf("%d attempts failed; retry the request with the same id", r.usage.Attempts)}
	switch {
	case r.nextPosition > 0:
		e.Code = codes.AnswerCut
	case failed.Kind == Silent:
		e.Code = codes.TargetSilent
	case failed.Kind == Full && !r.mayHaveRun:
		e.Code = codes.Overloaded
	}
	return e
}

// pickError returns the final error when no target could be chosen.
func (r *generation) pickError(err error) error {
	e := *codes.From(err, codes.NotRun)
	e.Run = r.runState()
	switch {
	case r.nextPosition > 0:
		e.Code = codes.AnswerCut
	case r.mayHaveRun:
		e.Code = codes.TargetFailed
	}
	return &e
}

// finalOutcome returns the outcome of an attempt that ended the request.
func finalOutcome(err error) route.Outcome {
	if err == nil {
		return route.OK
	}
	return route.Cancelled
}

// Outcome returns the outcome that the failure counts as for the health of the target.
func (e *AttemptError) Outcome() route.Outcome {
	if errors.Is(e.Err, memory.ErrUsedUp) {
		return route.UsedUp
	}
	switch e.Kind {
	case Silent:
		return route.Silent
	case Full:
		return route.Shed
	case Refused, Crossed:
		return route.Failed
	case Leaving, UnknownModel:
		return route.Refused
	case Cancelled:
		return route.Cancelled
	default:
		return route.Failed
	}
}
