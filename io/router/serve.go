package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"cranberryrail/core/codes"
	"cranberryrail/core/events"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/io/conns"
	"cranberryrail/io/meter"
)

// dispatch sends a request to a target and returns the response.
func (r *Router) dispatch(ctx context.Context, d relay.Dispatch) (*relay.Response, error) {
	return r.dispatchTo(ctx, d, func(http.Header) {})
}

// dispatchTo is dispatch, and calls onHeader with the headers of the response as the target sent them.
func (r *Router) dispatchTo(ctx context.Context, d relay.Dispatch, onHeader func(http.Header)) (*relay.Response, error) {
	sentAt := time.Now()
	a, err := r.conns.Do(ctx, &conns.Request{
		PoolKey: d.Target.Incarnation, Addr: d.Target.Addr, Method: d.Method, URI: d.URI, Host: d.Host,
		Header: r.Platform.BuildHeader(d), Body: d.Body, NonIdempotent: d.NonIdempotent, NewConnection: d.Repeated, HeaderTimeout: d.HeaderTimeout,
		Verify:   r.verification(d, sentAt),
		OnDialed: func() { r.recordPath(d.Target, nil) },
		ID:       d.ID, Identify: r.Platform.IdentifyResponse, Memory: d.Memory,
	})
	if err != nil {
		failed := attemptError(err)
		var exchange *conns.Error
		switch {
		case errors.As(err, &exchange) && exchange.Unconnected && ctx.Err() == nil:
			r.recordPath(d.Target, err)
		case failed.Kind == relay.Silent:
			r.pathSuspect(d.Target.Service)
		}
		return nil, failed
	}
	onHeader(a.Header)
	response := &relay.Response{
		ResponseHead: r.Platform.ParseResponseHead(a.Status, a.Header), Status: a.Status, Unframed: a.Unframed, SetReadTimeout: a.SetReadTimeout, Close: a.Close,
		Read: func(p []byte) (int, error) {
			n, err := a.Read(p)
			var failed *conns.Error
			if errors.As(err, &failed) {
				return n, attemptError(failed)
			}
			return n, err
		},
	}
	r.applyResponseHead(d.Target, response.ResponseHead)
	r.observeRate(d.Target, response, sentAt)
	return response, nil
}

var errOtherStart = errors.New("the target has started again since its entry was read")

// verification returns how a connection shows that it leads to the listed start of a target, whose software version is known; nil if any start will do.
func (r *Router) verification(d relay.Dispatch, began time.Time) *conns.Verification {
	t := d.Target
	if shows, known := r.startsShown.Get(t.Incarnation); known && !shows || !d.Resumable {
		return nil
	}
	check := func(status int, body []byte) error {
		startedAtMS, shown, err := r.Platform.ParseReport(status, body)
		switch {
		case err != nil:
			return err
		case !shown:
			if shows, _ := r.startsShown.Get(t.Incarnation); shows {
				return errOtherStart
			}
			return conns.ErrUnverifiable
		case roster.Incarnation(t.ID, startedAtMS) != t.Incarnation:
			return errOtherStart
		}
		r.startsShown.Add(t.Incarnation, true)
		return nil
	}
	return &conns.Verification{
		URI: r.Platform.ReportPath, Check: check,
		OnUnverifiable: func() { r.startsShown.Add(t.Incarnation, false) },
		OnVerified: func(c *conns.Request) {
			now, spent := d, time.Since(began)
			now.Remaining -= spent
			c.HeaderTimeout -= spent
			c.Header = r.Platform.BuildHeader(now)
		},
	}
}

// targetSilent handles a target that has sent nothing for long: it gets no further requests for a while, its idle connections may be silent too, and
// the path to its service may be lost.
func (r *Router) targetSilent(d relay.Dispatch, dispatchID int64) {
	if d.Detour {
		return
	}
	r.routeClient.Silent(dispatchID)
	r.conns.CloseIdle(d.Target.Incarnation)
	r.pathSuspect(d.Target.Service)
}

