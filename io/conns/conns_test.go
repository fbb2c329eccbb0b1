package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/memory"
	"cranberryrail/io/conns"
)

// target is a listener whose connections are served by the test.
type target struct {
	addr  string
	conns chan *serverConn
}

// serverConn is the target's end of a connection.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
}

func newTarget(t *testing.T) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &target{addr: l.Addr().String(), conns: make(chan *serverConn, 10)}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			s.conns <- &serverConn{c, bufio.NewReader(c)}
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		assert.NilError(t, g.Wait())
	})
	return s
}

// accept returns the next connection and fails the test if none arrives within 2 s.
func (s *target) accept(t *testing.T) *serverConn {
	t.Helper()
	select {
	case p := <-s.conns:
		t.Cleanup(func() { _ = p.Close() })
		return p
	case <-time.After(2 * time.Second):
		t.Fatal("no connection within 2 s")
		return nil
	}
}

// readRequest reads a request and returns its Id header.
func (p *serverConn) readRequest(t *testing.T) string {
	t.Helper()
	req, err := http.ReadRequest(p.reader)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, req.Body)
	assert.NilError(t, err)
	return req.Header.Get("Id")
}

func (p *serverConn) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(p, text)
	assert.NilError(t, err)
}

func responseTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newClient() *conns.Client {
	c := &conns.Client{}
	c.Default()
	return c
}

func (s *target) request(id string) *conns.Request {
	return &conns.Request{
		PoolKey: "t", Addr: s.addr, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, HeaderTimeout: time.Second,
		ID: id, Identify: func(h http.Header) (string, bool) { return h.Get("Id"), h.Get("Not-Run") != "" },
	}
}

// result is the outcome of one exchange.
type result struct {
	body string
	err  error
}

// startExchange runs an exchange in its own goroutine. Its result is delivered once it has ended.
func startExchange(t *testing.T, c *conns.Client, r *conns.Request) <-chan result {
	t.Helper()
	results := make(chan result, 1)
	var g errgroup.Group
	g.Go(func() error {
		resp, err := c.Do(t.Context(), r)
		if err != nil {
			results <- result{err: err}
			return nil
		}
		body, err := io.ReadAll(resp)
		resp.Close() // The connection is in the pool before the test begins another exchange.
		results <- result{string(body), err}
		return nil
	})
	t.Cleanup(func() { assert.NilError(t, g.Wait()) })
	return results
}

func assertBody(t *testing.T, results <-chan result, want string) {
	t.Helper()
	r := <-results
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, want)
}

func assertFailed(t *testing.T, results <-chan result, phase conns.Phase) {
	t.Helper()
	r := <-results
	var e *conns.Error
	assert.Assert(t, errors.As(r.err, &e), "%v", r.err)
	assert.Equal(t, e.Phase, phase, "%v", e)
}

// serveOne serves one request on the next connection and sends trailing after the response.
func (s *target) serveOne(t *testing.T, c *conns.Client, id, trailing string) *serverConn {
	t.Helper()
	results := startExchange(t, c, s.request(id))
	p := s.accept(t)
	assert.Equal(t, p.readRequest(t), id)
	p.send(t, responseTo(id, "one")+trailing)
	assertBody(t, results, "one")
	time.Sleep(20 * time.Millisecond) // the connection returns to the pool after the body was read
	return p
}

func TestConnectionIsReused(t *testing.T) {
	s, c := newTarget(t), newClient()
	p := s.serveOne(t, c, "1", "")
	results := startExchange(t, c, s.request("2"))
	assert.Equal(t, p.readRequest(t), "2")
	p.send(t, responseTo("2", "two"))
	assertBody(t, results, "two")
}

// TestTrailingBytesCloseTheConnection guards against taking bytes after a response for the response to the next
// request.
func TestTrailingBytesCloseTheConnection(t *testing.T) {
	for name, trailing := range map[string]string{"second response": responseTo("1", "again"), "invalid bytes": "x"} {
		t.Run(name, func(t *testing.T) {
			s, c := newTarget(t), newClient()
			s.serveOne(t, c, "1", trailing)
			results := startExchange(t, c, s.request("2"))
			p := s.accept(t)
			assert.Equal(t, p.readRequest(t), "2")
			p.send(t, responseTo("2", "two"))
			assertBody(t, results, "two")
		})
	}
}

// TestLateResponseToAnEarlierRequestIsSkipped guards against returning the response of another request on a reused
// connection.
func TestLateResponseToAnEarlierRequestIsSkipped(t *testing.T) {
	s, c := newTarget(t), newClient()
	p := s.serveOne(t, c, "1", "")
	results := startExchange(t, c, s.request("2"))
	assert.Equal(t, p.readRequest(t), "2")
	p.send(t, responseTo("1", "again")+responseTo("2", "two"))
	assertBody(t, results, "two")
}

