package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"cranberryrail/core/memory"
	"cranberryrail/core/roster"
	"cranberryrail/core/tail"
	"cranberryrail/io/peer/peerpb"
)

// codeRefused marks errors of handlers, so that the client can distinguish them from connection errors.
const codeRefused = 1

// errNotServed refuses calls for which the server has no function.
var errNotServed = errors.New("this instance does not serve the call")

// Server serves the calls of other instances. Exported fields must be set before Run. Calls of functions that are not
// set are refused.
type Server struct {
	// Listen is the address to listen on.
	Listen string
	// LocalView returns the view of this instance.
	LocalView func() roster.PeerView
	// OtherViews returns up to n views of other instances; optional.
	OtherViews func(n int) []roster.PeerView
	// OnView is called with the view of a calling instance; optional.
	OnView func(v roster.PeerView)
	// Log accesses the platform's log directly. It must not be relayed by another instance, because relays could then
	// form a loop.
	Log tail.Log
	// State returns the folded state of a stream.
	State func(stream string) (tail.State, error)
	// Lend lends a part of this instance's allowance. It returns the incarnation that holds the tokens, and their
	// number.
	Lend func(ctx context.Context, l LoanRequest) (holder string, lent int64)
	// AcceptRepayment adds tokens of a budget that another instance does not need. After an error they were not added; optional.
	AcceptRepayment func(budget string, tokens int64) error
	// Forward sends a request of another instance to a target and returns its outcome; optional. It must not forward it again, because
	// instances could then form a loop.
	Forward func(ctx context.Context, f Forward, w ForwardWriter) ForwardEnd
	// Report returns a report of this instance in JSON.
	Report func(kind string) ([]byte, error)
	// OnPanic is called with the value of a panic that occurs while a call is handled; optional.
	OnPanic func(reason any)
	// Memory limits what is held of calls that are being received. Beyond it a connection is closed that has stood still, or the one of the longest call;
	// optional, nil means no limit.
	Memory *memory.Pool

	listener   net.Listener
	forwarding atomic.Int64
}

// String returns the name of the server for logs.
func (s *Server) String() string { return "peer server at " + s.Listen }

// Default sets the defaults of empty fields.
func (s *Server) Default() {
	if s.LocalView == nil {
		s.LocalView = func() roster.PeerView { return roster.PeerView{} }
	}
	if s.Memory == nil {
		s.Memory = &memory.Pool{}
	}
	if s.Log.Append == nil {
		s.Log.Append = func(context.Context, string, []byte) (int64, error) { return 0, errNotServed }
	}
	if s.Log.Read == nil {
		s.Log.Read = func(context.Context, string, int64, time.Duration) (tail.Page, error) {
			return tail.Page{}, errNotServed
		}
	}
	if s.State == nil {
		s.State = func(string) (tail.State, error) { return tail.State{}, errNotServed }
	}
	if s.Report == nil {
		s.Report = func(string) ([]byte, error) { return nil, errNotServed }
	}
	if s.OtherViews == nil {
		s.OtherViews = func(int) []roster.PeerView { return nil }
	}
	if s.OnPanic == nil {
		s.OnPanic = func(any) {}
	}
	if s.OnView == nil {
		s.OnView = func(roster.PeerView) {}
	}
	if s.AcceptRepayment == nil {
		s.AcceptRepayment = func(string, int64) error { return errNotServed }
	}
}

// Bind opens the listener, so that Addr is known before Run.
func (s *Server) Bind(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen for other instances on %s: %w; check peer.listen in the settings", s.Listen, err)
	}
	s.listener = listener
	return nil
}

// Addr returns the address that the server listens on; Bind must be called first.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Forwarding returns the number of requests of other instances whose replies have not been sent to their end.
func (s *Server) Forwarding() int64 { return s.forwarding.Load() }

// Run serves until the context is done. It calls Bind if that was not done before.
func (s *Server) Run(ctx context.Context) error {
	if s.listener == nil {
		if err := s.Bind(ctx); err != nil {
			return err
		}
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &rpcHandler{s}); err != nil {
		return fmt.Errorf("register the handlers for other instances: %w", err)
	}
	options := drpcserver.Options{Manager: managerOptions(ServerIdleTimeout)}
	if err := drpcserver.NewWithOptions(guardedHandler{mux, s.OnPanic}, options).Serve(ctx, countedListener{s.listener, s.Memory}); err != nil {
		return fmt.Errorf("serve other instances on %s: %w", s.Addr(), err)
	}
	return nil
}

