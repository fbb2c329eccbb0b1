package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

// Bounds of one attempt.
const (
	// firstWaitParts is how many times the objective a target may take to answer a request that
	// can still be sent to another one; later, another target is likelier to answer first.
	firstWaitParts = 3
	// firstWaitLeast bounds it from below: some times the delays between availability zones.
	firstWaitLeast = 250 * time.Millisecond
	// gapWaitParts is how many times the promised pause between events a target may be silent
	// before a stream is resumed elsewhere; callers leave after eight.
	gapWaitParts = 3
	// maxKept is the largest body that is read whole before it is passed on, so that an answer
	// that breaks off can be replaced by an honest refusal.
	maxKept = 256 << 10
)

// attempt makes one dispatch. It returns a *AttemptError when another may follow, nil when the
// caller has its answer, and an error when no target could be chosen.
func (r *run) attempt(ctx context.Context) (*AttemptError, error) {
	choice, err := r.Pick(r.choose())
	if err != nil {
		return nil, err
	}
	d := r.dispatch(choice.Target)
	r.Attempts++
	r.Target = choice.Target
	failed := r.exchange(ctx, d)
	if failed == nil {
		r.Done(choice.Token, r.answered())
		return nil, nil
	}
	r.Done(choice.Token, outcome(failed))
	if failed.Sent {
		r.Sent++
	}
	r.avoid = append(r.avoid, choice.Target.ID)
	r.Server.Failed(d, failed)
	return failed, nil
}

// choose returns what the target is chosen by.
func (r *run) choose() route.Request {
	req := route.Request{
		Organisation: r.Organisation, Service: r.Service, Zone: r.Zone, Priority: r.Priority, Avoid: r.avoid,
	}
	if r.req.Prompt != nil && r.route.Affinity {
		req.Prefix = shared(r.req.Prompt.Parts)
	}
	return req
}

// shared returns the id of the longest part of a prompt that other prompts share: the last
// one but the request's own.
func shared(parts []Part) string {
	switch len(parts) {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	default:
		return parts[len(parts)-2].ID
	}
}

// routeRanks is the number of ranks of routes within one rank of organisations.
const routeRanks = 3

// priority ranks a request: first by its organisation, then by its route.
func (r *run) priority() int {
	rank := min(max(r.route.Priority, 0), routeRanks-1)
	if r.org != nil {
		rank += routeRanks * max(r.org.Priority, 0)
	}
	return route.TopPriority - min(rank, route.TopPriority)
}

func (r *run) dispatch(t roster.Target) Dispatch {
	left := r.deadline.Sub(r.Now())
	return Dispatch{
		Request: r.req, Target: t, Organisation: r.Organisation, Priority: r.Priority, Left: left,
		FirstWait: r.firstWait(left), After: r.after, Once: !r.route.Repeatable(),
	}
}

// firstWait returns how long to wait for the head of an answer: to the end, unless another
// attempt may follow.
func (r *run) firstWait(left time.Duration) time.Duration {
	if !r.route.Repeatable() || r.Sent+1 >= r.route.MaxAttempts || !r.Retries.Allows(r.Service) {
		return left
	}
	return min(left, max(firstWaitParts*r.route.Objective, firstWaitLeast))
}

// exchange sends the request and passes the answer on.
func (r *run) exchange(ctx context.Context, d Dispatch) *AttemptError {
	a, err := r.Open(ctx, d)
	if err != nil {
		return r.failure(err)
	}
	defer a.Close()
	switch {
	case a.NotRun:
		return notRun(a.Status)
	case !a.Signed && (a.Status >= 200 && a.Status < 300 || promises(a.Status)):
		r.ran = true
		return &AttemptError{Kind: Garbled, Sent: true, Err: errUnsigned}
	}
	r.ran = true
	if a.Events && a.Status == http.StatusOK {
		return r.stream(ctx, a)
	}
	return r.whole(a)
}

// promises reports whether a status tells the caller that the request did not run, which
// only a target that says so may promise.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// failure notes what the error of an attempt tells.
func (r *run) failure(err error) *AttemptError {
	var failed *AttemptError
	if !errors.As(err, &failed) {
		failed = &AttemptError{Kind: Broken, Sent: true, Err: err}
	}
	if failed.Sent {
		r.ran = true
	}
	return failed
}

var (
	errUnsigned = errors.New("the answer is not signed")
	errStatus   = errors.New("the target answered with a failure")
	errResume   = errors.New("the target did not resume the stream")
)

