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

// StopPoll is how often a stopping keeper looks whether its returns were read back.
const StopPoll = 20 * time.Millisecond

// Balance is what a budget looks like from one instance.
type Balance struct {
	Budget string `json:"budget"`
	// Paid, Spent, Held and Free are in tokens, as the log has them.
	Paid  int64 `json:"paid"`
	Spent int64 `json:"spent"`
	Held  int64 `json:"held"`
	Free  int64 `json:"free"`
	// Own is what this instance holds, and Spendable what of it and of loans is not bound.
	Own       int64 `json:"own"`
	Spendable int64 `json:"spendable"`
}

// Keeper keeps one ledger stream: its folded state and the book of this instance.
// Exported fields are set before Run.
type Keeper struct {
	// System runs the actor.
	System *actor.ActorSystem
	// Feed follows and writes the stream.
	Feed *tail.Feed
	// Book decides; its Send, Decided and Now are set by Default where empty.
	Book *Book
	// Violated is told of a broken invariant; optional.
	Violated func(err error)
	// Folded is told of the results of each batch; optional.
	Folded func(inc string, results []Result)
	// Decided is told of the decision on each need; optional.
	Decided func(refused *codes.Error)
	// Failed is told when the actor panicked; the process should end.
	Failed func(reason any)

	shard  *shard.Shard
	marks  marks
	askers map[int64]*actor.PID
	topUps map[TopUp][]*actor.PID
}

// String names the keeper for logs.
func (k *Keeper) String() string { return "ledger keeper of " + k.Feed.Stream }

// Default fills fields that were left empty and starts the actor.
func (k *Keeper) Default() {
	if k.Violated == nil {
		k.Violated = func(error) {}
	}
	if k.Decided == nil {
		k.Decided = func(*codes.Error) {}
	}
	if k.Folded == nil {
		k.Folded = func(string, []Result) {}
	}
	k.marks.restored()
	k.askers = map[int64]*actor.PID{}
	k.topUps = map[TopUp][]*actor.PID{}
	k.Book.Inc = k.Feed.Inc
	k.Book.Send = k.Feed.Add
	k.Book.Decided = k.decided
	if k.Book.Now == nil {
		k.Book.Now = time.Now
	}
	k.Book.Default()
	k.shard = &shard.Shard{
		System: k.System, Feed: k.Feed, Failed: k.Failed,
		Apply: k.apply, Restore: k.restore, Save: k.Book.Fold.Save, Receive: k.receive, Tick: k.tick,
	}
	k.shard.Default()
}

// Run keeps the stream until the context ends.
func (k *Keeper) Run(ctx context.Context) error { return k.shard.Run(ctx) }

// receive handles one message at a time.
func (k *Keeper) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *reserveMsg:
		k.reserve(ctx, m)
	case abandonMsg:
		delete(k.askers, m.reserve.id)
		k.Book.Free(m.reserve.id)
	case settleMsg:
		k.Book.Settle(m.id, m.used)
	case freeMsg:
		k.Book.Free(m.id)
	case logMsg:
		k.Book.SetLog(m.reached)
	case lendMsg:
		ctx.Respond(k.Book.LendOnce(m.loan, m.budget, m.tokens, m.least))
	case borrowedMsg:
		k.Book.Gathered(m.budget, m.parts)
	case keepMsg:
		for _, budget := range m.budgets {
			k.Book.Keep(budget)
		}
	default:
		k.receiveOperator(ctx)
	}
}

// receiveOperator handles messages from operators.
func (k *Keeper) receiveOperator(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case topUpMsg:
		k.topUps[m.topUp] = append(k.topUps[m.topUp], ctx.Sender())
		k.Book.TopUp(m.topUp)
	case listMsg:
		ctx.Respond(k.balances())
	case primedMsg:
		ctx.Respond(k.Book.Primed())
	case usageMsg:
		ctx.Respond(k.statement(m.budget))
	case stopMsg:
		k.Book.Stop()
		if m.bye {
			k.Book.Bye()
		}
		ctx.Respond(k.Book.InFlight())
	}
}

