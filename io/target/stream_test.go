package target_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/fake/engine"
	"cranberryrail/io/target"
)

func TestGenerateCompleteResponse(t *testing.T) {
	e := startEngine(t, &engine.Server{})
	c := newClient()
	t.Run("response limited by max_tokens", func(t *testing.T) { assertComplete(t, c, e.Addr(), newCall()) })
	t.Run("response ended by the engine", func(t *testing.T) {
		call := newCall()
		call.MaxTokens = 1000
		assertComplete(t, c, e.Addr(), call)
	})
	t.Run("resumption with only the final frame left", func(t *testing.T) {
		call := newCall()
		call.ResumeFrom = call.MaxTokens
		text, err := collect(c, e.Addr(), call)
		assert.NilError(t, err)
		assert.Equal(t, text, "")
	})
}

func TestGenerateFaults(t *testing.T) {
	tests := map[target.Kind]engine.Faults{
		target.Crossed:   {CrossRatio: 1},
		target.Doubled:   {DoubleRatio: 1},
		target.Gap:       {GapRatio: 1},
		target.Truncated: {TruncateRatio: 1},
		target.Silent:    {StallAfter: 3, StallRatio: 1},
		target.Failed:    {FailRatio: 1},
		target.Leaving:   {Leaving: true},
	}
	for kind, faults := range tests {
		t.Run(string(kind), func(t *testing.T) {
			e := startEngine(t, &engine.Server{})
			e.SetFaults(faults)
			c := &target.Client{FrameTimeout: shortTimeout}
			c.Default()
			for i := range 10 {
				call := newCall()
				call.RequestID = fmt.Sprintf("r%d", i)
				text, err := collect(c, e.Addr(), call)
				got := assertKind(t, err, kind)
				whole := engine.Answer(prompt, call.MaxTokens)
				assert.Assert(t, strings.HasPrefix(whole, text), "text %q", text)
				assert.Equal(t, text, engine.Text(prompt, got.Position))
				assert.Equal(t, got.NotRun, kind == target.Leaving)
				if kind == target.Silent {
					break
				}
			}
			e.SetFaults(engine.NoFaults())
			assertComplete(t, c, e.Addr(), newCall())
		})
	}
}

func TestGenerateRefusals(t *testing.T) {
	t.Run("unknown model", func(t *testing.T) {
		call := newCall()
		call.Version = "2"
		_, err := collect(newClient(), startEngine(t, &engine.Server{}).Addr(), call)
		assert.Assert(t, assertKind(t, err, target.UnknownModel).NotRun)
	})
	t.Run("no listener", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		assert.NilError(t, ln.Close())
		_, err = collect(newClient(), ln.Addr().String(), newCall())
		assert.Assert(t, !assertKind(t, err, target.Refused).Sent)
	})
	t.Run("silent engine", func(t *testing.T) {
		e := startEngine(t, &engine.Server{})
		e.SetFaults(engine.Faults{Silent: true})
		c := &target.Client{FirstFrameTimeout: shortTimeout}
		c.Default()
		_, err := collect(c, e.Addr(), newCall())
		assert.Assert(t, assertKind(t, err, target.Silent).Sent)
	})
	t.Run("the caller disconnected", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := newClient().Generate(ctx, startEngine(t, &engine.Server{}).Addr(), newCall())
		assert.Assert(t, !assertKind(t, err, target.Cancelled).Sent)
	})
}

// TestRefusalOfAnotherCallIsNoPromise guards against an untrue "not run", because its engine wrote the refusal of an earlier call once more
// on a kept connection.
func TestRefusalOfAnotherCallIsNoPromise(t *testing.T) {
	for _, tc := range []struct {
		name, body   string
		status       int
		kept, notRun bool
	}{
		{"full", `{"error":"full"}`, http.StatusTooManyRequests, true, false},
		{"leaving", `{"error":"leaving"}`, http.StatusServiceUnavailable, true, false},
		{"unknown model", `{"error":"unknown model"}`, http.StatusNotFound, true, false},
		{"full, new connection", `{"error":"full"}`, http.StatusTooManyRequests, false, true},
		{"full, names the call", `{"error":"full","request_id":"r1","attempt":1}`, http.StatusTooManyRequests, true, true},
		{"full, names another attempt", `{"error":"full","request_id":"r1","attempt":2}`, http.StatusTooManyRequests, true, false},
		{"full, names another call, new connection", `{"error":"full","request_id":"r0","attempt":1}`, http.StatusTooManyRequests, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			peers := map[string]int{}
			addr := startRaw(t, func(w http.ResponseWriter, r *http.Request) {
				peers[r.RemoteAddr]++
				if tc.kept && peers[r.RemoteAddr] == 1 {
					http.NotFound(w, r)
					return
				}
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, tc.body) // the caller may have disconnected
			})
			c := newClient()
			if tc.kept {
				_, err := collect(c, addr, newCall())
				assert.Assert(t, err != nil)
			}
			_, err := collect(c, addr, newCall())
			var e *target.Error
			assert.Assert(t, errors.As(err, &e) && len(peers) == 1, "%v, %v", err, peers)
			assert.Equal(t, e.NotRun, tc.notRun)
		})
	}
}

