package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/codes"
	"cranberryrail/core/detour"
	"cranberryrail/core/events"
	"cranberryrail/core/pause"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/io/conns"
	"cranberryrail/io/peer"
)

const (
	// maxForwarded is the number of requests of other instances that this one has at targets at the same time. Beyond it they ask another instance, so
	// that instances without a path do not use up the others.
	maxForwarded = 128
	// forwardMargin is the time in which a reply passes from one instance to another.
	forwardMargin = 50 * time.Millisecond
	// forwardTries is the number of targets that an instance tries to reach for another one.
	forwardTries = 2
	// pathCheckInterval is the time between two checks whether a service is reachable again.
	pathCheckInterval = 300 * time.Millisecond
	// maxSuspects is the number of suspicions that wait for their checks to begin: several times the number of services of a platform.
	maxSuspects = 256
)

// initDetours creates the component that sends requests by way of other instances.
func (r *Router) initDetours() {
	r.detours = &detour.Tracker{Peers: r.budgetSync.Peers, Random: rand.IntN, OnCut: r.pathChanged}
	r.detours.Default()
	if r.peerServer == nil {
		r.detours.Peers = func() []string { return nil }
		return
	}
	r.peerServer.Forward = r.serveForward
}

// pathChanged logs that this instance is cut off from a service, or reaches it again.
func (r *Router) pathChanged(service string, cut bool) {
	event := events.PathBack
	if cut {
		event = events.PathLost
	}
	events.Log(r.Log, event).Str("service", service).Send()
}

// recordPath records whether a connection to a target could be opened.
func (r *Router) recordPath(t roster.Target, err error) {
	if err == nil {
		if r.detours.Connected(t.Service) {
			r.routeClient.Readmit(t.Service)
		}
		return
	}
	record := r.detours.Unreachable
	if errors.Is(err, syscall.ECONNREFUSED) {
		record = r.detours.Refused
	}
	if record(t.Service, t.Incarnation) {
		r.pathSuspect(t.Service)
	}
}

// pathSuspect triggers a check of a service after one of its targets could not be reached, or did not reply.
func (r *Router) pathSuspect(service string) {
	select {
	case r.suspects <- service:
	default: // The queue is full of suspicions; later requests raise this one again.
	}
}

// watchPaths checks suspected services at once, and those that this instance is cut off from repeatedly. Services are checked independently of each
// other, since a check of a path that hangs takes the time of a dial.
func (r *Router) watchPaths(ctx context.Context) error {
	var group errgroup.Group
	checked := make(chan string)
	running, again := map[string]bool{}, map[string]bool{}
	check := func(service string) {
		if running[service] {
			return
		}
		running[service] = true
		group.Go(func() error {
			r.checkPath(ctx, service)
			select {
			case checked <- service:
			case <-ctx.Done():
			}
			return nil
		})
	}
	ticker := time.NewTicker(pathCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case service := <-r.suspects:
			again[service] = running[service]
			check(service)
		case service := <-checked:
			running[service] = false
			if again[service] {
				again[service] = false
				check(service)
			}
		case <-ticker.C:
			for _, service := range r.detours.CutServices() {
				check(service)
			}
		}
	}
}

// checkPath opens a connection to a target of a service, which is used for a later request. It prefers targets that are not known to be unreachable:
// another failure at one that is shows nothing new.
func (r *Router) checkPath(ctx context.Context, service string) {
	r.listMu.Lock()
	var untried, unreachable []roster.Target
	for _, t := range r.list.Targets() {
		switch {
		case t.Service != service || t.State != roster.Live:
		case r.detours.IsUnreachable(service, t.Incarnation):
			unreachable = append(unreachable, t)
		default:
			untried = append(untried, t)
		}
	}
	r.listMu.Unlock()
	candidates := untried
	if len(candidates) == 0 {
		candidates = unreachable
	}
	if len(candidates) > 0 {
		t := candidates[rand.IntN(len(candidates))]
		r.recordPath(t, r.conns.Connect(ctx, &conns.Request{PoolKey: t.Incarnation, Addr: t.Addr}))
	}
}

// setServices updates the number of targets of each service.
func (r *Router) setServices(targets []roster.Target) {
	counts := map[string]int{}
	for _, t := range targets {
		if t.State == roster.Live {
			counts[t.Service]++
		}
	}
	r.detours.SetTargets(counts)
}