func (k *Keeper) reserve(ctx actor.Context, m *reserveMsg) {
	k.Book.SetReady(k.Feed.Ready())
	answer, decided := k.Book.Reserve(m.need)
	m.id = answer.ID
	if decided {
		ctx.Respond(answer)
		return
	}
	k.askers[answer.ID] = ctx.Sender()
}

// decided tells the asker of a need that had to wait; it runs within receive.
func (k *Keeper) decided(a Answer) {
	who, ok := k.askers[a.ID]
	delete(k.askers, a.ID)
	if !ok {
		k.Book.Free(a.ID)
		return
	}
	k.shard.Answer(who, a)
}

// apply folds one batch.
func (k *Keeper) apply(offset int64, batch tail.Batch) error {
	k.marks.pass(k.Feed.Stream, offset, k.Book.Fold.Chain)
	results, err := k.Book.Apply(batch)
	if err != nil {
		return err
	}
	for i, r := range results {
		k.answerTopUp(batch, i, r)
		if r.Kind == KindBye {
			k.Feed.Close(offset, batch.Inc)
		}
		k.check(r)
	}
	k.Folded(batch.Inc, results)
	return nil
}

// restore replaces the folded state.
func (k *Keeper) restore(state []byte) error {
	k.marks.restored()
	return k.Book.Restore(state)
}

// Mark returns the latest mark of the stream, to be told to other instances.
func (k *Keeper) Mark() (Mark, bool) { return k.marks.latest() }

// Differs reports whether a mark of another instance contradicts the own fold.
func (k *Keeper) Differs(other Mark) bool {
	return other.Stream == k.Feed.Stream && k.marks.differs(other)
}

// answerTopUp tells whoever waits for a top-up that it was read back.
func (k *Keeper) answerTopUp(batch tail.Batch, i int, r Result) {
	if r.Kind != KindTopUp || batch.Inc != k.Book.Inc {
		return
	}
	var m TopUp
	if tail.Decode(batch.Items[i].Body, &m) != nil {
		return
	}
	for _, who := range k.topUps[m] {
		k.shard.Answer(who, r)
	}
	delete(k.topUps, m)
}

// check asserts the invariants of the budget that an item touched.
func (k *Keeper) check(r Result) {
	if r.Refused == RefusedHolder {
		k.Violated(&InvariantError{Budget: r.Budget, Detail: fmt.Sprintf("a %s took more than its holder had", r.Kind)})
	}
	if b := k.Book.Fold.Budgets[r.Budget]; b != nil {
		if err := b.Check(r.Budget); err != nil {
			k.Violated(err)
		}
	}
}

// tick drives what depends on time.
func (k *Keeper) tick(ready bool) {
	k.Book.SetReady(ready)
	k.Book.Tick()
	if err := k.Book.CheckNext(); err != nil {
		k.Violated(err)
	}
}

func (k *Keeper) balances() []Balance {
	out := make([]Balance, 0, len(k.Book.Fold.Budgets))
	for _, key := range sortedKeys(k.Book.Fold.Budgets) {
		out = append(out, k.balance(key))
	}
	return out
}

// balance returns the balance of a budget; it is empty for one that was never topped up.
func (k *Keeper) balance(key string) Balance {
	b := k.Book.Fold.Budgets[key]
	if b == nil {
		return Balance{Budget: key}
	}
	return Balance{
		Budget: key, Paid: b.Paid, Spent: b.Spent, Held: b.Held, Free: b.Free(),
		Own: b.HeldBy(k.Book.Inc), Spendable: k.Book.Spendable(key),
	}
}

