package chaos

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/serve"
	"cranberryrail/fake/fleet"
)

// Limits on response times, without the slack of the run.
const (
	// maxSilence is the longest time without an event before a model request ends: the wait for a
	// reservation, a frame that does not arrive, and all attempts at engines that do not respond.
	maxSilence = reserveWait + frameTimeout + serve.MaxAttempts*(dialTimeout+firstFrameTimeout)
	// maxCallTime is the longest time until a service call is answered or refused.
	maxCallTime = claimWait + serve.MaxAttempts*dialTimeout + callTimeout
	// attemptTimeout is the longest time that one attempt of a caller may take.
	attemptTimeout = time.Minute
)

// refusal is the error that an instance returns instead of an answer.
type refusal struct {
	Code         int       `json:"code"`
	Name         string    `json:"name"`
	Run          codes.Run `json:"run"`
	RetryAfterMS int64     `json:"retry_after_ms"`
}

// event is one event of a streamed answer, or a complete answer.
type event struct {
	Error   *refusal `json:"error"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	} `json:"usage"`
}

// attemptResult is the result of one attempt of a caller. If it is neither complete nor
// refused, the connection failed or the caller disconnected.
type attemptResult struct {
	complete bool
	text     string
	events   int
	usage    int64
	refused  *refusal
	// silence is the time from the request or the last event to the end of the attempt.
	silence time.Duration
}

// post sends a request to an instance.
func (r *Run) post(ctx context.Context, m *fleet.Member, organisation, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Front.Addr()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Key(organisation))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(req)
}

// readRefusal decodes and checks a refusal; it returns nil when the data is not a refusal of an
// instance.
func (r *Run) readRefusal(status int, data []byte) *refusal {
	var e struct {
		Error *refusal `json:"error"`
	}
	if json.Unmarshal(data, &e) != nil || e.Error == nil {
		return nil
	}
	r.checkRefusal(status, e.Error)
	return e.Error
}

// checkRefusal asserts that a refusal has a known code, states whether the request ran, and is
// not an internal error.
func (r *Run) checkRefusal(status int, f *refusal) {
	known := slices.ContainsFunc(codes.All(), func(c codes.Code) bool {
		return c.Number == f.Code && c.Name == f.Name && (status == http.StatusOK || c.Status == status)
	})
	if !known || !slices.Contains([]codes.Run{codes.NotRun, codes.Unknown, codes.Ran}, f.Run) {
		r.fail("status %d came with the refusal %+v", status, *f)
	}
	if f.Code == codes.Internal.Number {
		r.fail("an instance returned an internal error: %+v", *f)
	}
}

// readAnswer reads the answer to a model request. The caller disconnects after leaveAfter
// events, or never if it is negative.
func (r *Run) readAnswer(resp *http.Response, streamed bool, leaveAfter int) attemptResult {
	started := time.Now()
	if resp.StatusCode != http.StatusOK || !streamed {
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			return attemptResult{}
		}
		return r.parseAnswer(resp.StatusCode, data)
	}
	var res attemptResult
	lines := bufio.NewScanner(resp.Body)
	for res.events != leaveAfter && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			res.complete = true
			continue
		}
		res.silence, started = time.Since(started), time.Now()
		r.addEvent(&res, data)
	}
	if lines.Err() == nil && !res.complete && res.refused == nil && res.events != leaveAfter {
		r.fail("a stream closed cleanly after %d events without [DONE] or an error", res.events)
	}
	return res
}

// addEvent adds one event of a stream to the result.
func (r *Run) addEvent(res *attemptResult, data string) {
	var ev event
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		r.fail("decode event of a stream: %v: %s", err, data)
		return
	}
	if ev.Error != nil {
		r.checkRefusal(http.StatusOK, ev.Error)
		res.refused = ev.Error
		return
	}
	res.add(ev)
	if ev.Usage == nil {
		res.events++
	}
}

func (res *attemptResult) add(ev event) {
	for _, c := range ev.Choices {
		res.text += c.Text
	}
	if ev.Usage != nil {
		res.usage = int64(ev.Usage.TotalTokens)
	}
}

// parseAnswer decodes a complete answer, or a refusal.
func (r *Run) parseAnswer(status int, data []byte) attemptResult {
	var res attemptResult
	if status != http.StatusOK {
		if res.refused = r.readRefusal(status, data); res.refused == nil {
			r.fail("status %d came without a refusal: %s", status, data)
		}
		return res
	}
	var ev event
	if err := json.Unmarshal(data, &ev); err != nil || ev.Usage == nil {
		r.fail("answer is not valid JSON or has no usage: %s", data)
		return res
	}
	res.add(ev)
	res.complete = true
	return res
}

// checkResponseTime asserts that a refusal came within the timeouts and the slack of the run.
func (r *Run) checkResponseTime(what fmt.Stringer, f *refusal, took, bound time.Duration) {
	if took > bound+r.Slack {
		r.fail("%s got the refusal %+v after %s, but the timeouts add up to %s", what, *f, took, bound)
	}
}
