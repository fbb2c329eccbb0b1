// Package serve carries one model request from its grant to its bill: it chooses a
// target, relays frames, resumes or retries what broke off, and tells what the
// request used. It holds no sockets.
package serve

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

// Kind tells why an attempt failed; the values are those of the target client.
type Kind string

// Kinds of failures that are told apart.
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
	// NotRun tells that the target certainly did not run the request.
	NotRun bool
	Err    error
}

// Error implements the error interface.
func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %v", e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// AsAttempt returns err as an *AttemptError; the outcome of an error of another type is
// not known.
func AsAttempt(err error) *AttemptError {
	var e *AttemptError
	if errors.As(err, &e) {
		return e
	}
	return &AttemptError{Kind: "failed", Err: err}
}

// Call is one attempt at an engine.
type Call struct {
	RequestID  string
	Attempt    int
	Model      string
	Version    string
	Priority   int
	Prompt     string
	MaxTokens  int
	ResumeFrom int
}

// Frame is one token, or the end of the answer.
type Frame struct {
	Position         int
	Text             string
	Final            bool
	FinishReason     string
	PromptTokens     int
	CompletionTokens int
}

// Stream is an open attempt. Next returns only frames that belong to the call and come
// in order, io.EOF after the final one, or an *AttemptError.
type Stream struct {
	Next  func() (Frame, error)
	Close func()
}

// Request is a model request that was granted its tokens.
type Request struct {
	Call
	// Route is what the target is chosen by.
	Route route.Request
}

// Usage is what a request used, and how it ended.
type Usage struct {
	// PromptTokens and CompletionTokens are billed.
	PromptTokens, CompletionTokens int
	FinishReason                   string
	// Attempts counts the dispatches.
	Attempts int
	// Target is the id of the last target.
	Target string
}

// Tokens returns the tokens to bill.
func (u Usage) Tokens() int64 { return int64(u.PromptTokens + u.CompletionTokens) }

// Bounds of one request.
const (
	// MaxAttempts is the most dispatches of one request.
	MaxAttempts = 4
	// CancelTimeout bounds the order to an engine to end an attempt.
	CancelTimeout = time.Second
)

// Server serves model requests. Exported fields are set before the first call; it is
// safe for concurrent use when its functions are.
type Server struct {
	// Pick chooses a target; each choice ends with Done.
	Pick func(r route.Request) (route.Choice, error)
	// Done gives the outcome of a choice.
	Done func(token int64, o route.Outcome)
	// Retry spends one retry of an organisation's budget.
	Retry func(organisation string) bool
	// Open sends a call to a target.
	Open func(ctx context.Context, addr string, c Call) (Stream, error)
	// Cancel orders a target to end an attempt; it must not block.
	Cancel func(addr string, c Call)
	// Left is told of the incarnation of a target that said it is leaving.
	Left func(incarnation string)
	// Broke is told of each attempt that failed; optional.
	Broke func(t roster.Target, c Call, err *AttemptError)
}

// run is the state of one request.
type run struct {
	server *Server
	req    Request
	emit   func(Frame) error
	usage  Usage
	// position is the next position to relay.
	position int
	// ran tells that a target may have started the request.
	ran bool
	// pinned is the target that holds the kept answer once a token was relayed.
	pinned *roster.Target
	// resumed is the position from which the last attempt started.
	resumed int
}

// Generate serves a request. It calls emit with each frame in order; an error of emit
// means that the caller is gone. The returned usage is what to bill, also when the
// error is not nil. The error is a *codes.Error.
func (s *Server) Generate(ctx context.Context, req Request, emit func(Frame) error) (Usage, error) {
	r := &run{server: s, req: req, emit: emit}
	for {
		failed, err := r.attempt(ctx)
		if err == nil && failed == nil {
			return r.usage, nil
		}
		if err == nil {
			err = r.next(ctx, failed)
		}
		if err != nil {
			return r.usage, err
		}
	}
}

// attempt makes one dispatch. It returns an *AttemptError when another may follow, and
// an error when the request has ended.
func (r *run) attempt(ctx context.Context) (*AttemptError, error) {
	choice, err := r.pick()
	if err != nil {
		return nil, r.refusal(err)
	}
	call := r.req.Call
	call.Attempt += r.usage.Attempts
	call.ResumeFrom = r.position
	r.resumed = r.position
	call.Version = versionAt(choice.Target, call)
	r.usage.Attempts++
	r.usage.Target = choice.Target.ID
	err = r.relay(ctx, choice.Target, call)
	var failed *AttemptError
	if err == nil || !errors.As(err, &failed) {
		r.server.Done(choice.Token, outcome(err))
		return nil, err
	}
	r.server.Done(choice.Token, failed.Outcome())
	r.note(choice.Target, call, failed)
	return failed, nil
}

