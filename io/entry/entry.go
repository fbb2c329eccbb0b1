// Package entry is the edge towards callers on the platform: it takes requests of any
// method and path, hands them to the relay and passes answers on as they arrive.
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
	"sync/atomic"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/relay"
	"cranberryrail/io/httpd"
)

// Bounds of what callers may do.
const (
	// headerTimeout is the longest time for the headers of a request; it is above what the
	// operators' configuration allows callers.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection without a request is kept: callers use connections
	// again for most of the idle time that the operators' configuration names.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the most bytes of the headers of a request.
	maxHeaderBytes = 32 << 10
	// bodyTimeout is the longest time for a body to arrive; callers wait no longer for answers.
	bodyTimeout = 15 * time.Second
	// retryStopping is when to come back to an instance that stops: at once, since another one
	// takes the request.
	retryStopping = 50 * time.Millisecond
	// retryBodyMemory is when to come back to an instance whose memory is taken by requests.
	retryBodyMemory = 200 * time.Millisecond
)

// Server is the listener for callers. Exported fields are set before Listen.
type Server struct {
	// BodyBytes is the largest body of a request, and HeldBytes the most bytes of bodies of all
	// requests in flight.
	BodyBytes, HeldBytes int64
	// Read reads a request, but for its body.
	Read func(r *http.Request) (*relay.Request, error)
	// Serve relays a request.
	Serve func(ctx context.Context, req *relay.Request, sink relay.Sink) relay.Result
	// Refuse sets the headers of a refusal.
	Refuse func(h http.Header, id string, after time.Duration)
	// Ended is told of each request that ended.
	Ended func(r relay.Result, took time.Duration)
	// Panicked is told of a panic while a request was served.
	Panicked func(reason any)

	server httpd.Server
	// stopAt is when the server ends, in Unix nanoseconds; 0 while it does not stop.
	stopAt atomic.Int64
	// closeConns tells that answers close their connections.
	closeConns    atomic.Bool
	inFlight      atomic.Int64
	bufferedBytes atomic.Int64
}

// String names the server for logs.
func (s *Server) String() string { return "entry for callers" }

// Listen opens the listener.
func (s *Server) Listen(ctx context.Context, addr string) error {
	s.server.Whom, s.server.Setting = "callers", "caller.listen"
	s.server.Server = http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	return s.server.Listen(ctx, addr)
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error { return s.server.Run(ctx) }

// Addr returns the address that is listened on.
func (s *Server) Addr() string { return s.server.Address() }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Leave makes each answer close its connection, so that callers move on, while requests are
// still served. Idle connections stay open: the library would also close one on which a
// request has just arrived, after which the request would still be served.
func (s *Server) Leave() { s.closeConns.Store(true) }

// Stop refuses new requests that may take until after the given time, all of them once it
// has come.
func (s *Server) Stop(until time.Time) { s.stopAt.Store(until.UnixNano()) }

// stopsBefore reports whether the server may end before a request does.
func (s *Server) stopsBefore(req *relay.Request) bool {
	stopAt := s.stopAt.Load()
	return stopAt != 0 && (req.Patience == 0 || time.Now().Add(req.Patience).UnixNano() > stopAt)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	defer s.recoverPanic()
	req, refused := s.readRequest(w, r)
	if req != nil {
		defer s.bufferedBytes.Add(-int64(len(req.Body)))
	}
	if refused != nil {
		result := relay.Result{Request: req, Refused: refused, Status: refused.Code.Status}
		s.writeRefusal(w, req, refused)
		s.Ended(result, time.Since(started))
		return
	}
	req.Arrived = started
	result := s.Serve(r.Context(), req, s.newSink(w))
	s.Ended(result, time.Since(started))
	switch {
	case result.Cut || result.Gone:
		panic(http.ErrAbortHandler) // closes the connection, so that the answer does not look whole
	case result.Refused != nil:
		s.writeRefusal(w, req, result.Refused)
	}
}

// recoverPanic reports a panic, and lets that by which a connection is closed pass.
func (s *Server) recoverPanic() {
	reason := recover()
	if reason == nil {
		return
	}
	if err, ok := reason.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		s.Panicked(reason)
	}
	panic(http.ErrAbortHandler)
}

// readRequest reads a request with its body. The request may be returned beside a refusal.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (*relay.Request, *codes.Error) {
	req, err := s.Read(r)
	if err != nil {
		return nil, codes.Refuse(codes.BadRequest, 0, "%v", err)
	}
	if s.stopsBefore(req) {
		return req, codes.Refuse(codes.Stopping, retryStopping, "send the request again; another instance takes it")
	}
	if r.ContentLength == 0 {
		return req, nil
	}
	if s.bufferedBytes.Load()+max(r.ContentLength, 0) > s.HeldBytes {
		return req, codes.Refuse(codes.TooManyInFlight, retryBodyMemory, "the bodies of requests in flight take %d bytes", s.bufferedBytes.Load())
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // servers of HTTP/1.1 support it
	body, refused := s.readBody(http.MaxBytesReader(w, r.Body, s.BodyBytes))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if refused != nil {
		return req, refused
	}
	s.bufferedBytes.Add(int64(len(body)))
	req.Body = body
	return req, nil
}

func (s *Server) readBody(r io.Reader) ([]byte, *codes.Error) {
	body, err := io.ReadAll(r)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &large):
		return nil, codes.Refuse(codes.BodyTooLarge, 0, "at most %d bytes are allowed", large.Limit)
	default:
		return nil, &codes.Error{Code: codes.BodyTimeout, Run: codes.NotRun, Detail: "the body did not arrive", Err: err}
	}
}

// newSink passes an answer on to a caller.
func (s *Server) newSink(w http.ResponseWriter) relay.Sink {
	controller := http.NewResponseController(w)
	stream := false
	return relay.Sink{
		Head: func(status int, header http.Header, length int64) {
			h := w.Header()
			for name, values := range header {
				h[name] = values
			}
			if length >= 0 {
				h.Set("Content-Length", strconv.FormatInt(length, 10))
			}
			stream = length < 0
			if s.closeConns.Load() {
				h.Set("Connection", "close")
			}
			w.WriteHeader(status)
		},
		Write: func(p []byte) error {
			if _, err := w.Write(p); err != nil {
				return fmt.Errorf("write the answer: %w", err)
			}
			if !stream {
				return nil
			}
			return controller.Flush()
		},
	}
}

// refusal is the JSON of a refusal.
type refusal struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code    int       `json:"code"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
	Run     codes.Run `json:"run"`
}

// writeRefusal answers with a refusal.
func (s *Server) writeRefusal(w http.ResponseWriter, req *relay.Request, e *codes.Error) {
	id := ""
	if req != nil {
		id = req.ID
	}
	s.Refuse(w.Header(), id, e.RetryAfter)
	body, err := json.Marshal(refusal{refusalError{e.Code.Number, e.Code.Name, e.Code.Text + " " + e.Detail, e.Run}})
	if err != nil {
		panic(fmt.Sprintf("encode a refusal: %v", err)) // the type always has a JSON form
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if e.Code == codes.LogUnavailable || s.closeConns.Load() {
		// The caller's next connection goes to an instance that can cover its requests.
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(e.Code.Status)
	_, _ = w.Write(body) // the server notes a caller that is gone
}
