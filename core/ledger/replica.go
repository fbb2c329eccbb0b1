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

// StopPollInterval is the interval at which a stopping keeper checks whether its returns were read back.
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
	// Book decides on needs. Default sets its Inc, Send and Decided, and its Now if that is nil.
	Book *Book
	// OnViolation is called with each violated invariant; optional.
	OnViolation func(err error)
	// OnApplied is called with the results of each batch; optional.
	OnApplied func(inc string, results []Result)
	// OnDecision is called with the decision on each need, nil for a grant; optional.
	OnDecision func(refused *codes.Error)
	// OnPanic is called when the actor panicked; the process should then exit.
	OnPanic func(reason any)

	shard           *shard.Shard
	marks           marks
	requesters      map[int64]*actor.PID
	topUpRequesters map[TopUp][]*actor.PID
}

// String returns the name of the keeper for logs.
func (k *Replica) String() string { return "ledger keeper of " + k.Feed.Stream }

// Default sets default values for fields that are not set and starts the actor.
func (k *Replica) Default() {
	if k.OnViolation == nil {
		k.OnViolation = func(error) {}
	}
	if k.OnDecision == nil {
		k.OnDecision = func(*codes.Error) {}
	}
	if k.OnApplied == nil {
		k.OnApplied = func(string, []Result) {}
	}
	k.marks.reset()
	k.requesters = map[int64]*actor.PID{}
	k.topUpRequesters = map[TopUp][]*actor.PID{}
	k.Book.Incarnation = k.Feed.Incarnation
	k.Book.Send = k.Feed.Add
	k.Book.OnDecision = k.respondDecided
	if k.Book.Now == nil {
		k.Book.Now = time.Now
	}
	k.Book.Default()
	k.shard = &shard.Shard{
		System: k.System, Feed: k.Feed, OnPanic: k.OnPanic,
		Apply: k.apply, Restore: k.restore, Save: k.Book.Fold.Save, Receive: k.receive, OnTick: k.tick,
	}
	k.shard.Default()
}

// Run follows the stream until the context is done.
func (k *Replica) Run(ctx context.Context) error { return k.shard.Run(ctx) }

// receive handles one message at a time.
func (k *Replica) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *reserveMsg:
		k.reserve(ctx, m)
	case cancelReserveMsg:
		delete(k.requesters, m.reserve.id)
		k.Book.Release(m.reserve.id)
	case settleMsg:
		k.Book.Settle(m.id, m.used)
	case releaseMsg:
		k.Book.Release(m.id)
	case logReachableMsg:
		k.Book.SetLogReachable(m.reachable)
	case lendMsg:
		ctx.Respond(k.Book.LendOnce(m.loan, m.budget, m.tokens, m.least))
	case loanReceivedMsg:
		k.Book.ReceiveLoans(m.budget, m.parts)
	case primeMsg:
		for _, budget := range m.budgets {
			k.Book.Prime(budget)
		}
	default:
		k.receiveOperator(ctx)
	}
}

// receiveOperator handles operator requests and lifecycle messages.
func (k *Replica) receiveOperator(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case topUpMsg:
		k.topUpRequesters[m.topUp] = append(k.topUpRequesters[m.topUp], ctx.Sender())
		k.Book.TopUp(m.topUp)
	case balancesMsg:
		ctx.Respond(k.balances())
	case primedMsg:
		ctx.Respond(k.Book.Primed())
	case statementMsg:
		ctx.Respond(k.statement(m.budget))
	case stopMsg:
		k.Book.Stop()
		if m.bye {
			k.Book.Bye()
		}
		ctx.Respond(k.Book.InFlight())
	}
}

func (k *Replica) reserve(ctx actor.Context, m *reserveMsg) {
	k.Book.SetReady(k.Feed.Ready())
	answer, decided := k.Book.Reserve(m.need)
	m.id = answer.ID
	if decided {
		ctx.Respond(answer)
		return
	}
	k.requesters[answer.ID] = ctx.Sender()
}

