package entry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/flow"
	"cranberryrail/core/guard"
	"cranberryrail/core/relay"
	"cranberryrail/io/entry"
)

// startServer starts a server that responds to each request with status 200 and no body.
func startServer(t *testing.T, configure ...func(s *entry.Server)) *entry.Server {
	t.Helper()
	s := &entry.Server{
		MaxBodyBytes: 1000, Guard: &guard.Guard{MaxBodyBytes: 1000},
		ParseRequest: func(*http.Request) (*relay.Request, error) { return &relay.Request{Timeout: time.Second}, nil },
		Serve: func(_ context.Context, _ *relay.Request, sink relay.Sink) relay.Result {
			sink.Head(http.StatusOK, nil, 0)
			return relay.Result{}
		},
		MaxTime:           func(req *relay.Request) time.Duration { return req.Timeout },
		SetRefusalHeaders: func(http.Header, string, time.Duration) {}, OnEnd: func(relay.Result, time.Duration) {},
		OnPanic: func(reason any) { t.Error(reason) },
	}
	for _, set := range configure {
		set(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(t, s.Listen(ctx, "127.0.0.1:0"))
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, g.Wait())
	})
	return s
}

// roundTrip sends a request on a connection and returns the response.
func roundTrip(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp
}

// TestHeadStatesNoLengthOfItsOwn guards against a response to HEAD that states the length 0, which is not that of the body that GET would bring.
func TestHeadStatesNoLengthOfItsOwn(t *testing.T) {
	resp, err := http.Head("http://" + startServer(t).Addr())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.Header.Get("Content-Length"), "")
}

// CloseConnections must not close an idle connection, since a request may just have arrived on it. The response
// to the next request closes it.
func TestCloseConnectionsKeepsIdleConnections(t *testing.T) {
	s := startServer(t)
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer c.Close()
	assert.Assert(t, !roundTrip(t, c).Close)
	s.CloseConnections()
	resp := roundTrip(t, c)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close)
}

// After the stop time, every request is refused, and its connection is closed.
func TestStopRefusesAllRequests(t *testing.T) {
	s := startServer(t)
	s.CloseConnections()
	s.StopAt(time.Now().Add(time.Minute))
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		c, err := net.Dial("tcp", s.Addr())
		assert.NilError(t, err)
		resp := roundTrip(t, c)
		assert.NilError(t, c.Close())
		assert.Equal(t, resp.StatusCode, want)
		assert.Assert(t, resp.Close)
		s.StopAt(time.Now())
	}
}

// TestStopRefusesRequestsWithLateBodies guards against requests whose body was still being read when a stop began, and that are passed on although the
// instance may stop before their time limit.
func TestStopRefusesRequestsWithLateBodies(t *testing.T) {
	admitted := make(chan struct{})
	s := startServer(t, func(s *entry.Server) { s.OnTraffic = func(int) { close(admitted) } }) // is called before the body is read
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo")
	assert.NilError(t, err)
	<-admitted
	s.CloseConnections()
	s.StopAt(time.Now().Add(time.Second / 2)) // the time limit is 1 s
	_, err = fmt.Fprint(c, "dy")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Close)
}

// TestStopRefusesRequestsWithoutTheirBodies guards against requests whose body has not arrived when the instance stops, and whose connection is closed without an
// answer: a stop waits until then, and must refuse them in time.
func TestStopRefusesRequestsWithoutTheirBodies(t *testing.T) {
	admitted := make(chan struct{})
	s := startServer(t, func(s *entry.Server) { s.OnTraffic = func(int) { close(admitted) } }) // is called before the body is read
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo")
	assert.NilError(t, err)
	<-admitted
	s.CloseConnections()
	s.StopAt(time.Now().Add(time.Second / 2))
	s.StopAt(time.Now().Add(time.Second / 10))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Close)
}

// TestLastResponsesAreSent guards against responses that are lost because the server closes their connections when no request is in flight any more, and net/http
// has not written all of them yet.
func TestLastResponsesAreSent(t *testing.T) {
	const rounds, requests = 50, 32
	for range rounds {
		s := &entry.Server{
			MaxBodyBytes: 1000, Guard: &guard.Guard{MaxBodyBytes: 1000}, SetRefusalHeaders: func(http.Header, string, time.Duration) {}, OnEnd: func(relay.Result, time.Duration) {},
			ParseRequest: func(*http.Request) (*relay.Request, error) { return &relay.Request{}, nil },
		}
		release := make(chan struct{})
		s.Serve = func(_ context.Context, _ *relay.Request, sink relay.Sink) relay.Result {
			<-release
			sink.Head(http.StatusOK, nil, 4)
			return relay.Result{CallerGone: sink.Write([]byte("done")) != nil}
		}
		ctx, cancel := context.WithCancel(t.Context())
		assert.NilError(t, s.Listen(ctx, "127.0.0.1:0"))
		var server, callers errgroup.Group
		server.Go(func() error { return s.Run(ctx) })
		for range requests {
			callers.Go(func() error {
				resp, err := http.Get("http://" + s.Addr())
				if err != nil {
					return err
				}
				_, err = io.ReadAll(resp.Body)
				return errors.Join(err, resp.Body.Close())
			})
		}
		await := func(n int64) {
			for s.InFlight() != n {
				runtime.Gosched()
			}
		}
		await(requests)
		close(release)
		await(0)
		cancel()
		assert.NilError(t, callers.Wait())
		assert.NilError(t, server.Wait())
	}
}