// versionAt returns the version to ask a target for: that of the call, or the first one
// of the model that the target serves.
func versionAt(t roster.Target, call Call) string {
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

// pick chooses a target. Once a token was relayed it is the one that holds the kept
// answer, and the request goes before those that have not begun.
func (r *run) pick() (route.Choice, error) {
	if r.pinned == nil {
		return r.server.Pick(r.req.Route)
	}
	request := r.req.Route
	request.Only, request.Shares, request.Avoid, request.Priority = r.pinned, nil, nil, route.TopPriority
	return r.server.Pick(request)
}

// relay passes the frames of one attempt on.
func (r *run) relay(ctx context.Context, t roster.Target, call Call) error {
	stream, err := r.server.Open(ctx, t.Addr, call)
	if err != nil {
		return AsAttempt(err)
	}
	defer stream.Close()
	r.ran = true
	for {
		f, err := stream.Next()
		if err != nil {
			return AsAttempt(err)
		}
		r.count(t, f)
		if err := r.emit(f); err != nil {
			r.server.Cancel(t.Addr, call)
			return &codes.Error{Code: codes.AnswerCut, Run: codes.Ran, Detail: "the caller is gone", Err: err}
		}
		if f.Final {
			return nil
		}
	}
}

// count notes what a frame adds to the usage.
func (r *run) count(t roster.Target, f Frame) {
	if f.Final {
		r.usage.PromptTokens, r.usage.CompletionTokens = f.PromptTokens, f.CompletionTokens
		r.usage.FinishReason = f.FinishReason
		return
	}
	r.position = f.Position + 1
	r.usage.CompletionTokens = r.position
	r.pinned = &t
}

// note takes in what a failed attempt tells.
func (r *run) note(t roster.Target, call Call, failed *AttemptError) {
	if !failed.NotRun {
		r.ran = true
		if failed.Kind != Refused {
			r.server.Cancel(t.Addr, call)
		}
	}
	if failed.Kind == Leaving {
		r.server.Left(t.Incarnation)
	}
	r.req.Route.Avoid = append(r.req.Route.Avoid, t.ID)
	if r.server.Broke != nil {
		r.server.Broke(t, call, failed)
	}
}

// next decides whether another attempt follows; it returns the final error otherwise.
func (r *run) next(ctx context.Context, failed *AttemptError) error {
	switch {
	case ctx.Err() != nil:
		return &codes.Error{Code: codes.AnswerCut, Run: r.state(), Detail: "the caller is gone", Err: failed}
	case r.usage.Attempts >= MaxAttempts, r.lost(failed):
		return r.giveUp(failed)
	case !r.server.Retry(r.req.Route.Organisation):
		return r.giveUp(failed)
	}
	return nil
}

// lost reports whether the last attempt showed that the kept answer is out of reach: the
// target turned a resume away, or was silent on a connection that was new.
func (r *run) lost(failed *AttemptError) bool {
	if r.resumed == 0 || r.position > r.resumed {
		return false
	}
	return failed.NotRun || failed.Kind == Silent
}

// state tells whether the request was executed.
func (r *run) state() codes.Run {
	switch {
	case r.position > 0:
		return codes.Ran
	case r.ran:
		return codes.Unknown
	default:
		return codes.NotRun
	}
}

// giveUp returns the final error of a request whose last attempt failed.
func (r *run) giveUp(failed *AttemptError) error {
	e := &codes.Error{Code: codes.TargetFailed, Run: r.state(), RetryAfter: time.Second, Err: failed,
		Detail: fmt.Sprintf("%d attempts failed; send the request again with the same id", r.usage.Attempts)}
	switch {
	case r.position > 0:
		e.Code = codes.AnswerCut
	case failed.Kind == Silent:
		e.Code = codes.TargetSilent
	case failed.Kind == Full:
		e.Code = codes.Overloaded
	}
	return e
}

// refusal returns the final error when no target could be chosen.
func (r *run) refusal(err error) error {
	e := *codes.From(err, codes.NotRun)
	e.Run = r.state()
	if r.position > 0 {
		e.Code = codes.AnswerCut
	}
	return &e
}

// outcome returns the outcome of an attempt that ended the request.
func outcome(err error) route.Outcome {
	if err == nil {
		return route.OK
	}
	return route.Cancelled
}

// Outcome returns what the failure tells about the health of the target.
func (e *AttemptError) Outcome() route.Outcome {
	switch e.Kind {
	case Silent:
		return route.Silent
	case Full:
		return route.Full
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
