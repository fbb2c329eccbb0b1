package front

import (
	"context"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/core/memory"
	"cranberryrail/core/route"
	"cranberryrail/core/serve"
)

// affinityPrefixBytes is the length of the prompt prefix that determines cache affinity.
const affinityPrefixBytes = 256

// maxFirstAttempt is the exclusive upper bound of the random number of a first attempt. The range is
// large so that attempts of different instances do not share a number.
const maxFirstAttempt = 1 << 30

// generate serves a model request.
func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	t, refused := s.authenticate(r)
	if refused != nil {
		writeError(w, r.Header.Get(headerRequestID), refused)
		return
	}
	resp := &response{w: w, controller: http.NewResponseController(w)}
	resp.req.id = r.Header.Get(headerRequestID)
	refused = s.withLimits(t, func() *codes.Error { return s.complete(r, t, resp) })
	if refused != nil {
		resp.fail(refused)
	}
	s.OnServed(resp.report(r, t, started, refused))
}

// prepare reads and validates a model request.
func (s *Server) prepare(r *http.Request, t conf.Template, resp *response) *codes.Error {
	data, refused := s.readBody(resp.w, r)
	if refused != nil {
		return refused
	}
	resp.req, refused = parseRequest(r, data, t)
	return refused
}

// complete serves a model request: it reads the body, reserves tokens, streams the response and settles
// the tokens used.
func (s *Server) complete(r *http.Request, t conf.Template, resp *response) *codes.Error {
	if refused := s.prepare(r, t, resp); refused != nil {
		return refused
	}
	kind := resp.req.kind()
	if refused := s.refuseStopping(s.StreamLimit(resp.req.maxTokens), kind); refused != nil {
		return refused
	}
	span := s.spans.Begin(kind, time.Now())
	defer func() { span.End(time.Now()) }()
	id := resp.req.engineID()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !s.active.start(ctx, id, cancel) {
		return &codes.Error{Code: codes.RequestIDActive, Run: codes.Unknown, RetryAfter: time.Second,
			Detail: "wait until the earlier attempt has ended, and retry the request"}
	}
	defer s.active.finish(id)
	replica := s.Ledger(ledger.BudgetKey(t.Organisation, resp.req.budget))
	reservation, err := replica.Reserve(newReserveRequest(resp.req))
	if err != nil {
		return codes.From(err, codes.NotRun)
	}
	if ctx.Err() != nil {
		replica.Release(reservation.ID)
		return codes.Refuse(codes.AnswerCut, 0, "the caller disconnected or sent the request again before it was dispatched; the request was not run")
	}
	resp.memory = s.Memory.NewHolder(cancel)
	defer resp.memory.Release()
	usage, err := s.Generate.Generate(ctx, newEngineRequest(resp.req, reservation, t), resp.emit)
	replica.Settle(reservation.ID, usage.Tokens())
	resp.billed = usage.Tokens()
	switch {
	case err != nil && resp.memory.Ended():
		return &codes.Error{Code: codes.TargetFailed, Run: codes.Ran, Detail: "the answer is too long for the memory of this instance", Err: memory.ErrUsedUp}
	case err != nil:
		return codes.From(err, codes.Unknown)
	}
	return resp.finish(usage)
}

// kind returns the kind of the request for the time that it takes: requests of one model with about the same maximum number of tokens, up to the next power
// of two.
func (r *request) kind() string {
	return fmt.Sprintf("%s/%d", r.model, bits.Len(uint(max(r.maxTokens, 0))))
}

// newReserveRequest returns the maximum number of tokens that a request may use. The prompt's length in bytes is an
// upper bound of its tokens.
func newReserveRequest(req request) ledger.ReserveRequest {
	prompt := int64(len(req.prompt))
	reservation := ledger.ReserveRequest{
		Budget:  ledger.BudgetKey(req.organisation, req.budget),
		Request: req.id, Digest: req.digest, Tokens: prompt + int64(req.maxTokens),
	}
	reservation.Least = reservation.Tokens
	if req.allowShorter {
		reservation.Least = prompt + int64(min(req.maxTokens, minShorterTokens))
	}
	return reservation
}