// guardedHandler handles calls. A panic fails the call: it has a goroutine of the library, in which nothing else recovers it.
type guardedHandler struct {
	drpc.Handler

	onPanic func(reason any)
}

var errCallPanic = errors.New("the call panicked")

// HandleRPC implements drpc.Handler. The error of a panic has no code, since the call may have had an effect.
func (h guardedHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			h.onPanic(reason)
			err = errCallPanic
		}
	}()
	return h.Handler.HandleRPC(stream, rpc)
}

// rpcHandler converts between messages and the arguments and results of the server's functions.
type rpcHandler struct{ *Server }

func refusedError(err error) error { return drpcerr.WithCode(err, codeRefused) }

// Hello exchanges views.
func (s *rpcHandler) Hello(_ context.Context, in *peerpb.HelloRequest) (*peerpb.HelloReply, error) {
	s.OnView(decodeView(in.GetView()))
	reply := &peerpb.HelloReply{View: encodeView(s.LocalView())}
	for _, other := range s.OtherViews(MaxOtherViews) {
		reply.Others = append(reply.Others, encodeView(other))
	}
	return reply, nil
}

// Append appends to the platform's log.
func (s *rpcHandler) Append(ctx context.Context, in *peerpb.AppendRequest) (*peerpb.AppendReply, error) {
	releaseRead(ctx)
	offset, err := s.Log.Append(ctx, in.GetStream(), in.GetData())
	if err != nil {
		return nil, refusedError(err)
	}
	return &peerpb.AppendReply{Offset: offset}, nil
}

// Read reads from the platform's log.
func (s *rpcHandler) Read(ctx context.Context, in *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	wait := min(time.Duration(in.GetWaitMs())*time.Millisecond, MaxReadWait)
	page, err := s.Log.Read(ctx, in.GetStream(), in.GetFrom(), wait)
	var trimmed *tail.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		return &peerpb.ReadReply{Trimmed: true, Earliest: trimmed.Earliest}, nil
	case err != nil:
		return nil, refusedError(err)
	}
	reply := &peerpb.ReadReply{Head: page.Head}
	size := 0
	for _, e := range page.Records {
		if size >= PageBytes {
			break
		}
		size += len(e.Data)
		reply.Records = append(reply.Records, &peerpb.Record{Offset: e.Offset, Data: e.Data})
	}
	return reply, nil
}

// State returns the folded state of a stream.
func (s *rpcHandler) State(_ context.Context, in *peerpb.StateRequest) (*peerpb.StateReply, error) {
	state, err := s.Server.State(in.GetStream())
	if err != nil {
		return nil, refusedError(err)
	}
	data, err := tail.Encode(state)
	if err != nil {
		return nil, refusedError(err)
	}
	return &peerpb.StateReply{Offset: state.At, State: data}, nil
}

// Lend lends a part of the allowance.
func (s *rpcHandler) Lend(ctx context.Context, in *peerpb.LendRequest) (*peerpb.LendReply, error) {
	holder, lent := s.Server.Lend(ctx, LoanRequest{
		Borrower: in.GetBorrower(), Number: in.GetNumber(), Budget: in.GetBudget(), Tokens: in.GetTokens(), Least: in.GetLeast(),
	})
	return &peerpb.LendReply{Holder: holder, Tokens: lent}, nil
}

// Repay adds tokens that another instance does not need.
func (s *rpcHandler) Repay(_ context.Context, in *peerpb.RepayRequest) (*peerpb.RepayReply, error) {
	if err := s.AcceptRepayment(in.GetBudget(), in.GetTokens()); err != nil {
		return nil, refusedError(err)
	}
	return &peerpb.RepayReply{}, nil
}

// Confirm opens no further slice of a grant: no build has such grants.
func (s *rpcHandler) Confirm(context.Context, *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	return &peerpb.ConfirmReply{}, nil
}

// Report returns a report in JSON.
func (s *rpcHandler) Report(_ context.Context, in *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	data, err := s.Server.Report(in.GetKind())
	if err != nil {
		return nil, refusedError(err)
	}
	return &peerpb.ReportReply{Json: data}, nil
}
