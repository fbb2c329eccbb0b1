// Package front is the HTTP server for callers. It validates requests, streams responses in the
// formats that clients of model services expect, and writes refusals with their numbered codes.
package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/core/memory"
	"cranberryrail/core/once"
	"cranberryrail/core/pause"
	"cranberryrail/core/poison"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/serve"
	"cranberryrail/core/spans"
	"cranberryrail/io/httpd"
	"cranberryrail/io/opts"
)

// Outcome is the outcome of one request, for the service level report.
type Outcome struct {
	Organisation string
	// FirstToken is the time to the first token; 0 if there was none.
	FirstToken time.Duration
	// Gap is the mean time between tokens; 0 with fewer than two.
	Gap time.Duration
	// Priority is the priority in the organisation's template.
	Priority int
	// Tokens is the number of tokens billed.
	Tokens int64
	// CallerGone is set if the caller disconnected before the end of the response.
	CallerGone bool
	// Err is the refusal or failure; nil for a complete response.
	Err *codes.Error
}

// Server serves callers. Exported fields are set before Default.
type Server struct {
	// Settings limit the size and duration of callers' requests.
	Settings opts.Caller
	// MaxReplyBytes limits the response of a plain service that is stored for retries.
	MaxReplyBytes int64
	// Ready reports whether the instance accepts requests.
	Ready func() bool
	// TemplateByKey returns the template of the organisation that owns a key.
	TemplateByKey func(sha256 string) (conf.Template, bool)
	// Ledger returns the ledger replica that is responsible for a budget.
	Ledger func(budget string) *ledger.Replica
	// Once returns the once replica that is responsible for an idempotency key.
	Once func(key string) *once.Replica
	// Route chooses targets and counts requests in flight.
	Route *route.Client
	// Generate serves model requests.
	Generate *serve.Server
	// Memory limits the text of the answers in flight that are not streams; optional.
	Memory *memory.Pool
	// MaxBodyMemory limits what the bodies of the requests in flight use together, in bytes; optional, 0 means no limit.
	MaxBodyMemory int64
	// CallService makes one call to a plain service.
	CallService func(ctx context.Context, t roster.Target, c Call) (Reply, error)
	// Crashes decides whether a call may be sent, depending on the targets that similar calls have crashed; optional.
	Crashes *poison.Tracker
	// HasCrashed reports whether the process of a target has ended, after a call to it failed; required if Crashes is set.
	HasCrashed func(ctx context.Context, t roster.Target) bool
	// Abandoned watches targets that may end only after a call to them has failed; optional.
	Abandoned *poison.Watcher
	// StreamLimit returns the longest time in which a model request with a maximum number of tokens ends, and CallLimit that of a call to a plain
	// service; required if Drain is called.
	StreamLimit func(maxTokens int) time.Duration
	CallLimit   time.Duration
	// OtherReady reports whether another instance takes requests; optional.
	OtherReady func() bool
	// OnServed is called at the end of each authenticated request; optional.
	OnServed func(s Outcome)

	server   httpd.Server
	active   activeSet
	inFlight atomic.Int64
	// bodyBytes is the size of the bodies of the requests in flight.
	bodyBytes atomic.Int64
	stopping  atomic.Bool
	// stopAt is when a stop ends, and noticeEnds when its notice does, in Unix nanoseconds; 0 if none has begun. noticeOver is set once its notice is over.
	stopAt, noticeEnds atomic.Int64
	noticeOver         atomic.Bool
	// spans knows how long requests of each kind take.
	spans spans.Tracker
}

// String returns the name of the server for logs.
func (s *Server) String() string { return "HTTP server for callers on " + s.Settings.Listen }

// Default sets unset fields to their defaults.
func (s *Server) Default() {
	if s.Memory == nil {
		s.Memory = &memory.Pool{}
	}
	if s.OnServed == nil {
		s.OnServed = func(Outcome) {}
	}
	if s.Ready == nil {
		s.Ready = func() bool { return true }
	}
	if s.OtherReady == nil {
		s.OtherReady = func() bool { return false }
	}
	s.active.ids = map[string]*active{}
	s.server.Clients, s.server.Setting = "callers", "caller.listen"
	s.server.Handler = s.handler()
	s.server.ReadHeaderTimeout = s.Settings.HeaderTimeoutMS.Duration()
	s.server.IdleTimeout = s.Settings.IdleTimeoutMS.Duration()
	s.server.MaxHeaderBytes = maxHeaderBytes
}

// maxHeaderBytes limits the headers of a request.
const maxHeaderBytes = 32 << 10

