package havoc

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
	// attempts is the most times that a caller sends one request.
	attempts = 6
	// longestPause bounds the time that a caller waits before it sends a request again.
	longestPause = 300 * time.Millisecond
	// longestAnswer and longestPrompt bound a request, in tokens and bytes.
	longestAnswer = 60
	longestPrompt = 400
)

// generation is a model request with all that was said about it.
type generation struct {
	organisation, id, body, prompt string
	maxTokens                      int
	streamed, shorter              bool

	mu sync.Mutex
	// whole tells that a caller got the whole answer.
	whole   bool
	refused int
	// ran is false while every attempt was refused as not run.
	ran bool
	// told is the most usage that an instance stated, or tokens that it relayed, by incarnation.
	told map[string]int64
	// stated is the usage of whole answers, by incarnation.
	stated map[string]int64
}

// String names the request.
func (g *generation) String() string { return "request " + g.organisation + "/" + g.id }

// booking is a service call with all that was said about it.
type booking struct {
	organisation, key, body string

	mu     sync.Mutex
	answer string
	// notRun tells that every attempt was refused as not run.
	notRun bool
	// certain tells that an instance said that the call ran.
	certain bool
}

// String names the call.
func (b *booking) String() string { return "call " + b.organisation + "/" + b.key }

// call sends requests until load ends; the last one is seen to its end within ctx.
func (r *Run) call(ctx, load context.Context, caller int) {
	dice := r.random(partCallers + uint64(caller))
	for n := 0; load.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d", caller, n)
		if dice.IntN(3) == 0 {
			r.book(ctx, dice, id)
			continue
		}
		r.generate(ctx, dice, id)
	}
}

