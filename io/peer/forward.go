package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"storj.io/drpc/drpcconn"

	"cranberryrail/io/peer/peerpb"
)

// Limits of forwarded requests.
const (
	// forwardDialTimeout bounds the connection to an instance that a request is forwarded to: a hundred times the delay
	// between availability zones.
	forwardDialTimeout = 150 * time.Millisecond
	// forwardPartBytes is the largest part of a body in one message.
	forwardPartBytes = 32 << 10
)

// Forward is a request that another instance sends to a target.
type Forward struct {
	RequestID, Method, Host, URI string
	Header                       http.Header
	Body                         []byte
	Organisation                 string
	Priority                     int
	// HasPrompt is set if the request is a call of a model.
	HasPrompt     bool
	LastEventID   string
	NonIdempotent bool
	// Remaining is the time left for the response, and HeaderTimeout that to its head.
	Remaining, HeaderTimeout time.Duration
	// Service, Software and Prefix restrict the choice of the target, and Avoid holds the ids of targets that were tried before.
	Service, Software, Prefix string
	Avoid                     []string
}

// Encodable reports whether a message can hold the request: its text fields hold valid UTF-8 only.
func (f *Forward) Encodable() bool {
	texts := append([]string{f.RequestID, f.Method, f.Host, f.URI, f.Organisation, f.LastEventID, f.Service, f.Software, f.Prefix}, f.Avoid...)
	return !slices.ContainsFunc(texts, func(text string) bool { return !utf8.ValidString(text) })
}

// ForwardHead is the head of a target's response.
type ForwardHead struct {
	TargetID, Incarnation, Software string
	Status                          int
	Header                          http.Header
	// Unframed is set if the body has neither a length nor chunks.
	Unframed bool
}

// ForwardEnd is the outcome of a forwarded request.
type ForwardEnd struct {
	// Failure is the kind of the failure, empty if the response is complete, and Detail describes it.
	Failure, Detail string
	// Sent is set if a target may have received the request, and Crashed if the process of the target has ended.
	Sent, Crashed bool
	// TargetID and Incarnation are of the target; empty if there was none.
	TargetID, Incarnation string
	// Code is the number of the result code of a refusal, 0 without one.
	Code       int
	RetryAfter time.Duration
}

// ForwardError reports that a reply ended without an outcome.
type ForwardError struct {
	Addr string
	// Sent is set if the instance may have received the request, and Timeout if it sent nothing in time.
	Sent, Timeout bool
	Err           error
}

