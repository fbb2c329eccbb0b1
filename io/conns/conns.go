// Package conns sends HTTP/1.1 requests to targets over a pool of persistent connections. A
// connection carries one request at a time and is reused only after a response that was read to its
// declared length. Requests are never retried here.
package conns

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/memory"
)

// Defaults of Client.
const (
	// DefaultDialTimeout bounds connection set-up. It is a hundred times the delay between
	// availability zones, and shorter than the first retransmission of a lost SYN.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleTimeout is how long a connection may stay idle if the target announces no idle
	// timeout.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultFreshness is how recently a connection must have carried a response to be used for a
	// request that must not be retried.
	DefaultFreshness = 2 * time.Second
	// idleTimeoutRatio is the fraction of a target's idle timeout after which an idle connection
	// expires here, so that the target does not close it while a request is in flight.
	idleTimeoutRatio = 0.75
	// maxInlineWrite is the largest request, in bytes, that is written before the response is read.
	// It is below the size of a connection's send buffer.
	maxInlineWrite = 16 << 10
	// maxForeignResponses is the number of responses to other requests that are skipped.
	maxForeignResponses = 2
	// maxForeignBody is the largest body of such a response that is drained, in bytes.
	maxForeignBody = 64 << 10
	// tcpUserTimeout is how long sent bytes, or keep-alive probes, may stay unacknowledged before the connection fails. Linux applies it to
	// probes whatever their count, so that it is no shorter than all of them; a sound target may be silent for a second. It applies to bytes too for which
	// the target has no room, although its machine replies, so that it is off while a long request is sent.
	tcpUserTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
	// ackPollInterval is the time between two checks whether a long request was received: a fraction of tcpUserTimeout.
	ackPollInterval = tcpUserTimeout / 40
)

// Phase is the phase in which an exchange failed.
type Phase string

// Phases.
const (
	// NotSent means that no byte of the request was sent: no connection could be made, or a pooled one had failed.
	NotSent Phase = "dial"
	// Sending means that the request may have been received in part.
	Sending Phase = "send"
	// Waiting means that the request was sent and no response had started.
	Waiting Phase = "wait"
	// Reading means that the response had started.
	Reading Phase = "read"
)

