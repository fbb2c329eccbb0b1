package peer

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/semaphore"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcpool"

	"cranberryrail/core/roster"
	"cranberryrail/core/tail"
	"cranberryrail/io/conns"
	"cranberryrail/io/peer/peerpb"
)

// Defaults of the client.
const (
	// DefaultTimeout bounds calls that the other instance handles locally.
	DefaultTimeout = 300 * time.Millisecond
	// DefaultLogTimeout bounds calls for which the other instance calls the platform or needs more time, in addition to
	// the wait of a read.
	DefaultLogTimeout = 2 * time.Second
	// DefaultStateTimeout bounds the transfer of a folded state.
	DefaultStateTimeout = 10 * time.Second
	// DefaultMaxCalls is the maximum number of concurrent calls.
	DefaultMaxCalls = 512
	// MaxIdlePerAddr is the maximum number of idle connections that are kept open to one address.
	MaxIdlePerAddr = 8
	// MaxIdle is the maximum number of idle connections that are kept open in total.
	MaxIdle = 256
)

// Client calls other instances. It keeps several connections to each, because a connection carries one call at a time.
// Exported fields must be set before Default. It is safe for concurrent use.
type Client struct {
	// Timeout bounds Hello and Lend.
	Timeout time.Duration
	// LogTimeout bounds Append and Report, and Read in addition to its wait.
	LogTimeout time.Duration
	// StateTimeout bounds State.
	StateTimeout time.Duration
	// MaxCalls is the maximum number of concurrent calls.
	MaxCalls int64

	calls *semaphore.Weighted
	pool  *drpcpool.Pool[string, *drpcconn.Conn]
}

// String returns the name of the client for logs.
func (c *Client) String() string { return "client of other instances" }

// Default sets the defaults of empty fields and initialises the client.
func (c *Client) Default() {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.LogTimeout == 0 {
		c.LogTimeout = DefaultLogTimeout
	}
	if c.StateTimeout == 0 {
		c.StateTimeout = DefaultStateTimeout
	}
	if c.MaxCalls == 0 {
		c.MaxCalls = DefaultMaxCalls
	}
	c.calls = semaphore.NewWeighted(c.MaxCalls)
	c.pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration: ClientIdleTimeout, Capacity: MaxIdle, KeyCapacity: MaxIdlePerAddr,
	})
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// Hello sends the view of this instance. It returns the view of the called instance and those of further ones.
func (c *Client) Hello(ctx context.Context, addr string, own roster.PeerView) (roster.PeerView, []roster.PeerView, error) {
	reply, err := call(ctx, c, addr, "Hello", c.Timeout, peerpb.DRPCPeerClient.Hello, &peerpb.HelloRequest{View: encodeView(own)})
	others := make([]roster.PeerView, 0, len(reply.GetOthers()))
	for _, other := range reply.GetOthers() {
		others = append(others, decodeView(other))
	}
	return decodeView(reply.GetView()), others, err
}

// Append appends to the platform's log through another instance. After an error it is unknown whether the record was
// written.
func (c *Client) Append(ctx context.Context, addr, stream string, data []byte) (int64, error) {
	in := &peerpb.AppendRequest{Stream: stream, Data: data}
	reply, err := call(ctx, c, addr, "Append", c.LogTimeout, peerpb.DRPCPeerClient.Append, in)
	return reply.GetOffset(), err
}

// Read reads from the platform's log through another instance. It returns a *tail.TrimmedError if records from the
// offset on were trimmed.
func (c *Client) Read(ctx context.Context, addr, stream string, from int64, wait time.Duration) (tail.Page, error) {
	wait = min(wait, MaxReadWait)
	in := &peerpb.ReadRequest{Stream: stream, From: from, WaitMs: wait.Milliseconds()}
	reply, err := call(ctx, c, addr, "Read", c.LogTimeout+wait, peerpb.DRPCPeerClient.Read, in)
	if err != nil {
		return tail.Page{}, err
	}
	if reply.GetTrimmed() {
		return tail.Page{}, &tail.TrimmedError{Stream: stream, From: from, Earliest: reply.GetEarliest()}
	}
	page := tail.Page{Head: reply.GetHead(), Records: make([]tail.Record, 0, len(reply.GetRecords()))}
	for _, r := range reply.GetRecords() {
		page.Records = append(page.Records, tail.Record{Offset: r.GetOffset(), Data: r.GetData()})
	}
	return page, nil
}

