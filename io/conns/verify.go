package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Verification is a request to which a target replies which of its starts it is. A start ends all its connections, so that one reply is valid for
// as long as the connection is open.
type Verification struct {
	// URI is that of a GET request without a body.
	URI string
	// Check returns an error unless the reply is that of the incarnation in the key of the pool, ErrUnverifiable if the target can't show its start.
	Check func(status int, body []byte) error
	// OnUnverifiable is called when the target replied that it can't show its start.
	OnUnverifiable func()
	// OnVerified is called after the reply of a new verification, before the request is sent: time has passed, and its headers may name the time that is left; optional.
	OnVerified func(r *Request)
}

const (
	// maxVerifications is the number of connections that are tried for one request. A target may close one after its reply.
	maxVerifications = 2
	// verificationDivisor is the part of the time of a request, as a divisor, that a verification may take, so that the rest suffices for another target.
	verificationDivisor = 2
	// maxVerificationBody is several times the report of a target that runs some hundred requests, in bytes.
	maxVerificationBody = 64 << 10
)

// ErrUnverifiable is returned by a Verification if the target can't show its start. The request then uses another connection, since the reply may be repeated on this one.
var ErrUnverifiable = errors.New("the target does not show its start")

var (
	errUnverified         = errors.New("the connection is not known to lead to the expected start of the target")
	errVerificationClosed = errors.New("the target closes the connection after its reply")
	errVerificationSize   = fmt.Errorf("the reply has more than %d bytes", maxVerificationBody)
)

// acquire returns a connection for a request, verified if the request requires that.
func (c *Client) acquire(ctx context.Context, r *Request) (*conn, *Error) {
	for tries := 1; ; tries++ {
		cn, failed := c.connect(ctx, r, tries == 1)
		if failed != nil || r.Verify == nil || cn.verified {
			return cn, failed
		}
		reused := cn.responses > 0
		err := cn.verify(ctx, r)
		if err == nil {
			if r.Verify.OnVerified != nil {
				r.Verify.OnVerified(r)
			}
			return cn, nil
		}
		cn.close()
		switch {
		case !errors.Is(err, ErrUnverifiable):
		case reused:
			err = errForeignResponse // It may be the late refusal of an earlier request.
		default:
			r.Verify.OnUnverifiable()
			r.Verify = nil
			continue
		}
		if tries == maxVerifications || ctx.Err() != nil || isTimeout(err) || errors.Is(err, errUnverified) {
			return nil, &Error{Phase: NotSent, Timeout: isTimeout(err), Err: fmt.Errorf("verify the start of the target: %w", err)}
		}
	}
}

// connect returns an idle connection if the request may use one and idle is set, or else a new one.
func (c *Client) connect(ctx context.Context, r *Request, idle bool) (*conn, *Error) {
	if idle && !r.NewConnection {
		if cn := c.acquireIdle(r); cn != nil {
			return cn, nil
		}
	}
	cn, err := c.dial(ctx, r)
	if err != nil {
		return nil, &Error{Phase: NotSent, Unconnected: true, Timeout: isTimeout(err), Err: err}
	}
	return cn, nil
}

// verify sends the verification of a request. The error is errUnverified if the reply is not that of the expected start.
func (cn *conn) verify(ctx context.Context, r *Request) error {
	stop := context.AfterFunc(ctx, cn.close)
	defer stop()
	if err := cn.SetDeadline(time.Now().Add(r.HeaderTimeout / verificationDivisor)); err != nil {
		return err
	}
	if _, err := cn.Write(encodeHead(&Request{Method: http.MethodGet, URI: r.Verify.URI, Host: r.Addr})); err != nil {
		return err
	}
	head, err := cn.readFinalHead(http.MethodGet, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(head.Body, maxVerificationBody+1))
	if err != nil {
		return err
	}
	if len(body) > maxVerificationBody {
		return fmt.Errorf("%w: %w", errUnverified, errVerificationSize)
	}
	if err := head.Body.Close(); err != nil { // It was read to its end, as Close would.
		return err
	}
	if id, _ := r.Identify(head.Header); id != "" {
		return errForeignResponse
	}
	if err := r.Verify.Check(head.StatusCode, body); err != nil {
		return fmt.Errorf("%w: %w", errUnverified, err)
	}
	if head.Close || cn.reader.Buffered() > 0 {
		return errVerificationClosed
	}
	cn.verified = true
	return nil
}