// dispatchBy sends a request by way of another instance and returns the response. The error is a *relay.AttemptError.
func (r *Router) dispatchBy(ctx context.Context, d relay.Dispatch, choice route.Request) (*relay.Response, error) {
	f := peer.Forward{
		RequestID: d.ID, Method: d.Method, Host: d.Host, URI: d.URI, Header: d.Header, Body: d.Body, Organisation: d.Organisation, Priority: d.Priority,
		HasPrompt: d.Prompt != nil, LastEventID: d.LastEventID, NonIdempotent: d.NonIdempotent, Remaining: d.Remaining, HeaderTimeout: d.HeaderTimeout,
		Service: choice.Service, Software: choice.Software, Prefix: choice.Prefix, Avoid: choice.Avoid,
	}
	refusal := codes.Refuse(codes.NoTarget, route.NoTargetRetryAfter, "neither this instance nor one that it can ask reaches a target of service %s", choice.Service)
	helpers := detour.MaxHelpers
	if !f.Encodable() {
		helpers = 0 // A failure to encode the request would count as that of the other instance.
	}
	var asked []string
	for range helpers {
		addr, ok := r.detours.Helper(choice.Service, asked)
		if !ok {
			break
		}
		asked = append(asked, addr)
		sentAt := time.Now()
		silent := &silenceTimer{Now: time.Now, Bound: d.SilenceBound, OnSilent: func() {
			if !d.NonIdempotent {
				r.detours.Silent(addr, choice.Service) // The next attempt goes by way of another one.
			}
		}}
		silent.Start()
		reply, head, end, err := r.forward(ctx, addr, f)
		silent.Stop()
		var failed *peer.ForwardError
		switch {
		case errors.As(err, &failed) && !failed.Sent:
			r.detours.Pause(addr, "", detour.LostPause)
			continue
		case err != nil:
			if ctx.Err() == nil {
				r.detours.Pause(addr, "", detour.LostPause)
			}
			return nil, forwardError(err)
		case end != nil && !end.Sent && end.Failure == string(relay.Unreachable):
			refusal = r.notForwarded(addr, choice.Service, end, refusal)
			continue
		case end != nil:
			return nil, endError(end)
		}
		r.detours.Helped(addr, choice.Service)
		return r.forwardedResponse(reply, head, sentAt, choice.Service), nil
	}
	return nil, &relay.AttemptError{Kind: relay.Unreachable, Refusal: refusal, Err: refusal}
}

// forward forwards a request and reads the head of the response, or its outcome. The reply is open if there is a head.
func (r *Router) forward(ctx context.Context, addr string, f peer.Forward) (*peer.Forwarded, *peer.ForwardHead, *peer.ForwardEnd, error) {
	f.HeaderTimeout += forwardMargin
	reply, err := r.peerClient.Forward(ctx, addr, f)
	if err != nil {
		return nil, nil, nil, err
	}
	head, end, err := reply.Head()
	if head == nil {
		reply.Close()
	}
	return reply, head, end, err
}

// notForwarded handles the refusal of another instance, and returns the refusal for the caller if no instance sends its request.
func (r *Router) notForwarded(addr, service string, end *peer.ForwardEnd, refusal *codes.Error) *codes.Error {
	code, ok := codes.ByNumber(end.Code)
	switch {
	case !ok || code == codes.NoTarget:
		r.detours.Pause(addr, service, detour.CutPause)
		return refusal
	case code == codes.TooManyInFlight:
		r.detours.Pause(addr, "", detour.BusyPause)
		code = codes.Overloaded
	case code == codes.Stopping:
		r.detours.Pause(addr, "", detour.LostPause)
		return refusal
	}
	return codes.Refuse(code, end.RetryAfter, "%s", end.Detail)
}

// forwardedResponse returns the response that another instance passes on.
func (r *Router) forwardedResponse(reply *peer.Forwarded, head *peer.ForwardHead, sentAt time.Time, service string) *relay.Response {
	t := roster.Target{ID: head.TargetID, Incarnation: head.Incarnation, Software: head.Software, Service: service}
	response := &relay.Response{
		ResponseHead: r.Platform.ParseResponseHead(head.Status, head.Header), Status: head.Status, Unframed: head.Unframed, Target: &t,
		SetReadTimeout: reply.SetTimeout, Close: reply.Close,
		Read: func(p []byte) (int, error) {
			n, end, err := reply.Read(p)
			switch {
			case end != nil && end.Failure != "":
				return n, endError(end)
			case end != nil || err == nil:
				return n, err
			}
			return n, forwardError(err)
		},
	}
	r.applyResponseHead(t, response.ResponseHead)
	r.observeRate(t, response, sentAt)
	return response
}

