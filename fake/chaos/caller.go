package chaos

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/codes"
	"cranberryrail/fake/engine"
	"cranberryrail/fake/fleet"
	"cranberryrail/fake/plain"
)

// Load of one caller.
const (
	// maxAttempts is the maximum number of times that a caller sends one request, where parallel
	// attempts count as one.
	maxAttempts = 6
	// maxPause is the longest time that a caller waits before it retries a request.
	maxPause = 300 * time.Millisecond
	// maxAnswerTokens limits the answer in tokens, and maxPromptBytes roughly limits the prompt.
	maxAnswerTokens = 60
	maxPromptBytes  = 400
)

// modelRequest is a model request with the results of its attempts.
type modelRequest struct {
	organisation, id, body, prompt string
	maxTokens                      int
	streamed, allowShorter         bool

	mu sync.Mutex
	// complete reports whether a caller received a complete answer.
	complete bool
	refused  int
	// mayHaveRun is false while every attempt was refused as not run.
	mayHaveRun bool
	// reported is the highest usage that an instance reported or number of tokens that it
	// forwarded, by incarnation.
	reported map[string]int64
	// completeUsage is the highest usage reported with a complete answer, by incarnation.
	completeUsage map[string]int64
}

// String names the request in messages.
func (q *modelRequest) String() string { return "request " + q.organisation + "/" + q.id }

// serviceCall is a service call with the results of its attempts.
type serviceCall struct {
	organisation, key, body string

	mu     sync.Mutex
	answer string
	// reportedNotRun reports whether every attempt was refused as not run.
	reportedNotRun bool
	// reportedRun reports whether a response stated that the call ran.
	reportedRun bool
}

// String names the call in messages.
func (c *serviceCall) String() string { return "call " + c.organisation + "/" + c.key }

// runCaller sends requests until load ends; the last one completes within ctx.
func (r *Run) runCaller(ctx, load context.Context, caller int) {
	rng := r.newRand(sourceCallers + uint64(caller))
	for n := 0; load.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d", caller, n)
		if rng.IntN(3) == 0 {
			r.sendServiceCall(ctx, rng, id)
			continue
		}
		r.sendModelRequest(ctx, rng, id)
	}
}

// sendWithRetries sends a request to one instance, or two in parallel, until an attempt settles
// it. The callback send makes one attempt; the caller disconnects after leaveAfter events or
// milliseconds, or never if it is negative.
func (r *Run) sendWithRetries(ctx context.Context, rng *rand.Rand, send func(ctx context.Context, m *fleet.Member, leaveAfter int) bool) {
	for range maxAttempts {
		members := r.activeMembers()
		rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		parallel := 1
		if rng.IntN(6) == 0 {
			parallel = min(2, len(members))
		}
		settled := make([]bool, parallel)
		var g errgroup.Group
		for i := range parallel {
			leaveAfter := -1
			if rng.IntN(8) == 0 {
				leaveAfter = rng.IntN(maxAnswerTokens)
			}
			g.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
				defer cancel()
				settled[i] = send(ctx, members[i], leaveAfter)
				if ctx.Err() == context.DeadlineExceeded {
					r.fail("an attempt took more than %s", attemptTimeout)
				}
				return nil
			})
		}
		_ = g.Wait()
		for _, s := range settled {
			if s {
				return
			}
		}
		sleep(ctx, time.Duration(rng.Int64N(int64(maxPause))))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendModelRequest makes a random model request. In two thirds of the cases, the caller retries
// after a refusal that allows it.
func (r *Run) sendModelRequest(ctx context.Context, rng *rand.Rand, id string) {
	q := &modelRequest{
		organisation: organisations[rng.IntN(len(organisations))], id: "m-" + id, maxTokens: 1 + rng.IntN(maxAnswerTokens),
		prompt:   fmt.Sprintf("%s asks %s %s", id, strings.Repeat("please ", rng.IntN(maxPromptBytes/7)), id),
		streamed: rng.IntN(3) > 0, allowShorter: rng.IntN(4) == 0, reported: map[string]int64{}, completeUsage: map[string]int64{},
	}
	data, _ := json.Marshal(map[string]any{
		"model": fleet.Model, "prompt": q.prompt, "max_tokens": q.maxTokens, "stream": q.streamed,
	})
	q.body = string(data)
	r.mu.Lock()
	r.modelRequests = append(r.modelRequests, q)
	r.mu.Unlock()
	retryRefused := rng.IntN(3) > 0
	r.sendWithRetries(ctx, rng, func(ctx context.Context, m *fleet.Member, leaveAfter int) bool {
		res := r.attemptModelRequest(ctx, q, m, leaveAfter)
		return res.complete || res.refused != nil && (res.refused.RetryAfterMS == 0 || !retryRefused)
	})
}

