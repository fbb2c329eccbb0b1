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

	"cranberryrail/core/memory"
)

// Headers of the calls to plain services.
const (
	// IdempotencyKeyHeader carries the idempotency key, for information only.
	IdempotencyKeyHeader = "Idempotency-Key"
	// NotRunHeader reports that the service has not run the call, and the reason.
	NotRunHeader = "X-Not-Run"
)

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// maxStatus is the highest valid status code of a response.
const maxStatus = 599

// Reply is the complete response of a plain service.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// CallService makes a call to a plain service. The request is sent at most once, on a connection of its own, because
// the connection pool of net/http retries a request with an idempotency key if its connection breaks. Redirects are
// not followed.
func (c *Client) CallService(
	ctx context.Context, addr, operation, key string, header http.Header, body []byte,
) (*Reply, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.CallTimeout, errSilent)
	defer cancel()
	req, err := newServiceRequest(ctx, addr, operation, key, header, body)
	if err != nil {
		return nil, transportError(ctx, addr, false, fmt.Errorf("build call %s (check the address of the target): %w", operation, err))
	}
	nc, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, transportError(ctx, addr, false, fmt.Errorf("connect for call %s: %w", operation, err))
	}
	defer func() { _ = nc.Close() }()
	resp, err := singleConnTransport(nc).RoundTrip(req)
	if err != nil {
		return nil, transportError(ctx, addr, nc.seal() > 0, fmt.Errorf("call %s: %w", operation, err))
	}
	defer func() { _ = resp.Body.Close() }()
	holder := c.Memory.NewHolder(cancel)
	defer holder.Release()
	return c.readReply(ctx, addr, operation, resp, holder)
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
	for _, name := range hopByHopHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(IdempotencyKeyHeader, key)
	return req, nil
}

// singleConnTransport returns a transport that uses only the connection nc.
func singleConnTransport(nc net.Conn) *http.Transport {
	var taken atomic.Bool
	return &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if taken.Swap(true) {
				return nil, errSecondDial
			}
			return nc, nil
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// readReply reads the complete response. A response whose end cannot be distinguished from a broken connection counts
// as truncated.
func (c *Client) readReply(ctx context.Context, addr, operation string, resp *http.Response, holder *memory.Holder) (*Reply, error) {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(NotRunHeader) != "" {
		err := fmt.Errorf("call %s: the service reported that it did not run the call: %s", operation, resp.Header.Get(NotRunHeader))
		return nil, &Error{Kind: Leaving, Addr: addr, Sent: true, NotRun: true, Err: err}
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		err := fmt.Errorf("call %s: the response has the invalid status %d", operation, resp.StatusCode)
		return nil, &Error{Kind: Failed, Addr: addr, Sent: true, Err: err}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		err := fmt.Errorf("call %s: the response has neither a content length nor a chunked encoding", operation)
		return nil, &Error{Kind: Truncated, Addr: addr, Sent: true, Err: err}
	}
	data, err := readAll(&countedReader{Reader: resp.Body, holder: holder}, c.MaxReplyBytes)
	if err != nil && holder.Ended() {
		return nil, &Error{Kind: Failed, Addr: addr, Sent: true, Err: fmt.Errorf("call %s: read the response: %w", operation, memory.ErrUsedUp)}
	}
	if err != nil {
		e := transportError(ctx, addr, true, fmt.Errorf("call %s: read the response: %w", operation, err))
		if errors.Is(err, io.ErrUnexpectedEOF) {
			e.Kind = Truncated
		}
		return nil, e
	}
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}
