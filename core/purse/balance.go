package purse

// Balance is one organisation's budget as this instance sees it, in tokens.
type Balance struct {
	Organisation string `json:"organisation"`
	Paid         int64  `json:"paid"`
	// Granted is what all instances were handed.
	Granted int64 `json:"granted"`
	// Free and Reserved are parts of what this instance was handed, and Promised the part of
	// Free that it has promised not to spend yet.
	Free     int64 `json:"free"`
	Reserved int64 `json:"reserved"`
	Promised int64 `json:"promised"`
	// AgeMS is the time since the log was read, and Reached tells whether it answers; only
	// Keeper.Balances sets them.
	AgeMS   int64 `json:"age_ms"`
	Reached bool  `json:"reached"`
}

// Balance returns the budget of an organisation.
func (b *Book) Balance(organisation string) Balance {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	return Balance{Organisation: organisation, Paid: a.paid, Granted: a.granted, Free: a.free, Reserved: a.reserved, Promised: b.promised(a)}
}

// Balances returns the budgets of all organisations as this instance sees them.
func (k *Keeper) Balances() []Balance {
	all := k.organisations.Load()
	if all == nil {
		return nil
	}
	balances := make([]Balance, 0, len(*all))
	for _, name := range *all {
		s := k.shards[k.shardOf(name)]
		b := k.Book.Balance(name)
		b.AgeMS, b.Reached = s.age().Milliseconds(), !s.outage.lasts()
		balances = append(balances, b)
	}
	return balances
}