// tries sends a request to one or two instances at a time until one attempt settles it.
func (r *Run) tries(ctx context.Context, dice *rand.Rand, try func(ctx context.Context, m *fleet.Member, leave int) bool) {
	for range attempts {
		members := r.running()
		dice.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		side := 1
		if dice.IntN(6) == 0 {
			side = min(2, len(members))
		}
		settled := make([]bool, side)
		var g errgroup.Group
		for i := range side {
			leave := -1
			if dice.IntN(8) == 0 {
				leave = dice.IntN(longestAnswer)
			}
			g.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, requestBound)
				defer cancel()
				settled[i] = try(ctx, members[i], leave)
				if ctx.Err() == context.DeadlineExceeded {
					r.violated("an attempt took more than %s", requestBound)
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
		pause(ctx, time.Duration(dice.Int64N(int64(longestPause))))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// generate makes one model request.
func (r *Run) generate(ctx context.Context, dice *rand.Rand, id string) {
	g := &generation{
		organisation: organisations[dice.IntN(len(organisations))], id: "m-" + id, maxTokens: 1 + dice.IntN(longestAnswer),
		prompt:   fmt.Sprintf("%s asks %s %s", id, strings.Repeat("please ", dice.IntN(longestPrompt/7)), id),
		streamed: dice.IntN(3) > 0, shorter: dice.IntN(4) == 0, told: map[string]int64{}, stated: map[string]int64{},
	}
	data, _ := json.Marshal(map[string]any{
		"model": fleet.Model, "prompt": g.prompt, "max_tokens": g.maxTokens, "stream": g.streamed,
	})
	g.body = string(data)
	r.mu.Lock()
	r.generated = append(r.generated, g)
	r.mu.Unlock()
	patient := dice.IntN(3) > 0
	r.tries(ctx, dice, func(ctx context.Context, m *fleet.Member, leave int) bool {
		e := r.attempt(ctx, g, m, leave)
		return e.whole || e.refused != nil && (e.refused.RetryAfterMS == 0 || !patient)
	})
}

// attempt sends a model request once.
func (r *Run) attempt(ctx context.Context, g *generation, m *fleet.Member, leave int) ending {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	header := []string{"X-Request-Id", g.id}
	if g.shorter {
		header = append(header, "X-Allow-Shorter", "1")
	}
	begun := time.Now()
	resp, err := r.post(ctx, m, g.organisation, "/v1/completions", g.body, header...)
	if err != nil {
		g.note(m.Inc, ending{})
		return ending{}
	}
	e := r.readAnswer(resp, g.streamed, leave)
	cancel()
	_ = resp.Body.Close()
	if e.events == 0 {
		e.quiet = time.Since(begun)
	}
	g.note(m.Inc, e)
	r.checkEnding(g, m, e)
	return e
}

// note takes in how an attempt ended.
func (g *generation) note(inc string, e ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told[inc] = max(g.told[inc], e.usage, int64(e.events))
	if e.whole {
		g.whole = true
		g.stated[inc] = max(g.stated[inc], e.usage)
	}
	if e.refused != nil {
		g.refused++
	}
	g.ran = g.ran || e.refused == nil || e.refused.Run != codes.NotRun
}

// checkEnding asserts that an answer is the request's own, and whole when it is said to be.
func (r *Run) checkEnding(g *generation, m *fleet.Member, e ending) {
	want := engine.Answer(g.prompt, g.maxTokens)
	switch {
	case e.whole && !g.shorter && e.text != want:
		r.violated("%s of %d tokens was answered %q by %s, not %q", g, g.maxTokens, e.text, m, want)
	case !strings.HasPrefix(want, e.text):
		r.violated("%s was answered %q by %s, which is no part of %q", g, e.text, m, want)
	case e.refused != nil && e.refused.Run == codes.NotRun && e.events > 0:
		r.violated("%s got %d tokens and then %+v", g, e.events, *e.refused)
	}
	if e.refused != nil && (g.streamed || e.refused.Run == codes.NotRun) {
		r.checkQuiet(g, e.refused, e.quiet, quietBound)
	}
}

// book makes one service call.
func (r *Run) book(ctx context.Context, dice *rand.Rand, id string) {
	b := &booking{organisation: organisations[dice.IntN(len(organisations))], key: "s-" + id, body: fmt.Sprintf(`{"slot":%q}`, id), notRun: true}
	r.mu.Lock()
	r.booked = append(r.booked, b)
	r.mu.Unlock()
	patient := dice.IntN(3) > 0
	r.tries(ctx, dice, func(ctx context.Context, m *fleet.Member, leave int) bool {
		f, settled := r.callOnce(ctx, b, m, leave)
		return settled || f != nil && (f.RetryAfterMS == 0 || !patient)
	})
}

// callOnce sends a service call once. It reports whether it was answered.
func (r *Run) callOnce(ctx context.Context, b *booking, m *fleet.Member, leave int) (*refusal, bool) {
	if leave >= 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(leave)*time.Millisecond)
		defer cancel()
	}
	begun := time.Now()
	resp, err := r.post(ctx, m, b.organisation, "/v1/services/"+fleet.Service+"/submit", b.body, "Idempotency-Key", b.key)
	if err != nil {
		b.note("", nil)
		return nil, false
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	switch {
	case err != nil:
		b.note("", nil)
		return nil, false
	case resp.StatusCode == http.StatusOK:
		r.checkAnswer(b, b.note(string(data), nil), data)
		return nil, true
	}
	f := r.readRefusal(resp.StatusCode, data)
	b.note("", f)
	if f != nil {
		r.checkQuiet(b, f, time.Since(begun), callBound)
	}
	return f, f == nil
}

// note takes in what was said about a call and returns the first answer to it.
func (b *booking) note(answer string, f *refusal) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notRun = b.notRun && f != nil && f.Run == codes.NotRun
	b.certain = b.certain || answer != "" || f != nil && f.Run == codes.Ran
	if b.answer == "" {
		b.answer = answer
	}
	return b.answer
}

// checkAnswer asserts that an answer is that of the only run of the call.
func (r *Run) checkAnswer(b *booking, first string, data []byte) {
	var a plain.Answer
	sum := sha256.Sum256([]byte(b.body))
	err := json.Unmarshal(data, &a)
	if err != nil || a.Key != b.organisation+"/"+b.key || a.Digest != hex.EncodeToString(sum[:]) || a.Run != 1 || string(data) != first {
		r.violated("%s was answered %s, and first %s", b, data, first)
	}
}
