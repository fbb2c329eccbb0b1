package havoc

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

// Bounds on what an instance may take, beside the slack of the run.
const (
	// quietBound is the longest silence before a model request ends: the wait for tokens, a
	// frame that does not come, and all attempts at engines that stay silent.
	quietBound = reserveWait + frameTimeout + serve.MaxAttempts*(dialTimeout+firstFrameTimeout)
	// callBound is the longest time to the answer or refusal of a service call.
	callBound = claimWait + serve.MaxAttempts*dialTimeout + callTimeout
	// requestBound is the longest time of one attempt of a caller.
	requestBound = time.Minute
)

// refusal is what an instance says when it does not answer.
type refusal struct {
	Code         int       `json:"code"`
	Name         string    `json:"name"`
	Run          codes.Run `json:"run"`
	RetryAfterMS int64     `json:"retry_after_ms"`
}

// event is one part of a streamed answer, or a whole one.
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

// ending is how one attempt of a caller ended. Without a refusal and not whole, the
// connection broke or the caller left.
type ending struct {
	whole   bool
	text    string
	events  int
	usage   int64
	refused *refusal
	// quiet is the time from the request or the last event to the end.
	quiet time.Duration
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

// readRefusal decodes and checks a refusal; it is nil when the data is none of an instance.
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

// checkRefusal asserts that a refusal has a known number and says whether the request ran.
func (r *Run) checkRefusal(status int, f *refusal) {
	known := slices.ContainsFunc(codes.All(), func(c codes.Code) bool {
		return c.Number == f.Code && c.Name == f.Name && (status == http.StatusOK || c.Status == status)
	})
	if !known || !slices.Contains([]codes.Run{codes.NotRun, codes.Unknown, codes.Ran}, f.Run) {
		r.violated("status %d came with the refusal %+v", status, *f)
	}
	if f.Code == codes.Internal.Number {
		r.violated("an instance failed internally: %+v", *f)
	}
}

// readAnswer reads the answer to a model request. Leave is the number of events after which
// the caller goes away; a negative one stands for never.
func (r *Run) readAnswer(resp *http.Response, streamed bool, leave int) ending {
	begun := time.Now()
	if resp.StatusCode != http.StatusOK || !streamed {
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			return ending{}
		}
		return r.readWhole(resp.StatusCode, data)
	}
	var e ending
	lines := bufio.NewScanner(resp.Body)
	for e.events != leave && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			e.whole = true
			continue
		}
		e.quiet, begun = time.Since(begun), time.Now()
		r.takeEvent(&e, data)
	}
	if lines.Err() == nil && !e.whole && e.refused == nil && e.events != leave {
		r.violated("a stream ended cleanly after %d events without an end or an error", e.events)
	}
	return e
}

// takeEvent adds one event of a stream.
func (r *Run) takeEvent(e *ending, data string) {
	var ev event
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		r.violated("an event is no JSON: %v: %s", err, data)
		return
	}
	if ev.Error != nil {
		r.checkRefusal(http.StatusOK, ev.Error)
		e.refused = ev.Error
		return
	}
	e.add(ev)
	if ev.Usage == nil {
		e.events++
	}
}

func (e *ending) add(ev event) {
	for _, c := range ev.Choices {
		e.text += c.Text
	}
	if ev.Usage != nil {
		e.usage = int64(ev.Usage.TotalTokens)
	}
}

// readWhole takes an answer in one piece, or a refusal.
func (r *Run) readWhole(status int, data []byte) ending {
	var e ending
	if status != http.StatusOK {
		if e.refused = r.readRefusal(status, data); e.refused == nil {
			r.violated("status %d came without a refusal: %s", status, data)
		}
		return e
	}
	var ev event
	if err := json.Unmarshal(data, &ev); err != nil || ev.Usage == nil {
		r.violated("an answer has another shape: %s", data)
		return e
	}
	e.add(ev)
	e.whole = true
	return e
}

// checkQuiet asserts that a refusal was not held back.
func (r *Run) checkQuiet(what fmt.Stringer, f *refusal, took, bound time.Duration) {
	if took > bound+r.Slack {
		r.violated("%s got the refusal %+v only after %s; the time-outs add up to %s", what, *f, took, bound)
	}
}