// TestRefusalWithoutIDIsDoubted guards against a repeated refusal of an earlier request that is taken for the response to the next one, and against a long wait after
// an honest one.
func TestRefusalWithoutIDIsDoubted(t *testing.T) {
	refusal := func(head string) string {
		return "HTTP/1.1 503 No\r\n" + head + "Not-Run: 1\r\nContent-Length: 2\r\n\r\nno"
	}
	own, stray := responseTo("2", "two"), refusal("")
	for _, tc := range []struct {
		name, sent string
		kept       bool
		want       string
	}{
		{"kept", stray + own, true, "two"},
		{"kept, after an interim response", "HTTP/1.1 103 Early\r\n\r\n" + stray + own, true, "two"},
		{"kept, with the id", refusal("Id: 2\r\n"), true, "no"},
		{"kept, twice", stray + stray + own, true, "two"},
		{"kept, often", stray + stray + stray + own, true, ""},
		{"kept, last one", refusal("Connection: close\r\n"), true, ""},
		{"new", stray, false, "no"},
		{"new, after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + stray, false, "no"},
		{"new, after the response to another request", refusal("Id: 1\r\n") + stray + own, false, "two"},
		{"new, without a statement", "HTTP/1.1 400 No\r\nContent-Length: 2\r\n\r\nno" + own, false, "two"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := newTarget(t), newClient()
			var p *serverConn
			if tc.kept {
				p = s.serveOne(t, c, "1", "")
			}
			results := startExchange(t, c, s.request("2"))
			if !tc.kept {
				p = s.accept(t)
			}
			assert.Equal(t, p.readRequest(t), "2")
			began := time.Now()
			p.send(t, tc.sent)
			if tc.want == "" {
				assertFailed(t, results, conns.Waiting)
			} else {
				assertBody(t, results, tc.want)
			}
			assert.Assert(t, time.Since(began) < 500*time.Millisecond)
		})
	}
}

// TestRefusalBeforeTheRequestIsDoubted guards against the same where the refusal arrives between the check of an idle connection and the next request.
func TestRefusalBeforeTheRequestIsDoubted(t *testing.T) {
	s, c := newTarget(t), newClient()
	dial := c.Dial
	c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		return struct{ net.Conn }{nc}, err // hides the unread bytes from the check
	}
	p := s.serveOne(t, c, "1", "")
	p.send(t, "HTTP/1.1 429 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	results := startExchange(t, c, s.request("2"))
	assert.Equal(t, p.readRequest(t), "2")
	p.send(t, responseTo("2", "two"))
	assertBody(t, results, "two")
}

// TestRequestIsNotRetried guards against a request that runs twice: the target may have run it before it closed the
// connection. net/http's client would retry it on a new connection.
func TestRequestIsNotRetried(t *testing.T) {
	s, c := newTarget(t), newClient()
	p := s.serveOne(t, c, "1", "")
	results := startExchange(t, c, s.request("2"))
	assert.Equal(t, p.readRequest(t), "2")
	assert.NilError(t, p.Close())
	assertFailed(t, results, conns.Waiting)
	select {
	case <-s.conns:
		t.Fatal("the request was retried on a new connection")
	case <-time.After(100 * time.Millisecond):
	}
}

func TestClosedConnectionIsNotReused(t *testing.T) {
	s, c := newTarget(t), newClient()
	p := s.serveOne(t, c, "1", "")
	assert.NilError(t, p.Close())
	time.Sleep(20 * time.Millisecond)
	s.serveOne(t, c, "2", "")
}

// TestOnceRequiresAFreshConnection guards against sending a non-idempotent request on an idle connection that the
// target may be closing: the request could not be retried.
func TestOnceRequiresAFreshConnection(t *testing.T) {
	s := newTarget(t)
	c := &conns.Client{Freshness: time.Millisecond}
	c.Default()
	s.serveOne(t, c, "1", "")
	r := s.request("2")
	r.NonIdempotent = true
	results := startExchange(t, c, r)
	p := s.accept(t)
	assert.Equal(t, p.readRequest(t), "2")
	p.send(t, responseTo("2", "two"))
	assertBody(t, results, "two")
}

func TestRefusedConnectionFailsInDialPhase(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	s := &target{addr: addr}
	assertFailed(t, startExchange(t, newClient(), s.request("1")), conns.NotSent)
}

