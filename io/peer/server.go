package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"cranberryrail/core/roster"
	"cranberryrail/core/tail"
	"cranberryrail/io/peer/peerpb"
)

// codeRefused marks errors of handlers, so that the client tells them from those of
// the connection.
const codeRefused = 1

// Server answers other instances. Exported fields are set before Run.
type Server struct {
	// Listen is the address to listen on.
	Listen string
	// View returns what the instance says of itself.
	View func() roster.PeerView
	// Others returns up to n views of further instances; optional.
	Others func(n int) []roster.PeerView
	// Told takes in the view of an instance that called; optional.
	Told func(v roster.PeerView)
	// Log reaches the platform's log directly. It must not lead through another instance,
	// so that relays form no loop.
	Log tail.Log
	// State returns the folded state of a stream.
	State func(stream string) (tail.State, error)
	// Lend gives a part of the own allowance: the incarnation that holds it, and the tokens.
	Lend func(l Loan) (holder string, lent int64)
	// Confirm opens a further slice of a grant; optional.
	Confirm func(holder, budget, grant string, tokens int64) int64
	// Report returns the instance's report of a kind in JSON.
	Report func(kind string) ([]byte, error)

	listener net.Listener
}

// String names the server for logs.
func (s *Server) String() string { return "peer server at " + s.Listen }

// Default fills fields that were left empty.
func (s *Server) Default() {
	if s.Others == nil {
		s.Others = func(int) []roster.PeerView { return nil }
	}
	if s.Told == nil {
		s.Told = func(roster.PeerView) {}
	}
	if s.Confirm == nil {
		s.Confirm = func(string, string, string, int64) int64 { return 0 }
	}
}

// Bind starts to listen, so that Addr is known before Run.
func (s *Server) Bind(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen for other instances on %s: %w; check peer.listen in the settings", s.Listen, err)
	}
	s.listener = listener
	return nil
}

// Addr returns the address that the server listens on; Bind goes first.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until the context ends; it binds if that was not done.
func (s *Server) Run(ctx context.Context) error {
	if s.listener == nil {
		if err := s.Bind(ctx); err != nil {
			return err
		}
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{s}); err != nil {
		return fmt.Errorf("register the calls of other instances: %w", err)
	}
	options := drpcserver.Options{Manager: managerOptions(ServerIdle)}
	if err := drpcserver.NewWithOptions(mux, options).Serve(ctx, s.listener); err != nil {
		return fmt.Errorf("serve other instances on %s: %w", s.Addr(), err)
	}
	return nil
}

// service translates between messages and the function fields of the server.
type service struct{ *Server }

func refused(err error) error { return drpcerr.WithCode(err, codeRefused) }

// Hello exchanges views.
func (s *service) Hello(_ context.Context, in *peerpb.HelloRequest) (*peerpb.HelloReply, error) {
	s.Told(decodeView(in.GetView()))
	reply := &peerpb.HelloReply{View: encodeView(s.View())}
	for _, other := range s.Others(OthersMax) {
		reply.Others = append(reply.Others, encodeView(other))
	}
	return reply, nil
}

// Append appends to the platform's log.
func (s *service) Append(ctx context.Context, in *peerpb.AppendRequest) (*peerpb.AppendReply, error) {
	offset, err := s.Log.Append(ctx, in.GetStream(), in.GetData())
	if err != nil {
		return nil, refused(err)
	}
	return &peerpb.AppendReply{Offset: offset}, nil
}

// Read reads from the platform's log.
func (s *service) Read(ctx context.Context, in *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	wait := min(time.Duration(in.GetWaitMs())*time.Millisecond, MaxReadWait)
	page, err := s.Log.Read(ctx, in.GetStream(), in.GetFrom(), wait)
	var trimmed *tail.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		return &peerpb.ReadReply{Trimmed: true, Earliest: trimmed.Earliest}, nil
	case err != nil:
		return nil, refused(err)
	}
	reply := &peerpb.ReadReply{Head: page.Head}
	size := 0
	for _, e := range page.Entries {
		if size >= PageBytes {
			break
		}
		size += len(e.Data)
		reply.Records = append(reply.Records, &peerpb.Record{Offset: e.Offset, Data: e.Data})
	}
	return reply, nil
}

// State returns the folded state of a stream.
func (s *service) State(_ context.Context, in *peerpb.StateRequest) (*peerpb.StateReply, error) {
	state, err := s.Server.State(in.GetStream())
	if err != nil {
		return nil, refused(err)
	}
	data, err := tail.Encode(state)
	if err != nil {
		return nil, refused(err)
	}
	return &peerpb.StateReply{Offset: state.At, State: data}, nil
}

// Lend gives a part of the allowance.
func (s *service) Lend(_ context.Context, in *peerpb.LendRequest) (*peerpb.LendReply, error) {
	holder, lent := s.Server.Lend(Loan{
		Borrower: in.GetBorrower(), Number: in.GetNumber(), Budget: in.GetBudget(), Tokens: in.GetTokens(), Least: in.GetLeast(),
	})
	return &peerpb.LendReply{Holder: holder, Tokens: lent}, nil
}

// Confirm opens a further slice of a grant.
func (s *service) Confirm(_ context.Context, in *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	opened := s.Server.Confirm(in.GetHolder(), in.GetBudget(), in.GetGrant(), in.GetTokens())
	return &peerpb.ConfirmReply{Tokens: opened}, nil
}

// Report returns the report for operators.
func (s *service) Report(_ context.Context, in *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	data, err := s.Server.Report(in.GetKind())
	if err != nil {
		return nil, refused(err)
	}
	return &peerpb.ReportReply{Json: data}, nil
}