func TestGenerateProtocolBreaches(t *testing.T) {
	token := `data: {"request_id":"r1","attempt":1,"position":%d,"text":"x"}` + "\n\n"
	final := `data: {"request_id":"r1","attempt":1,"position":0,"final":true,"prompt_tokens":%d,"completion_tokens":%d}`
	tests := []struct {
		name string
		body string
		kind target.Kind
	}{
		{name: "line too long", body: "data: " + strings.Repeat("x", 70<<10) + "\n\n", kind: target.Failed},
		{name: "two data lines", body: "data: {}\ndata: {}\n\n", kind: target.Failed},
		{name: "too many tokens", body: fmt.Sprintf(token+token, 0, 1), kind: target.Failed},
		{name: "too many prompt tokens", body: fmt.Sprintf(final+"\n\n", 1000, 0), kind: target.Failed},
		{name: "more completion tokens than frames", body: fmt.Sprintf(final+"\n\n", 1, 1), kind: target.Gap},
		{name: "final frame without its blank line", body: fmt.Sprintf(final+"\n", 1, 0), kind: target.Truncated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := startRaw(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(tt.body)) })
			call := newCall()
			call.MaxTokens = 1
			_, err := collect(newClient(), addr, call)
			assertKind(t, err, tt.kind)
		})
	}
}

// TestOnlyFollowingFramesContinueAnAnswer guards against an answer that broke off and that an engine's error, or anything else but the frames that
// follow, was joined to, or ended as if it were complete.
func TestOnlyFollowingFramesContinueAnAnswer(t *testing.T) {
	const frame = `data: {"request_id":"r1","attempt":1,"position":`
	const end = `data: {"request_id":"r1","attempt":1,"position":3,"final":true,"prompt_tokens":1,"completion_tokens":3`
	const errorText = `{"error":"overloaded"}` + "\n\n"
	framings := map[string]func(w http.ResponseWriter, body string){
		"unframed": func(w http.ResponseWriter, _ string) { w.Header().Set("Transfer-Encoding", "identity") },
		"length":   func(w http.ResponseWriter, body string) { w.Header().Set("Content-Length", strconv.Itoa(len(body))) },
		"chunks":   func(w http.ResponseWriter, _ string) { _ = http.NewResponseController(w).Flush() },
	}
	for name, tt := range map[string]struct {
		body string
		kind target.Kind
	}{
		"no frame":                {"", target.Truncated},
		"comments":                {": x\n\nretry: 5\n\nid: 3\n\n", target.Truncated},
		"JSON":                    {errorText, target.Truncated},
		"a head":                  {"HTTP/1.1 500 Internal Server Error\r\n\r\n" + errorText, target.Truncated},
		"an error":                {"event: error\ndata: " + errorText, target.Crossed},
		"text as data":            {"data: overloaded\n\n", target.Failed},
		"a frame of an attempt":   {`data: {"request_id":"r1","attempt":2,"position":3,"text":"x"}` + "\n\n", target.Crossed},
		"a repeated frame":        {frame + `2,"text":"x"}` + "\n\n", target.Doubled},
		"a gap":                   {frame + `4,"text":"x"}` + "\n\n", target.Gap},
		"an error with a place":   {frame + `3,"error":"overloaded"}` + "\n\n", target.Failed},
		"an end without a reason": {end + "}\n\n", target.Failed},
		"an end by an error":      {end + `,"finish_reason":"error"}` + "\n\n", target.Failed},
	} {
		for framing, frame := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				addr := startRaw(t, func(w http.ResponseWriter, _ *http.Request) {
					frame(w, tt.body)
					_, _ = io.WriteString(w, tt.body)
				})
				call := newCall()
				call.ResumeFrom = 3
				text, err := collect(newClient(), addr, call)
				assert.Equal(t, assertKind(t, err, tt.kind).Position, call.ResumeFrom)
				assert.Equal(t, text, "")
			})
		}
	}
}

// TestResume checks that a response that stalls repeatedly is complete after its resumptions, without repeated or
// missing tokens.
func TestResume(t *testing.T) {
	e := startEngine(t, &engine.Server{})
	e.SetFaults(engine.Faults{StallAfter: 5, StallRatio: 1})
	c := &target.Client{FrameTimeout: shortTimeout}
	c.Default()
	call := newCall()
	whole := ""
	for {
		text, err := collect(c, e.Addr(), call)
		whole += text
		if err == nil {
			break
		}
		call.ResumeFrom = assertKind(t, err, target.Silent).Position
		call.Attempt++
		assert.Assert(t, call.Attempt < 50)
	}
	assert.Equal(t, whole, engine.Answer(prompt, call.MaxTokens))
	counts := e.Counts()
	assert.Equal(t, counts.Attempts["r1"], call.Attempt)
	assert.Equal(t, counts.Started+counts.Resumed, int64(call.Attempt))
}