// attemptModelRequest sends a model request once.
func (r *Run) attemptModelRequest(ctx context.Context, q *modelRequest, m *fleet.Member, leaveAfter int) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	header := []string{"X-Request-Id", q.id}
	if q.allowShorter {
		header = append(header, "X-Allow-Shorter", "1")
	}
	started := time.Now()
	resp, err := r.post(ctx, m, q.organisation, "/v1/completions", q.body, header...)
	if err != nil {
		q.record(m.Incarnation, attemptResult{})
		return attemptResult{}
	}
	res := r.readAnswer(resp, q.streamed, leaveAfter)
	cancel()
	_ = resp.Body.Close()
	if res.events == 0 {
		res.silence = time.Since(started)
	}
	q.record(m.Incarnation, res)
	r.checkResult(q, m, res)
	return res
}

// record records the result of an attempt.
func (q *modelRequest) record(inc string, res attemptResult) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reported[inc] = max(q.reported[inc], res.usage, int64(res.events))
	if res.complete {
		q.complete = true
		q.completeUsage[inc] = max(q.completeUsage[inc], res.usage)
	}
	if res.refused != nil {
		q.refused++
	}
	q.mayHaveRun = q.mayHaveRun || res.refused == nil || res.refused.Run != codes.NotRun
}

// checkResult asserts that the answer belongs to the request, that it is complete if it was
// marked as such, and that a refusal is true and came in time.
func (r *Run) checkResult(q *modelRequest, m *fleet.Member, res attemptResult) {
	want := engine.Answer(q.prompt, q.maxTokens)
	switch {
	case res.complete && !q.allowShorter && res.text != want:
		r.fail("%s of %d tokens was answered %q by %s, not %q", q, q.maxTokens, res.text, m, want)
	case !strings.HasPrefix(want, res.text):
		r.fail("%s was answered %q by %s, which is not a prefix of %q", q, res.text, m, want)
	case res.refused != nil && res.refused.Run == codes.NotRun && res.events > 0:
		r.fail("%s got %d tokens before the refusal %+v", q, res.events, *res.refused)
	}
	if res.refused != nil && (q.streamed || res.refused.Run == codes.NotRun) {
		r.checkResponseTime(q, res.refused, res.silence, maxSilence)
	}
}

// sendServiceCall makes a random service call. In two thirds of the cases, the caller retries
// after a refusal that allows it.
func (r *Run) sendServiceCall(ctx context.Context, rng *rand.Rand, id string) {
	c := &serviceCall{organisation: organisations[rng.IntN(len(organisations))], key: "s-" + id, body: fmt.Sprintf(`{"slot":%q}`, id), reportedNotRun: true}
	r.mu.Lock()
	r.serviceCalls = append(r.serviceCalls, c)
	r.mu.Unlock()
	retryRefused := rng.IntN(3) > 0
	r.sendWithRetries(ctx, rng, func(ctx context.Context, m *fleet.Member, leaveAfter int) bool {
		f, settled := r.attemptServiceCall(ctx, c, m, leaveAfter)
		return settled || f != nil && (f.RetryAfterMS == 0 || !retryRefused)
	})
}

// attemptServiceCall sends a service call once. It returns the refusal, if any, and whether the
// caller got another response.
func (r *Run) attemptServiceCall(ctx context.Context, c *serviceCall, m *fleet.Member, leaveAfter int) (*refusal, bool) {
	if leaveAfter >= 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(leaveAfter)*time.Millisecond)
		defer cancel()
	}
	started := time.Now()
	resp, err := r.post(ctx, m, c.organisation, "/v1/services/"+fleet.Service+"/submit", c.body, "Idempotency-Key", c.key)
	if err != nil {
		c.record("", nil)
		return nil, false
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	switch {
	case err != nil:
		c.record("", nil)
		return nil, false
	case resp.StatusCode == http.StatusOK:
		r.checkAnswer(c, c.record(string(data), nil), data)
		return nil, true
	}
	f := r.readRefusal(resp.StatusCode, data)
	c.record("", f)
	if f != nil {
		r.checkResponseTime(c, f, time.Since(started), maxCallTime)
	}
	return f, f == nil
}

// record records the result of an attempt and returns the first answer to the call.
func (c *serviceCall) record(answer string, f *refusal) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportedNotRun = c.reportedNotRun && f != nil && f.Run == codes.NotRun
	c.reportedRun = c.reportedRun || answer != "" || f != nil && f.Run == codes.Ran
	if c.answer == "" {
		c.answer = answer
	}
	return c.answer
}

// checkAnswer asserts that an answer comes from the only run of the call and that all answers
// are equal.
func (r *Run) checkAnswer(c *serviceCall, first string, data []byte) {
	var a plain.Answer
	sum := sha256.Sum256([]byte(c.body))
	err := json.Unmarshal(data, &a)
	if err != nil || a.Key != c.organisation+"/"+c.key || a.Digest != hex.EncodeToString(sum[:]) || a.Run != 1 || string(data) != first {
		r.fail("%s was answered %s; the first answer was %s", c, data, first)
	}
}