// Error implements the error interface.
func (e *ForwardError) Error() string {
	return fmt.Sprintf("forward by instance %s: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.Err }

// Forwarded is the reply to a forwarded request as it arrives.
type Forwarded struct {
	addr    string
	client  *Client
	conn    *drpcconn.Conn
	stream  peerpb.DRPCPeer_ForwardClient
	cancel  context.CancelCauseFunc
	ctx     context.Context //nolint:containedctx // the context of the stream, which ends with it
	timer   *time.Timer
	ended   bool
	pending []byte
}

var (
	errForwardTimeout = errors.New("the instance sent nothing in time")
	errForwardReply   = errors.New("the reply of the instance has no valid head, a second one, or an end that states no outcome")
)

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// Forward forwards a request by way of the instance at an address. The error is a *ForwardError. A request that must not be repeated uses a new
// connection, which shows whether the instance is there before anything is sent. Reply.Close must be called.
func (c *Client) Forward(ctx context.Context, addr string, f Forward) (*Forwarded, error) {
	conn, err := c.forwardConn(ctx, addr, f.NonIdempotent)
	if err != nil {
		return nil, &ForwardError{Addr: addr, Err: err}
	}
	streamCtx, cancel := context.WithCancelCause(ctx)
	r := &Forwarded{addr: addr, client: c, conn: conn, cancel: cancel, ctx: streamCtx}
	r.timer = time.AfterFunc(f.HeaderTimeout, func() { cancel(errForwardTimeout) })
	r.stream, err = peerpb.NewDRPCPeerClient(conn).Forward(streamCtx, encodeForward(f))
	if err != nil {
		r.Close()
		return nil, r.failure(err)
	}
	return r, nil
}

// forwardConn returns an open connection to an instance.
func (c *Client) forwardConn(ctx context.Context, addr string, fresh bool) (*drpcconn.Conn, error) {
	if !fresh {
		if conn, ok := c.pool.Take(addr); ok {
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardDialTimeout)
	defer cancel()
	return dial(ctx, addr)
}

func (r *Forwarded) failure(err error) *ForwardError {
	return &ForwardError{Addr: r.addr, Sent: true, Timeout: errors.Is(context.Cause(r.ctx), errForwardTimeout), Err: err}
}

// SetTimeout limits the time until the end of the reads that follow, until the next call.
func (r *Forwarded) SetTimeout(d time.Duration) { r.timer.Reset(max(d, 0)) }

// Head reads the head of the response. If the request failed before, it returns its outcome instead.
func (r *Forwarded) Head() (*ForwardHead, *ForwardEnd, error) {
	part, err := r.stream.Recv()
	if err != nil {
		return nil, nil, r.failure(err)
	}
	if end := part.GetEnd(); end != nil {
		if !statesOutcome(end) {
			return nil, nil, r.failure(errForwardReply)
		}
		r.ended = true
		return nil, decodeEnd(end), nil
	}
	head := part.GetHead()
	if status := head.GetStatus(); status < http.StatusOK || status > maxStatus {
		return nil, nil, r.failure(errForwardReply)
	}
	return &ForwardHead{
		TargetID: head.GetTargetId(), Incarnation: head.GetIncarnation(), Software: head.GetSoftware(), Status: int(head.GetStatus()),
		Header: decodeHeader(head.GetHeaders()), Unframed: head.GetUnframed(),
	}, nil, nil
}

// Read reads the body. At its end it returns the outcome; the error is io.EOF then.
func (r *Forwarded) Read(p []byte) (int, *ForwardEnd, error) {
	for len(r.pending) == 0 {
		part, err := r.stream.Recv()
		if err != nil {
			return 0, nil, r.failure(err)
		}
		end := part.GetEnd()
		switch {
		case part.GetHead() != nil, end != nil && !statesOutcome(end):
			return 0, nil, r.failure(errForwardReply)
		case end != nil:
			r.ended = true
			return 0, decodeEnd(end), io.EOF
		}
		r.pending = part.GetData()
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil, nil
}

// statesOutcome reports whether an end states a failure or a complete response. One without either may be of another format.
func statesOutcome(end *peerpb.ForwardEnd) bool { return end.GetFailure() != "" || end.GetSent() }

// Close ends the reply. The instance abandons the request if it has not ended.
func (r *Forwarded) Close() {
	r.timer.Stop()
	if r.ended && r.stream.Close() == nil {
		r.client.pool.Put(r.addr, r.conn)
		r.cancel(nil)
		return
	}
	r.cancel(context.Canceled)
	_ = r.conn.Close() // nothing depends on it any more
}

// ForwardWriter sends the reply to a forwarded request.
type ForwardWriter struct{ stream peerpb.DRPCPeer_ForwardStream }

// Head sends the head of the response.
func (w ForwardWriter) Head(h ForwardHead) error {
	return w.stream.Send(&peerpb.ForwardReply{Part: &peerpb.ForwardReply_Head{Head: &peerpb.ForwardHead{
		TargetId: h.TargetID, Incarnation: h.Incarnation, Software: h.Software, Status: int32(h.Status), //nolint:gosec // a status has three digits
		Headers: encodeHeader(h.Header), Unframed: h.Unframed,
	}}})
}

// Write sends a part of the body.
func (w ForwardWriter) Write(p []byte) (int, error) {
	for sent := 0; sent < len(p); {
		part := p[sent:min(len(p), sent+forwardPartBytes)]
		if err := w.stream.Send(&peerpb.ForwardReply{Part: &peerpb.ForwardReply_Data{Data: part}}); err != nil {
			return sent, err
		}
		sent += len(part)
	}
	return len(p), nil
}

// Forward sends a request to a target.
func (s *rpcHandler) Forward(in *peerpb.ForwardRequest, stream peerpb.DRPCPeer_ForwardStream) error {
	if s.Server.Forward == nil {
		return refusedError(errNotServed)
	}
	s.forwarding.Add(1)
	defer s.forwarding.Add(-1)
	releaseRead(stream.Context())
	end := s.Server.Forward(stream.Context(), decodeForward(in), ForwardWriter{stream})
	return stream.Send(&peerpb.ForwardReply{Part: &peerpb.ForwardReply_End{End: &peerpb.ForwardEnd{
		Failure: end.Failure, Detail: strings.ToValidUTF8(end.Detail, "\uFFFD"), Sent: end.Sent, Crashed: end.Crashed, TargetId: end.TargetID, Incarnation: end.Incarnation,
		Code: int32(end.Code), RetryAfterMs: end.RetryAfter.Milliseconds(), //nolint:gosec // codes have four digits
	}}})
}

func encodeForward(f Forward) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		RequestId: f.RequestID, Method: f.Method, Host: f.Host, Uri: f.URI, Headers: encodeHeader(f.Header), Body: f.Body,
		Organisation: f.Organisation, Priority: int32(f.Priority), HasPrompt: f.HasPrompt, LastEventId: f.LastEventID, NonIdempotent: f.NonIdempotent, //nolint:gosec // a priority has one digit
		RemainingMs: f.Remaining.Milliseconds(), HeaderTimeoutMs: f.HeaderTimeout.Milliseconds(),
		Service: f.Service, Software: f.Software, Prefix: f.Prefix, Avoid: f.Avoid,
	}
}

func decodeForward(in *peerpb.ForwardRequest) Forward {
	return Forward{
		RequestID: in.GetRequestId(), Method: in.GetMethod(), Host: in.GetHost(), URI: in.GetUri(), Header: decodeHeader(in.GetHeaders()), Body: in.GetBody(),
		Organisation: in.GetOrganisation(), Priority: int(in.GetPriority()), HasPrompt: in.GetHasPrompt(), LastEventID: in.GetLastEventId(), NonIdempotent: in.GetNonIdempotent(),
		Remaining: time.Duration(in.GetRemainingMs()) * time.Millisecond, HeaderTimeout: time.Duration(in.GetHeaderTimeoutMs()) * time.Millisecond,
		Service: in.GetService(), Software: in.GetSoftware(), Prefix: in.GetPrefix(), Avoid: in.GetAvoid(),
	}
}

func decodeEnd(in *peerpb.ForwardEnd) *ForwardEnd {
	return &ForwardEnd{
		Failure: in.GetFailure(), Detail: in.GetDetail(), Sent: in.GetSent(), Crashed: in.GetCrashed(), TargetID: in.GetTargetId(), Incarnation: in.GetIncarnation(),
		Code: int(in.GetCode()), RetryAfter: time.Duration(in.GetRetryAfterMs()) * time.Millisecond,
	}
}

func encodeHeader(h http.Header) []*peerpb.Header {
	fields := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		field := &peerpb.Header{Name: name, Values: values}
		if slices.ContainsFunc(values, func(value string) bool { return !utf8.ValidString(value) }) {
			field.Values = nil
			for _, value := range values {
				field.RawValues = append(field.RawValues, []byte(value))
			}
		}
		fields = append(fields, field)
	}
	return fields
}

func decodeHeader(fields []*peerpb.Header) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
		for _, value := range f.GetRawValues() {
			h[f.GetName()] = append(h[f.GetName()], string(value))
		}
	}
	return h
}
