// Package host contains the code shared by the fake targets: the HTTP server, JSON bodies, injected faults and delayed
// load reports.
package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/roster"
)

const (
	// maxBody is the maximum size of a request body, in bytes.
	maxBody = 16 << 20
	// headerTimeout bounds the time in which a client must send the headers of a request.
	headerTimeout = 10 * time.Second
)

// Server serves a handler on its own listener. Exported fields are set before Run.
type Server struct {
	// ListenAddr is the address to listen on; port 0 selects a free port.
	ListenAddr string
	// Handler handles the requests.
	Handler http.Handler

	ready chan struct{}
	addr  string
	crash context.CancelFunc
	// closed is closed once the listener and all connections are closed.
	closed chan struct{}
}

// Default sets unset fields to their defaults.
func (s *Server) Default() {
	if s.ListenAddr == "" {
		s.ListenAddr = "127.0.0.1:0"
	}
	if s.ready == nil {
		s.ready = make(chan struct{})
	}
}

// Addr waits until Run listens and returns the address, or an empty string when listening failed.
func (s *Server) Addr() string {
	<-s.ready
	return s.addr
}

// Run serves until the context ends, and then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.ListenAddr)
	if err != nil {
		close(s.ready)
		return fmt.Errorf("listen on %s (check that the port is free): %w", s.ListenAddr, err)
	}
	ctx, s.crash = context.WithCancel(ctx)
	defer s.crash()
	s.closed = make(chan struct{})
	s.addr = ln.Addr().String()
	close(s.ready)
	srv := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() {
		_ = srv.Close()
		close(s.closed)
	})
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", s.addr, err)
	}
	return nil
}

// Crash simulates the end of the process: it closes the listener and then all connections, so that no client sees its connection end while the
// server still accepts others. It panics to abort the request that calls it.
func (s *Server) Crash() {
	s.crash()
	<-s.closed
	panic(http.ErrAbortHandler)
}

// HangUntilClosed reads the request and never responds; it returns when the client disconnects.
func HangUntilClosed(r *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBody))
	<-r.Context().Done()
}

// ReadBody returns the body of a request; on failure it responds with status 400 and returns false.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		WriteError(w, http.StatusBadRequest, "unreadable body")
	}
	return body, err == nil
}

// ReadJSON decodes the body of a request; on failure it responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, ok := ReadBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, v); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// WriteJSON writes a response with a JSON value.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
	// RequestID and Attempt name the call that the response belongs to, if it could be read.
	RequestID string `json:"request_id,omitempty"`
	Attempt   int    `json:"attempt,omitempty"`
}

// WriteError writes an error response with a status and a reason.
func WriteError(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, ErrorBody{Error: reason})
}

// NewRand returns a random number generator that depends on the seed and the key alone.
func NewRand(seed uint64, key string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(key)))
}

// Faults holds the current faults and serves them under /control/faults. Exported fields are set before the first use.
type Faults[F any] struct {
	// Defaults holds the values of fields that a PUT omits, and the faults before the first Set.
	Defaults F

	mu      sync.Mutex
	set     bool
	current F
}

// Get returns the current faults.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.set {
		return f.Defaults
	}
	return f.current
}

// Set replaces the current faults.
func (f *Faults[F]) Set(now F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set, f.current = true, now
}

// ServeHTTP replaces the faults when the method is PUT, and responds with the current faults.
func (f *Faults[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		now := f.Defaults
		if !ReadJSON(w, r, &now) {
			return
		}
		f.Set(now)
	}
	WriteJSON(w, http.StatusOK, f.Get())
}

// LoadCache caches a load report, which simulates reports that lag behind the load.
type LoadCache struct {
	// MaxAge is the age at which a report is measured again.
	MaxAge time.Duration

	mu         sync.Mutex
	measuredAt time.Time
	load       roster.Load
}

// Report returns the cached report with its age, or a new one when the cached report has reached MaxAge.
func (l *LoadCache) Report(measure func() roster.Load) roster.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := time.Since(l.measuredAt)
	if age >= l.MaxAge {
		l.measuredAt, l.load, age = time.Now(), measure(), 0
	}
	report := l.load
	report.AgeMS = age.Milliseconds()
	return report
}
