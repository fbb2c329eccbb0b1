// Package platf is a stand-in for the platform: the append-only log and the lagging
// list of instances and targets, with faults that tests can switch on. All state is
// in memory.
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
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"cranberryrail/io/plat"
)

// Defaults and limits of the server.
const (
	// DefaultListenAddr lets the system choose a local port.
	DefaultListenAddr = "127.0.0.1:0"
	// DefaultAppendsPerSecond is the rate limit over all streams.
	DefaultAppendsPerSecond = 400
	// BurstTime is the time whose share of the rate limit may be used at once.
	BurstTime = 100 * time.Millisecond
	// HeaderTimeout bounds the time in which a request's header arrives.
	HeaderTimeout = 10 * time.Second
	// StopTimeout is how long running calls may take to end when the server stops.
	StopTimeout = time.Second
	// maxControlBytes is the size of the largest body of a control call.
	maxControlBytes = 8 << 20
)

// Server is the stand-in. Exported fields are set, and Default is called, before
// any other use. Run is called at most once.
type Server struct {
	// ListenAddr is the address to listen on.
	ListenAddr string
	// Retention is the number of records kept of each stream; 0 keeps all.
	Retention int
	// AppendsPerSecond is the rate limit over all streams.
	AppendsPerSecond float64
	// ListLag is the age of the list that GET /v1/members shows.
	ListLag time.Duration
	// Seed fixes the random choices of faults.
	Seed uint64
	// Log takes the server's log lines.
	Log zerolog.Logger
	// Now returns the time for the rate limit and the list.
	Now func() time.Time

	mu       sync.Mutex
	listener net.Listener
	limiter  *rate.Limiter
	rand     *rand.Rand
	streams  map[string]*stream
	faults   Faults
	lists    []datedList
	reads    int64 // of the list
	stopped  bool
	stop     chan struct{} // closed when the server stops
	late     errgroup.Group
}

// String names the server for logs.
func (s *Server) String() string { return "stand-in of the platform at " + s.Addr() }

// Default fills fields that were left empty.
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
	burst := max(1, int(s.AppendsPerSecond*BurstTime.Seconds()))
	s.limiter = rate.NewLimiter(rate.Limit(s.AppendsPerSecond), burst)
	s.rand = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.streams = map[string]*stream{}
	s.stop = make(chan struct{})
}

// Listen opens the listener, so that Addr is known before Run. Run calls it when it was
// not called before.
func (s *Server) Listen(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.ListenAddr)
	if err != nil {
		return fmt.Errorf("listen on %s for the platform's stand-in: %w; choose a free address", s.ListenAddr, err)
	}
	s.listener = l
	return nil
}

// Addr returns the address that the server listens on, or "" before Listen.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Run serves until the context ends. Appends that are still delayed by then are lost.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Listen(ctx); err != nil {
		return err
	}
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: HeaderTimeout}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve the platform's stand-in: %w", err)
		}
		return nil
	})
	g.Go(func() error {
		<-gctx.Done()
		return s.shutdown(context.WithoutCancel(ctx), srv)
	})
	s.Log.Info().Str("addr", s.Addr()).Msg("platform stand-in listens")
	return g.Wait()
}

func (s *Server) shutdown(ctx context.Context, srv *http.Server) error {
	s.mu.Lock()
	s.stopped = true
	close(s.stop)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, StopTimeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
	return s.late.Wait()
}

// Handler returns the handler of all of the platform's calls and of the control calls.
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
	_ = json.NewEncoder(w).Encode(v) // the caller has left when this fails
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, plat.ErrorReply{Error: text})
}

// readJSON decodes the body of a control call, or answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, "decode the body: "+err.Error())
		return false
	}
	return true
}
