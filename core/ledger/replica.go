package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cranberryrail/core/codes"
	"cranberryrail/core/shard"
	"cranberryrail/core/tail"
)

// StopPollInterval is the interval at which a stopping replica checks whether its returns were read back.
const StopPollInterval = 20 * time.Millisecond

// Balance is the state of a budget as seen by one instance.
type Balance struct {
	Budget string `json:"budget"`
	// Paid, Spent, Held and Free are in tokens, as the log has them.
	Paid  int64 `json:"paid"`
	Spent int64 `json:"spent"`
	Held  int64 `json:"held"`
	Free  int64 `json:"free"`
	// Own is the holding of this instance. Spendable is the part of it, plus loans, that can be granted now.
	Own       int64 `json:"own"`
	Spendable int64 `json:"spendable"`
}

// Replica runs the actor that folds one ledger stream and serves reservations from the book of this instance.
// Exported fields are set before Run.
type Replica struct {
	// System runs the actor.
	System *actor.ActorSystem
	// Feed follows and writes the stream.
	Feed *tail.Feed
	// Book decides on reservation requests. Default sets its Incarnation, Send and OnDecision, and its Now if that is
	// nil.
	Book *Book
	// OnViolation is called with each violated invariant; optional.
	OnViolation func(err error)
	// OnApplied is called with the results of each batch; optional.
	OnApplied func(inc string, results []Result)
	// OnDecision is called with the decision on each reservation request, nil for a reservation; optional.
	OnDecision func(refused *codes.Error)
	// OnPanic is called when the actor panicked or did not respond; the process should then exit.
	OnPanic func(reason any)

	streamActor     *shard.StreamActor
	marks           marks
	requesters      map[int64]*actor.PID
	topUpRequesters map[TopUp][]*actor.PID
}

// String returns the name of the replica for logs.
func (r *Replica) String() string { return "ledger replica of " + r.Feed.Stream }

// Default sets default values for fields that are not set and starts the actor.
func (r *Replica) Default() {
	if r.OnViolation == nil {
		r.OnViolation = func(error) {}
	}
	if r.OnDecision == nil {
		r.OnDecision = func(*codes.Error) {}
	}
	if r.OnApplied == nil {
		r.OnApplied = func(string, []Result) {}
	}
	r.marks.reset()
	r.requesters = map[int64]*actor.PID{}
	r.topUpRequesters = map[TopUp][]*actor.PID{}
	r.Book.Incarnation = r.Feed.Incarnation
	r.Book.Send = r.Feed.Add
	r.Book.OnDecision = r.respondDecision
	if r.Book.Now == nil {
		r.Book.Now = time.Now
	}
	r.Book.Default()
	r.streamActor = &shard.StreamActor{
		System: r.System, Feed: r.Feed, OnPanic: r.OnPanic,
		Apply: r.apply, Restore: r.restore, Save: r.Book.Fold.Save, Receive: r.receive, OnTick: r.tick,
	}
	r.streamActor.Default()
}

// Run follows the stream until the context is done.
func (r *Replica) Run(ctx context.Context) error { return r.streamActor.Run(ctx) }

// receive handles one message at a time.
func (r *Replica) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *reserveMsg:
		r.reserve(ctx, m)
	case cancelReserveMsg:
		delete(r.requesters, m.reserve.id)
		r.Book.Release(m.reserve.id)
	case settleMsg:
		r.Book.Settle(m.id, m.used)
	case releaseMsg:
		r.Book.Release(m.id)
	case logReachableMsg:
		r.Book.SetLogReachable(m.reachable)
	case lendMsg:
		ctx.Respond(r.Book.LendOnce(m.loan, m.budget, m.tokens, m.least))
	case loanReceivedMsg:
		r.Book.ReceiveLoans(m.budget, m.parts)
	case openAccountsMsg:
		for _, budget := range m.budgets {
			r.Book.OpenAccount(budget)
		}
	default:
		r.receiveOperator(ctx)
	}
}

// receiveOperator handles operator requests and lifecycle messages.
func (r *Replica) receiveOperator(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case topUpMsg:
		r.topUpRequesters[m.topUp] = append(r.topUpRequesters[m.topUp], ctx.Sender())
		r.Book.TopUp(m.topUp)
	case balancesMsg:
		ctx.Respond(r.balances())
	case allowancesDrawnMsg:
		ctx.Respond(r.Book.AllowancesDrawn())
	case statementMsg:
		ctx.Respond(r.statement(m.budget))
	case stopMsg:
		r.Book.Stop()
		if m.bye {
			r.Book.CloseIncarnation()
		}
		ctx.Respond(r.Book.InFlight())
	}
}