// applyResponseHead applies what a target reports in the head of a response, before the response is
// forwarded.
func (r *Router) applyResponseHead(t roster.Target, head relay.ResponseHead) {
	if head.Load != nil {
		head.Load.Incarnation = t.Incarnation
		r.routeClient.Report(t.ID, *head.Load)
	}
	if head.Leaving {
		r.routeClient.MarkLeaving(t.Incarnation) // takes effect even if the target is not listed at present
		r.updateTargets(func(l *roster.TargetList) bool { return l.MarkLeaving(t.ID, t.Incarnation) })
	}
	if head.Pause > 0 {
		r.routeClient.Pause(t.ID, t.Incarnation, head.Pause)
		events.Log(r.Log, events.TargetPaused).Str("target", t.ID).Dur("pause", head.Pause).Send()
	}
	if _, known := r.brittle.Get(t.Incarnation); known || head.Brittle > 0 {
		r.setBrittle(t, head)
	}
	if head.Ignored != nil {
		if _, logged := r.headersIgnored.ContainsOrAdd(t.Incarnation, struct{}{}); !logged {
			events.Log(r.Log, events.HeaderIgnored).Str("target", t.ID).Err(head.Ignored).Send()
		}
	}
}

// setBrittle records whether a target is brittle. An unsigned response without the header does not end it.
func (r *Router) setBrittle(t roster.Target, head relay.ResponseHead) {
	switch {
	case head.Brittle > 0:
		if known, _ := r.brittle.ContainsOrAdd(t.Incarnation, struct{}{}); !known {
			events.Log(r.Log, events.TargetBrittle).Str("target", t.ID).Float64("per_second", head.Brittle).Send()
		}
	case !head.HasSignature || head.Ignored != nil:
		return
	default:
		r.brittle.Remove(t.Incarnation)
	}
	r.routeClient.SetBrittle(t.ID, t.Incarnation, head.Brittle)
}

// attemptError converts the error of an exchange to a *relay.AttemptError.
func attemptError(err error) *relay.AttemptError {
	f := &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: err}
	var e *conns.Error
	if !errors.As(err, &e) {
		return f
	}
	switch {
	case e.Phase == conns.NotSent:
		f.Kind, f.Sent = relay.Unreachable, false
	case e.Invalid:
		f.Kind = relay.Invalid
	case e.Timeout:
		f.Kind = relay.Silent
	}
	return f
}

// attemptFailed logs and counts a failed attempt.
func (r *Router) attemptFailed(d relay.Dispatch, f *relay.AttemptError) {
	r.Meter.Attempt(string(f.Kind))
	event := events.Log(r.Log, events.AttemptFailed).Str("request", loggedID(d.ID)).Str("target", d.Target.ID).Str("kind", string(f.Kind)).
		Bool("sent", f.Sent).Bool("repeatable", !d.NonIdempotent).Dur("left", d.Remaining).Int("events", f.Events)
	if parts := d.Prompt.SharedParts(); f.Sent && len(parts) > 0 {
		event.Strs("parts", parts)
	}
	event.Err(f.Err).Send()
	if f.Crashed {
		r.targetCrashed(d, f)
	}
}

// maxLoggedID limits how much of an id is logged, in bytes, that a caller may choose at any length. Ids in common formats have a third of it.
const maxLoggedID = 128