// Listen opens the listener. Addr is valid afterwards.
func (s *Server) Listen(ctx context.Context) error { return s.server.Listen(ctx, s.Settings.Listen) }

// Addr returns the listen address.
func (s *Server) Addr() string { return s.server.Address() }

// Run serves until the context ends, and then closes all connections. Call Drain first to let requests
// in flight finish.
func (s *Server) Run(ctx context.Context) error { return s.server.Run(ctx) }

// Drain marks the instance not ready, gives load balancers the notice period to redirect traffic, and
// waits for requests in flight until the deadline of the context. Requests that may take longer are refused: during the notice
// only if another instance takes them, since load balancers still send requests here, or if requests of their kind have taken longer.
func (s *Server) Drain(ctx context.Context, notice time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok {
		s.stopAt.Store(deadline.UnixNano())
	}
	s.noticeEnds.Store(time.Now().Add(notice).UnixNano())
	s.stopping.Store(true)
	pause.For(ctx, notice)
	s.noticeOver.Store(true)
	if err := s.server.Drain(ctx, s.InFlight); err != nil {
		return fmt.Errorf("drain: %d requests still in flight: %w", s.inFlight.Load(), err)
	}
	return nil
}

// Close closes all connections and aborts requests in flight.
func (s *Server) Close() { _ = s.server.Close() }

// Stopping reports whether Drain was called.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func (s *Server) handler() http.Handler {
	mux := s.routes()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			// The caller reconnects for its next request and reaches another instance.
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(newDeadlineWriter(w, s.Settings.WriteTimeoutMS.Duration()), r)
	})
}

func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("POST /v1/completions", s.admitReady(s.generate))
	mux.HandleFunc("POST /v1/chat/completions", s.admitReady(s.generate))
	mux.HandleFunc("POST /v1/services/{service}/{operation}", s.admitReady(s.callService))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, r.Header.Get(headerRequestID), codes.Refuse(codes.UnknownRoute, 0, "%s %s is not served; see docs/PROTOCOLS.md for the paths and methods", r.Method, r.URL.Path))
	})
	return mux
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// admitReady counts requests in flight and refuses them while the instance is not ready. A stopping
// instance still serves requests that arrive before its listener closes.
func (s *Server) admitReady(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if !s.Ready() {
			writeError(w, r.Header.Get(headerRequestID), codes.Refuse(codes.NotReady, retryNotReady, "send the request to another instance, or retry it here"))
			return
		}
		body := &countedBody{ReadCloser: r.Body, server: s}
		defer body.release()
		r.Body = body
		next(w, r)
	}
}

// withLimits serves a request within the in-flight limits of its organisation and of the instance.
func (s *Server) withLimits(t conf.Template, serve func() *codes.Error) *codes.Error {
	if err := s.Route.Acquire(t.Organisation, t.MaxInFlight); err != nil {
		return codes.From(err, codes.NotRun)
	}
	defer s.Route.Release(t.Organisation)
	return serve()
}

// refuseStopping refuses a request of a kind that may take a time if the instance may stop before and another one takes it, or if requests of its kind have
// taken longer than is left.
func (s *Server) refuseStopping(limit time.Duration, kind string) *codes.Error {
	stopAt, now := s.stopAt.Load(), time.Now()
	switch {
	case stopAt == 0 || now.Add(limit).UnixNano() <= stopAt:
		return nil
	case s.noticeOver.Load() || s.OtherReady():
		return codes.Refuse(codes.Stopping, retryStopping, "retry the request; another instance takes it")
	case now.Add(min(s.spans.Longest(kind, now), limit)).UnixNano() <= stopAt:
		return nil
	default:
		after := time.Until(time.Unix(0, s.noticeEnds.Load()))
		return codes.Refuse(codes.Stopping, max(after, retryStopping), "the instance stops before requests like this one usually end; retry it later")
	}
}

// retryStopping is the Retry-After of a stopping instance. It is short, since another instance serves the retry.
const retryStopping = 50 * time.Millisecond

// retryNotReady is the Retry-After of an instance that is starting.
const retryNotReady = time.Second

// authenticate returns the template of the caller's organisation.
func (s *Server) authenticate(r *http.Request) (conf.Template, *codes.Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return conf.Template{}, codes.Refuse(codes.BadKey, 0, "the API key is missing; send the header Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	t, ok := s.TemplateByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return conf.Template{}, codes.Refuse(codes.BadKey, 0, "the API key belongs to no organisation; check the header Authorization: Bearer KEY")
	}
	return t, nil
}
