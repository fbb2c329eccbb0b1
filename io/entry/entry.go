// Package entry is the HTTP server for callers on the platform. It accepts requests of any method and
// path, passes them to the relay and forwards responses as they arrive.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/flow"
	"cranberryrail/core/guard"
	"cranberryrail/core/relay"
	"cranberryrail/io/httpd"
)

// Limits on callers.
const (
	// headerTimeout bounds the time to read request headers. It is longer than what the operators'
	// configuration allows callers.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection is kept open. Callers reuse connections for most of
	// the idle time that the operators' configuration states.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the headers of a request.
	maxHeaderBytes = 32 << 10
	// bodyTimeout bounds the time to read a request body. Callers wait no longer than this for responses.
	bodyTimeout = 15 * time.Second
	// retryStopping is the Retry-After of a stopping instance. It is short, since another instance
	// serves the retry.
	retryStopping = 50 * time.Millisecond
	// retryBodyMemory is the Retry-After when buffered request bodies use all of their memory.
	retryBodyMemory = 200 * time.Millisecond
	// retryLink is the Retry-After of a request that the link can't carry. It is short, since another instance serves the
	// retry.
	retryLink = 50 * time.Millisecond
	// endTimeout is how long the handlers of closed connections may take to end, in a third of the time that is reserved for the exit of the process, and
	// endChecks is how often it is checked meanwhile.
	endTimeout = 100 * time.Millisecond
	endChecks  = 20
	// overheadBytes is the size of the headers of a request and its response, and of the frames that carry them.
	overheadBytes = 1500
	// writeOverheadBytes is the size of the frames that carry one part of a stream.
	writeOverheadBytes = 80
)

// Server is the listener for callers. Exported fields are set before Listen.
type Server struct {
	// MaxBodyBytes limits the body of one request.
	MaxBodyBytes int64
	// Guard accounts for connections, heads and bodies. A request is refused if there is no memory for its head, its declared length or what was read of its body. Optional.
	Guard *guard.Guard
	// ParseRequest parses a request except for its body.
	ParseRequest func(r *http.Request) (*relay.Request, error)
	// Serve relays a request.
	Serve func(ctx context.Context, req *relay.Request, sink relay.Sink) relay.Result
	// MaxTime returns the maximum time from the arrival of a request to the end of its answer.
	MaxTime func(req *relay.Request) time.Duration
	// RefusesLong reports whether all requests are refused that may outlast the server before a scheduled stop, since another one takes them. Otherwise only
	// those are that usually do. Optional; nil means always.
	RefusesLong func() bool
	// UsualTime returns the time that requests like one have taken. StopRetryAfter returns when a caller should retry that can reach no other server yet. Both
	// are optional if RefusesLong is nil.
	UsualTime      func(req *relay.Request) time.Duration
	StopRetryAfter func() time.Duration
	// SetRefusalHeaders sets the headers of a refusal.
	SetRefusalHeaders func(h http.Header, id string, after time.Duration)
	// OnEnd is called at the end of each request.
	OnEnd func(r relay.Result, took time.Duration)
	// LinkDelay returns how long data waits at the link of the machine, and OnTraffic is called with the bytes that are
	// received from callers, or sent to them, and pass the link on their way to and from a target; optional.
	LinkDelay func() time.Duration
	// LinkLimit returns the delay from which on a request is refused; optional, flow.MaxDelay by default.
	LinkLimit func(req *relay.Request) time.Duration
	OnTraffic func(bytes int)
	// OnPanic is called with the value of a panic that occurs while a request is served.
	OnPanic func(reason any)

	server httpd.Server
	// stopAt is when the server stops, in Unix nanoseconds; 0 if no stop is scheduled.
	stopAt atomic.Int64
	// closeConns is set if every response closes its connection.
	closeConns atomic.Bool
	// closed is set once the connections of requests in flight are closed.
	closed   atomic.Bool
	inFlight atomic.Int64
	// bodiesMu protects bodies, which holds the requests whose bodies are being read, with the time by which each must have arrived.
	bodiesMu sync.Mutex
	bodies   map[*http.ResponseController]time.Time
}

// String returns the name of the server for logs.
func (s *Server) String() string { return "HTTP server for callers" }

// Listen opens the listener.
func (s *Server) Listen(ctx context.Context, addr string) error {
	if s.LinkDelay == nil {
		s.LinkDelay = func() time.Duration { return 0 }
	}
	if s.LinkLimit == nil {
		s.LinkLimit = func(*relay.Request) time.Duration { return flow.MaxDelay }
	}
	if s.RefusesLong == nil {
		s.RefusesLong = func() bool { return true }
	}
	if s.OnTraffic == nil {
		s.OnTraffic = func(int) {}
	}
	if s.Guard == nil {
		s.Guard = &guard.Guard{}
	}
	s.server.Guard = s.Guard
	s.server.Clients, s.server.Setting = "callers", "caller.listen"
	s.server.OnClose = func() { s.closed.Store(true) }
	s.server.Server = http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s.server.Listen(ctx, addr)
}