// loggedID returns the beginning of an id.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// addStream adds what was billed and how a stream went to the event of a finished request.
func (r *Router) addStream(event *zerolog.Event, class meter.Class, result relay.Result) {
	if result.Reserved > 0 {
		event.Int64("reserved", result.Reserved).Int64("spent", result.Spent)
		r.Meter.Billed(class, result.Spent)
		if result.Unanswered > 0 {
			event.Int64("unanswered", result.Unanswered)
			r.Meter.Unanswered(result.Unanswered)
		}
	}
	if result.Events > 0 || result.Truncated {
		event.Int("events", result.Events)
	}
	if result.Software != "" {
		event.Str("software", result.Software)
	}
	if result.Request != nil && result.Request.LastEventID != "" {
		event.Str("resumes", loggedID(result.Request.Resumes))
	}
	if result.RetryDenied != "" {
		event.Str("retry_denied", string(result.RetryDenied))
	}
	if result.Unframed {
		event.Bool("unframed", true)
	}
	if result.Truncated {
		event.Bool("cut", true)
		r.Meter.StreamCut()
	}
	if result.CallerGone {
		event.Bool("gone", true)
	}
}

// addExpected adds what was expected of the answer and what was seen to the event of a finished request.
func addExpected(event *zerolog.Event, result relay.Result) {
	if e := result.Expected; e != nil {
		event.Str("chosen_by", string(e.By)).Dur("expected_first", e.First).Dur("target_first", result.TargetFirst).
			Float64("expected_output", e.Output)
		if e.Compared {
			event.Bool("cheapest", e.Cheapest)
		}
	}
}

// logEarlyEnd logs and counts a request that ended without a whole answer after its head was sent or a target may have run it.
func (r *Router) logEarlyEnd(result relay.Result, took time.Duration) {
	event := events.Log(r.Log, events.AnswerEnded).Str("request", loggedID(result.Request.ID)).Str("target", result.Target.ID).Str("by", string(result.EndedBy))
	kind := relay.Kind("")
	if failed := result.LastFailure; failed != nil {
		event.Str("failure", string(failed.Kind)).AnErr("cause", failed.Err)
		if result.EndedBy == relay.ByTarget {
			kind = failed.Kind
		}
	}
	if result.TimeLimit > 0 {
		event.Dur("left", result.TimeLimit-took)
	}
	if result.TimeToFirstByte > 0 {
		event.Dur("since_head", took-result.TimeToFirstByte)
	}
	if t := r.table.Current(); t != nil {
		event.Int64("version", result.Version).Int64("config", t.Version).Dur("config_age", time.Since(time.Unix(0, r.configAppliedAt.Load())))
	}
	event.Send()
	r.Meter.AnswerEnded(string(result.EndedBy), string(kind))
}

// requestEnded logs a finished request and records its metrics.
func (r *Router) requestEnded(result relay.Result, took time.Duration) {
	class := meter.NoClass
	code := codes.Code{}
	event := events.Log(r.Log, events.RequestEnded)
	if result.Request != nil {
		event.Str("request", loggedID(result.Request.ID))
	}
	if result.Organisation != "" {
		class = meter.ClassOf(result.Priority)
		event.Str("organisation", result.Organisation)
	}
	event.Str("route", result.Route).Int64("version", result.Version).Int("status", result.Status).Dur("took", took)
	if result.Attempts > 0 {
		event.Str("target", result.Target.ID).Int("attempts", result.Attempts).Dur("first", result.TimeToFirstByte)
	}
	if result.Attempts > 0 && result.Refused == nil {
		r.Meter.Attempt(string(route.OK)) // each failed attempt was counted by attemptFailed
	}
	r.addStream(event, class, result)
	addExpected(event, result)
	if refused := result.Refused; refused != nil {
		if refused.Code == codes.LogUnavailable || refused.Code == codes.LinkFull {
			r.refusedAt.Store(time.Now().UnixNano())
		}
		code = refused.Code
		event.Int("code", code.Number).Str("run", string(refused.Run)).Dur("retry_after", refused.RetryAfter).Str("detail", refused.Detail).Err(refused.Err)
	}
	event.Send()
	if result.EndedBy != "" {
		r.logEarlyEnd(result, took)
	}
	r.Meter.Request(class, code)
	r.Meter.RequestDuration(class, took)
	if result.TimeToFirstByte > 0 {
		r.Meter.FirstToken(class, result.TimeToFirstByte)
	}
}