// respondDecided responds to the requester of a need that had to wait, or releases the grant when the requester
// no longer waits. It runs within receive.
func (k *Replica) respondDecided(a Decision) {
	requester, ok := k.requesters[a.ID]
	delete(k.requesters, a.ID)
	if !ok {
		k.Book.Release(a.ID)
		return
	}
	k.shard.Respond(requester, a)
}

// apply folds one batch.
func (k *Replica) apply(offset int64, batch tail.Batch) error {
	k.marks.record(k.Feed.Stream, offset, k.Book.Fold.Chain)
	results, err := k.Book.Apply(batch)
	if err != nil {
		return err
	}
	for i, r := range results {
		k.respondTopUp(batch, i, r)
		if r.Kind == KindBye {
			k.Feed.Close(offset, batch.Incarnation)
		}
		k.checkBudget(r)
	}
	k.OnApplied(batch.Incarnation, results)
	return nil
}

// restore replaces the folded state.
func (k *Replica) restore(state []byte) error {
	k.marks.reset()
	return k.Book.Restore(state)
}

// Mark returns the latest mark of the stream, to be sent to other instances.
func (k *Replica) Mark() (Mark, bool) { return k.marks.latest() }

// Diverged reports whether a mark of another instance shows that its fold and this one have diverged.
func (k *Replica) Diverged(other Mark) bool {
	return other.Stream == k.Feed.Stream && k.marks.differs(other)
}

// respondTopUp responds to the requesters of a top-up that was read back.
func (k *Replica) respondTopUp(batch tail.Batch, i int, r Result) {
	if r.Kind != KindTopUp || batch.Incarnation != k.Book.Incarnation {
		return
	}
	var m TopUp
	if tail.Decode(batch.Items[i].Body, &m) != nil {
		return
	}
	for _, requester := range k.topUpRequesters[m] {
		k.shard.Respond(requester, r)
	}
	delete(k.topUpRequesters, m)
}

// checkBudget verifies the invariants of the budget that an item affected.
func (k *Replica) checkBudget(r Result) {
	if r.Refused == RefusedBeyondHolding {
		k.OnViolation(&InvariantError{Budget: r.Budget, Detail: fmt.Sprintf("a %s took more tokens than its holder had", r.Kind)})
	}
	if b := k.Book.Fold.Budgets[r.Budget]; b != nil {
		if err := b.Check(r.Budget); err != nil {
			k.OnViolation(err)
		}
	}
}

// tick runs the time-dependent work of the book and checks the next budgets.
func (k *Replica) tick(ready bool) {
	k.Book.SetReady(ready)
	k.Book.Tick()
	if err := k.Book.CheckNext(); err != nil {
		k.OnViolation(err)
	}
}

func (k *Replica) balances() []Balance {
	out := make([]Balance, 0, len(k.Book.Fold.Budgets))
	for _, key := range sortedKeys(k.Book.Fold.Budgets) {
		out = append(out, k.balance(key))
	}
	return out
}

// balance returns the balance of a budget; it is zero for a budget that was never topped up.
func (k *Replica) balance(key string) Balance {
	b := k.Book.Fold.Budgets[key]
	if b == nil {
		return Balance{Budget: key}
	}
	return Balance{
		Budget: key, Paid: b.Paid, Spent: b.Spent, Held: b.Held, Free: b.Free(),
		Own: b.HeldBy(k.Book.Incarnation), Spendable: k.Book.Spendable(key),
	}
}

// Reserve obtains a grant for a request, or an error of type *codes.Error.
func (k *Replica) Reserve(n ReserveRequest) (Grant, error) {
	msg := &reserveMsg{need: n}
	response, err := k.shard.Ask(msg)
	if err != nil {
		k.shard.Tell(cancelReserveMsg{reserve: msg})
		return Grant{}, codes.From(err, codes.NotRun)
	}
	answer := response.(Decision)
	k.OnDecision(answer.Refused)
	if answer.Refused != nil {
		return Grant{}, answer.Refused
	}
	return answer.Grant, nil
}

