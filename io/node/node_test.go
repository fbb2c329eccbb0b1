package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/ledger"
	"cranberryrail/fake/engine"
	"cranberryrail/fake/fleet"
	"cranberryrail/fake/platf"
)

const testTimeout = time.Minute

// reply is a response to a caller.
type reply struct {
	status int
	header http.Header
	body   string
}

func start(t *testing.T, f *fleet.Fleet) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	f.Log = zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)
	f.Default()
	assert.NilError(t, f.Start(ctx))
	t.Cleanup(f.Close)
	return f
}

// provision publishes the template of the organisation acme and tops up its budget.
func provision(t *testing.T, f *fleet.Fleet, tokens int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.Publish(ctx, f.Members[0], "publish", fleet.Template("acme")))
	assert.NilError(t, f.TopUp(f.Members[0], "top-up", "acme", tokens))
}

func post(t *testing.T, m *fleet.Member, path, key, body string, header ...string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+m.Front.Addr()+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data)}
}

func promptBody(prompt string, maxTokens int, stream bool) string {
	data, _ := json.Marshal(map[string]any{"model": fleet.Model, "prompt": prompt, "max_tokens": maxTokens, "stream": stream})
	return string(data)
}

// parseStream returns the text and the total tokens of a complete streamed response.
func parseStream(t *testing.T, r reply) (string, int64) {
	t.Helper()
	assert.Equal(t, r.status, http.StatusOK, r.body)
	var text strings.Builder
	var total int64
	events := strings.Split(strings.TrimSpace(r.body), "\n\n")
	assert.Equal(t, events[len(events)-1], "data: [DONE]")
	for _, event := range events[:len(events)-1] {
		var c struct {
			Choices []struct{ Text string }
			Usage   *struct {
				TotalTokens int64 `json:"total_tokens"`
			}
		}
		assert.NilError(t, json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &c))
		text.WriteString(c.Choices[0].Text)
		if c.Usage != nil {
			total = c.Usage.TotalTokens
		}
	}
	return text.String(), total
}

func assertRefused(t *testing.T, r reply, code int, run string) {
	t.Helper()
	var body struct {
		Error struct {
			Code int
			Run  string
		}
	}
	assert.NilError(t, json.NewDecoder(bytes.NewBufferString(r.body)).Decode(&body), r.body)
	assert.Equal(t, body.Error.Code, code, r.body)
	assert.Equal(t, body.Error.Run, run, r.body)
}

// assertSpent waits until exactly the given tokens of the budget are spent according to the instance.
func assertSpent(t *testing.T, f *fleet.Fleet, m *fleet.Member, budget string, tokens int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var last ledger.Balance
	err := f.Await(ctx, func() bool {
		last = balance(t, m, budget)
		return last.Spent == tokens
	})
	assert.NilError(t, err, "balance %+v", last)
}

func balance(t *testing.T, m *fleet.Member, budget string) ledger.Balance {
	t.Helper()
	all, err := m.LedgerOf(budget).Balances()
	assert.NilError(t, err)
	for _, b := range all {
		if b.Budget == budget {
			return b
		}
	}
	return ledger.Balance{}
}

func TestOneRequestEndToEnd(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 2, Engines: 1, Services: 1})
	provision(t, f, 10_000)
	text, used := parseStream(t, post(t, f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody("a claim", 20, true)))
	assert.Equal(t, text, engine.Answer("a claim", 20))
	t.Run("the other instance reads the charge", func(t *testing.T) {
		assertSpent(t, f, f.Members[1], "acme/main", used)
	})
	t.Run("a repeated request is billed once", func(t *testing.T) {
		for i := range 3 {
			r := post(t, f.Members[i%2], "/v1/completions", fleet.Key("acme"), promptBody("once", 10, false), "X-Request-Id", "r-1")
			assert.Equal(t, r.status, http.StatusOK, r.body)
			var c struct {
				Usage struct {
					TotalTokens int64 `json:"total_tokens"`
				}
			}
			assert.NilError(t, json.Unmarshal([]byte(r.body), &c))
			assertSpent(t, f, f.Members[1], "acme/main", used+c.Usage.TotalTokens)
		}
	})
}

func TestBadRequestsSpendNothing(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 1, Engines: 1})
	provision(t, f, 10_000)
	key := fleet.Key("acme")
	large := promptBody(strings.Repeat("x", 2<<20), 1, false)
	for _, c := range []struct {
		name, key, body string
		code            int
	}{
		{"a bad key", "wrong", promptBody("p", 1, false), 1002},
		{"an unknown model", key, `{"model":"other","prompt":"p"}`, 1005},
		{"malformed JSON", key, `{"model":`, 1001},
		{"an oversized body", key, large, 1003},
		{"a negative token count", key, promptBody("p", -1, false), 1001},
		{"an excessive token count", key, promptBody("p", 1<<40, false), 1001},
		{"no prompt", key, `{"model":"draft"}`, 1001},
		{"more than the budget", key, promptBody(strings.Repeat("x", 9_999), 8_000, false), 2001},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertRefused(t, post(t, f.Members[0], "/v1/completions", c.key, c.body), c.code, "not_run")
		})
	}
	assert.Equal(t, balance(t, f.Members[0], "acme/main").Spent, int64(0))
}

