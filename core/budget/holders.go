package budget

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/rendez"
)

// ranking ranks the registered instances for each budget by rendezvous hashing, so that all instances agree on its
// holders without a message, and a new instance changes few of them.
type ranking struct {
	own       string
	instances []rankedInstance
	// lenders caches the lenders by organisation.
	lenders sync.Map
}

type rankedInstance struct {
	id, addr string
	hash     uint64
}

// lenders are the instances that may lend tokens of a budget to this one.
type lenders struct {
	// isHolder is set if this instance is a holder of the budget.
	isHolder bool
	// holders and others are the addresses of the other holders and of the other instances.
	holders, others []string
}

// rankInstances returns the ranking of instances at one of them, given their addresses by id. Instances without an
// address lend no tokens and are not ranked.
func rankInstances(own string, addrs map[string]string) *ranking {
	r := &ranking{own: own}
	for id, addr := range addrs {
		if addr != "" {
			r.instances = append(r.instances, rankedInstance{id: id, addr: addr, hash: xxhash.Sum64String(id)})
		}
	}
	return r
}

// of returns the lenders of an organisation's budget. The holders are the MaxHolders first instances; their order
// begins with a different one at each instance.
func (r *ranking) of(organisation string) *lenders {
	organisation = budgetName(organisation)
	if cached, ok := r.lenders.Load(organisation); ok {
		return cached.(*lenders)
	}
	key := xxhash.Sum64String(organisation)
	ordered := slices.SortedFunc(slices.Values(r.instances), func(a, b rankedInstance) int {
		return cmp.Or(cmp.Compare(rendez.Score(key, b.hash), rendez.Score(key, a.hash)), cmp.Compare(a.id, b.id))
	})
	l := &lenders{}
	holders := ordered[:min(MaxHolders, len(ordered))]
	l.isHolder = slices.ContainsFunc(holders, func(i rankedInstance) bool { return i.id == r.own })
	if len(holders) > 0 {
		start := bucketOf(r.own, len(holders))
		l.holders = r.appendAddrs(r.appendAddrs(nil, holders[start:]), holders[:start])
	}
	l.others = r.appendAddrs(nil, ordered[len(holders):])
	r.lenders.Store(organisation, l)
	return l
}

// appendAddrs appends the addresses of instances, except this one.
func (r *ranking) appendAddrs(addrs []string, instances []rankedInstance) []string {
	for _, i := range instances {
		if i.id != r.own {
			addrs = append(addrs, i.addr)
		}
	}
	return addrs
}

// isHolder reports whether this instance is a holder of an organisation's budget. An instance that does not borrow
// from others draws for itself and is a holder of all budgets.
func (sy *Syncer) isHolder(organisation string) bool {
	r := sy.rank.Load()
	return sy.PeerAddr == "" || r != nil && r.of(organisation).isHolder
}

// Peers returns the addresses of the other instances that ever registered.
func (sy *Syncer) Peers() []string {
	p := sy.partitions[0]
	p.mu.Lock()
	defer p.mu.Unlock()
	var addrs []string
	for id, addr := range p.instances {
		if id != sy.Instance && addr != "" {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// Lenders returns the addresses of the other holders of an organisation's budget, in the order in which to ask
// them, and those of the other instances. The caller must not change them.
func (sy *Syncer) Lenders(organisation string) (holders, others []string) {
	r := sy.rank.Load()
	if r == nil {
		return nil, nil
	}
	l := r.of(organisation)
	return l.holders, l.others
}
