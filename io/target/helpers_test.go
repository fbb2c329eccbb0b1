package target_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/fake/engine"
	"cranberryrail/fake/plain"
	"cranberryrail/io/target"
)

const prompt = "Draft a claim letter for a flight that was four hours late."

// shortTimeout is a timeout for tests that expect it to expire.
const shortTimeout = 150 * time.Millisecond

func newCall() target.Call {
	return target.Call{RequestID: "r1", Attempt: 1, Model: "draft", Version: "1", Prompt: prompt, MaxTokens: 12}
}

func newClient() *target.Client {
	c := &target.Client{}
	c.Default()
	return c
}

// startServer runs a server until the test ends.
func startServer(t *testing.T, serve func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return serve(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
	})
}

func startEngine(t *testing.T, e *engine.Server) *engine.Server {
	t.Helper()
	e.Default()
	startServer(t, e.Run)
	return e
}

func startPlain(t *testing.T, faults plain.Faults) *plain.Server {
	t.Helper()
	s := &plain.Server{}
	s.Default()
	s.SetFaults(faults)
	startServer(t, s.Run)
	return s
}

// startRaw starts a server that responds to each request with the given function.
func startRaw(t *testing.T, answer http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(answer)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// collect reads a stream to its end. It returns the text and the error, which is nil for a complete response.
func collect(c *target.Client, addr string, call target.Call) (string, error) {
	s, err := c.Generate(context.Background(), addr, call)
	if err != nil {
		return "", err
	}
	defer s.Close()
	var text strings.Builder
	for {
		f, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(f.Text)
	}
}

func assertComplete(t *testing.T, c *target.Client, addr string, call target.Call) {
	t.Helper()
	text, err := collect(c, addr, call)
	assert.NilError(t, err)
	assert.Equal(t, text, engine.Answer(call.Prompt, call.MaxTokens))
}

func assertKind(t *testing.T, err error, kind target.Kind) *target.Error {
	t.Helper()
	var e *target.Error
	assert.Assert(t, errors.As(err, &e), "got %v", err)
	assert.Equal(t, e.Kind, kind, "%v", err)
	return e
}