func (r *Replica) reserve(ctx actor.Context, m *reserveMsg) {
	r.Book.SetReady(r.Feed.Ready())
	decision, decided := r.Book.Reserve(m.request)
	m.id = decision.ID
	if decided {
		ctx.Respond(decision)
		return
	}
	r.requesters[decision.ID] = ctx.Sender()
}

// respondDecision responds to the requester of a reservation request that had to wait, or releases the reservation when
// the requester no longer waits. It runs within receive.
func (r *Replica) respondDecision(a Decision) {
	requester, ok := r.requesters[a.ID]
	delete(r.requesters, a.ID)
	if !ok {
		r.Book.Release(a.ID)
		return
	}
	r.streamActor.Respond(requester, a)
}

// apply folds one batch.
func (r *Replica) apply(offset int64, batch tail.Batch) error {
	r.marks.record(r.Feed.Stream, offset, r.Book.Fold.Chain)
	results, err := r.Book.Apply(batch)
	if err != nil {
		return err
	}
	for i, result := range results {
		r.respondTopUp(batch, i, result)
		if result.Kind == KindBye {
			r.Feed.CloseIncarnation(offset, batch.Incarnation)
		}
		r.checkBudget(result)
	}
	r.OnApplied(batch.Incarnation, results)
	return nil
}

// restore replaces the folded state.
func (r *Replica) restore(state []byte) error {
	r.marks.reset()
	return r.Book.Restore(state)
}

// Mark returns the latest mark of the stream, to be sent to other instances.
func (r *Replica) Mark() (Mark, bool) { return r.marks.latest() }

// Diverged reports whether a mark of another instance shows that its fold and this one have diverged.
func (r *Replica) Diverged(other Mark) bool {
	return other.Stream == r.Feed.Stream && r.marks.differs(other)
}

// respondTopUp responds to the requesters of a top-up that was read back.
func (r *Replica) respondTopUp(batch tail.Batch, i int, result Result) {
	if result.Kind != KindTopUp || batch.Incarnation != r.Book.Incarnation {
		return
	}
	var m TopUp
	if tail.Decode(batch.Items[i].Body, &m) != nil {
		return
	}
	for _, requester := range r.topUpRequesters[m] {
		r.streamActor.Respond(requester, result)
	}
	delete(r.topUpRequesters, m)
}

// checkBudget verifies the invariants of the budget that an item affected.
func (r *Replica) checkBudget(result Result) {
	if result.Refused == RefusedBeyondHolding {
		r.OnViolation(&InvariantError{Budget: result.Budget, Detail: fmt.Sprintf("a %s item requires more tokens than its holder has", result.Kind)})
	}
	if b := r.Book.Fold.Budgets[result.Budget]; b != nil {
		if err := b.Check(result.Budget); err != nil {
			r.OnViolation(err)
		}
	}
}

// tick runs the time-dependent work of the book and checks the next budgets.
func (r *Replica) tick(ready bool) {
	r.Book.SetReady(ready)
	r.Book.Tick()
	if err := r.Book.CheckNext(); err != nil {
		r.OnViolation(err)
	}
}

func (r *Replica) balances() []Balance {
	out := make([]Balance, 0, len(r.Book.Fold.Budgets))
	for _, key := range sortedKeys(r.Book.Fold.Budgets) {
		out = append(out, r.balance(key))
	}
	return out
}

// balance returns the balance of a budget; it is zero for a budget that was never topped up.
func (r *Replica) balance(key string) Balance {
	b := r.Book.Fold.Budgets[key]
	if b == nil {
		return Balance{Budget: key}
	}
	return Balance{
		Budget: key, Paid: b.Paid, Spent: b.Spent, Held: b.Held, Free: b.Free(),
		Own: b.HeldBy(r.Book.Incarnation), Spendable: r.Book.Spendable(key),
	}
}

// Reserve obtains a reservation for a request, or an error of type *codes.Error.
func (r *Replica) Reserve(n ReserveRequest) (Reservation, error) {
	msg := &reserveMsg{request: n}
	response, err := r.streamActor.Ask(msg)
	if err != nil {
		r.streamActor.Tell(cancelReserveMsg{reserve: msg})
		return Reservation{}, codes.From(err, codes.NotRun)
	}
	decision := response.(Decision)
	r.OnDecision(decision.Refused)
	if decision.Refused != nil {
		return Reservation{}, decision.Refused
	}
	return decision.Reservation, nil
}

