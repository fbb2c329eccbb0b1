// Package engine implements a fake model engine for tests and load runs. Its answers depend on the prompt alone, and
// its faults can be changed while it runs.
package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"

	"cranberryrail/core/roster"
	"cranberryrail/fake/engine/host"
)

const (
	// prefixBytes is the number of leading prompt bytes that form the key of the prefix cache.
	prefixBytes = 64
	// prefixCacheSize is the capacity of the prefix cache.
	prefixCacheSize = 256
	// maxCountedIDs is the number of latest request IDs whose attempts are counted.
	maxCountedIDs = 1 << 16
	// defaultCapacity is the default number of concurrent requests.
	defaultCapacity = 16
	// waitingPerSlot is the default queue length per unit of capacity.
	waitingPerSlot = 4
)

// Server is a fake model engine. Exported fields are set before Run.
type Server struct {
	// ListenAddr is the address to listen on; port 0 selects a free port.
	ListenAddr string
	// ID identifies the engine in logs.
	ID string
	// Models lists the models that the engine serves.
	Models []roster.Model
	// Capacity is the maximum number of concurrent requests.
	Capacity int
	// MaxWaiting is the maximum number of waiting requests; a negative value disables the queue.
	MaxWaiting int
	// FirstToken is the time to the first token; it is halved for a cached prefix or a resumed answer.
	FirstToken time.Duration
	// TokenGap is the time between two tokens.
	TokenGap time.Duration
	// LoadLag is the maximum age of a load report.
	LoadLag time.Duration
	// FixedLength makes each answer exactly max_tokens long.
	FixedLength bool
	// Seed determines the random faults; engines with the same seed inject faults into the same attempts.
	Seed uint64
	// Log receives the log events of the engine.
	Log zerolog.Logger

	host        host.Server
	faults      host.Faults[Faults]
	loadReports host.LoadCache
	incarnation string
	batch       batch
	prefixes    *lru.Cache[string, struct{}]

	mu      sync.Mutex
	running map[attemptKey]*attempt
	// silentUntil is when the engine sends frames again.
	silentUntil time.Time
	counts      Counts
	attempts    *lru.Cache[string, int]
}

// Counts holds the statistics of an engine.
type Counts struct {
	// Started counts the attempts that ran from position 0, Resumed those that ran from a later position.
	Started int64 `json:"started"`
	Resumed int64 `json:"resumed"`
	// Cancelled counts the attempts that were cancelled or whose client disconnected.
	Cancelled int64 `json:"cancelled"`
	// Finished counts the attempts that sent their final frame.
	Finished int64 `json:"finished"`
	// Tokens counts the generated tokens.
	Tokens int64 `json:"tokens"`
	// Attempts counts the attempts that ran for each of the latest request IDs.
	Attempts map[string]int `json:"attempts"`
}

// String describes the engine for logs.
func (s *Server) String() string { return "fake engine " + s.ID }

// Default sets unset fields to their defaults.
func (s *Server) Default() {
	if s.ID == "" {
		s.ID = "engine"
	}
	if len(s.Models) == 0 {
		s.Models = []roster.Model{{Model: "draft", Version: "1"}}
	}
	if s.Capacity == 0 {
		s.Capacity = defaultCapacity
	}
	if s.MaxWaiting == 0 {
		s.MaxWaiting = waitingPerSlot * s.Capacity
	}
	s.host.ListenAddr = s.ListenAddr
	s.host.Default()
	s.faults.Defaults = NoFaults()
	s.loadReports.MaxAge = s.LoadLag
	s.incarnation = uuid.NewString()
	s.batch.capacity, s.batch.maxWaiting = s.Capacity, s.MaxWaiting
	s.prefixes, _ = lru.New[string, struct{}](prefixCacheSize)
	s.attempts, _ = lru.New[string, int](maxCountedIDs)
	s.running = map[attemptKey]*attempt{}
}

// Run serves until the context ends, and then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	s.host.Handler = s.Handler()
	s.Log.Info().Str("id", s.ID).Str("incarnation", s.incarnation).Msg("fake engine starting")
	return s.host.Run(ctx)
}

// Addr waits until Run listens and returns the address, or an empty string when listening failed.
func (s *Server) Addr() string { return s.host.Addr() }

// Incarnation returns the unique ID of this run of the engine, which its load reports contain.
func (s *Server) Incarnation() string { return s.incarnation }

// Handler returns the HTTP handler of the engine.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", s.unlessSilent(s.generate))
	mux.HandleFunc("POST /v1/cancel", s.unlessSilent(s.cancel))
	mux.HandleFunc("GET /v1/load", s.unlessSilent(s.load))
	mux.Handle("GET /control/faults", &s.faults)
	mux.Handle("PUT /control/faults", &s.faults)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Counts())
	})
	return mux
}

// BeSilent makes the engine, which is sound, send nothing for a time; it goes on afterwards.
func (s *Server) BeSilent(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
}

// silence returns how long the engine still sends nothing.
func (s *Server) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.silentUntil)
}

// SetFaults replaces the faults for attempts that arrive from now on.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// Leave makes the engine refuse new requests; admitted requests continue.
func (s *Server) Leave() {
	f := s.faults.Get()
	f.Leaving = true
	s.faults.Set(f)
}

// Counts returns a copy of the statistics so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Attempts = make(map[string]int, s.attempts.Len())
	for _, id := range s.attempts.Keys() {
		c.Attempts[id], _ = s.attempts.Peek(id)
	}
	return c
}

// unlessSilent wraps a handler so that requests are never answered while the Silent fault is set.
func (s *Server) unlessSilent(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.faults.Get().Silent {
			host.HangUntilClosed(r)
			return
		}
		h(w, r)
	}
}

func (s *Server) serves(m roster.Model) bool { return slices.Contains(s.Models, m) }

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.loadReports.Report(s.currentLoad))
}

func (s *Server) currentLoad() roster.Load {
	l := roster.Load{
		Incarnation:    s.incarnation,
		State:          roster.Live,
		Capacity:       s.Capacity,
		CachedPrefixes: s.prefixes.Len(),
	}
	if limit := s.faults.Get().RateLimit; limit > 0 {
		l.RateLimit = &limit
	}
	if s.faults.Get().Leaving {
		l.State = roster.Leaving
	}
	l.Running, l.Waiting = s.batch.size()
	return l
}
