// Package target is the client towards model engines and plain services. It hands
// on only frames that belong to the request and come in order, gives up connections
// that went silent, and writes a call to a plain service at most once.
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

	"cranberryrail/core/roster"
)

// Default limits.
const (
	defaultFrameTimeout      = 5 * time.Second
	defaultFirstFrameTimeout = 10 * time.Second
	defaultDialTimeout       = time.Second
	defaultCallTimeout       = 30 * time.Second
	// defaultMaxReply is the largest reply of a plain service, in bytes.
	defaultMaxReply = 4 << 20
)

const (
	// maxPools is the number of addresses whose connections are kept.
	maxPools = 1024
	// idlePerAddr is the number of idle connections kept for an address.
	idlePerAddr = 256
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// probeIdle and probeInterval pace the keep-alive probes of TCP, probeCount bounds them.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 3
	// maxShortReply is the largest load report or error body that is read, in bytes.
	maxShortReply = 16 << 10
)

// Client talks to targets. Exported fields are set before Default.
type Client struct {
	// FrameTimeout is the most time between two frames, and for a cancel or load request.
	FrameTimeout time.Duration
	// FirstFrameTimeout is the most time from the request to its first frame.
	FirstFrameTimeout time.Duration
	// DialTimeout is the most time to make a connection.
	DialTimeout time.Duration
	// CallTimeout is the most time for a call to a plain service.
	CallTimeout time.Duration
	// MaxReply is the largest reply of a plain service, in bytes.
	MaxReply int64
	// Dial makes a connection.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	pools *lru.Cache[string, *http.Transport]
}

// String names the client for logs.
func (c *Client) String() string { return "target client" }

// Default fills fields that were left empty.
func (c *Client) Default() {
	setDefault(&c.FrameTimeout, defaultFrameTimeout)
	setDefault(&c.FirstFrameTimeout, defaultFirstFrameTimeout)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	if c.MaxReply == 0 {
		c.MaxReply = defaultMaxReply
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		}}).DialContext
	}
	c.pools, _ = lru.NewWithEvict(maxPools, func(_ string, t *http.Transport) { t.CloseIdleConnections() })
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Retire gives up the connections to an address: idle ones are closed now, those in use when their
// request ends. Later requests take new connections.
func (c *Client) Retire(addr string) { c.pools.Remove(addr) }

// retire is Retire unless the connections were replaced since t was taken.
func (c *Client) retire(addr string, t *http.Transport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now, ok := c.pools.Peek(addr); ok && now == t {
		c.pools.Remove(addr)
		return
	}
	t.CloseIdleConnections()
}

// pool returns the transport that keeps the connections to an address.
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
		MaxIdleConnsPerHost: idlePerAddr,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c.pools.Add(addr, t)
	return t
}

// asNetConn keeps a nil *conn from becoming a net.Conn that is not nil.
func asNetConn(c *conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return c, nil
}

// send writes a request with a JSON body, or none when body is nil, and waits for the headers of
// the answer. It also returns the transport that the request went through.
func (c *Client) send(
	ctx context.Context, addr, method, path string, body any,
) (*http.Response, *http.Transport, *Error) {
	pool := c.pool(addr)
	var used usage
	req, err := newRequest(used.trace(ctx), method, "http://"+addr+path, body)
	if err != nil {
		return nil, pool, failure(ctx, addr, false, fmt.Errorf("build the request (is the address right?): %w", err))
	}
	resp, err := pool.RoundTrip(req)
	if err == nil {
		return resp, pool, nil
	}
	e := failure(ctx, addr, used.sent(), fmt.Errorf("%s %s: %w", method, path, err))
	if e.Kind.breaksConn() {
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

// Cancel ends an attempt at an engine; an attempt that is not there is no error.
func (c *Client) Cancel(ctx context.Context, addr, requestID string, attempt int) error {
	_, err := c.short(ctx, addr, http.MethodPost, "/v1/cancel", attemptRef{RequestID: requestID, Attempt: attempt})
	return err
}

// Load asks a target for its load report.
func (c *Client) Load(ctx context.Context, addr string) (roster.Load, error) {
	var load roster.Load
	data, err := c.short(ctx, addr, http.MethodGet, "/v1/load", nil)
	if err != nil {
		return load, err
	}
	if err := json.Unmarshal(data, &load); err != nil {
		return load, &Error{Kind: Failed, Addr: addr, Sent: true, Err: fmt.Errorf("decode the load report: %w", err)}
	}
	return load, nil
}

// short makes a request whose answer is small and comes at once.
func (c *Client) short(ctx context.Context, addr, method, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.FrameTimeout, errSilent)
	defer cancel()
	resp, pool, sendErr := c.send(ctx, addr, method, path, body)
	if sendErr != nil {
		return nil, sendErr
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readAll(resp.Body, maxShortReply)
	if err != nil {
		e := failure(ctx, addr, true, fmt.Errorf("%s %s: read the answer: %w", method, path, err))
		if e.Kind.breaksConn() {
			c.retire(addr, pool)
		}
		return nil, e
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, &Error{Kind: Failed, Addr: addr, Sent: true, Err: fmt.Errorf("%s %s: answer %s", method, path, resp.Status)}
	}
	return data, nil
}

var errTooLarge = errors.New("the answer is larger than the limit")

// readAll reads to the end and fails when there are more than limit bytes.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errTooLarge
	}
	return data, err
}
