// Package plain is a stand-in for a plain service whose calls are not idempotent. It
// counts how often each idempotency key ran, and its faults are set while it runs.
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

// defaultCapacity is the capacity that the load report shows.
const defaultCapacity = 64

// Server is one service. Exported fields are set before Run.
type Server struct {
	// ListenAddr is the address to listen on; port 0 takes a free one.
	ListenAddr string
	// ID names the service in logs.
	ID string
	// Capacity is shown in the load report.
	Capacity int
	// LoadLag is the greatest age of a load report.
	LoadLag time.Duration
	// Seed fixes the faults that are drawn.
	Seed uint64
	// Log receives the log of the service.
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

// Faults are what goes wrong at the service. Ratios are shares of the calls, from 0 to 1.
type Faults struct {
	// DelayMS is the time between running a call and answering it, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// FailBeforeRatio answers 500 without running the call.
	FailBeforeRatio float64 `json:"fail_before_ratio"`
	// DropAfterRatio runs the call and closes the connection without an answer.
	DropAfterRatio float64 `json:"drop_after_ratio"`
	// Silent accepts calls, never runs them and never answers.
	Silent bool `json:"silent"`
	// Leaving answers that the call was not run.
	Leaving bool `json:"leaving"`
}

// Answer is the body of the answer to a call.
type Answer struct {
	Operation string `json:"operation"`
	Key       string `json:"key"`
	// Digest is the SHA-256 of the body in hexadecimal.
	Digest string `json:"digest"`
	// Run is 1 for the first run of the key.
	Run int `json:"run"`
}

// Counts shows what ran.
type Counts struct {
	// Calls counts the calls that arrived, run or not.
	Calls int `json:"calls"`
	// Runs counts the runs of each key.
	Runs map[string]int `json:"runs"`
}

// String names the service for logs.
func (s *Server) String() string { return "stand-in service " + s.ID }

// Default fills fields that were left empty.
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

// Run serves until the context ends, and then cuts all connections.
func (s *Server) Run(ctx context.Context) error {
	s.host.Handler = s.Handler()
	s.Log.Info().Str("id", s.ID).Str("incarnation", s.incarnation).Msg("stand-in service starts")
	return s.host.Run(ctx)
}

// Addr waits until Run listens and returns the address; it is empty when listening failed.
func (s *Server) Addr() string { return s.host.Addr() }

// Incarnation returns the id of this run of the service, which its load reports carry.
func (s *Server) Incarnation() string { return s.incarnation }

// Handler returns the HTTP surface of the service.
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

// Runs returns how often the key ran.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Counts returns what ran so far.
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
	sleep(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond)
	if drop {
		panic(http.ErrAbortHandler)
	}
	host.WriteJSON(w, http.StatusOK, answer)
}

// countCall counts a call and returns how many of the key arrived.
func (s *Server) countCall(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[key]++
	return s.calls[key]
}

// beginRun runs a call and returns how often its key ran.
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
	if s.faults.Get().Leaving {
		l.State = roster.Leaving
	}
	return l
}

// sleep returns after d or when the context ends.
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
