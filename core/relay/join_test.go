package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"cranberryrail/core/relay"
	"cranberryrail/core/route"
	"cranberryrail/core/table"
	"cranberryrail/fake/script"
)

// The stream that targets answer with, in two parts, and error texts that take the place of the second one.
const (
	beginning = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	rest      = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	errorText = "{\"error\":\"overloaded\"}\n\n"
	errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/event-stream\r\n\r\n"
)

// joinFixture is a fixture whose targets answer with a stream that breaks off, and then with an answer each.
type joinFixture struct {
	*fixture
	resumed []string // the event ids that requests resume from
	body    string
	plain   bool          // the first answer is no event stream
	timeout time.Duration // of the last reads
	after   string        // the event id that the caller resumes from
}

// newJoinFixture returns a fixture whose first target sends begun.
func newJoinFixture(begun string, end error, next relay.Response) *joinFixture {
	f := &joinFixture{}
	f.fixture = newFixture(func(_ context.Context, d relay.Dispatch) (*relay.Response, error) {
		a := next
		if f.resumed = append(f.resumed, d.LastEventID); len(f.resumed) == 1 {
			a = script.EventStream(begun, len(begun), end)
			a.IsEventStream = !f.plain
		}
		a.HasSignature, a.SetReadTimeout, a.Close = true, func(d time.Duration) { f.timeout = d }, func() {}
		return &a, nil
	})
	config := table.New(table.Config{
		Routes:   []table.Route{{Host: "h", Prefix: "/", Kind: table.Streaming, Resumable: true, GapObjective: time.Millisecond, MaxAttempts: 2, Shares: []table.Share{{Service: "draft", Weight: 1}}}},
		Services: []table.Service{{Name: "draft", EventTokens: 5}},
	})
	f.Table = func() *table.Table { return config }
	return f
}

func (f *joinFixture) serve(t *testing.T) relay.Result {
	t.Helper()
	write := func(p []byte) error { f.body += string(p); return nil }
	req := &relay.Request{LastEventID: f.after, Host: "h", Path: "/", Prompt: &relay.Prompt{Tokens: 100, MaxOutput: 50}, Arrived: time.Now()}
	return f.Serve(t.Context(), req, relay.Sink{Head: func(int, http.Header, int64) {}, Write: write})
}

// TestOnlyFollowingEventsAreJoined guards against a stream that broke off and that another target's error, or anything else but the events that
// follow, was joined to, and against one that such an answer ended as if it were complete.
func TestOnlyFollowingEventsAreJoined(t *testing.T) {
	for name, c := range map[string]struct {
		answer, joined string
		whole          bool
	}{
		"following events":              {rest, rest, true},
		"following events with CRLF":    {strings.ReplaceAll(rest, "\n", "\r\n"), strings.ReplaceAll(rest, "\n", "\r\n"), true},
		"comments between events":       {": x\n\nretry: 5\n\n" + rest + ": y\n\n", rest, true},
		"no event":                      {},
		"comments only":                 {": " + errorText + "\n", "", false},
		"retry only":                    {"retry: 1000\n\n", "", false},
		"an id only":                    {"id: 3\n\n", "", false},
		"an id only, then the next one": {"id: 3\n\nid: 4\ndata: d\n\n", "", false},
		"an event without an id":        {"event: error\ndata: " + errorText, "", false},
		"an empty id":                   {"id:\ndata: c\n\n", "", false},
		"an id that is no number":       {"id: error\ndata: c\n\n", "", false},
		"a gap":                         {"id: 4\ndata: d\n\n", "", false},
		"a repeated event":              {"id: 2\ndata: b\n\n" + rest, "", false},
		"JSON":                          {errorText, "", false},
		"a line of text":                {"overloaded\n\n", "", false},
		"a field that is none":          {"error: overloaded\n\n", "", false},
		"a head":                        {errorHead + errorText, "", false},
		"a head before events":          {errorHead + rest, "", false},
		"a header before an event":      {"Content-Type: text/event-stream\r\n\r\n" + rest, rest, true},
		"text in an event":              {"id: 3\n" + errorText, "", false},
		"a carriage return in an event": {"id: 3\ndata: c\r\rdata: x\n\n", "", false},
		"text after an event":           {"id: 3\ndata: c\n\n" + errorText, "id: 3\ndata: c\n\n", false},
		"a head after an event":         {"id: 3\ndata: c\n\n" + errorHead + rest, "id: 3\ndata: c\n\n", false},
		"an event without an id later":  {"id: 3\ndata: c\n\ndata: x\n\n", "id: 3\ndata: c\n\n", false},
		"an event that breaks off":      {"id: 3\ndata: c\n\nid: 4\nda", "id: 3\ndata: c\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, broken := range []string{"", "id: 3\n", "id: 3\n\n", "id: 3\ndata: x", ": x\n\n"} {
					for _, piece := range []int{1, 7, 1 << 10} {
						for _, way := range []string{"framed", "unframed", "by another instance"} {
							next := script.EventStream(c.answer, piece, io.EOF)
							next.Unframed = way == "unframed"
							f := newJoinFixture(beginning+broken, io.ErrUnexpectedEOF, next)
							f.NeedsDetour = func(string, int) bool { return way == "by another instance" && len(f.resumed) > 0 }
							f.DispatchBy = func(ctx context.Context, d relay.Dispatch, _ route.Request) (*relay.Response, error) {
								return f.Dispatch(ctx, d)
							}
							result := f.serve(t)
							play := fmt.Sprintf("after %q, in pieces of %d, %s", broken, piece, way)
							assert.Check(t, cmp.Equal(f.body, beginning+c.joined), play)
							assert.Check(t, cmp.Equal(result.Truncated, !c.whole), play)
							assert.Check(t, cmp.Equal(result.Events, strings.Count(f.body, "data:")), play)
							assert.Check(t, cmp.DeepEqual(f.resumed, []string{"", "2"}), play)
						}
					}
				}
			})
		})
	}
}