// Run serves on the listener that Listen opened until the context ends, and then closes all connections,
// including those with requests in flight. It returns once their handlers have ended, or shortly afterwards.
func (s *Server) Run(ctx context.Context) error {
	err := s.server.Run(ctx)
	for end := time.Now().Add(endTimeout); s.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(endTimeout / endChecks)
	}
	return err
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.server.Address() }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// CloseConnections makes each response close its connection, so that callers reconnect to another instance,
// while requests are still served. Idle connections stay open: net/http would also close one on which
// a request has just arrived, and would still serve that request.
func (s *Server) CloseConnections() { s.closeConns.Store(true) }

// StopAt refuses new requests whose time limit ends after the given time, if RefusesLong reports so, or else those that usually end after it. From that time
// on all new requests are refused, and those whose body has not arrived.
func (s *Server) StopAt(until time.Time) {
	s.bodiesMu.Lock()
	defer s.bodiesMu.Unlock()
	s.stopAt.Store(until.UnixNano())
	for c, limit := range s.bodies {
		if until.Before(limit) {
			_ = c.SetReadDeadline(until) // supported by HTTP/1.1 servers
		}
	}
}

// beginBody limits the time to read the body of a request, which ends when the server stops.
func (s *Server) beginBody(c *http.ResponseController) {
	s.bodiesMu.Lock()
	defer s.bodiesMu.Unlock()
	limit := time.Now().Add(bodyTimeout)
	if s.bodies == nil {
		s.bodies = map[*http.ResponseController]time.Time{}
	}
	s.bodies[c] = limit
	if stopAt := s.stopAt.Load(); stopAt != 0 && stopAt < limit.UnixNano() {
		limit = time.Unix(0, stopAt)
	}
	_ = c.SetReadDeadline(limit) // supported by HTTP/1.1 servers
}

// endBody ends the change of the limit of beginBody by a stop. The deadline remains: it may be that of a request which the guard has ended.
func (s *Server) endBody(c *http.ResponseController) {
	s.bodiesMu.Lock()
	defer s.bodiesMu.Unlock()
	delete(s.bodies, c)
}

// isStopped reports whether the time of a scheduled stop has passed.
func (s *Server) isStopped() bool {
	stopAt := s.stopAt.Load()
	return stopAt != 0 && time.Now().UnixNano() >= stopAt
}

// refuseStopping refuses a request that arrived at a time if the server may stop before its time limit and another one takes it, or if it usually takes longer
// than is left.
func (s *Server) refuseStopping(req *relay.Request, arrived time.Time) *codes.Error {
	stopAt := s.stopAt.Load()
	switch {
	case stopAt == 0 || arrived.Add(s.MaxTime(req)).UnixNano() <= stopAt:
		return nil
	case s.RefusesLong():
		return codes.Refuse(codes.Stopping, retryStopping, "retry the request; another instance takes it")
	case arrived.Add(s.UsualTime(req)).UnixNano() <= stopAt:
		return nil
	default:
		return codes.Refuse(codes.Stopping, max(s.StopRetryAfter(), retryStopping), "the instance stops before requests like this one usually end; retry it later")
	}
}

// exchange is one request and its answer.
type exchange struct {
	started time.Time
	// req is set once the request is relayed, and headAt once the head of its answer is sent.
	req    *relay.Request
	headAt time.Time
	// reported is set once the end was reported.
	reported bool
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{started: time.Now()}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	defer s.recoverPanic(r, x)
	account := httpd.Account(r.Context().Value(connKey{}))
	req, refused := s.readRequest(w, r, account, x.started)
	if refused != nil {
		result := relay.Result{Request: req, Refused: refused, Status: refused.Code.Status}
		account.Refuse()
		if account.Ended() {
			w.Header().Set("Connection", "close")
		} else {
			// net/http reads the rest of a body before it replies.
			_ = http.NewResponseController(w).SetReadDeadline(x.started.Add(bodyTimeout)) // supported by HTTP/1.1 servers
		}
		s.writeRefusal(w, req, refused)
		s.reportEnd(x, result)
		return
	}
	req.Arrived, x.req = x.started, req
	result := s.Serve(r.Context(), req, s.newSink(w, r.Method, x))
	s.reportEnd(x, s.attribute(r.Context(), result))
	switch {
	case result.Refused != nil && !result.Truncated:
		s.writeRefusal(w, req, result.Refused) // A caller that has closed only its sending direction still waits for it.
	case result.Truncated || result.CallerGone:
		panic(http.ErrAbortHandler) // recoverPanic closes the connection, so that the response does not look complete
	}
}

