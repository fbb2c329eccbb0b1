package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/fake/engine"
)

// KillRequests is the number of requests that KillUnderLoad sends, from killCallers callers.
const (
	KillRequests = 32
	killCallers  = 8
)

// answerTokens is the maximum number of tokens of an answer.
const answerTokens = 20

// KillUnderLoad kills the first running instance some time after callers began to send it streams with ids that start with name, and replaces it. It returns
// the whole answers; a caller without one retries at the other instances.
func (f *Fleet) KillUnderLoad(ctx context.Context, name, organisation string, after time.Duration) ([]Answer, error) {
	order := f.Running()
	answers := make([]Answer, KillRequests)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(killCallers + 1)
	g.Go(func() error {
		time.Sleep(after)
		order[0].Kill()
		f.Platform.DeleteInstance(order[0].Settings.Instance.ID)
		_, err := f.StartInstance()
		return err
	})
	for i := range answers {
		g.Go(func() (err error) {
			answers[i], err = retry(ctx, order, organisation, fmt.Sprintf("%s-%d", name, i))
			return err
		})
	}
	return answers, g.Wait()
}

// retry sends a request to the instances in turn until one answers in whole.
func retry(ctx context.Context, order []*Member, organisation, id string) (Answer, error) {
	var last error
	for _, m := range order {
		tokens, err := m.stream(ctx, organisation, id)
		if err == nil {
			return Answer{Instance: m.Incarnation, Request: id, Tokens: tokens}, nil
		}
		last = err
	}
	return Answer{}, fmt.Errorf("request %s: no whole answer: %w", id, last)
}

// stream sends a streamed request whose prompt is its id, and returns the tokens that its whole answer states.
func (m *Member) stream(ctx context.Context, organisation, id string) (int64, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, Model, id, answerTokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Front.Addr()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+Key(organisation))
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	return parseAnswer(id, string(data))
}

// parseAnswer returns the tokens that a streamed answer states, or an error unless it is whole and belongs to the prompt.
func parseAnswer(prompt, data string) (int64, error) {
	events, whole := strings.CutSuffix(data, "data: [DONE]\n\n")
	if !whole {
		return 0, fmt.Errorf("the answer is not whole: %q", data)
	}
	var text strings.Builder
	var chunk struct {
		Choices []struct{ Text string }
		Usage   struct {
			TotalTokens int64 `json:"total_tokens"`
		}
	}
	for event := range strings.SplitSeq(strings.TrimSpace(events), "\n\n") {
		if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &chunk); err != nil {
			return 0, fmt.Errorf("the answer has the event %q: %w", event, err)
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Text)
		}
	}
	if want := engine.Answer(prompt, answerTokens); text.String() != want {
		return 0, fmt.Errorf("the answer is %q, the engine generates %q", &text, want)
	}
	return chunk.Usage.TotalTokens, nil
}

// AwaitBills waits until each answer of a running instance has its bill in a budget, and returns the budget as the first running instance has read it.
func (f *Fleet) AwaitBills(ctx context.Context, budget string, answers []Answer) (Account, error) {
	var account Account
	err := f.AwaitNothing(ctx, func() string {
		var err error
		if account, err = f.Running()[0].Account(budget); err != nil {
			return err.Error()
		}
		running := map[string]bool{}
		for _, m := range f.Running() {
			running[m.Incarnation] = true
		}
		for _, a := range account.Unbilled(answers) {
			if running[a.Instance] {
				return fmt.Sprintf("the answer to %s of budget %s has no bill yet", a.Request, budget)
			}
		}
		return ""
	})
	return account, err
}
