package plat_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cranberryrail/core/roster"
	"cranberryrail/core/tail"
	"cranberryrail/fake/platf"
	"cranberryrail/io/plat"
)

const (
	stream = "ledger/0"
	// testTimeout is longer than any call in these tests takes, and shorter than platf.MaxWait.
	testTimeout = 20 * time.Second
)

// startServer runs the server until the test ends and returns a client for it.
func startServer(t *testing.T, s *platf.Server) *plat.Client {
	t.Helper()
	s.Default()
	assert.NilError(t, s.Listen(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	c := newClient("http://" + s.Addr())
	t.Cleanup(func() {
		c.HTTP.CloseIdleConnections()
		cancel()
		assert.NilError(t, g.Wait())
	})
	return c
}

func newClient(url string) *plat.Client {
	c := &plat.Client{LogURL: url + "/", Timeout: testTimeout}
	c.Default()
	return c
}

func assertAppend(t *testing.T, c *plat.Client, want int64, data string) {
	t.Helper()
	offset, err := c.Append(t.Context(), stream, []byte(data))
	assert.NilError(t, err)
	assert.Equal(t, offset, want)
}

func assertRead(t *testing.T, c *plat.Client, from int64, wait time.Duration, want ...string) {
	t.Helper()
	page, err := c.Log().Read(t.Context(), stream, from, wait)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), len(want))
	for i, e := range page.Records {
		assert.Equal(t, e.Offset, from+int64(i))
		assert.Equal(t, string(e.Data), want[i])
	}
}

// longPoll reads with the maximum wait and fails if the server replies only at the end of the wait.
func longPoll(t *testing.T, c *plat.Client, from int64) (tail.Page, error) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return c.Read(ctx, stream, from, platf.MaxWait)
}

// waitForReader waits until the server has received the first call for the stream, a long poll.
func waitForReader(t *testing.T, s *platf.Server) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, ok := s.Counts().Streams[stream]; !ok {
			return poll.Continue("no reader yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(testTimeout))
}

func assertStatus(t *testing.T, err error, want int) {
	t.Helper()
	var call *plat.CallError
	assert.Assert(t, errors.As(err, &call), "got %v", err)
	assert.Equal(t, call.Status, want)
}

func callControl(t *testing.T, c *plat.Client, method, path string, body any, want int) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), method, c.LogURL+"/control/"+path, bytes.NewReader(data))
	assert.NilError(t, err)
	resp, err := c.HTTP.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	assert.Equal(t, resp.StatusCode, want)
	return resp
}

func setFaults(t *testing.T, c *plat.Client, f platf.Faults) {
	t.Helper()
	callControl(t, c, http.MethodPut, "faults", f, http.StatusNoContent)
}

func TestLog(t *testing.T) {
	t.Run("records are read in the order of the appends", func(t *testing.T) {
		s := &platf.Server{}
		c := startServer(t, s)
		assertRead(t, c, 0, 0)
		assertAppend(t, c, 0, "a")
		assertAppend(t, c, 1, "bc")
		assertRead(t, c, 0, 0, "a", "bc")
		assertRead(t, c, 1, 0, "bc")
		c.MaxPage = 1
		assertRead(t, c, 0, 0, "a")
		want := platf.StreamCounts{Appends: 2, Reads: 4, BytesIn: 3, BytesOut: 6}
		var counts platf.Counts
		assert.NilError(t, json.NewDecoder(callControl(t, c, http.MethodGet, "counts", nil, http.StatusOK).Body).Decode(&counts))
		assert.DeepEqual(t, counts.Streams, map[string]platf.StreamCounts{stream: want})
	})
	t.Run("append completes a long poll", func(t *testing.T) {
		s := &platf.Server{}
		c := startServer(t, s)
		var g errgroup.Group
		g.Go(func() error {
			page, err := longPoll(t, c, 0)
			if err == nil && len(page.Records) != 1 {
				err = fmt.Errorf("read %d records, want 1", len(page.Records))
			}
			return err
		})
		waitForReader(t, s)
		assertAppend(t, c, 0, "a")
		assert.NilError(t, g.Wait())
	})
	t.Run("concurrent appends receive distinct offsets", func(t *testing.T) {
		const callers = 300
		c := startServer(t, &platf.Server{AppendsPerSecond: 1e6})
		var g errgroup.Group
		var mu sync.Mutex
		var offsets []int64
		for range callers {
			g.Go(func() error {
				_, err := longPoll(t, c, callers-1)
				return err
			})
			g.Go(func() error {
				offset, err := c.Append(t.Context(), stream, []byte("a"))
				mu.Lock()
				defer mu.Unlock()
				offsets = append(offsets, offset)
				return err
			})
		}
		assert.NilError(t, g.Wait())
		slices.Sort(offsets)
		assert.Equal(t, len(slices.Compact(offsets)), callers)
		assert.Equal(t, offsets[callers-1], int64(callers-1))
	})
	t.Run("a read of trimmed records returns TrimmedError", func(t *testing.T) {
		c := startServer(t, &platf.Server{Retention: 2})
		for i := range int64(4) {
			assertAppend(t, c, i, "a")
		}
		assertTrimmed(t, c, 1, 2)
		assertRead(t, c, 2, 0, "a", "a")
		setFaults(t, c, platf.Faults{Retention: 1})
		assertTrimmed(t, c, 2, 3)
	})
	t.Run("appends above the rate limit are refused with status 429", func(t *testing.T) {
		var now atomic.Int64
		c := startServer(t, &platf.Server{AppendsPerSecond: 1, Now: func() time.Time { return time.Unix(now.Load(), 0) }})
		assertAppend(t, c, 0, "a")
		_, err := c.Append(t.Context(), stream, []byte("b"))
		assertStatus(t, err, http.StatusTooManyRequests)
		now.Add(1)
		assertAppend(t, c, 1, "b")
	})
}