// attribute corrects who ended a request, given its context: the relay doesn't know who closed the connection, nor that the caller disconnected before an
// answer was sent that net/http had buffered.
func (s *Server) attribute(ctx context.Context, result relay.Result) relay.Result {
	if result.EndedBy == "" && result.Refused == nil && ctx.Err() != nil {
		result.EndedBy = relay.ByCaller
	}
	if result.EndedBy == relay.ByCaller && s.closed.Load() {
		result.EndedBy = relay.ByProcess
	}
	return result
}

// reportEnd reports the end of a request.
func (s *Server) reportEnd(x *exchange, result relay.Result) {
	x.reported = true
	s.OnEnd(result, time.Since(x.started))
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// abort closes the connection of a request, so that its response does not look complete. It does not return.
func abort(r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if ok && !r.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(0) // A response without chunks ends with its connection, unless that is reset.
	}
	panic(http.ErrAbortHandler)
}

// recoverPanic reports a panic other than http.ErrAbortHandler, and with it the end of the request, and closes the connection.
func (s *Server) recoverPanic(r *http.Request, x *exchange) {
	reason := recover()
	if reason == nil {
		return
	}
	if err, ok := reason.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		s.OnPanic(reason)
		if !x.reported && x.req != nil {
			s.reportEnd(x, s.panicked(x, reason))
		}
	}
	abort(r)
}

// panicked returns the result of a request whose handler panicked.
func (s *Server) panicked(x *exchange, reason any) relay.Result {
	result := relay.Result{
		Request: x.req, TimeLimit: s.MaxTime(x.req), EndedBy: relay.ByProcess, Truncated: !x.headAt.IsZero(),
		Refused: codes.From(fmt.Errorf("the handler panicked: %v", reason), codes.Unknown),
	}
	if result.Truncated {
		result.TimeToFirstByte = x.headAt.Sub(x.started)
	}
	return result
}

// readRequest reads a request with its body. Only an invalid request, or one for whose head there is no memory, gives no request; the other refusals (a
// stop of the instance is scheduled before the time limit of the request; the memory for bodies is used up;
// the body is too large or incomplete) come with the request, without a body.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, account *guard.Conn, arrived time.Time) (*relay.Request, *codes.Error) {
	controller := http.NewResponseController(w)
	if err := account.BeginRequest(headBytes(r), func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }); err != nil { // supported by HTTP/1.1 servers
		w.Header().Set("Connection", "close") // The head would stay in memory until the rest of the body has arrived.
		return nil, codes.Refuse(codes.TooManyInFlight, retryBodyMemory, "the heads of requests in flight leave too little memory for this one; retry later")
	}
	req, err := s.ParseRequest(r)
	if err != nil {
		return nil, codes.Refuse(codes.BadRequest, 0, "%v", err)
	}
	if refused := s.refuseStopping(req, arrived); refused != nil {
		return req, refused
	}
	if delay := s.LinkDelay(); delay > s.LinkLimit(req) {
		return req, codes.Refuse(codes.LinkFull, retryLink, "data waits %v at the link; retry the request, another instance takes it", delay)
	}
	s.OnTraffic(int(max(r.ContentLength, 0)) + overheadBytes)
	if r.ContentLength == 0 {
		return req, s.process(account)
	}
	if r.ContentLength > s.MaxBodyBytes {
		return req, s.refuseLargeBody()
	}
	if !account.HasRoom(max(r.ContentLength, 0)) {
		return req, s.refuseBodyMemory()
	}
	s.beginBody(controller)
	body, refused := s.readBody(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes), r.ContentLength, account)
	s.endBody(controller)
	switch {
	case refused == nil:
		refused = s.refuseStopping(req, arrived) // The stop may have begun meanwhile.
	case refused.Code == codes.BodyTimeout && s.isStopped():
		refused = codes.Refuse(codes.Stopping, retryStopping, "the body did not arrive before the instance stopped; retry the request, another instance takes it")
	}
	if refused == nil {
		refused = s.process(account)
	}
	if refused != nil {
		return req, refused
	}
	_ = controller.SetReadDeadline(time.Time{})
	req.Body = body
	return req, nil
}

// refuseLargeBody refuses a request whose body is over the limit.
func (s *Server) refuseLargeBody() *codes.Error {
	return codes.Refuse(codes.BodyTooLarge, 0, "at most %d bytes are allowed", s.MaxBodyBytes)
}

// process begins the processing of a request, unless it was ended.
func (s *Server) process(account *guard.Conn) *codes.Error {
	if account.Process() != nil {
		return s.refuseBodyMemory()
	}
	return nil
}