// Error reports a failed exchange.
type Error struct {
	Phase Phase
	// Timeout is set if the exchange timed out.
	Timeout bool
	// Unconnected is set if no connection could be opened.
	Unconnected bool
	// Invalid is set if the received bytes are not a valid response to the request.
	Invalid bool
	Err     error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Phase, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is a request to a target.
type Request struct {
	// PoolKey is the key of the connection pool: the incarnation id of the target, so that a connection to an earlier
	// incarnation is not reused.
	PoolKey string
	Addr    string
	// Method, URI and Host form the request line and the Host header; URI is sent unchanged.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// NonIdempotent restricts the request to a new connection or one that carried a response within Freshness.
	NonIdempotent bool
	// NewConnection restricts the request to a new connection.
	NewConnection bool
	// HeaderTimeout is the timeout for the response headers.
	HeaderTimeout time.Duration
	// Memory counts the head of the response, unless it is small; nil if it is not counted.
	Memory *memory.Holder
	// Verify restricts the request to a connection that is verified by it; nil for any.
	Verify *Verification
	// OnDialed is called if a new connection was opened for the request; optional.
	OnDialed func()
	// ID is the id of the request, which responses to it name.
	ID string
	// Identify returns the id of the request that a response names, empty if it names none, and whether the response states that its request was not run.
	Identify func(h http.Header) (id string, notRun bool)
}

// Client sends requests to targets. Exported fields are set before Default; it is safe for
// concurrent use.
type Client struct {
	// Dial opens connections.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// DialTimeout bounds connection set-up.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle if the target announces no idle timeout.
	IdleTimeout time.Duration
	// Freshness is how recently a connection must have carried a response to be used for a request
	// that must not be retried.
	Freshness time.Duration
	// OnDial is called for each new connection; optional.
	OnDial func()

	writers   errgroup.Group
	mu        sync.Mutex
	idleConns map[string][]*conn
}

// String returns the name of the client for logs.
func (c *Client) String() string { return "client of targets" }

// Default sets unset fields to their defaults.
func (c *Client) Default() {
	if c.Dial == nil {
		c.Dial = NewDialer().DialContext
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.Freshness == 0 {
		c.Freshness = DefaultFreshness
	}
	if c.OnDial == nil {
		c.OnDial = func() {}
	}
	c.idleConns = map[string][]*conn{}
}

// acquireIdle returns an idle connection that can carry r, or nil if there is none. It closes those that can't. One that has carried a request with the same id
// is closed too, which is rare: each request has its own.
func (c *Client) acquireIdle(r *Request) *conn {
	for {
		cn := c.popIdle(r.PoolKey)
		if cn == nil {
			return nil
		}
		now := time.Now()
		if now.Before(cn.expires) && cn.addr == r.Addr && (!r.NonIdempotent || now.Sub(cn.lastUsed) < c.Freshness) && !cn.hasCarried(r.ID) && cn.isReusable() {
			return cn
		}
		cn.close()
	}
}

// popIdle removes and returns the most recently used idle connection with the key.
func (c *Client) popIdle(poolKey string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idleConns[poolKey]
	if len(idle) == 0 {
		delete(c.idleConns, poolKey)
		return nil
	}
	cn := idle[len(idle)-1]
	c.idleConns[poolKey] = idle[:len(idle)-1]
	return cn
}

// release returns a connection to the pool.
func (c *Client) release(cn *conn) {
	cn.lastUsed = time.Now()
	cn.expires = cn.lastUsed.Add(cn.idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns[cn.poolKey] = append(c.idleConns[cn.poolKey], cn)
}

// CloseIdle closes the idle connections with the key. Requests in flight continue.
func (c *Client) CloseIdle(poolKey string) {
	c.mu.Lock()
	idle := c.idleConns[poolKey]
	delete(c.idleConns, poolKey)
	c.mu.Unlock()
	for _, cn := range idle {
		cn.close()
	}
}

// CloseExpired closes idle connections that have expired.
func (c *Client) CloseExpired() {
	now := time.Now()
	var expired []*conn
	c.mu.Lock()
	for poolKey, idle := range c.idleConns {
		live := idle[:0]
		for _, cn := range idle {
			if now.Before(cn.expires) {
				live = append(live, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		c.idleConns[poolKey] = live
		if len(live) == 0 {
			delete(c.idleConns, poolKey)
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		cn.close()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	all := c.idleConns
	c.idleConns = map[string][]*conn{}
	c.mu.Unlock()
	for _, idle := range all {
		for _, cn := range idle {
			cn.close()
		}
	}
}

// Do sends a request and returns the response once its headers have arrived. Cancelling the context
// aborts the whole exchange, including the body. The error is a *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, failed := c.acquire(ctx, r)
	if failed != nil {
		return nil, failed
	}
	resp := &Response{client: c, conn: cn}
	resp.stopWatch = context.AfterFunc(ctx, cn.close)
	if err := resp.roundTrip(ctx, r); err != nil {
		resp.Close()
		if err.Timeout && ctx.Err() == nil {
			c.CloseIdle(r.PoolKey)
		}
		return nil, err
	}
	return resp, nil
}

func (c *Client) dial(ctx context.Context, r *Request) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	nc, err := c.Dial(ctx, "tcp", r.Addr)
	if err != nil {
		return nil, fmt.Errorf("dial target at %s: %w", r.Addr, err)
	}
	c.OnDial()
	if r.OnDialed != nil {
		r.OnDialed()
	}
	return newConn(nc, r.PoolKey, r.Addr, c.IdleTimeout), nil
}

// Check checks whether the target of a request is reachable: the pool has an open connection to it, or a new one can be opened, which is added to
// the pool. The error wraps that of the dial.
func (c *Client) Check(ctx context.Context, r *Request) error {
	cn := c.acquireIdle(r)
	if cn == nil {
		return c.Connect(ctx, r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns[cn.poolKey] = append(c.idleConns[cn.poolKey], cn)
	return nil
}

// Connect opens a connection to the target of a request and adds it to the pool. The error wraps that of the dial.
func (c *Client) Connect(ctx context.Context, r *Request) error {
	cn, err := c.dial(ctx, r)
	if err != nil {
		return err
	}
	if cn.isReusable() {
		c.release(cn)
	} else {
		cn.close()
	}
	return nil
}

// roundTrip writes the request and reads the response headers.
func (resp *Response) roundTrip(ctx context.Context, r *Request) *Error {
	cn := resp.conn
	head := encodeHead(r)
	cn.carry(r.ID)
	_ = cn.SetDeadline(time.Now().Add(r.HeaderTimeout)) // fails only on a closed connection, where the write fails too
	if len(head)+len(r.Body) <= maxInlineWrite {
		n, err := cn.Write(append(head, r.Body...))
		if err != nil {
			phase := Sending
			if n == 0 && ctx.Err() == nil && !isTimeout(err) {
				phase = NotSent // no byte of the request left this process
			}
			return &Error{Phase: phase, Timeout: isTimeout(err), Err: err}
		}
	} else {
		resp.writeAsync(net.Buffers{head, r.Body})
	}
	if err := resp.readHead(r); err != nil {
		return err
	}
	return nil
}

// writeAsync writes a long request while the response is read, since a target may respond before it
// has read the whole request.
func (resp *Response) writeAsync(message net.Buffers) {
	resp.writeDone, resp.received, resp.closing = make(chan error, 1), make(chan bool, 1), make(chan struct{})
	resp.conn.setUserTimeout(0)
	resp.client.writers.Go(func() error {
		_, err := message.WriteTo(resp.conn.Conn)
		resp.writeDone <- err
		resp.received <- err == nil && resp.conn.awaitReceived(resp.closing)
		return nil
	})
}

// encodeHead returns the head of a request in wire format, with room for a short body.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxInlineWrite))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	_ = r.Header.Write(&b) // writes to a buffer don't fail
	b.WriteString("\r\n")
	return b.Bytes()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
