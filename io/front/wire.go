package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/serve"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error refusal `json:"error"`
}

type refusal struct {
	Code         int       `json:"code"`
	Name         string    `json:"name"`
	Message      string    `json:"message"`
	Run          codes.Run `json:"run"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
	RequestID    string    `json:"request_id,omitempty"`
}

func newRefusalBody(requestID string, e *codes.Error) refusalBody {
	return refusalBody{Error: refusal{
		Code: e.Code.Number, Name: e.Code.Name, Message: e.Code.Text + " " + e.Detail, Run: e.Run,
		RetryAfterMS: e.RetryAfter.Milliseconds(), RequestID: requestID,
	}}
}

// writeError writes a refusal with its numbered code.
func writeError(w http.ResponseWriter, requestID string, e *codes.Error) {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	if requestID != "" {
		w.Header().Set(headerRequestID, requestID)
	}
	writeJSON(w, e.Code.Status, newRefusalBody(requestID, e))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body := []byte(marshal(v))
	w.Header().Set("Content-Type", "application/json")
	setLength(w, body)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// setLength states the length of a response, so that one that is cut off never looks whole. Without it, a long one has chunks, which HTTP/1.0 lacks.
func setLength(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
}

// marshal encodes a value as JSON. The types of this package can always be encoded.
func marshal(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// completion is a response, or a chunk of one, in the format of model services.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chunk returns one event of a stream.
func chunk(req request, text, finish string) string {
	return marshal(newCompletion(req, text, finish, true))
}

// finalChunk returns the last event of a stream, with the usage.
func finalChunk(req request, u serve.Usage) string {
	c := newCompletion(req, "", u.FinishReason, true)
	c.Usage = newUsage(u)
	return marshal(c)
}

// fullCompletion returns a response that is not streamed.
func fullCompletion(req request, text string, u serve.Usage) completion {
	c := newCompletion(req, text, u.FinishReason, false)
	c.Usage = newUsage(u)
	return c
}

func newUsage(u serve.Usage) *usage {
	return &usage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, TotalTokens: int(u.Tokens())}
}

func newCompletion(req request, text, finish string, isChunk bool) completion {
	c := completion{ID: req.id, Object: "text_completion", Created: time.Now().Unix(), Model: req.model}
	ch := choice{Text: &text}
	if req.chat {
		ch.Text = nil
		m := &message{Role: "assistant", Content: text}
		c.Object = "chat.completion"
		if isChunk {
			c.Object = "chat.completion.chunk"
			ch.Delta = m
		} else {
			ch.Message = m
		}
	}
	if finish != "" {
		ch.FinishReason = &finish
	}
	c.Choices = []choice{ch}
	return c
}
