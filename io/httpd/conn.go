package httpd

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cranberryrail/core/guard"
)

const (
	// doubtTimeout is how long the request of a client goes on that has ended its sending direction and may have left. With what the end of a request takes,
	// it is below the half second in which targets must end the work for callers that have left.
	doubtTimeout = 350 * time.Millisecond
	// resetTimeout is the time in which a client that has left resets the connection after a write: several round trips to a caller.
	resetTimeout = 50 * time.Millisecond
)

// listener accepts connections as conn and accounts for them.
type listener struct {
	net.Listener

	guard *guard.Guard
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, Retryable(err)
	}
	addr, _, splitErr := net.SplitHostPort(tcp.RemoteAddr().String())
	if splitErr != nil {
		addr = tcp.RemoteAddr().String()
	}
	return &conn{TCPConn: tcp, account: l.guard.Admit(addr, func() {
		_ = tcp.SetLinger(0) // releases what the caller does not read
		_ = tcp.Close()      // the same error is returned to net/http
	})}, err
}

// Account returns the account of a connection that was accepted by a Server; nil for another one.
func Account(c any) *guard.Conn {
	if c, ok := c.(*conn); ok {
		return c.account
	}
	return nil
}

// conn is a connection to a client. net/http cancels a request when it reads that the client has ended its sending direction, which is the same for a client
// that has left. Once the answer has begun, conn therefore holds the end back until it knows which of the two it is: a client that has left replies to what is
// written with a reset, so that the next write fails.
type conn struct {
	*net.TCPConn

	account *guard.Conn

	mu sync.Mutex
	// answering is set once a part of the answer to the present request was written.
	answering bool
	// bounded is set while reads have a deadline, which ends a read that waits, and after Close.
	bounded bool
	// held is the read of the end that is held back; nil if there is none.
	held *heldRead
}

// heldRead is a read that waits at the end of what the client has sent.
type heldRead struct {
	// stays is closed once it is known that the client has not left, and interrupted when the read must return.
	stays, interrupted chan struct{}
}

// setState is called by net/http when the state of a connection changes.
func (s *Server) setState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	if state == http.StateNew || state == http.StateIdle {
		s.waiting[c] = struct{}{}
	} else {
		delete(s.waiting, c)
	}
	s.mu.Unlock()
	if state == http.StateIdle {
		c.account.EndRequest()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answering = false
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if short := c.account.Received(p[:n]); short != nil {
		return 0, short
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	held := c.hold()
	if held == nil {
		return n, err
	}
	timeout := time.NewTimer(doubtTimeout)
	defer timeout.Stop()
	select {
	case <-timeout.C:
		c.release()
		return n, err
	case <-held.stays:
		<-held.interrupted
	case <-held.interrupted:
	}
	return c.TCPConn.Read(p) // returns the reason of the interruption
}

// hold begins to hold the end back, and returns nil if it must be reported at once.
func (c *conn) hold() *heldRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answering || c.bounded {
		return nil
	}
	c.held = &heldRead{stays: make(chan struct{}), interrupted: make(chan struct{})}
	return c.held
}

// release ends the read that is held back.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked()
}

func (c *conn) releaseLocked() {
	if c.held != nil {
		close(c.held.interrupted)
		c.held = nil
	}
}

// Write implements net.Conn. While the client may have left, it writes in two parts, so that its error shows whether the client has.
func (c *conn) Write(p []byte) (int, error) {
	c.account.BeginWrite()
	defer c.account.EndWrite()
	if !c.beginWrite() || len(p) < 2 {
		return c.TCPConn.Write(p)
	}
	n, err := c.TCPConn.Write(p[:1])
	if err != nil {
		return n, err
	}
	time.Sleep(resetTimeout)
	m, err := c.TCPConn.Write(p[1:])
	if err == nil {
		c.stay()
	}
	return n + m, err
}

// beginWrite notes that a part of the answer is written, and reports whether the client may have left.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering = true
	return c.held != nil && !c.held.decided()
}

// stay notes that the client has not left.
func (c *conn) stay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held != nil && !c.held.decided() {
		close(c.held.stays)
	}
}

// decided reports whether it is known that the client has not left.
func (h *heldRead) decided() bool {
	select {
	case <-h.stays:
		return true
	default:
		return false
	}
}

// SetReadDeadline implements net.Conn. net/http ends a read that waits by a deadline in the past.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bounded = !t.IsZero()
	if c.bounded {
		c.releaseLocked()
	}
	return err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	c.account.Closed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bounded = true
	c.releaseLocked()
	return err
}
