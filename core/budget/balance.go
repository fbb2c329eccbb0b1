package budget

// Balance is the state of one organisation's budget as known to this instance, in tokens.
type Balance struct {
	Organisation string `json:"organisation"`
	Paid         int64  `json:"paid"`
	// Granted is the total granted to all instances.
	Granted int64 `json:"granted"`
	// WrittenOff is the part of Granted that counts as granted because the log was restored from an older copy.
	WrittenOff int64 `json:"written_off,omitempty"`
	// Free and Reserved are the unspent parts of this instance's holding. Promised is the part of
	// Free that the instance has promised not to spend yet.
	Free     int64 `json:"free"`
	Reserved int64 `json:"reserved"`
	Promised int64 `json:"promised"`
	// Billed is the sum of the tokens that this process has billed.
	Billed int64 `json:"billed"`
	// AgeMS is the time since the log was read, and LogReachable whether the log is reachable. Only
	// Syncer.Balances sets them.
	AgeMS        int64 `json:"age_ms"`
	LogReachable bool  `json:"reached"`
}

// Balance returns the budget of an organisation.
func (b *Book) Balance(organisation string) Balance {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	return Balance{
		Organisation: organisation, Paid: a.paid, Granted: a.grants.Granted, WrittenOff: a.grants.WrittenOff,
		Free: a.unreserved, Reserved: a.reserved, Promised: b.promised(a), Billed: a.billed,
	}
}

// Balances returns the budgets of all organisations as known to this instance.
func (sy *Syncer) Balances() []Balance {
	names := sy.organisations.Load()
	if names == nil {
		return nil
	}
	balances := make([]Balance, 0, len(*names))
	for _, name := range *names {
		p := sy.partitions[sy.partitionIndex(name)]
		b := sy.Book.Balance(name)
		b.AgeMS, b.LogReachable = p.age().Milliseconds(), !p.outage.ongoing()
		balances = append(balances, b)
	}
	return balances
}