// TestAnswersThatCanNotBeJoined guards against a stream of events without ids, or a long body, that broke off and that another target's
// answer, which begins anew, was joined to. Such a stream must not be broken off for a silence either.
func TestAnswersThatCanNotBeJoined(t *testing.T) {
	for name, begun := range map[string]string{
		"no ids": "data: a\n\n", "an event without an id": beginning + "event: error\ndata: x\n\n", "plain": strings.Repeat("x", 300<<10),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newJoinFixture(begun, io.ErrUnexpectedEOF, script.EventStream(rest, 1<<10, io.EOF))
				f.plain = name == "plain"
				assert.Assert(t, f.serve(t).Truncated)
				assert.Assert(t, f.body == begun)
				assert.Equal(t, len(f.resumed), 1)
				assert.Assert(t, f.timeout > time.Second, f.timeout)
			})
		})
	}
}

// TestFirstAnswerOfAStream guards against text that is no event of a stream and reached the caller as one, against blocks without data that were
// counted as events, and against an error as the rest of a stream that the caller resumes. What is the target's own whole answer is not changed.
func TestFirstAnswerOfAStream(t *testing.T) {
	for name, c := range map[string]struct {
		after, answer, want string
		events              int
	}{
		"JSON":                    {"", errorText, rest, 2},
		"a head":                  {"", errorHead + errorText, rest, 2},
		"text after events":       {"", beginning + errorText, beginning + rest, 4},
		"blocks without data":     {"", ": x\n\nretry: 5\n\nid: 1\n\nid: 2\ndata: b\n\n: y\n\n", ": x\n\nretry: 5\n\nid: 1\n\nid: 2\ndata: b\n\n: y\n\n", 1},
		"comments only":           {"", ": x\n\n\n", ": x\n\n\n", 0},
		"without ids":             {"", "data: a\n\nevent: end\ndata\n\n", "data: a\n\nevent: end\ndata\n\n", 2},
		"a last one without one":  {"", beginning + "data: [DONE]\n\n", beginning + "data: [DONE]\n\n", 3},
		"another field":           {"", "weight-versions: 7\nid: 1\ndata: a\n\n", "weight-versions: 7\nid: 1\ndata: a\n\n", 1},
		"resumed by an error":     {"2", "event: error\ndata: x\n\n", rest, 2},
		"resumed after a gap":     {"2", "id: 4\ndata: d\n\n", rest, 2},
		"resumed at the end":      {"2", "", "", 0},
		"resumed without last id": {"2", ": x\n\n" + rest + "data: [DONE]\n\n", ": x\n\n" + rest + "data: [DONE]\n\n", 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newJoinFixture(c.answer, io.EOF, script.EventStream(rest, 1<<10, io.EOF))
				f.after = c.after
				result := f.serve(t)
				assert.Equal(t, f.body, c.want)
				assert.Equal(t, result.Events, c.events)
				assert.Equal(t, result.Status, http.StatusOK)
			})
		})
	}
}