func TestInvalidResponses(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		phase        conns.Phase
	}{
		{"invalid bytes", "no answer\r\n\r\n", conns.Waiting},
		{"truncated headers", "HTTP/1.1 200 OK\r\nId: 1", conns.Waiting},
		{"truncated body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\npart", conns.Reading},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart", conns.Reading},
		{"no last chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", conns.Reading},
		{"only responses to other requests", strings.Repeat(responseTo("0", "x"), 4), conns.Waiting},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTarget(t)
			results := startExchange(t, newClient(), s.request("1"))
			p := s.accept(t)
			p.readRequest(t)
			p.send(t, tc.answer)
			assert.NilError(t, p.Close())
			assertFailed(t, results, tc.phase)
		})
	}
}

func TestResponseWithoutLength(t *testing.T) {
	s := newTarget(t)
	results := startExchange(t, newClient(), s.request("1"))
	p := s.accept(t)
	p.readRequest(t)
	p.send(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end")
	assert.NilError(t, p.Close())
	assertBody(t, results, "to the end")
}

// TestResetWhileSendingIsNoEnd guards against a response without a length that was reset while the request was still being sent, and was taken for whole:
// a connection reports a reset once, to the sender.
func TestResetWhileSendingIsNoEnd(t *testing.T) {
	const tries = 16
	for _, reset := range []bool{true, false} {
		whole := 0
		for range tries {
			s, c := newTarget(t), newClient()
			r := s.request("1")
			r.Body, r.HeaderTimeout = make([]byte, 8<<20), 5*time.Second
			results := startExchange(t, c, r)
			p := s.accept(t)
			_, err := p.reader.ReadString('\n')
			assert.NilError(t, err)
			p.send(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
			nc := p.Conn.(*net.TCPConn)
			if reset {
				assert.NilError(t, nc.SetLinger(0))
				assert.NilError(t, nc.Close())
			} else {
				assert.NilError(t, nc.CloseWrite())
			}
			if result := <-results; result.err == nil && result.body == "part" {
				whole++
			}
		}
		assert.Check(t, reset == (whole == 0) && (reset || whole == tries), "reset %v: %d of %d were taken for whole", reset, whole, tries)
	}
}

// assertInvalid sends a response and closes the connection, and checks that the exchange fails at the head.
func assertInvalid(t *testing.T, response string) {
	t.Helper()
	s := newTarget(t)
	results := startExchange(t, newClient(), s.request("1"))
	p := s.accept(t)
	p.readRequest(t)
	p.send(t, response)
	assert.NilError(t, p.Close())
	assertFailed(t, results, conns.Waiting)
}

// TestChunksInHTTP10AreInvalid guards against a response of HTTP/1.0, which has no chunks, whose chunks were taken for a whole body, wherever they broke off.
func TestChunksInHTTP10AreInvalid(t *testing.T) {
	for _, sent := range []string{"", "5\r\n", "5\r\nwh", "5\r\nwhole\r\n0\r\n\r\n"} {
		assertInvalid(t, "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"+sent)
	}
}

// TestOldVersionsAreInvalid guards against a response of a version below HTTP/1.0 whose chunks were taken for a whole body, wherever they broke off.
func TestOldVersionsAreInvalid(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/0.1"} {
		assertInvalid(t, version+" 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwh")
	}
}

// A target may respond before it has read a long body. The connection must not be reused then, since
// the request was not sent in full.
func TestResponseBeforeTheBodyWasRead(t *testing.T) {
	s, c := newTarget(t), newClient()
	r := s.request("1")
	r.Body, r.HeaderTimeout = make([]byte, 32<<20), 30*time.Second
	results := startExchange(t, c, r)
	p := s.accept(t)
	_, err := p.reader.ReadString('\n')
	assert.NilError(t, err)
	p.send(t, responseTo("1", "early"))
	assertBody(t, results, "early")
	s.serveOne(t, c, "2", "")
}

func TestResponseTimeout(t *testing.T) {
	s, c := newTarget(t), newClient()
	r := s.request("1")
	r.HeaderTimeout = 50 * time.Millisecond
	results := startExchange(t, c, r)
	s.accept(t).readRequest(t)
	failed := <-results
	var e *conns.Error
	assert.Assert(t, errors.As(failed.err, &e))
	assert.Assert(t, e.Timeout)
}

// TestContextCancellationClosesTheConnection guards against a target that continues a request whose caller
// disconnected.
func TestContextCancellationClosesTheConnection(t *testing.T) {
	s, c := newTarget(t), newClient()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error {
		_, err := c.Do(ctx, s.request("1"))
		return err
	})
	p := s.accept(t)
	p.readRequest(t)
	cancel()
	_, err := p.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, g.Wait() != nil)
}

