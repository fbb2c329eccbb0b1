// Package target implements the client of model engines and plain services. It returns only frames that belong to the
// request and arrive in order, closes connections that went silent, and sends a call to a plain service at most once.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"cranberryrail/core/memory"
	"cranberryrail/core/roster"
)

// Default limits.
const (
	defaultFrameTimeout      = 5 * time.Second
	defaultFirstFrameTimeout = 10 * time.Second
	defaultDialTimeout       = time.Second
	defaultCallTimeout       = 30 * time.Second
	// defaultMaxReplyBytes is the maximum size of the reply of a plain service.
	defaultMaxReplyBytes = 4 << 20
)

const (
	// maxPools is the maximum number of addresses whose connections are pooled.
	maxPools = 1024
	// maxIdlePerAddr is the maximum number of idle connections to one address.
	maxIdlePerAddr = 256
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
	// keepAliveIdle is the idle time before the first TCP keep-alive probe, keepAliveInterval the time between probes,
	// and keepAliveCount the number of unanswered probes after which the connection is closed.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxHeadBytes limits the status line and the headers of a response, with the interim responses before it, as common servers do. Parsed headers
	// take up to 16 times their bytes. net/http allows 10 MB.
	maxHeadBytes = 16 << 10
	// maxShortReplyBytes is the maximum size of a load report or error body.
	maxShortReplyBytes = 16 << 10
)

// Client sends requests to targets. Exported fields must be set before Default.
type Client struct {
	// FrameTimeout is the maximum time between two frames, and the timeout of cancel and load requests.
	FrameTimeout time.Duration
	// FirstFrameTimeout is the maximum time from the request to its first frame.
	FirstFrameTimeout time.Duration
	// DialTimeout is the timeout for establishing a connection.
	DialTimeout time.Duration
	// CallTimeout is the timeout of a call to a plain service.
	CallTimeout time.Duration
	// MaxReplyBytes is the maximum size of the reply of a plain service.
	MaxReplyBytes int64
	// Memory limits the replies of plain services that are being read; optional.
	Memory *memory.Pool
	// Dial establishes a connection.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	pools *lru.Cache[string, *http.Transport]
}

// String returns the name of the client for logs.
func (c *Client) String() string { return "target client" }

// Default sets the defaults of empty fields and initialises the client.
func (c *Client) Default() {
	setDefault(&c.FrameTimeout, defaultFrameTimeout)
	setDefault(&c.FirstFrameTimeout, defaultFirstFrameTimeout)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	if c.MaxReplyBytes == 0 {
		c.MaxReplyBytes = defaultMaxReplyBytes
	}
	if c.Memory == nil {
		c.Memory = &memory.Pool{}
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		}}).DialContext
	}
	c.pools, _ = lru.NewWithEvict(maxPools, func(_ string, t *http.Transport) { t.CloseIdleConnections() })
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// retire closes the idle connections to an address and makes later requests use new ones, if t is still its current transport.
// If another transport has replaced t, it only closes the idle connections of t.
func (c *Client) retire(addr string, t *http.Transport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current, ok := c.pools.Peek(addr); ok && current == t {
		c.pools.Remove(addr)
		return
	}
	t.CloseIdleConnections()
}

// pool returns the transport that pools the connections to an address.
func (c *Client) pool(addr string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.pools.Get(addr); ok {
		return t
	}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return asNetConn(c.dial(ctx, network, addr))
		},
		MaxIdleConnsPerHost:    maxIdlePerAddr,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	c.pools.Add(addr, t)
	return t
}

// asNetConn converts a *conn to a net.Conn, which is nil after an error; a nil *conn would make it non-nil.
func asNetConn(c *conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return c, nil
}

// send sends a request with a JSON body, or without a body if body is nil, and waits for the header of the response. It
// also returns the transport that was used.
func (c *Client) send(
	ctx context.Context, addr, method, path string, body any,
) (*http.Response, *http.Transport, *Error) {
	pool := c.pool(addr)
	var used requestConns
	req, err := newRequest(used.trace(ctx), method, "http://"+addr+path, body)
	if err != nil {
		return nil, pool, transportError(ctx, addr, false, fmt.Errorf("build the request (check the address of the target): %w", err))
	}
	resp, err := pool.RoundTrip(req)
	if err == nil {
		return resp, pool, nil
	}
	e := transportError(ctx, addr, used.seal(), fmt.Errorf("%s %s: %w", method, path, err))
	if e.Kind.invalidatesConns() {
		c.retire(addr, pool)
	}
	return nil, pool, e
}

func newRequest(ctx context.Context, method, target string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, target, http.NoBody)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err == nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, err
}

// attemptRef is the body of a cancel request.
type attemptRef struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
}

// Cancel cancels an attempt at an engine. It returns no error if the engine does not have the attempt.
func (c *Client) Cancel(ctx context.Context, addr, requestID string, attempt int) error {
	_, err := c.sendShort(ctx, addr, http.MethodPost, "/v1/cancel", attemptRef{RequestID: requestID, Attempt: attempt})
	return err
}

// Load requests the load report of a target.
func (c *Client) Load(ctx context.Context, addr string) (roster.Load, error) {
	var load roster.Load
	data, err := c.sendShort(ctx, addr, http.MethodGet, "/v1/load", nil)
	if err != nil {
		return load, err
	}
	if err := json.Unmarshal(data, &load); err != nil {
		return load, &Error{Kind: Failed, Addr: addr, Sent: true, Err: fmt.Errorf("decode the load report: %w", err)}
	}
	return load, nil
}

// sendShort sends a request with a small and immediate response and returns the body of that response.
func (c *Client) sendShort(ctx context.Context, addr, method, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.FrameTimeout, errSilent)
	defer cancel()
	resp, pool, sendErr := c.send(ctx, addr, method, path, body)
	if sendErr != nil {
		return nil, sendErr
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readAll(resp.Body, maxShortReplyBytes)
	if err != nil {
		e := transportError(ctx, addr, true, fmt.Errorf("%s %s: read the response: %w", method, path, err))
		if e.Kind.invalidatesConns() {
			c.retire(addr, pool)
		}
		return nil, e
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, &Error{Kind: Failed, Addr: addr, Sent: true, Err: fmt.Errorf("%s %s: unexpected status %s", method, path, resp.Status)}
	}
	return data, nil
}

// countedReader counts what is read as the memory of a holder.
type countedReader struct {
	io.Reader

	holder *memory.Holder
	bytes  int
}

// Read implements io.Reader.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if ended := r.holder.AddRead(n, r.bytes); ended != nil {
		return n, ended
	}
	r.bytes += n
	return n, err
}

var errTooLarge = errors.New("the response exceeds the size limit")

// readAll reads to the end and returns an error if there are more than limit bytes.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errTooLarge
	}
	return data, err
}