// TestEngineSlotIsReleased guards against an abandoned stream that occupies a slot of its engine.
func TestEngineSlotIsReleased(t *testing.T) {
	ends := map[string]func(c *target.Client, addr string, s *target.Stream) error{
		"by cancel": func(c *target.Client, addr string, _ *target.Stream) error {
			return c.Cancel(context.Background(), addr, "r1", 1)
		},
		"by closing the stream": func(_ *target.Client, _ string, s *target.Stream) error {
			s.Close()
			return nil
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			e := startEngine(t, &engine.Server{Capacity: 1, MaxWaiting: -1})
			e.SetFaults(engine.Faults{StallAfter: 1, StallRatio: 1})
			c := newClient()
			s, err := c.Generate(context.Background(), e.Addr(), newCall())
			assert.NilError(t, err)
			defer s.Close()
			_, err = s.Next()
			assert.NilError(t, err)
			e.SetFaults(engine.NoFaults())
			second := newCall()
			second.RequestID = "r2"
			_, err = collect(c, e.Addr(), second)
			assertKind(t, err, target.Full)

			assert.NilError(t, end(c, e.Addr(), s))
			for {
				load, err := c.Load(context.Background(), e.Addr())
				assert.NilError(t, err)
				if load.Running == 0 {
					break
				}
			}
			assertComplete(t, c, e.Addr(), second)
			assert.Equal(t, e.Counts().Cancelled, int64(1))
		})
	}
}

// TestCallGoesOnUnlessItMayBeGivenUp guards against a call that ends at a timeout although no other call can replace it.
func TestCallGoesOnUnlessItMayBeGivenUp(t *testing.T) {
	c := &target.Client{FrameTimeout: shortTimeout, FirstFrameTimeout: shortTimeout}
	c.Default()
	for _, begun := range []bool{false, true} {
		e := startEngine(t, &engine.Server{TokenGap: 20 * time.Millisecond, FixedLength: true})
		timeouts := 0
		call := newCall()
		call.MayGiveUp = func() bool {
			timeouts++
			return false
		}
		if !begun {
			e.BeSilent(3 * shortTimeout)
		}
		s, err := c.Generate(t.Context(), e.Addr(), call)
		assert.NilError(t, err)
		if begun {
			e.BeSilent(3 * shortTimeout)
		}
		time.Sleep(shortTimeout * 3 / 2) // a timeout passes while nothing waits for a frame
		assertStreamEnds(t, s)
		assert.Assert(t, timeouts > 0)
	}
}

// lossyConn simulates a connection whose state was dropped on the network path: once dropping is set, writes are
// discarded.
type lossyConn struct {
	net.Conn
	dropping atomic.Bool
}

func (c *lossyConn) Write(p []byte) (int, error) {
	if c.dropping.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestLostConnectionsAreRetired guards against one failed request per open connection after an engine became
// unreachable: a timeout must retire all idle connections.
func TestLostConnectionsAreRetired(t *testing.T) {
	var mu sync.Mutex
	var conns []*lossyConn
	c := &target.Client{}
	c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, &lossyConn{Conn: nc})
		return conns[len(conns)-1], err
	}
	c.Default()
	e := startEngine(t, &engine.Server{})
	streams := make([]*target.Stream, 4)
	for i := range streams {
		s, err := c.Generate(context.Background(), e.Addr(), newCall())
		assert.NilError(t, err)
		streams[i] = s
	}
	assert.Equal(t, len(conns), len(streams))
	inUse, idle := streams[0], streams[1:]
	for _, s := range idle {
		assertStreamEnds(t, s)
	}
	for _, nc := range conns {
		nc.dropping.Store(true)
	}
	c.FirstFrameTimeout = shortTimeout
	_, err := collect(c, e.Addr(), newCall())
	assertKind(t, err, target.Silent)
	c.FirstFrameTimeout = 20 * shortTimeout
	assertComplete(t, c, e.Addr(), newCall())
	assertStreamEnds(t, inUse)
	assertComplete(t, c, e.Addr(), newCall())
}

// assertStreamEnds reads a stream to the end of a complete response and closes it.
func assertStreamEnds(t *testing.T, s *target.Stream) {
	t.Helper()
	defer s.Close()
	for {
		if _, err := s.Next(); err != nil {
			assert.ErrorIs(t, err, io.EOF)
			return
		}
	}
}

func ExampleClient_Generate() {
	e := &engine.Server{}
	e.Default()
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })

	c := &target.Client{}
	c.Default()
	call := target.Call{RequestID: "r1", Model: "draft", Version: "1", Prompt: "Hello", MaxTokens: 3}
	s, err := c.Generate(ctx, e.Addr(), call)
	for err == nil {
		var f target.Frame
		if f, err = s.Next(); err == nil {
			fmt.Println(f.Position, f.Final)
		}
	}
	fmt.Println(err)
	s.Close()
	stop()
	fmt.Println(group.Wait())
	// Output:
	// 0 false
	// 1 false
	// 2 false
	// 3 true
	// EOF
	// <nil>
}
