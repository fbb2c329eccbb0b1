package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Limits of a Borrower.
const (
	// peersPerRound is the number of instances that are asked at the same time, after the first one alone, and
	// maxPeersAsked the number that are asked for one shortage.
	peersPerRound = 5
	maxPeersAsked = 16
	// roundTimeout is how long the replies of a round are awaited before the next instances are asked: several
	// times the usual duration of a call, and of a draw at a holder. Tokens that arrive later are added all the same.
	roundTimeout = 25 * time.Millisecond
	// peerBackoff is how long an instance that did not reply is not asked again.
	peerBackoff = 3 * time.Second
	// maxShortages is the number of organisations whose shortages may wait to be handled.
	maxShortages = 1024
)

// Borrower asks other instances for tokens when a request needs more than this instance holds: always, if it is not a
// holder of the budget, and otherwise if the log is unreachable or slow, or all tokens are granted. Loans need no
// record, because the log counts the tokens as granted whichever instance spends them. Exported fields are set before
// Default.
type Borrower struct {
	// Book tracks the holdings of this instance.
	Book *Book
	// Lenders returns the addresses of the holders of a budget, in the order in which to ask them, and those of the
	// other instances.
	Lenders func(organisation string) (holders, others []string)
	// Ask asks an instance for up to the given tokens of an organisation, and at least least, and returns how many it
	// lent. It draws none from the log if least is 0. After an error, lent tokens count as spent.
	Ask func(ctx context.Context, addr, organisation string, tokens, least int64) (int64, error)
	// Repay transfers tokens of an organisation to an instance. After an error that is not ErrNotAdded they count as
	// spent. Optional; without it this instance keeps what it does not need.
	Repay func(ctx context.Context, addr, organisation string, tokens int64) error
	// OnTransferLost is called when it is not known whether given tokens were added; optional.
	OnTransferLost func(organisation string, tokens int64, err error)
	// OnEnd is called at the end of each attempt with the number of instances that were asked, the tokens that
	// they lent in time, and those still missing; optional.
	OnEnd func(organisation string, asked int, lent, missing int64)

	shortages chan string
	group     errgroup.Group

	mu sync.Mutex
	// silentUntil is until when instances that did not reply are not asked.
	silentUntil map[string]time.Time
}

// String returns the name used in logs.
func (b *Borrower) String() string { return "borrower of tokens" }

// Default sets unset fields to their defaults and connects the Book.
func (b *Borrower) Default() {
	if b.OnEnd == nil {
		b.OnEnd = func(string, int, int64, int64) {}
	}
	if b.OnTransferLost == nil {
		b.OnTransferLost = func(string, int64, error) {}
	}
	b.shortages = make(chan string, maxShortages)
	b.silentUntil = map[string]time.Time{}
	b.Book.OnShortage = b.schedule
}

// schedule schedules an attempt to borrow tokens of an organisation, unless too many are scheduled. It never
// blocks.
func (b *Borrower) schedule(organisation string) bool {
	select {
	case b.shortages <- organisation:
		return true
	default:
		return false
	}
}

// Run handles shortages and repays surpluses until the context ends.
func (b *Borrower) Run(ctx context.Context) error {
	if b.Repay != nil {
		b.group.Go(func() error { return b.runRepayments(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			return b.group.Wait()
		case organisation := <-b.shortages:
			b.group.Go(func() error {
				b.borrow(ctx, organisation)
				return nil
			})
		}
	}
}

// borrow asks the first holder, then the other holders, then other instances at random, until they have lent what was
// missing. Requests that come after that are the matter of another attempt, which asks all of them again.
func (b *Borrower) borrow(ctx context.Context, organisation string) {
	peers := b.candidates(organisation)
	asked, lent := 0, int64(0)
	missing, wanted := b.Book.Wanted(organisation)
	for missing > 0 && asked < len(peers) && ctx.Err() == nil {
		size := peersPerRound
		if asked == 0 {
			size = 1
		}
		round := peers[asked:min(asked+size, len(peers))]
		received := b.askRound(ctx, round, organisation, missing, wanted)
		lent += received
		asked += len(round)
		if received >= missing {
			missing = 0
			break
		}
		missing, wanted = b.Book.Wanted(organisation)
	}
	b.Book.EndBorrowing(organisation, missing)
	b.OnEnd(organisation, asked, lent, missing)
}

// candidates returns up to maxPeersAsked instances, the holders first and then others from a random one on, without
// those that recently did not reply.
func (b *Borrower) candidates(organisation string) []string {
	holders, others := b.Lenders(organisation)
	start := 0
	if len(others) > 0 {
		start = rand.IntN(len(others))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var chosen []string
	for _, group := range [][]string{holders, others[start:], others[:start]} {
		for _, addr := range group {
			if len(chosen) < maxPeersAsked && now.After(b.silentUntil[addr]) {
				chosen = append(chosen, addr)
			}
		}
	}
	return chosen
}

// askRound asks instances at the same time and returns the tokens that were lent within roundTimeout. One instance is
// asked for all that is missing and a reserve, which it draws from the log if it must. Of several, each is asked for what
// it has, up to half of what is missing, because draws of several would be lost to each other.
func (b *Borrower) askRound(ctx context.Context, peers []string, organisation string, missing, wanted int64) int64 {
	least := missing
	if len(peers) > 1 {
		wanted, least = missing-missing/2, 0
	}
	replies := make(chan int64, len(peers))
	for _, addr := range peers {
		b.group.Go(func() error {
			tokens, err := b.Ask(ctx, addr, organisation, wanted, least)
			b.recordReply(addr, err)
			if err == nil && tokens > 0 {
				b.Book.AddBorrowed(organisation, tokens)
			}
			replies <- tokens
			return nil
		})
	}
	timeout := time.NewTimer(roundTimeout)
	defer timeout.Stop()
	var lent int64
	for range peers {
		select {
		case tokens := <-replies:
			lent += tokens
		case <-timeout.C:
			return lent
		}
	}
	return lent
}

// silent reports whether an instance did not reply recently.
func (b *Borrower) silent(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.silentUntil[addr])
}

// recordReply records whether an instance replied.
func (b *Borrower) recordReply(addr string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		delete(b.silentUntil, addr)
		return
	}
	b.silentUntil[addr] = time.Now().Add(peerBackoff)
}
