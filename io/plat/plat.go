// Package plat is the client of the platform: its append-only log and its lagging
// list of instances and targets.
package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"cranberryrail/core/roster"
	"cranberryrail/core/tail"
)

// Limits of the client.
const (
	// DefaultTimeout bounds one call, in addition to the wait of a long poll.
	DefaultTimeout = 3 * time.Second
	// DialTimeout bounds the set-up of a connection.
	DialTimeout = 2 * time.Second
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout = 30 * time.Second
	// MaxIdleConns is the number of unused connections kept for one address.
	MaxIdleConns = 16
	// DefaultPage is the number of records asked for in one read.
	DefaultPage = 500
	// MaxReplyBytes is the size of the largest reply that is read.
	MaxReplyBytes = 64 << 20
	// maxErrorBytes is the number of bytes of a refusal that an error quotes.
	maxErrorBytes = 200
)

// Client reaches the platform. Exported fields are set before the first call; it
// may be used by several goroutines.
type Client struct {
	// LogURL is the base URL of the log, as in http://127.0.0.1:7000.
	LogURL string
	// ListURL is the base URL of the list; empty means LogURL.
	ListURL string
	// HTTP makes the calls.
	HTTP *http.Client
	// Timeout bounds one call, in addition to the wait of a long poll.
	Timeout time.Duration
	// MaxPage is the number of records asked for in one read.
	MaxPage int

	mu sync.Mutex
	// members are the last list that the platform gave, and etag its tag.
	members roster.Members
	etag    string
}

// String names the client for logs.
func (c *Client) String() string { return "client of the platform at " + c.LogURL }

// Default fills fields that were left empty.
func (c *Client) Default() {
	c.LogURL = strings.TrimRight(c.LogURL, "/")
	c.ListURL = strings.TrimRight(c.ListURL, "/")
	if c.ListURL == "" {
		c.ListURL = c.LogURL
	}
	if c.HTTP == nil {
		dialer := &net.Dialer{Timeout: DialTimeout}
		c.HTTP = &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: MaxIdleConns,
			IdleConnTimeout:     IdleTimeout,
		}}
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxPage == 0 {
		c.MaxPage = DefaultPage
	}
}

// Log returns the platform's log for followers and writers.
func (c *Client) Log() tail.Log { return tail.Log{Append: c.Append, Read: c.Read} }

// Append adds a record to a stream and returns its offset. An error leaves open
// whether the record was written.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var reply AppendReply
	err := c.call(ctx, c.Timeout, request{
		op:     "append to stream " + stream,
		method: http.MethodPost,
		url:    c.recordsURL(stream),
		body:   data,
	}, &reply)
	return reply.Offset, err
}

// Read returns records from an offset on and waits up to wait for the first one. It
// returns a *tail.TrimmedError when records from the offset on are no longer kept.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (tail.Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("max", strconv.Itoa(c.MaxPage))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var reply ReadReply
	err := c.call(ctx, c.Timeout+wait, request{
		op:     "read stream " + stream,
		method: http.MethodGet,
		url:    c.recordsURL(stream) + "?" + query.Encode(),
	}, &reply)
	if err != nil {
		return tail.Page{}, asTrimmedError(err, stream, from)
	}
	page := tail.Page{Head: reply.Head, Entries: make([]tail.Entry, 0, len(reply.Records))}
	for _, r := range reply.Records {
		page.Entries = append(page.Entries, tail.Entry{Offset: r.Offset, Data: r.Data})
	}
	return page, nil
}

// Members returns the platform's list, which is some seconds old. The platform sends it
// only when it changed, if it gives tags. The caller does not change the slices.
func (c *Client) Members(ctx context.Context) (roster.Members, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members roster.Members
	etag := c.etag
	err := c.call(ctx, c.Timeout, request{
		op:     "read the list of members",
		method: http.MethodGet,
		url:    c.ListURL + "/v1/members",
		etag:   &etag,
	}, &members)
	var call *CallError
	switch {
	case err == nil:
		c.members, c.etag = members, etag
	case errors.As(err, &call) && call.Err == nil && call.Status == http.StatusNotModified:
		return c.members, nil
	}
	return members, err
}

func (c *Client) recordsURL(stream string) string {
	return c.LogURL + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// request is one call to the platform.
type request struct {
	op, method, url string
	body            []byte
	// etag is the tag of the reply that the caller has, and then that of the new one; optional.
	etag *string
}

// call makes a request and decodes the reply into v. After a timeout it closes the idle
// connections, because they may share what made this one go silent.
func (c *Client) call(ctx context.Context, timeout time.Duration, r request, v any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, data, err := c.exchange(ctx, r)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.HTTP.CloseIdleConnections()
		}
		return &CallError{Op: r.op, URL: r.url, Status: status, Err: err}
	}
	if status != http.StatusOK {
		return &CallError{Op: r.op, URL: r.url, Status: status, Body: data}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &CallError{Op: r.op, URL: r.url, Status: status, Err: fmt.Errorf("decode the reply: %w", err)}
	}
	return nil
}

// exchange sends a request and reads the whole reply, so that its connection can be
// used again.
func (c *Client) exchange(ctx context.Context, r request) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, r.url, bytes.NewReader(r.body))
	if err != nil {
		return 0, nil, err
	}
	if r.method == http.MethodPost {
		req.Header.Set("Content-Type", "application/octet-stream")
	}
	if r.etag != nil && *r.etag != "" {
		req.Header.Set("If-None-Match", *r.etag)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if r.etag != nil {
		*r.etag = resp.Header.Get("ETag")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes))
	return resp.StatusCode, data, err
}