// notRun returns the failure of a target that says that it did not run the request.
func notRun(status int) *AttemptError {
	if status == http.StatusMisdirectedRequest {
		return &AttemptError{Kind: Moved, Sent: true, Err: errStatus}
	}
	return &AttemptError{Kind: Shed, Sent: true, Err: errStatus}
}

// whole passes on an answer that is not a stream.
func (r *run) whole(a *Answer) *AttemptError {
	a.Wait(r.deadline.Sub(r.Now()))
	body, err := readAll(a)
	if err != nil && !isEOF(err) {
		return r.failure(err)
	}
	if r.begun {
		return &AttemptError{Kind: Errored, Sent: true, Err: errResume}
	}
	if err == nil {
		return r.long(a, body)
	}
	k := &kept{status: a.Status, header: a.Header, body: body}
	if a.Status >= 500 && r.route.Repeatable() && r.Sent+1 < r.route.MaxAttempts && r.kept == nil {
		r.kept = k
		return &AttemptError{Kind: Errored, Sent: true, Err: errStatus}
	}
	if a.Status >= 500 && r.kept != nil {
		k = r.kept
	}
	r.pass(k)
	return nil
}

// readAll reads a body up to maxKept. The error is io.EOF after a whole body, and nil when
// there is more.
func readAll(a *Answer) ([]byte, error) {
	body := make([]byte, 0, 2048)
	for len(body) < maxKept {
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

// long passes on an answer that is too long to be kept.
func (r *run) long(a *Answer, begin []byte) *AttemptError {
	r.begin(a)
	for p, err := begin, error(nil); ; {
		if wrote := r.sink.Write(p); wrote != nil {
			return &AttemptError{Kind: Left, Sent: true, Err: wrote}
		}
		if isEOF(err) {
			return nil
		}
		if err != nil {
			return r.failure(err)
		}
		var n int
		n, err = a.Read(begin[:cap(begin)])
		p = begin[:n]
	}
}

// begin passes on the head of an answer whose length is not known.
func (r *run) begin(a *Answer) {
	r.begun, r.Status = true, a.Status
	r.First = r.Now().Sub(r.req.Arrived)
	r.sink.Head(a.Status, a.Header, -1)
}

// stream passes on the events of an answer. The head goes out with the first one, so that a
// target that fails before it can be replaced.
func (r *run) stream(ctx context.Context, a *Answer) *AttemptError {
	events := newEvents(a.Read)
	wait := r.gapWait()
	for {
		a.Wait(wait)
		event, err := events.next()
		if err != nil && !isEOF(err) {
			return r.failure(err)
		}
		if len(event.raw) > 0 || isEOF(err) {
			if failed := r.passEvent(ctx, a, event); failed != nil {
				return failed
			}
		}
		if isEOF(err) {
			return nil
		}
	}
}

// passEvent passes on one event, unless the caller has it already.
func (r *run) passEvent(ctx context.Context, a *Answer, e event) *AttemptError {
	if !r.begun {
		r.begin(a)
	}
	if len(e.raw) == 0 {
		return nil
	}
	if e.id != "" {
		if r.after != "" && !follows(e.id, r.after) {
			return &AttemptError{Kind: Garbled, Sent: true, Err: errOrder}
		}
		r.after = e.id
	}
	r.Events++
	if err := r.sink.Write(e.raw); err != nil {
		return &AttemptError{Kind: Left, Sent: true, Err: err}
	}
	if ctx.Err() != nil {
		return &AttemptError{Kind: Left, Sent: true, Err: ctx.Err()}
	}
	return nil
}

// gapWait returns how long a target may be silent within a stream: to the end, unless the
// stream can be resumed elsewhere.
func (r *run) gapWait() time.Duration {
	left := r.deadline.Sub(r.Now())
	if !r.route.Resumable || r.Sent+1 >= r.route.MaxAttempts || r.route.Gap <= 0 {
		return left
	}
	return min(left, gapWaitParts*r.route.Gap)
}

// answered returns what an answer that was passed on tells about the target.
func (r *run) answered() route.Outcome {
	if r.Status >= http.StatusInternalServerError {
		return route.Failed
	}
	return route.OK
}

// outcome returns what the end of an attempt tells about the target.
func outcome(failed *AttemptError) route.Outcome {
	if failed == nil {
		return route.OK
	}
	switch failed.Kind {
	case Silent:
		return route.Silent
	case Shed:
		return route.Full
	case Moved:
		return route.Refused
	case Left:
		return route.Cancelled
	default:
		return route.Failed
	}
}