// TestEndlessHeadIsRejected guards against a target that sends bytes without end before the body of a response: they must not
// fill the memory until the timeout of the request.
func TestEndlessHeadIsRejected(t *testing.T) {
	for name, c := range map[string]struct{ begin, endless string }{
		"bytes that are no response": {"", "x"},
		"header":                     {"HTTP/1.1 200 OK\r\nId: ", "x"},
		"headers":                    {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"interim responses":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t)
			r := s.request("1")
			r.HeaderTimeout = 2 * time.Second
			results := startExchange(t, newClient(), r)
			p := s.accept(t)
			p.readRequest(t)
			p.send(t, c.begin)
			// The connection is closed while this is written, or stays silent after it.
			_, _ = io.WriteString(p, strings.Repeat(c.endless, 8<<20/len(c.endless)))
			failed := <-results
			var e *conns.Error
			assert.Assert(t, errors.As(failed.err, &e), "%v", failed.err)
			assert.Assert(t, e.Invalid && !e.Timeout, "%v", e)
		})
	}
}

// TestHeadOfManyLinesIsRejected guards against targets that stop within a head of many short headers, which take a megabyte of memory each while their
// requests wait.
func TestHeadOfManyLinesIsRejected(t *testing.T) {
	const lines = 256
	for _, line := range []string{"A%d:\r\n", "A: %d\r\n"} {
		for headers, sound := range map[int]bool{lines - 3: true, 4096: false} {
			s := newTarget(t)
			results := startExchange(t, newClient(), s.request("1"))
			p := s.accept(t)
			p.readRequest(t)
			head := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n"
			for i := range headers {
				head += fmt.Sprintf(line, i)
			}
			if sound {
				head += "\r\n"
			}
			_, _ = io.WriteString(p, head) // the connection may be closed meanwhile
			r := <-results
			var e *conns.Error
			assert.Assert(t, sound && r.err == nil || errors.As(r.err, &e) && e.Invalid && !e.Timeout, "%d headers: %v", headers, r.err)
		}
	}
}

// TestLongHeadIsNotQuoted guards against a process that runs out of memory, because each line of its log that waits to be written quotes a long head of a target.
func TestLongHeadIsNotQuoted(t *testing.T) {
	const limit = 2048
	long := strings.Repeat("\x01", 60<<10)
	for name, head := range map[string]string{
		"no response": long, "status": "HTTP/1.1 " + long, "header": "HTTP/1.1 200 OK\r\n" + long, "length": "HTTP/1.1 200 OK\r\nContent-Length: " + long,
		"lengths": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: " + long, "encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + long, "version": "HTTP/1.0 " + long,
	} {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t)
			results := startExchange(t, newClient(), s.request("1"))
			p := s.accept(t)
			p.readRequest(t)
			_, _ = io.WriteString(p, head+"\r\n\r\n") // the connection may be closed meanwhile
			err := (<-results).err
			assert.Assert(t, err != nil && len(err.Error()) <= limit, "%d bytes", len(fmt.Sprint(err)))
		})
	}
}

// TestHeadIsCounted guards against targets that stop within long heads, which use up the memory beside answers that are counted.
func TestHeadIsCounted(t *testing.T) {
	pool := &memory.Pool{Bytes: 32 << 10}
	for bytes, sound := range map[int]bool{memory.SmallBytes / 2: true, 2 * memory.SmallBytes: true, 16 << 10: false} {
		s := newTarget(t)
		r := s.request("1")
		r.Memory = pool.NewHolder(func() {})
		results := startExchange(t, newClient(), r)
		p := s.accept(t)
		p.readRequest(t)
		_, _ = io.WriteString(p, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\nA: "+strings.Repeat("x", bytes))
		if sound {
			p.send(t, "\r\n\r\n")
		}
		err := (<-results).err
		assert.Assert(t, sound && err == nil || errors.Is(err, memory.ErrUsedUp), "%d bytes: %v", bytes, err)
		assert.Equal(t, r.Memory.Ended(), !sound)
		r.Memory.Release()
	}
}

// TestLongBodyIsNotCopied guards against a body that is in memory twice, of which the limit for the bodies of requests counts one.
func TestLongBodyIsNotCopied(t *testing.T) {
	s := newTarget(t)
	r := s.request("1")
	r.Body = make([]byte, 32<<20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	results := startExchange(t, newClient(), r)
	p := s.accept(t)
	p.readRequest(t)
	runtime.ReadMemStats(&after)
	p.send(t, responseTo("1", "one"))
	assertBody(t, results, "one")
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < uint64(len(r.Body))/2, "%d bytes were allocated", allocated)
}

// TestNewAddressHasNewConnections guards against requests at the earlier address of a target whose entry was changed while its process goes on.
func TestNewAddressHasNewConnections(t *testing.T) {
	before, now, c := newTarget(t), newTarget(t), newClient()
	assert.NilError(t, c.Connect(t.Context(), before.request("1")))
	assert.NilError(t, c.Check(t.Context(), now.request("2")))
	now.accept(t)
}