func assertTrimmed(t *testing.T, c *plat.Client, from, earliest int64) {
	t.Helper()
	_, err := c.Read(t.Context(), stream, from, 0)
	var trimmed *tail.TrimmedError
	assert.Assert(t, errors.As(err, &trimmed), "got %v", err)
	assert.DeepEqual(t, *trimmed, tail.TrimmedError{Stream: stream, From: from, Earliest: earliest})
}

func TestFaults(t *testing.T) {
	t.Run("an outage refuses calls and ends long polls", func(t *testing.T) {
		s := &platf.Server{}
		c := startServer(t, s)
		var g errgroup.Group
		var waiting error
		g.Go(func() error {
			_, waiting = longPoll(t, c, 0)
			return nil
		})
		waitForReader(t, s)
		setFaults(t, c, platf.Faults{Outage: true})
		assert.NilError(t, g.Wait())
		assertStatus(t, waiting, http.StatusServiceUnavailable)
		_, err := c.Append(t.Context(), stream, []byte("a"))
		assertStatus(t, err, http.StatusServiceUnavailable)
		_, err = c.Members(t.Context())
		assert.NilError(t, err)
		setFaults(t, c, platf.Faults{OutageList: true})
		assertAppend(t, c, 0, "a")
		_, err = c.Members(t.Context())
		assertStatus(t, err, http.StatusServiceUnavailable)
	})
	t.Run("reply lost after the append", func(t *testing.T) {
		c := startServer(t, &platf.Server{})
		setFaults(t, c, platf.Faults{DropReplyRatio: 1})
		_, err := c.Append(t.Context(), stream, []byte("a"))
		assertStatus(t, err, 0)
		assertRead(t, c, 0, 0, "a")
	})
	t.Run("a late append is written after its call failed", func(t *testing.T) {
		s := &platf.Server{}
		c := startServer(t, s)
		setFaults(t, c, platf.Faults{LateAppendRatio: 1, LateAppendMS: 1})
		_, err := c.Append(t.Context(), stream, []byte("a"))
		assertStatus(t, err, 0)
		assertRead(t, c, 0, testTimeout, "a")
		assert.Equal(t, s.Counts().Streams[stream].LateAppends, int64(1))
	})
	t.Run("pending late append is discarded at server stop", func(t *testing.T) {
		s := &platf.Server{}
		t.Run("run", func(t *testing.T) {
			c := startServer(t, s)
			setFaults(t, c, platf.Faults{LateAppendRatio: 1, LateAppendMS: time.Hour.Milliseconds()})
			_, err := c.Append(t.Context(), stream, []byte("a"))
			assertStatus(t, err, 0)
		})
		assert.Equal(t, s.Counts().Streams[stream].Appends, int64(0))
	})
	t.Run("ratios are deterministic for a seed", func(t *testing.T) {
		const appends = 200
		lost := func() int64 {
			s := &platf.Server{Seed: 7, AppendsPerSecond: 1e6}
			c := startServer(t, s)
			setFaults(t, c, platf.Faults{DropReplyRatio: 0.5, DelayMS: 1})
			for range appends {
				_, _ = c.Append(t.Context(), stream, nil)
			}
			assert.Equal(t, s.Counts().Streams[stream].Appends, int64(appends))
			return s.Counts().Streams[stream].RepliesDropped
		}
		first := lost()
		assert.Assert(t, first > appends/4 && first < appends*3/4, "lost %d", first)
		assert.Equal(t, lost(), first)
	})
	t.Run("invalid faults are rejected", func(t *testing.T) {
		c := startServer(t, &platf.Server{})
		callControl(t, c, http.MethodPut, "faults", platf.Faults{DropReplyRatio: 2}, http.StatusBadRequest)
		callControl(t, c, http.MethodPut, "faults", map[string]int{"unknown": 1}, http.StatusBadRequest)
	})
}

