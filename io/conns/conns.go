// Package conns sends requests to targets over connections that are kept. A connection
// carries one request at a time. It is used again only after an answer that ended as its
// length says, and nothing is ever sent twice.
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
)

// Defaults of Client.
const (
	// DefaultDialTimeout bounds the set-up of a connection: a hundred times the delay between
	// availability zones, and less than the first repeat of a lost opening packet.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleTimeout is how long a connection is kept of whose idle timeout the target says
	// nothing.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultFreshness is how recently a connection must have carried an answer to be used for a
	// request that must not be repeated.
	DefaultFreshness = 2 * time.Second
	// idleTimeoutRatio is the part of a target's idle timeout for which a connection is kept, so that
	// it is not closed while a request is on its way.
	idleTimeoutRatio = 0.75
	// maxInlineWrite is the largest body that is written before the answer is read, in bytes: less
	// than the send buffer of a connection.
	maxInlineWrite = 16 << 10
	// maxForeignResponses is the number of answers to other requests that are passed over.
	maxForeignResponses = 2
	// maxForeignBody is the largest body of such an answer that is read, in bytes.
	maxForeignBody = 64 << 10
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before a connection counts as
	// broken: several times the delay of a retransmission.
	tcpUserTimeout = 2 * time.Second
)

// Phase tells how far an exchange had come when it failed.
type Phase string

// Phases.
const (
	// Dialling means that nothing was sent.
	Dialling Phase = "dial"
	// Sending means that the request may have been received in part.
	Sending Phase = "send"
	// Waiting means that the request was sent and its answer had not begun.
	Waiting Phase = "wait"
	// Reading means that the answer had begun.
	Reading Phase = "read"
)

// Error is the failure of an exchange.
type Error struct {
	Phase Phase
	// Timeout tells that the time ran out in which bytes were due.
	Timeout bool
	// Invalid tells that what arrived is not an answer to the request.
	Invalid bool
	Err     error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Phase, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is what is sent.
type Request struct {
	// Target names the target and its incarnation; connections are kept by it.
	Target string
	Addr   string
	// Method, URI and Host form the head; URI is sent as it is.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Once asks for a connection that carried an answer just now, or a new one.
	Once bool
	// FirstWait is the longest time to the head of the answer.
	FirstWait time.Duration
	// Ours reports whether an answer belongs to the request.
	Ours func(h http.Header) bool
}

// Client sends requests to targets. Exported fields are set before Default; it may be
// used from any goroutine.
type Client struct {
	// Dial makes connections.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept of whose idle timeout the target says nothing.
	IdleTimeout time.Duration
	// Freshness is how recently a connection must have carried an answer to be used for a request
	// that must not be repeated.
	Freshness time.Duration
	// Dialled is told of each new connection; optional.
	Dialled func()

	writers   errgroup.Group
	mu        sync.Mutex
	idleConns map[string][]*conn
}

// String names the client for logs.
func (c *Client) String() string { return "client of targets" }

// Default fills fields that were left empty.
func (c *Client) Default() {
	if c.Dial == nil {
		c.Dial = newDialer().DialContext
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
	if c.Dialled == nil {
		c.Dialled = func() {}
	}
	c.idleConns = map[string][]*conn{}
}

// acquireIdle returns a kept connection that still works, nil if there is none.
func (c *Client) acquireIdle(r *Request) *conn {
	for {
		cn := c.popIdle(r.Target)
		if cn == nil {
			return nil
		}
		now := time.Now()
		if now.Before(cn.expires) && (!r.Once || now.Sub(cn.lastUsed) < c.Freshness) && cn.isReusable() {
			return cn
		}
		cn.close()
	}
}

// popIdle removes the connection that was used last.
func (c *Client) popIdle(target string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idleConns[target]
	if len(idle) == 0 {
		delete(c.idleConns, target)
		return nil
	}
	cn := idle[len(idle)-1]
	c.idleConns[target] = idle[:len(idle)-1]
	return cn
}

// release takes a connection back for later requests.
func (c *Client) release(cn *conn) {
	cn.lastUsed = time.Now()
	cn.expires = cn.lastUsed.Add(cn.idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns[cn.target] = append(c.idleConns[cn.target], cn)
}

// CloseIdle closes the kept connections to a target. Requests in flight go on.
func (c *Client) CloseIdle(target string) {
	c.mu.Lock()
	idle := c.idleConns[target]
	delete(c.idleConns, target)
	c.mu.Unlock()
	for _, cn := range idle {
		cn.close()
	}
}

// Sweep closes connections that were idle for too long.
func (c *Client) Sweep() {
	now := time.Now()
	var expired []*conn
	c.mu.Lock()
	for target, idle := range c.idleConns {
		live := idle[:0]
		for _, cn := range idle {
			if now.Before(cn.expires) {
				live = append(live, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		c.idleConns[target] = live
		if len(live) == 0 {
			delete(c.idleConns, target)
		}
	}
	c.mu.Unlock()
	for _, k := range expired {
		k.close()
	}
}

// Close closes all kept connections.
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

// Do sends a request and returns its answer once the head has arrived. The context ends
// the whole exchange. The error is a *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn := c.acquireIdle(r)
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx, r); err != nil {
			return nil, &Error{Phase: Dialling, Timeout: isTimeout(err), Err: err}
		}
	}
	resp := &Response{client: c, conn: cn}
	resp.stopWatch = context.AfterFunc(ctx, cn.close)
	if err := resp.roundTrip(ctx, r); err != nil {
		resp.Close()
		if err.Timeout && ctx.Err() == nil {
			c.CloseIdle(r.Target)
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
		return nil, fmt.Errorf("connect to target at %s: %w", r.Addr, err)
	}
	c.Dialled()
	return newConn(nc, r.Target, c.IdleTimeout), nil
}

// roundTrip writes the request and reads the head of the answer.
func (resp *Response) roundTrip(ctx context.Context, r *Request) *Error {
	cn := resp.conn
	message := encodeRequest(r)
	_ = cn.SetDeadline(time.Now().Add(r.FirstWait)) // fails only on a closed connection, as the write then does
	if len(message) <= maxInlineWrite {
		n, err := cn.Write(message)
		if err != nil {
			phase := Sending
			if n == 0 && ctx.Err() == nil && !isTimeout(err) {
				phase = Dialling // no byte of the request left this process
			}
			return &Error{Phase: phase, Timeout: isTimeout(err), Err: err}
		}
	} else {
		resp.writeAsync(message)
	}
	if err := resp.readHead(r); err != nil {
		return err
	}
	return nil
}

// writeAsync writes a long request while the answer is read: a target may answer before it has
// read all of it.
func (resp *Response) writeAsync(message []byte) {
	resp.writeDone = make(chan error, 1)
	resp.client.writers.Go(func() error {
		_, err := resp.conn.Write(message)
		resp.writeDone <- err
		return nil
	})
}

// encodeRequest returns the request as it is sent.
func encodeRequest(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	_ = r.Header.Write(&b) // a buffer takes every write
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