// TestFullLinkRefusesRequests checks that an instance refuses requests that its link can't carry, with the connection closed,
// so that their callers reach another instance.
func TestFullLinkRefusesRequests(t *testing.T) {
	link := &flow.Meter{BytesPerSecond: 10_000}
	s := startServer(t, func(s *entry.Server) { s.LinkDelay, s.OnTraffic = link.Delay, link.Add })
	statuses := map[int]int{}
	for range 5 {
		c, err := net.Dial("tcp", s.Addr())
		assert.NilError(t, err)
		resp := roundTrip(t, c)
		assert.NilError(t, c.Close())
		assert.Equal(t, resp.Close, resp.StatusCode != http.StatusOK)
		statuses[resp.StatusCode]++
	}
	assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: 1, http.StatusServiceUnavailable: 4})
}

// TestTruncatedResponseLooksIncomplete guards against a response that was broken off and looks complete to its caller. A caller
// of HTTP/1.0 gets no chunks, so that the end of its connection ends the response.
func TestTruncatedResponseLooksIncomplete(t *testing.T) {
	for _, c := range []struct {
		proto  string
		panics bool
	}{{"HTTP/1.0", false}, {"HTTP/1.1", false}, {"HTTP/1.0", true}, {"HTTP/1.1", true}} {
		proto := c.proto
		t.Run(fmt.Sprintf("%s, panic %t", proto, c.panics), func(t *testing.T) {
			s := startServer(t, func(s *entry.Server) {
				s.OnPanic = func(any) {}
				s.Serve = func(_ context.Context, _ *relay.Request, sink relay.Sink) relay.Result {
					sink.Head(http.StatusOK, nil, -1)
					err := sink.Write([]byte("part"))
					if c.panics {
						panic("a fault of the program")
					}
					return relay.Result{Truncated: err == nil}
				}
			})
			c, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = fmt.Fprintf(c, "GET / %s\r\nHost: a\r\n\r\n", proto)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
			}
			assert.Assert(t, err != nil, "the response looks complete")
		})
	}
}

// TestBodiesThatAreReadCountAgainstMemory guards against an instance that runs out of memory by bodies without a declared length, which counted only once they were
// complete.
func TestBodiesThatAreReadCountAgainstMemory(t *testing.T) {
	running, release := make(chan struct{}, 1), make(chan struct{})
	s := startServer(t, func(s *entry.Server) {
		s.MaxBodyBytes = 600
		s.Serve = func(_ context.Context, _ *relay.Request, sink relay.Sink) relay.Result {
			running <- struct{}{}
			<-release
			sink.Head(http.StatusOK, nil, 0)
			return relay.Result{}
		}
	})
	post := func(want int) {
		resp, err := http.Post("http://"+s.Addr(), "", io.MultiReader(strings.NewReader(strings.Repeat("x", 600)))) // without a length
		assert.Check(t, err == nil && resp.StatusCode == want && resp.Body.Close() == nil, "%v %v", resp, err)
	}
	var first errgroup.Group
	first.Go(func() error { post(http.StatusOK); return nil })
	<-running
	post(http.StatusTooManyRequests)
	close(release)
	assert.NilError(t, first.Wait())
	post(http.StatusOK)
}

// TestRefusalDoesNotAwaitTheBody guards against connections and handlers that stay for good, and a refusal that is never sent, since the caller does not send the rest of a body
// that is not read to its end.
func TestRefusalDoesNotAwaitTheBody(t *testing.T) {
	t.Parallel()
	const longest = 18 * time.Second // three more than a body may take
	s := startServer(t, func(s *entry.Server) { s.MaxBodyBytes = 5000 })
	var group errgroup.Group
	for _, head := range []string{"Content-Length: 2000", "Transfer-Encoding: chunked"} {
		group.Go(func() error {
			c, err := net.Dial("tcp", s.Addr())
			if err != nil {
				return err
			}
			defer func() { _ = c.Close() }()
			if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n5dc\r\n%s\r\n", head, strings.Repeat("x", 1500)); err != nil {
				return err
			}
			if err := c.SetDeadline(time.Now().Add(longest)); err != nil {
				return err
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.Check(t, err == nil && resp.StatusCode == http.StatusTooManyRequests && resp.Body.Close() == nil, "%s: %v", head, err)
			return nil
		})
	}
	assert.NilError(t, group.Wait())
}

// TestAbortEndsAWriteToASlowCaller guards against a response that stays in memory until its caller reads it, and against one that looks complete then.
func TestAbortEndsAWriteToASlowCaller(t *testing.T) {
	ended := make(chan error, 1)
	s := startServer(t, func(s *entry.Server) {
		s.Serve = func(_ context.Context, _ *relay.Request, sink relay.Sink) relay.Result {
			sink.Head(http.StatusOK, nil, -1)
			defer time.AfterFunc(50*time.Millisecond, sink.Abort).Stop()
			var err error
			for err == nil {
				err = sink.Write(make([]byte, 1<<20))
			}
			ended <- err
			return relay.Result{Truncated: true}
		}
	})
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	assert.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	assert.Assert(t, err != nil, "the response looks complete")
}