// Reserve obtains a grant for a request, or an error of type *codes.Error.
func (k *Keeper) Reserve(n Need) (Grant, error) {
	msg := &reserveMsg{need: n}
	response, err := k.shard.Ask(msg)
	if err != nil {
		k.shard.Tell(abandonMsg{reserve: msg})
		return Grant{}, codes.From(err, codes.NotRun)
	}
	answer := response.(Answer)
	k.Decided(answer.Refused)
	if answer.Refused != nil {
		return Grant{}, answer.Refused
	}
	return answer.Grant, nil
}

// Settle bills a grant for the tokens used and frees the rest.
func (k *Keeper) Settle(id, used int64) { k.shard.Tell(settleMsg{id: id, used: used}) }

// Free gives back a grant whose request did not run.
func (k *Keeper) Free(id int64) { k.shard.Tell(freeMsg{id: id}) }

// Reached tells whether the platform's log is in reach.
func (k *Keeper) Reached(reached bool) { k.shard.Tell(logMsg{reached: reached}) }

// Lend gives a peer a part of the own allowance and returns the tokens lent. The same loan
// asked for again is answered alike and lent once.
func (k *Keeper) Lend(loan LoanID, budget string, tokens, least int64) (int64, error) {
	response, err := k.shard.Ask(lendMsg{loan: loan, budget: budget, tokens: tokens, least: least})
	if err != nil {
		return 0, err
	}
	return response.(int64), nil
}

// Gathered brings the answers to a loan.
func (k *Keeper) Gathered(budget string, parts []Part) {
	k.shard.Tell(borrowedMsg{budget: budget, parts: parts})
}

// TopUp adds paid tokens to a budget and waits until the record was read back.
func (k *Keeper) TopUp(m TopUp) (Result, error) {
	response, err := k.shard.Ask(topUpMsg{topUp: m})
	if err != nil {
		return Result{}, &codes.Error{Code: codes.AcceptTimeout, Run: codes.Unknown, RetryAfter: RetryLogDown,
			Detail: "repeat the top-up with the same id; it is counted once", Err: err}
	}
	return response.(Result), nil
}

// Balances returns all budgets.
func (k *Keeper) Balances() ([]Balance, error) {
	response, err := k.shard.Ask(listMsg{})
	if err != nil {
		return nil, err
	}
	return response.([]Balance), nil
}

// Primed reports whether the allowances of all budgets that are kept ready were drawn, as
// far as the budgets cover them.
func (k *Keeper) Primed() (bool, error) {
	response, err := k.shard.Ask(primedMsg{})
	if err != nil {
		return false, err
	}
	return response.(bool), nil
}

// Statement is the usage of a budget with the balance at the same offset of the log.
type Statement struct {
	Usage   Usage
	Balance Balance
}

func (k *Keeper) statement(budget string) Statement {
	return Statement{Usage: k.Book.Fold.Usage(budget), Balance: k.balance(budget)}
}

// Statement returns the bills and the balance of a budget.
func (k *Keeper) Statement(budget string) (Statement, error) {
	response, err := k.shard.Ask(usageMsg{budget: budget})
	if err != nil {
		return Statement{}, err
	}
	return response.(Statement), nil
}

// Keep names the budgets whose allowances are held ready before the first request.
func (k *Keeper) Keep(budgets []string) { k.shard.Tell(keepMsg{budgets: budgets}) }

// Stop returns what is not bound, waits for the grants in flight and for all records to
// be read back, and closes the incarnation. It returns the context's error when
// that takes too long; what is left then counts as spent.
func (k *Keeper) Stop(ctx context.Context) error {
	if err := shard.Farewell(ctx, k.Feed, StopPoll, k.stop, k.bye); err != nil {
		return fmt.Errorf("return allowances of %s: %w", k.Feed.Stream, err)
	}
	return nil
}

// stop returns what is unbound and the number of grants in flight.
func (k *Keeper) stop() (int, error) {
	inFlight, err := k.shard.Ask(stopMsg{})
	if err != nil {
		return 0, err
	}
	return inFlight.(int), nil
}

// bye sends the last item of the incarnation.
func (k *Keeper) bye() error {
	_, err := k.shard.Ask(stopMsg{bye: true})
	return err
}