// forwardError converts the error of a reply that ended without an outcome.
func forwardError(err error) *relay.AttemptError {
	f := &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: err}
	var failed *peer.ForwardError
	if errors.As(err, &failed) && failed.Timeout {
		f.Kind = relay.Silent
	}
	return f
}

var errForwarded = errors.New("the request failed at the instance that sent it")

// endError returns the failure that another instance reports. One that could not pass the response on reports that its exchange was cancelled, which
// does not mean that the caller here has left. Other kinds are not those of an exchange, and could be taken for the statement of a target.
func endError(end *peer.ForwardEnd) *relay.AttemptError {
	kind := relay.Kind(end.Failure)
	if kind != relay.Silent && kind != relay.Invalid {
		kind = relay.Broken
	}
	return &relay.AttemptError{
		Kind: kind, Sent: true, Crashed: end.Crashed, Err: errors.Join(errForwarded, errors.New(end.Detail)),
		Target: roster.Target{ID: end.TargetID, Incarnation: end.Incarnation},
	}
}

// serveForward sends a request of another instance to a target. It holds to what the target asks of this instance. Its body shares the memory of those of callers.
func (r *Router) serveForward(ctx context.Context, f peer.Forward, w peer.ForwardWriter) peer.ForwardEnd {
	if !r.running.Load() {
		return refusedEnd(codes.Refuse(codes.Stopping, 0, "the instance is stopping"))
	}
	if r.forwarded.Add(1) > maxForwarded {
		r.forwarded.Add(-1)
		return refusedEnd(codes.Refuse(codes.TooManyInFlight, detour.BusyPause, "%d requests of other instances are in flight", maxForwarded))
	}
	defer r.forwarded.Add(-1)
	if !r.entry.ReserveBody(len(f.Body)) {
		return refusedEnd(codes.Refuse(codes.TooManyInFlight, detour.BusyPause, "the bodies of requests in flight use the memory for them"))
	}
	defer r.entry.ReleaseBody(len(f.Body))
	deadline := time.Now().Add(f.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(max(f.HeaderTimeout-f.Remaining, 0))) // The instance that sent the request ends it before.
	defer cancel()
	for tries := 0; ; tries++ {
		if r.detours.Cut(f.Service) || tries >= forwardTries {
			return refusedEnd(codes.Refuse(codes.NoTarget, route.NoTargetRetryAfter, "this instance does not reach service %s either", f.Service))
		}
		choice, err := r.routeClient.Pick(route.Request{
			Organisation: f.Organisation, Service: f.Service, Software: f.Software, Prefix: f.Prefix, Zone: r.Settings.Instance.Zone, Priority: f.Priority, Avoid: f.Avoid,
		})
		if err != nil {
			return refusedEnd(codes.From(err, codes.NotRun))
		}
		end, outcome := r.exchangeFor(ctx, f, choice, deadline, w)
		r.routeClient.Done(choice.DispatchID, outcome)
		if end.Failure != string(relay.Unreachable) {
			end.TargetID, end.Incarnation = choice.Target.ID, choice.Target.Incarnation
			return end
		}
		f.Avoid = append(f.Avoid, choice.Target.ID)
	}
}

func refusedEnd(e *codes.Error) peer.ForwardEnd {
	return peer.ForwardEnd{Failure: string(relay.Unreachable), Code: e.Code.Number, RetryAfter: e.RetryAfter, Detail: e.Detail}
}

