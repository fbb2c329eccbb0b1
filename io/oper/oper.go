// Package oper serves the HTTP API for operators: publishing of configuration changes, top-ups, and reports on the
// state of this and other instances.
package oper

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/io/httpd"
)

// Limits of operators' requests.
const (
	maxBodyBytes  = 1 << 20
	headerTimeout = 5 * time.Second
)

// Change is a change of the template of one organisation.
type Change struct {
	// ID identifies the change and must be the same in each retry.
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	// BasedOn is the version on which the change is based: that of the template in force, 0 for an organisation that
	// never existed, or the version of the removal for a removed one, which the refusal of a change states.
	BasedOn int64 `json:"based_on"`
	// Template is the template in TOML; it is empty if the organisation is removed.
	Template string `json:"template"`
	Remove   bool   `json:"remove,omitempty"`
	By       string `json:"by,omitempty"`
}

// TopUp adds paid tokens to a budget.
type TopUp struct {
	// ID identifies the top-up and must be the same in each retry.
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Budget       string `json:"budget"`
	Tokens       int64  `json:"tokens"`
}

// TopUpReply is the result of a top-up.
type TopUpReply struct {
	Budget string `json:"budget"`
	Tokens int64  `json:"tokens"`
	// Repeated reports that the top-up was accepted before; it is counted once.
	Repeated bool `json:"repeated"`
}

// InstanceState is the state of one instance.
type InstanceState struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation,omitempty"`
	Zone        string `json:"zone,omitempty"`
	PeerAddr    string `json:"peer_addr,omitempty"`
	// State is ready, starting, stopping or missing.
	State string `json:"state"`
	// ConfigVersion is the version of the configuration in force at the instance.
	ConfigVersion int64 `json:"config_version"`
	// ConfigAgeMS is the time in milliseconds since that version was last known to be the newest.
	ConfigAgeMS int64 `json:"config_age_ms"`
	// Stale reports that a newer configuration may be in force at other instances.
	Stale bool `json:"stale"`
	// Stalled lists the streams that the instance no longer follows, because a record could not be applied, for example
	// because its build does not support the format.
	Stalled []string `json:"stalled,omitempty"`
	// LogReached reports whether the instance reaches the platform's log, directly or through another instance. For a
	// missing instance it is the last report of that instance, which covers direct access only.
	LogReached bool `json:"log_reached"`
	// InFlight is the number of requests in flight at the instance.
	InFlight int64 `json:"in_flight"`
}

// Usage lists the bills of a budget. The tokens spent are the sum of Earlier and of the bills.
type Usage struct {
	Budget  string          `json:"budget"`
	Bills   []UsageBill     `json:"bills"`
	Earlier int64           `json:"earlier"`
	Balance *ledger.Balance `json:"balance,omitempty"`
}

// UsageBill is the bill of one request.
type UsageBill struct {
	Request string `json:"request"`
	Tokens  int64  `json:"tokens"`
}

// Server serves operators. Exported fields are set before Default.
type Server struct {
	// ListenAddr is the address to listen on.
	ListenAddr string
	// KeySHA256 is the hex SHA-256 of the operators' key.
	KeySHA256 string
	// Publish publishes a change and returns its outcome.
	Publish func(c Change) (conf.Outcome, error)
	// Templates returns all templates in force at this instance.
	Templates func() ([]conf.PublishedTemplate, error)
	// TopUp writes a top-up and waits until it is in the log.
	TopUp func(t TopUp) (TopUpReply, error)
	// Balances returns the balances of all budgets as seen by this instance.
	Balances func() ([]ledger.Balance, error)
	// Usage returns the bills of a budget.
	Usage func(budget string) (Usage, error)
	// Targets returns the targets as seen by this instance, as any type that can be encoded in JSON.
	Targets func() any
	// Instances returns the state of all known instances.
	Instances func(ctx context.Context) []InstanceState
	// Reports holds further reports by name, served under /v1/reports/{name}.
	Reports map[string]func(ctx context.Context) (any, error)
	// Metrics serves metrics; optional.
	Metrics http.Handler
	// OnRefused is called with the remote address of each request with a wrong key; optional.
	OnRefused func(remote string)
	// OnInternal is called with the path and the cause of each request that failed with the code internal; optional.
	OnInternal func(path string, err error)

	server httpd.Server
}

// String returns the name of the server for logs.
func (s *Server) String() string { return "operator API on " + s.ListenAddr }