// TestServiceCallRunsOnce checks that a repeated call receives the first answer at every instance, and that its key
// can't be used for another body.
func TestServiceCallRunsOnce(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 2, Services: 2})
	provision(t, f, 1)
	var first string
	for i := range 4 {
		r := post(t, f.Members[i%2], "/v1/services/claims/submit", fleet.Key("acme"), `{"flight":1}`, "Idempotency-Key", "k-1")
		assert.Equal(t, r.status, http.StatusOK, r.body)
		if first == "" {
			first = r.body
		}
		assert.Equal(t, r.body, first)
	}
	assert.Equal(t, f.ServiceServers[0].Runs("acme/k-1")+f.ServiceServers[1].Runs("acme/k-1"), 1)
	r := post(t, f.Members[1], "/v1/services/claims/submit", fleet.Key("acme"), `{"flight":2}`, "Idempotency-Key", "k-1")
	assertRefused(t, r, 4002, "not_run")
}

func TestPlannedStopReturnsAllowance(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 2, Engines: 1, TokenGap: 5 * time.Millisecond})
	provision(t, f, 100_000)
	done := make(chan reply, 1)
	var g errgroup.Group
	g.Go(func() error {
		done <- post(t, f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody("slow", 60, true))
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.Await(ctx, func() bool { return f.Members[0].Front.InFlight() == 1 }))
	assert.NilError(t, f.Members[0].Stop())
	text, used := parseStream(t, <-done)
	assert.Equal(t, text, engine.Answer("slow", 60))
	assertSpent(t, f, f.Members[1], "acme/main", used)
	b := balance(t, f.Members[1], "acme/main")
	assert.Equal(t, b.Held, b.Own, fmt.Sprintf("the allowance of the stopped instance must be returned: %+v", b))
}

func TestNewInstanceServesDuringOutage(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 2, Engines: 1})
	provision(t, f, 1_000_000)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	m, err := f.StartInstance()
	assert.NilError(t, err)
	assert.NilError(t, f.AwaitConnected(ctx))
	assert.Assert(t, balance(t, m, "acme/main").Own > 0, "a ready instance must hold an allowance")
	assert.NilError(t, f.Platform.SetFaults(platf.Faults{Outage: true}))
	for i := range 20 {
		prompt := fmt.Sprintf("during the outage %d", i)
		text, _ := parseStream(t, post(t, m, "/v1/completions", fleet.Key("acme"), promptBody(prompt, 20, true)))
		assert.Equal(t, text, engine.Answer(prompt, 20))
	}
	t.Run("a service call is refused without running", func(t *testing.T) {
		assert.NilError(t, f.Await(ctx, func() bool { return !m.LogReached() }))
		r := post(t, m, "/v1/services/claims/submit", fleet.Key("acme"), "{}", "Idempotency-Key", "k")
		assertRefused(t, r, 4004, "not_run")
		assert.Assert(t, r.header.Get("Retry-After") != "")
	})
}

// TestRetryReplacesPreviousAttempt guards against billing both attempts when a caller repeats a request in progress.
func TestRetryReplacesPreviousAttempt(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 1, Engines: 1, TokenGap: 20 * time.Millisecond})
	provision(t, f, 100_000)
	var g errgroup.Group
	first := make(chan reply, 1)
	g.Go(func() error {
		first <- post(t, f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody("again", 100, true), "X-Request-Id", "r")
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.Await(ctx, func() bool { return f.EngineServers[0].Counts().Started > 0 }))
	text, used := parseStream(t, post(t, f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody("again", 100, true), "X-Request-Id", "r"))
	assert.Equal(t, text, engine.Answer("again", 100))
	replaced := <-first
	assert.Assert(t, !strings.Contains(replaced.body, "[DONE]"), "the replaced response must not end like a complete one")
	assertSpent(t, f, f.Members[0], "acme/main", used)
	assert.NilError(t, g.Wait())
}

// TestSameIDOnBothPathsIsBilledSeparately guards against an unbilled response: a chat request with the id of a
// completion is another request.
func TestSameIDOnBothPathsIsBilledSeparately(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 1, Engines: 1})
	provision(t, f, 100_000)
	body := `{"model":"draft","prompt":"AAAA","messages":[{"role":"u","content":"BBBB"}],"max_tokens":8,"stream":true}`
	_, first := parseStream(t, post(t, f.Members[0], "/v1/completions", fleet.Key("acme"), body, "X-Request-Id", "r"))
	chat := post(t, f.Members[0], "/v1/chat/completions", fleet.Key("acme"), body, "X-Request-Id", "r")
	assert.Assert(t, strings.HasSuffix(chat.body, "data: [DONE]\n\n"))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.Await(ctx, func() bool { return balance(t, f.Members[0], "acme/main").Spent > first }))
}

// TestOperationNameIsValidated guards against path traversal by the operation name.
func TestOperationNameIsValidated(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 1, Services: 1})
	provision(t, f, 1)
	r := post(t, f.Members[0], "/v1/services/claims/%2e%2e", fleet.Key("acme"), "{}", "Idempotency-Key", "k")
	assertRefused(t, r, 1001, "not_run")
}
