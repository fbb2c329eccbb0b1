package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/once"
	"cranberryrail/core/poison"
	"cranberryrail/core/route"
	"cranberryrail/core/serve"
)

// Call is a call to a plain service.
type Call struct {
	Operation string
	Key       string
	Header    http.Header
	Body      []byte
}

// Reply is the complete response of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// callService makes a non-idempotent call, at most once per idempotency key.
func (s *Server) callService(w http.ResponseWriter, r *http.Request) {
	t, refused := s.authenticate(r)
	if refused != nil {
		writeError(w, r.Header.Get(headerRequestID), refused)
		return
	}
	refused = s.withLimits(t, func() *codes.Error { return s.callOnce(w, r, t) })
	if refused != nil {
		writeError(w, r.Header.Get(headerRequestID), refused)
	}
	s.OnServed(Outcome{Organisation: t.Organisation, Priority: t.Priority, CallerGone: r.Context().Err() != nil, Err: refused})
}

// callOnce validates a call, claims its key and dispatches the call if the claim was won.
func (s *Server) callOnce(w http.ResponseWriter, r *http.Request, t conf.Template) *codes.Error {
	name := r.PathValue("service")
	key := r.Header.Get(headerIdempotencyKey)
	if key == "" {
		return codes.Refuse(codes.KeyMissing, 0, "header %s is missing; send a key of your choice, the same in every retry", headerIdempotencyKey)
	}
	if err := checkID(headerIdempotencyKey, key); err != nil {
		return err
	}
	if op := r.PathValue("operation"); op == "." || op == ".." {
		return codes.Refuse(codes.BadRequest, 0, "the operation %q is not a valid name; use the name of an operation of the service", op)
	}
	if !slices.Contains(t.Services, name) {
		return codes.Refuse(codes.NotAllowed, 0, "organisation %s is not allowed to call service %q; ask an operator to add it to the organisation's template", t.Organisation, name)
	}
	data, refused := s.readBody(w, r)
	if refused != nil {
		return refused
	}
	call := Call{Operation: r.PathValue("operation"), Key: t.Organisation + "/" + key, Header: forwardedHeader(r), Body: data}
	kind := name + "/" + call.Operation
	if refused := s.refuseStopping(s.CallLimit, kind); refused != nil {
		return refused // The key is not claimed, so that the retry can use it.
	}
	span := s.spans.Begin(kind, time.Now())
	defer func() { span.End(time.Now()) }()
	replica := s.Once(call.Key)
	claim, err := replica.Claim(call.Key, callDigest(name, call))
	switch {
	case err != nil:
		return codes.From(err, codes.NotRun)
	case claim.Refused != nil:
		return claim.Refused
	case claim.Replay != nil:
		c := claim.Replay
		writeReply(w, Reply{Status: c.Status, ContentType: c.ContentType, Body: c.Body}, true)
		return nil
	}
	return s.dispatchCall(w, r, replica, t, name, call)
}

// forwardedHeader returns the headers that are forwarded to a plain service.
func forwardedHeader(r *http.Request) http.Header {
	h := http.Header{}
	if ct := r.Header.Get("Content-Type"); ct != "" {
		h.Set("Content-Type", ct)
	}
	return h
}

// callDigest returns a hash of the service, the operation and the body of a call.
func callDigest(service string, c Call) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s\x00%s\x00", service, c.Operation)
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// dispatchCall dispatches a call whose claim this instance has won, and records the claim's outcome.
func (s *Server) dispatchCall(w http.ResponseWriter, r *http.Request, replica *once.Replica, t conf.Template, name string, call Call) *codes.Error {
	if r.Context().Err() != nil {
		replica.Void(call.Key)
		return codes.Refuse(codes.ClaimVoided, 0, "the caller disconnected before the call was dispatched; the call was not made")
	}
	// A dispatched call runs to completion even if the caller disconnects.
	reply, failed := s.tryTargets(context.WithoutCancel(r.Context()), t, name, call)
	switch {
	case failed == nil:
		s.recordResult(replica, call, reply)
		writeReply(w, reply, false)
		return nil
	case failed.Run == codes.NotRun:
		replica.Void(call.Key)
	default:
		replica.MarkInDoubt(call.Key)
	}
	return failed
}

// tryTargets sends the call to one target after another until one may have run it.
func (s *Server) tryTargets(ctx context.Context, t conf.Template, name string, call Call) (Reply, *codes.Error) {
	pass, refused := s.admitCall(ctx, t.Organisation, name, call)
	if refused != nil {
		return Reply{}, refused
	}
	defer pass.End()
	request := route.Request{Organisation: t.Organisation, Service: name, Priority: t.Priority}
	var lastErr error
	for range serve.MaxAttempts {
		choice, err := s.Route.Pick(request)
		if err != nil {
			return Reply{}, codes.From(err, codes.NotRun)
		}
		reply, err := s.CallService(ctx, choice.Target, call)
		if err == nil {
			s.Route.Done(choice.DispatchID, route.OK)
			pass.Sent()
			if reply.Status < http.StatusMultipleChoices {
				pass.Answered()
			}
			return reply, nil
		}
		failed := serve.AsAttemptError(err)
		s.Route.Done(choice.DispatchID, failed.Outcome())
		if !failed.NotRun {
			pass.Sent()
			if s.Crashes != nil && s.HasCrashed(ctx, choice.Target) {
				pass.Crashed(choice.Target.Incarnation, false)
			} else {
				s.Abandoned.Add(choice.Target, pass, false)
			}
			return Reply{}, &codes.Error{Code: codes.OutcomeUnknown, Run: codes.Unknown, Err: err,
				Detail: "the call was sent but no complete response was received; ask the service whether the call took effect; it will not be sent again"}
		}
		if failed.Kind == serve.Leaving {
			s.Route.MarkLeaving(choice.Target.Incarnation)
		}
		request.Avoid = append(request.Avoid, choice.Target.ID)
		lastErr = err
	}
	return Reply{}, &codes.Error{Code: codes.TargetFailed, Run: codes.NotRun, RetryAfter: time.Second, Err: lastErr,
		Detail: "no target accepted the call; retry it with the same key"}
}

// admitCall admits a call unless similar calls have crashed targets.
func (s *Server) admitCall(ctx context.Context, organisation, service string, call Call) (*poison.Pass, *codes.Error) {
	request := poison.RequestTrait(call.Body, service, call.Operation)
	pass, err := s.Crashes.Admit(ctx, poison.Traits{Request: request, Caller: poison.CallerTrait(organisation, request)})
	var quarantined *poison.QuarantineError
	switch {
	case err == nil:
		return pass, nil
	case errors.As(err, &quarantined):
		return nil, codes.Refuse(codes.CrashesTargets, quarantined.RetryAfter, "%v", quarantined)
	default:
		return nil, codes.From(err, codes.NotRun)
	}
}

// recordResult records the response for replay. It omits a body larger than MaxReplyBytes.
func (s *Server) recordResult(replica *once.Replica, call Call, reply Reply) {
	result := once.Result{Key: call.Key, Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
	if int64(len(result.Body)) > s.MaxReplyBytes {
		result.Body, result.TooLarge = nil, true
	}
	replica.Finish(result)
}

func writeReply(w http.ResponseWriter, reply Reply, replayed bool) {
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	if replayed {
		w.Header().Set("X-Replayed", "1")
	}
	setLength(w, reply.Body)
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