// State returns the folded state of a stream at another instance.
func (c *Client) State(ctx context.Context, addr, stream string) (tail.State, error) {
	in := &peerpb.StateRequest{Stream: stream}
	reply, err := call(ctx, c, addr, "State", c.StateTimeout, peerpb.DRPCPeerClient.State, in)
	if err != nil {
		return tail.State{}, err
	}
	var state tail.State
	if err := tail.Decode(reply.GetState(), &state); err != nil {
		return tail.State{}, fmt.Errorf("decode the state of stream %s from instance %s: %w", stream, addr, err)
	}
	return state, nil
}

// LoanRequest is a request for a part of another instance's allowance.
type LoanRequest struct {
	// Borrower is the incarnation that sends the request, and Number counts its loan requests.
	Borrower string
	Number   int64
	Budget   string
	// Tokens is the number of tokens requested, and Least the smallest number that is useful to the borrower.
	Tokens, Least int64
}

// Lend requests a part of another instance's allowance. It returns the incarnation to which the log granted the tokens,
// and their number. After an error the tokens may have been lent; a retried request gets the same reply.
func (c *Client) Lend(ctx context.Context, addr string, l LoanRequest) (string, int64, error) {
	in := &peerpb.LendRequest{Borrower: l.Borrower, Number: l.Number, Budget: l.Budget, Tokens: l.Tokens, Least: l.Least}
	reply, err := call(ctx, c, addr, "Lend", c.Timeout, peerpb.DRPCPeerClient.Lend, in)
	return reply.GetHolder(), reply.GetTokens(), err
}

// Repay transfers tokens of a budget to another instance. After an error they may have been transferred, unless it
// is a *CallError of the kind Refused.
func (c *Client) Repay(ctx context.Context, addr, budget string, tokens int64) error {
	_, err := call(ctx, c, addr, "Repay", c.Timeout, peerpb.DRPCPeerClient.Repay, &peerpb.RepayRequest{Budget: budget, Tokens: tokens})
	return err
}

// Report returns a report of another instance in JSON.
func (c *Client) Report(ctx context.Context, addr, kind string) ([]byte, error) {
	in := &peerpb.ReportRequest{Kind: kind}
	reply, err := call(ctx, c, addr, "Report", c.LogTimeout, peerpb.DRPCPeerClient.Report, in)
	return reply.GetJson(), err
}

// call makes one call with a timeout. When the call times out, drpc closes its connection; the idle connections to the
// address are closed too, because they use the same network path.
func call[I, O any](
	ctx context.Context, c *Client, addr, method string, timeout time.Duration,
	rpc func(peerpb.DRPCPeerClient, context.Context, *I) (*O, error), in *I,
) (*O, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.calls.Acquire(bounded, 1); err != nil {
		return nil, &CallError{Addr: addr, Method: method, Kind: Abandoned, Err: fmt.Errorf("wait for one of %d concurrent calls to end: %w", c.MaxCalls, err)}
	}
	defer c.calls.Release(1)
	out, err := rpc(peerpb.NewDRPCPeerClient(c.pool.Get(bounded, addr, dial)), bounded, in)
	if err == nil {
		return out, nil
	}
	kind := NoReply
	switch {
	case drpcerr.Code(err) != 0:
		kind = Refused
	case ctx.Err() != nil:
		kind = Abandoned
	default:
		c.closeIdle(addr)
	}
	return nil, &CallError{Addr: addr, Method: method, Kind: kind, Err: err}
}

// closeIdle closes the idle connections to an address.
func (c *Client) closeIdle(addr string) {
	for {
		conn, ok := c.pool.Take(addr)
		if !ok {
			return
		}
		_ = conn.Close()
	}
}

func dial(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	conn, err := conns.NewDialer().DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions(0)}), nil
}