// Settle charges a reservation for the tokens used and releases the rest.
func (r *Replica) Settle(id, used int64) { r.streamActor.Tell(settleMsg{id: id, used: used}) }

// Release releases a reservation whose request did not run.
func (r *Replica) Release(id int64) { r.streamActor.Tell(releaseMsg{id: id}) }

// SetLogReachable reports to the book whether the platform's log is reachable.
func (r *Replica) SetLogReachable(reachable bool) {
	r.streamActor.Tell(logReachableMsg{reachable: reachable})
}

// Lend lends a peer a part of this instance's allowance and returns the tokens lent. A retried request for the
// same loan gets the same reply, and the tokens are lent once.
func (r *Replica) Lend(loan LoanID, budget string, tokens, least int64) (int64, error) {
	response, err := r.streamActor.Ask(lendMsg{loan: loan, budget: budget, tokens: tokens, least: least})
	if err != nil {
		return 0, err
	}
	return response.(int64), nil
}

// ReceiveLoans adds the tokens that other holders have lent for a loan request and ends the request, even if none lent
// any. The waiting reservation requests of the budget are then decided, up to the first that must keep waiting. It
// returns before the actor has handled it.
func (r *Replica) ReceiveLoans(budget string, parts []Part) {
	r.streamActor.Tell(loanReceivedMsg{budget: budget, parts: parts})
}

// TopUp adds paid tokens to a budget and waits until the record is read back.
func (r *Replica) TopUp(m TopUp) (Result, error) {
	response, err := r.streamActor.Ask(topUpMsg{topUp: m})
	if err != nil {
		return Result{}, &codes.Error{Code: codes.AcceptTimeout, Run: codes.Unknown, RetryAfter: RetryLogDown,
			Detail: "the top-up was not read back from the log in time and may still be accepted; retry it with the same id, it is counted once", Err: err}
	}
	return response.(Result), nil
}

// Balances returns the balances of all budgets.
func (r *Replica) Balances() ([]Balance, error) {
	response, err := r.streamActor.Ask(balancesMsg{})
	if err != nil {
		return nil, err
	}
	return response.([]Balance), nil
}

// AllowancesDrawn reports whether each allowance of this instance has reached at least half of its target with no draw
// outstanding, or its budget has no free tokens left.
func (r *Replica) AllowancesDrawn() (bool, error) {
	response, err := r.streamActor.Ask(allowancesDrawnMsg{})
	if err != nil {
		return false, err
	}
	return response.(bool), nil
}

// Statement is the usage of a budget and its balance at the same log offset.
type Statement struct {
	Usage   Usage
	Balance Balance
}

func (r *Replica) statement(budget string) Statement {
	return Statement{Usage: r.Book.Fold.Usage(budget), Balance: r.balance(budget)}
}

// Statement returns the bills and the balance of a budget.
func (r *Replica) Statement(budget string) (Statement, error) {
	response, err := r.streamActor.Ask(statementMsg{budget: budget})
	if err != nil {
		return Statement{}, err
	}
	return response.(Statement), nil
}

// OpenAccounts opens accounts of budgets, so that their allowances are drawn in advance of the first request.
func (r *Replica) OpenAccounts(budgets []string) {
	r.streamActor.Tell(openAccountsMsg{budgets: budgets})
}

// Stop returns the available tokens, waits for the reservations and loan requests in flight and for all records to be
// read back, and closes the incarnation. If the context ends first, it returns the context's error; tokens that are not
// yet returned stay held by the ended incarnation, and no instance can draw them.
func (r *Replica) Stop(ctx context.Context) error {
	if err := shard.DrainFeed(ctx, r.Feed, StopPollInterval, r.stop, r.bye); err != nil {
		return fmt.Errorf("return allowances of %s: %w", r.Feed.Stream, err)
	}
	return nil
}

// stop returns the available tokens to their budgets and reports the number of reservations, waiting requests and loan
// requests in flight.
func (r *Replica) stop() (int, error) {
	inFlight, err := r.streamActor.Ask(stopMsg{})
	if err != nil {
		return 0, err
	}
	return inFlight.(int), nil
}

// bye sends the last item of the incarnation.
func (r *Replica) bye() error {
	_, err := r.streamActor.Ask(stopMsg{bye: true})
	return err
}
