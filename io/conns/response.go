package conns

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cranberryrail/core/memory"
)

// Response is a response whose status line and headers have been read.
type Response struct {
	Status int
	Header http.Header
	// Unframed is set if the body has neither a length nor chunks, so that it ends with the connection.
	Unframed bool

	client    *Client
	conn      *conn
	body      io.ReadCloser
	writeDone chan error
	// received receives, after writeDone, whether the target's machine has received the whole request. It does so at once when closing is closed.
	received chan bool
	closing  chan struct{}
	// stopWatch detaches the connection from the request context; it returns false if the context has ended.
	stopWatch func() bool
	// complete is set once the body has been read to the end that its framing defines.
	complete bool
	reusable bool
}

var (
	errForeignResponse = errors.New("response belongs to another request")
	errVersion         = errors.New("response has a version below HTTP/1.0")
	errVersion10       = errors.New("response of HTTP/1.0 is an interim one or has chunks, which that version does not have")
	errStatus          = errors.New("response has a status that HTTP does not have, or switches protocols")
	errContentEncoding = errors.New("response has a Content-Encoding; only unencoded responses are supported")
)

// readHead reads response headers until those of the response to r arrive. A target may first send
// a late second response to an earlier request, which is discarded.
func (resp *Response) readHead(r *Request) *Error {
	for skipped := range maxForeignResponses + 1 {
		head, err := resp.conn.readFinalHead(r.Method, r.Memory) //nolint:bodyclose // the body ends with its connection
		if err != nil {
			if skipped > 0 {
				err = fmt.Errorf("%w (skipped: %d): %w", errForeignResponse, skipped, err)
			}
			if resp.conn.input.exhausted() {
				return &Error{Phase: Waiting, Invalid: true, Err: fmt.Errorf("%w: %w", errHeadTooLarge, err)}
			}
			invalid := errors.Is(err, errStatus) || !isTimeout(err) && resp.conn.reader.Buffered() > 0
			return &Error{Phase: Waiting, Timeout: isTimeout(err), Invalid: invalid, Err: err}
		}
		resp.conn.responses++
		if resp.conn.answers(r, head.Header) {
			resp.accept(head)
			if head.Header.Get("Content-Encoding") != "" {
				return &Error{Phase: Reading, Invalid: true, Err: errContentEncoding}
			}
			resp.reusable = resp.reusable && r.Method != http.MethodHead // A second response would show a body that does not follow.
			return nil
		}
		if r.Method == http.MethodHead && head.ContentLength != 0 || !discardBody(head) { // The body that another request brings is not read.
			break
		}
	}
	return &Error{Phase: Waiting, Invalid: true, Err: errForeignResponse}
}

// answers reports whether the response that was read last is that to r. A target that could not read the request can't name it. A refusal
// without an id is therefore accepted as the first response of a connection; a later one may be the repeated refusal of an earlier request.
func (cn *conn) answers(r *Request, h http.Header) bool {
	id, notRun := r.Identify(h)
	return id == r.ID || id == "" && notRun && cn.responses == 1
}

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// readFinalHead reads the headers of the next response, skipping interim (1xx) ones.
func (cn *conn) readFinalHead(method string, holder *memory.Holder) (*http.Response, error) {
	cn.input.limit(holder)
	defer cn.input.unlimit()
	for {
		head, err := cn.readResponse(method)
		if err != nil {
			return nil, shorten(err)
		}
		switch status := head.StatusCode; {
		case status < http.StatusContinue, status == http.StatusSwitchingProtocols, status > maxStatus:
			return nil, fmt.Errorf("%w: %03d", errStatus, status)
		case status >= http.StatusOK:
			return head, nil
		}
	}
}

// maxErrorBytes limits the text of an error, which may quote a head. It is several times that of an error of a connection.
const maxErrorBytes = 1024

