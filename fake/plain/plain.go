// Package plain implements a fake plain service whose calls are not idempotent. It counts the runs of each idempotency
// key, and its faults can be changed while it runs.
package plain

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"cranberryrail/core/roster"
	"cranberryrail/fake/engine/host"
)

// defaultCapacity is the default capacity in the load report.
const defaultCapacity = 64

// Server is a fake plain service. Exported fields are set before Run.
type Server struct {
	// ListenAddr is the address to listen on; port 0 selects a free port.
	ListenAddr string
	// ID identifies the service in logs.
	ID string
	// Capacity is the capacity in the load report; it is not enforced.
	Capacity int
	// LoadLag is the maximum age of a load report.
	LoadLag time.Duration
	// Seed determines the random faults.
	Seed uint64
	// Log receives the log events of the service.
	Log zerolog.Logger

	host        host.Server
	faults      host.Faults[Faults]
	loadReports host.LoadCache
	incarnation string

	mu      sync.Mutex
	running int
	calls   map[string]int
	runs    map[string]int
}

// Faults are the faults that the service injects. Ratios are shares of the calls, from 0 to 1.
type Faults struct {
	// DelayMS is the time between running a call and answering it, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// FailBeforeRatio is the share of calls that fail with status 500 and are not run.
	FailBeforeRatio float64 `json:"fail_before_ratio"`
	// DropAfterRatio is the share of calls that are run and whose connection is then closed without a response.
	DropAfterRatio float64 `json:"drop_after_ratio"`
	// Silent accepts calls, and neither runs them nor responds.
	Silent bool `json:"silent"`
	// CrashBody is a body that crashes the service when it begins to run a call with it; empty for none.
	CrashBody string `json:"crash_body"`
	// RateLimit is the limit on calls a second that load reports name; 0 for none. It is not enforced.
	RateLimit float64 `json:"rate_limit"`
	// Leaving refuses calls with a response which states that the call was not run.
	Leaving bool `json:"leaving"`
}

// Answer is the response body of a call.
type Answer struct {
	Operation string `json:"operation"`
	Key       string `json:"key"`
	// Digest is the SHA-256 hash of the request body in hexadecimal.
	Digest string `json:"digest"`
	// Run is the number of runs of the key so far, beginning with 1.
	Run int `json:"run"`
}

// Counts holds the statistics of a service.
type Counts struct {
	// Calls counts the calls received, whether they were run or not; silent ones are included.
	Calls int `json:"calls"`
	// Runs counts the runs of each key.
	Runs map[string]int `json:"runs"`
}

// String describes the service for logs.
func (s *Server) String() string { return "fake service " + s.ID }

// Default sets unset fields to their defaults.
func (s *Server) Default() {
	if s.ID == "" {
		s.ID = "service"
	}
	if s.Capacity == 0 {
		s.Capacity = defaultCapacity
	}
	s.host.ListenAddr = s.ListenAddr
	s.host.Default()
	s.loadReports.MaxAge = s.LoadLag
	s.incarnation = uuid.NewString()
	s.calls, s.runs = map[string]int{}, map[string]int{}
}

// Run serves until the context ends, and then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	s.host.Handler = s.Handler()
	s.Log.Info().Str("id", s.ID).Str("incarnation", s.incarnation).Msg("fake service starting")
	return s.host.Run(ctx)
}

// Addr waits until Run listens and returns the address, or an empty string when listening failed.
func (s *Server) Addr() string { return s.host.Addr() }

// Incarnation returns the unique ID of this run of the service, which its load reports contain.
func (s *Server) Incarnation() string { return s.incarnation }

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call/{operation}", s.call)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.Handle("GET /control/faults", &s.faults)
	mux.Handle("PUT /control/faults", &s.faults)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Counts())
	})
	return mux
}

// SetFaults replaces the faults for calls that arrive from now on.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// Runs returns the number of runs of a key.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Counts returns a copy of the statistics so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Runs: make(map[string]int, len(s.runs))}
	for _, n := range s.calls {
		c.Calls += n
	}
	for key, n := range s.runs {
		c.Runs[key] = n
	}
	return c
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, ok := host.ReadBody(w, r)
	if !ok {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	faults := s.faults.Get()
	random := host.NewRand(s.Seed, fmt.Sprintf("%s/%d", key, s.countCall(key)))
	fail, drop := random.Float64() < faults.FailBeforeRatio, random.Float64() < faults.DropAfterRatio
	switch {
	case faults.Silent:
		host.HangUntilClosed(r)
		return
	case faults.Leaving:
		w.Header().Set("X-Not-Run", "leaving")
		host.WriteError(w, http.StatusServiceUnavailable, "leaving")
		return
	case fail:
		host.WriteError(w, http.StatusInternalServerError, "failed")
		return
	}
	sum := sha256.Sum256(body)
	answer := Answer{
		Operation: r.PathValue("operation"),
		Key:       key,
		Digest:    hex.EncodeToString(sum[:]),
		Run:       s.beginRun(key),
	}
	defer s.endRun()
	if faults.CrashBody != "" && string(body) == faults.CrashBody {
		s.host.Crash()
	}
	sleep(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond)
	if drop {
		panic(http.ErrAbortHandler)
	}
	host.WriteJSON(w, http.StatusOK, answer)
}

// countCall counts a received call and returns the number of calls received with its key.
func (s *Server) countCall(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[key]++
	return s.calls[key]
}

// beginRun counts a run and returns the number of runs of its key.
func (s *Server) beginRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs[key]++
	return s.runs[key]
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	if s.faults.Get().Silent {
		host.HangUntilClosed(r)
		return
	}
	host.WriteJSON(w, http.StatusOK, s.loadReports.Report(s.currentLoad))
}

func (s *Server) currentLoad() roster.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := roster.Load{Incarnation: s.incarnation, State: roster.Live, Running: s.running, Capacity: s.Capacity}
	if limit := s.faults.Get().RateLimit; limit > 0 {
		l.RateLimit = &limit
	}
	if s.faults.Get().Leaving {
		l.State = roster.Leaving
	}
	return l
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
