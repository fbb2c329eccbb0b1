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
	// DefaultIdle is how long a connection is kept of whose idle timeout the target says
	// nothing.
	DefaultIdle = 4 * time.Second
	// DefaultProven is how recently a connection must have carried an answer to be used for a
	// request that must not be repeated.
	DefaultProven = 2 * time.Second
	// idlePart is the part of a target's idle timeout for which a connection is kept, so that
	// it is not closed while a request is on its way.
	idlePart = 0.75
	// inlineBody is the largest body that is written before the answer is read, in bytes: less
	// than the send buffer of a connection.
	inlineBody = 16 << 10
	// maxStray is the number of answers to other requests that are passed over.
	maxStray = 2
	// maxStrayBody is the largest body of such an answer that is read, in bytes.
	maxStrayBody = 64 << 10
	// userTimeout is how long sent bytes may stay unacknowledged before a connection counts as
	// broken: several times the delay of a retransmission.
	userTimeout = 2 * time.Second
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
	// Idle is how long a connection is kept of whose idle timeout the target says nothing.
	Idle time.Duration
	// Proven is how recently a connection must have carried an answer to be used for a request
	// that must not be repeated.
	Proven time.Duration
	// Dialled is told of each new connection; optional.
	Dialled func()

	writers errgroup.Group
	mu      sync.Mutex
	idle    map[string][]*conn
}

// String names the client for logs.
func (c *Client) String() string { return "client of targets" }

// Default fills fields that were left empty.
func (c *Client) Default() {
	if c.Dial == nil {
		c.Dial = dialer().DialContext
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.Idle == 0 {
		c.Idle = DefaultIdle
	}
	if c.Proven == 0 {
		c.Proven = DefaultProven
	}
	if c.Dialled == nil {
		c.Dialled = func() {}
	}
	c.idle = map[string][]*conn{}
}

// take returns a kept connection that still works, nil if there is none.
func (c *Client) take(r *Request) *conn {
	for {
		k := c.pop(r.Target)
		if k == nil {
			return nil
		}
		now := time.Now()
		if now.Before(k.until) && (!r.Once || now.Sub(k.used) < c.Proven) && k.quiet() {
			return k
		}
		k.close()
	}
}

// pop removes the connection that was used last.
func (c *Client) pop(target string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[target]
	if len(kept) == 0 {
		delete(c.idle, target)
		return nil
	}
	k := kept[len(kept)-1]
	c.idle[target] = kept[:len(kept)-1]
	return k
}

// keep takes a connection back for later requests.
func (c *Client) keep(k *conn) {
	k.used = time.Now()
	k.until = k.used.Add(k.idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.target] = append(c.idle[k.target], k)
}

// Retire closes the kept connections to a target. Requests in flight go on.
func (c *Client) Retire(target string) {
	c.mu.Lock()
	kept := c.idle[target]
	delete(c.idle, target)
	c.mu.Unlock()
	for _, k := range kept {
		k.close()
	}
}

// Sweep closes connections that were idle for too long.
func (c *Client) Sweep() {
	now := time.Now()
	var old []*conn
	c.mu.Lock()
	for target, kept := range c.idle {
		live := kept[:0]
		for _, k := range kept {
			if now.Before(k.until) {
				live = append(live, k)
			} else {
				old = append(old, k)
			}
		}
		c.idle[target] = live
		if len(live) == 0 {
			delete(c.idle, target)
		}
	}
	c.mu.Unlock()
	for _, k := range old {
		k.close()
	}
}

// Close closes all kept connections.
func (c *Client) Close() {
	c.mu.Lock()
	all := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, kept := range all {
		for _, k := range kept {
			k.close()
		}
	}
}

// Do sends a request and returns its answer once the head has arrived. The context ends
// the whole exchange. The error is a *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	k := c.take(r)
	if k == nil {
		var err error
		if k, err = c.dial(ctx, r); err != nil {
			return nil, &Error{Phase: Dialling, Timeout: isTimeout(err), Err: err}
		}
	}
	a := &Answer{client: c, conn: k}
	a.release = context.AfterFunc(ctx, k.close)
	if err := a.exchange(ctx, r); err != nil {
		a.Close()
		if err.Timeout && ctx.Err() == nil {
			c.Retire(r.Target)
		}
		return nil, err
	}
	return a, nil
}

func (c *Client) dial(ctx context.Context, r *Request) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	nc, err := c.Dial(ctx, "tcp", r.Addr)
	if err != nil {
		return nil, fmt.Errorf("connect to target at %s: %w", r.Addr, err)
	}
	c.Dialled()
	return newConn(nc, r.Target, c.Idle), nil
}

// exchange writes the request and reads the head of the answer.
func (a *Answer) exchange(ctx context.Context, r *Request) *Error {
	k := a.conn
	message := message(r)
	_ = k.SetDeadline(time.Now().Add(r.FirstWait)) // fails only on a closed connection, as the write then does
	if len(message) <= inlineBody {
		n, err := k.Write(message)
		if err != nil {
			phase := Sending
			if n == 0 && ctx.Err() == nil && !isTimeout(err) {
				phase = Dialling // no byte of the request left this process
			}
			return &Error{Phase: phase, Timeout: isTimeout(err), Err: err}
		}
	} else {
		a.write(message)
	}
	if err := a.head(r); err != nil {
		return err
	}
	return nil
}

// write writes a long request while the answer is read: a target may answer before it has
// read all of it.
func (a *Answer) write(message []byte) {
	a.writing = make(chan error, 1)
	a.client.writers.Go(func() error {
		_, err := a.conn.Write(message)
		a.writing <- err
		return nil
	})
}

// message returns the request as it is sent.
func message(r *Request) []byte {
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
	var t net.Error
	return errors.As(err, &t) && t.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
