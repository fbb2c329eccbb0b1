package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/roster"
	"cranberryrail/fake/engine/host"
)

// endlessPart is the size of one write of bytes without end.
const endlessPart = 4 << 10

// request is the body of /v1/generate; /v1/cancel uses its first two fields.
type request struct {
	RequestID  string `json:"request_id"`
	Attempt    int    `json:"attempt"`
	Model      string `json:"model"`
	Version    string `json:"version"`
	Priority   int    `json:"priority"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	ResumeFrom int    `json:"resume_from"`
}

// refuse writes an error response that names the request.
func (q request) refuse(w http.ResponseWriter, status int, reason string) {
	host.WriteJSON(w, status, host.ErrorBody{Error: reason, RequestID: q.RequestID, Attempt: q.Attempt})
}

// frame is one event of a stream.
type frame struct {
	RequestID        string `json:"request_id"`
	Attempt          int    `json:"attempt"`
	Position         int    `json:"position"`
	Text             string `json:"text,omitempty"`
	Final            bool   `json:"final,omitempty"`
	FinishReason     string `json:"finish_reason,omitempty"`
	PromptTokens     int    `json:"prompt_tokens,omitempty"`
	CompletionTokens int    `json:"completion_tokens,omitempty"`
}

type attemptKey struct {
	id      string
	attempt int
}

// attempt is a request in the engine, waiting or running.
type attempt struct {
	request
	total      int
	plan       faultPlan
	firstDelay time.Duration
	tokenGap   time.Duration
	cancel     context.CancelFunc
	out        http.ResponseWriter
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var q request
	if !host.ReadJSON(w, r, &q) {
		return
	}
	faults := s.faults.Get()
	a := s.newAttempt(q, faults)
	switch {
	case faults.Leaving:
		q.refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	case !s.serves(roster.Model{Model: q.Model, Version: q.Version}):
		q.refuse(w, http.StatusNotFound, "unknown model")
		return
	case q.MaxTokens <= 0 || q.ResumeFrom < 0 || q.ResumeFrom > a.total:
		q.refuse(w, http.StatusBadRequest, "max_tokens or resume_from out of range")
		return
	case a.plan.fail:
		q.refuse(w, http.StatusInternalServerError, "failed")
		return
	}
	a.out = w
	ctx, end := s.register(r.Context(), a)
	defer end()
	if err := s.batch.admit(ctx, q.Priority); err != nil {
		s.refuseAdmission(w, q, err)
		return
	}
	defer s.batch.release()
	if faults.CrashPrompt != "" && q.Prompt == faults.CrashPrompt {
		time.Sleep(time.Duration(faults.CrashDelayMS) * time.Millisecond)
		s.host.Crash()
	}
	s.run(ctx, a)
}

// newAttempt determines the length, the faults and the delays of an attempt.
func (s *Server) newAttempt(q request, f Faults) *attempt {
	a := &attempt{request: q, total: Length(q.Prompt, q.MaxTokens)}
	if s.FixedLength {
		a.total = q.MaxTokens
	}
	a.plan = f.plan(host.NewRand(s.Seed, fmt.Sprintf("%s/%d", q.RequestID, q.Attempt)), q.ResumeFrom, a.total)
	slow := time.Duration(f.SlowMS) * time.Millisecond
	a.firstDelay, a.tokenGap = s.FirstToken+slow, s.TokenGap+slow
	return a
}

// register registers the attempt for cancellation and returns its context and a function that removes it.
func (s *Server) register(ctx context.Context, a *attempt) (context.Context, func()) {
	ctx, a.cancel = context.WithCancel(ctx)
	key := attemptKey{id: a.RequestID, attempt: a.Attempt}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[key] = a
	return ctx, func() {
		a.cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.running[key] == a {
			delete(s.running, key)
		}
	}
}

// refuseAdmission writes the response to a request that was not admitted.
func (s *Server) refuseAdmission(w http.ResponseWriter, q request, err error) {
	if errors.Is(err, errFull) {
		q.refuse(w, http.StatusTooManyRequests, "full")
		return
	}
	s.count(func(c *Counts) { c.Cancelled++ })
	q.refuse(w, http.StatusConflict, "cancelled")
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var q request
	if !host.ReadJSON(w, r, &q) {
		return
	}
	s.mu.Lock()
	a := s.running[attemptKey{id: q.RequestID, attempt: q.Attempt}]
	s.mu.Unlock()
	if a != nil {
		a.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// run sends the stream of an admitted attempt and counts its outcome.
func (s *Server) run(ctx context.Context, a *attempt) {
	s.countStart(a)
	prefix := a.Prompt[:min(len(a.Prompt), prefixBytes)]
	if s.prefixes.Contains(prefix) || a.ResumeFrom > 0 {
		a.firstDelay -= s.FirstToken / 2
	}
	s.prefixes.Add(prefix, struct{}{})
	a.out.Header().Set("Content-Type", "text/event-stream")
	if a.plan.unframed {
		a.out.Header().Set("Transfer-Encoding", "identity") // net/http then ends the response with its connection
	}
	finished := s.stream(ctx, a)
	switch {
	case finished:
		s.count(func(c *Counts) { c.Finished++ })
	case ctx.Err() != nil:
		s.count(func(c *Counts) { c.Cancelled++ })
	}
}

// stream sends the frames and reports whether the final one was sent.
func (s *Server) stream(ctx context.Context, a *attempt) bool {
	seed := xxhash.Sum64String(a.Prompt)
	delay := a.firstDelay
	for i := a.ResumeFrom; i < a.total; i++ {
		if wait(ctx, delay) != nil || wait(ctx, s.silence()) != nil || !a.applyFaults(ctx, i) {
			return false
		}
		delay = a.tokenGap
		s.count(func(c *Counts) { c.Tokens++ })
		f := frame{RequestID: a.RequestID, Attempt: a.Attempt, Position: i, Text: token(seed, i)}
		if i != a.plan.skip && a.send(f) != nil {
			return false
		}
		if i == a.plan.double && a.send(f) != nil {
			return false
		}
	}
	return a.applyFaults(ctx, a.total) && a.send(a.finalFrame()) == nil
}

// applyFaults injects the faults before position i; it returns false when the stream ends there.
func (a *attempt) applyFaults(ctx context.Context, i int) bool {
	switch i {
	case a.plan.truncate:
		if a.plan.partial {
			_, _ = io.WriteString(a.out, `data: {"request_id":`) // the client may have disconnected
		}
		return false
	case a.plan.endless:
		return a.sendEndless(ctx)
	case a.plan.stall:
		_ = http.NewResponseController(a.out).Flush()
		<-ctx.Done()
		return false
	case a.plan.cross:
		return a.send(frame{RequestID: "other-" + a.RequestID, Attempt: a.Attempt, Position: i, Text: "other "}) == nil
	}
	return true
}

// sendEndless sends bytes that are no frame until the client disconnects. It returns false.
func (a *attempt) sendEndless(ctx context.Context) bool {
	junk := bytes.Repeat([]byte("x"), endlessPart)
	for ctx.Err() == nil {
		if _, err := a.out.Write(junk); err != nil {
			break
		}
	}
	return false
}

func (a *attempt) finalFrame() frame {
	f := frame{
		RequestID:        a.RequestID,
		Attempt:          a.Attempt,
		Position:         a.total,
		Final:            true,
		FinishReason:     "stop",
		PromptTokens:     promptTokens(a.Prompt),
		CompletionTokens: a.total,
	}
	if a.total == a.MaxTokens {
		f.FinishReason = "length"
	}
	return f
}

func (a *attempt) send(f frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(a.out, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(a.out).Flush()
}

// countStart counts an attempt that starts to run.
func (s *Server) countStart(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := s.attempts.Peek(a.RequestID)
	s.attempts.Add(a.RequestID, n+1)
	if a.ResumeFrom > 0 {
		s.counts.Resumed++
		return
	}
	s.counts.Started++
}

func (s *Server) count(update func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.counts)
}

// wait waits for d; it returns an error when the context ends first.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