// Default sets the defaults of empty fields and prepares the HTTP server.
func (s *Server) Default() {
	if s.OnRefused == nil {
		s.OnRefused = func(string) {}
	}
	if s.OnInternal == nil {
		s.OnInternal = func(string, error) {}
	}
	s.server.Clients, s.server.Setting = "operators", "operator.listen"
	s.server.Handler, s.server.ReadHeaderTimeout = s.handler(), headerTimeout
}

// Listen opens the listener; Addr is known afterwards.
func (s *Server) Listen(ctx context.Context) error { return s.server.Listen(ctx, s.ListenAddr) }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.server.Address() }

// Run serves until the context is done.
func (s *Server) Run(ctx context.Context) error { return s.server.Run(ctx) }

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/changes", s.handle(s.publish))
	mux.HandleFunc("POST /v1/top_ups", s.handle(s.topUp))
	mux.HandleFunc("GET /v1/templates", s.handle(func(*http.Request) (any, error) { return s.Templates() }))
	mux.HandleFunc("GET /v1/budgets", s.handle(func(*http.Request) (any, error) { return s.Balances() }))
	mux.HandleFunc("GET /v1/usage", s.handle(func(r *http.Request) (any, error) { return s.Usage(r.URL.Query().Get("budget")) }))
	mux.HandleFunc("GET /v1/targets", s.handle(func(*http.Request) (any, error) { return s.Targets(), nil }))
	mux.HandleFunc("GET /v1/instances", s.handle(func(r *http.Request) (any, error) { return s.Instances(r.Context()), nil }))
	mux.HandleFunc("GET /v1/reports/{name}", s.handle(s.report))
	if s.Metrics != nil {
		mux.Handle("GET /metrics", s.Metrics)
	}
	return s.authenticated(mux)
}

// authenticated refuses requests without the operators' key.
func (s *Server) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(s.KeySHA256)) != 1 {
			s.OnRefused(r.RemoteAddr)
			writeError(w, codes.Refuse(codes.BadOperatorKey, 0, "send the header Authorization: Bearer KEY"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handle returns a handler that writes the result of f, or its error, as JSON.
func (s *Server) handle(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := f(r)
		if err != nil {
			e := codes.From(err, codes.Unknown)
			if e.Code == codes.Internal {
				s.OnInternal(r.URL.Path, e)
			}
			writeError(w, e)
			return
		}
		writeJSON(w, http.StatusOK, v)
	}
}

// publish publishes a change, or the removal, of an organisation's template and returns its outcome. It refuses a
// change without an id or an organisation, and returns a refused outcome as an error.
func (s *Server) publish(r *http.Request) (any, error) {
	var c Change
	if err := decode(r, &c); err != nil {
		return nil, err
	}
	if c.ID == "" || c.Organisation == "" {
		return nil, codes.Refuse(codes.BadRequest, 0, "a change requires an id and an organisation")
	}
	outcome, err := s.Publish(c)
	if err != nil {
		return nil, err
	}
	if err := outcome.Err(); err != nil {
		return nil, err
	}
	return outcome, nil
}

func (s *Server) topUp(r *http.Request) (any, error) {
	var t TopUp
	if err := decode(r, &t); err != nil {
		return nil, err
	}
	if t.ID == "" || t.Organisation == "" || t.Budget == "" || t.Tokens <= 0 {
		return nil, codes.Refuse(codes.BadRequest, 0, "a top-up requires an id, an organisation, a budget and a positive number of tokens")
	}
	return s.TopUp(t)
}

func (s *Server) report(r *http.Request) (any, error) {
	report, ok := s.Reports[r.PathValue("name")]
	if !ok {
		return nil, codes.Refuse(codes.UnknownRoute, 0, "unknown report %q", r.PathValue("name"))
	}
	return report(r.Context())
}

func decode(r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return codes.Refuse(codes.BadRequest, 0, "the body is not valid JSON of the expected structure: %v", err)
	}
	return nil
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is an error with its numbered code.
type ErrorDetail struct {
	Code         int       `json:"code"`
	Name         string    `json:"name"`
	Message      string    `json:"message"`
	Run          codes.Run `json:"run"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
}

func writeError(w http.ResponseWriter, e *codes.Error) {
	writeJSON(w, e.Code.Status, ErrorBody{Error: ErrorDetail{
		Code: e.Code.Number, Name: e.Code.Name, Message: e.Code.Text + " " + e.Detail, Run: e.Run,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
