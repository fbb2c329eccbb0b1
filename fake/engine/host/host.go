// Package host holds what the stand-ins for targets have in common: the listener,
// JSON bodies, the faults in force and load reports that lag behind.
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
	// maxBody is the largest request body that is read, in bytes.
	maxBody = 16 << 20
	// headerTimeout is how long a client may take to send the headers of a request.
	headerTimeout = 10 * time.Second
)

// Server serves a handler on a listener of its own. Exported fields are set before Run.
type Server struct {
	// ListenAddr is the address to listen on; port 0 takes a free one.
	ListenAddr string
	// Handler answers the requests.
	Handler http.Handler

	ready chan struct{}
	addr  string
}

// Default fills fields that were left empty.
func (s *Server) Default() {
	if s.ListenAddr == "" {
		s.ListenAddr = "127.0.0.1:0"
	}
	if s.ready == nil {
		s.ready = make(chan struct{})
	}
}

// Addr waits until Run listens and returns the address; it is empty when listening failed.
func (s *Server) Addr() string {
	<-s.ready
	return s.addr
}

// Run serves until the context ends, and then cuts all connections.
func (s *Server) Run(ctx context.Context) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.ListenAddr)
	if err != nil {
		close(s.ready)
		return fmt.Errorf("listen on %s (is the port taken?): %w", s.ListenAddr, err)
	}
	s.addr = ln.Addr().String()
	close(s.ready)
	srv := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", s.addr, err)
	}
	return nil
}

// HangUntilClosed reads the request and never answers it; it returns when the client has gone.
func HangUntilClosed(r *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBody))
	<-r.Context().Done()
}

// ReadBody returns the body of a request; it answers 400 and returns false when that fails.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		WriteError(w, http.StatusBadRequest, "unreadable body")
	}
	return body, err == nil
}

// ReadJSON decodes the body of a request; it answers 400 and returns false when that fails.
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

// WriteJSON answers with a JSON value.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ErrorBody is the body of an answer that refuses a request.
type ErrorBody struct {
	Error string `json:"error"`
}

// WriteError answers with a status and the reason.
func WriteError(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, ErrorBody{Error: reason})
}

// NewRand returns random numbers that depend on the seed and the key alone.
func NewRand(seed uint64, key string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(key)))
}

// Faults holds the faults in force and serves them under /control/faults. Exported
// fields are set before the first use.
type Faults[F any] struct {
	// Defaults is what the fields that a PUT leaves out are set to.
	Defaults F

	mu      sync.Mutex
	set     bool
	current F
}

// Get returns the faults in force.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.set {
		return f.Defaults
	}
	return f.current
}

// Set replaces the faults in force.
func (f *Faults[F]) Set(now F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set, f.current = true, now
}

// ServeHTTP shows the faults, and replaces them before when the method is PUT.
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

// LoadCache gives out a load report that is measured anew once it is older than Lag.
type LoadCache struct {
	// MaxAge is the greatest age of a report.
	MaxAge time.Duration

	mu         sync.Mutex
	measuredAt time.Time
	load       roster.Load
}

// Report returns the last report with its age, or a new one when that is too old.
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
