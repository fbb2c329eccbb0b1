package front

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
)

// Request headers.
const (
	headerRequestID      = "X-Request-Id"
	headerPriority       = "X-Priority"
	headerBudget         = "X-Budget"
	headerAllowShorter   = "X-Allow-Shorter"
	headerIdempotencyKey = "Idempotency-Key"
)

// Limits of a request.
const (
	// defaultMaxTokens applies if a request sets no max_tokens.
	defaultMaxTokens = 1024
	// maxIDBytes limits request ids and idempotency keys.
	maxIDBytes = 128
	// minShorterTokens is the minimum max_tokens to which a request may be shortened if its caller allows
	// a shorter response.
	minShorterTokens = 16
)

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// requestBody is the JSON body of a model request. Unknown fields are accepted and ignored.
type requestBody struct {
	Model               string    `json:"model"`
	Prompt              *string   `json:"prompt"`
	Messages            []message `json:"messages"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
}

// request is a validated model request.
type request struct {
	id           string
	organisation string
	budget       string
	model        string
	version      string
	prompt       string
	priority     int
	maxTokens    int
	allowShorter bool
	stream       bool
	chat         bool
	digest       uint64
}

// retryBodyMemory is the Retry-After while the bodies of other requests use the memory for them.
const retryBodyMemory = 200 * time.Millisecond

var errBodyMemory = errors.New("the memory for bodies is used up")

// countedBody adds what is read of a body to the bodies of the requests in flight. Reading fails with errBodyMemory once they exceed their limit.
type countedBody struct {
	io.ReadCloser

	server *Server
	bytes  int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if limit := b.server.MaxBodyMemory; b.server.bodyBytes.Add(int64(n)) > limit && limit > 0 {
		return n, errBodyMemory
	}
	return n, err
}

// release ends what was counted.
func (b *countedBody) release() { b.server.bodyBytes.Add(-b.bytes) }

// readBody reads the whole body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *codes.Error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(s.Settings.BodyTimeoutMS.Duration()))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.Settings.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, codes.Refuse(codes.BodyTooLarge, 0, "the request body exceeds the limit of %d bytes; send a smaller body", s.Settings.BodyBytes)
	case errors.Is(err, errBodyMemory):
		_ = controller.SetReadDeadline(time.Now()) // The server does not wait for the rest before it writes the refusal.
		return nil, codes.Refuse(codes.Overloaded, retryBodyMemory, "the bodies of the requests in flight use the memory for them; retry the request")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, codes.Refuse(codes.BodyTimeout, time.Second, "the request body was not received completely within %s; retry the request", s.Settings.BodyTimeoutMS.Duration())
	case err != nil:
		return nil, codes.Refuse(codes.BadRequest, 0, "the request body could not be read to its end: %v", err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return data, nil
}

// parseRequest parses a model request and validates it against the template of its organisation.
func parseRequest(r *http.Request, data []byte, t conf.Template) (request, *codes.Error) {
	var b requestBody
	if err := json.Unmarshal(data, &b); err != nil {
		return request{}, codes.Refuse(codes.BadRequest, 0, "the request body is not valid JSON or a field has the wrong type: %v", err)
	}
	req := request{
		organisation: t.Organisation, priority: t.Priority, stream: b.Stream,
		chat: strings.HasSuffix(r.URL.Path, "/chat/completions"), digest: xxhash.Sum64(append([]byte(r.URL.Path), data...)),
	}
	checks := []func() *codes.Error{
		func() *codes.Error { return req.setPrompt(b) },
		func() *codes.Error { return req.setMaxTokens(b, t) },
		func() *codes.Error { return req.setModel(b, t) },
		func() *codes.Error { return req.setFromHeaders(r, t) },
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return req, err
		}
	}
	return req, nil
}

func (req *request) setPrompt(b requestBody) *codes.Error {
	switch {
	case req.chat && len(b.Messages) == 0:
		return codes.Refuse(codes.BadRequest, 0, "messages is missing or empty; send at least one message")
	case req.chat:
		lines := make([]string, 0, len(b.Messages))
		for _, m := range b.Messages {
			lines = append(lines, m.Role+": "+m.Content)
		}
		req.prompt = strings.Join(lines, "\n")
	case b.Prompt == nil || *b.Prompt == "":
		return codes.Refuse(codes.BadRequest, 0, "prompt is missing or empty; send a non-empty string")
	default:
		req.prompt = *b.Prompt
	}
	return nil
}

func (req *request) setMaxTokens(b requestBody, t conf.Template) *codes.Error {
	req.maxTokens = min(defaultMaxTokens, t.MaxTokensLimit)
	if b.MaxCompletionTokens != nil {
		req.maxTokens = *b.MaxCompletionTokens
	}
	if b.MaxTokens != nil {
		req.maxTokens = *b.MaxTokens
	}
	if req.maxTokens < 1 || req.maxTokens > t.MaxTokensLimit {
		return codes.Refuse(codes.BadRequest, 0, "max_tokens (or max_completion_tokens) is %d; set it to a value from 1 to %d", req.maxTokens, t.MaxTokensLimit)
	}
	return nil
}

func (req *request) setModel(b requestBody, t conf.Template) *codes.Error {
	model, version, _ := strings.Cut(b.Model, ":")
	req.model, req.version = model, version
	i := slices.IndexFunc(t.Models, func(m conf.Model) bool { return m.Model == model })
	if model == "" || i < 0 {
		return codes.Refuse(codes.UnknownModel, 0, "model %q is not offered to organisation %s; request a model of the organisation's template", b.Model, t.Organisation)
	}
	versions := t.Models[i].Versions
	switch {
	case slices.Contains(versions, conf.AnyVersion):
	case version == "" && len(versions) > 0:
		req.version = versions[0]
	case !slices.Contains(versions, version):
		return codes.Refuse(codes.NotAllowed, 0, "organisation %s may use only versions %v of model %s; request one of them", t.Organisation, versions, model)
	}
	return nil
}

func (req *request) setFromHeaders(r *http.Request, t conf.Template) *codes.Error {
	req.id = r.Header.Get(headerRequestID)
	if req.id == "" {
		req.id = uuid.NewString()
	}
	if err := checkID(headerRequestID, req.id); err != nil {
		return err
	}
	if p := r.Header.Get(headerPriority); p != "" {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 || n > 9 {
			return codes.Refuse(codes.BadRequest, 0, "header %s has the invalid value %q; send an integer from 0 to 9", headerPriority, p)
		}
		req.priority = n
	}
	req.allowShorter = r.Header.Get(headerAllowShorter) == "1"
	req.budget = conf.MainBudget
	if b := r.Header.Get(headerBudget); b != "" {
		req.budget = b
	}
	if !slices.ContainsFunc(t.Budgets, func(b conf.Budget) bool { return b.Name == req.budget }) {
		return codes.Refuse(codes.BudgetUnknown, 0, "organisation %s has no budget %q; name one of its budgets in the header X-Budget", t.Organisation, req.budget)
	}
	return nil
}

// checkID validates the length and characters of an id chosen by the caller.
func checkID(name, id string) *codes.Error {
	printable := func(c rune) bool { return c > ' ' && c < 0x7f }
	if len(id) > maxIDBytes || strings.IndexFunc(id, func(c rune) bool { return !printable(c) }) >= 0 {
		return codes.Refuse(codes.BadRequest, 0, "header %s is longer than %d bytes or contains a space or a character that is not printable ASCII; send another value", name, maxIDBytes)
	}
	return nil
}

// engineID returns the request id that is sent to engines. It is the same for every attempt, and differs
// between organisations and between contents.
func (req *request) engineID() string {
	return fmt.Sprintf("%s/%s/%016x", req.organisation, req.id, req.digest)
}
