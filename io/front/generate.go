package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/core/route"
	"cranberryrail/core/serve"
)

// prefixBytes is the part of a prompt that affinity goes by.
const prefixBytes = 256

// attemptSpace is the range from which the number of a first attempt is drawn, so that
// attempts of different instances do not share a number.
const attemptSpace = 1 << 30

// generate serves a model request.
func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	t, refused := s.authenticate(r)
	if refused != nil {
		writeError(w, r.Header.Get(headerRequestID), refused)
		return
	}
	a := &answer{w: w, control: http.NewResponseController(w)}
	a.req.id = r.Header.Get(headerRequestID)
	refused = s.within(t, func() *codes.Error { return s.answer(r, t, a) })
	if refused != nil {
		a.fail(refused)
	}
	s.Served(a.served(r, t, started, refused))
}

// prepare reads and checks a model request.
func (s *Server) prepare(r *http.Request, t conf.Template, a *answer) *codes.Error {
	data, refused := s.readBody(a.w, r)
	if refused != nil {
		return refused
	}
	a.req, refused = parse(r, data, t)
	return refused
}

// answer serves a model request from its body to its bill.
func (s *Server) answer(r *http.Request, t conf.Template, a *answer) *codes.Error {
	if refused := s.prepare(r, t, a); refused != nil {
		return refused
	}
	id := a.req.engineID()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !s.active.enter(ctx, id, cancel) {
		return &codes.Error{Code: codes.RequestIDActive, Run: codes.Unknown, RetryAfter: time.Second,
			Detail: "the attempt before this one is still ending; send the request again"}
	}
	defer s.active.leave(id)
	keeper := s.Ledger(ledger.BudgetKey(t.Organisation, a.req.budget))
	grant, err := keeper.Reserve(need(a.req))
	if err != nil {
		return codes.From(err, codes.NotRun)
	}
	if ctx.Err() != nil {
		keeper.Free(grant.ID)
		return codes.Refuse(codes.AnswerCut, 0, "the caller is gone, or sent the request again")
	}
	usage, err := s.Generate.Generate(ctx, dispatch(a.req, grant, t), a.emit)
	keeper.Settle(grant.ID, usage.Tokens())
	a.billed = usage.Tokens()
	if err != nil {
		return codes.From(err, codes.Unknown)
	}
	return a.end(usage)
}

// need returns the most that a request may use: no prompt has more tokens than bytes.
func need(req request) ledger.Need {
	prompt := int64(len(req.prompt))
	n := ledger.Need{
		Budget:  ledger.BudgetKey(req.organisation, req.budget),
		Request: req.id, Digest: req.digest, Tokens: prompt + int64(req.maxTokens),
	}
	n.Least = n.Tokens
	if req.allowShorter {
		n.Least = prompt + int64(min(req.maxTokens, shorterLeast))
	}
	return n
}

// dispatch returns the request for the engine, bounded by what was granted.
func dispatch(req request, grant ledger.Grant, t conf.Template) serve.Request {
	prefix := req.prompt[:min(len(req.prompt), prefixBytes)]
	shares := make([]route.Share, 0, len(t.Shares))
	for _, share := range t.Shares {
		shares = append(shares, route.Share{Target: share.Target, Weight: share.Weight})
	}
	return serve.Request{
		Call: serve.Call{
			RequestID: req.engineID(), Attempt: rand.IntN(attemptSpace), Model: req.model, Version: req.version,
			Priority: req.priority, Prompt: req.prompt, MaxTokens: int(grant.Covers()) - len(req.prompt),
		},
		Route: route.Request{
			Organisation: req.organisation, Model: req.model, Version: req.version, Prefix: prefix,
			Priority: req.priority, Shares: shares,
		},
	}
}

// answer is the answer to one model request.
type answer struct {
	req     request
	w       http.ResponseWriter
	control *http.ResponseController
	text    strings.Builder
	begun   bool
	tokens  int
	// billed counts the tokens billed.
	billed      int64
	first, last time.Time
}

// emit takes one frame; it returns an error when the caller is gone or too slow.
func (a *answer) emit(f serve.Frame) error {
	if f.Final {
		return nil
	}
	a.tokens++
	a.last = time.Now()
	if a.tokens == 1 {
		a.first = a.last
	}
	if !a.req.stream {
		a.text.WriteString(f.Text)
		return nil
	}
	return a.event(chunk(a.req, f.Text, ""))
}

// event writes one server-sent event.
func (a *answer) event(data string) error {
	if !a.begun {
		a.begun = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.w.Header().Set(headerRequestID, a.req.id)
	}
	if _, err := fmt.Fprintf(a.w, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if err := a.control.Flush(); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	return nil
}

// end writes the end of a whole answer.
func (a *answer) end(u serve.Usage) *codes.Error {
	if !a.req.stream {
		a.w.Header().Set(headerRequestID, a.req.id)
		writeJSON(a.w, http.StatusOK, whole(a.req, a.text.String(), u))
		return nil
	}
	for _, data := range []string{last(a.req, u), "[DONE]"} {
		if err := a.event(data); err != nil {
			return &codes.Error{Code: codes.AnswerCut, Run: codes.Ran, Detail: "the caller is gone", Err: err}
		}
	}
	return nil
}

// fail writes a refusal, or as the last event of a stream that has begun.
func (a *answer) fail(e *codes.Error) {
	if !a.begun {
		writeError(a.w, a.req.id, e)
		return
	}
	_ = a.event(marshal(errorBody(a.req.id, e)))
}

// served sums up the request for the report on service levels.
func (a *answer) served(r *http.Request, t conf.Template, started time.Time, err *codes.Error) Served {
	s := Served{
		Organisation: t.Organisation, Priority: t.Priority, Tokens: a.billed, CallerGone: r.Context().Err() != nil, Err: err,
	}
	if a.tokens > 0 {
		s.FirstToken = a.first.Sub(started)
	}
	if a.tokens > 1 {
		s.Gap = a.last.Sub(a.first) / time.Duration(a.tokens-1)
	}
	return s
}
