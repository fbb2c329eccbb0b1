// Package platf is a fake of the platform: an in-memory append-only log and a membership list of instances and
// targets that is served with a lag. Tests can inject faults into both.
package platf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"cranberryrail/io/plat"
)

// Defaults and limits of the server.
const (
	// DefaultListenAddr is a loopback address whose port the operating system selects.
	DefaultListenAddr = "127.0.0.1:0"
	// DefaultAppendsPerSecond is the default rate limit on appends, for all streams together.
	DefaultAppendsPerSecond = 400
	// BurstWindow sets the burst of the rate limit: the number of appends that the limit allows in this time, at least
	// 1.
	BurstWindow = 100 * time.Millisecond
	// HeaderTimeout bounds the time to read the headers of a request.
	HeaderTimeout = 10 * time.Second
	// ShutdownTimeout bounds how long the server waits for calls in flight when it stops.
	ShutdownTimeout = time.Second
	// maxControlBytes is the maximum body size of a control call.
	maxControlBytes = 8 << 20
)

// Server is the fake platform. The exported fields must be set, and Default called, before any other use. Run must be
// called at most once.
type Server struct {
	// ListenAddr is the address to listen on.
	ListenAddr string
	// Retention is the number of records retained per stream; 0 retains all.
	Retention int
	// AppendsPerSecond is the rate limit on appends, for all streams together.
	AppendsPerSecond float64
	// ListLag is the age of the membership list that GET /v1/members returns.
	ListLag time.Duration
	// Seed seeds the random generator that draws faults.
	Seed uint64
	// Log receives the log lines of the server.
	Log zerolog.Logger
	// Now returns the time that the rate limit and the list lag are measured against.
	Now func() time.Time

	mu          sync.Mutex
	listener    net.Listener
	limiter     *rate.Limiter
	rand        *rand.Rand
	streams     map[string]*stream
	faults      Faults
	memberLists []memberList
	listReads   int64
	stopped     bool
	stop        chan struct{} // closed when the server shuts down
	lateAppends errgroup.Group
	// appending is the number of append calls in progress.
	appending atomic.Int64
}

// String identifies the server in logs.
func (s *Server) String() string { return "fake platform at " + s.Addr() }

// Default sets the defaults of unset fields.
func (s *Server) Default() {
	if s.ListenAddr == "" {
		s.ListenAddr = DefaultListenAddr
	}
	if s.AppendsPerSecond == 0 {
		s.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.stop != nil {
		return
	}
	burst := max(1, int(s.AppendsPerSecond*BurstWindow.Seconds()))
	s.limiter = rate.NewLimiter(rate.Limit(s.AppendsPerSecond), burst)
	s.rand = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.streams = map[string]*stream{}
	s.stop = make(chan struct{})
}

// Listen opens the listener, so that Addr is available before Run. Run calls Listen if the listener is not open.
func (s *Server) Listen(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.ListenAddr)
	if err != nil {
		return fmt.Errorf("open the listener of the fake platform on %s: %w; choose a free address", s.ListenAddr, err)
	}
	s.listener = l
	return nil
}

// Addr returns the address that the server listens on, or the empty string before Listen.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Run serves until the context is cancelled. Late appends that are still pending then are discarded.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Listen(ctx); err != nil {
		return err
	}
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: HeaderTimeout}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve the fake platform: %w", err)
		}
		return nil
	})
	g.Go(func() error {
		<-gctx.Done()
		return s.shutdown(context.WithoutCancel(ctx), srv)
	})
	s.Log.Info().Str("addr", s.Addr()).Msg("fake platform listening")
	return g.Wait()
}

func (s *Server) shutdown(ctx context.Context, srv *http.Server) error {
	s.mu.Lock()
	s.stopped = true
	close(s.stop)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, ShutdownTimeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
	return s.lateAppends.Wait()
}

// Handler returns the handler of the platform API and of the control API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.handleRead)
	mux.HandleFunc("GET /v1/members", s.handleMembers)
	mux.HandleFunc("GET /control/members", s.handleCurrentMembers)
	mux.HandleFunc("PUT /control/members", s.handleSetMembers)
	mux.HandleFunc("PUT /control/instances/{id}", s.handleSetInstance)
	mux.HandleFunc("DELETE /control/instances/{id}", s.handleDeleteInstance)
	mux.HandleFunc("PUT /control/targets/{id}", s.handleSetTarget)
	mux.HandleFunc("DELETE /control/targets/{id}", s.handleDeleteTarget)
	mux.HandleFunc("GET /control/faults", s.handleFaults)
	mux.HandleFunc("PUT /control/faults", s.handleSetFaults)
	mux.HandleFunc("GET /control/counts", s.handleCounts)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, plat.ErrorReply{Error: text})
}

// readJSON decodes the body of a control call. If this fails, it replies with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, "decode request body as JSON: "+err.Error())
		return false
	}
	return true
}