// TestMembersAreServedAfterListLag checks that each change of the list is served after ListLag, and that an unmodified
// list is returned again.
func TestMembersAreServedAfterListLag(t *testing.T) {
	const lagSeconds = 3
	var now atomic.Int64
	c := startServer(t, &platf.Server{ListLag: lagSeconds * time.Second, Now: func() time.Time { return time.Unix(now.Load(), 0) }})
	empty := roster.Members{Instances: []roster.Instance{}, Targets: []roster.Target{}}
	first := roster.Members{Instances: []roster.Instance{{ID: "i1", State: roster.Live}}, Targets: []roster.Target{}}
	second := roster.Members{Instances: first.Instances, Targets: []roster.Target{{ID: "t1", Addr: "127.0.0.1:1"}}}
	third := roster.Members{Instances: []roster.Instance{}, Targets: []roster.Target{{ID: "t1", State: roster.Leaving}}}
	assertMembers := func(at int64, want roster.Members) {
		t.Helper()
		now.Store(at)
		for range 2 {
			// The platform replies to the second call that the list is unmodified.
			got, err := c.Members(t.Context())
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		}
	}
	callControl(t, c, http.MethodPut, "members", first, http.StatusNoContent)
	now.Store(1)
	callControl(t, c, http.MethodPut, "targets/t1", second.Targets[0], http.StatusNoContent)
	now.Store(2)
	callControl(t, c, http.MethodPut, "targets/t1", third.Targets[0], http.StatusNoContent)
	callControl(t, c, http.MethodDelete, "instances/i1", nil, http.StatusNoContent)
	assertMembers(lagSeconds-1, empty)
	assertMembers(lagSeconds, first)
	assertMembers(lagSeconds+1, second)
	assertMembers(lagSeconds+2, third)
}

// TestTimeoutClosesIdleConnections guards against one failed call per open connection after all of them went silent.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	const parallel = 2
	var arrived sync.WaitGroup
	arrived.Add(parallel)
	var stalled atomic.Bool
	var mu sync.Mutex
	requestsByConn := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		requestsByConn[r.RemoteAddr]++
		mu.Unlock()
		if r.URL.Path != "/v1/members" {
			arrived.Done()
			arrived.Wait()
		}
		if stalled.Load() {
			<-r.Context().Done()
		}
		_, _ = w.Write([]byte(`{}`))
	}))
	defer server.Close()
	c := newClient(server.URL)
	var g errgroup.Group
	for range parallel {
		g.Go(func() error {
			_, err := c.Read(t.Context(), stream, 0, 0)
			return err
		})
	}
	assert.NilError(t, g.Wait())
	stalled.Store(true)
	c.Timeout = 50 * time.Millisecond
	_, err := c.Members(t.Context())
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "got %v", err)
	stalled.Store(false)
	c.Timeout = testTimeout
	_, err = c.Members(t.Context())
	assert.NilError(t, err)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(requestsByConn), parallel+1, "the last call uses a new connection: %v", requestsByConn)
}

// TestOddMemberLeavesOthersListed guards against one entry of another writer that fails the whole list, so that instances stop following it.
func TestOddMemberLeavesOthersListed(t *testing.T) {
	for _, odd := range []string{`7`, `null`, `{"id":5}`, `{"id":"x","slots":1e99}`, `{"id":"x","slots":-1}`, `{"id":""}`, `{"id":"x","addr":"here:70000"}`, `{"id":"x","addr":":0"}`} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"instances":[7,{"id":"i","peer_addr":"h:1"}],"targets":[%s,{"id":"t","addr":"localhost:80"}]}`, odd)
		}))
		members, err := newClient(s.URL).Members(t.Context())
		s.Close()
		assert.NilError(t, err, odd)
		assert.Assert(t, len(members.Instances) == 1 && len(members.Targets) == 1 && members.Targets[0].ID == "t", "%s: %+v", odd, members)
	}
}

// TestLongHeadOfAReply guards against a platform that sends a head without end, which would fill the memory of the process.
func TestLongHeadOfAReply(t *testing.T) {
	for bytes, sound := range map[int]bool{plat.MaxHeadBytes / 2: true, plat.MaxHeadBytes: false} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", bytes))
			_, _ = w.Write([]byte(`{"offset": 1}`))
		}))
		defer s.Close()
		_, err := newClient(s.URL).Append(t.Context(), stream, nil)
		assert.Equal(t, err == nil, sound, "%d bytes: %v", bytes, err)
	}
}