// headBytes returns the memory that the head of a request uses.
func headBytes(r *http.Request) int64 {
	text, fields := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, value := range values {
			text += len(name) + len(value)
		}
		fields += len(values)
	}
	return guard.HeadBytes(text, fields)
}

// ReserveBody counts a body of a request of another instance with the buffered ones, and reports whether there is memory for it. ReleaseBody must be called
// if so.
func (s *Server) ReserveBody(bytes int) bool {
	return s.Guard.ReserveBody(int64(bytes))
}

// ReleaseBody ends what ReserveBody counted.
func (s *Server) ReleaseBody(bytes int) { s.Guard.ReleaseBody(int64(bytes)) }

// refuseBodyMemory refuses a request whose body does not fit into the memory for bodies.
func (s *Server) refuseBodyMemory() *codes.Error {
	return codes.Refuse(codes.TooManyInFlight, retryBodyMemory, "the buffered bodies of requests in flight use %d bytes, which leaves too little memory for this one; retry later", s.Guard.BodyBytes())
}

const (
	// firstBytes is the size of the first array of a body, and chunkedGrowth and growth are the factors by which it grows. A body of known length grows in
	// few steps, since each array that is replaced uses memory until it is collected.
	firstBytes    = 16 << 10
	chunkedGrowth = 2
	growth        = 16
)

// readAll reads a body of some length, -1 if it is not known, and at most maxBytes, into an array that the account holds. Reading more must fail.
func readAll(r io.Reader, length, maxBytes int64, account *guard.Conn) ([]byte, error) {
	var body []byte
	most := maxBytes
	if length >= 0 {
		most = min(length, maxBytes)
	}
	for {
		if len(body) == cap(body) {
			size := max(int64(cap(body))*chunkedGrowth, firstBytes)
			if length >= 0 {
				size = max(int64(cap(body))*growth, firstBytes)
			}
			size = min(size, most+1) // The end is read into the last byte.
			if err := account.HoldBody(size - int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case account.Ended():
			return nil, guard.ErrShort
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// readBody reads a body of some length, -1 if it is not known.
func (s *Server) readBody(r io.Reader, length int64, account *guard.Conn) ([]byte, *codes.Error) {
	body, err := readAll(r, length, s.MaxBodyBytes, account)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, guard.ErrShort):
		return nil, s.refuseBodyMemory()
	case errors.As(err, &large):
		return nil, s.refuseLargeBody()
	default:
		return nil, &codes.Error{Code: codes.BodyTimeout, Run: codes.NotRun, Detail: "the body could not be read in time, or the connection failed", Err: err}
	}
}

// newSink returns a sink that forwards the response to a caller's request with a method. A response to HEAD states no length: that of the body that GET
// would bring is not known here.
func (s *Server) newSink(w http.ResponseWriter, method string, x *exchange) relay.Sink {
	controller := http.NewResponseController(w)
	lengthUnknown := false
	return relay.Sink{
		Head: func(status int, header http.Header, length int64) {
			h := w.Header()
			for name, values := range header {
				h[name] = values
			}
			if length >= 0 && method != http.MethodHead {
				h.Set("Content-Length", strconv.FormatInt(length, 10))
			}
			lengthUnknown = length < 0
			if s.closeConns.Load() {
				h.Set("Connection", "close")
			}
			w.WriteHeader(status)
			x.headAt = time.Now()
		},
		Write: func(p []byte) error {
			s.OnTraffic(len(p) + writeOverheadBytes)
			if _, err := w.Write(p); err != nil {
				return fmt.Errorf("write response: %w", err)
			}
			if !lengthUnknown {
				return nil
			}
			return controller.Flush()
		},
		Abort: func() { _ = controller.SetWriteDeadline(time.Unix(1, 0)) }, // supported by HTTP/1.1 servers
	}
}

// refusal is the JSON body of a refusal.
type refusal struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code    int       `json:"code"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
	Run     codes.Run `json:"run"`
}

// writeRefusal writes a refusal as the response.
func (s *Server) writeRefusal(w http.ResponseWriter, req *relay.Request, e *codes.Error) {
	id := ""
	if req != nil {
		id = req.ID
	}
	s.SetRefusalHeaders(w.Header(), id, e.RetryAfter)
	body, err := json.Marshal(refusal{refusalError{e.Code.Number, e.Code.Name, e.Code.Text + " " + e.Detail, e.Run}})
	if err != nil {
		panic(fmt.Sprintf("encode refusal: %v", err)) // the type can always be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if e.Code == codes.LogUnavailable || e.Code == codes.LinkFull || s.closeConns.Load() {
		// The caller reconnects to an instance that can serve its requests.
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(e.Code.Status)
	_, _ = w.Write(body) // the server detects a disconnected caller
}
