package node

import (
	"sync/atomic"
	"time"

	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
)

// inForce is the configuration that requests are served by, computed once for each
// change and read without a lock.
type inForce struct {
	version   int64
	templates []conf.Published
	byKey     map[string]conf.Template
	// objectives are by organisation.
	objectives map[string]conf.Objectives
	policies   map[string]ledger.Policy
}

// current holds the configuration in force.
type current struct{ p atomic.Pointer[inForce] }

// set computes the configuration of a fold and puts it in force. A lower version than
// the one in force is never applied.
func (c *current) set(f *conf.Fold) bool {
	if old := c.p.Load(); old != nil && f.Version <= old.version {
		return false
	}
	next := &inForce{
		version: f.Version, templates: f.All(), byKey: map[string]conf.Template{},
		objectives: map[string]conf.Objectives{}, policies: map[string]ledger.Policy{},
	}
	for _, p := range next.templates {
		next.objectives[p.Template.Organisation] = p.Template.Objectives
		for _, key := range p.Template.KeysSHA256 {
			next.byKey[key] = p.Template
		}
		for _, b := range p.Template.Budgets {
			next.policies[ledger.BudgetKey(p.Template.Organisation, b.Name)] = policyOf(p.Template.Allowance)
		}
	}
	c.p.Store(next)
	return true
}

// get returns the configuration in force; it is empty before the first change.
func (c *current) get() *inForce {
	if f := c.p.Load(); f != nil {
		return f
	}
	return &inForce{}
}

// policyOf returns the allowance policy of a template.
func policyOf(a conf.Allowance) ledger.Policy {
	return ledger.Policy{
		Kind: ledger.PolicyKind(a.Policy), Cover: time.Duration(a.CoverSeconds) * time.Second,
		ChunkTokens: a.ChunkTokens, Strand: a.StrandRatio,
	}
}

// ConfigVersion returns the version of the configuration in force.
func (n *Node) ConfigVersion() int64 { return n.current.get().version }
