// Package engine is a stand-in for a model engine, for tests and load runs. Its
// answers are a function of the prompt alone, and its faults are set while it runs.
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
	// prefixBytes is the number of prompt bytes that the prefix cache looks at.
	prefixBytes = 64
	// prefixCacheSize is the number of prefixes in the cache.
	prefixCacheSize = 256
	// maxCountedIDs is the number of request ids whose attempts are counted.
	maxCountedIDs = 1 << 16
	// defaultCapacity is the number of requests that run at once.
	defaultCapacity = 16
	// waitingPerSlot is the default number of waiting requests per running one.
	waitingPerSlot = 4
)

// Server is one engine. Exported fields are set before Run.
type Server struct {
	// ListenAddr is the address to listen on; port 0 takes a free one.
	ListenAddr string
	// ID names the engine in logs.
	ID string
	// Models are what the engine serves.
	Models []roster.Model
	// Capacity is how many requests run at once.
	Capacity int
	// MaxWaiting is how many further requests may wait; a negative number stands for none.
	MaxWaiting int
	// FirstToken is the time to the first token; a cached prefix or a resumed answer halves it.
	FirstToken time.Duration
	// TokenGap is the time between two tokens.
	TokenGap time.Duration
	// LoadLag is the greatest age of a load report.
	LoadLag time.Duration
	// FixedLength makes each answer exactly max_tokens long.
	FixedLength bool
	// Seed fixes the faults that are drawn; engines with the same seed hit the same attempts.
	Seed uint64
	// Log receives the engine's log.
	Log zerolog.Logger

	host        host.Server
	faults      host.Faults[Faults]
	loadReports host.LoadCache
	incarnation string
	batch       batch
	prefixes    *lru.Cache[string, struct{}]

	mu       sync.Mutex
	running  map[attemptKey]*attempt
	counts   Counts
	attempts *lru.Cache[string, int]
}

// Counts shows what ran.
type Counts struct {
	// Started and Resumed count attempts that ran from position 0 and from a later one.
	Started int64 `json:"started"`
	Resumed int64 `json:"resumed"`
	// Cancelled counts attempts that were cancelled or whose client had gone.
	Cancelled int64 `json:"cancelled"`
	// Finished counts attempts that sent their final frame.
	Finished int64 `json:"finished"`
	// Tokens counts the tokens generated.
	Tokens int64 `json:"tokens"`
	// Attempts counts the attempts that ran of each of the latest request ids.
	Attempts map[string]int `json:"attempts"`
}

// String names the engine for logs.
func (s *Server) String() string { return "stand-in engine " + s.ID }

// Default fills fields that were left empty.
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

// Run serves until the context ends, and then cuts all streams.
func (s *Server) Run(ctx context.Context) error {
	s.host.Handler = s.Handler()
	s.Log.Info().Str("id", s.ID).Str("incarnation", s.incarnation).Msg("stand-in engine starts")
	return s.host.Run(ctx)
}

// Addr waits until Run listens and returns the address; it is empty when listening failed.
func (s *Server) Addr() string { return s.host.Addr() }

// Incarnation returns the id of this run of the engine, which its load reports carry.
func (s *Server) Incarnation() string { return s.incarnation }

// Handler returns the HTTP surface of the engine.
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

// SetFaults replaces the faults for attempts that arrive from now on.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// Leave makes the engine refuse new work; what runs goes on.
func (s *Server) Leave() {
	f := s.faults.Get()
	f.Leaving = true
	s.faults.Set(f)
}

// Counts returns what ran so far.
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

// unlessSilent keeps a handler from answering while the engine is silent.
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
	if s.faults.Get().Leaving {
		l.State = roster.Leaving
	}
	l.Running, l.Waiting = s.batch.size()
	return l
}