// exchangeFor sends a request of another instance to a target and passes the response on. It returns the outcome for the instance, and that for the
// health of the target. A panic fails the exchange: nothing else recovers it.
func (r *Router) exchangeFor(ctx context.Context, f peer.Forward, choice route.Choice, deadline time.Time, w peer.ForwardWriter) (end peer.ForwardEnd, outcome route.Outcome) {
	defer func() {
		if reason := recover(); reason != nil {
			r.logPanic(reason)
			end, outcome = peer.ForwardEnd{Failure: string(relay.Invalid), Sent: true, Detail: "the exchange panicked"}, route.Failed
		}
	}()
	t, left := choice.Target, time.Until(deadline)
	d := forwardedDispatch(f, t, left)
	bound := r.silenceBound(f)
	silence := &silenceTimer{Now: time.Now, Bound: bound, OnSilent: func() {
		if !f.NonIdempotent {
			r.targetSilent(d, choice.DispatchID)
		}
	}}
	silence.Start()
	defer silence.Stop()
	header, progressAt := http.Header{}, time.Now()
	response, err := r.dispatchTo(ctx, d, func(raw http.Header) { header = raw.Clone() })
	if err != nil {
		return r.failedEnd(ctx, t, deadline, progressAt.Add(bound), err)
	}
	silence.Stop()
	defer response.Close()
	response.SetReadTimeout(max(left, f.HeaderTimeout))
	head := peer.ForwardHead{TargetID: t.ID, Incarnation: t.Incarnation, Software: t.Software, Status: response.Status, Header: header, Unframed: response.Unframed}
	if err := w.Head(head); err != nil {
		return cancelledEnd(err)
	}
	for buffer := make([]byte, readBufferBytes); ; {
		progressAt = time.Now()
		n, err := response.Read(buffer)
		if n > 0 {
			r.link.Add(n)
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return cancelledEnd(writeErr)
			}
		}
		switch {
		case err == io.EOF && response.Unframed && r.hasCrashed(ctx, t): //nolint:errorlint // Read returns io.EOF itself
			return peer.ForwardEnd{Failure: string(relay.Broken), Sent: true, Crashed: true, Detail: "the target crashed"}, route.Failed
		case err == io.EOF: //nolint:errorlint // the same
			return peer.ForwardEnd{Sent: true}, outcomeOf(response)
		case err != nil:
			return r.failedEnd(ctx, t, deadline, progressAt.Add(bound), err)
		}
	}
}

// forwardedDispatch returns the dispatch of a request of another instance to a target.
func forwardedDispatch(f peer.Forward, t roster.Target, left time.Duration) relay.Dispatch {
	d := relay.Dispatch{
		Request: &relay.Request{ID: f.RequestID, Method: f.Method, Host: f.Host, URI: f.URI, Header: f.Header, Body: f.Body},
		Target:  t, Organisation: f.Organisation, Priority: f.Priority, Remaining: left, HeaderTimeout: min(left, f.HeaderTimeout),
		LastEventID: f.LastEventID, NonIdempotent: f.NonIdempotent, Repeated: slices.Contains(f.Avoid, t.ID),
		Resumable: f.Software != "" || f.HasPrompt && !f.NonIdempotent, // The other instance may not state it.
	}
	if f.HasPrompt {
		d.Prompt = &relay.Prompt{}
	}
	return d
}

// silenceBound returns the time without a byte after which the target of a request of another instance counts as silent. Without a route for the
// request here, that is its time limit.
func (r *Router) silenceBound(f peer.Forward) time.Duration {
	path, _, _ := strings.Cut(f.URI, "?")
	if bound := r.relay.SilenceBound(f.Host, path); bound > 0 {
		return bound
	}
	return f.Remaining
}

// readBufferBytes is the size of the buffer of a forwarded response: some events.
const readBufferBytes = 8 << 10

func cancelledEnd(err error) (peer.ForwardEnd, route.Outcome) {
	return peer.ForwardEnd{Failure: string(relay.Cancelled), Sent: true, Detail: err.Error()}, route.Cancelled
}

// failedEnd returns the outcome of a failed attempt, at a target that counts as silent if nothing has come by the time silentAt.
func (r *Router) failedEnd(ctx context.Context, t roster.Target, deadline, silentAt time.Time, err error) (peer.ForwardEnd, route.Outcome) {
	f := &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: err}
	errors.As(err, &f)
	end := peer.ForwardEnd{Failure: string(f.Kind), Sent: f.Sent, Detail: f.Error()}
	now := time.Now()
	isOver := ctx.Err() != nil || !now.Before(deadline)
	switch {
	case isOver && (!f.Sent || now.Before(silentAt)):
		return end, route.Cancelled
	case f.Kind == relay.Silent || isOver && !now.Before(deadline.Add(-forwardMargin)): // The other instance may have ended it at its deadline.
		return end, route.Silent
	case isOver:
		return end, route.Failed
	}
	end.Crashed = f.Sent && (f.Kind == relay.Broken || f.Kind == relay.Invalid) && r.hasCrashed(ctx, t)
	return end, route.Failed
}

// outcomeOf returns the outcome of a complete response.
func outcomeOf(response *relay.Response) route.Outcome {
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		return route.Refused
	case response.NotRun:
		return route.Shed
	case response.Status >= http.StatusInternalServerError:
		return route.Failed
	default:
		return route.OK
	}
}

// awaitForwarded waits until all replies to other instances have been sent, or the deadline passes.
func (r *Router) awaitForwarded(ctx context.Context, until time.Time) {
	for r.peerServer != nil && r.peerServer.Forwarding() > 0 && ctx.Err() == nil && time.Now().Before(until) {
		pause.For(ctx, idlePollInterval)
	}
}