// newEngineRequest returns the request for the engine, limited to the granted tokens.
func newEngineRequest(req request, reservation ledger.Reservation, t conf.Template) serve.Request {
	prefix := req.prompt[:min(len(req.prompt), affinityPrefixBytes)]
	shares := make([]route.Share, 0, len(t.Shares))
	for _, share := range t.Shares {
		shares = append(shares, route.Share{Target: share.Target, Weight: share.Weight})
	}
	return serve.Request{
		Call: serve.Call{
			RequestID: req.engineID(), Attempt: rand.IntN(maxFirstAttempt), Model: req.model, Version: req.version,
			Priority: req.priority, Prompt: req.prompt, MaxTokens: int(reservation.CoveredTokens()) - len(req.prompt),
		},
		Route: route.Request{
			Organisation: req.organisation, Model: req.model, Version: req.version, Prefix: prefix,
			Priority: req.priority, Shares: shares,
		},
	}
}

// response is the response to one model request.
type response struct {
	req        request
	w          http.ResponseWriter
	controller *http.ResponseController
	text       strings.Builder
	// memory counts the text.
	memory     *memory.Holder
	headerSent bool
	tokens     int
	// billed is the number of tokens billed.
	billed                    int64
	firstTokenAt, lastTokenAt time.Time
}

// emit writes or buffers one frame. It returns an error if the caller has disconnected or reads too slowly.
func (resp *response) emit(f serve.Frame) error {
	if f.Final {
		return nil
	}
	resp.tokens++
	resp.lastTokenAt = time.Now()
	if resp.tokens == 1 {
		resp.firstTokenAt = resp.lastTokenAt
	}
	if !resp.req.stream {
		if err := resp.memory.AddRead(len(f.Text), resp.text.Len()); err != nil {
			return err
		}
		resp.text.WriteString(f.Text)
		return nil
	}
	return resp.writeEvent(chunk(resp.req, f.Text, ""))
}

// writeEvent writes one server-sent event.
func (resp *response) writeEvent(data string) error {
	if !resp.headerSent {
		resp.headerSent = true
		resp.w.Header().Set("Content-Type", "text/event-stream")
		resp.w.Header().Set("Cache-Control", "no-store")
		resp.w.Header().Set(headerRequestID, resp.req.id)
	}
	if _, err := fmt.Fprintf(resp.w, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("write response to caller: %w", err)
	}
	if err := resp.controller.Flush(); err != nil {
		return fmt.Errorf("write response to caller: %w", err)
	}
	return nil
}

// finish writes the end of a complete response.
func (resp *response) finish(u serve.Usage) *codes.Error {
	if !resp.req.stream {
		resp.w.Header().Set(headerRequestID, resp.req.id)
		writeJSON(resp.w, http.StatusOK, fullCompletion(resp.req, resp.text.String(), u))
		return nil
	}
	for _, data := range []string{finalChunk(resp.req, u), "[DONE]"} {
		if err := resp.writeEvent(data); err != nil {
			return &codes.Error{Code: codes.AnswerCut, Run: codes.Ran, Detail: "the caller disconnected or read too slowly", Err: err}
		}
	}
	return nil
}

// fail writes a refusal, as the last event if the stream has started.
func (resp *response) fail(e *codes.Error) {
	if !resp.headerSent {
		writeError(resp.w, resp.req.id, e)
		return
	}
	_ = resp.writeEvent(marshal(newRefusalBody(resp.req.id, e)))
}

// report returns the outcome of the request for the service level report.
func (resp *response) report(r *http.Request, t conf.Template, started time.Time, err *codes.Error) Outcome {
	s := Outcome{
		Organisation: t.Organisation, Priority: t.Priority, Tokens: resp.billed, CallerGone: r.Context().Err() != nil, Err: err,
	}
	if resp.tokens > 0 {
		s.FirstToken = resp.firstTokenAt.Sub(started)
	}
	if resp.tokens > 1 {
		s.Gap = resp.lastTokenAt.Sub(resp.firstTokenAt) / time.Duration(resp.tokens-1)
	}
	return s
}