// Settle charges a grant for the tokens used and releases the rest.
func (k *Replica) Settle(id, used int64) { k.shard.Tell(settleMsg{id: id, used: used}) }

// Release releases a grant whose request did not run.
func (k *Replica) Release(id int64) { k.shard.Tell(releaseMsg{id: id}) }

// SetLogReachable reports to the book whether the platform's log is reachable.
func (k *Replica) SetLogReachable(reachable bool) {
	k.shard.Tell(logReachableMsg{reachable: reachable})
}

// Lend lends a peer a part of this instance's allowance and returns the tokens lent. A repeated request for the
// same loan gets the same answer, and the tokens are lent once.
func (k *Replica) Lend(loan LoanID, budget string, tokens, least int64) (int64, error) {
	response, err := k.shard.Ask(lendMsg{loan: loan, budget: budget, tokens: tokens, least: least})
	if err != nil {
		return 0, err
	}
	return response.(int64), nil
}

// ReceiveLoans receives the answers to a loan request.
func (k *Replica) ReceiveLoans(budget string, parts []Part) {
	k.shard.Tell(loanReceivedMsg{budget: budget, parts: parts})
}

// TopUp adds paid tokens to a budget and waits until the record is read back.
func (k *Replica) TopUp(m TopUp) (Result, error) {
	response, err := k.shard.Ask(topUpMsg{topUp: m})
	if err != nil {
		return Result{}, &codes.Error{Code: codes.AcceptTimeout, Run: codes.Unknown, RetryAfter: RetryLogDown,
			Detail: "repeat the top-up with the same id; it is counted once", Err: err}
	}
	return response.(Result), nil
}

// Balances returns the balances of all budgets.
func (k *Replica) Balances() ([]Balance, error) {
	response, err := k.shard.Ask(balancesMsg{})
	if err != nil {
		return nil, err
	}
	return response.([]Balance), nil
}

// Primed reports whether the allowances of all budgets passed to Keep are drawn, as far as the budgets cover
// them.
func (k *Replica) Primed() (bool, error) {
	response, err := k.shard.Ask(primedMsg{})
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

func (k *Replica) statement(budget string) Statement {
	return Statement{Usage: k.Book.Fold.Usage(budget), Balance: k.balance(budget)}
}

// Statement returns the bills and the balance of a budget.
func (k *Replica) Statement(budget string) (Statement, error) {
	response, err := k.shard.Ask(statementMsg{budget: budget})
	if err != nil {
		return Statement{}, err
	}
	return response.(Statement), nil
}

// Prime sets up budgets whose allowances are drawn in advance of the first request.
func (k *Replica) Prime(budgets []string) { k.shard.Tell(primeMsg{budgets: budgets}) }

// Stop returns the available tokens, waits for the grants in flight and for all records to
// be read back, and closes the incarnation. If the context ends first, it returns the
// context's error, and tokens not yet returned count as spent.
func (k *Replica) Stop(ctx context.Context) error {
	if err := shard.DrainFeed(ctx, k.Feed, StopPollInterval, k.stop, k.bye); err != nil {
		return fmt.Errorf("return allowances of %s: %w", k.Feed.Stream, err)
	}
	return nil
}

// stop returns the available tokens to their budgets and reports the number of grants in flight.
func (k *Replica) stop() (int, error) {
	inFlight, err := k.shard.Ask(stopMsg{})
	if err != nil {
		return 0, err
	}
	return inFlight.(int), nil
}

// bye sends the last item of the incarnation.
func (k *Replica) bye() error {
	_, err := k.shard.Ask(stopMsg{bye: true})
	return err
}