// shorten returns an error whose text is not longer than maxErrorBytes.
func shorten(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return errors.New(strings.Clone(text[:maxErrorBytes]))
}

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// readResponse reads the headers of the next response.
func (cn *conn) readResponse(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	if version, _ := cn.reader.Peek(len(version10)); string(version) != version10 {
		head, err := http.ReadResponse(cn.reader, request)
		if err == nil && !head.ProtoAtLeast(1, 1) {
			return nil, errVersion
		}
		return head, err
	}
	// HTTP/1.0 has no chunks and no interim responses. ReadResponse would ignore a header for chunks and take them for a body that ends with the
	// connection. Read as HTTP/1.1, the response shows it. The connection is used only once, since what follows may be buffered twice.
	_, _ = cn.reader.Discard(len(version10)) // these bytes are buffered
	head, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(version11), cn.reader)), request)
	if err != nil {
		return nil, err
	}
	if len(head.TransferEncoding) > 0 || head.StatusCode < http.StatusOK {
		return nil, errVersion10
	}
	head.Close = true
	return head, nil
}

// discardBody drains the body of a response to another request and reports whether the connection
// is still usable.
func discardBody(head *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxForeignBody))
	return err == nil && n < maxForeignBody && !head.Close && head.ContentLength >= -1
}

func (resp *Response) accept(head *http.Response) {
	resp.Status, resp.Header, resp.body = head.StatusCode, head.Header, head.Body
	resp.Unframed = head.ContentLength < 0 && len(head.TransferEncoding) == 0 && head.Body != http.NoBody // a response to HEAD has no body
	resp.reusable = !head.Close && !resp.Unframed
	if d, ok := parseKeepAlive(head.Header.Get("Keep-Alive")); ok {
		resp.conn.idleTimeout = d
	}
}

// parseKeepAlive returns how long to keep a connection idle, derived from the timeout in the
// target's Keep-Alive header.
func parseKeepAlive(header string) (time.Duration, bool) {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(idleTimeoutRatio * float64(seconds) * float64(time.Second)), true
	}
	return 0, false
}

// Read reads the body. It returns io.EOF at the end of a complete body and a *Error on failure.
func (resp *Response) Read(p []byte) (int, error) {
	n, err := resp.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF { //nolint:errorlint // bodies return io.EOF itself
		if err := resp.connError(); err != nil {
			return n, &Error{Phase: Reading, Err: fmt.Errorf("the connection failed before the end of the response: %w", err)}
		}
		resp.complete = true
		return n, io.EOF
	}
	return n, &Error{Phase: Reading, Timeout: isTimeout(err), Err: fmt.Errorf("read response body: %w", err)}
}

// SetReadTimeout limits the total time of the reads that follow, until the next call.
func (resp *Response) SetReadTimeout(timeout time.Duration) {
	_ = resp.conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, where the read fails too
}

// Close ends the exchange. It must be called exactly once. The connection returns to the pool if it is
// reusable, the request was sent in full and the response was read completely before the context ended;
// otherwise it is closed.
func (resp *Response) Close() {
	if resp.closing != nil {
		close(resp.closing)
	}
	watching := resp.stopWatch()
	cn := resp.conn
	if !watching || !resp.complete || !resp.reusable || !resp.requestSent() || cn.reader.Buffered() > 0 {
		cn.close()
		return
	}
	if cn.SetDeadline(time.Time{}) != nil {
		cn.close()
		return
	}
	resp.client.release(cn)
}

// connError returns the error of the connection of a response without framing, at its end; nil if the connection ended in order. A connection
// reports its error once, to the reader or to the sender of the request. In the second case, the reader sees the end of the connection.
func (resp *Response) connError() error {
	if !resp.Unframed || resp.writeDone == nil {
		return nil
	}
	_ = resp.conn.SetWriteDeadline(time.Now()) // fails only on a closed connection, where the write fails too
	err := <-resp.writeDone
	resp.writeDone <- err
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil // The connection had ended in order before.
	}
	return err
}

// requestSent reports whether the request was sent in full and received. It is called after closing is closed.
func (resp *Response) requestSent() bool {
	if resp.writeDone == nil {
		return true
	}
	select {
	case err := <-resp.writeDone:
		return err == nil && <-resp.received
	default:
		return false
	}
}
