package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	// ShortPrompt is the prompt that ServeLong answers with two short tokens.
	ShortPrompt = "short"
	// LongBytes is the text that it sends for other prompts before it is silent, in tokens of longTokenBytes each.
	LongBytes      = 20 * longTokenBytes
	longTokenBytes = 60 << 10
)

// ServeLong is the handler of a faulty engine that sends tokens of the largest size, and then nothing.
func ServeLong(w http.ResponseWriter, r *http.Request) {
	var call struct {
		RequestID  string `json:"request_id"`
		Attempt    int    `json:"attempt"`
		Prompt     string `json:"prompt"`
		ResumeFrom int    `json:"resume_from"`
	}
	if r.URL.Path != "/v1/generate" || json.NewDecoder(r.Body).Decode(&call) != nil {
		_, _ = io.WriteString(w, "{}")
		return
	}
	frame := map[string]any{"request_id": call.RequestID, "attempt": call.Attempt, "text": strings.Repeat("x", longTokenBytes)}
	count := LongBytes / longTokenBytes
	if call.Prompt == ShortPrompt {
		frame["text"], count = "x", 2
	}
	send := func(position int) {
		frame["position"] = position
		data, _ := json.Marshal(frame) // strings and integers can be encoded
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = http.NewResponseController(w).Flush()
	}
	for position := call.ResumeFrom; position < count; position++ {
		send(position)
	}
	if call.Prompt != ShortPrompt {
		<-r.Context().Done()
		return
	}
	frame["text"], frame["final"], frame["finish_reason"], frame["completion_tokens"] = "", true, "stop", count
	send(count)
}
