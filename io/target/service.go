package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
)

// Headers of the calls to plain services.
const (
	// KeyHeader carries the idempotency key, for information.
	KeyHeader = "Idempotency-Key"
	// NotRunHeader tells that the service has not run the call.
	NotRunHeader = "X-Not-Run"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// lastStatus is the highest status that an answer can have.
const lastStatus = 599

// Reply is the whole answer of a plain service.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// CallService makes a call to a plain service. The request is written at most once, on a connection
// of its own: the pool of net/http would by itself repeat a request with an idempotency key whose
// connection broke. Redirects are not followed.
func (c *Client) CallService(
	ctx context.Context, addr, operation, key string, header http.Header, body []byte,
) (*Reply, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.CallTimeout, errSilent)
	defer cancel()
	req, err := newServiceRequest(ctx, addr, operation, key, header, body)
	if err != nil {
		return nil, failure(ctx, addr, false, fmt.Errorf("build call %s (is the address right?): %w", operation, err))
	}
	nc, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, failure(ctx, addr, false, fmt.Errorf("connect for call %s: %w", operation, err))
	}
	defer func() { _ = nc.Close() }()
	resp, err := singleUse(nc).RoundTrip(req)
	if err != nil {
		return nil, failure(ctx, addr, nc.seal() > 0, fmt.Errorf("call %s: %w", operation, err))
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readReply(ctx, addr, operation, resp)
}

func newServiceRequest(
	ctx context.Context, addr, operation, key string, header http.Header, body []byte,
) (*http.Request, error) {
	target := "http://" + addr + "/v1/call/" + url.PathEscape(operation)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header.Clone()
	}
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(KeyHeader, key)
	return req, nil
}

// singleUse returns a transport that has no connection but nc.
func singleUse(nc net.Conn) *http.Transport {
	var taken atomic.Bool
	return &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if taken.Swap(true) {
				return nil, errSecondDial
			}
			return nc, nil
		},
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// readReply reads the whole answer; one whose end can't be told from a broken connection is truncated.
func (c *Client) readReply(ctx context.Context, addr, operation string, resp *http.Response) (*Reply, error) {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(NotRunHeader) != "" {
		err := fmt.Errorf("call %s: the service has not run it: %s", operation, resp.Header.Get(NotRunHeader))
		return nil, &Error{Kind: Leaving, Addr: addr, Sent: true, NotRun: true, Err: err}
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > lastStatus {
		err := fmt.Errorf("call %s: the answer has status %d", operation, resp.StatusCode)
		return nil, &Error{Kind: Failed, Addr: addr, Sent: true, Err: err}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		err := fmt.Errorf("call %s: the answer has neither a length nor chunks", operation)
		return nil, &Error{Kind: Truncated, Addr: addr, Sent: true, Err: err}
	}
	data, err := readAll(resp.Body, c.MaxReply)
	if err != nil {
		e := failure(ctx, addr, true, fmt.Errorf("call %s: read the answer: %w", operation, err))
		if errors.Is(err, io.ErrUnexpectedEOF) {
			e.Kind = Truncated
		}
		return nil, e
	}
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}
