// Package plat is a client of the platform's append-only log and of its eventually consistent list of
// instances and targets.
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
	// DefaultTimeout bounds one call; the wait of a long poll is added to it.
	DefaultTimeout = 3 * time.Second
	// DialTimeout bounds connection set-up.
	DialTimeout = 2 * time.Second
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout = 30 * time.Second
	// MaxIdleConns is the maximum number of idle connections to one address.
	MaxIdleConns = 16
	// DefaultPage is the maximum number of records requested in one read.
	DefaultPage = 500
	// MaxReplyBytes limits the size of a reply.
	MaxReplyBytes = 64 << 20
	// MaxHeadBytes limits the status line and the headers of a reply, with the interim ones before it. net/http allows 10 MB.
	MaxHeadBytes = 64 << 10
	// maxErrorBytes limits how much of a reply an error quotes.
	maxErrorBytes = 200
)

// Client calls the platform. Exported fields are set before the first call; it is safe for concurrent
// use.
type Client struct {
	// LogURL is the base URL of the log, such as http://127.0.0.1:7000.
	LogURL string
	// ListURL is the base URL of the list; empty means LogURL.
	ListURL string
	// HTTP is the client that makes the calls.
	HTTP *http.Client
	// Timeout bounds one call; the wait of a long poll is added to it.
	Timeout time.Duration
	// MaxPage is the maximum number of records requested in one read.
	MaxPage int
	// OnInvalid is called with an entry of the list that is ignored, because it can't be decoded or names no address; optional.
	OnInvalid func(entry string, err error)

	mu sync.Mutex
	// members is the last list that the platform sent, and etag its entity tag.
	members roster.Members
	etag    string
}

// String returns the name of the client for logs.
func (c *Client) String() string { return "client of the platform at " + c.LogURL }

// Default sets unset fields to their defaults.
func (c *Client) Default() {
	c.LogURL = strings.TrimRight(c.LogURL, "/")
	c.ListURL = strings.TrimRight(c.ListURL, "/")
	if c.ListURL == "" {
		c.ListURL = c.LogURL
	}
	if c.HTTP == nil {
		dialer := &net.Dialer{Timeout: DialTimeout}
		c.HTTP = &http.Client{Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    MaxIdleConns,
			IdleConnTimeout:        IdleTimeout,
			MaxResponseHeaderBytes: MaxHeadBytes,
		}}
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxPage == 0 {
		c.MaxPage = DefaultPage
	}
	if c.OnInvalid == nil {
		c.OnInvalid = func(string, error) {}
	}
}

// Log returns the platform's log for readers and writers.
func (c *Client) Log() tail.Log { return tail.Log{Append: c.Append, Read: c.Read} }

// Append appends a record to a stream and returns its offset. After an error, it is unknown whether the
// record was written.
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

// Read returns records starting at an offset and waits up to wait for the first one. It returns a
// *tail.TrimmedError if the records at that offset are no longer retained.
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
	page := tail.Page{Head: reply.Head, Records: make([]tail.Record, 0, len(reply.Records))}
	for _, r := range reply.Records {
		page.Records = append(page.Records, tail.Record{Offset: r.Offset, Data: r.Data})
	}
	return page, nil
}

// Members returns the platform's list, which lags by some seconds. If the platform supports entity
// tags, it sends the list only after a change. The caller must not modify the slices.
func (c *Client) Members(ctx context.Context) (roster.Members, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reply MembersReply
	etag := c.etag
	err := c.call(ctx, c.Timeout, request{
		op:     "read list of members",
		method: http.MethodGet,
		url:    c.ListURL + "/v1/members",
		etag:   &etag,
	}, &reply)
	var call *CallError
	switch {
	case err == nil:
		c.members, c.etag = c.decodeMembers(reply), etag
		return c.members, nil
	case errors.As(err, &call) && call.Err == nil && call.Status == http.StatusNotModified:
		return c.members, nil
	}
	return roster.Members{}, err
}

func (c *Client) recordsURL(stream string) string {
	return c.LogURL + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// request is one call to the platform.
type request struct {
	op, method, url string
	body            []byte
	// etag holds the entity tag of the cached reply and receives that of the new one; optional.
	etag *string
}

// call makes a request and decodes the reply into v. After a timeout it closes the idle connections,
// since the fault that made this connection unresponsive may affect them too.
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
		return &CallError{Op: r.op, URL: r.url, Status: status, Err: fmt.Errorf("decode reply: %w", err)}
	}
	return nil
}

// exchange sends a request and reads the reply to its end, so that its connection can be reused.
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
