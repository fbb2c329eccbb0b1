package conns

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is an answer whose head has arrived.
type Answer struct {
	Status int
	Header http.Header

	client  *Client
	conn    *conn
	body    io.ReadCloser
	writing chan error
	// release stops watching the context; it returns false when the context has ended.
	release func() bool
	// whole tells that the body ended as its length says.
	whole bool
	reuse bool
}

var (
	errForeign = errors.New("the answer belongs to another request")
	errEncoded = errors.New("the answer has an encoding that was not asked for")
)

// head reads heads until that of the answer to the request: a target may send a late second
// answer to an earlier request first.
func (a *Answer) head(r *Request) *Error {
	for range maxStray + 1 {
		resp, err := a.final(r) //nolint:bodyclose // the body of an answer ends with its connection
		if err != nil {
			phase := Waiting
			return &Error{Phase: phase, Timeout: isTimeout(err), Invalid: !isTimeout(err) && a.conn.reader.Buffered() > 0, Err: err}
		}
		if r.Ours(resp.Header) {
			a.accept(resp)
			if resp.Header.Get("Content-Encoding") != "" {
				return &Error{Phase: Reading, Invalid: true, Err: errEncoded}
			}
			return nil
		}
		if !skip(resp) {
			break
		}
	}
	return &Error{Phase: Waiting, Invalid: true, Err: errForeign}
}

// final reads the next head that is not an interim one.
func (a *Answer) final(r *Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// skip reads past the body of an answer to another request, and reports whether the
// connection can go on.
func skip(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody))
	return err == nil && n < maxStrayBody && !resp.Close && resp.ContentLength >= -1
}

func (a *Answer) accept(resp *http.Response) {
	a.Status, a.Header, a.body = resp.StatusCode, resp.Header, resp.Body
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	a.reuse = !resp.Close && !unframed
	if d, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		a.conn.idle = d
	}
}

// keepAlive returns how long a connection is kept by the target's Keep-Alive header.
func keepAlive(header string) (time.Duration, bool) {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(idlePart * float64(seconds) * float64(time.Second)), true
	}
	return 0, false
}

// Read reads the body. The error is io.EOF after a whole body and a *Error otherwise.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF { //nolint:errorlint // bodies return io.EOF itself
		a.whole = true
		return n, io.EOF
	}
	return n, &Error{Phase: Reading, Timeout: isTimeout(err), Err: fmt.Errorf("read the answer: %w", err)}
}

// Wait bounds the time of each further read.
func (a *Answer) Wait(d time.Duration) {
	_ = a.conn.SetReadDeadline(time.Now().Add(d)) // fails only on a closed connection, as the read then does
}

// Close ends the exchange. The connection is kept if the answer was whole and the request
// was sent in full, and closed otherwise.
func (a *Answer) Close() {
	watched := a.release()
	k := a.conn
	if !watched || !a.whole || !a.reuse || !a.written() || k.reader.Buffered() > 0 {
		k.close()
		return
	}
	if k.SetDeadline(time.Time{}) != nil {
		k.close()
		return
	}
	a.client.keep(k)
}

// written reports whether the request was sent in full.
func (a *Answer) written() bool {
	if a.writing == nil {
		return true
	}
	select {
	case err := <-a.writing:
		return err == nil
	default:
		return false
	}
}
